//! Tests of changes and faults with fifty real sidecars under one daemon and load.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fakes::account::Report;
use fakes::clients::Load;
use fakes::logserver::Fault;
use fakes::world::{World, classes};
use fakes::{until, until_in};
use fleet::control::Request;
use local_cluster::{Host, Plan};
use rustix::process::Signal;

/// Held by the running test, so that one test runs at a time: each has fifty processes.
static EXCLUSIVE: Mutex<()> = Mutex::new(());

/// The time limit of each condition that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(120);

fn lock_exclusive() -> MutexGuard<'static, ()> {
    EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn host(instances: usize) -> Host {
    host_with(
        instances,
        "watch_s = 1.0\nleast_requests = 5\nshare = 0.2\nready_within_s = 60.0\nreload_within_s = 20.0",
    )
}

fn host_with(instances: usize, rollout: &str) -> Host {
    let plan = Plan {
        instances,
        servers: 3,
        // Long deadlines, so that no request times out on a slow machine.
        classes: classes(15.0),
        rollout: rollout.to_owned(),
        restarts: "silent_after_s = 60.0\nfirst_pause_s = 0.05".to_owned(),
        ..Plan::default()
    };
    let host = Host::start(plan).expect("the host starts");
    host.wait_until_settled(TIMEOUT).expect("all instances serve");
    host
}

fn load() -> Load {
    Load { rate: 3.0, slack: Duration::from_secs(20), tenants: World::tenants(), ..Load::default() }
}

fn history_contains(host: &Host, text: &str) -> bool {
    host.ask(&Request::History).is_ok_and(|h| h.to_string().contains(text))
}

fn assert_no_violations(report: &Report) {
    let text = format!("{:?}", report.examples);
    assert_eq!((report.duplicated_non_idempotent, report.duplicated_keyed), (0, 0), "{text}");
    assert_eq!((report.lost, report.timed_out, report.wrong_body), (0, 0, 0), "{text}");
    assert_eq!(
        (report.refused_connections, report.unread_connections, report.violations()),
        (0, 0, 0),
        "{text}"
    );
    for class in &report.classes {
        assert!(class.served * 100 >= class.requested * 95, "{class:?}");
    }
}

#[test]
fn fifty_instances_survive_reload_upgrade_crashes_and_a_killed_daemon() {
    let _exclusive = lock_exclusive();
    let mut host = host(50);
    assert_eq!(host.instances().len(), 50);
    let load = host.start_load(&load());
    host.wait_until_served(100);

    // A reload that needs new processes, and one that the running processes apply.
    let first = host.pids();
    host.change_settings(|s| s["goal"]["whole"] = 0.44.into()).expect("written");
    host.signal_daemon(Signal::HUP);
    until_in(TIMEOUT, "all instances run the second generation", || {
        history_contains(&host, "2 runs everywhere")
    });
    host.wait_until_settled(TIMEOUT).expect("settled");
    let second = host.pids();
    assert!(first.iter().all(|(slot, pid)| second[slot] != *pid), "successors");
    host.change_settings(|s| s["classes"][0]["aim"] = 3_000_000.into()).expect("written");
    host.ask(&Request::Reload).expect("a valid configuration");
    host.wait_until_settled(TIMEOUT).expect("settled");
    assert_eq!(host.pids(), second, "the same processes");
    host.wait_until_served(100);

    // An upgrade to a copy of the program that differs in trailing bytes.
    let newer = host.file_path("lb-sidecar-newer");
    std::fs::copy(host.sidecar_program(), &newer).expect("copied");
    let mut bytes = std::fs::read(&newer).expect("read");
    bytes.extend_from_slice(b"newer");
    std::fs::write(&newer, bytes).expect("written");
    host.ask(&Request::Upgrade { program: Some(newer) }).expect("a valid program");
    host.wait_until_settled(TIMEOUT).expect("settled");
    let third = host.pids();
    assert!(second.iter().all(|(slot, pid)| third[slot] != *pid), "successors");
    host.wait_until_served(100);

    // Every fifth instance is killed.
    for instance in host.instances().iter().step_by(5) {
        host.kill_instance(instance);
    }
    until("the daemon detects their exit", || host.pids() != third);
    host.wait_until_settled(TIMEOUT).expect("all instances serve again");
    host.wait_until_served(100);

    // The daemon is killed, and the next daemon adopts the running instances.
    let before = host.pids();
    host.kill_daemon();
    host.wait_until_served(50);
    host.start_daemon().expect("started");
    host.wait_until_settled(TIMEOUT).expect("adopted");
    assert_eq!(host.pids(), before, "no instance was started twice");
    assert!(host.instances().iter().all(|i| i.processes == 1));

    // Adopted instances are still supervised.
    let one = host.instances().remove(0);
    host.kill_instance(&one);
    until("the daemon detects its exit", || host.pids().get(&one.slot) != one.pid.as_ref());
    host.wait_until_settled(TIMEOUT).expect("all instances serve again");
    host.wait_until_served(50);

    load.stop();
    let report = host.account().report();
    assert_no_violations(&report);
    assert!(report.requested() > 500);
}

