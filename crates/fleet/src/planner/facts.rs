//! What the planner is given: the observed processes and the desired state.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::stall::Stall;

/// Numbers the revisions of what instances are to run; 0 stands for none.
pub type Generation = u64;

/// Numbers the copies of the sidecar's program that the state directory keeps.
pub type ProgramId = u64;

/// Identifies one process for the life of the daemon; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub u64);

/// Requests of one process by their final answer, since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// All answered requests.
    pub total: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that were rejected.
    pub rejected: u64,
}

impl RequestTotals {
    /// The requests answered since `earlier` was read.
    pub(super) fn since(self, earlier: RequestTotals) -> RequestTotals {
        RequestTotals {
            total: self.total.saturating_sub(earlier.total),
            failed: self.failed.saturating_sub(earlier.failed),
            rejected: self.rejected.saturating_sub(earlier.rejected),
        }
    }

    pub(super) fn add(&mut self, other: RequestTotals) {
        self.total += other.total;
        self.failed += other.failed;
        self.rejected += other.rejected;
    }

    /// `part` as a share of all requests, from 0 to 1.
    pub(super) fn share(self, part: u64) -> f64 {
        part as f64 / self.total.max(1) as f64
    }
}

/// One process as it was last observed. Times are since the daemon's start.
#[derive(Clone, Debug)]
pub struct ObservedProcess {
    /// Its number.
    pub id: ProcessId,
    /// The slot that it serves.
    pub slot: String,
    /// What it runs by its own report; before the first report, what it was started with.
    pub generation: Generation,
    /// The program that it runs.
    pub program_id: ProgramId,
    /// When it was started or adopted.
    pub started_at: Duration,
    /// When it last reported; before the first report, when it was started.
    pub last_report_at: Duration,
    /// It reports that it serves.
    pub ready: bool,
    /// It reports that it only completes the requests that it has.
    pub draining: bool,
    /// The generation that it reports not to apply without a restart.
    pub rejected_generation: Option<Generation>,
    /// It was adopted and has not reported since: what it runs is not known yet.
    pub awaiting_report: bool,
    /// An operator asked for a successor in its place.
    pub restart_requested: bool,
    /// The requests that it answered.
    pub requests: RequestTotals,
    /// Set when it is silent and the system's figures show that it hangs.
    pub stall: Option<Stall>,
}

/// How all instances are to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shutdown {
    /// Each completes the requests that it has.
    Graceful,
    /// Each is killed soon, whatever it still has.
    Immediate,
}

/// The desired state of the fleet.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    /// The slots that are to be served.
    pub slots: BTreeSet<String>,
    /// Those of `slots` that only the target can configure.
    pub added_slots: BTreeSet<String>,
    /// Slots beside `slots` that the stable generation has and the target has not.
    pub removed_slots: BTreeSet<String>,
    /// What all slots are to run.
    pub target: Generation,
    /// The last generation that is known to be good; equal to `target` unless a rollout runs.
    pub stable: Generation,
    /// The target's program.
    pub target_program: ProgramId,
    /// The stable generation's program.
    pub stable_program: ProgramId,
    /// Slots that cannot be started now, for a reason outside of them.
    pub blocked_slots: BTreeSet<String>,
    /// Set when all instances are to end.
    pub shutdown: Option<Shutdown>,
}

impl DesiredState {
    /// The program of a generation, which is the target or the stable one.
    pub(super) fn program_of(&self, generation: Generation) -> ProgramId {
        if generation == self.target { self.target_program } else { self.stable_program }
    }
}
