//! Hosts with real targets: a standalone sidecar under load, and the daemon of a fleet.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;

use common::{Cluster, Program};
use fakes::program::built;
use fakes::registry::{Entry, Registry};
use fakes::scripted::Server;
use fakes::wire::read_message;
use fakes::world::{classes, settings};
use fakes::{PATIENCE, until};
use local_cluster::{Host, Plan};
use serde_json::{Value, json};

/// A standalone sidecar with its host.
struct StandaloneSidecar {
    process: Child,
    at: SocketAddr,
    base: PathBuf,
    config: PathBuf,
    server: Server,
    _registry: Registry,
    _host: Program,
}

impl Drop for StandaloneSidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl StandaloneSidecar {
    fn start(cluster: &Cluster) -> StandaloneSidecar {
        let server = Server::echo();
        let registry = Registry::start(vec![Entry::new(server.at, "utrecht")]);
        let at = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
        let mut own = settings(&classes(20.0));
        own["me"] = json!(0);
        own["instances"] = json!(1);
        own["zone"] = json!(0);
        let base = json!({
            "name": "s0", "listen": at.to_string(), "discovery": registry.at.to_string(),
            "seed": "00000000000000a7", "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
            "settings": own,
        });
        let folder = cluster.folder.path();
        let (base_path, config) = (folder.join("base.json"), folder.join("config.json"));
        std::fs::write(&base_path, base.to_string()).expect("written");
        std::fs::write(&config, base.to_string()).expect("written");
        let program = built("lb-sidecar", false).expect("the program");
        let log = std::fs::File::create(folder.join("sidecar.log")).expect("a log");
        let process = Command::new(&program)
            .env("LB_CONFIG", &config)
            .env_remove("LB_LISTEN")
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the sidecar starts");
        let mut arguments: Vec<String> =
            ["host", "--name=s0", "--zone=utrecht", "--service=logbook"].map(str::to_owned).into();
        arguments.extend(cluster.member_arguments(None).iter().map(|m| format!("--control={m}")));
        arguments.push("alone".to_owned());
        arguments.push(format!("--base={}", base_path.display()));
        arguments.push(format!("--config={}", config.display()));
        let host = Program::start(&arguments, &folder.join("host.log"));
        let sidecar = StandaloneSidecar {
            process,
            at,
            base: base_path,
            config,
            server,
            _registry: registry,
            _host: host,
        };
        until("the sidecar is ready", || sidecar.get("/health/ready").starts_with("HTTP/1.1 200"));
        sidecar
    }

    fn get(&self, path: &str) -> String {
        let Ok(mut socket) = TcpStream::connect(self.at) else { return String::new() };
        let _ = socket.set_read_timeout(Some(PATIENCE));
        let _ = write!(socket, "GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n");
        let mut all = String::new();
        let _ = socket.read_to_string(&mut all);
        all
    }

    fn state(&self) -> Value {
        let all = self.get("/health/version");
        let body = all.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        serde_json::from_str(body).unwrap_or_default()
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.config.with_file_name("sidecar.log")).unwrap_or_default()
    }
}

/// Sends requests one at a time until it is stopped, and counts those that were served.
fn send_requests(at: SocketAddr, stop: &AtomicBool, served: &AtomicU64) {
    let mut socket = TcpStream::connect(at).expect("connected");
    socket.set_read_timeout(Some(PATIENCE)).expect("a time");
    let mut read = BufReader::new(socket.try_clone().expect("a second handle"));
    let mut n = 0;
    while !stop.load(Relaxed) {
        n += 1;
        let id = format!("call-{n}");
        let text = format!(
            "POST /qsl-order/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Account: radioclub-oost\r\n\
             X-Time-Left-Ms: 20000\r\nContent-Length: 2\r\n\r\nab"
        );
        socket.write_all(text.as_bytes()).expect("sent");
        let (head, body) = read_message(&mut read).expect("an answer");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(body, id.as_bytes());
        served.fetch_add(1, Relaxed);
    }
}

/// Stops the requests when it is dropped, also if the test fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

