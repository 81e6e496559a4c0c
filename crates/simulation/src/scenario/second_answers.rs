//! Scenarios in which servers send answers a second time.

use super::{FaultKind, Scenario};

/// Separates the numbers that draw these faults from those that draw the others.
const SEED_MASK: u64 = 0x0200_0200;

impl Scenario {
    /// The scenario of a seed, with servers that send answers a second time; for odd seeds, with sidecars that are
    /// held up as well.
    pub fn draw_with_second_answers(seed: u64) -> Scenario {
        let mut scenario = match seed.is_multiple_of(2) {
            true => Scenario::draw(seed),
            false => Scenario::draw_with_hold_ups(seed),
        };
        scenario.add_server_faults(seed ^ SEED_MASK, |server, share| FaultKind::SecondAnswers {
            server,
            share,
        });
        scenario
    }
}
