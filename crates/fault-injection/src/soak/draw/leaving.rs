//! Draws clients that give up while their requests are in progress.

use std::collections::BTreeSet;
use std::ops::Range;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::{FIRST_FAULT_S, Plan, SERVERS_PER_ZONE, ZONE_COUNT};
use crate::scenario::{Action, ServerState};

/// The shares of the operations whose client gives up early, each in half of the runs.
const LEAVE_SHARES: [f64; 2] = [0.05, 0.15];
/// The number of servers that hang. Attempts at them are retried or given up long after most of the leaving clients
/// have left.
const HANGING_SERVERS: usize = 4;
/// The time for which servers hang, in seconds.
const HANGING_S: Range<f64> = 3.0..5.0;
/// The share of the requests at hanging servers that get no response.
const HANGING_SHARE: f64 = 0.5;

impl Plan {
    /// Draws the share of the operations whose client gives up early.
    pub(super) fn leave_share(&mut self) -> f64 {
        LEAVE_SHARES[usize::from(self.rng.random_bool(0.5))]
    }

    /// Makes some servers hang for a while, so that clients give up while attempts are in progress. Every run has this
    /// fault.
    pub(super) fn hang_servers(&mut self) {
        let length_s = self.common_rng.random_range(HANGING_S);
        let latest_s = (self.last_fault_s - length_s).max(FIRST_FAULT_S + 1.0);
        let at_s = self.common_rng.random_range(FIRST_FAULT_S..latest_s);
        let all: Vec<u16> = (0..SERVERS_PER_ZONE * ZONE_COUNT).collect();
        let servers: BTreeSet<u16> =
            all.choose_multiple(&mut self.common_rng, HANGING_SERVERS).copied().collect();
        let hangs = ServerState::Hangs(HANGING_SHARE);
        self.push(at_s, Action::SetServers(servers.clone(), hangs));
        self.push(at_s + length_s, Action::SetServers(servers, ServerState::Healthy));
        self.fault += 1;
    }
}
