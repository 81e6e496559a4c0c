//! What earlier versions stored and sent is read by the present code, which stores and sends the same.
//!
//! Each role runs for itself against peers that answer from the fixtures under `tests/fixtures/`; what it sends, answers
//! and stores is compared with them. An exchange has four lines: method and target, the request's body, the status, the
//! answer's body. What a run has sent and stored lies in `CARGO_TARGET_TMPDIR` afterwards, under the same names.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use config_distribution::control::PersistentState;
use config_distribution::documents::{Document, Interest};
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
use fakes::wire::message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

// ---- Fixtures ----

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn fixture(name: &str) -> String {
    fs::read_to_string(fixture_path(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text:?}"))
}

/// Compares JSON as values, other text as it is; an empty line is no JSON.
fn same(name: &str, expected: &str, actual: &str) {
    match serde_json::from_str::<Value>(expected) {
        Ok(expected) => assert_eq!(json(actual), expected, "{name}"),
        Err(_) => assert_eq!(actual, expected, "{name}"),
    }
}

/// Holds what a run has stored against the fixture of this name.
fn holds(name: &str, actual: &str) {
    fs::write(Path::new(env!("CARGO_TARGET_TMPDIR")).join(name), actual).expect("written");
    let expected = fixture(name);
    if !name.ends_with(".http") {
        return same(name, &expected, actual);
    }
    let (expected, actual): (Vec<_>, Vec<_>) =
        (expected.lines().collect(), actual.lines().collect());
    assert_eq!(expected.len(), actual.len(), "{name}");
    expected.iter().zip(actual).for_each(|(expected, actual)| same(name, expected, actual));
}

/// Request, its body, status and answer of a fixture.
fn exchange(name: &str) -> Exchange {
    let text = fixture(name);
    let lines: Vec<_> = text.lines().collect();
    let [request, body, status, answer] = lines[..] else { panic!("{name}: four lines") };
    let status = status.parse().expect("a status");
    Exchange { request: request.into(), body: body.into(), status, answer: answer.into() }
}

/// A value of this type reads the text and writes the same.
fn round_trip<T: DeserializeOwned + Serialize>(text: &str) -> T {
    let read: T = serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"));
    assert_eq!(serde_json::to_value(&read).expect("JSON"), json(text), "{text}");
    read
}

// ---- Peers ----

#[derive(Clone, Debug)]
struct Exchange {
    request: String,
    body: String,
    status: u16,
    answer: String,
}

impl Exchange {
    /// As a fixture has it.
    fn text(&self) -> String {
        format!("{}\n{}\n{}\n{}\n", self.request, self.body, self.status, self.answer)
    }
}

/// A peer of a role: it answers by `answer`, given how many requests it had before, and writes down all that came.
/// Where there is no answer, the request is held.
struct Peer {
    at: SocketAddr,
    seen: Arc<Mutex<Vec<Exchange>>>,
}

type Answers = dyn Fn(&str, usize) -> Option<(u16, String)> + Send + Sync;

impl Peer {
    fn start(
        answer: impl Fn(&str, usize) -> Option<(u16, String)> + Send + Sync + 'static,
    ) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let seen: Arc<Mutex<Vec<Exchange>>> = Arc::default();
        let (all, answer): (_, Arc<Answers>) = (seen.clone(), Arc::new(answer));
        thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let (all, answer) = (all.clone(), answer.clone());
                thread::spawn(move || serve(&socket, &all, &*answer));
            }
        });
        Peer { at, seen }
    }

    fn seen(&self) -> Vec<Exchange> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The first request that fits, once it has come.
    fn first(&self, what: &str, fits: impl Fn(&Exchange) -> bool) -> Exchange {
        let mut found = None;
        until(what, || {
            found = self.seen().into_iter().find(&fits);
            found.is_some()
        });
        found.expect("found")
    }
}

/// `METHOD TARGET` of a head.
fn request_of(head: &str) -> String {
    let line = head.lines().next().unwrap_or_default();
    line.trim_end_matches(" HTTP/1.1").to_owned()
}

