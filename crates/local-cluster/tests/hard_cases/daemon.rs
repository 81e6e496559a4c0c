//! Tests of the daemon: its state, sockets, signals and socket holder.

use std::io::{Read, Write};
use std::os::unix::net::{UnixDatagram, UnixStream};
use std::process::Stdio;
use std::time::{Duration, Instant};

use fakes::until;
use fakes::world::classes;
use fleet::control::Request;
use local_cluster::{Plan, signal_process};
use rustix::process::Signal;

use crate::support::{
    TIMEOUT, assert_no_violations, change_goal, history_contains, plan, start_host,
    start_host_with, start_load,
};

#[test]
fn second_daemon_on_the_same_state_refuses_to_start() {
    let host = start_host(3);
    let before = host.pids();
    let out = host.daemon_command().stderr(Stdio::piped()).output().expect("the daemon runs");
    assert_eq!(out.status.code(), Some(2));
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(error.contains("another daemon"), "{error}");
    assert_eq!(host.pids(), before);
}

#[test]
fn killed_socket_holder_is_replaced_and_keeps_all_listeners() {
    let mut host = start_host(3);
    let load = start_load(&host);
    let find_holder = || {
        let all = std::fs::read_dir("/proc").expect("proc").flatten();
        let command_line = format!("{}\0hold\0", "lb-fleet");
        let processes = all.filter_map(|e| {
            let pid: u32 = e.file_name().to_str()?.parse().ok()?;
            let line = String::from_utf8(std::fs::read(e.path().join("cmdline")).ok()?).ok()?;
            let status = std::fs::read_to_string(e.path().join("status")).ok()?;
            let parent = status.lines().find_map(|l| l.strip_prefix("PPid:"))?;
            Some((pid, line.ends_with(&command_line), parent.trim().parse::<u32>().ok()?))
        });
        let processes: Vec<_> = processes.collect();
        move |daemon: u32| {
            processes
                .iter()
                .find(|(_, hold, parent)| *hold && *parent == daemon)
                .map(|(pid, _, _)| *pid)
        }
    };
    let daemon = host.daemon().expect("the daemon is running").id();
    let first = find_holder()(daemon).expect("a holder");
    signal_process(first, Signal::KILL);
    until("another holder has started", || {
        history_contains(&host, "another takes its place")
            && find_holder()(daemon).is_some_and(|pid| pid != first)
    });
    let before: Vec<_> = host.instances().iter().map(|i| i.listen).collect();
    host.kill_daemon();
    host.start_daemon().expect("started");
    host.wait_until_settled(TIMEOUT).expect("settled");
    assert_eq!(host.instances().iter().map(|i| i.listen).collect::<Vec<_>>(), before);
    // The holder keeps the listeners open while instances crash, so no connection is refused.
    for instance in host.instances() {
        host.kill_instance(&instance);
    }
    until("the daemon detects their exit", || history_contains(&host, "ended"));
    host.wait_until_settled(TIMEOUT).expect("settled");
    load.stop();
    assert_no_violations(&host);
}

#[test]
fn unwritable_state_rejects_changes_and_instances_keep_serving() {
    let host = start_host(3);
    let (before, ledger) = (host.pids(), host.state_directory().join("ledger.json"));
    std::fs::remove_file(&ledger).expect("the file exists");
    std::fs::create_dir(&ledger).expect("created");
    change_goal(&host, 0.44);
    let error = host.ask(&Request::Reload).expect_err("the state cannot be written").to_string();
    assert!(error.contains("cannot be kept"), "{error}");
    assert!(host.status()["trouble"].as_str().is_some());
    assert_eq!(host.pids(), before);
    std::fs::remove_dir(&ledger).expect("empty");
    host.ask(&Request::Reload).expect("the state can be written");
    host.wait_until_settled(TIMEOUT).expect("settled");
    assert!(host.status()["trouble"].is_null());
}

#[test]
fn control_socket_tolerates_garbage_and_incomplete_requests() {
    let host = start_host(3);
    let path = host.state_directory().join("control.sock");
    let idle: Vec<_> =
        (0..10).map(|_| UnixStream::connect(&path).expect("the daemon listens")).collect();
    let mut incomplete = UnixStream::connect(&path).expect("the daemon listens");
    incomplete.write_all(b"{\"do\":\"sta").expect("sent");
    for garbage in [&b"\n"[..], b"{\"do\":\"nothing\"}\n", b"\xff\xfe\n", &[b'a'; 9000]] {
        let mut socket = UnixStream::connect(&path).expect("the daemon listens");
        let _ = socket.write_all(garbage);
        let _ = socket.shutdown(std::net::Shutdown::Write);
        let mut response = String::new();
        let _ = socket.read_to_string(&mut response);
        assert!(response.is_empty() || response.contains("error"), "{response}");
    }
    assert!(host.status()["pid"].is_u64());
    drop((idle, incomplete));
    let mode = std::fs::metadata(host.state_directory()).expect("a state directory").permissions();
    assert_eq!(
        std::os::unix::fs::PermissionsExt::mode(&mode) & 0o077,
        0,
        "accessible by the owner only"
    );
}

