//! Responses of servers that arrive during a hold-up of the sidecar, or whose length is too short.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use fakes::contents::{PIECES, body_with};

use crate::net::*;
use crate::scripted_responses::{Received, receive};
use crate::support::*;

/// The client's timeout.
const TIME_LEFT: Duration = Duration::from_millis(600);

/// The length in bytes of a response that is streamed.
const LONG_BODY: usize = 100_000;
/// The length in bytes of the longest responses that are buffered.
const STREAM_WINDOW: usize = 64 << 10;

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

/// A response of which the given length leaves out the last bytes.
fn cut_short(body: &str, length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Guards against a client that gets the first bytes of its answer as a whole one.
#[test]
fn answer_whose_length_is_too_short_is_never_served_in_part() {
    let body = "y".repeat(LONG_BODY);
    let lengths = [0, 1, 9, STREAM_WINDOW, STREAM_WINDOW + 1, LONG_BODY - 1];
    for length in lengths {
        let text = cut_short(&body, length);
        let server = Server::start(move |_, socket| socket.write_all(text.as_bytes()).is_ok());
        let requests =
            [(order_request("order"), "HTTP/1.1 502"), (get_request("get"), "HTTP/1.1 50")];
        for (request, failure) in requests {
            let sidecar = Sidecar::start(discovery(&[&server]));
            let answer = sidecar.exchange(&request);
            // A streamed response has begun. The end of its connection shows that it is not whole.
            let (head, received) = answer.split_once("\r\n\r\n").unwrap_or_default();
            let is_truncated = length > STREAM_WINDOW && received.len() < length;
            let (failed, length_received) = (answer.starts_with(failure), received.len());
            assert!(failed || is_truncated, "{length}: {head}, {length_received} bytes");
        }
    }
}

/// Guards against the same where the part that the length leaves out begins like another response.
#[test]
fn answer_whose_length_is_too_short_is_not_served_in_part_whatever_the_rest_begins_with() {
    for (number, piece) in PIECES.into_iter().enumerate() {
        for length in [0, 9, 3_000, STREAM_WINDOW + 1] {
            let body = body_with(LONG_BODY, piece, length, number as u64);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            let text = [head.as_bytes(), &body].concat();
            let server = Server::start(move |_, socket| socket.write_all(&text).is_ok());
            let sidecar = Sidecar::start(discovery(&[&server]));
            let request = order_request("order");
            let is_served = match receive(&sidecar, request.as_bytes()) {
                Received::Whole(status, _) => status == "HTTP/1.1 200 OK",
                Received::Cut => false,
            };
            assert!(!is_served, "piece {number}, length {length}");
        }
    }
}

/// Guards against a whole answer that is failed because its server writes it twice.
#[test]
fn answer_with_a_copy_right_behind_it_is_served_whole() {
    let server = Server::start(|id, socket| {
        let text = answer(id);
        socket.write_all([text.as_bytes(), text.as_bytes()].concat().as_slice()).is_ok()
    });
    for request in [order_request, get_request, keyed_request] {
        let sidecar = Sidecar::start(discovery(&[&server]));
        let answer = sidecar.exchange(&request("twice"));
        assert!(answer.ends_with("\r\n\r\ntwice"), "{answer:?}");
    }
}

/// A length that leaves out bytes is a failure of one server, so a request that may be repeated is served by another.
#[test]
fn request_is_sent_to_another_server_after_an_answer_whose_length_is_too_short() {
    let cut = Server::start(|id, socket| socket.write_all(cut_short(id, 1).as_bytes()).is_ok());
    let good = Server::echo();
    let sidecar = Sidecar::start(discovery(&[&cut, &good]));
    let mut n = 10;
    until("the server with the short length gets a request", || {
        n += 1;
        let answer = sidecar.exchange(&get_request(&format!("{n}")));
        assert!(answer.ends_with(&format!("\r\n\r\n{n}")), "{answer:?}");
        !cut.seen().is_empty()
    });
}
