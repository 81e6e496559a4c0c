//! Updates the statistics of a server from the outcomes of its attempts.

use super::retry::MAX_REJECTED_ATTEMPTS;
use super::*;

/// Weight of a sample in a server's average latency. Large, as a sidecar with little traffic gets one sample per
/// server in several seconds.
const LATENCY_EWMA_WEIGHT: f64 = 0.3;
/// Weight of a latency below the base latency of its class, which falls quickly.
const BASE_LATENCY_FALL: f64 = 0.5;
/// Weight of a latency above the base latency of its class, which rises slowly.
const BASE_LATENCY_RISE: f64 = 0.02;
/// Latency assumed for an attempt without a response at its latency objective, as a multiple of the objective.
const OVERDUE_OBJECTIVES: f64 = 1.5;

impl Balancer {
    /// Records the end of an attempt in the statistics of its server and class.
    pub(super) fn record_result(&mut self, result: &AttemptEnd) {
        let &AttemptEnd { server, .. } = result;
        let Some(request) = self.requests.get(&result.id) else { return };
        let &Request { class, relative_work, .. } = request;
        let attempts = request.attempts.len();
        let is_open = |a: &&Attempt| a.state == AttemptState::InFlight && a.server == server;
        let Some(attempt) = request.attempts.get(result.attempt).filter(is_open) else { return };
        let &Attempt { slot, sent_at, is_excused, is_paused, .. } = attempt;
        // A response that still pauses when another attempt has answered the request has failed.
        let outcome = match result.outcome {
            Outcome::Cancelled if is_paused => Outcome::ConnectionReset,
            outcome => outcome,
        };
        let base_ejection_time = self.reset_interval as f64 * (0.75 + 0.5 * self.uniform());
        let excused_in_flight = &mut self.servers[slot].excused_in_flight;
        *excused_in_flight = excused_in_flight.saturating_sub(is_excused.into());
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
                self.clear_chips(slot);
                // Servers with short queues reject requests long before their responses are late. A rejection shows an
                // overload of the fleet only if the request was rejected by all servers that it was sent to.
                if attempts >= MAX_REJECTED_ATTEMPTS {
                    self.record_lateness(slot, class, self.objective(class));
                }
            }
            _ => self.on_failure(slot, outcome, sent_at, base_ejection_time),
        }
    }

    /// Removes an attempt from those in flight. Returns whether its outcome says anything about the server.
    fn record_end(&mut self, slot: Slot, id: ServerId, outcome: Outcome, sent_at: Micros) -> bool {
        let server = &mut self.servers[slot];
        server.in_flight = server.in_flight.saturating_sub(1);
        // A server that owes nothing is not silent: a cancelled attempt gets no response.
        server.silent_since = server.silent_since.filter(|_| server.owes_response());
        if server.id != id || matches!(outcome, Outcome::NotSent | Outcome::Cancelled) {
            return false;
        }
        if matches!(outcome, Outcome::Success | Outcome::ErrorResponse | Outcome::Rejected) {
            server.silent_since = server.owes_response().then_some(self.now);
            server.last_response = Some(self.now);
            server.last_answered_sent_at = server.last_answered_sent_at.max(sent_at);
        }
        true
    }

    /// Records a latency in microseconds, divided by the relative work of its request.
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
            // An expensive request looks like a long queue, so the latency expected from the reported load counts for
            // half.
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

    /// Stops the time of the server of an attempt, which waits for its client or for the sidecar.
    pub(super) fn excuse_server(&mut self, id: RequestId, attempt: usize) {
        let Some(attempt) = self.attempt_in_flight(id, attempt).filter(|a| !a.is_excused) else {
            return;
        };
        attempt.is_excused = true;
        let slot = attempt.slot;
        let server = &mut self.servers[slot];
        server.excused_in_flight += 1;
        server.silent_since = server.silent_since.filter(|_| server.owes_response());
    }

    /// Counts the attempt of an upload as late, and its response as owed since its server's time began.
    pub(super) fn on_upload_overdue(&mut self, id: RequestId, attempt: usize) {
        let Some(class) = self.requests.get(&id).map(|request| request.class) else { return };
        let owed_since = self.now.saturating_sub(self.latency_objective(class));
        let Some(attempt) = self.attempt_in_flight(id, attempt).filter(|a| a.is_excused) else {
            return;
        };
        attempt.is_excused = false;
        let slot = attempt.slot;
        let server = &mut self.servers[slot];
        server.excused_in_flight = server.excused_in_flight.saturating_sub(1);
        server.silent_since.get_or_insert(owed_since);
        self.record_overdue(id, 0);
    }

    pub(super) fn attempt_in_flight(
        &mut self,
        id: RequestId,
        attempt: usize,
    ) -> Option<&mut Attempt> {
        let attempt = self.requests.get_mut(&id)?.attempts.get_mut(attempt)?;
        (attempt.state == AttemptState::InFlight).then_some(attempt)
    }

    /// Counts attempts without a response at the latency objective of their request as late. A sidecar with few
    /// requests that waited for the late responses would detect an overload only when it is over.
    pub(super) fn on_objective_passed(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let objective = self.latency_objective(request.class);
        self.record_overdue(id, objective);
    }

    /// Counts attempts of a request that have been in flight without a response for `min_age` or longer as late.
    pub(super) fn record_overdue(&mut self, id: RequestId, min_age: Micros) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.ended) else { return };
        let class = request.class;
        let objective = self.objective(class);
        // A retry that was sent recently is not late because the first attempt failed. If the server has answered an
        // attempt that was sent later, this one was lost or is expensive. Counting these as late would shed load
        // because of broken connections.
        let is_overdue = |a: &&Attempt| {
            let due = a.state == AttemptState::InFlight && self.now - a.sent_at >= min_age;
            due && !a.is_excused && self.servers[a.slot].last_answered_sent_at <= a.sent_at
        };
        let overdue = request.attempts.iter().filter(is_overdue).map(|a| a.slot);
        for slot in overdue.collect::<SmallVec<[Slot; 2]>>() {
            let relative_latency = &mut self.servers[slot].relative_latency;
            ewma(relative_latency, LATENCY_EWMA_WEIGHT, MAX_RELATIVE_LATENCY);
            self.record_lateness(slot, class, OVERDUE_OBJECTIVES * objective);
        }
    }
}
