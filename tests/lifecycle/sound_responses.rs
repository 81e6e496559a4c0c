//! Long responses that their servers are still giving come whole, in each way to say where they end; those that stop,
//! are spoilt or never end are ended in time.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use fakes::wire::read_message;
use socket2::SockRef;

use crate::net::*;
use crate::paced_responses::*;

/// The number of requests of each case, and the interval at which they are sent.
const REQUESTS: u32 = 4;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// A response that is not passed on completely by this time after that of its client is lost, with the tolerance for
/// sockets.
const LOST_AFTER: Duration = Duration::from_millis(550);

/// Plays responses that are written by this schedule, for these classes at once and each way to say where a response ends.
fn assert_served_whole(schedule: &Schedule, time_left: Duration, classes: &[&str]) {
    thread::scope(|scope| {
        for framing in Framing::ALL {
            let schedule = schedule.clone();
            scope.spawn(move || {
                let whole = whole(schedule.body_length());
                let sidecar = sidecar_with(move |socket| schedule.respond(framing, socket), |_| {});
                let (sidecar, whole) = (&sidecar, &whole);
                let requests = classes.iter().flat_map(|&c| (0..REQUESTS).map(move |n| (c, n)));
                thread::scope(|scope| {
                    for (class, number) in requests {
                        scope.spawn(move || {
                            thread::sleep(REQUEST_INTERVAL * number);
                            let request = request(class, &format!("{class}-{number}"), time_left);
                            let outcome = outcome_of(sidecar, request.as_bytes());
                            assert_eq!(outcome, *whole, "{framing:?}, {class}, number {number}");
                        });
                    }
                });
            });
        }
    });
}

/// Guards against a response that is cut half a second after its client's time while its server writes on.
#[test]
fn steady_response_that_ends_long_after_its_clients_time_is_served_whole() {
    let schedule = Schedule::steady(170_000, milliseconds(16), milliseconds(1_700));
    assert_served_whole(&schedule, milliseconds(800), &ALL_CLASSES);
}

/// Guards against the same for a client that waits for a shorter time, when few bytes have come.
#[test]
fn steady_response_that_has_hardly_begun_at_its_clients_time_is_served_whole() {
    let schedule = Schedule::steady(182_000, milliseconds(16), milliseconds(2_200));
    assert_served_whole(&schedule, milliseconds(515), &ALL_CLASSES);
}

/// Guards against a response that is refused, cut or failed although it ends within its client's time.
#[test]
fn steady_response_that_ends_within_its_clients_time_is_served_whole() {
    let schedule = Schedule::steady(100_000, milliseconds(16), milliseconds(1_200));
    assert_served_whole(&schedule, milliseconds(2_000), &ALL_CLASSES);
}

/// Guards against a short response that is failed at its client's time, while it is being buffered.
#[test]
fn short_response_that_ends_after_its_clients_time_is_served_whole() {
    let schedule = Schedule::steady(30_000, milliseconds(16), milliseconds(1_250));
    assert_served_whole(&schedule, milliseconds(800), &ALL_CLASSES);
}

/// Guards against a response that is given up at each server in turn as it pauses for longer than the shortest latency
/// objective.
#[test]
fn response_in_lumps_is_served_whole() {
    let schedule = Schedule::lumps(2, 30_000, milliseconds(400));
    assert_served_whole(&schedule, milliseconds(2_000), &ALL_CLASSES);
}

/// Guards against the same for longer lumps, and a client whose time is over before the last one.
#[test]
fn response_in_lumps_that_ends_after_its_clients_time_is_served_whole() {
    let schedule = Schedule::lumps(3, 70_000, milliseconds(700));
    assert_served_whole(&schedule, milliseconds(578), &ALL_CLASSES);
}

/// Guards against a response that is given up as its server pauses after the head.
#[test]
fn response_whose_body_begins_late_is_served_whole() {
    let schedule = Schedule::steady(148_000, milliseconds(300), milliseconds(1_600));
    assert_served_whole(&schedule, milliseconds(2_000), &ALL_CLASSES);
}

/// Guards against the same for a body that is buffered, and a longer pause.
#[test]
fn short_response_whose_body_begins_late_is_served_whole() {
    let schedule = Schedule::steady(20_000, milliseconds(800), milliseconds(1_600));
    assert_served_whole(&schedule, milliseconds(2_000), &ALL_CLASSES);
}

/// Guards against a body that begins only after its client's time.
#[test]
fn response_whose_body_begins_after_its_clients_time_is_served_whole() {
    let schedule = Schedule::steady(100_000, milliseconds(600), milliseconds(1_600));
    assert_served_whole(&schedule, milliseconds(500), &ALL_CLASSES);
}

/// Guards against a response of megabytes that is cut when a third of it has come.
#[test]
fn response_of_megabytes_that_ends_long_after_its_clients_time_is_served_whole() {
    let schedule = Schedule::steady(3_000_000, milliseconds(16), milliseconds(3_200));
    assert_served_whole(&schedule, milliseconds(683), &ALL_CLASSES);
}

/// Reads until a response ends, and returns the time that took and whether its client can tell that it is not whole.
fn end_of(client: &mut TcpStream, sent_at: Instant) -> (Duration, bool) {
    let mut received = Vec::new();
    let mut piece = vec![0; 64 << 10];
    loop {
        match client.read(&mut piece) {
            Ok(0) => return (sent_at.elapsed(), !looks_whole(&received)),
            Ok(length) => received.extend_from_slice(&piece[..length]),
            Err(_) => return (sent_at.elapsed(), true),
        }
        if received.starts_with(b"HTTP/1.1 5") {
            return (sent_at.elapsed(), true);
        }
    }
}

