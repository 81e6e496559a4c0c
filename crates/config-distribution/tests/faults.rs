//! Changes among several processes, with faults between them.

mod common;

use std::thread;
use std::time::Duration;

use common::{Mesh, names};
use config_distribution::documents::MAX_BODY_BYTES;
use config_distribution::net::http::CallError;
use fakes::until;
use rustix::process::Signal;
use serde_json::json;

#[test]
fn change_reaches_all_hosts_with_one_control_server_killed_and_one_stopped() {
    let mut mesh = Mesh::start(5);
    let first = mesh.publish(0, "a", &json!({"n": 1}));
    let hosts = mesh.hosts(&names("h", 60), &[0, 1, 2, 3, 4]);
    hosts.have(1);
    mesh.in_force(0, first, 60);
    // Connections of the one stay open and silent, those of the other are reset.
    mesh.controls[0].as_ref().expect("there").signal(Signal::STOP);
    mesh.controls[1] = None;
    let second = mesh.publish(0, "a", &json!({"n": 2}));
    println!("after {:?} with two of five machines gone", hosts.have(2));
    mesh.in_force(0, second, 60);
    let silent = mesh.total(0).unreachable_servers;
    assert_eq!(silent, ["c0", "c1"]);
    // Both come back, and their hosts with them, each counted once.
    mesh.controls[0].as_ref().expect("there").signal(Signal::CONT);
    mesh.control(1, false);
    let third = mesh.publish(0, "a", &json!({"n": 3}));
    hosts.have(3);
    until("all machines tell", || mesh.total(0).unreachable_servers.is_empty());
    mesh.in_force(0, third, 60);
}

#[test]
fn crashed_origin_is_replaced_and_not_followed_after_its_return() {
    let mut mesh = Mesh::start(3);
    mesh.publish(0, "a", &json!({"n": 1}));
    let hosts = mesh.hosts(&names("h", 12), &[0, 1, 2]);
    hosts.have(1);
    // Nobody hears of the first any more, and it does not know.
    mesh.origins[&0].signal(Signal::STOP);
    mesh.origin(1);
    let second = mesh.publish(1, "a", &json!({"n": 2}));
    hosts.have(2);
    mesh.origins[&0].signal(Signal::CONT);
    until("the first knows that it is not followed", || {
        let wanted = Some(json!({"key": "a", "body": {"n": 3}}));
        match mesh.ask(0, "/config/publish", wanted) {
            Err(CallError::Rejected { status: 503, reason }) => {
                reason.contains("another origin is followed")
            }
            // It may order what nobody takes.
            Err(CallError::Rejected { status: 504, .. }) => false,
            Err(rejected @ CallError::Rejected { .. }) => panic!("{rejected}"),
            // The connection failed.
            Err(_) => false,
            other => panic!("{other:?}"),
        }
    });
    mesh.in_force(1, second, 12);
    // The second ends in the moment in which it is told of a change.
    let changes = thread::scope(|scope| {
        let told = scope
            .spawn(|| mesh.ask(1, "/config/publish", Some(json!({"key": "a", "body": {"n": 4}}))));
        thread::sleep(Duration::from_millis(5));
        mesh.origins[&1].signal(Signal::KILL);
        told.join().expect("no panic")
    });
    mesh.origins.remove(&1);
    mesh.origin(2);
    let third = mesh.publish(2, "a", &json!({"n": 4}));
    if let Ok(told) = changes {
        // What an operator was told to be committed is still what it was.
        assert_eq!(told["generation"].as_u64(), Some(third));
    }
    hosts.have(4);
    mesh.in_force(2, third, 12);
}

#[test]
fn partitioned_region_keeps_its_configuration_and_catches_up_after_healing() {
    let mut mesh = Mesh::start(5);
    let first = mesh.publish(0, "a", &json!({"n": 1}));
    let (here, there) =
        (mesh.hosts(&names("h", 20), &[0, 1, 2]), mesh.hosts(&names("t", 20), &[3, 4]));
    here.have(1);
    there.have(1);
    mesh.in_force(0, first, 40);
    mesh.cut(&[3, 4], true);
    let second = mesh.publish(0, "a", &json!({"n": 2}));
    here.have(2);
    // New sidecars in the region that is cut off start from what it has, also on a machine that was started anew.
    mesh.controls[4] = None;
    mesh.control(4, false);
    let late = mesh.hosts(&names("late", 10), &[3, 4]);
    late.have(1);
    until("the operator sees who is not reached", || {
        let total = mesh.total(0);
        total.unreachable_hosts == 20
            && !total.is_applied_everywhere(second)
            && total.lagging.iter().any(|b| b.host == "t-0")
    });
    // Changes with most of the members cut off are not said to be made.
    mesh.cut(&[2, 3, 4], true);
    let refused = mesh.ask(0, "/config/publish", Some(json!({"key": "a", "body": {"n": 3}})));
    assert!(matches!(refused, Err(CallError::Rejected { status: 504, .. })), "{refused:?}");
    mesh.cut(&[], false);
    let third = mesh.publish(0, "a", &json!({"n": 3}));
    println!("the region has the newest {:?} after it was told", there.have(3));
    late.have(3);
    here.have(3);
    mesh.in_force(0, third, 50);
}

