//! Attempts in flight: starts them, waits for them and reports their results.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gossip::Event as GossipEvent;
use runtime::{Runtime, expiry};
use tokio::sync::oneshot;

use super::endpoints::KnownServer;
use super::in_flight::{InFlightAttempt, InFlightRequest, RequestOutcome};
use super::{Driver, State};
use crate::api::{AttemptEnd, Event, Micros, Outcome, RequestId, ServerId};
use crate::sidecar::invariants::{Violation, may_repeat};
use crate::sidecar::upload::Upload;
use crate::sidecar::upstream::{
    AttemptLimits, AttemptResult, Endpoint, MemoryWait, RequestEnd, ResponseArrival,
    UpstreamRequest,
};

/// Identifies an attempt.
#[derive(Clone, Copy)]
struct AttemptId {
    request: RequestId,
    /// The index of the attempt within the request.
    index: usize,
    server: ServerId,
}

/// The data needed to send an attempt.
struct Dispatch {
    endpoint: Endpoint,
    request: Rc<UpstreamRequest>,
    limits: AttemptLimits,
    /// Completes when the attempt is cancelled.
    cancelled: oneshot::Receiver<()>,
}

/// Returns the rule that a further attempt of a request would violate, judged by the driver's own state.
fn violation_of(request: &InFlightRequest, server: Option<&KnownServer>) -> Option<Violation> {
    if request.is_finished() {
        return Some(Violation::AttemptAfterEnd);
    }
    if request.retry_safety().is_some_and(|safety| !may_repeat(safety, request.may_have_run())) {
        return Some(Violation::UnsafeRepeat);
    }
    server.filter(|known| !known.ready.get()).map(|_| Violation::UnreadyServer)
}

/// Waits at the end of an attempt's time until its response is passed on, if one has begun, or its request has ended.
///
/// The balancer chooses the attempt whose response is passed on. It does not choose for a streamed upload, which has one
/// attempt.
async fn await_delivery(arrival: &ResponseArrival, is_upload: bool, end: &RequestEnd) {
    if arrival.begun_at().is_none() {
        return;
    }
    if is_upload {
        arrival.request_delivery();
    }
    end.ended().await;
}

impl<P: Runtime> Driver<P> {
    /// Starts an attempt that times out after `timeout`.
    pub(super) fn start_attempt(
        self: &Rc<Driver<P>>,
        request: RequestId,
        server: ServerId,
        timeout: Duration,
    ) {
        let (index, dispatch) = self.register_attempt(request, server, timeout);
        let id = AttemptId { request, index, server };
        let Some(dispatch) = dispatch else {
            return self.report_not_sent(id);
        };
        self.record(GossipEvent::Attempt);
        if index > 0 {
            self.record(GossipEvent::Retry);
            self.log_retry(id);
        }
        P::spawn(self.clone().run_attempt(id, dispatch));
    }

    /// Counts a retry. Logs it if the request must not simply be repeated and, by an earlier attempt, a server may have
    /// executed it or has said that it has not.
    fn log_retry(&self, id: AttemptId) {
        let state = self.state.borrow();
        let Some(request) = state.requests.get(&id.request) else { return };
        let earlier = &request.attempts[..id.index];
        let ended = |attempt: &InFlightAttempt| Some((attempt.outcome?, attempt.connection_use));
        let Some((outcome, connection_use)) = earlier.iter().rev().find_map(ended) else {
            return;
        };
        self.status.events.record_retry(outcome);
        if !request.needs_proof() || earlier.iter().all(InFlightAttempt::was_not_sent) {
            return;
        }
        tracing::info!(
            request = request.correlation_id(),
            attempt = id.index,
            address = state.endpoints.address(id.server).map(tracing::field::display),
            after = outcome.name(),
            after_connection_use = connection_use.map(tracing::field::display),
            may_have_run = request.may_have_run_before(id.index),
            "request sent again"
        );
    }

