//! What client connections are doing, and which of them can best be spared.

use std::time::Instant;

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of a request has been received.
    Idle,
    /// Part of a request has been received.
    ReceivingRequest,
    /// The rest of a long body is streamed to a server; its pace is enforced where it is read.
    StreamingRequest,
    /// The request is complete and its response is awaited.
    AwaitingResponse,
    /// The response is available; some of it may not have been written.
    Responding,
    /// The last response is written; further input is read and discarded.
    Lingering,
}

impl Phase {
    /// Whether a request has been taken on and its response is not yet completely written.
    pub fn is_busy(self) -> bool {
        matches!(self, Phase::StreamingRequest | Phase::AwaitingResponse | Phase::Responding)
    }
}

/// Which connection is closed first when room is needed: the smallest is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub class: EvictionClass,
    /// Since when it has been so.
    pub since: Instant,
}

/// What connections that can be closed for room are doing, the one closed first at the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionClass {
    Lingering,
    Idle,
    ReceivingRequest,
}
