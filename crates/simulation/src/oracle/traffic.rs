//! The oracle's tap on the network, which follows the HTTP messages on each connection.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use fakes::framing::MessagePart;
use simnet::{ConnectionId, HostId, Tap, TapEvent};

use super::connection::{ClientExchange, TrackedConnection, UpstreamConnection};
use super::request::AttemptResponse;
use super::rule::Rule;
use super::{Oracle, Role};

/// The longest response that a sidecar buffers, in bytes. A longer one is streamed, and the gaps between its parts
/// may be longer.
const MAX_BUFFERED_RESPONSE: u64 = 64 << 10;
/// A server of which bytes have come within this time is still giving its response.
const GIVING_PERIOD: Duration = Duration::from_millis(100);

/// Passes every network event to the oracle.
pub struct OracleTap(pub Rc<RefCell<Oracle>>);

impl Tap for OracleTap {
    fn on_event(&mut self, now: Duration, event: &TapEvent<'_>) {
        let mut oracle = self.0.borrow_mut();
        match *event {
            TapEvent::Sent { connection, from, to, bytes } => {
                oracle.bytes_sent(now, connection, from, to, bytes);
            }
            TapEvent::Read { connection, by, bytes } => {
                oracle.bytes_read(now, connection, by, bytes);
            }
            TapEvent::EndRead { connection, by } => oracle.end_read(now, connection, by),
            TapEvent::Closed { connection, by, reset, unread } => {
                oracle.client_connection_ended(connection, by, unread);
                oracle.connection_closed(now, connection, by, reset);
            }
            TapEvent::Connecting { connection, by } => {
                if let Role::Sidecar { index } = oracle.role(by) {
                    oracle.pending_connects.start(index, connection);
                }
            }
            TapEvent::Connected { connection, from, to, .. } => {
                oracle.connection_established(now, connection, from, to);
            }
            TapEvent::Accepted { connection, by } => {
                oracle.connection_accepted(now, connection, by);
            }
            TapEvent::WriteShutdown { connection, by, unread } => {
                oracle.client_connection_ended(connection, by, unread);
            }
        }
    }
}

