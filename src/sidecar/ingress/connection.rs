//! The state of one client connection, as it is observed between hyper and its socket.
//!
//! - `closing`: whether it may be closed, and what a close leaves unanswered;
//! - `timeouts`: how long a client may take for each phase.

mod closing;
mod timeouts;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use runtime::{Observer, Runtime, Tcp};
use tokio::sync::Notify;

pub(super) use self::closing::Unanswered;
use super::clocks::{ReceiveClock, UpstreamWait};
use super::phase::Phase;
use crate::sidecar::events::CloseReason;
use crate::sidecar::framing::{Framing, FramingError, MessageKind};
use crate::sidecar::upstream::RequestClient;

/// How much of a correlation id is kept for the log.
const MAX_LOGGED_ID_CHARS: usize = 64;

/// The client has disconnected, or nothing more can be said to it.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the client connection is no longer usable")]
pub(super) struct ClientDisconnected;

/// One client connection, as it is observed between hyper and its socket.
///
/// Every phase that depends on the client has a timeout of its own, which nothing extends but
/// further reading of a response or, for a body, sending at a minimum pace. This guards against
/// clients that hold a connection and never finish: silent ones, slow senders and those that do not
/// read. It does harm to honest clients that are slower than that.
pub(super) struct ClientConnection<P: Runtime> {
    /// Its place in the order in which connections were accepted.
    number: u64,
    /// The correlation id of its last request, or the beginning of it; empty before the first.
    last_request: RefCell<String>,
    /// The connection's task alone keeps the socket open.
    socket: Weak<P::Tcp>,
    phase: Cell<Phase>,
    /// When the phase began or, while responding, when the client last took some of the response.
    last_progress: Cell<Instant>,
    framing: RefCell<Framing>,
    framing_error: Cell<Option<FramingError>>,
    /// hyper has the complete last response: the next flush is its end.
    response_complete: Cell<bool>,
    response_started: Cell<Instant>,
    /// Bytes of this request that were read or, while responding, of its response that were written.
    transferred: Cell<u64>,
    /// The earliest time at which the last byte of the request can have been received.
    body_received_at: Rc<Cell<Option<Instant>>>,
    receive_clock: ReceiveClock,
    upstream_wait: UpstreamWait,
    /// No request was completed here so far.
    unused: Cell<bool>,
    /// The connection was ended for its client, and no input had come by then.
    ended_without_input: Cell<bool>,
    /// How long the connection may have waited to be accepted.
    accept_delay: Duration,
    close_requested: Notify,
    close_reason: Cell<Option<CloseReason>>,
}

impl<P: Runtime> ClientConnection<P> {
    /// A connection without a request, whose request bodies may have up to `max_body` bytes.
    pub fn new(
        number: u64,
        socket: &Rc<P::Tcp>,
        accept_delay: Duration,
        max_body: usize,
    ) -> ClientConnection<P> {
        ClientConnection {
            number,
            last_request: RefCell::default(),
            socket: Rc::downgrade(socket),
            phase: Cell::new(Phase::Idle),
            last_progress: Cell::new(P::now()),
            framing: RefCell::new(Framing::new(MessageKind::Request, max_body)),
            framing_error: Cell::new(None),
            response_complete: Cell::new(false),
            response_started: Cell::new(P::now()),
            transferred: Cell::new(0),
            body_received_at: Rc::default(),
            receive_clock: ReceiveClock::new(P::now()),
            upstream_wait: UpstreamWait::default(),
            unused: Cell::new(true),
            ended_without_input: Cell::new(false),
            accept_delay,
            close_requested: Notify::new(),
            close_reason: Cell::new(None),
        }
    }

    /// Its place in the order in which connections were accepted.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Notes the correlation id of a request, for the log.
    pub fn begin_request_id(&self, correlation_id: &str) {
        let mut last = self.last_request.borrow_mut();
        last.clear();
        last.extend(correlation_id.chars().take(MAX_LOGGED_ID_CHARS));
    }

    /// The correlation id of the last request, or the beginning of it; empty before the first.
    pub fn last_request(&self) -> String {
        self.last_request.borrow().clone()
    }

    /// For how long the connection has been in its phase or, while responding, made no progress.
    pub fn time_in_phase(&self) -> Duration {
        P::elapsed_since(self.last_progress.get())
    }

