//! Lists that an agent on this machine pushes: calls to it cost nothing, so one is always in flight.

use std::time::Duration;

use runtime::{Runtime, expiry};
use tokio::sync::mpsc;

use super::calls::{CallId, CallResult, CallsInFlight};
use super::client::{CallError, READ_TIMEOUT};
use super::list_buffer::ListMemory;
use super::schedule::CallSchedule;
use super::{Discovery, DiscoveryRequest, EndpointListener, address_changed};
use crate::sidecar::discovery_status::CallEnd;

/// How long an agent may take to answer a call. A slower one is never understood.
const PATIENCE: Duration = Duration::from_secs(2);

/// What happens next.
enum PushEvent<P: Runtime> {
    /// Discovery is at another address.
    Moved,
    CallEnded(CallId, CallResult<P>),
    Requested(DiscoveryRequest),
    CallDue,
    /// Nobody wants lists any more.
    Closed,
}

/// The calls of an agent, and when they are made.
struct Watch<P: Runtime> {
    schedule: CallSchedule,
    calls: CallsInFlight<P>,
}

impl<P: Runtime> Discovery<P> {
    /// Watches the list.
    pub(super) async fn run_pushed(
        &mut self,
        listener: impl EndpointListener,
        mut requests: mpsc::UnboundedReceiver<DiscoveryRequest>,
    ) {
        let mut address = self.address.clone();
        let mut watch = self.new_watch();
        loop {
            let event = tokio::select! {
                biased;
                true = address_changed(&mut address) => PushEvent::Moved,
                (id, result) = watch.calls.next() => PushEvent::CallEnded(id, result),
                request = requests.recv() => request.map_or(PushEvent::Closed, PushEvent::Requested),
                () = expiry::<P>(watch.schedule.next_call_at()) => PushEvent::CallDue,
            };
            match event {
                PushEvent::Moved => {
                    // Each service counts its own versions, so a new one is asked for the complete list,
                    // and at once, since the sidecar counts as knowing what it has.
                    self.record_superseded(watch.calls.len());
                    watch = self.new_watch();
                    self.version = 0;
                    self.connection = None;
                }
                PushEvent::CallEnded(id, result) => {
                    self.finish_call(&listener, &mut watch, id, result);
                    self.call_finished.notify_one();
                }
                PushEvent::Requested(DiscoveryRequest::Fetch) => watch.schedule.request_full_list(),
                // An agent is always watched.
                PushEvent::Requested(DiscoveryRequest::Watch) => {}
                PushEvent::CallDue => self.begin_call(&listener, &mut watch),
                PushEvent::Closed => return,
            }
        }
    }

    fn new_watch(&self) -> Watch<P> {
        let schedule = CallSchedule::new(self.agent, P::now());
        Watch { schedule, calls: CallsInFlight::new() }
    }

    /// Begins the next call, unless enough responses are arriving: more would only take their bandwidth.
    fn begin_call(&mut self, listener: &impl EndpointListener, watch: &mut Watch<P>) {
        let now = P::now();
        let Watch { schedule, calls } = watch;
        self.status.discovery.check_overdue(now, self.agent.grace, calls.len());
        if schedule.lateness(now) >= READ_TIMEOUT {
            // What waits for the first call to end need not wait for one that is late.
            self.call_finished.notify_one();
        }
        if calls.receiving(now, self.agent.interval) >= ListMemory::MAX_LISTS {
            return schedule.postpone(now);
        }
        let is_receiving = |id| calls.is_receiving(id, now, self.agent.grace);
        let (next, given_up) = schedule.begin(now, is_receiving);
        self.give_up(calls, &given_up);
        let call = self.start_call(next.hold, PATIENCE, listener.max_servers());
        calls.push(next.id, call);
    }

    /// Takes in what a call came to.
    fn finish_call(
        &mut self,
        listener: &impl EndpointListener,
        watch: &mut Watch<P>,
        id: CallId,
        result: CallResult<P>,
    ) {
        let Watch { schedule, calls } = watch;
        let order = schedule.order(id);
        let update = result.and_then(|response| self.apply(listener, response, order));
        self.record_error(&update);
        let given_up = match update {
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
        self.give_up(calls, &given_up);
    }

    fn give_up(&self, calls: &mut CallsInFlight<P>, given_up: &[CallId]) {
        for &id in given_up {
            calls.remove(id);
        }
        self.record_superseded(given_up.len());
    }

    /// Counts calls that were given up for others.
    pub(super) fn record_superseded(&self, count: usize) {
        for _ in 0..count {
            self.status.discovery.record_end(CallEnd::Superseded);
        }
    }
}
