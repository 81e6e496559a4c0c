//! When client input was received, and the time that a response has waited for its server.

use std::cell::Cell;
use std::time::{Duration, Instant};

use runtime::Runtime;

/// Determines when input arrived that waits, or has waited, in the socket's receive buffer.
pub(super) struct ReceiveClock {
    /// The last read found the receive buffer empty.
    pub buffer_empty: Cell<bool>,
    /// Number of bytes read.
    read: Cell<u64>,
    /// Number of bytes that are known to have arrived, of which some may be unread.
    arrived: Cell<u64>,
    /// The time at which the number of arrived bytes was last determined.
    observed_at: Cell<Instant>,
    /// The earliest time at which the last of the arrived bytes can have arrived.
    last_arrival: Cell<Instant>,
}

impl ReceiveClock {
    /// Creates the clock of a connection that has received nothing before `now`.
    pub fn new(now: Instant) -> ReceiveClock {
        ReceiveClock {
            buffer_empty: Cell::new(true),
            read: Cell::new(0),
            arrived: Cell::new(0),
            observed_at: Cell::new(now),
            last_arrival: Cell::new(now),
        }
    }

    /// The earliest time at which the last of the arrived bytes can have arrived.
    pub fn last_arrival(&self) -> Instant {
        self.last_arrival.get()
    }

    /// Records that `bytes` were read at `now`.
    pub fn record_read(&self, now: Instant, bytes: usize) {
        let read = self.read.get() + bytes as u64;
        self.read.set(read);
        // If the buffer was empty, the event loop has just reported these bytes.
        let earliest = if self.buffer_empty.replace(false) { now } else { self.observed_at.get() };
        self.record_arrived(read, earliest);
        self.observed_at.set(now);
    }

    /// Records that the receive buffer was empty at `now`.
    pub fn record_empty(&self, now: Instant) {
        self.buffer_empty.set(true);
        self.observed_at.set(now);
    }

    /// Records that `unread` bytes were in the receive buffer at `now`.
    pub fn record_unread(&self, now: Instant, unread: u64) {
        self.record_arrived(self.read.get() + unread, self.observed_at.get());
        self.observed_at.set(now);
    }

    fn record_arrived(&self, arrived: u64, earliest: Instant) {
        if arrived > self.arrived.get() {
            self.arrived.set(arrived);
            self.last_arrival.set(earliest);
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
