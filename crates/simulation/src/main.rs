//! The command line of the simulation: runs many seeds, plays or shrinks a single one, and reports coverage.
#![forbid(unsafe_code)]

use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Instant;

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use simulation::run::{Outcome, run_scenario};
use simulation::scenario::{Scenario, ScenarioError};
use simulation::seeds::{DrawFunction, FailedSeed, OnFailure, SeedsReport, run_seeds};

/// The exit status if a rule was broken.
const STATUS_RULE_BROKEN: u8 = 1;
/// The exit status if the arguments or a file are invalid.
const STATUS_INVALID: u8 = 2;
/// The largest number of failures that are printed: when the first one stops the run, and when all seeds run.
const PRINTED_FAILURES: [usize; 2] = [3, 20];
/// The number of seeds after which progress is logged if no progress bar is visible.
const PROGRESS_INTERVAL: u64 = 5_000;

/// Runs sidecars on a virtual clock and network under faults drawn from a seed, and checks the rules.
///
/// Exit status: 0 if no rule was broken, 1 if one was, 2 if the arguments or a file are invalid.
#[derive(Parser)]
#[command(name = "lb-simulation", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run many seeds.
    Run {
        #[command(flatten)]
        seeds: SeedArguments,
        /// Run all seeds and count the failures, instead of stopping at the first.
        #[arg(long)]
        keep_going: bool,
    },
    /// Run one seed, or a scenario from a file.
    Play {
        /// A seed, or the path of a scenario file.
        what: String,
        #[command(flatten)]
        more: AdditionalFaults,
        /// Print the timeline.
        #[arg(long)]
        trace: bool,
    },
    /// Reduce a failing seed or scenario to the faults that are needed to break the same rule.
    Shrink {
        /// A seed, or the path of a scenario file.
        what: String,
        #[command(flatten)]
        more: AdditionalFaults,
        /// The file to write the scenario to [default: standard output].
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Run seeds and print how often each fault and each outcome occurred.
    Coverage {
        #[command(flatten)]
        seeds: SeedArguments,
    },
    /// Print the scenario of a seed in the format of scenario files.
    Show {
        /// The seed.
        seed: u64,
    },
}

#[derive(Args)]
struct SeedArguments {
    /// The range of seeds, without its end, for example 0..1000.
    #[arg(long)]
    seeds: SeedRange,
    #[command(flatten)]
    more: AdditionalFaults,
    /// The number of threads [default: the number of processors].
    #[arg(long)]
    jobs: Option<usize>,
}

/// The faults that the scenarios of seeds have in addition to their usual ones.
#[derive(Args, Clone, Copy)]
struct AdditionalFaults {
    /// Add faults in which discovery is slow or falls silent while servers drain (for seeds only).
    #[arg(long, conflicts_with = "hold_ups")]
    discovery_faults: bool,
    /// Add repeated hold-ups of sidecars (for seeds only).
    #[arg(long)]
    hold_ups: bool,
    /// Add rejections that do not prove that the request was not executed (for seeds only).
    #[arg(long, conflicts_with_all = ["hold_ups", "discovery_faults"])]
    broken_rejections: bool,
    /// Add responses that servers send a second time (for seeds only).
    #[arg(long, conflicts_with_all = ["hold_ups", "discovery_faults", "broken_rejections"])]
    second_answers: bool,
    /// Add sound responses that servers give piece by piece (for seeds only).
    #[arg(long, conflicts_with_all = ["hold_ups", "discovery_faults", "broken_rejections", "second_answers"])]
    slow_responses: bool,
}

impl AdditionalFaults {
    /// Returns the function that draws the scenario of a seed.
    fn draw(self) -> DrawFunction {
        match self {
            AdditionalFaults { discovery_faults: true, .. } => Scenario::draw_with_discovery_faults,
            AdditionalFaults { hold_ups: true, .. } => Scenario::draw_with_hold_ups,
            AdditionalFaults { broken_rejections: true, .. } => {
                Scenario::draw_with_broken_rejections
            }
            AdditionalFaults { second_answers: true, .. } => Scenario::draw_with_second_answers,
            AdditionalFaults { slow_responses: true, .. } => Scenario::draw_with_slow_responses,
            _ => Scenario::draw,
        }
    }
}

/// A range of seeds, such as `0..1000`.
#[derive(Clone, Debug)]
struct SeedRange(Range<u64>);

#[derive(Debug, thiserror::Error)]
#[error("expected a range of seeds such as 0..1000")]
struct InvalidSeedRange;

impl FromStr for SeedRange {
    type Err = InvalidSeedRange;

    fn from_str(text: &str) -> Result<SeedRange, InvalidSeedRange> {
        let (from, to) = text.split_once("..").ok_or(InvalidSeedRange)?;
        let parse = |number: &str| number.parse::<u64>().map_err(|_| InvalidSeedRange);
        let range = parse(from)?..parse(to)?;
        if range.is_empty() { Err(InvalidSeedRange) } else { Ok(SeedRange(range)) }
    }
}

