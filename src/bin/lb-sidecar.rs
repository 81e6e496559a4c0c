//! One real sidecar: reads its configuration, then runs until it is told to stop.
#![forbid(unsafe_code)]

use std::os::unix::process::CommandExt;
use std::process::ExitCode;

use lb_sidecar::sidecar::{self, Control, config::Config, status::VERSION};
use logging::Options;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

const HELP: &str = "\
A sidecar: takes HTTP/1.1 requests, picks a log server for each, answers each once, in time.

usage: lb-sidecar [OPTIONS]     run, as the file that LB_CONFIG names says
       lb-sidecar check FILE    check a configuration without starting
       lb-sidecar --version     print name and version
       lb-sidecar --help        print this

options: --log-format text|json   what a line of the log looks like (or LB_LOG_FORMAT)
         --log FILTER             a level, or levels by module (or LB_LOG); info

signals: SIGHUP  read the configuration again
         SIGTERM answer what was taken, then end
         SIGUSR2 the same, leaving the listener to a successor
status:  0 a planned end, or a sound configuration; 2 what was given cannot be used";

fn main() -> ExitCode {
    let given: Vec<String> =
        std::env::args_os().skip(1).map(|a| a.to_string_lossy().into_owned()).collect();
    let given: Vec<&str> = given.iter().map(String::as_str).collect();
    let done = match given[..] {
        [] | ["--log-format" | "--log", ..] => {
            adopt_passed_socket(&given).and_then(|()| logged(&given)).and_then(|()| run())
        }
        ["--help" | "-h"] => {
            println!("{HELP}");
            Ok(())
        }
        ["--version" | "-V"] => {
            println!("lb-sidecar {VERSION}");
            Ok(())
        }
        ["check", file] => Config::check(file).map(|c| println!("{file}: sound, for {}", c.name)),
        _ => Err(format!("arguments not understood: {}; see --help", given.join(" "))),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lb-sidecar: {e}");
            ExitCode::from(2)
        }
    }
}

/// Starts the log as the options say.
fn logged(mut given: &[&str]) -> Result<(), String> {
    let (mut format, mut filter) = (None, None);
    while let [name, rest @ ..] = given {
        let (value, rest) =
            rest.split_first().ok_or_else(|| format!("{name}: a value expected"))?;
        match *name {
            "--log-format" => format = Some(value.parse().map_err(|e| format!("{name}: {e}"))?),
            "--log" => filter = Some((*value).to_owned()),
            _ => return Err(format!("arguments not understood: {name}; see --help")),
        }
        given = rest;
    }
    Options::or_env(format, filter)?.start()
}

/// Executes this program once more where the variable `LB_PASSED_SOCKET` gives the number of a
/// descriptor that is the listener, with the variables of the `LISTEN_FDS` convention in its place:
/// they can be set safely only for a new program, and tell `listenfd` which descriptor it may own.
fn adopt_passed_socket(args: &[&str]) -> Result<(), String> {
    let Ok(number) = std::env::var("LB_PASSED_SOCKET") else { return Ok(()) };
    if number.is_empty() || std::env::var_os("LISTEN_FDS").is_some() {
        return Ok(());
    }
    if !number.parse::<u16>().is_ok_and(|n| n > 2) {
        return Err(format!("LB_PASSED_SOCKET: a descriptor above 2 expected, not {number:?}"));
    }
    let own = std::env::args_os().next().unwrap_or_default();
    let program = std::env::current_exe().unwrap_or(own.into());
    let failed = std::process::Command::new(program)
        .args(args)
        .envs([("LISTEN_FDS", "1"), ("LISTEN_FDS_FIRST_FD", &number)])
        .env_remove("LISTEN_PID")
        .exec();
    Err(format!("LB_PASSED_SOCKET: this program could not be executed again: {failed}"))
}

fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    let entered = runtime.enter();
    // Danger: until they are listened for, each of these signals ends the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut leave = signal(SignalKind::user_defined2()).map_err(|e| format!("SIGUSR2: {e}"))?;
    drop(entered);
    let config = Config::from_env()?;
    // All tasks run on this thread, so every line of the log is this instance's.
    let _instance = tracing::error_span!("sidecar", instance = config.name).entered();
    LocalSet::new().block_on(&runtime, async {
        let (again, reload) = mpsc::channel(1);
        tokio::task::spawn_local(async move {
            while hangup.recv().await.is_some() {
                // One that waits already will read what stands there now.
                let _ = again.try_send(());
            }
        });
        let stop = async move {
            terminate.recv().await;
        };
        let hand_over = async move {
            leave.recv().await;
        };
        let control = Control { stop, hand_over, reload, read: Config::again };
        sidecar::run(config, control).await.map_err(|error| error.to_string())
    })
}
