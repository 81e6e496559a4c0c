//! State and timeouts of one client connection.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use runtime::{Observer, Runtime, Tcp};
use tokio::sync::Notify;

use super::clocks::{ReceiveClock, UpstreamWait};
use super::phase::{EvictionClass, EvictionRank, Phase};
use crate::sidecar::body::client_transfer_time;
use crate::sidecar::events::CloseReason;
use crate::sidecar::framing::{Framing, FramingError, MessageKind};

/// How long a client may make no progress: without a request, within a request, or while it has a
/// response to read. A connection without a request may be closed after 2 s at the earliest, and a
/// client that is silent or never finishes a request has to be disconnected within 3 s.
const STALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a client that keeps reading may take for a response, beside the time that its length
/// allows.
const MAX_RESPONSE_READ_TIME: Duration = Duration::from_secs(10);
/// How often the timeout of a connection is evaluated while its request is in progress. The
/// balancer limits that time.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How much of a correlation id is kept for the log.
const MAX_LOGGED_ID_CHARS: usize = 64;
/// How often a connection is looked at while input of its client waits unread.
const INPUT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// With many connections, one that has been idle for this long after its last response may be
/// closed: an active client sends its next request sooner, or opens another connection, which costs
/// the servers nothing.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(100);
/// The same for a connection without any request so far: its first request would be lost with it.
const MIN_UNUSED_BEFORE_EVICTION: Duration = Duration::from_secs(1);
/// The same while no place is left: those that connect wait in the listener's queue meanwhile.
const MIN_UNUSED_IN_SHORTAGE: Duration = Duration::from_millis(20);

/// Input of a client that has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unanswered {
    /// It waits in the socket, and came before the connection was ended for its client.
    Unread,
    /// It waits in the socket, and came after the connection was ended for its client, which could see that.
    AfterEnd,
    /// Part of a request was read.
    PartlyRead,
    /// A request was read.
    Read,
}

