//! The request that an attempt sends, and the time limits of the attempt.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::HeaderMap;
use runtime::Runtime;

use super::memory_wait::MemoryWait;
use super::observer::ExchangeObserver;
use super::request_end::RequestEnd;
use super::response_arrival::ResponseArrival;
use crate::settings::RetrySafety;
use crate::sidecar::body::BodyError;
use crate::sidecar::deadline::RequestDeadline;
use crate::sidecar::invariants::SendFacts;
use crate::sidecar::memory::MemoryReservation;
use crate::sidecar::upload::{Upload, UploadAttempt};

/// The header that carries the id of a request.
const CORRELATION_ID: &str = "x-correlation-id";

/// The client of a request.
pub trait RequestClient {
    /// Returns whether the client has disconnected.
    ///
    /// Reads the present state of the socket, as the event loop may not have reported the disconnect yet.
    fn has_left(&self) -> bool;
}

/// A client's request as it is forwarded to servers, kept for retries.
pub struct UpstreamRequest {
    /// Whether the request may be sent again after a server may have executed it.
    pub retry_safety: RetrySafety,
    /// The HTTP method.
    pub method: Method,
    /// The path and query of the client's request, unchanged.
    pub target: hyper::Uri,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The memory that the head takes, in bytes.
    pub head_bytes: usize,
    /// The part of it that is reserved, as connections have no memory for it.
    pub head_reservation: MemoryReservation,
    /// The body, or its buffered prefix if it is streamed.
    pub body: Bytes,
    /// The streamed body, or `None` if the body is buffered.
    pub upload: Option<Rc<Upload>>,
    /// The time until which the client waits, or `None` for a request of the sidecar itself.
    pub deadline: Option<RequestDeadline>,
    /// Number of copies of the request that were sent in full, or are being sent, in all of its attempts.
    pub copies: Cell<usize>,
    /// The end of the request.
    pub end: Rc<RequestEnd>,
    /// The client that sent the request, or `None` for a request of the sidecar itself.
    pub client: Option<Rc<dyn RequestClient>>,
}

impl UpstreamRequest {
    /// Creates a request of the sidecar itself: a `GET` without a correlation id.
    pub(super) fn internal(path: &'static str) -> UpstreamRequest {
        UpstreamRequest {
            retry_safety: RetrySafety::Idempotent,
            method: Method::GET,
            target: hyper::Uri::from_static(path),
            headers: HeaderMap::new(),
            head_bytes: 0,
            head_reservation: MemoryReservation::default(),
            body: Bytes::new(),
            upload: None,
            deadline: None,
            copies: Cell::new(0),
            end: Rc::default(),
            client: None,
        }
    }

    /// Returns the id of the request in the logs of the sidecar and of servers; empty without a valid id.
    pub fn correlation_id(&self) -> &str {
        self.headers.get(CORRELATION_ID).and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// Returns whether nobody waits for the response any more.
    pub(super) fn is_unwanted(&self) -> bool {
        self.end.has_ended() || self.client.as_ref().is_some_and(|client| client.has_left())
    }

    /// Returns how long the client still waits at `now`, for an attempt that ends at `deadline`.
    ///
    /// With a streamed body, the client's timeout starts when the last byte of the body is received.
    pub(super) fn time_left(&self, now: Instant, deadline: Instant) -> Duration {
        match &self.upload {
            None => deadline.saturating_duration_since(now),
            Some(upload) => upload.time_left(now),
        }
    }

    /// Returns the length of the body in bytes, or `None` if it is unknown.
    pub(super) fn content_length(&self) -> Option<u64> {
        match &self.upload {
            None => Some(self.body.len() as u64),
            Some(upload) => upload.length,
        }
    }
}

/// The conditions under which an attempt may be sent, and its deadline.
#[derive(Clone, Debug)]
pub struct AttemptLimits {
    /// The latest time at which the attempt may be sent, or `None` if there is no limit.
    ///
    /// After that time servers may have forgotten an earlier attempt, and the request could be executed twice.
    pub start_by: Option<Instant>,
    /// The time for which servers deduplicate repeats of the request, or `None` if they do not.
    pub idempotency_window: Option<Duration>,
    /// Whether the request has no further attempt left.
    pub is_last: bool,
    /// The time at which the attempt times out.
    pub deadline: Instant,
    /// The wait of the attempt for the memory of its response.
    pub memory_wait: Rc<MemoryWait>,
    /// The response while it is being received.
    pub arrival: Rc<ResponseArrival>,
    /// Whether the server accepts new requests according to the endpoint list, which updates this cell.
    pub server_ready: Rc<Cell<bool>>,
}

impl AttemptLimits {
    /// Creates limits for a request that repeats no other and may be sent to a server in any state, more than once.
    pub(super) fn unlimited(deadline: Instant) -> AttemptLimits {
        AttemptLimits {
            start_by: None,
            idempotency_window: None,
            is_last: false,
            deadline,
            memory_wait: Rc::default(),
            arrival: Rc::default(),
            server_ready: Rc::new(Cell::new(true)),
        }
    }

