//! Failures in a row of each slot, and the backoff before its next start.

use std::time::Duration;

use rand::Rng;

use super::action::{ProcessFailure, RollbackReason};
use super::facts::Generation;
use super::{FleetPolicy, Planner};

/// Beyond so many doublings the backoff does not grow: it would exceed any longest one.
const MAX_DOUBLINGS: u32 = 20;
/// Each backoff is shortened to a random part of it from this share on, so that slots that failed
/// together do not start together.
const MIN_JITTER: f64 = 0.5;

/// The failures in a row of one slot.
#[derive(Clone, Debug, Default)]
pub(super) struct RestartBackoff {
    failures: u32,
    /// The slot is not started before, by the daemon's clock.
    not_before: Duration,
    last_failure: Option<ProcessFailure>,
}

/// Whether a slot may be started, as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartState {
    /// It failed too often in a row and is started at the longest backoff.
    CrashLoop,
    /// It waits for its backoff to end.
    BackingOff,
    /// It may be started at once.
    Ready,
}

/// The restarts of a slot, as operators see them.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotHealth {
    /// Whether it may be started.
    pub restart_state: RestartState,
    /// Failures in a row.
    pub failures: u32,
    /// The last of them.
    pub last_failure: Option<ProcessFailure>,
}

impl RestartBackoff {
    /// Counts one more failure at `now`. `jitter` is the part of the backoff that is waited for.
    fn record(&mut self, now: Duration, policy: &FleetPolicy, jitter: f64, why: ProcessFailure) {
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + self.backoff(policy).min(policy.max_backoff).mul_f64(jitter);
        self.last_failure = Some(why);
    }

    fn backoff(&self, policy: &FleetPolicy) -> Duration {
        if self.failures >= policy.crash_loop_threshold {
            return policy.max_backoff;
        }
        match self.failures {
            // A process that ends once after it has served for long is most likely in no crash
            // loop, and its clients wait.
            0 | 1 => Duration::ZERO,
            n => policy.initial_backoff.saturating_mul(1 << (n - 2).min(MAX_DOUBLINGS)),
        }
    }
}

impl Planner {
    /// Whether a slot's backoff is over.
    pub(super) fn backoff_is_over(&self, now: Duration, slot: &str) -> bool {
        self.backoffs.get(slot).is_none_or(|backoff| backoff.not_before <= now)
    }

    /// The restarts of a slot.
    pub fn slot_health(&self, now: Duration, slot: &str) -> SlotHealth {
        let Some(backoff) = self.backoffs.get(slot) else {
            return SlotHealth {
                restart_state: RestartState::Ready,
                failures: 0,
                last_failure: None,
            };
        };
        let restart_state = if backoff.failures >= self.policy.crash_loop_threshold {
            RestartState::CrashLoop
        } else if backoff.not_before > now {
            RestartState::BackingOff
        } else {
            RestartState::Ready
        };
        let last_failure = backoff.last_failure.clone();
        SlotHealth { restart_state, failures: backoff.failures, last_failure }
    }

    /// Forgets a slot's failures: an operator asked for another attempt.
    pub fn reset_failures(&mut self, slot: &str) {
        self.backoffs.remove(slot);
    }

    /// Counts a start that did not lead to a process.
    pub fn record_start_failure(
        &mut self,
        now: Duration,
        slot: &str,
        generation: Generation,
        reason: &str,
    ) {
        let failure = ProcessFailure::NotStarted(reason.to_owned());
        self.record_failure(now, slot, generation, failure);
    }

    /// Counts a failure of a slot, and against the rollout if the process ran its target.
    pub(super) fn record_failure(
        &mut self,
        now: Duration,
        slot: &str,
        generation: Generation,
        failure: ProcessFailure,
    ) {
        let jitter = self.rng.random_range(MIN_JITTER..1.0);
        if let Some(rollout) = &mut self.rollout
            && rollout.target == generation
            && !rollout.failing_before.contains(slot)
        {
            rollout.failures += 1;
            let (slot, failure) = (slot.to_owned(), failure.clone());
            rollout.last_failure = Some(RollbackReason::ProcessFailed { slot, failure });
        }
        let backoff = self.backoffs.entry(slot.to_owned()).or_default();
        backoff.record(now, &self.policy, jitter, failure);
    }
}
