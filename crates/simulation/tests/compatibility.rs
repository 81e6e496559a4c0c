//! Tests that scenario files of an earlier version are read, and written back byte for byte.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use simulation::scenario::{FAULT_KINDS, Scenario};

/// The suffix of a file that leaves out every key that has a default value.
const DEFAULTS_LEFT_OUT: &str = "-defaults-left-out.toml";

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

/// All fixture files, in a fixed order.
fn fixture_files() -> Vec<PathBuf> {
    let entries = fs::read_dir(fixtures()).expect("the folder of fixtures");
    let mut files: Vec<PathBuf> = entries.map(|e| e.expect("an entry").path()).collect();
    files.sort();
    files
}

/// Whether a file has all keys.
fn is_complete(file: &Path) -> bool {
    !file.to_string_lossy().ends_with(DEFAULTS_LEFT_OUT)
}

#[test]
fn complete_scenario_files_are_written_back_byte_for_byte() {
    let mut files_read = 0;
    let mut fault_kinds = BTreeSet::new();
    for file in fixture_files().iter().filter(|file| is_complete(file)) {
        let stored = fs::read_to_string(file).expect("a fixture");
        let scenario = Scenario::read(file).expect("an earlier version's scenario");
        assert_eq!(scenario.text(), stored, "{}", file.display());
        fault_kinds.extend(scenario.faults.iter().map(|fault| fault.kind.name()));
        files_read += 1;
    }
    assert_eq!(files_read, 8);
    assert_eq!(fault_kinds.len(), FAULT_KINDS, "{fault_kinds:?}");
}

#[test]
fn keys_that_are_left_out_take_their_default_values() {
    let short = Scenario::read(&fixtures().join("seed-84-defaults-left-out.toml"))
        .expect("a scenario without the keys that have defaults");
    let complete = fs::read_to_string(fixtures().join("seed-84.toml")).expect("a fixture");
    assert_eq!(short.text(), complete);
}

#[test]
fn scenarios_of_seeds_are_drawn_as_by_the_earlier_version() {
    for file in fixture_files().iter().filter(|file| is_complete(file)) {
        let stored = fs::read_to_string(file).expect("a fixture");
        let seed = Scenario::read(file).expect("an earlier version's scenario").seed;
        assert_eq!(Scenario::draw(seed).text(), stored, "seed {seed}");
    }
}
