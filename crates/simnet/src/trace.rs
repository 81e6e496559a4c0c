//! The hash over a run, and what may be printed of it.

use xxhash_rust::xxh3::Xxh3;

/// Takes in everything that happens.
pub(crate) struct Trace {
    hash: Xxh3,
    steps: u64,
}

impl Trace {
    pub(crate) fn new(seed: u64) -> Trace {
        Trace { hash: Xxh3::with_seed(seed), steps: 0 }
    }

    /// Something happened: when, what kind of thing, to which things, with which bytes.
    pub(crate) fn add(&mut self, now: u64, kind: u8, of: u64, bytes: &[u8]) {
        self.steps += 1;
        self.hash.update(&now.to_le_bytes());
        self.hash.update(&[kind]);
        self.hash.update(&of.to_le_bytes());
        self.hash.update(bytes);
    }

    pub(crate) fn digest(&self) -> u64 {
        self.hash.digest()
    }

    pub(crate) fn steps(&self) -> u64 {
        self.steps
    }
}
