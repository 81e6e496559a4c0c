//! Injects and ends the faults of a plan.

use fault_injection::links::{ActiveFault, Impairment, Node};

use super::{Cluster, ControlState, SharedStatus};
use crate::error::RunError;
use crate::plan::{Fault, FaultKind};

impl Cluster<'_> {
    /// Injects a fault.
    pub fn begin(&mut self, fault: &Fault) -> Result<(), RunError> {
        let target = fault.target;
        match fault.kind {
            FaultKind::KillControl => self.control_servers[target] = None,
            FaultKind::StopControl => {
                self.control_servers[target].iter().for_each(|server| server.pause());
            }
            FaultKind::CutRegion => {
                let partition = self.region_partition(target);
                self.network.update(|links| {
                    links.clear(target);
                    links.inject(partition);
                });
            }
            FaultKind::KillZone => {
                self.zones[target].process = None;
                self.zones[target].status = SharedStatus::default();
            }
            FaultKind::ReplaceOrigin => {
                self.origins[0] = None;
                self.start_origin(1)?;
            }
        }
        Ok(())
    }

    /// Ends a fault.
    pub fn end(&mut self, fault: &Fault) -> Result<(), RunError> {
        let target = fault.target;
        match fault.kind {
            FaultKind::KillControl => self.start_control_server(target, ControlState::Stored)?,
            FaultKind::StopControl => {
                self.control_servers[target].iter().for_each(|server| server.resume());
            }
            FaultKind::CutRegion => self.network.update(|links| links.clear(target)),
            FaultKind::KillZone => self.start_zone(target)?,
            FaultKind::ReplaceOrigin => {}
        }
        Ok(())
    }

    /// Returns a fault that partitions the control servers of a region from the origins.
    fn region_partition(&self, region: usize) -> ActiveFault {
        let servers = 0..self.control_addresses.len();
        let own = servers.filter(|n| self.plan.region_of(*n) == region);
        ActiveFault {
            fault: region,
            from: own.map(|n| Node::Sidecar(n as u16)).collect(),
            to: [Node::Discovery].into(),
            both_directions: true,
            impairment: Impairment::cut(),
        }
    }
}
