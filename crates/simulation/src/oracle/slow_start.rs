//! Checks the rule `cold`: a server in slow start gets no more work than its capacity allows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::limits::SlowStartLimits;
use super::report::Breach;
use super::rule::Rule;
use crate::model::slow_start_speed;

/// The time after a server's start from which on every sidecar counts as informed of it.
const INFORMED_AFTER: Duration = Duration::from_secs(8);
/// The factor by which random variation may exceed the budget of a server in slow start.
const VARIATION_FACTOR: f64 = 1.1;
/// The work by which random variation may exceed the budget of a server in slow start, in addition to the factor.
const VARIATION_WORK: Duration = Duration::from_millis(100);

/// Work that was sent to a server.
#[derive(Debug)]
struct SentWork {
    at: Duration,
    work: Duration,
    /// Whether the sidecar that sent it was informed of the server's start.
    informed: bool,
}

/// A server that has started during the run.
#[derive(Debug)]
struct StartedServer {
    started_at: Duration,
    /// The sidecars that were informed that the server may be used.
    informed: BTreeSet<usize>,
    /// The work that was sent within the window.
    recent: VecDeque<SentWork>,
}

/// The work that was sent to a server in slow start within the window.
#[derive(Debug)]
pub(super) struct SlowStartLoad {
    server: usize,
    age: Duration,
    total: Duration,
    /// The part of the total that was sent by sidecars that were informed of the server's start.
    informed: Duration,
    budget: Duration,
}

impl SlowStartLoad {
    /// Returns the label under which the load is counted.
    pub(super) fn label(&self) -> &'static str {
        match self.total.as_secs_f64() / self.budget.as_secs_f64() {
            0.0..0.25 => "slow start: under a quarter of the budget",
            0.25..0.5 => "slow start: under half of the budget",
            _ => "slow start: over half of the budget",
        }
    }

    /// Returns a breach if the work exceeds the budget and at least two thirds of it come from informed sidecars.
    pub(super) fn check(&self) -> Option<Breach> {
        let SlowStartLoad { server, age, total, informed, budget } = self;
        let too_much = total > budget && 3 * *informed >= 2 * *total;
        too_much.then(|| {
            let message =
                format!("server {server} got {total:?} of work {age:?} after its start, at most {budget:?} allowed");
            Breach::new(Rule::Cold, message)
        })
    }
}

/// The servers that have started during the run.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    servers: BTreeMap<usize, StartedServer>,
}

impl SlowStart {
    pub(super) fn server_started(&mut self, now: Duration, server: usize) {
        let recent = VecDeque::new();
        let state = StartedServer { started_at: now, informed: BTreeSet::new(), recent };
        self.servers.insert(server, state);
    }

    /// Records that a sidecar was informed that a server may be used.
    pub(super) fn inform(&mut self, sidecar: usize, server: usize) {
        if let Some(state) = self.servers.get_mut(&server) {
            state.informed.insert(sidecar);
        }
    }

    /// Records that a sidecar has started: it was informed of nothing yet.
    pub(super) fn forget_sidecar(&mut self, sidecar: usize) {
        for state in self.servers.values_mut() {
            state.informed.remove(&sidecar);
        }
    }

    /// Adds work that a sidecar has sent to a server. Returns the server's load; `None` if it has not started during
    /// the run.
    pub(super) fn record(
        &mut self,
        now: Duration,
        sidecar: usize,
        server: usize,
        work: Duration,
        limits: &SlowStartLimits,
    ) -> Option<SlowStartLoad> {
        let state = self.servers.get_mut(&server)?;
        let age = now.saturating_sub(state.started_at);
        let informed = state.informed.contains(&sidecar) || age > INFORMED_AFTER;
        state.recent.push_back(SentWork { at: now, work, informed });
        while state.recent.front().is_some_and(|sent| now - sent.at > limits.window) {
            state.recent.pop_front();
        }
        let capacity = limits.window.mul_f64(limits.concurrency as f64 * slow_start_speed(age));
        Some(SlowStartLoad {
            server,
            age,
            total: state.recent.iter().map(|sent| sent.work).sum(),
            informed: state.recent.iter().filter(|sent| sent.informed).map(|s| s.work).sum(),
            budget: capacity.mul_f64(limits.multiple * VARIATION_FACTOR) + VARIATION_WORK,
        })
    }
}
