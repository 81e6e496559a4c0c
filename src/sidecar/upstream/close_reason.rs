//! Why connections to servers are closed.

/// Why a connection to a server is closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The attempt on it ended without a response that allows another request; its own end tells more.
    #[default]
    AttemptEnded,
    /// It was idle for as long as it may be.
    Expired,
    /// The server closed it, or sent something unasked for.
    ClosedByServer,
    /// The last response is not whole, or something followed it.
    NotReusable,
    /// It had carried other requests, and the last response did not serve its request.
    NotServed,
    /// It has carried as many requests as it may.
    RequestLimit,
    /// The last response was forwarded while it was received: a copy of it would not be known by its body.
    Streamed,
    /// The server has sent unexpected bytes lately.
    ReuseSuspended,
    /// The server is at another address.
    AddressChanged,
    /// Room was needed for another connection.
    Evicted,
    /// The balancer wants no idle connections to the server.
    Unwanted,
}

impl CloseReason {
    /// The name in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            CloseReason::AttemptEnded => "attempt_ended",
            CloseReason::Expired => "expired",
            CloseReason::ClosedByServer => "closed_by_server",
            CloseReason::NotReusable => "not_reusable",
            CloseReason::NotServed => "not_served",
            CloseReason::RequestLimit => "request_limit",
            CloseReason::Streamed => "streamed",
            CloseReason::ReuseSuspended => "reuse_suspended",
            CloseReason::AddressChanged => "address_changed",
            CloseReason::Evicted => "evicted",
            CloseReason::Unwanted => "unwanted",
        }
    }
}
