//! An attempt: the exchange of a request and its response with one server.

mod verification;

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use runtime::{Runtime, expiry};

use super::attempt_result::AttemptResult;
use super::connection::{Connection, ConnectionUse};
use super::observer::ExchangeObserver;
use super::request::{AttemptLimits, UpstreamRequest};
use super::response::{Received, ResponseReading, is_unprocessed};
use super::send::send_request;
use super::{Endpoint, Upstream};
use crate::api::{Outcome, ResponseProgress};
use crate::settings::RetrySafety;
use crate::sidecar::execution::{ExecutionDoubt, ExecutionFacts};
use crate::sidecar::invariants::{self, SendRefusal};

/// If a reused connection fails within this time after a request was sent, the server is taken to have closed it
/// before the request arrived.
const STALE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(50);

/// The interval at which a response that pauses is checked for further bytes.
const RESUMPTION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Log message for a request that is sent again within the same attempt.
const RESEND_MESSAGE: &str = "request sent again on a new connection";

/// The reason for sending a request again on a new connection within the same attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResendReason {
    /// The connection was closed before the request was sent in full.
    NotSent,
    /// The request was sent in full, but the server had probably closed the connection before.
    StaleConnection,
    /// The response may answer an earlier request on the connection.
    Desync,
}

impl ResendReason {
    /// Returns the name used in logs.
    fn name(self) -> &'static str {
        match self {
            ResendReason::NotSent => "not_sent",
            ResendReason::StaleConnection => "stale_connection",
            ResendReason::Desync => "desync",
        }
    }
}

/// The next step of an attempt after an exchange on a connection.
enum NextStep {
    /// Send the request again on a new connection.
    Resend(ResendReason),
    /// End the attempt with this result.
    End(Box<AttemptResult>),
}

impl NextStep {
    /// Ends the attempt without a response.
    fn end(outcome: Outcome) -> NextStep {
        NextStep::End(Box::new(AttemptResult::without_response(outcome)))
    }
}

impl<P: Runtime> Upstream<P> {
    /// Makes an attempt at `endpoint`. `number` is the index of the attempt within the request.
    ///
    /// Dropping the future cancels the attempt.
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
}

