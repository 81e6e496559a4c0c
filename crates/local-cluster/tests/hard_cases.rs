//! Faults and changes of a small fleet, one in each test.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::net::{UnixDatagram, UnixStream};
use std::process::Stdio;
use std::time::{Duration, Instant};

use fakes::clients::Load;
use fakes::world::{World, classes};
use fakes::{until, until_in};
use fleet::control::Request;
use local_cluster::{Host, Plan, RunningLoad, signal_process};
use rustix::process::Signal;

const PATIENCE: Duration = Duration::from_secs(60);

fn plan(instances: usize) -> Plan {
    Plan {
        instances,
        classes: classes(15.0),
        rollout: "watch_s = 0.5\nleast_requests = 0\nshare = 0.4\nready_within_s = 30.0".to_owned(),
        restarts: "silent_after_s = 30.0\nfirst_pause_s = 0.05".to_owned(),
        ..Plan::default()
    }
}

fn started(plan: Plan) -> Host {
    let host = Host::start(plan).expect("it starts");
    host.wait_until_settled(PATIENCE).expect("all serve");
    host
}

fn host(instances: usize) -> Host {
    started(plan(instances))
}

fn start_load(host: &Host) -> RunningLoad {
    host.start_load(&Load {
        rate: 10.0,
        slack: Duration::from_secs(20),
        tenants: World::tenants(),
        ..Load::default()
    })
}

fn assert_sound(host: &Host) {
    let report = host.account().report();
    let text = format!("{:?}", report.examples);
    assert_eq!(
        (report.violations(), report.unread_connections, report.refused_connections),
        (0, 0, 0),
        "{text}"
    );
    assert!(report.served() > 0);
}

fn history_contains(host: &Host, what: &str) -> bool {
    host.ask(&Request::History).is_ok_and(|h| h.to_string().contains(what))
}

fn change_objective(host: &Host, whole: f64) {
    host.change_settings(|s| s["goal"]["whole"] = whole.into()).expect("written");
}

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
fn reload_during_a_rollout_is_rejected_and_the_rollout_continues() {
    let host = host(6);
    let load = start_load(&host);
    change_objective(&host, 0.44);
    host.ask(&Request::Reload).expect("sound");
    change_objective(&host, 0.43);
    let error = host.ask(&Request::Reload).expect_err("one at a time").to_string();
    assert!(error.contains("rollout to generation 2"), "{error}");
    host.wait_until_settled(PATIENCE).expect("settled");
    assert!(history_contains(&host, "generation 2 runs everywhere"));
    host.ask(&Request::Reload).expect("now it may");
    host.wait_until_settled(PATIENCE).expect("settled");
    assert!(history_contains(&host, "generation 3 runs everywhere"));
    load.stop();
    assert_sound(&host);
}

#[test]
fn shutdown_during_a_rollout_ends_all_and_the_next_daemon_finishes_it() {
    let mut host = host(6);
    let load = start_load(&host);
    change_objective(&host, 0.44);
    host.ask(&Request::Reload).expect("sound");
    until("a successor is there", || host.instances().iter().any(|i| i.generation == Some(2)));
    load.stop();
    let pids = host.pids();
    host.signal_daemon(Signal::TERM);
    let daemon = host.daemon().expect("it runs");
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
    host.wait_until_settled(PATIENCE).expect("settled");
    assert!(host.instances().iter().all(|i| i.generation == Some(2)));
    let load = start_load(&host);
    let before = host.account().report().served();
    until("requests are served", || host.account().report().served() > before + 20);
    load.stop();
    assert_sound(&host);
}

