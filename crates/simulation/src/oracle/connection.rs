//! What the oracle knows of a connection.

use std::time::Duration;

use crate::http_framing::MessageFramer;
use crate::model::RequestId;

use super::request::{AttemptRef, AttemptResponse};

/// The request that a client has begun to write.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    /// The position of its end among the bytes of the connection.
    pub(super) end: u64,
}

/// A connection from a client to a sidecar.
#[derive(Default)]
pub(super) struct ClientConnection {
    /// How many bytes the client has written.
    pub(super) written: u64,
    /// How many bytes the sidecar has read.
    pub(super) read: u64,
    pub(super) responses: MessageFramer,
    /// The status of the response that passes.
    pub(super) status: u16,
    pub(super) established_at: Option<Duration>,
    /// How long its first request may be assumed to have waited to be accepted.
    pub(super) assumed_accept_wait: Duration,
    pub(super) open: Option<OpenRequest>,
    /// Whether the sidecar has ended it, in one direction or in both.
    pub(super) ended: bool,
}

/// A connection from a sidecar to a server.
pub(super) struct UpstreamConnection {
    pub(super) sidecar: usize,
    pub(super) server: usize,
    pub(super) zone: usize,
    pub(super) requests: MessageFramer,
    pub(super) responses: MessageFramer,
    /// When the first byte of the last request was written.
    pub(super) first_byte_at: Duration,
    /// Whether the head of a request is incomplete, so that it is not known which request it is.
    pub(super) in_head: bool,
    /// The last attempt on it.
    pub(super) current: Option<AttemptRef>,
    pub(super) response: AttemptResponse,
    /// When bytes of the present response last came, if it is incomplete and short.
    pub(super) last_progress: Option<Duration>,
    /// Whether the present response is too long to be buffered.
    pub(super) streams: bool,
}

impl UpstreamConnection {
    pub(super) fn new(sidecar: usize, server: usize, zone: usize, now: Duration) -> Self {
        UpstreamConnection {
            sidecar,
            server,
            zone,
            requests: MessageFramer::default(),
            responses: MessageFramer::default(),
            first_byte_at: now,
            in_head: false,
            current: None,
            response: AttemptResponse { status: 0, unprocessed: false },
            last_progress: None,
            streams: false,
        }
    }
}

/// A connection that a request may pass on.
pub(super) enum TrackedConnection {
    Client(ClientConnection),
    Upstream(UpstreamConnection),
}
