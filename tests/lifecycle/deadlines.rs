//! The deadlines of requests while bodies are streamed: servers that hang, read or write on slowly, or stop in the middle
//! of a body.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use fakes::wire::encode_chunked;

use crate::net::*;
use crate::support::*;

/// Answers later than this after the client's time are lost: half a second, and the tolerance for sockets.
const LOST_AFTER: Duration = Duration::from_millis(550);
/// The time for which a client observes its connection.
const OBSERVED: Duration = Duration::from_secs(8);

/// The time for which clients of uploads wait.
const UPLOAD_TIMEOUT: Duration = Duration::from_millis(1500);
/// Lengths of uploads that do not fit into the buffers between the sidecar and a server that reads nothing, but do into
/// those and the buffers between the client and the sidecar.
const UPLOAD_BYTES: [usize; 3] = [3_900 << 10, 4_000 << 10, 4_100 << 10];
/// Lengths of uploads that are buffered or streamed, and that fit into the buffers.
const SHORTER_UPLOAD_BYTES: [usize; 6] = [1, 65_535, 65_536, 65_537, 200_000, 1_000_000];
/// The number of bytes, with those of the head, after which a server hangs.
const HANG_AFTER_BYTES: [u64; 7] = [1, 150, 300, 65_537, 66_000, 199_999, 999_999];
/// The length of the chunks of an upload without a length.
const UPLOAD_CHUNK_BYTES: usize = 32 << 10;
/// The number of bytes of an upload that a slow server reads at a time, and the interval.
const SLOW_READ: (usize, Duration) = (1 << 10, Duration::from_millis(40));

/// The same for servers that read fast enough that some of a body always fits into the buffers.
const STEADY_READS: [(usize, Duration); 3] = [
    (8 << 10, Duration::from_millis(10)),
    (64 << 10, Duration::from_millis(50)),
    (128 << 10, Duration::from_millis(200)),
];
/// Lengths of uploads of which a part waits in the send buffer of the client when its last byte is written.
const LONGEST_UPLOAD_BYTES: [usize; 3] = [5_000 << 10, 6_500 << 10, 8_000 << 10];

/// The time between the start of a connection and its request.
const BEFORE_REQUEST: Duration = Duration::from_millis(100);
/// The time for which clients of long responses wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// The length of a long response.
const RESPONSE_BYTES: usize = 1_000_000;
/// The intervals and lengths of the pieces of responses that go on for ever.
const ENDLESS: [(Duration, usize); 3] = [
    (Duration::from_millis(5), 10),
    (Duration::from_millis(50), 2_000),
    (Duration::from_millis(100), 20_000),
];

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

/// The moment from which the time of an upload counts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Taken {
    /// The client has written the last byte, which may still be in the client's send buffer.
    Written,
    /// The machine of the sidecar has acknowledged the last byte.
    Acknowledged,
}

/// Sends an upload. Returns the time from its last byte to the response or the end of the connection, or `None` if the
/// whole request has not been taken.
fn time_of_upload(sidecar: &Sidecar, request: &[u8], taken: Taken) -> Option<Duration> {
    let mut socket = sidecar.connect();
    socket.set_read_timeout(Some(OBSERVED)).expect("a timeout");
    socket.set_write_timeout(Some(OBSERVED)).expect("a timeout");
    socket.write_all(request).ok()?;
    let written_at = Instant::now();
    if taken == Taken::Acknowledged && !is_acknowledged(&socket) {
        return None;
    }
    let _ = socket.read(&mut [0]);
    Some(written_at.elapsed())
}

/// Plays uploads of these lengths to a server that treats its connections like `script`.
fn uploads_end_in_time(
    lengths: &[usize],
    taken: Taken,
    script: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    let sidecar = Sidecar::start(Registry::start(vec![start_raw(script)]));
    let times: Vec<_> = thread::scope(|scope| {
        let requests = lengths.iter().flat_map(|&length| [(length, false), (length, true)]);
        let uploads: Vec<_> = requests
            .map(|(length, is_chunked)| {
                let request = upload(&format!("u-{length}-{is_chunked}"), length, is_chunked);
                let sidecar = &sidecar;
                scope.spawn(move || time_of_upload(sidecar, &request, taken))
            })
            .collect();
        uploads.into_iter().map(|upload| upload.join().expect("no panic")).collect()
    });
    let taken: Vec<_> = times.iter().flatten().collect();
    assert!(taken.len() >= times.len() / 2, "too few uploads were taken: {times:?}");
    assert!(taken.iter().all(|&&time| time <= UPLOAD_TIMEOUT + LOST_AFTER), "{times:?}");
}

