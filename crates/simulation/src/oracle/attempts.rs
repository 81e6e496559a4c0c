//! Checks the rules on what a sidecar sends to servers: `stranger`, `after`, `repeat`, `group`, `window`,
//! `deadline`, `drain`, `cold`.

use std::time::Duration;

use fakes::account::Idempotency;
use simnet::ConnectionId;

use super::Oracle;
use super::connection::TrackedConnection;
use super::eligibility::Pair;
use super::limits::SOCKET_TOLERANCE;
use super::report::Breach;
use super::request::{Attempt, AttemptRef, Request};
use super::rule::Rule;
use crate::model::RequestId;

/// The time within which a sidecar notices that a client has closed its connection.
const CLIENT_END_DELAY: Duration = Duration::from_millis(10);
/// The resolution of `X-Time-Left-Ms`.
const DEADLINE_PRECISION: Duration = Duration::from_millis(1);

/// Returns the correlation id in the head of a request.
fn correlation_id(head: &str) -> Option<RequestId> {
    let value = fakes::wire::header(head, "x-correlation-id")?;
    value.parse().ok()
}

/// Returns the remaining time in the head of a request.
fn time_left(head: &str) -> Option<Duration> {
    let value = fakes::wire::header(head, "x-time-left-ms")?;
    value.parse().ok().map(Duration::from_millis)
}

impl Oracle {
    /// Records an attempt once the head of its request has been written, and checks the rules on it.
    pub(super) fn attempt_started(&mut self, now: Duration, connection: ConnectionId, head: &str) {
        let upstream = match self.connections.get_mut(&connection) {
            Some(TrackedConnection::Upstream(upstream)) => upstream,
            _ => return,
        };
        let Some(id) = correlation_id(head) else { return };
        let (server, zone, first_byte_at) =
            (upstream.server, upstream.zone, upstream.first_byte_at);
        let pair = Pair { sidecar: upstream.sidecar, server };
        self.report
            .note(now, || format!("{id} goes to server {server} on connection {connection}"));
        self.report.count("attempts");
        let Some(request) = self.requests.get_mut(&id) else {
            let message = format!("{id} is sent to a server, but no client has sent it");
            return self.violate(now, Rule::Stranger, message);
        };
        let index = request.attempts.len();
        upstream.current = Some(AttemptRef { request: id, index });
        let time_left = time_left(head);
        request.attempts.push(Attempt {
            server,
            zone,
            connection,
            first_byte_at,
            complete_at: None,
            time_left: time_left.unwrap_or_default(),
            response: None,
            has_surplus: false,
            executed: false,
            ended_at: None,
        });
        if let Some(breach) = self.check_attempt(id, index, pair, time_left) {
            self.report_breach(now, breach, Some(id));
        }
    }

    fn check_attempt(
        &self,
        id: RequestId,
        index: usize,
        pair: Pair,
        time_left: Option<Duration>,
    ) -> Option<Breach> {
        let request = self.requests.get(&id)?;
        let attempt = &request.attempts[index];
        self.check_eligible(pair, attempt)
            .or_else(|| check_time_left(request, attempt, time_left))
            .or_else(|| self.check_repeat(request, index))
            .or_else(|| check_still_wanted(request, attempt))
    }

    /// Checks the rule `drain`.
    fn check_eligible(&self, pair: Pair, attempt: &Attempt) -> Option<Breach> {
        let since = self.eligibility.blocked_since(pair)?;
        let late = attempt.first_byte_at > since + self.limits.drain_grace + SOCKET_TOLERANCE;
        late.then(|| {
            let server = pair.server;
            Breach::new(
                Rule::Drain,
                format!("sent to server {server}, which has not been eligible since {since:?}"),
            )
        })
    }

