//! Errors of the configuration. Each message names the key or the variable.

use std::env::VarError;
use std::io;

use thiserror::Error;

use super::ROUND_INTERVALS_MS;
use crate::settings::SettingsError;

/// Error in a configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    #[error("LB_CONFIG: not set; expected the path of the configuration file")]
    NoPath,
    /// A variable cannot be read.
    #[error("{name}: {source}")]
    Variable {
        /// The variable.
        name: &'static str,
        /// The cause.
        source: VarError,
    },
    /// The file named by `LB_CONFIG` cannot be used.
    #[error("LB_CONFIG: {0}")]
    InVariable(#[source] Box<ConfigError>),
    /// A file cannot be used.
    #[error("{path}: {source}")]
    InFile {
        /// The file.
        path: String,
        /// The cause.
        source: Box<ConfigError>,
    },
    /// A file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: io::Error,
    },
    /// The text is not JSON, or a key has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The balancer's settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A key is neither in the file nor in its variable.
    #[error("{key}: missing; set it in the file or in {variable}")]
    Missing {
        /// The key in the file.
        key: &'static str,
        /// The variable.
        variable: &'static str,
    },
    /// A key and its variable have different values.
    #[error("{key}: {in_file:?} in the file, but {in_variable:?} in {variable}")]
    Contradiction {
        /// The key in the file.
        key: &'static str,
        /// Its value in the file.
        in_file: String,
        /// The variable.
        variable: &'static str,
        /// Its value in the variable.
        in_variable: String,
    },
    /// The value is not a socket address.
    #[error("{key}: expected an address and a port, got {value:?}")]
    Address {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
    },
    /// The seed is not hexadecimal.
    #[error("seed: expected 16 hexadecimal digits, got {value:?}")]
    Seed {
        /// The value.
        value: String,
    },
    /// A number is too small.
    #[error("{key}: must be at least {min}")]
    TooSmall {
        /// The key.
        key: &'static str,
        /// The smallest allowed value.
        min: usize,
    },
    /// A number is out of range.
    #[error("{key}: must be between {min} and {max}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// The smallest allowed value.
        min: usize,
        /// The largest allowed value.
        max: usize,
    },
    /// The interval between gossip rounds is out of range.
    #[error(
        "tier.turn_ms: must be between {min} and {max}, got {value:?}",
        min = ROUND_INTERVALS_MS.start(),
        max = ROUND_INTERVALS_MS.end()
    )]
    RoundInterval {
        /// The value.
        value: String,
    },
    /// The list of peers does not have one for each instance.
    #[error("peers: expected one entry for each of settings.instances")]
    PeerCount,
    /// The memory is too small for the membership table.
    #[error(
        "settings.instances: must be at most {max} with tier.turn_ms and limits.memory_mb = {memory_mb}"
    )]
    TooManyMembers {
        /// The largest possible number of members.
        max: usize,
        /// The memory limit in megabytes.
        memory_mb: usize,
    },
    /// The memory is too small for the cached endpoint list.
    #[error("known.hosts: must have at most {max} entries with limits.memory_mb = {memory_mb}")]
    TooManyEndpoints {
        /// The largest possible number of endpoints.
        max: usize,
        /// The memory limit in megabytes.
        memory_mb: usize,
    },
    /// An entry of a list has no name.
    #[error("settings.{list}: every entry needs a name")]
    MissingName {
        /// The list in the settings.
        list: &'static str,
    },
    /// Two entries of a list have the same name.
    #[error("settings.{list}[{index}].name: duplicate name")]
    DuplicateName {
        /// The list in the settings.
        list: &'static str,
        /// The position of the second entry.
        index: usize,
    },
}

impl ConfigError {
    /// Whether a file could not be read, so that a retry may succeed.
    pub fn is_read_failure(&self) -> bool {
        match self {
            ConfigError::Read { .. } => true,
            ConfigError::InVariable(source) | ConfigError::InFile { source, .. } => {
                source.is_read_failure()
            }
            _ => false,
        }
    }
}
