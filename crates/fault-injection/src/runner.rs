//! Runs a scenario on a testbed and reports its progress.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fakes::account::Report;
use serde::Serialize;

use crate::expectations::Verdict;
use crate::sample::Sample;
use crate::scenario::{Action, Event, Scenario};
use crate::testbed::{PendingSample, Programs, Testbed, TestbedError};

/// The time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// The progress of a run. The serialized names are part of the journal format.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress<'a> {
    /// The run has started.
    #[serde(rename = "begins")]
    Started {
        /// The scenario's name.
        name: &'a str,
        /// The seed of all random choices.
        seed: u64,
        /// The length of the run, in seconds.
        #[serde(rename = "seconds")]
        duration_s: f64,
        /// The number of sidecars.
        #[serde(rename = "sidecars")]
        sidecar_count: u16,
        /// The planned events.
        #[serde(rename = "acts")]
        events: &'a [Event],
    },
    /// An event is being applied.
    #[serde(rename = "act")]
    Event(&'a Event),
    /// A sample was taken.
    #[serde(rename = "look")]
    Sample(&'a Sample),
    /// The run has ended.
    #[serde(rename = "ends")]
    Finished(&'a Outcome),
}

/// The outcome of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Whether every expectation held, requests were served without any violation, and no sidecar exited unexpectedly
    /// or took too long to shut down.
    #[serde(rename = "held")]
    pub passed: bool,
    /// The results of the expectations, in the order of the file.
    pub verdicts: Vec<Verdict>,
    /// The account of all requests.
    pub account: Report,
    /// Descriptions of sidecars that exited unexpectedly or took too long to shut down.
    #[serde(rename = "troubles")]
    pub problems: Vec<String>,
    /// All samples.
    #[serde(skip)]
    pub samples: Vec<Sample>,
}

/// Runs a scenario to its end. `observe` is called with its progress.
///
/// # Errors
///
/// When the testbed cannot be started or an action cannot be applied. Failed expectations are not an error.
pub fn run(
    scenario: &Scenario,
    programs: Programs,
    observe: impl FnMut(&Progress<'_>),
) -> Result<Outcome, TestbedError> {
    run_with_logs(scenario, programs, observe).map(|run| run.outcome)
}

/// The outcome of a run together with violations from the sidecars' logs.
pub struct LoggedRun {
    /// The outcome of the run.
    pub outcome: Outcome,
    /// Lines of the sidecars' logs that report violated rules or panics.
    pub logged_violations: Vec<String>,
}

/// Like [`run`], and also returns the violations that the sidecars' logs report.
///
/// # Errors
///
/// As for [`run`].
pub fn run_with_logs(
    scenario: &Scenario,
    programs: Programs,
    mut observe: impl FnMut(&Progress<'_>),
) -> Result<LoggedRun, TestbedError> {
    observe(&Progress::Started {
        name: &scenario.name,
        seed: scenario.seed,
        duration_s: scenario.duration.as_secs_f64(),
        sidecar_count: scenario.sidecar_count,
        events: &scenario.events,
    });
    let mut testbed = Testbed::start(scenario.clone(), programs)?;
    if scenario.events.iter().any(|event| matches!(event.action, Action::Inject { .. })) {
        testbed.account.expect_transit_delays();
    }
    if scenario.breaks_connections() {
        testbed.account.expect_broken_connections();
    }
    if !scenario.checks_late_arrivals {
        testbed.account.expect_late_arrivals();
    }
    let samples = apply_events(scenario, &mut testbed, &mut observe)?;
    let account = testbed.finish();
    let verdicts: Vec<Verdict> =
        scenario.expectations.iter().map(|expectation| expectation.evaluate(&samples)).collect();
    let problems = testbed.problems().to_vec();
    let without_problems = account.violations() == 0 && account.served() > 0 && problems.is_empty();
    let passed = without_problems && verdicts.iter().all(|verdict| verdict.passed);
    let outcome = Outcome { passed, verdicts, account, problems, samples };
    observe(&Progress::Finished(&outcome));
    Ok(LoggedRun { outcome, logged_violations: testbed.logged_violations() })
}

/// Applies all events and takes all samples, each at its time.
fn apply_events(
    scenario: &Scenario,
    testbed: &mut Testbed,
    observe: &mut impl FnMut(&Progress<'_>),
) -> Result<Vec<Sample>, TestbedError> {
    let mut recorder = Recorder {
        offset_s: testbed.network.elapsed().as_secs_f64(),
        pending: VecDeque::new(),
        samples: Vec::new(),
    };
    let started = Instant::now();
    testbed.start_all_clients();
    let mut events = scenario.events.iter().peekable();
    let mut next_sample = Duration::ZERO;
    loop {
        let next_event = events.peek().map(|event| Duration::from_secs_f64(event.at_s));
        let next = next_event.map_or(next_sample, |due| due.min(next_sample));
        std::thread::sleep(next.saturating_sub(started.elapsed()));
        // An event is applied before a sample of the same time is taken.
        if let Some(event) = events.next_if(|_| next_event.is_some_and(|due| due <= next_sample)) {
            observe(&Progress::Event(event));
            testbed.apply(event.fault, &event.action)?;
            continue;
        }
        recorder.pending.push_back(testbed.sample());
        recorder.record_complete(observe);
        if next_sample >= scenario.duration {
            break;
        }
        next_sample = (next_sample + SAMPLE_INTERVAL).min(scenario.duration);
    }
    Ok(recorder.finish(observe))
}

/// Collects samples in the order in which they were taken.
struct Recorder {
    /// The start of the run, in seconds after that of the network.
    offset_s: f64,
    pending: VecDeque<PendingSample>,
    samples: Vec<Sample>,
}

impl Recorder {
    /// Records the samples whose sidecars have all answered.
    fn record_complete(&mut self, observe: &mut impl FnMut(&Progress<'_>)) {
        while self.pending.front().is_some_and(PendingSample::is_complete) {
            if let Some(pending) = self.pending.pop_front() {
                self.record(pending, observe);
            }
        }
    }

    /// Waits for all samples to be complete and returns them.
    fn finish(mut self, observe: &mut impl FnMut(&Progress<'_>)) -> Vec<Sample> {
        while let Some(pending) = self.pending.pop_front() {
            self.record(pending, observe);
        }
        self.samples
    }

    fn record(&mut self, pending: PendingSample, observe: &mut impl FnMut(&Progress<'_>)) {
        let mut sample = pending.complete();
        sample.at_s -= self.offset_s;
        observe(&Progress::Sample(&sample));
        self.samples.push(sample);
    }
}
