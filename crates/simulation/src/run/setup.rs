//! Builds the simulated world of a scenario.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fakes::account::Class;
use fakes::logserver::RecentKeys;
use fakes::registry::{EndpointList, Entry};
use fakes::world::{DEDUPLICATION_WINDOW, World as Deployment, ZONES, classes};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use simnet::{HostId, Link, Options, World};

use super::addresses::{HostKind, ip, server_address, sidecar_address};
use super::sidecars::{SidecarProcess, termination_time};
use super::{HeldResources, Simulation};
use crate::clients::{Clients, ClientsSpec};
use crate::discovery::Discovery;
use crate::operators::Operators;
use crate::oracle::{ClassProfile, Limits, Oracle, OracleTap, Role, SlowStartLimits};
use crate::scenario::Scenario;
use crate::server::{Server, ServerSpec};

/// The time after its deadline within which a response still counts as in time.
const RESPONSE_SLACK: Duration = Duration::from_micros(8000);
/// The time after which a server that is reported as draining or gone gets no new requests.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The work that a server in slow start may get, as a multiple of its current capacity.
const SLOW_START_MULTIPLE: f64 = 4.0;
/// The time over which the work of a server in slow start is summed.
const SLOW_START_WINDOW: Duration = Duration::from_secs(3);
/// The latency between a sidecar and its clients, which run on the same machine.
const LOOPBACK_LATENCY: std::ops::Range<Duration> =
    Duration::from_micros(5)..Duration::from_micros(25);

/// Builds the parts of a world. The order in which hosts are added and random numbers are drawn must not change: it
/// determines the run of a seed.
struct Builder<'a> {
    scenario: &'a Scenario,
    world: World,
    start: Instant,
    classes: Rc<[Class]>,
    oracle: Rc<RefCell<Oracle>>,
    rng: SmallRng,
}

