//! The task of one client connection: serving requests with hyper, timeouts, and the close.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use runtime::{Runtime, Stream, Tcp, lingering_close};

use super::connection::{ClientConnection, ClientDisconnected, ResponseCut, Unanswered};
use super::phase::Phase;
use super::request::RequestError;
use super::response::{ResponseBody, ResponseParts, empty_response, reply_response};
use super::{DRAIN_PROPAGATION_DELAY, Ingress};
use crate::sidecar::budget::SocketPermit;
use crate::sidecar::events::{CloseReason, CutReason};
use crate::sidecar::framing::MAX_HEAD_BYTES;
use crate::sidecar::invariants::Violation;

/// Limits for reading and discarding input of a closing connection. Input that is left unread would reset the
/// connection before the client has read its response.
const LINGER_TIME: Duration = Duration::from_millis(500);
const LINGER_MAX_BYTES: usize = 256 << 10;

/// Maximum number of unanswered connections that are logged one by one when the process exits.
const MAX_LOGGED_AT_EXIT: usize = 16;

/// The end of serving requests on a connection.
struct ConnectionEnd {
    /// All responses have been written, so the connection can be closed gracefully.
    responded: bool,
    reason: CloseReason,
    /// The response that the end cuts off, if any.
    cut: Option<ResponseCut>,
}

impl<P: Runtime> Ingress<P> {
    /// Serves one connection until it is closed.
    pub(super) async fn serve_connection(
        self: Rc<Ingress<P>>,
        connection: Rc<ClientConnection<P>>,
        socket: Rc<P::Tcp>,
        permit: SocketPermit,
    ) {
        // If this fails, the connection is broken, and the first read reports it.
        let _ = socket.set_nodelay();
        let ConnectionEnd { responded, reason, cut } =
            self.serve_requests(&connection, &socket).await;
        self.record_end(&connection, reason);
        if let Some(cut) = cut {
            self.record_cut(&connection, cut);
        }
        // Applies also if hyper has closed its side gracefully, since hyper never got the faulty input.
        let rejected = reject_framing_error(&connection, &*socket);
        if responded || rejected {
            connection.enter(Phase::Lingering);
            tokio::select! {
                biased;
                () = lingering_close::<P>(&socket, LINGER_TIME, LINGER_MAX_BYTES) => {}
                _ = connection.close_requested() => {}
            }
        } else {
            self.record_unanswered(&connection, reason);
            if connection.phase().is_busy() {
                // A reset shows the client that the response is truncated.
                socket.reset_on_close();
            }
        }
        self.connections.borrow_mut().remove(&connection.number());
        drop(socket);
        drop(permit);
        self.connection_ended.notify_one();
    }

    /// Counts and logs the end of serving requests on a connection.
    fn record_end(&self, connection: &ClientConnection<P>, reason: CloseReason) {
        self.status.events.record_close(reason);
        tracing::debug!(
            connection = connection.number(),
            %reason,
            phase = ?connection.phase(),
            idle_ms = connection.time_in_phase().as_millis() as u64,
            last_request = connection.last_request(),
            "client connection ends"
        );
    }

    /// Counts and logs a response that ends before its client has all of it.
    fn record_cut(&self, connection: &ClientConnection<P>, cut: ResponseCut) {
        const MESSAGE: &str = "response cut off";
        self.status.events.record_cut(cut.reason);
        let (number, request) = (connection.number(), connection.last_request());
        let ResponseCut { reason, sent_bytes, .. } = cut;
        let after_ms = cut.after.as_millis() as u64;
        let overdue_ms = cut.overdue.map(|overdue| overdue.as_millis() as u64);
        let received_bytes = cut.progress.map(|progress| progress.received_bytes);
        let body_end = cut.progress.map(|progress| tracing::field::display(progress.body_end));
        let announced_bytes = cut.progress.and_then(|progress| progress.announced_bytes());
        let error = cut.error.map(tracing::field::display);
        let pause_ms = cut.progress.map(|progress| progress.pause.as_millis() as u64);
        if reason == CutReason::ClientLeft {
            tracing::debug!(connection = number, request, %reason, sent_bytes, after_ms, overdue_ms, received_bytes, announced_bytes, body_end, pause_ms, error, "{MESSAGE}");
        } else {
            tracing::info!(connection = number, request, %reason, sent_bytes, after_ms, overdue_ms, received_bytes, announced_bytes, body_end, pause_ms, error, "{MESSAGE}");
        }
    }

