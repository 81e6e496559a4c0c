//! State of the balancer: servers, requests, classes and timers.

use super::*;

/// Index of a server in `Balancer::servers`.
pub(super) type Slot = usize;

#[derive(Debug, Default)]
pub(super) struct Server {
    pub(super) id: ServerId,
    pub(super) zone: u8,
    pub(super) cell: u16,
    pub(super) health: Health,
    pub(super) weight: f64,
    /// Start time of the server's process according to discovery. It is on another clock and serves only to detect
    /// restarts.
    pub(super) started_at: Micros,
    /// Estimated start of the warm-up on the balancer's clock; `None` if the server started long ago.
    pub(super) warming_since: Option<Micros>,
    pub(super) chips: u32,
    /// Attempts in flight from this sidecar.
    pub(super) in_flight: u32,
    /// Time of the last response, or of a later attempt without a chip (the paper's RcvTime); `None` before the first
    /// response.
    pub(super) last_response: Option<Micros>,
    /// Send time of the latest sent attempt that got a response.
    pub(super) last_answered_sent_at: Micros,
    /// Number of attempts in flight that wait for their clients or for the sidecar.
    pub(super) excused_in_flight: u32,
    /// Since when attempts have been in flight without any response; `None` if the server owes none.
    pub(super) silent_since: Option<Micros>,
    pub(super) consecutive_failures: u32,
    pub(super) ejected_until: Micros,
    /// Load of the last report, in requests.
    pub(super) load: f64,
    pub(super) load_reported_at: Micros,
    /// Moving average of the latencies at this server, each divided by the mean of its class.
    pub(super) relative_latency: f64,
    /// Moving average of the share of attempts that ended with a fault.
    pub(super) fault_rate: f64,
    /// Moving average of the load estimated from responses, for a server in a remote zone.
    pub(super) remote_load: f64,
    pub(super) spillover_updated_at: Micros,
    /// Locality weight of a server in a remote zone; `None` before its first response.
    pub(super) spillover_weight: Option<f64>,
    pub(super) capacity: chips::CapacityEstimate,
}

impl Server {
    /// Returns whether the server owes a response: an attempt is in flight that waits for nothing else.
    pub(super) fn owes_response(&self) -> bool {
        self.in_flight > self.excused_in_flight
    }

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

/// Servers with the cumulative sums of their selection weights.
#[derive(Debug, Default)]
pub(super) struct WeightedSlots {
    pub(super) slots: Vec<Slot>,
    pub(super) sums: Vec<f64>,
}

impl WeightedSlots {
    /// Returns the server at a position, in the range [0, 1), of the cumulative weight.
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
    /// The body is passed on as its client sends it, or the response waits for memory of the sidecar, so the time since
    /// the attempt began is not the server's alone.
    pub(super) is_excused: bool,
    /// Its response has begun and can be passed on.
    pub(super) has_begun: bool,
    /// Its response has begun and pauses.
    pub(super) is_paused: bool,
}

#[derive(Debug, Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) affinity_key: u64,
    /// Factor of the expected latency, from the work hint relative to the mean hint of its class; 1 without a hint.
    pub(super) relative_work: f64,
    pub(super) over_quota: bool,
    pub(super) deadline: Micros,
    /// The request has its final answer, or its client has disconnected.
    pub(super) ended: bool,
    /// A streamed response has begun: the deadline no longer applies, and no further attempt may be made.
    pub(super) streaming: bool,
    pub(super) attempts: SmallVec<[Attempt; 2]>,
}

impl Request {
    /// Returns the number of attempts in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.state == AttemptState::InFlight).count()
    }

    /// Returns whether an attempt is in flight whose response does not pause.
    pub(super) fn has_active_attempt(&self) -> bool {
        self.attempts.iter().any(|a| a.state == AttemptState::InFlight && !a.is_paused)
    }

    /// Returns the attempt whose response is passed on when the client's time is over: of those that have begun, one that
    /// does not pause.
    pub(super) fn deliverable(&self) -> Option<usize> {
        let has_begun = |a: &Attempt| a.state == AttemptState::InFlight && a.has_begun;
        let begun = self.attempts.iter().enumerate().filter(|(_, a)| has_begun(a));
        begun.min_by_key(|(_, a)| a.is_paused).map(|(index, _)| index)
    }

    /// Returns whether all attempts have ended with proof that they never ran.
    pub(super) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.state == AttemptState::NeverRan)
    }
}

/// Learned statistics of a class, in microseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassStatistics {
    /// A low quantile of the latency, which approximates the latency without queueing.
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
