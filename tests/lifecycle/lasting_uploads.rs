//! The memory of the process while hundreds of clients upload without a pause, and after they have ended.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fakes::wire::{header, read_message};

use crate::memory_limit::{CONNECT_TIMEOUT_US, SOCKETS, anonymous_kb, peak_kb};
use crate::net::*;
use crate::support::set_times;

/// Resident memory in kB of a release build's program file and the libraries that it is linked with. Debug builds, with
/// which tests run, have more.
const PROGRAM_KB: usize = 4800;
/// A third of the descriptors, which clients may have in use for requests.
const MANY_CLIENTS: usize = SOCKETS / 3;
/// The number of clients on a usual day.
const FEW_CLIENTS: usize = 20;
/// The time for which clients upload.
const UPLOAD_TIME: Duration = Duration::from_secs(8);
/// The number of servers, to each of which there are connections.
const SERVERS: usize = 40;
/// The time that a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// The lengths of bodies in bytes, of requests and responses alike.
const BODY_BYTES: std::ops::RangeInclusive<u64> = 500..=65_536;
/// After one response in so many a client opens a new connection.
const RESPONSES_PER_CONNECTION: u64 = 5;
/// The time for which the memory of a burst may stay.
const RETURN_TIME: Duration = Duration::from_secs(15);
/// The memory in kB that few clients may take with the program, as on the state before the allocator was changed.
const FEW_CLIENTS_KB: usize = 14_000;

/// The number of the next request, which makes its id.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(0);

