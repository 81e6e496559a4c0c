//! The phases of client connections, and the order in which connections are evicted.

use std::time::Instant;

/// The phase of a client connection. Log lines contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of a request has been received.
    Idle,
    /// Part of a request has been received.
    ReceivingRequest,
    /// The head of a request has been received, and no memory is available yet for its body, which is not read.
    AwaitingMemory,
    /// The rest of a long body is being streamed to a server. Its minimum pace is enforced where it is read.
    StreamingRequest,
    /// The request is complete, and no response is available yet.
    AwaitingResponse,
    /// A response is available and not yet written completely.
    Responding,
    /// The last response has been written. Further input is read and discarded.
    Lingering,
}

impl Phase {
    /// Whether a request has been admitted and its response is not yet written completely.
    pub fn is_busy(self) -> bool {
        matches!(self, Phase::StreamingRequest | Phase::AwaitingResponse | Phase::Responding)
    }

    /// Whether a part of a request has been received, and no response to it was written.
    pub fn is_partial_request(self) -> bool {
        matches!(self, Phase::ReceivingRequest | Phase::AwaitingMemory | Phase::StreamingRequest)
    }
}

/// The eviction order of a connection: the one with the smallest rank is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub class: EvictionClass,
    /// The time at which the connection last made progress.
    pub since: Instant,
}

/// The classes of connections that can be evicted, in the order in which they are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionClass {
    Lingering,
    Idle,
    ReceivingRequest,
}
