//! The state of one client connection, observed between hyper and the socket.
//!
//! - `closing`: whether the connection may be closed, and which input a close leaves unanswered;
//! - `timeouts`: the timeout of each phase.

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
use crate::sidecar::body::BodyError;
use crate::sidecar::deadline::{ClientTimeout, RequestDeadline, RequestSource, response_cutoff};
use crate::sidecar::events::{CloseReason, CutReason};
use crate::sidecar::framing::{BodyEnd, Framing, FramingError, MessageKind};
use crate::sidecar::memory::HeadMemory;
use crate::sidecar::response_pace::{ResponsePace, Unfinished};
use crate::sidecar::upstream::RequestClient;

/// The maximum number of bytes that a client can have written and that have not arrived: systems do not enlarge send
/// buffers beyond this by themselves.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;
/// Maximum length of a correlation id in log lines.
const MAX_LOGGED_ID_CHARS: usize = 64;

/// The client has disconnected, or no response can be sent to it any more.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the client connection is no longer usable")]
pub(super) struct ClientDisconnected;

/// A response that ended before its client had all of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseCut {
    pub reason: CutReason,
    /// Number of bytes written to the client.
    pub sent_bytes: u64,
    /// The time since the response began.
    pub after: Duration,
    /// The time since the response was late, or zero before that; `None` without a limit.
    pub overdue: Option<Duration>,
    /// The error of its body, or `None` if it had none.
    pub error: Option<BodyError>,
    /// What had come of a streamed response.
    pub progress: Option<CutProgress>,
}

/// What had come of a response from its server when it was cut.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutProgress {
    /// Number of bytes of the body.
    pub received_bytes: u64,
    /// Where the body ends according to its head.
    pub body_end: BodyEnd,
    /// The time since the last byte.
    pub pause: Duration,
}

impl CutProgress {
    /// Returns the announced length of the body, or `None` without one.
    pub(super) fn announced_bytes(self) -> Option<u64> {
        match self.body_end {
            BodyEnd::Length(length) => Some(length),
            BodyEnd::TransferEncoding | BodyEnd::Connection => None,
        }
    }
}

/// The state of one client connection, observed between hyper and the socket.
///
/// Every phase that depends on the client has a timeout of its own. Only reading more of a response, or sending a
/// body at a minimum pace, extends it. This guards against clients that hold a connection and never finish: silent
/// clients, slow senders, and clients that do not read. As a drawback, well-behaved clients that are slower than that
/// are disconnected, too.
pub(super) struct ClientConnection<P: Runtime> {
    /// Sequence number in the order in which connections were accepted.
    number: u64,
    /// The correlation id of the last request, truncated; empty before the first request.
    last_request: RefCell<String>,
    /// The socket. Only the connection's task keeps it open.
    socket: Weak<P::Tcp>,
    phase: Cell<Phase>,
    /// The time at which the phase began or, while responding, at which the client last accepted part of the
    /// response.
    last_progress: Cell<Instant>,
    framing: RefCell<Framing>,
    framing_error: Cell<Option<FramingError>>,
    /// hyper has taken the whole response, so the next flush ends it.
    response_complete: Cell<bool>,
    response_started: Cell<Instant>,
    /// The progress of a streamed response; `None` while it has none.
    response_pace: RefCell<Option<Rc<ResponsePace>>>,
    /// The error of the response's body; `None` while it has none.
    response_error: Cell<Option<BodyError>>,
    /// Bytes read of the current request or, while responding, bytes written of its response.
    transferred: Cell<u64>,
    /// The earliest time at which the client can have written the last byte of the request; `None` until that byte has
    /// arrived.
    request_end: Cell<Option<Instant>>,
    /// The time for which the client waits for the response to the request in progress, from its last byte on; `None`
    /// without a limit.
    request_timeout: Cell<Option<ClientTimeout>>,
    receive_clock: ReceiveClock,
    /// The time at which a request that was not read for a while was last read on; `None` if none was.
    resumed_at: Cell<Option<Instant>>,
    upstream_wait: UpstreamWait,
    /// No request on this connection has got a response yet.
    unused: Cell<bool>,
    /// The sending direction has been shut down, and no input had arrived before that.
    ended_without_input: Cell<bool>,
    /// The longest time that the connection may have waited to be accepted.
    accept_delay: Duration,
    /// The memory of the heads that the connection has carried.
    pub heads: HeadMemory,
    close_requested: Notify,
    /// Notified when the current phase has an earlier timeout than the one before.
    timeout_changed: Notify,
    close_reason: Cell<Option<CloseReason>>,
    /// The requested close applies only as long as the connection is idle.
    closes_only_idle: Cell<bool>,
}