fn serve(socket: &TcpStream, all: &Mutex<Vec<Exchange>>, answer: &Answers) {
    let mut read = BufReader::new(socket.try_clone().expect("a handle"));
    let mut write = socket;
    while let Some((head, body)) = message(&mut read) {
        let request = request_of(&head);
        let mut all = all.lock().unwrap_or_else(PoisonError::into_inner);
        let before = all.iter().filter(|e| path_of(&e.request) == path_of(&request)).count();
        let reply = answer(path_of(&request), before);
        let (status, text) = reply.clone().unwrap_or_default();
        let body = String::from_utf8(body).expect("text");
        all.push(Exchange { request, body, status, answer: text });
        drop(all);
        match reply {
            Some((status, text)) => {
                let length = text.len();
                let _ =
                    write!(write, "HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{text}");
            }
            None => thread::park(),
        }
    }
}

fn path_of(request: &str) -> &str {
    let target = request.split(' ').nth(1).unwrap_or_default();
    target.split('?').next().unwrap_or_default()
}

/// Sends `METHOD TARGET` and a body; what was answered.
fn send(at: SocketAddr, request: &str, body: &str) -> Exchange {
    let mut socket = TcpStream::connect(at).expect("connected");
    socket.set_read_timeout(Some(Duration::from_secs(10))).expect("a time");
    let length = body.len();
    write!(socket, "{request} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}")
        .expect("sent");
    let (head, answer) = message(&mut BufReader::new(socket)).expect("an answer");
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    let answer = String::from_utf8(answer).expect("text");
    Exchange { request: request.to_owned(), body: body.to_owned(), status, answer }
}

/// Sends a fixture's request, and holds the answer against the fixture's.
fn answers(at: SocketAddr, name: &str) -> Exchange {
    let Exchange { request, body, .. } = exchange(name);
    let sent = send(at, &request, &body);
    holds(name, &sent.text());
    sent
}

/// A role on a thread of its own. It ends with the handle.
struct Running {
    at: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    fn start<F: Future>(
        role: impl FnOnce(tokio::net::TcpListener) -> F + Send + 'static,
    ) -> Running {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a flag");
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            LocalSet::new().block_on(&runtime.expect("a runtime"), async {
                let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
                tokio::select! {
                    _ = role(listener) => {}
                    _ = stopped => {}
                }
            });
        });
        Running { at, stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}

// ---- The types ----

#[test]
fn types_read_and_write_stored_and_sent_forms_unchanged() {
    for name in ["control-state.json", "control-state-after.json"] {
        round_trip::<PersistentState>(&fixture(name));
    }
    for name in ["host-whole.http", "host-changes.http", "host-nothing.http"] {
        round_trip::<WatchResponse>(&exchange(name).answer);
    }
    for name in [
        "origin-listening.http",
        "origin-gathering.http",
        "origin-leading.http",
        "origin-whole.http",
    ] {
        round_trip::<LogResponse>(&exchange(name).answer);
    }
    for name in ["control-log-whole.http", "control-log-changes.http"] {
        round_trip::<Update>(&exchange(name).answer);
    }
    for name in ["origin-tally-first.http", "origin-tally-second.http", "control-tally.http"] {
        round_trip::<ProgressReport>(&exchange(name).body);
    }
    for name in ["origin-publish.http", "origin-withdraw.http"] {
        round_trip::<PublishRequest>(&exchange(name).body);
        round_trip::<PublishResponse>(&exchange(name).answer);
    }
    round_trip::<LogRequest>(&fixture("member-call.json"));
    for name in ["origin-status-first.http", "origin-status.http"] {
        round_trip::<OriginStatus>(&exchange(name).answer);
    }
    round_trip::<Document>(&exchange("origin-document.http").answer);
    round_trip::<Vec<DocumentSummary>>(&exchange("origin-documents.http").answer);
    round_trip::<ReportResponse>(&exchange("origin-tally-elsewhere.http").answer);
    round_trip::<PromiseResponse>(&exchange("control-promised.http").answer);
    round_trip::<ConfigSnapshot>(&fixture("host-marker.json"));
}

// ---- The roles ----

