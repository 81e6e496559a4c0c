//! The configuration of a host.

use std::path::PathBuf;

use fakes::account::Class;

/// The configuration of a host.
pub struct Plan {
    /// The number of instances, which are distributed over the zones.
    pub instances: usize,
    /// The number of log servers in each zone.
    pub servers: usize,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The lines of `fleet.toml` under `[rollout]`.
    pub rollout: String,
    /// The lines of `fleet.toml` under `[restarts]`.
    pub restarts: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// The log file of the programs. `None` means the standard error of this process.
    pub log: Option<PathBuf>,
    /// Whether to show the progress of the build of the programs.
    pub progress: bool,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            instances: 6,
            servers: 2,
            classes: fakes::world::classes(1.0),
            rollout: "watch_s = 2.0\nshare = 0.2".to_owned(),
            restarts: String::new(),
            seed: 1,
            log: None,
            progress: false,
        }
    }
}
