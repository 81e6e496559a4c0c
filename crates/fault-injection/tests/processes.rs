//! What is told of a sidecar's process.

use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;

use fakes::program::Folder;
use fakes::until;
use fault_injection::processes::{Process, ProcessSpawner};
use fault_injection::testbed::Programs;

/// In a place in which an earlier process has listened.
#[test]
fn process_that_has_not_logged_so_since_its_start_has_not_listened() {
    let folder = Folder::new("process");
    let program = folder.path().join("program");
    fs::write(&program, "#!/bin/sh\nsleep 0.3\necho listening >&2\nsleep 30\n").expect("written");
    fs::set_permissions(&program, Permissions::from_mode(0o700)).expect("set");
    let spawner = ProcessSpawner::new(Programs::built(false).expect("the programs").guard);
    let mut process = Process::new(folder.path().to_owned());
    fs::write(process.log_path(), "listening\n").expect("written");
    process.start(&spawner, &program, true).expect("started");
    assert!(!process.has_listened());
    until("it listens", || process.has_listened());
}
