//! Operations, their attempts, and how they ended.

use std::time::{Duration, Instant};

/// Whether a request may be sent again once it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Always.
    Idempotent,
    /// Within the group of servers that share idempotency keys, and for a limited time.
    Keyed,
    /// Never.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name, which is the first segment of its paths.
    pub name: &'static str,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// Its share of all requests.
    pub share: f64,
    /// The mean time that a server works on a request.
    pub service_time: Duration,
    /// The time within which requests should be answered.
    pub latency_objective: Duration,
    /// The time after which clients give up.
    pub deadline: Duration,
}

/// One attempt of a client's operation. Both numbers are in the request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The operation.
    pub operation: u64,
    /// The attempt, from 0.
    pub number: u16,
}

/// The hexadecimal digits of the operation in a request id, and of the whole id.
const OPERATION_DIGITS: usize = 12;
const ID_DIGITS: usize = 16;

impl AttemptId {
    /// The request id.
    pub fn request_id(self) -> String {
        format!("{:012x}{:04x}", self.operation, self.number)
    }

    /// The attempt that has this request id.
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

/// How one attempt ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Status 200 with the expected body.
    Served,
    /// Status 429 or 503: a retry does no harm.
    Rejected,
    /// Any other answer.
    Failed,
    /// No answer within the deadline and the slack.
    TimedOut,
    /// The client gave up before its time was over, and closed the connection.
    Left,
    /// The connection ended without a complete answer after the request had been accepted.
    Lost,
    /// Status 200 with another body.
    WrongBody,
}

/// The most steps of an attempt that are kept.
const MAX_STEPS: usize = 8;

/// What happened to an attempt, where and when.
pub(super) struct Step {
    /// In words: `left for server 3`, `ran at utrecht-1`.
    pub what: String,
    /// Since the account was opened.
    pub at: Duration,
}

/// What the account knows of an attempt.
#[derive(Default)]
pub(super) struct Attempt {
    /// How it ended, and when.
    pub outcome: Option<(Outcome, Instant)>,
    /// How often servers received it.
    pub received: u16,
    /// How often servers executed it.
    pub executed: u16,
    /// Its way to servers, for findings.
    steps: Vec<Step>,
}

impl Attempt {
    /// Keeps a step, unless there are many.
    pub fn add_step(&mut self, what: String, at: Duration) {
        if self.steps.len() < MAX_STEPS {
            self.steps.push(Step { what, at });
        }
    }
}

/// What the account knows of an operation.
pub(super) struct Operation {
    /// The number of its class.
    pub class: usize,
    /// The number of its tenant, where clients tell it.
    pub tenant: Option<usize>,
    /// When its client gives up.
    pub deadline: Instant,
    /// Its attempts, in their order.
    pub attempts: Vec<Attempt>,
    /// Whether it was served within the latency objective, counted from its first attempt.
    pub in_time: bool,
}

impl Operation {
    /// How its last answered attempt ended.
    pub fn last_outcome(&self) -> Option<Outcome> {
        let outcomes = self.attempts.iter().rev();
        outcomes.filter_map(|attempt| attempt.outcome).map(|(outcome, _)| outcome).next()
    }

    /// How often servers executed it.
    pub fn executions(&self) -> u64 {
        self.attempts.iter().map(|attempt| u64::from(attempt.executed)).sum()
    }

    /// The ways of all of its attempts, in words.
    pub fn steps(&self) -> String {
        let steps = self.attempts.iter().flat_map(|attempt| &attempt.steps);
        let words = steps.map(|Step { what, at }| format!("{what} at {:.3} s", at.as_secs_f64()));
        words.collect::<Vec<_>>().join(", ")
    }

    /// Whether an attempt was executed though its client was told that it was rejected.
    pub fn is_rejected_but_executed(&self) -> bool {
        let rejected = |a: &Attempt| matches!(a.outcome, Some((Outcome::Rejected, _)));
        self.attempts.iter().any(|attempt| attempt.executed > 0 && rejected(attempt))
    }
}
