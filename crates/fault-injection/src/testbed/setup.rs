//! Starts a testbed.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fakes::account::Account;
use fakes::faulty_calls::FaultRates;
use fakes::logserver::{LogServer, RecentKeys, ServerSpec};
use fakes::program::Folder;
use fakes::registry::{Entry, Registry};
use fakes::world::{DEDUPLICATION_WINDOW, IDLE_TIMEOUT, ZONES, classes};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

use super::configuration::{SidecarAddresses, configuration};
use super::probe::is_ready;
use super::{LoadFactors, Programs, ServerSlot, Sidecar, Testbed, TestbedError};
use crate::drain_watch::DrainWatch;
use crate::gossip_relay::GossipRelay;
use crate::links::{Links, Node};
use crate::network::Network;
use crate::processes::{Process, ProcessSpawner, ReservedPort, unique_loopback_address};
use crate::relay::Relay;
use crate::scenario::{Availability, Scenario};

/// The time within which a sidecar must become ready.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval between readiness checks of a sidecar.
pub(super) const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The number of requests that may queue at a server, per core.
const SERVER_QUEUE_PER_CORE: usize = 8;
/// The number of connections on which a server accepts requests, per core.
const SERVER_CONNECTIONS_PER_CORE: usize = 80;
/// The share of its full speed that a server has at start.
const SERVER_COLD_SHARE: f64 = 0.16;

/// Ports for all sidecars, reserved until they are started.
struct ReservedAddresses(Vec<[ReservedPort; 3]>);

impl ReservedAddresses {
    fn new(sidecar_count: u16) -> std::io::Result<ReservedAddresses> {
        let ip = unique_loopback_address();
        let port = || ReservedPort::new(ip);
        let ports = (0..sidecar_count).map(|_| Ok([port()?, port()?, port()?]));
        ports.collect::<std::io::Result<_>>().map(ReservedAddresses)
    }

    fn of(&self, n: usize) -> SidecarAddresses {
        let [listen, admin, gossip] = self.0[n].each_ref().map(|port| port.address);
        SidecarAddresses { listen, admin, gossip }
    }

    fn gossip(&self) -> Vec<SocketAddr> {
        (0..self.0.len()).map(|n| self.of(n).gossip).collect()
    }
}

impl Testbed {
    /// Starts everything except the clients, and waits until every sidecar is ready.
    ///
    /// # Errors
    ///
    /// When a part cannot be started, or a sidecar does not become ready.
    pub fn start(scenario: Scenario, programs: Programs) -> Result<Testbed, TestbedError> {
        raise_descriptor_limit();
        let network = Network::new(Links::with_baseline(scenario.baseline), scenario.seed);
        let account = Arc::new(Account::new(classes(scenario.time_scale)));
        let folder = Folder::new("trial");
        let addresses = ReservedAddresses::new(scenario.sidecar_count)?;
        let gossip = GossipRelay::start(network.clone(), addresses.gossip());
        let gossip = fakes::runtime().block_on(gossip)?;
        let mut servers = start_servers(&scenario, &network, &account)?;
        let mut relays = Vec::new();
        let mut sidecars = Vec::new();
        for n in 0..usize::from(scenario.sidecar_count) {
            let registry = start_discovery(n, &network, &mut servers, &mut relays)?;
            let discovery = relay_to_discovery(n, &network, &registry)?;
            let addresses = addresses.of(n);
            let config = configuration(&scenario, n, &addresses, discovery.address, &gossip);
            relays.push(discovery);
            sidecars.push(Sidecar {
                process: Process::new(new_directory(&folder, n)?)
                    .with_system_calls(system_calls(&scenario, n)),
                listen: addresses.listen,
                admin: addresses.admin,
                config,
                load_share: load_share(&scenario, n),
                expected: true,
                terminated_at: None,
                stop_clients: None,
                registry,
                discovery_is_silent: false,
            });
        }
        // Releases the ports for the sidecars. No other process uses this address.
        drop(addresses);
        network.watch_drains(DrainWatch::new(account.clone()));
        let tenants = vec![1.0; scenario.load.tenants.len()];
        let mut testbed = Testbed {
            network,
            account,
            spawner: ProcessSpawner::new(programs.guard.clone()),
            programs,
            sidecars,
            servers,
            gossip,
            _relays: relays,
            client_tasks: Vec::new(),
            load_factors: LoadFactors { tenants, all: 1.0 },
            discovery: Availability::Up,
            client_starts: 0,
            crashes: 0,
            problems: Vec::new(),
            scenario,
            folder,
        };
        testbed.set_drain_rules();
        testbed.start_sidecars()?;
        Ok(testbed)
    }

    fn start_sidecars(&mut self) -> Result<(), TestbedError> {
        for n in 0..self.sidecars.len() {
            self.start_sidecar(n, false)?;
        }
        (0..self.sidecars.len()).try_for_each(|n| self.wait_ready(n))
    }

