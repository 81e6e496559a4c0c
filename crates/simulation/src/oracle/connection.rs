//! The state that the oracle keeps of each connection.

use std::time::Duration;

use fakes::framing::MessageFramer;

use crate::model::RequestId;

use super::request::{AttemptRef, AttemptResponse};

/// The request that is open on a client's connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    /// The offset of its end in the byte stream of the connection.
    pub(super) end: u64,
}

/// An exchange of a client.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientExchange {
    pub(super) begun_at: Duration,
    /// `None` before the end of the response.
    pub(super) ended_at: Option<Duration>,
}

/// A connection from a client to a sidecar.
#[derive(Default)]
pub(super) struct ClientConnection {
    /// The number of bytes that the client has written.
    pub(super) written: u64,
    /// The number of bytes that the sidecar has read.
    pub(super) read: u64,
    pub(super) responses: MessageFramer,
    /// The status of the response that is being written.
    pub(super) status: u16,
    pub(super) established_at: Option<Duration>,
    /// The longest time that the connection can have waited to be accepted, as far as the sidecar knows. It counts
    /// for the first request.
    pub(super) assumed_accept_wait: Duration,
    pub(super) open: Option<OpenRequest>,
    /// When the client began to send its last request, and when it had the whole response.
    pub(super) last_exchange: Option<ClientExchange>,
    /// Whether the sidecar has closed it, in one direction or in both.
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
    /// Whether the head of a request is incomplete, so that the request cannot be identified yet.
    pub(super) in_head: bool,
    /// The last attempt on it.
    pub(super) current: Option<AttemptRef>,
    pub(super) response: AttemptResponse,
    /// When bytes of the current response last arrived, if it is incomplete and short enough to be buffered.
    pub(super) last_progress: Option<Duration>,
    /// When bytes of the current response last arrived, if it is incomplete.
    pub(super) last_byte_at: Option<Duration>,
    /// Whether the server has closed or reset it.
    pub(super) ended_by_server: bool,
    /// Whether the current response is too long to be buffered.
    pub(super) is_streamed: bool,
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
            response: AttemptResponse::default(),
            last_progress: None,
            last_byte_at: None,
            ended_by_server: false,
            is_streamed: false,
        }
    }
}

/// A connection that carries requests.
pub(super) enum TrackedConnection {
    Client(ClientConnection),
    Upstream(UpstreamConnection),
}
