//! The balancer's timers, all of which are driven by one task.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::marker::PhantomData;
use std::time::{Duration, Instant};

use runtime::Runtime;
use tokio::sync::Notify;

/// Lateness of a timer from which on the process is considered to have been held up.
const HOLD_UP_THRESHOLD: Duration = Duration::from_millis(5);

/// A timer: its expiry time and the balancer's token.
type Timer = (Instant, u32);

/// Timers ordered by expiry time.
///
/// The balancer sets a few timers for each request, none of which is longer than the client waits. Their number is
/// therefore bounded by the number of requests in that time.
pub struct Timers<P> {
    pending: RefCell<BinaryHeap<Reverse<Timer>>>,
    /// Notified when a timer is set that expires before all others.
    next_changed: Notify,
    /// The events that arrived up to this time have been delivered; `None` before the first delivery.
    delivered_until: Cell<Option<Instant>>,
    platform: PhantomData<P>,
}

impl<P> Default for Timers<P> {
    fn default() -> Timers<P> {
        Timers {
            pending: RefCell::default(),
            next_changed: Notify::new(),
            delivered_until: Cell::new(None),
            platform: PhantomData,
        }
    }
}

impl<P: Runtime> Timers<P> {
    /// Sets a timer that expires after `delay`.
    pub fn schedule(&self, delay: Duration, token: u32) {
        let expires_at = P::now() + delay;
        if self.next_expiry().is_none_or(|next| expires_at < next) {
            self.next_changed.notify_one();
        }
        self.pending.borrow_mut().push(Reverse((expires_at, token)));
    }

    /// Waits for the next timer to expire, and returns its token.
    ///
    /// After a hold-up, the events that arrived meanwhile are delivered first, because a response may be among them. One
    /// delivery serves all timers that have expired before it.
    pub async fn next_expired(&self) -> u32 {
        loop {
            match self.next_expiry() {
                None => self.next_changed.notified().await,
                Some(expires_at) if expires_at <= P::now() => {
                    self.deliver_events_until(expires_at).await;
                    if let Some(Reverse((_, token))) = self.pending.borrow_mut().pop() {
                        return token;
                    }
                }
                Some(expires_at) => tokio::select! {
                    biased;
                    () = P::sleep_until(expires_at) => {}
                    () = self.next_changed.notified() => {}
                },
            }
        }
    }

    /// Delivers the events that arrived up to `expires_at` if that is so long ago that some may not have been.
    async fn deliver_events_until(&self, expires_at: Instant) {
        let is_delivered = self.delivered_until.get().is_some_and(|until| expires_at <= until);
        if P::elapsed_since(expires_at) < HOLD_UP_THRESHOLD || is_delivered {
            return;
        }
        let now = P::now();
        P::deliver_events().await;
        self.delivered_until.set(Some(now));
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.pending.borrow().peek().map(|Reverse((expires_at, _))| *expires_at)
    }
}