    /// Counts and logs a close that leaves client input without a response.
    fn record_unanswered(&self, connection: &ClientConnection<P>, reason: CloseReason) {
        let Some(unanswered) = connection.unanswered() else { return };
        if unanswered == Unanswered::AfterEnd {
            return self.record_late_input(connection, reason);
        }
        self.status.events.record_unanswered(reason);
        tracing::warn!(
            connection = connection.number(),
            %reason,
            input = unanswered.name(),
            idle_ms = connection.time_in_phase().as_millis() as u64,
            last_request = connection.last_request(),
            "client connection closed with a request unanswered"
        );
        if connection.phase() == Phase::AwaitingResponse {
            let subject = format!("connection {}, {reason}", connection.number());
            self.status.events.record_violation(Violation::UnansweredClose, &subject);
        }
    }

    /// Counts and logs the input that stays unanswered when the process exits. `queue_is_open` means that connections
    /// may still wait in the listener's queue, and are reset with it.
    pub fn record_exit(&self, queue_is_open: bool) {
        let connections = self.connections.borrow();
        let unanswered = || connections.values().filter(|c| c.unanswered().is_some());
        let count = unanswered().count();
        if count > 0 || queue_is_open {
            tracing::warn!(
                unanswered = count,
                queue_is_open,
                "process exits before all client input is answered"
            );
        }
        for connection in unanswered().take(MAX_LOGGED_AT_EXIT) {
            self.record_unanswered(connection, CloseReason::Draining);
        }
        for connection in connections.values() {
            if let Some(cut) = connection.cut(CloseReason::Draining) {
                self.record_cut(connection, cut);
            }
        }
    }

    /// Counts and logs input that arrived after its connection had been shut down.
    fn record_late_input(&self, connection: &ClientConnection<P>, reason: CloseReason) {
        self.status.events.record_late_input();
        tracing::debug!(
            connection = connection.number(),
            %reason,
            idle_ms = connection.time_in_phase().as_millis() as u64,
            last_request = connection.last_request(),
            "input arrived after the shutdown of its client connection"
        );
    }

    /// Serves requests with hyper until the connection ends.
    async fn serve_requests(
        self: &Rc<Ingress<P>>,
        connection: &Rc<ClientConnection<P>>,
        socket: &Rc<P::Tcp>,
    ) -> ConnectionEnd {
        let io = TokioIo::new(Stream::new(socket.clone(), connection.clone()));
        let service =
            service_fn(|request| self.clone().handle_request(connection.clone(), request));
        // Dropping hyper's connection cancels its request in progress, so a request that times out here cannot get a
        // second response.
        let mut http = Box::pin(
            http1::Builder::new()
                .max_buf_size(MAX_HEAD_BYTES)
                .header_read_timeout(None)
                // hyper would use the system clock, not the clock of the runtime.
                .auto_date_header(false)
                .serve_connection(io, service),
        );
        tokio::select! {
            biased;
            ended = http.as_mut() => match ended {
                Ok(()) => {
                    ConnectionEnd { responded: true, reason: CloseReason::Finished, cut: None }
                }
                Err(error) => {
                    tracing::debug!(%error, "client connection failed");
                    let reason = CloseReason::Broken;
                    let cut = connection.cut(reason);
                    ConnectionEnd { responded: error.is_parse(), reason, cut }
                }
            },
            reason = self.close_allowed(connection) => end_early(connection, socket, reason),
            () = connection.timed_out() => end_early(connection, socket, CloseReason::TimedOut),
        }
    }

    /// Completes when a close of the connection is requested and allowed.
    async fn close_allowed(&self, connection: &ClientConnection<P>) -> CloseReason {
        loop {
            let reason = connection.close_requested().await;
            if connection.try_close(reason) {
                return reason;
            }
            self.status.events.record_withdrawn_close();
            tracing::debug!(
                connection = connection.number(),
                %reason,
                phase = ?connection.phase(),
                "close of a client connection withdrawn"
            );
        }
    }

