//! Configuration reloads. The file is read and checked as at the start. What can change in a running process is
//! applied at once; `discovery` is applied even where another key needs a restart.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use instance_status::RejectedConfig;
use runtime::Runtime;
use serde_json::Value;
use tokio::sync::{mpsc, watch};

use super::budget::{BodyBudget, SocketBudget};
use super::config::{Config, ConfigError};
use super::driver::Driver;
use super::live::LiveConfig;
use super::status::Status;

/// The pause before a configuration file is read again that could not be read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// After so many failures in a row the reload is reported as rejected, though it is still tried.
const READ_FAILURES_BEFORE_REJECTION: u32 = 10;

/// What a new configuration is applied to.
pub struct Targets<P: Runtime> {
    /// The address of discovery.
    pub discovery: watch::Sender<SocketAddr>,
    /// Values that are read at each request.
    pub live: Rc<LiveConfig>,
    /// The balancer.
    pub driver: Rc<Driver<P>>,
    /// The budget of descriptors.
    pub socket_budget: Rc<SocketBudget>,
    /// The budget of memory.
    pub body_budget: BodyBudget,
    /// Where the outcome is recorded.
    pub status: Rc<Status>,
    /// The part that cannot change while the process runs.
    pub restart_only: Value,
}

/// Why a reload was not, or not completely, applied.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The configuration cannot be used; nothing was applied.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// A key has changed that a running process cannot apply; `discovery` alone was applied.
    #[error("{key}: only a new process can take this over")]
    RestartRequired {
        /// The path of the key.
        key: String,
    },
}

/// Reloads the configuration at each message of `requests`; never ends. An invalid one changes nothing; a file that
/// cannot be read is tried again, since nobody asks a second time. Reloads go on during a graceful shutdown, since
/// endpoint lists of another discovery matter there, too.
pub async fn run<P: Runtime>(
    mut requests: mpsc::Receiver<()>,
    read: impl Fn() -> Result<Config, ConfigError>,
    targets: Targets<P>,
) {
    while requests.recv().await.is_some() {
        let mut read_failures = 0;
        while let Err(error) = read().map(|config| targets.reload(config)) {
            let is_transient = error.is_read_failure();
            tracing::error!(
                %error, is_transient,
                "failed to reload configuration, keeping the current one"
            );
            read_failures += 1;
            // Whoever waits for the outcome would take a file that cannot be read for a moment for a rejected one.
            if !is_transient || read_failures == READ_FAILURES_BEFORE_REJECTION {
                targets.reject(0, &error.into());
            }
            if !is_transient {
                break;
            }
            P::sleep(READ_RETRY_DELAY).await;
        }
    }
    std::future::pending().await
}

impl<P: Runtime> Targets<P> {
    fn reload(&self, config: Config) {
        let (discovery, generation) = (config.discovery, config.generation);
        let moved = self.apply_discovery(discovery);
        if let Some(key) = first_difference(&self.restart_only, &config.restart_only) {
            tracing::info!(
                generation, %discovery, moved, %key,
                "configuration needs a restart, only discovery applied"
            );
            self.reject(generation, &ReloadError::RestartRequired { key });
            return;
        }
        self.apply(config);
        tracing::info!(generation, %discovery, moved, "configuration applied");
        self.status.record_reload(None);
    }

    /// Returns whether the address of discovery has changed.
    fn apply_discovery(&self, address: SocketAddr) -> bool {
        self.discovery.send_if_modified(|current| {
            let moved = *current != address;
            *current = address;
            moved
        })
    }

    fn apply(&self, config: Config) {
        self.live.apply(&config, P::now());
        self.socket_budget.resize::<P>(config.max_sockets);
        self.body_budget.resize::<P>(config.memory_bytes);
        let quotas = config.tenant_quotas();
        self.driver.reconfigure(config.settings, quotas);
    }

    fn reject(&self, generation: u64, error: &ReloadError) {
        let reason = error.to_string();
        self.status.record_reload(Some(RejectedConfig { generation, reason }));
    }
}

/// The path of the first key in which two values differ.
fn first_difference(a: &Value, b: &Value) -> Option<String> {
    let (Value::Object(x), Value::Object(y)) = (a, b) else {
        return (a != b).then(String::new);
    };
    x.keys().chain(y.keys()).find_map(|key| {
        let (in_x, in_y) = (x.get(key), y.get(key));
        let below = first_difference(in_x.unwrap_or(&Value::Null), in_y.unwrap_or(&Value::Null))?;
        Some(if below.is_empty() { key.clone() } else { format!("{key}.{below}") })
    })
}

#[cfg(test)]
mod tests;
