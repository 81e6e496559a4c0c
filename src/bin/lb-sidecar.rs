//! The sidecar program: reads the configuration and runs the sidecar until it has shut down.
#![forbid(unsafe_code)]

use std::io;
use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};
use std::rc::Rc;

use lb_sidecar::sidecar::config::{Config, ConfigError};
use lb_sidecar::sidecar::startup::StartError;
use lb_sidecar::sidecar::status::VERSION;
use lb_sidecar::sidecar::{self, Control};
use logging::Options;
use process_memory::{AllocatorError, Jemalloc, JemallocMemory};
use runtime::signals::{Signal, SignalError, SignalReceiver};
use thiserror::Error;
use tokio::sync::{Notify, mpsc};
use tokio::task::LocalSet;

#[global_allocator]
static ALLOCATOR: Jemalloc = Jemalloc;

const HELP: &str = "\
Client-side load balancer: accepts HTTP/1.1 requests and forwards each to a server.

usage: lb-sidecar [OPTIONS]     run with the configuration file named by LB_CONFIG
       lb-sidecar check FILE    validate a configuration file without starting
       lb-sidecar --version     print name and version
       lb-sidecar --help        print this help

options: --log-format text|json   format of log lines (or LB_LOG_FORMAT)
         --log FILTER             log level, or levels by module (or LB_LOG); default: info

signals: SIGHUP  reload the configuration
         SIGTERM shut down gracefully: finish admitted requests, then exit
         SIGUSR2 the same, while a successor accepts on the same listener
status:  0 graceful shutdown or valid configuration; 2 invalid arguments, configuration or sockets";

/// The signals that control the process: shut down, shut down with a successor on the listener, reload.
const SIGNALS: [Signal; 3] = [Signal::Terminate, Signal::UserDefined2, Signal::HangUp];
/// Exit status for arguments, a configuration or sockets that cannot be used.
const EXIT_UNUSABLE: u8 = 2;
/// The variable with the descriptor number of an inherited listener.
const PASSED_SOCKET: &str = "LB_PASSED_SOCKET";
/// The variables for inherited listeners in the convention of systemd.
const LISTEN_FDS: &str = "LISTEN_FDS";
const LISTEN_FDS_FIRST_FD: &str = "LISTEN_FDS_FIRST_FD";
const LISTEN_PID: &str = "LISTEN_PID";
/// The highest descriptor number of the standard streams.
const LAST_STANDARD_DESCRIPTOR: u16 = 2;

