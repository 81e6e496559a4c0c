//! Rejections by servers: which responses prove that a request was not executed.
//!
//! If a truncated or contradictory rejection counted as proof, an order could be executed twice.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write, copy, sink};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::net::*;

const REJECTED: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\n";
/// The latency objective that limits the gaps in responses, in milliseconds.
const GAP_MS: u64 = 200;
/// The request whose first copy is rejected.
const ID: &str = "first";
/// The delay of a duplicate after its response.
const COPY_DELAY: Duration = Duration::from_millis(8);
/// The number of sidecars that a test runs at the same time.
const SIDECARS_AT_ONCE: usize = 6;

/// The behavior of a server after it has written a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterResponse {
    /// Waits for the next request.
    Wait,
    Close,
    Reset,
}

/// The response to the first copy of a request.
#[derive(Clone)]
struct ServerResponse {
    text: String,
    then: AfterResponse,
}

impl ServerResponse {
    fn rejected(rest: &str, then: AfterResponse) -> ServerResponse {
        ServerResponse { text: format!("{REJECTED}{rest}"), then }
    }

    fn write(&self, socket: &mut TcpStream) -> bool {
        let written = socket.write_all(self.text.as_bytes()).is_ok();
        if self.then == AfterResponse::Reset {
            // The response has to arrive before the reset discards it.
            thread::sleep(Duration::from_millis(20));
            let _ = SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
        }
        written && self.then == AfterResponse::Wait
    }
}

/// Returns rejections that are complete.
fn complete_rejections() -> Vec<ServerResponse> {
    let chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n";
    let gateway = "HTTP/1.1 504 Gateway Timeout\r\nx-unprocessed: 1\r\ncontent-length: 2\r\n\r\nno";
    let interim = format!("HTTP/1.1 103 Early Hints\r\n\r\n{REJECTED}Content-Length: 0\r\n\r\n");
    vec![
        ServerResponse::rejected("Content-Length: 0\r\n\r\n", AfterResponse::Wait),
        ServerResponse::rejected("Content-Length: 4\r\n\r\nfull", AfterResponse::Wait),
        ServerResponse::rejected(
            "Connection: close\r\nContent-Length: 4\r\n\r\nfull",
            AfterResponse::Close,
        ),
        ServerResponse::rejected(chunked, AfterResponse::Wait),
        ServerResponse { text: gateway.to_owned(), then: AfterResponse::Wait },
        ServerResponse { text: interim, then: AfterResponse::Wait },
    ]
}

/// Returns rejections that are truncated, or whose end cannot be recognized.
fn truncated_rejections() -> Vec<ServerResponse> {
    let bodies = [
        "",
        "Content-Le",
        "Content-Length: 20\r\n\r\n",
        "Content-Length: 20\r\n\r\nab",
        "Transfer-Encoding: chunked\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n14\r\nab",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
        "\r\n",
        "\r\nab",
        "Connection: close\r\n\r\nab",
    ];
    let ends = [AfterResponse::Wait, AfterResponse::Close, AfterResponse::Reset];
    let with_every_end = |body| ends.map(|then| ServerResponse::rejected(body, then));
    let mut responses: Vec<ServerResponse> = bodies.into_iter().flat_map(with_every_end).collect();
    let old = format!("{}\r\nab", REJECTED.replace("1.1 503", "1.0 503"));
    responses.extend(ends.map(|then| ServerResponse { text: old.clone(), then }));
    responses
}

/// Returns complete responses that contradict themselves, or that the protocol does not define as rejections.
fn ambiguous_rejections() -> Vec<ServerResponse> {
    let end = "Content-Length: 0\r\n\r\n";
    let heads = [
        "503 No\r\nX-Unprocessed: 1\r\nX-Unprocessed: 0\r\n",
        "503 No\r\nX-Unprocessed: 0\r\nX-Unprocessed: 1\r\n",
        "503 No\r\nX-Unprocessed: 1\r\nX-Unprocessed: 1\r\n",
        "503 No\r\nX-Unprocessed: 1, 0\r\n",
        "503 No\r\nX-Unprocessed: 1\r\n 0\r\n",
        "503 No\r\nX-Unprocessed: 0\r\n",
        "503 No\r\nX-Unprocessed:\r\n",
        "503 No\r\nX-Unprocessed: true\r\n",
        "503 No\r\n",
        "500 No\r\nX-Unprocessed: 1\r\n",
        "429 No\r\nX-Unprocessed: 1\r\n",
    ];
    let whole = heads.map(|head| ServerResponse {
        text: format!("HTTP/1.1 {head}{end}"),
        then: AfterResponse::Wait,
    });
    let with_rest = |rest: &str| ServerResponse::rejected(rest, AfterResponse::Wait);
    let mut responses: Vec<ServerResponse> = whole.into();
    responses.push(with_rest("Content-Length: 0\r\n\r\nnoise"));
    responses.push(with_rest("Transfer-Encoding: chunked\r\n\r\n0\r\nX-Unprocessed: 0\r\n\r\n"));
    responses
}

