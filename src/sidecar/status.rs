//! The parts of a sidecar's state that no other module owns. They are reported to the supervisor and on the listener.

use std::cell::{Cell, RefCell};

use instance_status::{RejectedConfig, RequestCounts};
use tokio::sync::Notify;

use super::discovery_status::DiscoveryStatus;
use super::events::EventCounters;
use super::memory_status::MemoryStatus;

/// The program's version.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Configuration reloads since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReloadCounts {
    /// Reloads that were applied completely.
    pub applied: u64,
    /// Reloads that were not applied, or only in part.
    pub rejected: u64,
}

/// Counters, the last rejected configuration, and the state of discovery.
#[derive(Default)]
pub struct Status {
    /// Final responses by class.
    requests: RefCell<Vec<RequestCounts>>,
    attempts: Cell<u64>,
    reloads: Cell<ReloadCounts>,
    rejected_config: RefCell<Option<RejectedConfig>>,
    oversized_lists: Cell<u64>,
    /// Counters of rare events.
    pub events: EventCounters,
    /// The current endpoint list and the calls of discovery.
    pub discovery: DiscoveryStatus,
    /// The memory of the process.
    pub memory: MemoryStatus,
    /// Notified of changes that should be reported at once.
    pub changed: Notify,
}

impl Status {
    /// Counts the final response to a request of a class. The settings limit the number of classes.
    pub fn count_request(&self, class: usize, increment: impl FnOnce(&mut RequestCounts)) {
        let mut requests = self.requests.borrow_mut();
        if requests.len() <= class {
            requests.resize(class + 1, RequestCounts::default());
        }
        increment(&mut requests[class]);
    }

    /// The final responses of all classes.
    pub fn request_counts(&self) -> RequestCounts {
        let mut sum = RequestCounts::default();
        for &counts in self.requests.borrow().iter() {
            sum += counts;
        }
        sum
    }

    /// The final responses of one class.
    pub fn class_request_counts(&self, class: usize) -> RequestCounts {
        self.requests.borrow().get(class).copied().unwrap_or_default()
    }

    /// Counts an attempt that was written completely.
    pub fn count_attempt(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// The number of attempts that were written completely.
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Counts an endpoint list that was too long or had too many servers.
    pub fn count_oversized_list(&self) {
        self.oversized_lists.set(self.oversized_lists.get() + 1);
    }

    /// The number of endpoint lists that were too long or had too many servers.
    pub fn oversized_lists(&self) -> u64 {
        self.oversized_lists.get()
    }

    /// The number of configuration reloads.
    pub fn reload_counts(&self) -> ReloadCounts {
        self.reloads.get()
    }

    /// Records the outcome of a reload. `rejected` is `None` if the configuration was applied.
    pub fn record_reload(&self, rejected: Option<RejectedConfig>) {
        let mut reloads = self.reloads.get();
        reloads.applied += u64::from(rejected.is_none());
        reloads.rejected += u64::from(rejected.is_some());
        self.reloads.set(reloads);
        *self.rejected_config.borrow_mut() = rejected;
        self.changed.notify_one();
    }

    /// The last configuration if it was not applied completely; `None` otherwise.
    pub fn rejected_config(&self) -> Option<RejectedConfig> {
        self.rejected_config.borrow().clone()
    }
}
