//! Handles the requests of operators from the control socket.

use super::Daemon;
use super::event::FleetEvent;
use crate::control::{PendingRequest, Request, RequestError, Response};
use crate::planner::Subject;

impl Daemon {
    /// Carries out a request and replies. A reload or an upgrade is only begun, and replied to once it
    /// was checked.
    pub(super) fn handle_request(&mut self, pending: PendingRequest) {
        let PendingRequest { request, reply } = pending;
        let result = match request {
            Request::Reload => return self.reload(Some(reply)),
            Request::Upgrade { program } => return self.upgrade(program, reply),
            Request::Status => Ok(Response::Status(Box::new(self.status()))),
            Request::History => Ok(Response::History(self.state.history.clone())),
            Request::Drain { slot } => self.drain_slot(slot),
            Request::Rollback => self.roll_back(),
            Request::Restart { slot } => self.restart(slot),
            Request::Scale { name, count } => self.scale(name, count),
        };
        let _ = reply.send(result);
    }

    fn ensure_known(&self, slot: &str) -> Result<(), RequestError> {
        let is_desired = self.desired_state().slots.contains(slot);
        if is_desired || self.state.drained_slots.contains(slot) {
            Ok(())
        } else {
            Err(RequestError::UnknownSlot { slot: slot.to_owned() })
        }
    }

    fn drain_slot(&mut self, slot: String) -> Result<Response, RequestError> {
        self.ensure_known(&slot)?;
        self.state.drained_slots.insert(slot.clone());
        self.record(&Subject::Slot(slot.clone()), &FleetEvent::Drained);
        Ok(Response::Drained { slot })
    }

    /// Restarts one instance, or all instances if no slot is given.
    fn restart(&mut self, slot: Option<String>) -> Result<Response, RequestError> {
        if let Some(slot) = &slot {
            self.ensure_known(slot)?;
        }
        let is_selected = |name: &str| slot.as_deref().is_none_or(|slot| slot == name);
        let mut processes = 0;
        for process in self.processes.values_mut() {
            if is_selected(&process.identity.slot) {
                process.restart_requested = true;
                processes += 1;
            }
        }
        self.state.drained_slots.retain(|drained| !is_selected(drained));
        for name in self.desired_state().slots.iter().filter(|name| is_selected(name)) {
            self.planner.reset_failures(name);
        }
        let subject = slot.map_or(Subject::Fleet, Subject::Slot);
        self.record(&subject, &FleetEvent::RestartRequested);
        Ok(Response::Restarted { processes })
    }

    /// Changes the number of instances of a template, until the next reload.
    fn scale(&mut self, name: String, count: usize) -> Result<Response, RequestError> {
        let target = self.state.target_revision();
        let template =
            target.and_then(|revision| revision.spec.templates.iter().find(|t| t.name == name));
        let Some(max) = template.map(|template| template.max_count()) else {
            return Err(RequestError::UnknownTemplate { name });
        };
        if count > max {
            return Err(RequestError::TooManyInstances { name, max });
        }
        for generation in [self.state.target, self.state.stable] {
            if let Some(revision) = self.state.revisions.get_mut(&generation) {
                revision.count_overrides.insert(name.clone(), count);
            }
        }
        let event = FleetEvent::Scaled { template: name.clone(), count };
        self.record(&Subject::Fleet, &event);
        Ok(Response::Scaled { name, count })
    }
}
