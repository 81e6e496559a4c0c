//! The parts of a sidecar's state that no other module owns. It is reported to whoever asks on its
//! listener, and to its supervisor.

use std::cell::{Cell, RefCell};

use reports::{Counts, Declined};
use tokio::sync::Notify;

/// The program's version.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// The parts of the state that no other module owns.
#[derive(Default)]
pub struct Status {
    counts: Cell<Counts>,
    declined: RefCell<Option<Declined>>,
    /// Told of changes that should not wait for the next report.
    pub changed: Notify,
}

impl Status {
    /// Counts final answers.
    pub fn count(&self, one: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        one(&mut counts);
        self.counts.set(counts);
    }

    /// The final answers so far.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Notes what became of a new configuration: `None`, it is in force.
    pub fn reloaded(&self, declined: Option<Declined>) {
        *self.declined.borrow_mut() = declined;
        self.changed.notify_one();
    }

    /// The last configuration that was not taken over whole.
    pub fn declined(&self) -> Option<Declined> {
        self.declined.borrow().clone()
    }
}
