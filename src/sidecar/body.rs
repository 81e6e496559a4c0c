//! Common parts of request and response bodies: types, size limits and minimum transfer rates.

use std::error::Error;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::marker::PhantomData;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use runtime::{Runtime, expiry};

use super::framing::MAX_HEAD_BYTES;
use super::memory::MemoryReservation;

/// The maximum number of buffered bytes of a body. Longer bodies are streamed.
pub const STREAM_WINDOW_BYTES: usize = 64 << 10;
/// The capacity in bytes of a buffer for the first bytes of a streamed body: the window, and a last piece that exceeds
/// it.
pub const STREAM_PREFIX_BYTES: usize = STREAM_WINDOW_BYTES + MAX_HEAD_BYTES;
/// The memory reserved for a streamed body in bytes: its first bytes, and those that hyper is forwarding.
const STREAM_RESERVATION_BYTES: usize = 2 * STREAM_WINDOW_BYTES;
/// The maximum wait for the next bytes of a body that has begun.
pub const MAX_BODY_GAP: Duration = Duration::from_millis(2500);
/// The minimum average transfer rate of clients, not counting one wait of [`MAX_BODY_GAP`].
const MIN_CLIENT_BYTES_PER_SECOND: u64 = 60_000;
/// The minimum average transfer rate of servers, not counting one wait of [`MAX_BODY_GAP`]. It is lower than for
/// clients, as slow servers occur, and a client decides itself how long it waits.
const MIN_SERVER_BYTES_PER_SECOND: u64 = 8_000;

/// Returns the time that the transfer of `bytes` from or to a client may take.
pub fn client_transfer_time(bytes: u64) -> Duration {
    transfer_time(bytes, MIN_CLIENT_BYTES_PER_SECOND)
}

/// Returns the length of a body that is buffered completely, or `None` if it is streamed.
pub fn buffered_length(body: &Incoming) -> Option<usize> {
    let length = body.size_hint().exact()?;
    (length <= STREAM_WINDOW_BYTES as u64).then_some(length as usize)
}

/// Returns the memory in bytes that has to be reserved for a body.
pub fn reserved_bytes(body: &Incoming) -> usize {
    buffered_length(body).unwrap_or(STREAM_RESERVATION_BYTES)
}

fn transfer_time(bytes: u64, bytes_per_second: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1000) / bytes_per_second)
}

/// The reason why a body is not received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection ended before the end of the body.
    #[error("body ended early")]
    EndedEarly,
    /// The connection failed, for example by a reset.
    #[error("connection failed within the body")]
    ConnectionFailed,
    /// The framing of the body was invalid.
    #[error("framing of the body is invalid")]
    InvalidFraming,
    /// No byte arrived for the maximum wait.
    #[error("body has stalled")]
    Stalled,
    /// Bytes arrived at less than the minimum rate.
    #[error("body is too slow")]
    TooSlow,
    /// The body exceeded the size limit.
    #[error("body exceeds the size limit")]
    TooLong,
    /// More bytes arrived than the length of the body says.
    #[error("body is longer than its length says")]
    SurplusBytes,
    /// Another attempt receives the body, or the request has its response already.
    #[error("body is not available any more")]
    Unavailable,
}

impl From<hyper::Error> for BodyError {
    fn from(error: hyper::Error) -> BodyError {
        let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        match source.map(io::Error::kind) {
            None | Some(ErrorKind::UnexpectedEof) => BodyError::EndedEarly,
            Some(ErrorKind::InvalidData | ErrorKind::InvalidInput) => BodyError::InvalidFraming,
            Some(_) => BodyError::ConnectionFailed,
        }
    }
}

/// A type-erased body.
pub type BoxedBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// A received body that fails if its sender falls below a minimum transfer rate.
///
/// Otherwise a peer that stops half way, or sends byte by byte, could occupy a request and its resources for ever.
/// Only time spent waiting for the sender counts, so that a slow receiver does not fail the body. The drawback:
/// bodies of senders that make long pauses fail too.
pub struct MinRateBody<P: Runtime> {
    body: Incoming,
    reservation: MemoryReservation,
    /// Number of bytes that may still be received.
    remaining: u64,
    min_bytes_per_second: u64,
    received: u64,
    waited: Duration,
    wait: Option<Wait>,
    /// The time before which the sender is never too slow; `None` without such a time.
    patient_until: Option<Instant>,
    runtime: PhantomData<fn() -> P>,
}

/// A wait for the sender.
struct Wait {
    since: Instant,
    /// Completes when the wait has lasted too long.
    timeout: Pin<Box<dyn Future<Output = ()>>>,
    /// The error of a wait that has lasted too long.
    error: BodyError,
}

impl<P: Runtime> MinRateBody<P> {
    /// Wraps the rest of a client's body, which may have up to `remaining` bytes and uses the memory of `reservation`.
    pub fn from_client(
        body: Incoming,
        remaining: u64,
        reservation: MemoryReservation,
    ) -> MinRateBody<P> {
        MinRateBody::new(body, remaining, reservation, MIN_CLIENT_BYTES_PER_SECOND)
    }

    /// Wraps the rest of a server's body, which may have up to `remaining` bytes and uses the memory of `reservation`. The
    /// server may be slow until `patient_until`.
    pub fn from_server(
        body: Incoming,
        remaining: u64,
        reservation: MemoryReservation,
        patient_until: Option<Instant>,
    ) -> MinRateBody<P> {
        let body = MinRateBody::new(body, remaining, reservation, MIN_SERVER_BYTES_PER_SECOND);
        MinRateBody { patient_until, ..body }
    }

    fn new(
        body: Incoming,
        remaining: u64,
        reservation: MemoryReservation,
        min_bytes_per_second: u64,
    ) -> MinRateBody<P> {
        MinRateBody {
            body,
            reservation,
            remaining,
            min_bytes_per_second,
            received: 0,
            waited: Duration::ZERO,
            wait: None,
            patient_until: None,
            runtime: PhantomData,
        }
    }

    /// Polls the wait for the sender. Ready when the sender has taken too long.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<BodyError> {
        let wait = self.wait.get_or_insert_with(|| {
            let allowed = MAX_BODY_GAP + transfer_time(self.received, self.min_bytes_per_second);
            let left = allowed.saturating_sub(self.waited);
            let error = if left < MAX_BODY_GAP { BodyError::TooSlow } else { BodyError::Stalled };
            let since = P::now();
            let due = since + left.min(MAX_BODY_GAP);
            let due = self.patient_until.map_or(due, |patient_until| due.max(patient_until));
            Wait { since, timeout: Box::pin(expiry::<P>(due)), error }
        });
        let error = wait.error;
        wait.timeout.as_mut().poll(cx).map(|()| error)
    }

    /// Counts the bytes of a received frame. Fails if the body exceeds its size limit.
    fn count_frame(&mut self, frame: &Frame<Bytes>) -> Result<(), BodyError> {
        let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
        self.received += bytes;
        self.remaining = self.remaining.checked_sub(bytes).ok_or(BodyError::TooLong)?;
        Ok(())
    }
}

impl<P: Runtime> Body for MinRateBody<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
            return self.poll_timeout(cx).map(|error| Some(Err(error)));
        };
        if let Some(wait) = self.wait.take() {
            self.waited += P::elapsed_since(wait.since);
        }
        Poll::Ready(frame.map(|frame| {
            let frame = frame?;
            self.count_frame(&frame)?;
            // A copy, as a small piece would keep the whole buffer that hyper has read it into.
            Ok(frame.map_data(|data| self.reservation.attach(data.to_vec())))
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
