//! The balancer's timers, all of which one task waits for.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::marker::PhantomData;
use std::time::{Duration, Instant};

use runtime::Runtime;
use tokio::sync::Notify;

/// A timer that is seen so late tells that the process was held up.
const HOLD_UP: Duration = Duration::from_millis(5);

/// A timer: when it expires, and the balancer's token for it.
type Timer = (Instant, u32);

/// Timers by the time at which they expire.
///
/// The balancer sets a few for each request, none longer than a client waits, so their number is
/// bounded by the requests of that time.
pub struct Timers<P> {
    pending: RefCell<BinaryHeap<Reverse<Timer>>>,
    /// Notified when a timer is set that expires before all others.
    earlier: Notify,
    platform: PhantomData<P>,
}

impl<P> Default for Timers<P> {
    fn default() -> Timers<P> {
        Timers { pending: RefCell::default(), earlier: Notify::new(), platform: PhantomData }
    }
}

impl<P: Runtime> Timers<P> {
    /// Sets a timer.
    pub fn schedule(&self, delay: Duration, token: u32) {
        let expires_at = P::now() + delay;
        if self.next_expiry().is_none_or(|next| expires_at < next) {
            self.earlier.notify_one();
        }
        self.pending.borrow_mut().push(Reverse((expires_at, token)));
    }

    /// Waits for the next timer to expire, and returns its token.
    ///
    /// After a hold-up, what arrived in its time is delivered first: an answer may be among it.
    pub async fn next_expired(&self) -> u32 {
        loop {
            match self.next_expiry() {
                None => self.earlier.notified().await,
                Some(expires_at) if expires_at <= P::now() => {
                    if P::elapsed_since(expires_at) >= HOLD_UP {
                        P::deliver_events().await;
                    }
                    if let Some(Reverse((_, token))) = self.pending.borrow_mut().pop() {
                        return token;
                    }
                }
                Some(expires_at) => tokio::select! {
                    biased;
                    () = P::sleep_until(expires_at) => {}
                    () = self.earlier.notified() => {}
                },
            }
        }
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.pending.borrow().peek().map(|Reverse((expires_at, _))| *expires_at)
    }
}
