//! Applies the actions of a scenario.

use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fakes::logserver::{Fault, LogServer};
use fakes::registry::{Entry, RegistryFaults};
use rustix::process::Signal;
use serde_json::Value;

use super::configuration::merge_patch;
use super::{Sidecar, Testbed, TestbedError};
use crate::drain_watch::{DrainDeadlines, DrainRule};
use crate::links::Node;
use crate::scenario::{Action, Availability, DiscoveryFaults, ServerState};

/// The time after the longest deadline from which a sidecar that was asked to shut down may be killed, by the protocol.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The time after the longest deadline by which a graceful shutdown must have ended: the limit of the protocol, and an
/// allowance for a busy machine.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(700 + 800);

/// The value of `settings.discovery` if an agent provides the lists.
const PUSHED_LISTS: &str = "pushed";

impl Testbed {
    /// Applies an action of the fault with this number.
    ///
    /// # Errors
    ///
    /// When a process or a server cannot be started, or a file cannot be written.
    pub fn apply(&mut self, fault: usize, action: &Action) -> Result<(), TestbedError> {
        match action {
            Action::Inject { fault, .. } => {
                self.network.update(|links| links.inject((**fault).clone()));
                self.update_reachability();
            }
            Action::Clear => {
                self.network.update(|links| links.clear(fault));
                self.update_reachability();
            }
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
                match state {
                    ServerState::Draining => self.withdraw_servers(servers, "leaving"),
                    ServerState::Removed => self.withdraw_servers(servers, "left"),
                    _ => {}
                }
            }
            Action::SetDiscovery(availability) => {
                self.sidecars.iter().for_each(|sidecar| match availability {
                    Availability::Up => sidecar.registry.bring_up(),
                    Availability::Down => sidecar.registry.take_down(),
                });
                self.discovery = *availability;
                self.update_reachability();
            }
            Action::SetDiscoveryFaults(sidecars, faults) => {
                indices(sidecars).for_each(|n| self.set_discovery_faults(n, *faults));
                self.update_reachability();
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
            if !self.scenario.clients_send_during_shutdown {
                self.stop_clients(n);
            }
            self.sidecars[n].expected = false;
            self.sidecars[n].terminated_at.get_or_insert_with(Instant::now);
            self.sidecars[n].process.signal(Signal::TERM);
        }
    }

