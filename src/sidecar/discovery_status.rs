//! The state of discovery as this sidecar sees it: which version of the endpoint list is in force, how
//! long ago discovery confirmed it, and how the calls ended. Operators read it with `show-discovery`.
//!
//! There is no I/O but the log, and the only clock is the one that callers pass in.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

/// How long the log is silent after a line that tells of an overdue list: one that is slow all the time
/// is overdue again and again.
const OVERDUE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// How a call of discovery ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With a list.
    Answered,
    /// It was refused or reset, or its response was not a list.
    Broken,
    /// Its response did not arrive in time.
    TimedOut,
    /// Its list was longer than may be read.
    TooLong,
    /// The lists of other calls took the memory for lists.
    NoMemory,
    /// It was given up before its response arrived: a newer call was answered, or took its place.
    Superseded,
}

impl CallEnd {
    /// All of them, in the order in which they are reported.
    pub const ALL: [CallEnd; 6] = [
        CallEnd::Answered,
        CallEnd::Broken,
        CallEnd::TimedOut,
        CallEnd::TooLong,
        CallEnd::NoMemory,
        CallEnd::Superseded,
    ];

    /// The name in statistics.
    pub fn name(self) -> &'static str {
        match self {
            CallEnd::Answered => "answered",
            CallEnd::Broken => "broken",
            CallEnd::TimedOut => "timed_out",
            CallEnd::TooLong => "too_long",
            CallEnd::NoMemory => "no_memory",
            CallEnd::Superseded => "superseded",
        }
    }
}

/// Since when discovery has confirmed nothing.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    /// When the newest answered call began: what discovery had then is in force. Before the first
    /// answer, when the first call began.
    at: Instant,
    /// The list counts as overdue.
    is_overdue: bool,
    /// The log has a line that says so.
    is_logged: bool,
}

impl Confirmation {
    fn new(at: Instant) -> Confirmation {
        Confirmation { at, is_overdue: false, is_logged: false }
    }
}

/// The times and counters of the calls of discovery.
#[derive(Debug, Default)]
pub struct DiscoveryStatus {
    version: Cell<u64>,
    confirmation: Cell<Option<Confirmation>>,
    answered_at: Cell<Option<Instant>>,
    calls_started: Cell<u64>,
    calls_ended: [Cell<u64>; CallEnd::ALL.len()],
    overdue_periods: Cell<u64>,
    overdue_logged_at: Cell<Option<Instant>>,
    longest_unconfirmed: Cell<Duration>,
    attempts_while_overdue: Cell<u64>,
    /// The address of the service in the log.
    service: RefCell<String>,
}

impl DiscoveryStatus {
    /// Notes that a call begins.
    pub fn record_call(&self, now: Instant, service: &dyn Display) {
        increment(&self.calls_started);
        if self.confirmation.get().is_none() {
            self.confirmation.set(Some(Confirmation::new(now)));
        }
        let mut known = self.service.borrow_mut();
        known.clear();
        // Writing to a string does not fail.
        let _ = fmt::Write::write_fmt(&mut *known, format_args!("{service}"));
    }

    /// Notes how a call ended that brought no list.
    pub fn record_end(&self, end: CallEnd) {
        increment(&self.calls_ended[end as usize]);
    }

    /// Notes that the list of a call that began at `call_started` is in force.
    pub fn record_list(&self, version: u64, call_started: Instant, now: Instant) {
        self.record_end(CallEnd::Answered);
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

    /// Has the list count as overdue if discovery has confirmed nothing for longer than `bound`.
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

    /// Counts an attempt that is sent by the present list.
    pub fn record_attempt(&self) {
        if self.is_overdue() {
            increment(&self.attempts_while_overdue);
        }
    }

    /// Whether the list counts as overdue.
    pub fn is_overdue(&self) -> bool {
        self.confirmation.get().is_some_and(|confirmation| confirmation.is_overdue)
    }

    /// All figures at `now`.
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
            calls_ended: CallEnd::ALL.map(|end| (end, self.calls_ended[end as usize].get())),
        }
    }
}

/// The figures of [`DiscoveryStatus`] at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoverySnapshot {
    /// The version of the list in force; 0 before the first answer.
    pub version: u64,
    /// How long ago discovery last answered; none if it never has.
    pub last_answer: Option<Duration>,
    /// For how long discovery has confirmed nothing; none before the first call.
    pub unconfirmed: Option<Duration>,
    /// The list counts as overdue.
    pub is_overdue: bool,
    /// How often the list became overdue.
    pub overdue_periods: u64,
    /// The longest time between two confirmations.
    pub longest_unconfirmed: Duration,
    /// Attempts that were sent while the list was overdue.
    pub attempts_while_overdue: u64,
    /// Calls that were started.
    pub calls_started: u64,
    /// Calls by how they ended.
    pub calls_ended: [(CallEnd, u64); CallEnd::ALL.len()],
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
        for (end, count) in self.calls_ended {
            writeln!(f, "discovery.calls.{}={count}", end.name())?;
        }
        Ok(())
    }
}

/// A time in milliseconds; -1 without one.
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
