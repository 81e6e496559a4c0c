//! The faults of scenarios.

use serde::{Deserialize, Serialize};

/// A fault, with its begin and duration.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Fault {
    /// When it begins, in milliseconds since the start.
    pub at_ms: u64,
    /// Its duration, in milliseconds. Some kinds of faults happen at once and have none.
    pub for_ms: u64,
    /// The kind of fault and its parameters.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kind of a fault, with its parameters.
///
/// An index of a server or sidecar is taken modulo the number of servers or sidecars. Probabilities are from 0 to 1.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind")]
pub enum FaultKind {
    /// Executions at a server take longer by a factor.
    #[serde(rename = "slow")]
    SlowServer {
        /// The index of the server.
        server: usize,
        /// The factor.
        #[serde(rename = "times")]
        factor: f64,
    },
    /// Some requests are executed but never answered.
    #[serde(rename = "hang")]
    Hang {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some requests are answered with 500 after they were executed.
    #[serde(rename = "error")]
    ServerError {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some connections are reset after a request was received and before it is executed.
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
    /// Some responses stop halfway while the connection stays open.
    #[serde(rename = "half")]
    TruncatedResponse {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some responses are shorter than their `Content-Length`.
    #[serde(rename = "wrong-length")]
    WrongContentLength {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some responses are followed by bytes that belong to no response.
    #[serde(rename = "surplus")]
    SurplusBytes {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some connections are closed after a response without `Connection: close`.
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
    /// Some requests get rejections that do not prove that they were not executed. Most of them were.
    #[serde(rename = "broken-rejections")]
    BrokenRejections {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some responses are sent a second time: when the next request arrives, or up to 0.4 s later.
    #[serde(rename = "second-answers")]
    SecondAnswers {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// Some sound responses are given piece by piece, for up to 2 s.
    #[serde(rename = "slow-responses")]
    SlowResponses {
        /// The index of the server.
        server: usize,
        /// The probability.
        share: f64,
    },
    /// A server is killed or becomes unreachable. At the end it starts again under the same name, in slow start.
    #[serde(rename = "restart")]
    RestartServer {
        /// The index of the server.
        server: usize,
        /// Whether the host becomes unreachable, instead of its process being killed.
        vanish: bool,
    },
    /// A server is killed. At the end a server with another name starts at its address, in slow start.
    #[serde(rename = "replace")]
    ReplaceServer {
        /// The index of the server.
        server: usize,
    },
    /// A server drains: it is listed as leaving and rejects new requests. At the end it is active again.
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
    /// The latency to and from a server is longer.
    #[serde(rename = "latency")]
    AddedLatency {
        /// The index of the server.
        server: usize,
        /// The added latency, in microseconds; up to half as much again is drawn on top.
        #[serde(rename = "more_us")]
        added_us: u64,
    },
    /// Some segments to and from a server are lost and retransmitted.
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
    /// Packets to a server, from it, or both are dropped.
    #[serde(rename = "cut")]
    Partition {
        /// The index of the server.
        server: usize,
        /// Whether packets to the server are dropped.
        #[serde(rename = "there")]
        to_server: bool,
        /// Whether packets from the server are dropped.
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
    /// Resets overtake bytes that are in flight from a server.
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
        /// One in `nth` connections is reset.
        nth: usize,
    },
    /// All open connections to a server drop every packet from now on.
    #[serde(rename = "silence")]
    BlackholeConnections {
        /// The index of the server.
        server: usize,
    },
    /// The receive window of connections to a server is small.
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
    /// Discovery accepts calls but does not answer.
    #[serde(rename = "discovery-still")]
    DiscoverySilent,
    /// Discovery's responses stop halfway.
    #[serde(rename = "discovery-half")]
    DiscoveryTruncated,
    /// Discovery restarts and loses its history: an agent counts its versions from the start again.
    #[serde(rename = "discovery-jump")]
    DiscoveryRestart,
    /// Each answer of discovery is delayed.
    #[serde(rename = "discovery-late")]
    DiscoveryDelay {
        /// The delay, in milliseconds.
        #[serde(rename = "late_ms")]
        delay_ms: u64,
    },
    /// Discovery no longer answers on the connections that are open; it answers on new ones.
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
    /// Some clients send a request with the id of an open one.
    #[serde(rename = "reuse-id")]
    DuplicateIds {
        /// The probability.
        share: f64,
    },
    /// Some clients send malformed or incomplete requests.
    #[serde(rename = "garbage")]
    MalformedRequests {
        /// The probability.
        share: f64,
    },
    /// The rate of requests is higher by a factor.
    #[serde(rename = "burst")]
    LoadBurst {
        /// The factor.
        #[serde(rename = "times")]
        factor: f64,
    },
    /// A sidecar runs out of descriptors: it may open only one more than it has.
    #[serde(rename = "descriptors")]
    DescriptorsExhausted {
        /// The index of the sidecar.
        sidecar: usize,
    },
    /// A sidecar reloads its configuration, which may be invalid.
    #[serde(rename = "reload")]
    ReloadConfiguration {
        /// The index of the sidecar.
        sidecar: usize,
        /// Whether the new configuration is valid.
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
    /// A sidecar's process gets no processor time, as after SIGSTOP or on a busy machine.
    #[serde(rename = "hold-up")]
    HoldUp {
        /// The index of the sidecar.
        sidecar: usize,
    },
    /// Some datagrams between sidecars are lost; half as many are duplicated.
    #[serde(rename = "notes")]
    GossipLoss {
        /// The probability.
        share: f64,
    },
    /// Some connections are reset some time after a request was executed, in place of its response.
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
    /// Operators drain a sidecar's clients, and end the drain at the end.
    #[serde(rename = "send-away")]
    DrainClients {
        /// The index of the sidecar.
        sidecar: usize,
    },
    /// Many callers of a sidecar's admin listener send nothing, an incomplete line, or invalid bytes.
    #[serde(rename = "bad-calls")]
    MalformedAdminCalls {
        /// The index of the sidecar.
        sidecar: usize,
    },
}

impl FaultKind {
    /// Whether it is an action of a sidecar's operators.
    pub fn is_by_operators(&self) -> bool {
        matches!(
            self,
            FaultKind::DisableServer { .. }
                | FaultKind::DrainClients { .. }
                | FaultKind::MalformedAdminCalls { .. }
        )
    }

    /// Returns its name in scenario files.
    pub fn name(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value["kind"].as_str().unwrap_or_default().to_owned()
    }
}
