//! Tests of what a supervisor of sidecars depends on: reloads, listeners that outlive a process, status reports, and
//! the check of a configuration.

mod common;
#[path = "common/net.rs"]
mod net;

use std::io::Write;
use std::net::TcpListener;
use std::os::unix::net::UnixDatagram;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use fakes::registry::RegistryFaults;
use fakes::wire::header;
use net::{
    Folder, PATIENCE, Server, Sidecar, answer, discovery, first_answer, get_request, order_request,
    program, until,
};
use serde_json::Value;

/// Reloads the configuration and returns the status after the reload, whether it was applied or declined.
fn reload(sidecar: &Sidecar, config: &Value) -> Value {
    sidecar.replace_config(&config.to_string());
    sidecar.signal("HUP");
    let generation = &config["generation"];
    until("the reload is reported", || {
        let state = sidecar.state();
        state["generation"] == *generation || state["declined"]["generation"] == *generation
    });
    sidecar.state()
}

#[test]
fn reload_applies_limits_objectives_and_tenants_but_not_zones() {
    let server = Server::echo();
    let sidecar = Sidecar::start(discovery(&[&server]));
    let mut config: Value = sidecar.config().clone();
    assert_eq!(sidecar.state()["generation"], 0);
    config["generation"] = 2.into();
    config["limits"]["sockets"] = 128.into();
    config["limits"]["memory_mb"] = 64.into();
    config["settings"]["classes"][0]["deadline"] = 5_000_000.into();
    config["settings"]["tenants"] =
        serde_json::json!([{"name": "club", "quotaPerS": 5.0, "share": 1.0}]);
    let state = reload(&sidecar, &config);
    assert_eq!((&state["generation"], &state["declined"]), (&2.into(), &Value::Null));
    // The new tenants apply: a request that names none is rejected.
    assert!(sidecar.exchange(&get_request("a")).starts_with("HTTP/1.1 400"));
    let with_tenant = |id| get_request(id).replace("\r\nX-Time", "\r\nX-Account: club\r\nX-Time");
    assert!(sidecar.exchange(&with_tenant("b")).ends_with("\r\n\r\nb"));

    let mut other_zones = config.clone();
    other_zones["generation"] = 3.into();
    other_zones["settings"]["zones"] = serde_json::json!(["a", "b", "c"]);
    let state = reload(&sidecar, &other_zones);
    assert_eq!(state["generation"], 2);
    let reason = state["declined"]["why"].as_str().expect("a reason");
    assert!(reason.starts_with("settings.zones:"), "{reason}");
    assert!(sidecar.exchange(&with_tenant("c")).ends_with("\r\n\r\nc"));
}

#[test]
fn reload_changes_how_many_clients_fit() {
    let server = Server::echo();
    let sidecar = Sidecar::start(discovery(&[&server]));
    let peak_client_count = || {
        let all: Vec<_> = (0..60).map(|_| sidecar.connect()).collect();
        let mut most = 0;
        for _ in 0..50 {
            most = most.max(sidecar.state()["clients"].as_u64().expect("a number"));
            thread::sleep(Duration::from_millis(2));
        }
        drop(all);
        most
    };
    // Of 64 descriptors, 14 are for clients.
    assert!(peak_client_count() <= 20);
    let mut config: Value = sidecar.config().clone();
    config["generation"] = 1.into();
    config["limits"]["sockets"] = 256.into();
    reload(&sidecar, &config);
    until("more clients fit", || peak_client_count() > 40);
    config["generation"] = 2.into();
    config["limits"]["sockets"] = 64.into();
    reload(&sidecar, &config);
    until("fewer clients fit again", || peak_client_count() <= 20);
}

