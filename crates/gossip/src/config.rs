//! Configuration of a cluster member.

use thiserror::Error;

use crate::{MAX_MEMBERS, Micros};

/// The quotas of the tenants whose demand is shared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantQuotas {
    /// Hash of the names of tenants and request classes. Members with different hashes do not exchange values.
    pub schema: u16,
    /// Quota of each tenant for the whole cluster, in requests per second.
    pub per_second: Vec<f64>,
}

/// The configuration of a cluster member.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of this member.
    pub local_id: u32,
    /// Configured number of members; all member numbers are below it.
    pub cluster_size: u32,
    /// Start time of this member by its own clock, in milliseconds of Unix time.
    pub started_unix_ms: u64,
    /// Time between two gossip rounds.
    pub round_interval: Micros,
    /// Quotas of the tenants whose demand is shared.
    pub quotas: TenantQuotas,
    /// Number of request classes.
    pub class_count: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// The reason why a configuration is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The member number or the cluster size is out of range.
    #[error("the member number must be below the tier's size, which may be {MAX_MEMBERS} at most")]
    MemberNumber,
    /// The round interval is too short.
    #[error("the round interval (turn_ms) must be at least one millisecond")]
    RoundInterval,
}
