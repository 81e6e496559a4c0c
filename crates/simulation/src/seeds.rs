//! Runs many seeds on several threads.

use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::coverage::Coverage;
use crate::run::{Outcome, run_scenario};
use crate::scenario::Scenario;

/// A seed whose run has broken a rule.
pub struct FailedSeed {
    /// Its scenario.
    pub scenario: Scenario,
    /// The result of the run.
    pub outcome: Outcome,
}

/// A function that draws the scenario of a seed.
pub type DrawFunction = fn(u64) -> Scenario;

/// The results of many seeds.
#[derive(Default)]
pub struct SeedsReport {
    /// The sums over all runs.
    pub coverage: Coverage,
    /// The sum of all hashes, modulo 2^64.
    pub hash_sum: u64,
    /// The seeds that have broken a rule, in order.
    pub failures: Vec<FailedSeed>,
}

/// The reaction to a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnFailure {
    /// Starts no new run after the first failure.
    Stop,
    /// Runs all seeds.
    KeepGoing,
}

/// Runs all seeds of a range on `threads` threads. `on_progress` is called after each run with the number
/// of failures so far.
///
/// # Panics
///
/// If a run panics.
pub fn run_seeds(
    seeds: Range<u64>,
    draw: DrawFunction,
    threads: usize,
    on_failure: OnFailure,
    on_progress: impl Fn(usize) + Sync,
) -> SeedsReport {
    let next = AtomicU64::new(seeds.start);
    let report = Mutex::new(SeedsReport::default());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                let mut coverage = Coverage::default();
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        break;
                    }
                    let scenario = draw(seed);
                    let outcome = run_scenario(&scenario, false);
                    coverage.add(&scenario, &outcome);
                    if outcome.violation.is_some() && on_failure == OnFailure::Stop {
                        next.store(seeds.end, Ordering::Relaxed);
                    }
                    on_progress(record(&report, scenario, outcome));
                }
                if let Ok(mut report) = report.lock() {
                    report.coverage.merge(&coverage);
                }
            });
        }
    });
    let mut report = report.into_inner().unwrap_or_default();
    report.failures.sort_by_key(|failure| failure.scenario.seed);
    report
}

/// Adds a run to the report, and returns the number of failures so far.
fn record(report: &Mutex<SeedsReport>, scenario: Scenario, outcome: Outcome) -> usize {
    let Ok(mut report) = report.lock() else { return 0 };
    report.hash_sum = report.hash_sum.wrapping_add(outcome.hash);
    if outcome.violation.is_some() {
        report.failures.push(FailedSeed { scenario, outcome });
    }
    report.failures.len()
}
