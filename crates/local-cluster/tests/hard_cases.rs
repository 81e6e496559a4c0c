//! What else a small fleet has to live through, one case a test.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::unix::net::{UnixDatagram, UnixStream};
use std::process::Stdio;
use std::time::{Duration, Instant};

use fakes::clients::Load;
use fakes::world::{World, classes};
use fakes::{until, until_in};
use fleet::control::Request;
use local_cluster::{Driving, Host, Plan, signal_process};
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
    host.wait(PATIENCE).expect("all serve");
    host
}

fn host(instances: usize) -> Host {
    started(plan(instances))
}

fn drive(host: &Host) -> Driving {
    host.drive(&Load {
        rate: 10.0,
        slack: Duration::from_secs(20),
        tenants: World::tenants(),
        ..Load::default()
    })
}

fn sound(host: &Host) {
    let report = host.account().report();
    let text = format!("{:?}", report.examples);
    assert_eq!(
        (report.violations(), report.unread_connections, report.refused_connections),
        (0, 0, 0),
        "{text}"
    );
    assert!(report.served() > 0);
}

fn told(host: &Host, what: &str) -> bool {
    host.ask(&Request::History).is_ok_and(|h| h.to_string().contains(what))
}

fn another_shape(host: &Host, whole: f64) {
    host.change(|s| s["goal"]["whole"] = whole.into()).expect("written");
}

#[test]
fn a_second_daemon_on_the_same_state_refuses_to_start() {
    let host = host(3);
    let before = host.pids();
    let out = host.daemon_command().stderr(Stdio::piped()).output().expect("it starts");
    assert_eq!(out.status.code(), Some(2));
    let why = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(why.contains("another daemon"), "{why}");
    assert_eq!(host.pids(), before);
}

#[test]
fn a_reload_while_a_reload_runs_is_refused_and_the_first_goes_on() {
    let host = host(6);
    let driving = drive(&host);
    another_shape(&host, 0.44);
    host.ask(&Request::Reload).expect("sound");
    another_shape(&host, 0.43);
    let why = host.ask(&Request::Reload).expect_err("one at a time");
    assert!(why.contains("rollout to generation 2"), "{why}");
    host.wait(PATIENCE).expect("settled");
    assert!(told(&host, "generation 2 runs everywhere"));
    host.ask(&Request::Reload).expect("now it may");
    host.wait(PATIENCE).expect("settled");
    assert!(told(&host, "generation 3 runs everywhere"));
    driving.stop();
    sound(&host);
}

#[test]
fn a_stop_in_the_middle_of_a_roll_ends_all_and_the_next_daemon_finishes_it() {
    let mut host = host(6);
    let driving = drive(&host);
    another_shape(&host, 0.44);
    host.ask(&Request::Reload).expect("sound");
    until("a successor is there", || host.instances().iter().any(|i| i.generation == Some(2)));
    driving.stop();
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
    host.wait(PATIENCE).expect("settled");
    assert!(host.instances().iter().all(|i| i.generation == Some(2)));
    let driving = drive(&host);
    let before = host.account().report().served();
    until("requests are served", || host.account().report().served() > before + 20);
    driving.stop();
    sound(&host);
}

#[test]
fn the_daemon_killed_in_the_middle_of_a_roll_is_followed_by_one_that_finishes_it() {
    let mut host = host(6);
    let driving = drive(&host);
    for whole in [0.44, 0.43, 0.42] {
        another_shape(&host, whole);
        host.ask(&Request::Reload).expect("sound");
        until("a successor is there", || {
            let status = host.status();
            let target = status["target"].as_u64();
            host.instances().iter().any(|i| i.generation == target)
        });
        host.kill_daemon();
        host.start_daemon().expect("started");
        host.wait(PATIENCE).expect("settled");
    }
    assert!(host.instances().iter().all(|i| i.generation == Some(4)));
    driving.stop();
    sound(&host);
}

