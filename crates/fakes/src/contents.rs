//! Bodies of arbitrary bytes in which pieces of protocols stand. What a body contains must not affect where its message
//! ends, whether it is whole or whose it is.
//!
//! A body follows from the id of its request, its length and a salt for its direction, so that each end can tell
//! whether it has received the bytes that the other one has sent.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngCore, SeedableRng};

#[cfg(test)]
mod tests;

/// A status line with a short head.
pub const STATUS_LINE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
/// A whole response with a load report of its own.
pub const WHOLE_RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nX-Backend-Load: queue=900,inflight=900\r\nContent-Length: 5\r\n\r\nwrong";
/// A whole rejection.
pub const REJECTION: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
/// The last chunk of a chunked body.
pub const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";
/// The end of a head.
pub const EMPTY_LINE: &[u8] = b"\r\n\r\n";
/// The head of a request.
pub const REQUEST_HEAD: &[u8] =
    b"POST /order/1 HTTP/1.1\r\nX-Correlation-Id: hidden\r\nX-Time-Left-Ms: 900\r\nContent-Length: 0\r\n\r\n";
/// Header lines that change where a message ends.
pub const FRAMING_HEADERS: &[u8] =
    b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\nX-Unprocessed: 1\r\nConnection: close\r\n";

/// All pieces.
pub const PIECES: [&[u8]; 7] =
    [STATUS_LINE, WHOLE_RESPONSE, REJECTION, LAST_CHUNK, EMPTY_LINE, REQUEST_HEAD, FRAMING_HEADERS];

/// The mean distance between two pieces in a drawn body, in bytes.
const PIECE_DISTANCE: usize = 1_000;

/// The lengths of requests that sidecars stream, and of others, in bytes.
const LONG_REQUEST_BYTES: Range<usize> = 65_537..90_000;
const SHORT_REQUEST_BYTES: usize = 1_000;
/// One in this number of requests is long.
const LONG_REQUESTS_ONE_IN: u32 = 100;

/// The direction in which a body is sent.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
pub enum Direction {
    /// From a client to a server.
    Request,
    /// From a server to a client.
    Response,
}

/// Returns the body of this length that is sent in this direction for the request with this id.
pub fn body_of(direction: Direction, id: &str, length: usize) -> Vec<u8> {
    let mut hasher = DefaultHasher::new();
    (direction, id, length).hash(&mut hasher);
    draw_body(length, &mut SmallRng::seed_from_u64(hasher.finish()))
}

/// Returns the length of the body that a client sends with the request with this id: mostly short, rarely so long that
/// sidecars stream it.
pub fn request_length(id: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let mut rng = SmallRng::seed_from_u64(hasher.finish());
    match rng.random_ratio(1, LONG_REQUESTS_ONE_IN) {
        true => rng.random_range(LONG_REQUEST_BYTES),
        false => rng.random_range(0..SHORT_REQUEST_BYTES),
    }
}

/// Returns whether `body` is the one that is sent in this direction for the request with this id.
pub fn is_body_of(direction: Direction, id: &str, body: &[u8]) -> bool {
    body == body_of(direction, id, body.len())
}

/// Draws a body of random bytes with pieces at random places, often at its beginning and at its end.
pub fn draw_body(length: usize, rng: &mut impl Rng) -> Vec<u8> {
    let mut body = vec![0; length];
    rng.fill_bytes(&mut body);
    for _ in 0..=length / PIECE_DISTANCE {
        let place = rng.random_range(0..=length);
        put(&mut body, place, draw_piece(rng));
    }
    if rng.random() {
        put(&mut body, 0, draw_piece(rng));
    }
    if rng.random() {
        let piece = draw_piece(rng);
        put(&mut body, length.saturating_sub(piece.len()), piece);
    }
    body
}

/// Returns a body of random bytes, drawn from a seed, with this piece at this place.
pub fn body_with(length: usize, piece: &[u8], place: usize, seed: u64) -> Vec<u8> {
    let mut body = vec![0; length];
    SmallRng::seed_from_u64(seed).fill_bytes(&mut body);
    put(&mut body, place, piece);
    body
}

fn draw_piece(rng: &mut impl Rng) -> &'static [u8] {
    PIECES.choose(rng).copied().unwrap_or(EMPTY_LINE)
}

/// Overwrites the bytes from `place` on with as much of a piece as fits.
fn put(body: &mut [u8], place: usize, piece: &[u8]) {
    let room = body.get_mut(place..).unwrap_or_default();
    let length = room.len().min(piece.len());
    room[..length].copy_from_slice(&piece[..length]);
}
