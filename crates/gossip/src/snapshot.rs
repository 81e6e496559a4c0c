//! A member's view of its cluster at one time, for operators and for the balancer.

use crate::Micros;
use crate::membership::MemberCounts;

/// The limits of the retries that a member may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries granted for each request that arrives.
    pub per_request: f64,
    /// Maximum number of unused retries that may be saved.
    pub max_saved: f64,
}

/// A member's view of one tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSnapshot {
    /// Requests per second at all reachable members.
    pub demand_per_s: f64,
    /// Requests per second at this member.
    pub local_demand_per_s: f64,
    /// Quota for the whole cluster, in requests per second.
    pub quota_per_s: f64,
    /// Part of the quota leased to this member, in requests per second.
    pub lease_per_s: f64,
    /// Number of requests within the lease since the start.
    pub within_lease: u64,
    /// Number of requests beyond the lease since the start.
    pub beyond_lease: u64,
}

/// Number of links of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Number of links over which values are exchanged.
    pub up: usize,
    /// Number of all links.
    pub total: usize,
}

/// Number of messages since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Messages sent.
    pub sent: u64,
    /// Messages received and used.
    pub received: u64,
    /// Messages ignored because they were truncated or corrupt.
    pub corrupt: u64,
    /// Messages ignored because they were outdated or not from a neighbor.
    pub stale: u64,
}

/// A member's view of its cluster. Rates are sums over all reachable members.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Incarnation of this member.
    pub incarnation: u32,
    /// Estimated number of members that exchange values with this one, directly or indirectly, this one included.
    pub reachable_members: f64,
    /// Number of members by state.
    pub members: MemberCounts,
    /// Number of links of this member.
    pub links: LinkCounts,
    /// Time since a message was last received on any link; `None` if none ever was.
    pub last_received_age: Option<Micros>,
    /// Attempts per second.
    pub attempts_per_s: f64,
    /// Retries per second.
    pub retries_per_s: f64,
    /// Rejected requests per second.
    pub rejected_per_s: f64,
    /// Failed requests per second.
    pub failed_per_s: f64,
    /// Failed attempts per second that a retry might fix.
    pub retryable_failures_per_s: f64,
    /// Retries that this member may send.
    pub retry_budget: RetryBudget,
    /// Requests per second of each class.
    pub class_demand_per_s: Vec<f64>,
    /// Demand, quota and lease of each tenant, in the order of the settings.
    pub tenants: Vec<TenantSnapshot>,
    /// Number of messages since the start.
    pub messages: MessageCounts,
}
