//! What a member knows of its cluster at one time, for operators and for the balancer.

use crate::Micros;
use crate::membership::MemberCounts;

/// How many retries a member may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries granted for each request that arrives.
    pub per_request: f64,
    /// The most retries that may be saved up.
    pub max_saved: f64,
}

/// What a member knows of one tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSnapshot {
    /// Requests per second at all reachable members.
    pub demand_per_s: f64,
    /// Requests per second at this member.
    pub local_demand_per_s: f64,
    /// The quota of the whole cluster, per second.
    pub quota_per_s: f64,
    /// The part of the quota that may be spent at this member, per second.
    pub lease_per_s: f64,
    /// Requests within the lease, since the start.
    pub within_lease: u64,
    /// Requests beyond the lease, since the start.
    pub beyond_lease: u64,
}

/// How many links there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Links over which values are exchanged.
    pub up: usize,
    /// All links of this member.
    pub total: usize,
}

/// Messages since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Sent.
    pub sent: u64,
    /// Received and used.
    pub received: u64,
    /// Ignored because they were truncated or corrupt.
    pub corrupt: u64,
    /// Ignored because they were old, or from no neighbor.
    pub stale: u64,
}

/// What a member knows of its cluster. Rates are sums over all reachable members.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// This member's incarnation.
    pub incarnation: u32,
    /// Estimated number of members with which values are exchanged, directly or not, this one among them.
    pub reachable_members: f64,
    /// Members by their state in the membership table.
    pub members: MemberCounts,
    /// Links of this member.
    pub links: LinkCounts,
    /// How long ago anything was received on any link; `None` if nothing ever was.
    pub last_received_age: Option<Micros>,
    /// Attempts per second.
    pub attempts_per_s: f64,
    /// Retries per second.
    pub retries_per_s: f64,
    /// Rejected requests per second.
    pub rejected_per_s: f64,
    /// Failed requests per second.
    pub failed_per_s: f64,
    /// Failed attempts per second that a retry might mend.
    pub retryable_failures_per_s: f64,
    /// How many retries this member may send.
    pub retry_budget: RetryBudget,
    /// Requests per second of each class.
    pub class_demand_per_s: Vec<f64>,
    /// What is known of each tenant, in the order of the settings.
    pub tenants: Vec<TenantSnapshot>,
    /// Messages since the start.
    pub messages: MessageCounts,
}
