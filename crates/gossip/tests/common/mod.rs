//! A simulated cluster on a virtual clock: members run the real state machine, messages are delayed and lost, and the
//! clocks of members differ.

#![allow(dead_code, reason = "each test and example uses only a part")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use gossip::{Config, Event, Micros, Node, Outgoing, Snapshot, TenantQuotas};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// Start of every simulation, in milliseconds of Unix time.
const START_UNIX_MS: u64 = 1_790_000_000_000;
/// Time on the members' clocks at the start, so that clocks that are behind do not go below zero.
const CLOCK_START: Micros = 60 * SECOND;
/// Interval at which the demand of a member without demand is checked again, in seconds.
const IDLE_POLL_S: f64 = 0.05;
/// Maximum time until the demand of a member is checked again, in seconds.
const MAX_INTERVAL_S: f64 = 1.0;
/// Initial value of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A scheduled event. `generation` is that of the member; events of an earlier generation are dropped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Round {
        member: usize,
        generation: u64,
    },
    Request {
        member: usize,
        tenant: usize,
        generation: u64,
    },
    /// The demand of a member is checked again; no request is sent.
    DemandPoll {
        member: usize,
        tenant: usize,
        generation: u64,
    },
    Delivery {
        from: usize,
        to: usize,
        data: Vec<u8>,
    },
}

/// A simulated cluster.
pub struct SimulatedCluster {
    pub now: Micros,
    pub members: Vec<Option<Node>>,
    /// Requests per second, by member and tenant.
    pub demand: Vec<Vec<f64>>,
    /// Partition of each member; messages are only delivered within a partition.
    pub partition: Vec<u8>,
    /// Whether all messages to a member are lost, by member.
    pub drops_incoming: Vec<bool>,
    /// Whether all messages from a member are lost, by member.
    pub drops_outgoing: Vec<bool>,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that are duplicated.
    pub duplication: f64,
    /// Number of requests, by tenant.
    pub requests: Vec<u64>,
    /// Number of requests within leases, by tenant.
    pub admitted: Vec<u64>,
    /// Share of attempts that fail, by member.
    pub failure_share: Vec<f64>,
    /// Number of failed attempts, by member.
    pub failures: Vec<u64>,
    /// Number of failed attempts that were retried, by member.
    pub retries: Vec<u64>,
    /// Saved retries, by member.
    saved_retries: Vec<f64>,
    /// Number of bytes received by all members.
    pub bytes: u64,
    /// Time by which the clock is ahead, in milliseconds, by member.
    pub clock_ahead_ms: Vec<i64>,
    config: Config,
    generations: Vec<u64>,
    /// Event number of each member's next round. Queued rounds with other numbers were rescheduled.
    rounds: Vec<u64>,
    queue: BinaryHeap<Reverse<(Micros, u64, ScheduledEvent)>>,
    /// Number of the event that was scheduled last.
    last_event: u64,
    /// FNV-1a hash of all messages sent so far and of the times at which they were sent.
    trace_hash: u64,
    pub rng: Pcg64Mcg,
}

