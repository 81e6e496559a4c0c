//! `lbctl trial`: fault-injection runs with many real sidecars, described by scenario files.

use std::fs::File;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use fault_injection::expectations::Verdict;
use fault_injection::runner::{self, Progress};
use fault_injection::sample::Sample;
use fault_injection::scenario::{ConfigurationPatch, Event, Scenario};
use fault_injection::testbed::Programs;
use serde_json::Value;

use crate::outcome::{CommandError, Outcome, exit_code, parse_file};

/// The length to which the text of an action is cut in the table, in characters.
const MAX_ACTION_CHARS: usize = 120;
/// The minimum time between two lines of the table, in seconds. It is below 1 s because the times of samples vary
/// slightly.
const LINE_INTERVAL_S: f64 = 0.95;
const BOLD: &str = "\x1b[1m";
const PLAIN: &str = "\x1b[0m";

/// The arguments of `trial`.
#[derive(Args)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a trial. Exit status 0: it passed.
    Run(RunArguments),
    /// Check scenario files without running them.
    Check {
        /// The scenario files.
        files: Vec<PathBuf>,
    },
}

#[derive(Args)]
struct RunArguments {
    /// The scenario file.
    file: PathBuf,
    /// The seed, instead of that in the file.
    #[arg(long)]
    seed: Option<u64>,
    /// Write an HTML report with plots to this file.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Write the plan and all samples to this file, as JSON lines.
    #[arg(long, value_name = "FILE")]
    journal: Option<PathBuf>,
    /// Print JSON lines instead of a table.
    #[arg(long)]
    json: bool,
    /// The program of the sidecars, instead of the built one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Merge this object into the configurations of all sidecars, after the patches of the file.
    #[arg(long, value_name = "JSON", value_parser = parse_json_object)]
    set: Option<Value>,
}

/// The error of an argument that is not a JSON object.
#[derive(Debug, thiserror::Error)]
enum JsonObjectError {
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
    #[error("must be a JSON object")]
    NotAnObject,
}

fn parse_json_object(text: &str) -> Result<Value, JsonObjectError> {
    let value: Value = serde_json::from_str(text)?;
    if value.is_object() { Ok(value) } else { Err(JsonObjectError::NotAnObject) }
}

/// Runs the command.
pub fn run(arguments: &Arguments) -> ExitCode {
    exit_code(match &arguments.command {
        Command::Run(arguments) => run_scenario(arguments),
        Command::Check { files } => check(files),
    })
}

fn check(files: &[PathBuf]) -> Result<Outcome, CommandError> {
    for file in files {
        read(file, None)?;
    }
    Ok(Outcome::Passed)
}

fn read(file: &Path, seed: Option<u64>) -> Result<Scenario, CommandError> {
    parse_file(file, |text| Scenario::parse(text, seed))
}

fn run_scenario(arguments: &RunArguments) -> Result<Outcome, CommandError> {
    let mut scenario = read(&arguments.file, arguments.seed)?;
    if let Some(patch) = arguments.set.clone() {
        let sidecars = (0..scenario.sidecar_count).collect();
        scenario.configuration_patches.push(ConfigurationPatch { sidecars, patch });
    }
    let mut programs = Programs::built(true)?;
    if let Some(program) = &arguments.program {
        programs.sidecar = program.canonicalize().map_err(CommandError::file(program))?;
    }
    let mut output = Output::new(arguments, scenario.sidecar_count)?;
    let outcome = runner::run(&scenario, programs, |progress| output.show(progress))?;
    if let Some(path) = &arguments.html {
        let page = fault_injection::html_report::html(&scenario, &outcome);
        std::fs::write(path, page).map_err(CommandError::file(path))?;
    }
    Ok(Outcome::of(outcome.passed))
}

/// The outputs for the progress of a run.
struct Output {
    journal: Option<File>,
    /// The table on standard output. `None` means that JSON lines are printed.
    table: Option<Table>,
}

