//! How far the response of a call has come.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// When a part of a call's response last arrived; shared by the call and who waits for it.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress(Rc<Cell<Option<Instant>>>);

impl Progress {
    /// Notes that a part has arrived.
    pub(super) fn record(&self, now: Instant) {
        self.0.set(Some(now));
    }

    /// When a part last arrived; none before the head of the response.
    pub(super) fn last(&self) -> Option<Instant> {
        self.0.get()
    }
}
