//! Starts hollow sidecars, which consist of modules of the real sidecar.

use std::collections::{BTreeMap, btree_map};
use std::net::SocketAddr;
use std::os::unix::net::UnixDatagram;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use config_distribution::Generation;
use config_distribution::documents::{Interest, merge_documents};
use config_distribution::host::{ApplyOutcome, ConfigSnapshot};
use config_distribution::net::host;
use config_distribution::net::target::ConfigTarget;
use fakes::registry::{Entry, Registry};
use instance_status::{InstanceStatus, RequestCounts};
use lb_sidecar::api::ListKind;
use lb_sidecar::settings::DiscoveryMode;
use lb_sidecar::sidecar::config::{BorrowedText, Config, EndpointList};
use lb_sidecar::sidecar::discovery::{Discovery, DiscoveryRequest, EndpointListener};
use lb_sidecar::sidecar::gossip::Membership as GossipMembership;
use lb_sidecar::sidecar::peers::{DatagramHandler, Peers};
use lb_sidecar::sidecar::status::Status;
use runtime::TokioRuntime;
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc, watch};

use super::{Counters, Group, HollowError, HollowSidecar};

/// The maximum time between two status datagrams of a sidecar, as in the real sidecar.
const DATAGRAM_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of generations whose propagation is kept.
const MAX_GENERATIONS: usize = 512;
/// The maximum length of an endpoint list.
const MAX_SERVERS: usize = 8192;
/// The port of the first server in an endpoint list. No process listens on these ports, because no requests are sent.
const FIRST_SERVER_PORT: u16 = 10_000;
/// The minimum number of members in a complete membership.
const MIN_MEMBERS: f64 = 2.0;

/// A sidecar's membership in its gossip group.
pub(super) struct Membership(Rc<GossipMembership<TokioRuntime>>);

impl Membership {
    /// Returns whether the sidecar knows as many live members as it estimates that its gossip group has.
    pub fn is_complete(&self) -> bool {
        let snapshot = self.0.snapshot();
        snapshot.members.alive as f64 >= snapshot.reachable_members.round().max(MIN_MEMBERS)
    }
}

/// The configuration target of a hollow sidecar, which only checks and counts configurations.
struct HollowTarget {
    base: Value,
    counters: Rc<Counters>,
    /// The newest generation that has been in force.
    newest: Generation,
    applied: Rc<Notify>,
}

impl ConfigTarget for HollowTarget {
    async fn applied(&mut self) -> ConfigSnapshot {
        ConfigSnapshot::default()
    }

    async fn apply(&mut self, config: &ConfigSnapshot) -> ApplyOutcome {
        let ConfigSnapshot { generation, documents } = config;
        let text = merge_documents(&self.base, documents.iter()).to_string();
        let mut status = self.counters.status.borrow_mut();
        // The same check as in a real sidecar that reloads its configuration.
        if let Err(error) = Config::parse(text.as_bytes()) {
            status.rejected += 1;
            return ApplyOutcome::Rejected(error.to_string());
        }
        status.regressions += u64::from(*generation < self.newest);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // A document replaces all earlier ones with its key, so the skipped generations are in force, too.
        let newest = documents.iter().map(|document| document.generation).max().unwrap_or(0);
        for generation in self.newest + 1..=newest {
            let entry = status.in_force.entry(generation).or_default();
            *entry = (entry.0 + 1, now.as_micros() as u64);
        }
        while status.in_force.len() > MAX_GENERATIONS {
            status.in_force.pop_first();
        }
        self.newest = self.newest.max(newest);
        self.applied.notify_one();
        ApplyOutcome::Applied
    }
}

/// Counts received endpoint lists.
struct ListCounter(Rc<Counters>);

impl EndpointListener for ListCounter {
    fn on_list(&self, _kind: ListKind, _list: &EndpointList<BorrowedText<'_>>) {
        self.0.endpoint_lists.set(self.0.endpoint_lists.get() + 1);
    }

    fn max_servers(&self) -> usize {
        MAX_SERVERS
    }

    fn on_list_too_long(&self) {}

    fn on_failure(&self) {}
}

/// Passes gossip datagrams to the membership.
struct GossipHandler(Rc<GossipMembership<TokioRuntime>>);

impl DatagramHandler for GossipHandler {
    fn handle(&self, from: u32, data: &[u8]) {
        self.0.receive(from, data);
    }
}

/// Starts all sidecars of a group on the current task set. Returns the memberships of those that gossip.
pub(super) async fn start_sidecars(
    group: Group,
    counters: &Rc<Counters>,
) -> Result<Vec<Membership>, HollowError> {
    let mut discoveries: BTreeMap<usize, Registry> = BTreeMap::new();
    let mut memberships = Vec::new();
    let status_socket = Rc::new(StatusSocket::new()?);
    let hosts = Hosts { control_servers: group.control_servers, seed: group.seed };
    for (n, sidecar) in group.sidecars.into_iter().enumerate() {
        let service = sidecar.service;
        let discovery = match discoveries.entry(service) {
            btree_map::Entry::Occupied(started) => started.get().at,
            btree_map::Entry::Vacant(missing) => {
                missing.insert(start_discovery(service, group.servers_per_service).await?).at
            }
        };
        let mut base = sidecar.config.clone();
        base["discovery"] = discovery.to_string().into();
        let config = parse_config(&sidecar.name, &base)?;
        watch_discovery(discovery, &config, counters);
        memberships.extend(join_gossip(&config).await?);
        hosts.start(n, sidecar, base, counters, &status_socket);
    }
    tokio::task::spawn_local(async move {
        // The discoveries run until the process exits.
        let _discoveries = discoveries;
        std::future::pending::<()>().await;
    });
    Ok(memberships)
}