    /// Returns the input of [`may_send`](crate::sidecar::invariants::may_send) for an attempt at `request`.
    ///
    /// The conditions are evaluated at the time of sending: while the attempt waits for a connection, or for a
    /// socket permit to open one, its server may start to drain or the idempotency window may end.
    pub(super) fn send_facts(&self, request: &UpstreamRequest, now: Instant) -> SendFacts {
        SendFacts {
            finished: request.is_unwanted(),
            server_ready: self.server_ready.get(),
            now,
            start_by: self.start_by,
        }
    }

    /// Returns whether another attempt may follow at `now` if this one, whose request was sent at `sent_at`, is given up.
    /// Without one, nothing is gained by giving it up.
    pub(super) fn may_be_followed(
        &self,
        retry_safety: RetrySafety,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let mut after_this = self.clone();
        after_this.record_sent(sent_at);
        let is_in_window = after_this.start_by.is_none_or(|start_by| now < start_by);
        !self.is_last && is_in_window && retry_safety != RetrySafety::NonIdempotent
    }

    /// Limits a resend to the idempotency window of the copy that was sent in full at `sent_at`.
    pub(super) fn record_sent(&mut self, sent_at: Instant) {
        let end_of_window = self.idempotency_window.map(|window| sent_at + window);
        self.start_by = self.start_by.into_iter().chain(end_of_window).min();
    }
}

/// The request body of one attempt.
pub(super) enum RequestBody<P> {
    /// A buffered body.
    Buffered(Bytes),
    /// A body that is forwarded as it is received.
    Streamed(UploadAttempt, Rc<ExchangeObserver<P>>),
}

impl<P: Runtime> RequestBody<P> {
    /// Creates the body of an attempt at `request` on the connection that `observer` follows.
    pub(super) fn new(request: &UpstreamRequest, observer: &Rc<ExchangeObserver<P>>) -> Self {
        match &request.upload {
            None => RequestBody::Buffered(request.body.clone()),
            Some(upload) => {
                RequestBody::Streamed(UploadAttempt::new(upload.clone()), observer.clone())
            }
        }
    }
}

impl<P: Runtime> Body for RequestBody<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            RequestBody::Buffered(body) => {
                let body = std::mem::take(body);
                Poll::Ready((!body.is_empty()).then(|| Ok(Frame::data(body))))
            }
            RequestBody::Streamed(upload, observer) => {
                let piece = ready!(upload.poll_next(cx));
                if piece.is_none() && upload.length().is_none() {
                    // hyper is about to write the last chunk, after which the server may execute the request.
                    observer.request_sent();
                }
                Poll::Ready(piece.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, RequestBody::Buffered(body) if body.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(body) => SizeHint::with_exact(body.len() as u64),
            RequestBody::Streamed(upload, _) => {
                upload.length().map(SizeHint::with_exact).unwrap_or_default()
            }
        }
    }
}
