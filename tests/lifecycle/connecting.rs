//! Requests that wait for a connection to a server, or to be accepted, while their client disconnects or the server
//! drains. Such a request must not be sent.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fakes::scripted::{request_id, serve};
use fakes::wire::read_message;
use serde_json::Value;
use socket2::{Domain, Socket, Type};

use crate::net::*;
use crate::support::*;

/// Returns a listener whose accept queue holds one connection.
fn listener_with_queue_of_one() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a free port");
    socket.listen(0).expect("the socket listens");
    socket.into()
}

/// A server to which no connection is established until it accepts, as an unaccepted connection fills its accept queue.
struct UnacceptingServer {
    at: SocketAddr,
    listener: Option<TcpListener>,
    _filler: TcpStream,
    /// The ids of the requests that it has received.
    seen: Arc<Mutex<Vec<String>>>,
}

impl UnacceptingServer {
    fn new() -> UnacceptingServer {
        UnacceptingServer::of(listener_with_queue_of_one())
    }

    /// Creates a server from a listener whose accept queue is empty and holds one connection.
    fn of(listener: TcpListener) -> UnacceptingServer {
        let at = listener.local_addr().expect("bound");
        let filler = TcpStream::connect(at).expect("the accept queue has room for one connection");
        UnacceptingServer { at, listener: Some(listener), _filler: filler, seen: Arc::default() }
    }

    /// Returns the number of connections to the server that are not established yet (state SYN_SENT).
    fn pending_connections(&self) -> usize {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
        let to = format!("0100007F:{:04X}", self.at.port());
        let fields = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
        fields.filter(|f| f.len() > 3 && f[2] == to && f[3] == "02").count()
    }

    /// Starts to accept connections, and responds to each request with its id.
    fn start_accepting(&mut self) {
        let seen = self.seen.clone();
        serve(self.listener.take().expect("not accepting yet"), move |head, socket| {
            let id = request_id(head);
            seen.lock().expect("no panic").push(id.clone());
            socket.write_all(answer(&id).as_bytes()).is_ok()
        });
    }

    fn seen(&self) -> Vec<String> {
        self.seen.lock().expect("no panic").clone()
    }
}

fn slow_to_connect(config: &mut Value) {
    config["settings"]["limits"]["connectTimeout"] = 20_000_000.into();
}

/// The endpoint list with the draining server arrives long before the connection is established.
#[test]
fn attempt_waiting_for_a_connection_is_not_sent_to_a_draining_server() {
    let mut unaccepting = UnacceptingServer::new();
    let healthy = Server::echo();
    let registry = discovery_at(unaccepting.at);
    let sidecar = Sidecar::start_with(registry.clone(), slow_to_connect);
    let mut open = sidecar.connect();
    open.write_all(order_request("open").as_bytes()).expect("sent");
    until("the connection is requested", || unaccepting.pending_connections() == 1);
    registry.set_health(&Entry::new(unaccepting.at, "a").host, "leaving");
    registry.update(Entry::new(healthy.at, "a"));
    let mut n = 0;
    until("the new endpoint list is applied", || {
        n += 1;
        let request = get_request(&format!("look{n}")).replace("Ms: 20000", "Ms: 500");
        sidecar.exchange(&request).contains("200 OK")
    });
    unaccepting.start_accepting();
    let answer = first_answer(open);
    assert!(answer.ends_with("\r\n\r\nopen"), "{answer:?}");
    assert!(!unaccepting.seen().contains(&"open".to_owned()), "{:?}", unaccepting.seen());
    assert!(healthy.seen().contains(&"open".to_owned()), "{:?}", healthy.seen());
}

/// A server restarts at another address while an attempt waits for a connection to the old one. Another server may
/// listen there by then.
#[test]
fn attempt_waiting_for_a_connection_is_not_sent_to_the_old_address_of_a_moved_server() {
    let mut old = UnacceptingServer::new();
    let (new, other) = (Server::echo(), Server::echo());
    let registry = discovery_at(old.at);
    let sidecar = Sidecar::start_with(registry.clone(), slow_to_connect);
    let mut open = sidecar.connect();
    open.write_all(order_request("open").as_bytes()).expect("sent");
    until("the connection is requested", || old.pending_connections() == 1);
    let moved = Entry { dial: new.at, born_ms: 1, ..Entry::new(old.at, "a") };
    registry.update(moved);
    sidecar.wait_until_reaches(&new);
    registry.update(Entry::new(other.at, "a"));
    sidecar.wait_until_reaches(&other);
    old.start_accepting();
    let answer = first_answer(open);
    assert!(answer.ends_with("\r\n\r\nopen"), "{answer:?}");
    assert!(!old.seen().contains(&"open".to_owned()), "{:?}", old.seen());
    assert!(other.seen().contains(&"open".to_owned()), "{:?}", other.seen());
}

