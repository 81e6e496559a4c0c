//! What can be wrong with `fleet.toml`. The messages name line and key.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use super::MAX_INSTANCES;

/// The desired state cannot be read from its file.
#[derive(Debug, Error)]
pub enum SpecError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file holds something that cannot be used.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What and where.
        source: InvalidSpec,
    },
}

/// Something in the file that cannot be used. Lines are counted from 1.
#[derive(Debug, Error)]
pub enum InvalidSpec {
    /// It is not TOML, or not of the expected form.
    #[error("line {line}: {message}")]
    Syntax {
        /// Where.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// A key has a value that cannot be used.
    #[error("line {line}: {key}: {problem}")]
    Key {
        /// Where.
        line: usize,
        /// The key.
        key: &'static str,
        /// What was expected.
        problem: KeyProblem,
    },
    /// All templates together have too many instances.
    #[error("instances: {MAX_INSTANCES} at most expected, not {count}")]
    TooManyInstances {
        /// How many they have.
        count: usize,
    },
}

/// What is wrong with the value of a key.
#[derive(Debug, Error)]
pub enum KeyProblem {
    /// The file that it names is not there.
    #[error("a program expected")]
    NoProgram,
    /// Two templates have the same name.
    #[error("a name of its own expected")]
    DuplicateName,
    /// A name is too long, empty, or has other characters.
    #[error("up to 64 letters, digits, dots, dashes expected")]
    InvalidName,
    /// Two instances have the same address.
    #[error("{address} is another instance's")]
    DuplicateAddress {
        /// The address.
        address: SocketAddr,
    },
    /// A text is no address with one port or a range of ports.
    #[error("an address and ports as in 127.0.0.1:4000-4049, not {text:?}")]
    InvalidAddress {
        /// The text.
        text: String,
    },
    /// A template has more instances than addresses.
    #[error("{max} at most expected, as many as listen has")]
    MoreThanAddresses {
        /// How many addresses it has.
        max: usize,
    },
    /// A number is too small or too large.
    #[error("from {min} to {max} expected, not {found}")]
    OutOfRange {
        /// The smallest number.
        min: f64,
        /// The largest number.
        max: f64,
        /// The number that was found.
        found: f64,
    },
    /// A count is too small or too large.
    #[error("from 1 to {MAX_INSTANCES} expected, not {found}")]
    CountOutOfRange {
        /// The count that was found.
        found: usize,
    },
    /// The file of the settings cannot be read.
    #[error("{}: {source}", path.display())]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file of the settings is not JSON.
    #[error("{}: {source}", path.display())]
    ParseSettings {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: serde_json::Error,
    },
    /// The settings cannot be turned into JSON.
    #[error("{0}")]
    ConvertSettings(#[source] serde_json::Error),
    /// The settings are not a JSON object.
    #[error("an object expected")]
    SettingsNotAnObject,
    /// The zone is not one of those that the settings name.
    #[error("one of settings.zones expected")]
    UnknownZone,
}
