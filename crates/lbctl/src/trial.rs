//! `trial`: many real sidecars with faults between them, played from a file.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use fault_injection::expectations::Sample;
use fault_injection::ground::Programs;
use fault_injection::play::{Outcome, Told, play};
use fault_injection::scenario::Scenario;

#[derive(Args)]
pub struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Play a trial. Status 0: all that must hold held.
    Run {
        /// The trial's file.
        file: PathBuf,
        /// Draw from this instead of the file's own seed.
        #[arg(long)]
        seed: Option<u64>,
        /// Write one page with plots there.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Write the plan and all looks there, as JSON lines.
        #[arg(long, value_name = "FILE")]
        journal: Option<PathBuf>,
        /// Print JSON lines instead of a table.
        #[arg(long)]
        json: bool,
        /// Another program for the sidecars.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Put this into the configurations of all sidecars, key by key, after the file's own.
        #[arg(long, value_name = "JSON", value_parser = object)]
        set: Option<serde_json::Value>,
    },
    /// Check trials' files without playing them.
    Check {
        /// The files.
        files: Vec<PathBuf>,
    },
}

/// A JSON object.
fn object(text: &str) -> Result<serde_json::Value, String> {
    let value: serde_json::Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    if value.is_object() { Ok(value) } else { Err("an object expected".to_owned()) }
}

pub fn run(arguments: &Arguments) -> ExitCode {
    let done = match &arguments.what {
        What::Run { file, seed, html, journal, json, program, set } => {
            let to = Output { html: html.as_deref(), journal: journal.as_deref(), json: *json };
            run_file(file, (*seed, set.clone()), program.as_deref(), &to)
        }
        What::Check { files } => {
            files.iter().try_fold(true, |_, file| read(file, None).map(|_| true))
        }
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

struct Output<'a> {
    html: Option<&'a Path>,
    journal: Option<&'a Path>,
    json: bool,
}

fn read(file: &Path, seed: Option<u64>) -> Result<Scenario, String> {
    let told = |why: &dyn std::fmt::Display| format!("{}: {why}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| told(&e))?;
    Scenario::parse(&text, seed).map_err(|e| told(&e))
}

fn run_file(
    file: &Path,
    (seed, set): (Option<u64>, Option<serde_json::Value>),
    program: Option<&Path>,
    to: &Output<'_>,
) -> Result<bool, String> {
    let mut scenario = read(file, seed)?;
    scenario.configured.extend(set.map(|set| ((0..scenario.sidecars).collect(), set)));
    let mut programs = Programs::built(true)?;
    if let Some(program) = program {
        programs.sidecar =
            program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?;
    }
    let create =
        |path: &Path| std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()));
    let mut journal = to.journal.map(create).transpose()?;
    let mut table = Table { last: None, of: scenario.sidecars };
    let outcome = play(&scenario, programs, |told| {
        let line = serde_json::to_string(told).unwrap_or_default();
        if let Some(journal) = &mut journal {
            // What cannot be kept does not end the trial.
            let _ = writeln!(journal, "{line}");
        }
        if to.json {
            println!("{line}");
        } else {
            table.tell(told);
        }
    })?;
    if let Some(path) = to.html {
        let page = fault_injection::page::html(&scenario, &outcome);
        std::fs::write(path, page).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(outcome.held)
}

struct Table {
    last: Option<Sample>,
    of: u16,
}

impl Table {
    fn tell(&mut self, told: &Told<'_>) {
        match told {
            Told::Begins { name, seed, seconds, sidecars, .. } => {
                println!("{name}: {sidecars} sidecars for {seconds} s, seed {seed}");
                println!(
                    "{:>7} {:>6} {:>8} {:>8} {:>8} {:>8} {:>7} {:>9}",
                    "s", "tell", "asked/s", "served/s", "refused", "failed", "broken", "notes/s"
                );
            }
            Told::Act(act) => {
                let action = serde_json::to_string(&act.action).unwrap_or_default();
                let action: String = action.chars().take(120).collect();
                println!("{:>7.2} {action}", act.at_s);
            }
            Told::Look(look) => self.look(look),
            Told::Ends(outcome) => verdicts(outcome),
        }
    }

    /// A line a second; where somebody looks on, the last one is written over meanwhile.
    fn look(&mut self, look: &Sample) {
        let last = self.last.get_or_insert_with(|| look.clone());
        let seconds = look.at_s - last.at_s;
        if seconds < 0.95 {
            return;
        }
        let a_second = |now: u64, then: u64| (now - then) as f64 / seconds;
        println!(
            "{:>7.1} {:>3}/{:<3}{:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>7} {:>9.0}",
            look.at_s,
            look.own.iter().flatten().count(),
            self.of,
            a_second(look.all.asked, last.all.asked),
            a_second(look.all.served, last.all.served),
            a_second(look.all.refused, last.all.refused),
            a_second(look.all.failed, last.all.failed),
            look.broken,
            a_second(look.notes.arrived, last.notes.arrived),
        );
        let _ = std::io::stdout().flush();
        self.last = Some(look.clone());
    }
}

fn verdicts(outcome: &Outcome) {
    let bold = std::io::stdout().is_terminal();
    let (on, off) = if bold { ("\x1b[1m", "\x1b[0m") } else { ("", "") };
    println!();
    for v in &outcome.verdicts {
        let held = if v.held { "held" } else { "NOT HELD" };
        let why = v.why.as_deref().map_or_else(String::new, |why| format!(": {why}"));
        println!(
            "line {:>3} {on}{held:8}{off} {} ({:.3} to {:.3}, {} looks){why}",
            v.line, v.figure, v.least, v.most, v.looks
        );
    }
    for text in outcome.account.examples.iter().chain(&outcome.troubles) {
        println!("  {text}");
    }
    let broken = outcome.account.broken();
    let what = if outcome.held { "all held" } else { "IT DID NOT HOLD" };
    println!("{on}{what}{off}; rules broken: {broken}, served {}", outcome.account.served());
}
