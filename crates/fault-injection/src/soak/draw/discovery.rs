//! Draws faults in which discovery stops answering or is slow, often while many servers drain.

use std::collections::BTreeSet;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::{FIRST_FAULT_S, Plan, SERVERS_PER_ZONE, ZONE_COUNT};
use crate::scenario::{Action, DiscoveryFaults, ServerState};

/// The longest delay of an answer of discovery, or of the first read of a connection to it. It is short enough for a
/// sidecar to keep the grace period of draining servers even if its process is also held up.
const LONGEST_DISCOVERY_DELAY_MS: u64 = 250;

impl Plan {
    /// Makes the discovery of some sidecars slow, in some runs after it has stopped answering. Often many servers drain
    /// at the same time.
    pub(super) fn discovery_faults(&mut self, at_s: f64) {
        let sidecars = self.some_sidecars(0.8);
        let slow = self.slow_discovery();
        let set = |faults| Action::SetDiscoveryFaults(sidecars.clone(), faults);
        let silent_s = self.rng.random_range(0.5..6.0);
        let slow_s = self.rng.random_range(1.5..4.0);
        let slow_from_s = match self.rng.random_range(0..3) {
            0 => {
                self.push(at_s, set(slow));
                at_s
            }
            1 => {
                self.push(at_s, set(DiscoveryFaults { silences_connections: true, ..slow }));
                at_s
            }
            _ => {
                self.push(at_s, set(DiscoveryFaults { silent: true, ..slow }));
                self.push(at_s + silent_s, set(slow));
                at_s + silent_s
            }
        };
        self.push(slow_from_s + slow_s, set(DiscoveryFaults::default()));
        if self.rng.random_bool(0.8) {
            let offset_s = self.rng.random_range(-0.3..0.4);
            self.drain_many((slow_from_s + offset_s).max(FIRST_FAULT_S));
        }
    }

    /// Draws delays of discovery with which sidecars can still keep the rule on draining servers.
    fn slow_discovery(&mut self) -> DiscoveryFaults {
        let delay_ms = self.rng.random_range(0..=LONGEST_DISCOVERY_DELAY_MS);
        let is_read_late = self.rng.random();
        let (answer_delay_ms, first_read_delay_ms) =
            if is_read_late { (0, delay_ms) } else { (delay_ms, 0) };
        DiscoveryFaults { answer_delay_ms, first_read_delay_ms, ..DiscoveryFaults::default() }
    }

    /// Makes up to half of the servers drain in one version of the list.
    fn drain_many(&mut self, at_s: f64) {
        let all: Vec<u16> = (0..SERVERS_PER_ZONE * ZONE_COUNT).collect();
        let count = self.rng.random_range(all.len() / 4..=all.len() / 2);
        let servers: BTreeSet<u16> = all.choose_multiple(&mut self.rng, count).copied().collect();
        let healthy = Action::SetServers(servers.clone(), ServerState::Healthy);
        let drain = Action::SetServers(servers, ServerState::Draining);
        self.add(at_s, 3.0..8.0, drain, healthy);
    }
}
