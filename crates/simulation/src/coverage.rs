//! Counts how often each kind of fault and each outcome occurred over many runs, and shows those that never did.

use std::collections::BTreeMap;

use crate::run::Outcome;
use crate::scenario::Scenario;

/// Outcomes that should occur in every thousand seeds.
const EXPECTED: [&str; 22] = [
    "answered 200",
    "answered 408",
    "answered 409",
    "answered 502",
    "answered 503",
    "attempts",
    "attempts answered otherwise",
    "attempts cancelled when complete",
    "attempts cancelled when incomplete",
    "attempts rejected unprocessed",
    "attempts served",
    "clients reset",
    "clients that left",
    "closed before the request was received",
    "connections",
    "connections refused",
    "duplicate ids rejected",
    "graceful shutdowns",
    "malformed requests answered",
    "malformed requests closed",
    "requests",
    "requests not received in time",
];

/// Sums over many runs.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    /// The number of runs.
    pub runs: u64,
    /// The number of runs with at least one fault.
    pub runs_with_faults: u64,
    /// The sum of the virtual time of all runs, in seconds.
    pub virtual_seconds: f64,
    /// The smallest number of requests of a run; `None` without runs.
    pub fewest_requests: Option<u64>,
    faults: BTreeMap<String, u64>,
    outcomes: BTreeMap<String, u64>,
}

impl Coverage {
    /// Adds a run.
    pub fn add(&mut self, scenario: &Scenario, outcome: &Outcome) {
        self.runs += 1;
        self.runs_with_faults += u64::from(!scenario.faults.is_empty());
        self.virtual_seconds += outcome.duration.as_secs_f64();
        let requests = outcome.requests();
        let fewest = self.fewest_requests.map_or(requests, |fewest| fewest.min(requests));
        self.fewest_requests = Some(fewest);
        for fault in &scenario.faults {
            *self.faults.entry(fault.kind.name()).or_default() += 1;
        }
        for (label, count) in &outcome.counts {
            self.add_outcome(label, *count);
        }
        let network = &outcome.network;
        for (label, count) in [
            ("network: connections refused", network.connections_refused),
            ("network: SYNs dropped", network.syns_dropped),
            ("network: resets", network.resets),
            ("network: partial reads and writes", network.partial_io),
            ("network: segments lost", network.segments_lost),
            ("network: resets that overtook bytes", network.resets_reordered),
            ("network: bytes blackholed", network.bytes_blackholed),
            ("network: datagrams lost", network.datagrams_lost),
        ] {
            self.add_outcome(label, count);
        }
    }

    fn add_outcome(&mut self, label: &str, count: u64) {
        *self.outcomes.entry(label.to_owned()).or_default() += count;
    }

    /// Adds the runs of another thread.
    pub fn merge(&mut self, other: &Coverage) {
        self.runs += other.runs;
        self.runs_with_faults += other.runs_with_faults;
        self.virtual_seconds += other.virtual_seconds;
        let fewest = [self.fewest_requests, other.fewest_requests];
        self.fewest_requests = fewest.into_iter().flatten().min();
        for (label, count) in &other.faults {
            *self.faults.entry(label.clone()).or_default() += count;
        }
        for (label, count) in &other.outcomes {
            self.add_outcome(label, *count);
        }
    }

    /// Returns the number of requests of all runs.
    pub fn requests(&self) -> u64 {
        self.outcomes.get("requests").copied().unwrap_or(0)
    }

    /// Returns the expected outcomes that never occurred.
    pub fn missing(&self) -> Vec<&'static str> {
        EXPECTED.iter().copied().filter(|label| !self.outcomes.contains_key(*label)).collect()
    }

    /// Returns all counts, one per line.
    pub fn table(&self) -> String {
        let line = |(label, count): (&String, &u64)| format!("  {count:>12}  {label}\n");
        let mut text = String::from("faults\n");
        text.extend(self.faults.iter().map(line));
        text += "outcomes\n";
        text.extend(self.outcomes.iter().map(line));
        for label in self.missing() {
            text += &format!("         NEVER  {label}\n");
        }
        text
    }
}