impl<'a> Simulation<'a> {
    /// Builds the world of a scenario, in which nothing runs yet.
    pub(super) fn new(scenario: &'a Scenario, with_timeline: bool) -> Simulation<'a> {
        let mut builder = Builder::new(scenario, with_timeline);
        let discovery_host = builder.world.add_host(ip(HostKind::Discovery, 0));
        let servers = builder.servers();
        let discovery = builder.discovery(&servers);
        let mut sidecars = Vec::new();
        let mut clients = Vec::new();
        for index in 0..scenario.sidecars {
            let host = builder.sidecar_host(index);
            sidecars.push(SidecarProcess::new(index, host, sidecar_address(index)));
            clients.push(builder.clients(index, host));
        }
        let operators = builder.operators();
        let Builder { world, start, classes, oracle, rng, .. } = builder;
        Simulation {
            scenario,
            world,
            start,
            oracle,
            classes,
            servers,
            discovery,
            discovery_host,
            sidecars,
            clients,
            operators,
            rng,
            baseline: HeldResources::default(),
        }
    }
}

impl<'a> Builder<'a> {
    fn new(scenario: &'a Scenario, with_timeline: bool) -> Builder<'a> {
        let mut rng = SmallRng::seed_from_u64(scenario.seed);
        let world = World::new(rng.random(), world_options(scenario));
        let start = world.instant();
        let classes: Rc<[Class]> = classes(1.0).into();
        let oracle = Oracle::new(limits(scenario, &classes), with_timeline);
        let oracle = Rc::new(RefCell::new(oracle));
        world.set_tap(OracleTap(oracle.clone()));
        Builder { scenario, world, start, classes, oracle, rng }
    }

    fn draw_rng(&mut self) -> SmallRng {
        SmallRng::seed_from_u64(self.rng.random())
    }

    fn add_host(&self, kind: HostKind, index: usize, role: Role) -> HostId {
        let host = self.world.add_host(ip(kind, index));
        self.oracle.borrow_mut().set_role(host, role);
        host
    }

    /// Creates the servers of all zones. The servers of a zone share their idempotency keys.
    fn servers(&mut self) -> Vec<Rc<Server>> {
        let mut servers = Vec::new();
        for zone in 0..ZONES.len() {
            let keys = Rc::new(RecentKeys::default());
            for _ in 0..self.scenario.servers_per_zone {
                let index = servers.len();
                let host = self.add_host(HostKind::Server, index, Role::Server { index, zone });
                servers.push(Server::new(ServerSpec {
                    index,
                    zone,
                    host,
                    address: server_address(index),
                    concurrency: self.scenario.server_concurrency,
                    classes: self.classes.clone(),
                    keys: keys.clone(),
                    rng: RefCell::new(self.draw_rng()),
                    oracle: self.oracle.clone(),
                }));
            }
        }
        servers
    }

    fn discovery(&self, servers: &[Rc<Server>]) -> Rc<Discovery> {
        let entries = servers.iter().map(|server| endpoint_entry(server, "active"));
        let endpoints = EndpointList::new(entries.collect());
        let agents = if self.scenario.discovery_polled { 0 } else { self.scenario.sidecars };
        Rc::new(Discovery::new(endpoints, servers.len(), agents, self.oracle.clone()))
    }

    fn sidecar_host(&self, index: usize) -> HostId {
        let host = self.add_host(HostKind::Sidecar, index, Role::Sidecar { index });
        self.world.set_socket_limit(host, self.scenario.sockets);
        host
    }

    /// Creates the clients of a sidecar, and the host that they run on.
    fn clients(&mut self, sidecar: usize, sidecar_host: HostId) -> (HostId, Rc<Clients>) {
        let host = self.add_host(HostKind::Clients, sidecar, Role::Clients { sidecar });
        for (from, to) in [(sidecar_host, host), (host, sidecar_host)] {
            self.world.configure_link(from, to, |link: &mut Link| {
                link.latency = LOOPBACK_LATENCY;
            });
        }
        let clients = Clients::new(ClientsSpec {
            sidecar,
            target: sidecar_address(sidecar),
            classes: self.classes.clone(),
            tenants: Deployment::tenants(),
            rate: self.scenario.rate,
            resting: self.scenario.resting_clients,
            rng: self.draw_rng(),
            oracle: self.oracle.clone(),
            start: self.start,
        });
        (host, Rc::new(clients))
    }

    /// Creates the operators, if the scenario has faults by them, and the host that they run on.
    fn operators(&mut self) -> Option<(HostId, Rc<Operators>)> {
        if !self.scenario.faults.iter().any(|fault| fault.kind.is_by_operators()) {
            return None;
        }
        let rng = self.draw_rng();
        let host = self.world.add_host(ip(HostKind::Operators, 0));
        Some((host, Rc::new(Operators::new(self.start, self.oracle.clone(), rng))))
    }
}

fn world_options(scenario: &Scenario) -> Options {
    let longest_lag = Duration::from_micros(scenario.timer_lag_us);
    Options {
        shuffle_ready_tasks: scenario.shuffle,
        shuffle_simultaneous_events: scenario.shuffle,
        timer_lag: Duration::ZERO..longest_lag + Duration::from_nanos(1),
        ..Options::default()
    }
}

fn limits(scenario: &Scenario, classes: &[Class]) -> Limits {
    let profile = |class: &Class| ClassProfile {
        name: class.name,
        repeat: class.idempotency,
        mean_work: class.service_time,
    };
    Limits {
        classes: classes.iter().map(profile).collect(),
        idempotency_window: DEDUPLICATION_WINDOW,
        response_slack: RESPONSE_SLACK,
        earliest_kill: termination_time(classes),
        longest_hold_up: scenario.longest_hold_up(),
        drain_grace: DRAIN_GRACE,
        sockets: scenario.sockets,
        max_response_gap: classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or_default(),
        slow_start: SlowStartLimits {
            multiple: SLOW_START_MULTIPLE,
            window: SLOW_START_WINDOW,
            concurrency: scenario.server_concurrency,
        },
    }
}

/// Returns the entry of a server in the endpoint list.
pub(super) fn endpoint_entry(server: &Server, health: &'static str) -> Entry {
    let started = server.started_at().map(|at| Options::default().unix_start + at);
    let mut entry = Entry::new(server.address(), ZONES[server.zone()]);
    entry.host = server.name();
    entry.health = health;
    entry.born_ms = started.map_or(0, |started| started.as_millis() as u64);
    entry
}
