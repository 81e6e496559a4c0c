//! The connection to whatever supervises this process: systemd, or the fleet's daemon.

use std::os::unix::net::UnixDatagram;

/// The variable that names the supervisor's socket.
const SOCKET_VARIABLE: &str = "NOTIFY_SOCKET";

/// The socket of this process's supervisor.
///
/// It never blocks: a supervisor that does not read would otherwise stop the event loop that serves
/// clients. Crates for sd_notify block, so none is used.
pub struct SupervisorSocket {
    socket: UnixDatagram,
    path: String,
}

impl SupervisorSocket {
    /// The socket that `NOTIFY_SOCKET` names, if it names one by an absolute path.
    pub fn from_env() -> Option<SupervisorSocket> {
        let path = std::env::var(SOCKET_VARIABLE).ok().filter(|path| path.starts_with('/'))?;
        let socket = UnixDatagram::unbound().ok()?;
        socket.set_nonblocking(true).ok()?;
        Some(SupervisorSocket { socket, path })
    }

    /// Sends one or more fields, one per line. Returns whether they were sent; they may still be
    /// lost when the supervisor is gone or its queue is full.
    pub fn send(&self, fields: &str) -> bool {
        self.socket.send_to(fields.as_bytes(), &self.path).is_ok()
    }
}