/// Reads some bytes at this interval.
fn read_slowly(mut socket: TcpStream, (length, interval): (usize, Duration)) {
    let mut piece = vec![0; length];
    while socket.read(&mut piece).is_ok_and(|n| n > 0) {
        thread::sleep(interval);
    }
}

/// Reads `length` bytes, then nothing more.
fn read_and_hang(mut socket: TcpStream, length: u64) {
    let _ = std::io::copy(&mut (&mut socket).take(length), &mut std::io::sink());
    thread::sleep(OBSERVED);
}

/// Guards against a client that waits for many seconds, as its time was not running while its server read nothing.
#[test]
fn upload_to_a_server_that_hangs_is_answered_in_time() {
    uploads_end_in_time(&UPLOAD_BYTES, Taken::Acknowledged, |socket| read_and_hang(socket, 0));
}

/// Guards against the same for a server that hangs in the middle of the body.
#[test]
fn upload_to_a_server_that_hangs_within_the_body_is_answered_in_time() {
    uploads_end_in_time(&UPLOAD_BYTES, Taken::Acknowledged, |socket| read_and_hang(socket, 70_000));
}

/// Guards against lengths, or bytes within a request, at which a server that hangs is waited for too long.
#[test]
fn upload_of_any_length_to_a_server_that_hangs_at_any_byte_is_answered_in_time() {
    thread::scope(|scope| {
        for read_bytes in HANG_AFTER_BYTES {
            scope.spawn(move || {
                uploads_end_in_time(&SHORTER_UPLOAD_BYTES, Taken::Written, move |socket| {
                    read_and_hang(socket, read_bytes);
                });
            });
        }
    });
}

/// Guards against a deadline that each byte that the server reads puts off.
#[test]
fn upload_to_a_server_that_reads_slowly_is_answered_in_time() {
    uploads_end_in_time(&UPLOAD_BYTES, Taken::Acknowledged, |socket| {
        read_slowly(socket, SLOW_READ)
    });
}

/// Guards against a deadline that starts only when the last byte leaves the send buffer of its client.
#[test]
fn upload_that_waits_in_the_send_buffer_of_its_client_is_answered_in_time() {
    thread::scope(|scope| {
        for pace in STEADY_READS {
            scope.spawn(move || {
                uploads_end_in_time(&LONGEST_UPLOAD_BYTES, Taken::Written, move |socket| {
                    read_slowly(socket, pace);
                });
            });
        }
    });
}

/// The way in which a server spoils a long response.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Of a response with a length, it writes this many bytes of the body.
    StopsAfter(usize),
    /// Of a chunked response, it writes this many bytes of the body.
    StopsChunkedAfter(usize),
    /// It writes a chunk of this length at this interval, without end.
    Endless(Duration, usize),
}

impl Fault {
    /// Writes the response, and leaves the connection open.
    fn write_response(self, socket: &mut TcpStream) -> std::io::Result<()> {
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        match self {
            Fault::StopsAfter(length) => {
                write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n")?;
                socket.write_all(&vec![b'y'; length])?;
            }
            Fault::StopsChunkedAfter(length) => {
                write!(socket, "{chunked}{RESPONSE_BYTES:x}\r\n")?;
                socket.write_all(&vec![b'y'; length])?;
            }
            Fault::Endless(interval, length) => {
                socket.write_all(chunked.as_bytes())?;
                socket.write_all(&chunk(80_000))?;
                let give_up_at = Instant::now() + OBSERVED;
                while Instant::now() < give_up_at {
                    socket.write_all(&chunk(length))?;
                    thread::sleep(interval);
                }
            }
        }
        thread::sleep(OBSERVED);
        Ok(())
    }
}

/// One chunk of a chunked body.
fn chunk(length: usize) -> Vec<u8> {
    [format!("{length:x}\r\n").as_bytes(), &vec![b'y'; length], b"\r\n"].concat()
}

