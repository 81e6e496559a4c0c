//! The interface of the balancer: the events that it takes and the actions that it returns.
//!
//! These types contain no decision logic and do not depend on a wire format.

use smallvec::SmallVec;

/// A time or a duration in microseconds. Times are on a monotonic clock with an arbitrary origin.
pub type Micros = u64;

/// Time after which an instance counts as notified of a change that it could have fetched from discovery, in
/// microseconds. It applies even if the calls to discovery fail in the meantime. Defined by the protocol.
pub const NOTIFICATION_DEADLINE: Micros = 6_000_000;

/// The number that a sidecar assigns to a request; unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The identity of a server, which is the same at every sidecar. It may be compared and hashed, and carries no other
/// information.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct ServerId(pub u64);

/// The state of a server according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It accepts requests.
    #[default]
    Ready,
    /// It is shutting down gracefully and must get no further requests.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server's identity.
    pub id: ServerId,
    /// The index of its zone in the settings.
    pub zone: u8,
    /// The index of its machine type in the settings.
    pub kind: u16,
    /// The cell (pod) that it belongs to.
    pub cell: u16,
    /// Its state according to discovery.
    pub health: Health,
    /// Its weight according to discovery; [`crate::settings::WeightKind`] gives its meaning.
    pub weight: f32,
    /// The start time of its process, on the clock of its machine; 0 means long ago.
    pub started_at: Micros,
}

/// How an endpoint list relates to the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list.
    Complete,
    /// The complete list as last stored by this sidecar; it may be out of date.
    Cached,
    /// Only the entries that changed.
    Delta,
    /// A poll or the watch failed; the previous list stays in effect.
    Failed,
}

/// The values of a load report, in the order of the columns in the settings.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct LoadReport(pub SmallVec<[f32; 4]>);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded successfully.
    Success,
    /// The server responded with an error; the request may have run.
    ErrorResponse,
    /// The server rejected it for lack of capacity without processing it: it never ran.
    Rejected,
    /// No response arrived within the timeout of the attempt; the request may have run.
    TimedOut,
    /// No connection could be established: it never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    ConnectionReset,
    /// The balancer cancelled it; the request may have run.
    Cancelled,
    /// It was never sent: it never ran.
    NotSent,
}

impl Outcome {
    /// All outcomes, in the order of statistics.
    pub const ALL: [Outcome; 8] = [
        Outcome::Success,
        Outcome::ErrorResponse,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::ConnectionReset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];

    /// Returns the name in logs and statistics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Success => "success",
            Outcome::ErrorResponse => "error_response",
            Outcome::Rejected => "rejected",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::ConnectionReset => "connection_reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not_sent",
        }
    }

    /// Returns whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// The progress of a response that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseProgress {
    /// It has begun, and can serve the request: its client could be given what has come, and the rest as it comes.
    Begun,
    /// Its server has sent nothing for the shortest latency objective.
    Paused,
    /// Its server has gone on.
    Resumed,
}

impl ResponseProgress {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            ResponseProgress::Begun => "begun",
            ResponseProgress::Paused => "paused",
            ResponseProgress::Resumed => "resumed",
        }
    }
}