    /// Adds an attempt to its request. Returns its index, and the data to send it, or `None` if it cannot be sent.
    fn register_attempt(
        &self,
        id: RequestId,
        server: ServerId,
        timeout: Duration,
    ) -> (usize, Option<Dispatch>) {
        let mut state = self.state.borrow_mut();
        let State { requests, endpoints, .. } = &mut *state;
        let Some(request) = requests.get_mut(&id) else {
            return (0, None);
        };
        let (cancel, cancelled) = oneshot::channel();
        let started = P::now();
        let idempotency_window = self.idempotency_windows[request.class];
        // While the attempt waits for its connection, servers may forget the request that it repeats.
        let start_by = idempotency_window.and_then(|window| request.retry_by(window));
        let index = request.attempts.len();
        let known = endpoints.get(server);
        let arrival = Rc::new(ResponseArrival::default());
        let violation = violation_of(request, known);
        request.attempts.push(InFlightAttempt {
            cancel: Some(cancel),
            started,
            may_have_run: true,
            outcome: None,
            connection_use: None,
            arrival: arrival.clone(),
        });
        if let Some(violation) = violation {
            let subject = request.message().map(|message| message.correlation_id().to_owned());
            self.status.events.record_violation(violation, &subject.unwrap_or_default());
            return (index, None);
        }
        let dispatch = request.message().zip(known).map(|(message, known)| Dispatch {
            endpoint: Endpoint { server, address: known.address },
            request: message,
            limits: AttemptLimits {
                start_by,
                idempotency_window,
                is_last: index + 1 >= self.live.max_attempts(),
                deadline: started + timeout,
                memory_wait: Rc::default(),
                arrival,
                server_ready: known.ready.clone(),
            },
            cancelled,
        });
        (index, dispatch)
    }

    /// Reports that an attempt was not sent. This is done in a task, after the current event has been handled.
    fn report_not_sent(self: &Rc<Driver<P>>, id: AttemptId) {
        let driver = self.clone();
        P::spawn(async move {
            driver.complete_attempt(id, 0, AttemptResult::not_sent());
        });
    }

    async fn run_attempt(self: Rc<Driver<P>>, id: AttemptId, dispatch: Dispatch) {
        let Dispatch { endpoint, request, limits, cancelled } = dispatch;
        let started = P::now();
        let deadline = limits.deadline;
        let upload = request.upload.clone();
        let memory_wait = limits.memory_wait.clone();
        let arrival = limits.arrival.clone();
        let end = request.end.clone();
        tracing::debug!(
            request = request.correlation_id(),
            attempt = id.index,
            address = %endpoint.address,
            limit_ms = deadline.saturating_duration_since(started).as_millis() as u64,
            "attempt started"
        );
        let result = tokio::select! {
            biased;
            result = self.upstream.attempt(id.index, endpoint, &request, limits) => result,
            // Cancelled by the balancer, or because nobody waits for the response any more.
            _ = cancelled => AttemptResult::without_response(Outcome::Cancelled),
            () = async {
                self.attempt_timeout(id, upload.as_deref(), deadline).await;
                await_delivery(&arrival, upload.is_some(), &end).await;
            } => {
                // The server has begun to respond, so the timeout says nothing about it.
                let responded = memory_wait.is_waiting() || arrival.begun_at().is_some();
                let outcome = if responded { Outcome::Cancelled } else { Outcome::TimedOut };
                AttemptResult::without_response(outcome)
            }
            never = self.report_memory_wait(id, &memory_wait) => match never {},
            never = self.report_response(id, request.correlation_id(), &arrival) => match never {},
        };
        tracing::debug!(
            request = request.correlation_id(),
            attempt = id.index,
            address = %endpoint.address,
            outcome = result.outcome.name(),
            facts = ?result.facts,
            connection_use = result.connection_use.map(tracing::field::display),
            took_us = P::elapsed_since(started).as_micros() as u64,
            "attempt ended"
        );
        drop(request);
        let upload_end = upload.and_then(|upload| upload.completed_at());
        let since = upload_end.map_or(started, |end| started.max(end));
        // The time that a response takes once it has begun is that of its length.
        let responded = arrival.begun_at().unwrap_or_else(P::now);
        let latency =
            responded.saturating_duration_since(since).saturating_sub(memory_wait.waited());
        self.complete_attempt(id, latency.as_micros() as Micros, result);
    }

