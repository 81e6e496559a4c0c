//! Streamed request bodies: bodies that are too long to be buffered are sent to a server as they arrive.
//!
//! The first bytes of such a body are kept until an attempt asks for more. Until then, the request can still be sent
//! to another server; after that, the body cannot be replayed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Body;
use runtime::{Runtime, expiry};
use tokio::sync::Notify;

use super::body::{BodyError, BoxedBody, client_transfer_time};
use super::deadline::RequestDeadline;

/// The interval at which the deadline of an upload in progress is determined anew.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The progress of an upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// All bytes received so far are kept.
    Replayable,
    /// Some bytes have been sent and are no longer kept.
    Streaming,
    /// The last byte was read for sending at this time.
    Complete(Instant),
    Failed(BodyError),
}

/// A streamed request body, shared by the attempts of the request.
pub struct Upload {
    deadline: RequestDeadline,
    /// The length in bytes, or `None` if the head of the request does not give it.
    pub length: Option<u64>,
    prefix: RefCell<Bytes>,
    source: RefCell<BoxedBody>,
    progress: Cell<Progress>,
    /// Whether the request has its response, and no attempt gets further bytes.
    closed: Cell<bool>,
    /// Number of attempts started.
    attempts: Cell<u64>,
    /// The number of the attempt that receives the bytes after the prefix, or `None` before one has asked for them.
    streaming_attempt: Cell<Option<u64>>,
    /// Number of bytes sent after the prefix.
    streamed: Cell<u64>,
    /// The time since which the server has not taken the next bytes, or `None` while they are awaited from the client.
    server_wait_since: Cell<Option<Instant>>,
    /// The total duration of earlier waits for the server.
    server_waited: Cell<Duration>,
    changed: Notify,
    now: fn() -> Instant,
}

impl Upload {
    /// Creates an upload of which `prefix` has been received. `source` yields the rest.
    pub fn new<P: Runtime>(
        prefix: Bytes,
        source: BoxedBody,
        length: Option<u64>,
        deadline: RequestDeadline,
    ) -> Rc<Upload> {
        Rc::new(Upload {
            deadline,
            length,
            prefix: RefCell::new(prefix),
            source: RefCell::new(source),
            progress: Cell::new(Progress::Replayable),
            closed: Cell::new(false),
            attempts: Cell::new(0),
            streaming_attempt: Cell::new(None),
            streamed: Cell::new(0),
            server_wait_since: Cell::new(None),
            server_waited: Cell::new(Duration::ZERO),
            changed: Notify::new(),
            now: P::now,
        })
    }

    /// Returns whether another attempt can still send the complete body.
    pub fn is_replayable(&self) -> bool {
        self.progress.get() == Progress::Replayable && !self.closed.get()
    }

    /// Returns when the last byte was passed on for sending, or `None` before.
    pub fn completed_at(&self) -> Option<Instant> {
        match self.progress.get() {
            Progress::Complete(at) => Some(at),
            _ => None,
        }
    }