#[test]
fn change_is_applied_live_and_invalid_configuration_changes_nothing() {
    let cluster = Cluster::start(3);
    cluster.publish(0, "logbook", &json!({"settings": {"limits": {"maxRetryAfter": 1_500_000}}}));
    let sidecar = StandaloneSidecar::start(&cluster);
    let (stop, served) = (AtomicBool::new(false), AtomicU64::new(0));
    thread::scope(|scope| {
        let requests = scope.spawn(|| send_requests(sidecar.at, &stop, &served));
        let stop_requests = StopOnDrop(&stop);
        let first = cluster.publish(0, "logbook@utrecht", &json!({"limits": {"sockets": 200}}));
        until("the sidecar runs the change", || {
            sidecar.state()["generation"].as_u64() >= Some(first)
        });
        cluster.wait_until_applied(0, first, 1);
        let applied_text = std::fs::read_to_string(&sidecar.config).expect("a config file");
        assert!(
            applied_text.contains("1500000") && applied_text.contains(r#""sockets":200"#),
            "{applied_text}"
        );
        // A change with a value that is invalid for every sidecar.
        let mut invalid = json!({"settings": {"classes": settings(&classes(20.0))["classes"]}});
        invalid["settings"]["classes"][2]["deadline"] = 0.into();
        cluster.publish(0, "logbook", &invalid);
        let mut reason = String::new();
        until("the operator sees which host failed, and why", || {
            let total = cluster.progress(0);
            reason = total.lagging.first().map_or_else(String::new, |host| host.reason.clone());
            total.all.failed == 1 && reason.contains("classes[2].deadline")
        });
        assert!(reason.starts_with("declined"), "{reason}");
        assert!(sidecar.log().contains("classes[2].deadline"), "the log names the key");
        assert_eq!(std::fs::read_to_string(&sidecar.config).expect("a config file"), applied_text);
        // A change that only a new process could apply.
        let restart_only =
            json!({"settings": {"limits": {"maxRetryAfter": 1_500_000}, "zones": ["x", "y", "z"]}});
        cluster.publish(0, "logbook", &restart_only);
        until("the change is rejected with the name of its key", || {
            cluster
                .progress(0)
                .lagging
                .first()
                .is_some_and(|host| host.reason.contains("settings.zones"))
        });
        // The configuration file is truncated. The next valid configuration is still applied.
        std::fs::write(&sidecar.config, &applied_text[..applied_text.len() / 2]).expect("written");
        let good = cluster.publish(
            0,
            "logbook",
            &json!({"settings": {"limits": {"maxRetryAfter": 900_000}}}),
        );
        cluster.wait_until_applied(0, good, 1);
        assert_eq!(sidecar.state()["generation"].as_u64(), Some(good));
        assert!(std::fs::read_to_string(&sidecar.base).expect("the base file").contains("2000000"));
        let before = served.load(Relaxed);
        until("requests are still served", || served.load(Relaxed) > before + 20);
        drop(stop_requests);
        requests.join().expect("every request was answered");
    });
    // Each request went to the server once.
    let seen = sidecar.server.seen();
    assert_eq!(seen.len() as u64, served.load(Relaxed));
}

#[test]
fn fleet_daemon_applies_change_and_rolls_back_invalid_one() {
    let plan = Plan { instances: 3, servers: 1, classes: classes(8.0), ..Plan::default() };
    let host = Host::start(Plan { rollout: "watch_s = 0.1\nshare = 1.0".into(), ..plan });
    let host = host.expect("a host");
    host.wait_until_settled(PATIENCE).expect("all instances serve in time");
    let cluster = Cluster::start(3);
    let base = host.file_path("settings-base.json");
    std::fs::copy(host.file_path("settings.json"), &base).expect("copied");
    let mut arguments: Vec<String> =
        ["host", "--name=host-1", "--zone=utrecht", "--service=logbook"].map(str::to_owned).into();
    arguments.extend(cluster.member_arguments(None).iter().map(|m| format!("--control={m}")));
    let files = format!("logbook={}:{}", base.display(), host.file_path("settings.json").display());
    arguments.extend(["fleet".into(), format!("--state={}", host.state_directory().display())]);
    arguments.push(format!("--settings={files}"));
    let _program = Program::start(&arguments, &cluster.folder.path().join("host.log"));
    let limits = |retry: u64| json!({"settings": {"limits": {"maxRetryAfter": retry}}});
    let first = cluster.publish(0, "logbook", &limits(1_200_000));
    cluster.wait_until_applied(0, first, 1);
    assert!(host.is_settled());
    let text = |path: PathBuf| std::fs::read_to_string(path).expect("the file exists");
    assert!(text(host.file_path("settings.json")).contains("1200000"));
    // A change that the sidecar's check rejects, and one that sets more than the settings.
    cluster.publish(0, "logbook", &json!({"settings": {"limits": {"maxAttempts": "many"}}}));
    until("the change is rejected", || cluster.progress(0).all.failed == 1);
    assert!(
        text(host.file_path("settings.json")).contains("1200000"),
        "the previous settings stay"
    );
    cluster.publish(0, "logbook", &json!({"limits": {"sockets": 100}}));
    until("the change is rejected with the name of its key", || {
        cluster
            .progress(0)
            .lagging
            .first()
            .is_some_and(|host| host.reason.contains("limits: of a fleet"))
    });
    let last = cluster.publish(0, "logbook", &limits(1_300_000));
    cluster.wait_until_applied(0, last, 1);
    assert!(host.is_settled() && host.instances().iter().all(|i| i.state == "serving"));
}

/// Runs `lbctl config` with publish, status, show and wait, with invalid documents, and with hosts that have ended.
#[test]
fn operator_command_publishes_waits_and_names_lagging_hosts() {
    let cluster = Cluster::start(3);
    let hosts = cluster.start_hosts(&common::names("h", 5), &[0, 1, 2]);
    let program = built("lbctl", false).expect("the program");
    let origins = format!("--origin={},{}", cluster.origin_address(0), cluster.origin_address(1));
    let operator = |arguments: &[&str]| {
        let mut command = Command::new(&program);
        let output =
            command.args(["config", &origins]).args(arguments).output().expect("lbctl runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code(), text(&output.stdout), text(&output.stderr))
    };
    let file = cluster.folder.path().join("document.json");
    std::fs::write(&file, r#"{"n": 1}"#).expect("written");
    let path = file.display().to_string();
    until("an origin leads", || {
        cluster.request_origin(0, "/config/status", None).is_ok_and(|s| s["leading"] == true)
    });
    let (status, out, errors) = operator(&["publish", "a", &path, "--within", "30s"]);
    assert_eq!(status, Some(0), "{out}{errors}");
    hosts.wait_until_applied(1);
    until("all hosts are counted", || cluster.progress(0).all.hosts == 5);
    let (status, out, _) = operator(&["status"]);
    assert!(
        status == Some(0)
            && out.contains("leads")
            && out.lines().any(|l| {
                l.split_whitespace().collect::<Vec<_>>() == ["all", "5", "5", "0", "0"]
            }),
        "{out}"
    );
    drop(hosts);
    std::fs::write(&file, r#"{"n": 2}"#).expect("written");
    let (status, out, errors) = operator(&["publish", "a", &path, "--within", "300ms"]);
    assert!(status == Some(1) && errors.contains("in force at 0 of 5"), "{out}{errors}");
    assert!(out.contains("behind: h-0 (z)"), "{out}");
    std::fs::write(&file, "{\"n\": ").expect("written");
    let (status, _, errors) = operator(&["publish", "a", &path]);
    assert!(status == Some(1) && errors.contains("not JSON"), "{errors}");
    std::fs::write(&file, format!("{{\"n\":\"{}\"}}", "x".repeat(300_000))).expect("written");
    let (status, _, errors) = operator(&["publish", "a", &path]);
    assert!(status == Some(1) && errors.contains("300008 bytes, 262144 at most"), "{errors}");
    let (_, out, _) = operator(&["show", "a"]);
    assert!(out.contains(r#""n": 2"#), "{out}");
    let unknown = operator(&["--json", "wait", "99", "--within", "100ms"]);
    assert_eq!(unknown.0, Some(1));
}
