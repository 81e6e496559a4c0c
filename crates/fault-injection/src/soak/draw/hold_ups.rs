//! Draws series of hold-ups: short pauses of all processes at regular intervals.

use std::collections::BTreeSet;

use rand::Rng;

use super::{FIRST_FAULT_S, LONGEST_PAUSE_S, Plan};
use crate::scenario::Action;

/// The number of hold-ups in a series. Idle connections are closed after 2.5 s, so the timer of each one expires
/// during the series.
const HOLD_UPS: usize = 16;
/// The time between the beginnings of two hold-ups, in seconds.
const INTERVAL_S: f64 = 0.25;
/// The minimum length of a hold-up, in seconds.
const MIN_HOLD_UP_S: f64 = 0.06;
/// The maximum length of a hold-up, in seconds. It is less than the longest pause, because signals are sent to one
/// process after another.
const MAX_HOLD_UP_S: f64 = LONGEST_PAUSE_S - 0.04;

impl Plan {
    /// Adds a series of hold-ups of all sidecars. Every run has one.
    pub(super) fn hold_up_in_series(&mut self) {
        let length_s = INTERVAL_S * HOLD_UPS as f64;
        let latest_s = (self.last_fault_s - length_s).max(FIRST_FAULT_S + 1.0);
        let start_s = self.common_rng.random_range(FIRST_FAULT_S..latest_s);
        let sidecars: BTreeSet<u16> = (0..self.sidecars).collect();
        for n in 0..HOLD_UPS {
            let at_s = start_s + INTERVAL_S * n as f64;
            let held_s = self.common_rng.random_range(MIN_HOLD_UP_S..MAX_HOLD_UP_S);
            self.push(at_s, Action::Pause(sidecars.clone()));
            self.push(at_s + held_s, Action::Resume(sidecars.clone()));
        }
        self.fault += 1;
    }
}
