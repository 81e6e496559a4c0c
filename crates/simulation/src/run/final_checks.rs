//! Checks the rules that apply at the end of a run: `recovery`, `left over` and `end`.

use std::time::Duration;

use super::{LOAD_END, Simulation};
use crate::oracle::{Rule, Served};
use crate::scenario::FAULTS_END_MS;

/// The time after the last fault within which sidecars recover.
const RECOVERY_TIME: Duration = Duration::from_millis(5000);
/// The share of requests that are served after the recovery.
const RECOVERED_SHARE: f64 = 0.95;
/// The number of requests that may fail after the recovery: those on connections that a fault left dead, and those
/// that are shed because they are late.
const TOLERATED_FAILURES: u64 = 6;
/// The time before the end of the load after which requests may have no response yet.
const RESPONSE_MARGIN: Duration = Duration::from_millis(800);
/// The time within which sidecars terminate at the end of a run.
const TERMINATION_TIME: Duration = Duration::from_secs(3);

impl Simulation<'_> {
    /// Measures the resources that a sidecar holds before there is any load.
    pub(super) fn measure_baseline(&mut self) {
        self.baseline = self.held_resources(&self.sidecars[0]);
        if self.scenario.discovery_polled {
            // The connection to discovery may be opened after this measurement.
            self.baseline.tasks += 1;
            self.baseline.sockets += 1;
        }
    }

    /// Returns the counts of the requests that were sent after the recovery time.
    pub(super) fn recovery(&self) -> Served {
        let from = Duration::from_millis(FAULTS_END_MS) + RECOVERY_TIME;
        self.oracle.borrow().served_between(from, LOAD_END - RESPONSE_MARGIN)
    }

    /// Checks the rule `recovery`: some time after the last fault, requests are served again.
    pub(super) fn check_recovery(&mut self) {
        let Served { served, requests } = self.recovery();
        let failed = requests - served;
        if failed > TOLERATED_FAILURES && (served as f64) < RECOVERED_SHARE * requests as f64 {
            let message = format!("{served} of {requests} requests served after the recovery time");
            self.oracle.borrow_mut().violate(self.now(), Rule::Recovery, message);
        }
    }

    /// Checks the rule `left over`: a sidecar without load holds no more resources than before the load.
    pub(super) fn check_released(&mut self) {
        if self.is_rule_broken() {
            return;
        }
        for sidecar in &self.sidecars {
            let held = self.held_resources(sidecar);
            if held.tasks > self.baseline.tasks || held.sockets > self.baseline.sockets {
                let message = format!(
                    "sidecar {} holds {held:?} without load, and held {:?} before the load",
                    sidecar.index, self.baseline
                );
                self.oracle.borrow_mut().violate(self.now(), Rule::LeftOver, message);
                return;
            }
        }
    }

    /// Checks the rule `end`: sidecars that are asked to terminate do so in time.
    pub(super) fn check_termination(&mut self) {
        if self.is_rule_broken() {
            return;
        }
        let now = self.now();
        for sidecar in &mut self.sidecars {
            sidecar.terminate(now);
        }
        let end = now + TERMINATION_TIME;
        let _ = self.world.run_until(end, || Ok::<(), std::convert::Infallible>(()));
        if let Some(sidecar) = self.sidecars.iter().find(|sidecar| !sidecar.ended.get()) {
            let message = format!("sidecar {} has not terminated in time", sidecar.index);
            self.oracle.borrow_mut().violate(now, Rule::End, message);
        }
    }
}
