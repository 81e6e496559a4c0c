//! A replica of all documents, with their committed revisions and those that are accepted but not committed yet. Each
//! origin and each control server holds one.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::document_set::DocumentSet;
use crate::documents::{Document, DocumentBody, DocumentKey, Interest, MAX_DOCUMENTS};
use crate::{Epoch, Generation};

/// Maximum number of epochs in the history. A replica whose version lies in an older epoch gets a snapshot.
const MAX_EPOCH_RANGES: usize = 64;
/// Maximum number of tombstones. A replica or host that is older than the oldest of them gets a snapshot.
const MAX_TOMBSTONES: usize = MAX_DOCUMENTS / 4;

/// A position in the log of changes: a change, and the epoch in which it was made or confirmed.
///
/// Versions are ordered by epoch first: a higher epoch is newer, whatever the generations are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize,
)]
pub struct Version {
    /// The epoch.
    pub epoch: Epoch,
    /// The number of the change.
    pub generation: Generation,
}

/// The range of changes that were made in one epoch, both ends included.
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

/// An update from one replica to another: the changes since a version, or a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Update {
    /// The version to which the changes apply, unless this is a snapshot.
    #[serde(rename = "from")]
    pub base: Version,
    /// The version of the receiver once the update is applied.
    #[serde(rename = "at")]
    pub version: Version,
    /// The last committed change.
    pub committed: Generation,
    /// Whether `documents` contains all documents.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// Tombstones up to this change have been removed.
    #[serde(rename = "floor")]
    pub tombstone_floor: Generation,
    /// The ranges of changes by epoch, oldest first.
    #[serde(rename = "reigns")]
    pub epoch_ranges: Vec<EpochRange>,
    /// All documents, or those that have changed since `base`.
    pub documents: Vec<Document>,
}

/// The committed documents that match a subscriber's interest.
#[derive(Clone, Debug, Default)]
pub struct Selection<'a> {
    /// Whether these are all documents for the subscriber, rather than only the newer ones.
    pub is_snapshot: bool,
    /// The matching documents.
    pub documents: Vec<&'a Document>,
}

/// A replica of all documents and the recent history of epochs.
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
    /// Returns the version of the last change in this replica.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the last change that is known to be committed.
    pub fn committed(&self) -> Generation {
        self.committed
    }

    /// Returns the latest revision of every document, committed or not.
    pub fn latest_documents(&self) -> impl Iterator<Item = &Document> {
        let is_latest = |document: &&Document| !self.uncommitted_documents.contains(&document.key);
        self.committed_documents.iter().filter(is_latest).chain(self.uncommitted_documents.iter())
    }

    /// Returns the latest revision of a document, committed or not.
    pub fn latest_document(&self, key: &DocumentKey) -> Option<&Document> {
        self.uncommitted_documents.get(key).or_else(|| self.committed_documents.get(key))
    }

    /// Returns the total size of the latest bodies, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.latest_documents().map(Document::body_bytes).sum()
    }

    /// Appends the change that marks the beginning of an epoch. It changes no document.
    pub fn begin_epoch(&mut self, epoch: Epoch) {
        self.next_version(epoch);
    }

    /// Appends a change of a document. A `body` of `None` withdraws the document.
    pub fn append(&mut self, epoch: Epoch, key: DocumentKey, body: Option<DocumentBody>) {
        let generation = self.next_version(epoch);
        self.uncommitted_documents.insert(Document { key, generation, body });
    }

    /// Advances the version by one change, and returns the change's number.
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

    /// Commits the changes up to `generation`. Returns whether any of them was uncommitted.
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

    /// Removes the oldest tombstones beyond `MAX_TOMBSTONES`. Tombstones are kept for replicas and hosts that still
    /// have the document.
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

    /// Returns whether this replica was at `version` once, and has all tombstones since then.
    fn has_history_since(&self, version: Version) -> bool {
        version.generation >= self.tombstone_floor
            && self.epoch_ranges.iter().any(|range| range.contains(version))
    }

    /// Returns the update for another replica that is at `version`.
    pub fn update_since(&self, version: Version) -> Update {
        let is_snapshot = !self.has_history_since(version);
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

    /// Applies an update from the followed replica. Returns whether anything changed.
    ///
    /// A committed change is never replaced by an older one, whoever sends it: a quorum holds it, so every replica that
    /// may be followed holds it, too.
    pub fn apply(&mut self, update: Update) -> bool {
        if update.version == self.version {
            return self.commit(update.committed);
        }
        // Another replica may have updated this one since the request; the changes then no longer apply.
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
            // This revision supersedes an earlier uncommitted one.
            self.uncommitted_documents.remove(&document.key);
            // A committed revision becomes visible at once, so that the next watch request finds it.
            if document.generation <= committed {
                self.committed_documents.insert(document);
            } else {
                self.uncommitted_documents.insert(document);
            }
        }
        self.commit(update.committed);
        true
    }

    /// Returns the committed documents for a subscriber that are newer than `since`. Returns a snapshot if `since` is 0,
    /// or if tombstones after `since` have been removed, because the withdrawn documents cannot be listed then.
    pub fn select(&self, interest: &Interest, since: Generation) -> Selection<'_> {
        let is_snapshot = since == 0 || since < self.tombstone_floor;
        let is_selected = |document: &Document| match is_snapshot {
            true => !document.is_tombstone(),
            false => document.generation > since,
        };
        let documents = self
            .committed_documents
            .iter()
            .filter(|document| interest.matches(&document.key) && is_selected(document))
            .collect();
        Selection { is_snapshot, documents }
    }

    /// Returns whether there is a committed change for a subscriber that is newer than `applied`.
    pub fn has_newer(&self, interest: &Interest, applied: Generation) -> bool {
        applied < self.tombstone_floor
            || self
                .committed_documents
                .iter()
                .any(|document| document.generation > applied && interest.matches(&document.key))
    }
}
