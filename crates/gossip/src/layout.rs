//! Positions of the values that members average: first the fixed ones, then the demand of each tenant, the retryable
//! failures, and the demand of each request class.

use crate::message::FIXED_VALUES;

/// Position of the share of this member's links that are up.
pub const LINKS_UP: usize = 0;
/// Position of the attempts per second.
pub const ATTEMPTS: usize = 1;
/// Position of the retries per second.
pub const RETRIES: usize = 2;
/// Position of the rejected requests per second.
pub const REJECTED: usize = 3;
/// Position of the failed requests per second.
pub const FAILED: usize = 4;

/// The positions of values that depend on the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Number of tenants whose demand is shared.
    pub tenant_count: usize,
    /// Number of request classes whose demand is shared.
    pub class_count: usize,
}

impl Layout {
    /// Returns the position of a tenant's demand.
    pub fn tenant(self, index: usize) -> usize {
        FIXED_VALUES + index
    }

    /// Returns the position of the failed attempts that a retry might fix.
    pub fn retryable_failures(self) -> usize {
        FIXED_VALUES + self.tenant_count
    }

    /// Returns the position of a request class's demand.
    pub fn class(self, index: usize) -> usize {
        self.retryable_failures() + 1 + index
    }

    /// Returns the positions of all request classes.
    pub fn classes(self) -> std::ops::Range<usize> {
        self.class(0)..self.class(self.class_count)
    }

    /// Returns the number of values.
    pub fn value_count(self) -> usize {
        self.class(self.class_count)
    }
}
