//! Errors of scenario files.

use std::io;
use std::path::PathBuf;

/// An error of a scenario file.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read or written.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file cannot be parsed as a scenario.
    #[error("{}: {source}", .path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The position and the cause.
        source: Box<toml::de::Error>,
    },
    /// The scenario has a value out of its range.
    #[error("{}: {source}", .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The key and its range.
        source: InvalidValue,
    },
}

/// A value of a scenario that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {expected} expected")]
pub struct InvalidValue {
    /// The key in the file.
    pub key: String,
    /// The valid range.
    pub expected: &'static str,
}
