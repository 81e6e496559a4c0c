//! Responses that a server writes piece by piece, in each way to say where they end.

use std::hash::{DefaultHasher, Hasher};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use fakes::contents::{Direction, body_of};
use fakes::wire::read_message;
use serde_json::Value;

use crate::net::*;
use crate::support::set_times;

/// The number of servers, all of them idle.
const SERVERS: usize = 6;
/// The classes: safe to repeat, not idempotent, and with a key.
pub const ALL_CLASSES: [&str; 3] = ["look", "order", "keep"];
/// The interval at which a steady server writes.
const PIECE_INTERVAL: Duration = Duration::from_millis(50);

/// The way in which a response says where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a content length.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of its connection.
    Close,
}

impl Framing {
    /// All ways.
    pub const ALL: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];

    /// The head of a response with a body of `length` bytes.
    pub fn head(self, length: usize) -> String {
        match self {
            Framing::Length => format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"),
            Framing::Chunked => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
            Framing::Close => "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        }
    }

    /// The next `length` bytes of the body as they are written.
    pub fn piece(self, length: usize) -> Vec<u8> {
        self.piece_of(&vec![b's'; length])
    }

    /// These next bytes of the body as they are written.
    pub fn piece_of(self, data: &[u8]) -> Vec<u8> {
        match self {
            Framing::Chunked => {
                [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
            }
            Framing::Length | Framing::Close => data.to_vec(),
        }
    }

    /// The bytes after the last piece.
    pub fn end(self) -> &'static [u8] {
        match self {
            Framing::Chunked => b"0\r\n\r\n",
            Framing::Length | Framing::Close => b"",
        }
    }
}

/// Returns a body of this length in which pieces of protocols stand.
pub fn paced_body(length: usize) -> Vec<u8> {
    body_of(Direction::Response, "paced", length)
}

/// The body of a response as it is written piece by piece.
pub struct BodyPieces {
    framing: Framing,
    body: Vec<u8>,
    written: usize,
}

impl BodyPieces {
    /// The body of this length, of which nothing is written yet.
    pub fn new(framing: Framing, length: usize) -> BodyPieces {
        BodyPieces { framing, body: paced_body(length), written: 0 }
    }

    /// The next `length` bytes of the body as they are written.
    pub fn next(&mut self, length: usize) -> Vec<u8> {
        let begin = self.written;
        self.written += length;
        self.framing.piece_of(&self.body[begin..self.written])
    }
}

/// When a server writes which part of a response: the times count from the request.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The time of the head.
    pub head: Duration,
    /// The times and lengths of the pieces of the body.
    pub pieces: Vec<(Duration, usize)>,
}

impl Schedule {
    /// A body of `length` bytes that is written steadily from `begin` to `end`.
    pub fn steady(length: usize, begin: Duration, end: Duration) -> Schedule {
        let count = ((end - begin).as_millis() / PIECE_INTERVAL.as_millis()).max(1) as usize;
        let piece = length / count;
        let pieces = (1..=count).map(|number| {
            let length = if number == count { length - piece * (count - 1) } else { piece };
            (begin + PIECE_INTERVAL * number as u32, length)
        });
        Schedule { head: Duration::from_millis(16), pieces: pieces.collect() }
    }

    /// `count` pieces of `length` bytes each, the first one with the head.
    pub fn lumps(count: u32, length: usize, interval: Duration) -> Schedule {
        let head = Duration::from_millis(16);
        let pieces = (0..count).map(|number| (head + interval * number, length));
        Schedule { head, pieces: pieces.collect() }
    }

    /// The length of the body.
    pub fn body_length(&self) -> usize {
        self.pieces.iter().map(|(_, length)| length).sum()
    }

    /// Writes the response to a request that has just arrived. Returns whether its connection stays open.
    pub fn respond(&self, framing: Framing, socket: &mut TcpStream) -> bool {
        let is_written = self.write(framing, socket).is_ok();
        is_written && framing != Framing::Close
    }

    fn write(&self, framing: Framing, socket: &mut TcpStream) -> std::io::Result<()> {
        let received_at = Instant::now();
        let mut body = BodyPieces::new(framing, self.body_length());
        socket.set_nodelay(true)?;
        sleep_until(received_at + self.head);
        socket.write_all(framing.head(self.body_length()).as_bytes())?;
        for &(time, length) in &self.pieces {
            sleep_until(received_at + time);
            socket.write_all(&body.next(length))?;
        }
        socket.write_all(framing.end())
    }
}

/// Sleeps until `time`, if it is not over.
pub fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// A request of the class, whose client waits for `time_left`.
pub fn request(class: &str, id: &str, time_left: Duration) -> String {
    let request = match class {
        "look" => get_request(id),
        "order" => order_request(id),
        _ => keyed_request(id),
    };
    request.replace("Ms: 20000", &format!("Ms: {}", time_left.as_millis()))
}

/// A duration.
pub const fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Sets the latency objectives and deadlines of a usual deployment.
pub fn usual_times(config: &mut Value) {
    for (class, objective) in [(0, 150), (1, 400), (2, 400)] {
        set_times(config, class, objective, 3_000);
    }
    config["settings"]["classes"][1]["window"] = 3_000_000.into();
}

/// Starts servers that treat each request like `script`, and a sidecar in front of them.
pub fn sidecar_with(
    script: impl Fn(&mut TcpStream) -> bool + Clone + Send + Sync + 'static,
    change: impl FnOnce(&mut Value),
) -> Sidecar {
    let start = |_| {
        let script = script.clone();
        Server::start(move |_, socket| script(socket))
    };
    let servers: Vec<_> = (0..SERVERS).map(start).collect();
    Sidecar::start_with(discovery(&servers.iter().collect::<Vec<_>>()), |config| {
        usual_times(config);
        change(config);
    })
}

/// What a client has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The status line of the response, or when it was cut.
    status: String,
    /// The length of its body in bytes.
    length: usize,
    /// A digest of its body.
    digest: u64,
}

impl Outcome {
    /// A response with this status line and body.
    pub fn new(status: &str, body: &[u8]) -> Outcome {
        let mut hasher = DefaultHasher::new();
        hasher.write(body);
        Outcome { status: status.to_owned(), length: body.len(), digest: hasher.finish() }
    }
}

/// Sends a request and returns what its client receives.
pub fn outcome_of(sidecar: &Sidecar, request: &[u8]) -> Outcome {
    let mut client = sidecar.connect();
    let sent_at = Instant::now();
    client.write_all(request).expect("sent");
    let response = read_message(&mut BufReader::new(client));
    let time = sent_at.elapsed();
    let (head, body) = response.unwrap_or_else(|| (format!("cut after {time:?}"), Vec::new()));
    Outcome::new(head.lines().next().unwrap_or_default(), &body)
}

/// The outcome of a request whose client gets the whole paced body of this length.
pub fn whole(length: usize) -> Outcome {
    whole_of(&paced_body(length))
}

/// The outcome of a request whose client gets this body.
pub fn whole_of(body: &[u8]) -> Outcome {
    Outcome::new("HTTP/1.1 200 OK", body)
}