/// Returns the n-th of a series of numbers that look random (SplitMix64).
fn nth_random(n: u64) -> u64 {
    let mixed = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn body(n: u64) -> String {
    let lengths = BODY_BYTES.end() - BODY_BYTES.start() + 1;
    "x".repeat((BODY_BYTES.start() + nth_random(n) % lengths) as usize)
}

/// A request of class `keep` with a body.
fn upload_request(client: usize, n: u64) -> String {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    let (id, body) = (format!("r{number}"), body(client as u64 * 7919 + n));
    format!(
        "POST /keep/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n\
         Idempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Starts a server that answers with bodies of many lengths.
fn start_server() -> Server {
    Server::start(|id, socket| {
        thread::sleep(SERVICE_TIME);
        let body = body(id.bytes().fold(0, |sum, byte| sum * 31 + u64::from(byte)) % (1 << 32));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        socket.write_all((head + &body).as_bytes()).is_ok()
    })
}

fn start_servers() -> Vec<Server> {
    (0..SERVERS).map(|_| start_server()).collect()
}

fn start_sidecar(servers: &[Server], limit_mb: usize) -> Sidecar {
    let servers: Vec<_> = servers.iter().collect();
    Sidecar::start_with(discovery(&servers), |config| {
        config["limits"]["memory_mb"] = limit_mb.into();
        config["limits"]["sockets"] = SOCKETS.into();
        // Hundreds of connects at once must not count as failed, after which the requests are rejected.
        config["settings"]["limits"]["connectTimeout"] = CONNECT_TIMEOUT_US.into();
        set_times(config, 1, 20_000, 25_000);
    })
}

/// One client: sends the next request as soon as it has its response. Returns the status lines.
fn upload(sidecar: &Sidecar, client: usize, until: Instant) -> Vec<String> {
    let mut statuses = Vec::new();
    let mut connection: Option<BufReader<TcpStream>> = None;
    for n in (0..).take_while(|_| Instant::now() < until) {
        let is_kept = connection.is_some();
        let mut reader = connection.take().unwrap_or_else(|| BufReader::new(sidecar.connect()));
        let request = upload_request(client, n);
        let _ = reader.get_mut().write_all(request.as_bytes());
        let mut response = read_message(&mut reader);
        if response.is_none() && is_kept {
            // The sidecar may end a connection that was idle, which the request crosses.
            reader = BufReader::new(sidecar.connect());
            let _ = reader.get_mut().write_all(request.as_bytes());
            response = read_message(&mut reader);
        }
        let Some((head, _)) = response else {
            statuses.push("no response".to_owned());
            continue;
        };
        statuses.push(head.lines().next().unwrap_or_default().to_owned());
        let stays = header(&head, "connection").is_none_or(|value| value != "close");
        let renews = nth_random(n + client as u64).is_multiple_of(RESPONSES_PER_CONNECTION);
        connection = Some(reader).filter(|_| stays && !renews);
    }
    statuses
}

/// Lets clients upload at the same time. Returns how many requests got each status line.
fn upload_for(sidecar: &Sidecar, clients: usize, time: Duration) -> BTreeMap<String, usize> {
    let counts = Mutex::new(BTreeMap::new());
    let until = Instant::now() + time;
    thread::scope(|scope| {
        for client in 0..clients {
            let counts = &counts;
            let run = move || {
                let statuses = upload(sidecar, client, until);
                let mut counts = counts.lock().expect("no panic");
                for status in statuses {
                    *counts.entry(status).or_default() += 1;
                }
            };
            let builder = thread::Builder::new().stack_size(256 << 10);
            builder.spawn_scoped(scope, run).expect("a thread");
        }
    });
    counts.into_inner().expect("no panic")
}

/// Lets clients upload with this limit, checks that each request was served within it, and returns the peak in kB.
fn uploads_are_served_within(limit_mb: usize, clients: usize, time: Duration) -> usize {
    let servers = start_servers();
    let sidecar = start_sidecar(&servers, limit_mb);
    let mut counts = BTreeMap::new();
    let peak = peak_kb(&sidecar, || counts = upload_for(&sidecar, clients, time)) + PROGRAM_KB;
    assert!(peak <= limit_mb << 10, "{peak} kB of {limit_mb} MB, {counts:?}");
    let statuses: Vec<_> = counts.keys().collect();
    assert_eq!(statuses, ["HTTP/1.1 200 OK"], "with {limit_mb} MB: {counts:?}");
    peak
}

/// Guards against a process that is killed for memory because what is resident exceeds what was counted: the allocator
/// keeps pages between blocks in use, and connections take more than they were counted for.
#[test]
fn uploads_without_a_pause_stay_within_the_smallest_memory_limit() {
    uploads_are_served_within(32, MANY_CLIENTS, UPLOAD_TIME);
}

/// Guards against the same with limits that leave more for bodies.
#[test]
fn uploads_without_a_pause_stay_within_larger_memory_limits() {
    for limit_mb in [40, 48, 64] {
        uploads_are_served_within(limit_mb, MANY_CLIENTS, UPLOAD_TIME / 2);
    }
}

/// Guards against more memory on a usual day, as the price of less in a burst.
#[test]
fn few_clients_take_no_more_memory_than_before() {
    let peak = uploads_are_served_within(64, FEW_CLIENTS, UPLOAD_TIME / 2);
    assert!(peak <= FEW_CLIENTS_KB, "{peak} kB");
}

/// Guards against memory that stays resident, or a shortage that never ends, once the clients of a burst have left.
#[test]
fn memory_returns_after_a_burst_and_few_clients_are_served_as_before() {
    let servers = start_servers();
    let sidecar = start_sidecar(&servers, 32);
    let at_rest = anonymous_kb(&sidecar);
    let mut burst = BTreeMap::new();
    let peak = peak_kb(&sidecar, || {
        burst = upload_for(&sidecar, MANY_CLIENTS, UPLOAD_TIME / 2);
    });
    let returned = at_rest + (peak - at_rest) / 4;
    let deadline = Instant::now() + RETURN_TIME;
    while anonymous_kb(&sidecar) > returned && Instant::now() < deadline {
        // Free pages are returned as others are allocated.
        upload_for(&sidecar, 1, Duration::from_millis(200));
    }
    let after = anonymous_kb(&sidecar);
    assert!(
        after <= returned,
        "{at_rest} kB at rest, {peak} at the peak, {after} after it, {burst:?}"
    );
    let counts = upload_for(&sidecar, FEW_CLIENTS, UPLOAD_TIME / 4);
    let statuses: Vec<_> = counts.keys().collect();
    assert_eq!(statuses, ["HTTP/1.1 200 OK"], "{counts:?}");
}

/// Guards against connections and bodies that stay as many as an earlier limit allowed.
#[test]
fn limit_that_is_lowered_in_a_burst_is_kept() {
    let servers = start_servers();
    let sidecar = start_sidecar(&servers, 96);
    let mut counts = BTreeMap::new();
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(UPLOAD_TIME / 4);
            let mut config = sidecar.config().clone();
            config["limits"]["memory_mb"] = 36.into();
            sidecar.replace_config(&config.to_string());
            sidecar.signal("HUP");
            thread::sleep(UPLOAD_TIME / 4);
            let peak = peak_kb(&sidecar, || thread::sleep(UPLOAD_TIME / 4)) + PROGRAM_KB;
            assert!(peak <= 36 << 10, "{peak} kB of 36 MB");
        });
        counts = upload_for(&sidecar, MANY_CLIENTS, UPLOAD_TIME);
    });
    let statuses: Vec<_> = counts.keys().collect();
    assert_eq!(statuses, ["HTTP/1.1 200 OK"], "{counts:?}");
}
