//! Checks the rules on responses: `held`, `late` and `refusal` on those to clients, `stalled` and `waits` on
//! those of servers.

use std::time::Duration;

use fakes::account::Idempotency;

use super::Oracle;
use super::connection::TrackedConnection;
use super::report::Breach;
use super::request::{AttemptRef, AttemptResponse, FinalResponse, Request};
use super::rule::Rule;
use crate::model::RequestId;

/// The time within which a failed request is answered once nothing is outstanding for it.
const FAILURE_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// The time before its deadline from which on a request may fail because of the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// The time after its deadline within which a request gets the end of a response whose server has stopped: half a second,
/// and the longest pause of a late response.
const STOPPED_RESPONSE_TIME: Duration = Duration::from_millis(500 + 1_000);
/// The longest pause of a late response that goes on.
const LATE_PAUSE: Duration = Duration::from_millis(1_000);
/// The time within which a reset reaches the sidecar, unless that is held up.
const RESET_PROPAGATION_TIME: Duration = Duration::from_millis(100);
/// The time before the earliest kill in which a process that terminates ends what is open.
const EXIT_TIME: Duration = Duration::from_millis(200);
/// The tolerance of the longest wait for the next bytes of a response.
const STALL_TOLERANCE: Duration = Duration::from_millis(100);
/// The part of the idempotency window, at its end, in which a sidecar may leave out repeats.
const RETRY_WINDOW_RESERVE: Duration = Duration::from_millis(250);
/// The tolerance of the deadline of an attempt without a response.
const WAIT_TOLERANCE: Duration = Duration::from_millis(100);

