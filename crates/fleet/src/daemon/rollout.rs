//! New revisions: they are read, checked by the program that would run them, rolled out and rolled
//! back.

use std::path::{Path, PathBuf};

use super::Daemon;
use super::event::FleetEvent;
use crate::check::{CheckError, CheckFiles};
use crate::control::{Reply, RequestError, Response};
use crate::planner::{Generation, ProgramId, RollbackReason, Subject};
use crate::spec::Spec;
use crate::state::Revision;

/// The source of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The desired state in `fleet.toml`.
    File,
    /// The desired state of the target, with another program.
    Upgrade,
}

/// A desired state and program that become the target if a check accepts them.
pub(super) struct Candidate {
    spec: Spec,
    program_id: ProgramId,
    source: Source,
}

/// The outcome of the check of a candidate.
pub(super) struct CheckOutcome {
    candidate: Candidate,
    result: Result<(), CheckError>,
    reply: Option<Reply>,
}

impl Daemon {
    /// Notifies the supervisor that a reload begins. sd_notify(3) also requires the monotonic time.
    fn notify_reloading(&self) {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
        let microseconds = now.tv_sec * 1_000_000 + now.tv_nsec / 1000;
        self.notify_supervisor(&format!("RELOADING=1\nMONOTONIC_USEC={microseconds}"));
    }

    /// Reads `fleet.toml`, and rolls it out if it is valid and has changed.
    pub(super) fn reload(&mut self, reply: Option<Reply>) {
        let candidate = self.candidate_from_file();
        self.check_and_roll_out(candidate, reply);
    }

    /// Reads the program of the target again, or another one, and rolls it out if it has changed.
    pub(super) fn upgrade(&mut self, program: Option<PathBuf>, reply: Reply) {
        let candidate = self.candidate_for_upgrade(program);
        self.check_and_roll_out(candidate, Some(reply));
    }

    fn candidate_from_file(&mut self) -> Result<Candidate, RequestError> {
        self.ensure_can_roll_out()?;
        let spec = Spec::read(&self.file)?;
        let target = self.state.target_revision();
        let same_program = target.filter(|revision| revision.spec.program == spec.program);
        let program_id = match same_program {
            Some(revision) => revision.program_id,
            None => self.import_program(&spec.program)?,
        };
        Ok(Candidate { spec, program_id, source: Source::File })
    }

    fn candidate_for_upgrade(
        &mut self,
        program: Option<PathBuf>,
    ) -> Result<Candidate, RequestError> {
        self.ensure_can_roll_out()?;
        let target = self.state.target_revision().ok_or(RequestError::NothingRuns)?;
        let mut spec = target.spec.clone();
        if let Some(program) = program {
            spec.program = program;
        }
        let program_id = self.import_program(&spec.program)?;
        Ok(Candidate { spec, program_id, source: Source::Upgrade })
    }

    /// Fails unless a new revision may be rolled out now.
    fn ensure_can_roll_out(&self) -> Result<(), RequestError> {
        if self.shutdown.is_some() {
            return Err(RequestError::ShuttingDown);
        }
        if self.checking {
            return Err(RequestError::CheckInProgress);
        }
        if self.state.target != self.state.stable {
            return Err(RequestError::RolloutInProgress { target: self.state.target });
        }
        Ok(())
    }

    /// Copies a program into the state directory. Returns the number of the copy.
    pub(super) fn import_program(&mut self, path: &Path) -> Result<ProgramId, RequestError> {
        let known: Vec<ProgramId> =
            self.state.revisions.values().map(|revision| revision.program_id).collect();
        self.state.last_program_id += 1;
        let new_id = self.state.last_program_id;
        self.directory
            .import_program(path, &known, new_id)
            .map_err(|source| RequestError::ImportProgram { path: path.to_owned(), source })
    }

