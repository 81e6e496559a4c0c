//! What the oracle reports: the first violation, a timeline and counts.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use super::rule::Rule;

/// How often each outcome was met, by label.
pub type Counts = BTreeMap<&'static str, u64>;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The virtual time.
    pub at: Duration,
    /// What happened.
    pub message: String,
    /// The history of the request in question, in several lines; empty if it is not about one.
    pub history: String,
}

/// That a rule is broken, and how.
#[derive(Debug)]
pub(super) struct Breach {
    pub(super) rule: Rule,
    pub(super) message: String,
}

impl Breach {
    pub(super) fn new(rule: Rule, message: impl Into<String>) -> Breach {
        Breach { rule, message: message.into() }
    }
}

/// The report of a run.
#[derive(Debug, Default)]
pub(super) struct Report {
    /// Present if a timeline is wanted.
    timeline: Option<Vec<(Duration, String)>>,
    /// The first one.
    pub(super) violation: Option<Violation>,
    pub(super) counts: Counts,
}

impl Report {
    pub(super) fn new(with_timeline: bool) -> Report {
        Report { timeline: with_timeline.then(Vec::new), ..Report::default() }
    }

    /// Adds a line to the timeline.
    pub(super) fn note(&mut self, now: Duration, line: impl FnOnce() -> String) {
        if let Some(timeline) = &mut self.timeline {
            timeline.push((now, line()));
        }
    }

    pub(super) fn count(&mut self, label: &'static str) {
        *self.counts.entry(label).or_default() += 1;
    }

    /// The timeline, a line for each event.
    pub(super) fn timeline_text(&self) -> String {
        let mut text = String::new();
        for (at, line) in self.timeline.iter().flatten() {
            let _ = writeln!(text, "{:>12.6} s  {line}", at.as_secs_f64());
        }
        text
    }
}

/// The label under which responses of a status are counted.
pub fn status_label(status: u16) -> &'static str {
    match status {
        200 => "answered 200",
        429 => "answered 429",
        503 => "answered 503",
        502 => "answered 502",
        409 => "answered 409",
        408 => "answered 408",
        _ => "answered otherwise",
    }
}
