//! The order of the values that members average: some that all clusters have, the demand of each tenant, the failed
//! attempts, and the demand of each request class.

use crate::message::FIXED_VALUES;

/// The share of this member's links that are up.
pub const LINKS_UP: usize = 0;
/// Attempts per second.
pub const ATTEMPTS: usize = 1;
/// Retries per second.
pub const RETRIES: usize = 2;
/// Rejected requests per second.
pub const REJECTED: usize = 3;
/// Failed requests per second.
pub const FAILED: usize = 4;

/// The positions that depend on the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Number of tenants.
    pub tenant_count: usize,
    /// Number of request classes.
    pub class_count: usize,
}

impl Layout {
    /// The position of a tenant's demand.
    pub fn tenant(self, index: usize) -> usize {
        FIXED_VALUES + index
    }

    /// The position of the failed attempts that a retry might mend.
    pub fn retryable_failures(self) -> usize {
        FIXED_VALUES + self.tenant_count
    }

    /// The position of a request class's demand.
    pub fn class(self, index: usize) -> usize {
        self.retryable_failures() + 1 + index
    }

    /// The positions of all request classes.
    pub fn classes(self) -> std::ops::Range<usize> {
        self.class(0)..self.class(self.class_count)
    }

    /// The number of values.
    pub fn value_count(self) -> usize {
        self.class(self.class_count)
    }
}
