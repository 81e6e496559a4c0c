//! Converts the faults of a scenario file to events.

use std::collections::BTreeSet;

use super::error::{Problem, in_range};
use super::file::{FaultKind, FaultTable, MAX_DURATION_S, ServerFault};
use super::selectors::Nodes;
use super::values::{impairment, json_table, tenant_number};
use super::{Action, Availability, Event, ServerState, Tenant};
use crate::links::ActiveFault;

/// The minimum share of the time for which a throttled sidecar runs.
const MIN_THROTTLE_SHARE: f64 = 0.05;
/// The maximum factor on load and on service times.
const MAX_FACTOR: f64 = 1e3;

/// Collects the events of one fault.
pub(super) struct FaultEvents<'a> {
    /// The nodes that the fault can affect.
    pub nodes: &'a Nodes,
    /// The tenants that the fault can affect.
    pub tenants: &'a [Tenant],
    /// The length of the run in seconds. Events after its end are omitted.
    pub run_s: f64,
    /// The fault's number in the file, from 0.
    pub number: usize,
    /// The definition of the fault.
    pub table: &'a FaultTable,
    /// The events so far, including those of other faults.
    pub events: &'a mut Vec<Event>,
}

impl FaultEvents<'_> {
    /// Adds the events of the fault.
    pub fn add(&mut self) -> Result<(), Problem> {
        let fault = self.table;
        in_range(fault.at_s, "at_s", 0.0, self.run_s)?;
        in_range(fault.spread_s, "spread_s", 0.0, self.run_s)?;
        if let Some(duration_s) = fault.duration_s {
            in_range(duration_s, "for_s", 0.0, MAX_DURATION_S)?;
        }
        match fault.kind {
            FaultKind::Link => self.link(),
            FaultKind::Kill => self.each_sidecar(|s| Ok(Action::Kill(s)), restart(fault)),
            FaultKind::Terminate => self.each_sidecar(|s| Ok(Action::Terminate(s)), restart(fault)),
            FaultKind::Pause => self.each_sidecar(|s| Ok(Action::Pause(s)), Action::Resume),
            FaultKind::Throttle => self.each_sidecar(
                |sidecars| {
                    let share = required(fault.share, "share")?;
                    let share = in_range(share, "share", MIN_THROTTLE_SHARE, 1.0)?;
                    Ok(Action::Throttle(sidecars, share))
                },
                Action::Unthrottle,
            ),
            FaultKind::Server => self.server(),
            FaultKind::Discovery => {
                self.push_pair(
                    Action::SetDiscovery(Availability::Down),
                    Action::SetDiscovery(Availability::Up),
                );
                Ok(())
            }
            FaultKind::Load => self.load(),
            FaultKind::Configure => self.configure(),
        }
    }

    fn push(&mut self, at_s: f64, action: Action) {
        if at_s <= self.run_s {
            self.events.push(Event { at_s, fault: self.number, action });
        }
    }

    /// Adds the event of the fault's beginning and, if it has a duration, that of its end.
    fn push_pair(&mut self, begin: Action, end: Action) {
        self.push(self.table.at_s, begin);
        if let Some(duration_s) = self.table.duration_s {
            self.push(self.table.at_s + duration_s, end);
        }
    }

    fn link(&mut self) -> Result<(), Problem> {
        let fault = self.table;
        let link = fault.link.as_ref().ok_or(Problem::Missing { key: "link" })?;
        let impairment = impairment(link).map_err(|problem| problem.within("link"))?;
        let from = self.nodes.select(&fault.from, "from")?;
        let to = if fault.to == ["others"] {
            self.nodes.others(&from)
        } else {
            self.nodes.select(&fault.to, "to")?
        };
        if from.is_empty() || to.is_empty() {
            return Err(Problem::Missing { key: "from, to" });
        }
        let active = Box::new(ActiveFault {
            fault: self.number,
            from,
            to,
            both_directions: fault.both_directions,
            impairment,
        });
        let (from, to) = (fault.from.clone(), fault.to.clone());
        self.push_pair(Action::Inject { from, to, fault: active }, Action::Clear);
        Ok(())
    }

    /// Adds events for all sidecars of the fault: at the same time, or one after another, evenly over the spread.
    fn each_sidecar(
        &mut self,
        begin: impl Fn(BTreeSet<u16>) -> Result<Action, Problem>,
        end: impl Fn(BTreeSet<u16>) -> Action,
    ) -> Result<(), Problem> {
        let fault = self.table;
        let all = self.nodes.select_sidecars(&fault.nodes, "of")?;
        let step = fault.spread_s / all.len().max(1) as f64;
        let batches: Vec<(f64, BTreeSet<u16>)> = if fault.spread_s == 0.0 {
            vec![(0.0, all)]
        } else {
            all.into_iter().enumerate().map(|(n, s)| (step * n as f64, [s].into())).collect()
        };
        for (offset_s, sidecars) in batches {
            self.push(fault.at_s + offset_s, begin(sidecars.clone())?);
            if let Some(duration_s) = fault.duration_s {
                self.push(fault.at_s + duration_s + offset_s, end(sidecars));
            }
        }
        Ok(())
    }

    fn server(&mut self) -> Result<(), Problem> {
        let fault = self.table;
        let servers = self.nodes.select_servers(&fault.nodes, "of")?;
        let share = || in_range(required(fault.share, "share")?, "share", 0.0, 1.0);
        let factor = || in_range(required(fault.factor, "times")?, "times", 1.0, MAX_FACTOR);
        let state = match required(fault.server_fault, "how")? {
            ServerFault::Draining => ServerState::Draining,
            ServerFault::Dead => ServerState::Dead,
            ServerFault::Slow => ServerState::Slow(factor()?),
            ServerFault::Errors => ServerState::Errors(share()?),
            ServerFault::Hangs => ServerState::Hangs(share()?),
        };
        let recovery = Action::SetServers(servers.clone(), ServerState::Healthy);
        self.push_pair(Action::SetServers(servers, state), recovery);
        Ok(())
    }

    fn load(&mut self) -> Result<(), Problem> {
        let fault = self.table;
        let factor = in_range(required(fault.factor, "times")?, "times", 0.0, MAX_FACTOR)?;
        let tenant = tenant_number(self.tenants, fault.tenant.as_deref())?;
        self.push_pair(Action::ScaleLoad(tenant, factor), Action::ScaleLoad(tenant, 1.0));
        Ok(())
    }

    fn configure(&mut self) -> Result<(), Problem> {
        let fault = self.table;
        let patch = fault.patch.as_ref().ok_or(Problem::Missing { key: "set" })?;
        let sidecars = self.nodes.select_sidecars(&fault.nodes, "of")?;
        let action = Action::Configure(sidecars, json_table(patch, "set")?);
        self.push(fault.at_s, action);
        Ok(())
    }
}

/// Returns the action that starts sidecars again after this fault.
fn restart(fault: &FaultTable) -> impl Fn(BTreeSet<u16>) -> Action + use<> {
    let discard_state = fault.discard_state;
    move |sidecars| Action::Start { sidecars, discard_state }
}

fn required<T>(value: Option<T>, key: &'static str) -> Result<T, Problem> {
    value.ok_or(Problem::Missing { key })
}
