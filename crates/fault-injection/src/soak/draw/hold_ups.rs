//! Series of hold-ups: processes that are stopped for a moment, again and again.

use std::collections::BTreeSet;

use rand::Rng;

use super::{FIRST_FAULT_S, LONGEST_PAUSE_S, Plan};
use crate::scenario::Action;

/// How often, and at which intervals, in seconds. Idle connections are closed after 2.5 s, so each has a timer that
/// falls due within the series.
const HOLD_UPS: usize = 16;
const INTERVAL_S: f64 = 0.25;
const SHORTEST_S: f64 = 0.06;
/// Shorter than the longest pause, since signals are sent to one process after the other.
const LONGEST_S: f64 = LONGEST_PAUSE_S - 0.04;

impl Plan {
    /// In every run all sidecars are held up in series.
    pub(super) fn hold_up_in_series(&mut self) {
        let length_s = INTERVAL_S * HOLD_UPS as f64;
        let latest_s = (self.last_fault_s - length_s).max(FIRST_FAULT_S + 1.0);
        let start_s = self.every_run.random_range(FIRST_FAULT_S..latest_s);
        let sidecars: BTreeSet<u16> = (0..self.sidecars).collect();
        for n in 0..HOLD_UPS {
            let at_s = start_s + INTERVAL_S * n as f64;
            let held_s = self.every_run.random_range(SHORTEST_S..LONGEST_S);
            self.push(at_s, Action::Pause(sidecars.clone()));
            self.push(at_s + held_s, Action::Resume(sidecars.clone()));
        }
        self.fault += 1;
    }
}
