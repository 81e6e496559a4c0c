//! Reads the responses of servers: load reports, rejections and bodies, which are buffered or streamed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Response, StatusCode};
use runtime::{Runtime, expiry, timeout};

use super::Upstream;
use super::attempt_result::{AttemptResult, ResponseHeadMemory, ResponseRest, UpstreamResponse};
use super::close_reason::CloseReason;
use super::connection::Connection;
use super::desync::{BodyFingerprint, ReceivedBody, SuspectedDesync};
use super::memory_wait::MemoryWait;
use super::observer::ExchangeObserver;
use super::response_arrival::ResponseArrival;
use super::streamed_rest::{RestSource, StreamedRest};
use crate::api::{Outcome, ServerId};
use crate::sidecar::body::{
    BodyError, MinRateBody, STREAM_PREFIX_BYTES, STREAM_WINDOW_BYTES, buffered_length,
    reserved_bytes,
};
use crate::sidecar::framing::{BodyEnd, UNPROCESSED_HEADER};
use crate::sidecar::headers::{end_to_end_headers, head_bytes};
use crate::sidecar::memory::{MemoryReservation, MessageReservation, MessageSize};
use crate::sidecar::response_end::{EndProof, LengthFacts};
use crate::sidecar::response_pace::ResponsePace;

/// The time for which the first bytes of a streamed response are held back before they are forwarded. If the response
/// fails within this time, the request can still be sent to another server.
const EARLY_FAILURE_WAIT: Duration = Duration::from_millis(10);

/// A wait for memory of at least this duration is logged.
const LONG_WAIT_FOR_MEMORY: Duration = Duration::from_millis(100);

/// The header with which a server reports its load.
const LOAD_REPORT_HEADER: &str = "x-backend-load";

/// The first bytes of a body.
struct Prefix {
    bytes: BytesMut,
    /// Whether this is the whole body.
    complete: bool,
}

/// The result of waiting for and reading a response.
pub(super) enum Received<P: Runtime> {
    /// The attempt ends with this result: the response answers the request, or there is none.
    Ended(AttemptResult),
    /// A complete rejection with `Connection: close`. The server processes no further request received on the
    /// connection (RFC 9112, section 9.6).
    FinalRejection(AttemptResult),
    /// The response may not have ended where its length says.
    EndUnproven {
        /// The result of the attempt if the response has ended.
        result: AttemptResult,
        /// The connection.
        connection: Box<Connection<P>>,
        /// What would prove the end.
        proof: EndProof,
    },
    /// The response may answer an earlier request on its connection.
    Unverified {
        /// The result of the attempt if the response answers its request.
        result: AttemptResult,
        /// The connection, or `None` if the rest of the response is still to be read from it.
        connection: Option<Box<Connection<P>>>,
        /// The sign of a desync, or `None` if a rejection needs proof that it answers this request.
        suspected: Option<SuspectedDesync>,
    },
}

impl<P: Runtime> Received<P> {
    /// Ends the attempt without a response.
    pub(super) fn without_response(outcome: Outcome) -> Received<P> {
        Received::Ended(AttemptResult::without_response(outcome))
    }
}

/// How a response is read.
pub(super) struct ResponseReading<'a> {
    /// The id of its request in log lines.
    pub(super) request: &'a str,
    /// Whether the server accepts new requests according to the endpoint list, which updates this cell.
    pub(super) server_ready: Rc<Cell<bool>>,
    /// The memory that the response uses.
    pub(super) reservation: MessageReservation,
    /// Whether a rejection counts only once it is complete, as a server may start to send one and still execute the
    /// request.
    pub(super) needs_proof: bool,
    /// The time before which no limit may end a response that is forwarded, or `None` without such a time.
    pub(super) cutoff: Option<Instant>,
    /// Tells when the response is to be passed on as far as it has come.
    pub(super) arrival: Rc<ResponseArrival>,
}