impl<P: Runtime> ClientConnection<P> {
    /// Creates the state of a connection without a request. Request bodies may have up to `max_body` bytes.
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
            response_pace: RefCell::default(),
            response_error: Cell::new(None),
            transferred: Cell::new(0),
            request_end: Cell::new(None),
            request_timeout: Cell::new(None),
            receive_clock: ReceiveClock::new(P::now()),
            resumed_at: Cell::new(None),
            upstream_wait: UpstreamWait::default(),
            unused: Cell::new(true),
            ended_without_input: Cell::new(false),
            accept_delay,
            heads: HeadMemory::default(),
            close_requested: Notify::new(),
            timeout_changed: Notify::new(),
            close_reason: Cell::new(None),
            closes_only_idle: Cell::new(false),
        }
    }

    /// The sequence number in the order in which connections were accepted.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Stores the correlation id of a request for log lines.
    pub fn set_request_id(&self, correlation_id: &str) {
        let mut last = self.last_request.borrow_mut();
        last.clear();
        last.extend(correlation_id.chars().take(MAX_LOGGED_ID_CHARS));
    }

    /// The correlation id of the last request, truncated; empty before the first request.
    pub fn last_request(&self) -> String {
        self.last_request.borrow().clone()
    }

    /// The time since the phase began or, while responding, since the last progress.
    pub fn time_in_phase(&self) -> Duration {
        P::elapsed_since(self.last_progress.get())
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Starts a phase and its timeout.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.last_progress.set(P::now());
    }

    /// Stops reading a request whose body has to wait for memory. Meanwhile the client's timeout does not run.
    pub fn await_memory(&self) {
        self.phase.set(Phase::AwaitingMemory);
    }

    /// Continues to read a request whose body has waited for memory.
    pub fn resume_request(&self, waited: Duration) {
        self.phase.set(Phase::ReceivingRequest);
        self.last_progress.set(self.last_progress.get() + waited);
        self.resumed_at.set(Some(P::now()));
    }

    /// The framing error in the client's input, if there was one.
    pub fn framing_error(&self) -> Option<FramingError> {
        self.framing_error.get()
    }

    /// Whether the request has been read up to its end.
    pub fn has_complete_request(&self) -> bool {
        self.framing.borrow().is_complete()
    }

    /// Starts the deadline of the request in progress, whose client waits for `timeout` from its last byte on.
    pub fn start_deadline(self: &Rc<Self>, timeout: ClientTimeout) -> RequestDeadline {
        self.request_timeout.set(Some(timeout));
        RequestDeadline::new(timeout, self.clone())
    }

    /// The time before which no limit may end a response that its server is still sending, and after which it is lost;
    /// `None` without a limit.
    fn response_cutoff(&self) -> Option<Instant> {
        let timeout = self.request_timeout.get()?;
        // The end of a request that only hyper has found is not known.
        let request_end = self.latest_end().unwrap_or(self.response_started.get());
        Some(response_cutoff(request_end, timeout))
    }

    /// Lets the response in progress take longer than the client's timeout, as that of a streaming class may.
    pub fn lift_deadline(&self) {
        self.request_timeout.set(None);
    }

    /// The longest time that the current request may have waited before the connection was accepted.
    pub fn request_accept_delay(&self) -> Duration {
        if self.unused.get() { self.accept_delay } else { Duration::ZERO }
    }

    /// Called when the head of a request has been read.
    pub fn start_request(&self) {
        self.response_complete.set(false);
    }

    /// Called when the response is available. A streamed one is received from its server at this pace, and has to be
    /// received in time.
    pub fn start_response(&self, pace: Option<Rc<ResponsePace>>) {
        if pace.is_some() {
            self.timeout_changed.notify_one();
        }
        self.response_pace.replace(pace);
        self.enter(Phase::Responding);
        self.response_started.set(P::now());
        self.response_error.set(None);
        self.transferred.set(0);
        self.upstream_wait.reset();
        self.unused.set(false);
    }

    /// Called when more of the response is available.
    pub fn response_continues(&self) {
        self.last_progress.set(P::now());
        self.upstream_wait.finish::<P>();
    }

    /// Called when the rest of the response cannot be received.
    pub fn fail_response(&self, error: BodyError) {
        self.response_error.set(Some(error));
    }

    /// Called when the response has to wait for its server.
    pub fn response_waits(&self) {
        self.upstream_wait.start::<P>();
    }

    /// Called when hyper has taken the whole response.
    pub fn finish_response(&self) {
        self.response_complete.set(true);
    }

    /// Why the response in progress does not reach the client completely if the connection ends now for `reason`; `None`
    /// without a response in progress.
    pub fn cut(&self, reason: CloseReason) -> Option<ResponseCut> {
        if self.phase.get() != Phase::Responding {
            return None;
        }
        let cut = match (reason, self.response_error.get()) {
            (CloseReason::Draining, _) => CutReason::Exit,
            (_, Some(error)) => error.into(),
            (CloseReason::TimedOut, None) => self.overdue_reason(),
            (_, None) => CutReason::ClientLeft,
        };
        Some(ResponseCut {
            reason: cut,
            sent_bytes: self.transferred.get(),
            after: P::elapsed_since(self.response_started.get()),
            overdue: self.response_cutoff().map(P::elapsed_since),
            error: self.response_error.get(),
            progress: self.response_pace.borrow().as_ref().map(|pace| CutProgress {
                received_bytes: pace.received(),
                body_end: pace.body_end(),
                pause: pace.pause(P::now()),
            }),
        })
    }

    /// Why a response is not waited for any longer whose time is over.
    fn overdue_reason(&self) -> CutReason {
        match self.unfinished() {
            None => CutReason::ClientStalled,
            Some(Unfinished::Stopped) => CutReason::OverdueStopped,
            Some(Unfinished::TooSlow) => CutReason::OverdueTooSlow,
            Some(Unfinished::NoEnd) => CutReason::OverdueNoEnd,
        }
    }

    /// Asks the connection's task to close the connection, if that is still allowed when the task next runs.
    pub fn request_close(&self, reason: CloseReason) {
        self.closes_only_idle.set(false);
        // A connection with a failed body has to be closed in any case, so an eviction does not replace that reason.
        if self.close_reason.get() != Some(CloseReason::BodyFailed) {
            self.close_reason.set(Some(reason));
        }
        self.close_requested.notify_one();
    }

    /// Asks the connection's task to close the connection if it is still idle when the task next runs. A request that has
    /// begun to arrive by then is served.
    pub fn request_close_if_idle(&self, reason: CloseReason) {
        if self.close_reason.get().is_none() {
            self.request_close(reason);
            self.closes_only_idle.set(true);
        }
    }

    /// Completes when a close is requested. [`Self::try_close`] decides whether it is allowed.
    pub async fn close_requested(&self) -> CloseReason {
        loop {
            self.close_requested.notified().await;
            if let Some(reason) = self.close_reason.take() {
                return reason;
            }
        }
    }

    /// The number of unread bytes that have arrived: at least 1 if the system does not tell how many there are.
    fn unread_bytes(&self) -> Option<u64> {
        let socket = self.socket.upgrade()?;
        Some(socket.unread_bytes().unwrap_or_else(|| socket.has_unread().into()))
    }

    /// Whether the client has closed its sending direction or the connection, even if input is still unread.
    pub fn is_disconnected(&self) -> bool {
        self.socket.upgrade().is_none_or(|socket| socket.peer_closed())
    }

    /// Leaves the idle phase at the first bytes of a request, and counts the bytes of its head and of a short
    /// body.
    fn count_request_bytes(&self, bytes: usize) {
        if bytes > 0 && self.phase.get() == Phase::Idle {
            self.phase.set(Phase::ReceivingRequest);
            self.transferred.set(0);
            // The timeout of the first request runs from the accept of the connection.
            if !self.unused.get() {
                self.last_progress.set(P::now());
            }
        }
        if self.phase.get() == Phase::ReceivingRequest {
            self.transferred.set(self.transferred.get() + bytes as u64);
        }
    }
}

