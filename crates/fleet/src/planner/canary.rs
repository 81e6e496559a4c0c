//! Compares the requests that the canaries of a rollout answer with those of the other instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use thiserror::Error;

use super::facts::{DesiredState, ObservedProcess, ProcessId, RequestTotals};
use super::policy::FleetPolicy;

/// Canaries with too few requests to be compared are observed for so many times as long.
const EXTENDED_PERIODS: u32 = 4;

/// The canaries' share of failed or rejected requests exceeds that of the rest by more than the
/// policy's margin.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{bad} of {total} requests {outcome} at the canary, {rest_bad} of {rest_total} elsewhere")]
pub struct CanaryRegression {
    outcome: BadOutcome,
    bad: u64,
    total: u64,
    rest_bad: u64,
    rest_total: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum BadOutcome {
    #[error("failed")]
    Failed,
    #[error("were refused")]
    Rejected,
}

/// The requests that canaries and rest answered since the observation began.
pub(super) struct CanaryComparison {
    /// Requests of the canaries.
    pub(super) canary: RequestTotals,
    rest: RequestTotals,
    /// All slots are canaries: there is no rest to compare with.
    no_rest: bool,
}

impl CanaryComparison {
    /// Sums up what each process answered beyond its `baseline`.
    pub(super) fn measure(
        canaries: &BTreeSet<String>,
        baseline: &BTreeMap<ProcessId, RequestTotals>,
        desired: &DesiredState,
        processes: &[ObservedProcess],
    ) -> CanaryComparison {
        let (mut canary, mut rest) = (RequestTotals::default(), RequestTotals::default());
        for process in processes.iter().filter(|process| !process.draining) {
            let before = baseline.get(&process.id).copied().unwrap_or_default();
            let is_canary =
                canaries.contains(&process.slot) && process.generation == desired.target;
            let side = if is_canary { &mut canary } else { &mut rest };
            side.add(process.requests.since(before));
        }
        CanaryComparison { canary, rest, no_rest: canaries.len() >= desired.slots.len() }
    }

    fn is_comparable(&self, policy: &FleetPolicy) -> bool {
        let enough = |totals: RequestTotals| totals.total >= policy.min_requests;
        enough(self.canary) && (enough(self.rest) || self.no_rest)
    }

    /// How the canaries are worse than the rest, if they are.
    ///
    /// An overloaded canary may reject requests, and one that has just started rejects more than
    /// the rest, so the margin of rejections is wide. One that rejects everything is as bad as one
    /// that fails everything.
    pub(super) fn regression(&self, policy: &FleetPolicy) -> Option<CanaryRegression> {
        if !self.is_comparable(policy) {
            return None;
        }
        let (canary, rest) = (self.canary, self.rest);
        let outcomes = [
            (BadOutcome::Failed, canary.failed, rest.failed, policy.failure_margin),
            (BadOutcome::Rejected, canary.rejected, rest.rejected, policy.rejection_margin),
        ];
        outcomes
            .into_iter()
            .find(|(_, bad, rest_bad, margin)| canary.share(*bad) > rest.share(*rest_bad) + margin)
            .map(|(outcome, bad, rest_bad, _)| CanaryRegression {
                outcome,
                bad,
                total: canary.total,
                rest_bad,
                rest_total: rest.total,
            })
    }

    /// How long the canaries are to be observed: longer where requests come, but too few yet.
    pub(super) fn observation_period(&self, policy: &FleetPolicy) -> Duration {
        let too_few =
            !self.is_comparable(policy) && self.canary.total > 0 && policy.min_requests > 0;
        if too_few { policy.canary_period * EXTENDED_PERIODS } else { policy.canary_period }
    }
}
