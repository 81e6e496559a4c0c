//! One attempt: a request and its response on a connection.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Response;
use hyper::body::Incoming;
use runtime::{Runtime, expiry};

use super::attempt_result::AttemptResult;
use super::connection::{Connection, ConnectionUse};
use super::in_step::InStep;
use super::observer::ExchangeObserver;
use super::request::{AttemptLimits, UpstreamRequest};
use super::response::{Received, is_unprocessed};
use super::send::send_request;
use super::trust::{Misplaced, Suspect};
use super::{Endpoint, Upstream};
use crate::api::Outcome;
use crate::settings::RetrySafety;
use crate::sidecar::execution::{Doubt, ExecutionFacts};
use crate::sidecar::invariants::{self, SendRefusal};

/// A connection that was closed before it was used shows that within this time.
const STALE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(50);

/// The log's message of a response that may answer an earlier request on its connection.
const DOUBT_MESSAGE: &str = "response on a used connection is in doubt";

/// What follows when a connection broke before a response.
enum AfterBreak {
    /// The request is sent on a new connection. It was not sent in full before.
    Reconnect,
    /// The request is sent on a new connection, though it was sent in full before.
    Resend,
    /// The attempt has ended.
    End(Outcome),
}

impl<P: Runtime> Upstream<P> {
    /// Makes one attempt at `endpoint`. Dropping the future cancels the attempt.
    pub async fn attempt(
        self: &Rc<Upstream<P>>,
        endpoint: Endpoint,
        request: &Rc<UpstreamRequest>,
        limits: AttemptLimits,
    ) -> AttemptResult {
        let facts = ExecutionFacts::NOT_SENT;
        Exchange { upstream: self, endpoint, request, limits, facts, connection_use: None }
            .run()
            .await
    }

    /// Waits until a response that has begun makes no progress.
    async fn response_stalled(&self, observer: &ExchangeObserver<P>) {
        loop {
            let Some(active_at) = observer.response_active_at() else {
                observer.response_began().await;
                continue;
            };
            expiry::<P>(active_at + self.live.timeouts().gap).await;
            if observer.response_active_at() == Some(active_at) {
                return;
            }
        }
    }
}

/// An attempt under way. It may use a second connection if the first turns out to be closed.
struct Exchange<'a, P: Runtime> {
    upstream: &'a Rc<Upstream<P>>,
    endpoint: Endpoint,
    request: &'a Rc<UpstreamRequest>,
    limits: AttemptLimits,
    facts: ExecutionFacts,
    connection_use: Option<ConnectionUse>,
}

