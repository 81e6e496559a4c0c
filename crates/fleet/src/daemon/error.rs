//! Why the daemon cannot begin, and why it cannot start or reload an instance.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use crate::control::RequestError;
use crate::state_directory::StateError;
use runtime::signals::SignalError;

/// The daemon cannot begin.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// Its state directory cannot be used.
    #[error(transparent)]
    State(#[from] StateError),
    /// A signal cannot be handled.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// One of its sockets cannot be bound.
    #[error("{}: {source}", path.display())]
    Bind {
        /// The socket.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The process that keeps the listeners cannot be reached or started.
    #[error("the holder of listeners: {0}")]
    SocketHolder(#[source] io::Error),
    /// The first desired state cannot be used.
    #[error(transparent)]
    FirstRevision(#[from] RequestError),
}

/// An instance cannot be started or reloaded.
#[derive(Debug, Error)]
pub(super) enum InstanceError {
    #[error("its generation is not known")]
    UnknownGeneration,
    #[error("its generation does not have it")]
    NotInGeneration,
    #[error("it has no listener")]
    NoListener,
    #[error("{address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("{}: {source}", path.display())]
    WriteConfiguration { path: PathBuf, source: io::Error },
    #[error("{0}")]
    Start(#[source] io::Error),
}
