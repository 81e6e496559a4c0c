//! What is sampled of a run at regular times.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::gossip_relay::DatagramCounts;

/// The metrics that a sidecar reports of itself, by name.
pub type SidecarMetrics = BTreeMap<String, f64>;

/// Operations since the start of the run, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Totals {
    /// Operations that clients have begun.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Operations that were served.
    pub served: u64,
    /// Operations that were served within the latency objective of their class.
    pub in_time: u64,
    /// Operations whose last attempt was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Operations whose last attempt failed.
    pub failed: u64,
}

impl std::iter::Sum for Totals {
    fn sum<I: Iterator<Item = Totals>>(all: I) -> Totals {
        all.fold(Totals::default(), |a, b| Totals {
            requested: a.requested + b.requested,
            served: a.served + b.served,
            in_time: a.in_time + b.in_time,
            rejected: a.rejected + b.rejected,
            failed: a.failed + b.failed,
        })
    }
}

/// What a sidecar's process takes of the machine, and what its configuration allows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUse {
    /// Open descriptors.
    pub descriptors: u64,
    /// The most that there may be.
    pub max_descriptors: u64,
    /// Resident memory, in KiB.
    pub memory_kib: u64,
    /// The most that it may take, in KiB.
    pub max_memory_kib: u64,
}

/// The state of a run at one time. All counts are since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// Seconds since the start of the run.
    pub at_s: f64,
    /// The operations of all clients.
    #[serde(rename = "all")]
    pub totals: Totals,
    /// The operations by tenant, in the order of the scenario.
    pub tenants: Vec<Totals>,
    /// Rules broken, and sidecars that have exited by themselves.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Attempts that servers have seen.
    #[serde(rename = "attempts")]
    pub server_attempts: u64,
    /// Attempts that clients have sent.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// Gossip datagrams.
    #[serde(rename = "notes")]
    pub gossip: DatagramCounts,
    /// The metrics of each sidecar; none for one that did not answer.
    #[serde(rename = "own")]
    pub sidecar_metrics: Vec<Option<SidecarMetrics>>,
    /// What each sidecar takes; none for one that does not run.
    #[serde(skip)]
    pub resources: Vec<Option<ResourceUse>>,
}
