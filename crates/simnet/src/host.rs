//! Simulated hosts.

use std::io;
use std::net::{IpAddr, SocketAddr};

use rustix::io::Errno;

/// The first local port of outgoing connections.
const FIRST_EPHEMERAL_PORT: u16 = 32_768;

/// Identifies a host of a world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub(crate) usize);

impl HostId {
    /// Returns the index of the host in the order in which hosts were added, from 0.
    pub fn index(self) -> usize {
        self.0
    }
}

/// The way in which the processes of a host end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostFailure {
    /// The processes are killed, and their connections are reset.
    ProcessKilled,
    /// The host becomes unreachable, and its peers receive nothing more from it.
    Unreachable,
}

/// The state of a host's event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventLoop {
    /// Tasks run, and input is reported to them as it arrives.
    Running,
    /// The processes are stopped: no task runs, while timers expire and input arrives.
    HeldUp,
    /// Tasks run again, starting with those of expired timers. The event loop has not reported input yet.
    CatchingUp,
}

/// The state of a host.
pub(crate) struct Host {
    pub(crate) ip: IpAddr,
    next_port: u16,
    /// The number of open sockets, including listeners and connections in their backlogs.
    pub(crate) open_sockets: usize,
    pub(crate) socket_limit: usize,
    /// Set while the host's tasks are being dropped after a failure.
    pub(crate) failure: Option<HostFailure>,
    /// Whether the host processes arriving segments and SYNs.
    pub(crate) reachable: bool,
    pub(crate) event_loop: EventLoop,
}

impl Host {
    pub(crate) fn new(ip: IpAddr) -> Host {
        Host {
            ip,
            next_port: FIRST_EPHEMERAL_PORT,
            open_sockets: 0,
            socket_limit: usize::MAX,
            failure: None,
            reachable: true,
            event_loop: EventLoop::Running,
        }
    }

    /// Returns whether the processes are stopped.
    pub(crate) fn is_held_up(&self) -> bool {
        self.event_loop == EventLoop::HeldUp
    }

    /// Returns whether input is reported to tasks as it arrives.
    pub(crate) fn reports_input(&self) -> bool {
        self.event_loop == EventLoop::Running
    }

    /// Counts a new socket of a connection.
    ///
    /// # Errors
    ///
    /// EMFILE if the limit on open sockets is reached.
    pub(crate) fn open_socket(&mut self) -> io::Result<()> {
        if self.open_sockets >= self.socket_limit {
            return Err(Errno::MFILE.into());
        }
        self.open_sockets += 1;
        Ok(())
    }

    pub(crate) fn close_socket(&mut self) {
        self.open_sockets = self.open_sockets.saturating_sub(1);
    }

    /// Allocates the local address of an outgoing connection.
    pub(crate) fn next_local_address(&mut self) -> SocketAddr {
        let port = self.next_port;
        self.next_port = port.checked_add(1).unwrap_or(FIRST_EPHEMERAL_PORT);
        SocketAddr::new(self.ip, port)
    }
}