impl Unanswered {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Unanswered::Unread => "unread",
            Unanswered::AfterEnd => "after_end",
            Unanswered::PartlyRead => "partly_read",
            Unanswered::Read => "read",
        }
    }
}

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

    /// What a client that has not left would miss if its connection ended now, if anything.
    pub fn unanswered(&self) -> Option<Unanswered> {
        let request = match self.phase.get() {
            Phase::Lingering | Phase::Responding => None,
            Phase::AwaitingResponse => Some(Unanswered::Read),
            Phase::ReceivingRequest | Phase::StreamingRequest => Some(Unanswered::PartlyRead),
            Phase::Idle if self.has_no_unread_input() => None,
            Phase::Idle if self.ended_without_input.get() => Some(Unanswered::AfterEnd),
            Phase::Idle => Some(Unanswered::Unread),
        };
        request.filter(|_| !self.is_gone())
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

    /// Decides whether the connection may be closed now, and ends it for its client if it is idle. The one
    /// place that decides so.
    ///
    /// Whoever wants it closed has decided that earlier, or while its own task did not run. Until now a
    /// request may have arrived. An idle connection is ended for its client right behind the look at its
    /// socket: what arrives later was sent to a connection that is closed.
    pub fn try_close(&self, reason: CloseReason) -> bool {
        match self.phase.get() {
            Phase::Lingering => true,
            Phase::Idle => self.end_if_no_input(),
            Phase::ReceivingRequest => {
                reason == CloseReason::TimedOut || self.has_no_unread_input()
            }
            _ => matches!(reason, CloseReason::TimedOut | CloseReason::BodyFailed),
        }
    }

    /// Ends the connection for its client, unless input waits. True: it has ended.
    fn end_if_no_input(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else { return true };
        let ends = socket.is_idle() || socket.peer_closed();
        if ends {
            socket.shutdown_write();
            self.ended_without_input.set(socket.is_idle());
        }
        ends
    }

    /// Whether the client sends nothing more, whatever waits to be read.
    pub fn is_gone(&self) -> bool {
        self.socket.upgrade().is_none_or(|socket| socket.peer_closed())
    }

    /// The place in the order of eviction; none while a request is in progress or, on a new connection,
    /// about to be sent.
    pub fn eviction_rank(&self) -> Option<EvictionRank> {
        let is_new = self.unused.get() && self.time_in_phase() < MIN_UNUSED_IN_SHORTAGE;
        let class = match self.phase.get() {
            phase if phase.is_busy() => return None,
            Phase::Lingering => EvictionClass::Lingering,
            Phase::Idle if is_new => return None,
            Phase::Idle => EvictionClass::Idle,
            _ => EvictionClass::ReceivingRequest,
        };
        Some(EvictionRank { class, since: self.last_progress.get() })
    }

    /// Whether an idle client may be sending a request: it has connected just now, or input waits
    /// to be read.
    ///
    /// A connection that is closed under a request loses it, and the client has to retry. One that
    /// never had a response does not even know that it may.
    pub fn may_be_sending(&self) -> bool {
        let idle = P::elapsed_since(self.last_progress.get());
        let just_connected = self.unused.get() && idle < MIN_IDLE_BEFORE_EVICTION;
        self.phase.get() == Phase::Idle && (just_connected || !self.has_no_unread_input())
    }

    /// Whether all that the client has sent was read, or is discarded.
    ///
    /// Of a connection that was accepted just now nothing is read yet, though a complete request
    /// may be there, which counts as taken on. In a crowd of clients that all send on, no connection
    /// can be evicted until one runs into its timeout.
    pub fn has_no_unread_input(&self) -> bool {
        let unread = |socket: Rc<P::Tcp>| !socket.is_idle() && !socket.peer_closed();
        self.phase.get() == Phase::Lingering || !self.socket.upgrade().is_some_and(unread)
    }

    /// How long the connection has been idle, if that is long enough for it to be evicted.
    pub fn evictable_idle_time(&self) -> Option<Duration> {
        let least =
            if self.unused.get() { MIN_UNUSED_BEFORE_EVICTION } else { MIN_IDLE_BEFORE_EVICTION };
        let idle = P::elapsed_since(self.last_progress.get());
        (self.phase.get() == Phase::Idle && idle >= least).then_some(idle)
    }

    /// Completes when the client has used up the time of the present phase, and the connection may be closed.
    ///
    /// Input may have arrived in time that hyper has not read: it reads when the event loop has told of it.
    pub async fn timed_out(&self) {
        loop {
            self.phase_over().await;
            P::deliver_events().await;
            if self.is_phase_over() && self.try_close(CloseReason::TimedOut) {
                return;
            }
            P::sleep(INPUT_POLL_INTERVAL).await;
        }
    }

    /// Completes at the deadline of the present phase.
    async fn phase_over(&self) {
        while !self.is_phase_over() {
            let deadline = self.phase_deadline().unwrap_or_else(|| P::now() + BUSY_POLL_INTERVAL);
            P::sleep_until(deadline).await;
        }
    }

    fn is_phase_over(&self) -> bool {
        self.phase_deadline().is_some_and(|deadline| deadline <= P::now())
    }

    /// When the present phase times out; none while somebody other than the client is waited for.
    fn phase_deadline(&self) -> Option<Instant> {
        let stalled_at = self.last_progress.get() + STALL_TIMEOUT;
        match self.phase.get() {
            Phase::StreamingRequest | Phase::AwaitingResponse => None,
            Phase::Responding if self.upstream_wait.is_waiting() => None,
            Phase::Responding => {
                let read_time = MAX_RESPONSE_READ_TIME
                    + client_transfer_time(self.transferred.get())
                    + self.upstream_wait.finished.get();
                Some(stalled_at.min(self.response_started.get() + read_time))
            }
            Phase::ReceivingRequest => {
                Some(stalled_at + client_transfer_time(self.transferred.get()))
            }
            Phase::Idle | Phase::Lingering => Some(stalled_at),
        }
    }

    /// The result of `work`, unless the client disconnects first.
    ///
    /// While nobody reads the rest of a body, the end of the connection waits behind it, and an
    /// attempt would begin for a client that has left. Clients that end their sending side right
    /// behind a long body and still want the response get none, as they do behind a short one.
    ///
    /// # Errors
    ///
    /// When the client has disconnected.
    pub async fn unless_disconnected<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Result<T, ClientDisconnected> {
        let disconnected = async {
            loop {
                P::sleep(INPUT_POLL_INTERVAL).await;
                if !self.receive_clock.drained.get() && self.is_gone() {
                    return;
                }
            }
        };
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = disconnected => Err(ClientDisconnected),
        }
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
