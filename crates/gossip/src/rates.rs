//! How much happens here, a second: counts over a window that slides in steps.

use crate::Micros;

/// The window, and its steps.
const WINDOW: Micros = 1_500_000;
const STEPS: usize = 15;
const STEP: Micros = WINDOW / STEPS as Micros;

/// Counts of some kinds of things over the window.
#[derive(Clone, Debug)]
pub struct Rates {
    steps: [Vec<u32>; STEPS],
    sums: Vec<u32>,
    /// The present step, and when it began.
    at: usize,
    since: Micros,
    /// What the counts cover.
    covers: Micros,
}

impl Rates {
    /// Of so many kinds.
    pub fn new(kinds: usize, now: Micros) -> Rates {
        let none = vec![0; kinds];
        Rates {
            steps: std::array::from_fn(|_| none.clone()),
            sums: none,
            at: 0,
            since: now,
            covers: 0,
        }
    }

    /// Moves on to `now`.
    pub fn pass(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.since) / STEP;
        for _ in 0..passed.min(STEPS as Micros) {
            self.at = (self.at + 1) % STEPS;
            for (sum, old) in self.sums.iter_mut().zip(&mut self.steps[self.at]) {
                *sum -= std::mem::take(old);
            }
        }
        self.since += passed * STEP;
        // The present step is not over yet. Before the first window is over, a window all the same: what is
        // seen once is no rate.
        self.covers = WINDOW - STEP + now.saturating_sub(self.since);
    }

    /// One more of a kind.
    pub fn one(&mut self, kind: usize, now: Micros) {
        self.pass(now);
        if let Some(count) = self.steps[self.at].get_mut(kind) {
            *count += 1;
            self.sums[kind] += 1;
        }
    }

    /// How much of a kind there was, a second, as of the last step.
    pub fn per_s(&self, kind: usize) -> f64 {
        let seconds = self.covers.max(WINDOW - STEP) as f64 / 1e6;
        self.sums.get(kind).map_or(0.0, |sum| f64::from(*sum) / seconds)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_window_counts_and_nothing_before() {
        let mut rates = Rates::new(2, 0);
        for n in 0..400 {
            rates.one(1, n * 5_000);
        }
        assert!((198.0..=202.0).contains(&rates.per_s(1)), "{}", rates.per_s(1));
        assert_eq!(rates.per_s(0), 0.0);
        rates.pass(2_750_000);
        assert!((90.0..=110.0).contains(&rates.per_s(1)), "{}", rates.per_s(1));
        rates.pass(90_000_000);
        assert_eq!(rates.per_s(1), 0.0);
        rates.one(7, 90_000_000);
    }
}