#[test]
fn invalid_configurations_and_programs_are_rejected_or_rolled_back() {
    let _exclusive = lock_exclusive();
    let host = host(50);
    let load = host.start_load(&Load { rate: 5.0, ..load() });
    let before = host.pids();
    let assert_unchanged = |reason: &str| {
        until_in(TIMEOUT, reason, || history_contains(&host, reason));
        host.wait_until_settled(TIMEOUT).expect("all instances serve");
        assert!(host.instances().iter().all(|i| i.generation == Some(1)), "{reason}");
        host.wait_until_served(50);
    };

    // A file that cannot be parsed, and one that the sidecar rejects.
    let valid_file = std::fs::read_to_string(host.spec_path()).expect("read");
    std::fs::write(host.spec_path(), valid_file.replace("count = 17", "count = -1"))
        .expect("written");
    let error = host.ask(&Request::Reload).expect_err("invalid").to_string();
    assert!(error.contains("line ") && error.contains("fleet.toml"), "{error}");
    std::fs::write(host.spec_path(), &valid_file).expect("written");
    host.change_settings(|s| s["classes"][1]["deadline"] = 0.into()).expect("written");
    let error = host.ask(&Request::Reload).expect_err("invalid").to_string();
    assert!(error.contains("classes[1].deadline"), "{error}");
    assert_unchanged("classes[1].deadline");
    assert_eq!(host.pids(), before);

    // A program that exits at once, and one that passes the check and exits when it has to serve.
    let upgrade_to = |text: &str| {
        let path = host.file_path("program");
        std::fs::write(&path, text).expect("written");
        let path = path.clone();
        host.ask(&Request::Upgrade { program: Some(path) })
    };
    upgrade_to("#!/bin/sh\necho it is broken >&2; exit 3\n").expect_err("the check fails");
    assert_unchanged("it is broken");
    assert_eq!(host.pids(), before);
    upgrade_to("#!/bin/sh\n[ \"$1\" = check ] && exit 0\nexit 3\n").expect("the check passes");
    assert_unchanged("ended before it was ready");

    load.stop();
    let report = host.account().report();
    let text = format!("{:?}", report.examples);
    assert_eq!((report.violations(), report.refused_connections), (0, 0), "{text}");
}

/// The canary is moved to a discovery whose servers fail every request; the other 49 instances keep theirs. Whether the
/// requests of the canary fail or are rejected depends on the classes of the first requests.
#[test]
fn failing_canary_is_rolled_back() {
    let _exclusive = lock_exclusive();
    let host = host_with(50, "watch_s = 60.0\nleast_requests = 10\nready_within_s = 60.0");
    let failing_world = World::with_account(host.account().clone(), 1, 7);
    let failing_world = fakes::runtime().block_on(failing_world).expect("ports");
    for (server, _) in &failing_world.servers {
        server.set_faults(vec![(1.0, Fault::Error)]);
    }
    let load = host.start_load(&Load { rate: 5.0, ..load() });
    host.set_discovery(failing_world.registry.at).expect("written");
    host.ask(&Request::Reload).expect("a valid configuration");
    until_in(TIMEOUT, "the rollback is in the history", || {
        history_contains(&host, "at the canary")
    });
    host.wait_until_settled(TIMEOUT).expect("all instances serve");
    assert!(host.instances().iter().all(|i| i.generation == Some(1)));
    host.wait_until_served(200);
    load.stop();
    let report = host.account().report();
    let text = format!("{:?}", report.examples);
    assert_eq!((report.violations(), report.refused_connections), (0, 0), "{text}");
}