#[test]
fn late_host_applies_only_the_latest_of_many_changes() {
    let mesh = Mesh::start(3);
    for n in 1..=100 {
        mesh.publish(0, if n % 2 == 0 { "a" } else { "b" }, &json!({"n": n}));
    }
    let hosts = mesh.hosts(&names("h", 5), &[0, 1, 2]);
    hosts.have(100);
    assert!((0..5).all(|n| hosts.puts(n) == 1), "one answer, one change");
    thread::scope(|scope| {
        for n in 101..=130 {
            let mesh = &mesh;
            scope.spawn(move || mesh.publish(0, "a", &json!({"n": 1000})) + n);
        }
    });
    // The same thirty times over is one change.
    hosts.have(1000);
    assert!((0..5).all(|n| hosts.puts(n) == 2));
    for n in 1001..=1030 {
        mesh.publish(0, "a", &json!({"n": n}));
    }
    hosts.have(1030);
    assert!((0..5).all(|n| hosts.puts(n) <= 32), "each is put in force once at the most");
}

#[test]
fn configuration_survives_restart_of_all_processes() {
    let mut mesh = Mesh::start(3);
    let first = mesh.publish(0, "a", &json!({"n": 7}));
    {
        let hosts = mesh.hosts(&names("h", 12), &[0, 1, 2]);
        hosts.have(7);
        mesh.in_force(0, first, 12);
    }
    mesh.origins.clear();
    mesh.controls.iter_mut().for_each(|c| *c = None);
    (0..3).for_each(|n| mesh.control(n, false));
    // Without an origin, and with hosts that have lost their disks.
    let hosts = mesh.hosts(&names("h", 12), &[0, 1, 2]);
    hosts.have(7);
    mesh.origin(0);
    let second = mesh.publish(0, "a", &json!({"n": 8}));
    assert!(second > first);
    hosts.have(8);
    mesh.in_force(0, second, 12);
}

#[test]
fn one_lost_disk_recovers_and_loss_of_a_quorum_applies_nothing_older() {
    let mut mesh = Mesh::start(3);
    let lose = |mesh: &mut Mesh, n: usize| {
        mesh.controls[n] = None;
        std::fs::remove_dir_all(mesh.state(n)).expect("it had state");
        mesh.control(n, false);
    };
    mesh.publish(0, "a", &json!({"n": 1}));
    let hosts = mesh.hosts(&names("h", 6), &[0, 1, 2]);
    hosts.have(1);
    lose(&mut mesh, 0);
    until("it knows again", || {
        mesh.ask_control(0, "/config/status").is_ok_and(|s| s["promised"].is_number())
    });
    // It counts again: another may be gone.
    mesh.controls[1] = None;
    mesh.publish(0, "a", &json!({"n": 2}));
    hosts.have(2);
    // Two of three have lost what they had: nobody can say what was committed.
    mesh.origins.clear();
    lose(&mut mesh, 0);
    mesh.control(1, false);
    lose(&mut mesh, 1);
    mesh.origin(1);
    let refused = mesh.ask(1, "/config/publish", Some(json!({"key": "a", "body": {"n": 3}})));
    assert!(matches!(refused, Err(CallError::Rejected { status: 503, .. })), "{refused:?}");
    let told = mesh.ask_control(0, "/config/documents?host=x&zone=z&service=a&from=0");
    assert!(matches!(told, Err(CallError::Rejected { status: 503, .. })), "{told:?}");
    // The third still serves what was in force.
    let late = mesh.hosts(&names("late", 3), &[0, 1, 2]);
    late.have(2);
    hosts.never_went_back();
}

#[test]
fn invalid_document_is_rejected_by_the_origin() {
    let mesh = Mesh::start(1);
    mesh.publish(0, "a", &json!({"n": 1}));
    let refused = |key: &str, body: serde_json::Value| match mesh.ask(
        0,
        "/config/publish",
        Some(json!({"key": key, "body": body})),
    ) {
        Err(CallError::Rejected { status: 400, reason }) => reason,
        other => panic!("{other:?}"),
    };
    let why = refused("a", json!({"n": "x".repeat(MAX_BODY_BYTES)}));
    let size = MAX_BODY_BYTES + r#"{"n":""}"#.len();
    assert!(why.contains(&format!("{size} bytes, {MAX_BODY_BYTES} at most expected")), "{why}");
    assert!(refused("a", json!([1])).contains("object expected"));
    assert!(refused("a b", json!({})).contains("SERVICE"));
    assert!(refused("gone", json!(null)).contains("there is none"));
    let known = mesh.ask(0, "/config/documents?key=a", None).expect("it is there");
    assert_eq!(known["body"]["n"], 1);
}
