//! Tests with system calls that fail in ways allowed by their manual pages. A library that is loaded into the program
//! injects the failures.

use std::collections::{BTreeSet, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fakes::faulty_calls::{FaultRates, environment, environment_for_files};
use fakes::wire::header;
use fakes::wire::read_message;
use serde_json::{Value, json};
use socket2::SockRef;

use crate::net::*;
use crate::support::*;

fn start(discovery: Registry, rates: FaultRates, clock: Option<&Path>) -> Sidecar {
    let mut command = program(None);
    command.envs(environment(rates, clock).expect("a C compiler"));
    Sidecar::start_command(command, "127.0.0.1:0".to_owned(), discovery, |config| {
        config["admin_addr"] = "127.0.0.1:0".into();
    })
}

/// Reads a counter with the admin command `show-events`.
fn event_count(sidecar: &Sidecar, name: &str) -> u64 {
    let mut socket = TcpStream::connect(sidecar.admin()).expect("connected");
    socket.set_read_timeout(Some(PATIENCE)).expect("a read timeout");
    socket.write_all(b"show-events\n").expect("written");
    let mut all = String::new();
    let _ = socket.read_to_string(&mut all);
    let line = all.lines().find_map(|line| line.strip_prefix(&format!("events.{name}=")));
    line.and_then(|count| count.parse().ok()).unwrap_or_else(|| panic!("no {name} in {all:?}"))
}

/// Sends requests one after another on one connection and returns those that got no response. A connection that is
/// closed between two requests is replaced.
fn unanswered(sidecar: &Sidecar, requests: usize, name: &str) -> Vec<String> {
    let mut unanswered = Vec::new();
    let mut client: Option<BufReader<TcpStream>> = None;
    for n in 0..requests {
        let id = format!("{name}-{n}");
        let mut reader = client.take().unwrap_or_else(|| BufReader::new(sidecar.connect()));
        let sent = reader.get_mut().write_all(get_request(&id).as_bytes());
        let answer = sent.ok().and_then(|()| read_message(&mut reader));
        match answer {
            Some((head, body)) => {
                assert!(head.starts_with("HTTP/1.1 200"), "{head}");
                assert_eq!(body, id.as_bytes());
                client = Some(reader);
            }
            None => unanswered.push(id),
        }
    }
    unanswered
}

/// A call that is interrupted by a signal has had no effect and must be repeated.
#[test]
fn interrupted_calls_lose_no_request() {
    let echo = Server::echo();
    let rates = FaultRates { seed: 1, interrupted: 100, ..FaultRates::default() };
    let sidecar = start(discovery(&[&echo]), rates, None);
    assert_eq!(unanswered(&sidecar, 300, "request"), Vec::<String>::new());
}

/// An accept that fails because the client aborted the connection is no resource shortage, so idle connections must not
/// be evicted for it.
#[test]
fn aborted_connections_evict_no_others() {
    let echo = Server::echo();
    let rates = FaultRates { seed: 2, aborted: 300, ..FaultRates::default() };
    let sidecar = start(discovery(&[&echo]), rates, None);
    let mut idle = sidecar.connect();
    idle.write_all(get_request("first").as_bytes()).expect("sent");
    assert!(first_answer(idle.try_clone().expect("a second handle")).ends_with("first"));
    for n in 0..40 {
        let answer = sidecar.exchange(&get_request(&format!("other{n}")));
        assert!(answer.ends_with(&format!("other{n}")), "{answer:?}");
    }
    std::thread::sleep(Duration::from_millis(50));
    idle.write_all(get_request("second").as_bytes()).expect("sent");
    assert!(first_answer(idle).ends_with("second"));
    assert_eq!(event_count(&sidecar, "closed.evicted"), 0);
}

/// The event loop learns of signals through a pipe, and calls on that pipe are interrupted as well.
#[test]
fn signals_are_not_lost_to_interrupted_calls() {
    let echo = Server::echo();
    let rates = FaultRates { seed: 3, interrupted: 300, ..FaultRates::default() };
    let mut sidecar = start(discovery(&[&echo]), rates, None);
    for _ in 0..10 {
        apply_config(&sidecar, &sidecar.config().clone());
    }
    sidecar.signal("TERM");
    let status = sidecar.wait_for_exit();
    assert!(status.success(), "{status}: {}", sidecar.log());
}

/// State that another process of this sidecar has stored is read as soon as possible if reading fails at first.
#[test]
fn stored_state_is_read_although_reading_fails_for_a_while() {
    let echo = Server::echo();
    let folder = Folder::new("state");
    let rates = FaultRates { seed: 4, file: 700, ..FaultRates::default() };
    let mut command = program(None);
    command.envs(environment_for_files(rates, "plankvale-").expect("a C compiler"));
    command.env("TMPDIR", folder.path());
    let listen = "127.0.0.1:0".to_owned();
    let with_admin = |config: &mut Value| config["admin_addr"] = listen.clone().into();
    let sidecar = Sidecar::start_command(command, listen.clone(), discovery(&[&echo]), with_admin);
    let path = state_file(folder.path());
    for drained in [true, false].repeat(5) {
        let new = path.with_extension("other");
        std::fs::write(&new, json!({"drained": drained}).to_string()).expect("written");
        std::fs::rename(&new, &path).expect("in place");
        until("the state is applied", || {
            sidecar.exchange("GET /health/ready HTTP/1.1\r\n\r\n").contains("503") == drained
        });
    }
}

/// Waits until the sidecar has announced in its state file in `directory` that it serves, and returns the path of the
/// file.
fn state_file(directory: &Path) -> PathBuf {
    let mut path = None;
    until("the sidecar has announced that it serves", || {
        let entries = std::fs::read_dir(directory).expect("a directory").flatten();
        let files = entries.map(|entry| entry.path());
        let has_state = |path: &PathBuf| {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            path.extension().is_some_and(|e| e == "json") && text.contains("serving")
        };
        path = files.into_iter().find(has_state);
        path.is_some()
    });
    path.expect("found")
}

/// The share of requests that a joining server gets in slow start while the sidecar's wall clock is ahead.
fn share_of_joining_server(seconds_ahead: i64) -> f64 {
    let (old, new): (Vec<_>, Server) = ((0..4).map(|_| Server::echo()).collect(), Server::echo());
    let registry = discovery(&old.iter().collect::<Vec<_>>());
    let folder = Folder::new("clock");
    let clock = folder.path().join("clock");
    std::fs::write(&clock, seconds_ahead.to_string()).expect("written");
    let sidecar = start(registry.clone(), FaultRates::default(), Some(&clock));
    assert_eq!(unanswered(&sidecar, 100, "before"), Vec::<String>::new());
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    registry.update(Entry { born_ms: now.as_millis() as u64, ..Entry::new(new.at, "a") });
    sidecar.wait_until_reaches(&new);
    let (before, requests) = (new.seen().len(), 400);
    assert_eq!(unanswered(&sidecar, requests, "joined"), Vec::<String>::new());
    (new.seen().len() - before) as f64 / requests as f64
}

#[test]
fn joining_server_warms_up_with_a_wall_clock_that_is_wrong() {
    for seconds_ahead in [0, 3600, -3600] {
        let share = share_of_joining_server(seconds_ahead);
        // One of five servers at a fifth of its capacity (`coldShare`) has a share of 0.04. The settings allow
        // three times that (`fallMultiple`).
        assert!(share < 0.12, "{share} with the clock {seconds_ahead} s ahead");
    }
}

/// Numbers of bytes of an order that a server leaves unread when it resets the connection.
const UNREAD_BYTES: [usize; 6] = [0, 1, 2, 100, 5_000, 20_000];
/// The length of the body of an order.
const ORDER_BYTES: usize = 20_000;

/// Counts of orders by id.
type OrderCounts = Arc<Mutex<HashMap<String, usize>>>;

/// Number of bytes of the first copy of this order that the server leaves unread.
fn unread_bytes(id: &str) -> usize {
    let number: usize = id.trim_start_matches("order").parse().expect("the number of an order");
    UNREAD_BYTES[number % UNREAD_BYTES.len()]
}

/// Receives an order except the last `unread` bytes, which stay in the socket. Returns its id and the number of unread
/// bytes; `None` if the connection has ended.
fn receive_order(
    reader: &mut impl BufRead,
    mut unread: impl FnMut(&str) -> usize,
) -> Option<(String, usize)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let id = header(&head, "x-correlation-id")?;
    let left = unread(&id);
    reader.read_exact(&mut vec![0; ORDER_BYTES - left]).ok()?;
    Some((id, left))
}