/// How the body of a response is read that is forwarded.
struct BodyReading<'a> {
    server: ServerId,
    server_ready: Rc<Cell<bool>>,
    reservation: MemoryReservation,
    cutoff: Option<Instant>,
    /// Whether the head says that the server closes the connection after the response.
    closes_connection: bool,
    arrival: &'a ResponseArrival,
}

/// The head of a response that is forwarded.
struct ForwardedHead {
    headers: HeaderMap,
    memory: ResponseHeadMemory,
}

/// A response that can be forwarded. Its connection is `None` if the rest of the body is still read from it.
struct Forwardable<P: Runtime> {
    response: UpstreamResponse,
    connection: Option<Connection<P>>,
    /// Whether the head says that the server closes the connection after the response.
    closes_connection: bool,
    sync_result: Result<(), SuspectedDesync>,
}

impl<P: Runtime> Upstream<P> {
    /// Reserves the memory for a response that is forwarded. Its body is not read while the attempt waits for it.
    pub(super) async fn reserve_response(
        &self,
        observer: &ExchangeObserver<P>,
        response: &Response<Incoming>,
        wait: &MemoryWait,
    ) -> MessageReservation {
        if response.status() != StatusCode::OK {
            return MessageReservation::default();
        }
        let size = MessageSize {
            head_excess: self.message_memory.excess_of_head(head_bytes(response.headers())),
            body: reserved_bytes(response.body()),
        };
        if let Some(reservation) = self.message_memory.responses.try_reserve(size) {
            return reservation;
        }
        wait.begin(P::now());
        let reservation = self.message_memory.responses.reserve(size).await;
        let waited = wait.end(P::now());
        if waited >= LONG_WAIT_FOR_MEMORY {
            let (bytes, waited_ms) = (size.total(), waited.as_millis() as u64);
            tracing::warn!(bytes, waited_ms, "response body has waited for memory");
        }
        observer.resume_response();
        reservation
    }

    /// Reads the response to an attempt at `server`.
    pub(super) async fn read_response(
        self: &Rc<Upstream<P>>,
        server: ServerId,
        connection: Connection<P>,
        response: Response<Incoming>,
        reading: ResponseReading<'_>,
    ) -> Received<P> {
        let ResponseReading { request, server_ready, reservation, needs_proof, cutoff, arrival } =
            reading;
        let unprocessed = is_unprocessed(&response);
        let closes_connection = has_connection_close(response.headers());
        let (head, body) = response.into_parts();
        let MessageReservation { head: head_reservation, body: reservation } = reservation;
        let head_bytes = head_bytes(&head.headers);
        connection.heads.record(head_bytes);
        connection.heads.keep(head_reservation.clone());
        let report = head.headers.get(LOAD_REPORT_HEADER).and_then(|value| value.to_str().ok());
        let report = report.map(|text| self.live.names().load_report(text)).unwrap_or_default();
        let end = |outcome| AttemptResult { report, ..AttemptResult::without_response(outcome) };
        if unprocessed && needs_proof {
            return self.read_rejection(server, connection, closes_connection, body, end).await;
        }
        if head.status != StatusCode::OK {
            self.discard_response(server, connection, body);
            let outcome = if unprocessed { Outcome::Rejected } else { Outcome::ErrorResponse };
            return Received::Ended(end(outcome));
        }
        let forwarded = ForwardedHead {
            headers: end_to_end_headers(&head.headers),
            memory: ResponseHeadMemory { bytes: head_bytes, reservation: head_reservation },
        };
        drop(head);
        let arrival = &arrival;
        let reading =
            BodyReading { server, server_ready, reservation, cutoff, closes_connection, arrival };
        let (observer, address) = (connection.observer.clone(), connection.address);
        let read = match self.read_body(connection, forwarded, body, reading).await {
            Ok(read) => read,
            Err(error) => {
                let body_end = observer.body_end();
                tracing::info!(request, %address, %body_end, %error, "response of a server failed");
                return Received::Ended(end(Outcome::ConnectionReset));
            }
        };
        self.serve(server, read, end(Outcome::Success))
    }

