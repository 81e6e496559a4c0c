//! The correlation ids of requests that are being received, are in progress or have ended recently.
//!
//! A request owns its id from the end of its head on. Until it is forwarded, the id becomes free at once when the request is
//! rejected, its client leaves or its body fails, as no server has seen it. Later it stays in use for a while after its end.

mod shared_log;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::marker::PhantomData;
use std::rc::Weak;
use std::time::{Duration, Instant};

use runtime::Runtime;

pub use self::shared_log::SharedRequestIdLog;
use super::upstream::RequestClient;
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
    /// The requests that are being received. There is at most one for each client connection.
    receiving: RefCell<HashMap<u64, ReceivingRequest>>,
    /// Number of requests that were received, or have begun to be.
    received: Cell<u64>,
    /// The ids of requests that were forwarded and are in progress, or have ended recently.
    in_use: RefCell<HashSet<u64>>,
    short: RefCell<RetainedIds>,
    long: RefCell<RetainedIds>,
    /// The ids taken by other processes of this sidecar; `None` without other processes.
    shared_log: Option<SharedRequestIdLog>,
    platform: PhantomData<P>,
}

/// A request whose head has been received, and which has not been forwarded.
struct ReceivingRequest {
    /// Tells it from a later request with the same id.
    number: u64,
    client: Weak<dyn RequestClient>,
}

impl ReceivingRequest {
    /// Returns whether its client has disconnected, so that it will not be forwarded.
    fn is_abandoned(&self) -> bool {
        self.client.upgrade().is_none_or(|client| client.has_left())
    }
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

/// Keeps the id of a request that is being received, and releases it at once when dropped.
pub struct ReceivingIdGuard<'a, P: Runtime> {
    ids: &'a RequestIds<P>,
    hash: u64,
    number: u64,
}

/// Keeps the id of a request that is forwarded in use. Has to be dropped when the request has ended.
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
            receiving: RefCell::default(),
            received: Cell::new(0),
            in_use: RefCell::default(),
            short: RefCell::new(RetainedIds::new(SHORT_RETENTION, MAX_SHORT_RETAINED)),
            long: RefCell::new(RetainedIds::new(LONG_RETENTION, MAX_LONG_RETAINED)),
            shared_log,
            platform: PhantomData,
        }
    }

    /// Marks the id of a request that `client` is sending as used. Returns `None` if it is in use already.
    pub fn acquire(
        &self,
        id: &str,
        retry_safety: RetrySafety,
        client: Weak<dyn RequestClient>,
    ) -> Option<ReceivingIdGuard<'_, P>> {
        self.release_expired();
        let hash = self.hasher.hash_one(id);
        let mut receiving = self.receiving.borrow_mut();
        let is_being_received = receiving.get(&hash).is_some_and(|request| !request.is_abandoned());
        if is_being_received || self.in_use.borrow().contains(&hash) {
            return None;
        }
        let must_not_run_twice = retry_safety != RetrySafety::Idempotent;
        let is_taken = |log: &SharedRequestIdLog| must_not_run_twice && !log.claim(id);
        if self.shared_log.as_ref().is_some_and(is_taken) {
            return None;
        }
        let number = self.received.get() + 1;
        self.received.set(number);
        receiving.insert(hash, ReceivingRequest { number, client });
        Some(ReceivingIdGuard { ids: self, hash, number })
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

impl<'a, P: Runtime> ReceivingIdGuard<'a, P> {
    /// Keeps the id in use for a request that is about to be forwarded. Returns `None` if its client had disconnected and
    /// another request has the id since.
    pub fn forward(self, retry_safety: RetrySafety) -> Option<RequestIdGuard<'a, P>> {
        if !self.owns_id() {
            return None;
        }
        let (ids, hash) = (self.ids, self.hash);
        ids.in_use.borrow_mut().insert(hash);
        let is_retained_long = Cell::new(retry_safety != RetrySafety::Idempotent);
        Some(RequestIdGuard { ids, hash, is_retained_long })
    }

    fn owns_id(&self) -> bool {
        let receiving = self.ids.receiving.borrow();
        receiving.get(&self.hash).is_some_and(|request| request.number == self.number)
    }
}

impl<P: Runtime> Drop for ReceivingIdGuard<'_, P> {
    fn drop(&mut self) {
        if self.owns_id() {
            self.ids.receiving.borrow_mut().remove(&self.hash);
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
