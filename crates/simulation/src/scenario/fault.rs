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
/// Servers and sidecars are given by their indices, modulo how many there are. A `share` is a probability
/// from 0 to 1.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind")]
#[allow(missing_docs, reason = "the fields of each kind are explained above")]
pub enum FaultKind {
    /// A server takes this many times as long.
    #[serde(rename = "slow")]
    SlowServer {
        server: usize,
        #[serde(rename = "times")]
        factor: f64,
    },
    /// Some requests are executed and never answered.
    #[serde(rename = "hang")]
    Hang { server: usize, share: f64 },
    /// Some requests are answered 500 after they were executed.
    #[serde(rename = "error")]
    ServerError { server: usize, share: f64 },
    /// Some connections are reset when a request is complete, before it is executed.
    #[serde(rename = "reset-before")]
    ResetBeforeExecution { server: usize, share: f64 },
    /// Some connections are reset after a request was executed, in place of the response.
    #[serde(rename = "reset-after")]
    ResetAfterExecution { server: usize, share: f64 },
    /// Some connections are reset in the middle of a response.
    #[serde(rename = "reset-within")]
    ResetWithinResponse { server: usize, share: f64 },
    /// Some responses are not HTTP.
    #[serde(rename = "spoilt")]
    MalformedResponse { server: usize, share: f64 },
    /// Some responses stop half way while the connection stays open.
    #[serde(rename = "half")]
    TruncatedResponse { server: usize, share: f64 },
    /// Some responses are shorter than they declare.
    #[serde(rename = "wrong-length")]
    WrongContentLength { server: usize, share: f64 },
    /// Some responses are followed by bytes that belong to none.
    #[serde(rename = "surplus")]
    SurplusBytes { server: usize, share: f64 },
    /// Some connections are closed after a response that did not announce it.
    #[serde(rename = "close-after")]
    CloseAfterResponse { server: usize, share: f64 },
    /// Some responses are delayed.
    #[serde(rename = "late")]
    DelayedResponse {
        server: usize,
        share: f64,
        #[serde(rename = "late_ms")]
        delay_ms: u64,
    },
    /// Some requests are rejected without being executed.
    #[serde(rename = "turn-away")]
    RejectUnprocessed { server: usize, share: f64 },
    /// A server is killed, or vanishes, and is back at the end under the same name, cold.
    #[serde(rename = "restart")]
    RestartServer { server: usize, vanish: bool },
    /// A server is killed and replaced by one of another name at its address, cold.
    #[serde(rename = "replace")]
    ReplaceServer { server: usize },
    /// A server drains: it is listed as leaving and rejects new requests. At the end it is back.
    #[serde(rename = "drain")]
    DrainServer { server: usize },
    /// A server is removed from the endpoint list and keeps running. At the end it is listed again.
    #[serde(rename = "unlist")]
    UnlistServer { server: usize },
    /// The network path to a server and back takes this much longer.
    #[serde(rename = "latency")]
    AddedLatency {
        server: usize,
        #[serde(rename = "more_us")]
        added_us: u64,
    },
    /// Some segments to and from a server need a retransmission.
    #[serde(rename = "loss")]
    SegmentLoss { server: usize, share: f64 },
    /// Some reads and writes to and from a server transfer only some of the bytes.
    #[serde(rename = "chop")]
    PartialIo { server: usize, share: f64 },
    /// Nothing passes to a server, or from it, or both.
    #[serde(rename = "cut")]
    Partition {
        server: usize,
        #[serde(rename = "there")]
        to_server: bool,
        #[serde(rename = "back")]
        from_server: bool,
    },
    /// Some new connections to a server are refused.
    #[serde(rename = "refuse")]
    RefuseConnections { server: usize, share: f64 },
    /// Some new connections to a server are never established.
    #[serde(rename = "ignore")]
    DropSyns { server: usize, share: f64 },
    /// Resets overtake what is in flight from a server.
    #[serde(rename = "overtake")]
    ResetOvertakes { server: usize, share: f64 },
    /// Every `nth` connection to a server is reset.
    #[serde(rename = "reset-all")]
    ResetConnections { server: usize, nth: usize },
    /// All connections to a server fall silent for good.
    #[serde(rename = "silence")]
    BlackholeConnections { server: usize },
    /// Only this many bytes may be written to a server before it has read them.
    #[serde(rename = "window")]
    SmallWindow { server: usize, bytes: usize },
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
    /// Some clients leave before their response.
    #[serde(rename = "leave")]
    ClientsLeave { share: f64 },
    /// Some clients write their requests slowly, piece by piece.
    #[serde(rename = "trickle")]
    SlowRequests { share: f64 },
    /// Some clients use the id of a request that is open.
    #[serde(rename = "reuse-id")]
    DuplicateIds { share: f64 },
    /// Some clients send what is not a request, or half of one.
    #[serde(rename = "garbage")]
    MalformedRequests { share: f64 },
    /// This many times as many requests are sent.
    #[serde(rename = "burst")]
    LoadBurst {
        #[serde(rename = "times")]
        factor: f64,
    },
    /// A sidecar's descriptors run out: it may open no more than it has.
    #[serde(rename = "descriptors")]
    DescriptorsExhausted { sidecar: usize },
    /// A sidecar reads a new configuration, which is valid or not.
    #[serde(rename = "reload")]
    ReloadConfiguration {
        sidecar: usize,
        #[serde(rename = "sound")]
        valid: bool,
    },
    /// A sidecar is asked to terminate, and is started again.
    #[serde(rename = "term")]
    TerminateSidecar { sidecar: usize },
    /// A sidecar is killed, and is started again.
    #[serde(rename = "kill")]
    KillSidecar { sidecar: usize },
    /// Some datagrams between sidecars are lost, half as many are duplicated.
    #[serde(rename = "notes")]
    GossipLoss { share: f64 },
    /// Some connections are reset this long after a request was executed, in place of its response.
    #[serde(rename = "reset-late")]
    DelayedReset {
        server: usize,
        share: f64,
        #[serde(rename = "late_ms")]
        delay_ms: u64,
    },
    /// Some of the requests with a body have one that is too long to be buffered.
    #[serde(rename = "long-bodies")]
    LongRequests { share: f64 },
    /// Some responses are too long to be buffered.
    #[serde(rename = "long-answers")]
    LongResponses { server: usize, share: f64 },
    /// Operators disable a server at a sidecar, and enable it at the end.
    #[serde(rename = "take-out")]
    DisableServer { sidecar: usize, server: usize },
    /// Operators drain a sidecar's clients, and resume at the end.
    #[serde(rename = "send-away")]
    DrainClients { sidecar: usize },
    /// Many callers of a sidecar's admin listener send nothing, half a line, or nonsense.
    #[serde(rename = "bad-calls")]
    MalformedAdminCalls { sidecar: usize },
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
