//! How long a client may take for each phase of its connection.

use std::future::Future;
use std::time::{Duration, Instant};

use runtime::Runtime;

use super::{ClientConnection, ClientDisconnected};
use crate::sidecar::body::client_transfer_time;
use crate::sidecar::events::CloseReason;
use crate::sidecar::ingress::phase::Phase;

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
/// How often a connection is looked at while input of its client waits unread.
const INPUT_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl<P: Runtime> ClientConnection<P> {
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
}
