//! The daemon itself: its state, its sockets, its signals, and the holder of its listeners.

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
    PATIENCE, assert_sound, change_objective, history_contains, host, plan, start_load, started,
};

#[test]
fn second_daemon_on_the_same_state_refuses_to_start() {
    let host = host(3);
    let before = host.pids();
    let out = host.daemon_command().stderr(Stdio::piped()).output().expect("it starts");
    assert_eq!(out.status.code(), Some(2));
    let why = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(why.contains("another daemon"), "{why}");
    assert_eq!(host.pids(), before);
}

#[test]
fn killed_socket_holder_is_replaced_and_keeps_all_listeners() {
    let mut host = host(3);
    let load = start_load(&host);
    let holder = || {
        let all = std::fs::read_dir("/proc").expect("proc").flatten();
        let daemon = format!("{}\0hold\0", "lb-fleet");
        let mine = all.filter_map(|e| {
            let pid: u32 = e.file_name().to_str()?.parse().ok()?;
            let line = String::from_utf8(std::fs::read(e.path().join("cmdline")).ok()?).ok()?;
            let status = std::fs::read_to_string(e.path().join("status")).ok()?;
            let parent = status.lines().find_map(|l| l.strip_prefix("PPid:"))?;
            Some((pid, line.ends_with(&daemon), parent.trim().parse::<u32>().ok()?))
        });
        let mine: Vec<_> = mine.collect();
        move |daemon: u32| {
            mine.iter().find(|(_, hold, parent)| *hold && *parent == daemon).map(|(pid, _, _)| *pid)
        }
    };
    let daemon = host.daemon().expect("it runs").id();
    let first = holder()(daemon).expect("a holder");
    signal_process(first, Signal::KILL);
    until("another holds", || {
        history_contains(&host, "another takes its place")
            && holder()(daemon).is_some_and(|pid| pid != first)
    });
    let before: Vec<_> = host.instances().iter().map(|i| i.listen).collect();
    host.kill_daemon();
    host.start_daemon().expect("started");
    host.wait_until_settled(PATIENCE).expect("settled");
    assert_eq!(host.instances().iter().map(|i| i.listen).collect::<Vec<_>>(), before);
    // The listeners stay open while an instance crashes, so that no connection is refused.
    for instance in host.instances() {
        host.kill_instance(&instance);
    }
    until("their ends are noticed", || history_contains(&host, "ended"));
    host.wait_until_settled(PATIENCE).expect("settled");
    load.stop();
    assert_sound(&host);
}

#[test]
fn unwritable_state_rejects_changes_and_instances_keep_serving() {
    let host = host(3);
    let (before, ledger) = (host.pids(), host.state_directory().join("ledger.json"));
    std::fs::remove_file(&ledger).expect("it was there");
    std::fs::create_dir(&ledger).expect("in its place");
    change_objective(&host, 0.44);
    let error = host.ask(&Request::Reload).expect_err("the state cannot be written").to_string();
    assert!(error.contains("cannot be kept"), "{error}");
    assert!(host.status()["trouble"].as_str().is_some());
    assert_eq!(host.pids(), before);
    std::fs::remove_dir(&ledger).expect("empty");
    host.ask(&Request::Reload).expect("now it can");
    host.wait_until_settled(PATIENCE).expect("settled");
    assert!(host.status()["trouble"].is_null());
}

#[test]
fn garbage_and_half_open_connections_on_the_control_socket_do_no_harm() {
    let host = host(3);
    let path = host.state_directory().join("control.sock");
    let silent: Vec<_> = (0..10).map(|_| UnixStream::connect(&path).expect("it listens")).collect();
    let mut half = UnixStream::connect(&path).expect("it listens");
    half.write_all(b"{\"do\":\"sta").expect("sent");
    for garbage in [&b"\n"[..], b"{\"do\":\"nothing\"}\n", b"\xff\xfe\n", &[b'a'; 9000]] {
        let mut socket = UnixStream::connect(&path).expect("it listens");
        let _ = socket.write_all(garbage);
        let _ = socket.shutdown(std::net::Shutdown::Write);
        let mut told = String::new();
        let _ = socket.read_to_string(&mut told);
        assert!(told.is_empty() || told.contains("error"), "{told}");
    }
    assert!(host.status()["pid"].is_u64());
    drop((silent, half));
    let mode = std::fs::metadata(host.state_directory()).expect("there").permissions();
    assert_eq!(std::os::unix::fs::PermissionsExt::mode(&mode) & 0o077, 0, "the owner's only");
}

