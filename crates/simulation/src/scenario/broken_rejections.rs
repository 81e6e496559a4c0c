//! Scenarios in which servers reject requests in ways that prove nothing.

use super::{FaultKind, Scenario};

/// Separates the numbers that draw these faults from those that draw the others.
const SEED_MASK: u64 = 0x0503_0504;

impl Scenario {
    /// The scenario of a seed, with servers whose rejections are cut, silent, contradictory or sent twice.
    pub fn draw_with_broken_rejections(seed: u64) -> Scenario {
        let mut scenario = Scenario::draw(seed);
        scenario.add_server_faults(seed ^ SEED_MASK, |server, share| FaultKind::BrokenRejections {
            server,
            share,
        });
        scenario
    }
}
