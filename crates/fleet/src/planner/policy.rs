//! The limits and timeouts of a fleet.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The limits and timeouts of a fleet. It is part of the stored state; the serialized names are those of
/// version 0.2.0.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct FleetPolicy {
    /// The share of the slots that may change their process or configuration at the same time, from 0
    /// to 1.
    #[serde(rename = "share")]
    pub max_updating_share: f64,
    /// The number of slots that get a new generation first.
    #[serde(rename = "canaries")]
    pub canary_count: usize,
    /// The time for which canaries are observed before the other slots follow.
    #[serde(rename = "watch")]
    pub canary_period: Duration,
    /// The margin by which the canaries' share of failed requests may exceed that of the other
    /// instances, from 0 to 1.
    #[serde(rename = "margin")]
    pub failure_margin: f64,
    /// The margin by which the canaries' share of rejected requests may exceed that of the other
    /// instances, from 0 to 1.
    #[serde(rename = "refusal_margin")]
    pub rejection_margin: f64,
    /// The number of requests that the canaries and the other instances each need for a comparison.
    #[serde(rename = "least_requests")]
    pub min_requests: u64,
    /// The time within which a process must become ready after its start.
    #[serde(rename = "ready_within")]
    pub ready_timeout: Duration,
    /// The time within which a process must report that it has applied a new configuration.
    #[serde(rename = "reload_within")]
    pub reload_timeout: Duration,
    /// The time within which a process must exit when told to.
    #[serde(rename = "drain_within")]
    pub drain_timeout: Duration,
    /// The time without a report after which a process is considered hung and is killed.
    #[serde(rename = "silent_after")]
    pub silence_timeout: Duration,
    /// The time without a report after which a process is killed whose scheduler statistics show that it
    /// hangs.
    #[serde(rename = "hung_after")]
    pub stall_timeout: Duration,
    /// The backoff after the second consecutive failure, doubled with each further one. There is no
    /// backoff after the first failure.
    #[serde(rename = "first_pause")]
    pub initial_backoff: Duration,
    /// The maximum backoff.
    #[serde(rename = "longest_pause")]
    pub max_backoff: Duration,
    /// The number of consecutive failures from which a slot is in a crash loop, and is restarted at the
    /// maximum backoff.
    #[serde(rename = "hold_after")]
    pub crash_loop_threshold: u32,
    /// The time for which a process must be ready to reset the failures of its slot.
    pub stable_after: Duration,
    /// The number of processes that may be starting at the same time.
    #[serde(rename = "starting_at_once")]
    pub max_concurrent_starts: usize,
}

impl Default for FleetPolicy {
    fn default() -> FleetPolicy {
        FleetPolicy {
            max_updating_share: 0.1,
            canary_count: 1,
            canary_period: Duration::from_secs(5),
            failure_margin: 0.05,
            rejection_margin: 0.25,
            min_requests: 20,
            ready_timeout: Duration::from_secs(10),
            reload_timeout: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(5),
            silence_timeout: Duration::from_secs(5),
            stall_timeout: Duration::from_millis(900),
            initial_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(30),
            crash_loop_threshold: 6,
            stable_after: Duration::from_secs(10),
            max_concurrent_starts: 20,
        }
    }
}
