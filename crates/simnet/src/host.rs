//! Simulated hosts.

use std::io;
use std::net::{IpAddr, SocketAddr};

use rustix::io::Errno;

/// The first port that outgoing connections use.
const FIRST_EPHEMERAL_PORT: u16 = 32_768;

/// Identifies a host of a world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub(crate) usize);

impl HostId {
    /// The position among all hosts, from 0, in the order in which they were added.
    pub fn index(self) -> usize {
        self.0
    }
}

/// How the processes of a host end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostFailure {
    /// The processes are killed: their connections are reset.
    ProcessKilled,
    /// The host vanishes: its peers receive nothing more from it.
    Unreachable,
}

/// Whether the processes of a host run, and what their event loop knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventLoop {
    /// Tasks run, and are told of what arrives at once.
    Running,
    /// The processes are stopped: no task runs, while timers fall due and input arrives.
    HeldUp,
    /// Tasks run again, those of timers first: the event loop has not been asked for input yet.
    CatchingUp,
}

/// The state of a host.
pub(crate) struct Host {
    pub(crate) ip: IpAddr,
    next_port: u16,
    /// How many sockets are open, listeners and connections in their backlogs included.
    pub(crate) open_sockets: usize,
    pub(crate) socket_limit: usize,
    /// Set while the host's tasks are being dropped after a failure.
    pub(crate) failure: Option<HostFailure>,
    /// Whether segments that arrive are processed.
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

    /// Whether no task runs.
    pub(crate) fn is_held_up(&self) -> bool {
        self.event_loop == EventLoop::HeldUp
    }

    /// Whether tasks are told of what arrives.
    pub(crate) fn reports_input(&self) -> bool {
        self.event_loop == EventLoop::Running
    }

    /// Takes a descriptor for a connection.
    ///
    /// # Errors
    ///
    /// If the limit of descriptors is reached.
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

    /// The local address of the next outgoing connection.
    pub(crate) fn next_local_address(&mut self) -> SocketAddr {
        let port = self.next_port;
        self.next_port = port.checked_add(1).unwrap_or(FIRST_EPHEMERAL_PORT);
        SocketAddr::new(self.ip, port)
    }
}