/// A generation whose canary meets servers that turn everything away goes back, and all else serves on.
/// One that fails is shown with fifty.
#[test]
fn a_canary_that_refuses_requests_goes_back() {
    let rollout = "watch_s = 60.0\nleast_requests = 10\nready_within_s = 60.0".to_owned();
    let host = started(Plan { rollout, ..plan(6) });
    let others = World::with_account(host.account().clone(), 1, 7);
    let others = fakes::runtime().block_on(others).expect("ports");
    for (server, _) in &others.servers {
        server.drain();
    }
    let driving = drive(&host);
    host.move_discovery(others.registry.at).expect("written");
    host.ask(&Request::Reload).expect("sound");
    let why = "were refused at the canary";
    until_in(PATIENCE, why, || told(&host, why));
    host.wait(PATIENCE).expect("settled");
    assert!(host.instances().iter().all(|i| i.generation == Some(1)));
    let before = host.account().report().served();
    until("requests are served", || host.account().report().served() > before + 100);
    driving.stop();
    sound(&host);
}

#[test]
fn one_that_hangs_is_found_out_and_replaced() {
    let host = host(3);
    let one = host.instances().remove(0);
    let pid = one.pid.expect("it runs");
    host.account().expect_kill(one.listen.expect("it listens"));
    signal_process(pid, Signal::STOP);
    until("it is found out", || told(&host, "fell silent: it was stopped"));
    until("another serves", || {
        let now = host.instances().remove(0);
        now.state == "serving" && now.pid != Some(pid)
    });
}

#[test]
fn one_that_ignores_the_word_to_end_is_killed_and_its_successor_serves() {
    let plan = Plan { classes: classes(1.0), ..plan(3) };
    let host = started(plan);
    let one = host.instances().remove(0);
    let pid = one.pid.expect("it runs");
    host.account().expect_kill(one.listen.expect("it listens"));
    // Stopped, it hears nothing; but it has reported just now, so it is a successor's turn first.
    signal_process(pid, Signal::STOP);
    host.ask(&Request::Restart { slot: Some(one.slot.clone()) }).expect("known");
    until("it is gone", || !std::path::Path::new(&format!("/proc/{pid}/environ")).exists());
    host.wait(PATIENCE).expect("settled");
    let now = host.instances().remove(0);
    assert_ne!(now.pid, Some(pid));
}

#[test]
fn a_taken_port_is_a_state_of_that_instance_alone() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("bound");
    let host = host(3);
    let text = std::fs::read_to_string(host.file()).expect("read");
    let text = text.replacen("127.0.0.1:0", &at.to_string(), 1);
    std::fs::write(host.file(), text).expect("written");
    host.ask(&Request::Reload).expect("sound in itself");
    until("it is shown", || {
        host.instances().iter().any(|i| i.why.as_ref().is_some_and(|why| why.contains("in use")))
    });
    let others = host.instances().into_iter().filter(|i| !i.slot.starts_with("utrecht"));
    assert!(others.into_iter().all(|i| i.state == "serving" || i.state == "moving"));
    drop(taken);
    host.wait(PATIENCE).expect("it comes when the port is free");
    let utrecht = host.instances().into_iter().find(|i| i.slot == "utrecht-0");
    assert_eq!(utrecht.and_then(|i| i.listen), Some(at));
}

#[test]
fn scaled_to_nothing_and_back_under_load() {
    let host = host(6);
    let driving = drive(&host);
    let scale = |count| {
        for name in ["utrecht", "groningen", "eindhoven"] {
            host.ask(&Request::Scale { name: name.into(), count }).expect("known");
        }
    };
    let why = host.ask(&Request::Scale { name: "nowhere".into(), count: 1 }).expect_err("unknown");
    assert!(why.contains("nowhere"), "{why}");
    until("requests are served", || host.account().report().served() > 20);
    scale(0);
    until_in(PATIENCE, "all are gone", || host.instances().is_empty());
    scale(2);
    host.wait(PATIENCE).expect("settled");
    assert_eq!(host.instances().len(), 6);
    driving.stop();
    let report = host.account().report();
    // Where nobody listens, connections are refused, and those that nobody has accepted yet are
    // reset; nothing that was taken is lost.
    assert_eq!(report.violations(), 0, "{:?}", report.examples);
}

