//! The parts of a sidecar's state that no other module owns. It is reported to whoever asks on its
//! listener, and to its supervisor.

use std::cell::{Cell, RefCell};

use instance_status::{RejectedConfig, RequestCounts};
use tokio::sync::Notify;

/// The program's version.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// What became of new configurations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReloadCounts {
    /// Taken over whole.
    pub applied: u64,
    /// Not taken over, or in part.
    pub rejected: u64,
}

/// The parts of the state that no other module owns.
#[derive(Default)]
pub struct Status {
    /// By class.
    counts: RefCell<Vec<RequestCounts>>,
    attempts: Cell<u64>,
    reloads: Cell<ReloadCounts>,
    declined: RefCell<Option<RejectedConfig>>,
    lists_too_long: Cell<u64>,
    /// Told of changes that should not wait for the next report.
    pub changed: Notify,
}

impl Status {
    /// RequestCounts a final answer to a request of a class. Classes are bounded by the settings.
    pub fn count(&self, class: usize, one: impl FnOnce(&mut RequestCounts)) {
        let mut counts = self.counts.borrow_mut();
        if counts.len() <= class {
            counts.resize(class + 1, RequestCounts::default());
        }
        one(&mut counts[class]);
    }

    /// The final answers so far, of all classes.
    pub fn counts(&self) -> RequestCounts {
        let mut sum = RequestCounts::default();
        for &counts in self.counts.borrow().iter() {
            sum += counts;
        }
        sum
    }

    /// The final answers of one class so far.
    pub fn counts_of(&self, class: usize) -> RequestCounts {
        self.counts.borrow().get(class).copied().unwrap_or_default()
    }

    /// RequestCounts an attempt whose last byte has left.
    pub fn attempted(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// The attempts so far that were written whole.
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// RequestCounts a list, or servers in one, that were passed over for being beyond the bound.
    pub fn list_too_long(&self) {
        self.lists_too_long.set(self.lists_too_long.get() + 1);
    }

    /// Lists so far that were, or held, more than is taken in.
    pub fn lists_too_long(&self) -> u64 {
        self.lists_too_long.get()
    }

    /// What became of new configurations so far.
    pub fn reloads(&self) -> ReloadCounts {
        self.reloads.get()
    }

    /// Notes what became of a new configuration: `None`, it is in force.
    pub fn reloaded(&self, declined: Option<RejectedConfig>) {
        let mut reloads = self.reloads.get();
        reloads.applied += u64::from(declined.is_none());
        reloads.rejected += u64::from(declined.is_some());
        self.reloads.set(reloads);
        *self.declined.borrow_mut() = declined;
        self.changed.notify_one();
    }

    /// The last configuration that was not taken over whole.
    pub fn declined(&self) -> Option<RejectedConfig> {
        self.declined.borrow().clone()
    }
}