impl SimulatedCluster {
    /// Creates a cluster of `size` members, which are not started and have no demand.
    pub fn new(size: u32, quotas: &[f64], round_interval: Micros, seed: u64) -> SimulatedCluster {
        let n = size as usize;
        let config = Config {
            local_id: 0,
            cluster_size: size,
            started_unix_ms: 0,
            round_interval,
            quotas: TenantQuotas { schema: 7, per_second: quotas.to_vec() },
            class_count: 2,
            seed,
        };
        SimulatedCluster {
            now: 0,
            members: (0..n).map(|_| None).collect(),
            demand: vec![vec![0.0; quotas.len()]; n],
            partition: vec![0; n],
            drops_incoming: vec![false; n],
            drops_outgoing: vec![false; n],
            loss: 0.0,
            duplication: 0.0,
            requests: vec![0; quotas.len()],
            admitted: vec![0; quotas.len()],
            failure_share: vec![0.0; n],
            failures: vec![0; n],
            retries: vec![0; n],
            saved_retries: vec![0.0; n],
            bytes: 0,
            clock_ahead_ms: vec![0; n],
            config,
            generations: vec![0; n],
            rounds: vec![0; n],
            queue: BinaryHeap::new(),
            last_event: 0,
            trace_hash: FNV_BASIS,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Draws a random number, uniformly distributed from 0 to 1.
    pub fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns the time on a member's monotonic clock. Its origin is arbitrary, and steps of the wall clock do not
    /// affect it.
    pub fn clock(&self, member: usize) -> Micros {
        let start = CLOCK_START as i64;
        let ahead = (self.clock_ahead_ms[member] * 1000).clamp(-start, start);
        (CLOCK_START + self.now).saturating_add_signed(ahead)
    }

    pub fn start(&mut self, member: usize) {
        let started_unix_ms =
            (START_UNIX_MS + self.now / 1000).saturating_add_signed(self.clock_ahead_ms[member]);
        let config = Config {
            local_id: member as u32,
            started_unix_ms,
            seed: self.rng.next_u64(),
            ..self.config.clone()
        };
        let node = Node::new(config, self.clock(member)).expect("a valid configuration");
        self.members[member] = Some(node);
        self.generations[member] += 1;
        self.schedule_round(member);
        for tenant in 0..self.demand[member].len() {
            self.schedule_request(member, tenant);
        }
    }

    pub fn start_all(&mut self) {
        (0..self.members.len()).for_each(|member| self.start(member));
    }

    pub fn kill(&mut self, member: usize) {
        self.members[member] = None;
        self.generations[member] += 1;
    }

    fn push(&mut self, at: Micros, event: ScheduledEvent) {
        self.last_event += 1;
        self.queue.push(Reverse((at, self.last_event, event)));
    }

    fn schedule_round(&mut self, member: usize) {
        let clock = self.clock(member);
        let deadline = self.members[member].as_ref().map_or(clock, Node::next_deadline);
        self.rounds[member] = self.last_event + 1;
        let generation = self.generations[member];
        self.push(
            self.now + deadline.saturating_sub(clock),
            ScheduledEvent::Round { member, generation },
        );
    }

    fn schedule_request(&mut self, member: usize, tenant: usize) {
        let rate = self.demand[member][tenant];
        let interval_s = if rate > 0.0 {
            (-self.uniform().max(1e-12).ln() / rate).min(MAX_INTERVAL_S)
        } else {
            IDLE_POLL_S
        };
        let at = self.now + (interval_s * SECOND as f64) as Micros;
        let generation = self.generations[member];
        let event = if rate > 0.0 && interval_s < MAX_INTERVAL_S {
            ScheduledEvent::Request { member, tenant, generation }
        } else {
            ScheduledEvent::DemandPoll { member, tenant, generation }
        };
        self.push(at, event);
    }

    /// Runs the simulation until this time.
    pub fn run_until(&mut self, until: Micros) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, number, event))) = self.queue.pop() else { break };
            self.now = at;
            self.handle(number, event);
        }
        self.now = until;
    }

    fn handle(&mut self, number: u64, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Round { member, generation } => {
                if self.generations[member] == generation && self.rounds[member] == number {
                    self.run_round(member);
                }
            }
            ScheduledEvent::Request { member, tenant, generation } => {
                if self.generations[member] == generation {
                    self.request(member, tenant);
                    self.schedule_request(member, tenant);
                }
            }
            ScheduledEvent::DemandPoll { member, tenant, generation } => {
                if self.generations[member] == generation {
                    self.draw_failure(member);
                    self.schedule_request(member, tenant);
                }
            }
            ScheduledEvent::Delivery { from, to, data } => self.deliver(from, to, &data),
        }
    }

    fn run_round(&mut self, member: usize) {
        let clock = self.clock(member);
        let outgoing = self.members[member].as_mut().and_then(|node| node.poll(clock));
        if let Some(Outgoing { receiver, data }) = outgoing {
            self.send(member, receiver as usize, data);
        }
        self.schedule_round(member);
    }

    /// Draws whether the next attempt of a member fails.
    fn draw_failure(&mut self, member: usize) -> bool {
        self.failure_share[member] > 0.0 && self.uniform() < self.failure_share[member]
    }

    fn request(&mut self, member: usize, tenant: usize) {
        let clock = self.clock(member);
        let fails = self.draw_failure(member);
        let Some(node) = &mut self.members[member] else { return };
        node.record(Event::Attempt, clock);
        self.requests[tenant] += 1;
        self.admitted[tenant] += u64::from(node.try_admit(0, tenant, clock));
        let budget = node.retry_budget();
        let saved = &mut self.saved_retries[member];
        *saved = (*saved + budget.per_request).min(budget.max_saved);
        if fails {
            node.record(Event::RetryableFailure, clock);
            self.failures[member] += 1;
            let is_retried = *saved >= 1.0;
            *saved -= f64::from(u8::from(is_retried));
            self.retries[member] += u64::from(is_retried);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, data: &[u8]) {
        let clock = self.clock(to);
        let Some(node) = &mut self.members[to] else { return };
        self.bytes += data.len() as u64;
        if let Some(answer) = node.receive(from as u32, data, clock) {
            self.send(to, from, answer);
        }
        // A member that has received its answer may start its next round earlier.
        self.schedule_round(to);
    }

    fn send(&mut self, from: usize, to: usize, data: Vec<u8>) {
        self.hash_bytes(&self.now.to_le_bytes());
        self.hash_bytes(&[from as u64, to as u64].map(u64::to_le_bytes).concat());
        self.hash_bytes(&data);
        let copies = 1 + usize::from(self.uniform() < self.duplication);
        for _ in 0..copies {
            let is_lost = self.uniform() < self.loss;
            let is_cut = self.partition[from] != self.partition[to];
            if is_lost || is_cut || self.drops_outgoing[from] || self.drops_incoming[to] {
                continue;
            }
            // The delays of datagrams on the platform: 1.1 to 39 ms.
            let delay = 1_100 + (self.uniform() * 37_900.0) as Micros;
            self.push(self.now + delay, ScheduledEvent::Delivery { from, to, data: data.clone() });
        }
    }

    fn hash_bytes(&mut self, data: &[u8]) {
        self.trace_hash =
            data.iter().fold(self.trace_hash, |h, b| (h ^ u64::from(*b)).wrapping_mul(FNV_PRIME));
    }

    /// Returns the hash of all messages sent so far, of their times, and of values of the snapshots.
    pub fn hash(&mut self, snapshots: &[Snapshot]) -> u64 {
        for snapshot in snapshots {
            for tenant in &snapshot.tenants {
                for value in [tenant.demand_per_s, tenant.local_demand_per_s, tenant.lease_per_s] {
                    self.hash_bytes(&value.to_bits().to_le_bytes());
                }
                self.hash_bytes(&tenant.within_lease.to_le_bytes());
                self.hash_bytes(&tenant.beyond_lease.to_le_bytes());
            }
            for value in [
                snapshot.reachable_members,
                snapshot.attempts_per_s,
                snapshot.retry_budget.per_request,
                snapshot.retry_budget.max_saved,
            ] {
                self.hash_bytes(&value.to_bits().to_le_bytes());
            }
            self.hash_bytes(&(snapshot.members.alive as u64).to_le_bytes());
            self.hash_bytes(&(snapshot.links.up as u64).to_le_bytes());
        }
        self.trace_hash
    }

    /// Delivers a message immediately that no member has sent.
    pub fn inject_message(&mut self, from: usize, to: usize, data: Vec<u8>) {
        self.push(self.now, ScheduledEvent::Delivery { from, to, data });
    }

    /// Returns the state machine of a running member.
    pub fn node(&mut self, member: usize) -> &mut Node {
        self.members[member].as_mut().expect("the member is running")
    }

    pub fn snapshot(&mut self, member: usize) -> Snapshot {
        let clock = self.clock(member);
        self.node(member).snapshot(clock)
    }

    pub fn alive(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|member| self.members[*member].is_some()).collect()
    }

    /// Returns the snapshots of all running members.
    pub fn snapshots(&mut self) -> Vec<Snapshot> {
        self.alive().into_iter().map(|member| self.snapshot(member)).collect()
    }

    /// Returns the errors of the members' estimates of the number of reachable members.
    pub fn reachable_error(&mut self, truth: f64) -> RelativeError {
        relative_error(self.snapshots().iter().map(|s| s.reachable_members), truth)
    }

    /// Returns the errors of the members' estimates of the demand of the first tenant.
    pub fn demand_error(&mut self, truth: f64) -> RelativeError {
        relative_error(self.snapshots().iter().map(|s| s.tenants[0].demand_per_s), truth)
    }
}

/// Relative errors of several estimates.
#[derive(Clone, Copy, Debug)]
pub struct RelativeError {
    /// 95th percentile.
    pub p95: f64,
    /// Maximum.
    pub max: f64,
}

pub fn relative_error(estimates: impl Iterator<Item = f64>, truth: f64) -> RelativeError {
    let mut all: Vec<f64> =
        estimates.map(|e| (e - truth).abs() / truth.max(f64::MIN_POSITIVE)).collect();
    all.sort_by(f64::total_cmp);
    let last = all.len().saturating_sub(1);
    RelativeError {
        p95: all.get(last * 19 / 20).copied().unwrap_or(0.0),
        max: all.last().copied().unwrap_or(0.0),
    }
}
