//! The report of the oracle: the first violation, a timeline and counts.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use super::rule::Rule;

/// The number of times that each outcome occurred, by label.
pub type Counts = BTreeMap<&'static str, u64>;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The virtual time of the violation.
    pub at: Duration,
    /// A description of the violation.
    pub message: String,
    /// The history of the request that the violation concerns, in several lines; empty if there is none.
    pub history: String,
}

/// A rule that is broken, and a description.
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
    /// The events so far; `None` if no timeline is recorded.
    timeline: Option<Vec<(Duration, String)>>,
    /// The first violation.
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

    /// Returns the timeline, one line per event.
    pub(super) fn timeline_text(&self) -> String {
        let mut text = String::new();
        for (at, line) in self.timeline.iter().flatten() {
            let _ = writeln!(text, "{:>12.6} s  {line}", at.as_secs_f64());
        }
        text
    }
}

/// Returns the label under which responses with a status are counted.
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