    fn restart(
        &mut self,
        sidecars: &BTreeSet<u16>,
        discard_state: bool,
    ) -> Result<(), TestbedError> {
        for n in indices(sidecars) {
            // A sidecar that was asked to shut down and is still running is killed. Before the earliest time of a
            // kill that the protocol allows, its open requests may be lost.
            if self.sidecars[n].process.id().is_some() {
                if !self.may_be_killed(n) {
                    self.account.expect_kill(self.sidecars[n].listen);
                }
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

    /// Returns whether a sidecar was asked to shut down so long ago that it must have answered all requests.
    fn may_be_killed(&self, n: usize) -> bool {
        let longest = self.account.classes().iter().map(|class| class.deadline).max();
        let earliest = longest.unwrap_or_default() + KILL_GRACE;
        self.sidecars[n].terminated_at.is_some_and(|at| at.elapsed() >= earliest)
    }

    /// Records a shutdown that takes longer than the protocol allows.
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

    /// Patches configurations and makes the sidecars reload them. The file is replaced atomically, so that a partial
    /// one is never read.
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
        let slot = &self.servers[usize::from(n)];
        match state {
            ServerState::Healthy | ServerState::Removed => {}
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
            ServerState::BrokenRejections(share) => {
                slot.server.set_faults(vec![(share, Fault::BrokenRejection)]);
            }
            ServerState::SecondAnswers(share) => {
                slot.server.set_faults(vec![(share, Fault::SecondAnswer)]);
            }
            ServerState::DrawnBodies(share) => {
                slot.server.set_faults(vec![(share, Fault::DrawnBody)]);
            }
        }
        Ok(())
    }

    /// Replaces a server with a new one without faults.
    fn restart_server(&mut self, n: u16) -> Result<(), TestbedError> {
        let slot = &mut self.servers[usize::from(n)];
        slot.server.kill();
        let started = LogServer::start(slot.spec.clone(), self.account.clone());
        slot.server = fakes::runtime().block_on(started)?;
        self.network.set_address(Node::Server(n), slot.server.at);
        self.network.update(|links| links.bring_up(Node::Server(n)));
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let slot = &mut self.servers[usize::from(n)];
        slot.entries.iter_mut().for_each(|entry| entry.born_ms = now.as_millis() as u64);
        self.change_drains(|deadlines, now| deadlines.set_draining(n, false, now));
        self.list_servers(&BTreeSet::from([n]), "active");
        Ok(())
    }

    /// Lists servers with a health that allows no new requests, all of them in one version of the list.
    fn withdraw_servers(&self, servers: &BTreeSet<u16>, health: &'static str) {
        self.change_drains(|deadlines, now| {
            servers.iter().for_each(|&server| deadlines.set_draining(server, true, now));
        });
        self.list_servers(servers, health);
    }

    fn set_discovery_faults(&mut self, n: usize, faults: DiscoveryFaults) {
        let sidecar = &mut self.sidecars[n];
        sidecar.discovery_is_silent = faults.silent;
        sidecar.registry.set_faults(RegistryFaults {
            silent: faults.silent,
            answer_delay: Duration::from_millis(faults.answer_delay_ms),
            first_read_delay: Duration::from_millis(faults.first_read_delay_ms),
            ..RegistryFaults::default()
        });
        if faults.silences_connections {
            sidecar.registry.silence_open_connections();
        }
    }

    /// Sets the drain rule of each sidecar in the drain watch, from its configuration.
    pub(super) fn set_drain_rules(&self) {
        let rule = |sidecar: &Sidecar| {
            let settings = &sidecar.config["settings"];
            let grace_us = settings["rules"]["stopSendingWithin"].as_u64().unwrap_or_default();
            DrainRule {
                pushed: settings["discovery"] == PUSHED_LISTS,
                grace: Duration::from_micros(grace_us),
            }
        };
        let rules = self.sidecars.iter().map(rule).collect();
        self.change_drains(|deadlines, now| *deadlines = DrainDeadlines::new(rules, now));
        self.update_reachability();
    }

    /// Updates in the drain watch which sidecars can reach their discovery.
    fn update_reachability(&self) {
        for (n, sidecar) in self.sidecars.iter().enumerate() {
            let n = n as u16;
            let is_up = self.discovery == Availability::Up && !sidecar.discovery_is_silent;
            let is_linked = self.network.links(|links| {
                let (sidecar, discovery) = (Node::Sidecar(n), Node::Discovery);
                links.impairment(sidecar, discovery).is_slight()
                    && links.impairment(discovery, sidecar).is_slight()
            });
            self.change_drains(|deadlines, now| {
                deadlines.set_reachable(n, is_up && is_linked, now);
            });
        }
    }

    fn change_drains(&self, change: impl FnOnce(&mut DrainDeadlines, Instant)) {
        if let Some(watch) = self.network.drain_watch() {
            change(&mut watch.deadlines(), Instant::now());
        }
    }

    /// Changes the health of servers in the discovery of every sidecar, in one version of its list.
    fn list_servers(&self, servers: &BTreeSet<u16>, health: &'static str) {
        for (n, sidecar) in self.sidecars.iter().enumerate() {
            let listed =
                servers.iter().map(|&server| &self.servers[usize::from(server)].entries[n]);
            let entries = listed.map(|entry| Entry { health, ..entry.clone() });
            sidecar.registry.update_all(entries.collect());
        }
    }
}

fn indices(numbers: &BTreeSet<u16>) -> impl Iterator<Item = usize> {
    numbers.iter().map(|n| usize::from(*n))
}