/// Whether a rule was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Passed,
    Broken,
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(STATUS_RULE_BROKEN),
        Err(error) => {
            eprintln!("lb-simulation: {error}");
            ExitCode::from(STATUS_INVALID)
        }
    }
}

fn execute(command: Command) -> Result<Verdict, ScenarioError> {
    match command {
        Command::Run { seeds, keep_going } => {
            let on_failure = if keep_going { OnFailure::KeepGoing } else { OnFailure::Stop };
            Ok(run(seeds, on_failure, false))
        }
        Command::Coverage { seeds } => Ok(run(seeds, OnFailure::KeepGoing, true)),
        Command::Play { what, more, trace } => Ok(play(&load(&what, more.draw())?, trace)),
        Command::Shrink { what, more, to } => shrink(&load(&what, more.draw())?, to.as_deref()),
        Command::Show { seed } => {
            print!("{}", Scenario::draw(seed).text());
            Ok(Verdict::Passed)
        }
    }
}

/// Returns the scenario of a seed, or reads it from a file.
fn load(what: &str, draw: DrawFunction) -> Result<Scenario, ScenarioError> {
    match what.parse() {
        Ok(seed) => Ok(draw(seed)),
        Err(_) => Scenario::read(Path::new(what)),
    }
}

fn print_violation(scenario: &Scenario, outcome: &Outcome) {
    if let Some(violation) = &outcome.violation {
        let (rule, at, message) = (violation.rule, violation.at, &violation.message);
        println!("seed {}: {rule} broken at {at:?}: {message}", scenario.seed);
        print!("{}", violation.history);
    }
}

fn play(scenario: &Scenario, trace: bool) -> Verdict {
    let outcome = run_scenario(scenario, trace);
    print!("{}", outcome.timeline);
    print_violation(scenario, &outcome);
    println!(
        "hash {:016x}, {} steps, {:.1} virtual seconds, {} requests; at the end {} of {} served",
        outcome.hash,
        outcome.event_count,
        outcome.duration.as_secs_f64(),
        outcome.requests(),
        outcome.recovery.served,
        outcome.recovery.requests,
    );
    if outcome.violation.is_some() { Verdict::Broken } else { Verdict::Passed }
}

fn shrink(scenario: &Scenario, to: Option<&Path>) -> Result<Verdict, ScenarioError> {
    let on_progress = |faults| eprintln!("{faults} faults left");
    let Some(smallest) = simulation::shrink::shrink(scenario, on_progress) else {
        println!("no rule is broken");
        return Ok(Verdict::Passed);
    };
    match to {
        Some(path) => smallest.write(path)?,
        None => print!("{}", smallest.text()),
    }
    Ok(Verdict::Broken)
}

fn run(arguments: SeedArguments, on_failure: OnFailure, show_coverage: bool) -> Verdict {
    let SeedArguments { seeds: SeedRange(seeds), more, jobs } = arguments;
    let draw = more.draw();
    let processors = std::thread::available_parallelism().map_or(2, usize::from);
    let threads = jobs.unwrap_or(processors).max(1);
    let bar = progress_bar(seeds.end - seeds.start);
    let began = Instant::now();
    let report = run_seeds(seeds, draw, threads, on_failure, |failures| {
        bar.inc(1);
        if failures > 0 {
            bar.set_message(format!("{failures} failed"));
        }
        let finished = bar.position();
        if bar.is_hidden() && finished.is_multiple_of(PROGRESS_INTERVAL) {
            eprintln!("{finished} seeds after {:.0} s", began.elapsed().as_secs_f64());
        }
    });
    bar.finish_and_clear();
    let seconds = began.elapsed().as_secs_f64();
    let [when_stopped, when_all] = PRINTED_FAILURES;
    let printed = if on_failure == OnFailure::Stop { when_stopped } else { when_all };
    for FailedSeed { scenario, outcome } in report.failures.iter().take(printed) {
        print_violation(scenario, outcome);
    }
    if show_coverage {
        print!("{}", report.coverage.table());
    }
    print_summary(&report, threads, seconds);
    if report.failures.is_empty() { Verdict::Passed } else { Verdict::Broken }
}

fn progress_bar(length: u64) -> ProgressBar {
    let bar = ProgressBar::new(length);
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} {per_sec} {eta} {msg}");
    bar.set_style(style.unwrap_or(ProgressStyle::default_bar()));
    bar
}

fn print_summary(report: &SeedsReport, threads: usize, seconds: f64) {
    let coverage = &report.coverage;
    println!(
        "{} seeds in {seconds:.1} s on {threads} threads: {:.1} seeds/s, {:.0} virtual seconds/s; {} requests ({} at least), {} with faults; hashes sum to {:016x}; {} failed",
        coverage.runs,
        coverage.runs as f64 / seconds,
        coverage.virtual_seconds / seconds,
        coverage.requests(),
        coverage.fewest_requests.unwrap_or(0),
        coverage.runs_with_faults,
        report.hash_sum,
        report.failures.len()
    );
}
