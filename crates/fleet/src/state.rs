//! The state that outlives the daemon: the revisions, the target and the stable generation, and the
//! history. It is stored as JSON; the serialized names are those of version 0.2.0.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::planner::{Generation, ProgramId};
use crate::spec::Spec;

/// The number of history entries that are kept. Older ones are dropped.
pub const MAX_HISTORY_ENTRIES: usize = 200;

/// The desired state and program of one generation.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Revision {
    /// The desired state as it was read from its file.
    pub spec: Spec,
    /// The number of the copy of the program.
    #[serde(rename = "program")]
    pub program_id: ProgramId,
    /// The numbers of instances, by template, that operators set in place of those in the
    /// specification.
    #[serde(rename = "counts")]
    pub count_overrides: BTreeMap<String, usize>,
}

impl Revision {
    /// Creates a revision with the numbers of instances of its specification.
    pub fn new(spec: Spec, program_id: ProgramId) -> Revision {
        Revision { spec, program_id, count_overrides: BTreeMap::new() }
    }
}

/// An event in the history for operators.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// The Unix time of the event, in seconds.
    #[serde(rename = "at")]
    pub unix_seconds: u64,
    /// The text of the event.
    #[serde(rename = "what")]
    pub event: String,
}

/// The stored state of the daemon.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PersistentState {
    /// The number of the last generation that was created.
    #[serde(rename = "last")]
    pub last_generation: Generation,
    /// The number of the last copy of a program.
    #[serde(rename = "last_program")]
    pub last_program_id: ProgramId,
    /// The generation that all instances should run; 0 if there is none yet.
    pub target: Generation,
    /// The last generation that was rolled out completely.
    #[serde(rename = "base")]
    pub stable: Generation,
    /// The desired state as it was last read from its file. The target may have a newer program by an
    /// upgrade.
    #[serde(rename = "read")]
    pub spec_from_file: Option<Spec>,
    /// The revisions of the target and of the stable generation.
    #[serde(rename = "generations")]
    pub revisions: BTreeMap<Generation, Revision>,
    /// The slots that operators took out of service.
    #[serde(rename = "drained")]
    pub drained_slots: BTreeSet<String>,
    /// The history of events, the oldest entry first.
    pub history: Vec<HistoryEntry>,
}

impl PersistentState {
    /// Returns the revision of the target, or `None` if there is none yet.
    pub fn target_revision(&self) -> Option<&Revision> {
        self.revisions.get(&self.target)
    }

    /// Appends an event to the history. Drops the oldest entry if there are more than
    /// [`MAX_HISTORY_ENTRIES`].
    pub fn record(&mut self, event: String) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.history.push(HistoryEntry { unix_seconds: now.as_secs(), event });
        let surplus = self.history.len().saturating_sub(MAX_HISTORY_ENTRIES);
        self.history.drain(..surplus);
    }
}
