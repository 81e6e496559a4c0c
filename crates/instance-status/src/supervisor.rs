//! The socket of the supervisor of this process, which is systemd or the fleet daemon.

use std::os::unix::net::UnixDatagram;

/// The environment variable with the path of the socket of the supervisor.
const SOCKET_VARIABLE: &str = "NOTIFY_SOCKET";

/// A socket that sends datagrams to the supervisor of this process.
///
/// It never blocks, as a supervisor that does not read would otherwise stop the event loop that serves
/// clients. The crates for sd_notify block, so none of them is used.
pub struct SupervisorSocket {
    socket: UnixDatagram,
    path: String,
}

impl SupervisorSocket {
    /// Creates a socket that sends to the path in `NOTIFY_SOCKET`. Returns `None` if the variable is not
    /// set or is not an absolute path, or no socket can be created.
    pub fn from_env() -> Option<SupervisorSocket> {
        let path = std::env::var(SOCKET_VARIABLE).ok().filter(|path| path.starts_with('/'))?;
        let socket = UnixDatagram::unbound().ok()?;
        socket.set_nonblocking(true).ok()?;
        Some(SupervisorSocket { socket, path })
    }

    /// Sends one or more fields, one per line. Returns whether they were sent. They are lost if the
    /// supervisor is gone or its queue is full.
    pub fn send(&self, fields: &str) -> bool {
        self.socket.send_to(fields.as_bytes(), &self.path).is_ok()
    }
}
