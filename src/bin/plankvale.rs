//! One real sidecar: reads its configuration, then runs until it is told to stop.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use coppercart::sidecar::{self, config::Config};
use tokio::signal::unix::{SignalKind, signal};
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
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let mut told = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        sidecar::run(config, async move {
            told.recv().await;
        })
        .await
    })
}
