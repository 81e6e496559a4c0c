//! Scenarios describe the simulated world of a run and its faults. They are drawn from a seed or read from a file.

mod broken_rejections;
mod discovery_faults;
mod draw;
mod error;
mod fault;
mod hold_ups;
mod second_answers;
mod server_faults;
mod slow_responses;
#[cfg(test)]
mod tests;

use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::draw::FAULT_KINDS;
pub use self::error::{InvalidValue, ScenarioError};
pub use self::fault::{Fault, FaultKind};

/// The earliest begin of a fault, in milliseconds. Before it, every run works without faults.
pub const FAULTS_BEGIN_MS: u64 = 1500;
/// The time by which all faults have ended, in milliseconds.
pub const FAULTS_END_MS: u64 = 13_000;
/// The time from which on clients send no new requests, in milliseconds.
pub const LOAD_END_MS: u64 = 21_000;

/// A scenario.
///
/// Keys in files differ from the names of the fields where files of earlier versions have other names.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The seed of all random numbers of the run.
    pub seed: u64,
    /// The number of sidecars.
    pub sidecars: usize,
    /// The number of log servers in each of the three zones.
    #[serde(rename = "servers")]
    pub servers_per_zone: usize,
    /// Requests per second at each sidecar.
    pub rate: f64,
    /// Whether sidecars poll discovery; otherwise an agent pushes the endpoint list.
    #[serde(default, rename = "asked")]
    pub discovery_polled: bool,
    /// Whether sidecars start with a cached endpoint list.
    #[serde(default, rename = "known")]
    pub endpoints_cached: bool,
    /// The limit of descriptors of each sidecar.
    pub sockets: usize,
    /// The number of requests that each log server executes at once.
    #[serde(default = "default_server_concurrency", rename = "cores")]
    pub server_concurrency: usize,
    /// Whether ready tasks and simultaneous events are processed in random order.
    pub shuffle: bool,
    /// The longest delay of timers, in microseconds.
    pub timer_lag_us: u64,
    /// Whether attempts may be cancelled.
    #[serde(default = "default_cancellation", rename = "cancel")]
    pub cancellation: bool,
    /// Whether sidecars exchange gossip.
    #[serde(default, rename = "tier")]
    pub gossip: bool,
    /// The connect timeout of sidecars for servers, in milliseconds.
    #[serde(default = "default_connect_timeout_ms", rename = "connect_ms")]
    pub connect_timeout_ms: u64,
    /// The number of clients of each sidecar that rest between their requests.
    #[serde(default, rename = "resting", skip_serializing_if = "is_zero")]
    pub resting_clients: usize,
    /// The faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Whether a count is zero. Scenario files of earlier versions leave out keys that are zero.
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
    /// If the file cannot be read, is not a scenario, or has a value out of its range.
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

    /// Checks that all values are within their ranges.
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

    /// Returns the longest hold-up of a sidecar's process; zero if there is none.
    pub fn longest_hold_up(&self) -> Duration {
        let hold_ups =
            self.faults.iter().filter(|fault| matches!(fault.kind, FaultKind::HoldUp { .. }));
        Duration::from_millis(hold_ups.map(|fault| fault.for_ms).max().unwrap_or(0))
    }

    /// Returns the scenario in the format of scenario files.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }
}
