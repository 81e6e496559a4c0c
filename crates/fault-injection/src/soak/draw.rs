//! Generates a random scenario: groups of two to four faults that begin at about the same time, and single faults in
//! between.

use std::collections::BTreeSet;
use std::time::Duration;

use fakes::faulty_calls::FaultRates;
use fakes::world::TENANTS;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use self::replacement::MAX_REPLACEMENT_S;
use crate::links::{ActiveFault, Impairment, Node};
use crate::scenario::{
    Action, Availability, ConfigurationPatch, Event, Load, Scenario, ServerState, Tenant,
};

mod discovery;
mod hold_ups;
mod leaving;
mod rejections;
mod replacement;

/// The rate of reads and writes that fail for lack of buffers, in thousandths.
const BUFFER_SHORTAGE_RATE: u32 = 2;
/// The length of the span at the end of a run without faults.
pub const QUIET_END: Duration = Duration::from_secs(11);
/// The earliest time of a fault, in seconds.
const FIRST_FAULT_S: f64 = 2.0;
/// The maximum time between the first and the last fault of a group, in seconds.
const GROUP_SPREAD_S: f64 = 0.6;
/// The time from SIGTERM to the kill and restart of a sidecar, in seconds: the earliest time that the protocol allows,
/// which is the longest deadline of the classes and 0.7 s, and a small allowance for the machine. Clients send on their
/// open connections until then.
const SHUTDOWN_S: f64 = 2.0 * TIME_SCALE + 0.75;
/// The probability that further signals are sent during a shutdown.
const FURTHER_SIGNALS_PROBABILITY: f64 = 0.4;
/// The longest time for which a process is held up, in seconds. It is set by the users' acceptance test.
const LONGEST_PAUSE_S: f64 = 0.15;
const SERVERS_PER_ZONE: u16 = 4;
const ZONE_COUNT: u16 = 3;
const SERVER_CORES: usize = 4;
/// A limit on descriptors that is so low that idle client connections are evicted.
const LOW_SOCKET_LIMIT: u32 = 64;
/// The number of silent connections to each sidecar, which is so high that idle ones are evicted with
/// [`LOW_SOCKET_LIMIT`].
const SILENT_CONNECTIONS: usize = 14;
/// The number of connections to each sidecar whose clients pause for about the idle timeout.
const RESTING_CONNECTIONS: usize = 10;
/// The number of requests per second for each sidecar.
const REQUESTS_PER_SIDECAR: f64 = 20.0;
/// The factor on latency objectives and deadlines, because two dozen processes share a few cores.
const TIME_SCALE: f64 = 1.4;
/// The value of `settings.discovery` if sidecars poll their lists.
const POLLED_LISTS: &str = "on_request";
const QUOTA_PER_S: f64 = 10_000.0;

/// The size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakSize {
    /// The number of sidecars.
    pub sidecars: u16,
    /// The length of the run.
    pub duration: Duration,
}

/// Generates the scenario of a seed.
///
/// # Panics
///
/// When the run is too short for faults.
pub fn draw(seed: u64, size: SoakSize) -> Scenario {
    let last_fault_s = size.duration.saturating_sub(QUIET_END).as_secs_f64();
    assert!(last_fault_s > FIRST_FAULT_S, "a run of {:?} is too short for faults", size.duration);
    let rng = StdRng::seed_from_u64(seed);
    let common_rng = StdRng::seed_from_u64(!seed);
    let (sidecars, events) = (size.sidecars, Vec::new());
    let mut plan = Plan { rng, common_rng, sidecars, last_fault_s, fault: 0, events };
    plan.add_faults();
    plan.events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let system_calls = Some(plan.system_calls(seed));
    Scenario {
        name: format!("soak {seed}"),
        seed,
        duration: size.duration,
        sidecar_count: size.sidecars,
        servers_per_zone: SERVERS_PER_ZONE,
        server_cores: SERVER_CORES,
        time_scale: TIME_SCALE,
        load: plan.load(),
        baseline: Impairment::default(),
        configuration_patches: plan.initial_patches(),
        system_calls,
        clients_send_during_shutdown: true,
        checks_late_arrivals: !plan.has_cuts(),
        events: plan.events,
        expectations: Vec::new(),
    }
}

