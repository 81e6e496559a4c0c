//! Scenarios in which servers give their responses slowly.

use super::{FaultKind, Scenario};

/// Separates the random numbers for these faults from those for the others.
const SEED_MASK: u64 = 0x0510_0510;

impl Scenario {
    /// Draws the scenario of a seed, with servers that give sound responses piece by piece. For odd seeds, sidecars are
    /// held up as well.
    pub fn draw_with_slow_responses(seed: u64) -> Scenario {
        let mut scenario = match seed.is_multiple_of(2) {
            true => Scenario::draw(seed),
            false => Scenario::draw_with_hold_ups(seed),
        };
        scenario.add_server_faults(seed ^ SEED_MASK, |server, share| FaultKind::SlowResponses {
            server,
            share,
        });
        scenario
    }
}