#[test]
fn daemon_notifies_its_service_manager() {
    let mut host = host(3);
    host.kill_daemon();
    let path = host.file_path("keeper.sock");
    let keeper = UnixDatagram::bind(&path).expect("a socket");
    keeper.set_read_timeout(Some(PATIENCE)).expect("a time");
    let mut command = host.daemon_command();
    let mut daemon = command.env("NOTIFY_SOCKET", &path).spawn().expect("it starts");
    let wait_for = |what: &str| {
        let end = Instant::now() + PATIENCE;
        let mut buf = [0; 512];
        while Instant::now() < end {
            let n = keeper.recv(&mut buf).expect("a word");
            if String::from_utf8_lossy(&buf[..n]).contains(what) {
                return;
            }
        }
        panic!("in vain: {what}");
    };
    wait_for("READY=1");
    wait_for("WATCHDOG=1");
    host.wait_until_settled(PATIENCE).expect("settled");
    change_objective(&host, 0.44);
    signal_process(daemon.id(), Signal::HUP);
    wait_for("RELOADING=1\nMONOTONIC_USEC=");
    wait_for("READY=1");
    host.wait_until_settled(PATIENCE).expect("settled");
    signal_process(daemon.id(), Signal::TERM);
    wait_for("STOPPING=1");
    assert!(daemon.wait().expect("a child").success());
}

#[test]
fn second_sigterm_shuts_down_immediately() {
    let mut host = started(Plan { classes: classes(60.0), ..plan(3) });
    // Slow servers keep accepted requests open.
    for (server, _) in &host.world.servers {
        server.set_slowdown(2000.0);
    }
    let load = start_load(&host);
    until("something is open", || {
        let slots = host.status()["slots"].as_array().cloned().unwrap_or_default();
        slots.iter().any(|s| s["open"].as_u64().unwrap_or(0) > 0)
    });
    for instance in host.instances() {
        host.account().expect_kill(instance.listen.expect("it listens"));
    }
    host.signal_daemon(Signal::TERM);
    until("it drains", || host.status()["stopping"] == true);
    let began = Instant::now();
    host.signal_daemon(Signal::TERM);
    let daemon = host.daemon().expect("it runs");
    until("the daemon ends", || daemon.try_wait().expect("a child").is_some());
    // The longest deadline is two minutes.
    assert!(began.elapsed() < Duration::from_secs(60));
    drop(load);
}

#[test]
fn instances_can_be_replaced_after_daemon_and_socket_holder_were_killed() {
    let mut host = host(3);
    let load = start_load(&host);
    host.wait_until_served(20);
    let before = host.pids();
    host.kill_daemon();
    // The holder has no daemon now, and is terminated as a daemon would do it.
    fleet::socket_holder::terminate(&host.state_directory().join("holder.sock"));
    host.start_daemon().expect("started");
    host.wait_until_settled(PATIENCE).expect("adopted");
    assert_eq!(host.pids(), before);
    // Not every system lets an ordinary user duplicate a descriptor of another process; root may.
    let scope = std::fs::read_to_string("/proc/sys/kernel/yama/ptrace_scope").unwrap_or_default();
    let may = rustix::process::getuid().is_root() || matches!(scope.trim(), "" | "0");
    change_objective(&host, 0.44);
    host.ask(&Request::Reload).expect("sound");
    if may {
        host.wait_until_settled(PATIENCE).expect("settled");
        assert!(host.instances().iter().all(|i| i.generation == Some(2)));
    } else {
        until("it is shown", || host.instances().iter().any(|i| i.state == "blocked"));
        host.ask(&Request::Rollback).expect("a rollout runs");
        host.wait_until_settled(PATIENCE).expect("settled");
        assert_eq!(host.pids(), before);
    }
    load.stop();
    assert_sound(&host);
}

/// What could not be stored is stored once that is possible again, whether or not anything else happens.
#[test]
fn state_that_could_not_be_stored_is_stored_later() {
    let host = host(2);
    let stored =
        || std::fs::read_to_string(host.state_directory().join("ledger.json")).unwrap_or_default();
    // A directory in the place of the file that is to be written.
    let obstacle = host.state_directory().join("ledger.new");
    std::fs::create_dir(&obstacle).expect("made");
    let slot = host.instances()[0].slot.clone();
    let _ = host.ask(&Request::Drain { slot });
    until("the daemon says what is wrong", || {
        host.status().to_string().contains("the state cannot be kept")
    });
    assert!(!stored().contains("taken out"));
    std::fs::remove_dir(&obstacle).expect("removed");
    until("the state is stored", || stored().contains("taken out"));
}
