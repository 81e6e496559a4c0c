//! Files and answers as version 0.2.0 wrote them: the present program reads each, and writes the same bytes.

mod common;
#[path = "common/net.rs"]
mod net;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use gossip::{Budget, ClubView, Presence, View};
use instance_status::RequestCounts;
use lb_sidecar::sidecar::admin::command::{Answer, Command, Figures};
use lb_sidecar::sidecar::admin::orders::Orders;
use lb_sidecar::sidecar::admin::record::Record;
use lb_sidecar::sidecar::config::Config;
use lb_sidecar::sidecar::status::Reloads;
use net::{Folder, PATIENCE, Server, Sidecar, discovery, look};
use runtime::TokioRuntime;
use serde_json::{Value, json};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn text(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).expect("a fixture")
}

#[test]
fn every_call_of_operators_is_read_as_before() {
    let server = || "s-1.zone-a".to_owned();
    let expected = [
        Command::Ready,
        Command::ShowStat,
        Command::ShowTier,
        Command::DisableServer(server()),
        Command::EnableServer(server()),
        Command::Drain,
        Command::Resume,
    ];
    let read: Vec<_> = text("admin/calls.txt").lines().map(Command::parse).collect();
    assert_eq!(read, expected.map(Ok));
}

#[test]
fn calls_that_cannot_be_understood_are_answered_as_before() {
    let wrong =
        ["", "rady", "ready now", "disable-server", "enable-server", "drain s-1", "show-tier all"];
    let answers: String = wrong
        .into_iter()
        .map(|line| Answer::Error(Command::parse(line).expect_err("wrong").to_string()).to_string())
        .collect();
    assert_eq!(answers, text("admin/errors.txt"));
}

fn view() -> View {
    let club = |n: f64| ClubView {
        asked: 100.25 * n,
        own: 10.0625 * n,
        quota: 200.0 * n,
        lease: 20.0 / n,
        spent: (1000 * n as u64, n as u64),
    };
    View {
        incarnation: 439_123_456,
        reach: 39.987_654,
        members: (39, 1),
        links: (7, 8),
        age: Some(123_456),
        attempts: 1_234.567_89,
        repeats: 12.5,
        refused: 3.25,
        failed: 0.000_4,
        broke: 13.0,
        budget: Budget { share: 0.1, saved: 1.5 },
        classes: vec![1.0, 2.0, 3.0],
        clubs: vec![club(1.0), club(2.0)],
        notes: [5000, 4900, 3, 7],
    }
}

fn figures() -> Figures {
    let counts = |n| RequestCounts { served: 1000 * n, rejected: 10 * n, failed: n };
    let classes = ["look", "keep", "order"];
    Figures {
        classes: classes.iter().zip(1..).map(|(c, n)| ((*c).to_owned(), counts(n))).collect(),
        tries: 6100,
        active: 14,
        listed: 24,
        ejected: 2,
        most_servers: 8192,
        lists_too_long: 1,
        reloads: Reloads { applied: 5, declined: 2 },
        tier: Some((view(), vec!["gold".to_owned(), "silver".to_owned()])),
    }
}

#[test]
fn figures_are_written_as_before() {
    let all = Answer::Stat(figures().into()).to_string();
    assert_eq!(all, text("admin/show-stat-tier.txt"));
    let unheard = View { age: None, clubs: Vec::new(), ..view() };
    let unheard = Figures { tier: Some((unheard, Vec::new())), ..figures() };
    assert_eq!(Answer::Stat(unheard.into()).to_string(), text("admin/show-stat-unheard.txt"));
}

#[test]
fn members_are_written_as_before() {
    let member = |who: u16, presence| {
        let since = Duration::from_micros(1_500_400 + u64::from(who));
        (gossip::Record { who, incarnation: 439_000_000 + u32::from(who), presence }, since)
    };
    let members = vec![
        member(0, Presence::Alive),
        member(1, Presence::Suspect),
        member(2, Presence::Gone),
        member(3, Presence::Unknown),
    ];
    assert_eq!(Answer::Tier(members).to_string(), text("admin/show-tier.txt"));
}

/// Says one line to the operators' listener and returns all that it answers.
fn call(sidecar: &Sidecar, line: &str) -> String {
    let mut socket = TcpStream::connect(sidecar.admin()).expect("connected");
    socket.set_read_timeout(Some(PATIENCE)).expect("a time");
    socket.write_all(format!("{line}\n").as_bytes()).expect("written");
    let mut all = String::new();
    let _ = socket.read_to_string(&mut all);
    all
}

fn operated(config: &mut Value) {
    config["admin_addr"] = "127.0.0.1:0".into();
    config["limits"]["sockets"] = 128.into();
}

#[test]
fn the_program_answers_every_call_as_before() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), operated);
    for n in 0..7 {
        assert!(sidecar.exchange(&look(&format!("a-{n}"))).starts_with("HTTP/1.1 200"));
    }
    let name = format!("s-{}", server.at.port());
    let mut answers = String::new();
    for line in [
        "ready",
        "show-stat",
        "show-tier",
        "disable-server nobody",
        "enable-server nobody",
        &format!("disable-server {name}"),
        "show-stat",
        &format!("enable-server {name}"),
        "drain",
        "ready",
        "resume",
        "ready",
    ] {
        let shown = line.replace(&name, "SERVER");
        answers += &format!("> {shown}\n{}", call(&sidecar, line));
    }
    assert_eq!(answers, text("admin/answers.txt"));
}

