//! The testbed of a run: discovery, log servers, relays, the sidecars' processes and their clients. It applies the
//! actions of a scenario and samples the state.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;

use fakes::account::{Account, Report};
use fakes::logserver::{LogServer, ServerSpec};
use fakes::program::{Folder, ProgramError, built};
use fakes::registry::{Entry, Registry};
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::gossip_relay::GossipRelay;
use crate::network::Network;
use crate::processes::{Process, ProcessSpawner};
use crate::relay::Relay;
use crate::scenario::{Availability, Scenario};

pub use sampling::PendingSample;

mod actions;
mod clients;
mod configuration;
mod probe;
mod sampling;
mod setup;

/// The programs that a run needs.
pub struct Programs {
    /// The sidecar.
    pub sidecar: PathBuf,
    /// The process guard.
    pub guard: PathBuf,
}

impl Programs {
    /// Returns the programs of this workspace. They are built if they are older than their sources. `progress` shows
    /// the progress of the build.
    ///
    /// # Errors
    ///
    /// When they cannot be built or found.
    pub fn built(progress: bool) -> Result<Programs, ProgramError> {
        let sidecar = built("lb-sidecar", progress)?;
        Ok(Programs { sidecar, guard: built("lb-process-guard", progress)? })
    }
}

/// A testbed could not be started, or an action could not be applied.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A sidecar's process could not be started.
    #[error("s{sidecar}: {source}")]
    Start {
        /// The sidecar's number.
        sidecar: usize,
        /// The cause.
        source: io::Error,
    },
    /// A sidecar did not become ready.
    #[error("s{sidecar} did not become ready; last log line: {last_log_line}")]
    NotReady {
        /// The sidecar's number.
        sidecar: usize,
        /// The last line of its log.
        last_log_line: String,
    },
}

/// The texts by which log lines of a sidecar that report a violated rule or a panic are recognized.
const VIOLATION_PATTERNS: [&str; 2] = ["protocol rule violated", "panicked at"];

/// A sidecar of the testbed, with its own discovery.
struct Sidecar {
    process: Process,
    listen: SocketAddr,
    admin: SocketAddr,
    config: Value,
    /// The share of the load that it gets, from 0 to 1.
    load_share: f64,
    /// Whether it should be running.
    expected: bool,
    /// The time at which it was asked to shut down. `None` if it was not.
    terminated_at: Option<Instant>,
    /// Stops its clients when set to true.
    stop_clients: Option<watch::Sender<bool>>,
    registry: Registry,
    /// Whether its discovery answers no requests.
    discovery_is_silent: bool,
}

/// A log server, which may have been killed.
struct ServerSlot {
    zone: usize,
    server: LogServer,
    spec: ServerSpec,
    /// The server's entry in the discovery of each sidecar.
    entries: Vec<Entry>,
}

/// The factors on the load, relative to the start of the run.
struct LoadFactors {
    tenants: Vec<f64>,
    all: f64,
}

/// A running testbed. Everything in it stops when it is dropped.
pub struct Testbed {
    /// The links between the nodes.
    pub network: Network,
    /// The account of all requests.
    pub account: Arc<Account>,
    scenario: Scenario,
    programs: Programs,
    spawner: ProcessSpawner,
    sidecars: Vec<Sidecar>,
    servers: Vec<ServerSlot>,
    gossip: GossipRelay,
    _relays: Vec<Relay>,
    client_tasks: Vec<JoinHandle<()>>,
    load_factors: LoadFactors,
    discovery: Availability,
    /// The number of times that clients were started, for their seeds.
    client_starts: u64,
    crashes: u64,
    problems: Vec<String>,
    folder: Folder,
}

impl Testbed {
    /// Stops the clients, waits for their open requests, and returns the final account.
    pub fn finish(&mut self) -> Report {
        for n in 0..self.sidecars.len() {
            self.stop_clients(n);
        }
        fakes::runtime().block_on(async {
            for task in self.client_tasks.drain(..) {
                let _ = task.await;
            }
        });
        self.account.report()
    }

    /// Returns the lines of the sidecars' logs that report violated rules or panics.
    pub fn logged_violations(&self) -> Vec<String> {
        let log = |(n, sidecar): (usize, &Sidecar)| {
            let log = std::fs::read_to_string(sidecar.process.log_path()).unwrap_or_default();
            let reported =
                log.lines().filter(|line| VIOLATION_PATTERNS.iter().any(|p| line.contains(p)));
            reported.map(|line| format!("s{n}: {line}")).collect::<Vec<_>>()
        };
        self.sidecars.iter().enumerate().flat_map(log).collect()
    }

    /// Returns descriptions of sidecars that exited unexpectedly or took too long to shut down.
    pub fn problems(&self) -> &[String] {
        &self.problems
    }
}
