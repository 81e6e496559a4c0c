//! How a sound body is given: its length, how its message says where it ends, and when which part of it is written.
//!
//! A plan is drawn from a generator, so that the simulation and real processes draw alike.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

#[cfg(test)]
mod tests;

/// The number of bytes up to which sidecars buffer a body.
const BUFFERED_BYTES: usize = 64 << 10;
/// The size of the buffers that sidecars read into, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Lengths at which something changes: no body, one byte, and the limits of buffers.
const BOUNDARIES: [usize; 8] = [
    0,
    1,
    READ_BUFFER_BYTES - 1,
    READ_BUFFER_BYTES,
    READ_BUFFER_BYTES + 1,
    BUFFERED_BYTES - 1,
    BUFFERED_BYTES,
    BUFFERED_BYTES + 1,
];
/// The longest body that is short, in bytes.
const SHORT_BYTES: usize = 3_000;
/// The longest body whose chunks have one byte each, in bytes.
const MAX_SINGLE_BYTE_CHUNKS: usize = 500;
/// The number of pieces of a body that is given steadily.
const STEADY_PIECES: usize = 30;
/// The extension of a chunk.
const CHUNK_EXTENSION: &str = ";x=\"HTTP/1.1 200 OK\"";
/// The largest number of bytes of all extensions of a body.
const MAX_EXTENSION_BYTES: usize = 12 << 10;
/// The bytes of the last chunk, and of one with an extension and a trailer.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
const LAST_CHUNK_WITH_TRAILER: &[u8] =
    b"0;x=\"HTTP/1.1 200 OK\"\r\nX-Note: Content-Length: 1\r\n\r\n";

/// How a message says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a content length.
    Length,
    /// By a last chunk.
    Chunked {
        /// The size of a chunk in bytes.
        size: usize,
        /// Whether chunks have extensions, and a trailer follows. Sidecars accept 16 KiB of them in a body.
        extended: bool,
    },
    /// By the end of its connection.
    Connection,
}

/// When which part of a body is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// All at once, in the same write as the head.
    AtOnce,
    /// In pieces of equal length at equal intervals.
    Steady {
        /// The time from the head to the last piece.
        duration: Duration,
    },
    /// At once up to a byte, and the rest after a pause.
    Pause {
        /// The number of bytes before the pause.
        at: usize,
        /// The length of the pause.
        pause: Duration,
    },
}

/// The limits of what is drawn.
#[derive(Clone, Copy, Debug)]
pub struct PlanLimits {
    /// The longest body in bytes.
    pub max_bytes: usize,
    /// The longest time from the head to the last byte.
    pub max_duration: Duration,
    /// The longest pause.
    pub max_pause: Duration,
}

/// How a sound body is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyPlan {
    /// The length in bytes.
    pub length: usize,
    /// How the message says where the body ends.
    pub framing: Framing,
    /// When which part is written.
    pub pace: Pace,
}

/// A part of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The time to wait before it is written.
    pub pause: Duration,
    /// The bytes.
    pub bytes: Vec<u8>,
}

impl BodyPlan {
    /// Draws the plan of a response's body.
    pub fn draw(limits: &PlanLimits, rng: &mut impl Rng) -> BodyPlan {
        let length = draw_length(limits.max_bytes, rng);
        let framing = match rng.random_range(0..3) {
            0 => Framing::Length,
            1 => draw_chunks(length, rng),
            _ => Framing::Connection,
        };
        let share: f64 = rng.random();
        let pace = match rng.random_range(0..3) {
            0 => Pace::AtOnce,
            1 => Pace::Steady { duration: limits.max_duration.mul_f64(share) },
            _ => Pace::Pause {
                at: rng.random_range(0..=length),
                pause: limits.max_pause.mul_f64(share),
            },
        };
        BodyPlan { length, framing, pace }
    }

    /// Returns the header line that says where the body ends; empty without one.
    pub fn header(&self) -> String {
        match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n", self.length),
            Framing::Chunked { .. } => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Connection => String::new(),
        }
    }

    /// Returns whether the connection has to be closed behind the body.
    pub fn ends_connection(&self) -> bool {
        self.framing == Framing::Connection
    }

    /// Returns the message that begins with `head`, which ends with an empty line, in the parts in which it is written.
    ///
    /// # Panics
    ///
    /// When `body` does not have the length of the plan.
    pub fn steps(&self, head: &str, body: &[u8]) -> Vec<Step> {
        assert_eq!(body.len(), self.length, "the length of the body");
        let step = |pause, bytes: &[u8]| Step { pause, bytes: self.encode(bytes) };
        let at_once = |bytes: &[u8]| Step {
            pause: Duration::ZERO,
            bytes: [head.as_bytes(), &self.encode(bytes)].concat(),
        };
        let mut steps = match self.pace {
            Pace::AtOnce => vec![at_once(body)],
            Pace::Pause { at, pause } => {
                let (first, rest) = body.split_at(at.min(body.len()));
                vec![at_once(first), step(pause, rest)]
            }
            Pace::Steady { duration } => {
                let pieces = body.chunks(body.len().div_ceil(STEADY_PIECES).max(1));
                let interval = duration / pieces.len().max(1) as u32;
                let head = Step { pause: Duration::ZERO, bytes: head.as_bytes().to_vec() };
                [head].into_iter().chain(pieces.map(|piece| step(interval, piece))).collect()
            }
        };
        if let Some(last) = steps.last_mut() {
            last.bytes.extend_from_slice(self.last_chunk());
        }
        steps
    }

    /// Encodes a part of the body.
    fn encode(&self, bytes: &[u8]) -> Vec<u8> {
        let Framing::Chunked { size, extended } = self.framing else { return bytes.to_vec() };
        let extension = if extended { CHUNK_EXTENSION } else { "" };
        let mut encoded = Vec::with_capacity(2 * bytes.len());
        for chunk in bytes.chunks(size.max(1)) {
            encoded.extend_from_slice(format!("{:x}{extension}\r\n", chunk.len()).as_bytes());
            encoded.extend_from_slice(chunk);
            encoded.extend_from_slice(b"\r\n");
        }
        encoded
    }

    fn last_chunk(&self) -> &'static [u8] {
        match self.framing {
            Framing::Chunked { extended: true, .. } => LAST_CHUNK_WITH_TRAILER,
            Framing::Chunked { extended: false, .. } => LAST_CHUNK,
            Framing::Length | Framing::Connection => b"",
        }
    }
}

impl Display for BodyPlan {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let BodyPlan { length, framing, pace } = self;
        write!(f, "{length} bytes, {framing:?}, {pace:?}")
    }
}

/// Draws a length of `max_bytes` at most: at a boundary, short, or anywhere.
fn draw_length(max_bytes: usize, rng: &mut impl Rng) -> usize {
    let length = match rng.random_range(0..3) {
        0 => *BOUNDARIES.choose(rng).unwrap_or(&0),
        1 => rng.random_range(0..=SHORT_BYTES),
        _ => rng.random_range(0..=max_bytes),
    };
    length.min(max_bytes)
}

fn draw_chunks(length: usize, rng: &mut impl Rng) -> Framing {
    let smallest = if length <= MAX_SINGLE_BYTE_CHUNKS { 1 } else { 100 };
    let size = [smallest, READ_BUFFER_BYTES, length].choose(rng).copied();
    let size = size.unwrap_or(smallest).max(1);
    let extended: bool = rng.random();
    let chunks = length / size + STEADY_PIECES;
    let fits = chunks * CHUNK_EXTENSION.len() <= MAX_EXTENSION_BYTES;
    Framing::Chunked { size, extended: extended && fits }
}
