//! Shows that the oracle can fail: puts bugs into copies of the workspace, one at a time, and counts
//! the seeds that find each. The first seed that does is played again in two new processes, which have
//! to come to the same result, and is shrunk to the faults that matter.
//!
//! `cargo run --release -p simulation --example mutants`: at first a quarter of the seeds (2,000) are
//! played; all of them where these find nothing. Status 1: a bug was not found, or not twice the same.

mod error;
mod mutant;
mod workspace;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::slice;
use std::sync::Mutex;

use clap::Parser;

use crate::error::Error;
use crate::mutant::Mutant;
use crate::workspace::{SeedsResult, WorkspaceCopy};

/// The fraction of the seeds that is played first: one in so many.
const FIRST_FRACTION: u64 = 4;

/// Plays bugs that are put in on purpose.
#[derive(Parser)]
struct Arguments {
    /// Seeds.
    #[arg(long, default_value_t = 2000)]
    seeds: u64,
    /// Copies of the workspace that are built and played side by side.
    #[arg(long, default_value_t = 1)]
    copies: usize,
    /// Only bugs whose name has this in it.
    only: Option<String>,
}

/// The mutants that were not played yet.
type Queue<'a> = Mutex<slice::Iter<'a, &'a Mutant>>;

/// The root of the workspace.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn main() -> ExitCode {
    match play_all(&Arguments::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(missed) => {
            eprintln!("{missed} not found, or not the same again");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("mutants: {error}");
            ExitCode::from(2)
        }
    }
}

/// Plays all wanted mutants, and returns how many were missed.
fn play_all(arguments: &Arguments) -> Result<usize, Error> {
    let mutants = mutant::load()?;
    let wanted =
        |mutant: &&Mutant| arguments.only.as_ref().is_none_or(|part| mutant.name.contains(part));
    let wanted: Vec<&Mutant> = mutants.iter().filter(wanted).collect();
    println!("| bug | seeds that found it | of | rules broken | the first again | faults left |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let queue = Mutex::new(wanted.iter());
    let results: Vec<Result<usize, Error>> = std::thread::scope(|scope| {
        let play = |number| {
            let queue = &queue;
            scope.spawn(move || play_in_copy(number, queue, arguments.seeds))
        };
        let threads: Vec<_> = (0..arguments.copies.max(1)).map(play).collect();
        threads.into_iter().map(|t| t.join().unwrap_or(Err(Error::ThreadPanicked))).collect()
    });
    results.into_iter().sum()
}

/// Plays mutants in one copy of the workspace until none is left, and returns how many were missed.
fn play_in_copy(number: usize, queue: &Queue<'_>, seeds: u64) -> Result<usize, Error> {
    let copy = WorkspaceCopy::create(number)?;
    let mut missed = 0;
    loop {
        let next = queue.lock().map_err(|_| Error::ThreadPanicked)?.next();
        let Some(mutant) = next else { return Ok(missed) };
        mutant.apply(copy.folder())?;
        let found = match (&mutant.tests, &mutant.soak) {
            (Some(package), _) => found_by_tests(&copy, mutant, package)?,
            (None, Some(seeds)) => found_by_soak(&copy, mutant, seeds)?,
            (None, None) => {
                copy.build_tool()?;
                found_by_seeds(&copy, mutant, seeds)?
            }
        };
        missed += usize::from(!found);
        mutant.revert(copy.folder())?;
    }
}

/// Whether a package's tests find a mutant.
fn found_by_tests(copy: &WorkspaceCopy, mutant: &Mutant, package: &str) -> Result<bool, Error> {
    let failed = copy.failed_tests(package, mutant.test.as_deref())?;
    println!("| {} | {} tests | | {} | | |", mutant.name, failed.len(), failed.join(", "));
    Ok(!failed.is_empty())
}

/// Whether runs of the soak find a mutant.
fn found_by_soak(copy: &WorkspaceCopy, mutant: &Mutant, seeds: &str) -> Result<bool, Error> {
    let findings = copy.soak(seeds)?;
    println!("| {} | {findings} | {seeds} | | | |", mutant.name);
    Ok(findings > 0)
}

/// Whether seeds find a mutant, and the first that does comes to the same result twice.
fn found_by_seeds(copy: &WorkspaceCopy, mutant: &Mutant, seeds: u64) -> Result<bool, Error> {
    let options = mutant.seed_options();
    let mut played = seeds / FIRST_FRACTION;
    let mut result = copy.run_seeds(played, options)?;
    if result.seeds.is_empty() {
        played = seeds;
        result = copy.run_seeds(played, options)?;
    }
    let SeedsResult { failed, seeds, rules } = result;
    let Some(first) = seeds.first() else {
        println!("| {} | 0 | {played} | | | |", mutant.name);
        return Ok(false);
    };
    let (one, two) = (copy.play(first, options)?, copy.play(first, options)?);
    let same = one == two && one.contains(" broken at ");
    let faults_left = copy.shrink(first, options)?;
    println!(
        "| {} | {failed} | {played} | {} | {} | {faults_left} |",
        mutant.name,
        rules.join(", "),
        if same { "the same" } else { "DIFFERS" },
    );
    Ok(same)
}