    /// Tells the balancer about the progress of a response while it is being received.
    async fn report_response(
        self: &Rc<Driver<P>>,
        id: AttemptId,
        subject: &str,
        arrival: &ResponseArrival,
    ) -> Infallible {
        loop {
            let progress = arrival.changed().await;
            let AttemptId { request, index: attempt, .. } = id;
            let name = progress.name();
            tracing::debug!(request = subject, attempt, progress = name, "response in progress");
            self.handle_event(Event::ResponseProgress { id: request, attempt, progress });
        }
    }

    /// Tells the balancer when an attempt waits for memory, which is not its server's time.
    async fn report_memory_wait(
        self: &Rc<Driver<P>>,
        id: AttemptId,
        wait: &MemoryWait,
    ) -> Infallible {
        wait.began().await;
        let AttemptId { request, index: attempt, .. } = id;
        self.handle_event(Event::ResponseAwaitsMemory { id: request, attempt });
        std::future::pending().await
    }

    /// Completes when an attempt has timed out.
    ///
    /// With a streamed body, the client's time starts at the last byte of the body. The balancer is told as soon as the
    /// body can no longer be replayed, as the request cannot be sent to another server from then on.
    async fn attempt_timeout(
        self: &Rc<Driver<P>>,
        id: AttemptId,
        upload: Option<&Upload>,
        deadline: Instant,
    ) {
        let Some(upload) = upload else {
            return expiry::<P>(deadline).await;
        };
        upload.streaming_started().await;
        let AttemptId { request, index: attempt, .. } = id;
        self.handle_event(Event::UploadStarted { id: request, attempt });
        self.handle_event(Event::FirstByte { id: request, attempt });
        tokio::select! {
            biased;
            () = upload.timed_out::<P>() => {}
            never = self.report_overdue_upload(id, upload) => match never {},
        }
    }

    /// Tells the balancer when the server of an upload has taken as long as the latency objective allows.
    async fn report_overdue_upload(
        self: &Rc<Driver<P>>,
        id: AttemptId,
        upload: &Upload,
    ) -> Infallible {
        let AttemptId { request, index: attempt, .. } = id;
        if let Some(objective) = self.latency_objective(request) {
            upload.server_time_used::<P>(objective).await;
            self.handle_event(Event::UploadOverdue { id: request, attempt });
        }
        std::future::pending().await
    }

    /// Returns the latency objective of a request in flight.
    fn latency_objective(&self, id: RequestId) -> Option<Duration> {
        let state = self.state.borrow();
        let class = state.requests.get(&id)?.class;
        Some(Duration::from_micros(state.balancer.latency_objective(class)))
    }

    /// Reports the result of an attempt to the balancer. The first successful response goes to the client.
    fn complete_attempt(
        self: &Rc<Driver<P>>,
        id: AttemptId,
        latency: Micros,
        result: AttemptResult,
    ) {
        let AttemptResult { mut outcome, report, response, facts, connection_use } = result;
        let may_have_run = facts.is_none_or(|facts| facts.never_ran().is_err());
        let mut finished = true;
        let mut retryable = false;
        if let Some(request) = self.state.borrow_mut().requests.get_mut(&id.request) {
            if let Some(attempt) = request.attempts.get_mut(id.index) {
                attempt.cancel = None;
                attempt.may_have_run = may_have_run;
                attempt.outcome = Some(outcome);
                attempt.connection_use = connection_use;
            }
            if outcome.never_ran() && may_have_run && request.needs_proof() {
                let subject = id.request.0;
                self.status.events.record_violation(Violation::UnprovenRejection, &subject);
                outcome = Outcome::ConnectionReset;
            }
            if let Some(response) = response {
                request.finish(RequestOutcome::Served(response), &self.status);
            }
            finished = request.is_finished();
            retryable = request.is_retryable();
            if finished {
                request.release_message();
            }
        }
        let failed = matches!(
            outcome,
            Outcome::ErrorResponse | Outcome::ConnectionReset | Outcome::TimedOut
        );
        if failed && retryable && !finished {
            self.record(GossipEvent::RetryableFailure);
        }
        let AttemptId { request, index, server } = id;
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            id: request,
            attempt: index,
            server,
            outcome,
            latency,
            finished,
            report,
        }));
        self.remove_if_done(request);
    }
}
