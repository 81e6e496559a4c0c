//! Client requests: validation, reading the body, and forwarding to the driver.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri, http};
use runtime::{Runtime, timeout};

use super::Ingress;
use super::connection::{ClientConnection, ClientDisconnected};
use super::phase::Phase;
use super::response::{ResponseParts, empty_response};
use crate::api::Micros;
use crate::settings::RetrySafety;
use crate::sidecar::body::{
    BodyError, BoxedBody, MinRateBody, STREAM_PREFIX_BYTES, STREAM_WINDOW_BYTES, buffered_length,
    reserved_bytes,
};
use crate::sidecar::config::stable_hash;
use crate::sidecar::deadline::{ClientTimeout, RequestDeadline};
use crate::sidecar::driver::{RequestHandle, RequestInfo, RequestOutcome};
use crate::sidecar::events::CloseReason;
use crate::sidecar::headers::{end_to_end_headers, request_head_bytes};
use crate::sidecar::memory::{MemoryReservation, MessageReservation, MessageSize};
use crate::sidecar::upload::Upload;
use crate::sidecar::upstream::{RequestClient, UpstreamRequest};

/// Headers that a request may contain only once: of several, a server might use another one than this sidecar.
const SINGLE_HEADERS: [&str; 4] =
    ["x-correlation-id", "idempotency-key", "x-time-left-ms", "x-account"];
/// The cookie with the affinity key of a request.
const KEY_COOKIE: &str = "k";

/// Error returned when a request gets no reply from the driver.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    /// The request is invalid or cannot be served. The client gets a response with this status.
    #[error("the request is rejected with status {0}")]
    Rejected(StatusCode),
    /// The client has disconnected.
    #[error(transparent)]
    Disconnected(#[from] ClientDisconnected),
}

/// The rejection of a request whose id another request has.
const ID_IN_USE: RequestError = RequestError::Rejected(StatusCode::CONFLICT);

/// The parsed head of a valid request.
struct ParsedRequest {
    info: RequestInfo,
    /// The id by which servers identify the request.
    correlation_id: String,
    retry_safety: RetrySafety,
    /// Whether the response may take longer than the client's timeout once it has begun.
    streams_response: bool,
}

/// The parts of the head of a request that are forwarded, in memory of their own: the client's head would keep the whole
/// buffer that it was read into.
struct ForwardedHead {
    method: Method,
    target: Uri,
    headers: HeaderMap,
}

impl ForwardedHead {
    fn new(received: &http::request::Parts) -> ForwardedHead {
        let target = received.uri.path_and_query();
        let target = target.and_then(|target| PathAndQuery::try_from(target.as_str()).ok());
        ForwardedHead {
            method: received.method.clone(),
            target: target.map(Uri::from).unwrap_or_default(),
            headers: end_to_end_headers(&received.headers),
        }
    }
}

/// The body of a request as far as it is read before the request is forwarded.
struct RequestBody {
    /// The whole body, or its first bytes if it is streamed.
    first: Bytes,
    /// The upload of the whole body; `None` if the body is not streamed.
    upload: Option<Rc<Upload>>,
}

impl<P: Runtime> Ingress<P> {
    /// The response to a health check of this sidecar; `None` if the request is no health check.
    pub(super) fn health_response(
        &self,
        request: &Request<Incoming>,
    ) -> Option<Response<ResponseParts>> {
        if request.method() != Method::GET {
            return None;
        }
        match request.uri().path() {
            "/health/ready" if self.is_ready() => Some(empty_response(StatusCode::OK)),
            "/health/ready" => Some(empty_response(StatusCode::SERVICE_UNAVAILABLE)),
            "/health/version" => Some(self.version_response()),
            _ => None,
        }
    }

    /// The response that describes the state of the sidecar.
    fn version_response(&self) -> Response<ResponseParts> {
        let first = serde_json::to_vec(&self.state()).unwrap_or_default().into();
        let mut response = Response::new(ResponseParts { first, ..ResponseParts::default() });
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }

    /// Forwards a request and returns the driver's reply.
    ///
    /// # Errors
    ///
    /// When the request is rejected, or the client has disconnected.
    pub(super) async fn forward(
        &self,
        connection: &Rc<ClientConnection<P>>,
        request: Request<Incoming>,
    ) -> Result<RequestOutcome, RequestError> {
        let (received_head, body) = request.into_parts();
        let ParsedRequest { mut info, correlation_id, retry_safety, streams_response } =
            self.parse(&received_head)?;
        connection.set_request_id(&correlation_id);
        let timeout = self.client_timeout(connection, info.class, info.time_left);
        let deadline = connection.start_deadline(timeout);
        if received_head.method == Method::GET && !body.is_end_stream() {
            return Err(RequestError::Rejected(StatusCode::BAD_REQUEST));
        }
        // Servers identify requests by their ids, so a second request with the id of one that is open or may still be in
        // progress would be taken for it.
        let client = Rc::downgrade(connection) as Weak<dyn RequestClient>;
        let receiving_id = self.request_ids.acquire(&correlation_id, retry_safety, client);
        let receiving_id = receiving_id.ok_or(ID_IN_USE)?;
        let head_bytes = request_head_bytes(&received_head.uri, &received_head.headers);
        let reservation = self.reserve_memory(connection, head_bytes, &body, &deadline).await?;
        let head = ForwardedHead::new(&received_head);
        // The client's head would keep the buffer that hyper reads into, which needs another one for the body then.
        drop(received_head);
        let RequestBody { first, upload } =
            self.receive_body(connection, body, reservation.body, &deadline).await?;
        // The client may have disconnected while the request waited to be accepted or for memory. An attempt would be
        // wasted then. `ClientConnection::unless_disconnected` describes the drawback.
        if connection.is_disconnected() {
            return Err(ClientDisconnected.into());
        }
        let id_guard = receiving_id.forward(retry_safety).ok_or(ID_IN_USE)?;
        let is_streamed = upload.is_some();
        connection.enter(if is_streamed {
            Phase::StreamingRequest
        } else {
            Phase::AwaitingResponse
        });
        let message = UpstreamRequest {
            retry_safety,
            method: head.method,
            target: head.target,
            headers: head.headers,
            head_bytes,
            head_reservation: reservation.head,
            body: first,
            upload: upload.clone(),
            deadline: Some(deadline.clone()),
            copies: Cell::new(0),
            end: Rc::default(),
            client: Some(connection.clone()),
        };
        let (class, started) = (info.class, P::now());
        info.time_left = deadline.time_left(started);
        let mut handle = self.driver.submit(info, message);
        let reply = await_reply(connection, &mut handle, upload).await?;
        if matches!(reply, RequestOutcome::Rejected { .. }) {
            id_guard.rejected();
        }
        if streams_response {
            connection.lift_deadline();
        }
        log_completed(connection, class, &reply, handle.attempt_count(), P::elapsed_since(started));
        Ok(reply)
    }

    /// The time for which the client of a request waits, who has given `left`. It is limited by the class's deadline, as a
    /// client could otherwise claim to wait for weeks and keep its request in memory for as long, and by the deadline of
    /// a graceful shutdown.
    fn client_timeout(
        &self,
        connection: &ClientConnection<P>,
        class: usize,
        left: Duration,
    ) -> ClientTimeout {
        let limit = self.live.deadline(class);
        let until_exit = |deadline: Instant| deadline.saturating_duration_since(P::now());
        let limit = self.shutdown_deadline.get().map_or(limit, |exit| limit.min(until_exit(exit)));
        let certain = left.saturating_sub(connection.request_accept_delay());
        ClientTimeout { stated: left.min(limit), certain: certain.min(limit) }
    }