    /// Returns what a response means that can be forwarded. `result` is that of the attempt without the response.
    fn serve(
        self: &Rc<Upstream<P>>,
        server: ServerId,
        read: Forwardable<P>,
        result: AttemptResult,
    ) -> Received<P> {
        let Forwardable { response, connection, closes_connection, sync_result } = read;
        let result = AttemptResult { response: Some(response), ..result };
        if let Err(suspected) = sync_result {
            let connection = connection.map(Box::new);
            return Received::Unverified { result, connection, suspected: Some(suspected) };
        }
        match connection {
            Some(connection) => self.end_or_check(server, connection, closes_connection, result),
            None => Received::Ended(result),
        }
    }

    /// Ends the attempt of a response that has come up to the end that its head says, or asks for a proof of the end.
    fn end_or_check(
        &self,
        server: ServerId,
        connection: Connection<P>,
        closes_connection: bool,
        result: AttemptResult,
    ) -> Received<P> {
        let facts = connection.length_facts(closes_connection);
        if let Some(proof) = facts.and_then(LengthFacts::missing_proof) {
            return Received::EndUnproven { result, connection: Box::new(connection), proof };
        }
        self.return_to_pool(server, connection);
        Received::Ended(result)
    }

    /// Reads the body of a rejection, which counts only if it is complete.
    async fn read_rejection(
        &self,
        server: ServerId,
        connection: Connection<P>,
        closes_connection: bool,
        body: Incoming,
        end: impl FnOnce(Outcome) -> AttemptResult,
    ) -> Received<P> {
        if !read_to_end(body).await {
            return Received::Ended(end(Outcome::ConnectionReset));
        }
        let has_length = matches!(connection.observer.body_end(), BodyEnd::Length(_));
        if closes_connection && !has_length {
            return Received::FinalRejection(end(Outcome::Rejected));
        }
        if connection.is_used() && !closes_connection {
            // The check of whose rejection it is shows that it has ended, too.
            let connection = Some(Box::new(connection));
            return Received::Unverified {
                result: end(Outcome::Rejected),
                connection,
                suspected: None,
            };
        }
        self.end_or_check(server, connection, closes_connection, end(Outcome::Rejected))
    }

    /// Ends the exchange of a response that is not forwarded.
    fn discard_response(
        self: &Rc<Upstream<P>>,
        server: ServerId,
        connection: Connection<P>,
        body: Incoming,
    ) {
        // The attempt ends here, and where only one may be in progress, the next one must not begin beside its response.
        let may_go_on = self.live.may_hedge() || connection.observer.is_reusable();
        if connection.is_used() || !may_go_on {
            // On a used connection this may be a copy of an earlier response, and the one to this request may still follow.
            connection.close(CloseReason::NotServed);
        } else {
            self.discard_body(server, connection, body);
        }
    }

    /// Reads a body, or the prefix of a streamed one.
    ///
    /// # Errors
    ///
    /// Fails if the body cannot be forwarded completely.
    async fn read_body(
        self: &Rc<Upstream<P>>,
        mut connection: Connection<P>,
        head: ForwardedHead,
        mut body: Incoming,
        reading: BodyReading<'_>,
    ) -> Result<Forwardable<P>, BodyError> {
        let BodyReading { server, server_ready, reservation, cutoff, closes_connection, arrival } =
            reading;
        let pace = Rc::new(ResponsePace::new(connection.observer.body_end(), P::now()));
        let prefix = read_prefix::<P>(&mut body, &pace, arrival).await?;
        // On a used connection the bytes are a sign of a desync, and the request can be sent again on a new one.
        if !connection.is_used() && connection.observer.may_be_cut_short() {
            return Err(BodyError::SurplusBytes);
        }
        let received = ReceivedBody {
            fingerprint: prefix.complete.then(|| BodyFingerprint::new(&prefix.bytes)),
            min_length: pace.min_length(),
            ends_connection: closes_connection || pace.body_end() == BodyEnd::Connection,
        };
        let sync_result = connection.check_body(received);
        let (connection, rest) = if prefix.complete {
            (Some(connection), None)
        } else {
            let max_rest_bytes = self.live.max_body_bytes().saturating_sub(prefix.bytes.len());
            let rest = reservation.clone();
            let body = MinRateBody::from_server(body, max_rest_bytes as u64, rest, cutoff);
            let source = RestSource {
                upstream: self.clone(),
                server,
                connection,
                server_ready,
                closes_connection,
                cutoff,
            };
            let body = Box::pin(StreamedRest::new(body, pace.clone(), source));
            (None, Some(ResponseRest { body, pace }))
        };
        let body = reservation.attach(prefix.bytes);
        let ForwardedHead { headers, memory: head_memory } = head;
        let response = UpstreamResponse { headers, head_memory, body, rest };
        Ok(Forwardable { response, connection, closes_connection, sync_result })
    }

