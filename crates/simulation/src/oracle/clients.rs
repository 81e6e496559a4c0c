//! Records what clients report, and checks the rules `answer`, `lost`, `late` and `away`.

use std::time::Duration;

use simnet::ConnectionId;

use super::Oracle;
use super::connection::{ClientExchange, OpenRequest};
use super::limits::SOCKET_TOLERANCE;
use super::report::{Breach, status_label};
use super::request::Request;
use super::rule::Rule;

/// The time within which the client of a response that is cut notices it. Another attempt may have been ended before.
const CUT_PROPAGATION_TIME: Duration = Duration::from_millis(100);
use crate::model::RequestId;

/// The time after a drain within which clients stop using the connections they had before it.
const DRAIN_PERIOD: Duration = Duration::from_millis(1600);
/// The part of it in which a sidecar does not tell its clients yet, as they may have nowhere else to go.
const DRAIN_PROPAGATION_DELAY: Duration = Duration::from_millis(400);

/// A request that a client is about to write.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// The connection that it is written to.
    pub connection: ConnectionId,
    /// Its correlation id.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// The sidecar that it is sent to.
    pub sidecar: usize,
    /// The client's timeout for it.
    pub timeout: Duration,
    /// Its length, in bytes.
    pub length: u64,
}

/// What a connection was used for before a request.
#[derive(Clone, Copy, Debug, Default)]
struct LastUse {
    established_at: Option<Duration>,
    /// The last exchange on it; `None` without one.
    last_exchange: Option<ClientExchange>,
}

impl Oracle {
    /// Records that a client is about to write a request.
    pub fn request_started(&mut self, now: Duration, sent: &SentRequest) {
        let mut last_use = LastUse::default();
        if let Some(client) = self.client_connection(sent.connection) {
            client.open = Some(OpenRequest { id: sent.id, end: client.written + sent.length });
            let exchange = ClientExchange { begun_at: now, ended_at: None };
            let last_exchange = client.last_exchange.replace(exchange);
            last_use = LastUse { established_at: client.established_at, last_exchange };
        }
        self.count("requests");
        self.check_drained(now, sent.sidecar, last_use);
        let request = Request::new(sent.class, sent.sidecar, sent.timeout);
        self.requests.insert(sent.id, request);
    }

    /// Checks the rule `away`: some time after a drain, no request arrives on a connection from before it. A response
    /// whose head was written before clients are told cannot tell its client.
    fn check_drained(&mut self, now: Duration, sidecar: usize, last_use: LastUse) {
        let LastUse { established_at, last_exchange } = last_use;
        let drained_since = self.drained_since.get(&sidecar).copied();
        if let Some((drained, established)) = drained_since.zip(established_at)
            && established < drained
        {
            let told_at = drained + DRAIN_PROPAGATION_DELAY;
            let in_progress = last_exchange.filter(|exchange| exchange.begun_at < told_at);
            let told_from = in_progress.and_then(|exchange| exchange.ended_at).unwrap_or(drained);
            if now <= told_from.max(drained) + DRAIN_PERIOD {
                return;
            }
            let message = format!("a client still uses its connection, drained since {drained:?}");
            self.violate(now, Rule::Away, message);
        }
    }

    /// Records that a client has left on purpose: no response is owed to it, and nothing more may be sent for it.
    pub fn client_left(&mut self, now: Duration, id: RequestId) {
        self.note(now, || format!("the client of {id} leaves"));
        self.count("clients that left");
        if let Some(request) = self.requests.get_mut(&id) {
            request.excused_since.get_or_insert(now);
            request.client_left_at = Some(now);
            request.finished = true;
        }
    }

    /// Records that a client has received its response. `matches` tells whether the body belongs to its request.
    pub fn response_received(&mut self, now: Duration, id: RequestId, status: u16, matches: bool) {
        self.note(now, || format!("{id} is answered with {status}"));
        self.count(status_label(status));
        if status == 200 && !matches {
            let breach = Breach::new(Rule::Answer, "answered with the response of another request");
            self.report_breach(now, breach, Some(id));
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.finished = true;
        }
    }

