//! The messages of the balancer: the events it takes and the actions it returns.
//!
//! Nothing is decided here, and no name or layout of a wire format appears here.

use smallvec::SmallVec;

/// Microseconds, on a clock that starts anywhere and never runs backwards.
pub type Micros = u64;

/// How long after a change could be fetched from discovery the instance counts as notified of it,
/// whatever became of the calls made meanwhile (a figure of the protocol), in microseconds.
pub const NOTIFICATION_DEADLINE: Micros = 6_000_000;

/// The number that a sidecar gives to a request; unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A server's identity, the same at every sidecar. It may be compared and hashed, and carries no
/// other information.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct ServerId(pub u64);

/// The state of a server's process according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It takes requests.
    #[default]
    Ready,
    /// It shuts down gracefully and must get no further requests.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server's identity.
    pub id: ServerId,
    /// The position of its zone in the settings.
    pub zone: u8,
    /// The position of its machine kind in the settings.
    pub kind: u16,
    /// The cell (pod) it belongs to.
    pub cell: u16,
    /// Its state according to discovery.
    pub health: Health,
    /// Its weight according to discovery; [`crate::settings::WeightKind`] says what it means.
    pub weight: f32,
    /// When its process last started; 0 means long ago.
    pub started_at: Micros,
}

/// How an endpoint list applies to the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list.
    Complete,
    /// The complete list as this sidecar last stored it; it may be out of date.
    Cached,
    /// Only the entries that changed.
    Delta,
    /// A poll failed or the watch broke; the last list stays in force.
    Failed,
}

/// The values of a load report, in the order of the settings' columns.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct LoadReport(pub SmallVec<[f32; 4]>);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Success,
    /// The server answered with an error; the request may have run.
    ErrorResponse,
    /// The server rejected it unread, for want of capacity: it never ran.
    Rejected,
    /// No answer came within the attempt's timeout; the request may have run.
    TimedOut,
    /// No connection could be established: it never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    ConnectionReset,
    /// It was cancelled by the balancer; the request may have run.
    Cancelled,
    /// It was never sent: it never ran.
    NotSent,
}

impl Outcome {
    /// All of them, in the order in which they are reported.
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

    /// The name in logs and statistics.
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

    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// The sidecar's number for it.
    pub id: RequestId,
    /// The position of its class in the settings.
    pub class: usize,
    /// The position of its tenant in the settings.
    pub tenant: usize,
    /// Requests with the same key are served faster by the same server; 0 means no key.
    pub affinity_key: u64,
    /// How long the client still waits.
    pub time_left: Micros,
    /// The client's estimate of the server time that the request needs.
    pub work_hint: Option<Micros>,
    /// The client marked it as a retry.
    pub client_retry: bool,
    /// Its tenant has used up its quota here.
    pub over_quota: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The position of the attempt among those of the request, from 0.
    pub attempt: usize,
    /// The server it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from sending it to its end.
    pub latency: Micros,
    /// The request has its final answer, by this outcome or before it.
    pub finished: bool,
    /// The load report that came with the answer.
    pub report: LoadReport,
}

/// What the balancer is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Discovery sent an endpoint list, or failed to.
    EndpointUpdate {
        /// How the list applies.
        kind: ListKind,
        /// Its entries; empty if discovery failed.
        entries: &'a [ServerEntry],
    },
    /// A client sent a request.
    Request(NewRequest),
    /// The first byte of a streamed answer came.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The position of the attempt among those of the request, from 0.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected, or its deadline has passed.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer set by [`Action::SetTimer`] has run out.
    Timer {
        /// The token it was set with.
        token: u32,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The server that was checked.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// The time it took.
        latency: Micros,
        /// The load report that came with its answer.
        report: LoadReport,
    },
    /// A message of another sidecar came.
    PeerMessage {
        /// The number of that instance.
        from: u32,
        /// The bytes of the message.
        data: &'a [u8],
    },
}

/// Why a request ends without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The servers answer too late for its class: load is shed.
    Overload,
    /// Its client waits for less time than an answer takes.
    TooLittleTime,
    /// No server may get it now.
    NoServer,
    /// Its time is up.
    DeadlineExceeded,
    /// An attempt failed, and no further one may be made.
    AttemptsFailed,
}

impl EndReason {
    /// All of them, in the order in which they are reported.
    pub const ALL: [EndReason; 5] = [
        EndReason::Overload,
        EndReason::TooLittleTime,
        EndReason::NoServer,
        EndReason::DeadlineExceeded,
        EndReason::AttemptsFailed,
    ];

    /// The name in logs and statistics.
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

/// What the balancer wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// How long to wait for its answer.
        timeout: Micros,
    },
    /// Cancel an attempt; its outcome is reported all the same.
    Cancel {
        /// The request.
        id: RequestId,
        /// The position of the attempt among those of the request, from 0.
        attempt: usize,
    },
    /// Give the final answer "rejected": it is safe for the client to try again.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client should try again; 0 means that it is not told.
        retry_after: Micros,
        /// Why.
        reason: EndReason,
    },
    /// Give the final answer "failed": the request may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        reason: EndReason,
    },
    /// Report [`Event::Timer`] after a delay.
    SetTimer {
        /// The delay.
        delay: Micros,
        /// What the event is to carry.
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
    /// Watch discovery for changes from now on.
    Subscribe,
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Send a message to another sidecar.
    SendToPeer {
        /// The number of that instance, or [`crate::wire::ALL_PEERS`].
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
