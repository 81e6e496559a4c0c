//! Responses that their servers write slowly, up to the time of their clients and beyond it.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use fakes::registry::RegistryFaults;
use fakes::wire::read_message;
use serde_json::Value;
use socket2::SockRef;

use crate::net::*;
use crate::paced_responses::{BodyPieces, Framing, paced_body, request, sleep_until};
use crate::support::set_times;

/// A response may end this long after the time of its client. Later it counts as lost.
const LATE_PERIOD: Duration = Duration::from_millis(500);
/// The tolerance of time limits on sockets.
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// The times for which clients wait.
const SHORT_TIME: Duration = Duration::from_millis(59);
const USUAL_TIME: Duration = Duration::from_millis(700);
const LONGEST_TIME: Duration = Duration::from_secs(3);
/// The classes: safe to repeat, not idempotent, and with a key.
const ALL_CLASSES: [&str; 3] = ["look", "order", "keep"];
/// More bytes than are held back before a response is passed on.
const FIRST_BYTES: usize = 80_000;
/// The time that a server takes before it begins to respond.
const FIRST_DELAY: Duration = Duration::from_millis(30);

/// How a server writes a response.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// The number of bytes that it writes at once, after [`FIRST_DELAY`].
    first: usize,
    /// The number of bytes of each further piece.
    piece: usize,
    interval: Duration,
    /// The time from the request at which the last bytes are written.
    ends_after: Duration,
}

impl Pace {
    /// The number of pieces after the first bytes.
    fn pieces(self) -> usize {
        let time = self.ends_after.saturating_sub(FIRST_DELAY).as_nanos();
        (time / self.interval.as_nanos()) as usize
    }

    fn body_length(self) -> usize {
        self.first + self.pieces() * self.piece
    }

    /// Writes a response to a request that has just arrived.
    fn write_response(self, framing: Framing, socket: &mut TcpStream) -> std::io::Result<()> {
        let received_at = Instant::now();
        let mut body = BodyPieces::new(framing, self.body_length());
        sleep_until(received_at + FIRST_DELAY);
        socket.set_nodelay(true)?;
        socket.write_all(framing.head(self.body_length()).as_bytes())?;
        socket.write_all(&body.next(self.first))?;
        for number in (0..self.pieces()).rev() {
            sleep_until(received_at + self.ends_after - self.interval * number as u32);
            socket.write_all(&body.next(self.piece))?;
        }
        socket.write_all(framing.end())
    }
}

/// Starts a server that responds at this pace.
fn server(framing: Framing, pace: Pace) -> Server {
    Server::start(move |_, socket| pace.write_response(framing, socket).is_ok())
}

/// Reads a response and checks that it is whole.
fn assert_served_whole(client: TcpStream, pace: Pace, case: &str) {
    let sent_at = Instant::now();
    let response = read_message(&mut BufReader::new(client));
    let time = sent_at.elapsed();
    let (head, body) = response.unwrap_or_default();
    assert!(head.starts_with("HTTP/1.1 200"), "{case}, {pace:?}: after {time:?}");
    assert_eq!(body.len(), pace.body_length(), "{case}, {pace:?}: after {time:?}");
    assert!(body == paced_body(body.len()), "{case}, {pace:?}: another body");
}

/// Plays responses that are written at this pace, for these classes and each way to say where a response ends.
fn responses_are_served_whole(time_left: Duration, pace: Pace, classes: &[&str]) {
    responses_are_served_whole_with(time_left, pace, classes, |_| {});
}

/// The same, with a configuration that `change` has changed.
fn responses_are_served_whole_with(
    time_left: Duration,
    pace: Pace,
    classes: &[&str],
    change: impl Fn(&mut Value) + Copy + Send,
) {
    thread::scope(|scope| {
        for framing in [Framing::Length, Framing::Chunked] {
            for &class in classes {
                scope.spawn(move || {
                    let registry = discovery(&[&server(framing, pace)]);
                    let sidecar = Sidecar::start_with(registry, change);
                    let mut client = sidecar.connect();
                    client.write_all(request(class, "slow", time_left).as_bytes()).expect("sent");
                    assert_served_whole(client, pace, &format!("{class}, {framing:?}"));
                });
            }
        }
    });
}

/// Guards against a response that is reset at the time of its client while its server writes on.
#[test]
fn response_that_ends_after_a_short_time_of_its_client_is_served_whole() {
    let ends_after = SHORT_TIME + Duration::from_millis(200);
    let interval = Duration::from_millis(20);
    let pace = Pace { first: FIRST_BYTES, piece: 2_000, interval, ends_after };
    responses_are_served_whole(SHORT_TIME, pace, &ALL_CLASSES);
}

/// Guards against the same for a usual time, and a response that ends just before it counts as lost.
#[test]
fn response_that_ends_just_before_it_counts_as_lost_is_served_whole() {
    let ends_after = USUAL_TIME + Duration::from_millis(400);
    let interval = Duration::from_millis(20);
    let pace = Pace { first: FIRST_BYTES, piece: 2_000, interval, ends_after };
    responses_are_served_whole(USUAL_TIME, pace, &ALL_CLASSES);
}

/// Guards against a limit of the pauses within a response that ends it before its client's time.
#[test]
fn response_with_a_pause_of_seconds_is_served_whole() {
    let ends_after = LONGEST_TIME - Duration::from_millis(100);
    let interval = Duration::from_millis(2_800);
    let pace = Pace { first: FIRST_BYTES, piece: 1_000, interval, ends_after };
    responses_are_served_whole(LONGEST_TIME, pace, &ALL_CLASSES);
}

