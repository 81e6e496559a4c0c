//! Idle client connections that are evicted while their clients send requests on them.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::net::*;

/// Number of connections. With 64 descriptors, the longest idle ones are evicted while more than four are open.
const CONNECTIONS: usize = 8;
/// Longer than the minimum idle time after which a used connection may be evicted.
const EVICTABLE_AFTER: Duration = Duration::from_millis(200);
const ROUNDS: usize = 5;

/// Clients that each have had one request served. All connect first, because each later connection may evict idle ones.
fn idle_clients(sidecar: &Sidecar, round: usize) -> Vec<TcpStream> {
    let mut clients: Vec<TcpStream> = (0..CONNECTIONS).map(|_| sidecar.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(get_request(&format!("first-{round}-{n}")).as_bytes()).expect("sent");
    }
    for (n, client) in clients.iter().enumerate() {
        let answer = first_answer(client.try_clone().expect("a second handle"));
        assert!(answer.ends_with(&format!("first-{round}-{n}")), "{answer:?}");
    }
    clients
}

/// The process is held up while a client connects and idle clients send requests after that. When it continues, it
/// selects a connection for eviction before it has read the request on it. That request must be answered all the same.
#[test]
fn request_read_after_its_connection_was_chosen_for_eviction_is_answered() {
    let echo = Server::echo();
    let sidecar = Sidecar::start(discovery(&[&echo]));
    let mut unanswered = Vec::new();
    for round in 0..ROUNDS {
        let mut clients = idle_clients(&sidecar, round);
        thread::sleep(EVICTABLE_AFTER);
        sidecar.signal("STOP");
        let _newcomer = sidecar.connect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.write_all(get_request(&format!("second-{round}-{n}")).as_bytes()).expect("sent");
        }
        sidecar.signal("CONT");
        for (n, client) in clients.into_iter().enumerate() {
            let id = format!("second-{round}-{n}");
            if !first_answer(client).ends_with(&id) {
                unanswered.push(id);
            }
        }
    }
    assert!(!sidecar.log().contains("unanswered_close"), "{unanswered:?}");
    // Everything was sent before the process continued, so no request crosses a close.
    assert_eq!(unanswered, Vec::<String>::new());
}

/// Time from connecting within which a first request counts as sent at once; less than the 20 ms for which the sidecar
/// keeps a new connection in any case.
const MAX_FIRST_REQUEST_DELAY: Duration = Duration::from_millis(15);

/// More clients connect at the same time than the connection budget allows, and each sends its request at once.
#[test]
fn new_connection_is_not_evicted_before_its_first_request() {
    let echo = Server::echo();
    let sidecar = Sidecar::start(discovery(&[&echo]));
    let mut sent_at_once = 0;
    let mut unanswered = Vec::new();
    for round in 0..10 {
        let connect = |_| (Instant::now(), sidecar.connect());
        let mut clients: Vec<(Instant, TcpStream)> = (0..40).map(connect).collect();
        let mut sent = Vec::new();
        for (n, (connected, client)) in clients.iter_mut().enumerate() {
            let id = format!("new-{round}-{n}");
            let written = client.write_all(get_request(&id).as_bytes());
            if connected.elapsed() < MAX_FIRST_REQUEST_DELAY {
                sent_at_once += 1;
                sent.push((n, id, written.is_ok()));
            }
        }
        for (n, id, is_written) in sent {
            let client = clients[n].1.try_clone().expect("a second handle");
            if !is_written || !first_answer(client).ends_with(&id) {
                unanswered.push(id);
            }
        }
    }
    assert!(sent_at_once > 0, "the machine was too slow each time");
    assert_eq!(unanswered, Vec::<String>::new(), "of {sent_at_once}");
}
