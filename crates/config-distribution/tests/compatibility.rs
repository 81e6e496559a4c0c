//! Compatibility with earlier versions: the current code reads what they have stored and sent, and writes the same.
//!
//! Each role runs alone against scripted peers that respond from the fixtures under `tests/fixtures/`. Its requests,
//! responses and stored files are compared with the fixtures. An exchange has four lines: method and target, the
//! request's body, the status, the response's body. Each run writes what was sent and stored to `CARGO_TARGET_TMPDIR`,
//! under the names of the fixtures.

mod support;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;

use config_distribution::control::PersistentState;
use config_distribution::documents::Document;
use config_distribution::host::{ApplyOutcome, ConfigSnapshot};
use config_distribution::net::operator_api::{
    DocumentSummary, OriginStatus, PublishRequest, PublishResponse,
};
use config_distribution::net::target::{ConfigTarget, FleetDaemon, Standalone};
use config_distribution::net::{NamedAddress, control, host, origin};
use config_distribution::progress::{ProgressReport, ReportResponse};
use config_distribution::replica::Update;
use config_distribution::replication::{LogRequest, LogResponse, PromiseResponse};
use config_distribution::watch::WatchResponse;
use fakes::program::Folder;
use fakes::until;
use serde_json::Value;
use support::exchange::{
    Exchange, Peer, Running, assert_exchange, assert_fixture, assert_round_trip, exchange, fixture,
    json, path_of, send,
};
use support::interest;
use tokio::task::LocalSet;

#[test]
fn types_read_and_write_stored_and_sent_forms_unchanged() {
    for name in ["control-state.json", "control-state-after.json"] {
        assert_round_trip::<PersistentState>(&fixture(name));
    }
    for name in ["host-whole.http", "host-changes.http", "host-nothing.http"] {
        assert_round_trip::<WatchResponse>(&exchange(name).response);
    }
    for name in [
        "origin-listening.http",
        "origin-gathering.http",
        "origin-leading.http",
        "origin-whole.http",
    ] {
        assert_round_trip::<LogResponse>(&exchange(name).response);
    }
    for name in ["control-log-whole.http", "control-log-changes.http"] {
        assert_round_trip::<Update>(&exchange(name).response);
    }
    for name in ["origin-tally-first.http", "origin-tally-second.http", "control-tally.http"] {
        assert_round_trip::<ProgressReport>(&exchange(name).body);
    }
    for name in ["origin-publish.http", "origin-withdraw.http"] {
        assert_round_trip::<PublishRequest>(&exchange(name).body);
        assert_round_trip::<PublishResponse>(&exchange(name).response);
    }
    assert_round_trip::<LogRequest>(&fixture("member-call.json"));
    for name in ["origin-status-first.http", "origin-status.http"] {
        assert_round_trip::<OriginStatus>(&exchange(name).response);
    }
    assert_round_trip::<Document>(&exchange("origin-document.http").response);
    assert_round_trip::<Vec<DocumentSummary>>(&exchange("origin-documents.http").response);
    assert_round_trip::<ReportResponse>(&exchange("origin-tally-elsewhere.http").response);
    assert_round_trip::<PromiseResponse>(&exchange("control-promised.http").response);
    assert_round_trip::<ConfigSnapshot>(&fixture("host-marker.json"));
}

fn member(n: usize, at: SocketAddr) -> (String, SocketAddr) {
    (format!("m{n}"), at)
}

/// Returns an address on which nothing listens.
fn unreachable_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

