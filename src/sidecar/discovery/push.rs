//! Lists that an agent on this machine pushes: calls to it cost nothing, so one is always in flight.

use std::time::Duration;

use runtime::Runtime;
use tokio::sync::mpsc;

use super::client::{CallError, ListCall, ListResponse, READ_TIMEOUT};
use super::{Discovery, DiscoveryRequest, EndpointListener, Update, address_changed};
use crate::sidecar::discovery_status::CallEnd;

/// Between two calls for a list that was too long.
const TOO_LONG_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Between two calls that fail.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Between two calls that bring a list without servers.
const EMPTY_LIST_DELAY: Duration = Duration::from_millis(20);

/// The shortest and the longest time for which the agent may hold a watch.
const SHORTEST_HOLD: Duration = Duration::from_millis(20);
const LONGEST_HOLD: Duration = Duration::from_millis(500);

/// How long an agent is waited for.
#[derive(Clone, Copy, Debug)]
pub(super) struct AgentTimeouts {
    /// A change has to be known this soon.
    grace: Duration,
    /// It may hold a watch for so long.
    hold: Duration,
    /// A call that takes so much longer is hedged by another one.
    hedge_after: Duration,
}

impl AgentTimeouts {
    /// For servers that may be sent requests for `grace` after they are known to want none.
    ///
    /// By the protocol, a sidecar counts as knowing what its agent has as soon as the agent can be reached,
    /// whatever became of the sidecar's own calls. The time until a call is answered therefore has to fit
    /// into `grace`. With a `grace` of some milliseconds, the agent is called that often.
    pub(super) fn within(grace: Duration) -> AgentTimeouts {
        AgentTimeouts {
            grace,
            hold: (grace / 2).clamp(SHORTEST_HOLD, LONGEST_HOLD),
            hedge_after: (grace / 4).clamp(SHORTEST_HOLD, READ_TIMEOUT),
        }
    }
}

/// What the next call is to be.
struct WatchState<P: Runtime> {
    /// It fetches the complete list.
    full_list: bool,
    /// An earlier call that is still waited for beside it.
    slow_call: Option<ListCall<P>>,
}

impl<P: Runtime> Discovery<P> {
    /// Watches the list.
    ///
    /// The sidecar counts as knowing what the agent has, so there is always a watch in flight. Short watches
    /// cost nothing here, and soon show that the agent has stopped responding. Such an agent may never
    /// answer the calls of that time, so another call is made; a slow one may still complete beside it.
    pub(super) async fn run_pushed(
        &mut self,
        listener: impl EndpointListener,
        mut requests: mpsc::UnboundedReceiver<DiscoveryRequest>,
    ) {
        let mut state = WatchState { full_list: true, slow_call: None };
        let mut address = self.address.clone();
        loop {
            let hold = (!state.full_list).then_some(self.agent.hold);
            let max_servers = listener.max_servers();
            self.status.discovery.check_overdue(P::now(), self.agent.grace, 1);
            let mut call = self.start_call(hold, READ_TIMEOUT, max_servers);
            let hedge_at = P::now() + hold.unwrap_or_default() + self.agent.hedge_after;
            let response = tokio::select! {
                biased;
                // Each service counts its own versions, so a new one is asked for the complete list, and at
                // once, since the sidecar counts as knowing what it has.
                true = address_changed(&mut address) => {
                    state = WatchState { full_list: true, slow_call: None };
                    self.version = 0;
                    continue;
                }
                response = call.as_mut() => response,
                response = wait_for(&mut state.slow_call) => {
                    state.slow_call = None;
                    response
                }
                request = requests.recv() => {
                    state.full_list |= request == Some(DiscoveryRequest::Fetch);
                    continue;
                }
                () = P::sleep_until(hedge_at) => {
                    state.full_list = true;
                    if state.slow_call.is_some() {
                        self.status.discovery.record_end(CallEnd::Superseded);
                    }
                    state.slow_call = state.slow_call.or(Some(call));
                    continue;
                }
            };
            let delay = self.finish_watch(&listener, response, max_servers, &mut state);
            if let Some(delay) = delay {
                P::sleep(delay).await;
            }
            self.call_finished.notify_one();
        }
    }

    /// Takes in a response, and sets what follows; returns how long to wait before that.
    fn finish_watch(
        &mut self,
        listener: &impl EndpointListener,
        response: Result<ListResponse<P>, CallError>,
        max_servers: usize,
        state: &mut WatchState<P>,
    ) -> Option<Duration> {
        let response = response.and_then(|response| self.apply(listener, response));
        self.record_error(&response);
        match response {
            Ok(update) => {
                *state = WatchState { full_list: update == Update::Stale, slow_call: None };
                // An agent that does not hold watches is not called without a pause.
                (update == Update::Empty).then_some(EMPTY_LIST_DELAY)
            }
            Err(CallError::TooLong(bytes)) => {
                self.report_too_long(listener, bytes, max_servers);
                *state = WatchState { full_list: true, slow_call: None };
                Some(TOO_LONG_RETRY_DELAY)
            }
            // An agent that was restarted may count its versions from the start again, and reach one that
            // stood for another list. So the complete list is fetched, which costs nothing here. The slow
            // call is dropped, since it may hold the last file descriptor, which the next call needs.
            Err(CallError::Broken) => {
                *state = WatchState { full_list: true, slow_call: None };
                Some(RETRY_DELAY.min(self.agent.hedge_after))
            }
            Err(CallError::TimedOut) => {
                state.full_list = true;
                None
            }
        }
    }
}

/// The response to a call, if there is one; else it never ends.
async fn wait_for<P: Runtime>(
    call: &mut Option<ListCall<P>>,
) -> Result<ListResponse<P>, CallError> {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}