#[test]
fn daemon_after_a_killed_one_finishes_the_rollout() {
    let mut host = host(6);
    let load = start_load(&host);
    for whole in [0.44, 0.43, 0.42] {
        change_objective(&host, whole);
        host.ask(&Request::Reload).expect("sound");
        until("a successor is there", || {
            let status = host.status();
            let target = status["target"].as_u64();
            host.instances().iter().any(|i| i.generation == target)
        });
        host.kill_daemon();
        host.start_daemon().expect("started");
        host.wait_until_settled(PATIENCE).expect("settled");
    }
    assert!(host.instances().iter().all(|i| i.generation == Some(4)));
    load.stop();
    assert_sound(&host);
}

/// The servers of the canary reject everything. A canary whose requests fail is tested with fifty instances.
#[test]
fn canary_that_rejects_requests_is_rolled_back() {
    let rollout = "watch_s = 60.0\nleast_requests = 10\nready_within_s = 60.0".to_owned();
    let host = started(Plan { rollout, ..plan(6) });
    let others = World::with_account(host.account().clone(), 1, 7);
    let others = fakes::runtime().block_on(others).expect("ports");
    for (server, _) in &others.servers {
        server.drain();
    }
    let load = start_load(&host);
    host.set_discovery(others.registry.at).expect("written");
    host.ask(&Request::Reload).expect("sound");
    let why = "were refused at the canary";
    until_in(PATIENCE, why, || history_contains(&host, why));
    host.wait_until_settled(PATIENCE).expect("settled");
    assert!(host.instances().iter().all(|i| i.generation == Some(1)));
    let before = host.account().report().served();
    until("requests are served", || host.account().report().served() > before + 100);
    load.stop();
    assert_sound(&host);
}

#[test]
fn hung_instance_is_detected_and_replaced() {
    let host = host(3);
    let one = host.instances().remove(0);
    let pid = one.pid.expect("it runs");
    host.account().expect_kill(one.listen.expect("it listens"));
    signal_process(pid, Signal::STOP);
    until("it is found out", || history_contains(&host, "fell silent: it was stopped"));
    until("another serves", || {
        let now = host.instances().remove(0);
        now.state == "serving" && now.pid != Some(pid)
    });
}

#[test]
fn instance_that_ignores_sigterm_is_killed_and_its_successor_serves() {
    let plan = Plan { classes: classes(1.0), ..plan(3) };
    let host = started(plan);
    let one = host.instances().remove(0);
    let pid = one.pid.expect("it runs");
    host.account().expect_kill(one.listen.expect("it listens"));
    // Paused, it handles no signal; but it has reported just now, so that its successor starts first.
    signal_process(pid, Signal::STOP);
    host.ask(&Request::Restart { slot: Some(one.slot.clone()) }).expect("known");
    until("it is gone", || !std::path::Path::new(&format!("/proc/{pid}/environ")).exists());
    host.wait_until_settled(PATIENCE).expect("settled");
    let now = host.instances().remove(0);
    assert_ne!(now.pid, Some(pid));
}

#[test]
fn port_in_use_affects_that_instance_only() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("bound");
    let host = host(3);
    let text = std::fs::read_to_string(host.spec_path()).expect("read");
    let text = text.replacen("127.0.0.1:0", &at.to_string(), 1);
    std::fs::write(host.spec_path(), text).expect("written");
    host.ask(&Request::Reload).expect("sound in itself");
    until("it is shown", || {
        host.instances().iter().any(|i| i.why.as_ref().is_some_and(|why| why.contains("in use")))
    });
    let others = host.instances().into_iter().filter(|i| !i.slot.starts_with("utrecht"));
    assert!(others.into_iter().all(|i| i.state == "serving" || i.state == "moving"));
    drop(taken);
    host.wait_until_settled(PATIENCE).expect("it comes when the port is free");
    let utrecht = host.instances().into_iter().find(|i| i.slot == "utrecht-0");
    assert_eq!(utrecht.and_then(|i| i.listen), Some(at));
}