#[test]
fn successor_takes_over_listener_without_refused_lost_or_duplicated_requests() {
    let (started_sender, started_receiver) = mpsc::channel();
    let (release, started_sender) =
        (Arc::new(AtomicBool::new(false)), std::sync::Mutex::new(started_sender));
    let released = release.clone();
    let server = Server::start(move |id, socket| {
        if id == "slow" {
            started_sender.lock().expect("no panic").send(()).expect("the test listens");
            until("the test releases the server", || released.load(Ordering::Relaxed));
        }
        socket.write_all(answer(id).as_bytes()).is_ok()
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut old = Sidecar::start_on(Some(&listener), discovery(&[&server]), |_| {});
    let mut slow = old.connect();
    slow.write_all(order_request("slow").as_bytes()).expect("sent");
    started_receiver.recv_timeout(PATIENCE).expect("the request is in progress");

    let new = Sidecar::start_on(Some(&listener), discovery(&[&server]), |_| {});
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let at = new.at;
    let load = thread::spawn({
        let (stop, served) = (stop.clone(), served.clone());
        move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                let id = format!("r{n}");
                let mut socket = std::net::TcpStream::connect(at).expect("never refused");
                socket.write_all(order_request(&id).as_bytes()).expect("sent");
                let answer = first_answer(socket);
                assert!(answer.ends_with(&format!("\r\n\r\n{id}")), "{answer:?}");
                served.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    let wait_for_served = |n: usize| {
        let before = served.load(Ordering::Relaxed);
        until("requests are served", || served.load(Ordering::Relaxed) >= before + n);
    };
    wait_for_served(20);
    old.signal("USR2");
    until("only the successor answers", || {
        let pid = new.state()["pid"].as_u64();
        pid == Some(u64::from(new.pid()))
    });
    wait_for_served(50);
    release.store(true, Ordering::Relaxed);
    let answer = first_answer(slow);
    assert!(answer.ends_with("\r\n\r\nslow"), "{answer:?}");
    assert!(old.wait_for_exit().success());
    wait_for_served(20);
    stop.store(true, Ordering::Relaxed);
    load.join().expect("every request was answered");
    let mut seen = server.seen();
    let all = seen.len();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), all, "a request was sent twice");
}

/// Guards against a server that is told more time than is left: a request waits in the listener's queue while its process
/// starts.
#[test]
fn wait_in_the_queue_of_an_inherited_listener_is_deducted_from_the_time_of_a_request() {
    const TIME_LEFT: Duration = Duration::from_secs(20);
    const STARTUP: Duration = Duration::from_millis(800);
    /// By this much the time that a server is told may exceed the client's.
    const TOLERANCE: Duration = Duration::from_millis(150);
    let server = Server::start(|id, socket| socket.write_all(answer(id).as_bytes()).is_ok());
    let registry = discovery(&[&server]);
    let slow = RegistryFaults { answer_delay: STARTUP, ..RegistryFaults::default() };
    registry.set_faults(slow);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let mut client = std::net::TcpStream::connect(at).expect("the listener has a queue");
    let written_at = Instant::now();
    client.write_all(get_request("queued").as_bytes()).expect("sent");
    let _sidecar = Sidecar::start_on(Some(&listener), registry, |_| {});
    assert!(first_answer(client).ends_with("queued"));
    let heads = server.heads();
    let told = header(&heads[0], "x-time-left-ms").expect("the time is told");
    let told = Duration::from_millis(told.parse().expect("a number"));
    assert!(written_at.elapsed() >= STARTUP, "the request has not waited");
    assert!(told + STARTUP <= TIME_LEFT + TOLERANCE, "{told:?}");
}

#[test]
fn status_reports_reach_the_supervisor_and_are_correct() {
    let folder = Folder::new("supervisor");
    let path = folder.path().join("notify");
    let supervisor = UnixDatagram::bind(&path).expect("a socket");
    supervisor.set_read_timeout(Some(PATIENCE)).expect("a read timeout");
    let server = Server::echo();
    let mut sidecar = Sidecar::start_with_env(
        discovery(&[&server]),
        &[("NOTIFY_SOCKET", path.to_str().expect("a plain path"))],
    );
    let next_report = || {
        let mut buf = [0; 4096];
        let n = supervisor.recv(&mut buf).expect("a status report");
        String::from_utf8(buf[..n].to_vec()).expect("text")
    };
    let pid = format!("MAINPID={}\n", sidecar.pid());
    until("the sidecar reports that it is ready", || {
        let report = next_report();
        assert!(report.contains(&pid) && report.contains("WATCHDOG=1\n"), "{report}");
        report.contains("READY=1\n")
    });
    for n in 0..3 {
        assert!(sidecar.exchange(&get_request(&format!("c{n}"))).contains("200 OK"));
    }
    until("served requests are reported", || next_report().contains(r#""counts":{"served":3,"#));
    sidecar.signal("TERM");
    until("the sidecar reports that it is stopping", || next_report().contains("STOPPING=1\n"));
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn configuration_is_checked_without_starting() {
    let folder = Folder::new("check");
    let path = folder.path().join("config.json");
    let check = |text: &str| {
        std::fs::write(&path, text).expect("written");
        let program = env!("CARGO_BIN_EXE_lb-sidecar");
        let mut command = Command::new(program);
        let out = command.arg("check").arg(&path).output().expect("the program starts");
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    let valid = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "a7",
        "limits": {"memory_mb": 32, "sockets": 64}, "settings": common::settings_json()});
    assert_eq!(check(&valid.to_string()), (Some(0), String::new()));
    let rejects = |change: fn(&mut Value), key: &str| {
        let mut invalid = valid.clone();
        change(&mut invalid);
        let (code, error) = check(&invalid.to_string());
        assert_eq!(code, Some(2));
        assert!(error.contains(key), "{error}");
    };
    rejects(|c| c["limits"]["sockets"] = 3.into(), "limits.sockets");
    rejects(
        |c| c["tier"] = serde_json::json!({"turn_ms": 5}),
        "tier.turn_ms: must be between 10 and 60000, got",
    );
    let large = |c: &mut Value| {
        c["tier"] = serde_json::json!({"turn_ms": 100});
        c["settings"]["instances"] = 8193.into();
    };
    rejects(large, "settings.instances: must be at most 8192 with");
    let out = Command::new(env!("CARGO_BIN_EXE_lb-sidecar")).arg("--version").output();
    let text = String::from_utf8(out.expect("the program starts").stdout).expect("text");
    assert_eq!(text, format!("lb-sidecar {}\n", env!("CARGO_PKG_VERSION")));
}

#[test]
fn inherited_listener_with_another_address_is_rejected() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let folder = Folder::new("handed");
    let path = folder.path().join("config.json");
    let config = serde_json::json!({
        "name": "n0", "listen": "127.0.0.2:0", "discovery": "127.0.0.1:1", "seed": "a7",
        "limits": {"memory_mb": 32, "sockets": 64}, "settings": common::settings_json()});
    std::fs::write(&path, config.to_string()).expect("written");
    let out =
        program(Some(&listener)).env("LB_CONFIG", &path).output().expect("the program starts");
    assert_eq!(out.status.code(), Some(2));
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(error.contains("LISTEN_FDS"), "{error}");
}

#[test]
fn sidecar_without_free_descriptors_reports_so_and_serves_on() {
    let folder = Folder::new("short");
    let path = folder.path().join("notify");
    let supervisor = UnixDatagram::bind(&path).expect("a socket");
    supervisor.set_read_timeout(Some(PATIENCE)).expect("a read timeout");
    let server = Server::echo();
    // The configuration allows 256 descriptors, the system only 40.
    let sidecar = Sidecar::start_limited(discovery(&[&server]), 40, &path);
    let wait_for_report = |what: &str| {
        until(what, || {
            let mut buf = [0; 4096];
            let n = supervisor.recv(&mut buf).expect("a status report");
            String::from_utf8_lossy(&buf[..n]).contains(what)
        });
    };
    wait_for_report("\"short\":false");
    let connections: Vec<_> = (0..60).map(|_| sidecar.connect()).collect();
    wait_for_report("\"short\":true");
    drop(connections);
    wait_for_report("\"short\":false");
    assert!(sidecar.exchange(&get_request("after")).ends_with("after"));
}
