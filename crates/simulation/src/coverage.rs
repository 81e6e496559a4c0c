//! How often each kind of fault, and each way that something can end, was met over many runs. What was
//! never met shows.

use std::collections::BTreeMap;

use crate::run::Outcome;
use crate::scenario::Scenario;

/// Ways to end that every thousand seeds should meet.
const EXPECTED: [&str; 22] = [
    "answered 200",
    "answered 408",
    "answered 409",
    "answered 502",
    "answered 503",
    "attempts",
    "attempts answered otherwise",
    "attempts given up in part",
    "attempts given up whole",
    "attempts served",
    "attempts turned away",
    "clients reset",
    "clients that left",
    "closed unread",
    "connections",
    "connections refused",
    "garbage answered",
    "garbage closed",
    "ids that are open refused",
    "not taken in time",
    "planned ends",
    "requests",
];

/// Sums over many runs.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    /// Runs.
    pub runs: u64,
    /// Runs with at least one fault.
    pub faulty: u64,
    /// Virtual seconds.
    pub seconds: f64,
    /// The fewest requests of a run.
    pub least_requests: Option<u64>,
    faults: BTreeMap<String, u64>,
    ends: BTreeMap<String, u64>,
}

impl Coverage {
    /// Adds one run.
    pub fn add(&mut self, scenario: &Scenario, outcome: &Outcome) {
        self.runs += 1;
        self.faulty += u64::from(!scenario.faults.is_empty());
        self.seconds += outcome.lasted.as_secs_f64();
        let requests = outcome.counts.get("requests").copied().unwrap_or(0);
        self.least_requests = Some(self.least_requests.map_or(requests, |l| l.min(requests)));
        for fault in &scenario.faults {
            *self.faults.entry(fault.kind.name()).or_default() += 1;
        }
        for (what, n) in &outcome.counts {
            *self.ends.entry((*what).to_owned()).or_default() += n;
        }
        let s = &outcome.network;
        for (what, n) in [
            ("network: connections refused", s.connections_refused),
            ("network: SYNs ignored", s.syns_dropped),
            ("network: resets", s.resets),
            ("network: reads and writes cut short", s.partial_io),
            ("network: segments lost", s.segments_lost),
            ("network: resets that overtook bytes", s.resets_reordered),
            ("network: bytes that vanished", s.bytes_blackholed),
            ("network: datagrams lost", s.datagrams_lost),
        ] {
            *self.ends.entry(what.to_owned()).or_default() += n;
        }
    }

    /// Adds what another thread has seen.
    pub fn merge(&mut self, other: &Coverage) {
        self.runs += other.runs;
        self.faulty += other.faulty;
        self.seconds += other.seconds;
        let least = [self.least_requests, other.least_requests];
        self.least_requests = least.into_iter().flatten().min();
        for (what, n) in &other.faults {
            *self.faults.entry(what.clone()).or_default() += n;
        }
        for (what, n) in &other.ends {
            *self.ends.entry(what.clone()).or_default() += n;
        }
    }

    /// Requests in all.
    pub fn requests(&self) -> u64 {
        self.ends.get("requests").copied().unwrap_or(0)
    }

    /// What was expected and never met.
    pub fn never(&self) -> Vec<&'static str> {
        EXPECTED.iter().copied().filter(|e| !self.ends.contains_key(*e)).collect()
    }

    /// Everything, a line each.
    pub fn table(&self) -> String {
        let line = |(what, n): (&String, &u64)| format!("  {n:>12}  {what}\n");
        let mut text = String::from("faults\n");
        text.extend(self.faults.iter().map(line));
        text += "ends\n";
        text.extend(self.ends.iter().map(line));
        for what in self.never() {
            text += &format!("         NEVER  {what}\n");
        }
        text
    }
}
