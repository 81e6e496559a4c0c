//! The outcome of a command, its errors and its exit status.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use fakes::program::ProgramError;
use fault_injection::testbed::TestbedError;

/// Exit status: something was refused, rolled back, or did not hold.
pub const STATUS_FAILED: u8 = 1;
/// Exit status: the command was not understood, or nobody answers.
pub const STATUS_ERROR: u8 = 2;

/// Whether what a command has checked holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It holds.
    Passed,
    /// It does not.
    Failed,
}

impl Outcome {
    /// The outcome of a check.
    pub fn of(passed: bool) -> Outcome {
        if passed { Outcome::Passed } else { Outcome::Failed }
    }
}

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file could not be read, written or understood.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: Box<dyn Error + Send + Sync>,
    },
    /// A program of the workspace is missing.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// A fault-injection run could not be played.
    #[error(transparent)]
    Testbed(#[from] TestbedError),
    /// Anything else.
    #[error(transparent)]
    Other(#[from] Box<dyn Error + Send + Sync>),
}

impl CommandError {
    /// A constructor of errors about this file.
    pub fn file<E: Into<Box<dyn Error + Send + Sync>>>(path: &Path) -> impl Fn(E) -> CommandError {
        move |error| CommandError::File { path: path.to_owned(), source: error.into() }
    }
}

/// Prints an error to standard error.
pub fn print_error(error: &dyn std::fmt::Display) {
    eprintln!("lbctl: {error}");
}

/// The exit status of a command; prints its error, if there is one.
pub fn exit_code(result: Result<Outcome, CommandError>) -> ExitCode {
    match result {
        Ok(Outcome::Passed) => ExitCode::SUCCESS,
        Ok(Outcome::Failed) => ExitCode::from(STATUS_FAILED),
        Err(error) => {
            print_error(&error);
            ExitCode::from(STATUS_ERROR)
        }
    }
}

/// Reads and parses a file.
///
/// # Errors
///
/// When it cannot be read or parsed, with its path.
pub fn parse_file<T, E: Into<Box<dyn Error + Send + Sync>>>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, E>,
) -> Result<T, CommandError> {
    let text = std::fs::read_to_string(path).map_err(CommandError::file(path))?;
    parse(&text).map_err(CommandError::file(path))
}
