//! `lbctl fleet`: requests to the daemon of a host.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use fleet::control::{Request, send_request};
use serde_json::Value;

use crate::outcome::{STATUS_ERROR, STATUS_FAILED, print_error};
use crate::table;

/// The time between two status requests to the daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The arguments of `fleet`.
#[derive(Args)]
pub struct Arguments {
    /// The state directory of the daemon.
    #[arg(long, default_value_os_t = fleet::paths::default_state(), global = true)]
    state: PathBuf,
    /// Print the answer as JSON.
    #[arg(long, global = true)]
    json: bool,
    /// Wait for at most this time until all instances run the requested generation or it is rolled back.
    #[arg(long, global = true, value_name = "SECONDS")]
    wait: Option<u64>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show the state of all instances.
    Status,
    /// Show the recent events.
    History,
    /// Reload fleet.toml. It is checked first; an invalid file changes nothing.
    Reload,
    /// Roll out the current program file.
    Upgrade {
        /// Use the program at this path instead.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Roll back the rollout in progress.
    Rollback,
    /// Drain an instance. It stays drained until it is restarted.
    Drain {
        /// The name of the instance.
        instance: String,
    },
    /// Replace an instance by a successor process, without refusing connections.
    Restart {
        /// The name of the instance. Default: all instances.
        instance: Option<String>,
    },
    /// Change the number of instances of a template until the next reload.
    Scale {
        /// The name of the template.
        template: String,
        /// The number of instances.
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
    // The first request distinguishes a missing daemon from one that rejects the second request.
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

/// Waits until all instances serve the target generation. Fails if the target is no longer the generation in `answer`,
/// because the change was then rolled back.
fn wait_until_settled(state: &Path, answer: &Value, timeout: Duration) -> ExitCode {
    let deadline = Instant::now() + timeout;
    let requested = answer["generation"].as_u64();
    while Instant::now() < deadline {
        std::thread::sleep(POLL_INTERVAL);
        let Ok(status) = send_request(state, &Request::Status) else { continue };
        if status["target"] != status["base"] || status["checking"] == true {
            continue;
        }
        let target = status["target"].as_u64();
        if requested.is_some_and(|requested| target != Some(requested)) {
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

/// Returns the last entry of the daemon's history that reports a rollback.
fn rollback_reason(state: &Path) -> String {
    let history = send_request(state, &Request::History).unwrap_or_default();
    let entries = history.as_array().cloned().unwrap_or_default();
    let rollback = entries.iter().rev().find(|entry| entry.to_string().contains("goes back"));
    let reason = rollback.and_then(|entry| entry["what"].as_str());
    reason.unwrap_or("the change was rolled back").to_owned()
}
