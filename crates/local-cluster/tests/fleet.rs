//! Fifty real sidecars under one daemon, under load, through what a fleet has to live through.

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

/// Fifty processes at a time are enough for a small machine.
static ALONE: Mutex<()> = Mutex::new(());

const PATIENCE: Duration = Duration::from_secs(120);

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
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
        // Time enough on any machine: nothing is late by chance.
        classes: classes(15.0),
        rollout: rollout.to_owned(),
        restarts: "silent_after_s = 60.0\nfirst_pause_s = 0.05".to_owned(),
        ..Plan::default()
    };
    let host = Host::start(plan).expect("it starts");
    host.wait(PATIENCE).expect("all serve");
    host
}

fn load() -> Load {
    Load { rate: 3.0, slack: Duration::from_secs(20), tenants: World::tenants(), ..Load::default() }
}

fn told(host: &Host, what: &str) -> bool {
    host.ask(&Request::History).is_ok_and(|h| h.to_string().contains(what))
}

fn served_more(host: &Host, n: u64) {
    let before = host.account().report().served();
    until("requests are served", || host.account().report().served() >= before + n);
}

fn sound(report: &Report) {
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
fn fifty_live_through_reload_upgrade_crashes_and_the_death_of_the_daemon() {
    let _alone = alone();
    let mut host = host(50);
    assert_eq!(host.instances().len(), 50);
    let driving = host.drive(&load());
    served_more(&host, 100);

    // A reload that only new processes can take over, and one that all take over live.
    let first = host.pids();
    host.change(|s| s["goal"]["whole"] = 0.44.into()).expect("written");
    host.signal_daemon(Signal::HUP);
    until_in(PATIENCE, "all run the second generation", || told(&host, "2 runs everywhere"));
    host.wait(PATIENCE).expect("settled");
    let second = host.pids();
    assert!(first.iter().all(|(slot, pid)| second[slot] != *pid), "successors");
    host.change(|s| s["classes"][0]["aim"] = 3_000_000.into()).expect("written");
    host.ask(&Request::Reload).expect("sound");
    host.wait(PATIENCE).expect("settled");
    assert_eq!(host.pids(), second, "the same processes");
    served_more(&host, 100);

    // An upgrade: the same program with other bytes.
    let newer = host.path("lb-sidecar-newer");
    std::fs::copy(host.sidecar(), &newer).expect("copied");
    let mut bytes = std::fs::read(&newer).expect("read");
    bytes.extend_from_slice(b"newer");
    std::fs::write(&newer, bytes).expect("written");
    host.ask(&Request::Upgrade { program: Some(newer) }).expect("sound");
    host.wait(PATIENCE).expect("settled");
    let third = host.pids();
    assert!(second.iter().all(|(slot, pid)| third[slot] != *pid), "successors");
    served_more(&host, 100);

    // A fifth is killed.
    for instance in host.instances().iter().step_by(5) {
        host.kill(instance);
    }
    until("their end is noticed", || host.pids() != third);
    host.wait(PATIENCE).expect("all serve again");
    served_more(&host, 100);

    // The daemon is killed, and its successor adopts what runs.
    let before = host.pids();
    host.kill_daemon();
    served_more(&host, 50);
    host.start_daemon().expect("started");
    host.wait(PATIENCE).expect("adopted");
    assert_eq!(host.pids(), before, "no second copy of anything");
    assert!(host.instances().iter().all(|i| i.processes == 1));

    // Adopted, they are still looked after.
    let one = host.instances().remove(0);
    host.kill(&one);
    until("its end is noticed", || host.pids().get(&one.slot) != one.pid.as_ref());
    host.wait(PATIENCE).expect("all serve again");
    served_more(&host, 50);

    driving.stop();
    let report = host.account().report();
    sound(&report);
    assert!(report.requested() > 500);
}

#[test]
fn what_is_broken_is_refused_or_goes_back_and_all_fifty_serve() {
    let _alone = alone();
    let host = host(50);
    let driving = host.drive(&Load { rate: 5.0, ..load() });
    let before = host.pids();
    let unmoved = |why: &str| {
        until_in(PATIENCE, why, || told(&host, why));
        host.wait(PATIENCE).expect("all serve");
        assert!(host.instances().iter().all(|i| i.generation == Some(1)), "{why}");
        served_more(&host, 50);
    };

    // A file that cannot be read, and one that the sidecar itself would refuse.
    let sound_file = std::fs::read_to_string(host.file()).expect("read");
    std::fs::write(host.file(), sound_file.replace("count = 17", "count = -1")).expect("written");
    let why = host.ask(&Request::Reload).expect_err("broken");
    assert!(why.contains("line ") && why.contains("fleet.toml"), "{why}");
    std::fs::write(host.file(), &sound_file).expect("written");
    host.change(|s| s["classes"][1]["deadline"] = 0.into()).expect("written");
    let why = host.ask(&Request::Reload).expect_err("broken");
    assert!(why.contains("classes[1].deadline"), "{why}");
    unmoved("classes[1].deadline");
    assert_eq!(host.pids(), before);

    // A program that exits at once, and one that does so only when it is to serve.
    let program = |text: &str| {
        let path = host.path("program");
        std::fs::write(&path, text).expect("written");
        let path = path.clone();
        host.ask(&Request::Upgrade { program: Some(path) })
    };
    program("#!/bin/sh\necho it is broken >&2; exit 3\n").expect_err("refused");
    unmoved("it is broken");
    assert_eq!(host.pids(), before);
    program("#!/bin/sh\n[ \"$1\" = check ] && exit 0\nexit 3\n").expect("it checks well");
    unmoved("ended before it was ready");

    driving.stop();
    let report = host.account().report();
    let text = format!("{:?}", report.examples);
    assert_eq!((report.violations(), report.refused_connections), (0, 0), "{text}");
}

/// The canary's discovery names servers that fail everything; the other 49 keep theirs. Whether what comes
/// of that is failed or refused depends on the classes of its first requests.
#[test]
fn a_canary_that_fails_goes_back_and_all_fifty_serve() {
    let _alone = alone();
    let host = host_with(50, "watch_s = 60.0\nleast_requests = 10\nready_within_s = 60.0");
    let others = World::with_account(host.account().clone(), 1, 7);
    let others = fakes::runtime().block_on(others).expect("ports");
    for (server, _) in &others.servers {
        server.set_faults(vec![(1.0, Fault::Error)]);
    }
    let driving = host.drive(&Load { rate: 5.0, ..load() });
    host.move_discovery(others.registry.at).expect("written");
    host.ask(&Request::Reload).expect("sound in itself");
    until_in(PATIENCE, "it is told", || told(&host, "at the canary"));
    host.wait(PATIENCE).expect("all serve");
    assert!(host.instances().iter().all(|i| i.generation == Some(1)));
    served_more(&host, 200);
    driving.stop();
    let report = host.account().report();
    let text = format!("{:?}", report.examples);
    assert_eq!((report.violations(), report.refused_connections), (0, 0), "{text}");
}
