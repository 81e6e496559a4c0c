//! The events at the beginning and at the end of a fault.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use fakes::registry::EndpointList;
use serde_json::{Value, json};
use simnet::HostFailure;

use super::Simulation;
use super::addresses::admin_address;
use super::setup::endpoint_entry;
use crate::operators::{AdminTarget, Operators};
use crate::scenario::{Fault, FaultKind};
use crate::server::Server;

/// The longest time until a killed sidecar is started again, in milliseconds.
const MAX_DOWNTIME_MS: u64 = 1000;
/// The latency objective that a reload sets for the first class, in microseconds.
const RELOADED_LATENCY_OBJECTIVE_US: u64 = 140_000;

type BoxedFuture = Pin<Box<dyn Future<Output = ()>>>;

impl Simulation<'_> {
    fn server(&self, index: usize) -> Rc<Server> {
        self.servers[index % self.servers.len()].clone()
    }

    /// Applies the beginning or the end of a fault. The conditions in between are applied by
    /// [`apply_conditions`](Simulation::apply_conditions).
    pub(super) fn apply_fault_edge(&mut self, fault: &Fault, begins: bool) {
        match &fault.kind {
            FaultKind::RestartServer { server, vanish } => {
                let failure = match vanish {
                    true => HostFailure::Unreachable,
                    false => HostFailure::ProcessKilled,
                };
                self.restart_server(*server, failure, begins);
            }
            FaultKind::ReplaceServer { server } => self.replace_server(*server, begins),
            FaultKind::DrainServer { server } => self.drain_server(*server, begins),
            FaultKind::UnlistServer { server } => self.unlist_server(*server, begins),
            _ if begins => self.apply_fault_start(fault),
            _ => {}
        }
    }

    /// Applies the beginning of a fault that needs no action at its end.
    fn apply_fault_start(&mut self, fault: &Fault) {
        let duration = Duration::from_millis(fault.for_ms);
        match &fault.kind {
            FaultKind::ResetConnections { server, nth } => {
                let host = self.server(*server).host();
                self.oracle.borrow_mut().network_resets_connections(self.now());
                for sidecar in &self.sidecars {
                    self.world.reset_connections(sidecar.host, host, *nth);
                }
            }
            FaultKind::BlackholeConnections { server } => {
                let host = self.server(*server).host();
                for sidecar in &self.sidecars {
                    self.world.blackhole_connections(sidecar.host, host);
                }
            }
            FaultKind::DiscoveryRestart => self.restart_discovery(),
            FaultKind::DiscoveryConnectionsSilent => self.discovery.silence_connections(),
            FaultKind::ReloadConfiguration { sidecar, valid } => {
                self.reload_configuration(*sidecar, *valid);
            }
            FaultKind::TerminateSidecar { sidecar } => self.terminate_sidecar(*sidecar),
            FaultKind::KillSidecar { sidecar } => self.kill_sidecar(*sidecar, fault.for_ms),
            FaultKind::HoldUp { sidecar } => {
                let index = sidecar % self.sidecars.len();
                self.oracle.borrow_mut().sidecar_held_up(self.now(), index, duration);
                self.world.hold_up(self.sidecars[index].host, duration);
            }
            FaultKind::DisableServer { sidecar, server } => {
                let server = self.server(*server);
                let (index, name) = (server.index(), server.name());
                self.spawn_operators(*sidecar, |operators, target| {
                    Box::pin(operators.disable_server(target, index, name, duration))
                });
            }
            FaultKind::DrainClients { sidecar } => self
                .spawn_operators(*sidecar, |operators, target| {
                    Box::pin(operators.drain_clients(target, duration))
                }),
            FaultKind::MalformedAdminCalls { sidecar } => {
                self.spawn_operators(*sidecar, |operators, target| {
                    Box::pin(operators.make_malformed_calls(target))
                });
            }
            _ => {}
        }
    }

    fn restart_server(&mut self, server: usize, failure: HostFailure, begins: bool) {
        let server = self.server(server);
        if begins && server.mark_down() {
            self.oracle.borrow_mut().network_resets_connections(self.now());
            self.world.kill(server.host(), failure);
        } else if !begins && server.is_down() {
            self.start_server(&server);
        }
    }

    fn replace_server(&mut self, server: usize, begins: bool) {
        let server = self.server(server);
        if begins && server.mark_down() {
            self.oracle.borrow_mut().network_resets_connections(self.now());
            self.world.kill(server.host(), HostFailure::ProcessKilled);
            self.update_endpoint(&server, "left");
            server.replace_incarnation();
        } else if !begins && server.is_down() {
            self.start_server(&server);
        }
    }

    fn drain_server(&mut self, server: usize, begins: bool) {
        let server = self.server(server);
        if begins {
            self.update_endpoint(&server, "leaving");
            server.set_draining(true);
        } else if !server.is_down() {
            server.set_draining(false);
            self.update_endpoint(&server, "active");
        }
    }

    fn unlist_server(&mut self, server: usize, begins: bool) {
        let server = self.server(server);
        if begins || !server.is_down() {
            self.update_endpoint(&server, if begins { "left" } else { "active" });
        }
    }

    /// Starts a server again, in slow start.
    fn start_server(&mut self, server: &Rc<Server>) {
        self.world.revive(server.host());
        let now = self.now();
        let replaced = server.mark_started(now);
        self.oracle.borrow_mut().server_started(now, server.index(), replaced);
        self.world.spawn(server.host(), server.clone().run(self.start));
        self.update_endpoint(server, "active");
    }

    /// Sets the health of a server in the endpoint list.
    fn update_endpoint(&self, server: &Server, health: &'static str) {
        let entry = endpoint_entry(server, health);
        self.discovery.change(self.now(), |endpoints| endpoints.update(entry));
    }

    /// Restarts discovery. An agent counts its own versions, and starts the count again. The versions of a discovery
    /// that is polled identify one history across restarts; it loses only the changes between them.
    fn restart_discovery(&mut self) {
        let polled = self.scenario.discovery_polled;
        self.discovery.change(self.now(), |endpoints| match polled {
            true => endpoints.forget_changes(),
            false => *endpoints = EndpointList::new(endpoints.entries().to_vec()),
        });
    }

    /// Makes a sidecar reload its configuration: a valid one with another latency objective, or a truncated one.
    fn reload_configuration(&mut self, sidecar: usize, valid: bool) {
        let sidecar = &self.sidecars[sidecar % self.sidecars.len()];
        let mut config: Value = serde_json::from_str(&sidecar.initial_config).unwrap_or_default();
        config["settings"]["classes"][0]["aim"] = json!(RELOADED_LATENCY_OBJECTIVE_US);
        let mut text = config.to_string();
        if !valid {
            text.truncate(text.len() / 2);
        }
        *sidecar.config.borrow_mut() = text;
        let _ = sidecar.reload.try_send(());
    }

    fn terminate_sidecar(&mut self, sidecar: usize) {
        let index = sidecar % self.sidecars.len();
        let now = self.now();
        let sidecar = &mut self.sidecars[index];
        if sidecar.running && sidecar.terminating_since.is_none() {
            sidecar.terminate(now);
            self.oracle.borrow_mut().sidecar_terminating(now, index);
        }
    }

    fn kill_sidecar(&mut self, sidecar: usize, downtime_ms: u64) {
        let index = sidecar % self.sidecars.len();
        let now = self.now();
        if self.sidecars[index].running {
            self.oracle.borrow_mut().sidecar_killed(now, index);
            self.world.kill(self.sidecars[index].host, HostFailure::ProcessKilled);
            let downtime = Duration::from_millis(downtime_ms.min(MAX_DOWNTIME_MS));
            self.sidecars[index].mark_ended(now + downtime);
        }
    }

    /// Spawns an action of the operators at a sidecar.
    fn spawn_operators(
        &self,
        sidecar: usize,
        action: impl FnOnce(Rc<Operators>, AdminTarget) -> BoxedFuture,
    ) {
        let sidecar = sidecar % self.sidecars.len();
        let target = AdminTarget { sidecar, address: admin_address(sidecar) };
        if let Some((host, operators)) = &self.operators {
            self.world.spawn(*host, action(operators.clone(), target));
        }
    }
}
