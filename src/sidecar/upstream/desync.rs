//! Desync detection: whether a response on a reused connection answers the request that was sent last, and whether
//! connections to a server may be reused at all.
//!
//! HTTP/1.1 matches responses to requests by order alone. If a server sends a response twice, the copy is taken for
//! the response to the next request on the connection, and each later response is off by one too. The first response
//! on a connection is always correct. A response on a reused connection is accepted unless there is a sign of a
//! desync, which a sync check then verifies (see [`sync_check`](super::sync_check)). After bytes that belong to no
//! response, the server is quarantined: for a while it gets each request on a new connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustc_hash::FxHasher;

use crate::sidecar::sync_state::DesyncSign;

/// The minimum idle time of a connection before it is reused. Bytes that arrive during it belong to no request.
pub(super) const QUIET_PERIOD: Duration = Duration::from_millis(30);
/// The duration of a server's first quarantine. If another one begins within the duration of the last after its end, it
/// lasts twice as long.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(10);
/// The maximum duration of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(600);
/// A response that begins sooner than the server's fastest response time divided by this is taken to have been sent
/// before the request arrived.
const TOO_SOON_DIVISOR: u32 = 4;
/// The number of bodies to remember: per connection those of its responses, per server those that were repeated
/// legitimately.
const MAX_BODIES: usize = 64;
/// The number of requests that a connection may carry. Up to this limit, a copy of any of its responses is recognized
/// by its body.
pub(super) const MAX_REQUESTS: u32 = MAX_BODIES as u32;

/// A hash of the complete body of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct BodyFingerprint(u64);

impl BodyFingerprint {
    /// Computes the fingerprint of `body`.
    pub(super) fn new(body: &[u8]) -> BodyFingerprint {
        let mut hasher = FxHasher::default();
        hasher.write(body);
        BodyFingerprint(hasher.finish())
    }
}

/// The fingerprints of the most recent bodies, up to [`MAX_BODIES`], and the length of the longest body.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentBodies {
    bodies: VecDeque<BodyFingerprint>,
    longest: u64,
}

impl RecentBodies {
    /// Adds a body if it is complete, and removes the oldest one if the limit is reached.
    pub(super) fn record(&mut self, body: ReceivedBody) {
        if let Some(fingerprint) = body.fingerprint {
            self.push(fingerprint);
            self.longest = self.longest.max(body.min_length);
        }
    }

    fn push(&mut self, body: BodyFingerprint) {
        if self.bodies.len() == MAX_BODIES {
            self.bodies.pop_front();
        }
        self.bodies.push_back(body);
    }

    /// Returns whether a response with this body can be a copy of an earlier response on the connection.
    ///
    /// Earlier responses were complete and left the connection open, so a longer one is no copy, and one with which the
    /// connection ends neither.
    fn may_be_repeated_by(&self, body: ReceivedBody) -> bool {
        !body.ends_connection && body.min_length <= self.longest
    }

    fn contains(&self, body: BodyFingerprint) -> bool {
        self.bodies.contains(&body)
    }
}

/// The body of a response as far as it has been received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReceivedBody {
    /// The fingerprint of the body, or `None` if it is not complete yet.
    pub(super) fingerprint: Option<BodyFingerprint>,
    /// The length in bytes that is announced or, without one, that has been received.
    pub(super) min_length: u64,
    /// Whether the connection ends with the response, according to its head.
    pub(super) ends_connection: bool,
}

impl ReceivedBody {
    /// Returns whether a sync check can be made behind the response.
    fn allows_sync_check(self) -> bool {
        self.fingerprint.is_some() && !self.ends_connection
    }
}

/// A response on a reused connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct LaterResponse<'a> {
    /// Whether no bytes arrived before the request was written in full or after the response.
    pub(super) in_turn: bool,
    /// Time from the last byte of the request to the start of the response.
    pub(super) delay: Duration,
    /// The body.
    pub(super) body: ReceivedBody,
    /// The bodies of the earlier responses on the connection.
    pub(super) earlier_bodies: &'a RecentBodies,
}

/// A sign that a response does not answer the last request on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SuspectedDesync {
    /// The sign.
    pub(super) sign: DesyncSign,
    delay: Duration,
    body: Option<BodyFingerprint>,
}

/// A period of precaution after a fault of a server.
#[derive(Clone, Copy, Debug)]
struct Period {
    until: Instant,
    duration: Duration,
}

/// The quarantine after a kind of fault. It begins with the first fault, and each further one extends it.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    period: Cell<Option<Period>>,
}

