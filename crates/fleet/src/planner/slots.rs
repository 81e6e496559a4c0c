//! Brings each slot to exactly one process, which runs the right generation.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Planner;
use super::action::{Action, PlannerEvent, ProcessFailure, Subject};
use super::commands::Command;
use super::facts::{DesiredState, Generation, ObservedProcess};

/// The number of operations that may still be begun in one call.
struct Budget {
    /// Processes that may be started.
    starts: usize,
    /// Slots that may change their process or configuration.
    updates: usize,
}

/// The state that a slot should reach.
enum SlotGoal {
    /// One process serves and runs this generation.
    Run(Generation),
    /// No process runs.
    Stop,
    /// The slot is left as it is: only the target can configure it, and the rollout has not reached
    /// it yet.
    Wait,
}

impl Planner {
    /// Reconciles all slots.
    pub(super) fn reconcile_slots(
        &mut self,
        now: Duration,
        desired: &DesiredState,
        processes: &[ObservedProcess],
        actions: &mut Vec<Action>,
    ) {
        let mut by_slot: BTreeMap<&str, Vec<&ObservedProcess>> = BTreeMap::new();
        for slot in desired.slots.iter().chain(&desired.removed_slots) {
            by_slot.entry(slot).or_default();
        }
        for process in processes {
            by_slot.entry(&process.slot).or_default().push(process);
        }
        let mut budget = self.remaining_budget(desired, &by_slot);
        for (slot, processes) in by_slot {
            self.reconcile_slot(now, desired, slot, &processes, &mut budget, actions);
        }
    }

    /// Returns the limits of the policy less the operations that are in progress.
    fn remaining_budget(
        &self,
        desired: &DesiredState,
        by_slot: &BTreeMap<&str, Vec<&ObservedProcess>>,
    ) -> Budget {
        let (mut starting, mut updating) = (0, 0);
        for (slot, processes) in by_slot {
            let serving: Vec<_> =
                processes.iter().filter(|process| self.is_serving(process)).collect();
            starting += serving.iter().filter(|process| !process.ready).count();
            let reloading = serving.iter().any(|process| self.issued(process).is_some());
            let none_ready = !serving.iter().any(|process| process.ready);
            let can_serve = desired.slots.contains(*slot) && !desired.blocked_slots.contains(*slot);
            let is_updating = serving.len() > 1 || reloading || (can_serve && none_ready);
            updating += usize::from(is_updating);
        }
        Budget {
            starts: self.policy.max_concurrent_starts.saturating_sub(starting),
            updates: self.update_limit(desired).saturating_sub(updating),
        }
    }

    fn reconcile_slot(
        &mut self,
        now: Duration,
        desired: &DesiredState,
        slot: &str,
        processes: &[&ObservedProcess],
        budget: &mut Budget,
        actions: &mut Vec<Action>,
    ) {
        let (serving, ending): (Vec<&ObservedProcess>, Vec<&ObservedProcess>) =
            processes.iter().partition(|process| self.is_serving(process));
        for process in ending {
            self.drain(now, process, actions);
        }
        let serving = self.kill_failed(now, serving, actions);
        if serving.iter().any(|process| self.awaits_report(now, process)) {
            return;
        }
        match self.slot_goal(desired, slot, &serving) {
            SlotGoal::Run(generation) if serving.is_empty() => {
                // A killed process may not have exited yet, and two processes would serve the slot.
                let is_dying = |process: &&ObservedProcess| {
                    self.issued(process).is_some_and(|issued| issued.command == Command::Kill)
                };
                if !processes.iter().any(is_dying) && self.can_start(now, desired, slot, budget) {
                    budget.starts -= 1;
                    actions.push(Action::Start { slot: slot.to_owned(), generation });
                }
            }
            SlotGoal::Run(generation) => {
                self.converge(now, desired, serving, generation, budget, actions);
            }
            SlotGoal::Stop => {
                for process in serving {
                    self.issue(now, process, Command::Stop, actions);
                }
            }
            SlotGoal::Wait => {}
        }
    }