#[test]
fn a_drained_instance_stays_out_until_it_is_restarted() {
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
    host.wait(PATIENCE).expect("settled");
    assert_eq!(state(&host), "drained");
    host.ask(&Request::Restart { slot: Some(slot.clone()) }).expect("known");
    until("it serves again", || state(&host) == "serving");
    assert!(host.ask(&Request::Drain { slot: "nobody-1".into() }).is_err());
}

#[test]
fn the_holder_of_listeners_killed_is_replaced_and_the_daemon_after_it_has_them_all() {
    let mut host = host(3);
    let driving = drive(&host);
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
        told(&host, "another takes its place") && holder()(daemon).is_some_and(|pid| pid != first)
    });
    let before: Vec<_> = host.instances().iter().map(|i| i.listen).collect();
    host.kill_daemon();
    host.start_daemon().expect("started");
    host.wait(PATIENCE).expect("settled");
    assert_eq!(host.instances().iter().map(|i| i.listen).collect::<Vec<_>>(), before);
    // With the listeners at hand a crash refuses nobody.
    for instance in host.instances() {
        host.kill(&instance);
    }
    until("their ends are noticed", || told(&host, "ended"));
    host.wait(PATIENCE).expect("settled");
    driving.stop();
    sound(&host);
}

#[test]
fn a_state_that_cannot_be_kept_refuses_changes_and_all_goes_on() {
    let host = host(3);
    let (before, ledger) = (host.pids(), host.state().join("ledger.json"));
    std::fs::remove_file(&ledger).expect("it was there");
    std::fs::create_dir(&ledger).expect("in its place");
    another_shape(&host, 0.44);
    let why = host.ask(&Request::Reload).expect_err("it cannot be kept");
    assert!(why.contains("cannot be kept"), "{why}");
    assert!(host.status()["trouble"].as_str().is_some());
    assert_eq!(host.pids(), before);
    std::fs::remove_dir(&ledger).expect("empty");
    host.ask(&Request::Reload).expect("now it can");
    host.wait(PATIENCE).expect("settled");
    assert!(host.status()["trouble"].is_null());
}

#[test]
fn garbage_and_half_open_clients_on_the_control_socket_do_no_harm() {
    let host = host(3);
    let path = host.state().join("control.sock");
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
    let mode = std::fs::metadata(host.state()).expect("there").permissions();
    assert_eq!(std::os::unix::fs::PermissionsExt::mode(&mode) & 0o077, 0, "the owner's only");
}

#[test]
fn whoever_keeps_the_daemon_is_told_how_it_is() {
    let mut host = host(3);
    host.kill_daemon();
    let path = host.path("keeper.sock");
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
    host.wait(PATIENCE).expect("settled");
    another_shape(&host, 0.44);
    signal_process(daemon.id(), Signal::HUP);
    wait_for("RELOADING=1\nMONOTONIC_USEC=");
    wait_for("READY=1");
    host.wait(PATIENCE).expect("settled");
    signal_process(daemon.id(), Signal::TERM);
    wait_for("STOPPING=1");
    assert!(daemon.wait().expect("a child").success());
}

#[test]
fn a_second_word_to_stop_hurries() {
    let mut host = started(Plan { classes: classes(60.0), ..plan(3) });
    // Servers that are slow: what is taken is not answered before long.
    for (server, _) in &host.world.servers {
        server.set_slowdown(2000.0);
    }
    let driving = drive(&host);
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
    drop(driving);
}

#[test]
fn a_child_gets_the_listener_and_nothing_else_of_the_daemons() {
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
            let ours = host.state().display().to_string();
            assert!(!to.starts_with(&ours), "{slot} holds {to}");
        }
        assert_eq!(listeners, 1, "{slot}");
    }
}

