//! Tests of finding instances and of the exit status of children.

use std::path::Path;
use std::process::{Child, Command};

use fakes::program::Folder;
use fakes::until;
use rustix::process::Signal;

use super::{
    IDENTITY_VARIABLE, InstanceIdentity, LEGACY_IDENTITY_VARIABLE, Process, find_instances,
};

fn spawn_sleeping(state_directory: &Path, variable: &str, identity: &InstanceIdentity) -> Child {
    let mut command = Command::new("sleep");
    command.arg("600").env(variable, identity.encode(state_directory));
    command.spawn().expect("`sleep` starts")
}

#[test]
fn instance_started_by_an_earlier_version_is_found_by_its_legacy_variable() {
    let folder = Folder::new("find-former");
    let identity = InstanceIdentity { slot: "a-1".into(), generation: 1, program_id: 1 };
    let mut child = spawn_sleeping(folder.path(), LEGACY_IDENTITY_VARIABLE, &identity);
    until("the instance is found", || find_instances(folder.path()).len() == 1);
    assert_eq!(find_instances(folder.path())[0].0, identity);
    child.kill().expect("a child of ours");
    child.wait().expect("a child of ours");
}

#[test]
fn running_instance_is_found_by_its_identity_and_ended_one_is_not() {
    let (folder, other) = (Folder::new("find"), Folder::new("find"));
    let identity = InstanceIdentity { slot: "a|b-1".into(), generation: 3, program_id: 2 };
    let mut child = spawn_sleeping(folder.path(), IDENTITY_VARIABLE, &identity);
    until("the instance is found", || find_instances(folder.path()).len() == 1);
    assert!(find_instances(other.path()).is_empty());
    let (found, process) = find_instances(folder.path()).remove(0);
    assert_eq!((&found, process.pid), (&identity, child.id()));
    process.signal(Signal::KILL);
    until("the exit of the instance is noticed", || process.has_ended());
    // It has not been reaped: a zombie counts as ended.
    assert!(find_instances(folder.path()).is_empty());
    child.wait().expect("a child of ours");
}

#[test]
fn exit_status_of_a_child_is_reported() {
    let child = Command::new("sh").args(["-c", "exit 7"]).spawn().expect("the shell starts");
    let mut process = Process::from_child(child).expect("held");
    until("the child ends", || process.has_ended());
    assert_eq!(process.reap().to_string(), "ended with status 7");
}
