//! The load-balancing decisions, as a state machine without I/O that maps events to actions.
//!
//! Load reports on responses mint confidence chips, and each attempt spends one. Of two randomly drawn servers that
//! hold chips, the less used one gets the request. The balancer enforces rules 1 to 3 of the protocol: one final answer
//! in time (rule 1, by the deadline timer that `admission` sets), no duplicate effects (rule 2), and no attempts to
//! servers that drain or are removed (rule 3). The checks of rules 2 and 3 are in `retry`.

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

/// Weight of a new sample in most moving averages. Large enough for a sidecar with little traffic, which gets only a
/// few samples within some seconds.
const EWMA_WEIGHT: f64 = 0.15;
/// Upper limit of a latency sample, as a multiple of the mean. Keeps one expensive request from making its server look
/// slow.
const MAX_RELATIVE_LATENCY: f64 = 4.0;
/// Share of requests that are always admitted despite faults or late responses, to detect the recovery.
const MIN_ADMITTED_SHARE: f64 = 0.05;
/// Number of servers in a sample of the fleet. Large enough that a third of the sample being slow or faulty is not due
/// to chance.
const FLEET_SAMPLE_SIZE: usize = 16;

/// The decision engine of one sidecar. Deterministic: the same settings, seed and events give the same actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    servers: Vec<Server>,
    slots: FxHashMap<ServerId, Slot>,
    list_clock: slow_start::ListClock,
    /// All servers in state [`Health::Ready`].
    ready: WeightedSlots,
    /// The ready servers that this sidecar normally sends to.
    subset: WeightedSlots,
    weights_built_at: Micros,
    recent_capacity: slow_start::RecentCapacity,
    /// Request rate, per second, for which the subset was sized.
    subset_rate: f64,
    /// Hash ring for requests with an affinity key: points and their servers, sorted by point.
    ring: Vec<(u64, Slot)>,
    /// Affinity keys of the latest requests, newest first.
    recent_keys: VecDeque<u64>,
    /// Lower limit of the locality weight of remote servers.
    min_remote_weight: f64,
    /// Moving average of the load of servers in the local zone, estimated from responses.
    local_load: f64,
    /// Fault rate that a third of the subset's servers do not exceed.
    baseline_fault_rate: f64,
    /// Moving average of the requests per second at this sidecar.
    request_rate: f64,
    last_request: Micros,
    requests: FxHashMap<RequestId, Request>,
    timers: FxHashMap<u32, Timer>,
    next_token: u32,
    classes: Vec<ClassStatistics>,
    lateness: admission::Lateness,
    /// Moving average of the reported loads, each divided by its server's weight.
    mean_load: f64,
    retry_budget: retry::RetryBudget,
    /// Discovery polls that have failed in a row.
    failed_polls: u32,
    queue_column: Option<usize>,
    in_flight_column: Option<usize>,
    mean_latency: f64,
    mean_in_flight: f64,
    /// Longest latency objective of all classes, in microseconds.
    longest_objective: f64,
    /// Longest deadline of all classes; the paper's ResetInterval.
    reset_interval: Micros,
}

impl Balancer {
    /// Creates a balancer with an empty endpoint list. `seed` determines all of its random choices.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Balancer {
        let (longest_objective, reset_interval) = longest_times(&settings);
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

    /// Replaces the settings by new ones that differ only in the limits and in the values of the classes. Learned
    /// statistics are kept, and requests in progress keep their deadlines.
    pub fn reconfigure(&mut self, settings: Settings) {
        if settings.classes.len() == self.classes.len() {
            (self.longest_objective, self.reset_interval) = longest_times(&settings);
            self.settings = settings;
        }
    }

    /// Sets this sidecar's part of the tier's retry budget: the retries earned per request, and the most that may
    /// accumulate.
    pub fn set_retry_budget(&mut self, per_request: f64, max_saved: f64) {
        (self.retry_budget.per_request, self.retry_budget.max_saved) = (per_request, max_saved);
    }

    /// Returns whether a server is ejected for its failures until its next trial.
    pub fn is_ejected(&self, id: ServerId) -> bool {
        self.slots.get(&id).is_some_and(|&slot| self.servers[slot].ejected_until > self.now)
    }

    /// Handles one event and appends the resulting actions to `actions`.
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
            Event::FirstByte { id, attempt } => self.on_first_byte(id, attempt, actions),
            Event::UploadStarted { id, attempt } | Event::ResponseAwaitsMemory { id, attempt } => {
                self.excuse_server(id, attempt);
            }
            Event::UploadOverdue { id, attempt } => self.on_upload_overdue(id, attempt),
            Event::ResponseProgress { id, attempt, progress } => {
                self.on_response_progress(id, attempt, progress, actions);
            }
            Event::AttemptEnded(result) => {
                self.record_result(&result);
                // A connection to a server outside the subset was opened only because no better server was available.
                // Left open until its idle timeout it may have a price, and the connections of thousands of sidecars
                // fill the servers' connection tables.
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
            Some(Timer::Deadline(id)) => self.on_deadline(id, actions),
            Some(Timer::Subscribe) => actions.push(Action::Subscribe),
            None => {}
        }
    }

    fn set_timer(&mut self, delay: Micros, timer: Timer, actions: &mut Vec<Action>) {
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1);
        self.timers.insert(token, timer);
        actions.push(Action::SetTimer { delay, token });
    }

    /// Draws a uniform random number in the range [0, 1).
    fn uniform(&mut self) -> f64 {
        unit_interval(self.rng.next_u64())
    }

    /// Returns the time within which responses to requests of a class are to arrive.
    pub fn latency_objective(&self, class: usize) -> Micros {
        self.settings.classes[class].latency_objective
    }

    /// Returns the latency objective of a class in microseconds.
    fn objective(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_objective as f64
    }
}

/// Moves an exponentially weighted moving average towards a sample.
fn ewma(mean: &mut f64, weight: f64, sample: f64) {
    *mean += weight * (sample - *mean);
}

/// Returns the longest latency objective and the longest deadline of all classes.
fn longest_times(settings: &Settings) -> (f64, Micros) {
    let longest = |of: fn(&Class) -> Micros| settings.classes.iter().map(of).max().unwrap_or(1);
    (longest(|c| c.latency_objective) as f64, longest(|c| c.deadline))
}

/// Maps random bits to a uniform number in the range [0, 1).
fn unit_interval(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// Hashes a number with one step of splitmix64.
fn hash(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