/// Guards against a minimum rate that ends a response before it counts as lost.
#[test]
fn response_that_drips_is_served_whole() {
    let ends_after = LONGEST_TIME + Duration::from_millis(300);
    let interval = Duration::from_millis(100);
    let pace = Pace { first: FIRST_BYTES, piece: 10, interval, ends_after };
    responses_are_served_whole(LONGEST_TIME, pace, &ALL_CLASSES);
}

/// Guards against a shutdown that ends a response which is late, before the process has to end.
#[test]
fn response_that_ends_late_during_a_shutdown_is_served_whole() {
    let ends_after = USUAL_TIME + Duration::from_millis(400);
    let interval = Duration::from_millis(20);
    let pace = Pace { first: FIRST_BYTES, piece: 100, interval, ends_after };
    for signal in ["TERM", "USR2"] {
        let registry = discovery(&[&server(Framing::Chunked, pace)]);
        let sidecar = Sidecar::start_with(registry, |config| {
            for class in 0..ALL_CLASSES.len() {
                let milliseconds = USUAL_TIME.as_millis() as u64;
                set_times(config, class, milliseconds, milliseconds);
            }
        });
        let mut client = sidecar.connect();
        client.write_all(request("look", "slow", USUAL_TIME).as_bytes()).expect("sent");
        thread::sleep(FIRST_DELAY);
        sidecar.signal(signal);
        assert_served_whole(client, pace, signal);
    }
}

/// Guards against an order that is given up, though nothing else can answer it, as its response pauses for longer than
/// the shortest latency objective.
#[test]
fn order_whose_short_response_pauses_is_served_whole() {
    let ends_after = LONGEST_TIME - Duration::from_millis(300);
    let interval = Duration::from_millis(1_200);
    let pace = Pace { first: 1_000, piece: 1_000, interval, ends_after };
    responses_are_served_whole(LONGEST_TIME, pace, &["order"]);
}

/// Guards against a response that is ended before it counts as lost, or without end.
#[test]
fn response_that_never_ends_is_reset_when_it_counts_as_lost() {
    let interval = Duration::from_millis(10);
    let pace = Pace { first: FIRST_BYTES, piece: 100, interval, ends_after: PATIENCE };
    for framing in [Framing::Length, Framing::Chunked] {
        let sidecar = Sidecar::start(discovery(&[&server(framing, pace)]));
        let mut client = sidecar.connect();
        let sent_at = Instant::now();
        client.write_all(request("look", "slow", USUAL_TIME).as_bytes()).expect("sent");
        let ended = client.read_to_end(&mut Vec::new());
        let time = sent_at.elapsed();
        assert!(ended.is_err(), "{framing:?}: the client cannot tell that the response is cut");
        assert!(time >= USUAL_TIME + LATE_PERIOD, "{framing:?}: {time:?}");
        assert!(time <= USUAL_TIME + LATE_PERIOD + SOCKET_TOLERANCE, "{framing:?}: {time:?}");
    }
}

/// Guards against a response that is given up for another server, where no further attempt may follow.
#[test]
fn response_to_the_last_attempt_that_pauses_is_served_whole() {
    let ends_after = LONGEST_TIME - Duration::from_millis(300);
    let interval = Duration::from_millis(1_200);
    let pace = Pace { first: 1_000, piece: 1_000, interval, ends_after };
    responses_are_served_whole_with(LONGEST_TIME, pace, &ALL_CLASSES, |config| {
        config["settings"]["limits"]["maxAttempts"] = 1.into();
    });
}

/// Guards against a limit of the client's own pauses that ends a response within the time of its client.
#[test]
fn response_whose_client_reads_nothing_for_seconds_is_served_whole() {
    const PAUSE: Duration = Duration::from_millis(2_900);
    let interval = Duration::from_millis(100);
    let ends_after = FIRST_DELAY + interval;
    let pace = Pace { first: 8_000_000, piece: 1, interval, ends_after };
    let sidecar = Sidecar::start(discovery(&[&server(Framing::Length, pace)]));
    let mut client = sidecar.connect();
    SockRef::from(&client).set_recv_buffer_size(64 << 10).expect("set");
    client.write_all(request("look", "slow", LONGEST_TIME).as_bytes()).expect("sent");
    thread::sleep(PAUSE);
    assert_served_whole(client, pace, "after a pause");
}

/// Guards against a response that is cut too early, because its connection had waited to be accepted before its client
/// sent the request.
#[test]
fn response_on_a_connection_that_has_waited_to_be_accepted_is_served_whole() {
    const STARTUP: Duration = Duration::from_millis(300);
    let ends_after = USUAL_TIME + Duration::from_millis(400);
    let interval = Duration::from_millis(20);
    let pace = Pace { first: FIRST_BYTES, piece: 2_000, interval, ends_after };
    let registry = discovery(&[&server(Framing::Length, pace)]);
    registry.set_faults(RegistryFaults { answer_delay: STARTUP, ..RegistryFaults::default() });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let mut client = TcpStream::connect(at).expect("the listener has a queue");
    let _sidecar = Sidecar::start_on(Some(&listener), registry, |_| {});
    client.write_all(request("look", "slow", USUAL_TIME).as_bytes()).expect("sent");
    assert_served_whole(client, pace, "after a start");
}
