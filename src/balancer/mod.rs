//! The decisions of the load balancer: a state machine without I/O, events in and actions out.
//!
//! The usual path is the chip mechanism of the README: answers mint confidence chips, an attempt spends one, and of two
//! random servers with chips the less used one gets the request. The gates in `retry` enforce the protocol's rules.

mod admission;
mod chips;
mod ejection;
mod endpoints;
mod locality;
mod outcome;
mod retry;
mod selection;
mod slow_start;
mod state;

use std::collections::VecDeque;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::{FxHashMap, FxHashSet};
use smallvec::SmallVec;

use crate::api::*;
use crate::settings::*;
use state::*;

/// The weight of a new sample in most moving averages: a quiet sidecar gets some in a few seconds.
const EWMA_WEIGHT: f64 = 0.15;
/// Answer times count as so many times the mean at most: one heavy request is no slow server.
const MAX_RELATIVE_LATENCY: f64 = 4.0;
/// The share of requests let through whatever the faults or the lateness, to see when they end.
const MIN_ADMITTED_SHARE: f64 = 0.05;
/// Servers in samples of the fleet: enough that a third of them is not there by chance.
const FLEET_SAMPLE: usize = 16;

/// One sidecar's decisions. The same settings, seed and events give the same actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    servers: Vec<Server>,
    slots: FxHashMap<ServerId, Slot>,
    list_clock: slow_start::ListClock,
    /// The servers that may be sent to, and this sidecar's own subset of them.
    ready: WeightedSlots,
    subset: WeightedSlots,
    weights_built_at: Micros,
    recent_capacity: slow_start::RecentCapacity,
    /// The request rate for which the subset was sized.
    subset_rate: f64,
    /// A hash ring of servers, for requests with an affinity key, and the keys of recent requests.
    ring: Vec<(u64, Slot)>,
    recent_keys: VecDeque<u64>,
    min_remote_weight: f64,
    /// The load of local servers, as answers show it.
    local_load: f64,
    /// The fault rate that a third of the subset stays under.
    baseline_fault_rate: f64,
    /// Requests a second here, a moving average.
    request_rate: f64,
    last_request: Micros,
    requests: FxHashMap<RequestId, Request>,
    timers: FxHashMap<u32, Timer>,
    next_token: u32,
    classes: Vec<ClassStatistics>,
    lateness: admission::Lateness,
    /// Moving average of reported loads, each over its server's weight.
    mean_load: f64,
    retry_budget: retry::RetryBudget,
    failed_polls: u32,
    queue_column: Option<usize>,
    in_flight_column: Option<usize>,
    mean_latency: f64,
    mean_in_flight: f64,
    longest_objective: f64,
    /// The longest deadline; the paper's ResetInterval.
    reset_interval: Micros,
}

impl Balancer {
    /// A balancer that knows no servers yet. `seed` determines all of its random choices.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Balancer {
        let (longest_objective, reset_interval) = longest(&settings);
        Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            servers: Vec::new(),
            slots: FxHashMap::default(),
            list_clock: slow_start::ListClock::default(),
            ready: WeightedSlots::default(),
            subset: WeightedSlots::default(),
            weights_built_at: now,
            recent_capacity: slow_start::RecentCapacity::default(),
            subset_rate: 0.0,
            ring: Vec::new(),
            recent_keys: VecDeque::new(),
            min_remote_weight: 0.0,
            local_load: 1.0,
            baseline_fault_rate: 0.0,
            request_rate: 0.0,
            last_request: now,
            requests: FxHashMap::default(),
            timers: FxHashMap::default(),
            next_token: 0,
            classes: vec![ClassStatistics::default(); settings.classes.len()],
            lateness: admission::Lateness::default(),
            mean_load: 0.0,
            retry_budget: retry::RetryBudget { saved: 1.0, per_request: 0.1, max_saved: 5.0 },
            failed_polls: 0,
            queue_column: settings.column("q"),
            in_flight_column: settings.column("rif"),
            mean_latency: 0.0,
            mean_in_flight: 1.0,
            longest_objective,
            reset_interval,
            settings,
        }
    }

    /// Takes new settings that differ in limits and figures of the classes only. What was learned stays; requests under
    /// way keep their deadlines.
    pub fn reconfigure(&mut self, settings: Settings) {
        if settings.classes.len() == self.classes.len() {
            (self.longest_objective, self.reset_interval) = longest(&settings);
            self.settings = settings;
        }
    }

    /// Sets this sidecar's part of the tier's retry budget: retries for each request, and how many may be saved up.
    pub fn set_retry_budget(&mut self, per_request: f64, max_saved: f64) {
        (self.retry_budget.per_request, self.retry_budget.max_saved) = (per_request, max_saved);
    }

    /// Whether a server is ejected for its failures, until its next trial.
    pub fn is_ejected(&self, id: ServerId) -> bool {
        self.slots.get(&id).is_some_and(|&slot| self.servers[slot].ejected_until > self.now)
    }

    /// Takes one event and appends what to do about it to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::EndpointUpdate { kind, entries } => {
                self.schedule_poll(kind, actions);
                if kind != ListKind::Failed {
                    self.update_servers(kind, entries);
                }
            }
            Event::Request(request) => self.on_request(request, actions),
            Event::FirstByte { id, attempt } => self.on_stream(id, attempt, actions),
            Event::AttemptEnded(result) => {
                self.record_result(&result);
                // Opened for want of a better server, a connection would stay until its idle timeout. It may cost, and
                // thousands of them fill the servers' connection tables.
                let unused = |slot: &&Slot| self.servers[**slot].in_flight == 0;
                let slot = self.slots.get(&result.server).filter(unused);
                if slot.is_some_and(|slot| !self.subset.slots.contains(slot)) {
                    actions.push(Action::CloseIdleConnections { server: result.server });
                }
                self.after_attempt(&result, actions);
            }
            Event::ClientDisconnected { id } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.ended = true;
                    self.finish(id, actions);
                }
            }
            Event::Timer { token } => self.on_timer(token, actions),
            Event::HealthCheckEnded { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn on_timer(&mut self, token: u32, actions: &mut Vec<Action>) {
        match self.timers.remove(&token) {
            Some(Timer::Objective(id)) => self.on_objective_passed(id),
            Some(Timer::Deadline(id)) if self.requests.get(&id).is_some_and(|r| !r.streaming) => {
                self.end(id, EndReason::DeadlineExceeded, actions);
            }
            Some(Timer::Subscribe) => actions.push(Action::Subscribe),
            Some(Timer::Deadline(_)) | None => {}
        }
    }

    fn set_timer(&mut self, delay: Micros, timer: Timer, actions: &mut Vec<Action>) {
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1);
        self.timers.insert(token, timer);
        actions.push(Action::SetTimer { delay, token });
    }

    fn uniform(&mut self) -> f64 {
        unit_interval(self.rng.next_u64())
    }

    fn objective(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_objective as f64
    }
}

fn ewma(mean: &mut f64, weight: f64, sample: f64) {
    *mean += weight * (sample - *mean);
}

/// The longest latency objective and the longest deadline of the classes.
fn longest(settings: &Settings) -> (f64, Micros) {
    let longest = |of: fn(&Class) -> Micros| settings.classes.iter().map(of).max().unwrap_or(1);
    (longest(|c| c.latency_objective) as f64, longest(|c| c.deadline))
}

/// Maps random bits to a number from 0 up to 1.
fn unit_interval(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// Hashes a number (the finalizer of splitmix64).
fn hash(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
