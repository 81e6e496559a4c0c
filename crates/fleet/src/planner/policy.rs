//! The limits and timeouts by which a fleet is run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The limits and timeouts by which a fleet is run. Part of the stored state: the stored names are
/// those of version 0.2.0.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct FleetPolicy {
    /// The share of the slots that may change their process or configuration at once, from 0 to 1.
    #[serde(rename = "share")]
    pub max_moving_share: f64,
    /// How many slots get a new generation ahead of the others.
    #[serde(rename = "canaries")]
    pub canary_count: usize,
    /// How long canaries are observed before the others follow.
    #[serde(rename = "watch")]
    pub canary_period: Duration,
    /// By how much the canaries' share of failed requests may exceed that of the rest.
    #[serde(rename = "margin")]
    pub failure_margin: f64,
    /// By how much the canaries' share of rejected requests may exceed that of the rest.
    #[serde(rename = "refusal_margin")]
    pub rejection_margin: f64,
    /// Requests that canaries and rest need each to be compared.
    #[serde(rename = "least_requests")]
    pub min_requests: u64,
    /// How long a process may take to become ready.
    #[serde(rename = "ready_within")]
    pub ready_timeout: Duration,
    /// How long a process may take to report that it applied a new configuration.
    #[serde(rename = "reload_within")]
    pub reload_timeout: Duration,
    /// How long a process may take to end when told to.
    #[serde(rename = "drain_within")]
    pub drain_timeout: Duration,
    /// A process that has not reported for so long is taken for hung.
    #[serde(rename = "silent_after")]
    pub silence_timeout: Duration,
    /// The same where the system's figures show that it hangs.
    #[serde(rename = "hung_after")]
    pub stall_timeout: Duration,
    /// The backoff after a second failure in a row, doubled with each further one. The first
    /// failure has none.
    #[serde(rename = "first_pause")]
    pub initial_backoff: Duration,
    /// The longest backoff.
    #[serde(rename = "longest_pause")]
    pub max_backoff: Duration,
    /// After so many failures in a row a slot is in a crash loop: restarted at the longest backoff.
    #[serde(rename = "hold_after")]
    pub crash_loop_threshold: u32,
    /// A process that has been ready for so long resets the failures of its slot.
    pub stable_after: Duration,
    /// How many processes may be starting at once.
    #[serde(rename = "starting_at_once")]
    pub max_concurrent_starts: usize,
}

impl Default for FleetPolicy {
    fn default() -> FleetPolicy {
        FleetPolicy {
            max_moving_share: 0.1,
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
