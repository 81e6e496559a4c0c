//! When an agent that pushes lists is called, and which calls are given up. No I/O: the clock is passed in.
//!
//! By the protocol, a sidecar counts as knowing what its agent has as soon as the agent can be reached,
//! whatever became of the sidecar's own calls: the time until a change has arrived has to fit into the
//! grace period of a draining server. Calls cost nothing here. So the agent is watched by short calls, and
//! where the answer is late, further calls are made beside it, each on a connection of its own: the first
//! may be silent for good while a new one is answered.
//!
//! No call is given up for a newer one while its answer can still be in time. A call that took the place
//! of the one before would let nothing arrive from an agent that needs longer for an answer than the time
//! between two calls.

use std::time::{Duration, Instant};

use super::Update;
use super::calls::{CallId, CallNumbers, CallOrder};

/// The shortest and the longest time for which the agent may hold a watch.
const SHORTEST_HOLD: Duration = Duration::from_millis(20);
const LONGEST_HOLD: Duration = Duration::from_millis(500);
/// The bounds of the time between two calls while answers are late.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(20);
const LONGEST_INTERVAL: Duration = Duration::from_millis(500);
/// The parts of the grace period that a watch may be held, and that lie between two calls while answers
/// are late.
const HOLD_DIVISOR: u32 = 5;
const INTERVAL_DIVISOR: u32 = 8;
/// The most calls in flight. At one call an interval, those that are younger than the grace period and
/// three older ones fit in.
pub(super) const MAX_CALLS: usize = INTERVAL_DIVISOR as usize + 4;
/// The pause after a call that was answered at once and brought nothing new: an agent that does not hold
/// watches is not called without a pause.
const UNCHANGED_DELAY: Duration = Duration::from_millis(20);
/// How long it takes until a descriptor of a call that was given up can be used: so short that it is not
/// taken by others.
const DESCRIPTOR_REUSE_DELAY: Duration = Duration::from_millis(1);
/// The pause after a list that was too long.
const TOO_LONG_DELAY: Duration = Duration::from_secs(1);

/// How soon an agent is called again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AgentTimes {
    /// A change has to be known this soon.
    pub(super) grace: Duration,
    /// The agent may hold a watch for so long.
    hold: Duration,
    /// A call that takes so much longer is joined by another one, and that by a third.
    pub(super) interval: Duration,
}

impl AgentTimes {
    /// For servers that may be sent requests for `grace` after they are known to want none.
    ///
    /// Where open connections have fallen silent, a change is asked for after `hold` and `interval` at the
    /// latest, where the agent was silent as a whole, after `interval`; the answer has the rest of the
    /// grace period.
    pub(super) fn within(grace: Duration) -> AgentTimes {
        AgentTimes {
            grace,
            hold: (grace / HOLD_DIVISOR).clamp(SHORTEST_HOLD, LONGEST_HOLD),
            interval: (grace / INTERVAL_DIVISOR).clamp(SHORTEST_INTERVAL, LONGEST_INTERVAL),
        }
    }
}

/// A call that is to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NextCall {
    pub(super) id: CallId,
    /// How long the agent may hold it; none if it fetches the complete list.
    pub(super) hold: Option<Duration>,
}

/// A call that was made and has not ended.
#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    id: CallId,
    started: Instant,
    hold: Option<Duration>,
}

impl CallInFlight {
    /// When its answer is there, if the agent answers at once.
    fn due(&self) -> Instant {
        self.started + self.hold.unwrap_or_default()
    }
}

/// The calls of an agent.
#[derive(Debug)]
pub(super) struct CallSchedule {
    times: AgentTimes,
    /// In the order in which they began.
    in_flight: Vec<CallInFlight>,
    numbers: CallNumbers,
    /// The next call fetches the complete list.
    full_list: bool,
    /// The next call does not wait until the newest one is late.
    urgent: bool,
    /// No call begins before.
    paused_until: Instant,
}

impl CallSchedule {
    /// The schedule of an agent that has not been called.
    pub(super) fn new(times: AgentTimes, now: Instant) -> CallSchedule {
        CallSchedule {
            times,
            in_flight: Vec::new(),
            numbers: CallNumbers::default(),
            full_list: true,
            urgent: false,
            paused_until: now,
        }
    }

    /// When the next call begins, unless something ends before.
    pub(super) fn next_call_at(&self) -> Instant {
        let newest = self.in_flight.last().filter(|_| !self.urgent);
        let late = newest.map(|call| call.due() + self.times.interval);
        late.map_or(self.paused_until, |late| late.max(self.paused_until))
    }

    /// Begins the next call. Returns the calls that are given up for it, none whose response is being received.
    pub(super) fn begin(
        &mut self,
        now: Instant,
        is_receiving: impl Fn(CallId) -> bool,
    ) -> (NextCall, Vec<CallId>) {
        // The agent may be another process by now, and its versions may count other lists.
        let agent_is_silent = self
            .in_flight
            .first()
            .is_some_and(|oldest| now > oldest.due() + 2 * self.times.interval);
        self.full_list |= agent_is_silent;
        self.urgent = false;
        let given_up = self.thin_out(now, is_receiving);
        let next = NextCall {
            id: self.numbers.next(),
            hold: (!self.full_list).then_some(self.times.hold),
        };
        self.in_flight.push(CallInFlight { id: next.id, started: now, hold: next.hold });
        (next, given_up)
    }

