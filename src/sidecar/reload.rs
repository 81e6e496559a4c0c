//! New configurations while the sidecar runs. The file is read again and checked as at the start;
//! `discovery` moves, and all else stays as it is until the next start.

use std::net::SocketAddr;

use tokio::sync::{mpsc, watch};

use super::config::Config;

/// Reads the configuration again at each word from `told`, and tells `discovery` where it has moved
/// to. A file that cannot be used changes nothing. Never ends.
pub async fn run(
    mut told: mpsc::Receiver<()>,
    read: impl Fn() -> Result<Config, String>,
    discovery: watch::Sender<SocketAddr>,
) {
    while told.recv().await.is_some() {
        match read() {
            Ok(config) => {
                let moved = discovery.send_if_modified(|at| {
                    let moved = *at != config.discovery;
                    *at = config.discovery;
                    moved
                });
                let how = if moved { "moved to" } else { "stays at" };
                tracing::info!("configuration read again: discovery {how} {}", config.discovery);
            }
            Err(e) => tracing::error!("configuration not taken over, the old one stays: {e}"),
        }
    }
    std::future::pending().await
}