    /// Checks the rules `repeat`, `group` and `window` against the first attempt that may have been executed.
    fn check_repeat(&self, request: &Request, index: usize) -> Option<Breach> {
        let attempt = &request.attempts[index];
        let earlier = request.attempts[..index].iter().find(|a| a.may_have_executed())?;
        let complete_at = earlier.complete_at.unwrap_or_default();
        let window_end = complete_at + self.limits.idempotency_window + SOCKET_TOLERANCE;
        match self.limits.classes[request.class].repeat {
            Idempotency::NonIdempotent => Some(Breach::new(
                Rule::Repeat,
                "sent again although an earlier attempt may have been executed",
            )),
            Idempotency::Keyed if earlier.zone != attempt.zone => {
                Some(Breach::new(Rule::Group, "retried in another zone"))
            }
            Idempotency::Keyed if attempt.first_byte_at > window_end => Some(Breach::new(
                Rule::Window,
                "retried after the servers may have forgotten its idempotency key",
            )),
            Idempotency::Idempotent | Idempotency::Keyed => None,
        }
    }

    /// Records that the last byte of an attempt was written, and checks the rules on complete attempts.
    pub(super) fn attempt_completed(&mut self, now: Duration, connection: ConnectionId) {
        let Some(TrackedConnection::Upstream(upstream)) = self.connections.get(&connection) else {
            return;
        };
        let Some(AttemptRef { request: id, index }) = upstream.current else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts[index].complete_at = Some(now);
        let (server, sidecar) = (request.attempts[index].server, request.sidecar);
        let profile = &self.limits.classes[request.class];
        let mut others = request.attempts.iter().enumerate().filter(|(other, _)| *other != index);
        let another_may_have_executed = others.any(|(_, attempt)| attempt.may_have_executed());
        let work = profile.mean_work;
        let breach = if another_may_have_executed && profile.repeat == Idempotency::NonIdempotent {
            Some(Breach::new(Rule::Repeat, "two attempts may have been executed"))
        } else if request.response.is_some_and(|response| response.at < now) {
            Some(Breach::new(
                Rule::After,
                "the last byte of an attempt was sent after the final response",
            ))
        } else {
            None
        };
        if let Some(breach) = breach {
            self.report_breach(now, breach, Some(id));
        }
        self.record_work(now, sidecar, server, work);
    }

    /// Checks the rule `cold`: a server in slow start gets no more work than its capacity allows.
    fn record_work(&mut self, now: Duration, sidecar: usize, server: usize, work: Duration) {
        let limits = &self.limits.slow_start;
        let Some(load) = self.slow_start.record(now, sidecar, server, work, limits) else { return };
        self.count(load.label());
        if let Some(breach) = load.check() {
            self.report_breach(now, breach, None);
        }
    }
}

/// Checks the rule `deadline`. The sidecar cannot know how long a request waited before it was read, so only the time
/// since then counts.
fn check_time_left(
    request: &Request,
    attempt: &Attempt,
    time_left: Option<Duration>,
) -> Option<Breach> {
    let Some(time_left) = time_left else {
        return Some(Breach::new(Rule::Deadline, "sent without the remaining time"));
    };
    let used = attempt.first_byte_at.saturating_sub(request.received_at?);
    let grows = time_left > request.timeout.saturating_sub(used) + DEADLINE_PRECISION;
    grows.then(|| {
        let timeout = request.timeout;
        let message =
            format!("{time_left:?} passed on as remaining, with {used:?} of {timeout:?} used");
        Breach::new(Rule::Deadline, message)
    })
}

/// Checks the rule `after`.
fn check_still_wanted(request: &Request, attempt: &Attempt) -> Option<Breach> {
    let first_byte_at = attempt.first_byte_at;
    if request.client_left_at.is_some_and(|at| at + CLIENT_END_DELAY < first_byte_at) {
        return Some(Breach::new(Rule::After, "sent although the client had left"));
    }
    if request.response.is_some_and(|response| response.at < first_byte_at) {
        return Some(Breach::new(Rule::After, "sent after the final response"));
    }
    None
}