/// Servers that send a given response to the first copy of request [`ID`], and serve all other requests.
struct Rejecting {
    sidecar: Sidecar,
    /// By request id, the indices of the servers that received a copy.
    copies: Arc<Mutex<HashMap<String, Vec<usize>>>>,
}

impl Rejecting {
    /// Starts one server in each of two zones, and a sidecar.
    fn start(response: ServerResponse) -> Rejecting {
        let copies: Arc<Mutex<HashMap<String, Vec<usize>>>> = Arc::default();
        let start = |server: usize| {
            let (copies, response) = (copies.clone(), response.clone());
            Server::start(move |id, socket| {
                let mut copies = copies.lock().unwrap_or_else(PoisonError::into_inner);
                let received = copies.entry(id.to_owned()).or_default();
                received.push(server);
                let is_first = received.len() == 1;
                drop(copies);
                if id == ID && is_first {
                    return response.write(socket);
                }
                socket.write_all(answer(id).as_bytes()).is_ok()
            })
        };
        let zoned = [(&start(0), "a"), (&start(1), "b")];
        let sidecar = Sidecar::start_with(discovery_of(&zoned), |config| {
            config["settings"]["classes"][1]["aim"] = (GAP_MS * 1000).into();
        });
        Rejecting { sidecar, copies }
    }

    /// Sends a request, and returns its response and the servers that received copies.
    ///
    /// With `reuse`, the connections to the servers have carried other requests before.
    fn exchange(&self, request: &str, id: &str, reuse: bool) -> (String, Vec<usize>) {
        if reuse {
            for n in 0..4 {
                self.sidecar.exchange(&get_request(&format!("warm{n}")));
            }
            // Waits until the quiet period of the connections is over.
            thread::sleep(Duration::from_millis(60));
        }
        let answer = self.sidecar.exchange(request);
        let copies = self.copies.lock().unwrap_or_else(PoisonError::into_inner);
        (answer, copies.get(id).cloned().unwrap_or_default())
    }
}

/// Returns an order without a body.
fn empty_order(id: &str) -> String {
    order_request(id).replace("Content-Length: 2\r\n\r\nab", "Content-Length: 0\r\n\r\n")
}

/// Returns an order whose body is too long to be buffered.
fn long_order(id: &str) -> String {
    let body = "x".repeat(200 << 10);
    let length = format!("Content-Length: {}\r\n\r\n{body}", body.len());
    order_request(id).replace("Content-Length: 2\r\n\r\nab", &length)
}

/// Runs `check` for each response and returns its findings. Each response gets its own sidecar, as servers that fail
/// get fewer requests.
fn check_each<F>(responses: Vec<ServerResponse>, check: F) -> Vec<String>
where
    F: Fn(Rejecting) -> Option<String> + Sync,
{
    let mut found = Vec::new();
    for responses in responses.chunks(SIDECARS_AT_ONCE) {
        let check_one = |response: &ServerResponse| {
            let finding = check(Rejecting::start(response.clone()))?;
            Some(format!("{:?}, {:?}: {finding}", response.text, response.then))
        };
        found.extend(thread::scope(|scope| {
            let checks: Vec<_> =
                responses.iter().map(|response| scope.spawn(move || check_one(response))).collect();
            checks.into_iter().flat_map(|check| check.join().expect("no panic")).collect::<Vec<_>>()
        }));
    }
    found
}

