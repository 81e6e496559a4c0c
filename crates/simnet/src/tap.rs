//! Observation of the simulated network.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{ConnectionId, HostId};

/// Observes all events on the network.
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
        /// The host that opens the connection.
        by: HostId,
    },
    /// A connection was established.
    Connected {
        /// The connection.
        connection: ConnectionId,
        /// The host that opened the connection.
        from: HostId,
        /// The host that listens.
        to: HostId,
        /// The address of the listener.
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
        /// The host that wrote the bytes.
        from: HostId,
        /// The host that the bytes are sent to.
        to: HostId,
        /// The written bytes.
        bytes: &'a [u8],
    },
    /// A process read bytes.
    Read {
        /// The connection.
        connection: ConnectionId,
        /// The host that read the bytes.
        by: HostId,
        /// The bytes read.
        bytes: &'a [u8],
    },
    /// A process read that its peer has ended its sending direction.
    EndRead {
        /// The connection.
        connection: ConnectionId,
        /// The host of the process.
        by: HostId,
    },
    /// A process shut down its sending direction.
    WriteShutdown {
        /// The connection.
        connection: ConnectionId,
        /// The host of the process.
        by: HostId,
        /// The number of bytes that had arrived at this end and were not read.
        unread: usize,
    },
    /// A process closed its end of a connection.
    Closed {
        /// The connection.
        connection: ConnectionId,
        /// The host of the process.
        by: HostId,
        /// Whether the peer is sent a reset.
        reset: bool,
        /// The number of bytes that had arrived at this end and were not read.
        unread: usize,
    },
}