    /// Starts the process of a sidecar with its current configuration.
    pub(super) fn start_sidecar(
        &mut self,
        n: usize,
        discard_state: bool,
    ) -> Result<(), TestbedError> {
        let sidecar = &mut self.sidecars[n];
        std::fs::write(sidecar.process.configuration_path(), sidecar.config.to_string())?;
        let started = sidecar.process.start(&self.spawner, &self.programs.sidecar, discard_state);
        started.map_err(|source| TestbedError::Start { sidecar: n, source })?;
        sidecar.expected = true;
        sidecar.terminated_at = None;
        Ok(())
    }

    fn wait_ready(&self, n: usize) -> Result<(), TestbedError> {
        let sidecar = &self.sidecars[n];
        let deadline = Instant::now() + START_TIMEOUT;
        let runtime = fakes::runtime();
        while !runtime.block_on(is_ready(sidecar.listen)) {
            if Instant::now() > deadline || sidecar.process.has_exited() {
                let log = self.folder.path().join(format!("s{n}/log"));
                return Err(TestbedError::NotReady { sidecar: n, last_log_line: last_line(&log) });
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        Ok(())
    }
}

/// Returns the failure rates of a sidecar's system calls, with a seed of its own.
fn system_calls(scenario: &Scenario, n: usize) -> Option<FaultRates> {
    scenario.system_calls.map(|rates| FaultRates { seed: rates.seed ^ (n as u32) << 16, ..rates })
}

/// Raises the soft limit on open descriptors to the hard limit.
fn raise_descriptor_limit() {
    let Rlimit { maximum, .. } = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: maximum, maximum });
}

fn new_directory(folder: &Folder, n: usize) -> std::io::Result<std::path::PathBuf> {
    let directory = folder.path().join(format!("s{n}"));
    std::fs::create_dir_all(&directory)?;
    Ok(directory)
}

fn last_line(log: &Path) -> String {
    let log = std::fs::read_to_string(log).unwrap_or_default();
    log.lines().last().unwrap_or("nothing").to_owned()
}

/// Starts the log servers of all zones.
fn start_servers(
    scenario: &Scenario,
    network: &Network,
    account: &Arc<Account>,
) -> std::io::Result<Vec<ServerSlot>> {
    let mut servers = Vec::new();
    for (zone, zone_name) in ZONES.into_iter().enumerate() {
        let keys = Arc::new(RecentKeys::default());
        for n in 0..scenario.servers_per_zone {
            let spec = ServerSpec {
                name: format!("{zone_name}-{n}"),
                cores: scenario.server_cores,
                queue_capacity: SERVER_QUEUE_PER_CORE * scenario.server_cores,
                max_connections: SERVER_CONNECTIONS_PER_CORE * scenario.server_cores,
                cold_share: SERVER_COLD_SHARE,
                warm_up: Duration::ZERO,
                idempotency_keys: keys.clone(),
                deduplication_window: DEDUPLICATION_WINDOW,
                idle_timeout: IDLE_TIMEOUT,
                seed: scenario.seed ^ (zone as u64) << 32 ^ u64::from(n),
            };
            let started = LogServer::start(spec.clone(), account.clone());
            let server = fakes::runtime().block_on(started)?;
            network.set_address(Node::Server(servers.len() as u16), server.at);
            servers.push(ServerSlot { zone, server, spec, entries: Vec::new() });
        }
    }
    Ok(servers)
}

/// Starts the discovery of a sidecar and its relays to all servers. Every sidecar has its own discovery, because it
/// reaches the servers through its own relays, at their addresses.
fn start_discovery(
    n: usize,
    network: &Network,
    servers: &mut [ServerSlot],
    relays: &mut Vec<Relay>,
) -> std::io::Result<Registry> {
    let runtime = fakes::runtime();
    let mut list = Vec::new();
    for (number, slot) in servers.iter_mut().enumerate() {
        let (from, to) = (Node::Sidecar(n as u16), Node::Server(number as u16));
        let relay = runtime.block_on(Relay::start(network.clone(), from, to))?;
        let entry = Entry::new(relay.address, ZONES[slot.zone]);
        let entry = Entry { host: slot.spec.name.clone(), ..entry };
        slot.entries.push(entry.clone());
        list.push(entry);
        relays.push(relay);
    }
    runtime.block_on(Registry::open(list))
}

fn relay_to_discovery(n: usize, network: &Network, registry: &Registry) -> std::io::Result<Relay> {
    let from = Node::Sidecar(n as u16);
    let relay = Relay::start_to(network.clone(), from, Node::Discovery, registry.at);
    fakes::runtime().block_on(relay)
}

/// Returns the share of the load that a sidecar gets, by Zipf's law over the sidecars' numbers.
fn load_share(scenario: &Scenario, n: usize) -> f64 {
    let weight = |n: usize| (n as f64 + 1.0).powf(-scenario.load.zipf_exponent);
    let total: f64 = (0..usize::from(scenario.sidecar_count)).map(weight).sum();
    weight(n) / total
}
