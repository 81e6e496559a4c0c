//! A replica of all documents: the committed revisions, and those that are accepted and not committed yet. Origins and
//! control servers hold one each.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::document_set::DocumentSet;
use crate::documents::{Document, DocumentBody, DocumentKey, Interest, MAX_DOCUMENTS};
use crate::{Epoch, Generation};

/// Epochs that are remembered. A replica whose version lies in an older one gets a snapshot.
const MAX_EPOCH_RANGES: usize = 64;
/// Tombstones that are remembered. A replica or host that is older than the oldest of them gets a snapshot.
const MAX_TOMBSTONES: usize = MAX_DOCUMENTS / 4;

/// A position in the log of changes: the change, and the epoch in which it was made or confirmed.
///
/// Versions are ordered by epoch first: a higher epoch is newer, whatever the generations are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
pub struct Version {
    /// The epoch.
    pub epoch: Epoch,
    /// The change.
    pub generation: Generation,
}

/// The changes that one epoch made, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EpochRange {
    epoch: Epoch,
    first: Generation,
    last: Generation,
}

impl EpochRange {
    fn contains(&self, version: Version) -> bool {
        self.epoch == version.epoch && (self.first..=self.last).contains(&version.generation)
    }
}

/// What one replica sends to another: the changes since a version, or a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Update {
    /// The version that the changes follow, unless this is a snapshot.
    #[serde(rename = "from")]
    pub base: Version,
    /// The version that the receiver has afterwards.
    #[serde(rename = "at")]
    pub version: Version,
    /// The last committed change.
    pub committed: Generation,
    /// Whether `documents` are all there are.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// Tombstones up to this change are forgotten.
    #[serde(rename = "floor")]
    pub tombstone_floor: Generation,
    /// Which epoch made which changes.
    #[serde(rename = "reigns")]
    pub epoch_ranges: Vec<EpochRange>,
    /// The documents.
    pub documents: Vec<Document>,
}

/// The committed documents for a subscriber.
#[derive(Clone, Debug, Default)]
pub struct Selection<'a> {
    /// Whether these are all documents for the subscriber, and not only the newer ones.
    pub is_snapshot: bool,
    /// The documents.
    pub documents: Vec<&'a Document>,
}

/// A replica of all documents.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Replica {
    #[serde(rename = "at")]
    version: Version,
    committed: Generation,
    #[serde(rename = "floor")]
    tombstone_floor: Generation,
    #[serde(rename = "reigns")]
    epoch_ranges: Vec<EpochRange>,
    /// The last committed revisions.
    #[serde(rename = "settled")]
    committed_documents: DocumentSet,
    /// Newer revisions that are not committed yet.
    #[serde(rename = "pending")]
    uncommitted_documents: DocumentSet,
}

impl Replica {
    /// The last change that this replica has.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The last change that is known to be committed.
    pub fn committed(&self) -> Generation {
        self.committed
    }

    /// The latest revision of every document, committed or not.
    pub fn latest_documents(&self) -> impl Iterator<Item = &Document> {
        let is_latest = |document: &&Document| !self.uncommitted_documents.contains(&document.key);
        self.committed_documents.iter().filter(is_latest).chain(self.uncommitted_documents.iter())
    }

    /// The latest revision of a document, committed or not.
    pub fn latest_document(&self, key: &DocumentKey) -> Option<&Document> {
        self.uncommitted_documents.get(key).or_else(|| self.committed_documents.get(key))
    }