/// Returns whether the sidecars of a run poll their lists. Otherwise an agent provides the lists.
pub fn polls_lists(scenario: &Scenario) -> bool {
    let polls = |patch: &ConfigurationPatch| patch.patch["settings"]["discovery"] == POLLED_LISTS;
    scenario.configuration_patches.iter().any(polls)
}

struct Plan {
    rng: StdRng,
    /// Draws the faults that every run has. A separate generator keeps the other faults of a seed independent of them.
    common_rng: StdRng,
    sidecars: u16,
    /// The latest end of a fault, in seconds.
    last_fault_s: f64,
    /// The number of the next fault.
    fault: usize,
    events: Vec<Event>,
}

/// The kinds of faults.
#[derive(Clone, Copy)]
enum Kind {
    Kill,
    Terminate,
    Pause,
    Throttle,
    Drain,
    Replace,
    Dead,
    BadServers,
    DiscoveryDown,
    DiscoveryFaults,
    Cut,
    Burst,
    Configure,
    Clock,
}

const KINDS: [Kind; 14] = [
    Kind::Kill,
    Kind::Terminate,
    Kind::Pause,
    Kind::Throttle,
    Kind::Drain,
    Kind::Replace,
    Kind::Dead,
    Kind::BadServers,
    Kind::DiscoveryDown,
    Kind::DiscoveryFaults,
    Kind::Cut,
    Kind::Burst,
    Kind::Configure,
    Kind::Clock,
];

impl Plan {
    fn add_faults(&mut self) {
        let groups = self.rng.random_range(2..=4);
        // Half of the runs have no impaired links: only then does the time of a request's arrival show when it was
        // sent.
        let with_cuts = self.rng.random_bool(0.5);
        for _ in 0..groups {
            let at_s = self.rng.random_range(FIRST_FAULT_S..self.last_fault_s - 1.0);
            for _ in 0..self.rng.random_range(2..=4) {
                let offset_s = self.rng.random_range(0.0..GROUP_SPREAD_S);
                self.add_fault(at_s + offset_s, with_cuts);
            }
        }
        for _ in 0..self.rng.random_range(0..=4) {
            let at_s = self.rng.random_range(FIRST_FAULT_S..self.last_fault_s - 1.0);
            self.add_fault(at_s, with_cuts);
        }
        // In every run, some servers are removed from the list soon after another change of it.
        let latest_s = (self.last_fault_s - MAX_REPLACEMENT_S).max(FIRST_FAULT_S + 1.0);
        let at_s = self.rng.random_range(FIRST_FAULT_S..latest_s);
        self.replace_in_steps(at_s);
        self.hold_up_in_series();
        self.hang_servers();
        self.send_broken_rejections();
        self.send_second_answers();
        self.draw_bodies();
    }