/// An attempt in progress. It uses further connections if a pooled one turns out to be closed or out of sync.
struct Exchange<'a, P: Runtime> {
    upstream: &'a Rc<Upstream<P>>,
    /// The index of the attempt within the request.
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

    /// Counts and logs that the server may have executed the request although the outcome says that it did not.
    fn record_doubt(&self, doubt: ExecutionDoubt) {
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

    /// Returns whether repeating the request requires proof that it was not executed.
    fn needs_proof(&self) -> bool {
        self.request.retry_safety != RetrySafety::Idempotent
    }

    /// Adds the facts of an exchange that is over to those of the attempt.
    fn record_exchange(&mut self, observer: &ExchangeObserver<P>) {
        if observer.is_request_sent() {
            self.facts.copies_sent += 1;
        } else {
            self.request.copies.set(self.request.copies.get().saturating_sub(1));
        }
        self.facts.response = observer.response_facts();
        if let Some(connection_use) = &mut self.connection_use {
            connection_use.response_delay = observer.response_delay();
        }
    }

    async fn exchange(&mut self) -> AttemptResult {
        // A streamed body gets a new connection: the part lost on a closed one could not be sent again.
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
            // Where attempts are not cancelled, the request may have finished while this one waited for its
            // connection. Sending it now would have it executed with nobody waiting for the response.
            let sent_at = P::now();
            if let Err(refusal) = self.may_send_copy(sent_at) {
                self.upstream.status.events.record_refusal(refusal);
                tracing::debug!(address = %self.endpoint.address, %refusal, "attempt not sent");
                self.upstream.put_back(self.endpoint.server, connection);
                return AttemptResult::without_response(Outcome::NotSent);
            }
            self.request.copies.set(self.request.copies.get() + 1);
            self.upstream.status.discovery.record_attempt();
            self.connection_use = Some(connection.describe_next_use());
            self.facts.connection_settled = !connection.is_used();
            let observer = connection.observer.clone();
            let next = match self.receive_head(&mut connection, &observer, sent_at).await {
                Some(response) => {
                    let received = self.receive_response(connection, &observer, response).await;
                    self.record_exchange(&observer);
                    self.verify(received).await
                }
                None => {
                    self.record_exchange(&observer);
                    self.after_connection_failure(&connection, sent_at)
                }
            };
            match next {
                NextStep::End(result) => return *result,
                NextStep::Resend(reason) => {
                    if let Err(refusal) = self.may_resend() {
                        self.upstream.status.events.record_refusal(refusal);
                        return AttemptResult::without_response(Outcome::ConnectionReset);
                    }
                    self.prepare_resend(reason, sent_at);
                }
            }
        }
    }

    /// Logs that the request, last sent at `sent_at`, is sent again, and limits that to its idempotency window.
    fn prepare_resend(&mut self, reason: ResendReason, sent_at: Instant) {
        self.limits.arrival.reset();
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
            // Connecting may take longer than the server remembers the first copy.
            self.limits.record_sent(sent_at);
        }
    }

    /// Completes when a response that has begun makes no progress for the allowed gap.
    async fn response_stalled(&self, observer: &ExchangeObserver<P>) {
        loop {
            let Some(active_at) = observer.response_active_at() else {
                observer.response_began().await;
                continue;
            };
            expiry::<P>(active_at + self.upstream.live.timeouts().read).await;
            if observer.response_active_at() == Some(active_at) {
                return;
            }
        }
    }

    /// Reports the pauses of a response that can serve the request, so that another attempt may begin beside it. Completes
    /// when another response has stalled, which is given up.
    async fn watch_pauses(&self, observer: &ExchangeObserver<P>, status: StatusCode) {
        loop {
            self.response_stalled(observer).await;
            if status != StatusCode::OK {
                return;
            }
            self.report_pause(observer).await;
        }
    }

    /// Completes when the head of the response to the request sent at `sent_at` has stalled and is given up: another attempt
    /// may follow, and not beside this one.
    async fn head_given_up(&self, observer: &ExchangeObserver<P>, sent_at: Instant) {
        loop {
            self.response_stalled(observer).await;
            let retry_safety = self.request.retry_safety;
            let may_be_followed = self.limits.may_be_followed(retry_safety, sent_at, P::now());
            if may_be_followed && !self.upstream.live.may_hedge() {
                return;
            }
            self.report_pause(observer).await;
        }
    }

    /// Reports that the response pauses, and that it goes on.
    async fn report_pause(&self, observer: &ExchangeObserver<P>) {
        let paused_since = observer.response_active_at();
        self.limits.arrival.report(ResponseProgress::Paused);
        while observer.response_active_at() == paused_since {
            P::sleep(RESUMPTION_POLL_INTERVAL).await;
        }
        self.limits.arrival.report(ResponseProgress::Resumed);
    }

    fn may_send(&self, now: Instant) -> Result<(), SendRefusal> {
        invariants::may_send(self.limits.send_facts(self.request, now))
    }

    /// Checks whether a further copy of the request may be sent. The balancer counts attempts, of which some send several.
    fn may_resend(&self) -> Result<(), SendRefusal> {
        let max_copies = self.upstream.live.max_attempts();
        invariants::may_send_copy(self.request.copies.get(), max_copies)
    }

    fn may_send_copy(&self, now: Instant) -> Result<(), SendRefusal> {
        self.may_send(now)?;
        self.may_resend()
    }

    /// Sends the request and returns the head of its response, or `None` if the connection fails, the head stalls, or the
    /// request ends before it is sent in full.
    ///
    /// A response that has begun and then pauses (an incomplete head or body, or a content length that is too large) would
    /// otherwise occupy the request until its deadline. It may also be sound, so another attempt is made beside it, where
    /// the request may be repeated.
    async fn receive_head(
        &self,
        connection: &mut Connection<P>,
        observer: &ExchangeObserver<P>,
        sent_at: Instant,
    ) -> Option<Response<Incoming>> {
        let response = tokio::select! {
            biased;
            response = send_request(connection, self.request, &self.limits) => response,
            () = self.head_given_up(observer, sent_at) => None,
            () = observer.abandoned() => None,
        };
        // A response that arrives before the request was sent in full cannot answer it, unless the request is streamed.
        response.filter(|_| observer.is_request_sent() || self.request.upload.is_some())
    }

    async fn receive_response(
        &self,
        connection: Connection<P>,
        observer: &ExchangeObserver<P>,
        response: Response<Incoming>,
    ) -> Received<P> {
        if !observer.is_request_sent() {
            // The server responded before the end of a streamed body. The connection cannot be used further.
            let unprocessed = is_unprocessed(&response);
            let outcome = if unprocessed { Outcome::Rejected } else { Outcome::ErrorResponse };
            return Received::without_response(outcome);
        }
        let (server, needs_proof) = (self.endpoint.server, self.needs_proof());
        let status = response.status();
        let wait = &self.limits.memory_wait;
        let reservation = self.upstream.reserve_response(observer, &response, wait).await;
        let deadline = self.request.deadline.as_ref();
        let cutoff = deadline.map(|deadline| deadline.response_cutoff(P::now()));
        if status == StatusCode::OK {
            self.limits.arrival.begin(P::now());
        }
        let arrival = self.limits.arrival.clone();
        let request = self.request.correlation_id();
        let server_ready = self.limits.server_ready.clone();
        let reading =
            ResponseReading { request, server_ready, reservation, needs_proof, cutoff, arrival };
        let result = self.upstream.read_response(server, connection, response, reading);
        tokio::select! {
            biased;
            result = result => result,
            () = self.watch_pauses(observer, status) => {
                Received::without_response(Outcome::ConnectionReset)
            }
        }
    }

    /// Returns the next step after the connection failed without a response to the request sent at `sent_at`.
    fn after_connection_failure(&self, connection: &Connection<P>, sent_at: Instant) -> NextStep {
        let observer = &connection.observer;
        let sent = observer.is_request_sent();
        if !sent && let Err(refusal) = self.may_send(P::now()) {
            self.upstream.status.events.record_refusal(refusal);
            return NextStep::end(Outcome::NotSent);
        }
        // A server may close an idle connection just as a request is written to it. That is no failure of the
        // request, so one that may be repeated is sent to the same server again within the same attempt. This
        // requires that no byte of a response arrived and that the connection failed soon after the request.
        let was_stale = connection.is_used()
            && observer.response_active_at().is_none()
            && P::elapsed_since(sent_at) < STALE_CONNECTION_TIMEOUT;
        match (was_stale && self.request.retry_safety != RetrySafety::NonIdempotent, sent) {
            (true, true) => NextStep::Resend(ResendReason::StaleConnection),
            (true, false) => NextStep::Resend(ResendReason::NotSent),
            (false, true) => NextStep::end(Outcome::ConnectionReset),
            // The first byte written to an idle connection may cause a reset. The server cannot have executed
            // the request, which is sent again on a new connection.
            (false, false) if connection.is_used() => NextStep::Resend(ResendReason::NotSent),
            (false, false) => NextStep::end(Outcome::ConnectFailed),
        }
    }
}
