//! Applies the actions of a scenario.

use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fakes::logserver::{Fault, LogServer};
use fakes::registry::Entry;
use rustix::process::Signal;
use serde_json::Value;

use super::configuration::merge_patch;
use super::{Testbed, TestbedError};
use crate::links::Node;
use crate::scenario::{Action, Availability, ServerState};

/// How long a graceful shutdown may last beyond the longest deadline, by the protocol, and what a busy machine may add.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(700 + 800);
/// How long after a list with a draining server could be fetched a request may still arrive there: the time until
/// sidecars count as notified, the grace of the settings, and what a busy machine may add.
const DRAIN_ALLOWANCE: Duration = Duration::from_millis(6000 + 500 + 500);

impl Testbed {
    /// Applies an action of the fault with this number.
    ///
    /// # Errors
    ///
    /// What could not be done.
    pub fn apply(&mut self, fault: usize, action: &Action) -> Result<(), TestbedError> {
        match action {
            Action::Inject { fault, .. } => {
                self.network.update(|links| links.inject((**fault).clone()));
            }
            Action::Clear => self.network.update(|links| links.clear(fault)),
            Action::Kill(sidecars) => self.kill(sidecars),
            Action::Terminate(sidecars) => self.terminate(sidecars),
            Action::Start { sidecars, discard_state } => self.restart(sidecars, *discard_state)?,
            Action::Pause(sidecars) => self.pause(sidecars),
            Action::Resume(sidecars) => self.resume(sidecars),
            Action::Throttle(sidecars, share) => {
                indices(sidecars).for_each(|n| self.sidecars[n].process.throttle(*share));
            }
            Action::Unthrottle(sidecars) => {
                indices(sidecars).for_each(|n| self.sidecars[n].process.unthrottle());
            }
            Action::SetServers(servers, state) => {
                for &n in servers {
                    self.set_server(n, *state)?;
                }
            }
            Action::SetDiscovery(availability) => {
                self.sidecars.iter().for_each(|sidecar| match availability {
                    Availability::Up => sidecar.registry.bring_up(),
                    Availability::Down => sidecar.registry.take_down(),
                });
                self.discovery = *availability;
                self.update_drains();
            }
            Action::StepClock(sidecars, seconds) => {
                indices(sidecars)
                    .try_for_each(|n| self.sidecars[n].process.step_clock(*seconds))?;
            }
            Action::ScaleLoad(tenant, factor) => {
                match tenant {
                    Some(tenant) => self.load_factors.tenants[*tenant] = *factor,
                    None => self.load_factors.all = *factor,
                }
                self.start_all_clients();
            }
            Action::Configure(sidecars, patch) => self.configure(sidecars, patch)?,
        }
        Ok(())
    }

    fn kill(&mut self, sidecars: &BTreeSet<u16>) {
        for n in indices(sidecars) {
            self.account.expect_kill(self.sidecars[n].listen);
            self.stop_clients(n);
            self.sidecars[n].expected = false;
        }
        for n in indices(sidecars) {
            self.sidecars[n].process.kill();
        }
    }

    fn terminate(&mut self, sidecars: &BTreeSet<u16>) {
        for n in indices(sidecars) {
            if !self.scenario.clients_stay {
                self.stop_clients(n);
            }
            self.sidecars[n].expected = false;
            self.sidecars[n].terminated_at = Some(Instant::now());
            self.sidecars[n].process.signal(Signal::TERM);
        }
    }

    fn restart(
        &mut self,
        sidecars: &BTreeSet<u16>,
        discard_state: bool,
    ) -> Result<(), TestbedError> {
        for n in indices(sidecars) {
            // One that was asked to shut down and still runs is killed.
            if self.sidecars[n].process.id().is_some() {
                self.account.expect_kill(self.sidecars[n].listen);
                self.check_shutdown_time(n);
            }
            let status = self.sidecars[n].process.kill();
            if let Some(status) = status.filter(|status| !status.success()) {
                self.problems.push(format!("s{n} has ended with {status}"));
            }
            self.start_sidecar(n, discard_state)?;
        }
        indices(sidecars).for_each(|n| self.start_clients(n));
        Ok(())
    }

    /// Records a shutdown that takes longer than any request may.
    fn check_shutdown_time(&mut self, n: usize) {
        let longest = self.account.classes().iter().map(|class| class.deadline).max();
        let allowed = longest.unwrap_or_default() + SHUTDOWN_GRACE;
        let elapsed = self.sidecars[n].terminated_at.map(|at| at.elapsed());
        if elapsed.is_some_and(|elapsed| elapsed > allowed) {
            self.problems.push(format!("s{n} still ran {allowed:?} after SIGTERM"));
        }
    }

