//! The form of `fleet.toml`.

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
    /// Called `rolling` before version 0.2.0.
    #[serde(default, alias = "rolling")]
    pub(super) rollout: RolloutSection,
    #[serde(default)]
    pub(super) restarts: RestartsSection,
    #[serde(default)]
    pub(super) instances: Vec<Spanned<TemplateSection>>,
}

/// How a new generation is rolled out.
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

/// How instances that failed are started again.
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

/// A default value, which has no place in the file.
fn unplaced<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}

impl Default for RolloutSection {
    fn default() -> RolloutSection {
        let policy = FleetPolicy::default();
        RolloutSection {
            share: unplaced(policy.max_moving_share),
            canaries: unplaced(policy.canary_count),
            watch_s: unplaced(policy.canary_period.as_secs_f64()),
            margin: unplaced(policy.failure_margin),
            refusal_margin: unplaced(policy.rejection_margin),
            least_requests: policy.min_requests,
            ready_within_s: unplaced(policy.ready_timeout.as_secs_f64()),
            reload_within_s: unplaced(policy.reload_timeout.as_secs_f64()),
        }
    }
}

impl Default for RestartsSection {
    fn default() -> RestartsSection {
        let policy = FleetPolicy::default();
        RestartsSection {
            first_pause_s: unplaced(policy.initial_backoff.as_secs_f64()),
            longest_pause_s: unplaced(policy.max_backoff.as_secs_f64()),
            hold_after: policy.crash_loop_threshold,
            stable_after_s: unplaced(policy.stable_after.as_secs_f64()),
            silent_after_s: unplaced(policy.silence_timeout.as_secs_f64()),
            hung_after_s: unplaced(policy.stall_timeout.as_secs_f64()),
            at_once: unplaced(policy.max_concurrent_starts),
        }
    }
}

/// Instances that differ in number and address alone.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TemplateSection {
    pub(super) name: Spanned<String>,
    pub(super) count: Spanned<usize>,
    pub(super) listen: Spanned<ListenAddresses>,
    pub(super) discovery: SocketAddr,
    pub(super) zone: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) first: u32,
    pub(super) limits: Spanned<LimitsSection>,
    pub(super) settings: Spanned<SettingsSource>,
}

/// One range of addresses, or several.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum ListenAddresses {
    One(String),
    Many(Vec<String>),
}

impl ListenAddresses {
    /// The ranges as they are written.
    pub(super) fn ranges(&self) -> &[String] {
        match self {
            ListenAddresses::One(range) => std::slice::from_ref(range),
            ListenAddresses::Many(ranges) => ranges,
        }
    }
}

/// The limits of one instance.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LimitsSection {
    pub(super) memory_mb: u64,
    pub(super) sockets: u64,
}

/// Where the settings are.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum SettingsSource {
    /// In a JSON file.
    File(PathBuf),
    /// In the specification itself.
    Inline(toml::Table),
}
