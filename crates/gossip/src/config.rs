//! What a member is started with.

use thiserror::Error;

use crate::{MAX_MEMBERS, Micros};

/// The tenants whose quotas are shared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantQuotas {
    /// A hash of the names of tenants and request classes: members with different names do not exchange values.
    pub schema: u16,
    /// The quota of each tenant for the whole cluster, in requests per second.
    pub per_second: Vec<f64>,
}

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// The number of this member.
    pub local_id: u32,
    /// The configured size of the cluster; every number is below it.
    pub cluster_size: u32,
    /// When this member started, by its own clock, in milliseconds of Unix time.
    pub started_unix_ms: u64,
    /// The time between two rounds.
    pub round_interval: Micros,
    /// The tenants whose quotas are shared.
    pub quotas: TenantQuotas,
    /// The number of request classes.
    pub class_count: usize,
    /// The seed of everything that is drawn at random.
    pub seed: u64,
}

/// Why a configuration cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The member's number or the size of the cluster is out of range.
    #[error("a number below the tier's size, {MAX_MEMBERS} at most, expected")]
    MemberNumber,
    /// The round interval is too short.
    #[error("a turn of a millisecond or more expected")]
    RoundInterval,
}
