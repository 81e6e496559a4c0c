//! `lbctl scale`: scale tests with thousands of hollow sidecars, described by plan files. A test is run at one size, or
//! at several sizes with lines fitted to its metrics.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use scale_test::plan::Plan;
use scale_test::regression::fit_line;
use scale_test::report::Report;
use scale_test::runner;

use crate::outcome::{CommandError, Outcome, exit_code, parse_file};

/// The maximum number of runs of one command.
const MAX_RUNS: usize = 20;
/// The terminal sequence that returns to the start of the line and clears it.
const CLEAR_LINE: &str = "\r\x1b[K";
const KIB_PER_MIB: f64 = 1024.0;

type OtherError = Box<dyn std::error::Error + Send + Sync>;

/// The arguments of `scale`.
#[derive(Args)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scale test. Exit status 0: all expectations hold.
    Run {
        /// The plan file.
        file: PathBuf,
        /// The number of hollow sidecars, instead of that in the file.
        #[arg(long)]
        sidecars: Option<usize>,
        /// The number of runs.
        #[arg(long = "plays", value_name = "PLAYS", default_value_t = 1)]
        runs: usize,
        /// Print one JSON line per run.
        #[arg(long)]
        json: bool,
    },
    /// Run a scale test at several sizes, and fit lines to its metrics over the number of sidecars.
    Slopes {
        /// The plan file.
        file: PathBuf,
        /// The numbers of hollow sidecars.
        #[arg(long, value_delimiter = ',', default_value = "300,600,1200,2400,4800")]
        sizes: Vec<usize>,
    },
    /// Run a process of hollow sidecars. Started by `run`.
    #[command(hide = true)]
    Hollow,
}

/// The output format of a run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Format {
    Table,
    Json,
}

/// Runs the command.
pub fn run(arguments: &Arguments) -> ExitCode {
    exit_code(match &arguments.command {
        Command::Run { file, sidecars, runs, json } => {
            let format = if *json { Format::Json } else { Format::Table };
            run_repeatedly(file, *sidecars, *runs, format)
        }
        Command::Slopes { file, sizes } => fit_sizes(file, sizes),
        Command::Hollow => run_hollow(),
    })
}

fn run_hollow() -> Result<Outcome, CommandError> {
    scale_test::hollow::run().map_err(OtherError::from)?;
    Ok(Outcome::Passed)
}

fn read(file: &Path, sidecars: Option<usize>) -> Result<Plan, CommandError> {
    parse_file(file, |text| Plan::parse(text, sidecars))
}

fn run_repeatedly(
    file: &Path,
    sidecars: Option<usize>,
    runs: usize,
    format: Format,
) -> Result<Outcome, CommandError> {
    let plan = read(file, sidecars)?;
    let mut passed = true;
    for _ in 0..runs.clamp(1, MAX_RUNS) {
        let report = run_once(&plan, format)?;
        passed &= report.failures.is_empty();
        match format {
            Format::Json => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
            Format::Table => print_report(&report),
        }
    }
    Ok(Outcome::of(passed))
}

/// Runs a plan once. Its progress is printed to a single line of the terminal, or as lines to standard output.
fn run_once(plan: &Plan, format: Format) -> Result<Report, CommandError> {
    let own_program = std::env::current_exe().map_err(OtherError::from)?;
    let on_terminal = format == Format::Table && std::io::stderr().is_terminal();
    let report = runner::run(plan, &own_program, |line| {
        if on_terminal {
            eprint!("{CLEAR_LINE}{line}");
        } else if format == Format::Table {
            println!("{line}");
        }
        let _ = std::io::stdout().flush();
    });
    let report = report.map_err(OtherError::from)?;
    if on_terminal {
        eprintln!();
    }
    Ok(report)
}

fn print_report(report: &Report) {
    println!(
        "\n{} hollow and {} real sidecars; first change in force everywhere after {:.1} s",
        report.sidecar_count, report.real_sidecar_count, report.start_s
    );
    for change in &report.changes {
        let propagation = change
            .propagation_s
            .map_or("NOT IN FORCE EVERYWHERE".to_owned(), |s| format!("{s:.2} s"));
        println!("  change at {:>6.1} s: {propagation} {}", change.at_s, change.active_faults);
    }
    for (name, value) in &report.metrics {
        println!("{name:<32}{value:>12.3}");
    }
    print_costs(report);
    for failure in &report.failures {
        println!("expectation failed: {failure}");
    }
}

fn print_costs(report: &Report) {
    println!(
        "{:<10}{:>14}{:>14}{:>14}{:>14}{:>12}",
        "role", "CPU quiet", "most", "changing", "most", "MB most"
    );
    for (role, cost) in &report.costs {
        println!(
            "{role:<10}{:>13.3}%{:>13.3}%{:>13.3}%{:>13.3}%{:>12.2}",
            cost.cpu_quiet * 100.0,
            cost.cpu_quiet_max * 100.0,
            cost.cpu_changing * 100.0,
            cost.cpu_changing_max * 100.0,
            cost.rss_kib_max as f64 / KIB_PER_MIB
        );
    }
}

/// Runs a plan at several sizes, and prints lines fitted to its metrics over the number of sidecars.
fn fit_sizes(file: &Path, sizes: &[usize]) -> Result<Outcome, CommandError> {
    let mut reports = Vec::new();
    for size in sizes {
        let report = run_once(&read(file, Some(*size))?, Format::Table)?;
        print_report(&report);
        reports.push(report);
    }
    println!("\n{:<40}{:>14}{:>14}  residuals", "figure", "base", "per sidecar");
    print_fits(&reports);
    Ok(Outcome::of(reports.iter().all(|report| report.failures.is_empty())))
}

fn print_fits(reports: &[Report]) {
    let print = |name: &str, value: &dyn Fn(&Report) -> f64| print_fit(reports, name, value);
    print("propagation, s", &|r| r.metrics["in_force_s"]);
    print("start, s", &|r| r.start_s);
    for role in ["control", "origin"] {
        print(&format!("{role}: CPU quiet, share"), &|r| r.costs[role].cpu_quiet_max);
        print(&format!("{role}: CPU changing, share"), &|r| r.costs[role].cpu_changing_max);
        print(&format!("{role}: resident, MB"), &|r| {
            r.costs[role].rss_kib_max as f64 / KIB_PER_MIB
        });
    }
    print("hollow sidecar: CPU quiet, share", &|r| r.costs["hollow"].cpu_quiet);
    print("hollow sidecar: resident, MB", &|r| r.costs["hollow"].rss_kib_mean as f64 / KIB_PER_MIB);
    print("loopback bytes per s and sidecar", &|r| r.metrics["loopback_bytes_per_s_quiet"]);
}

fn print_fit(reports: &[Report], name: &str, value: &dyn Fn(&Report) -> f64) {
    let points: Vec<_> = reports.iter().map(|r| (r.sidecar_count as f64, value(r))).collect();
    if let Some(fit) = fit_line(&points) {
        let residuals: Vec<_> = fit.residuals.iter().map(|r| format!("{r:.4}")).collect();
        println!("{name:<40}{:>14.5}{:>14.8}  {}", fit.intercept, fit.slope, residuals.join(" "));
    }
}
