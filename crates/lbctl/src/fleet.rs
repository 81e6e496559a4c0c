//! `fleet`: requests to the daemon of a host.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use fleet::control::{Request, send_request};
use serde_json::Value;

use crate::outcome::{STATUS_ERROR, STATUS_FAILED, print_error};
use crate::table;

/// The time between two polls of the daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The arguments of `fleet`.
#[derive(Args)]
pub struct Arguments {
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
    command: Command,
}

#[derive(Subcommand)]
enum Command {
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

impl Command {
    fn into_request(self) -> Request {
        match self {
            Command::Status => Request::Status,
            Command::History => Request::History,
            Command::Reload => Request::Reload,
            Command::Upgrade { program } => {
                Request::Upgrade { program: program.map(|p| p.canonicalize().unwrap_or(p)) }
            }
            Command::Rollback => Request::Rollback,
            Command::Drain { instance } => Request::Drain { slot: instance },
            Command::Restart { instance } => Request::Restart { slot: instance },
            Command::Scale { template, count } => Request::Scale { name: template, count },
        }
    }
}

/// Runs the command.
pub fn run(arguments: Arguments) -> ExitCode {
    let Arguments { state, json, wait, command } = arguments;
    let request = command.into_request();
    // The first request tells a missing daemon from one that rejects the second.
    if let Err(error) = send_request(&state, &Request::Status) {
        print_error(&error);
        return ExitCode::from(STATUS_ERROR);
    }
    let answer = match send_request(&state, &request) {
        Ok(answer) => answer,
        Err(error) => {
            print_error(&format_args!("refused: {error}"));
            return ExitCode::from(STATUS_FAILED);
        }
    };
    print_answer(&request, &answer, json);
    match wait {
        Some(seconds) => wait_until_settled(&state, &answer, Duration::from_secs(seconds)),
        None => ExitCode::SUCCESS,
    }
}

fn print_answer(request: &Request, answer: &Value, json: bool) {
    match request {
        Request::Status if !json => table::status(answer),
        Request::History if !json => table::history(answer),
        _ => println!("{answer}"),
    }
}

/// Waits until all instances serve the target generation. That the target has become another one than `answer`
/// names is a failure: the change was rolled back.
fn wait_until_settled(state: &Path, answer: &Value, timeout: Duration) -> ExitCode {
    let deadline = Instant::now() + timeout;
    let wanted = answer["generation"].as_u64();
    while Instant::now() < deadline {
        std::thread::sleep(POLL_INTERVAL);
        let Ok(status) = send_request(state, &Request::Status) else { continue };
        if status["target"] != status["base"] || status["checking"] == true {
            continue;
        }
        let target = status["target"].as_u64();
        if wanted.is_some_and(|wanted| target != Some(wanted)) {
            print_error(&rollback_reason(state));
            return ExitCode::from(STATUS_FAILED);
        }
        let instances = status["slots"].as_array().cloned().unwrap_or_default();
        if instances.iter().all(|instance| is_settled(instance, target)) {
            return ExitCode::SUCCESS;
        }
    }
    print_error(&format_args!("not settled within {} s", timeout.as_secs()));
    ExitCode::from(STATUS_FAILED)
}

fn is_settled(instance: &Value, target: Option<u64>) -> bool {
    instance["state"] == "drained"
        || (instance["state"] == "serving"
            && instance["processes"] == 1
            && instance["generation"].as_u64() == target)
}

/// The last entry of the daemon's history that tells of a rollback.
fn rollback_reason(state: &Path) -> String {
    let history = send_request(state, &Request::History).unwrap_or_default();
    let entries = history.as_array().cloned().unwrap_or_default();
    let rollback = entries.iter().rev().find(|entry| entry.to_string().contains("goes back"));
    let reason = rollback.and_then(|entry| entry["what"].as_str());
    reason.unwrap_or("it went back").to_owned()
}
