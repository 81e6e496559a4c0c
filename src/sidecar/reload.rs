//! New configurations while the sidecar runs. The file is read again and checked as at the start.
//! What can change live is taken over at once; `discovery` moves even where something else needs a
//! new process.

use std::net::SocketAddr;
use std::rc::Rc;

use instance_status::RejectedConfig;
use runtime::Runtime;
use serde_json::Value;
use tokio::sync::{mpsc, watch};

use super::budget::{BodyBudget, SocketBudget};
use super::config::Config;
use super::driver::Driver;
use super::live::LiveConfig;
use super::status::Status;

/// All that a new configuration reaches.
pub struct Targets<P: Runtime> {
    /// Where discovery is.
    pub discovery: watch::Sender<SocketAddr>,
    /// Values in force.
    pub live: Rc<LiveConfig>,
    /// The decisions.
    pub driver: Rc<Driver<P>>,
    /// Descriptors.
    pub sockets: Rc<SocketBudget>,
    /// Memory.
    pub bytes: BodyBudget,
    /// Where the outcome is noted.
    pub status: Rc<Status>,
    /// What cannot change while the process runs.
    pub fixed: Value,
}

/// Reads the configuration again at each message of `requests`, and puts it in force as far as that can
/// be. A file that cannot be used changes nothing. Never ends: what discovery has to tell counts during
/// a planned end, too.
pub async fn run<P: Runtime>(
    mut requests: mpsc::Receiver<()>,
    read: impl Fn() -> Result<Config, String>,
    targets: Targets<P>,
) {
    while requests.recv().await.is_some() {
        match read() {
            Ok(config) => targets.take_over(config),
            Err(why) => {
                tracing::error!(error = %why, "configuration not taken over, the old one stays");
                targets.status.reloaded(Some(RejectedConfig { generation: 0, reason: why }));
            }
        }
    }
    std::future::pending().await
}

impl<P: Runtime> Targets<P> {
    fn take_over(&self, config: Config) {
        let moved = self.discovery.send_if_modified(|at| {
            let moved = *at != config.discovery;
            *at = config.discovery;
            moved
        });
        let (discovery, generation) = (config.discovery, config.generation);
        if let Some(key) = differs(&self.fixed, &config.fixed) {
            tracing::info!(generation, %discovery, moved, %key, "only discovery is taken over");
            let why = format!("{key}: only a new process can take this over");
            self.status.reloaded(Some(RejectedConfig { generation, reason: why }));
            return;
        }
        self.live.apply(&config, P::now());
        self.sockets.resize::<P>(config.sockets);
        self.bytes.resize::<P>(config.memory);
        let quotas = config.tenant_quotas();
        self.driver.reconfigure(config.settings, quotas);
        tracing::info!(generation, %discovery, moved, "configuration in force");
        self.status.reloaded(None);
    }
}

/// The first key in which two values differ, as a path.
fn differs(a: &Value, b: &Value) -> Option<String> {
    let (Value::Object(x), Value::Object(y)) = (a, b) else {
        return (a != b).then(String::new);
    };
    x.keys().chain(y.keys()).find_map(|key| {
        let below = differs(x.get(key).unwrap_or(&Value::Null), y.get(key).unwrap_or(&Value::Null));
        below.map(|path| if path.is_empty() { key.clone() } else { format!("{key}.{path}") })
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn the_key_that_differs_is_named_with_its_path() {
        let old = json!({"a": {"b": 1, "c": [1, 2]}, "d": 4});
        assert_eq!(differs(&old, &old), None);
        let new = json!({"a": {"b": 1, "c": [1, 3]}, "d": 4});
        assert_eq!(differs(&old, &new).as_deref(), Some("a.c"));
        let new = json!({"a": {"b": 1, "c": [1, 2]}, "d": 4, "e": 5});
        assert_eq!(differs(&old, &new).as_deref(), Some("e"));
    }
}
