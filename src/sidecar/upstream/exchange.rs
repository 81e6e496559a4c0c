//! One attempt: a request and its response on a connection.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Response;
use hyper::body::Incoming;
use runtime::{Runtime, expiry};

use super::attempt_result::AttemptResult;
use super::connection::{Connection, ConnectionUse};
use super::desync::SuspectedDesync;
use super::observer::ExchangeObserver;
use super::request::{AttemptLimits, UpstreamRequest};
use super::response::{Received, is_unprocessed};
use super::send::send_request;
use super::{Endpoint, Upstream};
use crate::api::Outcome;
use crate::settings::RetrySafety;
use crate::sidecar::execution::{Doubt, ExecutionFacts};
use crate::sidecar::invariants::{self, SendRefusal};
use crate::sidecar::sync_state::{DesyncSign, SyncState};

/// A connection that was closed before it was used shows that within this time.
const STALE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(50);

/// The log's message of a response that may answer an earlier request on its connection.
const SYNC_CHECK_MESSAGE: &str = "connection checked for an earlier response";
/// The log's message of a request that is sent once more as part of the same attempt.
const RESEND_MESSAGE: &str = "request sent again on a new connection";

/// Why a request is sent once more on a new connection, as part of the same attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResendReason {
    /// Its connection had been closed, and not all of it was sent.
    NotSent,
    /// Its connection may have been closed before it was sent in full.
    StaleConnection,
    /// The response may answer an earlier request on its connection.
    Desync,
}

impl ResendReason {
    /// The name in logs.
    fn name(self) -> &'static str {
        match self {
            ResendReason::NotSent => "not_sent",
            ResendReason::StaleConnection => "stale_connection",
            ResendReason::Desync => "desync",
        }
    }
}

/// What follows when a connection brought no response that is taken for the request's.
enum NextStep {
    Resend(ResendReason),
    /// The attempt has ended.
    End(Box<AttemptResult>),
}

impl NextStep {
    /// The attempt has ended without a response.
    fn end(outcome: Outcome) -> NextStep {
        NextStep::End(Box::new(AttemptResult::without_response(outcome)))
    }
}

impl<P: Runtime> Upstream<P> {
    /// Makes one attempt at `endpoint`; `number`: its place among the request's attempts. Dropping the future
    /// cancels the attempt.
    pub async fn attempt(
        self: &Rc<Upstream<P>>,
        number: usize,
        endpoint: Endpoint,
        request: &Rc<UpstreamRequest>,
        limits: AttemptLimits,
    ) -> AttemptResult {
        let facts = ExecutionFacts::NOT_SENT;
        let exchange = Exchange {
            upstream: self,
            number,
            endpoint,
            request,
            limits,
            facts,
            connection_use: None,
        };
        exchange.run().await
    }

    /// Waits until a response that has begun makes no progress.
    async fn response_stalled(&self, observer: &ExchangeObserver<P>) {
        loop {
            let Some(active_at) = observer.response_active_at() else {
                observer.response_began().await;
                continue;
            };
            expiry::<P>(active_at + self.live.timeouts().read).await;
            if observer.response_active_at() == Some(active_at) {
                return;
            }
        }
    }
}

