//! The time until which the client of a request waits.
//!
//! Each request has one [`RequestDeadline`], from the head of the request to the last byte of its response. The limits of
//! attempts, of the response, and the time that servers are told all follow from it. A client's time counts from the last
//! byte that it writes. While a server does not take the body, that byte may wait unread in the sidecar's socket, or even
//! in the send buffer of the client, so the time counts from when the client can have written it at the earliest.
//!
//! A response that has begun by then may end later: for half a second it is late, but not lost. That time counts from when
//! the client can have written its last byte at the latest, so that no response is ended which is not lost.

use std::rc::Rc;
use std::time::{Duration, Instant};

/// The outcome of a request is due this long before its client stops waiting, to leave time for the way back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// A response that ends at most this long after its client's timeout is late. One that ends later is lost.
const LATE_RESPONSE_PERIOD: Duration = Duration::from_millis(500);

/// The connection that a request arrives on.
pub trait RequestSource {
    /// Returns the earliest time at which the client can have written the last byte of the current request, or `None` if
    /// it cannot have written it yet. Reads the present state of the socket.
    fn earliest_end(&self) -> Option<Instant>;
    /// Returns the latest time at which the client can have written that byte, or `None` if it has not arrived yet.
    fn latest_end(&self) -> Option<Instant>;
}

/// The time for which the client of a request waits, from the last byte of its request on.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeout {
    /// The time that the client has given.
    pub stated: Duration,
    /// The part of it that is left for certain: the request may have waited to be accepted.
    pub certain: Duration,
}

/// Returns the time at which a response that is still being received is lost for certain, for a client that wrote its last
/// byte at `latest_end` at the latest.
pub fn response_cutoff(latest_end: Instant, timeout: ClientTimeout) -> Instant {
    latest_end + timeout.stated + LATE_RESPONSE_PERIOD
}

/// The time until which the client of a request waits.
#[derive(Clone)]
pub struct RequestDeadline {
    timeout: ClientTimeout,
    source: Rc<dyn RequestSource>,
}

impl RequestDeadline {
    /// Creates the deadline of a request that arrives from `source`, and whose client waits for `timeout`.
    pub fn new(timeout: ClientTimeout, source: Rc<dyn RequestSource>) -> RequestDeadline {
        RequestDeadline { timeout, source }
    }

    /// Returns the time at which the outcome of the request is due, or `None` if the client cannot have written its whole
    /// request yet.
    pub fn outcome_due(&self) -> Option<Instant> {
        self.source.earliest_end().map(|end| end + self.budget())
    }

    /// Returns the time before which no limit may end a response that its server sends at `now`.
    pub fn response_cutoff(&self, now: Instant) -> Instant {
        response_cutoff(self.source.latest_end().unwrap_or(now), self.timeout)
    }

    /// Returns how long the request may take from its last byte on.
    pub fn budget(&self) -> Duration {
        let timeout = self.timeout.certain;
        timeout - RESPONSE_MARGIN.min(timeout / 4)
    }

    /// Returns the part of the budget that is left at `now`.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.outcome_due().map_or(self.budget(), |due| due.saturating_duration_since(now))
    }
}
