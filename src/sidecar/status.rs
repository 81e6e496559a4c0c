//! The parts of a sidecar's state that no other module owns. They are shown on its listener and sent to its
//! supervisor.

use std::cell::{Cell, RefCell};

use instance_status::{RejectedConfig, RequestCounts};
use tokio::sync::Notify;

use super::discovery_status::DiscoveryStatus;
use super::events::EventCounters;

/// The program's version.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Configuration reloads since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReloadCounts {
    /// Applied completely.
    pub applied: u64,
    /// Not applied, or in part only.
    pub rejected: u64,
}

/// Counters and the last rejected configuration.
#[derive(Default)]
pub struct Status {
    /// Final answers by class.
    requests: RefCell<Vec<RequestCounts>>,
    attempts: Cell<u64>,
    reloads: Cell<ReloadCounts>,
    rejected_config: RefCell<Option<RejectedConfig>>,
    oversized_lists: Cell<u64>,
    /// Rare events, by what they are.
    pub events: EventCounters,
    /// The endpoint list in force, and the calls that bring it.
    pub discovery: DiscoveryStatus,
    /// Notified of changes that should not wait for the next report.
    pub changed: Notify,
}

impl Status {
    /// Counts a final answer to a request of a class. Classes are bounded by the settings.
    pub fn count_request(&self, class: usize, increment: impl FnOnce(&mut RequestCounts)) {
        let mut requests = self.requests.borrow_mut();
        if requests.len() <= class {
            requests.resize(class + 1, RequestCounts::default());
        }
        increment(&mut requests[class]);
    }

    /// Final answers of all classes.
    pub fn request_counts(&self) -> RequestCounts {
        let mut sum = RequestCounts::default();
        for &counts in self.requests.borrow().iter() {
            sum += counts;
        }
        sum
    }

    /// Final answers of one class.
    pub fn class_request_counts(&self, class: usize) -> RequestCounts {
        self.requests.borrow().get(class).copied().unwrap_or_default()
    }

    /// Counts an attempt that was written completely.
    pub fn count_attempt(&self) {
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Attempts that were written completely.
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Counts an endpoint list that was too long, or had more servers than the limit.
    pub fn count_oversized_list(&self) {
        self.oversized_lists.set(self.oversized_lists.get() + 1);
    }

    /// Endpoint lists that were too long, or had more servers than the limit.
    pub fn oversized_lists(&self) -> u64 {
        self.oversized_lists.get()
    }

    /// Configuration reloads.
    pub fn reload_counts(&self) -> ReloadCounts {
        self.reloads.get()
    }

    /// Records the outcome of a reload: `None` if the configuration is in force.
    pub fn record_reload(&self, rejected: Option<RejectedConfig>) {
        let mut reloads = self.reloads.get();
        reloads.applied += u64::from(rejected.is_none());
        reloads.rejected += u64::from(rejected.is_some());
        self.reloads.set(reloads);
        *self.rejected_config.borrow_mut() = rejected;
        self.changed.notify_one();
    }

    /// The last configuration, if it was not applied completely.
    pub fn rejected_config(&self) -> Option<RejectedConfig> {
        self.rejected_config.borrow().clone()
    }
}
