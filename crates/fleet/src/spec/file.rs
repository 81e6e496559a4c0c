//! The structure of `fleet.toml`, as it is deserialized. Values that are validated later keep their
//! position in the file.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use toml::Spanned;

use crate::planner::FleetPolicy;

/// The whole file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SpecFile {
    pub(super) program: Spanned<PathBuf>,
    /// Was named `rolling` before version 0.2.0.
    #[serde(default, alias = "rolling")]
    pub(super) rollout: RolloutSection,
    #[serde(default)]
    pub(super) restarts: RestartsSection,
    #[serde(default)]
    pub(super) instances: Vec<Spanned<TemplateSection>>,
}

/// Limits and timeouts of rollouts. Defaults are those of [`FleetPolicy`], and durations are in
/// seconds.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct RolloutSection {
    pub(super) share: Spanned<f64>,
    pub(super) canaries: Spanned<usize>,
    pub(super) watch_s: Spanned<f64>,
    pub(super) margin: Spanned<f64>,
    pub(super) refusal_margin: Spanned<f64>,
    pub(super) least_requests: u64,
    pub(super) ready_within_s: Spanned<f64>,
    pub(super) reload_within_s: Spanned<f64>,
}

/// Limits and timeouts of restarts after failures. Defaults are those of [`FleetPolicy`], and
/// durations are in seconds.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct RestartsSection {
    pub(super) first_pause_s: Spanned<f64>,
    pub(super) longest_pause_s: Spanned<f64>,
    pub(super) hold_after: u32,
    pub(super) stable_after_s: Spanned<f64>,
    pub(super) silent_after_s: Spanned<f64>,
    pub(super) hung_after_s: Spanned<f64>,
    pub(super) at_once: Spanned<usize>,
}

/// Wraps a default value, which has no position in the file.
fn without_span<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}

impl Default for RolloutSection {
    fn default() -> RolloutSection {
        let policy = FleetPolicy::default();
        RolloutSection {
            share: without_span(policy.max_updating_share),
            canaries: without_span(policy.canary_count),
            watch_s: without_span(policy.canary_period.as_secs_f64()),
            margin: without_span(policy.failure_margin),
            refusal_margin: without_span(policy.rejection_margin),
            least_requests: policy.min_requests,
            ready_within_s: without_span(policy.ready_timeout.as_secs_f64()),
            reload_within_s: without_span(policy.reload_timeout.as_secs_f64()),
        }
    }
}

impl Default for RestartsSection {
    fn default() -> RestartsSection {
        let policy = FleetPolicy::default();
        RestartsSection {
            first_pause_s: without_span(policy.initial_backoff.as_secs_f64()),
            longest_pause_s: without_span(policy.max_backoff.as_secs_f64()),
            hold_after: policy.crash_loop_threshold,
            stable_after_s: without_span(policy.stable_after.as_secs_f64()),
            silent_after_s: without_span(policy.silence_timeout.as_secs_f64()),
            hung_after_s: without_span(policy.stall_timeout.as_secs_f64()),
            at_once: without_span(policy.max_concurrent_starts),
        }
    }
}

/// A template: instances that differ only in their number and address.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TemplateSection {
    pub(super) name: Spanned<String>,
    pub(super) count: Spanned<usize>,
    pub(super) listen: Spanned<ListenAddresses>,
    pub(super) discovery: SocketAddr,
    pub(super) zone: Option<Spanned<String>>,
    /// The number of the first instance in its tier (`me` in its settings).
    #[serde(default)]
    pub(super) first: u32,
    pub(super) limits: Spanned<LimitsSection>,
    pub(super) settings: Spanned<SettingsSource>,
}

/// One or several ranges of addresses.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum ListenAddresses {
    One(String),
    Many(Vec<String>),
}

impl ListenAddresses {
    /// Returns the ranges as they are written in the file.
    pub(super) fn ranges(&self) -> &[String] {
        match self {
            ListenAddresses::One(range) => std::slice::from_ref(range),
            ListenAddresses::Many(ranges) => ranges,
        }
    }
}

/// The resource limits of an instance.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LimitsSection {
    pub(super) memory_mb: u64,
    pub(super) sockets: u64,
}

/// The settings of a template, or the path of their file.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum SettingsSource {
    /// A JSON file.
    File(PathBuf),
    /// A table in `fleet.toml` itself.
    Inline(toml::Table),
}
