//! `lb-fleet`, the daemon that keeps the sidecars of one host in their desired state.
#![forbid(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use logging::{Format, Options};
use tokio::task::LocalSet;

/// Keeps the sidecars of one host in their desired state, across reloads, upgrades, crashes and restarts of the daemon.
///
/// SIGHUP reloads the desired state. SIGTERM drains all instances and exits; a second SIGTERM kills them.
#[derive(Parser)]
#[command(name = "lb-fleet", version)]
struct Arguments {
    /// The format of log lines: text or json. Also LB_LOG_FORMAT.
    #[arg(long, global = true)]
    log_format: Option<Format>,
    /// The log level, or levels by module, as in `warn,fleet=debug`. Also LB_LOG.
    #[arg(long = "log", global = true, value_name = "FILTER")]
    log_filter: Option<String>,
    #[command(subcommand)]
    task: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Run the daemon in the foreground. Exit status 2: it could not start.
    Run {
        /// The file that specifies the desired state.
        #[arg(long, default_value_os_t = fleet::paths::default_specification())]
        file: PathBuf,
        /// The state directory, for the stored state, programs and sockets. Only its owner can access it.
        #[arg(long, default_value_os_t = fleet::paths::default_state())]
        state: PathBuf,
    },
    /// Check a specification without running it. Exit status 2: it is invalid.
    Check {
        /// The file that specifies the desired state.
        file: PathBuf,
    },
    /// Run the socket holder, which keeps copies of the listeners. Started by the daemon.
    #[command(hide = true)]
    Hold,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = match arguments.task {
        Task::Run { file, state } => Options::or_env(arguments.log_format, arguments.log_filter)
            .map_err(|error| error.to_string())
            .and_then(|log| run(&file, &state, &log)),
        Task::Check { file } => check(&file),
        Task::Hold => fleet::socket_holder::run().map_err(|error| error.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lb-fleet: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(file: &Path, state: &Path, log: &Options) -> Result<(), String> {
    log.start().map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("failed to start the runtime: {error}"))?;
    let daemon = fleet::daemon::run(file, state, log.environment());
    LocalSet::new().block_on(&runtime, daemon).map_err(|error| error.to_string())
}

fn check(file: &Path) -> Result<(), String> {
    fleet::spec::Spec::read(file).map_err(|error| error.to_string())?;
    println!("{}: valid", file.display());
    Ok(())
}
