//! Servers whose rejections prove nothing.

use std::collections::BTreeSet;
use std::ops::Range;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::{FIRST_FAULT_S, Plan, SERVERS_PER_ZONE, ZONE_COUNT};
use crate::scenario::{Action, ServerState};

/// How many servers reject in such ways, for how long and which share of their requests: few enough that they are not
/// ejected at once.
const REJECTING_SERVERS: usize = 3;
const REJECTING_S: Range<f64> = 4.0..7.0;
const REJECTED_SHARE: f64 = 0.15;

impl Plan {
    /// In every run some servers reject requests in ways that prove nothing.
    pub(super) fn break_rejections(&mut self) {
        let length_s = self.every_run.random_range(REJECTING_S);
        let latest_s = (self.last_fault_s - length_s).max(FIRST_FAULT_S + 1.0);
        let at_s = self.every_run.random_range(FIRST_FAULT_S..latest_s);
        let all: Vec<u16> = (0..SERVERS_PER_ZONE * ZONE_COUNT).collect();
        let servers: BTreeSet<u16> =
            all.choose_multiple(&mut self.every_run, REJECTING_SERVERS).copied().collect();
        let rejecting = ServerState::BrokenRejections(REJECTED_SHARE);
        self.push(at_s, Action::SetServers(servers.clone(), rejecting));
        self.push(at_s + length_s, Action::SetServers(servers, ServerState::Healthy));
        self.fault += 1;
    }
}
