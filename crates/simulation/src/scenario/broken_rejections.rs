//! Scenarios in which servers send rejections that do not prove that the request was not executed.

use super::{FaultKind, Scenario};

/// Separates the random numbers for these faults from those for the others.
const SEED_MASK: u64 = 0x0503_0504;

impl Scenario {
    /// Draws the scenario of a seed, with servers whose rejections are truncated, contradictory or sent twice.
    pub fn draw_with_broken_rejections(seed: u64) -> Scenario {
        let mut scenario = Scenario::draw(seed);
        scenario.add_server_faults(seed ^ SEED_MASK, |server, share| FaultKind::BrokenRejections {
            server,
            share,
        });
        scenario
    }
}
