//! Counters and gauges of a sidecar in the text format for operators and their collectors. The names in the output are
//! part of the documented interface.

use std::fmt::{self, Display, Formatter};

use gossip::{Snapshot, TenantSnapshot};
use instance_status::RequestCounts;

use crate::sidecar::status::ReloadCounts;

/// Final responses to the requests of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassCounts {
    /// The name of the class.
    pub name: String,
    /// Responses by outcome.
    pub counts: RequestCounts,
}

/// The sidecar's view of its tier.
#[derive(Clone, Debug, PartialEq)]
pub struct TierStatistics {
    /// Membership, aggregates and leases.
    pub snapshot: Snapshot,
    /// Names of the tenants in the order of the snapshot.
    pub tenant_names: Vec<String>,
}

/// The statistics of a sidecar. Counters start at 0 with the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Statistics {
    /// Final responses by class.
    pub classes: Vec<ClassCounts>,
    /// Number of attempts that were written completely.
    pub attempts: u64,
    /// Number of requests in progress.
    pub active_requests: usize,
    /// Number of servers in the endpoint list.
    pub listed_servers: usize,
    /// Number of listed servers that get no requests: ejected as outliers, or disabled by an operator.
    pub ejected_servers: usize,
    /// Maximum number of servers taken from an endpoint list.
    pub max_servers: usize,
    /// Number of endpoint lists that were too long or had more servers than `max_servers`.
    pub oversized_lists: u64,
    /// Number of configuration reloads.
    pub reloads: ReloadCounts,
    /// The sidecar's view of its tier; `None` if it does not take part in one.
    pub tier: Option<TierStatistics>,
}

impl Display for Statistics {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for ClassCounts { name, counts } in &self.classes {
            writeln!(f, "sidecar.ok.{name}={}", counts.served)?;
            writeln!(f, "sidecar.shed.{name}={}", counts.rejected)?;
            writeln!(f, "sidecar.errors.{name}={}", counts.failed)?;
        }
        writeln!(f, "sidecar.tries={}", self.attempts)?;
        writeln!(f, "sidecar.active={}", self.active_requests)?;
        writeln!(f, "sidecar.pool_size={}", self.listed_servers)?;
        writeln!(f, "sidecar.pool_ejected={}", self.ejected_servers)?;
        writeln!(f, "sidecar.pool_most={}", self.max_servers)?;
        writeln!(f, "sidecar.lists_too_long={}", self.oversized_lists)?;
        writeln!(f, "sidecar.config_applied={}", self.reloads.applied)?;
        writeln!(f, "sidecar.config_rejected={}", self.reloads.rejected)?;
        match &self.tier {
            Some(tier) => write_tier(f, tier),
            None => Ok(()),
        }
    }
}

fn write_tier(f: &mut Formatter<'_>, tier: &TierStatistics) -> fmt::Result {
    for (name, value) in tier_values(&tier.snapshot) {
        let rounded = (value * 1000.0).round() / 1000.0;
        writeln!(f, "sidecar.tier.{name}={rounded}")?;
    }
    let tenants = tier.snapshot.tenants.iter().zip(&tier.tenant_names);
    for (tenant, name) in tenants {
        write_tenant(f, tenant, name)?;
    }
    Ok(())
}

/// The names and values of the statistics that are not specific to a tenant, in the order of the output.
fn tier_values(snapshot: &Snapshot) -> [(&'static str, f64); 18] {
    // -1 if nothing has been received yet.
    let age_s = snapshot.last_received_age.map_or(-1.0, |age| age as f64 / 1e6);
    [
        ("incarnation", f64::from(snapshot.incarnation)),
        ("reach", snapshot.reachable_members),
        ("members", snapshot.members.alive as f64),
        ("gone", snapshot.members.dead as f64),
        ("links_up", snapshot.links.up as f64),
        ("links", snapshot.links.total as f64),
        ("age_s", age_s),
        ("attempts_per_s", snapshot.attempts_per_s),
        ("repeats_per_s", snapshot.retries_per_s),
        ("refused_per_s", snapshot.rejected_per_s),
        ("failed_per_s", snapshot.failed_per_s),
        ("broke_per_s", snapshot.retryable_failures_per_s),
        ("repeat_share", snapshot.retry_budget.per_request),
        ("repeats_saved", snapshot.retry_budget.max_saved),
        ("notes_sent", snapshot.messages.sent as f64),
        ("notes_taken", snapshot.messages.received as f64),
        ("notes_spoilt", snapshot.messages.corrupt as f64),
        ("notes_old", snapshot.messages.stale as f64),
    ]
}

fn write_tenant(f: &mut Formatter<'_>, tenant: &TenantSnapshot, name: &str) -> fmt::Result {
    writeln!(f, "sidecar.tier.asked_per_s.{name}={:.3}", tenant.demand_per_s)?;
    writeln!(f, "sidecar.tier.own_per_s.{name}={:.3}", tenant.local_demand_per_s)?;
    writeln!(f, "sidecar.tier.quota_per_s.{name}={:.3}", tenant.quota_per_s)?;
    writeln!(f, "sidecar.tier.lease_per_s.{name}={:.3}", tenant.lease_per_s)?;
    writeln!(f, "sidecar.tier.within.{name}={}", tenant.within_lease)?;
    writeln!(f, "sidecar.tier.beyond.{name}={}", tenant.beyond_lease)
}
