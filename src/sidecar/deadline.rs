//! The time until which the client of a request waits.
//!
//! Each request has one [`RequestDeadline`], from the head of the request to the last byte of its response. The limits of
//! attempts, of the response, and the time that servers are told all follow from it. A client's time counts from the last
//! byte of its request, which may wait unread in the socket while a server does not take the body.

use std::rc::Rc;
use std::time::{Duration, Instant};

/// The outcome of a request is due this long before its client stops waiting, to leave time for the way back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// What is known about the arrival of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The last byte has not arrived.
    Incomplete,
    /// The last byte may be among unread bytes, which arrived at this time at the earliest.
    MaybeComplete(Instant),
    /// The last byte arrived at this time at the earliest.
    Complete(Instant),
}

impl Arrival {
    /// Returns the earliest time at which the last byte can have arrived, or `None` if it has not arrived.
    pub fn earliest_end(self) -> Option<Instant> {
        match self {
            Arrival::Incomplete => None,
            Arrival::MaybeComplete(at) | Arrival::Complete(at) => Some(at),
        }
    }
}

/// The connection that a request arrives on.
pub trait ArrivalSource {
    /// Returns what is known about the arrival of the current request. Reads the present state of the socket.
    fn arrival(&self) -> Arrival;
}

/// The time until which the client of a request waits.
#[derive(Clone)]
pub struct RequestDeadline {
    /// The time for which the client waits, from the last byte of its request on.
    timeout: Duration,
    source: Rc<dyn ArrivalSource>,
}

impl RequestDeadline {
    /// Creates the deadline of a request that arrives from `source`, and whose client waits for `timeout`.
    pub fn new(timeout: Duration, source: Rc<dyn ArrivalSource>) -> RequestDeadline {
        RequestDeadline { timeout, source }
    }

    /// Returns the time at which the outcome of the request is due, or `None` if the client has not yet sent its whole
    /// request.
    pub fn outcome_due(&self) -> Option<Instant> {
        self.source.arrival().earliest_end().map(|arrived_at| arrived_at + self.budget())
    }

    /// Returns how long the request may take from its last byte on.
    pub fn budget(&self) -> Duration {
        self.timeout - RESPONSE_MARGIN.min(self.timeout / 4)
    }

    /// Returns the part of the budget that is left at `now`.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.outcome_due().map_or(self.budget(), |due| due.saturating_duration_since(now))
    }
}
