//! Outlier ejection: servers whose attempts fail in a row, say nothing, or fail oftener than others.

use super::*;

/// Failures in a row, by weight, that eject a server. Answers get lost and connections break everywhere now and then:
/// ejected for a single failure, the whole fleet would stand idle in turn.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Failures beyond these after which trials get no rarer (each one doubles the pause).
const MAX_DOUBLINGS: u32 = 5;
/// The weight of an attempt in the fault rate of a server: some dozen of them tell.
const FAULT_EWMA_WEIGHT: f64 = 0.07;
/// How far above the baseline a fault rate may be by chance.
const FAULT_RATE_TOLERANCE: f64 = 0.06;
/// How often a server is passed over for each point beyond, by requests that a fault may end.
const NON_IDEMPOTENT_AVOIDANCE: f64 = 8.0;
/// The same by requests that may be repeated.
const IDEMPOTENT_AVOIDANCE: f64 = 2.0;

impl Balancer {
    pub(super) fn ejected(&self, server: &Server) -> bool {
        let on_trial = server.consecutive_failures >= CONSECUTIVE_FAILURES && server.in_flight > 0;
        self.now < server.ejected_until || on_trial
    }

    /// The panic threshold: with half of the servers ejected, ejection is ignored. Failures of the network eject server
    /// after server until the last ones drown. Harmful when half are dead: what reached no server is retried freely.
    pub(super) fn in_panic(&self) -> bool {
        let ready = &self.ready.slots;
        let ejected = ready.iter().filter(|&&slot| self.ejected(&self.servers[slot])).count();
        2 * ejected >= ready.len()
    }

    pub(super) fn is_available(&self, server: &Server, panic: bool) -> bool {
        let timeout = self.longest_objective as Micros;
        let silent = server.silent_since.is_some_and(|since| self.now - since > timeout);
        !silent && (panic || !self.ejected(server))
    }

    /// How often to pass a server over because more fails there than elsewhere. One that fails a part of its requests
    /// at once has few in flight and draws ever more, and its good answers between prevent its ejection. What a fault
    /// may end goes elsewhere first. Faults are errors, corrupt answers and broken connections, not time-outs, which
    /// come of load as well; those that the network spreads change nothing. Harmful where the others have no capacity
    /// left.
    pub(super) fn fault_avoidance(&self, request: &Request, server: &Server) -> f64 {
        let per_point = match self.settings.classes[request.class].retry_safety {
            RetrySafety::Idempotent => IDEMPOTENT_AVOIDANCE,
            RetrySafety::IdempotencyKey | RetrySafety::NonIdempotent => NON_IDEMPOTENT_AVOIDANCE,
        };
        let excess = server.fault_rate - self.baseline_fault_rate - FAULT_RATE_TOLERANCE;
        (per_point * excess).clamp(0.0, 1.0 - MIN_ADMITTED_SHARE)
    }

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

    /// Counts a failure in a row. Once a server is ejected, each failed trial doubles the pause until the next. An
    /// unreachable server counts twice, and a silent one is ejected at once.
    pub(super) fn on_failure(&mut self, slot: Slot, outcome: Outcome, sent_at: Micros, pause: f64) {
        let server = &mut self.servers[slot];
        // What was sent before the pause was over is no trial. Counted as one, a burst of failures at once, or while
        // ejection is ignored, would keep out a server that has recovered long since.
        if server.consecutive_failures >= CONSECUTIVE_FAILURES && sent_at < server.ejected_until {
            return;
        }
        // Others may have been answered while this one was not.
        let unheard = server.last_response.is_none_or(|at| at < sent_at);
        let next = server.consecutive_failures.saturating_add(1);
        server.consecutive_failures = match outcome {
            Outcome::TimedOut if unheard => CONSECUTIVE_FAILURES.max(next),
            Outcome::ConnectFailed if next <= CONSECUTIVE_FAILURES => next + 1,
            _ => next,
        };
        if let Some(more) = server.consecutive_failures.checked_sub(CONSECUTIVE_FAILURES) {
            let doubled = f64::from(1u32 << more.min(MAX_DOUBLINGS));
            server.ejected_until = self.now + (pause * 0.25 * doubled) as Micros;
        }
    }
}
