//! Listener inheritance with the `LISTEN_FDS` convention of sd_listen_fds(3). The listener outlives the process, so no
//! connection is refused while the process is replaced. New connections wait in the listener's queue meanwhile.

use std::io;
use std::net::{SocketAddr, TcpListener};

use listenfd::ListenFd;

/// Maximum number of connections that wait to be accepted. Bursts of clients connect within a second.
pub const LISTEN_BACKLOG: i32 = 4096;

/// Error returned when an inherited listener cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InheritedListenerError {
    /// More than one socket was passed.
    #[error("LISTEN_FDS: expected one listener, got {count}")]
    TooMany {
        /// The number of sockets passed.
        count: usize,
    },
    /// The listener has another address than the configured one.
    #[error(
        "LISTEN_FDS: the inherited listener is bound to {inherited}, but listen is {configured}"
    )]
    WrongAddress {
        /// The address of the listener.
        inherited: SocketAddr,
        /// The configured address.
        configured: SocketAddr,
    },
    /// A system call failed.
    #[error("LISTEN_FDS: {0}")]
    System(#[from] io::Error),
}

/// The listener that was passed to this process; `None` if none was.
///
/// A listener at another address is an error, because it would serve the wrong clients silently.
///
/// # Errors
///
/// When other sockets than one listener at `address` were passed.
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
    // Connections that arrive while the process is replaced need the same backlog as a listener bound by this process.
    // The listener may have been bound with a shorter one.
    let _ = socket2::SockRef::from(&listener).listen(LISTEN_BACKLOG);
    Ok(Some(listener))
}
