//! How attempts end.

use bytes::Bytes;
use hyper::header::HeaderMap;

use super::connection::ConnectionUse;
use crate::api::{LoadReport, Outcome};
use crate::sidecar::body::BoxedBody;
use crate::sidecar::budget::Reservation;
use crate::sidecar::execution::ExecutionFacts;

/// A server's response to a request.
pub struct UpstreamResponse {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, or the first part of one that is too long to be buffered.
    pub body: Bytes,
    /// The rest of the body, if it is streamed.
    pub rest: Option<BoxedBody>,
    /// The memory reserved for the body.
    pub reservation: Reservation,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The load report that came with the response; empty without one.
    pub report: LoadReport,
    /// The response, if the outcome is that the request was served.
    pub response: Option<UpstreamResponse>,
    /// What passed on its connections; none if it was still under way.
    pub facts: Option<ExecutionFacts>,
    /// Its last connection; none if it had none, or was still under way.
    pub connection_use: Option<ConnectionUse>,
}

impl AttemptResult {
    /// An end without a response.
    pub fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            report: LoadReport::default(),
            response: None,
            facts: None,
            connection_use: None,
        }
    }

    /// The end of an attempt of which nothing was sent.
    pub fn not_sent() -> AttemptResult {
        let facts = Some(ExecutionFacts::NOT_SENT);
        AttemptResult { facts, ..AttemptResult::without_response(Outcome::NotSent) }
    }
}
