//! Why a run could not be played.

use std::io;
use std::path::PathBuf;

use fakes::program::ProgramError;

use crate::plan::PlanError;

/// Why a run could not be played.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A program of the workspace is missing.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// The run is too large for this machine.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A message cannot be expressed in JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A process has no pipe.
    #[error("no pipe")]
    NoPipe,
    /// A process did not report the address that it listens at.
    #[error("{arguments} did not start")]
    NotStarted {
        /// The arguments of the process.
        arguments: String,
    },
    /// The first change did not get everywhere.
    #[error("only {reached} of {total} have the first change; logs: {}", logs.display())]
    FirstChange {
        /// The sidecars where it is in force.
        reached: usize,
        /// All hollow sidecars.
        total: usize,
        /// The directory of the logs.
        logs: PathBuf,
    },
    /// No origin accepted a change in time.
    #[error("no origin takes a change")]
    NoOrigin,
    /// An origin accepted a change and answered without its generation.
    #[error("no number: {answer}")]
    NoGeneration {
        /// The answer.
        answer: String,
    },
}
