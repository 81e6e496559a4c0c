//! The faults that a request may meet at a log server.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// The share of rejections among the answers that are sent a second time.
const REJECTED_SHARE: f64 = 0.3;

/// The probabilities of the faults that a request may meet at a server, and the parameters of these faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerFaults {
    /// The request is executed but never answered.
    pub hang: f64,
    /// The request is executed and answered with 500.
    pub error: f64,
    /// The connection is reset before the request is executed.
    pub reset_before: f64,
    /// The connection is reset after the request was executed.
    pub reset_after: f64,
    /// The connection is reset in the middle of the response.
    pub reset_within: f64,
    /// The response is not HTTP.
    pub malformed: f64,
    /// The response stops halfway while the connection stays open.
    pub truncated: f64,
    /// The response is shorter than its `Content-Length`.
    pub wrong_length: f64,
    /// The response is followed by bytes that belong to no response.
    pub surplus: f64,
    /// The connection is closed after the response.
    pub close_after: f64,
    /// The response is delayed.
    pub delayed: f64,
    /// The delay of a delayed response.
    pub delay: Duration,
    /// The connection is reset some time after the request was executed.
    pub delayed_reset: f64,
    /// The time between the execution and a delayed reset.
    pub reset_delay: Duration,
    /// The response is too long to be buffered.
    pub long: f64,
    /// The request is rejected without being executed.
    pub reject: f64,
    /// The request gets a rejection that does not prove that it was not executed.
    pub broken_rejection: f64,
    /// The response is sent a second time.
    pub second_answer: f64,
    /// The response is given piece by piece.
    pub slow: f64,
    /// The factor by which an execution takes longer, minus one.
    pub slowdown: f64,
}

/// The fault that one request meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseFault {
    None,
    Hang,
    Error,
    ResetBefore,
    ResetAfter,
    ResetWithin,
    Malformed,
    Truncated,
    WrongLength,
    Surplus,
    CloseAfter,
    Delayed,
    DelayedReset,
    Long,
    Reject,
    BrokenRejection,
    /// The response is given piece by piece.
    Slow,
    /// The response is sent a second time.
    SecondAnswer,
    /// The request is rejected, and the rejection is sent a second time.
    SecondRejection,
}

impl ServerFaults {
    /// Draws the fault that a request meets.
    pub(super) fn draw(&self, rng: &mut SmallRng) -> ResponseFault {
        let mut remaining: f64 = rng.random();
        let faults = [
            (self.reject, ResponseFault::Reject),
            (self.hang, ResponseFault::Hang),
            (self.error, ResponseFault::Error),
            (self.reset_before, ResponseFault::ResetBefore),
            (self.reset_after, ResponseFault::ResetAfter),
            (self.reset_within, ResponseFault::ResetWithin),
            (self.malformed, ResponseFault::Malformed),
            (self.truncated, ResponseFault::Truncated),
            (self.wrong_length, ResponseFault::WrongLength),
            (self.surplus, ResponseFault::Surplus),
            (self.close_after, ResponseFault::CloseAfter),
            (self.delayed, ResponseFault::Delayed),
            (self.delayed_reset, ResponseFault::DelayedReset),
            (self.long, ResponseFault::Long),
            (self.broken_rejection, ResponseFault::BrokenRejection),
            (self.slow, ResponseFault::Slow),
            (self.second_answer * REJECTED_SHARE, ResponseFault::SecondRejection),
            (self.second_answer * (1.0 - REJECTED_SHARE), ResponseFault::SecondAnswer),
        ];
        for (probability, fault) in faults {
            if remaining < probability {
                return fault;
            }
            remaining -= probability;
        }
        ResponseFault::None
    }
}
