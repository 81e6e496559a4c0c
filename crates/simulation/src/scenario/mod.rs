//! Scenarios: the world of a run, and what goes wrong in it, when and for how long. They are drawn from a
//! seed or read from a file.

mod broken_rejections;
mod discovery_faults;
mod draw;
mod error;
mod fault;
mod hold_ups;
mod second_answers;
mod server_faults;
#[cfg(test)]
mod tests;

use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::draw::FAULT_KINDS;
pub use self::error::{InvalidValue, ScenarioError};
pub use self::fault::{Fault, FaultKind};

/// Faults begin no earlier, in milliseconds, so that every run has seen the world in order.
pub const FAULTS_BEGIN_MS: u64 = 1500;
/// Faults have ended by then, in milliseconds.
pub const FAULTS_END_MS: u64 = 13_000;
/// Clients send no new requests from then on, in milliseconds.
pub const LOAD_END_MS: u64 = 21_000;

/// A scenario.
///
/// The names in files are those of the first version.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// For everything that is drawn while it runs.
    pub seed: u64,
    /// How many sidecars there are.
    pub sidecars: usize,
    /// How many log servers there are in each of the three zones.
    #[serde(rename = "servers")]
    pub servers_per_zone: usize,
    /// Requests per second at each sidecar.
    pub rate: f64,
    /// Whether sidecars poll discovery; otherwise an agent pushes the endpoint list.
    #[serde(default, rename = "asked")]
    pub discovery_polled: bool,
    /// Whether sidecars have a cached endpoint list when they start.
    #[serde(default, rename = "known")]
    pub endpoints_cached: bool,
    /// The limit of descriptors of each sidecar.
    pub sockets: usize,
    /// How many requests each log server executes at once.
    #[serde(default = "default_server_concurrency", rename = "cores")]
    pub server_concurrency: usize,
    /// Whether ready tasks, and events of one instant, come in random order.
    pub shuffle: bool,
    /// How late timers fire at most, in microseconds.
    pub timer_lag_us: u64,
    /// Whether attempts may be cancelled.
    #[serde(default = "default_cancellation", rename = "cancel")]
    pub cancellation: bool,
    /// Whether sidecars gossip what they know.
    #[serde(default, rename = "tier")]
    pub gossip: bool,
    /// How long a connection to a server may take to be established, in milliseconds.
    #[serde(default = "default_connect_timeout_ms", rename = "connect_ms")]
    pub connect_timeout_ms: u64,
    /// How many clients of each sidecar rest between their requests.
    #[serde(default, rename = "resting", skip_serializing_if = "is_zero")]
    pub resting_clients: usize,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Earlier scenario files have no key for what is zero.
fn is_zero(count: &usize) -> bool {
    *count == 0
}

fn default_server_concurrency() -> usize {
    4
}

fn default_connect_timeout_ms() -> u64 {
    75
}

fn default_cancellation() -> bool {
    true
}

impl Scenario {
    /// Reads a scenario from a file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is not a scenario, or has a value that cannot be played.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Io { path: path.to_owned(), source })?;
        let scenario: Scenario = toml::from_str(&text).map_err(|source| ScenarioError::Syntax {
            path: path.to_owned(),
            source: Box::new(source),
        })?;
        scenario
            .validate()
            .map_err(|source| ScenarioError::Invalid { path: path.to_owned(), source })?;
        Ok(scenario)
    }

    /// Writes the scenario to a file.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), ScenarioError> {
        std::fs::write(path, self.text())
            .map_err(|source| ScenarioError::Io { path: path.to_owned(), source })
    }

    /// Checks that it can be played.
    fn validate(&self) -> Result<(), InvalidValue> {
        let check = |key: &str, valid: bool, expected: &'static str| {
            if valid { Ok(()) } else { Err(InvalidValue { key: key.to_owned(), expected }) }
        };
        check("sidecars", (1..=8).contains(&self.sidecars), "1 to 8")?;
        check("servers", (1..=20).contains(&self.servers_per_zone), "1 to 20")?;
        check("rate", (0.1..=1000.0).contains(&self.rate), "0.1 to 1000")?;
        check("sockets", (64..=4096).contains(&self.sockets), "64 to 4096")?;
        check("cores", (1..=64).contains(&self.server_concurrency), "1 to 64")?;
        check("connect_ms", (1..=10_000).contains(&self.connect_timeout_ms), "1 to 10000")?;
        check("resting", self.resting_clients <= 100, "100 at most")?;
        check("timer_lag_us", self.timer_lag_us <= 20_000, "20000 at most")?;
        for (index, fault) in self.faults.iter().enumerate() {
            let end = fault.at_ms.saturating_add(fault.for_ms);
            check(&format!("faults[{index}]"), end <= FAULTS_END_MS, "an end by 13000 ms")?;
        }
        Ok(())
    }

    /// How long a sidecar's process is held up at a time.
    pub fn longest_hold_up(&self) -> Duration {
        let hold_ups =
            self.faults.iter().filter(|fault| matches!(fault.kind, FaultKind::HoldUp { .. }));
        Duration::from_millis(hold_ups.map(|fault| fault.for_ms).max().unwrap_or(0))
    }

    /// The scenario as the text of a file.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }
}
