//! One connection to a server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use runtime::{Runtime, Stream, TaskHandle, Tcp};

use super::observer::ExchangeObserver;
use super::request::RequestBody;
use crate::sidecar::budget::SocketPermit;
use crate::sidecar::framing::{MAX_HEAD_BYTES, Unprocessed};

/// A connection that has been idle at least this long may have been reset unnoticed, and is tested
/// before a request that is not idempotent is sent on it in full.
const IDLE_BEFORE_RESET: Duration = Duration::from_millis(50);
/// If a server closes a connection right behind its response, that is seen within this time; it
/// covers the delay of the network.
pub(super) const CLOSE_DELAY: Duration = Duration::from_millis(10);
/// A server may send a rejection twice. It has written the second copy within this time of the first.
const LATE_COPY_TIME: Duration = Duration::from_millis(20);
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
    /// It was in the pool: the server may have closed it unnoticed.
    pub(super) reused: bool,
    /// When the last rejection arrived, if any has.
    rejected_at: Option<Instant>,
    /// The last response was a rejection.
    pub(super) after_rejection: bool,
    /// A rejection that arrives cannot be a late copy of an earlier one.
    pub(super) settled: bool,
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
            reused: false,
            rejected_at: None,
            after_rejection: false,
            settled: true,
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

    /// Notes that a response has ended, and that the connection is idle.
    pub(super) fn end_response(&mut self) {
        let now = P::now();
        self.idle_since = now;
        self.earlier_requests += 1;
        self.reused = true;
        self.after_rejection = self.observer.response_facts().unprocessed != Unprocessed::Unsaid;
        if self.after_rejection {
            self.rejected_at = Some(now);
        }
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

    /// Notes that a request is about to be sent.
    ///
    /// A second copy of a rejection may be held up on its way for long. It arrives before any other
    /// response to what is sent once it has been written.
    pub(super) fn begin_request(&mut self) {
        let has_copy_passed = |at| P::elapsed_since(at) >= LATE_COPY_TIME;
        self.settled = !self.after_rejection && self.rejected_at.is_none_or(has_copy_passed);
    }

    /// How long the last byte of a request is held back to learn whether the connection still exists;
    /// none if it is new, or was idle neither so shortly nor so long that it may have been closed.
    pub(super) fn test_duration(&self) -> Option<Duration> {
        let needs_test = self.reused
            && !(CLOSE_DELAY..IDLE_BEFORE_RESET).contains(&P::elapsed_since(self.idle_since));
        let duration = (self.round_trip * TEST_ROUND_TRIPS).clamp(SHORTEST_TEST, LONGEST_TEST);
        needs_test.then_some(duration)
    }
}

impl<P: Runtime> Drop for Connection<P> {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
