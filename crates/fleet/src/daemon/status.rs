//! Builds the status of the fleet that operators see.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Daemon;
use super::instance::InstanceProcess;
use crate::control::{FleetStatus, RolloutStatus, SlotState, SlotStatus};
use crate::planner::{DesiredState, RestartState, RolloutProgress};

impl Daemon {
    /// Returns the status of the fleet.
    pub(super) fn status(&self) -> FleetStatus {
        let (now, desired) = (self.now(), self.desired_state());
        let mut names: BTreeSet<&String> =
            desired.slots.iter().chain(&desired.removed_slots).collect();
        names.extend(&self.state.drained_slots);
        names.extend(self.processes.values().map(|process| &process.identity.slot));
        let slots = names.into_iter().map(|slot| self.slot_status(slot, now, &desired));
        let rollout = self.planner.rollout_progress().map(|progress| {
            let RolloutProgress { target, canaries, waves } = progress;
            RolloutStatus { target, canaries, waves }
        });
        FleetStatus {
            version: env!("CARGO_PKG_VERSION").to_owned(),
            pid: std::process::id(),
            file: self.file.clone(),
            target: self.state.target,
            stable: self.state.stable,
            rollout,
            checking: self.checking,
            shutting_down: self.shutdown.is_some(),
            fault: self.fault.clone(),
            socket_holder: self.socket_holder.is_some(),
            slots: slots.collect(),
        }
    }

    fn slot_status(&self, slot: &str, now: Duration, desired: &DesiredState) -> SlotStatus {
        let mut processes: Vec<&InstanceProcess> =
            self.processes.values().filter(|process| process.identity.slot == slot).collect();
        // The process that serves clients comes first.
        processes.sort_by_key(|process| {
            (process.is_draining(), !process.is_ready(), process.started_at)
        });
        let first = processes.first().copied();
        let report = first.and_then(|process| process.status.as_ref());
        let listener = self.listeners.values().rfind(|listener| listener.slot == slot);
        let health = self.planner.slot_health(now, slot);
        let blocked = self.blocked_slots.get(slot).map(|blocked| blocked.reason.clone());
        let last_failure = health.last_failure.map(|failure| failure.to_string());
        SlotStatus {
            slot: slot.to_owned(),
            state: self.slot_state(slot, &processes, health.restart_state, desired),
            listen: listener.map(|listener| listener.address),
            pid: first.map(|process| process.process.pid),
            processes: processes.len(),
            generation: first.map(InstanceProcess::generation),
            version: report.map(|report| report.version.to_string()),
            uptime_seconds: first.map(|process| now.saturating_sub(process.started_at).as_secs()),
            client_connections: report.map(|report| report.client_connections),
            in_flight_requests: report.map(|report| report.in_flight_requests),
            requests: report.map(|report| report.counts),
            out_of_descriptors: report.is_some_and(|report| report.out_of_descriptors),
            failures: health.failures,
            reason: blocked.or(last_failure),
        }
    }

    fn slot_state(
        &self,
        slot: &str,
        processes: &[&InstanceProcess],
        restart_state: RestartState,
        desired: &DesiredState,
    ) -> SlotState {
        if self.blocked_slots.contains_key(slot) {
            return SlotState::Blocked;
        }
        if let Some(first) = processes.first() {
            let remaining = processes.iter().filter(|process| !process.is_draining()).count();
            return match first {
                _ if remaining > 1 || (first.is_ready() && first.restart_requested) => {
                    SlotState::Moving
                }
                _ if first.is_draining() => SlotState::Draining,
                _ if first.is_ready() => SlotState::Serving,
                _ => SlotState::Starting,
            };
        }
        match restart_state {
            _ if self.state.drained_slots.contains(slot) => SlotState::Drained,
            RestartState::CrashLoop => SlotState::CrashLoop,
            _ if desired.slots.contains(slot) => SlotState::Waiting,
            _ => SlotState::Gone,
        }
    }
}
