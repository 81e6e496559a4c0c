//! A cluster on a virtual clock: every member is the real state machine, messages take their time and get lost,
//! clocks differ.

#![allow(dead_code, reason = "each user needs a part of it")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use gossip::{Config, Event, Micros, Node, Outgoing, Snapshot, TenantQuotas};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A second.
pub const S: Micros = 1_000_000;
/// The Unix time of all clusters' beginning.
const UNIX_MS: u64 = 1_790_000_000_000;
/// What members' clocks show at the beginning, so that those that are behind are not below zero.
const CLOCK_START: Micros = 60 * S;
/// How often a member without demand is looked at again, in seconds.
const IDLE_POLL_S: f64 = 0.05;
/// The longest time to the next look at a member, in seconds.
const MAX_PAUSE_S: f64 = 1.0;
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// What is due at a time. `generation` is that of the member: what was due at an earlier one is dropped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Round {
        member: usize,
        generation: u64,
    },
    Request {
        member: usize,
        tenant: usize,
        generation: u64,
    },
    /// The demand of a member is looked at again; no request is sent.
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

/// A cluster of members.
pub struct World {
    pub now: Micros,
    pub members: Vec<Option<Node>>,
    /// By member and tenant, requests per second.
    pub demand: Vec<Vec<f64>>,
    /// Messages are delivered within a partition alone.
    pub partition: Vec<u8>,
    /// Members that receive nothing.
    pub deaf: Vec<bool>,
    /// Members whose messages are lost.
    pub mute: Vec<bool>,
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that are duplicated.
    pub duplication: f64,
    /// Requests by tenant.
    pub requests: Vec<u64>,
    /// Requests within leases, by tenant.
    pub admitted: Vec<u64>,
    /// By member, the share of its attempts that fail.
    pub failure_share: Vec<f64>,
    /// By member, the attempts that failed.
    pub failures: Vec<u64>,
    /// By member, the failed attempts that were retried.
    pub retries: Vec<u64>,
    /// By member, the retries that it has saved up.
    saved_retries: Vec<f64>,
    /// Bytes received by all members.
    pub bytes: u64,
    /// By member, how far its clock is ahead, in milliseconds.
    pub clock_ahead_ms: Vec<i64>,
    config: Config,
    generations: Vec<u64>,
    /// The number of each member's next round among all that is queued: earlier ones were rescheduled.
    rounds: Vec<u64>,
    queue: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    next: u64,
    /// A hash of what was sent so far, and when (FNV-1a).
    trace: u64,
    pub rng: Pcg64Mcg,
}

