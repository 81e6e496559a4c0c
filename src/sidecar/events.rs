//! Counters of rare events by reason: violated protocol rules, attempts that were not sent, requests without a server
//! response, retries, rejections that do not prove that a request was not executed, closed client connections, and
//! responses that were cut off. The admin command `show-events` reports them.

use std::cell::Cell;
use std::fmt::{self, Display, Formatter};

use super::body::BodyError;
use super::execution::ExecutionDoubt;
use super::invariants::{SendRefusal, Violation};
use super::response_end::EndState;
use super::sync_state::{DesyncSign, SyncState};
use crate::api::{EndReason, Outcome};

/// The reason for the end of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed the connection, or the last response announced that it would be closed.
    Finished,
    /// The connection was evicted in favor of others.
    Evicted,
    /// The process is shutting down, or operators drain it.
    Draining,
    /// The client was too slow, or silent for too long.
    TimedOut,
    /// The rest of a request body was not received.
    BodyFailed,
    /// The connection failed, or its input was invalid.
    Broken,
}

impl CloseReason {
    /// All reasons, in the order of the reports.
    pub const ALL: [CloseReason; 6] = [
        CloseReason::Finished,
        CloseReason::Evicted,
        CloseReason::Draining,
        CloseReason::TimedOut,
        CloseReason::BodyFailed,
        CloseReason::Broken,
    ];

    /// The name in log lines and statistics.
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

/// The reason why a response ended before its client had all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutReason {
    /// The connection to the server ended, or the rest of the response was invalid.
    ServerEnded,
    /// The server sent nothing for too long.
    ServerStalled,
    /// The server sent too slowly.
    ServerTooSlow,
    /// The response exceeded the size limit.
    TooLong,
    /// The response was late, and its server had stopped.
    OverdueStopped,
    /// The response was late, and would have taken too long at its pace.
    OverdueTooSlow,
    /// The response was late, and nothing said that it would end.
    OverdueNoEnd,
    /// The client did not read on.
    ClientStalled,
    /// The client disconnected.
    ClientLeft,
    /// The process exited.
    Exit,
}

impl CutReason {
    /// All reasons, in the order of the reports.
    pub const ALL: [CutReason; 10] = [
        CutReason::ServerEnded,
        CutReason::ServerStalled,
        CutReason::ServerTooSlow,
        CutReason::TooLong,
        CutReason::OverdueStopped,
        CutReason::OverdueTooSlow,
        CutReason::OverdueNoEnd,
        CutReason::ClientStalled,
        CutReason::ClientLeft,
        CutReason::Exit,
    ];

    /// The name in log lines and statistics.
    pub fn name(self) -> &'static str {
        match self {
            CutReason::ServerEnded => "server_ended",
            CutReason::ServerStalled => "server_stalled",
            CutReason::ServerTooSlow => "server_too_slow",
            CutReason::TooLong => "too_long",
            CutReason::OverdueStopped => "overdue_stopped",
            CutReason::OverdueTooSlow => "overdue_too_slow",
            CutReason::OverdueNoEnd => "overdue_no_end",
            CutReason::ClientStalled => "client_stalled",
            CutReason::ClientLeft => "client_left",
            CutReason::Exit => "exit",
        }
    }
}

impl From<BodyError> for CutReason {
    fn from(error: BodyError) -> CutReason {
        match error {
            BodyError::Stalled => CutReason::ServerStalled,
            BodyError::TooSlow => CutReason::ServerTooSlow,
            BodyError::TooLong => CutReason::TooLong,
            BodyError::EndedEarly
            | BodyError::ConnectionFailed
            | BodyError::InvalidFraming
            | BodyError::SurplusBytes
            | BodyError::Unavailable => CutReason::ServerEnded,
        }
    }
}

