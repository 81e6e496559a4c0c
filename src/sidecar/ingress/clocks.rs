//! Estimates of when client input was received, and of the time that a response has waited for its server.

use std::cell::Cell;
use std::time::{Duration, Instant};

use runtime::Runtime;

/// Maximum number of unread bytes of a body in the socket's receive buffer.
const MAX_BUFFERED_BYTES: u64 = 256 << 10;

/// Estimates when input was received that waited in the socket's receive buffer before it was read.
pub(super) struct ReceiveClock {
    /// The last read found the receive buffer empty.
    pub buffer_empty: Cell<bool>,
    /// The time of the last read whose input cannot have waited in the receive buffer.
    pub last_unbuffered_read: Cell<Instant>,
    /// Bytes read since then.
    bytes_since: Cell<u64>,
}

impl ReceiveClock {
    /// Creates the clock of a connection that has received nothing before `now`.
    pub fn new(now: Instant) -> ReceiveClock {
        ReceiveClock {
            buffer_empty: Cell::new(true),
            last_unbuffered_read: Cell::new(now),
            bytes_since: Cell::new(0),
        }
    }

    /// Records that `bytes` were read.
    ///
    /// The rest of a long body waits in the receive buffer until an attempt reads it, but its time runs from
    /// when it was received. If the client was still sending meanwhile, the remaining time is underestimated.
    pub fn record<P: Runtime>(&self, bytes: usize) {
        let bytes_since = self.bytes_since.get() + bytes as u64;
        if self.buffer_empty.replace(false) || bytes_since > MAX_BUFFERED_BYTES {
            self.last_unbuffered_read.set(P::now());
            self.bytes_since.set(0);
        } else {
            self.bytes_since.set(bytes_since);
        }
    }
}

/// The time that a response has waited for its server. It does not count towards the client's read timeout.
#[derive(Default)]
pub(super) struct UpstreamWait {
    /// The total duration of the completed waits.
    pub completed: Cell<Duration>,
    /// The start of the current wait; `None` if the response does not wait.
    since: Cell<Option<Instant>>,
}

impl UpstreamWait {
    /// Resets the waits for a new response.
    pub fn reset(&self) {
        self.completed.set(Duration::ZERO);
        self.since.set(None);
    }

    /// Whether the response is waiting.
    pub fn is_waiting(&self) -> bool {
        self.since.get().is_some()
    }

    /// Starts a wait, unless one is under way.
    pub fn start<P: Runtime>(&self) {
        self.since.set(Some(self.since.get().unwrap_or_else(P::now)));
    }

    /// Ends the current wait, if any.
    pub fn finish<P: Runtime>(&self) {
        let waited = self.since.take().map_or(Duration::ZERO, P::elapsed_since);
        self.completed.set(self.completed.get() + waited);
    }
}