    fn add_fault(&mut self, at_s: f64, with_cuts: bool) {
        let kind = *KINDS.choose(&mut self.rng).unwrap_or(&Kind::Pause);
        match kind {
            Kind::Kill => {
                let sidecars = self.some_sidecars(0.5);
                let restart = Action::Start { sidecars: sidecars.clone(), discard_state: true };
                self.add(at_s, 0.3..2.0, Action::Kill(sidecars), restart);
            }
            Kind::Terminate => self.terminate(at_s),
            Kind::Pause => {
                let sidecars = self.some_sidecars(0.6);
                let (pause, resume) = (Action::Pause(sidecars.clone()), Action::Resume(sidecars));
                self.add(at_s, 0.02..LONGEST_PAUSE_S, pause, resume);
            }
            Kind::Throttle => {
                let (sidecars, share) = (self.some_sidecars(0.4), self.rng.random_range(0.4..0.8));
                let throttle = Action::Throttle(sidecars.clone(), share);
                self.add(at_s, 1.0..4.0, throttle, Action::Unthrottle(sidecars));
            }
            Kind::Drain => self.servers(at_s, 4.0..16.0, ServerState::Draining),
            Kind::Replace => self.replace_in_steps(at_s),
            Kind::Dead => self.servers(at_s, 0.5..4.0, ServerState::Dead),
            Kind::BadServers => {
                let share = self.rng.random_range(0.1..1.0);
                let state = [
                    ServerState::Slow(1.0 + 9.0 * share),
                    ServerState::Errors(share),
                    ServerState::Hangs(share),
                    ServerState::Breaks(share),
                    ServerState::Malformed(share),
                ];
                let state = *state.choose(&mut self.rng).unwrap_or(&state[0]);
                self.servers(at_s, 1.0..6.0, state);
            }
            Kind::DiscoveryDown => self.add(
                at_s,
                0.5..8.0,
                Action::SetDiscovery(Availability::Down),
                Action::SetDiscovery(Availability::Up),
            ),
            Kind::DiscoveryFaults => self.discovery_faults(at_s),
            Kind::Cut if with_cuts => self.cut(at_s),
            Kind::Cut | Kind::Burst => {
                let factor = self.rng.random_range(1.2..2.5);
                let (more, usual) = (Action::ScaleLoad(None, factor), Action::ScaleLoad(None, 1.0));
                self.add(at_s, 0.5..4.0, more, usual);
            }
            Kind::Configure => {
                let (sidecars, patch) = (self.some_sidecars(1.0), self.patch());
                self.push(at_s, Action::Configure(sidecars, patch));
            }
            Kind::Clock => {
                let seconds = *[-3600, -5, 5, 3600].choose(&mut self.rng).unwrap_or(&5);
                let step = Action::StepClock(self.some_sidecars(0.7), seconds);
                self.push(at_s, step);
            }
        }
        self.fault += 1;
    }

    fn has_cuts(&self) -> bool {
        self.events.iter().any(|event| matches!(event.action, Action::Inject { .. }))
    }

    fn push(&mut self, at_s: f64, action: Action) {
        self.events.push(Event { at_s: at_s.min(self.last_fault_s), fault: self.fault, action });
    }

    /// Adds a fault and its end.
    fn add(&mut self, at_s: f64, length_s: std::ops::Range<f64>, begin: Action, end: Action) {
        let length_s = self.rng.random_range(length_s);
        self.push(at_s, begin);
        self.push(at_s + length_s, end);
    }

    /// Shuts sidecars down one after another, and starts each again.
    fn terminate(&mut self, at_s: f64) {
        let spread_s = self.rng.random_range(0.0..2.0);
        let sidecars = self.some_sidecars(0.4);
        let step_s = spread_s / sidecars.len().max(1) as f64;
        let last_s = self.last_fault_s - SHUTDOWN_S - spread_s;
        let at_s = at_s.min(last_s.max(FIRST_FAULT_S));
        for (n, sidecar) in sidecars.into_iter().enumerate() {
            let (at_s, one) = (at_s + step_s * n as f64, BTreeSet::from([sidecar]));
            self.push(at_s, Action::Terminate(one.clone()));
            if self.rng.random_bool(FURTHER_SIGNALS_PROBABILITY) {
                self.signal_again(at_s, &one);
            }
            self.push(at_s + SHUTDOWN_S, Action::Start { sidecars: one, discard_state: true });
        }
    }

    /// Makes sidecars reload a new configuration during their shutdown, and sends SIGTERM again.
    fn signal_again(&mut self, at_s: f64, sidecars: &BTreeSet<u16>) {
        let reload_s = at_s + self.rng.random_range(0.0..SHUTDOWN_S - 1.0);
        let patch = self.patch();
        self.push(reload_s, Action::Configure(sidecars.clone(), patch));
        let again_s = reload_s + self.rng.random_range(0.0..0.5);
        self.push(again_s, Action::Terminate(sidecars.clone()));
    }

    fn servers(&mut self, at_s: f64, length_s: std::ops::Range<f64>, state: ServerState) {
        let all: Vec<u16> = (0..SERVERS_PER_ZONE * ZONE_COUNT).collect();
        let count = self.rng.random_range(1..=all.len() / 3);
        let servers: BTreeSet<u16> = all.choose_multiple(&mut self.rng, count).copied().collect();
        let healthy = Action::SetServers(servers.clone(), ServerState::Healthy);
        self.add(at_s, length_s, Action::SetServers(servers, state), healthy);
    }

