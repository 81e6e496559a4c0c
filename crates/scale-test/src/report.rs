//! What a scale test measures. The stored names are those of the JSON lines that earlier versions printed.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::plan::Expectation;

/// What the processes of one role cost.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// The mean share of a core per process while nothing is changed.
    pub cpu_quiet: f64,
    /// The greatest share of a core of a process while nothing is changed.
    #[serde(rename = "cpu_quiet_most")]
    pub cpu_quiet_max: f64,
    /// The mean share of a core per process under changes and faults.
    pub cpu_changing: f64,
    /// The greatest share of a core of a process under changes and faults.
    #[serde(rename = "cpu_changing_most")]
    pub cpu_changing_max: f64,
    /// The greatest resident memory of a process, in KiB.
    #[serde(rename = "rss_kb_most")]
    pub rss_kib_max: u64,
    /// The mean resident memory of a process, in KiB.
    #[serde(rename = "rss_kb")]
    pub rss_kib_mean: u64,
}

/// A change of configuration, and how long it took to be in force everywhere.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    /// Its generation.
    pub generation: u64,
    /// When it was published, in seconds after the first change was in force everywhere.
    pub at_s: f64,
    /// Seconds from its publication, or from the end of a partition, until it was in force everywhere. None: not within
    /// the run.
    #[serde(rename = "took_s")]
    pub propagation_s: Option<f64>,
    /// The faults that were active when it was published.
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
    /// Seconds from the start of the sidecars until the first change was in force everywhere.
    pub start_s: f64,
    /// All changes.
    pub changes: Vec<Change>,
    /// Metrics by name.
    #[serde(rename = "figures")]
    pub metrics: BTreeMap<String, f64>,
    /// Costs by role. Those of hollow sidecars are for each sidecar.
    pub costs: BTreeMap<String, Cost>,
    /// The expectations that do not hold, in words.
    #[serde(rename = "not_held")]
    pub failures: Vec<String>,
}

/// The expectations that metrics do not satisfy, in words.
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
