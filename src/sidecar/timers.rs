//! The module's timers, all of them waited for by one task.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::marker::PhantomData;
use std::time::{Duration, Instant};

use runtime::Runtime;
use tokio::sync::Notify;

/// Timers by when they run out. The module sets a few for each request, none longer than a client
/// waits, so their number is bounded by the requests of that time.
pub struct Timers<P> {
    set: RefCell<BinaryHeap<Reverse<(Instant, u32)>>>,
    sooner: Notify,
    on: PhantomData<P>,
}

impl<P> Default for Timers<P> {
    fn default() -> Timers<P> {
        Timers { set: RefCell::default(), sooner: Notify::new(), on: PhantomData }
    }
}

impl<P: Runtime> Timers<P> {
    /// Sets a timer.
    pub fn set(&self, delay: Duration, token: u32) {
        let at = P::now() + delay;
        let mut set = self.set.borrow_mut();
        if set.peek().is_none_or(|first| at < first.0.0) {
            self.sooner.notify_one();
        }
        set.push(Reverse((at, token)));
    }

    /// Waits for the next one to run out.
    pub async fn next(&self) -> u32 {
        loop {
            let first = self.set.borrow().peek().map(|first| first.0.0);
            match first {
                None => self.sooner.notified().await,
                Some(at) if at <= P::now() => {
                    if let Some(Reverse((_, token))) = self.set.borrow_mut().pop() {
                        return token;
                    }
                }
                Some(at) => tokio::select! {
                    biased;
                    () = P::sleep_until(at) => {}
                    () = self.sooner.notified() => {}
                },
            }
        }
    }
}
