//! Trials played with real processes of the program.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use fault_injection::ground::Programs;
use fault_injection::page;
use fault_injection::play::{Told, play};
use fault_injection::scenario::Scenario;

fn read(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("trials").join(name);
    let text = std::fs::read_to_string(&path).expect("a trial");
    Scenario::parse(&text, None).unwrap_or_else(|why| panic!("{name}: {why}"))
}

/// Two trials at a time: each has a dozen processes.
static TURNS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static NEXT: AtomicUsize = AtomicUsize::new(0);

fn held(name: &str) {
    let turn = &TURNS[NEXT.fetch_add(1, Ordering::Relaxed) % TURNS.len()];
    let _turn = turn.lock().unwrap_or_else(PoisonError::into_inner);
    let scenario = read(name);
    let programs = Programs::built(false).expect("the programs");
    let mut acts = 0;
    let outcome =
        play(&scenario, programs, |told| acts += usize::from(matches!(told, Told::Act(_))));
    let outcome = outcome.expect("it can be played");
    let wrong: Vec<_> = outcome.verdicts.iter().filter(|v| !v.held).collect();
    let (examples, troubles) = (&outcome.account.examples, &outcome.troubles);
    assert!(outcome.held, "{wrong:?} {examples:?} {troubles:?}");
    assert_eq!(acts, scenario.acts.len(), "all of the plan was played");
    let page = page::html(&scenario, &outcome);
    assert!(page.matches("<svg").count() >= 3 && page.contains("polyline"), "it has plots");
    let from_elsewhere = ["src=", "href=", "@import", "<script"];
    assert!(from_elsewhere.iter().all(|way| !page.contains(way)), "it opens without a network");
}

#[test]
fn every_kind_of_fault_is_borne() {
    held("all-faults.toml");
}

#[test]
fn halves_spend_no_more_than_the_whole_and_know_one_another_again() {
    held("halves.toml");
}

#[test]
fn a_quarter_that_is_deaf_is_there_and_has_its_part() {
    held("deaf.toml");
}

#[test]
fn a_third_killed_and_back_and_quotas_changed_on_half() {
    held("killed.toml");
}

#[test]
fn notes_lost_doubled_late_and_spoilt() {
    held("lossy.toml");
}

#[test]
fn a_storm_of_failures_is_repeated_within_one_budget() {
    held("storm.toml");
}

#[test]
fn a_fleet_halved_and_doubled_within_seconds() {
    held("halved.toml");
}

#[test]
fn an_old_version_beside_a_new_one() {
    held("versions.toml");
}
