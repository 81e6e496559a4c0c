//! What an attempt sends, and until when it may be sent and waited for.

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

use super::observer::ExchangeObserver;
use crate::settings::RetrySafety;
use crate::sidecar::body::BodyError;
use crate::sidecar::budget::Reservation;
use crate::sidecar::invariants::SendFacts;
use crate::sidecar::upload::{Upload, UploadAttempt};

/// The header with the id of a request.
const CORRELATION_ID: &str = "x-correlation-id";

/// The client of a request.
pub trait RequestClient {
    /// Whether the client has left, as its socket tells now: the event loop may not have told yet.
    fn has_left(&self) -> bool;
}

/// A client's request in the form in which servers get it, kept for retries.
pub struct UpstreamRequest {
    /// Whether it may be sent again once it may have been executed.
    pub retry_safety: RetrySafety,
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: hyper::Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The body, or as much of it as is buffered.
    pub body: Bytes,
    /// The body, if it is too long to be buffered.
    pub upload: Option<Rc<Upload>>,
    /// The memory reserved for the body.
    pub reservation: Reservation,
    /// The request has its final answer, or nobody waits for one: nothing more is sent for it.
    pub finished: Cell<bool>,
    /// Who sent it; none for the sidecar's own requests.
    pub client: Option<Rc<dyn RequestClient>>,
}

impl UpstreamRequest {
    /// A message of the sidecar's own, without an id.
    pub(super) fn own(path: &'static str) -> UpstreamRequest {
        UpstreamRequest {
            retry_safety: RetrySafety::Idempotent,
            method: Method::GET,
            target: hyper::Uri::from_static(path),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            upload: None,
            reservation: None,
            finished: Cell::default(),
            client: None,
        }
    }

    /// What identifies it in logs, here and at servers; empty if it has no such text.
    pub fn correlation_id(&self) -> &str {
        self.headers.get(CORRELATION_ID).and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// Whether nobody waits for its response.
    pub(super) fn is_unwanted(&self) -> bool {
        self.finished.get() || self.client.as_ref().is_some_and(|client| client.has_left())
    }

    /// How long the client still waits at the time `now`, if the attempt is waited for until `deadline`.
    ///
    /// The time of a streamed body counts from its last byte.
    pub(super) fn time_left(&self, now: Instant, deadline: Instant) -> Duration {
        match &self.upload {
            None => deadline.saturating_duration_since(now),
            Some(upload) => upload
                .deadline()
                .map_or(upload.response_timeout, |due| due.saturating_duration_since(now)),
        }
    }

    /// The length of the body in bytes, if it is known.
    pub(super) fn content_length(&self) -> Option<u64> {
        match &self.upload {
            None => Some(self.body.len() as u64),
            Some(upload) => upload.length,
        }
    }
}

/// Until when an attempt may be started, and how long it may take.
#[derive(Clone, Debug)]
pub struct AttemptLimits {
    /// It is sent by then or not at all: after that, the request it repeats may be executed twice.
    pub start_by: Option<Instant>,
    /// How long servers recognize repeats of what it sends, if they do.
    pub idempotency_window: Option<Duration>,
    /// It is waited for until then.
    pub deadline: Instant,
    /// Whether its server accepts new requests, as far as is known; shared with the endpoint list.
    pub server_ready: Rc<Cell<bool>>,
}

impl AttemptLimits {
    /// For what repeats nothing, and may be sent to any server.
    pub(super) fn unlimited(deadline: Instant) -> AttemptLimits {
        AttemptLimits {
            start_by: None,
            idempotency_window: None,
            deadline,
            server_ready: Rc::new(Cell::new(true)),
        }
    }

    /// What [`may_send`](crate::sidecar::invariants::may_send) has to know of an attempt at `request`.
    ///
    /// An attempt may wait for its connection, or for a socket to open one, longer than a server
    /// that begins to drain may be sent anything new, or than servers remember what it repeats.
    pub(super) fn send_facts(&self, request: &UpstreamRequest, now: Instant) -> SendFacts {
        SendFacts {
            finished: request.is_unwanted(),
            server_ready: self.server_ready.get(),
            now,
            start_by: self.start_by,
        }
    }

    /// Notes that the request was sent in full at `sent_at` and is about to be sent once more.
    pub(super) fn note_sent(&mut self, sent_at: Instant) {
        let end_of_window = self.idempotency_window.map(|window| sent_at + window);
        self.start_by = self.start_by.into_iter().chain(end_of_window).min();
    }
}

/// The body of one attempt.
pub(super) enum RequestBody<P> {
    /// A buffered body.
    Buffered(Bytes),
    /// A body that is forwarded while it is received.
    Streamed(UploadAttempt, Rc<ExchangeObserver<P>>),
}

impl<P: Runtime> RequestBody<P> {
    /// The body of one attempt at `request`, on the connection that `observer` watches.
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
                    // The last chunk is about to be written: the server may execute the request from now on.
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