    fn pause(&mut self, sidecars: &BTreeSet<u16>) {
        for sidecar in indices(sidecars).map(|n| &self.sidecars[n]) {
            self.account.expect_pause(sidecar.listen);
            sidecar.process.signal(Signal::STOP);
        }
    }

    fn resume(&mut self, sidecars: &BTreeSet<u16>) {
        for sidecar in indices(sidecars).map(|n| &self.sidecars[n]) {
            self.account.expect_resume(sidecar.listen);
            sidecar.process.signal(Signal::CONT);
        }
    }

    /// Patches configurations and lets the sidecars read them again. The file is replaced at once, so that none is
    /// read half written.
    fn configure(&mut self, sidecars: &BTreeSet<u16>, patch: &Value) -> Result<(), TestbedError> {
        for n in indices(sidecars) {
            let sidecar = &mut self.sidecars[n];
            merge_patch(&mut sidecar.config, patch);
            let path = sidecar.process.configuration_path();
            let new = path.with_extension("new");
            std::fs::write(&new, sidecar.config.to_string())?;
            std::fs::rename(&new, &path)?;
            sidecar.process.signal(Signal::HUP);
        }
        Ok(())
    }

    fn set_server(&mut self, n: u16, state: ServerState) -> Result<(), TestbedError> {
        let down = self.network.links(|links| links.is_down(Node::Server(n)));
        if state == ServerState::Healthy || down && state != ServerState::Dead {
            self.restart_server(n)?;
        }
        if state == ServerState::Draining {
            self.servers[usize::from(n)].draining = true;
            self.list_server(n, "leaving");
            self.update_drains();
        }
        let slot = &self.servers[usize::from(n)];
        match state {
            ServerState::Healthy => {}
            ServerState::Draining => slot.server.drain(),
            ServerState::Dead => {
                slot.server.kill();
                self.network.update(|links| links.take_down(Node::Server(n)));
            }
            ServerState::Slow(factor) => slot.server.set_slowdown(factor),
            ServerState::Errors(share) => slot.server.set_faults(vec![(share, Fault::Error)]),
            ServerState::Hangs(share) => slot.server.set_faults(vec![(share, Fault::Hang)]),
            ServerState::Breaks(share) => slot.server.set_faults(vec![
                (share / 2.0, Fault::ResetBefore),
                (share / 2.0, Fault::ResetAfter),
            ]),
            ServerState::Malformed(share) => slot
                .server
                .set_faults(vec![(share / 2.0, Fault::Garbage), (share / 2.0, Fault::Truncated)]),
        }
        Ok(())
    }

    /// Replaces a server by a new one without faults.
    fn restart_server(&mut self, n: u16) -> Result<(), TestbedError> {
        let slot = &mut self.servers[usize::from(n)];
        slot.server.kill();
        let started = LogServer::start(slot.spec.clone(), self.account.clone());
        slot.server = fakes::runtime().block_on(started)?;
        self.network.set_address(Node::Server(n), slot.server.at);
        self.network.update(|links| links.bring_up(Node::Server(n)));
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let slot = &mut self.servers[usize::from(n)];
        slot.draining = false;
        slot.entries.iter_mut().for_each(|entry| entry.born_ms = now.as_millis() as u64);
        self.list_server(n, "active");
        Ok(())
    }

    /// Tells draining servers from when on nothing new may arrive. While discovery is down, nobody needs to know.
    fn update_drains(&self) {
        let known_from = match self.discovery {
            Availability::Up => Some(Instant::now() + DRAIN_ALLOWANCE),
            Availability::Down => None,
        };
        let draining = self.servers.iter().filter(|slot| slot.draining);
        draining.for_each(|slot| slot.server.expect_nothing_from(known_from));
    }

    /// Changes a server's health in the discovery of every sidecar.
    fn list_server(&self, n: u16, health: &'static str) {
        let entries = &self.servers[usize::from(n)].entries;
        for (entry, sidecar) in entries.iter().zip(&self.sidecars) {
            sidecar.registry.update(Entry { health, ..entry.clone() });
        }
    }
}

fn indices(numbers: &BTreeSet<u16>) -> impl Iterator<Item = usize> {
    numbers.iter().map(|n| usize::from(*n))
}
