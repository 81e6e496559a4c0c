//! Responses of servers: their load reports, and their bodies, which are buffered or streamed.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Response, StatusCode};
use runtime::{Runtime, timeout, timeout_at};

use super::Upstream;
use super::attempt_result::{AttemptResult, UpstreamResponse};
use super::close_reason::CloseReason;
use super::connection::Connection;
use super::desync::{BodyFingerprint, SuspectedDesync};
use crate::api::{Outcome, ServerId};
use crate::sidecar::body::{
    BodyError, BoxedBody, PacedBody, STREAM_RESERVATION_BYTES, STREAM_WINDOW_BYTES,
};
use crate::sidecar::framing::UNPROCESSED_HEADER;

/// How long more of a streamed response is waited for after its first bytes, before they are
/// forwarded. One that breaks off that early has failed while another server can still be asked.
const EARLY_BREAK_WAIT: Duration = Duration::from_millis(10);

/// The header with which a server reports its load.
const LOAD_REPORT_HEADER: &str = "x-backend-load";

/// The first part of a body.
struct Prefix {
    bytes: BytesMut,
    /// Nothing follows.
    complete: bool,
}

/// The rest of a response that is forwarded while it is received. Its connection is closed behind it.
struct StreamedRest<P: Runtime> {
    body: PacedBody<P>,
    connection: Option<Connection<P>>,
}

// Nothing in it is pinned in place.
impl<P: Runtime> Unpin for StreamedRest<P> {}

impl<P: Runtime> Body for StreamedRest<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none()
            && let Some(connection) = self.connection.take()
        {
            connection.close(CloseReason::Streamed);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.connection.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What the response to a request on a connection came to.
pub(super) enum Received<P: Runtime> {
    /// It is taken for the request's, or there is none that could be.
    Ended(AttemptResult),
    /// It is a whole rejection that ends its connection: its server processes nothing more that it has received
    /// there (RFC 9112, section 9.6).
    FinalRejection(AttemptResult),
    /// It may answer an earlier request on its connection.
    Unverified {
        /// What it came to, if it answers this request.
        result: AttemptResult,
        /// The connection, if nothing of the response is still to come.
        connection: Option<Box<Connection<P>>>,
        /// What speaks against it; none if it has to be proven.
        suspected: Option<SuspectedDesync>,
    },
}

impl<P: Runtime> Received<P> {
    /// The end of an attempt without a response.
    pub(super) fn nothing(outcome: Outcome) -> Received<P> {
        Received::Ended(AttemptResult::without_response(outcome))
    }
}

/// A response that can be forwarded, and its connection, unless that is needed for the rest of the body.
struct Forwardable<P: Runtime> {
    response: UpstreamResponse,
    connection: Option<Connection<P>>,
    accepted: Result<(), SuspectedDesync>,
}

impl<P: Runtime> Upstream<P> {
    /// Reads the response to an attempt at `server`. With `needs_proof`, a rejection counts as such only once
    /// it is whole: before that it may have been begun by a server that goes on to execute the request.
    pub(super) async fn read_response(
        self: &Rc<Upstream<P>>,
        server: ServerId,
        connection: Connection<P>,
        response: Response<Incoming>,
        needs_proof: bool,
    ) -> Received<P> {
        let unprocessed = is_unprocessed(&response);
        let is_final = ends_connection(response.headers());
        let (head, body) = response.into_parts();
        let report = head.headers.get(LOAD_REPORT_HEADER).and_then(|value| value.to_str().ok());
        let report = report.map(|text| self.live.names().load_report(text)).unwrap_or_default();
        let end = |outcome| AttemptResult { report, ..AttemptResult::without_response(outcome) };
        if unprocessed && needs_proof {
            if !is_whole(body).await {
                return Received::Ended(end(Outcome::ConnectionReset));
            }
            if is_final {
                return Received::FinalRejection(end(Outcome::Rejected));
            }
            return self.prove_rejection(server, connection, end(Outcome::Rejected));
        }
        if head.status != StatusCode::OK {
            if connection.is_used() {
                // This may be a copy, with the request's own response still to come.
                connection.close(CloseReason::NotServed);
            } else {
                self.discard_body(server, connection, body);
            }
            let outcome = if unprocessed { Outcome::Rejected } else { Outcome::ErrorResponse };
            return Received::Ended(end(outcome));
        }
        let Some(read) = self.read_body(connection, head.headers, body).await else {
            return Received::Ended(end(Outcome::ConnectionReset));
        };
        let Forwardable { response, connection, accepted } = read;
        let result = AttemptResult { response: Some(response), ..end(Outcome::Success) };
        if let Err(suspected) = accepted {
            let connection = connection.map(Box::new);
            return Received::Unverified { result, connection, suspected: Some(suspected) };
        }
        if let Some(connection) = connection {
            self.return_to_pool(server, connection);
        }
        Received::Ended(result)
    }

    /// A rejection that is whole. On a used connection it may be that of an earlier request.
    fn prove_rejection(
        &self,
        server: ServerId,
        connection: Connection<P>,
        result: AttemptResult,
    ) -> Received<P> {
        if connection.is_used() {
            let connection = Some(Box::new(connection));
            return Received::Unverified { result, connection, suspected: None };
        }
        self.return_to_pool(server, connection);
        Received::Ended(result)
    }

    /// Reads a body, or the first part of a streamed one; none if it cannot be forwarded in full.
    async fn read_body(
        &self,
        mut connection: Connection<P>,
        headers: HeaderMap,
        mut body: Incoming,
    ) -> Option<Forwardable<P>> {
        // Without a length, a response that breaks off looks complete.
        if !connection.observer.has_delimited_response() {
            return None;
        }
        let buffered_length =
            body.size_hint().exact().filter(|&length| length <= STREAM_WINDOW_BYTES as u64);
        let bytes = buffered_length.map_or(STREAM_RESERVATION_BYTES, |length| length as usize);
        let Some(reservation) = self.body_memory.try_reserve(bytes) else {
            tracing::warn!(bytes, "no memory left for a response body");
            return None;
        };
        let first = read_prefix::<P>(&mut body, buffered_length).await.ok()?;
        let fingerprint = first.complete.then(|| BodyFingerprint::new(&first.bytes));
        let accepted = connection.accept_body(fingerprint);
        let mut connection = Some(connection);
        let rest: Option<BoxedBody> = if first.complete {
            None
        } else {
            let longest_rest = self.live.max_body_bytes().saturating_sub(first.bytes.len());
            let body = PacedBody::from_server(body, longest_rest as u64);
            let connection = connection.take();
            Some(Box::pin(StreamedRest { body, connection }))
        };
        let body = first.bytes.freeze();
        let response = UpstreamResponse { headers, body, rest, reservation: Some(reservation) };
        Some(Forwardable { response, connection, accepted })
    }

    /// Reads the rest of a short response that is not forwarded, so that its connection can be used again.
    pub(super) fn discard_body(
        self: &Rc<Upstream<P>>,
        server: ServerId,
        connection: Connection<P>,
        body: Incoming,
    ) {
        let gap = self.live.timeouts().read;
        let upstream = self.clone();
        P::spawn(async move {
            if let Ok(true) = timeout::<P, _>(gap, is_whole(body)).await {
                upstream.return_to_pool(server, connection);
            }
        });
    }
}

/// Reads the rest of a short response. Returns whether it came whole, with nothing in it that speaks of processing.
async fn is_whole(body: Incoming) -> bool {
    let mut body = Limited::new(body, STREAM_WINDOW_BYTES);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        if frame.trailers_ref().is_some_and(|t| t.contains_key(UNPROCESSED_HEADER)) {
            // It may take back what the head has said.
            return false;
        }
    }
    true
}

