//! Discovery by push: lists come from an agent on this host. Calls to it are cheap, so a watch is always in flight.

use std::time::Duration;

use runtime::{Runtime, expiry};
use tokio::sync::mpsc;

use super::calls::{CallId, CallResult, CallsInFlight};
use super::client::{CallError, READ_TIMEOUT};
use super::list_buffer::ListMemory;
use super::schedule::CallSchedule;
use super::{Discovery, DiscoveryRequest, EndpointListener, address_changed};
use crate::sidecar::discovery_status::CallOutcome;

/// Timeout for the response head of a call to the agent. Lists of a slower agent are never received.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// An event that the push loop handles.
enum PushEvent<P: Runtime> {
    /// The address of the agent has changed.
    AddressChanged,
    CallEnded(CallId, CallResult<P>),
    Requested(DiscoveryRequest),
    /// The next call is due.
    CallDue,
    /// The request channel was closed: no more lists are needed.
    Closed,
}

/// The calls to an agent and their schedule.
struct AgentCalls<P: Runtime> {
    schedule: CallSchedule,
    calls: CallsInFlight<P>,
}

impl<P: Runtime> Discovery<P> {
    /// Watches the agent's list until `requests` is closed.
    pub(super) async fn run_pushed(
        &mut self,
        listener: impl EndpointListener,
        mut requests: mpsc::UnboundedReceiver<DiscoveryRequest>,
    ) {
        let mut address = self.address.clone();
        let mut agent = self.new_agent_calls();
        loop {
            let event = tokio::select! {
                biased;
                true = address_changed(&mut address) => PushEvent::AddressChanged,
                (id, result) = agent.calls.next() => PushEvent::CallEnded(id, result),
                request = requests.recv() => request.map_or(PushEvent::Closed, PushEvent::Requested),
                () = expiry::<P>(agent.schedule.next_call_at()) => PushEvent::CallDue,
            };
            match event {
                PushEvent::AddressChanged => {
                    // Each agent has its own version counter, so the new one is asked for the complete list. It is
                    // asked immediately, since by the protocol the sidecar is expected to know its list.
                    self.record_superseded(agent.calls.len());
                    agent = self.new_agent_calls();
                    self.version = 0;
                    self.connection = None;
                }
                PushEvent::CallEnded(id, result) => {
                    self.finish_call(&listener, &mut agent, id, result);
                    self.call_finished.notify_one();
                }
                PushEvent::Requested(DiscoveryRequest::Fetch) => agent.schedule.request_full_list(),
                // The agent is always watched.
                PushEvent::Requested(DiscoveryRequest::Watch) => {}
                PushEvent::CallDue => self.start_next_call(&listener, &mut agent),
                PushEvent::Closed => return,
            }
        }
    }

    fn new_agent_calls(&self) -> AgentCalls<P> {
        let schedule = CallSchedule::new(self.call_timing, P::now());
        AgentCalls { schedule, calls: CallsInFlight::new() }
    }

    /// Starts the next call, unless enough responses are being received: more calls would only compete with them for
    /// bandwidth.
    fn start_next_call(&mut self, listener: &impl EndpointListener, agent: &mut AgentCalls<P>) {
        let now = P::now();
        let AgentCalls { schedule, calls } = agent;
        self.status.discovery.check_overdue(now, self.call_timing.grace, calls.len());
        if schedule.lateness(now) >= READ_TIMEOUT {
            // Tasks that wait for the end of the first call must not wait any longer if it is late.
            self.call_finished.notify_one();
        }
        if calls.receiving_count(now, self.call_timing.interval) >= ListMemory::MAX_LISTS {
            return schedule.postpone(now);
        }
        let is_receiving = |id| calls.is_receiving(id, now, self.call_timing.grace);
        let (next, cancelled) = schedule.start_next(now, is_receiving);
        self.cancel(calls, &cancelled);
        let call = self.start_call(next.hold, HEAD_TIMEOUT, listener.max_servers());
        calls.push(next.id, call);
    }

    /// Handles the result of a call.
    fn finish_call(
        &mut self,
        listener: &impl EndpointListener,
        agent: &mut AgentCalls<P>,
        id: CallId,
        result: CallResult<P>,
    ) {
        let AgentCalls { schedule, calls } = agent;
        let order = schedule.order(id);
        let update = result.and_then(|response| self.apply(listener, response, order));
        self.record_error(&update);
        let cancelled = match update {
            Ok(update) => schedule.on_list(id, update, P::now()),
            Err(CallError::Broken) => schedule.on_broken(id, P::now()),
            Err(CallError::Shortage) => schedule.on_shortage(id, P::now()),
            Err(CallError::TimedOut | CallError::NoMemory) => {
                schedule.on_timeout(id);
                Vec::new()
            }
            Err(CallError::TooLong(bytes)) => {
                self.report_too_long(listener, bytes, listener.max_servers());
                schedule.on_too_long(id, P::now());
                Vec::new()
            }
        };
        self.cancel(calls, &cancelled);
    }

    fn cancel(&self, calls: &mut CallsInFlight<P>, cancelled: &[CallId]) {
        for &id in cancelled {
            calls.remove(id);
        }
        self.record_superseded(cancelled.len());
    }

    /// Counts calls that were cancelled in favor of newer ones.
    pub(super) fn record_superseded(&self, count: usize) {
        for _ in 0..count {
            self.status.discovery.record_outcome(CallOutcome::Superseded);
        }
    }
}
