//! Samples the state of a testbed.

use fakes::account::TenantReport;
use tokio::task::JoinHandle;

use super::probe::sidecar_metrics;
use super::{Sidecar, Testbed};
use crate::sample::{ResourceUse, Sample, SidecarMetrics, Totals};

/// A sample that is complete except for the metrics of the sidecars.
pub struct PendingSample {
    sample: Sample,
    sidecar_metrics: Vec<JoinHandle<Option<SidecarMetrics>>>,
}

impl PendingSample {
    /// Returns whether every sidecar has answered or timed out.
    pub fn is_complete(&self) -> bool {
        self.sidecar_metrics.iter().all(JoinHandle::is_finished)
    }

    /// Waits for the missing answers and returns the sample.
    pub fn complete(self) -> Sample {
        let wait = |task: JoinHandle<_>| fakes::runtime().block_on(task).ok().flatten();
        let sidecar_metrics = self.sidecar_metrics.into_iter().map(wait).collect();
        Sample { sidecar_metrics, ..self.sample }
    }
}

impl Testbed {
    /// Samples the current state. The sidecars' metrics are queried in the background, so that a sidecar that hangs
    /// delays nothing.
    pub fn sample(&mut self) -> PendingSample {
        self.count_crashes();
        let metrics = self.sidecars.iter().map(|sidecar| {
            let admin = sidecar.expected.then_some(sidecar.admin);
            fakes::runtime().spawn(sidecar_metrics(admin))
        });
        let sidecar_metrics = metrics.collect();
        let report = self.account.report();
        let mut tenants: Vec<Totals> = report.tenants.iter().map(totals).collect();
        tenants.resize(self.scenario.load.tenants.len(), Totals::default());
        let sample = Sample {
            at_s: self.network.elapsed().as_secs_f64(),
            totals: tenants.iter().copied().sum(),
            tenants,
            violations: report.violations() + self.crashes,
            server_attempts: report.servers.values().map(|server| server.received).sum(),
            client_attempts: report.attempts,
            gossip: self.gossip.counts(),
            sidecar_metrics: Vec::new(),
            resources: self.sidecars.iter().map(resource_use).collect(),
        };
        PendingSample { sample, sidecar_metrics }
    }

    fn count_crashes(&mut self) {
        for (n, sidecar) in self.sidecars.iter_mut().enumerate() {
            if sidecar.expected && sidecar.process.has_exited() {
                sidecar.expected = false;
                self.crashes += 1;
                self.problems.push(format!("s{n} has ended by itself"));
            }
        }
    }
}

/// Returns the resources that a sidecar uses, and the limits of its configuration. `None` if it should not be running.
fn resource_use(sidecar: &Sidecar) -> Option<ResourceUse> {
    let (descriptors, memory_kib) =
        sidecar.expected.then(|| sidecar.process.descriptors_and_memory()).flatten()?;
    let limits = &sidecar.config["limits"];
    Some(ResourceUse {
        descriptors,
        max_descriptors: limits["sockets"].as_u64()?,
        memory_kib,
        max_memory_kib: limits["memory_mb"].as_u64()? << 10,
    })
}

fn totals(tenant: &TenantReport) -> Totals {
    Totals {
        requested: tenant.requested,
        served: tenant.served,
        in_time: tenant.in_time,
        rejected: tenant.rejected,
        failed: tenant.failed,
    }
}
