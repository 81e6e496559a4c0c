//! The faults that a scenario can have.

use serde::{Deserialize, Serialize};

/// A fault: what goes wrong, when and for how long.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Fault {
    /// When it begins, in milliseconds since the start.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds, where that has a meaning.
    pub for_ms: u64,
    /// What goes wrong.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What goes wrong.
///
/// An index of a server or sidecar is taken modulo how many there are. Probabilities are from 0 to 1.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind")]
pub enum FaultKind {
    /// A server takes this many times as long.
    #[serde(rename = "slow")]
    SlowServer {
        /// The index of the server.
        server: usize,
        /// The factor.
        #[serde(rename = "times")]
        factor: f64,
    },
    /// Some requests are executed and never answered.
    #[serde(rename = "hang")]
    Hang {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some requests are answered 500 after they were executed.
    #[serde(rename = "error")]
    ServerError {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some connections are reset when a request is complete, before it is executed.
    #[serde(rename = "reset-before")]
    ResetBeforeExecution {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some connections are reset after a request was executed, in place of the response.
    #[serde(rename = "reset-after")]
    ResetAfterExecution {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some connections are reset in the middle of a response.
    #[serde(rename = "reset-within")]
    ResetWithinResponse {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some responses are not HTTP.
    #[serde(rename = "spoilt")]
    MalformedResponse {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some responses stop half way while the connection stays open.
    #[serde(rename = "half")]
    TruncatedResponse {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some responses are shorter than they declare.
    #[serde(rename = "wrong-length")]
    WrongContentLength {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some responses are followed by bytes that belong to none.
    #[serde(rename = "surplus")]
    SurplusBytes {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some connections are closed after a response that did not announce it.
    #[serde(rename = "close-after")]
    CloseAfterResponse {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some responses are delayed.
    #[serde(rename = "late")]
    DelayedResponse {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
        /// The delay, in milliseconds.
        #[serde(rename = "late_ms")]
        delay_ms: u64,
    },
    /// Some requests are rejected without being executed.
    #[serde(rename = "turn-away")]
    RejectUnprocessed {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some requests are rejected in ways that prove nothing, most of them after they were executed.
    #[serde(rename = "broken-rejections")]
    BrokenRejections {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some answers are sent a second time: as the next request comes, or up to 0.4 s later.
    #[serde(rename = "second-answers")]
    SecondAnswers {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// A server is killed, or vanishes, and is back at the end under the same name, cold.
    #[serde(rename = "restart")]
    RestartServer {
        /// The index of the server.
        server: usize,
        /// Whether the host vanishes, rather than its processes being killed.
        vanish: bool,
    },
    /// A server is killed and replaced by one of another name at its address, cold.
    #[serde(rename = "replace")]
    ReplaceServer {
        /// The index of the server.
        server: usize,
    },
    /// A server drains: it is listed as leaving and rejects new requests. At the end it is back.
    #[serde(rename = "drain")]
    DrainServer {
        /// The index of the server.
        server: usize,
    },
    /// A server is removed from the endpoint list and keeps running. At the end it is listed again.
    #[serde(rename = "unlist")]
    UnlistServer {
        /// The index of the server.
        server: usize,
    },
    /// The network path to a server and back takes this much longer.
    #[serde(rename = "latency")]
    AddedLatency {
        /// The index of the server.
        server: usize,
        /// The added latency, in microseconds; up to half as much again is drawn on top.
        #[serde(rename = "more_us")]
        added_us: u64,
    },
    /// Some segments to and from a server need a retransmission.
    #[serde(rename = "loss")]
    SegmentLoss {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some reads and writes to and from a server transfer only some of the bytes.
    #[serde(rename = "chop")]
    PartialIo {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Nothing passes to a server, or from it, or both.
    #[serde(rename = "cut")]
    Partition {
        /// The index of the server.
        server: usize,
        /// Whether nothing passes to the server.
        #[serde(rename = "there")]
        to_server: bool,
        /// Whether nothing passes from the server.
        #[serde(rename = "back")]
        from_server: bool,
    },
    /// Some new connections to a server are refused.
    #[serde(rename = "refuse")]
    RefuseConnections {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some new connections to a server are never established.
    #[serde(rename = "ignore")]
    DropSyns {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Resets overtake what is in flight from a server.
    #[serde(rename = "overtake")]
    ResetOvertakes {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Every `nth` connection to a server is reset.
    #[serde(rename = "reset-all")]
    ResetConnections {
        /// The index of the server.
        server: usize,
        /// Which connections are reset: one in so many.
        nth: usize,
    },
    /// All connections to a server fall silent for good.
    #[serde(rename = "silence")]
    BlackholeConnections {
        /// The index of the server.
        server: usize,
    },
    /// Only this many bytes may be written to a server before it has read them.
    #[serde(rename = "window")]
    SmallWindow {
        /// The index of the server.
        server: usize,
        /// The window, in bytes.
        bytes: usize,
    },
    /// Discovery resets every call.
    #[serde(rename = "discovery-down")]
    DiscoveryDown,
    /// Discovery accepts calls and does not answer.
    #[serde(rename = "discovery-still")]
    DiscoverySilent,
    /// Discovery's responses stop half way.
    #[serde(rename = "discovery-half")]
    DiscoveryTruncated,
    /// Discovery restarts: its versions start again.
    #[serde(rename = "discovery-jump")]
    DiscoveryRestart,
    /// Each answer of discovery is on its way for so long.
    #[serde(rename = "discovery-late")]
    DiscoveryDelay {
        /// The delay, in milliseconds.
        #[serde(rename = "late_ms")]
        delay_ms: u64,
    },
    /// The connections to discovery that are open fall silent for good; new ones are answered.
    #[serde(rename = "discovery-stale")]
    DiscoveryConnectionsSilent,
    /// Some clients leave before their response.
    #[serde(rename = "leave")]
    ClientsLeave {
        /// The probability.
        share: f64,
    },
    /// Some clients write their requests slowly, piece by piece.
    #[serde(rename = "trickle")]
    SlowRequests {
        /// The probability.
        share: f64,
    },
    /// Some clients use the id of a request that is open.
    #[serde(rename = "reuse-id")]
    DuplicateIds {
        /// The probability.
        share: f64,
    },
    /// Some clients send what is not a request, or half of one.
    #[serde(rename = "garbage")]
    MalformedRequests {
        /// The probability.
        share: f64,
    },
    /// This many times as many requests are sent.
    #[serde(rename = "burst")]
    LoadBurst {
        /// The factor.
        #[serde(rename = "times")]
        factor: f64,
    },
    /// A sidecar's descriptors run out: it may open no more than it has.
    #[serde(rename = "descriptors")]
    DescriptorsExhausted {
        /// The index of the sidecar.
        sidecar: usize,
    },
    /// A sidecar reads a new configuration, which is valid or not.
    #[serde(rename = "reload")]
    ReloadConfiguration {
        /// The index of the sidecar.
        sidecar: usize,
        /// Whether the new configuration can be applied.
        #[serde(rename = "sound")]
        valid: bool,
    },
    /// A sidecar is asked to terminate, and is started again.
    #[serde(rename = "term")]
    TerminateSidecar {
        /// The index of the sidecar.
        sidecar: usize,
    },
    /// A sidecar is killed, and is started again.
    #[serde(rename = "kill")]
    KillSidecar {
        /// The index of the sidecar.
        sidecar: usize,
    },
    /// A sidecar's process is stopped for so long, as by SIGSTOP or a busy machine.
    #[serde(rename = "hold-up")]
    HoldUp {
        /// The index of the sidecar.
        sidecar: usize,
    },
    /// Some datagrams between sidecars are lost, half as many are duplicated.
    #[serde(rename = "notes")]
    GossipLoss {
        /// The probability.
        share: f64,
    },
    /// Some connections are reset this long after a request was executed, in place of its response.
    #[serde(rename = "reset-late")]
    DelayedReset {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
        /// The delay, in milliseconds.
        #[serde(rename = "late_ms")]
        delay_ms: u64,
    },
    /// Some of the requests with a body have one that is too long to be buffered.
    #[serde(rename = "long-bodies")]
    LongRequests {
        /// The probability.
        share: f64,
    },
    /// Some responses are too long to be buffered.
    #[serde(rename = "long-answers")]
    LongResponses {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Operators disable a server at a sidecar, and enable it at the end.
    #[serde(rename = "take-out")]
    DisableServer {
        /// The index of the sidecar.
        sidecar: usize,
        /// The index of the server.
        server: usize,
    },
    /// Operators drain a sidecar's clients, and resume at the end.
    #[serde(rename = "send-away")]
    DrainClients {
        /// The index of the sidecar.
        sidecar: usize,
    },
    /// Many callers of a sidecar's admin listener send nothing, half a line, or nonsense.
    #[serde(rename = "bad-calls")]
    MalformedAdminCalls {
        /// The index of the sidecar.
        sidecar: usize,
    },
}

impl FaultKind {
    /// Whether it comes from a sidecar's operators.
    pub fn is_by_operators(&self) -> bool {
        matches!(
            self,
            FaultKind::DisableServer { .. }
                | FaultKind::DrainClients { .. }
                | FaultKind::MalformedAdminCalls { .. }
        )
    }

    /// Its name in scenario files.
    pub fn name(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value["kind"].as_str().unwrap_or_default().to_owned()
    }
}
