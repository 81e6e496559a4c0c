//! Requests in flight: from a client's request to its final answer.

use std::rc::Rc;
use std::time::Duration;

use runtime::Runtime;
use tokio::sync::oneshot;

use super::Driver;
use super::in_flight::{InFlightAttempt, InFlightRequest, RequestOutcome};
use crate::api::{EndReason, Event, Micros, NewRequest, Outcome, RequestId};
use crate::sidecar::invariants::{Violation, may_reject};
use crate::sidecar::upstream::UpstreamRequest;

/// A final answer should be on its way this long before the client stops waiting.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);
/// The log's message of a request that no server's response ends.
const END_MESSAGE: &str = "request ends without a server's response";

/// A request that was submitted. Dropping it before its outcome tells that the client has gone.
pub struct RequestHandle<P: Runtime> {
    id: RequestId,
    driver: Rc<Driver<P>>,
    outcome: oneshot::Receiver<RequestOutcome>,
}

impl<P: Runtime> RequestHandle<P> {
    /// How many attempts were made so far; 0 once the request is forgotten.
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

/// What a client's request says about itself.
pub struct RequestInfo {
    /// The index of its class in the settings.
    pub class: usize,
    /// The index of its tenant in the settings.
    pub tenant: usize,
    /// Its affinity key; 0 without one.
    pub affinity_key: u64,
    /// How long the client will wait.
    pub time_left: Duration,
    /// The client's estimate of the work.
    pub work_hint: Option<Micros>,
    /// The client sends it again.
    pub client_retry: bool,
}

/// Logs that a request ends without a server's response; at the default level if its servers may have
/// executed it, or have said that they have not, and it must not simply be repeated.
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
    /// Takes a client's request.
    pub fn submit(
        self: &Rc<Driver<P>>,
        info: RequestInfo,
        message: UpstreamRequest,
    ) -> RequestHandle<P> {
        let (client, outcome) = oneshot::channel();
        let id = self.register_request(info.class, client, message);
        let time_left = self.time_budget(info.class, info.time_left);
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
            time_left: time_left.as_micros() as Micros,
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

    /// How long a request of a class may take if its client waits for `time_left`.
    ///
    /// A client can claim to wait for weeks, and its request would be in memory as long. No client of a
    /// class waits longer than the class's deadline.
    pub fn time_budget(&self, class: usize, time_left: Duration) -> Duration {
        let time_left = time_left.min(self.live.deadline(class));
        time_left - DEADLINE_MARGIN.min(time_left / 4)
    }

    /// How many requests are in flight.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.values().filter(|request| !request.is_finished()).count()
    }

    /// Fails all requests in flight: the process is about to end.
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

    /// Gives a request up, with an outcome for its client or, if that has gone, without.
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
            // The balancer cancels nothing once a body is being streamed.
            if message.is_some_and(|message| message.upload.is_some()) {
                request.cancel_attempts();
            }
        }
        self.handle_event(Event::ClientDisconnected { id });
        self.remove_if_done(id);
    }

    /// Ends a request with the balancer's answer.
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

    /// The outcome, or a failure where a rejection would have the client repeat what may have been
    /// executed.
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

    /// Forgets a request once it is finished and so are its attempts.
    pub(super) fn remove_if_done(&self, id: RequestId) {
        let mut state = self.state.borrow_mut();
        if state.requests.get(&id).is_some_and(InFlightRequest::is_done) {
            state.requests.remove(&id);
        }
    }
}