/// The idle time of a connection in these tests, longer than the quiet period before it is reused.
const CONNECTION_IDLE_TIME: Duration = Duration::from_millis(60);

/// The server closes a reused connection when it has received a request with an idempotency key. The repeat waits for
/// its connection until after the deduplication window of the first copy.
#[test]
fn repeat_is_not_sent_after_its_deduplication_window() {
    // The request is repeated only after an immediate reset, which may take several tries on a slow machine.
    until("the request is to be repeated", repeat_waits_past_its_window);
}

/// Makes one try. Returns whether the request was repeated.
fn repeat_waits_past_its_window() -> bool {
    let listener = listener_with_queue_of_one();
    let at = listener.local_addr().expect("bound");
    let sidecar = Sidecar::start_with(discovery_at(at), slow_to_connect);
    let request_with_key = |id: &str| {
        let key = format!("Idempotency-Key: {id}\r\nContent-Length");
        order_request(id).replace("/order/", "/keep/").replace("Content-Length", &key)
    };
    let mut first = sidecar.connect();
    first.write_all(request_with_key("first").as_bytes()).expect("sent");
    let (mut idle, _) = listener.accept().expect("the sidecar connects");
    let mut read = BufReader::new(idle.try_clone().expect("a second handle"));
    read_message(&mut read).expect("the first request");
    idle.write_all(answer("first").as_bytes()).expect("sent");
    assert!(first_answer(first).ends_with("\r\n\r\nfirst"));
    let mut unaccepting = UnacceptingServer::of(listener);
    thread::sleep(CONNECTION_IDLE_TIME);
    let mut second = sidecar.connect();
    second.write_all(request_with_key("second").as_bytes()).expect("sent");
    read_message(&mut read).expect("the second request");
    drop((read, idle));
    second.set_nonblocking(true).expect("set");
    let mut failed = false;
    until("the connection of the repeat is requested, or there is no repeat", || {
        failed = second.peek(&mut [0]).is_ok();
        failed || unaccepting.pending_connections() == 1
    });
    if failed {
        return false;
    }
    second.set_nonblocking(false).expect("set");
    // The deduplication window of the class is 0.7 s.
    thread::sleep(Duration::from_millis(800));
    unaccepting.start_accepting();
    let answer = first_answer(second);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer:?}");
    assert!(unaccepting.seen().is_empty(), "{:?}", unaccepting.seen());
    true
}

/// A function that makes the text of a request from its id.
type RequestText = fn(&str) -> String;

/// The ways in which a client disconnects: it closes the connection or only its sending side (`half`), with or without
/// sending another request or stray bytes (`noise`) before.
const DISCONNECTS: [&str; 5] = ["close", "half", "next request", "noise", "noise and half"];

/// Disconnects a client. Returns its socket if it only closes its sending side.
fn disconnect(how: &str, mut socket: TcpStream) -> Option<TcpStream> {
    match how {
        "next request" => drop(socket.write_all(get_request("behind").as_bytes())),
        "noise" | "noise and half" => drop(socket.write_all(b"\r\n\0noise")),
        _ => {}
    }
    if how.ends_with("half") {
        socket.shutdown(Shutdown::Write).expect("ended");
        return Some(socket);
    }
    None
}

/// Returns a request with a chunk size that deviates from the standard, so that only hyper sees where the request ends.
fn nonstandard_chunks(id: &str) -> String {
    format!(
        "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\
         Transfer-Encoding: chunked\r\n\r\n2 \r\nab\r\n0\r\n\r\n"
    )
}

/// Returns an order whose body is too long to be buffered.
fn long_order(id: &str) -> String {
    order_request(id).replace("Length: 2", "Length: 100000").replace("ab", &"x".repeat(100_000))
}