fn parse_config(sidecar: &str, base: &Value) -> Result<Config, HollowError> {
    Config::parse(base.to_string().as_bytes()).map_err(|error| HollowError::Configuration {
        sidecar: sidecar.to_owned(),
        reason: error.to_string(),
    })
}

/// Starts the discovery of a service.
async fn start_discovery(service: usize, server_count: usize) -> Result<Registry, HollowError> {
    let entry = |n: usize| {
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_SERVER_PORT + n as u16));
        Entry { host: format!("{service}-{n}"), ..Entry::new(address, "z0") }
    };
    let entries = (0..server_count).map(entry).collect();
    Registry::open(entries).await.map_err(HollowError::Discovery)
}

/// Watches discovery in the same way as a real sidecar.
fn watch_discovery(address: SocketAddr, config: &Config, counters: &Rc<Counters>) {
    let (address_sender, address) = watch::channel(address);
    let (call_sender, calls) = mpsc::unbounded_channel::<DiscoveryRequest>();
    let grace = Duration::from_micros(config.settings.rules.drain_deadline);
    let (attempted, status) = (Rc::new(Notify::new()), Rc::new(Status::default()));
    let discovery =
        Discovery::<TokioRuntime>::new(address, DiscoveryMode::Push, grace, 0, attempted, status);
    let lists = ListCounter(counters.clone());
    tokio::task::spawn_local(async move {
        // Keeps the channels open until the process exits.
        let _senders = (address_sender, call_sender);
        discovery.run(lists, calls).await;
    });
}

/// Joins the gossip group. Returns `None` if the configuration has no gossip address.
async fn join_gossip(config: &Config) -> Result<Option<Membership>, HollowError> {
    let Some(address) = config.peer_listen else { return Ok(None) };
    let socket = UdpSocket::bind(address).await;
    let socket = socket.map_err(|source| HollowError::GossipSocket { address, source })?;
    let peers = Peers::<TokioRuntime>::new(socket, config.peers.clone(), None);
    let group = GossipMembership::<TokioRuntime>::new(config, Some(&peers));
    let group = group.map_err(|error| HollowError::Gossip(error.to_string()))?;
    Ok(group.map(|group| {
        tokio::task::spawn_local(peers.listen(GossipHandler(group.clone())));
        tokio::task::spawn_local(group.clone().run());
        Membership(group)
    }))
}

/// The host agents of the sidecars.
struct Hosts {
    control_servers: Vec<(String, SocketAddr)>,
    seed: u64,
}

impl Hosts {
    /// Starts the host agent of the `n`th sidecar, and the task that sends its status datagrams.
    fn start(
        &self,
        n: usize,
        sidecar: HollowSidecar,
        base: Value,
        counters: &Rc<Counters>,
        status_socket: &Rc<StatusSocket>,
    ) {
        let applied = Rc::new(Notify::new());
        let service = format!("service-{}", sidecar.service);
        let target =
            HollowTarget { base, counters: counters.clone(), newest: 0, applied: applied.clone() };
        let config = host::Config {
            name: sidecar.name.clone(),
            interest: Interest { services: [service].into(), zone: sidecar.zone },
            servers: self.control_servers.iter().cloned().map(Into::into).collect(),
            seed: self.seed ^ n as u64,
        };
        tokio::task::spawn_local(host::run(config, target));
        tokio::task::spawn_local(send_status(sidecar.name, status_socket.clone(), applied));
    }
}

/// A socket pair for status datagrams, which are read at once and discarded.
struct StatusSocket {
    sender: UnixDatagram,
    receiver: UnixDatagram,
}

impl StatusSocket {
    fn new() -> std::io::Result<StatusSocket> {
        let (sender, receiver) = UnixDatagram::pair()?;
        sender.set_nonblocking(true)?;
        receiver.set_nonblocking(true)?;
        Ok(StatusSocket { sender, receiver })
    }
}

/// Sends status datagrams like a real sidecar: every [`DATAGRAM_INTERVAL`], and after each change.
async fn send_status(name: String, socket: Rc<StatusSocket>, changed: Rc<Notify>) {
    let mut status = InstanceStatus {
        name,
        pid: std::process::id(),
        version: "hollow".into(),
        generation: 0,
        rejected_config: None,
        ready: true,
        draining: false,
        client_connections: 0,
        in_flight_requests: 0,
        out_of_descriptors: false,
        counts: RequestCounts::default(),
    };
    let mut buffer = [0; instance_status::MAX_DATAGRAM_BYTES];
    loop {
        let _ = socket.sender.send(status.to_datagram().as_bytes());
        while socket.receiver.recv(&mut buffer).is_ok() {}
        status.generation += 1;
        let _ = tokio::time::timeout(DATAGRAM_INTERVAL, changed.notified()).await;
    }
}