impl<P: Runtime> RequestSource for ClientConnection<P> {
    fn earliest_end(&self) -> Option<Instant> {
        if let Some(end) = self.request_end.get() {
            return Some(end);
        }
        let unread = self.unread_bytes()?;
        // What a chunked body lacks is unknown.
        let missing = self.framing.borrow().missing_bytes();
        let not_arrived = missing.map(|missing| missing.saturating_sub(unread));
        let is_incomplete =
            unread == 0 || not_arrived.is_some_and(|bytes| bytes > MAX_SEND_BUFFER_BYTES);
        self.receive_clock.record_unread(P::now(), unread, is_incomplete);
        let earliest_write = self.receive_clock.earliest_write();
        if not_arrived == Some(0) {
            self.request_end.set(Some(earliest_write));
        }
        (!is_incomplete).then_some(earliest_write)
    }

    fn latest_end(&self) -> Option<Instant> {
        let has_arrived = self.request_end.get().is_some();
        has_arrived.then(|| self.receive_clock.last_arrival())
    }
}

impl<P: Runtime> RequestClient for ClientConnection<P> {
    fn has_left(&self) -> bool {
        self.is_disconnected()
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
        self.receive_clock.record_read(P::now(), bytes.len());
        if self.request_end.get().is_none() && framing.is_complete() {
            self.request_end.set(Some(self.receive_clock.earliest_write()));
        }
        Ok(())
    }

    fn on_read_pending(&self) {
        self.receive_clock.record_empty(P::now());
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
            self.request_end.set(None);
            self.request_timeout.set(None);
            self.enter(Phase::Idle);
        }
    }
}