    /// Returns how long the client still waits at `now`.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.outcome_due().map_or(self.deadline.budget(), |due| due.saturating_duration_since(now))
    }

    /// Returns the time at which the outcome is due, or `None` if the client cannot have written the whole body yet.
    fn outcome_due(&self) -> Option<Instant> {
        let end_was_read = || self.completed_at().map(|end| end + self.deadline.budget());
        self.deadline.outcome_due().or_else(end_was_read)
    }

    /// Returns the time until which the server has to take the next bytes, or `None` while they are awaited from the
    /// client.
    ///
    /// The client may be waiting to send them, so its time does not run yet. Without this limit, a server that stops
    /// reading, or reads on byte by byte, would block it for ever.
    fn server_due(&self) -> Option<Instant> {
        let since = self.server_wait_since.get().filter(|_| self.completed_at().is_none())?;
        let allowed = self.deadline.budget() + client_transfer_time(self.streamed.get());
        let left = allowed.saturating_sub(self.server_waited.get());
        Some(since + left.min(self.deadline.budget()))
    }

    fn due(&self) -> Option<Instant> {
        [self.outcome_due(), self.server_due()].into_iter().flatten().min()
    }

    /// Completes when the time of the request is up: its client stops waiting, or the server does not take the body.
    ///
    /// The time of the client may start at any moment, when it writes on while the server does not take the body, so it is
    /// determined anew at short intervals.
    pub async fn timed_out<P: Runtime>(&self) {
        loop {
            let next_check = P::now() + DEADLINE_CHECK_INTERVAL;
            match self.due().filter(|&due| due <= next_check) {
                Some(due) => expiry::<P>(due).await,
                None => P::sleep_until(next_check).await,
            }
            if self.due().is_some_and(|due| due <= P::now()) {
                return;
            }
        }
    }

    /// Returns the time that the server has taken by `now`: to accept the bytes that its client has sent, and since it has
    /// the whole body. Waits for the client are left out.
    fn server_time(&self, now: Instant) -> Duration {
        let since = self.server_wait_since.get().or(self.completed_at());
        let current = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        self.server_waited.get() + current
    }

    /// Completes when the server has taken `limit`.
    pub async fn server_time_used<P: Runtime>(&self, limit: Duration) {
        loop {
            let now = P::now();
            let left = limit.saturating_sub(self.server_time(now));
            if left.is_zero() {
                return;
            }
            P::sleep_until(now + left).await;
        }
    }

    /// Completes when the body can no longer be replayed.
    pub async fn streaming_started(&self) {
        self.wait_for(|progress| progress != Progress::Replayable).await;
    }

    async fn wait_for(&self, reached: impl Fn(Progress) -> bool) {
        loop {
            let changed = self.changed.notified();
            if reached(self.progress.get()) {
                return;
            }
            changed.await;
        }
    }

    fn set_progress(&self, progress: Progress) {
        if self.progress.replace(progress) != progress {
            self.changed.notify_waiters();
        }
    }

    /// Polls for the next bytes after the prefix. The prefix is no longer kept from then on.
    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self.progress.get() {
            Progress::Complete(_) => return Poll::Ready(None),
            Progress::Failed(error) => return Poll::Ready(Some(Err(error))),
            Progress::Replayable => {
                self.set_progress(Progress::Streaming);
                *self.prefix.borrow_mut() = Bytes::new();
            }
            Progress::Streaming => {}
        }
        self.end_server_wait();
        loop {
            let frame = ready!(self.source.borrow_mut().as_mut().poll_frame(cx));
            match frame.transpose() {
                Ok(None) => {
                    self.set_progress(Progress::Complete((self.now)()));
                    return Poll::Ready(None);
                }
                Err(error) => {
                    self.set_progress(Progress::Failed(error));
                    return Poll::Ready(Some(Err(error)));
                }
                // Trailers are not forwarded.
                Ok(Some(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.record_streamed(&data);
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }

    /// Counts bytes sent, and records the end of the body with its last byte.
    ///
    /// hyper does not poll a body of known length after its last byte, so the end would otherwise go unnoticed and
    /// the client's timeout would never start.
    fn record_streamed(&self, data: &Bytes) {
        self.streamed.set(self.streamed.get() + data.len() as u64);
        self.server_wait_since.set(Some((self.now)()));
        if self.source.borrow().is_end_stream() {
            self.set_progress(Progress::Complete((self.now)()));
        }
    }

    /// Records that the server takes the next bytes.
    fn end_server_wait(&self) {
        if let Some(since) = self.server_wait_since.take() {
            let waited = (self.now)().saturating_duration_since(since);
            self.server_waited.set(self.server_waited.get() + waited);
        }
    }

    /// Reads and discards the rest of the body after the request has its response.
    ///
    /// If the connection were closed while the client still sends, the client might lose the response.
    ///
    /// # Errors
    ///
    /// Fails if the body fails.
    pub async fn drain(&self) -> Result<(), BodyError> {
        self.closed.set(true);
        while let Some(piece) = std::future::poll_fn(|cx| self.poll_next(cx)).await {
            piece?;
        }
        Ok(())
    }
}

/// The body of one attempt, read from an [`Upload`] from its first byte on.
///
/// Only the first attempt that asks for more than the prefix gets it, and any other fails. If two attempts shared the
/// rest, each would send a body with holes, which looks complete if it is chunked.
pub struct UploadAttempt {
    upload: Rc<Upload>,
    number: u64,
    prefix: Option<Bytes>,
}

impl UploadAttempt {
    /// Creates the body of a new attempt.
    pub fn new(upload: Rc<Upload>) -> UploadAttempt {
        let prefix = Some(upload.prefix.borrow().clone());
        let number = upload.attempts.get();
        upload.attempts.set(number + 1);
        UploadAttempt { upload, number, prefix }
    }

    /// Returns the length in bytes, or `None` if it is unknown.
    pub fn length(&self) -> Option<u64> {
        self.upload.length
    }

    /// Polls for the next bytes of the body.
    ///
    /// # Errors
    ///
    /// Fails if the client's body fails, if another attempt receives the rest of the body, or if the request has its
    /// response.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if self.upload.closed.get() {
            return Poll::Ready(Some(Err(BodyError::Unavailable)));
        }
        if let Some(prefix) = self.prefix.take().filter(|prefix| !prefix.is_empty()) {
            return Poll::Ready(Some(Ok(prefix)));
        }
        let owner = self.upload.streaming_attempt.get().unwrap_or(self.number);
        self.upload.streaming_attempt.set(Some(owner));
        if owner != self.number {
            return Poll::Ready(Some(Err(BodyError::Unavailable)));
        }
        self.upload.poll_next(cx)
    }
}

#[cfg(test)]
mod tests;
