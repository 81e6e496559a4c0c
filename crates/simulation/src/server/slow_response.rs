//! Responses that a server gives piece by piece: steadily, in lumps, or after a pause behind the head.

use std::time::Duration;

use fakes::wire::Reader;
use rand::Rng;
use rand::rngs::SmallRng;
use runtime::{Runtime, Stream};
use simnet::{SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;

/// The longest time from the head to the last byte, in milliseconds.
const MAX_DURATION_MS: u64 = 2_000;
/// The number of repetitions of a request's id in a short and in a long body.
const SHORT_BODY: usize = 100;
const LONG_BODY: usize = 8_000;
/// The number of pieces of a response that is given steadily, and of one that is given in lumps.
const STEADY_PIECES: usize = 30;
const LUMPS: usize = 3;

/// A response, and when its pieces are written.
pub(super) struct SlowResponse {
    head: String,
    pieces: Vec<Vec<u8>>,
    /// The time from the head to the first piece.
    pause: Duration,
    /// The time between two pieces.
    interval: Duration,
}

impl SlowResponse {
    /// Draws a response whose body repeats `id`. `load` is its load report.
    pub(super) fn draw(id: &str, load: &str, rng: &mut SmallRng) -> SlowResponse {
        let repetitions = if rng.random() { SHORT_BODY } else { LONG_BODY };
        let body = id.repeat(rng.random_range(repetitions / 2..repetitions)).into_bytes();
        let is_chunked: bool = rng.random();
        let count = if rng.random_bool(0.7) { STEADY_PIECES } else { LUMPS };
        let duration = Duration::from_millis(rng.random_range(100..MAX_DURATION_MS));
        let pause = if rng.random_bool(0.3) { duration / 3 } else { Duration::ZERO };
        let framing = match is_chunked {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {}", body.len()),
        };
        let pieces = body.chunks(body.len().div_ceil(count));
        let mut pieces: Vec<_> = pieces.map(|piece| encode(piece, is_chunked)).collect();
        if is_chunked && let Some(last) = pieces.last_mut() {
            last.extend_from_slice(b"0\r\n\r\n");
        }
        SlowResponse {
            head: format!("HTTP/1.1 200 OK\r\nX-Backend-Load: {load}\r\n{framing}\r\n\r\n"),
            interval: (duration - pause) / pieces.len() as u32,
            pieces,
            pause,
        }
    }

    /// Writes the response. Returns whether all of it was written.
    pub(super) async fn write(&self, reader: &mut Reader<Stream<SimTcp, ()>>) -> bool {
        if reader.get_mut().write_all(self.head.as_bytes()).await.is_err() {
            return false;
        }
        SimRuntime::sleep(self.pause).await;
        for piece in &self.pieces {
            if reader.get_mut().write_all(piece).await.is_err() {
                return false;
            }
            SimRuntime::sleep(self.interval).await;
        }
        true
    }
}

/// Encodes a piece of a body.
fn encode(piece: &[u8], is_chunked: bool) -> Vec<u8> {
    match is_chunked {
        true => [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat(),
        false => piece.to_vec(),
    }
}
