//! Brings a new generation to a few canaries first, then to the other slots, or undoes it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Planner;
use super::action::{Action, PlannerEvent, RollbackReason, Subject};
use super::canary::CanaryComparison;
use super::facts::{DesiredState, Generation, ObservedProcess, ProcessId, RequestTotals};
use super::policy::FleetPolicy;

/// After the canaries have passed, at least so many processes of the target may fail before the
/// rollout is undone.
const MIN_TOLERATED_FAILURES: usize = 2;

/// A rollout that runs.
#[derive(Clone, Debug)]
pub(super) struct Rollout {
    pub(super) target: Generation,
    stable: Generation,
    started_at: Duration,
    pub(super) canaries: BTreeSet<String>,
    phase: RolloutPhase,
    /// Failures of processes that ran the target.
    pub(super) failures: usize,
    /// The last of them.
    pub(super) last_failure: Option<RollbackReason>,
    /// Slots that failed before the rollout began: they say nothing of the target.
    pub(super) failing_before: BTreeSet<String>,
}

#[derive(Clone, Debug)]
enum RolloutPhase {
    /// Not all canaries serve the target yet.
    StartingCanaries,
    /// All canaries have served the target since then.
    ObservingCanaries {
        since: Duration,
        /// What each process had answered when the observation began.
        baseline: BTreeMap<ProcessId, RequestTotals>,
    },
    /// The other slots follow.
    Waves,
}

/// How far a rollout is, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// The generation that it leads to.
    pub target: Generation,
    /// The slots that got it first.
    pub canaries: Vec<String>,
    /// The canaries have passed, and the other slots follow.
    pub waves: bool,
}

impl Rollout {
    /// Whether the canaries have passed.
    pub(super) fn in_waves(&self) -> bool {
        matches!(self.phase, RolloutPhase::Waves)
    }

    /// Whether a slot may get the target by now.
    pub(super) fn includes(&self, slot: &str) -> bool {
        self.in_waves() || self.canaries.contains(slot)
    }

    fn tolerated_failures(&self, move_limit: usize) -> usize {
        if self.in_waves() { move_limit.max(MIN_TOLERATED_FAILURES) } else { 0 }
    }

    /// Begins to observe the canaries once all serve the target; an error if that takes too long.
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

    /// Lets the other slots follow once the canaries were observed for long enough; an error if
    /// they are worse than the rest.
    fn judge_canaries(
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
    /// How far the rollout is that runs, if one does.
    pub fn rollout_progress(&self) -> Option<RolloutProgress> {
        self.rollout.as_ref().map(|rollout| RolloutProgress {
            target: rollout.target,
            canaries: rollout.canaries.iter().cloned().collect(),
            waves: rollout.in_waves(),
        })
    }

    /// Brings the rollout one step further; an error if its target is not good.
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
        let move_limit = self.move_limit(desired);
        let serving = self.slots_serving_target(desired, processes);
        let Some(rollout) = &self.rollout else { return Ok(()) };
        if rollout.failures > rollout.tolerated_failures(move_limit)
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

    /// Begins a rollout where target and stable generation differ; whether one runs.
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
        // What an adopted process runs is known only once it reports. Before, all would seem to
        // run what they were started with.
        let unknown = processes.iter().any(|process| self.awaits_report(now, process));
        if self.rollout.is_none() && unknown {
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
                failing_before: self.backoffs.keys().cloned().collect(),
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

    /// Whether all slots that can serve do so on the target, and nothing else goes on serving.
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
                || rollout.failing_before.contains(slot)
        };
        let only_target = processes
            .iter()
            .filter(|process| self.is_serving(process))
            .all(|process| process.generation == desired.target);
        // Where no slot can serve, nothing speaks for the target yet.
        let is_shown = desired.slots.is_empty()
            || desired.slots.iter().any(|slot| serving.contains(slot.as_str()));
        desired.slots.iter().all(is_done) && only_target && is_shown
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
            // None can be started: the next call chooses again.
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
                rollout.judge_canaries(now, since, &comparison, &self.policy, actions)
            }
            RolloutPhase::Waves => Ok(()),
        }
    }

    /// The slots that get the target first: those that run it already, then those that are ready,
    /// then any that can be started.
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
