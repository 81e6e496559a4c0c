//! Draws servers that are replaced a few at a time, as in a rolling update.

use std::collections::BTreeSet;
use std::ops::Range;

use rand::Rng;
use rand::seq::SliceRandom;

use super::{Plan, SERVERS_PER_ZONE, ZONE_COUNT};
use crate::scenario::{Action, ServerState};

/// The number of steps. Each step is one version of the list.
const STEPS: Range<usize> = 2..5;
/// The maximum number of servers of one step.
const MAX_SERVERS_PER_STEP: usize = 2;
/// The time between two steps, in seconds. Some are shorter than the grace period of a draining server, some longer.
const STEP_INTERVAL_S: Range<f64> = 0.1..2.5;
/// The time until the servers of a step are back, in seconds. Some are absent for longer than a sidecar that polls its
/// list may take to notice.
const ABSENCE_S: Range<f64> = 2.0..9.0;
/// The maximum length of a replacement, in seconds.
pub(super) const MAX_REPLACEMENT_S: f64 =
    STEP_INTERVAL_S.end * (STEPS.end - 2) as f64 + ABSENCE_S.end;

impl Plan {
    /// Removes servers from the list, or lists them as draining, in steps, so that all but the first step follow
    /// another change of the list. Servers that are removed without draining keep answering, so that only the list
    /// shows their removal.
    pub(super) fn replace_in_steps(&mut self, at_s: f64) {
        let mut servers: Vec<u16> = (0..SERVERS_PER_ZONE * ZONE_COUNT).collect();
        servers.shuffle(&mut self.rng);
        let mut step_s = at_s;
        for _ in 0..self.rng.random_range(STEPS) {
            let count = self.rng.random_range(1..=MAX_SERVERS_PER_STEP);
            let withdrawn: BTreeSet<u16> = servers.drain(..count).collect();
            let announced = self.rng.random();
            let state = if announced { ServerState::Draining } else { ServerState::Removed };
            let healthy = Action::SetServers(withdrawn.clone(), ServerState::Healthy);
            self.add(step_s, ABSENCE_S, Action::SetServers(withdrawn, state), healthy);
            step_s += self.rng.random_range(STEP_INTERVAL_S);
        }
    }
}
