//! Observation of everything that passes on the network.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{ConnectionId, HostId};

/// Observes everything that passes on the network.
pub trait Tap {
    /// Called for each event; `now` is the virtual time since the start of the world.
    fn on_event(&mut self, now: Duration, event: &TapEvent<'_>);
}

/// An event on the network.
#[derive(Debug)]
pub enum TapEvent<'a> {
    /// A connection is being opened.
    Connecting {
        /// The connection.
        connection: ConnectionId,
        /// The host that opens it.
        by: HostId,
    },
    /// A connection was established.
    Connected {
        /// The connection.
        connection: ConnectionId,
        /// The host that opened it.
        from: HostId,
        /// The host that listens.
        to: HostId,
        /// The address that is listened on.
        address: SocketAddr,
    },
    /// A process took a connection out of its listener's backlog.
    Accepted {
        /// The connection.
        connection: ConnectionId,
        /// The host that listens.
        by: HostId,
    },
    /// A process wrote bytes.
    Sent {
        /// The connection.
        connection: ConnectionId,
        /// The host that wrote.
        from: HostId,
        /// The host that they are sent to.
        to: HostId,
        /// What was written.
        bytes: &'a [u8],
    },
    /// A process read bytes.
    Read {
        /// The connection.
        connection: ConnectionId,
        /// The host that read.
        by: HostId,
        /// What was read.
        bytes: &'a [u8],
    },
    /// A process shut down its sending direction.
    WriteShutdown {
        /// The connection.
        connection: ConnectionId,
        /// The host of the process.
        by: HostId,
        /// How many bytes had arrived at this end and were not read.
        unread: usize,
    },
    /// A process closed its end of a connection.
    Closed {
        /// The connection.
        connection: ConnectionId,
        /// The host of the process.
        by: HostId,
        /// Whether the peer receives a reset.
        reset: bool,
        /// How many bytes had arrived at this end and were not read.
        unread: usize,
    },
}
