//! Progress of the response to a call.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Time at which a part of a call's response last arrived, shared between the call and the task that waits for it.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress(Rc<Cell<Option<Instant>>>);

impl Progress {
    /// Records that a part of the response has arrived.
    pub(super) fn record(&self, now: Instant) {
        self.0.set(Some(now));
    }

    /// Returns when a part last arrived; `None` before the response head.
    pub(super) fn last(&self) -> Option<Instant> {
        self.0.get()
    }
}