    /// Reads a short body completely, or fills the buffer from a long one, whose rest is streamed. The body uses the memory
    /// of `reservation`.
    ///
    /// # Errors
    ///
    /// When the client has disconnected.
    async fn receive_body(
        &self,
        connection: &Rc<ClientConnection<P>>,
        body: Incoming,
        reservation: MemoryReservation,
        deadline: &RequestDeadline,
    ) -> Result<RequestBody, RequestError> {
        if body.is_end_stream() {
            return Ok(RequestBody { first: Bytes::new(), upload: None });
        }
        let length = body.size_hint().exact();
        let buffered = buffered_length(&body);
        let first = BytesMut::with_capacity(buffered.unwrap_or(STREAM_PREFIX_BYTES));
        let min_bytes = buffered.unwrap_or(STREAM_WINDOW_BYTES);
        let (first, rest) = read_prefix(first, body, min_bytes).await?;
        let first = reservation.attach(first);
        let upload = rest.map(|rest| {
            let remaining = self.live.max_body_bytes().saturating_sub(first.len()) as u64;
            let source: BoxedBody = Box::pin(StreamedRequestBody {
                body: MinRateBody::<P>::from_client(rest, remaining, reservation),
                connection: connection.clone(),
            });
            Upload::new::<P>(first.clone(), source, length, deadline.clone())
        });
        Ok(RequestBody { first, upload })
    }

    /// Reserves memory for a request, waiting until its time is up.
    ///
    /// It is reserved before the body is read. If it were reserved as bytes arrive, clients that send at the same time
    /// could together exceed the budget.
    ///
    /// # Errors
    ///
    /// When the client has disconnected, or the request's time ends before memory is available. Nothing was sent to a
    /// server then, so the client may retry.
    async fn reserve_memory(
        &self,
        connection: &ClientConnection<P>,
        head_bytes: usize,
        body: &Incoming,
        deadline: &RequestDeadline,
    ) -> Result<MessageReservation, RequestError> {
        connection.heads.record(head_bytes);
        let size = MessageSize {
            head_excess: self.message_memory.excess_of_head(head_bytes),
            body: reserved_bytes(body),
        };
        if size.is_empty() {
            return Ok(MessageReservation::default());
        }
        let requested = P::now();
        let time_left = deadline.time_left(requested);
        let reserving = timeout::<P, _>(time_left, self.message_memory.requests.reserve(size));
        connection.await_memory();
        let Ok(reservation) = connection.unless_disconnected(reserving).await? else {
            let bytes = size.total();
            tracing::warn!(bytes, "no memory for a request body within the time of the request");
            return Err(RequestError::Rejected(StatusCode::SERVICE_UNAVAILABLE));
        };
        connection.resume_request(P::elapsed_since(requested));
        connection.heads.keep(reservation.head.clone());
        Ok(reservation)
    }

    /// Validates the head of a request and extracts the information for the driver.
    fn parse(&self, head: &http::request::Parts) -> Result<ParsedRequest, RequestError> {
        const BAD_REQUEST: RequestError = RequestError::Rejected(StatusCode::BAD_REQUEST);
        let text = |name| header_text(&head.headers, name);
        let name = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let names = self.live.names();
        let class = names.classes.get(name);
        let class = class.ok_or(RequestError::Rejected(StatusCode::NOT_FOUND))?;
        let has_key = text("idempotency-key")?.is_some();
        match (class.retry_safety, &head.method) {
            (RetrySafety::Idempotent, &Method::GET)
            | (RetrySafety::IdempotencyKey | RetrySafety::NonIdempotent, &Method::POST) => {}
            _ => return Err(RequestError::Rejected(StatusCode::METHOD_NOT_ALLOWED)),
        }
        if class.retry_safety != RetrySafety::Idempotent
            && has_key != (class.retry_safety == RetrySafety::IdempotencyKey)
        {
            return Err(BAD_REQUEST);
        }
        let correlation_id = text("x-correlation-id")?.filter(|id| !id.is_empty());
        let correlation_id = correlation_id.ok_or(BAD_REQUEST)?;
        let repeated = |name: &&str| head.headers.get_all(*name).iter().nth(1).is_some();
        if SINGLE_HEADERS.iter().any(repeated) {
            return Err(BAD_REQUEST);
        }
        let tenant = match text("x-account")? {
            _ if names.tenants.is_empty() => 0,
            name => *name.and_then(|name| names.tenants.get(name)).ok_or(BAD_REQUEST)?,
        };
        let left_ms = text("x-time-left-ms")?.and_then(|value| value.parse::<u32>().ok());
        let left_ms = left_ms.ok_or(BAD_REQUEST)?;
        let info = RequestInfo {
            class: class.index,
            tenant,
            affinity_key: affinity_key(&head.headers).unwrap_or(0),
            time_left: Duration::from_millis(left_ms.into()),
            work_hint: text("x-weight-hint")?.and_then(|value| value.parse::<Micros>().ok()),
            client_retry: text("x-repeat")? == Some("1"),
        };
        Ok(ParsedRequest {
            info,
            correlation_id: correlation_id.to_owned(),
            retry_safety: class.retry_safety,
            streams_response: class.streams_response,
        })
    }
}