#[test]
fn the_state_is_told_as_before() {
    let server = Server::echo();
    let sidecar = Sidecar::start(discovery(&[&server]));
    assert!(sidecar.exchange(&look("a")).starts_with("HTTP/1.1 200"));
    let expected: Value = serde_json::from_str(&text("health-version.json")).expect("JSON");
    let mut told = sidecar.state();
    assert_eq!(told["pid"], sidecar.pid());
    assert!(told["clients"].as_u64().is_some_and(|n| n >= 1), "{told}");
    assert_eq!(told["version"], env!("CARGO_PKG_VERSION"));
    for key in ["pid", "clients", "version"] {
        told[key] = expected[key].clone();
    }
    assert_eq!(told, expected);
    let read: instance_status::InstanceStatus =
        serde_json::from_str(&text("health-version.json")).expect("a state");
    assert_eq!(serde_json::to_string(&read).expect("JSON") + "\n", text("health-version.json"));
}

fn orders() -> Orders {
    Orders {
        out: ["s-1", "s-2.zone-a"].map(str::to_owned).into(),
        drained: true,
        serving: Some(1_790_000_000_123_456_789),
    }
}

#[tokio::test]
async fn orders_are_read_and_written_as_before() {
    let name = "plankvale-08b37c07b558d673.json";
    let before = text("orders/orders.json");
    let folder = Folder::new("orders");
    std::fs::write(folder.path().join(name), &before).expect("written");
    let record = Record::new(folder.path(), "n0");
    assert_eq!(record.news().expect("read"), Some(orders()));

    let folder = Folder::new("orders-anew");
    let record = Record::new(folder.path(), "n0");
    let write = |stands: &mut Orders| {
        *stands = orders();
        Ok(())
    };
    record.change::<TokioRuntime>(write).await.expect("written");
    let written = std::fs::read_to_string(folder.path().join(name)).expect("under its name");
    assert_eq!(written, before);
}

#[test]
fn orders_that_lack_keys_are_read_as_before() {
    let read: Orders = serde_json::from_str(&text("orders/earliest.json")).expect("orders");
    assert_eq!(read, Orders { out: ["s-1".to_owned()].into(), ..Orders::default() });
}

fn address(text: &str) -> std::net::SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn a_configuration_with_all_keys_is_read_as_before() {
    let config = Config::parse(text("lb-config.json").as_bytes()).expect("a sound configuration");
    assert_eq!((config.generation, config.name.as_str(), config.seed), (12, "n0", 0xa7));
    assert_eq!(config.listen, address("127.0.0.1:8100"));
    assert_eq!(config.discovery, address("127.0.0.1:8101"));
    assert_eq!(config.admin, Some(address("127.0.0.1:8102")));
    assert_eq!(config.peer_listen, Some(address("127.0.0.1:8103")));
    let peers = ["127.0.0.1:8103", "127.0.0.1:8104", "127.0.0.1:8105"].map(address);
    assert_eq!((config.peers.as_slice(), config.peers_all), (&peers[..], Some(peers[2])));
    assert_eq!((config.memory, config.sockets, config.longest_body), (64 << 20, 256, 5 << 20));
    assert_eq!(config.tier_turn, Some(Duration::from_millis(250)));
    assert_eq!(config.clubs(), (0xf878, vec![5.5, 70.0]));
    let known = config.known.as_ref().expect("a list");
    assert_eq!((known.seq, known.whole, known.hosts.len()), (41, true, 3));
    let entry = |n: usize| config.names.entry(&known.hosts[n]);
    let places = |n| (entry(n).zone, entry(n).kind, entry(n).cell);
    assert_eq!([0, 1, 2].map(places), [(0, 1, 3), (1, 0, 0), (u8::MAX, u16::MAX, 0)]);
    assert_eq!([0, 1, 2].map(|n| entry(n).power), [2.5, 1.0, 1.0]);
    assert_eq!([0, 1, 2].map(|n| entry(n).started), [1_790_000_000_000_000, 0, 0]);
    let ids = [0, 1, 2].map(|n| entry(n).id.0);
    assert_eq!(ids, [0x817c_da19_5c3f_bf24, 0x817c_dd19_5c3f_c43d, 0x817c_dc19_5c3f_c28a]);
    let wants_work = known.hosts.iter().map(|host| (host.listed(), host.wants_work()));
    assert_eq!(wants_work.collect::<Vec<_>>(), [(true, true), (true, false), (false, false)]);
    assert_eq!(known.hosts[0].dial, Some(address("127.0.0.1:9001")));
    assert_eq!(
        config.fixed,
        serde_json::from_str::<Value>(&text("lb-config-fixed.json")).expect("JSON")
    );
}

#[test]
fn a_configuration_with_the_least_keys_is_read_as_before() {
    let least = json!({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "a7",
        "limits": {"memory_mb": 16, "sockets": 64}, "settings": common::settings_json()});
    let config = Config::parse(least.to_string().as_bytes()).expect("a sound configuration");
    assert_eq!((config.generation, config.admin, config.peer_listen), (0, None, None));
    assert_eq!((config.longest_body, config.tier_turn), (33 << 20, None));
    assert!(config.peers.is_empty() && config.peers_all.is_none() && config.known.is_none());
}
