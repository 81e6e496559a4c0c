//! Errors of `fleet.toml`. The messages name the line and the key.

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
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The invalid part of the file.
        source: InvalidSpec,
    },
}

/// An invalid part of the file. Lines are counted from 1.
#[derive(Debug, Error)]
pub enum InvalidSpec {
    /// The file is not valid TOML, or does not have the expected structure.
    #[error("line {line}: {message}")]
    Syntax {
        /// The line of the error.
        line: usize,
        /// The message of the parser.
        message: String,
    },
    /// The value of a key is invalid.
    #[error("line {line}: {key}: {problem}")]
    Key {
        /// The line of the error.
        line: usize,
        /// The key.
        key: &'static str,
        /// The problem with the value.
        problem: KeyProblem,
    },
    /// The templates have too many instances in total.
    #[error("instances: must be at most {MAX_INSTANCES} in total, not {count}")]
    TooManyInstances {
        /// The number of instances of all templates.
        count: usize,
    },
}

/// The problem with the value of a key.
#[derive(Debug, Error)]
pub enum KeyProblem {
    /// The program file does not exist.
    #[error("must name an existing file")]
    NoProgram,
    /// Two templates have the same name.
    #[error("must differ from the names of other templates")]
    DuplicateName,
    /// A name is empty, too long, or contains characters that are not allowed.
    #[error("must have 1 to 64 letters, digits, dots, dashes or underscores")]
    InvalidName,
    /// Two instances have the same address.
    #[error("{address} is used by another instance")]
    DuplicateAddress {
        /// The address that occurs twice.
        address: SocketAddr,
    },
    /// A text is not an address with a port or a range of ports.
    #[error("must be an address and ports, as in 127.0.0.1:4000-4049, not {text:?}")]
    InvalidAddress {
        /// The text that was found.
        text: String,
    },
    /// A template has more instances than addresses.
    #[error("must be at most {max}, the number of addresses in listen")]
    MoreThanAddresses {
        /// The number of addresses of the template.
        max: usize,
    },
    /// A number is too small or too large.
    #[error("must be from {min} to {max}, not {found}")]
    OutOfRange {
        /// The smallest allowed number.
        min: f64,
        /// The largest allowed number.
        max: f64,
        /// The number that was found.
        found: f64,
    },
    /// A count is too small or too large.
    #[error("must be from 1 to {MAX_INSTANCES}, not {found}")]
    CountOutOfRange {
        /// The count that was found.
        found: usize,
    },
    /// The settings file cannot be read.
    #[error("{}: {source}", path.display())]
    ReadSettings {
        /// The path of the settings file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The settings file is not valid JSON.
    #[error("{}: {source}", path.display())]
    ParseSettings {
        /// The path of the settings file.
        path: PathBuf,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The inline settings cannot be converted to JSON.
    #[error("{0}")]
    ConvertSettings(#[source] serde_json::Error),
    /// The settings are not a JSON object.
    #[error("must be an object")]
    SettingsNotAnObject,
    /// The zone is not listed in `zones` of the settings.
    #[error("must be one of settings.zones")]
    UnknownZone,
}
