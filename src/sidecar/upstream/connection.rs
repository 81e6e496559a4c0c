//! A connection to a server.

use std::cell::Cell;
use std::fmt::{self, Display, Formatter};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use runtime::{Observer, Runtime, Stream, TaskHandle, Tcp};

use super::close_reason::CloseReason;
use super::desync::{
    LaterResponse, MAX_REQUESTS, QUIET_PERIOD, ReceivedBody, RecentBodies, ResponseHistory,
    SuspectedDesync,
};
use super::observer::ExchangeObserver;
use super::request::RequestBody;
use crate::sidecar::budget::SocketPermit;
use crate::sidecar::framing::{BodyEnd, MAX_HEAD_BYTES};
use crate::sidecar::memory::HeadMemory;
use crate::sidecar::response_end::{EndState, LengthFacts};

/// The idle time from which a connection is checked before a non-idempotent request is sent on it in full: the server
/// may have reset it without the sidecar having noticed.
const MIN_IDLE_FOR_STALE_CHECK: Duration = Duration::from_millis(50);
/// The duration of a stale check, as a multiple of the time that connecting took. A reset arrives within one round
/// trip.
const STALE_CHECK_ROUND_TRIPS: u32 = 4;
/// Lower bound of the duration of a stale check.
const MIN_STALE_CHECK: Duration = Duration::from_millis(1);
/// Upper bound of the duration of a stale check.
const MAX_STALE_CHECK: Duration = Duration::from_millis(4);

/// The number of bytes behind a response that are read at once, enough for a head that is compared.
const MAX_SURPLUS_READ_BYTES: usize = 512;

/// Describes the connection of an attempt and its earlier use, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// The serial number of the connection in this process.
    pub connection: u64,
    /// Number of requests that the connection had carried before.
    pub earlier_requests: u32,
    /// The time that the connection had been idle.
    pub idle: Duration,
    /// Time from the last byte of the request to the start of the response, or `None` without a response.
    pub response_delay: Option<Duration>,
}

impl Display for ConnectionUse {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let ConnectionUse { connection, earlier_requests, idle, response_delay } = self;
        write!(f, "connection {connection} after {earlier_requests} requests, idle {idle:?}")?;
        match response_delay {
            Some(delay) => write!(f, ", response after {delay:?}"),
            None => write!(f, ", no response"),
        }
    }
}

/// A connection to a server, closed on drop.
pub(super) struct Connection<P: Runtime> {
    pub(super) sender: SendRequest<RequestBody<P>>,
    pub(super) observer: Rc<ExchangeObserver<P>>,
    pub(super) address: SocketAddr,
    /// The serial number of the connection in this process.
    number: u64,
    /// Number of completed requests on the connection.
    earlier_requests: u32,
    /// The time at which the connection last became idle, or was established.
    pub(super) idle_since: Instant,
    /// Time from the last request to the start of its response, if the response had status 200.
    last_response_delay: Option<Duration>,
    /// Bodies of the responses that the connection has carried.
    earlier_bodies: RecentBodies,
    /// Whether a sync check was made on the connection. The response to a second one could be a copy of the first.
    pub(super) is_sync_checked: bool,
    /// The memory of the heads that the connection has carried.
    pub(super) heads: HeadMemory,
    /// The server's response history, shared by all of its connections.
    pub(super) history: Rc<ResponseHistory>,
    close_reason: Cell<CloseReason>,
    socket: Rc<P::Tcp>,
    connection_task: P::TaskHandle,
    /// The time that connecting took, an estimate of the round-trip time.
    round_trip: Duration,
}

impl<P: Runtime> Connection<P> {
    /// Starts HTTP/1.1 on `socket`, which connected to `address` within `round_trip`. Returns `None` on failure.
    ///
    /// `permit` is released when the connection ends.
    pub(super) async fn start(
        number: u64,
        socket: P::Tcp,
        address: SocketAddr,
        round_trip: Duration,
        observer: ExchangeObserver<P>,
        history: Rc<ResponseHistory>,
        permit: SocketPermit,
    ) -> Option<Connection<P>> {
        socket.set_nodelay().ok()?;
        let socket = Rc::new(socket);
        let observer = Rc::new(observer);
        let io = TokioIo::new(Stream::new(socket.clone(), observer.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).allow_obsolete_multiline_headers_in_responses(true);
        let (sender, connection) = builder.handshake(io).await.ok()?;
        let connection_task = P::spawn(async move {
            let _permit = permit;
            // The attempt that uses the connection sees the error.
            let _ = connection.await;
        });
        Some(Connection {
            sender,
            observer,
            address,
            number,
            earlier_requests: 0,
            idle_since: P::now(),
            last_response_delay: None,
            earlier_bodies: RecentBodies::default(),
            is_sync_checked: false,
            heads: HeadMemory::default(),
            history,
            close_reason: Cell::default(),
            socket,
            connection_task,
            round_trip,
        })
    }

    /// Returns whether the server has neither closed the connection nor sent unexpected bytes.
    ///
    /// The socket is checked too, as hyper's connection task sees a close only when it runs next.
    pub(super) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.observer.is_clean() && self.socket.is_idle()
    }

