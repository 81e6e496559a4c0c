//! The timeouts of the phases of a client connection.

use std::future::Future;
use std::time::{Duration, Instant};

use runtime::Runtime;

use super::{ClientConnection, ClientDisconnected};
use crate::sidecar::body::client_transfer_time;
use crate::sidecar::deadline::RequestSource;
use crate::sidecar::events::CloseReason;
use crate::sidecar::ingress::phase::Phase;
use crate::sidecar::response_pace::Unfinished;

/// Maximum time without progress of the client: without a request, within a request, or while it has a response to
/// read. A connection without a request must stay open for at least 2 s, and a client that is silent or never finishes
/// a request has to be disconnected within 3 s.
const STALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same for a client whose request was not read for a while.
const RESUMED_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for a client that keeps reading to read a response, in addition to the time allowed for its length.
const MAX_RESPONSE_READ_TIME: Duration = Duration::from_secs(10);
/// Interval at which the timeout of a connection is evaluated while its request is in progress. The balancer limits
/// the duration of the request itself.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Lateness of a timeout from which on the process is considered to have been held up.
const HOLD_UP_THRESHOLD: Duration = Duration::from_millis(5);
/// Time after a hold-up for what has arrived to reach its connection.
const HOLD_UP_RECOVERY_TIME: Duration = Duration::from_millis(10);
/// Interval at which a response that is late is judged anew.
const LATE_RESPONSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a connection is checked while input is unread.
const INPUT_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl<P: Runtime> ClientConnection<P> {
    /// Completes when the current phase has timed out and the connection may be closed.
    ///
    /// Input may have arrived in time and not yet been read, since hyper reads only after the event loop has reported
    /// it. Therefore pending events are delivered before the connection is closed.
    pub async fn timed_out(&self) {
        loop {
            let deadline = self.phase_deadline_passed().await;
            let was_held_up = P::elapsed_since(deadline) >= HOLD_UP_THRESHOLD;
            if was_held_up && self.phase.get() == Phase::Responding {
                // A part of a response may be on its way from its server's connection to this one.
                P::sleep(HOLD_UP_RECOVERY_TIME).await;
            }
            P::deliver_events().await;
            if self.is_past_phase_deadline() && self.try_close(CloseReason::TimedOut) {
                return;
            }
            P::sleep(INPUT_POLL_INTERVAL).await;
        }
    }

    /// Completes at the deadline of the current phase, and returns it.
    async fn phase_deadline_passed(&self) -> Instant {
        loop {
            let deadline = self.phase_deadline().unwrap_or_else(|| P::now() + BUSY_POLL_INTERVAL);
            if deadline <= P::now() {
                return deadline;
            }
            tokio::select! {
                biased;
                () = P::sleep_until(deadline) => {}
                () = self.timeout_changed.notified() => {}
            }
        }
    }

    fn is_past_phase_deadline(&self) -> bool {
        self.phase_deadline().is_some_and(|deadline| deadline <= P::now())
    }

    /// The time at which the current phase times out; `None` while the connection does not wait for the client.
    fn phase_deadline(&self) -> Option<Instant> {
        let stalled_at = self.last_progress.get() + STALL_TIMEOUT;
        match self.phase.get() {
            Phase::AwaitingMemory | Phase::StreamingRequest | Phase::AwaitingResponse => None,
            Phase::Responding => {
                [self.read_deadline(), self.server_deadline()].into_iter().flatten().min()
            }
            Phase::ReceivingRequest => Some(self.receive_deadline()),
            Phase::Idle | Phase::Lingering => Some(stalled_at),
        }
    }

    /// The time by which the client has to have sent its request. Each byte puts it off, but only by the time that the
    /// transfer may take.
    fn receive_deadline(&self) -> Instant {
        let slowest = self.last_progress.get() + STALL_TIMEOUT;
        let slowest = slowest + client_transfer_time(self.transferred.get());
        slowest.min(self.sending_stalled_at())
    }

    /// The time at which a client that sends nothing more has stalled. While its request was not read, it may not have
    /// been able to send on.
    fn sending_stalled_at(&self) -> Instant {
        let stalled_at = self.receive_clock.last_arrival() + STALL_TIMEOUT;
        stalled_at.max(self.last_read_on_at() + RESUMED_STALL_TIMEOUT)
    }

    /// The last time at which input arrived, or was read on after a wait.
    fn last_read_on_at(&self) -> Instant {
        let arrived_at = self.receive_clock.last_arrival();
        self.resumed_at.get().map_or(arrived_at, |resumed_at| resumed_at.max(arrived_at))
    }

    /// Runs `work`, which reads the rest of a request that was not read for a while, to completion, unless the client
    /// sends nothing more. Returns `None` then.
    pub async fn unless_stalled<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        self.resumed_at.set(Some(P::now()));
        let stalled_at = || self.last_read_on_at() + RESUMED_STALL_TIMEOUT;
        let stalled = async {
            while stalled_at() > P::now() {
                P::sleep_until(stalled_at()).await;
            }
        };
        tokio::select! {
            biased;
            done = work => Some(done),
            () = stalled => None,
        }
    }

    /// The time by which the client has to read on in a response; `None` while the response waits for its server.
    fn read_deadline(&self) -> Option<Instant> {
        if self.upstream_wait.is_waiting() {
            return None;
        }
        let stalled_at = self.last_progress.get() + STALL_TIMEOUT;
        let read_time = MAX_RESPONSE_READ_TIME
            + client_transfer_time(self.transferred.get())
            + self.upstream_wait.completed.get();
        let deadline = stalled_at.min(self.response_started.get() + read_time);
        // A client that pauses may still read the response before it is lost.
        Some(self.response_cutoff().map_or(deadline, |cutoff| deadline.max(cutoff)))
    }

    /// The time until which a response may be received from its server; `None` once it is received completely.
    ///
    /// A response that never ends would leave its request without a final answer. The reset that follows shows the client
    /// that the response is truncated. One that its server is still giving may be late, and is judged again and again.
    fn server_deadline(&self) -> Option<Instant> {
        let cutoff = self.response_cutoff().filter(|_| !self.response_complete.get())?;
        let goes_on = self.unfinished().is_none();
        Some(if goes_on { cutoff.max(P::now() + LATE_RESPONSE_POLL_INTERVAL) } else { cutoff })
    }

    /// Why the response in progress, which is late, is not waited for any longer; `None` if it is.
    pub(super) fn unfinished(&self) -> Option<Unfinished> {
        let late_since = self.response_cutoff().filter(|_| !self.response_complete.get())?;
        let now = P::now();
        if now < late_since {
            return None;
        }
        let pace = self.response_pace.borrow();
        pace.as_ref().map_or(Some(Unfinished::Stopped), |p| p.check_late(now, late_since).err())
    }

    /// Runs `work` to completion, unless the client disconnects first.
    ///
    /// While the rest of a body is not being read, the end of the stream behind it is not read either, and an attempt
    /// would start for a client that has disconnected. As a drawback, clients that close their sending direction right
    /// after a long body and still want the response get none, as is the case after a short body.
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
                // Keeps the times of arrival exact while nothing is read.
                self.earliest_end();
                if !self.receive_clock.buffer_empty.get() && self.is_disconnected() {
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
}