    /// Kills the processes that hang or did not become ready in time, and returns the others.
    fn kill_failed<'a>(
        &mut self,
        now: Duration,
        mut serving: Vec<&'a ObservedProcess>,
        actions: &mut Vec<Action>,
    ) -> Vec<&'a ObservedProcess> {
        serving.retain(|process| {
            let Some(failure) = self.failure_of(now, process) else { return true };
            actions.push(Action::Record {
                subject: Subject::Slot(process.slot.clone()),
                event: PlannerEvent::ProcessKilled(failure.clone()),
            });
            self.record_failure(now, &process.slot, process.generation, failure);
            self.issue(now, process, Command::Kill, actions);
            false
        });
        serving
    }

    /// Returns the failure of a process that still runs, or `None` if it is healthy.
    fn failure_of(&self, now: Duration, process: &ObservedProcess) -> Option<ProcessFailure> {
        if !process.ready {
            let since = process.started_at.max(self.observing_since);
            let overdue = now.saturating_sub(since) > self.policy.ready_timeout;
            return overdue.then_some(ProcessFailure::NotReadyInTime);
        }
        let silent_for = now.saturating_sub(process.last_report_at);
        if let Some(stall) = process.stall
            && silent_for > self.policy.stall_timeout
        {
            return Some(ProcessFailure::Stalled(stall));
        }
        let since = process.last_report_at.max(self.observing_since);
        let silent = now.saturating_sub(since) > self.policy.silence_timeout;
        silent.then_some(ProcessFailure::Silent)
    }

    fn slot_goal(
        &self,
        desired: &DesiredState,
        slot: &str,
        serving: &[&ObservedProcess],
    ) -> SlotGoal {
        let is_desired = desired.slots.contains(slot);
        let Some(rollout) = &self.rollout else {
            return if is_desired { SlotGoal::Run(desired.target) } else { SlotGoal::Stop };
        };
        let runs_target = serving
            .iter()
            .any(|process| process.generation == desired.target && !process.restart_requested);
        let gets_target = runs_target || rollout.includes(slot);
        match (is_desired, gets_target) {
            (true, true) => SlotGoal::Run(desired.target),
            (true, false) if desired.added_slots.contains(slot) => SlotGoal::Wait,
            (true, false) => SlotGoal::Run(desired.stable),
            (false, false) if desired.removed_slots.contains(slot) => SlotGoal::Run(desired.stable),
            (false, _) => SlotGoal::Stop,
        }
    }

    /// Whether the budget, the backoff and the blocked slots allow starting a process for a slot.
    fn can_start(
        &self,
        now: Duration,
        desired: &DesiredState,
        slot: &str,
        budget: &Budget,
    ) -> bool {
        budget.starts > 0
            && self.is_backoff_over(now, slot)
            && !desired.blocked_slots.contains(slot)
    }

    /// Brings a slot with at least one serving process to a single one that runs `generation`.
    fn converge(
        &mut self,
        now: Duration,
        desired: &DesiredState,
        mut serving: Vec<&ObservedProcess>,
        generation: Generation,
        budget: &mut Budget,
        actions: &mut Vec<Action>,
    ) {
        let is_current = |process: &ObservedProcess| {
            process.generation == generation && !process.restart_requested
        };
        // Keep a process that runs `generation` if there is one, then a ready one, then the oldest.
        serving.sort_by_key(|process| (!is_current(process), !process.ready, process.id));
        let Some((keep, others)) = serving.split_first() else { return };
        if is_current(keep) {
            self.clear_expired_command(now, keep);
            for other in others {
                if keep.ready {
                    self.replace(now, other, actions);
                } else if is_current(other) {
                    self.issue(now, other, Command::Kill, actions);
                }
            }
            return;
        }
        // No process runs `generation`. One serving process is enough until a successor does.
        for other in others {
            self.replace(now, other, actions);
        }
        if !keep.ready {
            self.issue(now, keep, Command::Kill, actions);
        } else if others.is_empty() {
            self.update(now, desired, keep, generation, budget, actions);
        }
    }

    /// Ends a process of a slot that another process serves: by a handover if it is ready, else by a
    /// kill.
    fn replace(&mut self, now: Duration, process: &ObservedProcess, actions: &mut Vec<Action>) {
        let command = if process.ready { Command::HandOver } else { Command::Kill };
        self.issue(now, process, command, actions);
    }

    /// Clears the last command of a process that already runs the right generation once the reload
    /// timeout has passed.
    fn clear_expired_command(&mut self, now: Duration, process: &ObservedProcess) {
        let timeout = self.policy.reload_timeout;
        let is_overdue = self
            .issued(process)
            .is_some_and(|issued| now.saturating_sub(issued.last_issued_at) > timeout);
        if is_overdue {
            self.issued.remove(&process.id);
        }
    }

    /// Brings a slot with one serving process to `generation`: by a reload if the process can apply
    /// it, else by starting a successor.
    fn update(
        &mut self,
        now: Duration,
        desired: &DesiredState,
        process: &ObservedProcess,
        generation: Generation,
        budget: &mut Budget,
        actions: &mut Vec<Action>,
    ) {
        let issued = self.issued(process);
        // A slot whose process was given a command already counts as updating in the budget.
        let already_counted = issued.is_some();
        if !already_counted && budget.updates == 0 {
            return;
        }
        let timeout = self.policy.reload_timeout;
        let reload_overdue = issued.is_some_and(|issued| {
            issued.command == Command::Reload(generation)
                && now.saturating_sub(issued.first_issued_at) > timeout
        });
        let rejected = process.rejected_generation == Some(generation) || reload_overdue;
        let same_program = process.program_id == desired.program_of(generation);
        if !process.restart_requested && !rejected && same_program {
            budget.updates -= usize::from(!already_counted);
            self.issue(now, process, Command::Reload(generation), actions);
            return;
        }
        if self.can_start(now, desired, &process.slot, budget) {
            budget.updates -= usize::from(!already_counted);
            budget.starts -= 1;
            actions.push(Action::Start { slot: process.slot.clone(), generation });
        }
    }
}
