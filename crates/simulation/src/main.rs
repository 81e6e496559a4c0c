//! The tool: runs many seeds, plays one, cuts a failing one down, tells what was met.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use simulation::coverage::Coverage;
use simulation::run::{Outcome, play};
use simulation::scenario::Scenario;

/// Plays sidecars on a virtual clock and network, under faults from a seed, and checks the rules.
///
/// Status 0: no rule was broken. 1: one was. 2: not understood.
#[derive(Parser)]
#[command(name = "lb-simulation", version)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Play many seeds.
    Run {
        /// From, and up to but without: 0..1000.
        #[arg(long, value_parser = range)]
        seeds: std::ops::Range<u64>,
        /// Threads; as many as there are processors.
        #[arg(long)]
        jobs: Option<usize>,
        /// Go on after a failure, and count them.
        #[arg(long)]
        keep_going: bool,
    },
    /// Play one seed, or a scenario from a file.
    Play {
        /// A seed, or a file.
        what: String,
        /// Print everything that happens.
        #[arg(long)]
        trace: bool,
    },
    /// Cut a failing seed or file to the faults that matter.
    Shrink {
        /// A seed, or a file.
        what: String,
        /// Where the scenario goes; standard output without it.
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Tell how often each fault and each ending was met.
    Coverage {
        /// From, and up to but without: 0..1000.
        #[arg(long, value_parser = range)]
        seeds: std::ops::Range<u64>,
        /// Threads; as many as there are processors.
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Write the scenario of a seed as a file.
    Show {
        /// The seed.
        seed: u64,
    },
}

fn range(text: &str) -> Result<std::ops::Range<u64>, String> {
    let parts = text.split_once("..").and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    match parts {
        Some((from, to)) if from < to => Ok(from..to),
        _ => Err("two numbers as in 0..1000 expected".to_owned()),
    }
}

fn main() -> ExitCode {
    let done = match Arguments::parse().what {
        What::Run { seeds, jobs, keep_going } => Ok(run(seeds, jobs, !keep_going, false)),
        What::Coverage { seeds, jobs } => Ok(run(seeds, jobs, false, true)),
        What::Play { what, trace } => scenario(&what).map(|s| tell(&s, trace)),
        What::Shrink { what, to } => scenario(&what).and_then(|s| shrink(&s, to)),
        What::Show { seed } => {
            print!("{}", Scenario::draw(seed).text());
            Ok(true)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("lb-simulation: {e}");
            ExitCode::from(2)
        }
    }
}

fn scenario(what: &str) -> Result<Scenario, String> {
    match what.parse() {
        Ok(seed) => Ok(Scenario::draw(seed)),
        Err(_) => Scenario::read(&PathBuf::from(what)),
    }
}

fn explain(scenario: &Scenario, outcome: &Outcome) {
    if let Some(v) = &outcome.violation {
        println!("seed {}: {} broken at {:?}: {}", scenario.seed, v.rule, v.at, v.what);
        print!("{}", v.story);
    }
}

fn tell(scenario: &Scenario, trace: bool) -> bool {
    let outcome = play(scenario, trace);
    print!("{}", outcome.timeline);
    explain(scenario, &outcome);
    let (served, of) = outcome.recovered;
    println!(
        "hash {:016x}, {} steps, {:.1} virtual seconds, {} requests; at the end {served} of {of} served",
        outcome.hash,
        outcome.steps,
        outcome.lasted.as_secs_f64(),
        outcome.counts.get("requests").copied().unwrap_or(0),
    );
    outcome.violation.is_none()
}

fn shrink(scenario: &Scenario, to: Option<PathBuf>) -> Result<bool, String> {
    let least = simulation::shrink::shrink(scenario, |left| eprintln!("{left} faults left"));
    let Some(least) = least else {
        println!("no rule is broken");
        return Ok(true);
    };
    match to {
        Some(path) => {
            std::fs::write(&path, least.text()).map_err(|e| format!("{}: {e}", path.display()))?
        }
        None => print!("{}", least.text()),
    }
    Ok(false)
}

fn run(seeds: std::ops::Range<u64>, jobs: Option<usize>, first: bool, cover: bool) -> bool {
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    let jobs = jobs.unwrap_or(cores).max(1);
    let bar = ProgressBar::new(seeds.end - seeds.start);
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} {per_sec} {eta} {msg}");
    bar.set_style(style.unwrap_or(ProgressStyle::default_bar()));
    let next = AtomicU64::new(seeds.start);
    let hash = AtomicU64::new(0);
    let (all, failures) = (Mutex::new(Coverage::default()), Mutex::new(Vec::new()));
    let began = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                let mut mine = Coverage::default();
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        break;
                    }
                    let scenario = Scenario::draw(seed);
                    let outcome = play(&scenario, false);
                    mine.add(&scenario, &outcome);
                    hash.fetch_add(outcome.hash, Ordering::Relaxed);
                    bar.inc(1);
                    // Where nobody sees the bar, a line now and then.
                    let done = bar.position();
                    if bar.is_hidden() && done.is_multiple_of(5_000) {
                        eprintln!("{done} seeds after {:.0} s", began.elapsed().as_secs_f64());
                    }
                    if outcome.violation.is_some() {
                        if let Ok(mut failures) = failures.lock() {
                            failures.push((scenario, outcome));
                            bar.set_message(format!("{} failed", failures.len()));
                        }
                        if first {
                            next.store(seeds.end, Ordering::Relaxed);
                        }
                    }
                }
                if let Ok(mut all) = all.lock() {
                    all.merge(&mine);
                }
            });
        }
    });
    bar.finish_and_clear();
    let took = began.elapsed().as_secs_f64();
    let all = all.into_inner().unwrap_or_default();
    let mut failures = failures.into_inner().unwrap_or_default();
    failures.sort_by_key(|(s, _)| s.seed);
    for (scenario, outcome) in failures.iter().take(if first { 3 } else { 20 }) {
        explain(scenario, outcome);
    }
    if cover {
        print!("{}", all.table());
    }
    println!(
        "{} seeds in {took:.1} s on {jobs} threads: {:.1} seeds/s, {:.0} virtual seconds/s; {} requests ({} at least), {} with faults; hashes sum to {:016x}; {} failed",
        all.runs,
        all.runs as f64 / took,
        all.seconds / took,
        all.requests(),
        all.least_requests.unwrap_or(0),
        all.faulty,
        hash.load(Ordering::Relaxed),
        failures.len()
    );
    failures.is_empty()
}