/// Reads a body of `buffered_length` in full, or the first bytes of a longer one, and more of those
/// if they arrive soon.
///
/// # Errors
///
/// The body breaks off.
async fn read_prefix<P: Runtime>(
    body: &mut Incoming,
    buffered_length: Option<u64>,
) -> Result<Prefix, hyper::Error> {
    let is_long =
        body.size_hint().exact().is_some_and(|length| length > STREAM_WINDOW_BYTES as u64);
    let mut bytes = BytesMut::with_capacity(buffered_length.unwrap_or_default() as usize);
    let mut wait_until = None;
    loop {
        if buffered_length.is_none() && bytes.len() >= STREAM_WINDOW_BYTES {
            return Ok(Prefix { bytes, complete: false });
        }
        let frame = match wait_until {
            None => body.frame().await,
            Some(wait_until) => match timeout_at::<P, _>(wait_until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Ok(Prefix { bytes, complete: false }),
            },
        };
        if is_long {
            wait_until = wait_until.or_else(|| Some(P::now() + EARLY_BREAK_WAIT));
        }
        let Some(frame) = frame.transpose()? else {
            return Ok(Prefix { bytes, complete: true });
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}

/// Whether a server has rejected a request without processing it.
pub(super) fn is_unprocessed<B>(response: &Response<B>) -> bool {
    matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && is_only_value(response.headers(), UNPROCESSED_HEADER, "1")
}

/// Whether the server says that it sends nothing more on the connection.
fn ends_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Whether a header is there once, with this value.
fn is_only_value(headers: &HeaderMap, name: &str, expected: &str) -> bool {
    let mut values = headers.get_all(name).iter();
    values.next().is_some_and(|value| value == expected) && values.next().is_none()
}
