//! A run of one scenario: builds the simulated world, applies the faults, and checks the rules after every step and
//! at the end.

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

/// The time at which clients begin to send requests.
const LOAD_START: Duration = Duration::from_millis(800);
/// The time, just before the load, at which the resources of a sidecar without load are measured.
const BASELINE_AT: Duration = Duration::from_millis(790);
/// The time from which on clients send no new requests.
const LOAD_END: Duration = Duration::from_millis(LOAD_END_MS);
/// The time after the load within which sidecars release all resources.
const RELEASE_TIME: Duration = Duration::from_secs(16);
/// The interval at which the processes of the sidecars are supervised.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);
/// The number of connections to discovery that may wait to be accepted.
const DISCOVERY_BACKLOG: usize = 256;

/// The result of a run.
pub struct Outcome {
    /// The first violation; `None` if no rule was broken.
    pub violation: Option<Violation>,
    /// A hash of all events of the network.
    pub hash: u64,
    /// The number of events in the hash.
    pub event_count: u64,
    /// The virtual time that the run took.
    pub duration: Duration,
    /// The numbers of requests, attempts and their outcomes, by label.
    pub counts: Counts,
    /// Counters of the network.
    pub network: NetworkStats,
    /// The timeline; empty if none was recorded.
    pub timeline: String,
    /// The requests that were sent after the recovery time, and those of them that were served.
    pub recovery: Served,
}

impl Outcome {
    /// Returns the number of requests.
    pub fn requests(&self) -> u64 {
        self.counts.get("requests").copied().unwrap_or(0)
    }
}

/// The resources that a sidecar holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct HeldResources {
    tasks: usize,
    sockets: usize,
}

/// A run in progress.
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
    /// The clients of each sidecar, with the host that they run on.
    clients: Vec<(HostId, Rc<Clients>)>,
    /// The operators, with the host that they run on; `None` if the scenario has no faults by operators.
    operators: Option<(HostId, Rc<Operators>)>,
    rng: SmallRng,
    /// The resources that a sidecar holds before there is any load.
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

/// Runs a scenario. Records a timeline if `with_timeline` is set.
pub fn run_scenario(scenario: &Scenario, with_timeline: bool) -> Outcome {
    let mut simulation = Simulation::new(scenario, with_timeline);
    simulation.run();
    simulation.outcome()
}

impl Simulation<'_> {
    fn now(&self) -> Duration {
        self.world.now()
    }

    /// Whether a rule was broken. That ends the run.
    fn is_rule_broken(&self) -> bool {
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
        if self.is_rule_broken() {
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

    /// Begins and ends the faults at their times.
    fn play_faults(&mut self) {
        let scenario = self.scenario;
        let mut active = vec![false; scenario.faults.len()];
        for edge in self.fault_edges() {
            self.advance_to(Duration::from_millis(edge.at_ms));
            if self.is_rule_broken() {
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

    /// Returns the beginnings and ends of all faults, in order of time.
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

    /// Advances the virtual time to `end`, and supervises the sidecars at intervals. Stops when a rule is broken.
    fn advance_to(&mut self, end: Duration) {
        while self.now() < end && !self.is_rule_broken() {
            let next = (self.now() + SUPERVISION_INTERVAL).min(end);
            if self.run_until(next).is_err() {
                return;
            }
            self.supervise_sidecars();
        }
    }

    /// Advances the virtual time to `end`, and checks the rules after each step.
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

/// A rule is broken. The oracle has the violation.
struct RuleBroken;
