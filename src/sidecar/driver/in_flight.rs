//! State of requests in flight and of their attempts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::api::Outcome;
use crate::settings::RetrySafety;
use crate::sidecar::status::Status;
use crate::sidecar::upstream::{ConnectionUse, ResponseArrival, UpstreamRequest, UpstreamResponse};

/// The outcome of a request.
pub enum RequestOutcome {
    /// A server's response.
    Served(UpstreamResponse),
    /// The request was not executed, or may be repeated safely. The client may send it again.
    Rejected {
        /// The delay that the client is asked for before it sends the request again, or `None` for no delay.
        retry_after: Option<Duration>,
    },
    /// The request failed, and may have been executed.
    Failed,
}

impl RequestOutcome {
    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            RequestOutcome::Served(_) => "served",
            RequestOutcome::Rejected { .. } => "refused",
            RequestOutcome::Failed => "failed",
        }
    }
}

/// An attempt of a request in flight.
pub(super) struct InFlightAttempt {
    /// Cancels the attempt. `None` once it has ended or is cancelled.
    pub(super) cancel: Option<oneshot::Sender<()>>,
    pub(super) started: Instant,
    /// Whether the attempt may have been executed. True until its result proves the contrary.
    pub(super) may_have_run: bool,
    /// The outcome, or `None` while the attempt is in progress.
    pub(super) outcome: Option<Outcome>,
    /// The connection of the attempt, or `None` before it ended or if it had none.
    pub(super) connection_use: Option<ConnectionUse>,
    /// The response while it is being received.
    pub(super) arrival: Rc<ResponseArrival>,
}

impl InFlightAttempt {
    /// Returns whether the attempt ended before the last byte of the request was written.
    pub(super) fn was_not_sent(&self) -> bool {
        matches!(self.outcome, Some(Outcome::NotSent | Outcome::ConnectFailed))
    }
}

/// A request in flight.
pub(super) struct InFlightRequest {
    pub(super) class: usize,
    /// Receives the outcome. `None` once the request has one or the client has disconnected.
    client: Option<oneshot::Sender<RequestOutcome>>,
    /// The request to send. `None` once no further attempt can be made.
    message: Option<Rc<UpstreamRequest>>,
    pub(super) attempts: Vec<InFlightAttempt>,
}

impl InFlightRequest {
    /// Creates a request without attempts. `client` receives the outcome.
    pub(super) fn new(
        class: usize,
        client: oneshot::Sender<RequestOutcome>,
        message: UpstreamRequest,
    ) -> InFlightRequest {
        InFlightRequest {
            class,
            client: Some(client),
            message: Some(Rc::new(message)),
            attempts: Vec::new(),
        }
    }

    /// Records that the client has disconnected.
    pub(super) fn drop_client(&mut self) {
        self.client = None;
    }

    /// Returns the id of the request in logs, or `None` once no further attempt can be made.
    pub(super) fn correlation_id(&self) -> Option<&str> {
        self.message.as_ref().map(|message| message.correlation_id())
    }

    /// Returns whether nobody waits for the outcome any more.
    pub(super) fn is_finished(&self) -> bool {
        self.client.is_none()
    }

    /// Sends the outcome to the client and counts it, unless the request is finished already.
    pub(super) fn finish(&mut self, outcome: RequestOutcome, status: &Status) {
        if let Some(client) = self.client.take() {
            status.count_request(self.class, |counts| match &outcome {
                RequestOutcome::Served(_) => counts.served += 1,
                RequestOutcome::Rejected { .. } => counts.rejected += 1,
                RequestOutcome::Failed => counts.failed += 1,
            });
            let _ = client.send(outcome);
        }
    }

    /// Returns the request for another attempt, or `None` if none can be sent any more.
    pub(super) fn message(&self) -> Option<Rc<UpstreamRequest>> {
        let is_kept = |message: &Rc<UpstreamRequest>| {
            message.upload.as_ref().is_none_or(|upload| upload.is_replayable())
        };
        self.message.clone().filter(|message| !self.is_finished() && is_kept(message))
    }

    /// Returns whether the request may be sent again, or `None` once no further attempt can be made.
    pub(super) fn retry_safety(&self) -> Option<RetrySafety> {
        self.message.as_ref().map(|message| message.retry_safety)
    }

    /// Returns whether repeating or rejecting the request requires proof that it was not executed.
    pub(super) fn needs_proof(&self) -> bool {
        self.retry_safety().is_some_and(|safety| safety != RetrySafety::Idempotent)
    }

    /// Returns whether any attempt may have been executed.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run_before(self.attempts.len())
    }

    /// Returns whether any of the first `count` attempts may have been executed.
    pub(super) fn may_have_run_before(&self, count: usize) -> bool {
        self.attempts.iter().take(count).any(|attempt| attempt.may_have_run)
    }

    /// Returns whether the request may be sent again even if it may have been executed.
    pub(super) fn is_retryable(&self) -> bool {
        self.retry_safety().is_some_and(|safety| safety != RetrySafety::NonIdempotent)
    }

    /// Releases the request. No further attempt is made, and one that still waits for a connection is not sent.
    pub(super) fn release_message(&mut self) -> Option<Rc<UpstreamRequest>> {
        let message = self.message.take();
        if let Some(message) = &message {
            message.end.set();
        }
        message
    }

    /// Returns the latest time at which another attempt may be sent if servers deduplicate repeats for `window`, or
    /// `None` if no attempt may have been executed.
    pub(super) fn retry_by(&self, window: Duration) -> Option<Instant> {
        let may_have_run = self.attempts.iter().filter(|attempt| attempt.may_have_run);
        may_have_run.map(|attempt| attempt.started + window).min()
    }

    /// Cancels all attempts in progress.
    pub(super) fn cancel_attempts(&mut self) {
        for cancel in self.attempts.iter_mut().filter_map(|attempt| attempt.cancel.take()) {
            let _ = cancel.send(());
        }
    }

    /// Returns whether the request and all of its attempts have ended.
    pub(super) fn is_done(&self) -> bool {
        self.is_finished() && self.attempts.iter().all(|attempt| attempt.cancel.is_none())
    }
}
