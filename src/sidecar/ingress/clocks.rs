//! When clients wrote their input, and the time that a response has waited for its server.

use std::cell::Cell;
use std::time::{Duration, Instant};

use runtime::Runtime;

/// Determines when the client can have written input that waits, or has waited, in the socket's receive buffer.
pub(super) struct ReceiveClock {
    /// The last read found the receive buffer empty.
    pub buffer_empty: Cell<bool>,
    /// The last time at which the client was known not to have written the end of its request.
    incomplete_at: Cell<Instant>,
    /// Number of bytes read.
    read: Cell<u64>,
    /// Number of bytes that are known to have arrived, of which some may be unread.
    arrived: Cell<u64>,
    /// The time at which that number was last seen to grow.
    grown_at: Cell<Instant>,
}

impl ReceiveClock {
    /// Creates the clock of a connection that has received nothing before `now`.
    pub fn new(now: Instant) -> ReceiveClock {
        ReceiveClock {
            buffer_empty: Cell::new(true),
            incomplete_at: Cell::new(now),
            read: Cell::new(0),
            arrived: Cell::new(0),
            grown_at: Cell::new(now),
        }
    }

    /// The earliest time at which the client can have written the end of its request, if that has arrived or is on its
    /// way. Once the receive buffer is full, further bytes wait where the sidecar does not see them.
    pub fn earliest_write(&self) -> Instant {
        self.incomplete_at.get()
    }

    /// The time at which the last of the arrived bytes was noticed.
    pub fn last_arrival(&self) -> Instant {
        self.grown_at.get()
    }

    /// Records that `bytes` were read at `now`.
    pub fn record_read(&self, now: Instant, bytes: usize) {
        if self.buffer_empty.replace(false) {
            // The event loop has just reported these bytes.
            self.incomplete_at.set(now);
        }
        self.read.set(self.read.get() + bytes as u64);
        self.record_arrived(now, self.read.get());
    }

    /// Records that a read found the receive buffer empty at `now`.
    pub fn record_empty(&self, now: Instant) {
        self.buffer_empty.set(true);
        self.incomplete_at.set(now);
    }

    /// Records that `unread` bytes were in the receive buffer at `now`, and whether the client cannot have written the
    /// end of its request by then.
    pub fn record_unread(&self, now: Instant, unread: u64, is_incomplete: bool) {
        if is_incomplete {
            self.incomplete_at.set(now);
        }
        self.record_arrived(now, self.read.get() + unread);
    }

    fn record_arrived(&self, now: Instant, arrived: u64) {
        if arrived > self.arrived.get() {
            self.arrived.set(arrived);
            self.grown_at.set(now);
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
