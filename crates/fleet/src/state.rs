//! The state that outlives the daemon: the revisions, how far a rollout is, and the history. Stored
//! as JSON; the stored names are those of version 0.2.0.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::planner::{Generation, ProgramId};
use crate::spec::Spec;

/// So many of the newest history entries are kept.
pub const MAX_HISTORY_ENTRIES: usize = 200;

/// What the instances of one generation run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Revision {
    /// The desired state as it was read.
    pub spec: Spec,
    /// The copy of the program.
    #[serde(rename = "program")]
    pub program_id: ProgramId,
    /// Counts by template that operators set in place of the specification's.
    #[serde(rename = "counts")]
    pub count_overrides: BTreeMap<String, usize>,
}

impl Revision {
    /// A revision with the counts of its specification.
    pub fn new(spec: Spec, program_id: ProgramId) -> Revision {
        Revision { spec, program_id, count_overrides: BTreeMap::new() }
    }
}

/// An event that operators can read later.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// When it happened, in seconds of Unix time.
    #[serde(rename = "at")]
    pub unix_seconds: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub event: String,
}

/// All that is stored.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PersistentState {
    /// The last generation that was made.
    #[serde(rename = "last")]
    pub last_generation: Generation,
    /// The last number that was given to a program.
    #[serde(rename = "last_program")]
    pub last_program_id: ProgramId,
    /// What all instances are to run; 0 if there is nothing yet.
    pub target: Generation,
    /// The last generation that is known to be good.
    #[serde(rename = "base")]
    pub stable: Generation,
    /// The desired state as it was last read from its file. An upgrade may have gone beyond it.
    #[serde(rename = "read")]
    pub spec_from_file: Option<Spec>,
    /// The revisions of the target and of the stable generation.
    #[serde(rename = "generations")]
    pub revisions: BTreeMap<Generation, Revision>,
    /// Slots that operators took out of service.
    #[serde(rename = "drained")]
    pub drained_slots: BTreeSet<String>,
    /// What happened, the oldest entry first.
    pub history: Vec<HistoryEntry>,
}

impl PersistentState {
    /// The revision of the target.
    pub fn target_revision(&self) -> Option<&Revision> {
        self.revisions.get(&self.target)
    }

    /// Appends an event to the history, and drops the oldest entry if there are too many.
    pub fn record(&mut self, event: String) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.history.push(HistoryEntry { unix_seconds: now.as_secs(), event });
        let surplus = self.history.len().saturating_sub(MAX_HISTORY_ENTRIES);
        self.history.drain(..surplus);
    }
}
