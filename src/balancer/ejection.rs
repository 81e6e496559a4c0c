//! Outlier ejection: servers that fail several times in a row, do not respond, or fail more often than others.

use super::*;

/// Number of consecutive failures, some of which count twice, that ejects a server. Occasionally responses get lost and
/// connections break at every server: ejecting on a single failure would make the whole fleet unavailable in turn.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Maximum number of times that failed trials double the ejection time.
const MAX_DOUBLINGS: u32 = 5;
/// Weight of one attempt in the fault rate of a server, which thus averages over a dozen attempts or more.
const FAULT_EWMA_WEIGHT: f64 = 0.07;
/// Excess of a fault rate over the baseline that is attributed to chance.
const FAULT_RATE_TOLERANCE: f64 = 0.06;
/// Probability of passing over a server per unit of excess fault rate, for requests that a fault may end.
const NON_IDEMPOTENT_AVOIDANCE: f64 = 8.0;
/// Probability of passing over a server per unit of excess fault rate, for requests that may be retried.
const IDEMPOTENT_AVOIDANCE: f64 = 2.0;

impl Balancer {
    /// Returns whether a server may get no attempts: it is ejected, or a trial is in flight.
    pub(super) fn is_server_ejected(&self, server: &Server) -> bool {
        let on_trial = server.consecutive_failures >= CONSECUTIVE_FAILURES && server.in_flight > 0;
        self.now < server.ejected_until || on_trial
    }

    /// Returns whether the panic threshold is reached: with half or more of the ready servers ejected, ejection is
    /// ignored. Otherwise network failures would eject server after server and overload the last ones. Known weakness:
    /// if half of the servers are really dead, attempts go to them. Those that reach no server are retried at no cost
    /// to the retry budget.
    pub(super) fn in_panic(&self) -> bool {
        let ready = &self.ready.slots;
        let ejected =
            ready.iter().filter(|&&slot| self.is_server_ejected(&self.servers[slot])).count();
        2 * ejected >= ready.len()
    }

    /// Returns whether a server is neither silent for longer than the longest latency objective nor ejected. With
    /// `panic`, ejection is ignored.
    pub(super) fn is_available(&self, server: &Server, panic: bool) -> bool {
        let timeout = self.longest_objective as Micros;
        let silent = server.silent_since.is_some_and(|since| self.now - since > timeout);
        !silent && (panic || !self.is_server_ejected(server))
    }

    /// Returns the probability of passing over a server because its fault rate is above the baseline.
    ///
    /// A server that quickly fails a part of its requests has few in flight and so attracts ever more, and its
    /// successful responses in between prevent its ejection. Requests that a fault may end avoid it the most. Faults
    /// are error responses, corrupt responses and broken connections, but not time-outs, which load causes as well.
    /// Network faults that hit all servers raise the baseline and so have no effect. Known weakness: the other
    /// servers may have no capacity left.
    pub(super) fn fault_avoidance(&self, request: &Request, server: &Server) -> f64 {
        let per_point = match self.settings.classes[request.class].retry_safety {
            RetrySafety::Idempotent => IDEMPOTENT_AVOIDANCE,
            RetrySafety::IdempotencyKey | RetrySafety::NonIdempotent => NON_IDEMPOTENT_AVOIDANCE,
        };
        let excess = server.fault_rate - self.baseline_fault_rate - FAULT_RATE_TOLERANCE;
        (per_point * excess).clamp(0.0, 1.0 - MIN_ADMITTED_SHARE)
    }

    /// Updates the fault rate of a server by the outcome of an attempt. For the spillover, a fault counts as a response
    /// of the maximum relative latency.
    pub(super) fn record_fault_rate(&mut self, slot: Slot, outcome: Outcome) {
        let server = &mut self.servers[slot];
        match outcome {
            Outcome::Success => ewma(&mut server.fault_rate, FAULT_EWMA_WEIGHT, 0.0),
            Outcome::ErrorResponse | Outcome::ConnectionReset => {
                ewma(&mut server.fault_rate, FAULT_EWMA_WEIGHT, 1.0);
                let load = MAX_RELATIVE_LATENCY * (1.0 + server.load / server.weight);
                self.update_spillover(slot, load);
            }
            _ => {}
        }
    }

    /// Counts a consecutive failure, and ejects the server if there are enough. The ejection lasts a quarter of
    /// `base_ejection_time`, in microseconds, and twice as long for each failure beyond [`CONSECUTIVE_FAILURES`], such
    /// as a failed trial. A failed connection attempt counts twice, and a time-out without any response in the meantime
    /// ejects the server at once.
    pub(super) fn on_failure(
        &mut self,
        slot: Slot,
        outcome: Outcome,
        sent_at: Micros,
        base_ejection_time: f64,
    ) {
        let server = &mut self.servers[slot];
        // An attempt sent before the end of the ejection time is not a trial. If it counted as one, many failures at
        // the same time, or while ejection is ignored, would keep a server ejected long after its recovery.
        if server.consecutive_failures >= CONSECUTIVE_FAILURES && sent_at < server.ejected_until {
            return;
        }
        // A later response shows that the server is alive and only this attempt got none.
        let is_silent = server.last_response.is_none_or(|at| at < sent_at);
        let next = server.consecutive_failures.saturating_add(1);
        server.consecutive_failures = match outcome {
            Outcome::TimedOut if is_silent => CONSECUTIVE_FAILURES.max(next),
            Outcome::ConnectFailed if next <= CONSECUTIVE_FAILURES => next + 1,
            _ => next,
        };
        if let Some(doublings) = server.consecutive_failures.checked_sub(CONSECUTIVE_FAILURES) {
            let factor = f64::from(1u32 << doublings.min(MAX_DOUBLINGS));
            server.ejected_until = self.now + (base_ejection_time * 0.25 * factor) as Micros;
        }
    }
}
