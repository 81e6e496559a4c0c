//! Listeners that this process was given at its start: the `LISTEN_FDS` convention of
//! sd_listen_fds(3). They outlive the process, so while it is replaced no connection is refused;
//! what comes meanwhile waits in the backlog.

use std::net::{SocketAddr, TcpListener};

use listenfd::ListenFd;

/// The listener that was handed over, if one was. An error tells why it is not the one at `at`.
///
/// Danger: a listener of another address than the configuration's would serve the wrong clients
/// without a word.
pub fn listener(at: SocketAddr) -> Result<Option<TcpListener>, String> {
    let mut given = ListenFd::from_env();
    if given.len() > 1 {
        return Err(format!("LISTEN_FDS: one listener expected, not {}", given.len()));
    }
    let given = given.take_tcp_listener(0).map_err(|e| format!("LISTEN_FDS: {e}"))?;
    let Some(listener) = given else { return Ok(None) };
    let own = listener.local_addr().map_err(|e| format!("LISTEN_FDS: {e}"))?;
    if own.ip() != at.ip() || (at.port() != 0 && own.port() != at.port()) {
        return Err(format!("LISTEN_FDS: a listener at {own}, but listen is {at}"));
    }
    listener.set_nonblocking(true).map_err(|e| format!("LISTEN_FDS: {e}"))?;
    // What waits while processes change places needs as much room as ours has; whoever bound it may
    // have asked for less.
    let _ = socket2::SockRef::from(&listener).listen(super::BACKLOG);
    Ok(Some(listener))
}