/// Starts a server that resets the connection around the last byte of the first copy of each order, and serves all
/// other copies. `executions` counts the completely received copies, `copies` all copies.
fn resetting_server(executions: OrderCounts, copies: OrderCounts) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut server = Server::echo();
    server.at = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let (executions, copies) = (executions.clone(), copies.clone());
            std::thread::spawn(move || {
                let is_first = |id: &str| {
                    let mut copies = copies.lock().expect("no panic");
                    let count = copies.entry(id.to_owned()).or_default();
                    *count += 1;
                    *count == 1
                };
                let mut reset = false;
                let mut reader = BufReader::with_capacity(1, socket.try_clone().expect("a handle"));
                while let Some((id, left)) = receive_order(&mut reader, |id| {
                    reset = is_first(id);
                    if reset { unread_bytes(id) } else { 0 }
                }) {
                    if left == 0 {
                        *executions.lock().expect("no panic").entry(id.clone()).or_default() += 1;
                    }
                    if reset {
                        let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
                        return;
                    }
                    let _ = socket.write_all(answer(&id).as_bytes());
                }
            });
        }
    });
    server
}

/// Short writes cause the last byte of a request to be written separately.
#[test]
fn order_whose_connection_is_reset_around_its_last_byte_is_executed_once() {
    let (executions, copies) = (OrderCounts::default(), OrderCounts::default());
    let servers: Vec<Server> =
        (0..6).map(|_| resetting_server(executions.clone(), copies.clone())).collect();
    let rates = FaultRates { seed: 5, interrupted: 50, short: 300, ..FaultRates::default() };
    let sidecar = start(discovery(&servers.iter().collect::<Vec<_>>()), rates, None);
    let body = format!("Content-Length: {ORDER_BYTES}\r\n\r\n{}", "x".repeat(ORDER_BYTES));
    for n in 0..60 {
        let id = format!("order{n}");
        let text = order_request(&id).replace("Content-Length: 2\r\n\r\nab", &body);
        let answer = sidecar.exchange(&text);
        let executed = executions.lock().expect("no panic").get(&id).copied().unwrap_or_default();
        let rejected = answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 429");
        assert!(executed <= 1, "{id} was executed {executed} times: {answer:?}");
        assert!(executed == 0 || !rejected, "{id} was executed, and {answer:?}");
    }
    let copies = copies.lock().expect("no panic");
    let covered: BTreeSet<usize> = copies.keys().map(|id| unread_bytes(id)).collect();
    assert_eq!(covered, BTreeSet::from(UNREAD_BYTES), "resets that occurred");
}

