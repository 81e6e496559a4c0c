//! Takes over from a previous daemon: its state, the listeners in the socket holder and the running
//! instances.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;

use super::Daemon;
use super::error::DaemonError;
use super::event::FleetEvent;
use super::instance::ProcessOrigin;
use super::listeners::Listener;
use crate::check::CheckFiles;
use crate::control::RequestError;
use crate::planner::{ProcessId, Subject};
use crate::process::{Process, find_instances, poll_ended};
use crate::socket_holder::SocketHolder;
use crate::spec::Spec;
use crate::state::Revision;

impl Daemon {
    /// Takes over from a previous daemon. If there is no stored state, reads the desired state from its
    /// file.
    pub(super) fn initialize(&mut self) -> Result<(), DaemonError> {
        self.connect_socket_holder()?;
        if self.state.target == 0 {
            self.create_first_revision()?;
        } else {
            self.resume_stored_state();
        }
        self.apply_policy();
        self.adopt_instances();
        Ok(())
    }

    fn create_first_revision(&mut self) -> Result<(), RequestError> {
        let spec = Spec::read(&self.file)?;
        let program_id = self.import_program(&spec.program)?;
        let files = CheckFiles::write(&self.directory, &spec)?;
        files.check_with(&self.directory.program(program_id))?;
        self.state.last_generation += 1;
        let first = self.state.last_generation;
        self.state.spec_from_file = Some(spec.clone());
        self.state.revisions.insert(first, Revision::new(spec, program_id));
        self.state.target = first;
        self.state.stable = first;
        self.record(&Subject::Generation(first), &FleetEvent::FirstGeneration);
        Ok(())
    }

    /// Continues with the stored state. Rolls out the desired state in the file if that has changed and no
    /// rollout is in progress.
    fn resume_stored_state(&mut self) {
        let target = self.state.target;
        self.record(&Subject::Generation(target), &FleetEvent::TakenOver);
        // The file is compared with its own content when it was last read, not with the target: a file
        // that is older than an upgrade would otherwise undo the upgrade.
        let file_changed = Spec::read(&self.file)
            .is_ok_and(|spec| self.state.spec_from_file.as_ref() != Some(&spec));
        if self.state.target == self.state.stable && file_changed {
            self.reload(None);
        }
    }

    /// Connects to the socket holder, receives its listeners and sends it those that it lacks.
    fn connect_socket_holder(&mut self) -> Result<(), DaemonError> {
        let path = self.directory.file("holder.sock");
        let (holder, kept) = SocketHolder::open(&path).map_err(DaemonError::SocketHolder)?;
        for (name, descriptor) in kept {
            if self.listeners.contains_key(&name) {
                continue;
            }
            if let Some(listener) = decode_listener(&name, TcpListener::from(descriptor)) {
                self.listeners.insert(name, listener);
            }
        }
        for (name, listener) in &self.listeners {
            holder.keep(name, listener.socket.as_fd()).map_err(DaemonError::SocketHolder)?;
        }
        self.socket_holder = Some(holder);
        Ok(())
    }

    /// Removes processes that have ended, and replaces the socket holder if it has ended.
    pub(super) fn remove_ended_processes(&mut self) {
        let ids: Vec<ProcessId> = self.processes.keys().copied().collect();
        let ended = poll_ended(self.processes.values().map(|process| &process.process));
        for (id, _) in ids.into_iter().zip(ended).filter(|(_, ended)| *ended) {
            if let Some(mut ended) = self.processes.remove(&id) {
                let exit = ended.process.reap();
                let (instance, pid) = (&ended.identity.slot, ended.process.pid);
                tracing::info!(%instance, pid, %exit, "process ended");
            }
        }
        if self.socket_holder.as_ref().is_some_and(SocketHolder::has_ended) {
            self.socket_holder = None;
            self.record(&Subject::Fleet, &FleetEvent::SocketHolderEnded);
            if let Err(error) = self.connect_socket_holder() {
                self.fault = Some(error.to_string());
            }
        }
    }

    /// Adopts running instances that this daemon does not know.
    pub(super) fn adopt_instances(&mut self) {
        let known: BTreeSet<u32> =
            self.processes.values().map(|process| process.process.pid).collect();
        for (identity, process) in find_instances(self.directory.path()) {
            if !known.contains(&process.pid) {
                tracing::info!(instance = %identity.slot, pid = process.pid, "instance adopted");
                self.recover_listener(&identity.slot, &process);
                self.add_process(identity, process, ProcessOrigin::Adopted);
            }
        }
    }

    /// Copies the listener of an adopted instance if the daemon has none for its slot. That happens when
    /// daemon and socket holder ended together, which leaves the instance with the only descriptor.
    fn recover_listener(&mut self, slot: &str, process: &Process) {
        if self.listeners.values().any(|listener| listener.slot == slot) {
            return;
        }
        let Some(socket) = process.listener() else { return };
        let Ok(address) = socket.local_addr() else { return };
        let matches_address = |requested: &SocketAddr| {
            *requested == address || (requested.port() == 0 && requested.ip() == address.ip())
        };
        let requested = [self.state.target, self.state.stable]
            .iter()
            .filter_map(|generation| self.state.revisions.get(generation)?.spec.listen(slot))
            .find(matches_address);
        if let Some(requested) = requested {
            let slot = slot.to_owned();
            self.add_listener(Listener { slot, requested, address, socket });
        }
    }
}

/// Parses the name that the socket holder has for a listener.
fn decode_listener(name: &str, socket: TcpListener) -> Option<Listener> {
    let (slot, requested) = name.rsplit_once('|')?;
    let (requested, address) = (requested.parse().ok()?, socket.local_addr().ok()?);
    Some(Listener { slot: slot.to_owned(), requested, address, socket })
}