/// Sends a request and reads until the connection ends. Returns the time until then, or until a response with an error.
fn time_of_response(sidecar: &Sidecar, id: &str) -> Duration {
    let mut socket = sidecar.connect();
    socket.set_read_timeout(Some(OBSERVED)).expect("a timeout");
    let time_left = format!("Ms: {}", RESPONSE_TIMEOUT.as_millis());
    let request = get_request(id).replace("Ms: 20000", &time_left);
    // The sidecar waits for the request by then, with the timeout of a connection without one.
    thread::sleep(BEFORE_REQUEST);
    let sent_at = Instant::now();
    socket.write_all(request.as_bytes()).expect("sent");
    let mut piece = vec![0; 64 << 10];
    let mut is_first = true;
    while sent_at.elapsed() < OBSERVED {
        match socket.read(&mut piece) {
            Ok(0) => break,
            Ok(_) if is_first && piece.starts_with(b"HTTP/1.1 5") => break,
            Ok(_) => is_first = false,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    sent_at.elapsed()
}

/// Guards against a client that gets no end of its response, as its time was over once the response had begun.
#[test]
fn response_that_stops_or_never_ends_is_ended_in_time() {
    let lengths = [0, 1, 65_535, 65_536, 65_537, 500_000, RESPONSE_BYTES - 1];
    let faults: Vec<_> = lengths
        .iter()
        .flat_map(|&length| [Fault::StopsAfter(length), Fault::StopsChunkedAfter(length)])
        .chain(ENDLESS.iter().map(|&(interval, length)| Fault::Endless(interval, length)))
        .collect();
    thread::scope(|scope| {
        for fault in faults {
            scope.spawn(move || {
                let server = Server::start(move |_, socket| fault.write_response(socket).is_ok());
                let sidecar = Sidecar::start(discovery(&[&server]));
                let time = time_of_response(&sidecar, "long");
                assert!(time <= RESPONSE_TIMEOUT + LOST_AFTER, "{fault:?}: {time:?}");
            });
        }
    });
}

/// The length of an order of which a server that reads nothing takes only a part.
const ORDER_BYTES: usize = 400_000;
/// The time for which a server hangs before it reads on.
const HANG: Duration = Duration::from_millis(1500);

/// Starts a server that reads its first requests only after [`HANG`]. Returns it, and the number of bytes that it gets on
/// each connection.
fn start_hanging() -> (Entry, mpsc::Receiver<u64>) {
    let (sender, received) = mpsc::channel();
    let sender = Mutex::new(sender);
    let server = start_raw(move |mut socket| {
        thread::sleep(HANG);
        let mut length = 0;
        let mut piece = [0; 8192];
        while let Ok(n @ 1..) = socket.read(&mut piece) {
            length += n as u64;
        }
        let _ = sender.lock().expect("no panic").send(length);
    });
    (server, received)
}

/// Sends an order whose client waits for `time_left_ms`.
fn send_long_order(sidecar: &Sidecar, time_left_ms: u32) -> TcpStream {
    let mut client = sidecar.connect();
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: long\r\nX-Time-Left-Ms: {time_left_ms}\r\n\
         Content-Length: {ORDER_BYTES}\r\n\r\n"
    );
    client.write_all((head + &"o".repeat(ORDER_BYTES)).as_bytes()).expect("sent");
    client
}

/// Guards against an order that begins seconds after its client was told that it had failed: the system went on sending
/// what had been written before the attempt was given up.
#[test]
fn order_that_was_given_up_does_not_begin_when_its_server_reads_on() {
    let (server, received) = start_hanging();
    let sidecar = Sidecar::start(Registry::start(vec![server]));
    let answer = first_answer(send_long_order(&sidecar, 500));
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    let length = received.recv_timeout(PATIENCE).expect("the server reads on");
    assert!(length < ORDER_BYTES as u64, "{length} bytes");
}

/// Guards against the same for a client that leaves.
#[test]
fn order_whose_client_has_left_does_not_begin_when_its_server_reads_on() {
    let (server, received) = start_hanging();
    let sidecar = Sidecar::start(Registry::start(vec![server]));
    let client = send_long_order(&sidecar, 20_000);
    thread::sleep(HANG / 3);
    drop(client);
    let length = received.recv_timeout(PATIENCE).expect("the server reads on");
    assert!(length < ORDER_BYTES as u64, "{length} bytes");
}
