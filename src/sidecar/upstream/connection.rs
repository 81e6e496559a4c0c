//! One connection to a server.

use std::cell::Cell;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use runtime::{Runtime, Stream, TaskHandle, Tcp};

use super::close_reason::CloseReason;
use super::desync::{
    BodyFingerprint, LaterResponse, MAX_REQUESTS, QUIET_PERIOD, RecentBodies, ResponseHistory,
    SuspectedDesync,
};
use super::observer::ExchangeObserver;
use super::request::RequestBody;
use crate::sidecar::budget::SocketPermit;
use crate::sidecar::framing::MAX_HEAD_BYTES;

/// A connection that has been idle at least this long may have been reset unnoticed, and is tested
/// before a request that is not idempotent is sent on it in full.
const IDLE_BEFORE_RESET: Duration = Duration::from_millis(50);
/// How long such a test takes, in times to connect (a reset arrives within a round trip), and its
/// bounds.
const TEST_ROUND_TRIPS: u32 = 4;
const SHORTEST_TEST: Duration = Duration::from_millis(1);
const LONGEST_TEST: Duration = Duration::from_millis(4);

/// On which connection an attempt was made, and what had passed there before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// The number of the connection, in the order in which this process opened them.
    pub connection: u64,
    /// How many requests it had carried before.
    pub earlier_requests: u32,
    /// How long it had been idle.
    pub idle: Duration,
    /// How long after the last byte of the request the response began, if it did.
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

/// One connection. Dropping it closes it.
pub(super) struct Connection<P: Runtime> {
    pub(super) sender: SendRequest<RequestBody<P>>,
    pub(super) observer: Rc<ExchangeObserver<P>>,
    pub(super) address: SocketAddr,
    /// Its number, in the order in which this process opened them.
    number: u64,
    /// How many requests it has carried that are over.
    earlier_requests: u32,
    /// When it last became idle, or was established.
    pub(super) idle_since: Instant,
    /// How long after its request the last response began, if that was served.
    last_delay: Option<Duration>,
    earlier_bodies: RecentBodies,
    /// It has carried a message that tells whether it is synchronized: the answer to another could be a copy.
    pub(super) is_sync_checked: bool,
    /// What is known of the server's responses on all connections.
    pub(super) history: Rc<ResponseHistory>,
    close_reason: Cell<CloseReason>,
    socket: Rc<P::Tcp>,
    driver: P::TaskHandle,
    /// How long it took to connect: one round trip.
    round_trip: Duration,
}

impl<P: Runtime> Connection<P> {
    /// Starts HTTP on `socket`, which was connected to `address` within `round_trip`; none if that
    /// fails. The permit `place` is given back when the connection ends.
    pub(super) async fn start(
        number: u64,
        socket: P::Tcp,
        address: SocketAddr,
        round_trip: Duration,
        observer: ExchangeObserver<P>,
        history: Rc<ResponseHistory>,
        place: SocketPermit,
    ) -> Option<Connection<P>> {
        socket.set_nodelay().ok()?;
        let socket = Rc::new(socket);
        let observer = Rc::new(observer);
        let io = TokioIo::new(Stream::new(socket.clone(), observer.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).allow_obsolete_multiline_headers_in_responses(true);
        let (sender, connection) = builder.handshake(io).await.ok()?;
        let driver = P::spawn(async move {
            let _place = place;
            // An error shows in the attempt that uses the connection.
            let _ = connection.await;
        });
        Some(Connection {
            sender,
            observer,
            address,
            number,
            earlier_requests: 0,
            idle_since: P::now(),
            last_delay: None,
            earlier_bodies: RecentBodies::default(),
            is_sync_checked: false,
            history,
            close_reason: Cell::default(),
            socket,
            driver,
            round_trip,
        })
    }

    /// Whether the server has neither closed the connection nor sent anything unasked for.
    ///
    /// The socket is asked as well, since hyper's own task sees a close only when it runs next.
    pub(super) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.observer.is_clean() && self.socket.is_idle()
    }

    /// Whether it has carried a request: the server may have closed it unnoticed, and something that belongs to
    /// an earlier request may still arrive.
    pub(super) fn is_used(&self) -> bool {
        self.earlier_requests > 0
    }

    /// Whether it may carry another request: a copy of any response so far would be known.
    pub(super) fn is_below_request_limit(&self) -> bool {
        self.earlier_requests < MAX_REQUESTS
    }

    /// Whether it has rested long enough to be used again.
    pub(super) fn is_past_quiet_period(&self) -> bool {
        !self.is_used() || P::elapsed_since(self.idle_since) >= QUIET_PERIOD
    }

    /// Notes that a response has ended, and that the connection is idle.
    pub(super) fn end_response(&mut self) {
        self.idle_since = P::now();
        self.earlier_requests += 1;
        let has_served = self.observer.response_facts().status == Some(StatusCode::OK.as_u16());
        self.last_delay = self.observer.response_delay().filter(|_| has_served);
    }

    /// Notes that it is used again, and that nothing has followed the last response.
    pub(super) fn record_clean_reuse(&self) {
        if let Some(delay) = self.last_delay {
            self.history.record_response(delay);
        }
    }

    /// Whether a response with this body is taken for that to the last request; none if the body is not whole yet.
    ///
    /// # Errors
    ///
    /// What speaks against it.
    pub(super) fn accept_body(
        &mut self,
        body: Option<BodyFingerprint>,
    ) -> Result<(), SuspectedDesync> {
        let delay = self.observer.response_delay().unwrap_or_default();
        let accepted = if self.is_used() {
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
        if let Some(body) = body {
            self.earlier_bodies.push(body);
        }
        accepted
    }

    /// Sets why it is about to be closed.
    pub(super) fn set_close_reason(&self, reason: CloseReason) {
        self.close_reason.set(reason);
    }

    /// Closes it for a reason.
    pub(super) fn close(self, reason: CloseReason) {
        self.set_close_reason(reason);
    }

    /// What the log tells of the request that is about to be sent.
    pub(super) fn next_use(&self) -> ConnectionUse {
        ConnectionUse {
            connection: self.number,
            earlier_requests: self.earlier_requests,
            idle: P::elapsed_since(self.idle_since),
            response_delay: None,
        }
    }

    /// How long the last byte of a request is held back to learn whether the connection still exists;
    /// none if it was not idle so long that it may have been closed.
    pub(super) fn test_duration(&self) -> Option<Duration> {
        let needs_test = P::elapsed_since(self.idle_since) >= IDLE_BEFORE_RESET;
        let duration = (self.round_trip * TEST_ROUND_TRIPS).clamp(SHORTEST_TEST, LONGEST_TEST);
        needs_test.then_some(duration)
    }
}

impl<P: Runtime> Drop for Connection<P> {
    fn drop(&mut self) {
        self.observer.look_for_unread(&*self.socket);
        tracing::debug!(
            connection = self.number,
            address = %self.address,
            reason = self.close_reason.get().name(),
            requests = self.earlier_requests,
            "connection to a server closed"
        );
        self.driver.abort();
    }
}
