//! What happens on the network.

use std::net::SocketAddr;

use crate::connection::{ConnectionId, Endpoint};

/// An event on the network.
pub(crate) enum NetworkEvent {
    /// A SYN arrives; `attempt` counts from 0.
    Syn { connection: ConnectionId, attempt: u32 },
    /// The answer to a SYN arrives.
    SynAnswer { connection: ConnectionId, accepted: bool },
    /// Segments in flight to an endpoint may have arrived.
    SegmentsArrive { connection: ConnectionId, to: Endpoint },
    /// A datagram arrives.
    Datagram { from: SocketAddr, to: SocketAddr, data: Vec<u8> },
}
