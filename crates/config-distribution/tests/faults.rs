//! Distribution among several processes, with crashes and network faults.

mod common;

use std::fs;
use std::thread;
use std::time::Duration;

use common::{Cluster, Program, names};
use config_distribution::documents::MAX_BODY_BYTES;
use config_distribution::net::http::CallError;
use fakes::faulty_calls::{FaultRates, environment, environment_for_files};
use fakes::program::Folder;
use fakes::until;
use rustix::process::Signal;
use serde_json::{Value, json};

#[test]
fn change_reaches_all_hosts_with_one_control_server_killed_and_one_stopped() {
    let mut cluster = Cluster::start(5);
    let first = cluster.publish(0, "a", &json!({"n": 1}));
    let hosts = cluster.start_hosts(&names("h", 60), &[0, 1, 2, 3, 4]);
    hosts.wait_until_applied(1);
    cluster.wait_until_applied(0, first, 60);
    // The connections of the stopped server stay open and silent, those of the killed one are reset.
    cluster.servers[0].as_ref().expect("the server is running").signal(Signal::STOP);
    cluster.servers[1] = None;
    let second = cluster.publish(0, "a", &json!({"n": 2}));
    println!("applied after {:?} with two of five servers down", hosts.wait_until_applied(2));
    cluster.wait_until_applied(0, second, 60);
    let unreachable = cluster.progress(0).unreachable_servers;
    assert_eq!(unreachable, ["c0", "c1"]);
    // Both servers come back, and so do their hosts, each of which is counted once.
    cluster.servers[0].as_ref().expect("the server is paused").signal(Signal::CONT);
    cluster.restart_server(1);
    let third = cluster.publish(0, "a", &json!({"n": 3}));
    hosts.wait_until_applied(3);
    until("all servers report", || cluster.progress(0).unreachable_servers.is_empty());
    cluster.wait_until_applied(0, third, 60);
}

/// Each response of the origin takes 1.3 s, and a request that is not held times out after 1 s. Changes still arrive,
/// because the timeout of a watch request includes the time for which it may be held, and the origin records a progress
/// report even if its sender has timed out.
#[test]
fn changes_and_progress_pass_links_that_are_slower_than_the_response_timeout() {
    let cluster = Cluster::start(3);
    let first = cluster.publish(0, "a", &json!({"n": 1}));
    let hosts = cluster.start_hosts(&names("h", 6), &[0, 1, 2]);
    hosts.wait_until_applied(1);
    cluster.wait_until_applied(0, first, 6);
    cluster.delay(&[0, 1, 2], Duration::from_millis(650));
    let second = cluster.publish(0, "a", &json!({"n": 2}));
    hosts.wait_until_applied(2);
    cluster.wait_until_applied(0, second, 6);
}

#[test]
fn crashed_origin_is_replaced_and_not_followed_after_its_return() {
    let mut cluster = Cluster::start(3);
    cluster.publish(0, "a", &json!({"n": 1}));
    let hosts = cluster.start_hosts(&names("h", 12), &[0, 1, 2]);
    hosts.wait_until_applied(1);
    // The first origin is stopped, so it does not notice that another one takes over.
    cluster.origins[&0].signal(Signal::STOP);
    cluster.start_origin(1);
    let second = cluster.publish(1, "a", &json!({"n": 2}));
    hosts.wait_until_applied(2);
    cluster.origins[&0].signal(Signal::CONT);
    until("the first origin knows that it is superseded", || {
        let change = Some(json!({"key": "a", "body": {"n": 3}}));
        match cluster.request_origin(0, "/config/publish", change) {
            Err(CallError::Rejected { status: 503, reason }) => {
                reason.contains("another origin is followed")
            }
            // The origin may order a change that no member accepts.
            Err(CallError::Rejected { status: 504, .. }) => false,
            Err(rejected @ CallError::Rejected { .. }) => panic!("{rejected}"),
            // The connection failed.
            Err(_) => false,
            other => panic!("{other:?}"),
        }
    });
    cluster.wait_until_applied(1, second, 12);
    // The second origin is killed while a change is being published.
    let outcome = thread::scope(|scope| {
        let publication = scope.spawn(|| {
            cluster.request_origin(
                1,
                "/config/publish",
                Some(json!({"key": "a", "body": {"n": 4}})),
            )
        });
        thread::sleep(Duration::from_millis(5));
        cluster.origins[&1].signal(Signal::KILL);
        publication.join().expect("no panic")
    });
    cluster.origins.remove(&1);
    cluster.start_origin(2);
    let third = cluster.publish(2, "a", &json!({"n": 4}));
    if let Ok(published) = outcome {
        // A change that was reported as committed keeps its number.
        assert_eq!(published["generation"].as_u64(), Some(third));
    }
    hosts.wait_until_applied(4);
    cluster.wait_until_applied(2, third, 12);
}

