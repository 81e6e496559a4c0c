//! Servers whose answers are not what they seem: rejections that prove nothing, and answers that come twice.

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

/// How many servers answer twice, for how long and how often.
const REPEATING_SERVERS: usize = 6;
const REPEATING_S: Range<f64> = 5.0..8.0;
const REPEATED_SHARE: f64 = 0.3;

impl Plan {
    /// In every run some servers reject requests in ways that prove nothing.
    pub(super) fn break_rejections(&mut self) {
        let state = ServerState::BrokenRejections(REJECTED_SHARE);
        self.have_servers_answer(state, REJECTING_SERVERS, REJECTING_S);
    }

    /// In every run some servers send answers a second time.
    pub(super) fn repeat_answers(&mut self) {
        let state = ServerState::SecondAnswers(REPEATED_SHARE);
        self.have_servers_answer(state, REPEATING_SERVERS, REPEATING_S);
    }

    /// Puts `count` servers into a state for a time within `lengths_s`.
    fn have_servers_answer(&mut self, state: ServerState, count: usize, lengths_s: Range<f64>) {
        let length_s = self.every_run.random_range(lengths_s);
        let latest_s = (self.last_fault_s - length_s).max(FIRST_FAULT_S + 1.0);
        let at_s = self.every_run.random_range(FIRST_FAULT_S..latest_s);
        let all: Vec<u16> = (0..SERVERS_PER_ZONE * ZONE_COUNT).collect();
        let servers: BTreeSet<u16> =
            all.choose_multiple(&mut self.every_run, count).copied().collect();
        self.push(at_s, Action::SetServers(servers.clone(), state));
        self.push(at_s + length_s, Action::SetServers(servers, ServerState::Healthy));
        self.fault += 1;
    }
}
