//! What is known of requests in flight and of their attempts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::api::Outcome;
use crate::settings::RetrySafety;
use crate::sidecar::status::Status;
use crate::sidecar::upstream::{ConnectionUse, UpstreamRequest, UpstreamResponse};

/// How a request ended.
pub enum RequestOutcome {
    /// With a server's response.
    Served(UpstreamResponse),
    /// It was not executed: the client may send it again.
    Rejected {
        /// How long the client is asked to wait before that, if it is.
        retry_after: Option<Duration>,
    },
    /// It may have been executed.
    Failed,
}

impl RequestOutcome {
    /// Its name in the log.
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
    /// Cancels it; none once it has ended or is cancelled.
    pub(super) cancel: Option<oneshot::Sender<()>>,
    pub(super) started: Instant,
    /// It may have been executed, as far as is known.
    pub(super) may_have_run: bool,
    /// How it ended; none before.
    pub(super) outcome: Option<Outcome>,
    /// The connection that it was made on, if it has ended with one.
    pub(super) connection_use: Option<ConnectionUse>,
}

impl InFlightAttempt {
    /// Whether it ended before its last byte was written.
    pub(super) fn was_not_sent(&self) -> bool {
        matches!(self.outcome, Some(Outcome::NotSent | Outcome::ConnectFailed))
    }
}

/// A request that the driver has taken.
pub(super) struct InFlightRequest {
    pub(super) class: usize,
    /// Gets the outcome; none once the request has one, or the client has gone.
    client: Option<oneshot::Sender<RequestOutcome>>,
    /// What attempts send; none once no further attempt can be made.
    message: Option<Rc<UpstreamRequest>>,
    pub(super) attempts: Vec<InFlightAttempt>,
}

impl InFlightRequest {
    /// A request without attempts, whose outcome `client` gets.
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

    /// Notes that the client has gone.
    pub(super) fn drop_client(&mut self) {
        self.client = None;
    }

    /// What identifies it in logs, while an attempt can still be made.
    pub(super) fn correlation_id(&self) -> Option<&str> {
        self.message.as_ref().map(|message| message.correlation_id())
    }

    /// Whether nobody waits for an outcome any more.
    pub(super) fn is_finished(&self) -> bool {
        self.client.is_none()
    }

    /// Sends the outcome to the client and counts it, if the request is not finished.
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

    /// What another attempt sends, if one can still be sent.
    pub(super) fn message(&self) -> Option<Rc<UpstreamRequest>> {
        let is_kept = |message: &Rc<UpstreamRequest>| {
            message.upload.as_ref().is_none_or(|upload| upload.is_replayable())
        };
        self.message.clone().filter(|message| !self.is_finished() && is_kept(message))
    }

    /// Whether it may be sent more than once; none once no further attempt can be made.
    pub(super) fn retry_safety(&self) -> Option<RetrySafety> {
        self.message.as_ref().map(|message| message.retry_safety)
    }

    /// Whether that it was not executed has to be proven before it is sent again or rejected.
    pub(super) fn needs_proof(&self) -> bool {
        self.retry_safety().is_some_and(|safety| safety != RetrySafety::Idempotent)
    }

    /// Whether any of its attempts may have been executed.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run_before(self.attempts.len())
    }

    /// Whether any of its first `count` attempts may have been executed.
    pub(super) fn may_have_run_before(&self, count: usize) -> bool {
        self.attempts.iter().take(count).any(|attempt| attempt.may_have_run)
    }

    /// Whether the request may be sent again after it may have been executed.
    pub(super) fn is_retryable(&self) -> bool {
        self.retry_safety().is_some_and(|safety| safety != RetrySafety::NonIdempotent)
    }

    /// Frees what attempts send: no further one is made, and none that waits for a connection is sent.
    pub(super) fn release_message(&mut self) -> Option<Rc<UpstreamRequest>> {
        let message = self.message.take();
        if let Some(message) = &message {
            message.finished.set(true);
        }
        message
    }

    /// By when another attempt may start, if servers recognize repeats for `window`.
    pub(super) fn retry_by(&self, window: Duration) -> Option<Instant> {
        let may_have_run = self.attempts.iter().filter(|attempt| attempt.may_have_run);
        may_have_run.map(|attempt| attempt.started + window).min()
    }

    /// Cancels all attempts.
    pub(super) fn cancel_attempts(&mut self) {
        for cancel in self.attempts.iter_mut().filter_map(|attempt| attempt.cancel.take()) {
            let _ = cancel.send(());
        }
    }

    /// Whether it is finished, and so are its attempts.
    pub(super) fn is_done(&self) -> bool {
        self.is_finished() && self.attempts.iter().all(|attempt| attempt.cancel.is_none())
    }
}
