//! Event rates over a sliding window that advances in steps of fixed length.

use crate::Micros;

/// Length of the window, in microseconds.
const WINDOW: Micros = 1_500_000;
/// Number of steps in the window.
const STEP_COUNT: usize = 15;
/// Length of a step, in microseconds.
const STEP: Micros = WINDOW / STEP_COUNT as Micros;

/// Counts of several kinds of events within the window.
#[derive(Clone, Debug)]
pub struct RateWindow {
    /// Counts by step and kind of event.
    steps: [Vec<u32>; STEP_COUNT],
    /// Counts by kind of event over all steps.
    sums: Vec<u32>,
    current_step: usize,
    step_started_at: Micros,
    /// Time covered by the counts.
    covered: Micros,
}

impl RateWindow {
    /// Creates an empty window for this many kinds of events.
    pub fn new(kind_count: usize, now: Micros) -> RateWindow {
        let zeros = vec![0; kind_count];
        RateWindow {
            steps: std::array::from_fn(|_| zeros.clone()),
            sums: zeros,
            current_step: 0,
            step_started_at: now,
            covered: 0,
        }
    }

    /// Advances the window to `now` and drops expired counts.
    pub fn advance(&mut self, now: Micros) {
        let elapsed_steps = now.saturating_sub(self.step_started_at) / STEP;
        for _ in 0..elapsed_steps.min(STEP_COUNT as Micros) {
            self.current_step = (self.current_step + 1) % STEP_COUNT;
            for (sum, expired) in self.sums.iter_mut().zip(&mut self.steps[self.current_step]) {
                *sum -= std::mem::take(expired);
            }
        }
        self.step_started_at += elapsed_steps * STEP;
        // The current step is not complete yet. The full length is also used for a new window, since otherwise a single
        // event would give a high rate.
        self.covered = WINDOW - STEP + now.saturating_sub(self.step_started_at);
    }

    /// Counts one event. Kinds beyond the number that the window was created for are ignored.
    pub fn record(&mut self, kind: usize, now: Micros) {
        self.advance(now);
        if let Some(count) = self.steps[self.current_step].get_mut(kind) {
            *count += 1;
            self.sums[kind] += 1;
        }
    }

    /// Returns the events of a kind per second, as of the last [`RateWindow::advance`].
    pub fn per_second(&self, kind: usize) -> f64 {
        let seconds = self.covered.max(WINDOW - STEP) as f64 / 1e6;
        self.sums.get(kind).map_or(0.0, |sum| f64::from(*sum) / seconds)
    }
}

#[cfg(test)]
mod tests;
