//! The operators' command.
#![forbid(unsafe_code)]

mod config;
mod demo;
mod scale;
mod table;
mod tier;
mod trial;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Parser, Subcommand};
use fleet::control::{Request, ask};
use serde_json::Value;

/// Looks after fleets of sidecars.
///
/// Status 0: done. 1: refused, rolled back, or a rule was broken. 2: not understood, or nobody there.
#[derive(Parser)]
#[command(name = "lbctl", version)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Ask the daemon of a fleet.
    Fleet(FleetArguments),
    /// Play a whole host on loopback: a small fleet under load, reloaded, upgraded and killed.
    Demo(demo::Arguments),
    /// Play many sidecars with faults between them, as a file says.
    Trial(trial::Arguments),
    /// Publish changes of configuration, and see where they are in force.
    Config(config::Arguments),
    /// Play thousands of hollow sidecars beside real ones.
    Scale(scale::Arguments),
    /// What sidecars know of their tier, and where they differ.
    Tier(tier::Arguments),
}

#[derive(Args)]
struct FleetArguments {
    /// Where the daemon's state lies.
    #[arg(long, default_value_os_t = fleet::paths::default_state(), global = true)]
    state: PathBuf,
    /// Answer in JSON.
    #[arg(long, global = true)]
    json: bool,
    /// Wait until all serve what was asked for, or it has gone back; at most so many seconds.
    #[arg(long, global = true, value_name = "SECONDS")]
    wait: Option<u64>,
    #[command(subcommand)]
    what: FleetWhat,
}

#[derive(Subcommand)]
enum FleetWhat {
    /// How every instance is.
    Status,
    /// What happened.
    History,
    /// Read fleet.toml again. It is checked first; what is broken changes nothing.
    Reload,
    /// Put the program in force that lies at its path now.
    Upgrade {
        /// Another program.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Go back from a rollout that runs to what ran before.
    Rollback,
    /// Take an instance out, until it is restarted.
    Drain {
        /// Its name.
        instance: String,
    },
    /// Put a successor in an instance's place, without a refused connection.
    Restart {
        /// Its name; without it, all.
        instance: Option<String>,
    },
    /// Another number of instances, until the next reload.
    Scale {
        /// The template's name.
        template: String,
        /// How many.
        count: usize,
    },
}

fn main() -> ExitCode {
    match Arguments::parse().what {
        What::Fleet(arguments) => fleet(arguments),
        What::Demo(arguments) => demo::run(&arguments),
        What::Trial(arguments) => trial::run(&arguments),
        What::Tier(arguments) => tier::run(&arguments),
        What::Config(arguments) => config::run(&arguments),
        What::Scale(arguments) => scale::run(&arguments),
    }
}

fn fleet(arguments: FleetArguments) -> ExitCode {
    let FleetArguments { state, json, wait, what } = arguments;
    let request = match what {
        FleetWhat::Status => Request::Status,
        FleetWhat::History => Request::History,
        FleetWhat::Reload => Request::Reload,
        FleetWhat::Upgrade { program } => {
            Request::Upgrade { program: program.map(|p| p.canonicalize().unwrap_or(p)) }
        }
        FleetWhat::Rollback => Request::Rollback,
        FleetWhat::Drain { instance } => Request::Drain { slot: instance },
        FleetWhat::Restart { instance } => Request::Restart { slot: instance },
        FleetWhat::Scale { template, count } => Request::Scale { name: template, count },
    };
    // Whether there is a daemon at all is not to be mixed up with what it refuses.
    if let Err(e) = ask(&state, &Request::Status) {
        eprintln!("lbctl: {e}");
        return ExitCode::from(2);
    }
    let answer = match ask(&state, &request) {
        Ok(answer) => answer,
        Err(why) => {
            eprintln!("lbctl: refused: {why}");
            return ExitCode::from(1);
        }
    };
    if json {
        println!("{answer}");
    } else {
        match request {
            Request::Status => table::status(&answer),
            Request::History => table::history(&answer),
            _ => println!("{answer}"),
        }
    }
    match wait {
        Some(seconds) => settle(&state, &answer, Duration::from_secs(seconds)),
        None => ExitCode::SUCCESS,
    }
}

/// Waits until all serve the target. That it is another than was asked for is a failure.
fn settle(state: &std::path::Path, answer: &Value, patience: Duration) -> ExitCode {
    let end = Instant::now() + patience;
    let wanted = answer["generation"].as_u64();
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(100));
        let Ok(status) = ask(state, &Request::Status) else { continue };
        if status["target"] != status["base"] || status["checking"] == true {
            continue;
        }
        let target = status["target"].as_u64();
        if wanted.is_some_and(|wanted| target != Some(wanted)) {
            let history = ask(state, &Request::History).unwrap_or_default();
            let all = history.as_array().cloned().unwrap_or_default();
            let back = all.iter().rev().find(|h| h.to_string().contains("goes back"));
            let why = back.and_then(|h| h["what"].as_str()).unwrap_or("it went back");
            eprintln!("lbctl: {why}");
            return ExitCode::from(1);
        }
        let slots = status["slots"].as_array().cloned().unwrap_or_default();
        let fine = |s: &Value| {
            s["state"] == "drained"
                || (s["state"] == "serving"
                    && s["processes"] == 1
                    && s["generation"].as_u64() == target)
        };
        if slots.iter().all(fine) {
            return ExitCode::SUCCESS;
        }
    }
    eprintln!("lbctl: not settled within {} s", patience.as_secs());
    ExitCode::from(1)
}
