//! Gossip between the sidecars of one cluster: membership, sums over all members, and quota leases that are computed
//! from these sums. The crate is a state machine without I/O: the current time, received messages and local events are
//! passed in, messages to send and snapshots come out. The same seed and inputs give the same messages.
//!
//! `docs/design/tier.md` has the reasons for the design, its sources and the invariant on quotas. The settings and the
//! operators' documentation call the cluster the *tier*.

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

/// A time or duration in microseconds, on a monotonic clock with an arbitrary origin.
pub type Micros = u64;

/// Maximum number of members in a cluster: a member number takes two bytes in a message.
pub const MAX_MEMBERS: u32 = 1 << 16;
