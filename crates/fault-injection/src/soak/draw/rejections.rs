//! Draws servers with unusual responses: malformed rejections, which do not prove that a request was not executed,
//! responses that are sent twice, and sound responses of any length and framing.

use std::collections::BTreeSet;
use std::ops::Range;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::{FIRST_FAULT_S, Plan, SERVERS_PER_ZONE, ZONE_COUNT};
use crate::scenario::{Action, ServerState};

/// The number of servers that send malformed rejections.
const REJECTING_SERVERS: usize = 3;
/// The time for which servers send malformed rejections, in seconds.
const REJECTING_S: Range<f64> = 4.0..7.0;
/// The share of the requests that get a malformed rejection, which is so low that the servers are not ejected at once.
const REJECTED_SHARE: f64 = 0.15;

/// The number of servers that send responses twice.
const REPEATING_SERVERS: usize = 6;
/// The time for which servers send responses twice, in seconds.
const REPEATING_S: Range<f64> = 5.0..8.0;
/// The share of the responses that are sent twice.
const REPEATED_SHARE: f64 = 0.3;

/// The number of servers whose responses have drawn bodies.
const DRAWING_SERVERS: usize = 6;
/// The time for which responses have drawn bodies, in seconds.
const DRAWING_S: Range<f64> = 6.0..9.0;
/// The share of the responses that have drawn bodies.
const DRAWN_SHARE: f64 = 0.4;

impl Plan {
    /// Makes some servers send malformed rejections. Every run has this fault.
    pub(super) fn send_broken_rejections(&mut self) {
        let state = ServerState::BrokenRejections(REJECTED_SHARE);
        self.change_servers_temporarily(state, REJECTING_SERVERS, REJECTING_S);
    }

    /// Makes some servers send responses twice. Every run has this fault.
    pub(super) fn send_second_answers(&mut self) {
        let state = ServerState::SecondAnswers(REPEATED_SHARE);
        self.change_servers_temporarily(state, REPEATING_SERVERS, REPEATING_S);
    }

    /// Makes some servers send sound responses with drawn bodies. Every run has this.
    pub(super) fn draw_bodies(&mut self) {
        let state = ServerState::DrawnBodies(DRAWN_SHARE);
        self.change_servers_temporarily(state, DRAWING_SERVERS, DRAWING_S);
    }

    /// Puts `count` servers into a state for a time within `lengths_s`, in seconds.
    fn change_servers_temporarily(
        &mut self,
        state: ServerState,
        count: usize,
        lengths_s: Range<f64>,
    ) {
        let length_s = self.common_rng.random_range(lengths_s);
        let latest_s = (self.last_fault_s - length_s).max(FIRST_FAULT_S + 1.0);
        let at_s = self.common_rng.random_range(FIRST_FAULT_S..latest_s);
        let all: Vec<u16> = (0..SERVERS_PER_ZONE * ZONE_COUNT).collect();
        let servers: BTreeSet<u16> =
            all.choose_multiple(&mut self.common_rng, count).copied().collect();
        self.push(at_s, Action::SetServers(servers.clone(), state));
        self.push(at_s + length_s, Action::SetServers(servers, ServerState::Healthy));
        self.fault += 1;
    }
}
