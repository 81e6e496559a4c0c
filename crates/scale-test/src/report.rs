//! The results of a scale test. The serialized names are fixed, because stored JSON lines use them.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::plan::Expectation;

/// The processor time and memory of the processes of a role.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// The mean share of a core per process without changes or faults.
    pub cpu_quiet: f64,
    /// The maximum share of a core of a process without changes or faults.
    #[serde(rename = "cpu_quiet_most")]
    pub cpu_quiet_max: f64,
    /// The mean share of a core per process under changes and faults.
    pub cpu_changing: f64,
    /// The maximum share of a core of a process under changes and faults.
    #[serde(rename = "cpu_changing_most")]
    pub cpu_changing_max: f64,
    /// The maximum resident memory of a process, in KiB.
    #[serde(rename = "rss_kb_most")]
    pub rss_kib_max: u64,
    /// The mean resident memory of a process, in KiB.
    #[serde(rename = "rss_kb")]
    pub rss_kib_mean: u64,
}

/// A configuration change and its propagation time.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    /// The generation of the change.
    pub generation: u64,
    /// The time of publication, in seconds after the first change was in force everywhere.
    pub at_s: f64,
    /// The time from the publication, or from the end of the last partition, until the change was in force everywhere,
    /// in seconds. `None` if it was not in force everywhere by the end of the run.
    #[serde(rename = "took_s")]
    pub propagation_s: Option<f64>,
    /// The faults that were active at the time of publication.
    #[serde(rename = "during")]
    pub active_faults: String,
}

/// The results of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The number of hollow sidecars.
    #[serde(rename = "sidecars")]
    pub sidecar_count: usize,
    /// The number of real sidecars.
    #[serde(rename = "real")]
    pub real_sidecar_count: usize,
    /// The time from the start of the sidecars until the first change was in force everywhere, in seconds.
    pub start_s: f64,
    /// All changes after the first one.
    pub changes: Vec<Change>,
    /// Metrics by name.
    #[serde(rename = "figures")]
    pub metrics: BTreeMap<String, f64>,
    /// Costs by role. The costs of hollow sidecars are per sidecar, not per process.
    pub costs: BTreeMap<String, Cost>,
    /// Descriptions of the expectations that failed.
    #[serde(rename = "not_held")]
    pub failures: Vec<String>,
}

/// Returns descriptions of the expectations that the metrics do not satisfy.
pub(crate) fn failures<'a>(
    expectations: impl Iterator<Item = &'a Expectation>,
    metrics: &BTreeMap<String, f64>,
) -> Vec<String> {
    expectations.filter_map(|expectation| failure(expectation, metrics)).collect()
}

fn failure(expectation: &Expectation, metrics: &BTreeMap<String, f64>) -> Option<String> {
    let Expectation { metric, min, max } = expectation;
    let Some(value) = metrics.get(metric) else {
        return Some(format!("{metric}: no such figure"));
    };
    let below = min.is_some_and(|min| *value < min);
    let above = max.is_some_and(|max| *value > max);
    (below || above).then(|| format!("{metric}: {value}, {min:?} to {max:?} expected"))
}