impl Oracle {
    /// Checks a response to a client once its last byte was written.
    pub(super) fn response_completed(&mut self, now: Duration, id: RequestId, status: u16) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.response = Some(FinalResponse { status, at: now });
        let Some(request) = self.requests.get(&id) else { return };
        let breach = self
            .check_prompt_failure(now, request, status)
            .or_else(|| self.check_response_in_time(now, id, request))
            .or_else(|| self.check_refusal(request, status));
        if let Some(breach) = breach {
            self.report_breach(now, breach, Some(id));
        }
    }

    /// Checks the rule `held`: a failure is reported as soon as nothing is outstanding for the request.
    fn check_prompt_failure(
        &self,
        now: Duration,
        request: &Request,
        status: u16,
    ) -> Option<Breach> {
        let short = self.short_of_descriptors_until.contains_key(&request.sidecar);
        if status == 200 || request.excused_since.is_some() || short {
            return None;
        }
        let idle_since = self.idle_since(request)?;
        // Close to the deadline the sidecar may have waited for an attempt of which no byte was written.
        let deadline = request.received_at.unwrap_or_default() + request.timeout;
        let before_deadline = now + DEADLINE_MARGIN + request.assumed_accept_wait < deadline;
        let held_up = self.held_up_since(idle_since, now, request.sidecar);
        (now > idle_since + held_up + FAILURE_RESPONSE_TIME && before_deadline).then(|| {
            let message = format!("answered {:?} after the request had failed", now - idle_since);
            Breach::new(Rule::Held, message)
        })
    }

    /// Returns the time since which nothing has been outstanding for a request; `None` if something is. Outstanding are
    /// the request itself until it is received, its attempts, and connections and heads of its sidecar that cannot
    /// be assigned to a request.
    fn idle_since(&self, request: &Request) -> Option<Duration> {
        let sidecar = request.sidecar;
        let sends_head = |connection: &TrackedConnection| match connection {
            TrackedConnection::Upstream(upstream) => {
                upstream.sidecar == sidecar && upstream.in_head
            }
            TrackedConnection::Client(_) => false,
        };
        if self.pending_connects.is_connecting(sidecar) || self.connections.values().any(sends_head)
        {
            return None;
        }
        let ends: Option<Vec<Duration>> = request.attempts.iter().map(|a| a.ended_at).collect();
        let last_connect = self.pending_connects.last_finished(sidecar);
        let last_cut_head = self.last_cut_head.get(&sidecar).copied().unwrap_or_default();
        ends?.into_iter().chain([request.received_at?, last_connect, last_cut_head]).max()
    }

    /// Checks the rule `late`.
    fn check_response_in_time(
        &self,
        now: Duration,
        id: RequestId,
        request: &Request,
    ) -> Option<Breach> {
        // A request that was accepted only after its deadline cannot be answered in time.
        let waited = request.received_at.zip(request.sent_at);
        let accepted_late =
            waited.is_some_and(|(received, sent)| received > sent + request.timeout);
        let in_time = request.excused_since.is_some()
            || accepted_late
            || self.is_served_in_time(id)
            || self.response_deadline(id).is_none_or(|deadline| now <= deadline);
        (!in_time).then(|| Breach::new(Rule::Late, "answered after the deadline"))
    }

    /// Checks the rule `refusal`.
    fn check_refusal(&self, request: &Request, status: u16) -> Option<Breach> {
        let refused = matches!(status, 429 | 503);
        let idempotent = self.limits.classes[request.class].repeat == Idempotency::Idempotent;
        (refused && request.may_have_executed() && !idempotent).then(|| {
            Breach::new(Rule::Refusal, "rejected although an attempt may have been executed")
        })
    }

    /// Records that the sidecar has read a complete response to an attempt.
    pub(super) fn attempt_answered(
        &mut self,
        now: Duration,
        attempt: AttemptRef,
        response: AttemptResponse,
    ) {
        let Some(attempt) = self.attempt_mut(attempt).filter(|a| a.complete_at.is_some()) else {
            return;
        };
        attempt.response.get_or_insert(response);
        attempt.ended_at = Some(now);
        self.count(match response {
            AttemptResponse { status: 200, .. } => "attempts served",
            AttemptResponse { unprocessed: true, .. } => "attempts rejected unprocessed",
            _ => "attempts answered otherwise",
        });
    }

    /// Records that the sidecar has closed the connection of an attempt, which cancels the attempt unless it was
    /// answered. Checks the rule `waits`: an attempt without any response does not outlive its deadline.
    /// `last_byte_at` is the time at which bytes of an incomplete response last arrived.
    pub(super) fn attempt_cancelled(
        &mut self,
        now: Duration,
        attempt_ref: AttemptRef,
        last_byte_at: Option<Duration>,
    ) {
        let Some(attempt) = self.attempt_mut(attempt_ref).filter(|a| a.ended_at.is_none()) else {
            return;
        };
        attempt.ended_at = Some(now);
        let (complete_at, time_left) = (attempt.complete_at, attempt.time_left);
        let connection = attempt.connection;
        let id = attempt_ref.request;
        let tolerance = WAIT_TOLERANCE + self.limits.longest_hold_up;
        let deadline = complete_at.map(|at| at + time_left + tolerance);
        if last_byte_at.is_none() && deadline.is_some_and(|deadline| now > deadline) {
            let message =
                format!("an attempt is outstanding after the {time_left:?} that were passed on");
            self.report_breach(now, Breach::new(Rule::Waits, message), Some(id));
        }
        self.note(now, || format!("{id} is cancelled on connection {connection}"));
        self.count(if complete_at.is_some() {
            "attempts cancelled when complete"
        } else {
            "attempts cancelled when incomplete"
        });
    }

    /// Checks the rule `stalled` when a response to an attempt continues or is given up. `last_progress` is the time
    /// at which its previous bytes arrived, `status` that of its head, or 0. A response that can serve the request may be
    /// sound, and is waited for. Any other is given up after the allowed gap, if the request may be repeated by then.
    pub(super) fn check_stalled(
        &mut self,
        now: Duration,
        last_progress: Option<Duration>,
        status: u16,
        attempt: Option<AttemptRef>,
    ) {
        let Some((last_progress, attempt)) = last_progress.zip(attempt) else { return };
        let Some(request) = self.requests.get(&attempt.request) else { return };
        let wanted =
            request.response.is_none() && request.excused_since.is_none() && !request.finished;
        let outstanding = request
            .attempts
            .get(attempt.index)
            .is_some_and(|a| a.complete_at.is_some() && a.ended_at.is_none());
        let tolerance = STALL_TOLERANCE + self.limits.longest_hold_up;
        let gap_end = last_progress + self.limits.max_response_gap;
        let deadline = request.received_at.unwrap_or_default() + request.timeout;
        let due = match status {
            0 => gap_end.max(deadline + STOPPED_RESPONSE_TIME),
            200 => (gap_end.max(deadline + STOPPED_RESPONSE_TIME)).max(last_progress + LATE_PAUSE),
            _ if self.may_be_repeated(request, gap_end) => gap_end,
            _ => gap_end.max(deadline),
        };
        let limit = due + tolerance;
        if wanted && outstanding && now > limit {
            let message =
                format!("waited for a response without a byte of it since {last_progress:?}");
            self.report_breach(now, Breach::new(Rule::Stalled, message), Some(attempt.request));
        }
    }

    /// Records that the network, or the end of a server, resets connections now.
    pub fn network_resets_connections(&mut self, now: Duration) {
        self.network_reset_at = Some(now);
    }

    /// Records that the sidecar has closed the connection of an attempt whose server was giving a response that can serve
    /// its request.
    pub(super) fn cut_while_given(&mut self, now: Duration, attempt: AttemptRef) {
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        let is_owed =
            request.response.is_none() && request.excused_since.is_none() && !request.finished;
        let terminating_since = self.terminating_since.get(&request.sidecar);
        let has_to_end = terminating_since
            .is_some_and(|since| now + EXIT_TIME >= *since + self.limits.earliest_kill);
        // A sidecar that is held up notices a reset later.
        let is_reset = self
            .network_reset_at
            .is_some_and(|at| now <= at + self.limits.longest_hold_up + RESET_PROPAGATION_TIME);
        if is_owed && !has_to_end && !is_reset {
            request.cut_while_given_at.get_or_insert(now);
            self.count("responses cut while they were given");
        }
    }

    /// Whether a request that a server may have executed can be repeated at `time`, whatever the sidecar keeps in reserve.
    fn may_be_repeated(&self, request: &Request, time: Duration) -> bool {
        let first_sent = request.attempts.iter().map(|attempt| attempt.first_byte_at).min();
        let window_end = first_sent.unwrap_or_default() + self.limits.idempotency_window;
        match self.limits.classes[request.class].repeat {
            Idempotency::Idempotent => true,
            Idempotency::Keyed => time + RETRY_WINDOW_RESERVE < window_end,
            Idempotency::NonIdempotent => false,
        }
    }
}
