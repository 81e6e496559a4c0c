//! The control socket, a Unix socket by which operators control the daemon. A client sends one request
//! per connection, as a line of JSON, and gets one response, also a line of JSON. The socket is in the
//! state directory, which only its owner can access.

mod client;
mod server;
mod status;

use std::io;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::check::CheckError;
use crate::planner::Generation;
use crate::spec::SpecError;
use crate::state::HistoryEntry;

pub(crate) use client::SOCKET_NAME;
pub use client::{ClientError, send_request};
pub use server::{PendingRequest, Reply, serve};
pub use status::{FleetStatus, RolloutStatus, SlotState, SlotStatus};

/// A request of an operator.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
pub enum Request {
    /// Returns the status of the fleet.
    Status,
    /// Returns the history of events.
    History,
    /// Reads `fleet.toml` again, and rolls it out if it has changed.
    Reload,
    /// Reads the program again, and rolls it out if it has changed.
    Upgrade {
        /// The program to roll out, or `None` for the one that the target names.
        program: Option<PathBuf>,
    },
    /// Undoes the current rollout.
    Rollback,
    /// Takes an instance out of service until it is restarted.
    Drain {
        /// The slot of the instance.
        slot: String,
    },
    /// Replaces an instance by a successor.
    Restart {
        /// The slot of the instance, or `None` for all instances.
        slot: Option<String>,
    },
    /// Changes the number of instances of a template, until the next reload.
    Scale {
        /// The name of the template.
        name: String,
        /// The new number of instances.
        count: usize,
    },
}

/// The response to a request that was carried out or begun.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(untagged)]
pub enum Response {
    /// The status of the fleet.
    Status(Box<FleetStatus>),
    /// The history of events, the oldest entry first.
    History(Vec<HistoryEntry>),
    /// A reload or an upgrade passed its check.
    RolloutBegun {
        /// The generation that is rolled out, or the target if nothing has changed.
        generation: Generation,
        /// Whether a rollout was begun. `false` if the target is up to date.
        changed: bool,
    },
    /// The rollout is being undone.
    RolledBack {
        /// The stable generation, to which all instances return.
        generation: Generation,
    },
    /// An instance is being taken out of service.
    Drained {
        /// The slot of the instance.
        slot: String,
    },
    /// Instances are being replaced.
    Restarted {
        /// The number of processes that are replaced.
        processes: usize,
    },
    /// The number of instances is changed.
    Scaled {
        /// The name of the template.
        name: String,
        /// The new number of instances.
        count: usize,
    },
}

/// The reason why a request was not carried out.
#[derive(Debug, Error)]
pub enum RequestError {
    /// There is no instance with this name.
    #[error("{slot}: no such instance")]
    UnknownSlot {
        /// The requested name.
        slot: String,
    },
    /// There is no template with this name.
    #[error("{name}: no such template")]
    UnknownTemplate {
        /// The requested name.
        name: String,
    },
    /// The template has fewer addresses than the requested number of instances.
    #[error("{name}: {max} at most, as many as it has addresses")]
    TooManyInstances {
        /// The name of the template.
        name: String,
        /// The number of addresses of the template.
        max: usize,
    },
    /// The fleet is shutting down.
    #[error("the fleet stops")]
    ShuttingDown,
    /// An earlier change is still being checked.
    #[error("another change is being checked")]
    CheckInProgress,
    /// An earlier change is still being rolled out.
    #[error("a rollout to generation {target} runs")]
    RolloutInProgress {
        /// The generation that is rolled out.
        target: Generation,
    },
    /// There is no rollout to undo.
    #[error("no rollout runs")]
    NoRollout,
    /// There is no target yet that could be upgraded.
    #[error("nothing runs yet")]
    NothingRuns,
    /// `fleet.toml` cannot be used.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The program cannot be copied.
    #[error("{}: {source}", path.display())]
    ImportProgram {
        /// The path of the program.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The program did not accept its configuration.
    #[error(transparent)]
    Check(#[from] CheckError),
    /// The change cannot be stored.
    #[error("the state cannot be kept: {0}")]
    Store(#[source] io::Error),
    /// The request is not valid JSON or has an unknown form.
    #[error("not understood: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The daemon exited before it answered.
    #[error("the daemon ends")]
    DaemonEnded,
    /// The daemon did not answer in time.
    #[error("no answer in time")]
    Timeout,
}