#[test]
fn the_desired_state_changed_back_half_way_ends_where_it_began() {
    let host = host(6);
    let driving = drive(&host);
    assert!(host.ask(&Request::Rollback).is_err(), "no rollout runs");
    another_shape(&host, 0.44);
    host.ask(&Request::Reload).expect("sound");
    until("a successor is there", || host.instances().iter().any(|i| i.generation == Some(2)));
    host.ask(&Request::Rollback).expect("a rollout runs");
    host.wait(PATIENCE).expect("settled");
    assert!(host.instances().iter().all(|i| i.generation == Some(1)));
    assert!(told(&host, "generation 2 goes back: as was asked"));
    driving.stop();
    sound(&host);
}

#[test]
fn daemon_and_holder_killed_together_leave_instances_that_can_be_replaced() {
    let mut host = host(3);
    let driving = drive(&host);
    let before = host.pids();
    host.kill_daemon();
    // The holder has no daemon now, and ends as one would end it.
    fleet::socket_holder::terminate(&host.state().join("holder.sock"));
    host.start_daemon().expect("started");
    host.wait(PATIENCE).expect("adopted");
    assert_eq!(host.pids(), before);
    // An ordinary user may not take a descriptor everywhere; root may.
    let scope = std::fs::read_to_string("/proc/sys/kernel/yama/ptrace_scope").unwrap_or_default();
    let may = rustix::process::getuid().is_root() || matches!(scope.trim(), "" | "0");
    another_shape(&host, 0.44);
    host.ask(&Request::Reload).expect("sound");
    if may {
        host.wait(PATIENCE).expect("settled");
        assert!(host.instances().iter().all(|i| i.generation == Some(2)));
    } else {
        until("it is shown", || host.instances().iter().any(|i| i.state == "blocked"));
        host.ask(&Request::Rollback).expect("a rollout runs");
        host.wait(PATIENCE).expect("settled");
        assert_eq!(host.pids(), before);
    }
    driving.stop();
    sound(&host);
}

#[test]
fn a_connection_that_hardly_rests_is_told_that_it_ends_and_nothing_is_lost() {
    let host = host(3);
    let at = host.instances()[0].listen.expect("it listens");
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let busy = std::thread::spawn({
        let stop = stop.clone();
        move || {
            let (mut n, mut connections, mut crossed) = (0, 0, 0);
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
                    // A machine that stands still between two requests makes it rest after all.
                    let written = socket.write_all(text.as_bytes()).is_ok();
                    let answer = fakes::wire::read_message(&mut reader).filter(|_| written);
                    let Some((head, body)) = answer else {
                        crossed += 1;
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
            (n, connections, crossed)
        }
    });
    let before = host.pids();
    another_shape(&host, 0.44);
    host.ask(&Request::Reload).expect("sound");
    host.wait(PATIENCE).expect("settled, the old one included");
    assert!(host.pids().iter().all(|(slot, pid)| before[slot] != *pid));
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let (requests, connections, crossed) = busy.join().expect("every request was answered");
    let told = format!("{requests} on {connections}, {crossed} crossed a close");
    // How many there were is the machine's affair; some are before the change and some behind it.
    assert!(requests > 10 && (2..=3).contains(&connections) && crossed <= 1, "{told}");
}

#[test]
fn a_configuration_that_cannot_be_written_is_a_state_of_that_instance_alone() {
    let host = host(3);
    let one = host.instances().remove(0);
    // What the file is written to before it takes its place.
    let blocking = host.state().join("run").join(format!("{}.new", one.slot));
    std::fs::create_dir(&blocking).expect("in its place");
    host.kill(&one);
    until("it is shown", || {
        let now = host.instances().remove(0);
        now.why.is_some_and(|why| why.contains(".json: ")) && now.state != "serving"
    });
    assert!(host.instances().iter().skip(1).all(|i| i.state == "serving"));
    std::fs::remove_dir(&blocking).expect("empty");
    host.ask(&Request::Restart { slot: Some(one.slot) }).expect("known");
    host.wait(PATIENCE).expect("it comes when there is room");
}
