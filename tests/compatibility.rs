//! Compatibility with version 0.2.0: the program reads the files and responses that this version wrote, which are the
//! fixtures, and writes the same bytes.

mod common;
#[path = "common/net.rs"]
mod net;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use gossip::{
    LinkCounts, MemberCounts, MemberRecord, MemberState, MessageCounts, RetryBudget, Snapshot,
    TenantQuotas, TenantSnapshot,
};
use instance_status::RequestCounts;
use lb_sidecar::sidecar::admin::command::Command;
use lb_sidecar::sidecar::admin::response::Response;
use lb_sidecar::sidecar::admin::state::AdminState;
use lb_sidecar::sidecar::admin::state_file::StateFile;
use lb_sidecar::sidecar::admin::statistics::{ClassCounts, Statistics, TierStatistics};
use lb_sidecar::sidecar::config::Config;
use lb_sidecar::sidecar::status::ReloadCounts;
use net::{Folder, PATIENCE, Server, Sidecar, discovery, get_request};
use runtime::TokioRuntime;
use serde_json::{Value, json};

/// The path of a fixture.
fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// The content of a fixture.
fn text(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).expect("a fixture")
}

#[test]
fn every_admin_command_is_parsed_as_before() {
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
    let parsed: Vec<_> = text("admin/calls.txt").lines().map(Command::parse).collect();
    assert_eq!(parsed, expected.map(Ok));
}

#[test]
fn invalid_admin_commands_are_answered_as_before() {
    let invalid =
        ["", "rady", "ready now", "disable-server", "enable-server", "drain s-1", "show-tier all"];
    let answers: String = invalid
        .into_iter()
        .map(|line| Response::Error(Command::parse(line).expect_err("invalid").into()).to_string())
        .collect();
    assert_eq!(answers, text("admin/errors.txt"));
}

fn snapshot() -> Snapshot {
    let tenant = |n: f64| TenantSnapshot {
        demand_per_s: 100.25 * n,
        local_demand_per_s: 10.0625 * n,
        quota_per_s: 200.0 * n,
        lease_per_s: 20.0 / n,
        within_lease: 1000 * n as u64,
        beyond_lease: n as u64,
    };
    Snapshot {
        incarnation: 439_123_456,
        reachable_members: 39.987_654,
        members: MemberCounts { alive: 39, dead: 1 },
        links: LinkCounts { up: 7, total: 8 },
        last_received_age: Some(123_456),
        attempts_per_s: 1_234.567_89,
        retries_per_s: 12.5,
        rejected_per_s: 3.25,
        failed_per_s: 0.000_4,
        retryable_failures_per_s: 13.0,
        retry_budget: RetryBudget { per_request: 0.1, max_saved: 1.5 },
        class_demand_per_s: vec![1.0, 2.0, 3.0],
        tenants: vec![tenant(1.0), tenant(2.0)],
        messages: MessageCounts { sent: 5000, received: 4900, corrupt: 3, stale: 7 },
    }
}

fn statistics() -> Statistics {
    let class = |(name, n): (&&str, u64)| ClassCounts {
        name: (*name).to_owned(),
        counts: RequestCounts { served: 1000 * n, rejected: 10 * n, failed: n },
    };
    Statistics {
        classes: ["look", "keep", "order"].iter().zip(1..).map(class).collect(),
        attempts: 6100,
        active_requests: 14,
        listed_servers: 24,
        ejected_servers: 2,
        max_servers: 8192,
        oversized_lists: 1,
        reloads: ReloadCounts { applied: 5, rejected: 2 },
        tier: Some(TierStatistics {
            snapshot: snapshot(),
            tenant_names: vec!["gold".to_owned(), "silver".to_owned()],
        }),
    }
}

#[test]
fn statistics_are_written_as_before() {
    let text_of = |statistics: Statistics| Response::Statistics(statistics.into()).to_string();
    assert_eq!(text_of(statistics()), text("admin/show-stat-tier.txt"));
    let isolated = Snapshot { last_received_age: None, tenants: Vec::new(), ..snapshot() };
    let tier = Some(TierStatistics { snapshot: isolated, tenant_names: Vec::new() });
    assert_eq!(text_of(Statistics { tier, ..statistics() }), text("admin/show-stat-unheard.txt"));
}

#[test]
fn members_are_written_as_before() {
    let member = |member: u16, state| {
        let age = Duration::from_micros(1_500_400 + u64::from(member));
        (MemberRecord { member, incarnation: 439_000_000 + u32::from(member), state }, age)
    };
    let members = vec![
        member(0, MemberState::Alive),
        member(1, MemberState::Suspect),
        member(2, MemberState::Dead),
        member(3, MemberState::Unknown),
    ];
    assert_eq!(Response::Members(members).to_string(), text("admin/show-tier.txt"));
}

/// Sends one line to the admin listener and returns the response.
fn call(sidecar: &Sidecar, line: &str) -> String {
    let mut socket = TcpStream::connect(sidecar.admin()).expect("connected");
    socket.set_read_timeout(Some(PATIENCE)).expect("a read timeout");
    socket.write_all(format!("{line}\n").as_bytes()).expect("written");
    let mut all = String::new();
    let _ = socket.read_to_string(&mut all);
    all
}

/// Opens an admin listener and raises the socket limit, for its connections.
fn with_admin(config: &mut Value) {
    config["admin_addr"] = "127.0.0.1:0".into();
    config["limits"]["sockets"] = 128.into();
}

