//! The planner's input: the observed processes and the desired state.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::stall::Stall;

/// The number of a revision, which is a configuration and a program for all instances. 0 means that
/// there is none.
pub type Generation = u64;

/// The number of a copy of the sidecar's program in the state directory.
pub type ProgramId = u64;

/// Identifies a process during the life of the daemon. Unlike a pid, it is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub u64);

/// The requests that a process has answered since it started, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// All answered requests.
    pub total: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that were rejected.
    pub rejected: u64,
}

impl RequestTotals {
    /// Returns the requests answered since `earlier` was read.
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

    /// Returns `part` as a share of all requests, from 0 to 1.
    pub(super) fn share(self, part: u64) -> f64 {
        part as f64 / self.total.max(1) as f64
    }
}

/// A process as it was last observed. Times are since the daemon's start.
#[derive(Clone, Debug)]
pub struct ObservedProcess {
    /// The number that the daemon has given to the process.
    pub id: ProcessId,
    /// The slot that it serves.
    pub slot: String,
    /// The generation that it reports; before the first report, the one that it was started with.
    pub generation: Generation,
    /// The program that it runs.
    pub program_id: ProgramId,
    /// When it was started or adopted.
    pub started_at: Duration,
    /// When it last reported; before the first report, when it was started or adopted.
    pub last_report_at: Duration,
    /// Whether it reports that it is ready to serve.
    pub ready: bool,
    /// Whether it reports that it is draining.
    pub draining: bool,
    /// The generation that it reports as rejected: it cannot apply it without a restart. `None` if it
    /// has rejected none.
    pub rejected_generation: Option<Generation>,
    /// Whether it was adopted and has not reported since, so that its generation is not known.
    pub awaiting_report: bool,
    /// Whether an operator asked for its replacement by a successor.
    pub restart_requested: bool,
    /// The requests that it has answered.
    pub requests: RequestTotals,
    /// Its stall, if it has stopped reporting and its scheduler statistics show that it hangs.
    pub stall: Option<Stall>,
}

/// The manner in which all instances are ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shutdown {
    /// Each instance drains: it completes its requests and exits.
    Graceful,
    /// Each instance is killed after a short timeout, even with requests in flight.
    Immediate,
}

/// The desired state of the fleet.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    /// The slots that need a serving process.
    pub slots: BTreeSet<String>,
    /// The subset of `slots` that the target adds: the stable generation has no configuration for
    /// them.
    pub added_slots: BTreeSet<String>,
    /// Slots that the target removes: the stable generation has them, and they are not in `slots`.
    pub removed_slots: BTreeSet<String>,
    /// The generation that all slots should run.
    pub target: Generation,
    /// The last generation that was rolled out completely; equal to `target` unless a rollout is in
    /// progress.
    pub stable: Generation,
    /// The program of the target.
    pub target_program: ProgramId,
    /// The program of the stable generation.
    pub stable_program: ProgramId,
    /// Slots that cannot be started now for an external reason, such as an address that is in use.
    pub blocked_slots: BTreeSet<String>,
    /// The shutdown of the whole fleet, if one has begun.
    pub shutdown: Option<Shutdown>,
}

impl DesiredState {
    /// Returns the program of a generation, which must be the target or the stable one.
    pub(super) fn program_of(&self, generation: Generation) -> ProgramId {
        if generation == self.target { self.target_program } else { self.stable_program }
    }
}