impl World {
    /// This many members, not started and without demand.
    pub fn new(size: u32, quotas: &[f64], round_interval: Micros, seed: u64) -> World {
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
        World {
            now: 0,
            members: (0..n).map(|_| None).collect(),
            demand: vec![vec![0.0; quotas.len()]; n],
            partition: vec![0; n],
            deaf: vec![false; n],
            mute: vec![false; n],
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
            next: 0,
            trace: FNV_BASIS,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// A number drawn evenly from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A member's monotonic clock. It begins anywhere; a step of the wall clock does not set it back.
    pub fn clock(&self, member: usize) -> Micros {
        let start = CLOCK_START as i64;
        let ahead = (self.clock_ahead_ms[member] * 1000).clamp(-start, start);
        (CLOCK_START + self.now).saturating_add_signed(ahead)
    }

    pub fn start(&mut self, member: usize) {
        let started_unix_ms =
            (UNIX_MS + self.now / 1000).saturating_add_signed(self.clock_ahead_ms[member]);
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

    fn push(&mut self, at: Micros, due: Due) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, due)));
    }

    fn schedule_round(&mut self, member: usize) {
        let clock = self.clock(member);
        let deadline = self.members[member].as_ref().map_or(clock, Node::next_deadline);
        self.rounds[member] = self.next + 1;
        let generation = self.generations[member];
        self.push(self.now + deadline.saturating_sub(clock), Due::Round { member, generation });
    }

    fn schedule_request(&mut self, member: usize, tenant: usize) {
        let rate = self.demand[member][tenant];
        let pause = if rate > 0.0 {
            (-self.draw().max(1e-12).ln() / rate).min(MAX_PAUSE_S)
        } else {
            IDLE_POLL_S
        };
        let at = self.now + (pause * S as f64) as Micros;
        let generation = self.generations[member];
        let due = if rate > 0.0 && pause < MAX_PAUSE_S {
            Due::Request { member, tenant, generation }
        } else {
            Due::DemandPoll { member, tenant, generation }
        };
        self.push(at, due);
    }

    /// Runs on until this time.
    pub fn run_until(&mut self, until: Micros) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, number, due))) = self.queue.pop() else { break };
            self.now = at;
            self.handle(number, due);
        }
        self.now = until;
    }

    fn handle(&mut self, number: u64, due: Due) {
        match due {
            Due::Round { member, generation } => {
                if self.generations[member] == generation && self.rounds[member] == number {
                    self.run_round(member);
                }
            }
            Due::Request { member, tenant, generation } => {
                if self.generations[member] == generation {
                    self.request(member, tenant);
                    self.schedule_request(member, tenant);
                }
            }
            Due::DemandPoll { member, tenant, generation } => {
                if self.generations[member] == generation {
                    self.draw_failure(member);
                    self.schedule_request(member, tenant);
                }
            }
            Due::Delivery { from, to, data } => self.deliver(from, to, &data),
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

    /// Whether the next attempt of a member fails.
    fn draw_failure(&mut self, member: usize) -> bool {
        self.failure_share[member] > 0.0 && self.draw() < self.failure_share[member]
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
        // A member that has received its answer may go on.
        self.schedule_round(to);
    }

    fn send(&mut self, from: usize, to: usize, data: Vec<u8>) {
        self.trace(&self.now.to_le_bytes());
        self.trace(&[from as u64, to as u64].map(u64::to_le_bytes).concat());
        self.trace(&data);
        let copies = 1 + usize::from(self.draw() < self.duplication);
        for _ in 0..copies {
            let is_lost = self.draw() < self.loss;
            let is_cut = self.partition[from] != self.partition[to];
            if is_lost || is_cut || self.mute[from] || self.deaf[to] {
                continue;
            }
            // As datagrams of the platform: 1.1 to 39 ms.
            let delay = 1_100 + (self.draw() * 37_900.0) as Micros;
            self.push(self.now + delay, Due::Delivery { from, to, data: data.clone() });
        }
    }

    fn trace(&mut self, data: &[u8]) {
        self.trace =
            data.iter().fold(self.trace, |h, b| (h ^ u64::from(*b)).wrapping_mul(FNV_PRIME));
    }

    /// The hash of all that was sent so far, of when, and of the figures of some snapshots.
    pub fn hash(&mut self, snapshots: &[Snapshot]) -> u64 {
        for snapshot in snapshots {
            for tenant in &snapshot.tenants {
                for figure in [tenant.demand_per_s, tenant.local_demand_per_s, tenant.lease_per_s] {
                    self.trace(&figure.to_bits().to_le_bytes());
                }
                self.trace(&tenant.within_lease.to_le_bytes());
                self.trace(&tenant.beyond_lease.to_le_bytes());
            }
            for figure in [
                snapshot.reachable_members,
                snapshot.attempts_per_s,
                snapshot.retry_budget.per_request,
                snapshot.retry_budget.max_saved,
            ] {
                self.trace(&figure.to_bits().to_le_bytes());
            }
            self.trace(&(snapshot.members.alive as u64).to_le_bytes());
            self.trace(&(snapshot.links.up as u64).to_le_bytes());
        }
        self.trace
    }

    /// Delivers a forged message at once.
    pub fn forge(&mut self, from: usize, to: usize, data: Vec<u8>) {
        self.push(self.now, Due::Delivery { from, to, data });
    }

    /// A member that is there.
    pub fn node(&mut self, member: usize) -> &mut Node {
        self.members[member].as_mut().expect("the member is there")
    }

    pub fn snapshot(&mut self, member: usize) -> Snapshot {
        let clock = self.clock(member);
        self.node(member).snapshot(clock)
    }

    pub fn alive(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|member| self.members[*member].is_some()).collect()
    }

    /// The snapshots of all members that are there.
    pub fn snapshots(&mut self) -> Vec<Snapshot> {
        self.alive().into_iter().map(|member| self.snapshot(member)).collect()
    }

    /// How far all members are from the true number of reachable members.
    pub fn reachable_error(&mut self, truth: f64) -> RelativeError {
        relative_error(self.snapshots().iter().map(|s| s.reachable_members), truth)
    }

    /// How far all members are from the true demand of the first tenant.
    pub fn demand_error(&mut self, truth: f64) -> RelativeError {
        relative_error(self.snapshots().iter().map(|s| s.tenants[0].demand_per_s), truth)
    }
}

/// How far some figures are from the true one, as shares of it.
#[derive(Clone, Copy, Debug)]
pub struct RelativeError {
    /// 19 of 20 are within this.
    pub p95: f64,
    /// All are within this.
    pub max: f64,
}

pub fn relative_error(figures: impl Iterator<Item = f64>, truth: f64) -> RelativeError {
    let mut all: Vec<f64> =
        figures.map(|f| (f - truth).abs() / truth.max(f64::MIN_POSITIVE)).collect();
    all.sort_by(f64::total_cmp);
    let last = all.len().saturating_sub(1);
    RelativeError {
        p95: all.get(last * 19 / 20).copied().unwrap_or(0.0),
        max: all.last().copied().unwrap_or(0.0),
    }
}