/// Error returned when the program cannot run.
#[derive(Debug, Error)]
enum ProgramError {
    #[error("invalid arguments: {0}; see --help")]
    Arguments(String),
    #[error("{0}: missing value")]
    MissingValue(String),
    #[error("{0}")]
    Log(String),
    #[error("LB_PASSED_SOCKET: expected a descriptor above 2, got {0:?}")]
    PassedSocket(String),
    #[error("LB_PASSED_SOCKET: failed to execute this program again: {0}")]
    Execute(#[source] io::Error),
    #[error("failed to create the runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error(transparent)]
    Allocator(#[from] AllocatorError),
    #[error(transparent)]
    Signal(#[from] SignalError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Start(#[from] StartError),
}

fn main() -> ExitCode {
    let arguments: Vec<String> =
        std::env::args_os().skip(1).map(|a| a.to_string_lossy().into_owned()).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match execute(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lb-sidecar: {error}");
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}

fn execute(arguments: &[&str]) -> Result<(), ProgramError> {
    match arguments {
        [] | ["--log-format" | "--log", ..] => {
            reexec_with_passed_socket(arguments)?;
            start_log(arguments)?;
            run()
        }
        ["--help" | "-h"] => {
            println!("{HELP}");
            Ok(())
        }
        ["--version" | "-V"] => {
            println!("lb-sidecar {VERSION}");
            Ok(())
        }
        ["check", file] => {
            let config = Config::check_file(file)?;
            println!("{file}: valid configuration of {}", config.name);
            Ok(())
        }
        _ => Err(ProgramError::Arguments(arguments.join(" "))),
    }
}

/// Starts logging with the given options.
fn start_log(mut arguments: &[&str]) -> Result<(), ProgramError> {
    let (mut format, mut filter) = (None, None);
    while let [name, rest @ ..] = arguments {
        let missing = || ProgramError::MissingValue((*name).to_owned());
        let (value, rest) = rest.split_first().ok_or_else(missing)?;
        match *name {
            "--log-format" => {
                let parsed = value.parse();
                format = Some(parsed.map_err(|e| ProgramError::Log(format!("{name}: {e}")))?);
            }
            "--log" => filter = Some((*value).to_owned()),
            _ => return Err(ProgramError::Arguments((*name).to_owned())),
        }
        arguments = rest;
    }
    let options = Options::or_env(format, filter).map_err(log_error)?;
    options.start().map_err(log_error)
}

fn log_error(error: impl ToString) -> ProgramError {
    ProgramError::Log(error.to_string())
}

/// If `LB_PASSED_SOCKET` names the descriptor of the listener, executes this program again with the equivalent
/// variables of the `LISTEN_FDS` convention. These tell `listenfd` which descriptor it may own, and can be set safely
/// only for a new program.
fn reexec_with_passed_socket(arguments: &[&str]) -> Result<(), ProgramError> {
    let Ok(number) = std::env::var(PASSED_SOCKET) else { return Ok(()) };
    if number.is_empty() || std::env::var_os(LISTEN_FDS).is_some() {
        return Ok(());
    }
    if !number.parse::<u16>().is_ok_and(|n| n > LAST_STANDARD_DESCRIPTOR) {
        return Err(ProgramError::PassedSocket(number));
    }
    let own = std::env::args_os().next().unwrap_or_default();
    let program = std::env::current_exe().unwrap_or(own.into());
    let error = Command::new(program)
        .args(arguments)
        .envs([(LISTEN_FDS, "1"), (LISTEN_FDS_FIRST_FD, &number)])
        .env_remove(LISTEN_PID)
        .exec();
    Err(ProgramError::Execute(error))
}

/// Runs the sidecar until it has shut down.
fn run() -> Result<(), ProgramError> {
    let memory = Rc::new(JemallocMemory::new()?);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ProgramError::Runtime)?;
    let entered = runtime.enter();
    // Registered first, because each of these signals ends the process until it is handled.
    let signals = SignalReceiver::register(&SIGNALS)?;
    drop(entered);
    let config = Config::from_env()?;
    // All tasks run on this thread, so every log line gets the name of the instance.
    let _instance = tracing::error_span!("sidecar", instance = config.name).entered();
    LocalSet::new().block_on(&runtime, async {
        let (request_reload, reload) = mpsc::channel(1);
        let (terminate, hand_over) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let dispatcher = SignalDispatcher {
            terminate: terminate.clone(),
            hand_over: hand_over.clone(),
            request_reload,
        };
        tokio::task::spawn_local(dispatcher.run(signals));
        let stop = async move { terminate.notified().await };
        let hand_over = async move { hand_over.notified().await };
        let control = Control { stop, hand_over, reload, read: Config::reread, memory };
        Ok(sidecar::run(config, control).await?)
    })
}

/// Passes the signals of the process on to the sidecar.
struct SignalDispatcher {
    terminate: Rc<Notify>,
    hand_over: Rc<Notify>,
    request_reload: mpsc::Sender<()>,
}

impl SignalDispatcher {
    /// Dispatches signals; never returns.
    async fn run(self, mut signals: SignalReceiver) {
        loop {
            let signal = signals.next().await;
            tracing::info!(?signal, "signal received");
            match signal {
                Signal::Terminate => self.terminate.notify_one(),
                Signal::UserDefined2 => self.hand_over.notify_one(),
                // A full channel means that a reload is pending, which reads the latest version of the file.
                Signal::HangUp => drop(self.request_reload.try_send(())),
                Signal::Interrupt | Signal::Child => {}
            }
        }
    }
}