#[test]
fn sidecar_answers_every_admin_command_as_before() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), with_admin);
    for n in 0..7 {
        assert!(sidecar.exchange(&get_request(&format!("a-{n}"))).starts_with("HTTP/1.1 200"));
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
fn health_version_is_as_before() {
    let server = Server::echo();
    let sidecar = Sidecar::start(discovery(&[&server]));
    assert!(sidecar.exchange(&get_request("a")).starts_with("HTTP/1.1 200"));
    let expected: Value = serde_json::from_str(&text("health-version.json")).expect("JSON");
    let mut status_json = sidecar.state();
    assert_eq!(status_json["pid"], sidecar.pid());
    assert!(status_json["clients"].as_u64().is_some_and(|n| n >= 1), "{status_json}");
    assert_eq!(status_json["version"], env!("CARGO_PKG_VERSION"));
    for key in ["pid", "clients", "version"] {
        status_json[key] = expected[key].clone();
    }
    assert_eq!(status_json, expected);
    let status: instance_status::InstanceStatus =
        serde_json::from_str(&text("health-version.json")).expect("a status");
    assert_eq!(serde_json::to_string(&status).expect("JSON") + "\n", text("health-version.json"));
}

fn admin_state() -> AdminState {
    AdminState {
        disabled_servers: ["s-1", "s-2.zone-a"].map(str::to_owned).into(),
        drained: true,
        serving_process: Some(1_790_000_000_123_456_789),
    }
}

#[tokio::test]
async fn admin_state_is_read_and_written_as_before() {
    // The file keeps the name that earlier versions used, so that their state is still read.
    let name = "plankvale-08b37c07b558d673.json";
    let before = text("orders/orders.json");
    let folder = Folder::new("orders");
    std::fs::write(folder.path().join(name), &before).expect("written");
    let file = StateFile::new(folder.path(), "n0");
    assert_eq!(file.read_if_changed().expect("read"), Some(admin_state()));

    let folder = Folder::new("orders-anew");
    let file = StateFile::new(folder.path(), "n0");
    let replace = |state: &mut AdminState| {
        *state = admin_state();
        Ok(())
    };
    file.update::<TokioRuntime>(replace).await.expect("written");
    let written = std::fs::read_to_string(folder.path().join(name)).expect("under its name");
    assert_eq!(written, before);
}

#[test]
fn admin_state_that_lacks_keys_is_read_as_before() {
    let read: AdminState = serde_json::from_str(&text("orders/earliest.json")).expect("a state");
    let disabled_servers = ["s-1".to_owned()].into();
    assert_eq!(read, AdminState { disabled_servers, ..AdminState::default() });
}

fn address(text: &str) -> std::net::SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn configuration_with_all_keys_is_read_as_before() {
    let config = Config::parse(text("lb-config.json").as_bytes()).expect("a valid configuration");
    assert_eq!((config.generation, config.name.as_str(), config.seed), (12, "n0", 0xa7));
    assert_eq!(config.listen, address("127.0.0.1:8100"));
    assert_eq!(config.discovery, address("127.0.0.1:8101"));
    assert_eq!(config.admin, Some(address("127.0.0.1:8102")));
    assert_eq!(config.peer_listen, Some(address("127.0.0.1:8103")));
    let peers = ["127.0.0.1:8103", "127.0.0.1:8104", "127.0.0.1:8105"].map(address);
    assert_eq!((config.peers.as_slice(), config.peers_multicast), (&peers[..], Some(peers[2])));
    assert_eq!(
        (config.memory_bytes, config.max_sockets, config.max_body_bytes),
        (64 << 20, 256, 5 << 20)
    );
    assert_eq!(config.gossip_round_interval, Some(Duration::from_millis(250)));
    let quotas = TenantQuotas { schema: 0xf878, per_second: vec![5.5, 70.0] };
    assert_eq!(config.tenant_quotas(), quotas);
    let cached = config.cached_endpoints.as_ref().expect("a list");
    assert_eq!((cached.version, cached.is_complete, cached.endpoints.len()), (41, true, 3));
    let entry = |n: usize| config.names.server_entry(&cached.endpoints[n]);
    let places = |n| (entry(n).zone, entry(n).kind, entry(n).cell);
    assert_eq!([0, 1, 2].map(places), [(0, 1, 3), (1, 0, 0), (u8::MAX, u16::MAX, 0)]);
    assert_eq!([0, 1, 2].map(|n| entry(n).weight), [2.5, 1.0, 1.0]);
    assert_eq!([0, 1, 2].map(|n| entry(n).started_at), [1_790_000_000_000_000, 0, 0]);
    let ids = [0, 1, 2].map(|n| entry(n).id.0);
    assert_eq!(ids, [0x817c_da19_5c3f_bf24, 0x817c_dd19_5c3f_c43d, 0x817c_dc19_5c3f_c28a]);
    let states =
        cached.endpoints.iter().map(|endpoint| (endpoint.is_listed(), endpoint.is_active()));
    assert_eq!(states.collect::<Vec<_>>(), [(true, true), (true, false), (false, false)]);
    assert_eq!(cached.endpoints[0].address, Some(address("127.0.0.1:9001")));
    assert_eq!(
        config.restart_only,
        serde_json::from_str::<Value>(&text("lb-config-fixed.json")).expect("JSON")
    );
}

#[test]
fn configuration_with_required_keys_only_is_read_as_before() {
    let required_keys = json!({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "a7",
        "limits": {"memory_mb": 16, "sockets": 64}, "settings": common::settings_json()});
    let config =
        Config::parse(required_keys.to_string().as_bytes()).expect("a valid configuration");
    assert_eq!((config.generation, config.admin, config.peer_listen), (0, None, None));
    assert_eq!((config.max_body_bytes, config.gossip_round_interval), (33 << 20, None));
    assert!(
        config.peers.is_empty()
            && config.peers_multicast.is_none()
            && config.cached_endpoints.is_none()
    );
}
