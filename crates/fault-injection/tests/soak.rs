//! A short soak run: real sidecars under drawn faults that overlap.

use std::time::Duration;

use fault_injection::soak::{Findings, SoakSize, draw, run};
use fault_injection::testbed::Programs;

/// Small enough for two cores beside other tests.
const SIZE: SoakSize = SoakSize { sidecars: 6, duration: Duration::from_secs(24) };
/// Its plan has shutdowns under load, kills, discovery that falls silent, on open connections and as a whole, servers that
/// drain or are removed soon after others, impaired links and hold-ups, most of them at once. Lists are pushed.
const SEED: u64 = 5960;

#[test]
fn overlapping_faults_break_no_rule() {
    let programs = Programs::built(false).expect("the programs");
    let (outcome, findings) = run(&draw(SEED, SIZE), programs, |_| {}).expect("it can be played");
    assert_eq!(findings, Findings::default());
    assert!(outcome.account.served() > 1000, "{} served", outcome.account.served());
}
