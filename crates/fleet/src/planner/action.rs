//! What the planner decides, and the reasons and events that it gives to operators.

use std::time::Duration;

use thiserror::Error;

use super::canary::CanaryRegression;
use super::facts::{Generation, ProcessId};
use crate::stall::Stall;

/// One step towards the desired state.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a process of a slot.
    Start {
        /// The slot.
        slot: String,
        /// What the process is to run.
        generation: Generation,
    },
    /// Give a process the configuration of a generation.
    Reload {
        /// The process.
        process: ProcessId,
        /// What it is to run.
        generation: Generation,
    },
    /// Let a process drain and end: its successor accepts on the same listener.
    HandOver {
        /// The process.
        process: ProcessId,
    },
    /// Let a process drain and end without a successor.
    Stop {
        /// The process.
        process: ProcessId,
    },
    /// End a process at once.
    Kill {
        /// The process.
        process: ProcessId,
    },
    /// All slots run the target: it is the stable generation from now on.
    CompleteRollout {
        /// The target.
        generation: Generation,
    },
    /// The target is not good: the stable generation is the target again.
    RollBack {
        /// The target.
        generation: Generation,
        /// Why it is not good.
        reason: RollbackReason,
    },
    /// Record an event for operators.
    Record {
        /// What the event is about.
        subject: Subject,
        /// What happened.
        event: PlannerEvent,
    },
}

/// What an event is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The whole fleet.
    Fleet,
    /// One instance.
    Slot(String),
    /// One generation.
    Generation(Generation),
}

/// An event that the planner records for operators. Its text is stored in the history.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlannerEvent {
    /// A process ended without being told to.
    #[error("{0}")]
    ProcessEnded(ProcessFailure),
    /// A process was killed because it failed.
    #[error("{0}; killed")]
    ProcessKilled(ProcessFailure),
    /// The canaries are good, and the other slots follow.
    #[error("the canary holds ({failed} failed, {rejected} refused of {total}); the others follow")]
    CanaryPassed {
        /// Requests of the canaries that failed.
        failed: u64,
        /// Requests of the canaries that were rejected.
        rejected: u64,
        /// All requests of the canaries.
        total: u64,
    },
}

/// Why a process counts as failed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ProcessFailure {
    /// It ended without being told to, and had been ready.
    #[error("ended {:.1} s after it was ready", ready_for.as_secs_f64())]
    EndedAfterReady {
        /// How long it had been ready.
        ready_for: Duration,
    },
    /// It ended without being told to, and had never been ready.
    #[error("ended before it was ready")]
    EndedBeforeReady,
    /// It did not become ready in time.
    #[error("was not ready in time")]
    NotReadyInTime,
    /// It stopped reporting.
    #[error("fell silent")]
    Silent,
    /// It stopped reporting, and the system shows why.
    #[error("fell silent: {}", describe_stall(*.0))]
    Stalled(Stall),
    /// It could not be started.
    #[error("{0}")]
    NotStarted(String),
}

fn describe_stall(stall: Stall) -> &'static str {
    match stall {
        Stall::Stopped => "it was stopped",
        Stall::Asleep => "it sleeps and is not woken",
        Stall::Spinning => "it goes in circles",
    }
}

/// Why a rollout is undone.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RollbackReason {
    /// Too many processes of the target failed; the last of them.
    #[error("{slot}: {failure}")]
    ProcessFailed {
        /// The slot of the process.
        slot: String,
        /// How it failed.
        failure: ProcessFailure,
    },
    /// The canaries did not become ready on the target in time.
    #[error("{}: not ready in time", canaries.join(", "))]
    CanaryNotReady {
        /// The slots of the canaries.
        canaries: Vec<String>,
    },
    /// The canaries answer requests worse than the rest.
    #[error("{0}")]
    CanaryRegressed(CanaryRegression),
    /// Operators asked for it.
    #[error("as was asked")]
    Requested,
}
