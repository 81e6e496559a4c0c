//! Adds faults of single servers to a scenario. They have their own random numbers, so that [`Scenario::draw`] draws
//! the same scenarios as before.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{FAULTS_BEGIN_MS, FAULTS_END_MS, Fault, FaultKind, Scenario};

/// The shortest time between the begin of one of these faults and the end of all faults, in milliseconds.
const LAST_BEGIN_MARGIN_MS: u64 = 3000;
/// The indices of servers that faults are drawn for.
const SERVER_INDICES: std::ops::Range<usize> = 0..9;

impl Scenario {
    /// Adds one to four faults. `kind` makes each of them from the index of a server and the share of its responses
    /// that have the fault. `seed` is used for nothing else.
    pub(super) fn add_server_faults(&mut self, seed: u64, kind: fn(usize, f64) -> FaultKind) {
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..rng.random_range(1..=4) {
            let at_ms = rng.random_range(FAULTS_BEGIN_MS..FAULTS_END_MS - LAST_BEGIN_MARGIN_MS);
            let for_ms = rng.random_range(1000..=FAULTS_END_MS - at_ms);
            let server = rng.random_range(SERVER_INDICES);
            let kind = kind(server, rng.random_range(0.05..0.6));
            self.faults.push(Fault { at_ms, for_ms, kind });
        }
        self.faults.sort_by_key(|fault| fault.at_ms);
    }
}
