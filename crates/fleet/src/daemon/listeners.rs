//! The listeners of all slots, and the configuration files that contain their addresses.

use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::path::PathBuf;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

use super::Daemon;
use super::error::InstanceError;
use crate::atomic_file::write_atomically;
use crate::planner::{DesiredState, Generation};
use crate::state::Revision;

/// The backlog of a listener: connections that wait to be accepted while an instance is replaced.
const BACKLOG: i32 = 4096;

/// The listener of a slot.
pub(super) struct Listener {
    pub(super) slot: String,
    /// The address in the desired state; its port may be 0.
    pub(super) requested: SocketAddr,
    /// The address that the socket is bound to.
    pub(super) address: SocketAddr,
    pub(super) socket: TcpListener,
}

/// The reason why a slot cannot be started for now.
pub(super) struct BlockedSlot {
    pub(super) reason: String,
    /// The time of the failure, since the daemon's start.
    pub(super) since: Duration,
}

/// A configuration file that was written for a slot.
pub(super) struct WrittenConfiguration {
    pub(super) path: PathBuf,
    /// The address in the desired state.
    pub(super) requested: SocketAddr,
}

/// Returns the name of a listener in the daemon and in the socket holder.
pub(super) fn listener_name(slot: &str, requested: SocketAddr) -> String {
    format!("{slot}|{requested}")
}

impl Daemon {
    /// Adds a listener, and sends a copy to the socket holder.
    pub(super) fn add_listener(&mut self, listener: Listener) {
        let name = listener_name(&listener.slot, listener.requested);
        if let Some(holder) = &self.socket_holder
            && let Err(error) = holder.keep(&name, listener.socket.as_fd())
        {
            let instance = &listener.slot;
            tracing::warn!(%instance, %error, "failed to send listener to socket holder");
        }
        self.listeners.insert(name, listener);
    }

    /// Writes the configuration file of a slot. Binds the slot's listener first if there is none.
    pub(super) fn write_configuration(
        &mut self,
        slot: &str,
        generation: Generation,
    ) -> Result<WrittenConfiguration, InstanceError> {
        let revision = self.state.revisions.get(&generation);
        let spec = &revision.ok_or(InstanceError::UnknownGeneration)?.spec;
        let requested = spec.listen(slot).ok_or(InstanceError::NotInGeneration)?;
        let address = match self.listeners.get(&listener_name(slot, requested)) {
            Some(listener) => listener.address,
            None => self.listen(slot, requested)?,
        };
        let revision = self.state.revisions.get(&generation);
        let configuration = revision
            .and_then(|r| r.spec.configuration(slot, generation, address, rand::random()))
            .ok_or(InstanceError::NotInGeneration)?;
        let path = self.directory.configuration(slot);
        match write_atomically(&path, configuration.to_string().as_bytes()) {
            Ok(()) => Ok(WrittenConfiguration { path, requested }),
            Err(source) => Err(InstanceError::WriteConfiguration { path, source }),
        }
    }

    /// Binds the listener of a slot. If that fails, the slot is blocked for `BIND_RETRY_INTERVAL`.
    fn listen(&mut self, slot: &str, requested: SocketAddr) -> Result<SocketAddr, InstanceError> {
        let bound = bind(requested).and_then(|socket| Ok((socket.local_addr()?, socket)));
        let (address, socket) = match bound {
            Ok(bound) => bound,
            Err(source) => {
                let error = InstanceError::Listen { address: requested, source };
                let blocked = BlockedSlot { reason: error.to_string(), since: self.now() };
                self.blocked_slots.insert(slot.to_owned(), blocked);
                return Err(error);
            }
        };
        self.add_listener(Listener { slot: slot.to_owned(), requested, address, socket });
        Ok(address)
    }

    /// Closes listeners that neither generation needs and whose slot has no process.
    pub(super) fn close_unused_listeners(&mut self, desired: &DesiredState) {
        let used: BTreeSet<&str> =
            self.processes.values().map(|process| process.identity.slot.as_str()).collect();
        let revision = |generation| self.state.revisions.get(&generation);
        let revisions: Vec<&Revision> =
            [desired.target, desired.stable].into_iter().filter_map(revision).collect();
        let is_needed = |listener: &Listener| {
            let slot = &listener.slot;
            let is_desired = desired.slots.contains(slot) || desired.removed_slots.contains(slot);
            let is_specified = revisions
                .iter()
                .any(|revision| revision.spec.listen(slot) == Some(listener.requested));
            used.contains(slot.as_str()) || (is_desired && is_specified)
        };
        let unused = self.listeners.iter().filter(|(_, listener)| !is_needed(listener));
        let unused: Vec<String> = unused.map(|(name, _)| name.clone()).collect();
        for name in unused {
            if let Some(holder) = &self.socket_holder {
                let _ = holder.release(&name);
            }
            self.listeners.remove(&name);
        }
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from(socket))
}
