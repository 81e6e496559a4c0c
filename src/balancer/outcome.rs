//! What the end of an attempt tells of its server.

use super::retry::MAX_REJECTED_ATTEMPTS;
use super::*;

/// The weight of an answer time in a server's average: a quiet sidecar gets one in seconds only.
const LATENCY_EWMA_WEIGHT: f64 = 0.3;
/// The weight of an answer time below the low quantile of its class: that is quick to fall.
const BASE_LATENCY_FALL: f64 = 0.5;
/// The same of one above it: that is slow to rise.
const BASE_LATENCY_RISE: f64 = 0.02;
/// The answer time, in latency objectives, that is assumed of what has not come by its objective.
const OVERDUE_OBJECTIVES: f64 = 1.5;

impl Balancer {
    pub(super) fn record_result(&mut self, result: &AttemptEnd) {
        let &AttemptEnd { server, outcome, .. } = result;
        let Some(request) = self.requests.get(&result.id) else { return };
        let &Request { class, relative_work, .. } = request;
        let attempts = request.attempts.len();
        let is_open = |a: &&Attempt| a.state == AttemptState::InFlight && a.server == server;
        let Some(attempt) = request.attempts.get(result.attempt).filter(is_open) else { return };
        let (slot, sent_at) = (attempt.slot, attempt.sent_at);
        let pause = self.reset_interval as f64 * (0.75 + 0.5 * self.uniform());
        if !self.record_end(slot, server, outcome, sent_at) {
            return;
        }
        if outcome == Outcome::Success || outcome == Outcome::ErrorResponse {
            self.record_report(slot, &result.report);
        }
        self.record_fault_rate(slot, outcome);
        match outcome {
            Outcome::Success => {
                let server = &mut self.servers[slot];
                (server.consecutive_failures, server.ejected_until) = (0, 0);
                self.record_latency(slot, class, result.latency as f64 / relative_work);
            }
            Outcome::Rejected => {
                self.wipe_chips(slot);
                // Where queues are short, servers reject long before answers are late. A rejection tells of the fleet
                // only when the request found no place at all.
                if attempts >= MAX_REJECTED_ATTEMPTS {
                    self.record_lateness(slot, class, self.objective(class));
                }
            }
            _ => self.on_failure(slot, outcome, sent_at, pause),
        }
    }

    /// Takes an attempt off the server's count. Returns whether its outcome tells of the server.
    fn record_end(&mut self, slot: Slot, id: ServerId, outcome: Outcome, sent_at: Micros) -> bool {
        let server = &mut self.servers[slot];
        server.in_flight = server.in_flight.saturating_sub(1);
        // A cancelled attempt leaves no answer; a server with nothing in flight is not silent.
        server.silent_since = server.silent_since.filter(|_| server.in_flight > 0);
        if server.id != id || matches!(outcome, Outcome::NotSent | Outcome::Cancelled) {
            return false;
        }
        if matches!(outcome, Outcome::Success | Outcome::ErrorResponse | Outcome::Rejected) {
            server.silent_since = (server.in_flight > 0).then_some(self.now);
            server.last_response = Some(self.now);
            server.last_answered_send = server.last_answered_send.max(sent_at);
        }
        true
    }

    /// Takes an answer time in microseconds, for usual work of its class.
    fn record_latency(&mut self, slot: Slot, class: usize, latency: f64) {
        let statistics = &mut self.classes[class];
        if !std::mem::replace(&mut statistics.has_samples, true) {
            (statistics.base_latency, statistics.mean_latency) = (latency, latency);
        }
        let base = &mut statistics.base_latency;
        let step = if latency < *base { BASE_LATENCY_FALL } else { BASE_LATENCY_RISE };
        ewma(base, step, latency.min(2.0 * *base));
        let mean = &mut statistics.mean_latency;
        let relative = (latency / mean.max(1.0)).min(MAX_RELATIVE_LATENCY);
        ewma(mean, EWMA_WEIGHT, latency.min(MAX_RELATIVE_LATENCY * *mean));
        let server = &mut self.servers[slot];
        ewma(&mut server.relative_latency, LATENCY_EWMA_WEIGHT, relative);
        let reported = server.load;
        let load = relative * (1.0 + reported / server.weight);
        self.update_spillover(slot, load);
        if latency < self.objective(class) {
            // One heavy request looks like a long queue: the answer time to be expected by the report counts as much.
            let mut expected = latency;
            if self.in_flight_column.is_some() {
                let in_flight = 1.0 + reported;
                ewma(&mut self.mean_latency, EWMA_WEIGHT, latency);
                ewma(&mut self.mean_in_flight, EWMA_WEIGHT, in_flight);
                expected = in_flight * self.mean_latency / self.mean_in_flight;
            }
            self.record_lateness(slot, class, 0.5 * (latency + expected));
        }
    }

    /// With few requests of its own, a sidecar that waits for late answers would learn of an overload when it is over:
    /// not having come by the objective counts.
    pub(super) fn on_objective_passed(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.ended) else { return };
        let class = request.class;
        let objective = self.settings.classes[class].latency_objective;
        // A retry that went out just now is not late because the first attempt failed; and where the server has
        // answered what was sent later, this one is lost or heavy. Taken for an overload, broken connections would
        // shed traffic.
        let overdue = |a: &&Attempt| {
            let due = a.state == AttemptState::InFlight && self.now - a.sent_at >= objective;
            due && self.servers[a.slot].last_answered_send <= a.sent_at
        };
        let overdue = request.attempts.iter().filter(overdue).map(|a| a.slot);
        for slot in overdue.collect::<SmallVec<[Slot; 2]>>() {
            let relative_latency = &mut self.servers[slot].relative_latency;
            ewma(relative_latency, LATENCY_EWMA_WEIGHT, MAX_RELATIVE_LATENCY);
            self.record_lateness(slot, class, OVERDUE_OBJECTIVES * objective as f64);
        }
    }
}