#[test]
fn origin_responses_are_unchanged() {
    // The newest replica is taken over from the first member.
    let newest = Peer::start(|_, _| Some((200, exchange("control-log-whole.http").response)));
    let members = BTreeMap::from([
        member(0, newest.address),
        member(1, unreachable_address()),
        member(2, unreachable_address()),
    ]);
    let config = origin::Config { number: 1, start_id: 7, members };
    let origin = Running::start(move |listener| origin::run(listener, config));
    assert_exchange(origin.address, "origin-status-first.http");
    assert_exchange(origin.address, "origin-not-leading.http");
    assert_exchange(origin.address, "origin-listening.http");
    assert_exchange(origin.address, "origin-gathering.http");
    assert_exchange(origin.address, "origin-promised-first.http");
    assert_exchange(origin.address, "origin-leading.http");
    let takeover = newest.wait_for("the newest replica is taken over", |_| true);
    assert_eq!(takeover.request, exchange("origin-takes-over.http").request);
    assert_fixture("origin-takes-over.http", &takeover.text());
    assert_exchange(origin.address, "origin-no-member.http");
    assert_exchange(origin.address, "origin-lives-not-sound.http");
    // A change is committed once two of three members have acknowledged it, which they do while the operator waits.
    let assert_published = |name: &'static str, acknowledgements: &[&str]| {
        let address = origin.address;
        let operator = thread::spawn(move || assert_exchange(address, name));
        let generation = json(&exchange(name).response)["generation"].as_u64().expect("a number");
        until("the change is ordered", || {
            json(&send(address, "GET /config/status", "").response)["generation"] == generation
        });
        acknowledgements.iter().for_each(|name| assert_exchange(address, name));
        operator.join().expect("answered");
    };
    assert_published("origin-publish.http", &["origin-has-first.http", "origin-has-second.http"]);
    let acknowledgements = ["origin-whole.http", "origin-has-third.http", "origin-has-fourth.http"];
    assert_published("origin-withdraw.http", &acknowledgements);
    assert_exchange(origin.address, "origin-publish-not-sound.http");
    assert_exchange(origin.address, "origin-withdraw-none.http");
    assert_exchange(origin.address, "origin-tally-first.http");
    assert_exchange(origin.address, "origin-tally-second.http");
    assert_exchange(origin.address, "origin-tally-elsewhere.http");
    assert_exchange(origin.address, "origin-tally-no-member.http");
    assert_exchange(origin.address, "origin-status.http");
    assert_exchange(origin.address, "origin-documents.http");
    assert_exchange(origin.address, "origin-document.http");
    assert_exchange(origin.address, "origin-no-document.http");
    assert_exchange(origin.address, "origin-no-path.http");
    assert_exchange(origin.address, "origin-superseded-first.http");
    assert_exchange(origin.address, "origin-superseded.http");
    assert_exchange(origin.address, "origin-not-followed.http");
}

fn control_config(state: &Path, origin: SocketAddr, other: SocketAddr) -> control::Config {
    control::Config {
        name: "m0".to_owned(),
        state_dir: state.to_owned(),
        origins: vec![origin],
        peers: [member(1, other), member(2, unreachable_address())].into(),
        is_new_member: false,
        max_hosts: 2,
        seed: 1,
    }
}

/// Replaces the measured time since each host's last request by a fixed one.
fn with_fixed_times(report: &str) -> String {
    let mut value = json(report);
    if let Some(arrived) = value["arrived"].as_array_mut() {
        arrived.iter_mut().for_each(|arrival| arrival["silent_ms"] = 25.into());
    }
    value.to_string()
}

#[test]
fn control_server_state_requests_and_responses_are_unchanged() {
    let folder = Folder::new("compatible-control");
    let state = folder.path().join("state.json");
    fs::write(&state, fixture("control-state.json")).expect("written");
    let origin = Peer::start(|path, before| match (path, before) {
        ("/config/log", 0) => Some((200, exchange("control-follows.http").response)),
        ("/config/tally", 0) => Some((200, exchange("origin-tally-elsewhere.http").response)),
        // After a failure all hosts are reported again.
        ("/config/tally", _) => Some((503, String::new())),
        _ => None,
    });
    let config = control_config(folder.path(), origin.address, unreachable_address());
    let control = Running::start(move |listener| control::run(listener, config));
    let is_log_request = |e: &Exchange| path_of(&e.request) == "/config/log";
    let first = origin.wait_for("the first log request", is_log_request);
    assert_fixture("control-follows.http", &first.text());
    let second = origin
        .wait_for("the second log request", |e| is_log_request(e) && e.request != first.request);
    assert_fixture("control-follows-on.http", &second.text());
    assert_fixture("control-state-after.json", &fs::read_to_string(&state).expect("stored"));

    assert_exchange(control.address, "host-whole.http");
    assert_exchange(control.address, "host-changes.http");
    assert_exchange(control.address, "host-nothing.http");
    assert_exchange(control.address, "host-declined.http");
    assert_exchange(control.address, "host-too-many.http");
    assert_exchange(control.address, "host-not-sound.http");
    assert_exchange(control.address, "host-no-number.http");
    let report = origin.wait_for("a report of both hosts", |e| {
        let body = serde_json::from_str::<Value>(&e.body).unwrap_or_default();
        let arrived = body["arrived"].as_array().map_or(0, Vec::len);
        arrived == 2 && body["behind"].to_string().contains("declined 5")
    });
    let report = Exchange { body: with_fixed_times(&report.body), ..report };
    assert_fixture("control-tally.http", &report.text());

    assert_exchange(control.address, "control-promised.http");
    assert_exchange(control.address, "control-log-whole.http");
    assert_exchange(control.address, "control-log-changes.http");
    let status = send(control.address, "GET /config/status", "");
    let followed = origin.address.to_string();
    assert!(status.response.contains(&followed), "{status:?}");
    let response = status.response.replace(&followed, "127.0.0.1:1");
    assert_fixture("control-status.http", &Exchange { response, ..status }.text());
}

