//! Counts consecutive failures of each slot and delays its next start by a backoff.

use std::time::Duration;

use rand::Rng;

use super::action::{ProcessFailure, RollbackReason};
use super::facts::Generation;
use super::{FleetPolicy, Planner};

/// Limits the exponent of the backoff so that it does not overflow. At 2^20 even the smallest initial
/// backoff, 10 ms, is beyond the largest maximum, one hour.
const MAX_DOUBLINGS: u32 = 20;
/// The lower bound of the random factor, below 1, that each backoff is multiplied by. Jitter keeps
/// slots that failed together from starting together.
const MIN_JITTER: f64 = 0.5;

/// The consecutive failures of one slot.
#[derive(Clone, Debug, Default)]
pub(super) struct RestartBackoff {
    failures: u32,
    /// The earliest time of the next start, since the daemon's start.
    not_before: Duration,
    last_failure: Option<ProcessFailure>,
}

/// Whether a slot may be started, for the status that operators see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartState {
    /// It has reached the crash-loop threshold and is restarted at the maximum backoff.
    CrashLoop,
    /// It waits for its backoff to end.
    BackingOff,
    /// It may be started now.
    Ready,
}

/// The restart state of a slot, for the status that operators see.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotHealth {
    /// Whether it may be started.
    pub restart_state: RestartState,
    /// The number of consecutive failures.
    pub failures: u32,
    /// The last of these failures, or `None` if there are none.
    pub last_failure: Option<ProcessFailure>,
}

impl RestartBackoff {
    /// Counts a failure at `now`. The backoff is multiplied by `jitter`.
    fn record(
        &mut self,
        now: Duration,
        policy: &FleetPolicy,
        jitter: f64,
        failure: ProcessFailure,
    ) {
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + self.backoff(policy).min(policy.max_backoff).mul_f64(jitter);
        self.last_failure = Some(failure);
    }

    fn backoff(&self, policy: &FleetPolicy) -> Duration {
        if self.failures >= policy.crash_loop_threshold {
            return policy.max_backoff;
        }
        match self.failures {
            // A single crash after a long time of service is hardly a crash loop, and clients are
            // waiting: restart immediately.
            0 | 1 => Duration::ZERO,
            n => policy.initial_backoff.saturating_mul(1 << (n - 2).min(MAX_DOUBLINGS)),
        }
    }
}

impl Planner {
    /// Whether a slot has no backoff left to wait for.
    pub(super) fn is_backoff_over(&self, now: Duration, slot: &str) -> bool {
        self.backoffs.get(slot).is_none_or(|backoff| backoff.not_before <= now)
    }

    /// Returns the restart state of a slot.
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

    /// Resets a slot's failures, so that it is started without a backoff. Called when an operator restarts it.
    pub fn reset_failures(&mut self, slot: &str) {
        self.backoffs.remove(slot);
    }

    /// Counts a failure of a slot whose process could not be started.
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

    /// Counts a failure of a slot. If the process ran the target of the rollout, and the slot was not
    /// already failing before the rollout, the failure counts against the rollout, too.
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
            && !rollout.previously_failing.contains(slot)
        {
            rollout.failures += 1;
            let (slot, failure) = (slot.to_owned(), failure.clone());
            rollout.last_failure = Some(RollbackReason::ProcessFailed { slot, failure });
        }
        let backoff = self.backoffs.entry(slot.to_owned()).or_default();
        backoff.record(now, &self.policy, jitter, failure);
    }
}