/// Whether a response after which the connection was closed is whole.
fn looks_whole(response: &[u8]) -> bool {
    read_message(&mut BufReader::new(response)).is_some()
}

/// Plays a response whose server treats each request like `script`, and checks that it has an end in time that cannot be
/// taken for a whole response.
fn assert_ended_in_time(
    time_left: Duration,
    case: &str,
    script: impl Fn(&mut TcpStream) -> bool + Clone + Send + Sync + 'static,
) {
    let sidecar = &sidecar_with(script, |_| {});
    thread::scope(|scope| {
        for class in ALL_CLASSES {
            scope.spawn(move || {
                let mut client = sidecar.connect();
                let sent_at = Instant::now();
                client.write_all(request(class, class, time_left).as_bytes()).expect("sent");
                let (time, is_told) = end_of(&mut client, sent_at);
                assert!(is_told, "{case}, {class}: the end looks like that of a whole response");
                assert!(time <= time_left + LOST_AFTER, "{case}, {class}: {time:?}");
            });
        }
    });
}

/// Guards against a response that has stopped and is waited for because others are.
#[test]
fn response_that_stops_is_ended_in_time() {
    for (framing, length) in
        Framing::ALL.into_iter().flat_map(|f| [(f, 0), (f, 20_000), (f, 100_000)])
    {
        assert_ended_in_time(milliseconds(800), &format!("{framing:?}, {length}"), move |socket| {
            let _ = socket.write_all(framing.head(200_000).as_bytes());
            if length > 0 {
                let _ = socket.write_all(&framing.piece(length));
            }
            thread::sleep(PATIENCE / 4);
            true
        });
    }
}

/// Guards against a response without a length that goes on for ever.
#[test]
fn response_without_a_length_that_never_ends_is_ended_in_time() {
    for (interval, length) in [(5, 10), (50, 2_000), (100, 20_000)] {
        assert_ended_in_time(milliseconds(700), &format!("{length} bytes"), move |socket| {
            let _ = socket.write_all(Framing::Close.head(0).as_bytes());
            let _ = socket.write_all(&Framing::Close.piece(80_000));
            while socket.write_all(&Framing::Close.piece(length)).is_ok() {
                thread::sleep(milliseconds(interval));
            }
            false
        });
    }
}

/// Guards against a response that is announced with 3 GB and keeps coming.
#[test]
fn response_of_gigabytes_is_ended_in_time() {
    assert_ended_in_time(milliseconds(800), "3 GB", |socket| {
        let _ = socket.write_all(Framing::Length.head(3_000_000_000).as_bytes());
        while socket.write_all(&Framing::Length.piece(20_000)).is_ok() {
            thread::sleep(milliseconds(20));
        }
        false
    });
}

/// Sends a request to a server that responds with `text`, and then closes or resets its connection.
fn exchange_with(text: &'static str, is_reset: bool, request: &str) -> Vec<u8> {
    let sidecar = sidecar_with(
        move |socket| {
            let _ = socket.write_all(text.as_bytes());
            thread::sleep(milliseconds(30));
            if is_reset {
                let _ = SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
            }
            false
        },
        |_| {},
    );
    let mut client = sidecar.connect();
    client.write_all(request.as_bytes()).expect("sent");
    let mut received = Vec::new();
    let mut piece = [0; 4096];
    while let Ok(length @ 1..) = client.read(&mut piece) {
        received.extend_from_slice(&piece[..length]);
        if read_message(&mut BufReader::new(&received[..])).is_some() {
            break;
        }
    }
    received
}

/// Guards against a response without a length that is run at every server and never passed on.
#[test]
fn response_without_a_length_is_served_once() {
    for class in ALL_CLASSES {
        let request = request(class, "short", milliseconds(2_000));
        let response = exchange_with("HTTP/1.1 200 OK\r\n\r\nwhole", false, &request);
        let response = read_message(&mut BufReader::new(&response[..]));
        let (head, body) = response.expect("a whole response");
        assert!(head.starts_with("HTTP/1.1 200"), "{class}: {head}");
        assert_eq!(body, b"whole", "{class}");
    }
}

/// Guards against a reset that is taken for the end of a response without a length.
#[test]
fn response_without_a_length_that_is_reset_is_not_served_as_whole() {
    for class in ALL_CLASSES {
        let request = request(class, "reset", milliseconds(2_000));
        let response = exchange_with("HTTP/1.1 200 OK\r\n\r\nhalf", true, &request);
        assert!(response.starts_with(b"HTTP/1.1 50"), "{class}: {response:?}");
    }
}

/// Guards against a client of HTTP/1.0 that gets chunks, or takes a response that is cut for a whole one.
#[test]
fn response_without_a_length_reaches_a_client_of_http_1_0() {
    let schedule = Schedule::steady(100_000, milliseconds(16), milliseconds(400));
    for is_reset in [false, true] {
        let schedule = schedule.clone();
        let sidecar = sidecar_with(
            move |socket| {
                let is_open = schedule.respond(Framing::Close, socket);
                if is_reset {
                    let _ = SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
                }
                is_open
            },
            |_| {},
        );
        let request = request("look", "old", milliseconds(2_000)).replace("HTTP/1.1", "HTTP/1.0");
        let mut client = sidecar.connect();
        client.write_all(request.as_bytes()).expect("sent");
        let mut received = Vec::new();
        let ended = client.read_to_end(&mut received);
        assert_eq!(ended.is_err(), is_reset, "{} bytes: {ended:?}", received.len());
        let has_whole_body = received.ends_with(&paced_body(100_000));
        assert!(is_reset || has_whole_body, "{} bytes", received.len());
    }
}
