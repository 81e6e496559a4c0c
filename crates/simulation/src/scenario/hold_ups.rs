//! Scenarios in which processes are held up repeatedly.
//!
//! The added faults have their own random numbers, so that [`Scenario::draw`] draws the same scenarios as before.

use std::ops::Range;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{FAULTS_BEGIN_MS, FAULTS_END_MS, Fault, FaultKind, Scenario};

/// Separates the random numbers for these faults from those for the others.
const SEED_MASK: u64 = 0x401d_5095;
/// The number of clients of each sidecar that rest for about the time after which idle connections are closed.
const RESTING_CLIENTS: usize = 12;
/// The duration of a hold-up, in milliseconds. The protocol allows for 0.15 s.
const HELD_UP_MS: Range<u64> = 5..150;
/// The time between two hold-ups, in milliseconds.
const RUNNING_MS: Range<u64> = 20..400;

impl Scenario {
    /// Draws the scenario of a seed, with sidecars that are held up repeatedly, and with resting clients.
    pub fn draw_with_hold_ups(seed: u64) -> Scenario {
        let mut scenario = Scenario::draw(seed);
        // An agent that restarts its version count on open connections cannot be told from one without changes if the
        // new version happens to equal that of the last answer, and no call was open in between.
        scenario.faults.retain(|fault| fault.kind != FaultKind::DiscoveryRestart);
        // A hold-up may delay the read of a duplicate id until the open request has ended. It is valid then.
        scenario.faults.retain(|fault| !matches!(fault.kind, FaultKind::DuplicateIds { .. }));
        scenario.resting_clients = RESTING_CLIENTS;
        let mut rng = SmallRng::seed_from_u64(seed ^ SEED_MASK);
        for sidecar in 0..scenario.sidecars {
            add_hold_ups(&mut rng, sidecar, &mut scenario.faults);
        }
        scenario.faults.sort_by_key(|fault| fault.at_ms);
        scenario
    }
}

fn add_hold_ups(rng: &mut SmallRng, sidecar: usize, faults: &mut Vec<Fault>) {
    let mut at_ms = FAULTS_BEGIN_MS + rng.random_range(RUNNING_MS);
    while at_ms + HELD_UP_MS.end <= FAULTS_END_MS {
        let for_ms = rng.random_range(HELD_UP_MS);
        faults.push(Fault { at_ms, for_ms, kind: FaultKind::HoldUp { sidecar } });
        at_ms += for_ms + rng.random_range(RUNNING_MS);
    }
}
