//! The listeners of all slots, and the configurations that name them.

use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::path::PathBuf;

use socket2::{Domain, Protocol, Socket, Type};

use super::{Daemon, Listener};
use crate::planner::{Desired, Generation};
use crate::state::Made;

/// Connections that may wait while an instance is replaced.
const BACKLOG: i32 = 4096;

impl Daemon {
    /// Takes a listener into use, and gives the holder its copy.
    pub(super) fn take(
        &mut self,
        slot: &str,
        requested: SocketAddr,
        at: SocketAddr,
        socket: TcpListener,
    ) {
        let name = format!("{slot}|{requested}");
        if let Some(holder) = &self.holder
            && let Err(e) = holder.keep(&name, socket.as_fd())
        {
            tracing::warn!(instance = slot, error = %e, "the holder did not take a listener");
        }
        let listener = Listener { slot: slot.to_owned(), requested, at, socket };
        self.listeners.insert(name, listener);
    }

    pub(super) fn block(&mut self, slot: &str, why: &impl ToString) {
        let now = self.now();
        self.blocked.insert(slot.to_owned(), (why.to_string(), now));
    }

    /// Writes a slot's configuration. Where it lies, and the address that was asked for.
    pub(super) fn configure(
        &mut self,
        slot: &str,
        generation: Generation,
    ) -> Result<(PathBuf, SocketAddr), String> {
        let made = self.ledger.generations.get(&generation);
        let spec = &made.ok_or("its generation is not known")?.spec;
        let requested = spec.listen(slot).ok_or("its generation does not have it")?;
        let name = format!("{slot}|{requested}");
        let at = match self.listeners.get(&name) {
            Some(listener) => listener.at,
            None => self.listen(slot, requested)?,
        };
        let made = self.ledger.generations.get(&generation);
        let config = made.and_then(|m| m.spec.configuration(slot, generation, at, rand::random()));
        let text = config.ok_or("its generation does not have it")?.to_string();
        let path = self.store.configuration(slot);
        crate::state::replace(&path, text.as_bytes())
            .map_err(|e| format!("{}: {e}", path.display()))?;
        Ok((path, requested))
    }

    pub(super) fn listen(
        &mut self,
        slot: &str,
        requested: SocketAddr,
    ) -> Result<SocketAddr, String> {
        let bound = (|| {
            let kind = Type::STREAM;
            let socket = Socket::new(Domain::for_address(requested), kind, Some(Protocol::TCP))?;
            socket.set_reuse_address(true)?;
            socket.set_nonblocking(true)?;
            socket.bind(&requested.into())?;
            socket.listen(BACKLOG)?;
            let socket = TcpListener::from(socket);
            Ok::<_, io::Error>((socket.local_addr()?, socket))
        })();
        let (at, socket) = bound.map_err(|e| {
            let why = format!("{requested}: {e}");
            self.block(slot, &why);
            why
        })?;
        self.take(slot, requested, at, socket);
        Ok(at)
    }

    /// Closes listeners that no generation wants and no process has.
    pub(super) fn close_listeners(&mut self, desired: &Desired) {
        let used: BTreeSet<&str> = self.procs.values().map(|r| r.mark.slot.as_str()).collect();
        let made = |generation| self.ledger.generations.get(&generation);
        let specs: Vec<&Made> =
            [desired.target, desired.base].into_iter().filter_map(made).collect();
        let wanted = |l: &Listener| {
            let requested = desired.slots.contains(&l.slot) || desired.old.contains(&l.slot);
            let there = specs.iter().any(|m| m.spec.listen(&l.slot) == Some(l.requested));
            used.contains(l.slot.as_str()) || (requested && there)
        };
        let gone: Vec<String> =
            self.listeners.iter().filter(|(_, l)| !wanted(l)).map(|(n, _)| n.clone()).collect();
        for name in gone {
            if let Some(holder) = &self.holder {
                let _ = holder.drop(&name);
            }
            self.listeners.remove(&name);
        }
    }
}
