//! Status of discovery as this sidecar sees it: the version of the current endpoint list, the time since discovery last
//! confirmed it, and the outcomes of the calls. Operators read it with `show-discovery`.
//!
//! The only I/O is logging, and the current time is passed in.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

/// Minimum time between two log lines about an overdue list: with a service that is always slow, the list becomes
/// overdue again and again.
const OVERDUE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The outcome of a discovery call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call returned a list.
    Answered,
    /// The call was refused or reset, or its response was not a list.
    Broken,
    /// The response did not arrive in time.
    TimedOut,
    /// The list was longer than the limit.
    TooLong,
    /// The responses of other calls used up the memory for lists.
    NoMemory,
    /// The call was cancelled in favor of a newer one, or its list was discarded as outdated.
    Superseded,
}

impl CallOutcome {
    /// All outcomes, in the order in which they are reported.
    pub const ALL: [CallOutcome; 6] = [
        CallOutcome::Answered,
        CallOutcome::Broken,
        CallOutcome::TimedOut,
        CallOutcome::TooLong,
        CallOutcome::NoMemory,
        CallOutcome::Superseded,
    ];

    /// Returns the name that is used in statistics.
    pub fn name(self) -> &'static str {
        match self {
            CallOutcome::Answered => "answered",
            CallOutcome::Broken => "broken",
            CallOutcome::TimedOut => "timed_out",
            CallOutcome::TooLong => "too_long",
            CallOutcome::NoMemory => "no_memory",
            CallOutcome::Superseded => "superseded",
        }
    }
}

/// The last confirmation of the list by discovery.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    /// Start of the newest call that was answered: the list is at least as new as that. Before the first answer, the
    /// start of the first call.
    at: Instant,
    /// Whether the list counts as overdue.
    is_overdue: bool,
    /// Whether it was logged that the list is overdue.
    is_logged: bool,
}

impl Confirmation {
    fn new(at: Instant) -> Confirmation {
        Confirmation { at, is_overdue: false, is_logged: false }
    }
}

/// Times and counters of the discovery calls.
#[derive(Debug, Default)]
pub struct DiscoveryStatus {
    version: Cell<u64>,
    confirmation: Cell<Option<Confirmation>>,
    answered_at: Cell<Option<Instant>>,
    calls_started: Cell<u64>,
    calls_ended: [Cell<u64>; CallOutcome::ALL.len()],
    overdue_periods: Cell<u64>,
    overdue_logged_at: Cell<Option<Instant>>,
    longest_unconfirmed: Cell<Duration>,
    attempts_while_overdue: Cell<u64>,
    /// Address of the service, for the log.
    service: RefCell<String>,
}

impl DiscoveryStatus {
    /// Records the start of a call.
    pub fn record_call(&self, now: Instant, service: &dyn Display) {
        increment(&self.calls_started);
        if self.confirmation.get().is_none() {
            self.confirmation.set(Some(Confirmation::new(now)));
        }
        let mut known = self.service.borrow_mut();
        known.clear();
        // Writing to a string cannot fail.
        let _ = fmt::Write::write_fmt(&mut *known, format_args!("{service}"));
    }

    /// Counts the outcome of a call. [`DiscoveryStatus::record_list`] does so for a call whose list is applied.
    pub fn record_outcome(&self, outcome: CallOutcome) {
        increment(&self.calls_ended[outcome as usize]);
    }

    /// Records that the list of a call that was started at `call_started` has been applied.
    pub fn record_list(&self, version: u64, call_started: Instant, now: Instant) {
        self.record_outcome(CallOutcome::Answered);
        self.version.set(version);
        self.answered_at.set(Some(now));
        let Some(before) = self.confirmation.get() else { return };
        let unconfirmed = now.saturating_duration_since(before.at);
        self.longest_unconfirmed.set(self.longest_unconfirmed.get().max(unconfirmed));
        if before.is_logged {
            tracing::info!(
                discovery = %self.service.borrow(),
                version,
                unconfirmed_ms = unconfirmed.as_millis() as u64,
                answer_ms = now.saturating_duration_since(call_started).as_millis() as u64,
                "discovery answers again"
            );
        }
        let at = before.at.max(call_started);
        self.confirmation.set(Some(Confirmation::new(at)));
    }

