//! Results of attempts.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::HeaderMap;

use super::connection::ConnectionUse;
use crate::api::{LoadReport, Outcome};
use crate::sidecar::body::BoxedBody;
use crate::sidecar::execution::ExecutionFacts;
use crate::sidecar::memory::MemoryReservation;
use crate::sidecar::response_pace::ResponsePace;

/// The memory of the head of a response.
#[derive(Default)]
pub struct ResponseHeadMemory {
    /// The memory that the head takes, in bytes.
    pub bytes: usize,
    /// The part of it that is reserved, as connections have no memory for it.
    pub reservation: MemoryReservation,
}

/// The rest of a response that is passed on as it is received.
pub struct ResponseRest {
    /// The rest of the body.
    pub body: BoxedBody,
    /// The progress of the whole body.
    pub pace: Rc<ResponsePace>,
}

/// A server's response to a request.
pub struct UpstreamResponse {
    /// The headers.
    pub headers: HeaderMap,
    /// The memory of the head.
    pub head_memory: ResponseHeadMemory,
    /// The body, or its first bytes if it is streamed.
    pub body: Bytes,
    /// The rest of a streamed body, or `None` if the body is buffered.
    pub rest: Option<ResponseRest>,
}

/// The result of an attempt.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The load report that came with the response; empty without one.
    pub report: LoadReport,
    /// The response, or `None` if the request was not served.
    pub response: Option<UpstreamResponse>,
    /// Facts about the bytes sent and received, or `None` if the attempt was cancelled or timed out.
    pub facts: Option<ExecutionFacts>,
    /// The last connection of the attempt, or `None` if it had none, was cancelled or timed out.
    pub connection_use: Option<ConnectionUse>,
}

impl AttemptResult {
    /// Creates the result of an attempt without a response.
    pub fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            report: LoadReport::default(),
            response: None,
            facts: None,
            connection_use: None,
        }
    }

    /// Creates the result of an attempt of which nothing was sent.
    pub fn not_sent() -> AttemptResult {
        let facts = Some(ExecutionFacts::NOT_SENT);
        AttemptResult { facts, ..AttemptResult::without_response(Outcome::NotSent) }
    }
}