#[test]
fn recovering_control_server_requests_and_responses_are_unchanged() {
    let folder = Folder::new("compatible-lost");
    let origin = Peer::start(|_, _| Some((503, String::new())));
    let other = Peer::start(|_, _| Some((200, exchange("control-promised.http").response)));
    let config = control_config(folder.path(), origin.address, other.address);
    let control = Running::start(move |listener| control::run(listener, config));
    let promise = other.wait_for("the request for a promise", |_| true);
    // The incarnation is taken from the system clock, so it is replaced by a fixed one.
    let with_fixed_incarnation = |request: &str| {
        let (before, after) = request.split_once("life=").expect("the incarnation");
        let digits = after.chars().take_while(char::is_ascii_digit).count();
        assert!(digits >= 13, "{request}");
        format!("{before}life=1800000000000{}", &after[digits..])
    };
    let request = with_fixed_incarnation(&promise.request);
    assert_fixture("lost-promised.http", &Exchange { request, ..promise }.text());
    let knows_incarnations = |e: &Exchange| e.request.contains("m2");
    let log = origin.wait_for("a log request with peers' incarnations", knows_incarnations);
    let request = with_fixed_incarnation(&log.request);
    assert_fixture("lost-follows.http", &Exchange { request, ..log }.text());
    assert_exchange(control.address, "lost-host.http");
    assert_exchange(control.address, "lost-not-known.http");
    assert_exchange(control.address, "lost-status.http");
}

/// A target that rejects the first configuration, asks for a retry of the second one, and applies all others.
struct Rejecting(usize);

impl ConfigTarget for Rejecting {
    async fn applied(&mut self) -> ConfigSnapshot {
        let key = "logbook".parse().expect("a key");
        let documents = vec![Document { key, generation: 2, body: None }];
        ConfigSnapshot { generation: 2, documents }
    }

    async fn apply(&mut self, _config: &ConfigSnapshot) -> ApplyOutcome {
        self.0 += 1;
        match self.0 {
            1 => ApplyOutcome::Rejected("classes[2].deadline: 1 to 60 expected".to_owned()),
            2 => ApplyOutcome::Retry("another rollout runs & ends".to_owned()),
            _ => ApplyOutcome::Applied,
        }
    }
}

#[test]
fn host_requests_are_unchanged() {
    let names = ["host-calls-first.http", "host-calls-declined.http", "host-calls-later.http"];
    let server =
        Peer::start(move |_, before| names.get(before).map(|name| (200, exchange(name).response)));
    let config = host::Config {
        name: "h1".to_owned(),
        interest: interest(&["logbook", "propagation"], "utrecht"),
        servers: vec![NamedAddress { name: "m0".to_owned(), address: server.address }],
        seed: 1,
    };
    let _host = Running::start(move |_| host::run(config, Rejecting(0)));
    until("the host has sent all requests", || server.exchanges().len() > names.len());
    for (name, exchange) in names.iter().zip(server.exchanges()) {
        assert_fixture(name, &exchange.text());
    }
    // The last request is held. It contains the outcome of all earlier responses.
    let last = server.exchanges()[names.len()].clone();
    assert_fixture("host-calls-last.http", &last.text());
}

#[test]
fn applied_marker_is_unchanged() {
    let folder = Folder::new("compatible-marker");
    let path = |name: &str| folder.path().join(name);
    fs::write(path("base.json"), fixture("host-base.json")).expect("written");
    let mut standalone =
        Standalone { base: path("base.json"), config: path("config.json"), program: None };
    let mut fleet = FleetDaemon {
        state_dir: folder.path().to_owned(),
        settings: BTreeMap::new(),
        zone: "z".to_owned(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        fs::write(path("config.in-force"), fixture("host-marker.json")).expect("written");
        fs::write(path("in-force.json"), fixture("host-marker.json")).expect("written");
        let config = standalone.applied().await;
        assert_eq!((config.generation, config.documents.len()), (5, 3));
        let of_fleet = fleet.applied().await;
        let text = |documents: &[Document]| serde_json::to_string(documents).expect("JSON");
        let expected = (5, text(&config.documents));
        assert_eq!((of_fleet.generation, text(&of_fleet.documents)), expected);
        fs::remove_file(path("config.in-force")).expect("removed");
        assert_eq!(standalone.apply(&config).await, ApplyOutcome::Applied);
        let read = |name: &str| fs::read_to_string(path(name)).expect("stored");
        assert_fixture("host-marker.json", &read("config.in-force"));
        assert_fixture("host-config.json", &read("config.json"));
    });
}