    /// Marks the list as overdue if discovery has not confirmed it for longer than `bound`.
    pub fn check_overdue(&self, now: Instant, bound: Duration, calls_in_flight: usize) {
        let Some(confirmation) = self.confirmation.get() else { return };
        let unconfirmed = now.saturating_duration_since(confirmation.at);
        if confirmation.is_overdue || unconfirmed <= bound {
            return;
        }
        let logged_at = self.overdue_logged_at.get();
        let is_logged = logged_at.is_none_or(|at| now >= at + OVERDUE_LOG_INTERVAL);
        self.confirmation.set(Some(Confirmation { is_overdue: true, is_logged, ..confirmation }));
        increment(&self.overdue_periods);
        if !is_logged {
            return;
        }
        self.overdue_logged_at.set(Some(now));
        tracing::warn!(
            discovery = %self.service.borrow(),
            version = self.version.get(),
            unconfirmed_ms = unconfirmed.as_millis() as u64,
            calls_in_flight,
            "discovery does not answer, keeping the endpoint list"
        );
    }

    /// Counts an attempt that is sent by the current list, if that is overdue.
    pub fn record_attempt(&self) {
        if self.is_overdue() {
            increment(&self.attempts_while_overdue);
        }
    }

    /// Returns whether the list counts as overdue.
    pub fn is_overdue(&self) -> bool {
        self.confirmation.get().is_some_and(|confirmation| confirmation.is_overdue)
    }

    /// Returns all values as of `now`.
    pub fn snapshot(&self, now: Instant) -> DiscoverySnapshot {
        let age = |at: Instant| now.saturating_duration_since(at);
        DiscoverySnapshot {
            version: self.version.get(),
            last_answer: self.answered_at.get().map(age),
            unconfirmed: self.confirmation.get().map(|confirmation| age(confirmation.at)),
            is_overdue: self.is_overdue(),
            overdue_periods: self.overdue_periods.get(),
            longest_unconfirmed: self.longest_unconfirmed.get(),
            attempts_while_overdue: self.attempts_while_overdue.get(),
            calls_started: self.calls_started.get(),
            calls_ended: CallOutcome::ALL
                .map(|outcome| (outcome, self.calls_ended[outcome as usize].get())),
        }
    }
}

/// The values of [`DiscoveryStatus`] at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoverySnapshot {
    /// Version of the current list; 0 before the first answer.
    pub version: u64,
    /// Time since discovery last answered; `None` if it never has.
    pub last_answer: Option<Duration>,
    /// Time since the last confirmation of the list; `None` before the first call.
    pub unconfirmed: Option<Duration>,
    /// Whether the list counts as overdue.
    pub is_overdue: bool,
    /// Number of times that the list became overdue.
    pub overdue_periods: u64,
    /// Longest time between two confirmations of the list.
    pub longest_unconfirmed: Duration,
    /// Number of attempts that were sent while the list was overdue.
    pub attempts_while_overdue: u64,
    /// Number of calls that were started.
    pub calls_started: u64,
    /// Number of calls by outcome.
    pub calls_ended: [(CallOutcome, u64); CallOutcome::ALL.len()],
}

impl Display for DiscoverySnapshot {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "discovery.version={}", self.version)?;
        writeln!(f, "discovery.last_answer_ms={}", Age(self.last_answer))?;
        writeln!(f, "discovery.unconfirmed_ms={}", Age(self.unconfirmed))?;
        writeln!(f, "discovery.overdue={}", u8::from(self.is_overdue))?;
        writeln!(f, "discovery.overdue_periods={}", self.overdue_periods)?;
        let longest = self.longest_unconfirmed.as_millis();
        writeln!(f, "discovery.longest_unconfirmed_ms={longest}")?;
        writeln!(f, "discovery.attempts_while_overdue={}", self.attempts_while_overdue)?;
        writeln!(f, "discovery.calls.started={}", self.calls_started)?;
        for (outcome, count) in self.calls_ended {
            writeln!(f, "discovery.calls.{}={count}", outcome.name())?;
        }
        Ok(())
    }
}

/// Formats a duration in milliseconds, and `None` as -1.
struct Age(Option<Duration>);

impl Display for Age {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(age) => write!(f, "{}", age.as_millis()),
            None => f.write_str("-1"),
        }
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

#[cfg(test)]
mod tests;
