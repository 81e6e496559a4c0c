//! What the balancer remembers of servers, requests and classes.

use super::*;

/// The position of a server in `Balancer::servers`.
pub(super) type Slot = usize;

#[derive(Debug, Default)]
pub(super) struct Server {
    pub(super) id: ServerId,
    pub(super) zone: u8,
    pub(super) cell: u16,
    pub(super) health: Health,
    pub(super) weight: f64,
    /// Its start as discovery tells it, on another clock: it only tells one process from the next.
    pub(super) started_at: Micros,
    /// Since when it warms up, on the balancer's clock; None if it started long ago.
    pub(super) warming_since: Option<Micros>,
    pub(super) chips: u32,
    pub(super) in_flight: u32,
    /// The paper's RcvTime: the last response, or the last attempt without a chip; None before the first response.
    pub(super) last_response: Option<Micros>,
    pub(super) last_answered_send: Micros,
    /// When the first attempt since the last response was sent.
    pub(super) silent_since: Option<Micros>,
    pub(super) consecutive_failures: u32,
    pub(super) ejected_until: Micros,
    pub(super) load: f64,
    pub(super) load_reported_at: Micros,
    /// Moving average of answer times here, each over the mean of its class.
    pub(super) relative_latency: f64,
    pub(super) fault_rate: f64,
    /// Of a server in a remote zone: the load that answers show, and its weight once there were any.
    pub(super) remote_load: f64,
    pub(super) spillover_updated_at: Micros,
    pub(super) spillover_weight: Option<f64>,
    pub(super) capacity: chips::CapacityEstimate,
}

impl Server {
    pub(super) fn new(entry: &ServerEntry, warming_since: Option<Micros>) -> Server {
        Server {
            id: entry.id,
            started_at: entry.started_at,
            warming_since,
            relative_latency: 1.0,
            remote_load: 1.0,
            ..Server::default()
        }
    }
}

/// Servers with the running sums of their draw weights.
#[derive(Debug, Default)]
pub(super) struct WeightedSlots {
    pub(super) slots: Vec<Slot>,
    pub(super) sums: Vec<f64>,
}

impl WeightedSlots {
    /// The server at a position from 0 up to 1 of the sum of weights.
    pub(super) fn at(&self, position: f64) -> Slot {
        let target = position * self.sums.last().copied().unwrap_or(0.0);
        let index = self.sums.partition_point(|&sum| sum <= target);
        self.slots[index.min(self.slots.len() - 1)]
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) slot: Slot,
    pub(super) server: ServerId,
    pub(super) zone: u8,
    pub(super) cell: u16,
    pub(super) sent_at: Micros,
    pub(super) state: AttemptState,
}

#[derive(Debug, Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) affinity_key: u64,
    /// The announced work, beside the usual announcement of its class.
    pub(super) relative_work: f64,
    pub(super) over_quota: bool,
    pub(super) deadline: Micros,
    pub(super) ended: bool,
    /// A stream has begun: there is no deadline any more, and nothing else may be sent.
    pub(super) streaming: bool,
    pub(super) attempts: SmallVec<[Attempt; 2]>,
}

impl Request {
    pub(super) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.state == AttemptState::InFlight).count()
    }

    pub(super) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.state == AttemptState::NeverRan)
    }
}

/// What is learned of a class, in microseconds; the base latency is a low quantile: what it is when nothing waits.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassStatistics {
    pub(super) base_latency: f64,
    pub(super) mean_latency: f64,
    pub(super) has_samples: bool,
    pub(super) mean_work_hint: f64,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Timer {
    Objective(RequestId),
    Deadline(RequestId),
    Subscribe,
}
