//! The metrics that expectations are about.

use std::fmt;

use crate::sample::{Sample, SidecarMetrics, Totals};

/// A metric of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Metric {
    /// Rules broken since the start.
    Violations,
    /// The share of the operations of a tenant (by its number; none: of all) that ended this way within the span.
    Share(Completion, Option<usize>),
    /// The operations per second of a tenant (by its number; none: of all) that ended this way within the span.
    Rate(Completion, Option<usize>),
    /// Gossip bytes delivered per second and sidecar.
    GossipBytes,
    /// Attempts that servers saw beyond one for each attempt of a client, as a share of the latter.
    RetryShare,
    /// A metric that sidecars report of themselves, in each sample of the span.
    Sidecar(String),
    /// The growth per second of a counter that sidecars report, summed over all of them.
    SidecarRate(String),
}

/// How operations ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// In any way, or not yet.
    Any,
    /// Served.
    Served,
    /// Served within the latency objective of the class.
    InTime,
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
}

impl Completion {
    fn count(self, totals: &Totals) -> u64 {
        match self {
            Completion::Any => totals.requested,
            Completion::Served => totals.served,
            Completion::InTime => totals.in_time,
            Completion::Rejected => totals.rejected,
            Completion::Failed => totals.failed,
        }
    }

    /// The name in journals.
    fn stored_name(self) -> &'static str {
        match self {
            Completion::Any => "Asked",
            Completion::Served => "Served",
            Completion::InTime => "InTime",
            Completion::Rejected => "Refused",
            Completion::Failed => "Failed",
        }
    }
}

/// A name that no metric has.
#[derive(Debug, thiserror::Error)]
#[error(
    "{name:?} is none of broken, served_share, in_time_share, refused_share, failed_share, repeats_share, \
     asked_per_s, served_per_s, note_bytes_per_s, own.NAME, grown_per_s.NAME"
)]
pub struct UnknownMetric {
    /// The name.
    pub name: String,
}

/// The name as it is written into journals, which earlier versions of this program wrote as well.
impl fmt::Display for Metric {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Metric::Violations => f.write_str("Broken"),
            Metric::Share(completion, tenant) => {
                write!(f, "Share({}, {tenant:?})", completion.stored_name())
            }
            Metric::Rate(completion, tenant) => {
                write!(f, "PerS({}, {tenant:?})", completion.stored_name())
            }
            Metric::GossipBytes => f.write_str("NoteBytes"),
            Metric::RetryShare => f.write_str("Repeats"),
            Metric::Sidecar(name) => write!(f, "Own({name:?})"),
            Metric::SidecarRate(name) => write!(f, "OwnPerS({name:?})"),
        }
    }
}

impl Metric {
    /// The metric that has this name in files; `tenant` is the number of the tenant that it is of.
    ///
    /// # Errors
    ///
    /// When no metric has the name.
    pub fn parse(name: &str, tenant: Option<usize>) -> Result<Metric, UnknownMetric> {
        Ok(match name {
            "broken" => Metric::Violations,
            "served_share" => Metric::Share(Completion::Served, tenant),
            "in_time_share" => Metric::Share(Completion::InTime, tenant),
            "refused_share" => Metric::Share(Completion::Rejected, tenant),
            "failed_share" => Metric::Share(Completion::Failed, tenant),
            "asked_per_s" => Metric::Rate(Completion::Any, tenant),
            "served_per_s" => Metric::Rate(Completion::Served, tenant),
            "note_bytes_per_s" => Metric::GossipBytes,
            "repeats_share" => Metric::RetryShare,
            _ => match (name.strip_prefix("own."), name.strip_prefix("grown_per_s.")) {
                (Some(metric), _) => Metric::Sidecar(metric.to_owned()),
                (_, Some(counter)) => Metric::SidecarRate(counter.to_owned()),
                (None, None) => return Err(UnknownMetric { name: name.to_owned() }),
            },
        })
    }

    /// The value over the span between two samples. [`Metric::Sidecar`] has none, since each sidecar has its own.
    pub fn between(&self, from: &Sample, to: &Sample, sidecar_count: usize) -> Option<f64> {
        let seconds = to.at_s - from.at_s;
        let value = match self {
            Metric::Violations => return Some(to.violations as f64),
            Metric::Share(completion, tenant) => {
                completed(*completion, *tenant, from, to)?
                    / completed(Completion::Any, *tenant, from, to)?
            }
            Metric::Rate(completion, tenant) => {
                completed(*completion, *tenant, from, to)? / seconds
            }
            Metric::GossipBytes => {
                let bytes = (to.gossip.bytes - from.gossip.bytes) as f64;
                bytes / seconds / sidecar_count.max(1) as f64
            }
            Metric::RetryShare => {
                let server_attempts = (to.server_attempts - from.server_attempts) as f64;
                let client_attempts = (to.client_attempts - from.client_attempts) as f64;
                server_attempts / client_attempts - 1.0
            }
            Metric::SidecarRate(counter) => sidecar_growth(counter, from, to)? / seconds,
            Metric::Sidecar(_) => return None,
        };
        value.is_finite().then_some(value)
    }
}

/// The operations that ended this way between two samples.
fn completed(
    completion: Completion,
    tenant: Option<usize>,
    from: &Sample,
    to: &Sample,
) -> Option<f64> {
    let totals = |sample: &Sample| match tenant {
        None => Some(sample.totals),
        Some(tenant) => sample.tenants.get(tenant).copied(),
    };
    Some(completion.count(&totals(to)?) as f64 - completion.count(&totals(from)?) as f64)
}

/// How much a counter of the sidecars has grown, over all that reported it in the second sample.
fn sidecar_growth(counter: &str, from: &Sample, to: &Sample) -> Option<f64> {
    let value = |metrics: &Option<SidecarMetrics>| metrics.as_ref()?.get(counter).copied();
    let mut growth = None;
    for (from, to) in from.sidecar_metrics.iter().zip(&to.sidecar_metrics) {
        if let Some(to) = value(to) {
            // The counter of a sidecar that was restarted counts from zero.
            let from = value(from).filter(|from| *from <= to).unwrap_or(0.0);
            growth = Some(growth.unwrap_or(0.0) + to - from);
        }
    }
    growth
}