/// Returns the status in the head of a response; 0 if there is none.
fn status(head: &str) -> u16 {
    head.get(9..12).and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// Whether the response with this head is too long to be buffered, or of unknown length.
fn is_streamed(head: &str) -> bool {
    let length = fakes::wire::header(head, "content-length").and_then(|v| v.parse().ok());
    match length {
        Some(length) => MAX_BUFFERED_RESPONSE < length,
        None => !head.starts_with("HTTP/1.1 1"),
    }
}

/// Whether the response with this head declares that the request was not executed, and does not contradict itself.
fn is_unprocessed(head: &str, status: u16) -> bool {
    let headers = head.lines().filter_map(|line| line.split_once(':'));
    let values = headers.filter(|(name, _)| name.trim().eq_ignore_ascii_case("x-unprocessed"));
    let values: Vec<&str> = values.map(|(_, value)| value.trim()).collect();
    matches!(status, 503 | 504) && values == ["1"]
}

impl Oracle {
    fn connection_established(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        from: HostId,
        to: HostId,
    ) {
        self.pending_connects.finish(now, connection);
        self.count("connections");
        match (self.role(from), self.role(to)) {
            (Role::Clients { .. }, to) => {
                if let Role::Sidecar { index } = to {
                    self.backlogs.push(index, connection);
                }
                if let Some(client) = self.client_connection(connection) {
                    client.established_at = Some(now);
                }
            }
            (Role::Sidecar { index: a }, Role::Sidecar { index: b }) => {
                self.violate(now, Rule::Loop, format!("sidecar {a} has connected to sidecar {b}"));
            }
            _ => {}
        }
    }

    fn connection_accepted(&mut self, now: Duration, connection: ConnectionId, by: HostId) {
        let Role::Sidecar { index } = self.role(by) else { return };
        let assumed_wait = self.backlogs.accept(now, index, connection);
        if let Some(TrackedConnection::Client(client)) = self.connections.get_mut(&connection)
            && client.established_at.is_some_and(|at| at < now)
        {
            client.assumed_accept_wait = assumed_wait;
        }
    }

    fn bytes_sent(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        from: HostId,
        to: HostId,
        bytes: &[u8],
    ) {
        match (self.role(from), self.role(to)) {
            (Role::Clients { .. }, Role::Sidecar { .. }) => {
                self.request_bytes_sent(now, connection, bytes);
            }
            (Role::Sidecar { .. }, Role::Clients { .. }) => {
                self.response_bytes_sent(now, connection, bytes);
            }
            (Role::Sidecar { index: sidecar }, Role::Server { index: server, zone }) => {
                let new = || {
                    let upstream = UpstreamConnection::new(sidecar, server, zone, now);
                    TrackedConnection::Upstream(upstream)
                };
                self.connections.entry(connection).or_insert_with(new);
                self.attempt_bytes_sent(now, connection, bytes);
            }
            _ => {}
        }
    }

    /// Records bytes of a request that a client has written.
    fn request_bytes_sent(&mut self, now: Duration, connection: ConnectionId, bytes: &[u8]) {
        let Some(client) = self.client_connection(connection) else { return };
        let before = client.written;
        client.written += bytes.len() as u64;
        let complete = client.open.filter(|open| before < open.end && client.written >= open.end);
        if let Some(request) = complete.and_then(|open| self.requests.get_mut(&open.id)) {
            request.sent_at = Some(now);
        }
    }

    /// Follows bytes of a response that a sidecar has written to a client.
    fn response_bytes_sent(&mut self, now: Duration, connection: ConnectionId, bytes: &[u8]) {
        let Some(TrackedConnection::Client(client)) = self.connections.get_mut(&connection) else {
            return;
        };
        let mut completed = Vec::new();
        let mut begins_serving = false;
        client.responses.feed(bytes, |part| match part {
            MessagePart::FirstByte => {}
            MessagePart::Head(head) => {
                client.status = status(head);
                begins_serving |= client.status == 200;
            }
            MessagePart::LastByte => completed.push(client.status),
        });
        let open = client.open;
        if !completed.is_empty() {
            client.open = None;
            client.last_exchange = client
                .last_exchange
                .map(|exchange| ClientExchange { ended_at: Some(now), ..exchange });
        }
        let unfinished = open.filter(|_| begins_serving && completed.is_empty());
        if let Some(request) = unfinished.and_then(|open| self.requests.get_mut(&open.id)) {
            request.serving_since.get_or_insert(now);
            self.count("responses begun before they were complete");
        }
        // Only the first of several responses can belong to the open request.
        let mut open = open;
        for status in completed {
            match open.take() {
                Some(request) => self.response_completed(now, request.id, status),
                None => self.count("unsolicited responses"),
            }
        }
    }

    /// Follows bytes of a request that a sidecar has written to a server.
    fn attempt_bytes_sent(&mut self, now: Duration, connection: ConnectionId, bytes: &[u8]) {
        let Some(TrackedConnection::Upstream(upstream)) = self.connections.get_mut(&connection)
        else {
            return;
        };
        // A head is `Some`, the last byte of a request is `None`.
        let mut parts = Vec::new();
        upstream.requests.feed(bytes, |part| match part {
            MessagePart::FirstByte => {
                upstream.first_byte_at = now;
                upstream.in_head = true;
            }
            MessagePart::Head(head) => {
                upstream.in_head = false;
                parts.push(Some(head.to_owned()));
            }
            MessagePart::LastByte => parts.push(None),
        });
        for part in parts {
            match part {
                Some(head) => self.attempt_started(now, connection, &head),
                None => self.attempt_completed(now, connection),
            }
        }
    }

    fn bytes_read(&mut self, now: Duration, connection: ConnectionId, by: HostId, bytes: &[u8]) {
        if !matches!(self.role(by), Role::Sidecar { .. }) {
            return;
        }
        match self.connections.get(&connection) {
            Some(TrackedConnection::Client(_)) => {
                self.request_bytes_read(now, connection, bytes);
            }
            Some(TrackedConnection::Upstream(_)) => {
                self.attempt_response_bytes_read(now, connection, bytes);
            }
            None => {}
        }
    }

    /// Records bytes of a request that a sidecar has read.
    fn request_bytes_read(&mut self, now: Duration, connection: ConnectionId, bytes: &[u8]) {
        let Some(TrackedConnection::Client(client)) = self.connections.get_mut(&connection) else {
            return;
        };
        client.read += bytes.len() as u64;
        let complete = client.open.filter(|open| client.read >= open.end);
        if let Some(request) = complete.and_then(|open| self.requests.get_mut(&open.id))
            && request.received_at.is_none()
        {
            request.received_at = Some(now);
            request.assumed_accept_wait = std::mem::take(&mut client.assumed_accept_wait);
        }
    }

    /// Follows bytes of a server's response that a sidecar has read.
    fn attempt_response_bytes_read(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        bytes: &[u8],
    ) {
        let Some(TrackedConnection::Upstream(upstream)) = self.connections.get_mut(&connection)
        else {
            return;
        };
        let mut completed = Vec::new();
        let last_progress = upstream.last_progress.take();
        upstream.responses.feed(bytes, |part| match part {
            MessagePart::FirstByte => {
                upstream.is_streamed = false;
                upstream.response = AttemptResponse::default();
            }
            MessagePart::Head(head) => {
                upstream.is_streamed = is_streamed(head);
                let status = status(head);
                let unprocessed = is_unprocessed(head, status);
                upstream.response = AttemptResponse { status, unprocessed };
            }
            MessagePart::LastByte => completed.push(upstream.response),
        });
        let incomplete = upstream.responses.is_inside_message();
        upstream.last_progress = (incomplete && !upstream.is_streamed).then_some(now);
        upstream.last_byte_at = incomplete.then_some(now);
        let has_surplus = incomplete && !completed.is_empty();
        let (current, status) = (upstream.current, upstream.response.status);
        self.check_stalled(now, last_progress, status, current);
        for response in completed {
            if let Some(attempt) = current {
                self.attempt_answered(now, attempt, response);
                if has_surplus && let Some(attempt) = self.attempt_mut(attempt) {
                    attempt.has_surplus = true;
                }
            }
        }
    }

    /// Records that a process has read the end of a connection. It ends a server's response that has no length.
    fn end_read(&mut self, now: Duration, connection: ConnectionId, by: HostId) {
        let Role::Sidecar { .. } = self.role(by) else { return };
        let Some(TrackedConnection::Upstream(upstream)) = self.connections.get_mut(&connection)
        else {
            return;
        };
        if !upstream.responses.end() {
            return;
        }
        upstream.last_progress = None;
        upstream.last_byte_at = None;
        let (current, response) = (upstream.current, upstream.response);
        if let Some(attempt) = current {
            self.attempt_answered(now, attempt, response);
        }
    }

    /// Records that a sidecar has closed a client's connection: a request that had arrived by then gets no response.
    /// Does nothing for other connections.
    fn client_connection_ended(&mut self, connection: ConnectionId, by: HostId, unread: usize) {
        let Role::Sidecar { .. } = self.role(by) else { return };
        let Some(client) = self.client_connection(connection) else { return };
        if std::mem::replace(&mut client.ended, true) {
            return;
        }
        let arrived = client.read + unread as u64;
        let complete = client.open.filter(|open| arrived >= open.end);
        if let Some(request) = complete.and_then(|open| self.requests.get_mut(&open.id)) {
            request.closed_after_arrival = true;
        }
    }

    fn connection_closed(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        by: HostId,
        reset: bool,
    ) {
        match (self.connections.get(&connection), self.role(by)) {
            (Some(TrackedConnection::Upstream(upstream)), Role::Sidecar { .. }) => {
                let (current, last_progress) = (upstream.current, upstream.last_progress);
                let status = upstream.response.status;
                let last_byte_at = upstream.last_byte_at;
                let is_given = !upstream.ended_by_server
                    && last_byte_at.is_some_and(|at| now < at + GIVING_PERIOD);
                if upstream.in_head {
                    self.last_cut_head.insert(upstream.sidecar, now);
                }
                self.check_stalled(now, last_progress, status, current);
                if is_given
                    && status == 200
                    && let Some(attempt) = current
                {
                    self.cut_while_given(now, attempt);
                }
                if let Some(attempt) = current {
                    self.attempt_cancelled(now, attempt, last_byte_at);
                }
                self.connections.remove(&connection);
            }
            (Some(TrackedConnection::Upstream(_)), Role::Server { .. }) => {
                if let Some(TrackedConnection::Upstream(upstream)) =
                    self.connections.get_mut(&connection)
                {
                    upstream.ended_by_server = true;
                }
            }
            (Some(TrackedConnection::Client(_)), Role::Clients { .. }) => {
                self.connections.remove(&connection);
                self.backlogs.remove(connection);
            }
            (None, Role::Sidecar { .. }) => self.pending_connects.finish(now, connection),
            (Some(TrackedConnection::Client(_)), _) if reset => self.count("clients reset"),
            _ => {}
        }
    }
}
