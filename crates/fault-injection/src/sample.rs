//! The state of a run that is sampled at regular intervals.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::gossip_relay::DatagramCounts;

/// The metrics that a sidecar reports about itself, by name.
pub type SidecarMetrics = BTreeMap<String, f64>;

/// Operations since the start of the run, by outcome.
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

/// The resources that a sidecar's process uses, and the limits of its configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUse {
    /// Open descriptors.
    pub descriptors: u64,
    /// The limit on open descriptors.
    pub max_descriptors: u64,
    /// Resident memory, in KiB.
    pub memory_kib: u64,
    /// The limit on resident memory, in KiB.
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
    /// Violations in the account, and sidecars that have exited unexpectedly.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Attempts that servers have received.
    #[serde(rename = "attempts")]
    pub server_attempts: u64,
    /// Attempts that clients have sent.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// The gossip datagrams.
    #[serde(rename = "notes")]
    pub gossip: DatagramCounts,
    /// The metrics of each sidecar. `None` for a sidecar that did not answer.
    #[serde(rename = "own")]
    pub sidecar_metrics: Vec<Option<SidecarMetrics>>,
    /// The resources of each sidecar. `None` for a sidecar that is not running.
    #[serde(skip)]
    pub resources: Vec<Option<ResourceUse>>,
}
