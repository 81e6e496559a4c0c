//! Why a scenario cannot be read or written.

use std::io;
use std::path::PathBuf;

/// Why a scenario file cannot be used.
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
    /// The file is not a scenario.
    #[error("{}: {source}", .path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The place and what was expected there.
        source: Box<toml::de::Error>,
    },
    /// The scenario has a value that cannot be played.
    #[error("{}: {source}", .path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The key and what was expected.
        source: InvalidValue,
    },
}

/// A value of a scenario that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {expected} expected")]
pub struct InvalidValue {
    /// The key in the file.
    pub key: String,
    /// The range.
    pub expected: &'static str,
}