    /// Produces the response to one request.
    ///
    /// # Errors
    ///
    /// When the client has disconnected.
    async fn handle_request(
        self: Rc<Ingress<P>>,
        connection: Rc<ClientConnection<P>>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody<P>>, ClientDisconnected> {
        connection.start_request();
        let mut response = match self.health_response(&request) {
            Some(response) => response,
            None => match self.forward(&connection, request).await {
                Ok(reply) => reply_response(reply),
                Err(RequestError::Rejected(status)) => {
                    tracing::debug!(
                        connection = connection.number(),
                        request = connection.last_request(),
                        status = status.as_u16(),
                        "request rejected without an attempt"
                    );
                    empty_response(status)
                }
                Err(RequestError::Disconnected(error)) => return Err(error),
            },
        };
        let head_memory = std::mem::take(&mut response.body_mut().head_memory);
        connection.heads.record(head_memory.bytes);
        connection.heads.keep(head_memory.reservation);
        if self.is_last_response(&connection, response.status()) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response.headers_mut().entry(header::DATE).or_insert_with(|| self.date.header::<P>());
        let (head, ResponseParts { first, rest, .. }) = response.into_parts();
        connection.start_response(rest.as_ref().map(|rest| rest.pace.clone()));
        let rest = rest.map(|rest| rest.body);
        let body = ResponseBody::new(Full::new(first), rest, connection);
        Ok(Response::from_parts(head, body))
    }

    /// Whether the connection is closed after this response.
    ///
    /// It is closed after an error that concerns the request itself, because later input of that client
    /// cannot be relied on, after a request whose body end only hyper has found, because the input after it has not
    /// been checked, and after a long head, because hyper keeps its buffers. It is also closed while there are more
    /// connections than there is memory for.
    fn is_last_response(&self, connection: &ClientConnection<P>, status: StatusCode) -> bool {
        let unusable = !status.is_success() && connection.phase() != Phase::AwaitingResponse;
        let draining = self.shutdown_deadline.get().is_some()
            || self.drained_for().is_some_and(|time| time >= DRAIN_PROPAGATION_DELAY);
        let has_long_head = connection.heads.has_carried_long(&self.message_memory);
        let is_surplus = self.socket_budget.clients.has_surplus();
        draining || unusable || has_long_head || is_surplus || !connection.has_complete_request()
    }
}

/// Ends a connection before its client has sent or received everything.
///
/// The rest of a request that was received in part may be on its way, so its client gets an error response.
fn end_early<P: Runtime>(
    connection: &ClientConnection<P>,
    socket: &P::Tcp,
    reason: CloseReason,
) -> ConnectionEnd {
    let status = match reason {
        CloseReason::Evicted | CloseReason::Draining => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::REQUEST_TIMEOUT,
    };
    let cut = connection.cut(reason);
    let is_partial = connection.phase().is_partial_request();
    ConnectionEnd { responded: is_partial && reject(connection, socket, status), reason, cut }
}

/// Rejects a request with a framing error, if a response can still be written. Returns whether it was.
fn reject_framing_error<P: Runtime>(connection: &ClientConnection<P>, socket: &P::Tcp) -> bool {
    connection.framing_error().is_some_and(|error| {
        let phase = connection.phase();
        (phase.is_partial_request() || phase == Phase::AwaitingResponse)
            && reject(connection, socket, error.status())
    })
}

/// Writes an error response directly to the socket, for a request that hyper does not get completely. May be called
/// only while no part of a response has been written. Returns whether the response was written.
fn reject<P: Runtime>(
    connection: &ClientConnection<P>,
    socket: &P::Tcp,
    status: StatusCode,
) -> bool {
    tracing::debug!(
        connection = connection.number(),
        status = status.as_u16(),
        phase = ?connection.phase(),
        "incomplete request rejected"
    );
    connection.enter(Phase::Responding);
    let text = format!(
        "HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        status.as_str(),
        status.canonical_reason().unwrap_or_default()
    );
    let written = socket.try_write(text.as_bytes()).is_ok_and(|n| n == text.len());
    connection.enter(Phase::Lingering);
    written
}
