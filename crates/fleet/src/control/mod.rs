//! The daemon's Unix socket for operators: one request per line, one response per line, both JSON.
//! The socket is in the state directory, which only its owner can open.

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

/// What operators can ask for.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
pub enum Request {
    /// The state of the fleet.
    Status,
    /// What happened.
    History,
    /// Read `fleet.toml` again.
    Reload,
    /// Read the program again.
    Upgrade {
        /// A program in place of the one that `fleet.toml` names.
        program: Option<PathBuf>,
    },
    /// Undo the rollout that runs.
    Rollback,
    /// Take an instance out of service until it is restarted.
    Drain {
        /// The instance.
        slot: String,
    },
    /// Replace an instance by a successor; without a slot, all instances.
    Restart {
        /// The instance.
        slot: Option<String>,
    },
    /// Change the number of instances, until the next reload.
    Scale {
        /// The template.
        name: String,
        /// How many.
        count: usize,
    },
}

/// The answer to a request that was carried out or begun.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(untagged)]
pub enum Response {
    /// The state of the fleet.
    Status(Box<FleetStatus>),
    /// What happened, the oldest entry first.
    History(Vec<HistoryEntry>),
    /// A reload or an upgrade is sound.
    RolloutBegun {
        /// What is rolled out.
        generation: Generation,
        /// Whether it differs from what was the target before.
        changed: bool,
    },
    /// A rollout is undone.
    RolledBack {
        /// What all instances run again.
        generation: Generation,
    },
    /// An instance is taken out of service.
    Drained {
        /// The instance.
        slot: String,
    },
    /// Instances are being replaced.
    Restarted {
        /// How many processes.
        processes: usize,
    },
    /// The number of instances is changed.
    Scaled {
        /// The template.
        name: String,
        /// How many instances it has now.
        count: usize,
    },
}

/// Why a request was not carried out.
#[derive(Debug, Error)]
pub enum RequestError {
    /// There is no such instance.
    #[error("{slot}: no such instance")]
    UnknownSlot {
        /// The name that was given.
        slot: String,
    },
    /// There is no such template.
    #[error("{name}: no such template")]
    UnknownTemplate {
        /// The name that was given.
        name: String,
    },
    /// A template has fewer addresses.
    #[error("{name}: {max} at most, as many as it has addresses")]
    TooManyInstances {
        /// The template.
        name: String,
        /// How many addresses it has.
        max: usize,
    },
    /// All instances are ending.
    #[error("the fleet stops")]
    ShuttingDown,
    /// An earlier change has not been checked yet.
    #[error("another change is being checked")]
    CheckInProgress,
    /// An earlier change is being rolled out.
    #[error("a rollout to generation {target} runs")]
    RolloutInProgress {
        /// What is rolled out.
        target: Generation,
    },
    /// There is no rollout to undo.
    #[error("no rollout runs")]
    NoRollout,
    /// There is no target to upgrade.
    #[error("nothing runs yet")]
    NothingRuns,
    /// `fleet.toml` cannot be used.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// The program cannot be copied.
    #[error("{}: {source}", path.display())]
    ImportProgram {
        /// The program.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The program does not accept its configuration.
    #[error(transparent)]
    Check(#[from] CheckError),
    /// The change cannot be stored.
    #[error("the state cannot be kept: {0}")]
    Store(#[source] io::Error),
    /// The request is not one that the daemon knows.
    #[error("not understood: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The daemon ended before it had answered.
    #[error("the daemon ends")]
    DaemonEnded,
    /// The daemon did not answer in time.
    #[error("no answer in time")]
    Timeout,
}
