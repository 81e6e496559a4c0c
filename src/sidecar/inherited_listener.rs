//! A listener that this process inherits: the `LISTEN_FDS` convention of sd_listen_fds(3). It
//! outlives the process, so no connection is refused while the process is replaced; what connects
//! meanwhile waits in the listener's queue.

use std::io;
use std::net::{SocketAddr, TcpListener};

use listenfd::ListenFd;

/// How many connections may wait to be accepted: a crowd connects within a second.
pub const LISTEN_BACKLOG: i32 = 4096;

/// Why an inherited listener cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// More than one socket was passed.
    #[error("LISTEN_FDS: one listener expected, not {count}")]
    TooMany {
        /// How many were.
        count: usize,
    },
    /// Its address is not the configuration's.
    #[error("LISTEN_FDS: a listener at {inherited}, but listen is {configured}")]
    WrongAddress {
        /// Where it listens.
        inherited: SocketAddr,
        /// Where it should.
        configured: SocketAddr,
    },
    /// The system refuses what is asked of it.
    #[error("LISTEN_FDS: {0}")]
    System(#[from] io::Error),
}

/// The listener that was passed to this process, if one was.
///
/// One at another address than the configuration's would serve the wrong clients without a word.
///
/// # Errors
///
/// When what was passed is not one listener at `address`.
pub fn inherited_listener(
    address: SocketAddr,
) -> Result<Option<TcpListener>, InheritedListenerError> {
    let mut passed = ListenFd::from_env();
    if passed.len() > 1 {
        return Err(InheritedListenerError::TooMany { count: passed.len() });
    }
    let Some(listener) = passed.take_tcp_listener(0)? else { return Ok(None) };
    let inherited = listener.local_addr()?;
    let same_port = address.port() == 0 || inherited.port() == address.port();
    if inherited.ip() != address.ip() || !same_port {
        return Err(InheritedListenerError::WrongAddress { inherited, configured: address });
    }
    listener.set_nonblocking(true)?;
    // What connects while processes are replaced needs as long a queue as our own listener has;
    // whoever bound it may have asked for less.
    let _ = socket2::SockRef::from(&listener).listen(LISTEN_BACKLOG);
    Ok(Some(listener))
}
