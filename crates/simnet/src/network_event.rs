//! Scheduled events of the network.

use std::net::SocketAddr;

use crate::connection::{ConnectionId, Endpoint};

/// A scheduled event of the network.
pub(crate) enum NetworkEvent {
    /// A SYN arrives; `attempt` counts from 0.
    Syn { connection: ConnectionId, attempt: u32 },
    /// The answer to a SYN arrives.
    SynAnswer { connection: ConnectionId, accepted: bool },
    /// The arrival time of a segment in flight to an endpoint is reached. The segment may already have been
    /// delivered or dropped.
    SegmentsArrive { connection: ConnectionId, to: Endpoint },
    /// A datagram arrives.
    Datagram { from: SocketAddr, to: SocketAddr, data: Vec<u8> },
}