fn member(n: usize, at: SocketAddr) -> (String, SocketAddr) {
    (format!("m{n}"), at)
}

/// Nobody listens there.
fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

#[test]
fn origin_responses_are_unchanged() {
    // Two of the members' calls wait for an epoch; the newest replica is taken over from the first.
    let newest = Peer::start(|_, _| Some((200, exchange("control-log-whole.http").answer)));
    let members =
        BTreeMap::from([member(0, newest.at), member(1, nowhere()), member(2, nowhere())]);
    let config = origin::Config { number: 1, start_id: 7, members };
    let origin = Running::start(move |listener| origin::run(listener, config));
    answers(origin.at, "origin-status-first.http");
    answers(origin.at, "origin-not-leading.http");
    answers(origin.at, "origin-listening.http");
    answers(origin.at, "origin-gathering.http");
    answers(origin.at, "origin-promised-first.http");
    answers(origin.at, "origin-leading.http");
    let asked = newest.first("the newest replica is asked for", |_| true);
    assert_eq!(asked.request, exchange("origin-takes-over.http").request);
    holds("origin-takes-over.http", &asked.text());
    answers(origin.at, "origin-no-member.http");
    answers(origin.at, "origin-lives-not-sound.http");
    // A change is committed once two of three have it: they say so while the operator waits.
    let published = |name: &'static str, calls: &[&str]| {
        let at = origin.at;
        let operator = thread::spawn(move || answers(at, name));
        let generation = json(&exchange(name).answer)["generation"].as_u64().expect("a number");
        until("the change is ordered", || {
            json(&send(at, "GET /config/status", "").answer)["generation"] == generation
        });
        calls.iter().for_each(|call| drop(answers(at, call)));
        operator.join().expect("answered");
    };
    published("origin-publish.http", &["origin-has-first.http", "origin-has-second.http"]);
    let calls = ["origin-whole.http", "origin-has-third.http", "origin-has-fourth.http"];
    published("origin-withdraw.http", &calls);
    answers(origin.at, "origin-publish-not-sound.http");
    answers(origin.at, "origin-withdraw-none.http");
    answers(origin.at, "origin-tally-first.http");
    answers(origin.at, "origin-tally-second.http");
    answers(origin.at, "origin-tally-elsewhere.http");
    answers(origin.at, "origin-tally-no-member.http");
    answers(origin.at, "origin-status.http");
    answers(origin.at, "origin-documents.http");
    answers(origin.at, "origin-document.http");
    answers(origin.at, "origin-no-document.http");
    answers(origin.at, "origin-no-path.http");
    answers(origin.at, "origin-superseded-first.http");
    answers(origin.at, "origin-superseded.http");
    answers(origin.at, "origin-not-followed.http");
}

fn control_config(state: &Path, origin: SocketAddr, other: SocketAddr) -> control::Config {
    control::Config {
        name: "m0".to_owned(),
        state_dir: state.to_owned(),
        origins: vec![origin],
        peers: [member(1, other), member(2, nowhere())].into(),
        is_new_member: false,
        max_hosts: 2,
        seed: 1,
    }
}

/// The same but for when a host last called, which is measured.
fn without_times(summary: &str) -> String {
    let mut value = json(summary);
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
        ("/config/log", 0) => Some((200, exchange("control-follows.http").answer)),
        ("/config/tally", 0) => Some((200, exchange("origin-tally-elsewhere.http").answer)),
        // After a refusal all hosts are told anew.
        ("/config/tally", _) => Some((503, String::new())),
        _ => None,
    });
    let config = control_config(folder.path(), origin.at, nowhere());
    let control = Running::start(move |listener| control::run(listener, config));
    let log = |e: &Exchange| path_of(&e.request) == "/config/log";
    let first = origin.first("it calls", log);
    holds("control-follows.http", &first.text());
    let second = origin.first("it calls again", |e| log(e) && e.request != first.request);
    holds("control-follows-on.http", &second.text());
    holds("control-state-after.json", &fs::read_to_string(&state).expect("stored"));

    answers(control.at, "host-whole.http");
    answers(control.at, "host-changes.http");
    answers(control.at, "host-nothing.http");
    answers(control.at, "host-declined.http");
    answers(control.at, "host-too-many.http");
    answers(control.at, "host-not-sound.http");
    answers(control.at, "host-no-number.http");
    let told = origin.first("it tells its sums", |e| {
        let body = serde_json::from_str::<Value>(&e.body).unwrap_or_default();
        let arrived = body["arrived"].as_array().map_or(0, Vec::len);
        arrived == 2 && body["behind"].to_string().contains("declined 5")
    });
    let told = Exchange { body: without_times(&told.body), ..told };
    holds("control-tally.http", &told.text());

    answers(control.at, "control-promised.http");
    answers(control.at, "control-log-whole.http");
    answers(control.at, "control-log-changes.http");
    let status = send(control.at, "GET /config/status", "");
    let followed = origin.at.to_string();
    assert!(status.answer.contains(&followed), "{status:?}");
    let answer = status.answer.replace(&followed, "127.0.0.1:1");
    holds("control-status.http", &Exchange { answer, ..status }.text());
}

