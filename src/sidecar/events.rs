//! Counters of rare events: rules that did not hold, attempts that were not sent after all, requests
//! that got no server's answer, retries, rejections by servers that prove nothing, and connections of clients that
//! were closed, each by its reason. Operators read them with `show-events`.

use std::cell::Cell;
use std::fmt::{self, Display, Formatter};

use super::execution::ExecutionDoubt;
use super::invariants::{SendRefusal, Violation};
use super::sync_state::{DesyncSign, SyncState};
use crate::api::{EndReason, Outcome};

/// Why a connection of a client ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or the last response told that it would be closed.
    Finished,
    /// Room was needed for other connections.
    Evicted,
    /// The process shuts down, or operators drain it.
    Draining,
    /// The client was too slow, or silent for too long.
    TimedOut,
    /// The rest of a request's body did not arrive.
    BodyFailed,
    /// It broke, or what arrived could not be used.
    Broken,
}

impl CloseReason {
    /// All of them, in the order in which they are reported.
    pub const ALL: [CloseReason; 6] = [
        CloseReason::Finished,
        CloseReason::Evicted,
        CloseReason::Draining,
        CloseReason::TimedOut,
        CloseReason::BodyFailed,
        CloseReason::Broken,
    ];

    /// The name in logs and statistics.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Finished => "finished",
            CloseReason::Evicted => "evicted",
            CloseReason::Draining => "draining",
            CloseReason::TimedOut => "timed_out",
            CloseReason::BodyFailed => "body_failed",
            CloseReason::Broken => "broken",
        }
    }
}

impl Display for CloseReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// How often each event occurred since the start of the process.
#[derive(Debug, Default)]
pub struct EventCounters {
    violations: [Cell<u64>; Violation::ALL.len()],
    refusals: [Cell<u64>; SendRefusal::ALL.len()],
    ends: [Cell<u64>; EndReason::ALL.len()],
    retries: [Cell<u64>; Outcome::ALL.len()],
    doubts: [Cell<u64>; ExecutionDoubt::ALL.len()],
    desync_signs: [Cell<u64>; DesyncSign::ALL.len()],
    sync_checks: [Cell<u64>; SyncState::ALL.len()],
    reuse_suspensions: Cell<u64>,
    closes: [Cell<u64>; CloseReason::ALL.len()],
    unanswered: [Cell<u64>; CloseReason::ALL.len()],
    late_input: Cell<u64>,
    withdrawn_closes: Cell<u64>,
}

/// One counter as it is reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventCount {
    /// The name of the event, with the group that it belongs to.
    pub name: String,
    /// How often it occurred.
    pub count: u64,
}

impl Display for EventCount {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "events.{}={}", self.name, self.count)
    }
}

impl EventCounters {
    /// Counts and logs a rule that did not hold. `subject` identifies the request or connection.
    ///
    /// # Panics
    ///
    /// In builds with debug assertions, such as those that tests run.
    pub fn record_violation(&self, violation: Violation, subject: &dyn Display) {
        increment(&self.violations[violation as usize]);
        tracing::error!(%violation, %subject, "protocol rule violated");
        if cfg!(all(debug_assertions, not(test))) {
            panic!("protocol rule violated: {violation}, {subject}");
        }
    }

    /// Counts an attempt that was chosen and then not sent.
    pub fn record_refusal(&self, refusal: SendRefusal) {
        increment(&self.refusals[refusal as usize]);
    }

    /// Counts a request that ended without a server's answer, by the balancer's decision.
    pub fn record_end(&self, reason: EndReason) {
        increment(&self.ends[reason as usize]);
    }

    /// Counts an attempt that follows another, by how that one ended.
    pub fn record_retry(&self, earlier: Outcome) {
        increment(&self.retries[earlier as usize]);
    }

    /// Counts an attempt that may have been executed, though its server seems to have said that it was not.
    pub fn record_doubt(&self, doubt: ExecutionDoubt) {
        increment(&self.doubts[doubt as usize]);
    }

    /// Counts a check of whether a response answers its connection's last request, and what spoke against that.
    pub fn record_sync_check(&self, state: SyncState, sign: Option<DesyncSign>) {
        increment(&self.sync_checks[state as usize]);
        if let Some(sign) = sign {
            increment(&self.desync_signs[sign as usize]);
        }
    }

    /// Counts a server whose connections are not used again for a while.
    pub fn record_reuse_suspension(&self) {
        increment(&self.reuse_suspensions);
    }

    /// Counts a connection of a client that ended.
    pub fn record_close(&self, reason: CloseReason) {
        increment(&self.closes[reason as usize]);
    }

    /// Counts a connection that ended with input of its client unanswered.
    pub fn record_unanswered(&self, reason: CloseReason) {
        increment(&self.unanswered[reason as usize]);
    }

    /// Counts a connection on which input came when it had been ended for its client.
    pub fn record_late_input(&self) {
        increment(&self.late_input);
    }

    /// Counts a connection that was to be closed while idle, and was in use by then.
    pub fn record_withdrawn_close(&self) {
        increment(&self.withdrawn_closes);
    }

    /// All counters, in a fixed order.
    pub fn snapshot(&self) -> Vec<EventCount> {
        let group = |group: &'static str, names: Vec<&'static str>, counts: &[Cell<u64>]| {
            let count = |(name, count): (&'static str, &Cell<u64>)| EventCount {
                name: format!("{group}.{name}"),
                count: count.get(),
            };
            names.into_iter().zip(counts).map(count).collect::<Vec<_>>()
        };
        let mut all =
            group("violations", Violation::ALL.map(Violation::name).into(), &self.violations);
        all.extend(group(
            "not_sent",
            SendRefusal::ALL.map(SendRefusal::name).into(),
            &self.refusals,
        ));
        all.extend(group("ended", EndReason::ALL.map(EndReason::name).into(), &self.ends));
        all.extend(group("retried_after", Outcome::ALL.map(Outcome::name).into(), &self.retries));
        all.extend(group(
            "doubted",
            ExecutionDoubt::ALL.map(ExecutionDoubt::name).into(),
            &self.doubts,
        ));
        all.extend(group(
            "desync_suspected",
            DesyncSign::ALL.map(DesyncSign::name).into(),
            &self.desync_signs,
        ));
        all.extend(group(
            "sync_check",
            SyncState::ALL.map(SyncState::name).into(),
            &self.sync_checks,
        ));
        all.extend(group("closed", CloseReason::ALL.map(CloseReason::name).into(), &self.closes));
        let reasons = CloseReason::ALL.map(CloseReason::name).into();
        all.extend(group("unanswered", reasons, &self.unanswered));
        let single = |name: &str, count: &Cell<u64>| EventCount {
            name: name.to_owned(),
            count: count.get(),
        };
        all.push(single("reuse_suspended", &self.reuse_suspensions));
        all.push(single("input_after_end", &self.late_input));
        all.push(single("close_withdrawn", &self.withdrawn_closes));
        all
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

#[cfg(test)]
mod tests;