/// Reads and writes that fail because the system has no buffers for a moment must be repeated.
#[test]
fn requests_are_answered_although_reads_and_writes_fail_for_lack_of_buffers() {
    let server = Server::echo();
    let rates = FaultRates { seed: 11, memory: 20, ..FaultRates::default() };
    let sidecar = start(discovery(&[&server]), rates, None);
    let unanswered = unanswered(&sidecar, 300, "buffers");
    assert_eq!(unanswered, Vec::<String>::new());
}

/// A client that has had a response and keeps its connection idle.
fn idle_client(sidecar: &Sidecar) -> TcpStream {
    let mut client = sidecar.connect();
    client.write_all(get_request("first").as_bytes()).expect("sent");
    assert!(first_answer(client.try_clone().expect("a handle")).ends_with("first"));
    client
}

/// The sidecar checks the socket of an idle connection and finds no input, then the request arrives, then the sidecar
/// shuts the connection down.
#[test]
fn request_that_arrives_between_the_check_and_the_shutdown_of_its_connection_is_answered() {
    /// Duration of the hold-up that the library injects between the check and the shutdown.
    const HOLD: Duration = Duration::from_millis(100);
    let server = Server::echo();
    let rates = FaultRates { seed: 1, hold: 1000, ..FaultRates::default() };
    let sidecar = start(discovery(&[&server]), rates, None);
    let first = idle_client(&sidecar);
    let since = Instant::now();
    assert_eq!(read_to_end(first), "");
    let closed_after = since.elapsed();
    let mut second = idle_client(&sidecar);
    thread::sleep(closed_after - HOLD / 2);
    second.write_all(get_request("second").as_bytes()).expect("sent");
    let answer = first_answer(second);
    assert!(answer.ends_with("second"), "{answer:?}");
}
