//! What an attempt does before it believes a response: that it answers the request, and that it has ended.

use std::time::Duration;

use runtime::Runtime;

use super::{Exchange, NextStep, ResendReason};
use crate::api::Outcome;
use crate::settings::RetrySafety;
use crate::sidecar::response_end::{EndProof, EndState};
use crate::sidecar::sync_state::{DesyncSign, SyncState};
use crate::sidecar::upstream::attempt_result::AttemptResult;
use crate::sidecar::upstream::connection::Connection;
use crate::sidecar::upstream::desync::SuspectedDesync;
use crate::sidecar::upstream::end_check::EndCheck;
use crate::sidecar::upstream::response::Received;

/// Log message for a check of whether a response answers an earlier request on its connection.
const SYNC_CHECK_MESSAGE: &str = "connection checked for an earlier response";
/// The maximum duration of the check of whether a rejection has ended: its request has no other attempt meanwhile.
const MAX_REJECTION_CHECK: Duration = Duration::from_millis(50);

/// Log message for a check of whether a response has ended where its length says.
const END_CHECK_MESSAGE: &str = "response checked for its end";
impl<P: Runtime> Exchange<'_, P> {
    /// Returns the next step after a response. One that may answer an earlier request is verified by a sync check.
    pub(super) async fn verify(&mut self, received: Received<P>) -> NextStep {
        let (result, connection, suspected) = match received {
            Received::Ended(result) => return NextStep::End(Box::new(result)),
            Received::EndUnproven { result, connection, proof } => {
                return self.prove_end(result, *connection, proof).await;
            }
            Received::FinalRejection(result) => {
                self.facts.connection_settled = true;
                return NextStep::End(Box::new(result));
            }
            Received::Unverified { result, connection, suspected } => {
                (result, connection, suspected)
            }
        };
        if self.request.end.has_ended() {
            // Nothing is sent for a request that has ended, and a message without an id neither.
            return NextStep::end(Outcome::Cancelled);
        }
        let state = self.check_sync(connection, suspected).await;
        self.log_sync_check(suspected, state);
        self.facts.connection_settled = state == SyncState::InSync;
        let is_accepted = state == SyncState::InSync || suspected.is_none();
        match self.request.retry_safety {
            // For a rejection, `ExecutionFacts::never_ran` decides what it proves.
            _ if is_accepted => NextStep::End(Box::new(result)),
            RetrySafety::NonIdempotent => NextStep::end(Outcome::ConnectionReset),
            _ if self.limits.arrival.is_due() => NextStep::end(Outcome::ConnectionReset),
            _ => NextStep::Resend(ResendReason::Desync),
        }
    }

    /// Returns the next step after a response of which nothing has proved yet that it has ended.
    ///
    /// Only bytes behind it speak against it: a server may be unable to give the proof, and its response is sound.
    async fn prove_end(
        &mut self,
        result: AttemptResult,
        connection: Connection<P>,
        proof: EndProof,
    ) -> NextStep {
        if self.request.end.has_ended() {
            return NextStep::end(Outcome::Cancelled);
        }
        let is_server_ready = self.limits.server_ready.get();
        let server = self.endpoint.server;
        let is_rejected = result.outcome == Outcome::Rejected;
        let due = is_rejected.then(|| P::now() + MAX_REJECTION_CHECK);
        let check = EndCheck { server, proof, is_server_ready, due };
        let state = tokio::select! {
            biased;
            state = self.upstream.clone().check_end(connection, check) => state,
            () = self.limits.arrival.due() => EndState::Unknown,
        };
        self.log_end_check(proof, state);
        // A server that closes the connection processes no further request received on it (RFC 9112, section 9.6).
        self.facts.connection_settled |= proof == EndProof::Close;
        match state {
            EndState::Surplus => NextStep::end(Outcome::ConnectionReset),
            EndState::Whole | EndState::Unknown => NextStep::End(Box::new(result)),
        }
    }

    /// Counts and logs the result of a check of whether a response has ended.
    fn log_end_check(&self, proof: EndProof, state: EndState) {
        self.upstream.status.events.record_end_check(state);
        let (request, attempt) = (self.request.correlation_id(), self.number);
        let (address, result) = (&self.endpoint.address, state.name());
        if state == EndState::Surplus {
            tracing::info!(request, attempt, %address, ?proof, result, "{END_CHECK_MESSAGE}");
        } else {
            tracing::debug!(request, attempt, %address, ?proof, result, "{END_CHECK_MESSAGE}");
        }
    }

    /// Returns whether the last response on `connection` answers the request; unknown without a connection.
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

    /// Counts and logs the result of a sync check and the sign of a desync that caused it.
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
}
