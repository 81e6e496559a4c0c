//! Load on the instances of a host.

use fakes::clients::{Load, drive};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::host::Host;

/// A handle of running clients. Dropping it stops them without waiting for their open requests.
pub struct RunningLoad {
    stop: watch::Sender<bool>,
    clients: Vec<JoinHandle<()>>,
}

impl RunningLoad {
    /// Stops the load and waits for the open requests.
    pub fn stop(self) {
        self.stop.send_replace(true);
        fakes::runtime().block_on(async {
            for client in self.clients {
                let _ = client.await;
            }
        });
    }
}

impl Host {
    /// Starts clients that send load to every instance that listens now.
    pub fn start_load(&self, load: &Load) -> RunningLoad {
        let (stop, stopped) = watch::channel(false);
        let mut clients = Vec::new();
        let addresses = self.instances().into_iter().filter_map(|instance| instance.listen);
        for (n, address) in addresses.enumerate() {
            let load = Load { seed: load.seed ^ (n as u64) << 40, ..load.clone() };
            let client = drive(address, self.account().clone(), load, stopped.clone());
            clients.push(fakes::runtime().spawn(client));
        }
        RunningLoad { stop, clients }
    }

    /// Waits until more than `count` further requests have been served.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than [`fakes::PATIENCE`].
    pub fn wait_until_served(&self, count: u64) {
        let before = self.account().report().served();
        fakes::until("requests are served", || self.account().report().served() > before + count);
    }
}
