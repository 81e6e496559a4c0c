//! Starts and stops the clients of the sidecars.

use std::time::Duration;

use fakes::clients::{Load, drive};
use tokio::sync::watch;

use super::Testbed;
use super::probe::is_ready;
use super::setup::{READY_POLL_INTERVAL, START_TIMEOUT};

/// The rate of requests per second below which no clients are started.
const MIN_REQUESTS_PER_S: f64 = 1e-3;
/// The time that clients wait beyond a deadline, before scaling by the scenario's time scale.
const CLIENT_SLACK: Duration = Duration::from_millis(500);

impl Testbed {
    /// Starts the clients of all sidecars that should be running, with the current load factors.
    pub fn start_all_clients(&mut self) {
        for n in 0..self.sidecars.len() {
            if self.sidecars[n].expected {
                self.start_clients(n);
            }
        }
    }

    /// Restarts the clients of a sidecar. They send nothing before the sidecar is ready.
    pub(super) fn start_clients(&mut self, n: usize) {
        self.stop_clients(n);
        let Some(load) = self.client_load(n) else { return };
        let (stop, mut stopped) = watch::channel(false);
        let (target, account) = (self.sidecars[n].listen, self.account.clone());
        let clients = async move {
            let ready = async {
                while !is_ready(target).await {
                    tokio::time::sleep(READY_POLL_INTERVAL).await;
                }
            };
            let started = tokio::select! {
                ready = tokio::time::timeout(START_TIMEOUT, ready) => ready.is_ok(),
                _ = stopped.wait_for(|stopped| *stopped) => false,
            };
            if started {
                drive(target, account, load, stopped).await;
            }
        };
        self.sidecars[n].stop_clients = Some(stop);
        self.client_tasks.retain(|task| !task.is_finished());
        self.client_tasks.push(fakes::runtime().spawn(clients));
    }

    /// Returns the load of a sidecar's clients, or `None` if there is none.
    fn client_load(&mut self, n: usize) -> Option<Load> {
        let load = &self.scenario.load;
        let total_share = load.total_share();
        let tenants = load.tenants.iter().zip(&self.load_factors.tenants);
        let shares: Vec<f64> =
            tenants.map(|(tenant, factor)| tenant.share * factor / total_share).collect();
        let sidecar_rate = load.requests_per_s * self.sidecars[n].load_share;
        let rate = sidecar_rate * self.load_factors.all * shares.iter().sum::<f64>();
        if rate < MIN_REQUESTS_PER_S {
            return None;
        }
        self.client_starts += 1;
        Some(Load {
            rate,
            retries: load.client_retries,
            leave_share: load.leave_share,
            silent_connections: load.silent_connections,
            resting_connections: load.resting_connections,
            slack: CLIENT_SLACK.mul_f64(self.scenario.time_scale),
            tenants: load.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            shares,
            seed: self.scenario.seed ^ (n as u64) << 40 ^ self.client_starts << 50,
            ..Load::default()
        })
    }

    /// Stops the clients of a sidecar. They still wait for their open requests.
    pub(super) fn stop_clients(&mut self, n: usize) {
        if let Some(stop) = self.sidecars[n].stop_clients.take() {
            stop.send_replace(true);
        }
    }
}
