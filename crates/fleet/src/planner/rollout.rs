//! Rolls a new generation out to a few canaries first and then to the other slots, or rolls it back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Planner;
use super::action::{Action, PlannerEvent, RollbackReason, Subject};
use super::canary::CanaryComparison;
use super::facts::{DesiredState, Generation, ObservedProcess, ProcessId, RequestTotals};
use super::policy::FleetPolicy;

/// The lower bound of the number of failures that a rollout tolerates once the canaries have passed.
/// While they are observed, it tolerates none.
const MIN_TOLERATED_FAILURES: usize = 2;

/// A rollout in progress.
#[derive(Clone, Debug)]
pub(super) struct Rollout {
    pub(super) target: Generation,
    stable: Generation,
    started_at: Duration,
    pub(super) canaries: BTreeSet<String>,
    phase: RolloutPhase,
    /// The number of failures of processes that ran the target.
    pub(super) failures: usize,
    /// The last of these failures.
    pub(super) last_failure: Option<RollbackReason>,
    /// Slots that were failing before the rollout began. Their failures do not count against the
    /// target, and the rollout completes without them.
    pub(super) previously_failing: BTreeSet<String>,
}

#[derive(Clone, Debug)]
enum RolloutPhase {
    /// Some canaries do not serve the target yet.
    StartingCanaries,
    /// All canaries serve the target, and their requests are compared with those of the others.
    ObservingCanaries {
        /// The start of the observation, since the daemon's start.
        since: Duration,
        /// The requests that each process had answered when the observation began.
        baseline: BTreeMap<ProcessId, RequestTotals>,
    },
    /// The canaries have passed, and the other slots get the target.
    Waves,
}

/// The progress of a rollout, for the status that operators see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// The generation that is rolled out.
    pub target: Generation,
    /// The slots that got the generation first.
    pub canaries: Vec<String>,
    /// Whether the canaries have passed and the other slots follow.
    pub waves: bool,
}

impl Rollout {
    /// Whether the canaries have passed, and the other slots follow.
    pub(super) fn in_waves(&self) -> bool {
        matches!(self.phase, RolloutPhase::Waves)
    }

    /// Whether a slot may run the target in the present phase.
    pub(super) fn includes(&self, slot: &str) -> bool {
        self.in_waves() || self.canaries.contains(slot)
    }

    fn tolerated_failures(&self, update_limit: usize) -> usize {
        if self.in_waves() { update_limit.max(MIN_TOLERATED_FAILURES) } else { 0 }
    }

    /// Begins to observe the canaries once all of them serve the target. Fails if that takes longer
    /// than the ready and reload timeouts together.
    fn start_canaries(
        &mut self,
        now: Duration,
        serving: &BTreeSet<&str>,
        processes: &[ObservedProcess],
        policy: &FleetPolicy,
    ) -> Result<(), RollbackReason> {
        if self.canaries.iter().all(|slot| serving.contains(slot.as_str())) {
            let baseline = processes.iter().map(|process| (process.id, process.requests));
            self.phase =
                RolloutPhase::ObservingCanaries { since: now, baseline: baseline.collect() };
            return Ok(());
        }
        let timeout = policy.ready_timeout + policy.reload_timeout;
        if now.saturating_sub(self.started_at) > timeout {
            let canaries = self.canaries.iter().cloned().collect();
            return Err(RollbackReason::CanaryNotReady { canaries });
        }
        Ok(())
    }

    /// Enters the waves once the canaries have been observed for long enough. Fails if they regress
    /// relative to the other instances.
    fn evaluate_canaries(
        &mut self,
        now: Duration,
        since: Duration,
        comparison: &CanaryComparison,
        policy: &FleetPolicy,
        actions: &mut Vec<Action>,
    ) -> Result<(), RollbackReason> {
        if let Some(regression) = comparison.regression(policy) {
            return Err(RollbackReason::CanaryRegressed(regression));
        }
        if now.saturating_sub(since) >= comparison.observation_period(policy) {
            self.phase = RolloutPhase::Waves;
            let RequestTotals { total, failed, rejected } = comparison.canary;
            actions.push(Action::Record {
                subject: Subject::Generation(self.target),
                event: PlannerEvent::CanaryPassed { failed, rejected, total },
            });
        }
        Ok(())
    }
}

impl Planner {
    /// Returns the progress of the current rollout, or `None` if there is none.
    pub fn rollout_progress(&self) -> Option<RolloutProgress> {
        self.rollout.as_ref().map(|rollout| RolloutProgress {
            target: rollout.target,
            canaries: rollout.canaries.iter().cloned().collect(),
            waves: rollout.in_waves(),
        })
    }

