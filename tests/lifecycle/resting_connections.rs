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

/// Holds the sidecar up while the time of all connections runs out, has each of them send a request
/// meanwhile, and returns those requests that got no answer.
fn unanswered_after_hold_up(
    sidecar: &Sidecar,
    clients: Vec<TcpStream>,
    due: Instant,
) -> Vec<String> {
    thread::sleep((due - HOLD_UP / 2).saturating_duration_since(Instant::now()));
    let hold_up = HoldUp::begin(sidecar);
    let mut sent = Vec::new();
    for (n, mut client) in clients.into_iter().enumerate() {
        let id = format!("second-{n}");
        assert!(!has_ended(&client), "{id}: the sidecar ended its connection before");
        client.write_all(look(&id).as_bytes()).expect("sent");
        sent.push((id, client));
    }
    thread::sleep((due + HOLD_UP / 2).saturating_duration_since(Instant::now()));
    drop(hold_up);
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