fn log_completed<P: Runtime>(
    connection: &ClientConnection<P>,
    class: usize,
    reply: &RequestOutcome,
    attempts: usize,
    took: Duration,
) {
    tracing::debug!(
        request = connection.last_request(),
        connection = connection.number(),
        class,
        answer = reply.name(),
        attempts,
        took_us = took.as_micros() as u64,
        "request completed"
    );
}

/// Waits for the reply and, with a streamed body, for the rest of the upload.
async fn await_reply<P: Runtime>(
    connection: &ClientConnection<P>,
    handle: &mut RequestHandle<P>,
    upload: Option<Rc<Upload>>,
) -> Result<RequestOutcome, ClientDisconnected> {
    match upload {
        // hyper can find the end of a chunked body before all input is read. Unread input would hide a disconnect that
        // follows it.
        None if !connection.has_complete_request() => {
            connection.unless_disconnected(handle.outcome()).await
        }
        None => Ok(handle.outcome().await),
        Some(upload) => {
            let reply = connection.unless_disconnected(handle.outcome()).await?;
            // A client that has stopped sending gets its response without the rest of its body.
            let drained = connection.unless_stalled(upload.drain()).await;
            drained.unwrap_or(Ok(())).map_err(|_: BodyError| ClientDisconnected)?;
            Ok(reply)
        }
    }
}

/// The trimmed value of a header; `None` if the request lacks it.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let value = headers.get(name).map(|value| value.to_str().map(str::trim)).transpose();
    value.map_err(|_| RequestError::Rejected(StatusCode::BAD_REQUEST))
}

/// The affinity key in the cookies of a request.
fn affinity_key(headers: &HeaderMap) -> Option<u64> {
    headers.get_all(header::COOKIE).iter().find_map(affinity_key_of_cookie)
}

fn affinity_key_of_cookie(cookies: &HeaderValue) -> Option<u64> {
    let pairs = cookies.to_str().ok()?.split(';').filter_map(|pair| pair.split_once('='));
    let mut keys = pairs.filter(|(name, _)| name.trim() == KEY_COOKIE);
    let value = keys.next()?.1.trim();
    Some(u64::from_str_radix(value, 16).unwrap_or_else(|_| stable_hash(value.as_bytes())))
}

/// Reads a body completely into `first` or, if it is longer than `min_bytes`, at least that many bytes of it, and returns
/// the rest of the body unread.
///
/// The bytes are copied into one buffer, because a body that arrives byte by byte would take many times its size if
/// its chunks were kept as they arrive.
async fn read_prefix(
    mut first: BytesMut,
    mut body: Incoming,
    min_bytes: usize,
) -> Result<(BytesMut, Option<Incoming>), ClientDisconnected> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| ClientDisconnected)?.into_data() else { continue };
        first.extend_from_slice(&data);
        if first.len() >= min_bytes && !body.is_end_stream() {
            return Ok((first, Some(body)));
        }
    }
    Ok((first, None))
}

/// The rest of a long request body. It notifies its connection when the body has ended or failed.
struct StreamedRequestBody<P: Runtime> {
    body: MinRateBody<P>,
    connection: Rc<ClientConnection<P>>,
}

impl<P: Runtime> Body for StreamedRequestBody<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            None => self.connection.enter(Phase::AwaitingResponse),
            // The connection cannot be used for another request.
            Some(Err(_)) => self.connection.request_close(CloseReason::BodyFailed),
            Some(Ok(_)) if self.body.is_end_stream() => {
                self.connection.enter(Phase::AwaitingResponse);
            }
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