#[test]
fn partitioned_region_keeps_its_configuration_and_catches_up_after_healing() {
    let mut cluster = Cluster::start(5);
    let first = cluster.publish(0, "a", &json!({"n": 1}));
    let (connected, partitioned) = (
        cluster.start_hosts(&names("h", 20), &[0, 1, 2]),
        cluster.start_hosts(&names("t", 20), &[3, 4]),
    );
    connected.wait_until_applied(1);
    partitioned.wait_until_applied(1);
    cluster.wait_until_applied(0, first, 40);
    cluster.partition(&[3, 4]);
    let second = cluster.publish(0, "a", &json!({"n": 2}));
    connected.wait_until_applied(2);
    // New hosts in the partitioned region start from the documents there, also on a server that was restarted.
    cluster.servers[4] = None;
    cluster.restart_server(4);
    let late = cluster.start_hosts(&names("late", 10), &[3, 4]);
    late.wait_until_applied(1);
    until("the operator sees which hosts are unreachable", || {
        let total = cluster.progress(0);
        total.unreachable_hosts == 20
            && !total.is_applied_everywhere(second)
            && total.lagging.iter().any(|lagging| lagging.host == "t-0")
    });
    // With a quorum partitioned away, a change is not reported as committed.
    cluster.partition(&[2, 3, 4]);
    let refused =
        cluster.request_origin(0, "/config/publish", Some(json!({"key": "a", "body": {"n": 3}})));
    assert!(matches!(refused, Err(CallError::Rejected { status: 504, .. })), "{refused:?}");
    cluster.heal();
    let third = cluster.publish(0, "a", &json!({"n": 3}));
    println!(
        "the partitioned region has the latest change after {:?}",
        partitioned.wait_until_applied(3)
    );
    late.wait_until_applied(3);
    connected.wait_until_applied(3);
    cluster.wait_until_applied(0, third, 50);
}

#[test]
fn late_host_applies_only_the_latest_of_many_changes() {
    let cluster = Cluster::start(3);
    for n in 1..=100 {
        cluster.publish(0, if n % 2 == 0 { "a" } else { "b" }, &json!({"n": n}));
    }
    let hosts = cluster.start_hosts(&names("h", 5), &[0, 1, 2]);
    hosts.wait_until_applied(100);
    assert!((0..5).all(|n| hosts.applied_count(n) == 1), "one response, one application");
    thread::scope(|scope| {
        for n in 101..=130 {
            let cluster = &cluster;
            scope.spawn(move || cluster.publish(0, "a", &json!({"n": 1000})) + n);
        }
    });
    // Publishing the same body thirty times makes one change.
    hosts.wait_until_applied(1000);
    assert!((0..5).all(|n| hosts.applied_count(n) == 2));
    for n in 1001..=1030 {
        cluster.publish(0, "a", &json!({"n": n}));
    }
    hosts.wait_until_applied(1030);
    assert!((0..5).all(|n| hosts.applied_count(n) <= 32), "each is applied once at most");
}

#[test]
fn configuration_survives_restart_of_all_processes() {
    let mut cluster = Cluster::start(3);
    let first = cluster.publish(0, "a", &json!({"n": 7}));
    {
        let hosts = cluster.start_hosts(&names("h", 12), &[0, 1, 2]);
        hosts.wait_until_applied(7);
        cluster.wait_until_applied(0, first, 12);
    }
    cluster.origins.clear();
    cluster.servers.iter_mut().for_each(|c| *c = None);
    (0..3).for_each(|n| cluster.restart_server(n));
    // No origin runs, and the hosts have lost their disks.
    let hosts = cluster.start_hosts(&names("h", 12), &[0, 1, 2]);
    hosts.wait_until_applied(7);
    cluster.start_origin(0);
    let second = cluster.publish(0, "a", &json!({"n": 8}));
    assert!(second > first);
    hosts.wait_until_applied(8);
    cluster.wait_until_applied(0, second, 12);
}

#[test]
fn one_lost_disk_recovers_and_loss_of_a_quorum_applies_nothing_older() {
    let mut cluster = Cluster::start(3);
    let lose_disk = |cluster: &mut Cluster, n: usize| {
        cluster.servers[n] = None;
        fs::remove_dir_all(cluster.state_dir(n)).expect("the server has a state directory");
        cluster.restart_server(n);
    };
    cluster.publish(0, "a", &json!({"n": 1}));
    let hosts = cluster.start_hosts(&names("h", 6), &[0, 1, 2]);
    hosts.wait_until_applied(1);
    lose_disk(&mut cluster, 0);
    until("the server has recovered", || {
        cluster.request_server(0, "/config/status").is_ok_and(|s| s["promised"].is_number())
    });
    // The recovered server votes again, so another one may be down.
    cluster.servers[1] = None;
    cluster.publish(0, "a", &json!({"n": 2}));
    hosts.wait_until_applied(2);
    // Two of three servers have lost their disks, so it is unknown which changes were committed.
    cluster.origins.clear();
    lose_disk(&mut cluster, 0);
    cluster.restart_server(1);
    lose_disk(&mut cluster, 1);
    cluster.start_origin(1);
    let refused =
        cluster.request_origin(1, "/config/publish", Some(json!({"key": "a", "body": {"n": 3}})));
    assert!(matches!(refused, Err(CallError::Rejected { status: 503, .. })), "{refused:?}");
    let watched = cluster.request_server(0, "/config/documents?host=x&zone=z&service=a&from=0");
    assert!(matches!(watched, Err(CallError::Rejected { status: 503, .. })), "{watched:?}");
    // The third server still serves the last committed documents.
    let late = cluster.start_hosts(&names("late", 3), &[0, 1, 2]);
    late.wait_until_applied(2);
    hosts.assert_never_older();
}