    /// Returns whether the connection has carried a request.
    ///
    /// If so, the server may have closed it without the sidecar having noticed, and bytes that belong to an earlier
    /// request may still arrive.
    pub(super) fn is_used(&self) -> bool {
        self.earlier_requests > 0
    }

    /// Returns whether the connection may carry another request: up to this limit, a copy of any of its responses is
    /// recognized by its body.
    pub(super) fn is_below_request_limit(&self) -> bool {
        self.earlier_requests < MAX_REQUESTS
    }

    /// Returns whether the connection has been idle for long enough to be reused, or has not carried a request yet.
    pub(super) fn is_past_quiet_period(&self) -> bool {
        !self.is_used() || P::elapsed_since(self.idle_since) >= QUIET_PERIOD
    }

    /// Records that a response has ended and that the connection is idle.
    pub(super) fn end_response(&mut self) {
        self.idle_since = P::now();
        self.earlier_requests += 1;
        let has_served = self.observer.response_facts().status == Some(StatusCode::OK.as_u16());
        self.last_response_delay = self.observer.response_delay().filter(|_| has_served);
    }

    /// Records that the connection is reused and that no bytes followed its last response.
    pub(super) fn record_clean_reuse(&self) {
        if let Some(delay) = self.last_response_delay {
            self.history.record_response(delay);
        }
    }

    /// Checks whether a response with this body answers the last request.
    ///
    /// # Errors
    ///
    /// Returns the sign of a desync.
    pub(super) fn check_body(&mut self, body: ReceivedBody) -> Result<(), SuspectedDesync> {
        let delay = self.observer.response_delay().unwrap_or_default();
        let result = if self.is_used() {
            let response = LaterResponse {
                in_turn: self.observer.is_clean(),
                delay,
                body,
                earlier_bodies: &self.earlier_bodies,
            };
            self.history.check_response(response)
        } else {
            self.history.record_response(delay);
            Ok(())
        };
        self.earlier_bodies.record(body);
        result
    }

    /// Returns how the last response has arrived, whose head announces its length, or `None` if it announces none.
    pub(super) fn length_facts(&self, closes_connection: bool) -> Option<LengthFacts> {
        let BodyEnd::Length(length) = self.observer.body_end() else { return None };
        Some(LengthFacts {
            length,
            in_pieces: self.observer.has_response_paused() || self.socket.has_unread(),
            lengths_doubted: self.history.doubts_lengths(P::now()),
            closes_connection,
        })
    }

    /// Returns what the bytes behind the last response tell of its end.
    pub(super) fn known_end(&self) -> EndState {
        if self.observer.may_be_cut_short() {
            EndState::Surplus
        } else if self.observer.is_followed_by_copy() {
            EndState::Whole
        } else {
            EndState::Unknown
        }
    }

    /// Reads what has come behind a response, as far as hyper has not read it. Returns whether the connection has ended.
    pub(super) fn read_behind_response(&self) -> bool {
        let mut buffer = [0; MAX_SURPLUS_READ_BYTES];
        match self.socket.try_read(&mut buffer) {
            Ok(0) => true,
            Ok(length) => {
                // The observer keeps what it has seen, and nothing else reads these bytes.
                let _ = self.observer.on_read(&buffer[..length]);
                false
            }
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::OutOfMemory),
        }
    }

    /// Sets the reason to log when the connection is closed.
    pub(super) fn set_close_reason(&self, reason: CloseReason) {
        self.close_reason.set(reason);
    }

    /// Closes the connection and logs the reason.
    pub(super) fn close(self, reason: CloseReason) {
        self.set_close_reason(reason);
    }

    /// Describes the connection for the request that is about to be sent.
    pub(super) fn describe_next_use(&self) -> ConnectionUse {
        ConnectionUse {
            connection: self.number,
            earlier_requests: self.earlier_requests,
            idle: P::elapsed_since(self.idle_since),
            response_delay: None,
        }
    }

    /// Returns how long to hold back the last byte of a request as a stale check, or `None` if the connection was not
    /// idle for long enough to need one.
    pub(super) fn stale_check_duration(&self) -> Option<Duration> {
        let needs_check = P::elapsed_since(self.idle_since) >= MIN_IDLE_FOR_STALE_CHECK;
        let duration =
            (self.round_trip * STALE_CHECK_ROUND_TRIPS).clamp(MIN_STALE_CHECK, MAX_STALE_CHECK);
        needs_check.then_some(duration)
    }
}

impl<P: Runtime> Drop for Connection<P> {
    fn drop(&mut self) {
        self.observer.check_for_unread(&*self.socket);
        if self.observer.is_in_exchange() {
            // After an ordinary close the system would still deliver the part of the request that the server has not
            // taken yet, and the server would begin a request that was given up.
            self.socket.reset_on_close();
        }
        tracing::debug!(
            connection = self.number,
            address = %self.address,
            reason = self.close_reason.get().name(),
            requests = self.earlier_requests,
            "connection to a server closed"
        );
        self.connection_task.abort();
    }
}
