//! `lbctl soak`: real sidecars under random faults that overlap in time, with one run per seed.

use std::fs::File;
use std::io::Write;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use fakes::account::Report;
use fault_injection::runner::{Outcome as RunOutcome, Progress};
use fault_injection::scenario::Scenario;
use fault_injection::soak::{self, Findings, QUIET_END, SoakSize};
use fault_injection::testbed::Programs;

use crate::outcome::{CommandError, Outcome, exit_code};

/// The minimum duration of a run, in seconds. It leaves 10 s for faults before the quiet end.
const MIN_DURATION_S: u64 = QUIET_END.as_secs() + 10;
/// The maximum duration of a run, in seconds.
const MAX_DURATION_S: u64 = 3600;
/// The maximum number of sidecars of a run.
const MAX_SIDECARS: u16 = 100;

/// The arguments of `soak`.
#[derive(Args)]
pub struct Arguments {
    /// A single seed, or a range `A..B` that excludes B.
    #[arg(long, value_parser = seed_range, default_value = "1..4")]
    seeds: Range<u64>,
    /// The number of sidecars in each run.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u16).range(1..=i64::from(MAX_SIDECARS)))]
    sidecars: u16,
    /// The duration of each run, in seconds.
    #[arg(long, default_value_t = 36, value_parser = clap::value_parser!(u64).range(MIN_DURATION_S..=MAX_DURATION_S))]
    seconds: u64,
    /// Write the plan and samples of each run to this directory, as JSON lines.
    #[arg(long, value_name = "DIRECTORY")]
    journal: Option<PathBuf>,
    /// The program of the sidecars, instead of the built one.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// The error of an invalid range of seeds.
#[derive(Debug, thiserror::Error)]
#[error("must be a number, or a range A..B with A less than B")]
struct SeedRangeError;

fn seed_range(text: &str) -> Result<Range<u64>, SeedRangeError> {
    let number = |text: &str| text.parse::<u64>().map_err(|_| SeedRangeError);
    let range = match text.split_once("..") {
        Some((first, end)) => number(first)?..number(end)?,
        None => number(text)?..number(text)?.saturating_add(1),
    };
    if range.is_empty() { Err(SeedRangeError) } else { Ok(range) }
}

/// Runs the command.
pub fn run(arguments: &Arguments) -> ExitCode {
    exit_code(run_seeds(arguments))
}

fn run_seeds(arguments: &Arguments) -> Result<Outcome, CommandError> {
    let mut failed = Vec::new();
    let duration = Duration::from_secs(arguments.seconds);
    let size = SoakSize { sidecars: arguments.sidecars, duration };
    for seed in arguments.seeds.clone() {
        let scenario = soak::draw(seed, size);
        let lists = if soak::polls_lists(&scenario) { "polled" } else { "pushed" };
        let (outcome, findings) = run_scenario(arguments, &scenario)?;
        println!("seed {seed}, lists {lists}: {}", summary(&outcome.account));
        for finding in &findings.0 {
            println!("  {finding}");
        }
        if !findings.0.is_empty() {
            failed.push(seed);
        }
    }
    let runs = arguments.seeds.end - arguments.seeds.start;
    println!("{runs} runs, {} with findings: {failed:?}", failed.len());
    Ok(Outcome::of(failed.is_empty()))
}

fn run_scenario(
    arguments: &Arguments,
    scenario: &Scenario,
) -> Result<(RunOutcome, Findings), CommandError> {
    let mut programs = Programs::built(true)?;
    if let Some(program) = &arguments.program {
        programs.sidecar = program.canonicalize().map_err(CommandError::file(program))?;
    }
    let mut journal = create_journal(arguments, scenario.seed)?;
    let observe = |progress: &Progress<'_>| {
        if let Some(journal) = &mut journal {
            // Errors of the journal are ignored, so that they do not end the run.
            let _ = writeln!(journal, "{}", serde_json::to_string(progress).unwrap_or_default());
        }
    };
    Ok(soak::run(scenario, programs, observe)?)
}

fn create_journal(arguments: &Arguments, seed: u64) -> Result<Option<File>, CommandError> {
    let Some(directory) = &arguments.journal else { return Ok(None) };
    std::fs::create_dir_all(directory).map_err(CommandError::file(directory))?;
    let path = directory.join(format!("soak-{seed}.jsonl"));
    File::create(&path).map(Some).map_err(CommandError::file(&path))
}

fn summary(account: &Report) -> String {
    let Report { close_races, unread_connections, refused_connections, lost_by_kill, .. } = account;
    format!(
        "{} requests, {} served, {} violations ({close_races} close races, {unread_connections} \
         unread and {refused_connections} refused connections, {lost_by_kill} lost by kills)",
        account.requested(),
        account.served(),
        account.violations(),
    )
}
