//! The ids of requests that are open, or were until lately.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::time::{Duration, Instant};

/// How long an id counts as taken after its request's end: a copy of it can be on its way that was
/// sent while it was open. Honest clients never use an id twice.
const REMEMBERED: Duration = Duration::from_secs(2);
/// At most so many are remembered beyond their request's end.
const MOST: usize = 4096;

/// The ids by their hashes, which clients cannot foresee.
#[derive(Default)]
pub struct Ids {
    hash: RandomState,
    taken: RefCell<HashSet<u64>>,
    ended: RefCell<VecDeque<(u64, Instant)>>,
}

/// An id in use. Dropped when its request has ended.
pub struct Open<'a> {
    ids: &'a Ids,
    id: u64,
}

impl Ids {
    /// Takes an id into use. None: it is in use.
    pub fn open(&self, id: &str) -> Option<Open<'_>> {
        self.forget();
        let id = self.hash.hash_one(id);
        self.taken.borrow_mut().insert(id).then_some(Open { ids: self, id })
    }

    fn forget(&self) {
        let mut ended = self.ended.borrow_mut();
        while let Some(&(id, at)) = ended.front()
            && (at.elapsed() > REMEMBERED || ended.len() > MOST)
        {
            ended.pop_front();
            self.taken.borrow_mut().remove(&id);
        }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.ids.ended.borrow_mut().push_back((self.id, Instant::now()));
    }
}
