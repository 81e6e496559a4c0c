//! Schedule of the calls to an agent that pushes lists: when a call is started and which calls are cancelled. There is
//! no I/O, and the current time is passed in.
//!
//! By the protocol, a sidecar is expected to know its agent's list as soon as the agent is reachable, whatever happened
//! to the sidecar's own calls: a change has to arrive within the grace period of a draining server. Calls to the agent
//! are cheap. The agent is therefore watched by short long polls, and while a response is late, further calls are made
//! in parallel, each on its own connection: the first connection may never respond while a new one does.
//!
//! No call is cancelled in favor of a newer one while its response can still be in time. If each call replaced the
//! previous one, no response would ever arrive from an agent that takes longer to answer than the time between two
//! calls.

use std::time::{Duration, Instant};

use super::Update;
use super::calls::{CallId, CallNumbers, CallOrder};

/// Minimum and maximum time for which the agent may hold a watch.
const MIN_HOLD: Duration = Duration::from_millis(20);
const MAX_HOLD: Duration = Duration::from_millis(500);
/// Minimum and maximum time between two calls while responses are late.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// The grace period divided by this is the time for which a watch may be held.
const HOLD_DIVISOR: u32 = 5;
/// The grace period divided by this is the time between two calls while responses are late.
const INTERVAL_DIVISOR: u32 = 8;
/// Maximum number of calls in flight. At one call per interval, this has room for all calls that are younger than the
/// grace period and three older ones.
pub(super) const MAX_CALLS: usize = INTERVAL_DIVISOR as usize + 4;
/// Pause after a response without changes, so that an agent that does not hold watches is not called in a busy loop.
const UNCHANGED_DELAY: Duration = Duration::from_millis(20);
/// Delay until the file descriptor of a cancelled call can be reused; short enough that nothing else takes it before.
const DESCRIPTOR_REUSE_DELAY: Duration = Duration::from_millis(1);
/// Pause after a list that was too long.
const TOO_LONG_DELAY: Duration = Duration::from_secs(1);

/// Times by which an agent is called again, all derived from the grace period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallTiming {
    /// Time within which a change has to be known.
    pub(super) grace: Duration,
    /// Time for which the agent may hold a watch.
    hold: Duration,
    /// Time after which another call is started in parallel if the response to the newest one is late.
    pub(super) interval: Duration,
}

impl CallTiming {
    /// Returns the timing for servers that may be sent requests for `grace` after discovery has reported them as
    /// draining or gone.
    ///
    /// If only the open connections have stopped responding, a change is requested after at most `hold` plus
    /// `interval`; if the agent as a whole had, or the connections opened since have stopped too, after `interval`. The
    /// response has the rest of the grace period.
    pub(super) fn for_grace(grace: Duration) -> CallTiming {
        CallTiming {
            grace,
            hold: (grace / HOLD_DIVISOR).clamp(MIN_HOLD, MAX_HOLD),
            interval: (grace / INTERVAL_DIVISOR).clamp(MIN_INTERVAL, MAX_INTERVAL),
        }
    }
}

/// A call to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NextCall {
    pub(super) id: CallId,
    /// Time for which the agent may hold the call; `None` if it fetches the complete list.
    pub(super) hold: Option<Duration>,
}

/// A call that was started and has not ended.
#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    id: CallId,
    started: Instant,
    hold: Option<Duration>,
    /// Whether an earlier call was late when this one was started.
    follows_late_call: bool,
}

impl CallInFlight {
    /// Returns when the response is due if the agent holds the call for its full time.
    fn due(&self) -> Instant {
        self.started + self.hold.unwrap_or_default()
    }

    /// Returns the time from which on the next call does not wait for this one.
    ///
    /// After a late call, it does not wait for the agent to hold this one: the connection may fall silent as well, and the
    /// next call would come a whole watch later.
    fn expected_by(&self) -> Instant {
        if self.follows_late_call { self.started } else { self.due() }
    }
}

/// The schedule of the calls to an agent.
#[derive(Debug)]
pub(super) struct CallSchedule {
    timing: CallTiming,
    /// Calls in flight, in the order in which they were started.
    in_flight: Vec<CallInFlight>,
    numbers: CallNumbers,
    /// Whether the next call fetches the complete list.
    full_list: bool,
    /// Whether the next call is started without waiting for the newest one to be late.
    urgent: bool,
    /// Earliest start of the next call.
    paused_until: Instant,
}

impl CallSchedule {
    /// Creates the schedule of an agent that has not been called yet.
    pub(super) fn new(timing: CallTiming, now: Instant) -> CallSchedule {
        CallSchedule {
            timing,
            in_flight: Vec::new(),
            numbers: CallNumbers::default(),
            full_list: true,
            urgent: false,
            paused_until: now,
        }
    }

    /// Returns when the next call is to be started, unless a call ends before that.
    pub(super) fn next_call_at(&self) -> Instant {
        let newest = self.in_flight.last().filter(|_| !self.urgent);
        let late = newest.map(|call| call.expected_by() + self.timing.interval);
        late.map_or(self.paused_until, |late| late.max(self.paused_until))
    }

    /// Starts the next call. Returns the calls that are cancelled for it; calls whose response is being received are
    /// never among them.
    pub(super) fn start_next(
        &mut self,
        now: Instant,
        is_receiving: impl Fn(CallId) -> bool,
    ) -> (NextCall, Vec<CallId>) {
        // The agent may have restarted, so that its versions may denote other lists.
        let agent_is_silent = self
            .in_flight
            .first()
            .is_some_and(|oldest| now > oldest.due() + 2 * self.timing.interval);
        self.full_list |= agent_is_silent;
        self.urgent = false;
        let cancelled = self.cancel_old(now, is_receiving);
        let next = NextCall {
            id: self.numbers.next(),
            hold: (!self.full_list).then_some(self.timing.hold),
        };
        let (id, hold) = (next.id, next.hold);
        let follows_late_call = self.in_flight.first().is_some_and(|oldest| now > oldest.due());
        self.in_flight.push(CallInFlight { id, started: now, hold, follows_late_call });
        (next, cancelled)
    }

