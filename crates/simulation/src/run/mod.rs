//! One run: the world of a scenario is built, its faults begin and end, and the rules are checked after
//! every step and at the end.

mod addresses;
mod conditions;
mod fault_events;
mod final_checks;
mod setup;
mod sidecars;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fakes::account::Class;
use rand::rngs::SmallRng;
use simnet::{HostId, NetworkStats, SimListener, World};

use self::addresses::discovery_address;
use self::sidecars::SidecarProcess;
use crate::clients::Clients;
use crate::discovery::Discovery;
use crate::operators::Operators;
use crate::oracle::{Counts, Oracle, Served, Violation};
use crate::scenario::{LOAD_END_MS, Scenario};
use crate::server::Server;

/// Clients begin to send requests.
const LOAD_START: Duration = Duration::from_millis(800);
/// Just before, what a sidecar holds without load is measured.
const BASELINE_AT: Duration = Duration::from_millis(790);
/// Clients send no new requests from then on.
const LOAD_END: Duration = Duration::from_millis(LOAD_END_MS);
/// How long after the load everything is released.
const RELEASE_TIME: Duration = Duration::from_secs(16);
/// How often the processes of the sidecars are supervised.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);
/// How many connections to discovery may wait to be accepted.
const DISCOVERY_BACKLOG: usize = 256;

/// What a run came to.
pub struct Outcome {
    /// The first rule that was broken.
    pub violation: Option<Violation>,
    /// The hash over everything that happened on the network.
    pub hash: u64,
    /// How many events were hashed.
    pub event_count: u64,
    /// The virtual time that the run took.
    pub duration: Duration,
    /// Requests, attempts and how they ended, by label.
    pub counts: Counts,
    /// What passed on the network.
    pub network: NetworkStats,
    /// The timeline; empty unless it was wanted.
    pub timeline: String,
    /// The requests of the last seconds, long after the last fault.
    pub recovery: Served,
}

impl Outcome {
    /// The number of requests.
    pub fn requests(&self) -> u64 {
        self.counts.get("requests").copied().unwrap_or(0)
    }
}

/// What an idle sidecar holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct HeldResources {
    tasks: usize,
    sockets: usize,
}

/// A run under way.
struct Simulation<'a> {
    scenario: &'a Scenario,
    world: World,
    /// The start of the world.
    start: Instant,
    oracle: Rc<RefCell<Oracle>>,
    classes: Rc<[Class]>,
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    discovery_host: HostId,
    sidecars: Vec<SidecarProcess>,
    /// The clients of each sidecar, and the host that they are on.
    clients: Vec<(HostId, Rc<Clients>)>,
    /// Present if the scenario has faults by operators, with the host that they are on.
    operators: Option<(HostId, Rc<Operators>)>,
    rng: SmallRng,
    /// What a sidecar holds before there is any load.
    baseline: HeldResources,
}

/// The beginning or the end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FaultEdge {
    at_ms: u64,
    begins: bool,
    /// The index among the faults of the scenario.
    fault: usize,
}

/// Runs a scenario; `with_timeline`: and records what happens.
pub fn run_scenario(scenario: &Scenario, with_timeline: bool) -> Outcome {
    let mut simulation = Simulation::new(scenario, with_timeline);
    simulation.run();
    simulation.outcome()
}

impl Simulation<'_> {
    fn now(&self) -> Duration {
        self.world.now()
    }

    /// Whether a rule was broken, which ends the run.
    fn is_over(&self) -> bool {
        self.oracle.borrow().violation().is_some()
    }

    fn run(&mut self) {
        if !self.start_processes() {
            return;
        }
        self.advance_to(BASELINE_AT);
        self.measure_baseline();
        self.advance_to(LOAD_START);
        for (host, clients) in self.clients.clone() {
            self.world.spawn(host, clients.run(self.start + LOAD_END));
        }
        self.play_faults();
        if self.is_over() {
            return;
        }
        self.advance_to(LOAD_END);
        self.check_recovery();
        self.advance_to(LOAD_END + RELEASE_TIME);
        self.check_released();
        self.check_termination();
    }

    /// Starts discovery, the servers and the sidecars. Returns whether discovery could be started.
    fn start_processes(&mut self) -> bool {
        let bind = || SimListener::bind(discovery_address(), DISCOVERY_BACKLOG);
        let Ok(listener) = self.world.run_on(self.discovery_host, bind) else { return false };
        let discovery = self.discovery.clone();
        self.world.spawn(self.discovery_host, discovery.run(listener, self.start));
        for server in &self.servers {
            self.world.spawn(server.host(), server.clone().run(self.start));
        }
        for index in 0..self.sidecars.len() {
            self.start_sidecar(index);
        }
        true
    }

    /// Lets the faults begin and end at their times.
    fn play_faults(&mut self) {
        let scenario = self.scenario;
        let mut active = vec![false; scenario.faults.len()];
        for edge in self.fault_edges() {
            self.advance_to(Duration::from_millis(edge.at_ms));
            if self.is_over() {
                return;
            }
            active[edge.fault] = edge.begins;
            let fault = &scenario.faults[edge.fault];
            let now = self.now();
            self.oracle.borrow_mut().note(now, || {
                format!("{} {:?}", if edge.begins { "begins:" } else { "ends:  " }, fault.kind)
            });
            self.apply_fault_edge(fault, edge.begins);
            self.apply_conditions(&active);
        }
    }

    /// The beginnings and ends of all faults, in order.
    fn fault_edges(&self) -> Vec<FaultEdge> {
        let mut edges = Vec::new();
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            edges.push(FaultEdge { at_ms: fault.at_ms, begins: true, fault: index });
            let end_ms = fault.at_ms + fault.for_ms;
            edges.push(FaultEdge { at_ms: end_ms, begins: false, fault: index });
        }
        edges.sort_unstable();
        edges
    }

    /// Lets time pass, and supervises the sidecars in between. Stops as soon as a rule is broken.
    fn advance_to(&mut self, end: Duration) {
        while self.now() < end && !self.is_over() {
            let next = (self.now() + SUPERVISION_INTERVAL).min(end);
            if self.run_until(next).is_err() {
                return;
            }
            self.supervise_sidecars();
        }
    }

    /// Lets time pass, and checks after each step that no rule is broken.
    fn run_until(&self, end: Duration) -> Result<(), RuleBroken> {
        self.world.run_until(end, || {
            let mut oracle = self.oracle.borrow_mut();
            for sidecar in &self.sidecars {
                let held = self.world.open_sockets(sidecar.host);
                oracle.check_sockets(self.world.now(), sidecar.index, held);
            }
            if oracle.violation().is_some() { Err(RuleBroken) } else { Ok(()) }
        })
    }

    fn outcome(self) -> Outcome {
        let recovery = self.recovery();
        let oracle = self.oracle.borrow();
        let mut counts = oracle.counts().clone();
        if let Some(violation) = oracle.violation() {
            counts.insert(violation.rule.name(), 1);
        }
        Outcome {
            violation: oracle.violation().cloned(),
            hash: self.world.hash(),
            event_count: self.world.event_count(),
            duration: self.world.now(),
            counts,
            network: self.world.stats(),
            timeline: oracle.timeline(),
            recovery,
        }
    }
}

/// A rule is broken; the oracle knows which.
struct RuleBroken;
