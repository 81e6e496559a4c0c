//! Whether a connection may carry another request, and whether a response on one that has carried others
//! answers the request that was sent last.
//!
//! HTTP/1.1 assigns responses to requests by their order alone. A response that is delivered twice is taken for
//! the answer to the request that follows on its connection, and so is each one behind it. A first response is
//! beyond doubt. One on a used connection is accepted unless something speaks against it (see
//! [`sync_check`](super::sync_check)), and a server whose connections have carried bytes that belong to no response
//! gets each request on a new one for a while.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::hash::Hasher;
use std::time::{Duration, Instant};

use rustc_hash::FxHasher;

use crate::sidecar::sync_state::DesyncSign;

/// How long a connection is idle at least before it is used again: what arrives meanwhile belongs to no request.
pub(super) const QUIET_PERIOD: Duration = Duration::from_millis(30);
/// How long a server gets each request on a new connection, the first time; doubled each further time.
const FIRST_QUARANTINE: Duration = Duration::from_secs(10);
/// The longest such time.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(600);
/// A response that begins within this part of the shortest time that the server has needed was made before.
const TOO_SOON_DIVISOR: u32 = 4;
/// How many bodies are remembered of a connection, and how many of a server that were rightly repeated.
const MAX_BODIES: usize = 64;
/// How many requests a connection carries: a copy of any of its responses is known by its body.
pub(super) const MAX_REQUESTS: u32 = MAX_BODIES as u32;

/// What identifies the whole body of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct BodyFingerprint(u64);

impl BodyFingerprint {
    /// The fingerprint of a body.
    pub(super) fn new(body: &[u8]) -> BodyFingerprint {
        let mut hasher = FxHasher::default();
        hasher.write(body);
        BodyFingerprint(hasher.finish())
    }
}

/// The latest of some bodies.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentBodies {
    bodies: VecDeque<BodyFingerprint>,
}

impl RecentBodies {
    /// Adds a body; the oldest gives way if there are too many.
    pub(super) fn push(&mut self, body: BodyFingerprint) {
        if self.bodies.len() == MAX_BODIES {
            self.bodies.pop_front();
        }
        self.bodies.push_back(body);
    }

    fn contains(&self, body: BodyFingerprint) -> bool {
        self.bodies.contains(&body)
    }
}

/// A response on a used connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct LaterResponse<'a> {
    /// Nothing arrived before the request was written in full, or behind the response.
    pub(super) in_turn: bool,
    /// How long after the last byte of the request it began.
    pub(super) delay: Duration,
    /// Its body; none of one that is forwarded while it is received.
    pub(super) body: Option<BodyFingerprint>,
    /// Those of the responses before it on its connection.
    pub(super) earlier_bodies: &'a RecentBodies,
}

/// What speaks against that a response answers the last request on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SuspectedDesync {
    /// What it is.
    pub(super) sign: DesyncSign,
    delay: Duration,
    body: Option<BodyFingerprint>,
}

/// For how long a server gets each request on a new connection.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    until: Instant,
    time: Duration,
}

/// What is known of one server's responses.
#[derive(Debug, Default)]
pub(super) struct ResponseHistory {
    quarantine: Cell<Option<Quarantine>>,
    /// The shortest time to the beginning of a response that is beyond doubt.
    fastest_response: Cell<Option<Duration>>,
    /// Bodies that answered more than one request.
    repeated_bodies: RefCell<RecentBodies>,
}

impl ResponseHistory {
    /// Whether connections may be used again.
    pub(super) fn allows_reuse(&self, now: Instant) -> bool {
        self.quarantine.get().is_none_or(|quarantine| quarantine.until <= now)
    }

    /// Notes that something arrived that belongs to no response. Returns how long connections are not used
    /// again, if that has just begun.
    pub(super) fn record_unexpected_bytes(&self, now: Instant) -> Option<Duration> {
        let earlier = self.quarantine.get();
        let is_new = self.allows_reuse(now);
        let time = match earlier {
            Some(earlier) if is_new && now < earlier.until + earlier.time => {
                (2 * earlier.time).min(LONGEST_QUARANTINE)
            }
            Some(earlier) if !is_new => earlier.time,
            _ => FIRST_QUARANTINE,
        };
        self.quarantine.set(Some(Quarantine { until: now + time, time }));
        is_new.then_some(time)
    }

    /// Notes that a response that is beyond doubt began so long after its request.
    pub(super) fn record_response(&self, delay: Duration) {
        let fastest = self.fastest_response.get().map_or(delay, |fastest| fastest.min(delay));
        self.fastest_response.set(Some(fastest));
    }

    /// Whether a response on a used connection is taken for its request's.
    ///
    /// # Errors
    ///
    /// What speaks against it.
    pub(super) fn check_response(
        &self,
        response: LaterResponse<'_>,
    ) -> Result<(), SuspectedDesync> {
        let LaterResponse { in_turn, delay, body, earlier_bodies } = response;
        let suspected = |sign| Err(SuspectedDesync { sign, delay, body });
        if !in_turn {
            return suspected(DesyncSign::OutOfTurn);
        }
        let fastest = self.fastest_response.get();
        if fastest.is_some_and(|fastest| delay < fastest / TOO_SOON_DIVISOR) {
            return suspected(DesyncSign::TooSoon);
        }
        let is_repeated =
            |body| earlier_bodies.contains(body) && !self.repeated_bodies.borrow().contains(body);
        if body.is_some_and(is_repeated) {
            return suspected(DesyncSign::RepeatedBody);
        }
        Ok(())
    }

    /// Notes that a response answered its request though something spoke against it.
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
