//! Why a configuration cannot be used. Each message names the key or the variable.

use std::env::VarError;
use std::io;

use thiserror::Error;

use super::ROUND_INTERVALS_MS;
use crate::settings::SettingsError;

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    #[error("LB_CONFIG: the path of the configuration expected")]
    NoPath,
    /// A variable cannot be read.
    #[error("{name}: {source}")]
    Variable {
        /// The variable.
        name: &'static str,
        /// The cause.
        source: VarError,
    },
    /// The file that `LB_CONFIG` names cannot be used.
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
    #[error("{key}: expected here or in {variable}")]
    Missing {
        /// The key in the file.
        key: &'static str,
        /// The variable.
        variable: &'static str,
    },
    /// A key and its variable have different values.
    #[error("{key}: {in_file:?} here, but {in_variable:?} in {variable}")]
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
    /// The value is not the address of a socket.
    #[error("{key}: an address and a port expected, not {value:?}")]
    Address {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
    },
    /// The seed is not hexadecimal.
    #[error("seed: 16 hexadecimal digits expected, not {value:?}")]
    Seed {
        /// The value.
        value: String,
    },
    /// A number is too small.
    #[error("{key}: {min} or more expected")]
    TooSmall {
        /// The key.
        key: &'static str,
        /// The least value.
        min: usize,
    },
    /// A number is out of range.
    #[error("{key}: {min} to {max} expected")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// The least value.
        min: usize,
        /// The largest value.
        max: usize,
    },
    /// The interval between gossip rounds is out of range.
    #[error(
        "tier.turn_ms: {min} to {max} expected, not {value:?}",
        min = ROUND_INTERVALS_MS.start(),
        max = ROUND_INTERVALS_MS.end()
    )]
    RoundInterval {
        /// The value.
        value: String,
    },
    /// The list of peers does not have one for each instance.
    #[error("peers: as many as settings.instances expected")]
    PeerCount,
    /// The memory is too small for the membership table.
    #[error(
        "settings.instances: {max} at most expected with tier.turn_ms and limits.memory_mb = {memory_mb}"
    )]
    TooManyMembers {
        /// The most members.
        max: usize,
        /// The memory limit.
        memory_mb: usize,
    },
    /// The memory is too small for the cached endpoint list.
    #[error("known.hosts: {max} at most expected with limits.memory_mb = {memory_mb}")]
    TooManyEndpoints {
        /// The most endpoints.
        max: usize,
        /// The memory limit.
        memory_mb: usize,
    },
    /// An entry of a list has no name.
    #[error("settings.{list}: names expected")]
    MissingName {
        /// The list in the settings.
        list: &'static str,
    },
    /// Two entries of a list have the same name.
    #[error("settings.{list}[{index}].name: a name of its own expected")]
    DuplicateName {
        /// The list in the settings.
        list: &'static str,
        /// The position of the second entry.
        index: usize,
    },
}

impl ConfigError {
    /// Whether a file could not be read, so that another attempt may succeed.
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