impl Output {
    fn new(arguments: &RunArguments, sidecar_count: u16) -> Result<Output, CommandError> {
        let create = |path: &PathBuf| File::create(path).map_err(CommandError::file(path));
        let journal = arguments.journal.as_ref().map(create).transpose()?;
        let table = (!arguments.json).then_some(Table { last: None, sidecar_count });
        Ok(Output { journal, table })
    }

    fn show(&mut self, progress: &Progress<'_>) {
        let line = serde_json::to_string(progress).unwrap_or_default();
        if let Some(journal) = &mut self.journal {
            // Errors of the journal are ignored, so that they do not end the run.
            let _ = writeln!(journal, "{line}");
        }
        match &mut self.table {
            Some(table) => table.show(progress),
            None => println!("{line}"),
        }
    }
}

/// A table with one line per second and one per event.
struct Table {
    /// The last sample that was printed. `None` before the first sample.
    last: Option<Sample>,
    sidecar_count: u16,
}

impl Table {
    fn show(&mut self, progress: &Progress<'_>) {
        match progress {
            Progress::Started { name, seed, duration_s, sidecar_count, .. } => {
                println!("{name}: {sidecar_count} sidecars for {duration_s} s, seed {seed}");
                println!(
                    "{:>7} {:>6} {:>8} {:>8} {:>8} {:>8} {:>7} {:>9}",
                    "s", "tell", "asked/s", "served/s", "refused", "failed", "broken", "notes/s"
                );
            }
            Progress::Event(event) => show_event(event),
            Progress::Sample(sample) => self.show_sample(sample),
            Progress::Finished(outcome) => show_outcome(outcome),
        }
    }

    fn show_sample(&mut self, sample: &Sample) {
        let last = self.last.get_or_insert_with(|| sample.clone());
        let seconds = sample.at_s - last.at_s;
        if seconds < LINE_INTERVAL_S {
            return;
        }
        let per_second = |now: u64, then: u64| (now - then) as f64 / seconds;
        println!(
            "{:>7.1} {:>3}/{:<3}{:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>7} {:>9.0}",
            sample.at_s,
            sample.sidecar_metrics.iter().flatten().count(),
            self.sidecar_count,
            per_second(sample.totals.requested, last.totals.requested),
            per_second(sample.totals.served, last.totals.served),
            per_second(sample.totals.rejected, last.totals.rejected),
            per_second(sample.totals.failed, last.totals.failed),
            sample.violations,
            per_second(sample.gossip.delivered, last.gossip.delivered),
        );
        let _ = std::io::stdout().flush();
        self.last = Some(sample.clone());
    }
}

fn show_event(event: &Event) {
    let action = serde_json::to_string(&event.action).unwrap_or_default();
    let action: String = action.chars().take(MAX_ACTION_CHARS).collect();
    println!("{:>7.2} {action}", event.at_s);
}

fn show_outcome(outcome: &runner::Outcome) {
    let terminal = std::io::stdout().is_terminal();
    let (bold, plain) = if terminal { (BOLD, PLAIN) } else { ("", "") };
    println!();
    for verdict in &outcome.verdicts {
        show_verdict(verdict, bold, plain);
    }
    for text in outcome.account.examples.iter().chain(&outcome.problems) {
        println!("  {text}");
    }
    let violations = outcome.account.violations();
    let summary = if outcome.passed { "trial passed" } else { "TRIAL FAILED" };
    let served = outcome.account.served();
    println!("{bold}{summary}{plain}; violations: {violations}, served {served}");
}

fn show_verdict(verdict: &Verdict, bold: &str, plain: &str) {
    let held = if verdict.passed { "held" } else { "NOT HELD" };
    let reason = verdict.reason.as_deref().map_or_else(String::new, |r| format!(": {r}"));
    println!(
        "line {:>3} {bold}{held:8}{plain} {} ({:.3} to {:.3}, {} observations){reason}",
        verdict.line, verdict.metric, verdict.min, verdict.max, verdict.observations
    );
}
