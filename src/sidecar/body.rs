//! What bodies of requests and responses have in common: their types, sizes and minimum pace.

use std::future::Future;
use std::marker::PhantomData;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use runtime::{Runtime, expiry};

/// How many bytes of a body are buffered at most. Longer ones are streamed.
pub const STREAM_WINDOW_BYTES: usize = 64 << 10;
/// What a streamed body takes of the budget: its window, and what is on its way.
pub const STREAM_RESERVATION_BYTES: usize = 2 * STREAM_WINDOW_BYTES;
/// The longest pause between two pieces of a body that has begun.
pub const MAX_BODY_GAP: Duration = Duration::from_millis(2500);
/// The pace that clients keep on average, beside one such gap.
const MIN_CLIENT_BYTES_PER_SECOND: u64 = 60_000;
/// The same of servers. Slow ones have been seen, and a client waits for as long as it likes.
const MIN_SERVER_BYTES_PER_SECOND: u64 = 8_000;

/// The time that so many bytes may take on their way from or to a client.
pub fn client_transfer_time(bytes: u64) -> Duration {
    transfer_time(bytes, MIN_CLIENT_BYTES_PER_SECOND)
}

fn transfer_time(bytes: u64, bytes_per_second: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1000) / bytes_per_second)
}

/// A body broke off, stalled, or is longer than bodies may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body broke off")]
pub struct BodyError;

/// A body of any type.
pub type BoxedBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>;

/// A body that is received, which fails if its sender is too slow.
///
/// A peer that stops half way, or sends byte by byte, would hold a request and its resources for
/// ever. Its time runs only while it is waited for: a receiver that takes its time is not the
/// sender's fault. This does harm to senders with long pauses.
pub struct MinRateBody<P: Runtime> {
    body: Incoming,
    /// How many bytes may still be received.
    remaining: u64,
    min_bytes_per_second: u64,
    received: u64,
    waited: Duration,
    wait: Option<Wait>,
    runtime: PhantomData<fn() -> P>,
}

/// A wait for the sender.
struct Wait {
    since: Instant,
    /// Completes when it has lasted too long.
    timeout: Pin<Box<dyn Future<Output = ()>>>,
}

impl<P: Runtime> MinRateBody<P> {
    /// The rest of a client's body, which may have `remaining` bytes more.
    pub fn from_client(body: Incoming, remaining: u64) -> MinRateBody<P> {
        MinRateBody::new(body, remaining, MIN_CLIENT_BYTES_PER_SECOND)
    }

    /// The rest of a server's body, which may have `remaining` bytes more.
    pub fn from_server(body: Incoming, remaining: u64) -> MinRateBody<P> {
        MinRateBody::new(body, remaining, MIN_SERVER_BYTES_PER_SECOND)
    }

    fn new(body: Incoming, remaining: u64, min_bytes_per_second: u64) -> MinRateBody<P> {
        MinRateBody {
            body,
            remaining,
            min_bytes_per_second,
            received: 0,
            waited: Duration::ZERO,
            wait: None,
            runtime: PhantomData,
        }
    }

    /// Waits for the sender; ready when it has taken too long.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let wait = self.wait.get_or_insert_with(|| {
            let allowed = MAX_BODY_GAP + transfer_time(self.received, self.min_bytes_per_second);
            let left = allowed.saturating_sub(self.waited).min(MAX_BODY_GAP);
            let now = P::now();
            Wait { since: now, timeout: Box::pin(expiry::<P>(now + left)) }
        });
        wait.timeout.as_mut().poll(cx)
    }

    /// Counts what was received.
    fn count(&mut self, frame: &Frame<Bytes>) -> Result<(), BodyError> {
        let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
        self.received += bytes;
        self.remaining = self.remaining.checked_sub(bytes).ok_or(BodyError)?;
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
            return self.poll_timeout(cx).map(|()| Some(Err(BodyError)));
        };
        if let Some(wait) = self.wait.take() {
            self.waited += P::elapsed_since(wait.since);
        }
        Poll::Ready(frame.map(|frame| {
            let frame = frame.map_err(|_| BodyError)?;
            self.count(&frame)?;
            Ok(frame)
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
