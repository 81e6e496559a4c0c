//! Checks that the oracle and the tests detect bugs: applies mutants to copies of the workspace, one at a time, and
//! counts the seeds that find each. The first seed that does is run again in two new processes, which must have the
//! same result, and is shrunk to the faults that are needed.
//!
//! `cargo run --release -p simulation --example mutants` first runs a quarter of the seeds (by default 2,000), and
//! all of them if these find nothing. Exit status: 0 if every mutant was found, 1 if one was not found or the results
//! of a seed differ, 2 on an error.

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

/// The divisor of the number of seeds that gives the number of those that run first.
const FIRST_FRACTION: u64 = 4;

/// Checks that the seeds, the tests and the soak find each mutant.
#[derive(Parser)]
struct Arguments {
    /// The number of seeds.
    #[arg(long, default_value_t = 2000)]
    seeds: u64,
    /// The number of copies of the workspace that are built and run in parallel.
    #[arg(long, default_value_t = 1)]
    copies: usize,
    /// Run only mutants whose name contains this text.
    only: Option<String>,
}

/// The mutants that have not been run yet.
type Queue<'a> = Mutex<slice::Iter<'a, &'a Mutant>>;

/// Returns the root of the workspace.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn main() -> ExitCode {
    match play_all(&Arguments::parse()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(missed) => {
            eprintln!(
                "{missed} mutants were not found, or their first seed had another result when run again"
            );
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("mutants: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the selected mutants. Returns the number of those that were not found, or only with differing results.
fn play_all(arguments: &Arguments) -> Result<usize, Error> {
    let mutants = mutant::load()?;
    let wanted =
        |mutant: &&Mutant| arguments.only.as_ref().is_none_or(|part| mutant.name.contains(part));
    let wanted: Vec<&Mutant> = mutants.iter().filter(wanted).collect();
    println!("| mutant | failing seeds | seeds | rules broken | first seed again | faults left |");
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

/// Runs mutants in one copy of the workspace until none is left. Returns the number of mutants that were not found, or
/// only with differing results.
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

/// Whether the tests of a package find a mutant.
fn found_by_tests(copy: &WorkspaceCopy, mutant: &Mutant, package: &str) -> Result<bool, Error> {
    let failed = copy.failed_tests(package, mutant.test.as_deref())?;
    println!("| {} | {} tests | | {} | | |", mutant.name, failed.len(), failed.join(", "));
    Ok(!failed.is_empty())
}

/// Whether the soak finds a mutant.
fn found_by_soak(copy: &WorkspaceCopy, mutant: &Mutant, seeds: &str) -> Result<bool, Error> {
    let findings = copy.soak(seeds)?;
    println!("| {} | {findings} | {seeds} | | | |", mutant.name);
    Ok(findings > 0)
}

/// Whether seeds find a mutant, and the first that does has the same result twice.
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