    /// Gives up calls that are older than the grace period, but the oldest and one for each grace period:
    /// an agent that needs longer for an answer is still understood, if late.
    fn thin_out(&mut self, now: Instant, is_receiving: impl Fn(CallId) -> bool) -> Vec<CallId> {
        // Given up any sooner, a call could not bring an answer that takes longer than the time between two calls.
        let grace = self.times.grace;
        let mut given_up = Vec::new();
        let mut kept_at: Option<Instant> = None;
        self.in_flight.retain(|call| {
            let is_old = now >= call.started + grace;
            let keeps = !is_old
                || is_receiving(call.id)
                || kept_at.is_none_or(|kept_at| call.started >= kept_at + grace);
            if keeps {
                kept_at = Some(call.started);
            } else {
                given_up.push(call.id);
            }
            keeps
        });
        let removable = |call: &CallInFlight| !is_receiving(call.id);
        if self.in_flight.len() >= MAX_CALLS
            && let Some(index) = self.in_flight[1..].iter().position(removable)
        {
            given_up.push(self.in_flight.remove(1 + index).id);
        }
        given_up
    }

    /// When a call began, beside the list in force.
    pub(super) fn order(&self, id: CallId) -> CallOrder {
        self.numbers.order(id)
    }

    /// Has the next call wait for another interval.
    pub(super) fn postpone(&mut self, now: Instant) {
        self.paused_until = now + self.times.interval;
    }

    /// Notes that a call brought a list. Returns the calls that are given up: those that began before it,
    /// whose lists would be older.
    pub(super) fn on_list(&mut self, id: CallId, update: Update, now: Instant) -> Vec<CallId> {
        match update {
            Update::Changed | Update::Unchanged => {
                self.full_list = false;
                self.numbers.list_applied();
                let pause =
                    if update == Update::Changed { Duration::ZERO } else { UNCHANGED_DELAY };
                self.paused_until = now + pause;
                self.give_up(|call| call.id <= id)
            }
            // The versions count another list than before, as they do in the calls under way.
            Update::Restarted => {
                self.full_list = false;
                self.numbers.list_applied();
                self.paused_until = now;
                self.give_up(|_| true)
            }
            Update::Stale => {
                self.full_list = true;
                self.urgent = true;
                self.give_up(|call| call.id == id)
            }
            Update::Overtaken => self.give_up(|call| call.id == id),
        }
        .into_iter()
        .filter(|given_up| *given_up != id)
        .collect()
    }

    /// Notes that a call was refused or reset, or brought something that is not a list. Returns the calls
    /// that are given up.
    ///
    /// An agent that was restarted may count its versions from the start again, and reach one that stood
    /// for another list. So changes are not asked for any more, and the complete list is fetched.
    pub(super) fn on_broken(&mut self, id: CallId, now: Instant) -> Vec<CallId> {
        self.full_list = true;
        self.urgent = true;
        self.paused_until = now + self.times.interval;
        let mut given_up = self.give_up(|call| call.id == id || call.hold.is_some());
        given_up.retain(|call| *call != id);
        given_up
    }

    /// Notes that there was no file descriptor for a call. Returns the calls that are given up.
    ///
    /// The oldest one has a descriptor that the next can use. It is given up once it is late by half the grace
    /// period, so that answers that take less than that arrive with a single descriptor as well.
    pub(super) fn on_shortage(&mut self, id: CallId, now: Instant) -> Vec<CallId> {
        self.give_up(|call| call.id == id);
        self.urgent = true;
        if self.in_flight.is_empty() || self.lateness(now) < self.times.grace / 2 {
            self.paused_until = now + self.times.interval;
            return Vec::new();
        }
        self.paused_until = now + DESCRIPTOR_REUSE_DELAY;
        vec![self.in_flight.remove(0).id]
    }

    /// Notes that a call got no answer in time.
    pub(super) fn on_timeout(&mut self, id: CallId) {
        self.full_list = true;
        self.give_up(|call| call.id == id);
    }

    /// Notes that a call brought a list that was too long to be read.
    pub(super) fn on_too_long(&mut self, id: CallId, now: Instant) {
        self.full_list = true;
        self.paused_until = now + TOO_LONG_DELAY;
        self.give_up(|call| call.id == id);
    }

    /// The next call is to fetch the complete list, at once.
    pub(super) fn request_full_list(&mut self) {
        self.full_list = true;
        self.urgent = true;
    }

    /// For how long the oldest call in flight is late.
    pub(super) fn lateness(&self, now: Instant) -> Duration {
        let oldest = self.in_flight.first();
        oldest.map_or(Duration::ZERO, |call| now.saturating_duration_since(call.due()))
    }

    /// Takes calls off the list, and returns them.
    fn give_up(&mut self, which: impl Fn(&CallInFlight) -> bool) -> Vec<CallId> {
        let given_up = self.in_flight.iter().filter(|call| which(call)).map(|call| call.id);
        let given_up = given_up.collect();
        self.in_flight.retain(|call| !which(call));
        given_up
    }
}

#[cfg(test)]
mod tests;
