//! The task of one client connection: hyper's side of it, its timeouts and its end.

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

use super::connection::{ClientConnection, ClientDisconnected, Unanswered};
use super::phase::Phase;
use super::request::RequestError;
use super::response::{ResponseBody, ResponseParts, empty_response, reply_response};
use super::{DRAIN_PROPAGATION_DELAY, Ingress};
use crate::sidecar::budget::SocketPermit;
use crate::sidecar::events::CloseReason;
use crate::sidecar::framing::MAX_HEAD_BYTES;
use crate::sidecar::invariants::Violation;

/// How long, and how far, a closing connection is read on, so that what the client still sends does
/// not reset the connection before it has read its response.
const LINGER_TIME: Duration = Duration::from_millis(500);
const LINGER_MAX_BYTES: usize = 256 << 10;

/// The most connections of which the end of the process is logged one by one.
const MAX_LOGGED_AT_EXIT: usize = 16;

/// How serving requests on a connection has ended.
struct ConnectionEnd {
    /// The client has all of its responses, and the connection can be closed in order.
    responded: bool,
    reason: CloseReason,
}

impl<P: Runtime> Ingress<P> {
    /// Serves one connection up to its end.
    pub(super) async fn serve_connection(
        self: Rc<Ingress<P>>,
        connection: Rc<ClientConnection<P>>,
        socket: Rc<P::Tcp>,
        permit: SocketPermit,
    ) {
        // A connection that is broken already shows when it is read.
        let _ = socket.set_nodelay();
        let ConnectionEnd { responded, reason } = self.serve_requests(&connection, &socket).await;
        self.record_end(&connection, reason);
        // Also where hyper has closed its side in order: it never saw what is faulty.
        let rejected = reject_unframed(&connection, &*socket);
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
                // A response that is cut short must not look complete to anyone.
                socket.reset_on_close();
            }
        }
        self.connections.borrow_mut().remove(&connection.number());
        drop(socket);
        drop(permit);
        self.place_freed.notify_one();
    }

    /// Counts and logs how serving requests on a connection has ended.
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

    /// Counts and logs a close that leaves input of a client without a response.
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

    /// Counts and logs what the end of the process leaves unanswered. `queue_is_open`: connections may wait in the
    /// listener's queue, which ends with it.
    pub fn record_exit(&self, queue_is_open: bool) {
        let connections = self.connections.borrow();
        let unanswered = || connections.values().filter(|c| c.unanswered().is_some());
        let count = unanswered().count();
        if count > 0 || queue_is_open {
            tracing::warn!(
                unanswered = count,
                queue_is_open,
                "process ends before all is answered"
            );
        }
        for connection in unanswered().take(MAX_LOGGED_AT_EXIT) {
            self.record_unanswered(connection, CloseReason::Draining);
        }
    }

    /// Counts and logs input that came when its connection had been ended.
    fn record_late_input(&self, connection: &ClientConnection<P>, reason: CloseReason) {
        self.status.events.record_late_input();
        tracing::debug!(
            connection = connection.number(),
            %reason,
            idle_ms = connection.time_in_phase().as_millis() as u64,
            last_request = connection.last_request(),
            "input came after the end of its client connection"
        );
    }

    /// Has hyper serve requests until the connection ends.
    async fn serve_requests(
        self: &Rc<Ingress<P>>,
        connection: &Rc<ClientConnection<P>>,
        socket: &Rc<P::Tcp>,
    ) -> ConnectionEnd {
        let io = TokioIo::new(Stream::new(socket.clone(), connection.clone()));
        let service =
            service_fn(|request| self.clone().handle_request(connection.clone(), request));
        // What is in progress ends with hyper's connection, so a request that times out here is not
        // answered a second time.
        let mut http = Box::pin(
            http1::Builder::new()
                .max_buf_size(MAX_HEAD_BYTES)
                .header_read_timeout(None)
                // hyper would take the system's time, whatever the platform's is.
                .auto_date_header(false)
                .serve_connection(io, service),
        );
        tokio::select! {
            biased;
            ended = http.as_mut() => match ended {
                Ok(()) => ConnectionEnd { responded: true, reason: CloseReason::Finished },
                Err(error) => {
                    tracing::debug!(%error, "client connection broke");
                    ConnectionEnd { responded: error.is_parse(), reason: CloseReason::Broken }
                }
            },
            reason = self.close_allowed(connection) => end_early(connection, socket, reason),
            () = connection.timed_out() => end_early(connection, socket, CloseReason::TimedOut),
        }
    }

    /// Completes when the connection is to be closed, and may be.
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

    /// Responds to one request.
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
        if self.is_last_response(&connection, response.status()) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response.headers_mut().entry(header::DATE).or_insert_with(|| self.date.header::<P>());
        connection.start_response();
        let (head, ResponseParts { first, rest, reservation }) = response.into_parts();
        let body = ResponseBody::new(Full::new(first), rest, connection, reservation);
        Ok(Response::from_parts(head, body))
    }

    /// Whether the connection ends with this response.
    ///
    /// What a client sends once it was told that something is wrong with its request cannot be
    /// relied upon; and where only hyper saw a body's end, what follows was not checked. Neither
    /// goes on on the same connection.
    fn is_last_response(&self, connection: &ClientConnection<P>, status: StatusCode) -> bool {
        let unusable = !status.is_success() && connection.phase() != Phase::AwaitingResponse;
        let leaving = self.shutdown_deadline.get().is_some()
            || self.drained_for().is_some_and(|time| time >= DRAIN_PROPAGATION_DELAY);
        leaving || unusable || !connection.has_complete_request()
    }
}

/// Ends a connection whose client has more to say or to read.
///
/// Of a request that was received in part the rest may be on its way: its client is told that nothing
/// will come of it.
fn end_early<P: Runtime>(
    connection: &ClientConnection<P>,
    socket: &P::Tcp,
    reason: CloseReason,
) -> ConnectionEnd {
    let status = match reason {
        CloseReason::Evicted | CloseReason::Draining => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::REQUEST_TIMEOUT,
    };
    let is_partial =
        matches!(connection.phase(), Phase::ReceivingRequest | Phase::StreamingRequest);
    ConnectionEnd { responded: is_partial && reject(connection, socket, status), reason }
}

/// Rejects a request whose framing is faulty, if it can still be told so. True: it was.
fn reject_unframed<P: Runtime>(connection: &ClientConnection<P>, socket: &P::Tcp) -> bool {
    connection.framing_error().is_some_and(|error| {
        matches!(
            connection.phase(),
            Phase::ReceivingRequest | Phase::StreamingRequest | Phase::AwaitingResponse
        ) && reject(connection, socket, error.status())
    })
}

/// Writes a response in hyper's place, to a request that hyper is not to see or will not see
/// completely. To be used only while nothing of a response has been written. True: it is written.
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
