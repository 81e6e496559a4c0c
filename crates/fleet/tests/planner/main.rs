//! Tests of the planner on a simulated host, with random crashes, hangs, starvation, lost signals,
//! changes of the desired state and restarts of the daemon. After every call the planner's actions are
//! checked against invariants; once faults stop, the desired state must be reached.
//!
//! `PLANNER_SEEDS=20000 cargo test --release -p fleet --test planner` runs more seeds than by default,
//! `PLANNER_SEED=7` a single one.

mod decision_hash;
mod faults;
mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::planner::{ObservedProcess, RestartState, Shutdown};
use fleet::stall::Stall;

use decision_hash::DecisionHash;
use faults::Change;
use world::{ALL_DEFECTS, Defect, SimulatedProcess, World};

/// The hash of the planner's inputs and actions with seeds 0 to 99. Only a commit that changes the
/// planner's behaviour on purpose may change it.
const DECISIONS_OF_FIRST_100_SEEDS: u64 = 0xdd8a_2f52_d746_be66;

#[test]
fn decisions_of_fixed_seeds_are_unchanged() {
    let mut hash = DecisionHash::new();
    for seed in 0..100 {
        let mut world = World::new(seed, 8);
        world.run_through_faults();
        world.run_to_the_desired_state();
        hash.number(world.decisions.0);
    }
    let found = hash.0;
    assert_eq!(found, DECISIONS_OF_FIRST_100_SEEDS, "the hash of the decisions is {found:#018x}");
}

fn seeds() -> std::ops::Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    match number("PLANNER_SEED") {
        Some(one) => one..one + 1,
        None => 0..number("PLANNER_SEEDS").unwrap_or(1000),
    }
}

#[test]
fn desired_state_is_reached_and_limits_hold_under_random_faults() {
    for seed in seeds() {
        let mut world = World::new(seed, 8);
        world.run_through_faults();
        world.run_to_the_desired_state();
    }
}

fn settled_world(slots: usize) -> World {
    let mut world = World::new(u64::MAX, slots);
    world.run_to_the_desired_state();
    world
}

#[test]
fn good_generation_is_rolled_out_to_one_canary_and_then_in_waves() {
    for (needs_restart, new_program) in [(false, false), (true, false), (false, true)] {
        let mut world = settled_world(20);
        world.change_desired(Change { defect: None, needs_restart, new_program });
        let mut updated_before_waves = 0;
        while world.completed.is_empty() {
            let updated = world
                .processes
                .values()
                .filter(|simulated| simulated.process.generation == 2)
                .count();
            if !world.planner.rollout_progress().is_some_and(|p| p.waves) {
                updated_before_waves = updated_before_waves.max(updated);
            }
            world.step();
            world.check(world.now < Duration::from_secs(300), "not settled");
        }
        world.run_to_the_desired_state();
        assert_eq!((updated_before_waves, world.completed), (1, vec![2]));
        assert!(world.rolled_back.is_empty());
    }
}

#[test]
fn defective_generation_reaches_the_canary_only_and_is_rolled_back() {
    for defect in ALL_DEFECTS {
        let mut world = settled_world(20);
        world.change_desired(Change {
            defect: Some(defect),
            needs_restart: true,
            new_program: true,
        });
        let mut touched = BTreeSet::new();
        while world.rolled_back.is_empty() {
            world.step();
            let new =
                world.processes.values().filter(|simulated| simulated.process.generation == 2);
            touched.extend(new.map(|simulated| simulated.process.slot.clone()));
            world.check(world.now < Duration::from_secs(120), "not rolled back");
        }
        if defect == Defect::Ends {
            let reason = world.rolled_back[0].1.to_string();
            assert!(reason.contains("ended before it was ready"), "{reason}");
        }
        world.run_to_the_desired_state();
        assert_eq!(touched.len(), 1, "{defect:?}");
        assert_eq!(world.desired.target, 1);
    }
}

#[test]
fn crash_looping_slot_is_restarted_at_the_maximum_backoff() {
    let mut world = settled_world(3);
    world.defects.insert(1, Defect::Ends);
    let slot = world.desired.slots.first().expect("a slot").clone();
    let id = world.processes_of(&slot).next().expect("the slot has a process").process.id;
    world.processes.remove(&id.0);
    let before = world.next;
    for _ in 0..3000 {
        world.step();
    }
    let starts = world.next - before;
    // In 300 s: six starts in quick succession, then one every 15 to 30 s.
    assert!((12..=28).contains(&starts), "{starts} starts");
    assert_eq!(world.planner.slot_health(world.now, &slot).restart_state, RestartState::CrashLoop);
    world.defects.clear();
    world.run_to_the_desired_state();
    for _ in 0..120 {
        world.step();
    }
    assert_eq!(world.planner.slot_health(world.now, &slot).failures, 0, "reset once it is stable");
}

#[test]
fn concurrent_starts_are_limited_after_many_crashes() {
    let mut world = settled_world(60);
    world.processes.clear();
    world.run_to_the_desired_state();
    assert!(world.next >= 120);
}

#[test]
fn graceful_shutdown_drains_and_immediate_shutdown_kills() {
    for (shutdown, seconds) in [(Shutdown::Graceful, 8), (Shutdown::Immediate, 2)] {
        let mut world = settled_world(10);
        for simulated in world.processes.values_mut() {
            simulated.ignores_signals = true;
        }
        world.desired.shutdown = Some(shutdown);
        let end = world.now + Duration::from_secs(seconds);
        while !world.processes.is_empty() {
            world.step();
            world.check(world.now < end, "not ended");
        }
    }
}

#[test]
fn restarted_daemon_leaves_adopted_processes_alone_until_they_report() {
    let mut world = settled_world(10);
    world.change_desired(Change::default());
    world.run_to_the_desired_state();
    let before: Vec<u64> = world.processes.keys().copied().collect();
    // All processes run generation 2, but were started with 1.
    for _ in 0..3 {
        world.restart_daemon();
        world.run_to_the_desired_state();
    }
    assert_eq!(world.processes.keys().copied().collect::<Vec<_>>(), before, "none was touched");
}

#[test]
fn no_process_is_killed_after_the_daemon_was_suspended() {
    let mut world = settled_world(10);
    let before: Vec<u64> = world.processes.keys().copied().collect();
    for _ in 0..3 {
        world.now += Duration::from_secs(3600);
        // The first call after the gap comes before any report.
        let observed: Vec<ObservedProcess> =
            world.processes.values().map(SimulatedProcess::observed).collect();
        assert_eq!(world.planner.reconcile(world.now, &world.desired, &observed), Vec::new());
        world.run_to_the_desired_state();
    }
    assert_eq!(world.processes.keys().copied().collect::<Vec<_>>(), before);
}

#[test]
fn hung_process_is_killed_sooner_if_a_stall_is_detected() {
    for (visible_stall, from_ms, to_ms) in
        [(Some(Stall::Stopped), 800, 1100), (Some(Stall::Spinning), 800, 1100), (None, 4900, 5200)]
    {
        let mut world = settled_world(5);
        let id = *world.processes.keys().next().expect("the world has a process");
        let simulated = world.processes.get_mut(&id).expect("the process exists");
        (simulated.hung, simulated.visible_stall) = (true, visible_stall);
        let began = world.now;
        while world.processes.get(&id).is_some_and(|simulated| !simulated.killed) {
            world.step();
            world.check(world.now < began + Duration::from_secs(10), "never killed");
        }
        let took = (world.now - began).as_millis();
        assert!((from_ms..=to_ms).contains(&took), "{visible_stall:?}: {took} ms");
        world.run_to_the_desired_state();
    }
}