#[test]
fn daemon_notifies_its_service_manager() {
    let mut host = start_host(3);
    host.kill_daemon();
    let path = host.file_path("manager.sock");
    let service_manager = UnixDatagram::bind(&path).expect("a socket");
    service_manager.set_read_timeout(Some(TIMEOUT)).expect("a time");
    let mut command = host.daemon_command();
    let mut daemon = command.env("NOTIFY_SOCKET", &path).spawn().expect("the daemon starts");
    let wait_for = |text: &str| {
        let end = Instant::now() + TIMEOUT;
        let mut buf = [0; 512];
        while Instant::now() < end {
            let n = service_manager.recv(&mut buf).expect("a notification");
            if String::from_utf8_lossy(&buf[..n]).contains(text) {
                return;
            }
        }
        panic!("no notification contains {text}");
    };
    wait_for("READY=1");
    wait_for("WATCHDOG=1");
    host.wait_until_settled(TIMEOUT).expect("settled");
    change_goal(&host, 0.44);
    signal_process(daemon.id(), Signal::HUP);
    wait_for("RELOADING=1\nMONOTONIC_USEC=");
    wait_for("READY=1");
    host.wait_until_settled(TIMEOUT).expect("settled");
    signal_process(daemon.id(), Signal::TERM);
    wait_for("STOPPING=1");
    assert!(daemon.wait().expect("a child").success());
}

#[test]
fn second_sigterm_shuts_down_immediately() {
    let mut host = start_host_with(Plan { classes: classes(60.0), ..plan(3) });
    // Slow servers keep accepted requests open.
    for (server, _) in &host.world.servers {
        server.set_slowdown(2000.0);
    }
    let load = start_load(&host);
    until("requests are open", || {
        let slots = host.status()["slots"].as_array().cloned().unwrap_or_default();
        slots.iter().any(|s| s["open"].as_u64().unwrap_or(0) > 0)
    });
    for instance in host.instances() {
        host.account().expect_kill(instance.listen.expect("the instance has a listen address"));
    }
    host.signal_daemon(Signal::TERM);
    until("the daemon drains", || host.status()["stopping"] == true);
    let started = Instant::now();
    host.signal_daemon(Signal::TERM);
    let daemon = host.daemon().expect("the daemon is running");
    until("the daemon ends", || daemon.try_wait().expect("a child").is_some());
    // Without the second signal, the daemon would wait for open requests, whose longest deadline is two minutes.
    assert!(started.elapsed() < Duration::from_secs(60));
    drop(load);
}

#[test]
fn instances_can_be_replaced_after_daemon_and_socket_holder_were_killed() {
    let mut host = start_host(3);
    let load = start_load(&host);
    host.wait_until_served(20);
    let before = host.pids();
    host.kill_daemon();
    // The holder survives a killed daemon. It is terminated in the same way as by a daemon.
    fleet::socket_holder::terminate(&host.state_directory().join("holder.sock"));
    host.start_daemon().expect("started");
    host.wait_until_settled(TIMEOUT).expect("adopted");
    assert_eq!(host.pids(), before);
    // The daemon duplicates the listeners of the instances. Some systems do not allow an unprivileged user to duplicate
    // descriptors of another process.
    let scope = std::fs::read_to_string("/proc/sys/kernel/yama/ptrace_scope").unwrap_or_default();
    let may_duplicate = rustix::process::getuid().is_root() || matches!(scope.trim(), "" | "0");
    change_goal(&host, 0.44);
    host.ask(&Request::Reload).expect("a valid configuration");
    if may_duplicate {
        host.wait_until_settled(TIMEOUT).expect("settled");
        assert!(host.instances().iter().all(|i| i.generation == Some(2)));
    } else {
        until("an instance is shown as blocked", || {
            host.instances().iter().any(|i| i.state == "blocked")
        });
        host.ask(&Request::Rollback).expect("a rollout runs");
        host.wait_until_settled(TIMEOUT).expect("settled");
        assert_eq!(host.pids(), before);
    }
    load.stop();
    assert_no_violations(&host);
}

/// State that could not be stored is stored as soon as that is possible, even if no other event occurs.
#[test]
fn state_that_could_not_be_stored_is_stored_later() {
    let host = start_host(2);
    let stored =
        || std::fs::read_to_string(host.state_directory().join("ledger.json")).unwrap_or_default();
    // A directory in the place of the temporary file prevents the write.
    let obstacle = host.state_directory().join("ledger.new");
    std::fs::create_dir(&obstacle).expect("made");
    let slot = host.instances()[0].slot.clone();
    let _ = host.ask(&Request::Drain { slot });
    until("the daemon reports the failure", || {
        host.status().to_string().contains("the state cannot be kept")
    });
    assert!(!stored().contains("taken out"));
    std::fs::remove_dir(&obstacle).expect("removed");
    until("the state is stored", || stored().contains("taken out"));
}
