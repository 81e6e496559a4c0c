//! Lists that are polled from a service shared by many sidecars: calls load it, and the balancer
//! decides when there is one.

use std::time::Duration;

use runtime::Runtime;
use tokio::sync::mpsc;

use super::client::{CallError, ListResponse};
use super::{CallOrder, Discovery, DiscoveryRequest, EndpointListener, Update, address_changed};
use crate::api::NOTIFICATION_DEADLINE;

/// How long the service may hold a watch, and how long it may take to answer after that, or at once.
///
/// By the protocol, the sidecar counts as knowing what a silent watch missed 6 s after it fell silent.
/// These times leave room for a second watch and, if that fails, the balancer's first backoff and a
/// third call.
const HOLD: Duration = Duration::from_millis(2000);
const PATIENCE: Duration = Duration::from_millis(1500);
/// After a failed call, a list that discovery has not confirmed for so long counts as overdue.
const NOTIFICATION_BOUND: Duration = Duration::from_micros(NOTIFICATION_DEADLINE);

/// What the next call is to be.
#[derive(Clone, Copy, Debug)]
struct PollState {
    /// There is to be a call.
    calling: bool,
    /// It fetches the complete list.
    full_list: bool,
    /// It is followed by watches.
    watching: bool,
    /// How long the service may hold it, if it is a watch.
    hold: Duration,
    /// It was opened for a watch that fell silent.
    reopened: bool,
}

impl PollState {
    fn idle() -> PollState {
        PollState {
            calling: false,
            full_list: false,
            watching: false,
            hold: Duration::ZERO,
            reopened: false,
        }
    }

    /// The next call is of another service.
    fn on_address_changed(&mut self) {
        self.calling = true;
        self.full_list = true;
        self.reopened = false;
    }

    fn on_request(&mut self, request: DiscoveryRequest) {
        match request {
            DiscoveryRequest::Watch => {
                self.watching = true;
                // The first call is answered at once, with what was missed.
                self.hold = Duration::ZERO;
            }
            DiscoveryRequest::Fetch => self.full_list = true,
        }
        self.calling = true;
        self.reopened = false;
    }

    /// A list was applied: it is watched on, if that was asked for.
    fn on_success(&mut self) {
        self.calling = self.watching;
        self.full_list = false;
        self.hold = HOLD;
        self.reopened = false;
    }

    /// The balancer decides when there is to be another call.
    fn on_failure(&mut self) {
        self.calling = false;
        self.watching = false;
        self.reopened = false;
    }

    /// The next call is to be answered at once, with what a silent watch missed.
    fn reopen(&mut self) {
        self.hold = Duration::ZERO;
        self.reopened = true;
    }

    /// How long the service may hold the next call; none if that fetches the complete list.
    fn watch_hold(&self) -> Option<Duration> {
        (!self.full_list).then_some(self.hold)
    }
}

impl<P: Runtime> Discovery<P> {
    /// Calls whenever the balancer asks for it.
    ///
    /// A silent watch is noticed late, when little is left of the time within which the sidecar has to know
    /// what it missed. So it is reopened once without a backoff; sidecars notice at different times, which
    /// spreads these calls. A connection that breaks does so for all sidecars at once, so then the backoff
    /// of the balancer spreads the calls.
    pub(super) async fn run_polled(
        &mut self,
        listener: impl EndpointListener,
        mut requests: mpsc::UnboundedReceiver<DiscoveryRequest>,
    ) {
        let mut address = self.address.clone();
        let mut state = PollState::idle();
        loop {
            let max_servers = listener.max_servers();
            let call = async {
                if state.calling {
                    self.start_call(state.watch_hold(), PATIENCE, max_servers).await
                } else {
                    std::future::pending().await
                }
            };
            let response = tokio::select! {
                biased;
                // The present list is another service's, and so is its version.
                true = address_changed(&mut address) => {
                    state.on_address_changed();
                    self.version = 0;
                    self.connection = None;
                    continue;
                }
                request = requests.recv() => {
                    let Some(request) = request else { return };
                    state.on_request(request);
                    continue;
                }
                response = call => response,
            };
            if self.finish_poll(&listener, response, max_servers, &mut state) {
                self.call_finished.notify_one();
            }
        }
    }

    /// Takes in a response, and sets what follows; whether the call is over and not reopened.
    fn finish_poll(
        &mut self,
        listener: &impl EndpointListener,
        response: Result<ListResponse<P>, CallError>,
        max_servers: usize,
        state: &mut PollState,
    ) -> bool {
        let response =
            response.and_then(|response| self.apply(listener, response, CallOrder::AfterList));
        self.record_error(&response);
        match response {
            Ok(Update::Changed | Update::Unchanged | Update::Restarted) => {
                state.on_success();
                return true;
            }
            Err(CallError::TimedOut) if !state.reopened => {
                state.reopen();
                return false;
            }
            Err(CallError::TooLong(bytes)) => self.report_too_long(listener, bytes, max_servers),
            Ok(Update::Stale | Update::Overtaken)
            | Err(CallError::Broken | CallError::TimedOut | CallError::NoMemory) => {}
        }
        self.status.discovery.check_overdue(P::now(), NOTIFICATION_BOUND, 0);
        state.on_failure();
        listener.on_failure();
        true
    }
}
