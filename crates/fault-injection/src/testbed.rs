//! Everything that takes part in a run: discovery, log servers, the relays, the sidecars' processes and their
//! clients. It applies the actions of a scenario, and samples the state.

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
    /// The programs of this workspace, built if they are older than their sources. `progress` shows the build.
    ///
    /// # Errors
    ///
    /// When they cannot be built or found.
    pub fn built(progress: bool) -> Result<Programs, ProgramError> {
        let sidecar = built("lb-sidecar", progress)?;
        Ok(Programs { sidecar, guard: built("lb-process-guard", progress)? })
    }
}

/// Why a testbed could not be started, or an action not applied.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// The system refused something.
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
    #[error("s{sidecar} does not serve; the last it told: {last_log_line}")]
    NotReady {
        /// The sidecar's number.
        sidecar: usize,
        /// The last line of its log.
        last_log_line: String,
    },
}

/// What a line of a sidecar's log contains that tells of a violated rule or a panic.
const VIOLATION_MARKS: [&str; 2] = ["protocol rule violated", "panicked at"];

/// A sidecar of the testbed, with its own discovery.
struct Sidecar {
    process: Process,
    listen: SocketAddr,
    admin: SocketAddr,
    config: Value,
    /// Its share of the load, from 0 to 1.
    load_share: f64,
    /// Whether it should be running.
    expected: bool,
    /// When it was asked to shut down, if it was.
    terminated_at: Option<Instant>,
    /// Stops its clients when set to true.
    stop_clients: Option<watch::Sender<bool>>,
    registry: Registry,
    /// Its discovery answers nothing.
    discovery_is_silent: bool,
}

/// A log server, or the place of one that was killed.
struct ServerSlot {
    zone: usize,
    server: LogServer,
    spec: ServerSpec,
    /// Its entry in the discovery of each sidecar.
    entries: Vec<Entry>,
}

/// The factors on the load, relative to the start.
struct LoadFactors {
    tenants: Vec<f64>,
    all: f64,
}

/// A running testbed. Dropping it ends all of it.
pub struct Testbed {
    /// The links between the nodes.
    pub network: Network,
    /// What became of every request.
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
    /// How often clients were started, for their seeds.
    client_starts: u64,
    crashes: u64,
    problems: Vec<String>,
    folder: Folder,
}

impl Testbed {
    /// Stops the clients, waits for their open requests, and closes the account.
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

    /// The violations of rules that the sidecars' own logs tell, in words.
    pub fn logged_violations(&self) -> Vec<String> {
        let log = |(n, sidecar): (usize, &Sidecar)| {
            let log = std::fs::read_to_string(sidecar.process.log_path()).unwrap_or_default();
            let told = log.lines().filter(|line| VIOLATION_MARKS.iter().any(|m| line.contains(m)));
            told.map(|line| format!("s{n}: {line}")).collect::<Vec<_>>()
        };
        self.sidecars.iter().enumerate().flat_map(log).collect()
    }

    /// The sidecars that have exited by themselves, in words.
    pub fn problems(&self) -> &[String] {
        &self.problems
    }
}
