//! Gossip between the sidecars of one cluster: membership, sums over all members, and leases of quotas that are
//! computed from these sums. Time, messages and local events are passed in; messages and a snapshot come out. There
//! is no I/O and no clock but the time passed in; the same seed gives the same messages.
//!
//! `docs/design/tier.md` has the reasons for the design, its sources and the invariant on quotas. The settings and
//! the operators' pages call this the *tier*.

mod config;
mod layout;
mod leases;
mod link;
mod membership;
mod message;
mod node;
mod rate_window;
mod snapshot;
mod topology;

pub use config::{Config, ConfigError, TenantQuotas};
pub use leases::{Demand, TokenBucket, quota_lease, retry_allowance};
pub use membership::{MemberCounts, MemberRecord, MemberState};
pub use message::{DecodeError, MAX_CLASSES, MAX_MESSAGE_BYTES, MAX_TENANTS, Message, Payload};
pub use node::{Event, Node, Outgoing};
pub use snapshot::{LinkCounts, MessageCounts, RetryBudget, Snapshot, TenantSnapshot};

/// Microseconds, on a clock that starts anywhere and never runs backwards.
pub type Micros = u64;

/// The most members of a cluster: messages have two bytes for a member's number.
pub const MAX_MEMBERS: u32 = 1 << 16;