/// Sends an unsafe request that `request` makes. Returns what its client and the servers saw, unless one server got it
/// once and its client got a response that does not allow a repeat.
fn unsafe_repeat(
    rejecting: &Rejecting,
    request: fn(&str) -> String,
    reuse: bool,
) -> Option<String> {
    let (answer, copies) = rejecting.exchange(&request(ID), ID, reuse);
    let status = answer.lines().next().unwrap_or_default();
    let is_valid = copies.len() == 1 && !is_rejected(&answer) && !answer.is_empty();
    (!is_valid).then(|| format!("{status:?}, copies at {copies:?}"))
}

#[test]
fn order_whose_rejection_is_truncated_is_neither_sent_again_nor_rejected() {
    let found = check_each(truncated_rejections(), |rejecting| {
        unsafe_repeat(&rejecting, order_request, false)
    });
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn order_whose_rejection_is_truncated_on_a_used_connection_is_neither_sent_again_nor_rejected() {
    let found = check_each(truncated_rejections(), |rejecting| {
        unsafe_repeat(&rejecting, empty_order, true)
    });
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn upload_whose_rejection_is_truncated_is_neither_sent_again_nor_rejected() {
    let found = check_each(truncated_rejections(), |rejecting| {
        unsafe_repeat(&rejecting, long_order, false)
    });
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn order_whose_rejection_contradicts_itself_is_neither_sent_again_nor_rejected() {
    let found = check_each(ambiguous_rejections(), |rejecting| {
        unsafe_repeat(&rejecting, order_request, false)
    });
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn order_that_is_rejected_in_a_complete_answer_is_served_elsewhere() {
    for reuse in [false, true] {
        let found = check_each(complete_rejections(), |rejecting| {
            let (answer, copies) = rejecting.exchange(&order_request(ID), ID, reuse);
            let is_served = answer.ends_with(ID) && copies.len() == 2;
            (!is_served).then(|| format!("{answer:?}, copies at {copies:?}"))
        });
        assert!(found.is_empty(), "{found:#?}");
    }
}

#[test]
fn safe_request_whose_rejection_is_truncated_is_served_elsewhere() {
    let found = check_each(truncated_rejections(), |rejecting| {
        let (answer, copies) = rejecting.exchange(&get_request(ID), ID, false);
        (!answer.ends_with(ID)).then(|| format!("{answer:?}, copies at {copies:?}"))
    });
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn keyed_request_whose_rejection_is_no_proof_stays_in_its_zone() {
    let responses =
        [truncated_rejections(), ambiguous_rejections()].into_iter().flatten().collect();
    let found = check_each(responses, |rejecting| {
        let (answer, copies) = rejecting.exchange(&keyed_request(ID), ID, false);
        let first = copies.first().copied();
        let stays = first.is_some() && copies.iter().all(|&server| Some(server) == first);
        (!stays || is_rejected(&answer)).then(|| format!("{answer:?}, copies at {copies:?}"))
    });
    assert!(found.is_empty(), "{found:#?}");
}

/// The server sends its rejection so slowly that the client's timeout ends first. The client gets its response in time.
#[test]
fn rest_of_a_rejection_is_not_awaited_beyond_the_deadline_of_its_request() {
    let server = Server::start(|_, socket| {
        let head = format!("{REJECTED}Content-Length: 1000\r\n\r\n");
        let trickle = |socket: &mut TcpStream| {
            thread::sleep(Duration::from_millis(GAP_MS / 4));
            socket.write_all(b"x").is_ok()
        };
        let _ = socket.write_all(head.as_bytes());
        while trickle(socket) {}
        false
    });
    let sidecar = Sidecar::start_with(discovery(&[&server]), |config| {
        config["settings"]["classes"][1]["aim"] = (GAP_MS * 1000).into();
    });
    let started = Instant::now();
    let answer = sidecar.exchange(&order_request("short").replace("Ms: 20000", "Ms: 700"));
    let took = started.elapsed();
    assert!(answer.starts_with("HTTP/1.1 50") && !is_rejected(&answer), "{answer:?}");
    assert!(took < Duration::from_millis(850), "{took:?}");
    assert_eq!(server.seen().len(), 1);
}

#[test]
fn attempt_whose_rejection_is_awaited_ends_when_its_client_leaves() {
    let (ended, end) = std::sync::mpsc::channel();
    let ended = Mutex::new(ended);
    let server = Server::start(move |_, socket| {
        let head = format!("{REJECTED}Content-Length: 1000\r\n\r\n");
        let _ = socket.write_all(head.as_bytes());
        while socket.write_all(b"x").is_ok() {
            thread::sleep(Duration::from_millis(5));
        }
        let _ = ended.lock().expect("no panic").send(Instant::now());
        false
    });
    let sidecar = Sidecar::start(discovery(&[&server]));
    let mut client = sidecar.connect();
    client.write_all(order_request("left").as_bytes()).expect("sent");
    until("the request arrives", || server.seen().len() == 1);
    thread::sleep(Duration::from_millis(50));
    let left = Instant::now();
    client.shutdown(Shutdown::Both).expect("closed");
    drop(client);
    let end = end.recv_timeout(PATIENCE).expect("the attempt ends");
    let late = end.saturating_duration_since(left);
    assert!(late < Duration::from_millis(100), "{late:?}");
    assert_eq!(server.seen().len(), 1);
}

/// The copy arrives while the server executes the next request on the connection.
#[test]
fn second_copy_of_a_rejection_is_not_taken_for_the_next_answer() {
    let server = Server::start(|id, socket| {
        if id.starts_with("rejected") {
            let rejection = format!("{REJECTED}Content-Length: 0\r\n\r\n");
            let (mut late, copy) = (socket.try_clone().expect("a handle"), rejection.clone());
            thread::spawn(move || {
                thread::sleep(COPY_DELAY);
                let _ = late.write_all(copy.as_bytes());
            });
            return socket.write_all(rejection.as_bytes()).is_ok();
        }
        thread::sleep(5 * COPY_DELAY);
        socket.write_all(answer(id).as_bytes()).is_ok()
    });
    let sidecar = Sidecar::start(discovery(&[&server]));
    let mut followed = 0;
    for n in 0..30 {
        let (first, second) = (format!("rejected{n}"), format!("order{n}"));
        sidecar.exchange(&order_request(&first));
        let answer = sidecar.exchange(&order_request(&second));
        let executed = server.seen().contains(&second);
        followed += usize::from(executed);
        assert!(!executed || !is_rejected(&answer), "{second}: executed, and {answer:?}");
    }
    assert!(followed > 0, "no order followed a rejection");
}

/// Starts a server that responds with `text` as soon as it has the head of a request, and then reads the body.
///
/// Also returns the number of bytes received of each body, in the order of the requests.
fn early_responding_server(text: String) -> (Server, Arc<Mutex<Vec<usize>>>) {
    let received: Arc<Mutex<Vec<usize>>> = Arc::default();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut server = Server::echo();
    server.at = listener.local_addr().expect("bound");
    let bodies = received.clone();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let (bodies, text) = (bodies.clone(), text.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|length| length > 2) {
                    line.clear();
                }
                let _ = (&socket).write_all(text.as_bytes());
                let length = copy(&mut reader, &mut sink()).unwrap_or_default();
                bodies.lock().expect("no panic").push(length as usize);
            });
        }
    });
    (server, received)
}