    /// Has the program check its configurations, without blocking the event loop. A candidate that
    /// equals the target is not checked.
    fn check_and_roll_out(
        &mut self,
        candidate: Result<Candidate, RequestError>,
        reply: Option<Reply>,
    ) {
        self.notify_reloading();
        let candidate = match candidate {
            Ok(candidate) => candidate,
            Err(error) => return self.respond(reply, Err(error)),
        };
        if self.equals_target(&candidate) {
            self.notify_supervisor("READY=1");
            let generation = self.state.target;
            return self.respond(reply, Ok(Response::RolloutBegun { generation, changed: false }));
        }
        self.checking = true;
        let program = self.directory.program(candidate.program_id);
        let files = CheckFiles::write(&self.directory, &candidate.spec);
        let outcomes = self.check_outcomes.clone();
        tokio::task::spawn_local(async move {
            let check = move || files?.check_with(&program);
            let result = tokio::task::spawn_blocking(check).await;
            let result = result.unwrap_or_else(|error| Err(CheckError::Cancelled(error)));
            let _ = outcomes.send(CheckOutcome { candidate, result, reply });
        });
    }

    fn equals_target(&self, candidate: &Candidate) -> bool {
        self.state.target_revision().is_some_and(|target| {
            target.spec == candidate.spec
                && target.program_id == candidate.program_id
                && target.count_overrides.is_empty()
        })
    }

    /// Sends the result of a request to the client that waits for it, if any. A rejection is recorded
    /// as an event.
    fn respond(&mut self, reply: Option<Reply>, result: Result<Response, RequestError>) {
        if let Err(error) = &result {
            let event = FleetEvent::RequestRejected { reason: error.to_string() };
            self.record(&Subject::Fleet, &event);
            self.notify_supervisor("READY=1");
        }
        if let Some(reply) = reply {
            let _ = reply.send(result);
        }
    }

    /// Begins the rollout of a checked candidate if the check accepted it, and replies.
    pub(super) fn finish_check(&mut self, outcome: CheckOutcome) {
        self.checking = false;
        let CheckOutcome { candidate, result, reply } = outcome;
        let result = match result {
            Ok(()) => self.begin_rollout(candidate),
            Err(error) => Err(error.into()),
        };
        self.respond(reply, result);
    }

    fn begin_rollout(&mut self, candidate: Candidate) -> Result<Response, RequestError> {
        let Candidate { spec, program_id, source } = candidate;
        self.state.last_generation += 1;
        let generation = self.state.last_generation;
        let previous = self.state.target;
        let previous_file = self.state.spec_from_file.clone();
        if source == Source::File {
            self.state.spec_from_file = Some(spec.clone());
        }
        self.state.revisions.insert(generation, Revision::new(spec, program_id));
        self.state.target = generation;
        if let Err(error) = self.persist() {
            // A rollout that is not stored would be unknown to the next daemon.
            self.state.target = previous;
            self.state.spec_from_file = previous_file;
            self.state.revisions.remove(&generation);
            return Err(RequestError::Store(error));
        }
        self.apply_policy();
        let subject = Subject::Generation(generation);
        self.record(&subject, &FleetEvent::RolloutBegun { previous });
        Ok(Response::RolloutBegun { generation, changed: true })
    }

    /// Undoes the current rollout at the request of an operator.
    pub(super) fn roll_back(&mut self) -> Result<Response, RequestError> {
        let (target, stable) = (self.state.target, self.state.stable);
        if target == stable {
            return Err(RequestError::NoRollout);
        }
        self.undo_rollout(target, RollbackReason::Requested);
        Ok(Response::RolledBack { generation: stable })
    }

    /// Removes revisions and programs that neither the target nor the stable generation needs.
    pub(super) fn remove_unused_revisions(&mut self) {
        let (target, stable) = (self.state.target, self.state.stable);
        let is_needed = |generation: &Generation| *generation == target || *generation == stable;
        self.state.revisions.retain(|generation, _| is_needed(generation));
        // A failure is logged and shown in the status, and the state is stored at a later tick.
        let _ = self.persist();
        let needed = self.state.revisions.values().map(|revision| revision.program_id).collect();
        self.directory.remove_unused_programs(&needed);
    }

    /// Sets the limits and timeouts of the target in the planner.
    pub(super) fn apply_policy(&mut self) {
        if let Some(revision) = self.state.target_revision() {
            self.planner.set_policy(revision.spec.policy());
        }
    }
}
