//! Hosts with real sidecars: one that runs alone, and a fleet's daemon. Calls go on meanwhile.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;

use common::{Mesh, Program};
use fakes::program::built;
use fakes::registry::{Entry, Registry};
use fakes::scripted::Server;
use fakes::wire::message;
use fakes::world::{classes, settings};
use fakes::{PATIENCE, until};
use local_cluster::{Host, Plan};
use serde_json::{Value, json};

/// A sidecar that runs alone, with a host beside it.
struct StandaloneSidecar {
    sidecar: Child,
    at: SocketAddr,
    base: PathBuf,
    config: PathBuf,
    server: Server,
    _registry: Registry,
    _host: Program,
}

impl Drop for StandaloneSidecar {
    fn drop(&mut self) {
        let _ = self.sidecar.kill();
        let _ = self.sidecar.wait();
    }
}

impl StandaloneSidecar {
    fn start(mesh: &Mesh) -> StandaloneSidecar {
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
        let folder = mesh.folder.path();
        let (base_path, config) = (folder.join("base.json"), folder.join("config.json"));
        std::fs::write(&base_path, base.to_string()).expect("written");
        std::fs::write(&config, base.to_string()).expect("written");
        let program = built("lb-sidecar", false).expect("the program");
        let log = std::fs::File::create(folder.join("sidecar.log")).expect("a log");
        let sidecar = Command::new(&program)
            .env("LB_CONFIG", &config)
            .env_remove("LB_LISTEN")
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("it starts");
        let mut arguments: Vec<String> =
            ["host", "--name=s0", "--zone=utrecht", "--service=logbook"].map(str::to_owned).into();
        arguments.extend(mesh.members(None).iter().map(|m| format!("--control={m}")));
        arguments.push("alone".to_owned());
        arguments.push(format!("--base={}", base_path.display()));
        arguments.push(format!("--config={}", config.display()));
        let host = Program::start(&arguments, &folder.join("host.log"));
        let alone = StandaloneSidecar {
            sidecar,
            at,
            base: base_path,
            config,
            server,
            _registry: registry,
            _host: host,
        };
        until("the sidecar is ready", || alone.get("/health/ready").starts_with("HTTP/1.1 200"));
        alone
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

/// Asks one call after the other until told to stop; how many were answered by the server.
fn call_on(at: SocketAddr, stop: &AtomicBool, served: &AtomicU64) {
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
        let (head, body) = message(&mut read).expect("an answer");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(body, id.as_bytes());
        served.fetch_add(1, Relaxed);
    }
}

/// Tells the calls to end, also where the test has failed.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

#[test]
fn change_is_applied_live_and_invalid_configuration_changes_nothing() {
    let mesh = Mesh::start(3);
    mesh.publish(0, "logbook", &json!({"settings": {"limits": {"maxRetryAfter": 1_500_000}}}));
    let alone = StandaloneSidecar::start(&mesh);
    let (stop, served) = (AtomicBool::new(false), AtomicU64::new(0));
    thread::scope(|scope| {
        let calls = scope.spawn(|| call_on(alone.at, &stop, &served));
        let ends = Stop(&stop);
        let first = mesh.publish(0, "logbook@utrecht", &json!({"limits": {"sockets": 200}}));
        until("it runs the change", || alone.state()["generation"].as_u64() >= Some(first));
        mesh.in_force(0, first, 1);
        let sound = std::fs::read_to_string(&alone.config).expect("there");
        assert!(sound.contains("1500000") && sound.contains(r#""sockets":200"#), "{sound}");
        // Foreign: values that no sidecar can use, in a key of their own, and of another shape.
        let mut bad = json!({"settings": {"classes": settings(&classes(20.0))["classes"]}});
        bad["settings"]["classes"][2]["deadline"] = 0.into();
        mesh.publish(0, "logbook", &bad);
        let mut why = String::new();
        until("the operator sees who declined, and why", || {
            let total = mesh.total(0);
            why = total.lagging.first().map_or_else(String::new, |host| host.reason.clone());
            total.all.failed == 1 && why.contains("classes[2].deadline")
        });
        assert!(why.starts_with("declined"), "{why}");
        assert!(alone.log().contains("classes[2].deadline"), "the log names the key");
        assert_eq!(std::fs::read_to_string(&alone.config).expect("there"), sound);
        // And one that only a new process could take over.
        let shape =
            json!({"settings": {"limits": {"maxRetryAfter": 1_500_000}, "zones": ["x", "y", "z"]}});
        mesh.publish(0, "logbook", &shape);
        until("it is declined by its key", || {
            mesh.total(0).lagging.first().is_some_and(|host| host.reason.contains("settings.zones"))
        });
        // Spoilt on its way to the disk: the next sound one is taken over all the same.
        std::fs::write(&alone.config, &sound[..sound.len() / 2]).expect("written");
        let good = mesh.publish(
            0,
            "logbook",
            &json!({"settings": {"limits": {"maxRetryAfter": 900_000}}}),
        );
        mesh.in_force(0, good, 1);
        assert_eq!(alone.state()["generation"].as_u64(), Some(good));
        assert!(std::fs::read_to_string(&alone.base).expect("there").contains("2000000"));
        let before = served.load(Relaxed);
        until("calls go on", || served.load(Relaxed) > before + 20);
        drop(ends);
        calls.join().expect("every call was answered");
    });
    // Each call went to the server once.
    let seen = alone.server.seen();
    assert_eq!(seen.len() as u64, served.load(Relaxed));
}

#[test]
fn fleet_daemon_applies_change_and_rolls_back_invalid_one() {
    let plan = Plan { instances: 3, servers: 1, classes: classes(8.0), ..Plan::default() };
    let host = Host::start(Plan { rollout: "watch_s = 0.1\nshare = 1.0".into(), ..plan });
    let host = host.expect("a host");
    host.wait(PATIENCE).expect("it serves");
    let mesh = Mesh::start(3);
    let base = host.path("settings-base.json");
    std::fs::copy(host.path("settings.json"), &base).expect("copied");
    let mut arguments: Vec<String> =
        ["host", "--name=host-1", "--zone=utrecht", "--service=logbook"].map(str::to_owned).into();
    arguments.extend(mesh.members(None).iter().map(|m| format!("--control={m}")));
    let files = format!("logbook={}:{}", base.display(), host.path("settings.json").display());
    arguments.extend(["fleet".into(), format!("--state={}", host.state().display())]);
    arguments.push(format!("--settings={files}"));
    let _program = Program::start(&arguments, &mesh.folder.path().join("host.log"));
    let limits = |retry: u64| json!({"settings": {"limits": {"maxRetryAfter": retry}}});
    let first = mesh.publish(0, "logbook", &limits(1_200_000));
    mesh.in_force(0, first, 1);
    assert!(host.settled());
    let text = |path: PathBuf| std::fs::read_to_string(path).expect("there");
    assert!(text(host.path("settings.json")).contains("1200000"));
    // One that its program refuses, and one that is none of a fleet's.
    mesh.publish(0, "logbook", &json!({"settings": {"limits": {"maxAttempts": "many"}}}));
    until("it is declined", || mesh.total(0).all.failed == 1);
    assert!(text(host.path("settings.json")).contains("1200000"), "what was in force stays");
    mesh.publish(0, "logbook", &json!({"limits": {"sockets": 100}}));
    until("it is declined by its key", || {
        mesh.total(0).lagging.first().is_some_and(|host| host.reason.contains("limits: of a fleet"))
    });
    let last = mesh.publish(0, "logbook", &limits(1_300_000));
    mesh.in_force(0, last, 1);
    assert!(host.settled() && host.instances().iter().all(|i| i.state == "serving"));
}

/// The operator's command: published, waited for, shown, refused.
#[test]
fn operator_command_publishes_waits_and_names_lagging_hosts() {
    let mesh = Mesh::start(3);
    let hosts = mesh.hosts(&common::names("h", 5), &[0, 1, 2]);
    let program = built("lbctl", false).expect("the program");
    let origins = format!("--origin={},{}", mesh.origin_at(0), mesh.origin_at(1));
    let operator = |arguments: &[&str]| {
        let mut command = Command::new(&program);
        let output = command.args(["config", &origins]).args(arguments).output().expect("it runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code(), text(&output.stdout), text(&output.stderr))
    };
    let file = mesh.folder.path().join("document.json");
    std::fs::write(&file, r#"{"n": 1}"#).expect("written");
    let path = file.display().to_string();
    until("an origin leads", || {
        mesh.ask(0, "/config/status", None).is_ok_and(|s| s["leading"] == true)
    });
    let (status, out, why) = operator(&["publish", "a", &path, "--within", "30s"]);
    assert_eq!(status, Some(0), "{out}{why}");
    hosts.have(1);
    until("all are counted", || mesh.total(0).all.hosts == 5);
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
    let (status, out, why) = operator(&["publish", "a", &path, "--within", "300ms"]);
    assert!(status == Some(1) && why.contains("in force at 0 of 5"), "{out}{why}");
    assert!(out.contains("behind: h-0 (z)"), "{out}");
    std::fs::write(&file, "{\"n\": ").expect("written");
    let (status, _, why) = operator(&["publish", "a", &path]);
    assert!(status == Some(1) && why.contains("not JSON"), "{why}");
    std::fs::write(&file, format!("{{\"n\":\"{}\"}}", "x".repeat(300_000))).expect("written");
    let (status, _, why) = operator(&["publish", "a", &path]);
    assert!(status == Some(1) && why.contains("300008 bytes, 262144 at most"), "{why}");
    let (_, out, _) = operator(&["show", "a"]);
    assert!(out.contains(r#""n": 2"#), "{out}");
    let mesh_gone = operator(&["--json", "wait", "99", "--within", "100ms"]);
    assert_eq!(mesh_gone.0, Some(1));
}