impl<P: Runtime> Exchange<'_, P> {
    async fn run(mut self) -> AttemptResult {
        let mut result = self.exchange().await;
        result.facts = Some(self.facts);
        result.connection_use = self.connection_use;
        if result.outcome.never_ran()
            && self.needs_proof()
            && let Err(doubt) = self.facts.never_ran()
        {
            self.record_doubt(doubt);
            result.outcome = Outcome::ConnectionReset;
        }
        result
    }

    /// Counts and logs that the attempt's end does not prove that it was not executed.
    fn record_doubt(&self, doubt: Doubt) {
        self.upstream.status.events.record_doubt(doubt);
        tracing::info!(
            request = self.request.correlation_id(),
            address = %self.endpoint.address,
            %doubt,
            connection_use = ?self.connection_use,
            status = self.facts.response.status,
            copies_sent = self.facts.copies_sent,
            "rejection by a server is no proof"
        );
    }

    /// Whether that the request was not executed has to be proven, as it must not simply be repeated.
    fn needs_proof(&self) -> bool {
        self.request.retry_safety != RetrySafety::Idempotent
    }

    /// Notes what passed on a connection that is not used any more for this attempt.
    fn note_exchange(&mut self, observer: &ExchangeObserver<P>) {
        self.facts.copies_sent += u32::from(observer.is_request_sent());
        self.facts.response = observer.response_facts();
        if let Some(connection_use) = &mut self.connection_use {
            connection_use.response_delay = observer.response_delay();
        }
    }

    async fn exchange(&mut self) -> AttemptResult {
        // The part of a streamed body that is lost on a closed connection cannot be sent again.
        let mut idle = match self.request.upload {
            None => self.upstream.take_idle(self.endpoint, self.needs_proof()).await,
            Some(_) => None,
        };
        loop {
            let connection = match idle.take() {
                Some(connection) => Some(connection),
                None => self.upstream.connect(self.endpoint).await,
            };
            let Some(mut connection) = connection else {
                return AttemptResult::without_response(Outcome::ConnectFailed);
            };
            // Where attempts may not be cancelled, one that waits for its connection would be sent for
            // a request that is finished, and its effect would take place for nobody.
            let sent_at = P::now();
            if let Err(refusal) = self.may_send(sent_at) {
                self.upstream.status.events.record_refusal(refusal);
                tracing::debug!(address = %self.endpoint.address, %refusal, "attempt not sent");
                self.upstream.return_to_pool(self.endpoint.server, connection);
                return AttemptResult::without_response(Outcome::NotSent);
            }
            self.upstream.status.discovery.record_attempt();
            self.connection_use = Some(connection.next_use());
            self.facts.connection_settled = !connection.is_used();
            let observer = connection.observer.clone();
            if let Some(response) = self.receive_head(&mut connection, &observer).await {
                let received = self.receive_response(connection, &observer, response).await;
                self.note_exchange(&observer);
                match self.resolve_doubt(received).await {
                    Some(result) => return result,
                    None if self.request.retry_safety == RetrySafety::NonIdempotent => {
                        return AttemptResult::without_response(Outcome::ConnectionReset);
                    }
                    None => self.limits.note_sent(sent_at),
                }
                continue;
            }
            self.note_exchange(&observer);
            match self.after_break(&connection, sent_at) {
                AfterBreak::Reconnect => {}
                AfterBreak::Resend => {
                    // The new connection may take longer to come up than the first copy is remembered.
                    self.limits.note_sent(sent_at);
                }
                AfterBreak::End(outcome) => return AttemptResult::without_response(outcome),
            }
        }
    }

    fn may_send(&self, now: Instant) -> Result<(), SendRefusal> {
        invariants::may_send(self.limits.send_facts(self.request, now))
    }

    /// Sends the request and waits for the head of its response; none if the connection breaks or the
    /// head stalls.
    ///
    /// A response that has begun and makes no progress would hold the request until its deadline,
    /// whatever is wrong with it: a head or a body that stops, a length that is too long. It has
    /// failed, and an idempotent request goes to another server in time. This is a disadvantage with
    /// servers that respond in pieces which are far apart.
    async fn receive_head(
        &self,
        connection: &mut Connection<P>,
        observer: &ExchangeObserver<P>,
    ) -> Option<Response<Incoming>> {
        let response = tokio::select! {
            biased;
            response = send_request(connection, self.request, &self.limits) => response,
            () = self.upstream.response_stalled(observer) => None,
        };
        // A response that came before the request was sent answers something else.
        response.filter(|_| observer.is_request_sent() || self.request.upload.is_some())
    }

    async fn receive_response(
        &self,
        connection: Connection<P>,
        observer: &ExchangeObserver<P>,
        response: Response<Incoming>,
    ) -> Received<P> {
        if !observer.is_request_sent() {
            // The server wants no more of a streamed body. Its response ends the connection.
            let unprocessed = is_unprocessed(&response);
            let outcome = if unprocessed { Outcome::Rejected } else { Outcome::ErrorResponse };
            return Received::nothing(outcome);
        }
        let (server, needs_proof) = (self.endpoint.server, self.needs_proof());
        let result = self.upstream.read_response(server, connection, response, needs_proof);
        tokio::select! {
            biased;
            result = result => result,
            () = self.upstream.response_stalled(observer) => {
                Received::nothing(Outcome::ConnectionReset)
            }
        }
    }

    /// The end of the attempt, unless the response answers another request.
    async fn resolve_doubt(&mut self, received: Received<P>) -> Option<AttemptResult> {
        let (result, connection, suspect) = match received {
            Received::Ended(result) => return Some(result),
            Received::FinalRejection(result) => {
                self.facts.connection_settled = true;
                return Some(result);
            }
            Received::InDoubt { result, connection, suspect } => (result, connection, suspect),
        };
        let trust = connection.as_ref().map(|connection| connection.trust.clone());
        let in_step = match connection {
            Some(connection) => {
                self.upstream.check_in_step(self.endpoint.server, *connection, &self.limits).await
            }
            None => InStep::Unknown,
        };
        self.log_doubt(suspect, in_step);
        self.facts.connection_settled = in_step == InStep::Yes;
        match (in_step, suspect) {
            (InStep::Yes, Some(suspect)) => {
                trust.into_iter().for_each(|trust| trust.acquit(suspect));
                Some(result)
            }
            (_, Some(_)) => None,
            // The facts tell what a rejection proves.
            (_, None) => Some(result),
        }
    }

    /// Counts and logs that a response may answer an earlier request, and what a further message told.
    fn log_doubt(&self, suspect: Option<Suspect>, in_step: InStep) {
        let reason = suspect.map(|suspect| suspect.reason);
        self.upstream.status.events.record_step_check(in_step, reason);
        let (request, address) = (self.request.correlation_id(), &self.endpoint.address);
        let (reason, connection_use) =
            (reason.map_or("rejected", Misplaced::name), self.connection_use);
        if in_step == InStep::Yes {
            tracing::debug!(request, %address, reason, in_step = "yes", ?connection_use, "{DOUBT_MESSAGE}");
        } else {
            let in_step = in_step.name();
            tracing::info!(request, %address, reason, in_step, ?connection_use, "{DOUBT_MESSAGE}");
        }
    }

    /// What follows after the connection broke without a response to what was sent at `sent_at`.
    fn after_break(&self, connection: &Connection<P>, sent_at: Instant) -> AfterBreak {
        let observer = &connection.observer;
        let sent = observer.is_request_sent();
        if !sent && let Err(refusal) = self.may_send(P::now()) {
            self.upstream.status.events.record_refusal(refusal);
            return AfterBreak::End(Outcome::NotSent);
        }
        // A server may close a connection just as the request is written. An idempotent one goes to the
        // same server again at once, as part of the same attempt: the server has not chosen to fail
        // it. Nothing of a response must have arrived, and the break must come as soon as one that
        // happened before.
        let was_stale = connection.is_used()
            && observer.response_active_at().is_none()
            && P::elapsed_since(sent_at) < STALE_CONNECTION_TIMEOUT;
        match (was_stale && self.request.retry_safety != RetrySafety::NonIdempotent, sent) {
            (true, true) => AfterBreak::Resend,
            (true, false) => AfterBreak::Reconnect,
            (false, true) => AfterBreak::End(Outcome::ConnectionReset),
            // An idle connection may be reset by the first byte written to it. The server has not begun
            // on the request, which gets a new connection.
            (false, false) if connection.is_used() => AfterBreak::Reconnect,
            (false, false) => AfterBreak::End(Outcome::ConnectFailed),
        }
    }
}
