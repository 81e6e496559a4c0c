//! Runs the trial files with real sidecar processes.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use fault_injection::html_report;
use fault_injection::runner::{Progress, run};
use fault_injection::scenario::Scenario;
use fault_injection::testbed::Programs;

fn read(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("trials").join(name);
    let text = std::fs::read_to_string(&path).expect("a scenario");
    Scenario::parse(&text, None).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// At most two scenarios run at a time, because each has a dozen processes.
static SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static NEXT: AtomicUsize = AtomicUsize::new(0);

fn assert_passes(name: &str) {
    let slot = &SLOTS[NEXT.fetch_add(1, Ordering::Relaxed) % SLOTS.len()];
    let _slot = slot.lock().unwrap_or_else(PoisonError::into_inner);
    let scenario = read(name);
    let programs = Programs::built(false).expect("the programs");
    let mut events = 0;
    let outcome =
        run(&scenario, programs, |p| events += usize::from(matches!(p, Progress::Event(_))));
    let outcome = outcome.expect("a complete run");
    let failed: Vec<_> = outcome.verdicts.iter().filter(|v| !v.passed).collect();
    let (examples, problems) = (&outcome.account.examples, &outcome.problems);
    assert!(outcome.passed, "{failed:?} {examples:?} {problems:?}");
    assert_eq!(events, scenario.events.len(), "every event was applied");
    let page = html_report::html(&scenario, &outcome);
    assert!(page.matches("<svg").count() >= 3 && page.contains("polyline"), "the page has plots");
    let external = ["src=", "href=", "@import", "<script"];
    assert!(external.iter().all(|text| !page.contains(text)), "the page is self-contained");
}

#[test]
fn every_kind_of_fault_is_tolerated() {
    assert_passes("all-faults.toml");
}

#[test]
fn partitioned_halves_keep_to_the_quota_and_merge_again() {
    assert_passes("halves.toml");
}

#[test]
fn sidecars_that_receive_no_gossip_stay_members_and_keep_their_quota() {
    assert_passes("deaf.toml");
}

#[test]
fn third_of_the_sidecars_is_killed_and_quotas_change_on_half() {
    assert_passes("killed.toml");
}

#[test]
fn gossip_is_lost_duplicated_reordered_and_corrupted() {
    assert_passes("lossy.toml");
}

#[test]
fn retries_of_a_failure_storm_keep_to_one_budget() {
    assert_passes("storm.toml");
}

#[test]
fn fleet_is_halved_and_doubled_within_seconds() {
    assert_passes("halved.toml");
}

#[test]
fn old_and_new_versions_run_side_by_side() {
    assert_passes("versions.toml");
}
