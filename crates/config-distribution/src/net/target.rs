//! Targets to which a host applies documents: a standalone sidecar, or the daemon of a fleet.

mod fleet_daemon;
mod standalone;

use std::fs;
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};

use fleet::control::ClientError;
use serde_json::Value;
use tokio::task::JoinError;

pub use fleet_daemon::{FleetDaemon, ServiceSettings};
pub use standalone::Standalone;

use crate::host::{ApplyOutcome, ConfigSnapshot};

/// A target to which a host applies documents.
pub trait ConfigTarget {
    /// Returns the applied configuration, as far as it is known. Its generation is never lower than the real one.
    fn applied(&mut self) -> impl Future<Output = ConfigSnapshot>;

    /// Applies all documents for the host. If they are rejected, the previous configuration stays in effect. If they
    /// could not be applied for a temporary reason, the new configuration may already be written.
    fn apply(&mut self, config: &ConfigSnapshot) -> impl Future<Output = ApplyOutcome>;
}

/// The reason why a configuration was not applied. Its text is reported to operators.
#[derive(Debug, thiserror::Error)]
enum ApplyError {
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    Io { path: PathBuf, source: io::Error },
    /// A file cannot be converted from or to JSON.
    #[error("{}: {source}", path.display())]
    Json { path: PathBuf, source: serde_json::Error },
    /// The configuration contains no valid listen address of the sidecar.
    #[error("listen: an address expected")]
    NoListenAddress,
    /// The process that responds on the sidecar's address uses another configuration file.
    #[error("process {pid} has another configuration")]
    ForeignProcess { pid: u32 },
    /// The sidecar reported an invalid process id.
    #[error("no process")]
    NoProcess,
    /// The sidecar cannot be signalled.
    #[error("{0}")]
    Signal(#[source] rustix::io::Errno),
    /// The sidecar has not reloaded the configuration in time.
    #[error("not taken over in time")]
    ReloadTimeout,
    /// The fleet's daemon cannot be reached, or has rejected a request.
    #[error("{0}")]
    Daemon(#[from] ClientError),
    /// The task that sends a request to the fleet's daemon has failed.
    #[error("{0}")]
    DaemonTask(#[from] JoinError),
    /// The status of the fleet's daemon cannot be parsed.
    #[error("{0}")]
    DaemonStatus(#[source] serde_json::Error),
    /// The fleet's daemon is busy with another rollout.
    #[error("another rollout runs")]
    RolloutInProgress,
    /// The rollout has not ended in time.
    #[error("the rollout did not end in time")]
    RolloutTimeout,
    /// The check of the configuration could not be run.
    #[error("{}: {source}", program.display())]
    CheckFailed { program: PathBuf, source: io::Error },
    /// The check of the configuration has not ended in time.
    #[error("not checked in time")]
    CheckTimeout,
    /// The documents set a key other than `settings`, which cannot be distributed to a fleet.
    #[error("{key}: of a fleet, only settings are distributed")]
    NotDistributed { key: String },
    /// The check, the sidecar or the daemon has rejected the configuration for this reason.
    #[error("{0}")]
    Rejected(String),
}

impl ApplyError {
    /// Returns whether the same configuration would fail again.
    fn is_permanent(&self) -> bool {
        matches!(
            self,
            ApplyError::CheckFailed { .. }
                | ApplyError::CheckTimeout
                | ApplyError::NotDistributed { .. }
                | ApplyError::Rejected(_)
        )
    }
}

impl From<Result<(), ApplyError>> for ApplyOutcome {
    fn from(result: Result<(), ApplyError>) -> ApplyOutcome {
        match result {
            Ok(()) => ApplyOutcome::Applied,
            Err(error) if error.is_permanent() => ApplyOutcome::Rejected(error.to_string()),
            Err(error) => ApplyOutcome::Retry(error.to_string()),
        }
    }
}

/// The file that records the last applied configuration.
struct AppliedMarker {
    path: PathBuf,
}

impl AppliedMarker {
    /// Reads the last applied configuration. A marker that cannot be read counts as missing: all documents are then
    /// received again, and the sidecar reports which generation it runs.
    fn read(&self) -> ConfigSnapshot {
        let text = fs::read(&self.path).ok();
        text.and_then(|text| serde_json::from_slice(&text).ok()).unwrap_or_default()
    }

    fn write(&self, config: &ConfigSnapshot) -> Result<(), ApplyError> {
        let text = serde_json::to_vec(config)
            .map_err(|source| ApplyError::Json { path: self.path.clone(), source })?;
        write_file(&self.path, &text)
    }
}

fn read_json(path: &Path) -> Result<Value, ApplyError> {
    let text = fs::read(path).map_err(|source| ApplyError::Io { path: path.to_owned(), source })?;
    serde_json::from_slice(&text)
        .map_err(|source| ApplyError::Json { path: path.to_owned(), source })
}

fn write_file(path: &Path, text: &[u8]) -> Result<(), ApplyError> {
    fleet::write_atomically(path, text)
        .map_err(|source| ApplyError::Io { path: path.to_owned(), source })
}
