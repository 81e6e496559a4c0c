//! Errors of scale tests.

use std::io;
use std::path::PathBuf;

use fakes::program::ProgramError;

use crate::plan::PlanError;

/// The error of a scale test that could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A program of the workspace is missing or could not be built.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// The run is too large for this machine.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A message could not be serialized to JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A child process was started without the expected pipe.
    #[error("the child process has no pipe")]
    NoPipe,
    /// A process did not print the address that it listens at.
    #[error("`{arguments}` did not report its address")]
    NotStarted {
        /// The arguments of the process.
        arguments: String,
    },
    /// The first change did not reach all hollow sidecars in time.
    #[error("the first change is in force at only {reached} of {total} sidecars; logs: {}", logs.display())]
    FirstChange {
        /// The number of hollow sidecars where the change is in force.
        reached: usize,
        /// The number of all hollow sidecars.
        total: usize,
        /// The directory of the logs.
        logs: PathBuf,
    },
    /// No origin accepted a change in time.
    #[error("no origin accepted the change in time")]
    NoOrigin,
    /// An origin accepted a change, but its answer has no generation.
    #[error("the origin's answer has no generation: {answer}")]
    NoGeneration {
        /// The answer.
        answer: String,
    },
}
