//! What a daemon before this one has left: its ledger, the holder's listeners, instances that run.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;

use super::rollout::check;
use super::{Daemon, Listener, Running};
use crate::holder::Holder;
use crate::planner::{About, ProcId};
use crate::process::{self, Mark, Process};
use crate::spec::Spec;
use crate::state::Made;

impl Daemon {
    /// Takes over what a daemon before this one has left, and learns the desired state.
    pub(super) fn begin(&mut self) -> Result<(), String> {
        self.hold()?;
        if self.ledger.target == 0 {
            let spec = Spec::read(&self.file)?;
            let program = self.import_program(&spec.program)?;
            check(&self.store, &spec, &self.store.program(program))?;
            self.ledger.last += 1;
            let first = self.ledger.last;
            self.ledger.read = Some(spec.clone());
            let made = Made { spec, program, counts: BTreeMap::new() };
            self.ledger.generations.insert(first, made);
            (self.ledger.target, self.ledger.base) = (first, first);
            self.note(&About::Generation(first), "is the first");
        } else {
            let target = self.ledger.target;
            self.note(&About::Generation(target), "is taken over from a daemon before this one");
            // Danger: compared with what runs, a file older than an upgrade would undo it.
            let read = Spec::read(&self.file);
            let differs = read.is_ok_and(|spec| self.ledger.read.as_ref() != Some(&spec));
            if self.ledger.target == self.ledger.base && differs {
                self.reload(None);
            }
        }
        self.set_rules();
        self.adopt();
        Ok(())
    }

    /// Connects to the holder and gives it all that it lacks.
    pub(super) fn hold(&mut self) -> Result<(), String> {
        let path = self.store.path("holder.sock");
        let context = |e: io::Error| format!("the holder of listeners: {e}");
        let (holder, held) = Holder::open(&path).map_err(context)?;
        for (name, fd) in held {
            if self.listeners.contains_key(&name) {
                continue;
            }
            let socket = TcpListener::from(fd);
            let known = name.rsplit_once('|').and_then(|(slot, requested)| {
                let (requested, at) = (requested.parse().ok()?, socket.local_addr().ok()?);
                Some(Listener { slot: slot.to_owned(), requested, at, socket })
            });
            if let Some(listener) = known {
                self.listeners.insert(name, listener);
            }
        }
        for (name, listener) in &self.listeners {
            holder.keep(name, listener.socket.as_fd()).map_err(context)?;
        }
        self.holder = Some(holder);
        Ok(())
    }

    /// Notices processes that have ended.
    pub(super) fn ended(&mut self) {
        let ids: Vec<ProcId> = self.procs.keys().copied().collect();
        let watched = self.procs.values().map(|r| &r.process);
        let ended = process::ended(watched);
        for (id, _) in ids.into_iter().zip(ended).filter(|(_, ended)| *ended) {
            if let Some(mut r) = self.procs.remove(&id) {
                let how = r.process.reap();
                tracing::info!(instance = %r.mark.slot, pid = r.process.pid, how, "process over");
            }
        }
        if self.holder.as_ref().is_some_and(Holder::gone) {
            self.holder = None;
            self.note(&About::Fleet, "the holder of listeners is gone; another takes its place");
            if let Err(why) = self.hold() {
                self.trouble = Some(why);
            }
        }
    }

    /// Adopts instances that run already.
    pub(super) fn adopt(&mut self) {
        let known: BTreeSet<u32> = self.procs.values().map(|r| r.process.pid).collect();
        for (mark, process) in process::find(self.store.folder()) {
            if !known.contains(&process.pid) {
                tracing::info!(instance = %mark.slot, pid = process.pid, "adopted");
                self.regain(&mark.slot, &process);
                self.add(mark, process, true);
            }
        }
    }

    /// Where daemon and holder have died together, an instance that runs has the only listener.
    pub(super) fn regain(&mut self, slot: &str, process: &Process) {
        if self.listeners.values().any(|l| l.slot == slot) {
            return;
        }
        let Some(socket) = process.listener() else { return };
        let Ok(at) = socket.local_addr() else { return };
        let desired = [self.ledger.target, self.ledger.base];
        let desired =
            desired.iter().filter_map(|g| self.ledger.generations.get(g)?.spec.listen(slot));
        let fits = |w: &SocketAddr| *w == at || (w.port() == 0 && w.ip() == at.ip());
        if let Some(requested) = desired.into_iter().find(fits) {
            self.take(slot, requested, at, socket);
        }
    }

    pub(super) fn add(&mut self, mark: Mark, process: Process, found: bool) {
        self.next += 1;
        let id = ProcId(self.next);
        let now = self.now();
        self.procs.insert(
            id,
            Running {
                mark,
                process,
                state: None,
                started: now,
                last_report: now,
                found,
                unwanted: false,
                watch: None,
                stall: None,
            },
        );
    }
}
