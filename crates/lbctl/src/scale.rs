//! `scale`: thousands of hollow sidecars beside real ones, as a file says; one run, or slopes over sizes.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use scale_test::figures::fit;
use scale_test::plan::Plan;
use scale_test::run::{Report, play};

#[derive(Args)]
pub struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Play a run. Status 0: all that is expected held.
    Run {
        /// The run's file.
        file: PathBuf,
        /// So many sidecars instead of the file's own.
        #[arg(long)]
        sidecars: Option<usize>,
        /// So many plays.
        #[arg(long, default_value_t = 1)]
        plays: usize,
        /// Print a JSON line for each play.
        #[arg(long)]
        json: bool,
    },
    /// Play a run at several sizes, and fit its figures against the sidecars.
    Slopes {
        /// The run's file.
        file: PathBuf,
        /// The sizes.
        #[arg(long, value_delimiter = ',', default_value = "300,600,1200,2400,4800")]
        sizes: Vec<usize>,
    },
    /// A process of hollow sidecars; started by `run`.
    #[command(hide = true)]
    Hollow,
}

pub fn run(arguments: &Arguments) -> ExitCode {
    let done = match &arguments.what {
        What::Run { file, sidecars, plays, json } => plays_of(file, *sidecars, *plays, *json),
        What::Slopes { file, sizes } => slopes(file, sizes),
        What::Hollow => scale_test::hollow::run().map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("lbctl: {why}");
            ExitCode::from(2)
        }
    }
}

fn read(file: &Path, sidecars: Option<usize>) -> Result<Plan, String> {
    let told = |why: &dyn std::fmt::Display| format!("{}: {why}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| told(&e))?;
    Plan::parse(&text, sidecars).map_err(|e| told(&e))
}

fn one(plan: &Plan, json: bool) -> Result<Report, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let shown = !json && std::io::stderr().is_terminal();
    let report = play(plan, &own, |line| {
        if shown {
            // One line that is written over.
            eprint!("\r\x1b[K{line}");
        } else if !json {
            println!("{line}");
        }
        let _ = std::io::stdout().flush();
    })?;
    if shown {
        eprintln!();
    }
    Ok(report)
}

fn plays_of(
    file: &Path,
    sidecars: Option<usize>,
    plays: usize,
    json: bool,
) -> Result<bool, String> {
    let plan = read(file, sidecars)?;
    let mut held = true;
    for _ in 0..plays.clamp(1, 20) {
        let report = one(&plan, json)?;
        held &= report.not_held.is_empty();
        if json {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            table(&report);
        }
    }
    Ok(held)
}

fn table(report: &Report) {
    println!(
        "\n{} hollow and {} real sidecars, started after {:.1} s",
        report.sidecars, report.real, report.start_s
    );
    for change in &report.changes {
        let took = change.took_s.map_or("NOT IN FORCE AT ALL".to_owned(), |s| format!("{s:.2} s"));
        println!("  change at {:>6.1} s: {took} {}", change.at_s, change.during);
    }
    for (name, value) in &report.figures {
        println!("{name:<32}{value:>12.3}");
    }
    println!(
        "{:<10}{:>14}{:>14}{:>14}{:>14}{:>12}",
        "role", "CPU quiet", "most", "changing", "most", "MB most"
    );
    for (role, c) in &report.costs {
        println!(
            "{role:<10}{:>13.3}%{:>13.3}%{:>13.3}%{:>13.3}%{:>12.2}",
            c.cpu_quiet * 100.0,
            c.cpu_quiet_most * 100.0,
            c.cpu_changing * 100.0,
            c.cpu_changing_most * 100.0,
            c.rss_kb_most as f64 / 1024.0
        );
    }
    for what in &report.not_held {
        println!("NOT HELD: {what}");
    }
}

fn slopes(file: &Path, sizes: &[usize]) -> Result<bool, String> {
    let mut reports = Vec::new();
    for size in sizes {
        let report = one(&read(file, Some(*size))?, false)?;
        table(&report);
        reports.push(report);
    }
    println!("\n{:<40}{:>14}{:>14}  residuals", "figure", "base", "each sidecar");
    let of = |name: &str, value: &dyn Fn(&Report) -> f64| {
        let points: Vec<_> = reports.iter().map(|r| (r.sidecars as f64, value(r))).collect();
        if let Some(fit) = fit(&points) {
            let residuals: Vec<_> = fit.residuals.iter().map(|r| format!("{r:.4}")).collect();
            println!("{name:<40}{:>14.5}{:>14.8}  {}", fit.base, fit.slope, residuals.join(" "));
        }
    };
    of("in force, s", &|r| r.figures["in_force_s"]);
    of("start, s", &|r| r.start_s);
    for role in ["control", "origin"] {
        of(&format!("{role}: CPU quiet, share"), &|r| r.costs[role].cpu_quiet_most);
        of(&format!("{role}: CPU changing, share"), &|r| r.costs[role].cpu_changing_most);
        of(&format!("{role}: resident, MB"), &|r| r.costs[role].rss_kb_most as f64 / 1024.0);
    }
    of("a hollow sidecar: CPU quiet, share", &|r| r.costs["hollow"].cpu_quiet);
    of("a hollow sidecar: resident, MB", &|r| r.costs["hollow"].rss_kb as f64 / 1024.0);
    of("loopback bytes a second and sidecar", &|r| r.figures["loopback_bytes_per_s_quiet"]);
    Ok(reports.iter().all(|r| r.not_held.is_empty()))
}
