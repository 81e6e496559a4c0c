//! The ids of requests that are open, or were until lately.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::marker::PhantomData;
use std::time::{Duration, Instant};

use runtime::Platform;

/// How long an id counts as taken after its request's end: a copy of it can be on its way that was
/// sent while it was open. Honest clients never use an id twice.
const REMEMBERED: Duration = Duration::from_secs(2);
/// At most so many are remembered beyond their request's end.
const MOST: usize = 4096;

/// The ids by their hashes, which clients cannot foresee.
pub struct Ids<P> {
    hash: RandomState,
    taken: RefCell<HashSet<u64>>,
    ended: RefCell<VecDeque<(u64, Instant)>>,
    on: PhantomData<P>,
}

impl<P> Default for Ids<P> {
    fn default() -> Ids<P> {
        Ids {
            hash: RandomState::new(),
            taken: RefCell::default(),
            ended: RefCell::default(),
            on: PhantomData,
        }
    }
}

/// An id in use. Dropped when its request has ended.
pub struct Open<'a, P: Platform> {
    ids: &'a Ids<P>,
    id: u64,
}

impl<P: Platform> Ids<P> {
    /// Takes an id into use. None: it is in use.
    pub fn open(&self, id: &str) -> Option<Open<'_, P>> {
        self.forget();
        let id = self.hash.hash_one(id);
        self.taken.borrow_mut().insert(id).then_some(Open { ids: self, id })
    }

    fn forget(&self) {
        let mut ended = self.ended.borrow_mut();
        while let Some(&(id, at)) = ended.front()
            && (P::since(at) > REMEMBERED || ended.len() > MOST)
        {
            ended.pop_front();
            self.taken.borrow_mut().remove(&id);
        }
    }
}

impl<P: Platform> Drop for Open<'_, P> {
    fn drop(&mut self) {
        self.ids.ended.borrow_mut().push_back((self.id, P::now()));
    }
}
