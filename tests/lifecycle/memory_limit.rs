//! The memory of the process under hundreds of requests at once.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use fakes::wire::{encode_chunked, read_message};

use crate::net::*;
use crate::support::*;

/// The number of descriptors of a sidecar with many clients. A third of them may be in use for requests.
pub const SOCKETS: usize = 1024;
/// The number of clients that send requests at the same time.
const CLIENTS: usize = 330;
/// The number of requests of each client.
const ROUNDS: usize = 2;
/// The time that a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Resident memory of a release build's program file in kB. Debug builds, with which tests run, have more.
const PROGRAM_KB: usize = 3600;
/// The connect timeout in microseconds.
pub const CONNECT_TIMEOUT_US: u64 = 10_000_000;
/// The interval at which memory is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// The length in bytes of the longest buffered bodies.
const BUFFERED_BYTES: usize = 64_000;
/// The length in bytes of streamed bodies.
const STREAMED_BYTES: usize = 100_000;
/// The number of headers of a message with many: hyper accepts 100.
const MANY_HEADERS: usize = 90;
/// The length in bytes of the pieces in which a chunked response is written.
const PIECE_BYTES: usize = 500;

/// The memory in use in kB, without the program file.
pub fn anonymous_kb(sidecar: &Sidecar) -> usize {
    let path = format!("/proc/{}/status", sidecar.pid());
    let status = std::fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("its memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Calls `work` and returns the highest memory use in kB meanwhile.
pub fn peak_kb(sidecar: &Sidecar, work: impl FnOnce()) -> usize {
    let (peak, is_over) = (AtomicUsize::new(0), AtomicBool::new(false));
    thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                peak.fetch_max(anonymous_kb(sidecar), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        work();
        is_over.store(true, Ordering::Relaxed);
    });
    peak.into_inner()
}

/// Header lines that have the most headers, or the longest, that fit into a head.
#[derive(Clone, Copy, Debug)]
enum Headers {
    Few,
    /// Many headers with values of this length.
    Many(usize),
    /// A single header with a value of this length.
    Long(usize),
}

impl Headers {
    fn lines(self) -> String {
        match self {
            Headers::Few => String::new(),
            Headers::Many(length) => {
                let value = "h".repeat(length);
                (0..MANY_HEADERS).map(|n| format!("X-Header-{n}: {value}\r\n")).collect()
            }
            Headers::Long(length) => format!("X-Header: {}\r\n", "h".repeat(length)),
        }
    }
}

/// A request of class `order` with further headers and a body of `length` bytes.
fn order_of(id: &str, headers: Headers, length: usize) -> String {
    let lines = headers.lines();
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\
         Content-Length: {length}\r\n{lines}\r\n"
    );
    head + &"x".repeat(length)
}

/// A response with further headers and a body of `length` bytes.
fn response_of(headers: Headers, length: usize) -> Vec<u8> {
    let lines = headers.lines();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{lines}\r\n");
    (head + &"y".repeat(length)).into_bytes()
}

/// A response whose body of `length` bytes comes in many small chunks.
fn response_in_pieces(length: usize) -> Vec<u8> {
    let mut response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    response.extend(encode_chunked(&vec![b'y'; length], PIECE_BYTES));
    response
}

/// Sends requests with bodies of `length` bytes from all clients at once, each the next as soon as it has its response.
/// Returns how many requests got each result: the status line and the length of the response's body.
fn send_at_once(sidecar: &Sidecar, headers: Headers, length: usize) -> BTreeMap<String, usize> {
    let results = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let results = &results;
            let run = move || {
                for round in 0..ROUNDS {
                    let mut socket = sidecar.connect();
                    let request = order_of(&format!("c{client}-{round}"), headers, length);
                    // Writing may fail: the sidecar may reject the request before all of it is sent.
                    let _ = socket.write_all(request.as_bytes());
                    let answer = read_message(&mut BufReader::new(socket));
                    let (head, body) = answer.unwrap_or_default();
                    let status = head.lines().next().unwrap_or("no response").to_owned();
                    let result = format!("{status}, {}", body.len());
                    *results.lock().expect("no panic").entry(result).or_default() += 1;
                }
            };
            thread::Builder::new()
                .stack_size(128 << 10)
                .spawn_scoped(scope, run)
                .expect("a thread");
        }
    });
    results.into_inner().expect("no panic")
}

/// Plays hundreds of requests at once, for the memory limits that occur. All have to be served within the limit.
fn stays_within_limit(
    memory_limits_mb: &[usize],
    headers: Headers,
    length: usize,
    response_length: usize,
    response: Vec<u8>,
) {
    let server = Server::start(move |_, socket| {
        thread::sleep(SERVICE_TIME);
        socket.write_all(&response).is_ok()
    });
    for &limit_mb in memory_limits_mb {
        let sidecar = Sidecar::start_with(discovery(&[&server]), |config| {
            config["limits"]["memory_mb"] = limit_mb.into();
            config["limits"]["sockets"] = SOCKETS.into();
            // A debug build takes seconds for this many bytes, which must not count as a gap within a response.
            set_times(config, 1, 20_000, 25_000);
            // Nor must hundreds of connects at once count as failed, after which the requests are rejected.
            config["settings"]["limits"]["connectTimeout"] = CONNECT_TIMEOUT_US.into();
        });
        let mut results = BTreeMap::new();
        let peak = peak_kb(&sidecar, || results = send_at_once(&sidecar, headers, length));
        let limit = limit_mb << 10;
        assert!(peak + PROGRAM_KB <= limit, "{peak} and {PROGRAM_KB} of {limit} kB, {results:?}");
        let served = format!("HTTP/1.1 200 OK, {response_length}");
        let expected = BTreeMap::from([(served, CLIENTS * ROUNDS)]);
        assert_eq!(results, expected, "with a limit of {limit_mb} MB");
    }
}

/// Guards against a process that is killed for memory because bodies, or the buffers that hold them, are not counted.
#[test]
fn hundreds_of_requests_with_bodies_at_once_stay_within_the_memory_limit() {
    stays_within_limit(
        &[32, 48, 64, 192],
        Headers::Few,
        BUFFERED_BYTES,
        BUFFERED_BYTES,
        response_of(Headers::Few, BUFFERED_BYTES),
    );
}

/// Guards against the same for bodies that are forwarded while they are received, where a small piece of a response can
/// keep a whole buffer.
#[test]
fn hundreds_of_streamed_bodies_at_once_stay_within_the_memory_limit() {
    let response = response_in_pieces(STREAMED_BYTES);
    stays_within_limit(&[32, 192], Headers::Few, STREAMED_BYTES, STREAMED_BYTES, response);
}

/// Guards against the same for heads, whose headers and buffers can take more than a short body.
#[test]
fn hundreds_of_requests_with_long_heads_at_once_stay_within_the_memory_limit() {
    for headers in [Headers::Many(1), Headers::Many(150), Headers::Long(15_000)] {
        stays_within_limit(&[32, 64], headers, 0, 0, response_of(headers, 0));
    }
    let headers = Headers::Many(150);
    let response = response_of(headers, BUFFERED_BYTES);
    stays_within_limit(&[32, 192], headers, BUFFERED_BYTES, BUFFERED_BYTES, response);
}
