//! Client connections that rest until the sidecar ends them, and requests that arrive just then.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::net::*;
use crate::support::*;

const CONNECTIONS: usize = 60;
/// Enough descriptors that no connection is evicted.
const SOCKETS: usize = 512;
/// How long a connection rests before the sidecar ends it.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

fn start(server: &Server) -> Sidecar {
    Sidecar::start_with(discovery(&[server]), |config| {
        config["limits"]["sockets"] = SOCKETS.into();
    })
}

/// Clients that have connected at nearly the same time.
fn connect_all(sidecar: &Sidecar) -> Vec<TcpStream> {
    (0..CONNECTIONS).map(|_| sidecar.connect()).collect()
}

/// Has one request served on each connection.
fn use_once(clients: &mut [TcpStream]) {
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(look(&format!("first-{n}")).as_bytes()).expect("sent");
    }
    for (n, client) in clients.iter().enumerate() {
        let answer = first_answer(client.try_clone().expect("a second handle"));
        assert!(answer.ends_with(&format!("first-{n}")), "{answer:?}");
    }
}

/// Whether a client can see that its connection has ended.
fn has_ended(client: &TcpStream) -> bool {
    client.set_nonblocking(true).expect("set");
    let ended = !client.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    client.set_nonblocking(false).expect("set");
    ended
}

/// Runs `meanwhile` while the sidecar is held up around `due`, and lets it go on afterwards.
fn during_hold_up<T>(sidecar: &Sidecar, due: Instant, meanwhile: impl FnOnce() -> T) -> T {
    thread::sleep((due - HOLD_UP / 2).saturating_duration_since(Instant::now()));
    let hold_up = HoldUp::begin(sidecar);
    let done = meanwhile();
    thread::sleep((due + HOLD_UP / 2).saturating_duration_since(Instant::now()));
    drop(hold_up);
    done
}

/// Holds the sidecar up while the time of all connections runs out, has each of them send a request
/// meanwhile, and returns those requests that got no answer.
fn unanswered_after_hold_up(
    sidecar: &Sidecar,
    clients: Vec<TcpStream>,
    due: Instant,
) -> Vec<String> {
    let mut sent = during_hold_up(sidecar, due, || {
        let mut sent = Vec::new();
        for (n, mut client) in clients.into_iter().enumerate() {
            let id = format!("second-{n}");
            assert!(!has_ended(&client), "{id}: the sidecar ended its connection before");
            client.write_all(look(&id).as_bytes()).expect("sent");
            sent.push((id, client));
        }
        sent
    });
    sent.retain(|(id, client)| {
        !first_answer(client.try_clone().expect("a second handle")).ends_with(id)
    });
    sent.into_iter().map(|(id, _)| id).collect()
}

#[test]
fn request_sent_as_its_idle_connection_times_out_is_answered() {
    let echo = Server::echo();
    let sidecar = start(&echo);
    let mut clients = connect_all(&sidecar);
    use_once(&mut clients);
    let due = Instant::now() + IDLE_TIMEOUT;
    let unanswered = unanswered_after_hold_up(&sidecar, clients, due);
    assert_eq!(unanswered, Vec::<String>::new(), "{}", sidecar.log());
}

#[test]
fn first_request_sent_as_its_connection_times_out_is_answered() {
    let echo = Server::echo();
    let sidecar = start(&echo);
    let clients = connect_all(&sidecar);
    let due = Instant::now() + IDLE_TIMEOUT;
    let unanswered = unanswered_after_hold_up(&sidecar, clients, due);
    assert_eq!(unanswered, Vec::<String>::new(), "{}", sidecar.log());
}

/// The request is complete before its time runs out, though the sidecar reads it later.
#[test]
fn request_completed_as_its_time_runs_out_is_served() {
    let echo = Server::echo();
    let sidecar = start(&echo);
    let due = Instant::now() + IDLE_TIMEOUT;
    let mut client = sidecar.connect();
    let complete = order("pieces");
    let (first, second) = complete.split_at(complete.len() - 1);
    client.write_all(first.as_bytes()).expect("sent");
    during_hold_up(&sidecar, due, || client.write_all(second.as_bytes()).expect("sent"));
    let answer = first_answer(client);
    assert!(answer.ends_with("\r\n\r\npieces"), "{answer:?}");
}

/// The same of a body that is sent on while it is received.
#[test]
fn upload_continued_as_its_time_runs_out_is_served() {
    let echo = Server::echo();
    let sidecar = start(&echo);
    let mut client = sidecar.connect();
    let (length, rest) = (200_000, 1_000);
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: long\r\nX-Time-Left-Ms: 20000\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    client.write_all((head + &"x".repeat(length - rest)).as_bytes()).expect("sent");
    let due = Instant::now() + IDLE_TIMEOUT;
    let rest = "x".repeat(rest);
    during_hold_up(&sidecar, due, || client.write_all(rest.as_bytes()).expect("sent"));
    let answer = first_answer(client);
    assert!(answer.ends_with("\r\n\r\nlong"), "{answer:?} {}", sidecar.log());
}

/// Whoever has sent a part of a request may be sending the rest just then.
#[test]
fn partial_request_whose_connection_is_evicted_is_answered() {
    let echo = Server::echo();
    let sidecar = Sidecar::start(discovery(&[&echo]));
    let half = &order("half")[..40];
    // More than the sidecar has room for.
    let clients: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| {
            let mut client = sidecar.connect();
            // It may have been rejected by now.
            let _ = client.write_all(half.as_bytes());
            client
        })
        .collect();
    until("some are evicted", || clients.iter().filter(|client| has_ended(client)).count() >= 8);
    for client in clients.into_iter().filter(has_ended) {
        let answer = first_answer(client);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    }
}
