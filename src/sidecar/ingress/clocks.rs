//! When input of a client was received, and how long its response has waited for a server.

use std::cell::Cell;
use std::time::{Duration, Instant};

use runtime::Runtime;

/// How many bytes of a body can wait unread in the system's receive buffer.
const MAX_BUFFERED_BYTES: u64 = 256 << 10;

/// Estimates when input was received that waited in the system's buffer before it was read.
pub(super) struct ReceiveClock {
    /// Everything received so far has been read.
    pub drained: Cell<bool>,
    /// When input was last read that cannot have waited in the buffer.
    pub fresh_at: Cell<Instant>,
    /// Bytes read since then.
    read_since: Cell<u64>,
}

impl ReceiveClock {
    /// Nothing was received before `now`.
    pub fn new(now: Instant) -> ReceiveClock {
        ReceiveClock {
            drained: Cell::new(true),
            fresh_at: Cell::new(now),
            read_since: Cell::new(0),
        }
    }

    /// Records that `bytes` were read.
    ///
    /// The rest of a long body waits in the buffer until an attempt wants it, and its time runs
    /// from when it was received. Where the client was still sending in the meantime, its time is
    /// estimated shorter than it is.
    pub fn record<P: Runtime>(&self, bytes: usize) {
        let read_since = self.read_since.get() + bytes as u64;
        if self.drained.replace(false) || read_since > MAX_BUFFERED_BYTES {
            self.fresh_at.set(P::now());
            self.read_since.set(0);
        } else {
            self.read_since.set(read_since);
        }
    }
}

/// How long a response has waited for its server. The client is not charged for that time.
#[derive(Default)]
pub(super) struct UpstreamWait {
    /// How long the waits took that are over.
    pub finished: Cell<Duration>,
    /// Since when it waits again.
    since: Cell<Option<Instant>>,
}

impl UpstreamWait {
    /// No response has waited so far.
    pub fn reset(&self) {
        self.finished.set(Duration::ZERO);
        self.since.set(None);
    }

    /// Whether a response waits now.
    pub fn is_waiting(&self) -> bool {
        self.since.get().is_some()
    }

    /// A wait begins, unless one is under way.
    pub fn start<P: Runtime>(&self) {
        self.since.set(Some(self.since.get().unwrap_or_else(P::now)));
    }

    /// The wait is over.
    pub fn finish<P: Runtime>(&self) {
        let waited = self.since.take().map_or(Duration::ZERO, P::elapsed_since);
        self.finished.set(self.finished.get() + waited);
    }
}
