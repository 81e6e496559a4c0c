//! Executes the balancer's actions.

use std::rc::Rc;
use std::time::Duration;

use gossip::Event as GossipEvent;
use runtime::Runtime;

use super::{Driver, RequestOutcome};
use crate::api::{Action, Event, Micros, Outcome, RequestId, ServerId};
use crate::sidecar::discovery::DiscoveryRequest;
use crate::sidecar::upstream::{Endpoint, HealthCheckResult};

impl<P: Runtime> Driver<P> {
    pub(super) fn execute(self: &Rc<Driver<P>>, action: Action) {
        match action {
            Action::Send { id, server, timeout } => {
                self.start_attempt(id, server, Duration::from_micros(timeout));
            }
            Action::Cancel { id, attempt } => self.cancel_attempt(id, attempt),
            Action::Deliver { id, attempt } => self.deliver_response(id, attempt),
            Action::Reject { id, retry_after, reason } => {
                self.record(GossipEvent::Rejected);
                let retry_after = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                self.finish_request(id, RequestOutcome::Rejected { retry_after }, reason);
            }
            Action::Fail { id, reason } => {
                self.record(GossipEvent::Failed);
                self.finish_request(id, RequestOutcome::Failed, reason);
            }
            Action::SetTimer { delay, token } => {
                self.timers.schedule(Duration::from_micros(delay), token);
            }
            Action::HealthCheck { server } => self.start_health_check(server),
            Action::CloseIdleConnections { server } => self.upstream.close_idle(server),
            // Discovery runs as long as the driver does.
            Action::Subscribe => drop(self.discovery.send(DiscoveryRequest::Watch)),
            Action::FetchEndpoints => self.fetch_list(),
            Action::SendToPeer { peer, data } => {
                if let Some(datagrams) = &self.peer_services.datagrams {
                    datagrams.send(peer, &data);
                }
            }
            Action::Log { text } => tracing::info!(text, "balancer message"),
        }
    }

    /// Cancels an attempt. It ends with `Outcome::Cancelled`, or with its own result if that is available already.
    fn cancel_attempt(&self, id: RequestId, attempt: usize) {
        let mut state = self.state.borrow_mut();
        let request = state.requests.get_mut(&id);
        let cancel = request.and_then(|request| request.attempts.get_mut(attempt)?.cancel.take());
        if let Some(cancel) = cancel {
            let _ = cancel.send(());
        }
    }

    /// Has the response of an attempt passed on as far as it has come.
    fn deliver_response(&self, id: RequestId, attempt: usize) {
        let state = self.state.borrow();
        let Some(request) = state.requests.get(&id) else { return };
        let unfinished = request.attempts.get(attempt);
        if unfinished.is_some_and(|unfinished| unfinished.arrival.request_delivery()) {
            let request = request.correlation_id();
            tracing::info!(request, attempt, "response passed on before it is complete");
        }
    }

    fn start_health_check(self: &Rc<Driver<P>>, server: ServerId) {
        let address = self.state.borrow().endpoints.address(server);
        let driver = self.clone();
        P::spawn(async move {
            let started = P::now();
            let HealthCheckResult { outcome, report } = match address {
                Some(address) => {
                    let endpoint = Endpoint { server, address };
                    driver.upstream.check_health(endpoint, driver.health_check).await
                }
                None => HealthCheckResult::without_response(Outcome::ConnectFailed),
            };
            let latency = P::elapsed_since(started).as_micros() as Micros;
            driver.handle_event(Event::HealthCheckEnded { server, outcome, latency, report });
        });
    }
}
