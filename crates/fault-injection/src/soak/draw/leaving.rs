//! Clients that leave while their requests are under way.

use std::collections::BTreeSet;
use std::ops::Range;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::{FIRST_FAULT_S, Plan, SERVERS_PER_ZONE, ZONE_COUNT};
use crate::scenario::{Action, ServerState};

/// The share of the operations whose client leaves, in half of the runs each.
const LEAVE_SHARES: [f64; 2] = [0.05, 0.15];
/// How many servers hang, for how long and with which share of their requests: attempts at them are repeated or
/// given up long after most of the clients that leave have left.
const HANGING_SERVERS: usize = 4;
const HANGING_S: Range<f64> = 3.0..5.0;
const HANGING_SHARE: f64 = 0.5;

impl Plan {
    /// The share of the operations whose client leaves.
    pub(super) fn leave_share(&mut self) -> f64 {
        LEAVE_SHARES[usize::from(self.rng.random_bool(0.5))]
    }

    /// In every run some servers hang for a while, and clients leave meanwhile.
    pub(super) fn hang_under_leaving_clients(&mut self) {
        let length_s = self.every_run.random_range(HANGING_S);
        let latest_s = (self.last_fault_s - length_s).max(FIRST_FAULT_S + 1.0);
        let at_s = self.every_run.random_range(FIRST_FAULT_S..latest_s);
        let all: Vec<u16> = (0..SERVERS_PER_ZONE * ZONE_COUNT).collect();
        let servers: BTreeSet<u16> =
            all.choose_multiple(&mut self.every_run, HANGING_SERVERS).copied().collect();
        let hangs = ServerState::Hangs(HANGING_SHARE);
        self.push(at_s, Action::SetServers(servers.clone(), hangs));
        self.push(at_s + length_s, Action::SetServers(servers, ServerState::Healthy));
        self.fault += 1;
    }
}
