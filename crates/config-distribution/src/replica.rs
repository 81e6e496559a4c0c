//! One replica of all documents: what is committed, and what is accepted and not committed yet. Origins and control
//! machines have one each.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::documents::{Document, Interest, Key, MOST_DOCUMENTS};
use crate::{Epoch, Generation};

/// Reigns that are remembered; who was last told in an older one gets the whole.
const MOST_REIGNS: usize = 64;
/// Withdrawn documents that are remembered; who is older than the oldest of them gets the whole.
const MOST_WITHDRAWN: usize = MOST_DOCUMENTS / 4;

/// A change, and the epoch in which it was made or made again. What has the higher epoch is newer, whatever its
/// generation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
pub struct Version {
    /// The epoch.
    pub epoch: Epoch,
    /// The change.
    pub generation: Generation,
}

/// The changes that an epoch made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Reign {
    epoch: Epoch,
    first: Generation,
    last: Generation,
}

/// What a replica is told by another: changes, or the whole.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Update {
    /// What it goes on from, unless it is the whole.
    pub from: Version,
    /// How far it goes.
    pub at: Version,
    /// How far that is committed.
    pub committed: Generation,
    /// Whether this is all there is.
    pub whole: bool,
    /// From which change on withdrawn documents are remembered.
    pub floor: Generation,
    /// Which epoch made which changes.
    pub reigns: Vec<Reign>,
    /// The documents.
    pub documents: Vec<Document>,
}

/// A replica.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Replica {
    at: Version,
    committed: Generation,
    floor: Generation,
    reigns: Vec<Reign>,
    /// As they are committed.
    settled: Vec<Document>,
    /// Those of them that were changed since.
    pending: Vec<Document>,
}

fn place(documents: &[Document], key: &Key) -> Result<usize, usize> {
    documents.binary_search_by(|d| d.key.cmp(key))
}

fn put(documents: &mut Vec<Document>, document: Document) {
    match place(documents, &document.key) {
        Ok(at) => documents[at] = document,
        Err(at) => documents.insert(at, document),
    }
}

impl Replica {
    /// The last change that it has.
    pub fn at(&self) -> Version {
        self.at
    }

    /// The last change that is known to be committed.
    pub fn committed(&self) -> Generation {
        self.committed
    }

    /// All documents as they were changed last, committed or not.
    pub fn newest(&self) -> impl Iterator<Item = &Document> {
        let behind = |d: &&Document| place(&self.pending, &d.key).is_err();
        self.settled.iter().filter(behind).chain(&self.pending)
    }

    /// A document as it was changed last.
    pub fn document(&self, key: &Key) -> Option<&Document> {
        let found = |all: &'_ [Document]| place(all, key).ok();
        found(&self.pending)
            .map(|at| &self.pending[at])
            .or_else(|| found(&self.settled).map(|at| &self.settled[at]))
    }

    /// Bytes of all bodies.
    pub fn bytes(&self) -> usize {
        self.newest().filter_map(|d| d.body.as_ref()).map(|b| b.text().len()).sum()
    }

    /// Makes the next change in an epoch: a document, or none where an epoch begins.
    pub fn change(
        &mut self,
        epoch: Epoch,
        document: Option<(Key, Option<crate::documents::Body>)>,
    ) {
        let generation = self.at.generation + 1;
        self.at = Version { epoch, generation };
        match self.reigns.last_mut() {
            Some(reign) if reign.epoch == epoch => reign.last = generation,
            _ => self.reigns.push(Reign { epoch, first: generation, last: generation }),
        }
        let surplus = self.reigns.len().saturating_sub(MOST_REIGNS);
        self.reigns.drain(..surplus);
        if let Some((key, body)) = document {
            put(&mut self.pending, Document { key, generation, body });
        }
    }

    /// From now on the changes up to this one are committed. False: they were.
    pub fn commit(&mut self, generation: Generation) -> bool {
        let generation = generation.min(self.at.generation);
        if generation <= self.committed {
            return false;
        }
        self.committed = generation;
        let (settled, pending): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|d| d.generation <= generation);
        self.pending = pending;
        settled.into_iter().for_each(|d| put(&mut self.settled, d));
        // Danger: withdrawn documents are remembered for those that still have them, and would add up for ever.
        let mut withdrawn: Vec<_> =
            self.settled.iter().filter(|d| d.body.is_none()).map(|d| d.generation).collect();
        if withdrawn.len() > MOST_WITHDRAWN {
            withdrawn.sort_unstable();
            self.floor = withdrawn[withdrawn.len() - MOST_WITHDRAWN - 1];
            let floor = self.floor;
            self.settled.retain(|d| d.body.is_some() || d.generation > floor);
        }
        true
    }

    /// Whether a replica that is at `version` has what this one had then.
    fn has_been(&self, version: Version) -> bool {
        let in_reign = |r: &Reign| {
            r.epoch == version.epoch && (r.first..=r.last).contains(&version.generation)
        };
        version.generation >= self.floor && self.reigns.iter().any(in_reign)
    }

    /// What another replica is told that is at `version`.
    pub fn update(&self, version: Version) -> Update {
        let whole = !self.has_been(version);
        let told = |d: &&Document| whole || d.generation > version.generation;
        Update {
            from: version,
            at: self.at,
            committed: self.committed,
            whole,
            floor: self.floor,
            reigns: self.reigns.clone(),
            documents: self.newest().filter(told).cloned().collect(),
        }
    }

    /// Takes in what another replica tells that is followed. False: nothing is new.
    ///
    /// Danger: what is committed here is never given up for something older, whoever tells it: a committed change
    /// is with most of the members, so whoever is rightly followed has it.
    pub fn take(&mut self, update: Update) -> bool {
        if update.at == self.at {
            return self.commit(update.committed);
        }
        // What came from another in the meantime may be something else than these changes go on from.
        let fits = update.whole || update.from == self.at;
        if update.at < self.at || update.at.generation < self.committed || !fits {
            return false;
        }
        self.at = update.at;
        self.reigns = update.reigns;
        self.floor = self.floor.max(update.floor);
        if update.whole {
            self.pending.clear();
            let known: BTreeMap<_, _> =
                update.documents.iter().map(|d| (d.key.clone(), ())).collect();
            self.settled.retain(|d| known.contains_key(&d.key));
        }
        for document in update.documents {
            // An earlier one that waited to be committed is outdone.
            self.pending.retain(|d| d.key != document.key);
            // A change that is committed is settled as it comes, so that whoever asks first finds it.
            let to = match document.generation <= self.committed.max(update.committed) {
                true => &mut self.settled,
                false => &mut self.pending,
            };
            put(to, document);
        }
        self.commit(update.committed);
        true
    }

    /// The committed documents that concern somebody and are newer than `from`; the whole if `from` is too old to
    /// tell what was withdrawn since.
    pub fn told(&self, interest: &Interest, from: Generation) -> (bool, Vec<&Document>) {
        let whole = from == 0 || from < self.floor;
        let concerns = |d: &&Document| {
            interest.has(&d.key) && if whole { d.body.is_some() } else { d.generation > from }
        };
        (whole, self.settled.iter().filter(concerns).collect())
    }

    /// Whether a committed change concerns somebody who has all up to `in_force`, and is newer.
    pub fn lacks(&self, interest: &Interest, in_force: Generation) -> bool {
        let newer = |d: &Document| d.generation > in_force && interest.has(&d.key);
        in_force < self.floor || self.settled.iter().any(newer)
    }
}
