//! The state of the fleet, as operators see it.

use std::net::SocketAddr;
use std::path::PathBuf;

use instance_status::RequestCounts;
use serde::{Deserialize, Serialize};

use crate::planner::Generation;

/// The state of the fleet. The names that are sent are those of version 0.2.0.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct FleetStatus {
    /// The daemon's version.
    pub version: String,
    /// The daemon's process.
    pub pid: u32,
    /// The file of the desired state.
    pub file: PathBuf,
    /// What all instances are to run.
    pub target: Generation,
    /// The last generation that is known to be good.
    #[serde(rename = "base")]
    pub stable: Generation,
    /// The rollout that runs, if one does.
    pub rollout: Option<RolloutStatus>,
    /// A change is being checked.
    pub checking: bool,
    /// All instances are ending.
    #[serde(rename = "stopping")]
    pub shutting_down: bool,
    /// What keeps the daemon itself from its work.
    #[serde(rename = "trouble")]
    pub fault: Option<String>,
    /// Whether the process that keeps the listeners is there.
    #[serde(rename = "holder")]
    pub socket_holder: bool,
    /// All instances.
    pub slots: Vec<SlotStatus>,
}

/// A rollout that runs.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct RolloutStatus {
    /// The generation that it leads to.
    pub target: Generation,
    /// The instances that got it first.
    pub canaries: Vec<String>,
    /// The canaries have passed, and the other instances follow.
    pub waves: bool,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum SlotState {
    /// It cannot be started, for a reason outside of it.
    Blocked,
    /// A successor takes its place.
    Moving,
    /// It completes the requests that it has, and ends.
    Draining,
    /// It serves.
    Serving,
    /// It is not ready yet.
    Starting,
    /// Operators took it out of service.
    Drained,
    /// It failed too often in a row and is started rarely.
    #[serde(rename = "held")]
    CrashLoop,
    /// It is to be started.
    Waiting,
    /// It has ended and is not to be started again.
    Gone,
}

/// The state of one instance. Without a process or its report, what they would tell is missing.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct SlotStatus {
    /// Its name.
    pub slot: String,
    /// What it does.
    pub state: SlotState,
    /// Where it listens.
    pub listen: Option<SocketAddr>,
    /// Its process.
    pub pid: Option<u32>,
    /// How many processes it has.
    pub processes: usize,
    /// What it runs.
    pub generation: Option<Generation>,
    /// Its program's version.
    pub version: Option<String>,
    /// For how many seconds its process has run, as far as the daemon knows.
    #[serde(rename = "up_s")]
    pub uptime_seconds: Option<u64>,
    /// Connections of clients.
    #[serde(rename = "clients")]
    pub client_connections: Option<usize>,
    /// Requests in flight.
    #[serde(rename = "open")]
    pub in_flight_requests: Option<usize>,
    /// Requests by their final answer.
    #[serde(rename = "counts")]
    pub requests: Option<RequestCounts>,
    /// It has run out of file descriptors.
    #[serde(rename = "short_of_descriptors")]
    pub out_of_descriptors: bool,
    /// Failures in a row.
    pub failures: u32,
    /// What is wrong with it, or why it failed last.
    #[serde(rename = "why")]
    pub reason: Option<String>,
}