#[test]
fn fleet_is_scaled_to_zero_and_back_under_load() {
    let host = host(6);
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
    until_in(PATIENCE, "all are gone", || host.instances().is_empty());
    scale(2);
    host.wait_until_settled(PATIENCE).expect("settled");
    assert_eq!(host.instances().len(), 6);
    load.stop();
    let report = host.account().report();
    // Connections are refused where nothing listens, and reset where they were not accepted yet. No accepted request
    // is lost.
    assert_eq!(report.violations(), 0, "{:?}", report.examples);
}

#[test]
fn drained_instance_stays_drained_until_it_is_restarted() {
    let mut host = host(3);
    let slot = host.instances().remove(0).slot;
    host.ask(&Request::Drain { slot: slot.clone() }).expect("known");
    let state = |host: &Host| {
        let found = host.instances().into_iter().find(|i| i.slot == slot);
        found.map(|i| i.state).unwrap_or_default()
    };
    until("it is out", || state(&host) == "drained");
    host.kill_daemon();
    host.start_daemon().expect("started");
    host.wait_until_settled(PATIENCE).expect("settled");
    assert_eq!(state(&host), "drained");
    host.ask(&Request::Restart { slot: Some(slot.clone()) }).expect("known");
    until("it serves again", || state(&host) == "serving");
    assert!(host.ask(&Request::Drain { slot: "nobody-1".into() }).is_err());
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
fn child_inherits_its_listener_only() {
    let host = host(6);
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
            let ours = host.state_directory().display().to_string();
            assert!(!to.starts_with(&ours), "{slot} holds {to}");
        }
        assert_eq!(listeners, 1, "{slot}");
    }
}

#[test]
fn rollback_during_a_rollout_restores_the_previous_generation() {
    let host = host(6);
    let load = start_load(&host);
    assert!(host.ask(&Request::Rollback).is_err(), "no rollout runs");
    change_objective(&host, 0.44);
    host.ask(&Request::Reload).expect("sound");
    until("a successor is there", || host.instances().iter().any(|i| i.generation == Some(2)));
    host.ask(&Request::Rollback).expect("a rollout runs");
    host.wait_until_settled(PATIENCE).expect("settled");
    assert!(host.instances().iter().all(|i| i.generation == Some(1)));
    assert!(history_contains(&host, "generation 2 goes back: as was asked"));
    load.stop();
    assert_sound(&host);
}

#[test]
fn instances_can_be_replaced_after_daemon_and_socket_holder_were_killed() {
    let mut host = host(3);
    let load = start_load(&host);
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

#[test]
fn busy_connection_is_closed_gracefully_on_reload() {
    let host = host(3);
    let at = host.instances()[0].listen.expect("it listens");
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
                    // A machine that stalls between two requests makes the connection idle after all.
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
    change_objective(&host, 0.44);
    host.ask(&Request::Reload).expect("sound");
    host.wait_until_settled(PATIENCE).expect("settled, the old one included");
    assert!(host.pids().iter().all(|(slot, pid)| before[slot] != *pid));
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let (requests, connections, close_races) = busy.join().expect("every request was answered");
    let counts = format!("{requests} on {connections}, {close_races} close races");
    // How many there were depends on the machine; some are before the change and some after it.
    assert!(requests > 10 && (2..=3).contains(&connections) && close_races <= 1, "{counts}");
}

#[test]
fn unwritable_configuration_affects_that_instance_only() {
    let host = host(3);
    let one = host.instances().remove(0);
    // The temporary file that replaces the configuration.
    let blocking = host.state_directory().join("run").join(format!("{}.new", one.slot));
    std::fs::create_dir(&blocking).expect("in its place");
    host.kill_instance(&one);
    until("it is shown", || {
        let now = host.instances().remove(0);
        now.why.is_some_and(|why| why.contains(".json: ")) && now.state != "serving"
    });
    assert!(host.instances().iter().skip(1).all(|i| i.state == "serving"));
    std::fs::remove_dir(&blocking).expect("empty");
    host.ask(&Request::Restart { slot: Some(one.slot) }).expect("known");
    host.wait_until_settled(PATIENCE).expect("it comes when there is room");
}