impl Display for CutReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The number of occurrences of each event since the start of the process.
#[derive(Debug, Default)]
pub struct EventCounters {
    violations: [Cell<u64>; Violation::ALL.len()],
    refusals: [Cell<u64>; SendRefusal::ALL.len()],
    ends: [Cell<u64>; EndReason::ALL.len()],
    retries: [Cell<u64>; Outcome::ALL.len()],
    doubts: [Cell<u64>; ExecutionDoubt::ALL.len()],
    desync_signs: [Cell<u64>; DesyncSign::ALL.len()],
    sync_checks: [Cell<u64>; SyncState::ALL.len()],
    end_checks: [Cell<u64>; EndState::ALL.len()],
    reuse_suspensions: Cell<u64>,
    length_doubts: Cell<u64>,
    closes: [Cell<u64>; CloseReason::ALL.len()],
    unanswered: [Cell<u64>; CloseReason::ALL.len()],
    cuts: [Cell<u64>; CutReason::ALL.len()],
    late_input: Cell<u64>,
    withdrawn_closes: Cell<u64>,
}

/// One counter in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventCount {
    /// The name of the event, preceded by its group.
    pub name: String,
    /// The number of occurrences.
    pub count: u64,
}

impl Display for EventCount {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "events.{}={}", self.name, self.count)
    }
}

impl EventCounters {
    /// Counts and logs the violation of a protocol rule. `subject` identifies the request or connection.
    ///
    /// # Panics
    ///
    /// In builds with debug assertions, such as the test builds.
    pub fn record_violation(&self, violation: Violation, subject: &dyn Display) {
        increment(&self.violations[violation as usize]);
        tracing::error!(%violation, %subject, "protocol rule violated");
        if cfg!(all(debug_assertions, not(test))) {
            panic!("protocol rule violated: {violation}, {subject}");
        }
    }

    /// Counts an attempt that was scheduled but not sent.
    pub fn record_refusal(&self, refusal: SendRefusal) {
        increment(&self.refusals[refusal as usize]);
    }

    /// Counts a request that ended without a server response, by the balancer's decision.
    pub fn record_end(&self, reason: EndReason) {
        increment(&self.ends[reason as usize]);
    }

    /// Counts a retry by the outcome of the previous attempt.
    pub fn record_retry(&self, previous: Outcome) {
        increment(&self.retries[previous as usize]);
    }

    /// Counts an attempt that may have been executed although its server seems to have reported otherwise.
    pub fn record_doubt(&self, doubt: ExecutionDoubt) {
        increment(&self.doubts[doubt as usize]);
    }

    /// Counts a check of whether a response belongs to the last request on its connection, and the sign of a desync,
    /// if there was one.
    pub fn record_sync_check(&self, state: SyncState, sign: Option<DesyncSign>) {
        increment(&self.sync_checks[state as usize]);
        if let Some(sign) = sign {
            increment(&self.desync_signs[sign as usize]);
        }
    }

    /// Counts a check of whether a response has ended where its length says.
    pub fn record_end_check(&self, state: EndState) {
        increment(&self.end_checks[state as usize]);
    }

    /// Counts a server whose connections are temporarily not reused.
    pub fn record_reuse_suspension(&self) {
        increment(&self.reuse_suspensions);
    }

    /// Counts a period in which the lengths of responses need a proof.
    pub fn record_length_doubt(&self) {
        increment(&self.length_doubts);
    }

    /// Counts a client connection that ended.
    pub fn record_close(&self, reason: CloseReason) {
        increment(&self.closes[reason as usize]);
    }

    /// Counts a client connection that ended with unanswered input.
    pub fn record_unanswered(&self, reason: CloseReason) {
        increment(&self.unanswered[reason as usize]);
    }

    /// Counts a response that ended before its client had all of it.
    pub fn record_cut(&self, reason: CutReason) {
        increment(&self.cuts[reason as usize]);
    }

    /// Counts a client connection on which input arrived after it had been shut down.
    pub fn record_late_input(&self) {
        increment(&self.late_input);
    }

    /// Counts a requested close that was not carried out because the client connection was in use again.
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
        all.extend(group("end_check", EndState::ALL.map(EndState::name).into(), &self.end_checks));
        all.extend(group("closed", CloseReason::ALL.map(CloseReason::name).into(), &self.closes));
        let reasons = CloseReason::ALL.map(CloseReason::name).into();
        all.extend(group("unanswered", reasons, &self.unanswered));
        all.extend(group("cut", CutReason::ALL.map(CutReason::name).into(), &self.cuts));
        let single = |name: &str, count: &Cell<u64>| EventCount {
            name: name.to_owned(),
            count: count.get(),
        };
        all.push(single("reuse_suspended", &self.reuse_suspensions));
        all.push(single("lengths_doubted", &self.length_doubts));
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
