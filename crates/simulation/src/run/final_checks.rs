//! The rules that are checked at the end: `recovery`, `left over` and `end`.

use std::time::Duration;

use super::{LOAD_END, Simulation};
use crate::oracle::{Rule, Served};
use crate::scenario::FAULTS_END_MS;

/// How long after the last fault requests are served again.
const RECOVERY_TIME: Duration = Duration::from_millis(5000);
/// The share of requests that is served then.
const RECOVERED_SHARE: f64 = 0.95;
/// This many may fail all the same: requests on connections that a fault left dead, and those that are
/// shed because they are late.
const TOLERATED_FAILURES: u64 = 6;
/// Requests sent later may not have their response at the end of the load.
const RESPONSE_MARGIN: Duration = Duration::from_millis(800);
/// How long sidecars may take to terminate at the end.
const TERMINATION_TIME: Duration = Duration::from_secs(3);

impl Simulation<'_> {
    /// Measures what a sidecar holds before there is any load.
    pub(super) fn measure_baseline(&mut self) {
        self.baseline = self.held_resources(&self.sidecars[0]);
        if self.scenario.discovery_polled {
            // The connection to discovery, which may come later.
            self.baseline.tasks += 1;
            self.baseline.sockets += 1;
        }
    }

    /// The requests that were sent when the sidecars should have recovered from all faults.
    pub(super) fn recovery(&self) -> Served {
        let from = Duration::from_millis(FAULTS_END_MS) + RECOVERY_TIME;
        self.oracle.borrow().served_between(from, LOAD_END - RESPONSE_MARGIN)
    }

    /// The rule `recovery`: some time after the last fault requests are served again.
    pub(super) fn check_recovery(&mut self) {
        let Served { served, requests } = self.recovery();
        let failed = requests - served;
        if failed > TOLERATED_FAILURES && (served as f64) < RECOVERED_SHARE * requests as f64 {
            let message = format!("{served} of {requests} served, seconds after the last fault");
            self.oracle.borrow_mut().violate(self.now(), Rule::Recovery, message);
        }
    }

    /// The rule `left over`: a sidecar without load holds no more than before there was any.
    pub(super) fn check_released(&mut self) {
        if self.is_over() {
            return;
        }
        for sidecar in &self.sidecars {
            let held = self.held_resources(sidecar);
            if held.tasks > self.baseline.tasks || held.sockets > self.baseline.sockets {
                let message = format!(
                    "sidecar {} holds {held:?} without load, {:?} at first",
                    sidecar.index, self.baseline
                );
                self.oracle.borrow_mut().violate(self.now(), Rule::LeftOver, message);
                return;
            }
        }
    }

    /// The rule `end`: sidecars that are asked to terminate do so.
    pub(super) fn check_termination(&mut self) {
        if self.is_over() {
            return;
        }
        let now = self.now();
        for sidecar in &mut self.sidecars {
            sidecar.terminate(now);
        }
        let end = now + TERMINATION_TIME;
        let _ = self.world.run_until(end, || Ok::<(), std::convert::Infallible>(()));
        if let Some(sidecar) = self.sidecars.iter().find(|sidecar| !sidecar.ended.get()) {
            let message = format!("sidecar {} does not end", sidecar.index);
            self.oracle.borrow_mut().violate(now, Rule::End, message);
        }
    }
}