impl Quarantine {
    /// Returns whether the quarantine is in force.
    pub(super) fn is_in_force(&self, now: Instant) -> bool {
        self.period.get().is_some_and(|period| now < period.until)
    }

    /// Records a fault. Returns the duration of the quarantine if none was in force.
    pub(super) fn record_fault(&self, now: Instant) -> Option<Duration> {
        let earlier = self.period.get();
        let is_new = !self.is_in_force(now);
        let duration = match earlier {
            Some(earlier) if is_new && now < earlier.until + earlier.duration => {
                (2 * earlier.duration).min(MAX_QUARANTINE)
            }
            Some(earlier) if !is_new => earlier.duration,
            _ => INITIAL_QUARANTINE,
        };
        self.period.set(Some(Period { until: now + duration, duration }));
        is_new.then_some(duration)
    }
}

/// Observations of one server's responses on all of its connections.
#[derive(Debug, Default)]
pub(super) struct ResponseHistory {
    /// In force, the server gets each request on a new connection.
    unexpected_bytes: Quarantine,
    /// In force, the lengths that servers announce need a proof. All servers share it, as a fault of the program that they
    /// run is one of each.
    short_lengths: Rc<Quarantine>,
    /// The shortest time from a request to its response, among responses known to be correct.
    fastest_response: Cell<Option<Duration>>,
    /// Bodies that legitimately answered more than one request.
    repeated_bodies: RefCell<RecentBodies>,
}

impl ResponseHistory {
    /// Creates the history of a server without responses. `short_lengths` is shared by all servers.
    pub(super) fn new(short_lengths: Rc<Quarantine>) -> ResponseHistory {
        ResponseHistory { short_lengths, ..ResponseHistory::default() }
    }

    /// Returns whether connections to the server may be reused.
    pub(super) fn allows_reuse(&self, now: Instant) -> bool {
        !self.unexpected_bytes.is_in_force(now)
    }

    /// Returns whether the lengths that servers announce need a proof.
    pub(super) fn doubts_lengths(&self, now: Instant) -> bool {
        self.short_lengths.is_in_force(now)
    }

    /// Records that bytes followed a response later that its length left out, so that lengths need a proof for a while.
    /// Returns for how long if they needed none.
    pub(super) fn record_short_length(&self, now: Instant) -> Option<Duration> {
        self.short_lengths.record_fault(now)
    }

    /// Records that bytes arrived that belong to no response, and quarantines the server or extends its quarantine.
    ///
    /// Returns the duration of the quarantine if none was in force.
    pub(super) fn record_unexpected_bytes(&self, now: Instant) -> Option<Duration> {
        self.unexpected_bytes.record_fault(now)
    }

    /// Records the delay between a request and the start of its response, which is known to be correct.
    pub(super) fn record_response(&self, delay: Duration) {
        let fastest = self.fastest_response.get().map_or(delay, |fastest| fastest.min(delay));
        self.fastest_response.set(Some(fastest));
    }

    /// Checks a response on a reused connection for signs of a desync.
    ///
    /// # Errors
    ///
    /// Returns the first sign found.
    pub(super) fn check_response(
        &self,
        response: LaterResponse<'_>,
    ) -> Result<(), SuspectedDesync> {
        let LaterResponse { in_turn, delay, body, earlier_bodies } = response;
        let fingerprint = body.fingerprint;
        let suspected = |sign| Err(SuspectedDesync { sign, delay, body: fingerprint });
        if !in_turn {
            return suspected(DesyncSign::OutOfTurn);
        }
        if !body.allows_sync_check() && !earlier_bodies.may_be_repeated_by(body) {
            return Ok(());
        }
        let fastest = self.fastest_response.get();
        if fastest.is_some_and(|fastest| delay < fastest / TOO_SOON_DIVISOR) {
            return suspected(DesyncSign::TooSoon);
        }
        let is_repeated =
            |body| earlier_bodies.contains(body) && !self.repeated_bodies.borrow().contains(body);
        if fingerprint.is_some_and(is_repeated) {
            return suspected(DesyncSign::RepeatedBody);
        }
        Ok(())
    }

    /// Records that a response answered its request despite a sign of a desync. The same delay or body is not taken for
    /// a sign again.
    pub(super) fn record_false_alarm(&self, suspected: SuspectedDesync) {
        match (suspected.sign, suspected.body) {
            (DesyncSign::TooSoon, _) => self.record_response(suspected.delay),
            (DesyncSign::RepeatedBody, Some(body)) => self.repeated_bodies.borrow_mut().push(body),
            (DesyncSign::OutOfTurn | DesyncSign::RepeatedBody, _) => {}
        }
    }
}

#[cfg(test)]
mod tests;
