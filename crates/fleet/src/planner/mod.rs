//! Decides the next steps towards the desired state. The planner is a state machine: it takes the time,
//! the observed processes and the desired state, and returns actions. It does no I/O and reads no
//! clock.
//!
//! Every call of [`Planner::reconcile`] compares the observed processes with the desired state and
//! returns the next steps. A step that failed, a lost signal and a restart of the daemon therefore need
//! no handling of their own: the observed state still differs from the desired one. Between calls the
//! planner remembers only what cannot be observed: which command each process was given and when, how
//! often each slot failed, and how far a rollout has come. All of it may be lost at any time.
//!
//! A *slot* is the place of one named instance. At most one process serves it, except during a
//! handover. A *generation* is the number of a revision: a configuration and a program for all
//! instances.

mod action;
mod backoff;
mod canary;
mod commands;
mod facts;
mod observe;
mod policy;
mod rollout;
mod slots;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use action::{Action, PlannerEvent, ProcessFailure, RollbackReason, Subject};
pub use backoff::{RestartState, SlotHealth};
pub use canary::CanaryRegression;
pub use facts::{
    DesiredState, Generation, ObservedProcess, ProcessId, ProgramId, RequestTotals, Shutdown,
};
pub use policy::FleetPolicy;
pub use rollout::RolloutProgress;

use backoff::RestartBackoff;
use commands::{Command, IssuedCommand};
use observe::KnownProcess;
use rollout::Rollout;

/// The time that a process gets to exit in an immediate shutdown before it is killed.
const IMMEDIATE_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Decides the next steps towards the desired state of a fleet.
#[derive(Clone, Debug)]
pub struct Planner {
    policy: FleetPolicy,
    rng: SmallRng,
    backoffs: BTreeMap<String, RestartBackoff>,
    issued: BTreeMap<ProcessId, IssuedCommand>,
    known: BTreeMap<ProcessId, KnownProcess>,
    rollout: Option<Rollout>,
    last_reconciled_at: Duration,
    /// The end of the last long gap between two calls, since the daemon's start. Timeouts of silence
    /// start no earlier.
    observing_since: Duration,
}

impl Planner {
    /// Creates a planner without any history. `seed` seeds the jitter of backoffs.
    pub fn new(policy: FleetPolicy, seed: u64) -> Planner {
        Planner {
            policy,
            rng: SmallRng::seed_from_u64(seed),
            backoffs: BTreeMap::new(),
            issued: BTreeMap::new(),
            known: BTreeMap::new(),
            rollout: None,
            last_reconciled_at: Duration::ZERO,
            observing_since: Duration::ZERO,
        }
    }

    /// Replaces the limits and timeouts. They apply from the next call of [`Planner::reconcile`].
    pub fn set_policy(&mut self, policy: FleetPolicy) {
        self.policy = policy;
    }

    /// Returns the next steps at `now`, the time since the daemon's start. The caller carries them out
    /// in order before the next call.
    pub fn reconcile(
        &mut self,
        now: Duration,
        desired: &DesiredState,
        processes: &[ObservedProcess],
    ) -> Vec<Action> {
        self.detect_gap(now);
        let mut actions = Vec::new();
        self.observe(now, desired, processes, &mut actions);
        if let Some(shutdown) = desired.shutdown {
            self.shut_down(now, shutdown, processes, &mut actions);
            return actions;
        }
        if let Err(reason) = self.advance_rollout(now, desired, processes, &mut actions) {
            self.rollout = None;
            actions.push(Action::RollBack { generation: desired.target, reason });
            return actions;
        }
        if desired.target == desired.stable || self.rollout.is_some() {
            self.reconcile_slots(now, desired, processes, &mut actions);
        }
        actions
    }

    /// Detects a long gap between two calls: the daemon was suspended, or its clock jumped. It read no
    /// reports during the gap, so the silence of processes is measured from its end; otherwise all of
    /// them would be killed immediately.
    fn detect_gap(&mut self, now: Duration) {
        if now.saturating_sub(self.last_reconciled_at) > self.policy.silence_timeout / 2 {
            self.observing_since = now;
        }
        self.last_reconciled_at = now;
    }

    fn shut_down(
        &mut self,
        now: Duration,
        shutdown: Shutdown,
        processes: &[ObservedProcess],
        actions: &mut Vec<Action>,
    ) {
        self.rollout = None;
        let timeout = match shutdown {
            Shutdown::Graceful => self.policy.drain_timeout,
            Shutdown::Immediate => IMMEDIATE_DRAIN_TIMEOUT,
        };
        for process in processes {
            let is_overdue = self.issued(process).is_some_and(|issued| {
                matches!(issued.command, Command::Stop | Command::Kill)
                    && now.saturating_sub(issued.first_issued_at) >= timeout
            });
            let command = if is_overdue { Command::Kill } else { Command::Stop };
            self.issue(now, process, command, actions);
        }
    }

    /// Returns the number of slots that may change their process or configuration at the same time.
    fn update_limit(&self, desired: &DesiredState) -> usize {
        let share = desired.slots.len() as f64 * self.policy.max_updating_share;
        (share.ceil() as usize).max(1)
    }

    /// Whether a process was adopted and may still send its first report within the ready timeout.
    fn awaits_report(&self, now: Duration, process: &ObservedProcess) -> bool {
        process.awaiting_report
            && now.saturating_sub(process.started_at) <= self.policy.ready_timeout
    }
}
