//! Outcomes, errors and exit statuses of commands.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use fakes::program::ProgramError;
use fault_injection::testbed::TestbedError;

/// The exit status if a request was rejected, a change was rolled back or a check failed.
pub const STATUS_FAILED: u8 = 1;
/// The exit status if the command is invalid or cannot be carried out, for example because there is no answer.
pub const STATUS_ERROR: u8 = 2;

/// The outcome of the checks of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All checks passed.
    Passed,
    /// A check failed.
    Failed,
}

impl Outcome {
    /// Creates an outcome from whether the checks passed.
    pub fn of(passed: bool) -> Outcome {
        if passed { Outcome::Passed } else { Outcome::Failed }
    }
}

/// An error of a command that could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file could not be read, written or parsed.
    #[error("{}: {source}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: Box<dyn Error + Send + Sync>,
    },
    /// A program of the workspace is missing or could not be built.
    #[error(transparent)]
    Program(#[from] ProgramError),
    /// A fault-injection run could not be carried out.
    #[error(transparent)]
    Testbed(#[from] TestbedError),
    /// Any other error.
    #[error(transparent)]
    Other(#[from] Box<dyn Error + Send + Sync>),
}

impl CommandError {
    /// Returns a function that attributes an error to the file at `path`.
    pub fn file<E: Into<Box<dyn Error + Send + Sync>>>(path: &Path) -> impl Fn(E) -> CommandError {
        move |error| CommandError::File { path: path.to_owned(), source: error.into() }
    }
}

/// Prints an error to standard error.
pub fn print_error(error: &dyn std::fmt::Display) {
    eprintln!("lbctl: {error}");
}

/// Returns the exit status of a command. Prints its error, if there is one.
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
/// Fails with the path if the file cannot be read or parsed.
pub fn parse_file<T, E: Into<Box<dyn Error + Send + Sync>>>(
    path: &Path,
    parse: impl FnOnce(&str) -> Result<T, E>,
) -> Result<T, CommandError> {
    let text = std::fs::read_to_string(path).map_err(CommandError::file(path))?;
    parse(&text).map_err(CommandError::file(path))
}
