//! Requests in flight: from submission to the final response.

use std::rc::Rc;
use std::time::Duration;

use runtime::Runtime;
use tokio::sync::oneshot;

use super::Driver;
use super::in_flight::{InFlightAttempt, InFlightRequest, RequestOutcome};
use crate::api::{EndReason, Event, Micros, NewRequest, Outcome, RequestId};
use crate::sidecar::invariants::{Violation, may_reject};
use crate::sidecar::upstream::UpstreamRequest;

/// Log message for a request that ends without a server's response.
const END_MESSAGE: &str = "request ends without a server's response";

/// A submitted request. Dropping the handle before the outcome cancels the request, as its client has disconnected.
pub struct RequestHandle<P: Runtime> {
    id: RequestId,
    driver: Rc<Driver<P>>,
    outcome: oneshot::Receiver<RequestOutcome>,
}

impl<P: Runtime> RequestHandle<P> {
    /// Returns the number of attempts made so far, or 0 once the request has been removed.
    pub fn attempt_count(&self) -> usize {
        let state = self.driver.state.borrow();
        state.requests.get(&self.id).map_or(0, |request| request.attempts.len())
    }

    /// Waits for the outcome.
    pub async fn outcome(&mut self) -> RequestOutcome {
        (&mut self.outcome).await.unwrap_or(RequestOutcome::Failed)
    }
}

impl<P: Runtime> Drop for RequestHandle<P> {
    fn drop(&mut self) {
        self.driver.abandon(self.id, None);
    }
}

/// Properties of a client's request.
pub struct RequestInfo {
    /// The index of the class in the settings.
    pub class: usize,
    /// The index of the tenant in the settings.
    pub tenant: usize,
    /// The affinity key, or 0 without one.
    pub affinity_key: u64,
    /// The time after which the outcome is due.
    pub time_left: Duration,
    /// The client's estimate of the work, or `None` without one.
    pub work_hint: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
}

/// Logs that a request ends without a server's response.
///
/// The level is `info` if the request must not simply be repeated and a server may have executed it or has said that it
/// has not. It is `debug` if every attempt ended before the request was sent in full, or if a repeat needs no proof.
fn log_end(request: &InFlightRequest, outcome: &RequestOutcome, reason: EndReason) {
    let id = request.correlation_id();
    let (answer, reason, attempts) = (outcome.name(), reason.name(), request.attempts.len());
    if !request.needs_proof() || request.attempts.iter().all(InFlightAttempt::was_not_sent) {
        tracing::debug!(request = id, answer, reason, attempts, "{END_MESSAGE}");
        return;
    }
    let last = request.attempts.iter().rev().find_map(|attempt| attempt.outcome);
    let may_have_run = request.may_have_run();
    let after = last.map(Outcome::name);
    tracing::info!(request = id, answer, reason, attempts, after, may_have_run, "{END_MESSAGE}");
}

impl<P: Runtime> Driver<P> {
    /// Submits a client's request to the balancer.
    pub fn submit(
        self: &Rc<Driver<P>>,
        info: RequestInfo,
        message: UpstreamRequest,
    ) -> RequestHandle<P> {
        let (client, outcome) = oneshot::channel();
        let id = self.register_request(info.class, client, message);
        let mut within_quota = true;
        if let Some(gossip) = &self.peer_services.gossip {
            within_quota = gossip.try_admit(info.class, info.tenant);
            let gossip::RetryBudget { per_request, max_saved } = gossip.retry_budget();
            self.state.borrow_mut().balancer.set_retry_budget(per_request, max_saved);
        }
        self.handle_event(Event::Request(NewRequest {
            id,
            class: info.class,
            tenant: info.tenant,
            affinity_key: info.affinity_key,
            time_left: info.time_left.as_micros() as Micros,
            work_hint: info.work_hint,
            client_retry: info.client_retry,
            over_quota: !within_quota,
        }));
        RequestHandle { id, driver: self.clone(), outcome }
    }

    fn register_request(
        &self,
        class: usize,
        client: oneshot::Sender<RequestOutcome>,
        message: UpstreamRequest,
    ) -> RequestId {
        let mut state = self.state.borrow_mut();
        state.last_request_id += 1;
        let id = RequestId(state.last_request_id);
        state.requests.insert(id, InFlightRequest::new(class, client, message));
        id
    }

    /// Returns the number of requests in flight.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.values().filter(|request| !request.is_finished()).count()
    }

    /// Fails all requests in flight, before the process exits.
    pub fn fail_open_requests(self: &Rc<Driver<P>>) {
        let open: Vec<_> = {
            let state = self.state.borrow();
            let open = state.requests.iter().filter(|(_, request)| !request.is_finished());
            open.map(|(&id, _)| id).collect()
        };
        for id in open {
            self.abandon(id, Some(RequestOutcome::Failed));
        }
    }

    /// Abandons a request. `outcome` is sent to the client, or is `None` if the client has disconnected.
    fn abandon(self: &Rc<Driver<P>>, id: RequestId, outcome: Option<RequestOutcome>) {
        {
            let mut state = self.state.borrow_mut();
            let request = state.requests.get_mut(&id);
            let Some(request) = request.filter(|request| !request.is_finished()) else {
                return;
            };
            match outcome {
                Some(outcome) => request.finish(outcome, &self.status),
                None => request.drop_client(),
            }
            let message = request.release_message();
            // The balancer does not cancel attempts whose body is being streamed.
            if message.is_some_and(|message| message.upload.is_some()) {
                request.cancel_attempts();
            }
        }
        self.handle_event(Event::ClientDisconnected { id });
        self.remove_if_done(id);
    }

    /// Ends a request with the outcome that the balancer decided.
    pub(super) fn finish_request(
        self: &Rc<Driver<P>>,
        id: RequestId,
        outcome: RequestOutcome,
        reason: EndReason,
    ) {
        if let Some(request) = self.state.borrow_mut().requests.get_mut(&id) {
            let outcome = self.checked_outcome(id, request, outcome);
            self.status.events.record_end(reason);
            log_end(request, &outcome, reason);
            request.release_message();
            request.finish(outcome, &self.status);
        }
        self.remove_if_done(id);
    }

    /// Returns `outcome`, or a failure in place of a rejection that would make the client repeat a request that may
    /// have been executed and must not be repeated.
    fn checked_outcome(
        &self,
        id: RequestId,
        request: &InFlightRequest,
        outcome: RequestOutcome,
    ) -> RequestOutcome {
        let any_server_deduplicates = self.deduplicated_everywhere[request.class];
        let safe = request.retry_safety().is_none_or(|safety| {
            may_reject(safety, any_server_deduplicates, request.may_have_run())
        });
        match outcome {
            RequestOutcome::Rejected { .. } if !safe => {
                self.status.events.record_violation(Violation::UnsafeRejection, &id.0);
                RequestOutcome::Failed
            }
            outcome => outcome,
        }
    }

    /// Removes a request once it and its attempts have ended.
    pub(super) fn remove_if_done(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        if state.requests.get(&id).is_some_and(InFlightRequest::is_done) {
            state.requests.remove(&id);
        }
    }
}
