//! The status of the fleet that operators see.

use std::net::SocketAddr;
use std::path::PathBuf;

use instance_status::RequestCounts;
use serde::{Deserialize, Serialize};

use crate::planner::Generation;

/// The status of the fleet. The serialized names are those of version 0.2.0.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct FleetStatus {
    /// The version of the daemon.
    pub version: String,
    /// The pid of the daemon.
    pub pid: u32,
    /// The path of `fleet.toml`.
    pub file: PathBuf,
    /// The generation that all instances should run.
    pub target: Generation,
    /// The last generation that was rolled out completely.
    #[serde(rename = "base")]
    pub stable: Generation,
    /// The current rollout, or `None` if there is none.
    pub rollout: Option<RolloutStatus>,
    /// Whether a change is being checked.
    pub checking: bool,
    /// Whether the fleet is shutting down.
    #[serde(rename = "stopping")]
    pub shutting_down: bool,
    /// The last error of the daemon itself, or `None` if there is none.
    #[serde(rename = "trouble")]
    pub fault: Option<String>,
    /// Whether the daemon is connected to the socket holder.
    #[serde(rename = "holder")]
    pub socket_holder: bool,
    /// The status of all instances.
    pub slots: Vec<SlotStatus>,
}

/// The status of a rollout in progress.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct RolloutStatus {
    /// The generation that is rolled out.
    pub target: Generation,
    /// The instances that got the generation first.
    pub canaries: Vec<String>,
    /// Whether the canaries have passed and the other instances follow.
    pub waves: bool,
}

/// The state of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum SlotState {
    /// It cannot be started for an external reason, such as an address that is in use.
    Blocked,
    /// It is being replaced by a successor.
    Moving,
    /// It completes its requests and exits.
    Draining,
    /// It is ready and serves.
    Serving,
    /// It has been started and is not ready yet.
    Starting,
    /// An operator took it out of service.
    Drained,
    /// It is in a crash loop: it failed repeatedly and is restarted at the maximum backoff.
    #[serde(rename = "held")]
    CrashLoop,
    /// It has no process and is due to be started.
    Waiting,
    /// It has ended and will not be started again.
    Gone,
}

/// The status of one instance. Values that come from its process are `None` if there is no process, and
/// values that come from its status reports are `None` before the first one.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct SlotStatus {
    /// The name of the instance.
    pub slot: String,
    /// The state of the instance.
    pub state: SlotState,
    /// The address of its listener, or `None` if it has no listener.
    pub listen: Option<SocketAddr>,
    /// The pid of its first process.
    pub pid: Option<u32>,
    /// The number of its processes.
    pub processes: usize,
    /// The generation that it runs.
    pub generation: Option<Generation>,
    /// The version of its program.
    pub version: Option<String>,
    /// The uptime of its process in seconds; for an adopted process, since the adoption.
    #[serde(rename = "up_s")]
    pub uptime_seconds: Option<u64>,
    /// The number of open client connections.
    #[serde(rename = "clients")]
    pub client_connections: Option<usize>,
    /// The number of requests in flight.
    #[serde(rename = "open")]
    pub in_flight_requests: Option<usize>,
    /// The number of answered requests, by outcome.
    #[serde(rename = "counts")]
    pub requests: Option<RequestCounts>,
    /// Whether it has run out of file descriptors.
    #[serde(rename = "short_of_descriptors")]
    pub out_of_descriptors: bool,
    /// The number of consecutive failures.
    pub failures: u32,
    /// The reason why it is blocked, else its last failure; `None` if there is neither.
    #[serde(rename = "why")]
    pub reason: Option<String>,
}
