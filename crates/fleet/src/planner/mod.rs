//! Decides the next steps towards the desired state. Facts and time go in, actions come out; nothing
//! here does I/O or reads a clock.
//!
//! Every call compares the observed processes with the desired state and names the next steps, so a
//! step that failed, a lost signal and a daemon that died are one case: the facts still differ. What
//! is remembered between calls is what the facts cannot tell: which command each process was given
//! and when, how often a slot failed, and how far a rollout is. All of it may be lost at any time.
//!
//! A *slot* is one instance by name; at most one process serves it, except during a handover. A
//! *generation* numbers what the instances are to run: configuration and program.

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

/// In an immediate shutdown, a process that has not ended after this is killed.
const IMMEDIATE_DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Decides the next steps towards the desired state.
#[derive(Clone, Debug)]
pub struct Planner {
    policy: FleetPolicy,
    rng: SmallRng,
    backoffs: BTreeMap<String, RestartBackoff>,
    issued: BTreeMap<ProcessId, IssuedCommand>,
    known: BTreeMap<ProcessId, KnownProcess>,
    rollout: Option<Rollout>,
    last_reconciled_at: Duration,
    /// Since when there was no long gap between two calls.
    observing_since: Duration,
}

impl Planner {
    /// A planner that remembers nothing. `seed` is for the jitter of backoffs.
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

    /// Replaces the limits and timeouts from the next call on.
    pub fn set_policy(&mut self, policy: FleetPolicy) {
        self.policy = policy;
    }

    /// The next steps at `now`, by the daemon's clock. They are to be carried out in order, before
    /// the next call.
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

    /// A daemon that was stopped for a while, or whose clock jumped, has read no reports meanwhile.
    /// Silence counts from where it observes again, or it would kill all processes at once.
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

    /// How many slots may change their process or configuration at once.
    fn move_limit(&self, desired: &DesiredState) -> usize {
        let share = desired.slots.len() as f64 * self.policy.max_moving_share;
        (share.ceil() as usize).max(1)
    }

    /// Whether a process was adopted and may yet report what it runs.
    fn awaits_report(&self, now: Duration, process: &ObservedProcess) -> bool {
        process.awaiting_report
            && now.saturating_sub(process.started_at) <= self.policy.ready_timeout
    }
}
