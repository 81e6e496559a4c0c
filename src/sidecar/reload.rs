//! Configuration reloads. The file is read and validated as at startup. Keys that a running process can change are
//! applied at once; `discovery` is applied even if another changed key needs a restart.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use instance_status::RejectedConfig;
use runtime::Runtime;
use serde_json::Value;
use tokio::sync::{mpsc, watch};

use super::budget::SocketBudget;
use super::config::{Config, ConfigError};
use super::driver::Driver;
use super::live::LiveConfig;
use super::memory::MessageMemory;
use super::memory_monitor::MemoryMonitor;
use super::status::Status;

/// Delay before an unreadable configuration file is read again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of consecutive read failures after which the reload is reported as rejected. It is still retried then.
const READ_FAILURES_BEFORE_REJECTION: u32 = 10;

/// The components that a new configuration is applied to.
pub struct Targets<P: Runtime> {
    /// Publishes the address of discovery.
    pub discovery: watch::Sender<SocketAddr>,
    /// The values that are read for each request.
    pub live: Rc<LiveConfig>,
    /// The driver of the balancer.
    pub driver: Rc<Driver<P>>,
    /// The descriptor budget.
    pub socket_budget: Rc<SocketBudget>,
    /// The memory budget of bodies.
    pub message_memory: Rc<MessageMemory>,
    /// Adjusts both budgets to the memory that is left; `None` if that cannot be determined.
    pub memory_monitor: Option<Rc<MemoryMonitor<P>>>,
    /// Records the outcome.
    pub status: Rc<Status>,
    /// The part of the configuration that only a restart can change.
    pub restart_only: Value,
}

/// Error returned when a reload was not applied, or only in part.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The configuration is invalid. Nothing was applied.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// A key has changed that a running process cannot change. Only `discovery` was applied.
    #[error("{key}: a change of this key requires a restart")]
    RestartRequired {
        /// The path of the key.
        key: String,
    },
}

/// Reloads the configuration for each message of `requests`; never returns.
///
/// An invalid configuration changes nothing. Reading an unreadable file is retried, because the reload is not requested
/// again. Reloads continue during a graceful shutdown, which also needs the endpoint lists of another discovery.
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
            // A file that is unreadable for a moment must not be reported as rejected to those waiting for the outcome.
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

    /// Publishes the address of discovery. Returns whether it has changed.
    fn apply_discovery(&self, address: SocketAddr) -> bool {
        self.discovery.send_if_modified(|current| {
            let moved = *current != address;
            *current = address;
            moved
        })
    }

    fn apply(&self, config: Config) {
        self.live.apply(&config, P::now());
        let limits = config.resource_limits();
        self.socket_budget.set_limits::<P>(limits);
        self.message_memory.set_limits::<P>(limits);
        if let Some(monitor) = &self.memory_monitor {
            monitor.adjust();
        }
        let quotas = config.tenant_quotas();
        self.driver.reconfigure(config.settings, quotas);
    }

    fn reject(&self, generation: u64, error: &ReloadError) {
        let reason = error.to_string();
        self.status.record_reload(Some(RejectedConfig { generation, reason }));
    }
}

/// The path of the first key in which two values differ; `None` if they are equal.
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
