//! Compares the outcomes of requests at the canaries of a rollout with those at the other instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use thiserror::Error;

use super::facts::{DesiredState, ObservedProcess, ProcessId, RequestTotals};
use super::policy::FleetPolicy;

/// The number of canary periods for which canaries with too few requests for a comparison are observed.
const EXTENDED_PERIODS: u32 = 4;

/// The canaries' share of failed or rejected requests exceeds that of the other instances by more
/// than the margin of the policy.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "{count} of {total} requests {outcome} at the canary, {rest_count} of {rest_total} elsewhere"
)]
pub struct CanaryRegression {
    outcome: Outcome,
    /// Requests of the canaries with this outcome.
    count: u64,
    /// All answered requests of the canaries.
    total: u64,
    /// Requests of the other instances with this outcome.
    rest_count: u64,
    /// All answered requests of the other instances.
    rest_total: u64,
}

/// The outcome of requests by which canaries regress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum Outcome {
    #[error("failed")]
    Failed,
    #[error("were refused")]
    Rejected,
}

/// The requests that the canaries and the other instances answered since the observation began.
pub(super) struct CanaryComparison {
    /// Requests that the canaries answered.
    pub(super) canary: RequestTotals,
    /// Requests that the other instances answered.
    rest: RequestTotals,
    /// Whether all slots are canaries, so that there are no instances to compare with.
    no_rest: bool,
}

impl CanaryComparison {
    /// Sums up the requests that each process answered beyond its `baseline`. Draining processes are
    /// left out.
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
            let totals = if is_canary { &mut canary } else { &mut rest };
            totals.add(process.requests.since(before));
        }
        CanaryComparison { canary, rest, no_rest: canaries.len() >= desired.slots.len() }
    }

    fn is_comparable(&self, policy: &FleetPolicy) -> bool {
        let enough = |totals: RequestTotals| totals.total >= policy.min_requests;
        enough(self.canary) && (enough(self.rest) || self.no_rest)
    }

    /// Returns the regression of the canaries relative to the other instances, or `None` if there is
    /// none or there are too few requests to tell.
    ///
    /// Rejections count because a canary that rejects every request is as broken as one that fails
    /// every request. Their margin is wide because an overloaded canary may reject requests, and an
    /// instance that has just started rejects more than the others.
    pub(super) fn regression(&self, policy: &FleetPolicy) -> Option<CanaryRegression> {
        if !self.is_comparable(policy) {
            return None;
        }
        let (canary, rest) = (self.canary, self.rest);
        let outcomes = [
            (Outcome::Failed, canary.failed, rest.failed, policy.failure_margin),
            (Outcome::Rejected, canary.rejected, rest.rejected, policy.rejection_margin),
        ];
        outcomes
            .into_iter()
            .find(|(_, count, other, margin)| canary.share(*count) > rest.share(*other) + margin)
            .map(|(outcome, count, rest_count, _)| CanaryRegression {
                outcome,
                count,
                total: canary.total,
                rest_count,
                rest_total: rest.total,
            })
    }

    /// The time for which the canaries are observed. It is extended if they get requests, but too
    /// few for a comparison so far.
    pub(super) fn observation_period(&self, policy: &FleetPolicy) -> Duration {
        let too_few =
            !self.is_comparable(policy) && self.canary.total > 0 && policy.min_requests > 0;
        if too_few { policy.canary_period * EXTENDED_PERIODS } else { policy.canary_period }
    }
}
