//! Reasons for closing connections to servers.

/// The reason for closing a connection to a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The attempt ended without a response after which the connection could be reused. See the log of the attempt.
    #[default]
    AttemptEnded,
    /// The connection reached the maximum idle time.
    Expired,
    /// The server closed the connection, or sent unexpected bytes on it.
    ClosedByServer,
    /// The last response is incomplete, or bytes followed it.
    NotReusable,
    /// The last response on a reused connection had another status than 200, and may be a copy of an earlier one.
    NotServed,
    /// The connection has carried the maximum number of requests.
    RequestLimit,
    /// The connection has carried a head whose buffers take more memory than connections have for it.
    LongHead,
    /// The last response was streamed, so a copy of it could not be recognized by its body.
    Streamed,
    /// Nothing has proved that the last response is whole.
    EndUnproven,
    /// The server has recently sent unexpected bytes.
    ReuseSuspended,
    /// The address of the server has changed.
    AddressChanged,
    /// The socket was needed for another connection.
    Evicted,
    /// The balancer asked to close the idle connections to the server.
    Unwanted,
}

impl CloseReason {
    /// Returns the name used in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            CloseReason::AttemptEnded => "attempt_ended",
            CloseReason::Expired => "expired",
            CloseReason::ClosedByServer => "closed_by_server",
            CloseReason::NotReusable => "not_reusable",
            CloseReason::NotServed => "not_served",
            CloseReason::RequestLimit => "request_limit",
            CloseReason::LongHead => "long_head",
            CloseReason::Streamed => "streamed",
            CloseReason::EndUnproven => "end_unproven",
            CloseReason::ReuseSuspended => "reuse_suspended",
            CloseReason::AddressChanged => "address_changed",
            CloseReason::Evicted => "evicted",
            CloseReason::Unwanted => "unwanted",
        }
    }
}
