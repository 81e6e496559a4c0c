//! Discovery by polling: lists come from a service that many sidecars share. Every call puts load on that service, so
//! the balancer decides when a call is made.

use std::time::{Duration, Instant};

use runtime::{Runtime, expiry};
use tokio::sync::mpsc;

use super::calls::{CallId, CallNumbers, CallResult, CallsInFlight};
use super::client::CallError;
use super::{Discovery, DiscoveryRequest, EndpointListener, Update, address_changed};
use crate::api::NOTIFICATION_DEADLINE;

/// Time for which the service may hold a watch.
///
/// By the protocol, a sidecar is expected to know what an unresponsive watch missed 6 s after it became unresponsive.
/// [`HOLD`] and [`LATE_AFTER`] leave room for a second watch and, if that fails, the balancer's first backoff and a
/// third call.
const HOLD: Duration = Duration::from_millis(2000);
/// Time after the end of the hold, or after the start of a call that is not held, at which a call counts as late and
/// the service is called again.
const LATE_AFTER: Duration = Duration::from_millis(1500);
/// Timeout for the response head, also of late calls that are still awaited while newer ones are made. Lists of a
/// slower service are never received.
const HEAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of late calls that are awaited in addition to the current one.
const MAX_LATE_CALLS: usize = 2;
/// After a failed call, a list that discovery has not confirmed for this long counts as overdue.
const NOTIFICATION_BOUND: Duration = Duration::from_micros(NOTIFICATION_DEADLINE);

/// The newest call, from which the next list is expected.
#[derive(Clone, Copy, Debug)]
struct CurrentCall {
    id: CallId,
    /// Time at which the call counts as late if no part of its response has arrived by then.
    late_at: Instant,
}

/// State that determines whether and how the next call is made.
#[derive(Debug, Default)]
struct PollState {
    /// Whether a call is to be in flight.
    calling: bool,
    /// Whether the next call fetches the complete list.
    full_list: bool,
    /// Whether watches follow the next call.
    watching: bool,
    /// Time for which the service may hold the next call, if it is a watch.
    hold: Duration,
    /// Whether the current call has replaced one that was late.
    reopened: bool,
    current: Option<CurrentCall>,
    numbers: CallNumbers,
}

impl PollState {
    /// Makes the next call fetch the complete list from the service at the new address.
    fn on_address_changed(&mut self) {
        self.calling = true;
        self.full_list = true;
        self.reopened = false;
        self.current = None;
    }

    fn on_request(&mut self, request: DiscoveryRequest) {
        match request {
            DiscoveryRequest::Watch => {
                self.watching = true;
                // The first watch is not held, so it returns the missed changes immediately.
                self.hold = Duration::ZERO;
            }
            DiscoveryRequest::Fetch => self.full_list = true,
        }
        self.calling = true;
        self.reopened = false;
    }

    /// Starts the next call.
    fn start_next(&mut self, now: Instant) -> CallId {
        let id = self.numbers.next();
        let hold = self.watch_hold().unwrap_or_default();
        self.current = Some(CurrentCall { id, late_at: now + hold + LATE_AFTER });
        id
    }

    /// Handles a list returned by the current call. Watches follow if the balancer has requested them.
    fn on_success(&mut self) {
        self.calling = self.watching;
        self.full_list = false;
        self.hold = HOLD;
        self.reopened = false;
        self.current = None;
    }

    /// Handles a failure of the current call. The balancer decides when the next call is made.
    fn on_failure(&mut self) {
        self.calling = false;
        self.watching = false;
        self.reopened = false;
        self.current = None;
    }

    /// Handles a late current call. The next watch is not held, so it returns the missed changes immediately. Returns
    /// whether the next call is made now; false if the current call has already replaced a late one.
    fn on_late(&mut self) -> bool {
        if self.reopened {
            self.on_failure();
            return false;
        }
        self.hold = Duration::ZERO;
        self.reopened = true;
        self.current = None;
        true
    }

    fn is_current(&self, id: CallId) -> bool {
        self.current.is_some_and(|current| current.id == id)
    }

    /// Returns the time for which the service may hold the next call; `None` if it fetches the complete list.
    fn watch_hold(&self) -> Option<Duration> {
        (!self.full_list).then_some(self.hold)
    }
}

/// An event that the polling loop handles.
enum PollEvent<P: Runtime> {
    /// The address of the discovery service has changed.
    AddressChanged,
    Requested(DiscoveryRequest),
    CallEnded(CallId, CallResult<P>),
    /// The current call is late, unless a part of its response has just arrived.
    Late,
    /// The request channel was closed: no more lists are needed.
    Closed,
}

