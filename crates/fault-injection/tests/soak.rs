//! A short soak run with real sidecars under overlapping random faults.

use std::time::Duration;

use fault_injection::soak::{Findings, SoakSize, draw, run};
use fault_injection::testbed::Programs;

/// A size that two cores can run in parallel with other tests.
const SIZE: SoakSize = SoakSize { sidecars: 6, duration: Duration::from_secs(24) };
/// The plan of this seed has shutdowns under load, kills, discovery that stops answering (on open connections and
/// completely), servers that drain or are removed soon after others, impaired links and hold-ups, most of them at the
/// same time. Lists are pushed.
const SEED: u64 = 5960;

#[test]
fn overlapping_faults_break_no_rule() {
    let programs = Programs::built(false).expect("the programs");
    let (outcome, findings) = run(&draw(SEED, SIZE), programs, |_| {}).expect("a complete run");
    assert_eq!(findings, Findings::default());
    assert!(outcome.account.served() > 1000, "{} served", outcome.account.served());
}
