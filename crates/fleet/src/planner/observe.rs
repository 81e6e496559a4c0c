//! Tracks processes between calls: which are new, have become ready, or are gone.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Planner;
use super::action::{Action, PlannerEvent, ProcessFailure, Subject};
use super::commands::Command;
use super::facts::{DesiredState, Generation, ObservedProcess, ProcessId};

/// The last known state of a process, which is needed once it is gone.
#[derive(Clone, Debug)]
pub(super) struct KnownProcess {
    slot: String,
    generation: Generation,
    ready_since: Option<Duration>,
}

impl Planner {
    /// Updates the known processes, and records an event and a failure for each that has exited
    /// unexpectedly since the last call.
    pub(super) fn observe(
        &mut self,
        now: Duration,
        desired: &DesiredState,
        processes: &[ObservedProcess],
        actions: &mut Vec<Action>,
    ) {
        let present: BTreeSet<ProcessId> = processes.iter().map(|process| process.id).collect();
        let known = self.known.keys().copied();
        let gone: Vec<ProcessId> = known.filter(|id| !present.contains(id)).collect();
        for id in gone {
            self.observe_end(now, desired, id, actions);
        }
        for process in processes {
            self.observe_process(now, process);
        }
        let is_managed =
            |slot: &String| desired.slots.contains(slot) || desired.removed_slots.contains(slot);
        self.backoffs.retain(|slot, _| is_managed(slot));
    }

    /// Counts a failure for a process that is gone, unless it was told to exit.
    fn observe_end(
        &mut self,
        now: Duration,
        desired: &DesiredState,
        id: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        let issued = self.issued.remove(&id);
        let Some(process) = self.known.remove(&id) else { return };
        let told_to_end = issued.is_some_and(|issued| issued.command.ends_process());
        if told_to_end || desired.shutdown.is_some() {
            return;
        }
        let ready_for = process.ready_since.map(|since| now.saturating_sub(since));
        if ready_for.is_some_and(|ready_for| ready_for >= self.policy.stable_after) {
            self.backoffs.remove(&process.slot);
        }
        let failure = match ready_for {
            Some(ready_for) => ProcessFailure::EndedAfterReady { ready_for },
            None => ProcessFailure::EndedBeforeReady,
        };
        actions.push(Action::Record {
            subject: Subject::Slot(process.slot.clone()),
            event: PlannerEvent::ProcessEnded(failure.clone()),
        });
        self.record_failure(now, &process.slot, process.generation, failure);
    }

    /// Updates the known generation of a process and the time for which it has been ready. Clears a
    /// reload command that it has carried out, and the failures of its slot once it is stable.
    fn observe_process(&mut self, now: Duration, process: &ObservedProcess) {
        let known = self.known.entry(process.id).or_insert_with(|| KnownProcess {
            slot: process.slot.clone(),
            generation: process.generation,
            ready_since: None,
        });
        known.generation = process.generation;
        let reloaded = Command::Reload(process.generation);
        if self.issued.get(&process.id).is_some_and(|issued| issued.command == reloaded) {
            self.issued.remove(&process.id);
        }
        if process.ready {
            let since = *known.ready_since.get_or_insert(now);
            if now.saturating_sub(since) >= self.policy.stable_after {
                self.backoffs.remove(&process.slot);
            }
        }
    }
}
