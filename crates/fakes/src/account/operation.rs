//! Operations, their attempts and outcomes.

use std::time::{Duration, Instant};

/// Whether a request may be sent again although it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may always be sent again.
    Idempotent,
    /// It may be sent again to a server that shares idempotency keys with the first one, for a limited time.
    Keyed,
    /// It must not be sent again.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The name of the class, which is the first segment of its paths.
    pub name: &'static str,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// The share of this class in all requests.
    pub share: f64,
    /// The mean time that a server works on a request.
    pub service_time: Duration,
    /// The time within which requests should be answered.
    pub latency_objective: Duration,
    /// The time after which clients give up a request.
    pub deadline: Duration,
}

/// The id of one attempt of a client's operation. The request id encodes both numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The number of the operation.
    pub operation: u64,
    /// The number of the attempt, from 0.
    pub number: u16,
}

/// The number of hexadecimal digits of the operation in a request id.
const OPERATION_DIGITS: usize = 12;
/// The number of hexadecimal digits of a request id.
const ID_DIGITS: usize = 16;

impl AttemptId {
    /// Returns the request id.
    pub fn request_id(self) -> String {
        format!("{:012x}{:04x}", self.operation, self.number)
    }

    /// Parses a request id. Returns `None` if it is malformed.
    pub fn parse(request_id: &str) -> Option<AttemptId> {
        if request_id.len() != ID_DIGITS || !request_id.is_ascii() {
            return None;
        }
        let (operation, number) = request_id.split_at(OPERATION_DIGITS);
        Some(AttemptId {
            operation: u64::from_str_radix(operation, 16).ok()?,
            number: u16::from_str_radix(number, 16).ok()?,
        })
    }
}

/// The outcome of an attempt for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Status 200 with the expected body.
    Served,
    /// Status 429 or 503: a retry is safe.
    Rejected,
    /// Any other response.
    Failed,
    /// No response within the deadline and the slack.
    TimedOut,
    /// The client gave up before its deadline and closed the connection.
    Left,
    /// The connection ended without a complete response after the request had been accepted.
    Lost,
    /// Status 200 with another body.
    WrongBody,
    /// A part of a response, which the client can tell from a whole one.
    Truncated,
}

/// How far a sound response with a drawn body has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrawnResponse {
    /// Its server is writing it, or has been killed meanwhile.
    Begun,
    /// Its connection was ended by its receiver.
    Refused,
    /// Its server has written all of it.
    Given {
        /// Whether it has no length and ends with its connection.
        ends_connection: bool,
    },
}

/// The maximum number of steps that are kept of an attempt.
const MAX_STEPS: usize = 8;

/// An event in the course of an attempt, with its place and time.
pub(super) struct Step {
    /// A description: `sent to server 3`, `executed at utrecht-1`.
    pub description: String,
    /// The time since the account was opened.
    pub at: Duration,
}

/// The record of an attempt.
#[derive(Default)]
pub(super) struct Attempt {
    /// The outcome and its time. `None` while the attempt is open.
    pub outcome: Option<(Outcome, Instant)>,
    /// The number of times that servers received it.
    pub received: u16,
    /// The number of times that servers executed it.
    pub executed: u16,
    /// How far the last response with a drawn body has come.
    pub response: Option<DrawnResponse>,
    /// The number of whole responses without a length that servers have given.
    pub given_without_length: u16,
    /// Whether its client has received a drawn body.
    pub received_drawn_body: bool,
    /// Its path through the system, for the texts of violations.
    steps: Vec<Step>,
}

impl Attempt {
    /// Adds a step, unless [`MAX_STEPS`] are kept already.
    pub fn add_step(&mut self, description: String, at: Duration) {
        if self.steps.len() < MAX_STEPS {
            self.steps.push(Step { description, at });
        }
    }
}

/// The record of an operation.
pub(super) struct Operation {
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant. `None` if clients do not name one.
    pub tenant: Option<usize>,
    /// The time at which its client gives up.
    pub deadline: Instant,
    /// Its attempts, in their order.
    pub attempts: Vec<Attempt>,
    /// Whether it was served within the latency objective, counted from its first attempt.
    pub in_time: bool,
}

impl Operation {
    /// Returns the outcome of its last attempt that has ended.
    pub fn last_outcome(&self) -> Option<Outcome> {
        let outcomes = self.attempts.iter().rev();
        outcomes.filter_map(|attempt| attempt.outcome).map(|(outcome, _)| outcome).next()
    }

    /// Returns the number of times that servers executed it.
    pub fn executions(&self) -> u64 {
        self.attempts.iter().map(|attempt| u64::from(attempt.executed)).sum()
    }

    /// Returns the steps of all of its attempts as text.
    pub fn steps(&self) -> String {
        let steps = self.attempts.iter().flat_map(|attempt| &attempt.steps);
        let texts = steps
            .map(|Step { description, at }| format!("{description} at {:.3} s", at.as_secs_f64()));
        texts.collect::<Vec<_>>().join(", ")
    }

    /// Returns whether an attempt was executed although its client received a rejection.
    pub fn is_rejected_but_executed(&self) -> bool {
        let rejected = |a: &Attempt| matches!(a.outcome, Some((Outcome::Rejected, _)));
        self.attempts.iter().any(|attempt| attempt.executed > 0 && rejected(attempt))
    }
}
