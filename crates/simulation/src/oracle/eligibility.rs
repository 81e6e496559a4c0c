//! Tracks which servers a sidecar may send new requests to, according to what it was notified of.

use std::time::Duration;

use rustc_hash::FxHashMap;

/// Every sidecar has polled its agent within this time after the agent becomes available.
const AGENT_POLLED_AFTER: Duration = Duration::from_millis(300);

/// A sidecar and a server, by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Pair {
    pub(super) sidecar: usize,
    pub(super) server: usize,
}

/// The times since which sidecars must not send new requests to servers, by source.
#[derive(Debug, Default)]
pub(super) struct Eligibility {
    /// Discovery has written to the sidecar that the server is not active.
    by_discovery: FxHashMap<Pair, Duration>,
    /// The sidecar's agent knows that the server is not active, which counts as a notification of the sidecar.
    by_agent: FxHashMap<Pair, Duration>,
    /// Operators of the sidecar have disabled the server.
    by_operators: FxHashMap<Pair, Duration>,
}

impl Eligibility {
    /// Returns the time since which the sidecar must not send to the server; `None` if it may.
    pub(super) fn blocked_since(&self, pair: Pair) -> Option<Duration> {
        let sources = [&self.by_discovery, &self.by_agent, &self.by_operators];
        sources.into_iter().filter_map(|blocked| blocked.get(&pair).copied()).min()
    }

    /// Records that discovery has written to the sidecar that the server is not active.
    pub(super) fn block_by_discovery(&mut self, now: Duration, pair: Pair) {
        self.by_discovery.entry(pair).or_insert(now);
    }

    /// Records that the sidecar's agent knows that the server is not active.
    pub(super) fn block_by_agent(&mut self, now: Duration, pair: Pair) {
        self.by_agent.entry(pair).or_insert(now);
    }

    /// Records that the sidecar was notified that the server is active.
    pub(super) fn unblock(&mut self, pair: Pair) {
        self.by_discovery.remove(&pair);
        self.by_agent.remove(&pair);
    }

    /// Records that operators have disabled the server, or are about to enable it.
    pub(super) fn set_disabled(&mut self, now: Duration, pair: Pair, disabled: bool) {
        if disabled {
            self.by_operators.entry(pair).or_insert(now);
        } else {
            self.by_operators.remove(&pair);
        }
    }

    /// Records that the agents are no longer available. Sidecars need not have seen a change that reached the agents
    /// less than [`AGENT_POLLED_AFTER`] before.
    pub(super) fn agents_unavailable(&mut self, now: Duration) {
        self.by_agent.retain(|_, since| now.saturating_sub(*since) >= AGENT_POLLED_AFTER);
    }

    /// Drops everything about a sidecar that has started: it was notified of nothing yet.
    pub(super) fn forget_sidecar(&mut self, sidecar: usize) {
        for blocked in [&mut self.by_discovery, &mut self.by_agent, &mut self.by_operators] {
            blocked.retain(|pair, _| pair.sidecar != sidecar);
        }
    }

    /// Drops the operators' orders for a server that was replaced: they applied to its predecessor.
    pub(super) fn forget_disabled_server(&mut self, server: usize) {
        self.by_operators.retain(|pair, _| pair.server != server);
    }
}
