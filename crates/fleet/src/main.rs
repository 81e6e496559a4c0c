//! The daemon that keeps a fleet of sidecars in their desired state.
#![forbid(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use logging::{Format, Options};
use tokio::task::LocalSet;

/// Keeps the sidecars of one host in their desired state, through reloads, upgrades, crashes and its own end.
///
/// SIGHUP reads the desired state again; SIGTERM drains all instances and ends, a second one kills them.
#[derive(Parser)]
#[command(name = "lb-fleet", version)]
struct Arguments {
    /// What a line of the log looks like: text or json. Also LB_LOG_FORMAT.
    #[arg(long, global = true)]
    log_format: Option<Format>,
    /// A level, or levels by module, as in `warn,fleet=debug`. Also LB_LOG.
    #[arg(long = "log", global = true, value_name = "FILTER")]
    log_filter: Option<String>,
    #[command(subcommand)]
    task: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Run the daemon in the foreground. Status 2: it could not begin.
    Run {
        /// The file of the desired state.
        #[arg(long, default_value_os_t = fleet::paths::default_specification())]
        file: PathBuf,
        /// The state directory: stored state, programs, sockets. Only its owner can access it.
        #[arg(long, default_value_os_t = fleet::paths::default_state())]
        state: PathBuf,
    },
    /// Check a specification without running it. Status 2: it cannot be used.
    Check {
        /// The file of the desired state.
        file: PathBuf,
    },
    /// Keep copies of the listeners for a daemon, which starts this.
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
    let runtime = runtime.map_err(|error| format!("no runtime: {error}"))?;
    let daemon = fleet::daemon::run(file, state, log.environment());
    LocalSet::new().block_on(&runtime, daemon).map_err(|error| error.to_string())
}

fn check(file: &Path) -> Result<(), String> {
    fleet::spec::Spec::read(file).map_err(|error| error.to_string())?;
    println!("{}: sound", file.display());
    Ok(())
}
