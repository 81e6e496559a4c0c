//! Scenarios in which servers send answers a second time.
//!
//! They are drawn beside those of [`Scenario::draw`], so that what a seed means there stays as it is.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{FAULTS_BEGIN_MS, FAULTS_END_MS, Fault, FaultKind, Scenario};

/// Separates the numbers that draw these faults from those that draw the others.
const SEED_MASK: u64 = 0x0200_0200;
/// The last of these faults begins no later than this before the end of the faults.
const LAST_BEGIN_MARGIN_MS: u64 = 3000;
/// The indices of servers that answer twice.
const SERVER_INDICES: std::ops::Range<usize> = 0..9;

impl Scenario {
    /// The scenario of a seed, with servers that send answers a second time; for odd seeds, with sidecars that are
    /// held up as well.
    pub fn draw_with_second_answers(seed: u64) -> Scenario {
        let mut scenario = match seed.is_multiple_of(2) {
            true => Scenario::draw(seed),
            false => Scenario::draw_with_hold_ups(seed),
        };
        let mut rng = SmallRng::seed_from_u64(seed ^ SEED_MASK);
        for _ in 0..rng.random_range(1..=4) {
            let at_ms = rng.random_range(FAULTS_BEGIN_MS..FAULTS_END_MS - LAST_BEGIN_MARGIN_MS);
            let for_ms = rng.random_range(1000..=FAULTS_END_MS - at_ms);
            let server = rng.random_range(SERVER_INDICES);
            let kind = FaultKind::SecondAnswers { server, share: rng.random_range(0.05..0.6) };
            scenario.faults.push(Fault { at_ms, for_ms, kind });
        }
        scenario.faults.sort_by_key(|fault| fault.at_ms);
        scenario
    }
}
