//! The correlation ids of requests that are in progress or have ended recently.

mod shared_log;

use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::marker::PhantomData;
use std::time::{Duration, Instant};

use runtime::Runtime;

pub use self::shared_log::SharedRequestIdLog;
use crate::settings::RetrySafety;

/// Time for which the id of a request that is safe to repeat, or was rejected, stays in use after its end, because a copy
/// that was sent before the end may still arrive.
const SHORT_RETENTION: Duration = Duration::from_secs(2);
/// Maximum number of such ids that stay in use.
const MAX_SHORT_RETAINED: usize = 4096;
/// Time for which the id of any other request stays in use after its end: a server may still execute it, and remembers
/// that it has.
const LONG_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of such ids that stay in use.
const MAX_LONG_RETAINED: usize = 16_384;

/// The ids in use, stored as hashes with a random key, so that clients cannot cause collisions.
pub struct RequestIds<P> {
    hasher: RandomState,
    in_use: RefCell<HashSet<u64>>,
    short: RefCell<RetainedIds>,
    long: RefCell<RetainedIds>,
    /// The ids taken by other processes of this sidecar; `None` without other processes.
    shared_log: Option<SharedRequestIdLog>,
    platform: PhantomData<P>,
}

/// The ids of requests that have ended, in the order of their ends.
struct RetainedIds {
    retention: Duration,
    max_count: usize,
    ids: VecDeque<EndedId>,
}

/// The id of a request that has ended.
struct EndedId {
    hash: u64,
    at: Instant,
}

impl RetainedIds {
    fn new(retention: Duration, max_count: usize) -> RetainedIds {
        RetainedIds { retention, max_count, ids: VecDeque::new() }
    }

    /// Removes and returns an id that is retained no longer at `now`, if there is one.
    fn pop_expired(&mut self, now: Instant) -> Option<u64> {
        let oldest = self.ids.front()?;
        let expired = now.saturating_duration_since(oldest.at) > self.retention;
        if !expired && self.ids.len() <= self.max_count {
            return None;
        }
        self.ids.pop_front().map(|oldest| oldest.hash)
    }
}

/// Keeps the id of a request in use. Has to be dropped when the request has ended.
pub struct RequestIdGuard<'a, P: Runtime> {
    ids: &'a RequestIds<P>,
    hash: u64,
    is_retained_long: Cell<bool>,
}

impl<P: Runtime> RequestIds<P> {
    /// Creates a set without ids. `shared_log` has those that other processes of this sidecar take.
    pub fn new(shared_log: Option<SharedRequestIdLog>) -> RequestIds<P> {
        RequestIds {
            hasher: RandomState::new(),
            in_use: RefCell::default(),
            short: RefCell::new(RetainedIds::new(SHORT_RETENTION, MAX_SHORT_RETAINED)),
            long: RefCell::new(RetainedIds::new(LONG_RETENTION, MAX_LONG_RETAINED)),
            shared_log,
            platform: PhantomData,
        }
    }

    /// Marks the id of a request as used. Returns `None` if it is in use already.
    pub fn acquire(&self, id: &str, retry_safety: RetrySafety) -> Option<RequestIdGuard<'_, P>> {
        self.release_expired();
        let hash = self.hasher.hash_one(id);
        if !self.in_use.borrow_mut().insert(hash) {
            return None;
        }
        let must_not_run_twice = retry_safety != RetrySafety::Idempotent;
        let is_retained_long = Cell::new(must_not_run_twice);
        let guard = RequestIdGuard { ids: self, hash, is_retained_long };
        let is_taken = |log: &SharedRequestIdLog| must_not_run_twice && !log.claim(id);
        (!self.shared_log.as_ref().is_some_and(is_taken)).then_some(guard)
    }

    fn release_expired(&self) {
        let now = P::now();
        for retained in [&self.short, &self.long] {
            while let Some(hash) = retained.borrow_mut().pop_expired(now) {
                self.in_use.borrow_mut().remove(&hash);
            }
        }
    }
}

impl<P: Runtime> RequestIdGuard<'_, P> {
    /// Records that the request is rejected, so that its client may send it again.
    pub fn rejected(&self) {
        self.is_retained_long.set(false);
    }
}

impl<P: Runtime> Drop for RequestIdGuard<'_, P> {
    fn drop(&mut self) {
        let retained = if self.is_retained_long.get() { &self.ids.long } else { &self.ids.short };
        retained.borrow_mut().ids.push_back(EndedId { hash: self.hash, at: P::now() });
    }
}