#[test]
fn invalid_document_is_rejected_by_the_origin() {
    let cluster = Cluster::start(1);
    cluster.publish(0, "a", &json!({"n": 1}));
    let rejection = |key: &str, body: Value| match cluster.request_origin(
        0,
        "/config/publish",
        Some(json!({"key": key, "body": body})),
    ) {
        Err(CallError::Rejected { status: 400, reason }) => reason,
        other => panic!("{other:?}"),
    };
    let reason = rejection("a", json!({"n": "x".repeat(MAX_BODY_BYTES)}));
    let size = MAX_BODY_BYTES + r#"{"n":""}"#.len();
    assert!(
        reason.contains(&format!("{size} bytes, {MAX_BODY_BYTES} at most expected")),
        "{reason}"
    );
    assert!(rejection("a", json!([1])).contains("object expected"));
    assert!(rejection("a b", json!({})).contains("SERVICE"));
    assert!(rejection("gone", json!(null)).contains("there is none"));
    let document =
        cluster.request_origin(0, "/config/documents?key=a", None).expect("the document exists");
    assert_eq!(document["body"]["n"], 1);
}

/// Writes of the state fail at times, as on a full disk. This delays changes, and must neither end a control server nor
/// let it report changes that are not stored.
#[test]
fn failing_writes_delay_changes_and_end_no_control_server() {
    let mut cluster = Cluster::start(3);
    let first = cluster.publish(0, "a", &json!({"n": 1}));
    let hosts = cluster.start_hosts(&names("h", 6), &[0, 1, 2]);
    hosts.wait_until_applied(1);
    cluster.wait_until_applied(0, first, 6);
    for n in 0..3 {
        let rates = FaultRates { seed: n as u32, file: 300, ..FaultRates::default() };
        let env = environment_for_files(rates, "/state.new").expect("a C compiler");
        cluster.servers[n] = None;
        cluster.start_server_with_env(n, &[], &env);
    }
    let mut last = first;
    for n in 2..8 {
        last = cluster.publish(0, "a", &json!({"n": n}));
        hosts.wait_until_applied(n);
    }
    cluster.wait_until_applied(0, last, 6);
    let ended = cluster.servers.iter_mut().flatten().filter_map(|s| s.has_ended().then_some(()));
    assert_eq!(ended.count(), 0, "control servers that ended by themselves");
}

/// The disk of a control server is full when it starts for the first time.
#[test]
fn new_control_server_whose_first_writes_fail_starts_once_they_succeed() {
    let mut cluster = Cluster::start(1);
    cluster.servers[0] = None;
    fs::remove_dir_all(cluster.state_dir(0)).expect("removed");
    let rates = FaultRates { seed: 3, file: 500, ..FaultRates::default() };
    let env = environment_for_files(rates, "/state.new").expect("a C compiler");
    cluster.start_server_with_env(0, &["--new"], &env);
    let hosts = cluster.start_hosts(&names("h", 1), &[0]);
    cluster.publish(0, "a", &json!({"n": 1}));
    hosts.wait_until_applied(1);
    let server = cluster.servers[0].as_mut().expect("started");
    assert!(!server.has_ended(), "the control server has ended");
}

/// System calls are interrupted while the host starts the program that checks a configuration, and waits for its end.
#[test]
fn host_whose_calls_are_interrupted_checks_and_applies_a_configuration() {
    let cluster = Cluster::start(1);
    let folder = Folder::new("host");
    let (base, config) = (folder.path().join("base.json"), folder.path().join("config.json"));
    fs::write(&base, r#"{"name":"h","listen":"127.0.0.1:1"}"#).expect("written");
    let arguments = [
        "host",
        "--name=h",
        "--zone=z",
        "--service=a",
        &format!("--control={}", cluster.member_arguments(None)[0]),
        "alone",
        &format!("--base={}", base.display()),
        &format!("--config={}", config.display()),
        "--program=/bin/true",
    ]
    .map(str::to_owned);
    let rates = FaultRates { seed: 5, interrupted: 300, ..FaultRates::default() };
    let env = environment(rates, None).expect("a C compiler");
    let mut host = Program::start_with_env(&arguments, &folder.path().join("log"), &env);
    for n in 1..=10 {
        cluster.publish(0, "a", &json!({"n": n}));
        until("the configuration is applied", || {
            let text = fs::read_to_string(&config).unwrap_or_default();
            let value: Value = serde_json::from_str(&text).unwrap_or_default();
            value["n"] == n
        });
    }
    assert!(!host.has_ended(), "the host has ended");
}
