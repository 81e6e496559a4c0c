//! A regression check: one hash over the behavior of all state machines for fixed seeds.

mod support;

use config_distribution::control::ControlServer;
use config_distribution::host::{ApplyOutcome, ConfigSnapshot, Host, HostAction, WatchFailure};
use config_distribution::origin::Origin;
use config_distribution::progress::ProgressAggregator;
use config_distribution::watch::{LongPoll, WatchRequest, WatchResponse};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::behavior_hash::{BehaviorHash, publish_outcome};
use support::replication::Simulation;
use support::{
    body, interest, key, leading_origin, ms, new_control_server, replicate, server_names,
};

/// The hash over all seeds. It changes if the behavior changes, or the form of anything that is sent or stored.
const EXPECTED_HASH: &str = "c9f9d867ea4e77ff";
const REPLICATION_SEEDS: u64 = 8;
const WATCH_SEEDS: u64 = 200;

const HOSTS: usize = 8;
const SERVERS: usize = 3;
const STEPS: u64 = 400;

/// A simulation of hosts that watch the control servers of a leading origin. Messages are lost, configurations are
/// applied, rejected or retried, and the servers' progress reports are aggregated.
struct WatchSimulation {
    rng: Pcg64Mcg,
    hash: BehaviorHash,
    /// The time in milliseconds.
    now: u64,
    origin: Origin,
    servers: Vec<ControlServer>,
    names: Vec<String>,
    hosts: Vec<Host>,
    progress: ProgressAggregator,
}

impl WatchSimulation {
    fn new(seed: u64) -> WatchSimulation {
        let (origin, _) = leading_origin(SERVERS);
        let names = server_names(SERVERS);
        let host = |n: usize| {
            let services: &[&str] = if n.is_multiple_of(3) { &["a", "b"] } else { &["a"] };
            let interest = interest(services, ["z0", "z1"][n % 2]);
            Host::new(format!("h{n}"), interest, &names, ConfigSnapshot::default(), seed)
        };
        WatchSimulation {
            rng: Pcg64Mcg::seed_from_u64(seed),
            hash: BehaviorHash::default(),
            now: 0,
            origin,
            // One server does not accept all hosts.
            servers: (0..SERVERS).map(|n| new_control_server(n, SERVERS, HOSTS - 2)).collect(),
            hosts: (0..HOSTS).map(host).collect(),
            names,
            progress: ProgressAggregator::default(),
        }
    }

    fn run(seed: u64) -> BehaviorHash {
        let mut simulation = WatchSimulation::new(seed);
        (0..STEPS).for_each(|step| simulation.step(step));
        simulation.hash
    }

    fn draw(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    fn step(&mut self, step: u64) {
        self.now += 50 + self.draw(400);
        if self.draw(8) == 0 {
            self.publish(step);
        }
        if self.draw(3) == 0 {
            let reached = 1 + (step % 3) as usize;
            replicate(&mut self.origin, &mut self.servers[..reached]);
        }
        let host = self.draw(HOSTS as u64) as usize;
        match self.hosts[host].next_action(ms(self.now)) {
            HostAction::Wait { until } => {
                self.hash.add(&(self.now, host, "wait", until.as_millis() as u64));
            }
            HostAction::Apply(config) => self.apply(host, &config),
            HostAction::Watch { server } => self.watch(host, server),
        }
        let server = self.draw(SERVERS as u64) as usize;
        if self.draw(4) == 0 {
            self.report(server);
        }
    }

    fn publish(&mut self, step: u64) {
        let key = key(["*", "a", "b", "a@z0", "*@z1"][self.draw(5) as usize]);
        let body = if self.draw(4) == 0 { None } else { body(step) };
        let result = self.origin.publish(key, body);
        self.hash.add(&(self.now, publish_outcome(result)));
    }

    fn apply(&mut self, host: usize, config: &ConfigSnapshot) {
        self.hash.add(&(self.now, host, "put", config.generation, &config.documents));
        let outcome = match self.draw(6) {
            0 => ApplyOutcome::Rejected("settings.zones: of another shape".to_owned()),
            1 => ApplyOutcome::Retry("another rollout runs".to_owned()),
            _ => ApplyOutcome::Applied,
        };
        self.hosts[host].record_outcome(config.generation, outcome, ms(self.now));
    }

    fn watch(&mut self, host: usize, server: usize) {
        let request = self.hosts[host].watch_request();
        self.add_request(server, &request);
        let response = self.respond(server, &request);
        let delivered = match response {
            Some(response) if self.draw(10) > 0 => response,
            _ => {
                let failure = match self.draw(2) {
                    0 => WatchFailure::ConnectionLost,
                    _ => WatchFailure::Unreachable,
                };
                self.hosts[host].watch_failed(failure, ms(self.now));
                return;
            }
        };
        self.hash.add(&(self.now, server, &delivered));
        if let Some(config) = self.hosts[host].receive(delivered, ms(self.now)) {
            self.apply(host, &config);
        }
    }

    fn add_request(&mut self, server: usize, request: &WatchRequest) {
        let WatchRequest { host, interest, since, applied, failure } = request;
        let sender = (host, &interest.services, &interest.zone);
        let failure = failure.as_ref().map(|failure| (failure.generation, &failure.reason));
        self.hash.add(&(self.now, server, sender, since, applied, failure));
    }

    fn respond(&mut self, server: usize, request: &WatchRequest) -> Option<WatchResponse> {
        if let Err(rejected) = self.servers[server].register(request, ms(self.now)) {
            self.hash.add(&(self.now, server, rejected.to_string()));
            return None;
        }
        let long_poll = match self.draw(2) {
            0 => LongPoll::Expired,
            _ => LongPoll::Waiting,
        };
        self.servers[server].respond(request, long_poll, ms(self.now))
    }

    fn report(&mut self, server: usize) {
        let report = self.servers[server].report_progress(ms(self.now));
        self.hash.add(&(self.now, &report));
        if self.draw(8) == 0 {
            self.servers[server].report_all_hosts();
            return;
        }
        let moved = self.progress.record(report, ms(self.now));
        self.servers[server].mark_moved(&moved, ms(self.now));
        let total = self.progress.total(self.names.iter(), ms(self.now));
        self.hash.add(&(self.now, &moved, total));
    }
}

#[test]
fn behavior_and_sent_and_stored_forms_are_unchanged() {
    let mut hash = BehaviorHash::default();
    (0..REPLICATION_SEEDS).for_each(|seed| hash.add(&Simulation::run(seed).hash.0));
    (0..WATCH_SEEDS).for_each(|seed| hash.add(&WatchSimulation::run(seed).0));
    assert_eq!(format!("{:016x}", hash.0), EXPECTED_HASH);
}
