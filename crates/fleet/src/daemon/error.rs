//! Errors of the start of the daemon, and of starting or reloading an instance.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use crate::control::RequestError;
use crate::state_directory::StateError;
use runtime::signals::SignalError;

/// The daemon cannot start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The state directory cannot be used.
    #[error(transparent)]
    State(#[from] StateError),
    /// A signal handler cannot be registered.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// A socket of the daemon cannot be bound.
    #[error("{}: {source}", path.display())]
    Bind {
        /// The path of the socket.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The socket holder cannot be reached or started.
    #[error("socket holder: {0}")]
    SocketHolder(#[source] io::Error),
    /// The first revision cannot be created from the desired state.
    #[error(transparent)]
    FirstRevision(#[from] RequestError),
}

/// An instance cannot be started or reloaded.
#[derive(Debug, Error)]
pub(super) enum InstanceError {
    #[error("the generation of the instance is unknown")]
    UnknownGeneration,
    #[error("the generation does not contain the instance")]
    NotInGeneration,
    #[error("the instance has no listener")]
    NoListener,
    #[error("{address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("{}: {source}", path.display())]
    WriteConfiguration { path: PathBuf, source: io::Error },
    #[error("{0}")]
    Start(#[source] io::Error),
}