#[test]
fn recovering_control_server_requests_and_responses_are_unchanged() {
    let folder = Folder::new("compatible-lost");
    let origin = Peer::start(|_, _| Some((503, String::new())));
    let other = Peer::start(|_, _| Some((200, exchange("control-promised.http").answer)));
    let config = control_config(folder.path(), origin.at, other.at);
    let control = Running::start(move |listener| control::run(listener, config));
    let asked = other.first("it asks", |_| true);
    // Its life is drawn from the clock.
    let life = |request: &str| {
        let (before, life) = request.split_once("life=").expect("its life");
        let digits = life.chars().take_while(char::is_ascii_digit).count();
        assert!(digits >= 13, "{request}");
        format!("{before}life=1800000000000{}", &life[digits..])
    };
    let asked = Exchange { request: life(&asked.request), ..asked };
    holds("lost-promised.http", &asked.text());
    let call = origin.first("it calls, and knows of others' lives", |e| e.request.contains("m2"));
    let call = Exchange { request: life(&call.request), ..call };
    holds("lost-follows.http", &call.text());
    answers(control.at, "lost-host.http");
    answers(control.at, "lost-not-known.http");
    answers(control.at, "lost-status.http");
}

/// Rejects the first configuration, and cannot apply the second one now.
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
    let machine =
        Peer::start(move |_, before| names.get(before).map(|name| (200, exchange(name).answer)));
    let config = host::Config {
        name: "h1".to_owned(),
        interest: interest(),
        servers: vec![NamedAddress { name: "m0".to_owned(), address: machine.at }],
        seed: 1,
    };
    let _host = Running::start(move |_| host::run(config, Rejecting(0)));
    until("it has called", || machine.seen().len() > names.len());
    for (name, exchange) in names.iter().zip(machine.seen()) {
        holds(name, &exchange.text());
    }
    // The last answer was held: what it says now is what came of all.
    let last = machine.seen()[names.len()].clone();
    holds("host-calls-last.http", &last.text());
}

fn interest() -> Interest {
    let services = ["logbook", "propagation"].map(str::to_owned);
    Interest { services: services.into(), zone: "utrecht".to_owned() }
}

#[test]
fn applied_marker_is_unchanged() {
    let folder = Folder::new("compatible-marker");
    let path = |name: &str| folder.path().join(name);
    fs::write(path("base.json"), fixture("host-base.json")).expect("written");
    let mut place =
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
        let config = place.applied().await;
        assert_eq!((config.generation, config.documents.len()), (5, 3));
        let of_fleet = fleet.applied().await;
        let text = |documents: &[Document]| serde_json::to_string(documents).expect("JSON");
        let expected = (5, text(&config.documents));
        assert_eq!((of_fleet.generation, text(&of_fleet.documents)), expected);
        fs::remove_file(path("config.in-force")).expect("removed");
        assert_eq!(place.apply(&config).await, ApplyOutcome::Applied);
        let read = |name: &str| fs::read_to_string(path(name)).expect("stored");
        holds("host-marker.json", &read("config.in-force"));
        holds("host-config.json", &read("config.json"));
    });
}
