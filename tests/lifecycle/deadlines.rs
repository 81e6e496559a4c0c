//! The deadlines of requests while bodies are streamed: servers that hang, read or write on slowly, or stop in the middle
//! of a body.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use fakes::wire::encode_chunked;

use crate::net::*;

/// Answers later than this after the client's time are lost: half a second, and the tolerance for sockets.
const LOST_AFTER: Duration = Duration::from_millis(550);
/// The time for which a client observes its connection.
const OBSERVED: Duration = Duration::from_secs(8);

/// The time for which clients of uploads wait.
const UPLOAD_TIMEOUT: Duration = Duration::from_millis(1500);
/// Lengths of uploads that do not fit into the buffers between the sidecar and a server that reads nothing, but do into
/// those and the buffers between the client and the sidecar.
const UPLOAD_BYTES: [usize; 3] = [3_900 << 10, 4_000 << 10, 4_100 << 10];
/// The length of the chunks of an upload without a length.
const UPLOAD_CHUNK_BYTES: usize = 32 << 10;
/// The number of bytes of an upload that a slow server reads at a time, and the interval.
const SLOW_READ: (usize, Duration) = (1 << 10, Duration::from_millis(40));

/// Starts a listener that hands each connection to `script` on a thread of its own. Returns a server that discovery can
/// list.
fn start_raw(script: impl Fn(TcpStream) + Send + Sync + 'static) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    let script = Arc::new(script);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let script = script.clone();
            thread::spawn(move || script(socket));
        }
    });
    Entry::new(at, "a")
}

/// Waits until the peer has acknowledged all bytes that were written to `socket`. Returns whether it has.
fn is_acknowledged(socket: &TcpStream) -> bool {
    let port = format!(":{:04X}", socket.local_addr().expect("bound").port());
    let give_up_at = Instant::now() + Duration::from_secs(1);
    while Instant::now() < give_up_at {
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
        let unacknowledged = table.lines().find_map(|line| {
            let mut fields = line.split_whitespace().skip(1);
            let is_local = fields.next()?.ends_with(&port);
            let queues = fields.nth(2)?;
            is_local.then(|| u64::from_str_radix(queues.split(':').next()?, 16).ok())?
        });
        if unacknowledged == Some(0) {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// An upload with a key, whose body has a length or is chunked.
fn upload(id: &str, length: usize, is_chunked: bool) -> Vec<u8> {
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {length}"),
    };
    let head = format!(
        "POST /keep/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: {}\r\n\
         Idempotency-Key: key-{id}\r\n{framing}\r\n\r\n",
        UPLOAD_TIMEOUT.as_millis()
    );
    let body = vec![b'u'; length];
    let body = if is_chunked { encode_chunked(&body, UPLOAD_CHUNK_BYTES) } else { body };
    [head.into_bytes(), body].concat()
}

/// Sends an upload. Returns the time from its last byte to the response or the end of the connection, or `None` if the
/// machine of the sidecar has not taken the whole request.
fn time_of_upload(sidecar: &Sidecar, request: &[u8]) -> Option<Duration> {
    let mut socket = sidecar.connect();
    socket.set_read_timeout(Some(OBSERVED)).expect("a timeout");
    socket.set_write_timeout(Some(OBSERVED)).expect("a timeout");
    socket.write_all(request).ok()?;
    let written_at = Instant::now();
    if !is_acknowledged(&socket) {
        return None;
    }
    let _ = socket.read(&mut [0]);
    Some(written_at.elapsed())
}

/// Plays uploads to a server that treats its connections like `script`.
fn uploads_end_in_time(script: impl Fn(TcpStream) + Send + Sync + 'static) {
    let sidecar = Sidecar::start(Registry::start(vec![start_raw(script)]));
    let times: Vec<_> = thread::scope(|scope| {
        let requests = UPLOAD_BYTES.iter().flat_map(|&length| [(length, false), (length, true)]);
        let uploads: Vec<_> = requests
            .map(|(length, is_chunked)| {
                let request = upload(&format!("u-{length}-{is_chunked}"), length, is_chunked);
                let sidecar = &sidecar;
                scope.spawn(move || time_of_upload(sidecar, &request))
            })
            .collect();
        uploads.into_iter().map(|upload| upload.join().expect("no panic")).collect()
    });
    let taken: Vec<_> = times.iter().flatten().collect();
    assert!(taken.len() >= times.len() / 2, "too few uploads were taken: {times:?}");
    assert!(taken.iter().all(|&&time| time <= UPLOAD_TIMEOUT + LOST_AFTER), "{times:?}");
}

/// Reads `length` bytes, then nothing more.
fn read_and_hang(mut socket: TcpStream, length: u64) {
    let _ = std::io::copy(&mut (&mut socket).take(length), &mut std::io::sink());
    thread::sleep(OBSERVED);
}

/// Guards against a client that waits for many seconds, as its time was not running while its server read nothing.
#[test]
fn upload_to_a_server_that_hangs_is_answered_in_time() {
    uploads_end_in_time(|socket| read_and_hang(socket, 0));
}

/// Guards against the same for a server that hangs in the middle of the body.
#[test]
fn upload_to_a_server_that_hangs_within_the_body_is_answered_in_time() {
    uploads_end_in_time(|socket| read_and_hang(socket, 70_000));
}

/// Guards against a deadline that each byte that the server reads puts off.
#[test]
fn upload_to_a_server_that_reads_slowly_is_answered_in_time() {
    uploads_end_in_time(|mut socket| {
        let (length, interval) = SLOW_READ;
        let mut piece = vec![0; length];
        while socket.read(&mut piece).is_ok_and(|n| n > 0) {
            thread::sleep(interval);
        }
    });
}
