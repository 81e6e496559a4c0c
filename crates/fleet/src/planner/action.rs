//! The actions that the planner decides on, and the events and reasons that it records for operators.

use std::time::Duration;

use thiserror::Error;

use super::canary::CanaryRegression;
use super::facts::{Generation, ProcessId};
use crate::stall::Stall;

/// A step towards the desired state.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts a process for a slot.
    Start {
        /// The slot.
        slot: String,
        /// The generation that the process runs.
        generation: Generation,
    },
    /// Makes a process reload, with the configuration of another generation.
    Reload {
        /// The process.
        process: ProcessId,
        /// The generation that the process runs after the reload.
        generation: Generation,
    },
    /// Makes a process drain and exit. Its successor already accepts on the same listener.
    HandOver {
        /// The process.
        process: ProcessId,
    },
    /// Makes a process drain and exit. It has no successor.
    Stop {
        /// The process.
        process: ProcessId,
    },
    /// Kills a process.
    Kill {
        /// The process.
        process: ProcessId,
    },
    /// Makes the target the stable generation. All slots run it.
    CompleteRollout {
        /// The target of the rollout.
        generation: Generation,
    },
    /// Undoes the rollout: the stable generation becomes the target again.
    RollBack {
        /// The target of the rollout.
        generation: Generation,
        /// Why the rollout is undone.
        reason: RollbackReason,
    },
    /// Records an event for operators.
    Record {
        /// The fleet, slot or generation that the event concerns.
        subject: Subject,
        /// The event.
        event: PlannerEvent,
    },
}

/// The fleet, slot or generation that an event concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The whole fleet.
    Fleet,
    /// One slot, by its name.
    Slot(String),
    /// One generation.
    Generation(Generation),
}

/// An event that the planner records for operators. Its text is stored in the history.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlannerEvent {
    /// A process exited without being told to.
    #[error("{0}")]
    ProcessEnded(ProcessFailure),
    /// A process was killed because it hung or did not become ready in time.
    #[error("{0}; killed")]
    ProcessKilled(ProcessFailure),
    /// The canaries passed their observation, and the other slots get the generation.
    #[error("the canary holds ({failed} failed, {rejected} refused of {total}); the others follow")]
    CanaryPassed {
        /// Requests of the canaries that failed.
        failed: u64,
        /// Requests of the canaries that were rejected.
        rejected: u64,
        /// All answered requests of the canaries.
        total: u64,
    },
}

/// Why a process is counted as failed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ProcessFailure {
    /// It exited without being told to, after it had become ready.
    #[error("ended {:.1} s after it was ready", ready_for.as_secs_f64())]
    EndedAfterReady {
        /// The time from its becoming ready to its exit.
        ready_for: Duration,
    },
    /// It exited without being told to, before it became ready.
    #[error("ended before it was ready")]
    EndedBeforeReady,
    /// It did not become ready in time.
    #[error("did not become ready in time")]
    NotReadyInTime,
    /// It stopped sending status reports.
    #[error("fell silent")]
    Silent,
    /// It stopped sending status reports, and its scheduler statistics show that it is stalled.
    #[error("fell silent: {}", describe_stall(*.0))]
    Stalled(Stall),
    /// It could not be started.
    #[error("{0}")]
    NotStarted(String),
}

fn describe_stall(stall: Stall) -> &'static str {
    match stall {
        Stall::Stopped => "it was stopped",
        Stall::Asleep => "it sleeps although its timers have expired",
        Stall::Spinning => "it spins without handling its timers",
    }
}

/// Why a rollout is undone.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RollbackReason {
    /// Too many processes that ran the target failed. Describes the last failure.
    #[error("{slot}: {failure}")]
    ProcessFailed {
        /// The slot of the process that failed last.
        slot: String,
        /// Why that process failed.
        failure: ProcessFailure,
    },
    /// The canaries did not become ready on the target in time.
    #[error("{}: did not become ready in time", canaries.join(", "))]
    CanaryNotReady {
        /// The slots of the canaries.
        canaries: Vec<String>,
    },
    /// The canaries fail or reject a larger share of requests than the other instances.
    #[error("{0}")]
    CanaryRegressed(CanaryRegression),
    /// An operator asked for it.
    #[error("as was asked")]
    Requested,
}
