//! Soak tests: real sidecars under overlapping faults that are generated from a seed, checked against the invariants
//! of the protocol.
//!
//! A run passes if no request was lost, answered twice or too late, executed twice, or sent to a server that must not
//! get it; if no process exited unexpectedly, reported a violated rule, or took too long to shut down; and if, after
//! the last fault, nearly all requests are served, no sidecar exceeds its resource limits, and none still counts ended
//! requests as in progress.

use std::time::Duration;

use fakes::lag_watch::LagWatch;

use crate::runner::{LoggedRun, Outcome, Progress, run_with_logs};
use crate::sample::{ResourceUse, Sample, Totals};
use crate::scenario::Scenario;
use crate::testbed::{Programs, TestbedError};

pub use draw::{QUIET_END, SoakSize, draw, polls_lists};

mod draw;
#[cfg(test)]
mod tests;

/// The minimum share of requests that must be served after the last fault.
const MIN_RECOVERED_SHARE: f64 = 0.9;
/// The length of the span at the end of the run over which that share is computed.
const RECOVERY_SPAN: Duration = Duration::from_secs(5);
/// The sidecar metric that counts requests in progress.
const ACTIVE_REQUESTS: &str = "active";

/// Descriptions of the failed checks of a run. Empty if the run passed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<String>);

/// Runs a scenario and checks its outcome.
///
/// # Errors
///
/// When the testbed cannot be started or an action cannot be applied. Findings are not an error.
pub fn run(
    scenario: &Scenario,
    programs: Programs,
    observe: impl FnMut(&Progress<'_>),
) -> Result<(Outcome, Findings), TestbedError> {
    let lags = LagWatch::start();
    let LoggedRun { outcome, logged_violations } = run_with_logs(scenario, programs, observe)?;
    let mut findings = check_outcome(scenario, &outcome, logged_violations);
    if !findings.0.is_empty() {
        findings.0.push(lags.longest().to_string());
    }
    Ok((outcome, findings))
}

fn check_outcome(
    scenario: &Scenario,
    outcome: &Outcome,
    logged_violations: Vec<String>,
) -> Findings {
    let mut findings = Vec::new();
    let violations = outcome.account.violations();
    if violations > 0 {
        findings.push(format!("{violations} violations in the account of all requests"));
        let counts = outcome.account.violation_counts().into_iter().filter(|(_, count)| *count > 0);
        findings.extend(counts.map(|(name, count)| format!("{count} {name}")));
        findings.extend(outcome.account.examples.iter().cloned());
    }
    findings.extend(outcome.problems.iter().cloned());
    findings.extend(logged_violations);
    findings.extend(recovery_finding(scenario.duration, &outcome.samples));
    findings.extend(outcome.samples.last().and_then(leftover_finding));
    findings.extend(outcome.samples.last().into_iter().flat_map(resource_findings));
    Findings(findings)
}

/// Reports sidecars that use more descriptors or memory than their limits allow.
fn resource_findings(last: &Sample) -> impl Iterator<Item = String> {
    let resources = last.resources.iter().enumerate();
    resources.filter_map(|(n, used)| (*used).map(|used| (n, used))).filter_map(|(n, used)| {
        let ResourceUse { descriptors, max_descriptors, memory_kib, max_memory_kib } = used;
        let is_within = descriptors <= max_descriptors && memory_kib <= max_memory_kib;
        (!is_within).then(|| {
            format!(
                "s{n} has {descriptors} of {max_descriptors} descriptors and {memory_kib} of {max_memory_kib} KiB \
                 at the end"
            )
        })
    })
}

/// Reports a run in which too few requests were served after the last fault.
fn recovery_finding(duration: Duration, samples: &[Sample]) -> Option<String> {
    let from_s = duration.saturating_sub(RECOVERY_SPAN).as_secs_f64();
    let first = samples.iter().find(|sample| sample.at_s >= from_s)?;
    let last = samples.last()?;
    // These counts may decrease, because an operation whose last attempt was rejected or failed may be served later.
    let difference =
        |total: fn(&Totals) -> u64| total(&last.totals).saturating_sub(total(&first.totals));
    let served = difference(|totals| totals.served);
    let ended = served + difference(|t| t.rejected) + difference(|t| t.failed);
    let share = served as f64 / ended.max(1) as f64;
    (share < MIN_RECOVERED_SHARE)
        .then(|| format!("{served} of {ended} requests served after the last fault"))
}

/// Reports a sidecar with more requests in progress than the load can cause, which shows that ended requests are still
/// counted.
fn leftover_finding(last: &Sample) -> Option<String> {
    /// More requests than any sidecar gets within the longest deadline.
    const MAX_ACTIVE: f64 = 200.0;
    let active = last.sidecar_metrics.iter().flatten().filter_map(|m| m.get(ACTIVE_REQUESTS));
    let most = active.fold(0.0, |most, &count| count.max(most));
    (most > MAX_ACTIVE).then(|| format!("a sidecar has {most} requests in progress at the end"))
}
