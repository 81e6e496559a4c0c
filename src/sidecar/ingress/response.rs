//! Responses to clients: heads, streamed bodies and the `Date` header.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use runtime::Runtime;

use super::connection::ClientConnection;
use crate::sidecar::body::{BodyError, BoxedBody};
use crate::sidecar::driver::RequestOutcome;
use crate::sidecar::upstream::{ResponseHeadMemory, ResponseRest, UpstreamResponse};

/// The body of a response before it is assigned to a connection.
#[derive(Default)]
pub(super) struct ResponseParts {
    /// The whole body, or its first bytes if it is streamed.
    pub first: Bytes,
    /// The rest of a streamed body.
    pub rest: Option<ResponseRest>,
    /// The memory of the head.
    pub head_memory: ResponseHeadMemory,
}

/// A response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<ResponseParts> {
    let mut response = Response::new(ResponseParts::default());
    *response.status_mut() = status;
    response
}

/// The response for the outcome of a request.
pub(super) fn reply_response(reply: RequestOutcome) -> Response<ResponseParts> {
    match reply {
        RequestOutcome::Served(UpstreamResponse { headers, head_memory, body, rest }) => {
            let parts = ResponseParts { first: body, rest, head_memory };
            let mut response = Response::new(parts);
            *response.headers_mut() = headers;
            response
        }
        RequestOutcome::Rejected { retry_after } => {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            let seconds = retry_after.map(|time| format!("{:.3}", time.as_secs_f64()));
            if let Some(Ok(seconds)) = seconds.map(HeaderValue::try_from) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
            response
        }
        RequestOutcome::Failed => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// The value of the `Date` header (RFC 9110, section 6.6.1), formatted once a second.
pub(super) struct DateCache {
    cached: RefCell<CachedDate>,
}

struct CachedDate {
    unix_second: u64,
    value: HeaderValue,
}

impl Default for DateCache {
    fn default() -> DateCache {
        let value = HeaderValue::from_static("");
        DateCache { cached: RefCell::new(CachedDate { unix_second: 0, value }) }
    }
}

impl DateCache {
    /// The `Date` header for the current time.
    pub fn header<P: Runtime>(&self) -> HeaderValue {
        let now = P::unix_time().as_secs();
        let mut cached = self.cached.borrow_mut();
        if cached.unix_second != now {
            let text = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(now));
            let value = HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static(""));
            *cached = CachedDate { unix_second: now, value };
        }
        cached.value.clone()
    }
}

/// The body of a response that is sent to a client. When it is dropped, its connection becomes idle with the next
/// complete flush.
pub(super) struct ResponseBody<P: Runtime> {
    first: Full<Bytes>,
    rest: Option<BoxedBody>,
    connection: Rc<ClientConnection<P>>,
}

impl<P: Runtime> ResponseBody<P> {
    /// Creates a body of `first` followed by `rest`.
    pub fn new(
        first: Full<Bytes>,
        rest: Option<BoxedBody>,
        connection: Rc<ClientConnection<P>>,
    ) -> ResponseBody<P> {
        ResponseBody { first, rest, connection }
    }
}

impl<P: Runtime> Drop for ResponseBody<P> {
    fn drop(&mut self) {
        self.connection.finish_response();
    }
}

impl<P: Runtime> Body for ResponseBody<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.first.is_end_stream() {
            let frame = Pin::new(&mut self.first).poll_frame(cx);
            return frame.map_err(|never| match never {});
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let frame = rest.as_mut().poll_frame(cx);
        // Time spent waiting for the server does not count towards the client's read timeout.
        match &frame {
            Poll::Pending => self.connection.response_waits(),
            Poll::Ready(_) => self.connection.response_continues(),
        }
        if let Poll::Ready(Some(Err(error))) = frame {
            self.connection.fail_response(error);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_end_stream() && self.rest.as_ref().is_none_or(|rest| rest.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let Some(rest) = &self.rest else { return self.first.size_hint() };
        let (first, rest) = (self.first.size_hint().lower(), rest.size_hint());
        rest.exact().map(|n| SizeHint::with_exact(first + n)).unwrap_or_default()
    }
}
