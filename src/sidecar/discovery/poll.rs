//! Lists that are polled from a service shared by many sidecars: calls load it, and the balancer
//! decides when there is one.

use std::time::{Duration, Instant};

use runtime::{Runtime, expiry};
use tokio::sync::mpsc;

use super::calls::{CallId, CallNumbers, CallResult, CallsInFlight};
use super::client::CallError;
use super::{Discovery, DiscoveryRequest, EndpointListener, Update, address_changed};
use crate::api::NOTIFICATION_DEADLINE;

/// How long the service may hold a watch, and how long it may take to answer after that, or at once,
/// before it is called again.
///
/// By the protocol, the sidecar counts as knowing what a silent watch missed 6 s after it fell silent.
/// These times leave room for a second watch and, if that fails, the balancer's first backoff and a
/// third call.
const HOLD: Duration = Duration::from_millis(2000);
const PATIENCE: Duration = Duration::from_millis(1500);
/// How long a call is waited for beside others. A slower service is never understood.
const LATE_PATIENCE: Duration = Duration::from_secs(4);
/// The most calls that are waited for beside the current one.
const MAX_LATE_CALLS: usize = 2;
/// After a failed call, a list that discovery has not confirmed for so long counts as overdue.
const NOTIFICATION_BOUND: Duration = Duration::from_micros(NOTIFICATION_DEADLINE);

/// The call that is to bring the next list.
#[derive(Clone, Copy, Debug)]
struct CurrentCall {
    id: CallId,
    /// When its response is late, if no part of it arrives before.
    late_at: Instant,
}

/// What the next call is to be.
#[derive(Debug, Default)]
struct PollState {
    /// There is to be a call.
    calling: bool,
    /// It fetches the complete list.
    full_list: bool,
    /// It is followed by watches.
    watching: bool,
    /// How long the service may hold it, if it is a watch.
    hold: Duration,
    /// It was opened for a call that was late.
    reopened: bool,
    current: Option<CurrentCall>,
    numbers: CallNumbers,
}

impl PollState {
    /// The next call is of another service.
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
                // The first call is answered at once, with what was missed.
                self.hold = Duration::ZERO;
            }
            DiscoveryRequest::Fetch => self.full_list = true,
        }
        self.calling = true;
        self.reopened = false;
    }

    /// Begins the next call.
    fn begin(&mut self, now: Instant) -> CallId {
        let id = self.numbers.next();
        let hold = self.watch_hold().unwrap_or_default();
        self.current = Some(CurrentCall { id, late_at: now + hold + PATIENCE });
        id
    }

    /// The current call brought a list: it is watched on, if that was asked for.
    fn on_success(&mut self) {
        self.calling = self.watching;
        self.full_list = false;
        self.hold = HOLD;
        self.reopened = false;
        self.current = None;
    }

    /// The balancer decides when there is to be another call.
    fn on_failure(&mut self) {
        self.calling = false;
        self.watching = false;
        self.reopened = false;
        self.current = None;
    }

    /// The current call is late: the next one is to be answered at once, with what it missed. Whether there is
    /// to be a next one now.
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

    /// How long the service may hold the next call; none if that fetches the complete list.
    fn watch_hold(&self) -> Option<Duration> {
        (!self.full_list).then_some(self.hold)
    }
}

/// What happens next.
enum PollEvent<P: Runtime> {
    /// Discovery is at another address.
    Moved,
    Requested(DiscoveryRequest),
    CallEnded(CallId, CallResult<P>),
    /// The current call may be late.
    Late,
    /// Nobody wants lists any more.
    Closed,
}

impl<P: Runtime> Discovery<P> {
    /// Calls whenever the balancer asks for it.
    ///
    /// A silent watch is noticed late, when little is left of the time within which the sidecar has to know
    /// what it missed. So it is reopened once without a backoff; sidecars notice at different times, which
    /// spreads these calls. A connection that breaks does so for all sidecars at once, so then the backoff
    /// of the balancer spreads the calls.
    ///
    /// A call that is late is waited for beside the next: dropped for it, no answer of a service would
    /// arrive that needs longer than the time between two calls.
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
                self.begin_poll(&listener, &mut state, &mut calls);
            }
            let event = tokio::select! {
                biased;
                true = address_changed(&mut address) => PollEvent::Moved,
                request = requests.recv() => request.map_or(PollEvent::Closed, PollEvent::Requested),
                (id, result) = calls.next() => PollEvent::CallEnded(id, result),
                () = late::<P>(state.current) => PollEvent::Late,
            };
            match event {
                // The present list is another service's, and so is its version.
                PollEvent::Moved => {
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

    fn begin_poll(
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
        let id = state.begin(P::now());
        let call = self.start_call(state.watch_hold(), LATE_PATIENCE, listener.max_servers());
        calls.push(id, call);
    }

    /// Notes that the current call is late, unless a part of its response has just arrived.
    fn on_late_poll(
        &mut self,
        listener: &impl EndpointListener,
        state: &mut PollState,
        calls: &CallsInFlight<P>,
    ) {
        let Some(current) = &mut state.current else { return };
        if let Some(progress) = calls.last_progress(current.id)
            && progress + PATIENCE > current.late_at
        {
            current.late_at = progress + PATIENCE;
            return;
        }
        if !state.on_late() {
            self.report_failure(listener);
            self.call_finished.notify_one();
        }
    }

    /// Takes in what a call came to, and sets what follows; whether the current call is over and not reopened.
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
            Ok(Update::Stale | Update::Overtaken) | Err(_) => {}
        }
        if !is_current {
            // The current call goes on, or the balancer decides when there is to be another.
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

/// Waits until a call may be late; for ever, if there is none.
async fn late<P: Runtime>(call: Option<CurrentCall>) {
    match call {
        Some(call) => expiry::<P>(call.late_at).await,
        None => std::future::pending().await,
    }
}
