//! Request bodies that are too long to be buffered: they are streamed to a server as they arrive.
//!
//! The first bytes of such a body are kept until more is wanted, so a request that no server has
//! begun to receive can still be sent to another one. What has been sent cannot be replayed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Body;
use runtime::Runtime;
use tokio::sync::Notify;

use super::body::{BodyError, BoxedBody, MAX_BODY_GAP};

/// How far an upload has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// All that has been received is kept.
    Replayable,
    /// Some of it has been sent and is no longer kept.
    Streaming,
    /// Its last byte was received at this time.
    Complete(Instant),
    Failed,
}

/// The body of one request, streamed to whichever attempt gets it.
pub struct Upload {
    /// How long the client waits for a response, from the body's last byte on.
    pub response_timeout: Duration,
    /// Its length in bytes, if the request's head tells.
    pub length: Option<u64>,
    /// When its last byte was received by the sidecar, where that is seen before it is wanted.
    received_at: Rc<Cell<Option<Instant>>>,
    prefix: RefCell<Bytes>,
    source: RefCell<BoxedBody>,
    progress: Cell<Progress>,
    /// No attempt gets anything more: the request has its response.
    closed: Cell<bool>,
    /// How many attempts have begun.
    attempts: Cell<u64>,
    /// The attempt that receives what is not kept.
    streaming_attempt: Cell<Option<u64>>,
    /// Bytes sent behind the prefix.
    streamed: Cell<u64>,
    changed: Notify,
    now: fn() -> Instant,
}

impl Upload {
    /// An upload of which `prefix` has been received; the rest is in `source`, and `received_at`
    /// tells when its last byte was received.
    pub fn new<P: Runtime>(
        prefix: Bytes,
        source: BoxedBody,
        length: Option<u64>,
        response_timeout: Duration,
        received_at: Rc<Cell<Option<Instant>>>,
    ) -> Rc<Upload> {
        Rc::new(Upload {
            response_timeout,
            length,
            received_at,
            prefix: RefCell::new(prefix),
            source: RefCell::new(source),
            progress: Cell::new(Progress::Replayable),
            closed: Cell::new(false),
            attempts: Cell::new(0),
            streaming_attempt: Cell::new(None),
            streamed: Cell::new(0),
            changed: Notify::new(),
            now: P::now,
        })
    }

    /// Whether another attempt can still get all of it.
    pub fn is_replayable(&self) -> bool {
        self.progress.get() == Progress::Replayable && !self.closed.get()
    }

    /// When its last byte was sent, or could have been, if it was.
    pub fn completed_at(&self) -> Option<Instant> {
        match self.progress.get() {
            Progress::Complete(at) => Some(at),
            _ => None,
        }
    }

    /// Until when the client waits, once the last byte has been received.
    ///
    /// The rest of a body may have been received, and wait here, long before an attempt wants it:
    /// its time runs meanwhile.
    pub fn deadline(&self) -> Option<Instant> {
        Some(self.received_at.get().or(self.completed_at())? + self.response_timeout)
    }

    /// Completes when some of it has been sent that is not kept.
    pub async fn streaming_started(&self) {
        self.until(|progress| progress != Progress::Replayable).await;
    }

    /// Completes when its last byte has been received.
    pub async fn completed(&self) {
        self.until(|progress| matches!(progress, Progress::Complete(_))).await;
    }

    /// Completes when nothing of it has moved for long.
    ///
    /// A server that accepts no more of a body would hold its client for ever. A client that sends
    /// no more is detected sooner, by [`MinRateBody`](super::body::MinRateBody).
    pub async fn stalled<P: Runtime>(&self) {
        loop {
            let before = self.streamed.get();
            P::sleep(2 * MAX_BODY_GAP).await;
            if self.streamed.get() == before {
                return;
            }
        }
    }

    async fn until(&self, reached: impl Fn(Progress) -> bool) {
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

    /// The next piece behind the prefix, which is no longer kept.
    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self.progress.get() {
            Progress::Complete(_) => return Poll::Ready(None),
            Progress::Failed => return Poll::Ready(Some(Err(BodyError))),
            Progress::Replayable => {
                self.set_progress(Progress::Streaming);
                *self.prefix.borrow_mut() = Bytes::new();
            }
            Progress::Streaming => {}
        }
        loop {
            let frame = ready!(self.source.borrow_mut().as_mut().poll_frame(cx));
            match frame.transpose() {
                Ok(None) => {
                    self.set_progress(Progress::Complete((self.now)()));
                    return Poll::Ready(None);
                }
                Err(error) => {
                    self.set_progress(Progress::Failed);
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

    /// Of a body with a known length nobody asks for more than its last byte, so the end is noted
    /// with that: otherwise its time would never begin to run.
    fn record_streamed(&self, data: &Bytes) {
        self.streamed.set(self.streamed.get() + data.len() as u64);
        if self.source.borrow().is_end_stream() {
            self.set_progress(Progress::Complete((self.now)()));
        }
    }

    /// Discards what the client still sends, once the request has its response.
    ///
    /// A response that is written while the client still sends may be lost with the connection.
    ///
    /// # Errors
    ///
    /// When the body fails.
    pub async fn drain(&self) -> Result<(), BodyError> {
        self.closed.set(true);
        while let Some(piece) = std::future::poll_fn(|cx| self.poll_next(cx)).await {
            piece?;
        }
        Ok(())
    }
}

/// An upload as one attempt sends it: all of it, from the first byte on.
///
/// Two attempts that share what is not kept would each send a body with holes, which looks complete
/// if it is chunked. The first attempt that wants more than the prefix gets it; any other fails.
pub struct UploadAttempt {
    upload: Rc<Upload>,
    number: u64,
    prefix: Option<Bytes>,
}

impl UploadAttempt {
    /// For an attempt that begins now.
    pub fn new(upload: Rc<Upload>) -> UploadAttempt {
        let prefix = Some(upload.prefix.borrow().clone());
        let number = upload.attempts.get();
        upload.attempts.set(number + 1);
        UploadAttempt { upload, number, prefix }
    }

    /// Its length in bytes, if it is known.
    pub fn length(&self) -> Option<u64> {
        self.upload.length
    }

    /// The next piece.
    ///
    /// # Errors
    ///
    /// When the client's body fails, another attempt has what is wanted, or the request has its
    /// response.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if self.upload.closed.get() {
            return Poll::Ready(Some(Err(BodyError)));
        }
        if let Some(prefix) = self.prefix.take().filter(|prefix| !prefix.is_empty()) {
            return Poll::Ready(Some(Ok(prefix)));
        }
        let owner = self.upload.streaming_attempt.get().unwrap_or(self.number);
        self.upload.streaming_attempt.set(Some(owner));
        if owner != self.number {
            return Poll::Ready(Some(Err(BodyError)));
        }
        self.upload.poll_next(cx)
    }
}

#[cfg(test)]
mod tests;
