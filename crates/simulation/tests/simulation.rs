//! What CI plays: the scenarios that once failed, a fixed range of seeds, and the proof that a run is
//! the same each time. `lb-simulation run --seeds A..B` plays more.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};

use simulation::run::play;
use simulation::scenario::Scenario;

/// Seeds that every change is played on.
const SEEDS: u64 = 160;

fn sound(scenario: &Scenario, what: &str) {
    let outcome = play(scenario, false);
    if let Some(v) = outcome.violation {
        panic!("{what}: {} broken at {:?}: {}\n{}", v.rule, v.at, v.what, v.story);
    }
}

#[test]
fn scenarios_that_once_broke_a_rule_break_none() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut played = 0;
    for file in std::fs::read_dir(folder).expect("kept scenarios") {
        let path = file.expect("readable").path();
        let scenario = Scenario::read(&path).expect("a scenario");
        sound(&scenario, &path.display().to_string());
        played += 1;
    }
    assert!(played >= 7, "{played} kept scenarios");
}

#[test]
fn a_range_of_seeds_breaks_no_rule() {
    let next = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(2, usize::from) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= SEEDS {
                        return;
                    }
                    sound(&Scenario::draw(seed), &format!("seed {seed}"));
                }
            });
        }
    });
}

#[test]
fn a_run_is_the_same_in_one_process_and_in_another() {
    for seed in [1, 7, 23] {
        let scenario = Scenario::draw(seed);
        let (one, two) = (play(&scenario, true), play(&scenario, true));
        assert!(one.steps > 1000, "seed {seed}: {} steps", one.steps);
        assert_eq!((one.hash, one.steps), (two.hash, two.steps), "seed {seed}");
        assert_eq!(one.timeline, two.timeline, "seed {seed}");
        let out = Command::new(env!("CARGO_BIN_EXE_lb-simulation"))
            .args(["play", &seed.to_string()])
            .output()
            .expect("it starts");
        let told = String::from_utf8_lossy(&out.stdout).into_owned();
        assert!(told.contains(&format!("hash {:016x}, {} steps", one.hash, one.steps)), "{told}");
    }
    let other = play(&Scenario::draw(2), false).hash;
    assert_ne!(other, play(&Scenario::draw(3), false).hash);
}

/// The files below a folder.
fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("a folder").map(|e| e.expect("readable").path());
    entries.flat_map(|path| if path.is_dir() { files(&path) } else { vec![path] }).collect()
}

/// What in the network code would let in something that no seed gives.
#[test]
fn the_network_code_takes_nothing_from_the_system_but_by_its_platform() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../src/sidecar");
    let forbidden = [
        "Instant::now(",
        "SystemTime::now(",
        ".elapsed(",
        "tokio::time::",
        "spawn_local",
        "rand::rng(",
        "thread_rng",
    ];
    let mut looked = 0;
    for path in files(folder.as_ref()) {
        let text = std::fs::read_to_string(&path).expect("text");
        let code = text.split("#[cfg(test)]").next().unwrap_or_default();
        let name = path.display();
        for what in forbidden {
            assert!(!code.contains(what), "{name}: {what}");
        }
        for (n, rest) in code.match_indices("select! {").map(|(n, s)| (n, &code[n + s.len()..])) {
            let line = code[..n].matches('\n').count() + 1;
            let first = rest.trim_start();
            assert!(first.starts_with("biased;"), "{name}:{line}: select! without biased");
        }
        // Maps with a random order may be asked by key; what is walked has an order of its own.
        let walked =
            code.contains("collections::HashMap") && !name.to_string().ends_with("config.rs");
        assert!(!walked, "{name}: a map in random order");
        looked += 1;
    }
    assert!(looked > 10);
}