/// A new request from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// The number that the sidecar assigned to it.
    pub id: RequestId,
    /// The index of its class in the settings.
    pub class: usize,
    /// The index of its tenant in the settings.
    pub tenant: usize,
    /// The affinity key: a server that has recently served a key serves it again with less work. 0 means no key.
    pub affinity_key: u64,
    /// The time for which the client still waits for the response.
    pub time_left: Micros,
    /// The client's estimate of the server time that the request takes; `None` if it gave none.
    pub work_hint: Option<Micros>,
    /// Whether the client marked it as a retry.
    pub client_retry: bool,
    /// Whether its tenant has used up its quota at this sidecar.
    pub over_quota: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The index of the attempt among those of the request, from 0.
    pub attempt: usize,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from its send to its end.
    pub latency: Micros,
    /// Whether the request has its final answer, due to this outcome or an earlier one.
    pub finished: bool,
    /// The load report in the response; empty if there was none.
    pub report: LoadReport,
}

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Discovery delivered an endpoint list, or failed to.
    EndpointUpdate {
        /// How the list relates to the previous one.
        kind: ListKind,
        /// Its entries; empty if discovery failed.
        entries: &'a [ServerEntry],
    },
    /// A client sent a request.
    Request(NewRequest),
    /// The first byte of a streamed response arrived.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The index of the attempt among those of the request, from 0.
        attempt: usize,
    },
    /// The body of an attempt is passed on as its client sends it, so time passes that is not the server's.
    UploadStarted {
        /// The request.
        id: RequestId,
        /// The index of the attempt among those of the request, from 0.
        attempt: usize,
    },
    /// The server of such an attempt has taken as long as its latency objective allows: to accept the bytes that the client
    /// has sent, and to respond.
    UploadOverdue {
        /// The request.
        id: RequestId,
        /// The index of the attempt among those of the request, from 0.
        attempt: usize,
    },
    /// The server of an attempt has begun to respond, and its response waits for memory of the sidecar.
    ResponseAwaitsMemory {
        /// The request.
        id: RequestId,
        /// The index of the attempt among those of the request, from 0.
        attempt: usize,
    },
    /// The response of an attempt has made progress, or has paused. It does not occur on the wire of the simulator, where
    /// responses take no time.
    ResponseProgress {
        /// The request.
        id: RequestId,
        /// The index of the attempt among those of the request, from 0.
        attempt: usize,
        /// The progress.
        progress: ResponseProgress,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected, or its deadline passed.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer set by [`Action::SetTimer`] expired.
    Timer {
        /// The token that it was set with.
        token: u32,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The server that was checked.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// The duration of the check.
        latency: Micros,
        /// The load report in the response; empty if there was none.
        report: LoadReport,
    },
    /// A message from another sidecar arrived.
    PeerMessage {
        /// The instance number of the sender.
        from: u32,
        /// The bytes of the message.
        data: &'a [u8],
    },
}

/// The reason for which a request ends without the response of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Load shedding: the servers respond too late for the class of the request.
    Overload,
    /// The client waits for less time than a response usually takes.
    TooLittleTime,
    /// No server may get the request now.
    NoServer,
    /// The deadline has passed.
    DeadlineExceeded,
    /// An attempt failed, and no retry is allowed.
    AttemptsFailed,
}

impl EndReason {
    /// All reasons, in the order of statistics.
    pub const ALL: [EndReason; 5] = [
        EndReason::Overload,
        EndReason::TooLittleTime,
        EndReason::NoServer,
        EndReason::DeadlineExceeded,
        EndReason::AttemptsFailed,
    ];

    /// Returns the name in logs and statistics.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::Overload => "overload",
            EndReason::TooLittleTime => "too_little_time",
            EndReason::NoServer => "no_server",
            EndReason::DeadlineExceeded => "deadline_exceeded",
            EndReason::AttemptsFailed => "attempts_failed",
        }
    }
}

/// An output of the balancer, for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// The timeout of the attempt.
        timeout: Micros,
    },
    /// Cancel an attempt; its outcome must still be reported.
    Cancel {
        /// The request.
        id: RequestId,
        /// The index of the attempt among those of the request, from 0.
        attempt: usize,
    },
    /// Pass on the response of an attempt as far as it has come, and the rest as it comes. It answers the request.
    Deliver {
        /// The request.
        id: RequestId,
        /// The index of the attempt among those of the request, from 0.
        attempt: usize,
    },
    /// Send the final answer "rejected": a retry by the client is safe.
    Reject {
        /// The request.
        id: RequestId,
        /// The time after which the client should retry; 0 means that the answer carries no Retry-After.
        retry_after: Micros,
        /// The reason.
        reason: EndReason,
    },
    /// Send the final answer "failed": the request may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// The reason.
        reason: EndReason,
    },
    /// Report [`Event::Timer`] after a delay.
    SetTimer {
        /// The delay.
        delay: Micros,
        /// The token that the event must carry.
        token: u32,
    },
    /// Send a health check.
    HealthCheck {
        /// The server to check.
        server: ServerId,
    },
    /// Close the idle connections to a server.
    CloseIdleConnections {
        /// The server.
        server: ServerId,
    },
    /// Watch discovery for changes.
    Subscribe,
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Send a message to another sidecar.
    SendToPeer {
        /// The instance number of the recipient, or [`crate::wire::ALL_PEERS`].
        peer: u32,
        /// The bytes of the message.
        data: Vec<u8>,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}