    /// Checks the rule `lost` when a client's connection has ended without a response.
    pub fn connection_ended(&mut self, now: Duration, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.finished = true;
        if request.excused_since.is_some() {
            return self.count("excused");
        }
        let terminating = self.terminating_since.get(&request.sidecar);
        let may_be_lost_after = terminating.map(|since| *since + self.limits.earliest_kill);
        if may_be_lost_after.is_some_and(|after| request.sent_at.is_none_or(|sent| sent > after)) {
            return self.count("lost after graceful shutdown");
        }
        let received = request.received_at.is_some()
            || (!request.attempts.is_empty() && request.sent_at.is_some());
        let served = request.attempts.iter().any(|attempt| request.is_served_by(attempt));
        let answered = request.response.is_some();
        let is_cut = request.cut_while_given_at.is_some_and(|at| now < at + CUT_PROPAGATION_TIME);
        if request.serving_since.is_some() && !answered && is_cut {
            let breach = Breach::new(Rule::Lost, "cut off while a server was giving the response");
            self.report_breach(now, breach, Some(id));
        } else if request.serving_since.is_some() && !answered && !served {
            self.count("responses truncated");
        } else if received && !answered {
            let breach =
                Breach::new(Rule::Lost, "received, and the connection ended without a response");
            self.report_breach(now, breach, Some(id));
        } else if request.closed_after_arrival && !answered {
            let breach =
                Breach::new(Rule::Lost, "arrived, and the connection ended without a response");
            self.report_breach(now, breach, Some(id));
        } else {
            self.count("closed before the request was received");
        }
    }

    /// Checks the rule `late` when a client's timeout and the response slack have passed.
    pub fn client_timed_out(&mut self, now: Duration, id: RequestId) {
        if self.response_deadline(id).is_none_or(|deadline| now < deadline) {
            self.count("requests not received in time");
            return self.client_left(now, id);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.finished = true;
        let owed = request.excused_since.is_none()
            && request.response.is_none()
            && request.received_at.is_some();
        if owed {
            self.report_breach(
                now,
                Breach::new(Rule::Late, "no response by the deadline"),
                Some(id),
            );
        } else {
            self.count("requests not received in time");
        }
    }

    /// Returns the time by which the response to a request must be written; `None` before the request is sent.
    pub fn response_deadline(&self, id: RequestId) -> Option<Duration> {
        let request = self.requests.get(&id)?;
        let short_until = self.short_of_descriptors_until.get(&request.sidecar);
        let short =
            short_until.is_some_and(|until| request.sent_at.is_some_and(|sent| sent < *until));
        // Without descriptors a connection waits to be accepted, and the sidecar does not know of its request.
        let from = if short { request.received_at? } else { request.sent_at? };
        // One hold-up may delay the read of the request, and another the write of its response.
        let held_up = 2 * self.limits.longest_hold_up;
        Some(from + request.timeout + self.limits.response_slack + SOCKET_TOLERANCE + held_up)
    }

    /// Whether a response that serves the request was begun by the deadline.
    pub fn is_served_in_time(&self, id: RequestId) -> bool {
        let since = self.requests.get(&id).and_then(|request| request.serving_since);
        since.is_some_and(|at| self.response_deadline(id).is_none_or(|deadline| at <= deadline))
    }

    /// Whether a sidecar has received a request.
    pub fn is_received(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.received_at.is_some())
    }

    /// Counts the requests that were sent in a period, and those of them that were answered with 200.
    pub fn served_between(&self, from: Duration, to: Duration) -> Served {
        let mut counted = Served::default();
        for request in self.requests.values().filter(|r| r.excused_since.is_none()) {
            if request.sent_at.is_some_and(|at| (from..to).contains(&at)) {
                counted.requests += 1;
                counted.served += u64::from(request.response.is_some_and(|r| r.status == 200));
            }
        }
        counted
    }
}

/// Numbers of requests in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Requests that were answered with 200.
    pub served: u64,
    /// All requests.
    pub requests: u64,
}
