//! Tests of rollouts that are interrupted, rolled back, or run under load.

use std::io::Write;

use fakes::world::World;
use fakes::{until, until_in};
use fleet::control::Request;
use local_cluster::Plan;
use rustix::process::Signal;

use crate::support::{
    TIMEOUT, assert_no_violations, change_goal, history_contains, plan, start_host,
    start_host_with, start_load,
};

#[test]
fn reload_during_a_rollout_is_rejected_and_the_rollout_continues() {
    let host = start_host(6);
    let load = start_load(&host);
    change_goal(&host, 0.44);
    host.ask(&Request::Reload).expect("a valid configuration");
    change_goal(&host, 0.43);
    let error = host.ask(&Request::Reload).expect_err("a rollout is in progress").to_string();
    assert!(error.contains("rollout to generation 2"), "{error}");
    host.wait_until_settled(TIMEOUT).expect("settled");
    assert!(history_contains(&host, "generation 2 runs everywhere"));
    host.ask(&Request::Reload).expect("the rollout has ended");
    host.wait_until_settled(TIMEOUT).expect("settled");
    assert!(history_contains(&host, "generation 3 runs everywhere"));
    load.stop();
    assert_no_violations(&host);
}

#[test]
fn shutdown_during_a_rollout_ends_all_and_the_next_daemon_finishes_it() {
    let mut host = start_host(6);
    let load = start_load(&host);
    host.wait_until_served(20);
    change_goal(&host, 0.44);
    host.ask(&Request::Reload).expect("a valid configuration");
    until("a successor has started", || host.instances().iter().any(|i| i.generation == Some(2)));
    load.stop();
    let pids = host.pids();
    host.signal_daemon(Signal::TERM);
    let daemon = host.daemon().expect("the daemon is running");
    let mut status = None;
    until("the daemon ends", || {
        status = daemon.try_wait().expect("a child");
        status.is_some()
    });
    assert!(status.expect("ended").success());
    for pid in pids.values() {
        assert!(!std::path::Path::new(&format!("/proc/{pid}/environ")).exists());
    }
    host.start_daemon().expect("started");
    host.wait_until_settled(TIMEOUT).expect("settled");
    assert!(host.instances().iter().all(|i| i.generation == Some(2)));
    let load = start_load(&host);
    host.wait_until_served(20);
    load.stop();
    assert_no_violations(&host);
}

#[test]
fn daemon_after_a_killed_one_finishes_the_rollout() {
    let mut host = start_host(6);
    let load = start_load(&host);
    for whole in [0.44, 0.43, 0.42] {
        change_goal(&host, whole);
        host.ask(&Request::Reload).expect("a valid configuration");
        until("a successor has started", || {
            let status = host.status();
            let target = status["target"].as_u64();
            host.instances().iter().any(|i| i.generation == target)
        });
        host.kill_daemon();
        host.start_daemon().expect("started");
        host.wait_until_settled(TIMEOUT).expect("settled");
    }
    assert!(host.instances().iter().all(|i| i.generation == Some(4)));
    load.stop();
    assert_no_violations(&host);
}

/// The canary is moved to servers that reject all requests. `tests/fleet.rs` has a canary whose requests fail.
#[test]
fn canary_that_rejects_requests_is_rolled_back() {
    let rollout = "watch_s = 60.0\nleast_requests = 10\nready_within_s = 60.0".to_owned();
    let host = start_host_with(Plan { rollout, ..plan(6) });
    let rejecting_world = World::with_account(host.account().clone(), 1, 7);
    let rejecting_world = fakes::runtime().block_on(rejecting_world).expect("ports");
    for (server, _) in &rejecting_world.servers {
        server.drain();
    }
    let load = start_load(&host);
    host.set_discovery(rejecting_world.registry.at).expect("written");
    host.ask(&Request::Reload).expect("a valid configuration");
    let reason = "were refused at the canary";
    until_in(TIMEOUT, reason, || history_contains(&host, reason));
    host.wait_until_settled(TIMEOUT).expect("settled");
    assert!(host.instances().iter().all(|i| i.generation == Some(1)));
    host.wait_until_served(100);
    load.stop();
    assert_no_violations(&host);
}