    /// Cancels calls that are older than the grace period, except for the oldest one and one for each further grace
    /// period: lists of an agent that needs longer than that to respond still arrive, if late.
    ///
    /// If [`MAX_CALLS`] are still in flight, cancels one more: of those after the oldest, the first whose response is
    /// not being received.
    fn cancel_old(&mut self, now: Instant, is_receiving: impl Fn(CallId) -> bool) -> Vec<CallId> {
        // If calls were cancelled earlier, no response that takes longer than the time between two calls could arrive.
        let grace = self.timing.grace;
        let mut cancelled = Vec::new();
        let mut kept_at: Option<Instant> = None;
        self.in_flight.retain(|call| {
            let is_old = now >= call.started + grace;
            let keeps = !is_old
                || is_receiving(call.id)
                || kept_at.is_none_or(|kept_at| call.started >= kept_at + grace);
            if keeps {
                kept_at = Some(call.started);
            } else {
                cancelled.push(call.id);
            }
            keeps
        });
        let removable = |call: &CallInFlight| !is_receiving(call.id);
        if self.in_flight.len() >= MAX_CALLS
            && let Some(index) = self.in_flight[1..].iter().position(removable)
        {
            cancelled.push(self.in_flight.remove(1 + index).id);
        }
        cancelled
    }

    /// Returns whether a call was started before or after the current list was applied.
    pub(super) fn order(&self, id: CallId) -> CallOrder {
        self.numbers.order(id)
    }

    /// Delays the next call by one interval.
    pub(super) fn postpone(&mut self, now: Instant) {
        self.paused_until = now + self.timing.interval;
    }

    /// Records that a call returned a list. Returns the calls that are cancelled: those that were started before it,
    /// whose lists would be older.
    pub(super) fn on_list(&mut self, id: CallId, update: Update, now: Instant) -> Vec<CallId> {
        match update {
            Update::Changed | Update::Unchanged => {
                self.full_list = false;
                self.numbers.list_applied();
                let pause =
                    if update == Update::Changed { Duration::ZERO } else { UNCHANGED_DELAY };
                self.paused_until = now + pause;
                self.remove_calls(|call| call.id <= id)
            }
            // The agent has restarted its version counter, so the calls in flight refer to versions of another list.
            Update::Restarted => {
                self.full_list = false;
                self.numbers.list_applied();
                self.paused_until = now;
                self.remove_calls(|_| true)
            }
            Update::Stale => {
                self.full_list = true;
                self.urgent = true;
                self.remove_calls(|call| call.id == id)
            }
            Update::Superseded => self.remove_calls(|call| call.id == id),
        }
        .into_iter()
        .filter(|removed| *removed != id)
        .collect()
    }

    /// Records that a call was refused or reset, or returned something that is not a list. Returns the calls that are
    /// cancelled.
    ///
    /// A restarted agent may restart its version counter and reach a version that previously denoted another list. All
    /// watches are therefore cancelled, and the complete list is fetched.
    pub(super) fn on_broken(&mut self, id: CallId, now: Instant) -> Vec<CallId> {
        self.full_list = true;
        self.urgent = true;
        self.paused_until = now + self.timing.interval;
        let mut cancelled = self.remove_calls(|call| call.id == id || call.hold.is_some());
        cancelled.retain(|call| *call != id);
        cancelled
    }

    /// Records that no file descriptor was available for a call. Returns the calls that are cancelled.
    ///
    /// The next call can reuse the descriptor of the oldest one, which is cancelled once it is late by half the grace
    /// period. Responses that take less than that thus arrive even if only one descriptor is available.
    pub(super) fn on_shortage(&mut self, id: CallId, now: Instant) -> Vec<CallId> {
        self.remove_calls(|call| call.id == id);
        self.urgent = true;
        if self.in_flight.is_empty() || self.lateness(now) < self.timing.grace / 2 {
            self.paused_until = now + self.timing.interval;
            return Vec::new();
        }
        self.paused_until = now + DESCRIPTOR_REUSE_DELAY;
        vec![self.in_flight.remove(0).id]
    }

    /// Records that a call timed out, or that there was no memory for its response.
    pub(super) fn on_timeout(&mut self, id: CallId) {
        self.full_list = true;
        self.remove_calls(|call| call.id == id);
    }

    /// Records that a call returned a list that is too long to be read.
    pub(super) fn on_too_long(&mut self, id: CallId, now: Instant) {
        self.full_list = true;
        self.paused_until = now + TOO_LONG_DELAY;
        self.remove_calls(|call| call.id == id);
    }

    /// Makes the next call fetch the complete list, without waiting for calls in flight.
    pub(super) fn request_full_list(&mut self) {
        self.full_list = true;
        self.urgent = true;
    }

    /// Returns the time by which the oldest call in flight is late; zero if it is not.
    pub(super) fn lateness(&self, now: Instant) -> Duration {
        let oldest = self.in_flight.first();
        oldest.map_or(Duration::ZERO, |call| now.saturating_duration_since(call.due()))
    }

    /// Removes the calls that match `which` from the calls in flight, and returns them.
    fn remove_calls(&mut self, which: impl Fn(&CallInFlight) -> bool) -> Vec<CallId> {
        let removed = self.in_flight.iter().filter(|call| which(call)).map(|call| call.id);
        let removed = removed.collect();
        self.in_flight.retain(|call| !which(call));
        removed
    }
}

#[cfg(test)]
mod tests;
