//! Requests whose bodies wait for memory that other bodies have reserved.

use std::io::Write;
use std::net::TcpStream;

use serde_json::Value;

use crate::net::*;
use crate::support::*;

/// The number of streamed bodies in the first test. A memory limit of 16 MB has room for one more.
const LONG_BODIES: usize = 13;
/// The length in bytes of the longest buffered bodies.
const FILLING_BODY: usize = 65_536;
/// The number of such bodies that leave too little memory beside [`LONG_BODIES`] streamed ones.
const FILLING_BODIES_BESIDE_LONG: usize = 2;
/// The number of such bodies that leave too little memory alone.
const FILLING_BODIES: usize = 28;
/// The length in bytes of a body for which too little memory is left in both cases.
const WAITING_BODY: usize = 60_000;

fn small_memory(config: &mut Value) {
    config["limits"]["memory_mb"] = 16.into();
    config["limits"]["sockets"] = 256.into();
}

/// Sends an order on a new connection, with `sent` bytes of a body of `length` bytes.
fn order_of(
    sidecar: &Sidecar,
    id: &str,
    time_left_ms: u32,
    length: usize,
    sent: usize,
) -> TcpStream {
    let mut client = sidecar.connect();
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: {time_left_ms}\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    client.write_all((head + &"x".repeat(sent)).as_bytes()).expect("sent");
    client
}

/// A request that has arrived completely gets a response before its deadline, even if its body is never read.
#[test]
fn request_that_waits_for_memory_is_rejected_when_its_time_is_up() {
    let blocked = BlockedServer::new();
    let sidecar = Sidecar::start_with(discovery(&[&blocked.server]), small_memory);
    let long = |n| order_of(&sidecar, &format!("long-{n}"), 20_000, 200_000, 70_000);
    let _long: Vec<_> = (0..LONG_BODIES).map(long).collect();
    let filling =
        |n| order_of(&sidecar, &format!("filling-{n}"), 20_000, FILLING_BODY, FILLING_BODY);
    let _filling: Vec<_> = (0..FILLING_BODIES_BESIDE_LONG).map(filling).collect();
    let all = LONG_BODIES + FILLING_BODIES_BESIDE_LONG;
    until("all other bodies have their memory", || sidecar.state()["open"] == all);
    let waiting = order_of(&sidecar, "waiting", 300, WAITING_BODY, WAITING_BODY);
    let answer = first_answer(waiting);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(!blocked.server.seen().contains(&"waiting".to_owned()));
}

/// During shutdown, a request for whose body no memory is left still gets a response.
#[test]
fn request_that_waits_for_memory_is_answered_during_shutdown() {
    let blocked = BlockedServer::new();
    let mut sidecar = Sidecar::start_with(discovery(&[&blocked.server]), small_memory);
    let filling =
        |n| order_of(&sidecar, &format!("filling-{n}"), 20_000, FILLING_BODY, FILLING_BODY);
    let _filling: Vec<_> = (0..FILLING_BODIES).map(filling).collect();
    until("all other bodies have their memory", || sidecar.state()["open"] == FILLING_BODIES);
    let waiting = order_of(&sidecar, "waiting", 2500, WAITING_BODY, WAITING_BODY);
    std::thread::sleep(std::time::Duration::from_millis(100));
    begin_shutdown(&sidecar);
    let answer = first_answer(waiting);
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer:?}");
    blocked.release();
    assert!(sidecar.wait_for_exit().success());
}