    /// Advances the rollout by one step. Fails with the reason if it has to be rolled back.
    pub(super) fn advance_rollout(
        &mut self,
        now: Duration,
        desired: &DesiredState,
        processes: &[ObservedProcess],
        actions: &mut Vec<Action>,
    ) -> Result<(), RollbackReason> {
        if !self.ensure_rollout(now, desired, processes) {
            return Ok(());
        }
        let update_limit = self.update_limit(desired);
        let serving = self.slots_serving_target(desired, processes);
        let Some(rollout) = &self.rollout else { return Ok(()) };
        if rollout.failures > rollout.tolerated_failures(update_limit)
            && let Some(reason) = &rollout.last_failure
        {
            return Err(reason.clone());
        }
        if rollout.in_waves() {
            if self.rollout_is_complete(rollout, desired, processes, &serving) {
                actions.push(Action::CompleteRollout { generation: desired.target });
            }
            return Ok(());
        }
        self.advance_canaries(now, desired, processes, &serving, actions)
    }

    /// Begins a rollout if the target differs from the stable generation and none is in progress for
    /// them. Returns whether a rollout is in progress.
    fn ensure_rollout(
        &mut self,
        now: Duration,
        desired: &DesiredState,
        processes: &[ObservedProcess],
    ) -> bool {
        if desired.target == desired.stable {
            self.rollout = None;
            return false;
        }
        // The generation of an adopted process is known only once it reports. Until then it would be
        // taken for the one that the process was started with, and canaries would be chosen by it.
        let awaits_reports = processes.iter().any(|process| self.awaits_report(now, process));
        if self.rollout.is_none() && awaits_reports {
            return false;
        }
        let is_current = |rollout: &Rollout| {
            rollout.target == desired.target && rollout.stable == desired.stable
        };
        if !self.rollout.as_ref().is_some_and(is_current) {
            self.rollout = Some(Rollout {
                target: desired.target,
                stable: desired.stable,
                started_at: now,
                canaries: self.choose_canaries(desired, processes),
                phase: RolloutPhase::StartingCanaries,
                failures: 0,
                last_failure: None,
                previously_failing: self.backoffs.keys().cloned().collect(),
            });
        }
        true
    }

    fn slots_serving_target<'a>(
        &self,
        desired: &DesiredState,
        processes: &'a [ObservedProcess],
    ) -> BTreeSet<&'a str> {
        let serves_target = |process: &&ObservedProcess| {
            process.generation == desired.target
                && !process.restart_requested
                && process.ready
                && self.is_serving(process)
        };
        processes.iter().filter(serves_target).map(|process| process.slot.as_str()).collect()
    }

    /// Whether all slots that can be served run the target, and no other generation keeps serving.
    /// Blocked slots and those that were failing before the rollout are left out.
    fn rollout_is_complete(
        &self,
        rollout: &Rollout,
        desired: &DesiredState,
        processes: &[ObservedProcess],
        serving: &BTreeSet<&str>,
    ) -> bool {
        let is_done = |slot: &String| {
            serving.contains(slot.as_str())
                || desired.blocked_slots.contains(slot)
                || rollout.previously_failing.contains(slot)
        };
        let only_target = processes
            .iter()
            .filter(|process| self.is_serving(process))
            .all(|process| process.generation == desired.target);
        // Unless at least one slot serves the target, nothing shows yet that it works.
        let is_proven = desired.slots.is_empty()
            || desired.slots.iter().any(|slot| serving.contains(slot.as_str()));
        desired.slots.iter().all(is_done) && only_target && is_proven
    }

    fn advance_canaries(
        &mut self,
        now: Duration,
        desired: &DesiredState,
        processes: &[ObservedProcess],
        serving: &BTreeSet<&str>,
        actions: &mut Vec<Action>,
    ) -> Result<(), RollbackReason> {
        let Some(rollout) = &mut self.rollout else { return Ok(()) };
        if desired.slots.is_empty() {
            rollout.phase = RolloutPhase::Waves;
            return Ok(());
        }
        if rollout.canaries.is_empty() {
            // No slot could be started when the canaries were chosen: the next call chooses again.
            self.rollout = None;
            return Ok(());
        }
        match &rollout.phase {
            RolloutPhase::StartingCanaries => {
                rollout.start_canaries(now, serving, processes, &self.policy)
            }
            RolloutPhase::ObservingCanaries { since, baseline } => {
                let since = *since;
                let comparison =
                    CanaryComparison::measure(&rollout.canaries, baseline, desired, processes);
                rollout.evaluate_canaries(now, since, &comparison, &self.policy, actions)
            }
            RolloutPhase::Waves => Ok(()),
        }
    }

    /// Chooses the slots that get the target first. Slots that already run it are preferred, then
    /// slots with a ready process, then any that can be started.
    fn choose_canaries(
        &self,
        desired: &DesiredState,
        processes: &[ObservedProcess],
    ) -> BTreeSet<String> {
        let rank = |slot: &String| {
            let serving = || {
                processes.iter().filter(|process| process.slot == *slot && self.is_serving(process))
            };
            if serving().any(|process| process.generation == desired.target) {
                0
            } else if serving().any(|process| process.ready) {
                1
            } else {
                2
            }
        };
        let startable = desired.slots.iter().filter(|slot| !desired.blocked_slots.contains(*slot));
        let mut startable: Vec<&String> = startable.collect();
        startable.sort_by_key(|slot| rank(slot));
        startable.into_iter().take(self.policy.canary_count.max(1)).cloned().collect()
    }
}