    fn cut(&mut self, at_s: f64) {
        let from: BTreeSet<Node> = self.some_sidecars(0.6).into_iter().map(Node::Sidecar).collect();
        let count = self.rng.random_range(1..=SERVERS_PER_ZONE * ZONE_COUNT / 2);
        let first = self.rng.random_range(0..SERVERS_PER_ZONE * ZONE_COUNT - count);
        let to = (first..first + count).map(Node::Server).collect();
        let impairment = if self.rng.random_bool(0.5) {
            Impairment::cut()
        } else {
            let delay = Duration::from_millis(self.rng.random_range(1..120));
            Impairment { delay, jitter: delay / 2, ..Impairment::default() }
        };
        let fault = ActiveFault {
            fault: self.fault,
            from,
            to,
            both_directions: self.rng.random_bool(0.7),
            impairment,
        };
        let words = |text: &str| vec![text.to_owned()];
        let (from, to) = (words("some sidecars"), words("some servers"));
        let inject = Action::Inject { from, to, fault: Box::new(fault) };
        self.add(at_s, 0.5..5.0, inject, Action::Clear);
    }

    /// Draws one or more sidecars, up to this share of them.
    fn some_sidecars(&mut self, max_share: f64) -> BTreeSet<u16> {
        let all: Vec<u16> = (0..self.sidecars).collect();
        let max = ((f64::from(self.sidecars) * max_share) as usize).max(1);
        let count = self.rng.random_range(1..=max);
        all.choose_multiple(&mut self.rng, count).copied().collect()
    }

    /// Draws the changes to the default configuration from the start: in half of the runs lists are polled, and in
    /// half there is a low limit on descriptors.
    fn initial_patches(&mut self) -> Vec<ConfigurationPatch> {
        let mut patches = Vec::new();
        let all: BTreeSet<u16> = (0..self.sidecars).collect();
        if self.rng.random_bool(0.5) {
            let patch = json!({"settings": {"discovery": POLLED_LISTS}});
            patches.push(ConfigurationPatch { sidecars: all.clone(), patch });
        }
        if self.rng.random_bool(0.5) {
            let patch = json!({"limits": {"sockets": LOW_SOCKET_LIMIT}});
            patches.push(ConfigurationPatch { sidecars: all, patch });
        }
        patches
    }

    /// Draws a change of the configuration that a running process applies.
    fn patch(&mut self) -> Value {
        match self.rng.random_range(0..4) {
            0 => json!({"limits": {"sockets": self.rng.random_range(128..400)}}),
            1 => json!({"limits": {"memory_mb": self.rng.random_range(24..64)}}),
            2 => json!({"settings": {"limits": {
                "connectTimeout": self.rng.random_range(100_000..700_000)}}}),
            _ => json!({"settings": {"limits": {
                "maxRetryAfter": self.rng.random_range(100_000..2_000_000)}}}),
        }
    }

    /// Draws the failure rates of system calls.
    fn system_calls(&mut self, seed: u64) -> FaultRates {
        let mut rate = |max: u32| {
            let used = self.rng.random_bool(0.6);
            if used { self.rng.random_range(0..=max) } else { 0 }
        };
        FaultRates {
            seed: seed as u32,
            interrupted: rate(40),
            short: rate(100),
            aborted: rate(40),
            accept: rate(20),
            socket: rate(20),
            connect: rate(30),
            broken: rate(3),
            memory: BUFFER_SHORTAGE_RATE,
            hold: 0,
            wait: 0,
            file: 0,
        }
    }

    fn load(&mut self) -> Load {
        let tenants = TENANTS.iter().map(|(name, share)| Tenant {
            name: (*name).to_owned(),
            share: *share,
            quota_per_s: QUOTA_PER_S * share,
        });
        Load {
            requests_per_s: REQUESTS_PER_SIDECAR * f64::from(self.sidecars),
            zipf_exponent: self.rng.random_range(0.0..0.8),
            client_retries: self.rng.random_range(0..=2),
            leave_share: self.leave_share(),
            silent_connections: if self.rng.random_bool(0.5) { SILENT_CONNECTIONS } else { 0 },
            resting_connections: RESTING_CONNECTIONS,
            tenants: tenants.collect(),
        }
    }
}
