//! Clients that stop in the middle of a body and stay connected. Each gets an error, or the end of its connection, in time.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::net::*;
use crate::support::*;

/// A client that stops gets an error or a close this long after it has connected.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// The time for which the clients say that they wait.
const TIME_LEFT_MS: u32 = 1500;
/// The number of clients that stop at the same time.
const CLIENTS: usize = 40;

/// An upload of which the client sends only the first bytes.
#[derive(Clone, Copy, Debug)]
struct PartialUpload {
    length: usize,
    sent: usize,
    is_chunked: bool,
}

impl PartialUpload {
    fn with_length(length: usize, sent: usize) -> PartialUpload {
        PartialUpload { length, sent, is_chunked: false }
    }

    fn chunked(length: usize, sent: usize) -> PartialUpload {
        PartialUpload { length, sent, is_chunked: true }
    }

    /// The head and the bytes that are sent. A chunked body is one chunk that does not end.
    fn message(self, id: &str) -> Vec<u8> {
        let framing = match self.is_chunked {
            true => format!("Transfer-Encoding: chunked\r\n\r\n{:x}", self.length),
            false => format!("Content-Length: {}\r\n", self.length),
        };
        let head = format!(
            "POST /keep/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: {TIME_LEFT_MS}\r\n\
             Idempotency-Key: key-{id}\r\n{framing}\r\n"
        );
        [head.into_bytes(), vec![b'u'; self.sent]].concat()
    }
}

/// Sends a partial upload. Returns the time from the connect to the first byte of a response or the end of the connection.
fn time_until_end(sidecar: &Sidecar, id: &str, upload: PartialUpload) -> Duration {
    let connected_at = Instant::now();
    let mut socket = sidecar.connect();
    let give_up_after = 2 * MAX_WAIT;
    socket.set_read_timeout(Some(give_up_after)).expect("a timeout");
    socket.set_write_timeout(Some(give_up_after)).expect("a timeout");
    let _ = socket.write_all(&upload.message(id));
    let _ = socket.read(&mut [0]);
    connected_at.elapsed()
}

/// Lets clients stop in the middle of their uploads at the same time.
fn each_ends_in_time(sidecar: &Sidecar, uploads: impl IntoIterator<Item = PartialUpload>) {
    thread::scope(|scope| {
        for (n, upload) in uploads.into_iter().enumerate() {
            scope.spawn(move || {
                let time = time_until_end(sidecar, &format!("stops-{n}"), upload);
                assert!(time <= MAX_WAIT, "{upload:?}: {time:?}");
            });
        }
    });
}

fn partial_uploads() -> [PartialUpload; 7] {
    [
        PartialUpload::with_length(64_000, 1),
        PartialUpload::with_length(64_000, 63_999),
        PartialUpload::with_length(400_000, 300_000),
        PartialUpload::with_length(5_500_000, 5_000_000),
        PartialUpload::chunked(64_000, 63_999),
        PartialUpload::chunked(400_000, 300_000),
        PartialUpload::chunked(5_500_000, 5_000_000),
    ]
}

/// Guards against a client that gets neither an error nor a close, as the time that its bytes may take is added.
#[test]
fn client_that_stops_within_its_body_is_answered_or_closed_in_time() {
    let server = Server::start(|_, _| true);
    each_ends_in_time(&Sidecar::start(discovery(&[&server])), partial_uploads());
}

/// Guards against the same where the server hangs, and the sidecar does not read what the client has sent.
#[test]
fn client_that_stops_within_its_body_while_its_server_hangs_is_answered_or_closed_in_time() {
    let hanging = start_raw(|_socket: TcpStream| thread::sleep(2 * MAX_WAIT));
    each_ends_in_time(&Sidecar::start(Registry::start(vec![hanging])), partial_uploads());
}

/// Guards against the same where the bodies wait for memory, which other clients that have stopped use.
#[test]
fn client_that_stops_within_its_body_after_a_wait_for_memory_is_answered_or_closed_in_time() {
    let server = Server::start(|_, _| true);
    let sidecar = Sidecar::start_with(discovery(&[&server]), |config| {
        config["limits"]["memory_mb"] = 16.into();
    });
    each_ends_in_time(&sidecar, [PartialUpload::with_length(64_000, 63_999); CLIENTS]);
}
