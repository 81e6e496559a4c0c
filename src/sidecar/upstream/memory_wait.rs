//! The time for which an attempt waits for the sidecar's own memory, which is not its server's.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// The wait of an attempt for the memory of its response.
#[derive(Debug, Default)]
pub struct MemoryWait {
    since: Cell<Option<Instant>>,
    waited: Cell<Duration>,
    began: Notify,
}

impl MemoryWait {
    /// Starts a wait at `now`.
    pub(super) fn begin(&self, now: Instant) {
        self.since.set(Some(now));
        self.began.notify_one();
    }

    /// Ends the wait at `now`. Returns its duration.
    pub(super) fn end(&self, now: Instant) -> Duration {
        let waited = self.since.take().map_or(Duration::ZERO, |since| now - since);
        self.waited.set(self.waited.get() + waited);
        waited
    }

    /// Returns whether the attempt is waiting.
    pub fn is_waiting(&self) -> bool {
        self.since.get().is_some()
    }

    /// Returns the total duration of the waits that have ended.
    pub fn waited(&self) -> Duration {
        self.waited.get()
    }

    /// Completes when a wait has begun. Supports one caller at a time.
    pub async fn began(&self) {
        self.began.notified().await;
    }
}
