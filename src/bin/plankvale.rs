//! One real sidecar: reads its configuration, then runs until it is told to stop.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use coppercart::sidecar::{self, Told, config::Config};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("plankvale: {e}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        // Danger: until they are listened for, either signal ends the process.
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
        let config = Config::from_env()?;
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
        sidecar::run(config, Told { stop, reload, read: Config::again }).await
    })
}
