//! Tests of the state directory: its lock, the stored state and the copies of programs.

use std::collections::BTreeSet;
use std::fs;
use std::os::unix::fs::PermissionsExt;

use fakes::program::Folder;
use fleet::state::MAX_HISTORY_ENTRIES;
use fleet::state_directory::StateDirectory;

#[test]
fn directory_is_locked_for_one_daemon_at_a_time() {
    let folder = Folder::new("state");
    let first = StateDirectory::open(folder.path()).expect("free");
    let error = StateDirectory::open(folder.path()).err().expect("taken").to_string();
    assert!(error.contains("another daemon"), "{error}");
    drop(first);
    let mode =
        fs::metadata(folder.path()).expect("the state directory exists").permissions().mode();
    assert_eq!(mode & 0o777, 0o700);
    StateDirectory::open(folder.path()).expect("free again");
}

#[test]
fn corrupt_state_is_an_error_and_not_an_empty_state() {
    let folder = Folder::new("state");
    let directory = StateDirectory::open(folder.path()).expect("free");
    let mut state = directory.load().expect("none yet");
    for n in 0..MAX_HISTORY_ENTRIES + 5 {
        state.record(format!("{n}"));
    }
    state.target = 7;
    directory.store(&state).expect("stored");
    let loaded = directory.load().expect("the stored state can be loaded");
    assert_eq!((loaded.target, loaded.history.len()), (7, MAX_HISTORY_ENTRIES));
    assert_eq!(loaded.history[0].event, "5");
    fs::write(directory.file("ledger.json"), b"{\"last\":").expect("written");
    assert!(directory.load().is_err());
}

#[test]
fn equal_programs_are_copied_once() {
    let folder = Folder::new("state");
    let directory = StateDirectory::open(folder.path()).expect("free");
    let (a, b) = (folder.path().join("a"), folder.path().join("b"));
    fs::write(&a, b"one").expect("written");
    fs::write(&b, b"two").expect("written");
    assert_eq!(directory.import_program(&a, &[], 1).expect("copied"), 1);
    assert_eq!(directory.import_program(&a, &[1], 2).expect("copied"), 1);
    assert_eq!(directory.import_program(&b, &[1], 2).expect("copied"), 2);
    directory.remove_unused_programs(&BTreeSet::from([2]));
    assert!(!directory.program(1).exists() && directory.program(2).exists());
}
