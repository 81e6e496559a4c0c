//! Carries out the actions of the planner.

use std::collections::BTreeSet;
use std::os::fd::OwnedFd;
use std::time::Duration;

use rustix::process::Signal;

use super::Daemon;
use super::error::InstanceError;
use super::event::FleetEvent;
use super::instance::{InstanceProcess, ProcessOrigin};
use crate::planner::{
    Action, DesiredState, Generation, ObservedProcess, ProcessId, RollbackReason, Subject,
};
use crate::process::{InstanceIdentity, Process, StartOptions};
use crate::state::Revision;

/// The time for which a slot stays blocked after its listener could not be bound.
const BIND_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl Daemon {
    /// Gets the next actions from the planner and carries them out.
    pub(super) fn reconcile(&mut self) {
        let now = self.now();
        self.blocked_slots
            .retain(|_, blocked| now.saturating_sub(blocked.since) < BIND_RETRY_INTERVAL);
        let desired = self.desired_state();
        let processes: Vec<ObservedProcess> =
            self.processes.iter().map(|(id, process)| process.observed(*id)).collect();
        for action in self.planner.reconcile(now, &desired, &processes) {
            self.carry_out(action);
        }
        self.close_unused_listeners(&desired);
    }

    /// Builds the desired state for the planner from the stored state.
    pub(super) fn desired_state(&self) -> DesiredState {
        let (target, stable) = (self.state.target, self.state.stable);
        let revision = |generation| self.state.revisions.get(&generation);
        let slots_of = |revision: &Revision| {
            let mut slots = revision.spec.slots(&revision.count_overrides);
            slots.retain(|slot| !self.state.drained_slots.contains(slot));
            slots
        };
        let slots = revision(target).map(slots_of).unwrap_or_default();
        let (mut added_slots, mut removed_slots) = (BTreeSet::new(), BTreeSet::new());
        if let (true, Some(stable)) = (target != stable, revision(stable)) {
            added_slots =
                slots.iter().filter(|slot| !stable.spec.has_slot(slot)).cloned().collect();
            removed_slots = slots_of(stable).difference(&slots).cloned().collect();
        }
        DesiredState {
            slots,
            added_slots,
            removed_slots,
            target,
            stable,
            target_program: revision(target).map_or(0, |revision| revision.program_id),
            stable_program: revision(stable).map_or(0, |revision| revision.program_id),
            blocked_slots: self.blocked_slots.keys().cloned().collect(),
            shutdown: self.shutdown,
        }
    }

    fn carry_out(&mut self, action: Action) {
        self.log_command(&action);
        match action {
            Action::Start { slot, generation } => self.start_or_record_failure(&slot, generation),
            Action::Reload { process, generation } => self.reload_process(process, generation),
            Action::HandOver { process } => self.signal(process, Signal::USR2),
            Action::Stop { process } => self.signal(process, Signal::TERM),
            Action::Kill { process } => self.signal(process, Signal::KILL),
            Action::CompleteRollout { generation } => {
                self.state.stable = generation;
                let subject = Subject::Generation(generation);
                self.record(&subject, &FleetEvent::RolloutCompleted);
                self.remove_unused_revisions();
                self.notify_supervisor("READY=1");
            }
            Action::RollBack { generation, reason } => self.undo_rollout(generation, reason),
            Action::Record { subject, event } => {
                self.record(&subject, &FleetEvent::Planner(event));
            }
        }
    }

    /// Makes the stable generation the target again.
    pub(super) fn undo_rollout(&mut self, generation: Generation, reason: RollbackReason) {
        self.state.target = self.state.stable;
        self.apply_policy();
        self.record(&Subject::Generation(generation), &FleetEvent::RolledBack(reason));
        self.remove_unused_revisions();
        self.notify_supervisor("READY=1");
    }

    /// Logs an action if it is a command to a process.
    fn log_command(&self, action: &Action) {
        if let Action::Reload { process, .. }
        | Action::HandOver { process }
        | Action::Stop { process }
        | Action::Kill { process } = action
            && let Some(target) = self.processes.get(process)
        {
            let (instance, pid) = (&target.identity.slot, target.process.pid);
            tracing::debug!(%instance, pid, ?action, "command issued");
        }
    }

    fn signal(&self, process: ProcessId, signal: Signal) {
        if let Some(target) = self.processes.get(&process) {
            target.process.signal(signal);
        }
    }

    fn reload_process(&mut self, process: ProcessId, generation: Generation) {
        let slot = self.processes.get(&process).map(|target| target.identity.slot.clone());
        let Some(slot) = slot else { return };
        match self.write_configuration(&slot, generation) {
            Ok(_) => self.signal(process, Signal::HUP),
            Err(error) => {
                tracing::warn!(generation, %error, "failed to reload instance");
                self.fault = Some(error.to_string());
            }
        }
    }

    fn start_or_record_failure(&mut self, slot: &str, generation: Generation) {
        if let Err(error) = self.start(slot, generation) {
            tracing::warn!(instance = slot, generation, %error, "failed to start instance");
            let now = self.now();
            self.planner.record_start_failure(now, slot, generation, &error.to_string());
        }
    }

    fn start(&mut self, slot: &str, generation: Generation) -> Result<(), InstanceError> {
        let revision = self.state.revisions.get(&generation);
        let program_id = revision.ok_or(InstanceError::UnknownGeneration)?.program_id;
        let configuration = self.write_configuration(slot, generation)?;
        let listener = self
            .listeners
            .values()
            .find(|listener| listener.slot == slot && listener.requested == configuration.requested)
            .ok_or(InstanceError::NoListener)?;
        let listener = listener.socket.try_clone().map_err(InstanceError::Start)?;
        let identity = InstanceIdentity { slot: slot.to_owned(), generation, program_id };
        let process = Process::start(StartOptions {
            state_directory: self.directory.path(),
            identity: identity.clone(),
            program: &self.directory.program(program_id),
            configuration: &configuration.path,
            status_socket: &self.directory.file(super::STATUS_SOCKET_NAME),
            listener: OwnedFd::from(listener),
            log_environment: &self.log_environment,
        });
        let process = process.map_err(InstanceError::Start)?;
        tracing::info!(instance = slot, generation, pid = process.pid, "instance started");
        self.add_process(identity, process, ProcessOrigin::Started);
        Ok(())
    }

    /// Adds a process that was started or adopted to the known processes.
    pub(super) fn add_process(
        &mut self,
        identity: InstanceIdentity,
        process: Process,
        origin: ProcessOrigin,
    ) {
        self.last_process_id += 1;
        let id = ProcessId(self.last_process_id);
        let process = InstanceProcess::new(identity, process, self.now(), origin);
        self.processes.insert(id, process);
    }
}
