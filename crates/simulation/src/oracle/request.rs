//! The state that the oracle keeps of each request and its attempts.

use std::fmt::Write as _;
use std::time::Duration;

use simnet::ConnectionId;

use super::limits::ClassProfile;
use crate::model::RequestId;

/// A response to an attempt, as the sidecar has read it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AttemptResponse {
    pub(super) status: u16,
    /// Whether it declares that the request was not executed.
    pub(super) unprocessed: bool,
}

/// An attempt: a request as sent to one server.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The index of the server.
    pub(super) server: usize,
    pub(super) zone: usize,
    pub(super) connection: ConnectionId,
    /// When its first byte was written.
    pub(super) first_byte_at: Duration,
    /// When its last byte was written.
    pub(super) complete_at: Option<Duration>,
    /// The remaining time that was passed on to the server.
    pub(super) time_left: Duration,
    pub(super) response: Option<AttemptResponse>,
    /// Whether bytes followed its response that may belong to it.
    pub(super) has_surplus: bool,
    /// Whether its server has executed it, whatever the response says.
    pub(super) executed: bool,
    /// When its response was complete or its connection closed.
    pub(super) ended_at: Option<Duration>,
}

impl Attempt {
    /// Whether the server may have executed the request.
    pub(super) fn may_have_executed(&self) -> bool {
        let rejected = self.response.is_some_and(|response| response.unprocessed);
        self.executed || self.complete_at.is_some() && !rejected
    }
}

/// Identifies an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRef {
    pub(super) request: RequestId,
    /// The index of the attempt among those of the request.
    pub(super) index: usize,
}

/// The final response to a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct FinalResponse {
    pub(super) status: u16,
    /// When its last byte was written.
    pub(super) at: Duration,
}

/// A request of a client.
#[derive(Debug)]
pub(super) struct Request {
    /// The index of its class.
    pub(super) class: usize,
    /// The index of the sidecar that it was sent to.
    pub(super) sidecar: usize,
    /// The client's timeout for it.
    pub(super) timeout: Duration,
    /// When its client wrote its last byte.
    pub(super) sent_at: Option<Duration>,
    /// When the sidecar had read its last byte.
    pub(super) received_at: Option<Duration>,
    /// Whether all of it had arrived, read or not, when the sidecar closed its connection.
    pub(super) closed_after_arrival: bool,
    pub(super) response: Option<FinalResponse>,
    pub(super) attempts: Vec<Attempt>,
    /// When a response with status 200 began to be passed on before it was complete.
    pub(super) serving_since: Option<Duration>,
    /// When the sidecar closed the connection of an attempt whose server was giving a response with status 200.
    pub(super) cut_while_given_at: Option<Duration>,
    /// The time since which no response is owed, because its client has left or its sidecar was killed.
    pub(super) excused_since: Option<Duration>,
    /// When its client closed the connection on purpose.
    pub(super) client_left_at: Option<Duration>,
    /// The longest time that it can have waited to be accepted, as far as the sidecar knows.
    pub(super) assumed_accept_wait: Duration,
    /// The servers that have executed it.
    pub(super) executed_by: Vec<usize>,
    /// Whether its client no longer waits for it.
    pub(super) finished: bool,
}

impl Request {
    pub(super) fn new(class: usize, sidecar: usize, timeout: Duration) -> Request {
        Request {
            class,
            sidecar,
            timeout,
            sent_at: None,
            received_at: None,
            closed_after_arrival: false,
            response: None,
            attempts: Vec::new(),
            serving_since: None,
            cut_while_given_at: None,
            excused_since: None,
            client_left_at: None,
            assumed_accept_wait: Duration::ZERO,
            executed_by: Vec::new(),
            finished: false,
        }
    }

    /// Whether an attempt has a whole response that serves it. If the sidecar has sent it again since, it has not trusted
    /// that response.
    pub(super) fn is_served_by(&self, attempt: &Attempt) -> bool {
        let is_whole = attempt.response.is_some_and(|r| r.status == 200) && !attempt.has_surplus;
        let answered_at = attempt.ended_at.unwrap_or_default();
        is_whole && self.attempts.iter().all(|later| later.first_byte_at <= answered_at)
    }

    /// Whether any server may have executed it.
    pub(super) fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_executed)
    }

    /// Returns a description of the request and its attempts, in several lines.
    pub(super) fn history(&self, id: RequestId, class: &ClassProfile) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "{id}: {} ({:?}), timeout {:?}, at sidecar {}; sent {:?}, received {:?}, response {:?}",
            class.name,
            class.repeat,
            self.timeout,
            self.sidecar,
            self.sent_at,
            self.received_at,
            self.response
        );
        for (index, attempt) in self.attempts.iter().enumerate() {
            let _ = writeln!(
                text,
                "  attempt {index} at server {} (zone {}) on connection {}: first byte {:?}, complete {:?}, response {:?}",
                attempt.server,
                attempt.zone,
                attempt.connection,
                attempt.first_byte_at,
                attempt.complete_at,
                attempt.response
            );
        }
        let _ = writeln!(text, "  executed by servers {:?}", self.executed_by);
        text
    }
}