#[test]
fn fleet_is_scaled_to_zero_and_back_under_load() {
    let host = start_host(6);
    let load = start_load(&host);
    let scale = |count| {
        for name in ["utrecht", "groningen", "eindhoven"] {
            host.ask(&Request::Scale { name: name.into(), count }).expect("known");
        }
    };
    let unknown = Request::Scale { name: "nowhere".into(), count: 1 };
    let error = host.ask(&unknown).expect_err("unknown").to_string();
    assert!(error.contains("nowhere"), "{error}");
    until("requests are served", || host.account().report().served() > 20);
    scale(0);
    until_in(TIMEOUT, "all instances are gone", || host.instances().is_empty());
    scale(2);
    host.wait_until_settled(TIMEOUT).expect("settled");
    assert_eq!(host.instances().len(), 6);
    load.stop();
    let report = host.account().report();
    // Connections may be refused while nothing listens, and reset while they wait in a backlog, but no accepted request
    // is lost.
    assert_eq!(report.violations(), 0, "{:?}", report.examples);
}

#[test]
fn rollback_during_a_rollout_restores_the_previous_generation() {
    let host = start_host(6);
    let load = start_load(&host);
    // A rollback takes only a tenth of a second, so without this wait no request might have been sent before it ends.
    host.wait_until_served(20);
    assert!(host.ask(&Request::Rollback).is_err(), "no rollout runs");
    change_goal(&host, 0.44);
    host.ask(&Request::Reload).expect("a valid configuration");
    until("a successor has started", || host.instances().iter().any(|i| i.generation == Some(2)));
    host.ask(&Request::Rollback).expect("a rollout runs");
    host.wait_until_settled(TIMEOUT).expect("settled");
    assert!(host.instances().iter().all(|i| i.generation == Some(1)));
    assert!(history_contains(&host, "generation 2 goes back: as was asked"));
    host.wait_until_served(20);
    load.stop();
    assert_no_violations(&host);
}

#[test]
fn busy_connection_is_closed_gracefully_on_reload() {
    let host = start_host(3);
    let at = host.instances()[0].listen.expect("the instance has a listen address");
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let busy = std::thread::spawn({
        let stop = stop.clone();
        move || {
            let (mut n, mut connections, mut close_races) = (0, 0, 0);
            while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                let mut socket = std::net::TcpStream::connect(at).expect("never refused");
                connections += 1;
                let mut reader =
                    std::io::BufReader::new(socket.try_clone().expect("a second handle"));
                loop {
                    n += 1;
                    let text = format!(
                        "GET /call-lookup/1 HTTP/1.1\r\nX-Correlation-Id: {n:016x}\r\n\
                         X-Account: radioclub-oost\r\nX-Time-Left-Ms: 10000\r\n\r\n"
                    );
                    // If the machine stalls between two requests, the connection is idle and may be closed before the
                    // next request.
                    let written = socket.write_all(text.as_bytes()).is_ok();
                    let answer = fakes::wire::read_message(&mut reader).filter(|_| written);
                    let Some((head, body)) = answer else {
                        close_races += 1;
                        break;
                    };
                    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
                    assert_eq!(body, format!("{n:016x}").as_bytes());
                    let last = head.to_lowercase().contains("connection: close");
                    if last || stop.load(std::sync::atomic::Ordering::Relaxed) {
                        break;
                    }
                }
            }
            (n, connections, close_races)
        }
    });
    let before = host.pids();
    change_goal(&host, 0.44);
    host.ask(&Request::Reload).expect("a valid configuration");
    host.wait_until_settled(TIMEOUT).expect("settled, and the replaced processes have exited");
    assert!(host.pids().iter().all(|(slot, pid)| before[slot] != *pid));
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let (requests, connections, close_races) = busy.join().expect("every request was answered");
    let counts = format!("{requests} on {connections}, {close_races} close races");
    // The number of requests depends on the speed of the machine. There is at least one connection before the reload
    // and one after it.
    assert!(requests > 10 && (2..=3).contains(&connections) && close_races <= 1, "{counts}");
}
