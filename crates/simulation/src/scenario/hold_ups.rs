//! Scenarios in which processes are held up again and again.
//!
//! They are drawn beside those of [`Scenario::draw`], so that what a seed means there stays as it is.

use std::ops::Range;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{FAULTS_BEGIN_MS, FAULTS_END_MS, Fault, FaultKind, Scenario};

/// Separates the numbers that draw these faults from those that draw the others.
const SEED_MASK: u64 = 0x401d_5095;
/// How many clients of each sidecar rest until about the time at which their connections are ended.
const RESTING_CLIENTS: usize = 12;
/// How long a process is held up; the protocol allows for 0.15 s.
const HELD_UP_MS: Range<u64> = 5..150;
/// How long it runs in between.
const RUNNING_MS: Range<u64> = 20..400;

impl Scenario {
    /// The scenario of a seed, with sidecars that are held up again and again, and with resting clients.
    pub fn draw_with_hold_ups(seed: u64) -> Scenario {
        let mut scenario = Scenario::draw(seed);
        // An agent that counts its versions anew on connections that stay open cannot be told from one with nothing
        // new, if its version is by chance that of the last answer, and no call was open in between.
        scenario.faults.retain(|fault| fault.kind != FaultKind::DiscoveryRestart);
        // What has the id of an open request may be read when that has just ended, and is another request then.
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
