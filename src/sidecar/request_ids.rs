//! The correlation ids of requests that are in progress, or were until recently.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::marker::PhantomData;
use std::time::{Duration, Instant};

use runtime::Runtime;

/// How long an id stays in use after its request's end: a copy of the request may still arrive that
/// was sent while it was in progress. Honest clients never use an id twice.
const RETENTION: Duration = Duration::from_secs(2);
/// How many ids are retained at most beyond their request's end.
const MAX_RETAINED: usize = 4096;

/// The ids in use, by their hashes, which clients cannot predict.
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

/// The id of a request in progress; to be dropped when the request has ended.
pub struct OpenId<'a, P: Runtime> {
    ids: &'a RequestIds<P>,
    hash: u64,
}

impl<P: Runtime> RequestIds<P> {
    /// Takes an id into use; none if it is in use.
    pub fn open(&self, id: &str) -> Option<OpenId<'_, P>> {
        self.release_expired();
        let hash = self.hasher.hash_one(id);
        self.in_use.borrow_mut().insert(hash).then_some(OpenId { ids: self, hash })
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

impl<P: Runtime> Drop for OpenId<'_, P> {
    fn drop(&mut self) {
        self.ids.ended.borrow_mut().push_back(EndedId { hash: self.hash, at: P::now() });
    }
}
