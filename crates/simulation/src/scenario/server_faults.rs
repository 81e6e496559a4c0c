//! Faults of single servers that are drawn beside those of [`Scenario::draw`], so that what a seed means there
//! stays as it is.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{FAULTS_BEGIN_MS, FAULTS_END_MS, Fault, FaultKind, Scenario};

/// The last of these faults begins no later than this before the end of the faults.
const LAST_BEGIN_MARGIN_MS: u64 = 3000;
/// The indices of the servers.
const SERVER_INDICES: std::ops::Range<usize> = 0..9;

impl Scenario {
    /// Adds one to four faults, each made by `kind` of the index of a server and a share of its answers. `seed` is
    /// of these draws alone.
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
