//! The metrics that expectations refer to.

use std::fmt;

use crate::sample::{Sample, SidecarMetrics, Totals};

/// A metric of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Metric {
    /// The violations since the start.
    Violations,
    /// The share of the operations of a tenant, given by index, that ended this way within the span. `None` means all
    /// tenants.
    Share(Completion, Option<usize>),
    /// The operations per second of a tenant, given by index, that ended this way within the span. `None` means all
    /// tenants.
    Rate(Completion, Option<usize>),
    /// Gossip bytes delivered per second and sidecar.
    GossipBytes,
    /// The attempts at servers in excess of the attempts of clients, as a share of the latter.
    RetryShare,
    /// A metric that sidecars report about themselves, in each sample of the span.
    Sidecar(String),
    /// The growth per second of a counter that sidecars report, summed over all of them.
    SidecarRate(String),
}

/// The outcome of operations that a metric counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Any outcome, or none yet.
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

    /// Returns the name in journals.
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

/// No metric has this name.
#[derive(Debug, thiserror::Error)]
#[error(
    "{name:?} is none of broken, served_share, in_time_share, refused_share, failed_share, repeats_share, \
     asked_per_s, served_per_s, note_bytes_per_s, own.NAME, grown_per_s.NAME"
)]
pub struct UnknownMetric {
    /// The name.
    pub name: String,
}

/// Writes the name that journals contain. It must not change, so that older journals stay readable.
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
    /// Returns the metric with this name in scenario files. `tenant` is the index of its tenant, or `None` for all.
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

    /// Returns the value over the span between two samples. [`Metric::Sidecar`] has none, because it has a value for
    /// each sidecar.
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

/// Returns the number of operations that ended this way between two samples.
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

/// Returns the growth of a counter between two samples, summed over the sidecars that reported it in the second one.
fn sidecar_growth(counter: &str, from: &Sample, to: &Sample) -> Option<f64> {
    let value = |metrics: &Option<SidecarMetrics>| metrics.as_ref()?.get(counter).copied();
    let mut growth = None;
    for (from, to) in from.sidecar_metrics.iter().zip(&to.sidecar_metrics) {
        if let Some(to) = value(to) {
            // The counter of a restarted sidecar starts from zero.
            let from = value(from).filter(|from| *from <= to).unwrap_or(0.0);
            growth = Some(growth.unwrap_or(0.0) + to - from);
        }
    }
    growth
}
