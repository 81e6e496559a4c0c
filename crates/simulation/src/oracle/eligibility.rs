//! Which servers a sidecar may send new requests to, by what it was notified of.

use std::time::Duration;

use rustc_hash::FxHashMap;

/// An agent that has been available for this long was polled by every sidecar.
const AGENT_POLLED_AFTER: Duration = Duration::from_millis(300);

/// A sidecar and a server, by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Pair {
    pub(super) sidecar: usize,
    pub(super) server: usize,
}

/// Since when a sidecar must not send new requests to a server, by source.
#[derive(Debug, Default)]
pub(super) struct Eligibility {
    /// Discovery has written it to the sidecar.
    by_discovery: FxHashMap<Pair, Duration>,
    /// The sidecar's own agent has it, which counts as notified.
    by_agent: FxHashMap<Pair, Duration>,
    /// Operators of the sidecar have disabled the server.
    by_operators: FxHashMap<Pair, Duration>,
}

impl Eligibility {
    /// Since when the sidecar must not send to the server; none if it may.
    pub(super) fn blocked_since(&self, pair: Pair) -> Option<Duration> {
        let sources = [&self.by_discovery, &self.by_agent, &self.by_operators];
        sources.into_iter().filter_map(|blocked| blocked.get(&pair).copied()).min()
    }

    /// Discovery has written to the sidecar that the server is not to be used.
    pub(super) fn block_by_discovery(&mut self, now: Duration, pair: Pair) {
        self.by_discovery.entry(pair).or_insert(now);
    }

    /// The sidecar's agent has it that the server is not to be used.
    pub(super) fn block_by_agent(&mut self, now: Duration, pair: Pair) {
        self.by_agent.entry(pair).or_insert(now);
    }

    /// The sidecar was notified that the server may be used.
    pub(super) fn unblock(&mut self, pair: Pair) {
        self.by_discovery.remove(&pair);
        self.by_agent.remove(&pair);
    }

    /// Operators have disabled the server, or are about to enable it.
    pub(super) fn set_disabled(&mut self, now: Duration, pair: Pair, disabled: bool) {
        if disabled {
            self.by_operators.entry(pair).or_insert(now);
        } else {
            self.by_operators.remove(&pair);
        }
    }

    /// The agents are no longer available. No sidecar may have seen what they had for a moment only.
    pub(super) fn agents_unavailable(&mut self, now: Duration) {
        self.by_agent.retain(|_, since| now.saturating_sub(*since) >= AGENT_POLLED_AFTER);
    }

    /// A sidecar has started: it was notified of nothing yet.
    pub(super) fn forget_sidecar(&mut self, sidecar: usize) {
        for blocked in [&mut self.by_discovery, &mut self.by_agent, &mut self.by_operators] {
            blocked.retain(|pair, _| pair.sidecar != sidecar);
        }
    }

    /// Another server has taken the place of one: orders of operators were for the old one.
    pub(super) fn forget_disabled_server(&mut self, server: usize) {
        self.by_operators.retain(|pair, _| pair.server != server);
    }
}
