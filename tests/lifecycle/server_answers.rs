//! Responses of servers that arrive during a hold-up of the sidecar.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use crate::net::*;
use crate::support::*;

/// The client's timeout.
const TIME_LEFT: Duration = Duration::from_millis(600);

/// The response arrives in time, but the sidecar handles it only after the deadline of the request.
#[test]
fn answer_that_arrived_as_the_time_of_its_request_ran_out_is_passed_on() {
    let blocked = BlockedServer::new();
    let sidecar = Sidecar::start(discovery(&[&blocked.server]));
    let mut client = sidecar.connect();
    let due = Instant::now() + TIME_LEFT;
    let short =
        order_request("short").replace("Ms: 20000", &format!("Ms: {}", TIME_LEFT.as_millis()));
    client.write_all(short.as_bytes()).expect("sent");
    assert_eq!(blocked.next_request(), "short");
    thread::sleep((due - HOLD_UP / 2).saturating_duration_since(Instant::now()));
    let hold_up = HoldUp::begin(&sidecar);
    blocked.release();
    thread::sleep(HOLD_UP);
    drop(hold_up);
    let answer = first_answer(client);
    assert!(answer.ends_with("\r\n\r\nshort"), "{answer:?}");
}