    /// What the connection is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Starts a phase, and its timeout.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.last_progress.set(P::now());
    }

    /// Why what the client sent cannot be used, if so.
    pub fn framing_error(&self) -> Option<FramingError> {
        self.framing_error.get()
    }

    /// Whether the request was seen up to its end.
    pub fn has_complete_request(&self) -> bool {
        self.framing.borrow().is_complete()
    }

    /// Shared with the upload of the request's body.
    pub fn body_received_at(&self) -> Rc<Cell<Option<Instant>>> {
        self.body_received_at.clone()
    }

    /// How long the present request may have waited before the connection was accepted.
    pub fn request_accept_delay(&self) -> Duration {
        if self.unused.get() { self.accept_delay } else { Duration::ZERO }
    }

    /// A request's head was read.
    pub fn start_request(&self) {
        self.response_complete.set(false);
    }

    /// The response is available.
    pub fn start_response(&self) {
        self.enter(Phase::Responding);
        self.response_started.set(P::now());
        self.transferred.set(0);
        self.upstream_wait.reset();
        self.unused.set(false);
    }

    /// More of the response is available.
    pub fn response_continues(&self) {
        self.last_progress.set(P::now());
        self.upstream_wait.finish::<P>();
    }

    /// The response waits for its server.
    pub fn response_waits(&self) {
        self.upstream_wait.start::<P>();
    }

    /// hyper has taken the complete response.
    pub fn finish_response(&self) {
        self.response_complete.set(true);
    }

    /// Has the connection's task close it, if that may be done when the task runs next.
    pub fn request_close(&self, reason: CloseReason) {
        // A connection that is of no use any more is not kept because somebody wanted its room, too.
        if self.close_reason.get() != Some(CloseReason::BodyFailed) {
            self.close_reason.set(Some(reason));
        }
        self.close_requested.notify_one();
    }

    /// Completes when the connection is to be closed. [`Self::try_close`] tells whether it may be.
    pub async fn close_requested(&self) -> CloseReason {
        loop {
            self.close_requested.notified().await;
            if let Some(reason) = self.close_reason.take() {
                return reason;
            }
        }
    }

    /// Whether the client sends nothing more, whatever waits to be read.
    pub fn is_gone(&self) -> bool {
        self.socket.upgrade().is_none_or(|socket| socket.peer_closed())
    }

    /// Leaves the idle phase with the first bytes of a request, and counts those of its head and
    /// of a short body.
    fn count_request_bytes(&self, bytes: usize) {
        if bytes > 0 && self.phase.get() == Phase::Idle {
            self.phase.set(Phase::ReceivingRequest);
            self.transferred.set(0);
            // The time of a connection's first request runs from when it was accepted.
            if !self.unused.get() {
                self.last_progress.set(P::now());
            }
        }
        if self.phase.get() == Phase::ReceivingRequest {
            self.transferred.set(self.transferred.get() + bytes as u64);
        }
    }
}

impl<P: Runtime> RequestClient for ClientConnection<P> {
    fn has_left(&self) -> bool {
        self.is_gone()
    }
}

impl<P: Runtime> Observer for ClientConnection<P> {
    fn on_read(&self, bytes: &[u8]) -> io::Result<()> {
        self.count_request_bytes(bytes.len());
        let mut framing = self.framing.borrow_mut();
        framing.feed(bytes).map_err(|error| {
            self.framing_error.set(Some(error));
            io::Error::new(io::ErrorKind::InvalidData, error)
        })?;
        self.receive_clock.record::<P>(bytes.len());
        if self.body_received_at.get().is_none() && framing.is_complete() {
            self.body_received_at.set(Some(self.receive_clock.fresh_at.get()));
        }
        Ok(())
    }

    fn on_read_pending(&self) {
        self.receive_clock.drained.set(true);
    }

    fn on_write(&self, bytes: &[u8]) {
        if self.phase.get() == Phase::Responding {
            self.transferred.set(self.transferred.get() + bytes.len() as u64);
            self.last_progress.set(P::now());
        }
    }

    fn may_shutdown(&self) -> bool {
        self.framing_error.get().is_none()
    }

    fn on_flush(&self) {
        if self.response_complete.replace(false) && self.phase.get() == Phase::Responding {
            self.framing.borrow_mut().start_next();
            self.body_received_at.set(None);
            self.enter(Phase::Idle);
        }
    }
}
