//! Clients that stop in the middle of a body and stay connected. Each gets an error, or the end of its connection, in time.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

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

/// The number of clients that stall at the same time, beside others.
const STALLED: [usize; 3] = [8, 20, 60];
/// The time for which the others send requests beside each wave of stalled clients, and their interval.
const WAVE: (Duration, Duration) = (Duration::from_millis(1500), Duration::from_millis(20));
const WAVES: usize = 3;
/// The latency objective of uploads in milliseconds, and a time in which it passes.
const UPLOAD_OBJECTIVE_MS: u64 = 400;
const OBJECTIVE_PASSES: Duration = Duration::from_millis(500);
/// The prefix of the ids of requests that are answered with long bodies, and the length of these.
const LONG: &str = "long";
const LONG_BODY_BYTES: usize = 3_000_000;
/// The time that a server takes.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Sends a request at each interval of a wave. Returns the heads of the responses.
fn responses_of_a_wave(sidecar: &Sidecar, wave: usize) -> Vec<String> {
    let (duration, interval) = WAVE;
    let count = duration.as_millis() / interval.as_millis();
    thread::scope(|scope| {
        let requests: Vec<_> = (0..count)
            .map(|number| {
                thread::sleep(interval);
                scope.spawn(move || {
                    sidecar.exchange(&get_request(&format!("other-{wave}-{number}")))
                })
            })
            .collect();
        requests.into_iter().map(|request| request.join().expect("no panic")).collect()
    })
}

/// Starts a sidecar and six idle servers, which answer the requests whose ids begin with [`LONG`] with long bodies.
fn sidecar_with_idle_servers(memory_mb: u64) -> Sidecar {
    let servers: Vec<_> = (0..6)
        .map(|_| {
            Server::start(|id, socket| {
                thread::sleep(SERVICE_TIME);
                let response = match id.starts_with(LONG) {
                    true => answer(&"l".repeat(LONG_BODY_BYTES)),
                    false => answer(id),
                };
                socket.write_all(response.as_bytes()).is_ok()
            })
        })
        .collect();
    let registry = discovery(&servers.iter().collect::<Vec<_>>());
    Sidecar::start_with(registry, |config| {
        config["limits"]["memory_mb"] = memory_mb.into();
        config["limits"]["sockets"] = 1024.into();
        set_times(config, 0, 150, 20_000);
        set_times(config, 1, UPLOAD_OBJECTIVE_MS, 2_000);
    })
}

/// A client of a wave, which ends with it.
struct WaveClient(TcpStream);

impl WaveClient {
    /// Starts a client that does `work` on a connection of its own.
    fn start(client: &TcpStream, work: impl FnOnce(TcpStream) + Send + 'static) -> WaveClient {
        let copy = client.try_clone().expect("a second handle");
        let working = client.try_clone().expect("a third handle");
        thread::spawn(move || work(working));
        WaveClient(copy)
    }
}

impl Drop for WaveClient {
    fn drop(&mut self) {
        // Fails if the sidecar has closed the connection already.
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// Sends the requests of others beside waves of clients that `start_clients` starts, and checks that all are served.
fn others_are_served_beside<C>(
    sidecar: &Sidecar,
    case: &str,
    start_clients: impl Fn(&Sidecar, usize) -> Vec<C>,
) {
    let mut refused = Vec::new();
    for wave in 0..WAVES {
        let _clients = start_clients(sidecar, wave);
        thread::sleep(OBJECTIVE_PASSES);
        let responses = responses_of_a_wave(sidecar, wave);
        refused.extend(responses.into_iter().filter(|head| !head.starts_with("HTTP/1.1 200")));
    }
    assert!(refused.is_empty(), "beside {case}: {} refused, {:?}", refused.len(), refused[0]);
}

/// Guards against clients that stall within their uploads, while the servers are idle, and are counted as overload: the
/// requests of others were shed.
#[test]
fn clients_that_stall_within_their_uploads_shed_no_requests_of_others() {
    for stalled in STALLED {
        let sidecar = sidecar_with_idle_servers(64);
        others_are_served_beside(&sidecar, &format!("{stalled} uploads"), |sidecar, wave| {
            let upload = PartialUpload::with_length(900_000, 450_000);
            let stall = |number| {
                let mut client = sidecar.connect();
                let message = upload.message(&format!("stalled-{stalled}-{wave}-{number}"));
                client.write_all(&message).expect("sent");
                client
            };
            (0..stalled).map(stall).collect()
        });
    }
}

/// Guards against clients that write their uploads slowly, while the servers are idle, and are counted as overload.
#[test]
fn clients_that_write_slowly_shed_no_requests_of_others() {
    const PIECE: usize = 3_000;
    const PIECE_INTERVAL: Duration = Duration::from_millis(50);
    for slow in STALLED {
        let sidecar = sidecar_with_idle_servers(64);
        others_are_served_beside(&sidecar, &format!("{slow} writers"), |sidecar, wave| {
            let upload = PartialUpload::with_length(120_000, 120_000);
            let write = |number| {
                let message = upload.message(&format!("slow-{slow}-{wave}-{number}"));
                WaveClient::start(&sidecar.connect(), move |mut client| {
                    for piece in message.chunks(PIECE) {
                        thread::sleep(PIECE_INTERVAL);
                        if client.write_all(piece).is_err() {
                            return;
                        }
                    }
                })
            };
            (0..slow).map(write).collect()
        });
    }
}

/// Guards against clients that read long responses slowly, so that responses wait for memory, and are counted as overload
/// though the servers are idle.
#[test]
fn clients_that_read_slowly_shed_no_requests_of_others() {
    const PIECE: usize = 1_000;
    const PIECE_INTERVAL: Duration = Duration::from_millis(50);
    for slow in STALLED {
        let sidecar = sidecar_with_idle_servers(32);
        others_are_served_beside(&sidecar, &format!("{slow} readers"), |sidecar, wave| {
            let read = |number| {
                let mut client = sidecar.connect();
                SockRef::from(&client).set_recv_buffer_size(64 << 10).expect("set");
                let request = get_request(&format!("{LONG}-{slow}-{wave}-{number}"));
                client.write_all(request.as_bytes()).expect("sent");
                WaveClient::start(&client, |mut client| {
                    while client.read(&mut [0; PIECE]).is_ok_and(|length| length > 0) {
                        thread::sleep(PIECE_INTERVAL);
                    }
                })
            };
            (0..slow).map(read).collect()
        });
    }
}