/// Asserts for each way to disconnect and each kind of request that nothing is sent once the connection is established.
fn assert_nothing_is_sent_for_clients_that_left(cancel: bool) {
    let mut unaccepting = UnacceptingServer::new();
    let sidecar = Sidecar::start_with(discovery_at(unaccepting.at), |config| {
        slow_to_connect(config);
        // Longer than the test takes, so that nothing times out.
        (0..3).for_each(|class| set_times(config, class, 100_000, 200_000));
        config["settings"]["limits"]["connectTimeout"] = 200_000_000.into();
        config["settings"]["limits"]["cancel"] = cancel.into();
        config["limits"]["sockets"] = 256.into();
    });
    let kinds = [
        ("look", get_request as RequestText),
        ("order", order_request),
        ("odd chunks", nonstandard_chunks),
        ("long", long_order),
    ];
    let mut half_closed = Vec::new();
    let mut waiting = Vec::new();
    for how in DISCONNECTS {
        for (kind, text) in kinds {
            let id = format!("{kind} {how}").replace(' ', "-");
            let mut socket = sidecar.connect();
            let text = text(&id).replace("Ms: 20000", "Ms: 150000");
            socket.write_all(text.as_bytes()).expect("sent");
            waiting.push((how, socket));
            until("the sidecar connects for the request", || {
                unaccepting.pending_connections() >= waiting.len()
            });
        }
    }
    for (how, socket) in waiting {
        half_closed.extend(disconnect(how, socket));
    }
    let disconnected_at = Instant::now();
    until("all disconnects are detected", || {
        // The request that reads the state is not counted.
        sidecar.state()["open"] == 0
    });
    // The target is 0.3 s; the bound allows for a slow machine. docs/design/endings.md has the measurements.
    let detected_after = disconnected_at.elapsed();
    println!("all disconnects are detected after {detected_after:?}");
    assert!(detected_after < Duration::from_secs(5), "{detected_after:?}");
    let mut last = sidecar.connect();
    last.write_all(order_request("last").as_bytes()).expect("sent");
    until("the last connection is requested", || unaccepting.pending_connections() >= 1);
    unaccepting.start_accepting();
    let answer = first_answer(last);
    assert!(answer.ends_with("\r\n\r\nlast"), "{answer:?}");
    assert_eq!(unaccepting.seen(), ["last"]);
    drop(half_closed);
}

fn discovery_at(at: SocketAddr) -> Registry {
    Registry::start(vec![Entry::new(at, "a")])
}

#[test]
fn client_that_left_during_connect_has_nothing_sent() {
    assert_nothing_is_sent_for_clients_that_left(true);
}

#[test]
fn client_that_left_during_connect_has_nothing_sent_without_cancellation() {
    assert_nothing_is_sent_for_clients_that_left(false);
}

/// All permits for client connections are in use, so further clients wait in the listener's accept queue.
#[test]
fn client_that_left_before_it_was_accepted_has_nothing_sent() {
    let blocked = BlockedServer::new();
    let sidecar = Sidecar::start(discovery(&[&blocked.server]));
    // Half of the descriptors that remain of 64 after the 36 reserved ones.
    let limit = 14;
    let admitted: Vec<_> =
        (0..limit).map(|n| blocked.receives_order(&sidecar, &format!("admitted{n}"))).collect();
    let mut half_closed = Vec::new();
    for how in DISCONNECTS {
        for (kind, text) in [("look", get_request as RequestText), ("order", order_request)] {
            let id = format!("{kind} {how}").replace(' ', "-");
            let mut socket = sidecar.connect();
            socket.write_all(text(&id).as_bytes()).expect("sent");
            half_closed.extend(disconnect(how, socket));
        }
    }
    let mut last = sidecar.connect();
    last.write_all(order_request("last").as_bytes()).expect("sent");
    blocked.release();
    for (n, socket) in admitted.into_iter().enumerate() {
        assert!(first_answer(socket).ends_with(&format!("\r\n\r\nadmitted{n}")));
    }
    assert!(first_answer(last).ends_with("\r\n\r\nlast"));
    let seen = blocked.server.seen();
    let others: Vec<_> = seen.iter().filter(|id| !id.starts_with("admitted")).collect();
    assert_eq!(others, ["last"]);
}
