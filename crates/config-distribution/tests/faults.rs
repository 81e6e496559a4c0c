//! Changes among several processes, with faults between them.

mod common;

use std::thread;
use std::time::Duration;

use common::{Mesh, names};
use config_distribution::documents::LONGEST_BODY;
use config_distribution::net::http::Failed;
use fakes::until;
use rustix::process::Signal;
use serde_json::json;

#[test]
fn a_change_reaches_all_with_one_control_machine_killed_and_one_stopped() {
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
    let silent = mesh.total(0).silent_machines;
    assert_eq!(silent, ["c0", "c1"]);
    // Both come back, and their hosts with them, each counted once.
    mesh.controls[0].as_ref().expect("there").signal(Signal::CONT);
    mesh.control(1, false);
    let third = mesh.publish(0, "a", &json!({"n": 3}));
    hosts.have(3);
    until("all machines tell", || mesh.total(0).silent_machines.is_empty());
    mesh.in_force(0, third, 60);
}

#[test]
fn an_origin_that_ends_within_a_change_is_replaced_and_is_not_followed_when_it_is_back() {
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
            Err(Failed::Refused(503, why)) => why.contains("another origin is followed"),
            // It may order what nobody takes.
            Err(Failed::Refused(504, _) | Failed::Broken(_)) => false,
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
        // What a desk was told to be committed is still what it was.
        assert_eq!(told["generation"].as_u64(), Some(third));
    }
    hosts.have(4);
    mesh.in_force(2, third, 12);
}

#[test]
fn a_region_that_is_cut_off_goes_on_with_what_it_has_and_is_up_to_date_once_healed() {
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
    until("the desk sees who is not reached", || {
        let total = mesh.total(0);
        total.not_reached == 20
            && !total.in_force(second)
            && total.behind.iter().any(|b| b.host == "t-0")
    });
    // Changes with most of the members cut off are not said to be made.
    mesh.cut(&[2, 3, 4], true);
    let refused = mesh.ask(0, "/config/publish", Some(json!({"key": "a", "body": {"n": 3}})));
    assert!(matches!(refused, Err(Failed::Refused(504, _))), "{refused:?}");
    mesh.cut(&[], false);
    let third = mesh.publish(0, "a", &json!({"n": 3}));
    println!("the region has the newest {:?} after it was told", there.have(3));
    late.have(3);
    here.have(3);
    mesh.in_force(0, third, 50);
}

#[test]
fn who_missed_a_hundred_changes_gets_the_last_and_thirty_at_once_are_one() {
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
fn after_all_have_lost_power_what_was_in_force_is_known_again() {
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
fn a_lost_disk_is_made_up_for_and_two_of_three_put_nothing_older_in_force() {
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
    assert!(matches!(refused, Err(Failed::Refused(503, _))), "{refused:?}");
    let told = mesh.ask_control(0, "/config/documents?host=x&zone=z&service=a&from=0");
    assert!(matches!(told, Err(Failed::Refused(503, _))), "{told:?}");
    // The third still serves what was in force.
    let late = mesh.hosts(&names("late", 3), &[0, 1, 2]);
    late.have(2);
    hosts.never_went_back();
}

#[test]
fn what_cannot_be_a_document_is_refused_at_the_desk() {
    let mesh = Mesh::start(1);
    mesh.publish(0, "a", &json!({"n": 1}));
    let refused = |key: &str, body: serde_json::Value| match mesh.ask(
        0,
        "/config/publish",
        Some(json!({"key": key, "body": body})),
    ) {
        Err(Failed::Refused(400, why)) => why,
        other => panic!("{other:?}"),
    };
    let why = refused("a", json!({"n": "x".repeat(LONGEST_BODY)}));
    let size = LONGEST_BODY + r#"{"n":""}"#.len();
    assert!(why.contains(&format!("{size} bytes, {LONGEST_BODY} at most expected")), "{why}");
    assert!(refused("a", json!([1])).contains("object expected"));
    assert!(refused("a b", json!({})).contains("SERVICE"));
    assert!(refused("gone", json!(null)).contains("there is none"));
    let known = mesh.ask(0, "/config/documents?key=a", None).expect("it is there");
    assert_eq!(known["body"]["n"], 1);
}
