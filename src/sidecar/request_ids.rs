//! The correlation ids of requests that are in progress or have ended recently.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::marker::PhantomData;
use std::time::{Duration, Instant};

use runtime::Runtime;

/// Time for which an id stays in use after the end of its request, because a copy that was sent before the end may
/// still arrive. Well-behaved clients never reuse an id.
const RETENTION: Duration = Duration::from_secs(2);
/// Maximum number of ids that stay in use after the end of their requests.
const MAX_RETAINED: usize = 4096;

/// The ids in use, stored as hashes with a random key, so that clients cannot cause collisions.
pub struct RequestIds<P> {
    hasher: RandomState,
    in_use: RefCell<HashSet<u64>>,
    ended: RefCell<VecDeque<EndedId>>,
    platform: PhantomData<P>,
}

/// The id of a request that has ended.
struct EndedId {
    hash: u64,
    at: Instant,
}

impl<P> Default for RequestIds<P> {
    fn default() -> RequestIds<P> {
        RequestIds {
            hasher: RandomState::new(),
            in_use: RefCell::default(),
            ended: RefCell::default(),
            platform: PhantomData,
        }
    }
}

/// Keeps the id of a request in use. Has to be dropped when the request has ended.
pub struct RequestIdGuard<'a, P: Runtime> {
    ids: &'a RequestIds<P>,
    hash: u64,
}

impl<P: Runtime> RequestIds<P> {
    /// Marks an id as used. Returns `None` if it is in use already.
    pub fn acquire(&self, id: &str) -> Option<RequestIdGuard<'_, P>> {
        self.release_expired();
        let hash = self.hasher.hash_one(id);
        self.in_use.borrow_mut().insert(hash).then_some(RequestIdGuard { ids: self, hash })
    }

    fn release_expired(&self) {
        let mut ended = self.ended.borrow_mut();
        while let Some(oldest) = ended.front()
            && (P::elapsed_since(oldest.at) > RETENTION || ended.len() > MAX_RETAINED)
        {
            self.in_use.borrow_mut().remove(&oldest.hash);
            ended.pop_front();
        }
    }
}

impl<P: Runtime> Drop for RequestIdGuard<'_, P> {
    fn drop(&mut self) {
        self.ids.ended.borrow_mut().push_back(EndedId { hash: self.hash, at: P::now() });
    }
}