impl<P: Runtime> Discovery<P> {
    /// Makes calls when the balancer requests them.
    ///
    /// A watch without a response is detected late, when little is left of the time within which the sidecar has to
    /// know what it missed. Such a watch is therefore reopened once without backoff; sidecars detect it at different
    /// times, which spreads these calls. A broken connection is seen by all sidecars at the same time, so after that
    /// the balancer's backoff spreads the calls.
    ///
    /// A late call stays in flight next to the following one. If it were cancelled, no response would ever arrive from
    /// a service that takes longer to answer than the time between two calls.
    pub(super) async fn run_polled(
        &mut self,
        listener: impl EndpointListener,
        mut requests: mpsc::UnboundedReceiver<DiscoveryRequest>,
    ) {
        let mut address = self.address.clone();
        let mut state = PollState::default();
        let mut calls = CallsInFlight::new();
        loop {
            if state.calling && state.current.is_none() {
                self.start_poll(&listener, &mut state, &mut calls);
            }
            let event = tokio::select! {
                biased;
                true = address_changed(&mut address) => PollEvent::AddressChanged,
                request = requests.recv() => request.map_or(PollEvent::Closed, PollEvent::Requested),
                (id, result) = calls.next() => PollEvent::CallEnded(id, result),
                () = wait_until_late::<P>(state.current) => PollEvent::Late,
            };
            match event {
                // The version of the current list has no meaning at the new service.
                PollEvent::AddressChanged => {
                    self.record_superseded(calls.len());
                    calls = CallsInFlight::new();
                    state.on_address_changed();
                    self.version = 0;
                    self.connection = None;
                }
                PollEvent::Requested(request) => {
                    if let Some(current) = state.current.take() {
                        calls.remove(current.id);
                        self.record_superseded(1);
                    }
                    state.on_request(request);
                }
                PollEvent::CallEnded(id, result) => {
                    if self.finish_poll(&listener, id, result, &mut state, &mut calls) {
                        self.call_finished.notify_one();
                    }
                }
                PollEvent::Late => self.on_late_poll(&listener, &mut state, &calls),
                PollEvent::Closed => return,
            }
        }
    }

    fn start_poll(
        &mut self,
        listener: &impl EndpointListener,
        state: &mut PollState,
        calls: &mut CallsInFlight<P>,
    ) {
        if calls.len() > MAX_LATE_CALLS
            && let Some(oldest) = calls.oldest()
        {
            calls.remove(oldest);
            self.record_superseded(1);
        }
        let id = state.start_next(P::now());
        let call = self.start_call(state.watch_hold(), HEAD_TIMEOUT, listener.max_servers());
        calls.push(id, call);
    }

    /// Handles the current call as late, unless a part of its response has just arrived.
    fn on_late_poll(
        &mut self,
        listener: &impl EndpointListener,
        state: &mut PollState,
        calls: &CallsInFlight<P>,
    ) {
        let Some(current) = &mut state.current else { return };
        if let Some(progress) = calls.last_progress(current.id)
            && progress + LATE_AFTER > current.late_at
        {
            current.late_at = progress + LATE_AFTER;
            return;
        }
        if !state.on_late() {
            self.report_failure(listener);
            self.call_finished.notify_one();
        }
    }

    /// Handles the result of a call. Returns whether the current call has ended and is not reopened.
    fn finish_poll(
        &mut self,
        listener: &impl EndpointListener,
        id: CallId,
        result: CallResult<P>,
        state: &mut PollState,
        calls: &mut CallsInFlight<P>,
    ) -> bool {
        let is_current = state.is_current(id);
        let order = state.numbers.order(id);
        let update = result.and_then(|response| self.apply(listener, response, order));
        self.record_error(&update);
        match update {
            Ok(Update::Changed | Update::Unchanged | Update::Restarted) => {
                state.numbers.list_applied();
                let older = calls.remove_before(id);
                self.record_superseded(older);
                state.full_list = false;
            }
            Err(CallError::TooLong(bytes)) => {
                self.report_too_long(listener, bytes, listener.max_servers());
            }
            Ok(Update::Stale | Update::Superseded) | Err(_) => {}
        }
        if !is_current {
            // A late call has ended. The current call stays in flight, or the balancer decides when the next is made.
            return false;
        }
        match update {
            Ok(Update::Stale) => state.full_list = true,
            Ok(_) => {
                state.on_success();
                return true;
            }
            Err(CallError::TimedOut) => {
                if state.on_late() {
                    return false;
                }
            }
            Err(_) => {}
        }
        state.on_failure();
        self.report_failure(listener);
        true
    }

    fn report_failure(&self, listener: &impl EndpointListener) {
        self.status.discovery.check_overdue(P::now(), NOTIFICATION_BOUND, 0);
        listener.on_failure();
    }
}

/// Waits until the current call is due to be late. Never returns without a current call.
async fn wait_until_late<P: Runtime>(call: Option<CurrentCall>) {
    match call {
        Some(call) => expiry::<P>(call.late_at).await,
        None => std::future::pending().await,
    }
}