    /// Discards the rest of a short response in a task of its own, so that its connection can be reused.
    pub(super) fn discard_body(
        self: &Rc<Upstream<P>>,
        server: ServerId,
        connection: Connection<P>,
        body: Incoming,
    ) {
        let gap = self.live.timeouts().read;
        let upstream = self.clone();
        P::spawn(async move {
            if let Ok(true) = timeout::<P, _>(gap, read_to_end(body)).await {
                upstream.return_to_pool(server, connection);
            }
        });
    }
}

/// Reads a short body to its end. Returns whether it arrived completely, with no trailer that contradicts a rejection.
async fn read_to_end(body: Incoming) -> bool {
    let mut body = Limited::new(body, STREAM_WINDOW_BYTES);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        if frame.trailers_ref().is_some_and(|t| t.contains_key(UNPROCESSED_HEADER)) {
            // The trailer may contradict the header.
            return false;
        }
    }
    true
}

/// Reads a short body completely, or else the first bytes of a body and what follows them within
/// [`EARLY_FAILURE_WAIT`], or what has come of it when it is due.
///
/// # Errors
///
/// Fails if the body fails, or has stopped when it is due.
async fn read_prefix<P: Runtime>(
    body: &mut Incoming,
    pace: &ResponsePace,
    arrival: &ResponseArrival,
) -> Result<Prefix, BodyError> {
    let buffered_length = buffered_length(body);
    let is_long =
        body.size_hint().exact().is_some_and(|length| length > STREAM_WINDOW_BYTES as u64);
    let mut bytes = BytesMut::with_capacity(buffered_length.unwrap_or(STREAM_PREFIX_BYTES));
    let mut wait_until = None;
    loop {
        if buffered_length.is_none() && bytes.len() >= STREAM_WINDOW_BYTES {
            return Ok(Prefix { bytes, complete: body.is_end_stream() });
        }
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = expiry_of::<P>(wait_until) => return Ok(Prefix { bytes, complete: false }),
            () = arrival.due() => {
                pace.check_at_deadline(P::now()).map_err(|_| BodyError::Stalled)?;
                return Ok(Prefix { bytes, complete: false });
            }
        };
        if is_long {
            wait_until = wait_until.or_else(|| Some(P::now() + EARLY_FAILURE_WAIT));
        }
        let Some(frame) = frame.transpose()? else {
            return Ok(Prefix { bytes, complete: true });
        };
        if let Ok(data) = frame.into_data() {
            pace.record(P::now(), data.len());
            bytes.extend_from_slice(&data);
        }
    }
}

/// Completes at a time, if there is one.
async fn expiry_of<P: Runtime>(time: Option<Instant>) {
    match time {
        Some(time) => expiry::<P>(time).await,
        None => std::future::pending().await,
    }
}

/// Returns whether the server rejected the request without processing it.
pub(super) fn is_unprocessed<B>(response: &Response<B>) -> bool {
    matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && has_single_value(response.headers(), UNPROCESSED_HEADER, "1")
}

/// Returns whether the headers contain `Connection: close`.
fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Returns whether a header occurs exactly once, with this value.
fn has_single_value(headers: &HeaderMap, name: &str, expected: &str) -> bool {
    let mut values = headers.get_all(name).iter();
    values.next().is_some_and(|value| value == expected) && values.next().is_none()
}