/// An attempt under way. It may use a second connection if the first turns out to be closed.
struct Exchange<'a, P: Runtime> {
    upstream: &'a Rc<Upstream<P>>,
    /// Its place among the request's attempts.
    number: usize,
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
            attempt = self.number,
            address = %self.endpoint.address,
            %doubt,
            connection_use = self.connection_use.map(tracing::field::display),
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
                self.upstream.put_back(self.endpoint.server, connection);
                return AttemptResult::without_response(Outcome::NotSent);
            }
            self.upstream.status.discovery.record_attempt();
            self.connection_use = Some(connection.next_use());
            self.facts.connection_settled = !connection.is_used();
            let observer = connection.observer.clone();
            let next = match self.receive_head(&mut connection, &observer).await {
                Some(response) => {
                    let received = self.receive_response(connection, &observer, response).await;
                    self.note_exchange(&observer);
                    self.verify(received).await
                }
                None => {
                    self.note_exchange(&observer);
                    self.after_break(&connection, sent_at)
                }
            };
            match next {
                NextStep::End(result) => return *result,
                NextStep::Resend(reason) => self.prepare_resend(reason, sent_at),
            }
        }
    }

    /// Logs that the request is sent once more after `sent_at`, and keeps its repeats within their window.
    fn prepare_resend(&mut self, reason: ResendReason, sent_at: Instant) {
        let may_have_run = self.facts.copies_sent > 0;
        let (request, attempt) = (self.request.correlation_id(), self.number);
        let (address, reason) = (&self.endpoint.address, reason.name());
        let connection_use = self.connection_use.map(tracing::field::display);
        if may_have_run && self.needs_proof() {
            tracing::info!(request, attempt, %address, reason, may_have_run, connection_use, "{RESEND_MESSAGE}");
        } else {
            tracing::debug!(request, attempt, %address, reason, may_have_run, connection_use, "{RESEND_MESSAGE}");
        }
        if may_have_run {
            // The new connection may take longer to come up than the first copy is remembered.
            self.limits.note_sent(sent_at);
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

    /// What follows a response: where it may answer an earlier request, a check of its connection tells.
    async fn verify(&mut self, received: Received<P>) -> NextStep {
        let (result, connection, suspected) = match received {
            Received::Ended(result) => return NextStep::End(Box::new(result)),
            Received::FinalRejection(result) => {
                self.facts.connection_settled = true;
                return NextStep::End(Box::new(result));
            }
            Received::Unverified { result, connection, suspected } => {
                (result, connection, suspected)
            }
        };
        let state = self.check_sync(connection, suspected).await;
        self.log_sync_check(suspected, state);
        self.facts.connection_settled = state == SyncState::InSync;
        let is_taken = state == SyncState::InSync || suspected.is_none();
        match self.request.retry_safety {
            // What a rejection proves is told by the facts.
            _ if is_taken => NextStep::End(Box::new(result)),
            RetrySafety::NonIdempotent => NextStep::end(Outcome::ConnectionReset),
            _ => NextStep::Resend(ResendReason::Desync),
        }
    }

    /// Whether the last response on `connection` answers the request; not known without one.
    async fn check_sync(
        &self,
        connection: Option<Box<Connection<P>>>,
        suspected: Option<SuspectedDesync>,
    ) -> SyncState {
        let Some(connection) = connection else { return SyncState::Unknown };
        let history = connection.history.clone();
        let state = self.upstream.check_sync(self.endpoint.server, *connection, &self.limits).await;
        if state == SyncState::InSync
            && let Some(suspected) = suspected
        {
            history.record_false_alarm(suspected);
        }
        state
    }

    /// Counts and logs a check of whether a response answers this request, and what had spoken against that.
    fn log_sync_check(&self, suspected: Option<SuspectedDesync>, state: SyncState) {
        let sign = suspected.map(|suspected| suspected.sign);
        self.upstream.status.events.record_sync_check(state, sign);
        let (request, attempt) = (self.request.correlation_id(), self.number);
        let (address, result) = (&self.endpoint.address, state.name());
        let sign = sign.map_or("rejected", DesyncSign::name);
        let connection_use = self.connection_use.map(tracing::field::display);
        if state == SyncState::InSync {
            tracing::debug!(request, attempt, %address, sign, result, connection_use, "{SYNC_CHECK_MESSAGE}");
        } else {
            tracing::info!(request, attempt, %address, sign, result, connection_use, "{SYNC_CHECK_MESSAGE}");
        }
    }

    /// What follows after the connection broke without a response to what was sent at `sent_at`.
    fn after_break(&self, connection: &Connection<P>, sent_at: Instant) -> NextStep {
        let observer = &connection.observer;
        let sent = observer.is_request_sent();
        if !sent && let Err(refusal) = self.may_send(P::now()) {
            self.upstream.status.events.record_refusal(refusal);
            return NextStep::end(Outcome::NotSent);
        }
        // A server may close a connection just as the request is written. An idempotent one goes to the
        // same server again at once, as part of the same attempt: the server has not chosen to fail
        // it. Nothing of a response must have arrived, and the break must come as soon as one that
        // happened before.
        let was_stale = connection.is_used()
            && observer.response_active_at().is_none()
            && P::elapsed_since(sent_at) < STALE_CONNECTION_TIMEOUT;
        match (was_stale && self.request.retry_safety != RetrySafety::NonIdempotent, sent) {
            (true, true) => NextStep::Resend(ResendReason::StaleConnection),
            (true, false) => NextStep::Resend(ResendReason::NotSent),
            (false, true) => NextStep::end(Outcome::ConnectionReset),
            // An idle connection may be reset by the first byte written to it. The server has not begun
            // on the request, which gets a new connection.
            (false, false) if connection.is_used() => NextStep::Resend(ResendReason::NotSent),
            (false, false) => NextStep::end(Outcome::ConnectFailed),
        }
    }
}