/// The server's rejection is truncated, so it proves nothing. The request may be rejected only if its last byte was not
/// sent.
#[test]
fn upload_is_not_rejected_once_its_last_byte_is_sent() {
    const LENGTH: usize = 100 << 10;
    let (server, received) =
        early_responding_server(format!("{REJECTED}Content-Length: 20\r\n\r\nab"));
    let sidecar = Sidecar::start(discovery(&[&server]));
    let length = format!("Content-Length: {LENGTH}\r\n\r\n");
    let mut rejected = 0;
    for n in 0..40 {
        let head =
            order_request(&format!("upload{n}")).replace("Content-Length: 2\r\n\r\nab", &length);
        let mut client = sidecar.connect();
        client.write_all(head.as_bytes()).expect("sent");
        client.write_all(&vec![b'x'; LENGTH - 1]).expect("sent");
        // The last byte is sent at about the time at which the server's response arrives.
        thread::sleep(Duration::from_micros(150 * n));
        let _ = client.write_all(b"x");
        let answer = first_answer(client);
        until("the attempt ends", || received.lock().expect("no panic").len() > n as usize);
        let body = received.lock().expect("no panic")[n as usize];
        rejected += usize::from(is_rejected(&answer));
        assert!(
            body < LENGTH || !is_rejected(&answer),
            "{n}: the whole body arrived, and {answer:?}"
        );
    }
    assert!(rejected > 0, "none was rejected before its last byte");
}
