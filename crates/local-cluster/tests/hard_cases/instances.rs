//! Tests of instances that hang, cannot start, or are drained.

use std::net::TcpListener;

use fakes::until;
use fakes::world::classes;
use fleet::control::Request;
use local_cluster::{Host, Plan, signal_process};
use rustix::process::Signal;

use crate::support::{TIMEOUT, history_contains, plan, start_host, start_host_with};

#[test]
fn hung_instance_is_detected_and_replaced() {
    let host = start_host(3);
    let one = host.instances().remove(0);
    let pid = one.pid.expect("the instance has a process");
    host.account().expect_kill(one.listen.expect("the instance has a listen address"));
    signal_process(pid, Signal::STOP);
    until("the hang is detected", || history_contains(&host, "fell silent: it was stopped"));
    until("another process serves", || {
        let now = host.instances().remove(0);
        now.state == "serving" && now.pid != Some(pid)
    });
}

#[test]
fn instance_that_ignores_sigterm_is_killed_and_its_successor_serves() {
    let plan = Plan { classes: classes(1.0), ..plan(3) };
    let host = start_host_with(plan);
    let one = host.instances().remove(0);
    let pid = one.pid.expect("the instance has a process");
    host.account().expect_kill(one.listen.expect("the instance has a listen address"));
    // A paused process handles no signal. Its last status is recent, so the daemon does not find it hung before the
    // successor has started.
    signal_process(pid, Signal::STOP);
    host.ask(&Request::Restart { slot: Some(one.slot.clone()) }).expect("known");
    until("the process is gone", || {
        !std::path::Path::new(&format!("/proc/{pid}/environ")).exists()
    });
    host.wait_until_settled(TIMEOUT).expect("settled");
    let now = host.instances().remove(0);
    assert_ne!(now.pid, Some(pid));
}

#[test]
fn port_in_use_affects_only_its_instance() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("bound");
    let host = start_host(3);
    let text = std::fs::read_to_string(host.spec_path()).expect("read");
    let text = text.replacen("127.0.0.1:0", &at.to_string(), 1);
    std::fs::write(host.spec_path(), text).expect("written");
    host.ask(&Request::Reload).expect("a valid configuration");
    until("the reason is shown", || {
        host.instances().iter().any(|i| i.why.as_ref().is_some_and(|why| why.contains("in use")))
    });
    let others = host.instances().into_iter().filter(|i| !i.slot.starts_with("utrecht"));
    assert!(others.into_iter().all(|i| i.state == "serving" || i.state == "moving"));
    drop(taken);
    host.wait_until_settled(TIMEOUT).expect("the instance starts once the port is free");
    let utrecht = host.instances().into_iter().find(|i| i.slot == "utrecht-0");
    assert_eq!(utrecht.and_then(|i| i.listen), Some(at));
}

#[test]
fn drained_instance_stays_drained_until_it_is_restarted() {
    let mut host = start_host(3);
    let slot = host.instances().remove(0).slot;
    host.ask(&Request::Drain { slot: slot.clone() }).expect("known");
    let state = |host: &Host| {
        let found = host.instances().into_iter().find(|i| i.slot == slot);
        found.map(|i| i.state).unwrap_or_default()
    };
    until("the instance is drained", || state(&host) == "drained");
    host.kill_daemon();
    host.start_daemon().expect("started");
    host.wait_until_settled(TIMEOUT).expect("settled");
    assert_eq!(state(&host), "drained");
    host.ask(&Request::Restart { slot: Some(slot.clone()) }).expect("known");
    until("the instance serves again", || state(&host) == "serving");
    assert!(host.ask(&Request::Drain { slot: "nobody-1".into() }).is_err());
}

#[test]
fn instance_inherits_only_its_own_listener() {
    let host = start_host(6);
    for (slot, pid) in host.pids() {
        let fds = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors");
        let listening: Vec<String> = {
            let tcp = std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).expect("sockets");
            let listen = tcp.lines().filter(|l| l.split_whitespace().nth(3) == Some("0A"));
            listen.filter_map(|l| l.split_whitespace().nth(9).map(str::to_owned)).collect()
        };
        let mut listeners = 0;
        for fd in fds.flatten() {
            let Ok(to) = std::fs::read_link(fd.path()) else { continue };
            let to = to.display().to_string();
            let inode = to.strip_prefix("socket:[").map(|t| t.trim_end_matches(']'));
            listeners += usize::from(inode.is_some_and(|i| listening.iter().any(|l| l == i)));
            let state_directory = host.state_directory().display().to_string();
            assert!(!to.starts_with(&state_directory), "{slot} holds {to}");
        }
        assert_eq!(listeners, 1, "{slot}");
    }
}

#[test]
fn unwritable_configuration_affects_only_its_instance() {
    let host = start_host(3);
    let one = host.instances().remove(0);
    // A directory in the place of the temporary file that is written before the configuration is replaced.
    let blocking = host.state_directory().join("run").join(format!("{}.new", one.slot));
    std::fs::create_dir(&blocking).expect("created");
    host.kill_instance(&one);
    until("the reason is shown", || {
        let now = host.instances().remove(0);
        now.why.is_some_and(|why| why.contains(".json: ")) && now.state != "serving"
    });
    assert!(host.instances().iter().skip(1).all(|i| i.state == "serving"));
    std::fs::remove_dir(&blocking).expect("empty");
    host.ask(&Request::Restart { slot: Some(one.slot) }).expect("known");
    host.wait_until_settled(TIMEOUT).expect("the instance starts once the file can be written");
}