    /// The size of all latest bodies, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.latest_documents().map(Document::body_bytes).sum()
    }

    /// Appends the change that begins an epoch. It changes no document.
    pub fn begin_epoch(&mut self, epoch: Epoch) {
        self.next_version(epoch);
    }

    /// Appends a change of a document; `None` withdraws it.
    pub fn append(&mut self, epoch: Epoch, key: DocumentKey, body: Option<DocumentBody>) {
        let generation = self.next_version(epoch);
        self.uncommitted_documents.insert(Document { key, generation, body });
    }

    /// Moves on to the next change, and returns its number.
    fn next_version(&mut self, epoch: Epoch) -> Generation {
        let generation = self.version.generation + 1;
        self.version = Version { epoch, generation };
        match self.epoch_ranges.last_mut() {
            Some(range) if range.epoch == epoch => range.last = generation,
            _ => self.epoch_ranges.push(EpochRange { epoch, first: generation, last: generation }),
        }
        let surplus = self.epoch_ranges.len().saturating_sub(MAX_EPOCH_RANGES);
        self.epoch_ranges.drain(..surplus);
        generation
    }

    /// Commits the changes up to `generation`. Returns whether any of them was not committed before.
    pub fn commit(&mut self, generation: Generation) -> bool {
        let generation = generation.min(self.version.generation);
        if generation <= self.committed {
            return false;
        }
        self.committed = generation;
        for document in self.uncommitted_documents.take_up_to(generation) {
            self.committed_documents.insert(document);
        }
        self.forget_old_tombstones();
        true
    }

    /// Bounds the tombstones, which are kept for replicas and hosts that still have the document.
    fn forget_old_tombstones(&mut self) {
        let tombstones = self.committed_documents.iter().filter(|d| d.is_tombstone());
        let mut generations: Vec<Generation> = tombstones.map(|d| d.generation).collect();
        if generations.len() <= MAX_TOMBSTONES {
            return;
        }
        generations.sort_unstable();
        let floor = generations[generations.len() - MAX_TOMBSTONES - 1];
        self.tombstone_floor = floor;
        self.committed_documents.retain(|d| !d.is_tombstone() || d.generation > floor);
    }

    /// Whether this replica once was at `version`, and still remembers what was withdrawn since.
    fn remembers(&self, version: Version) -> bool {
        version.generation >= self.tombstone_floor
            && self.epoch_ranges.iter().any(|range| range.contains(version))
    }

    /// What another replica needs that is at `version`.
    pub fn update_since(&self, version: Version) -> Update {
        let is_snapshot = !self.remembers(version);
        let is_included =
            |document: &&Document| is_snapshot || document.generation > version.generation;
        Update {
            base: version,
            version: self.version,
            committed: self.committed,
            is_snapshot,
            tombstone_floor: self.tombstone_floor,
            epoch_ranges: self.epoch_ranges.clone(),
            documents: self.latest_documents().filter(is_included).cloned().collect(),
        }
    }

    /// Applies an update from the replica that is followed. Returns whether anything changed.
    ///
    /// A committed change is never given up for an older one, whoever sends it: a quorum has it, so whoever may
    /// rightly be followed has it, too.
    pub fn apply(&mut self, update: Update) -> bool {
        if update.version == self.version {
            return self.commit(update.committed);
        }
        // Changes that came from another replica meanwhile may not be what these changes follow.
        let is_applicable = update.is_snapshot || update.base == self.version;
        let is_older = update.version < self.version || update.version.generation < self.committed;
        if is_older || !is_applicable {
            return false;
        }
        self.version = update.version;
        self.epoch_ranges = update.epoch_ranges;
        self.tombstone_floor = self.tombstone_floor.max(update.tombstone_floor);
        if update.is_snapshot {
            self.uncommitted_documents.clear();
            let keys: BTreeSet<&DocumentKey> = update.documents.iter().map(|d| &d.key).collect();
            self.committed_documents.retain(|document| keys.contains(&document.key));
        }
        let committed = self.committed.max(update.committed);
        for document in update.documents {
            // An earlier revision that waited to be committed is superseded.
            self.uncommitted_documents.remove(&document.key);
            // A committed revision is stored as such at once, so that the next watch finds it.
            if document.generation <= committed {
                self.committed_documents.insert(document);
            } else {
                self.uncommitted_documents.insert(document);
            }
        }
        self.commit(update.committed);
        true
    }

    /// The committed documents for a subscriber that are newer than `since`. A snapshot if `since` is 0, or too old
    /// to tell which documents were withdrawn since.
    pub fn select(&self, interest: &Interest, since: Generation) -> Selection<'_> {
        let is_snapshot = since == 0 || since < self.tombstone_floor;
        let is_news = |document: &Document| match is_snapshot {
            true => !document.is_tombstone(),
            false => document.generation > since,
        };
        let documents = self
            .committed_documents
            .iter()
            .filter(|document| interest.matches(&document.key) && is_news(document))
            .collect();
        Selection { is_snapshot, documents }
    }

    /// Whether there is a committed change for a subscriber that is newer than `applied`.
    pub fn has_newer(&self, interest: &Interest, applied: Generation) -> bool {
        applied < self.tombstone_floor
            || self
                .committed_documents
                .iter()
                .any(|document| document.generation > applied && interest.matches(&document.key))
    }
}
