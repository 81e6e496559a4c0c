//! Starts the hollow and real sidecars.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{ChildStdout, Stdio};

use fakes::program::built;
use fakes::world::{classes, settings};
use fault_injection::processes::{ReservedPort, unique_loopback_address};
use serde_json::{Value, json};

use super::{Cluster, RealSidecar, SharedStatus, Zone};
use crate::error::RunError;
use crate::hollow::{Group, GroupStatus, HollowSidecar};
use crate::process::{Process, guarded};

/// The time between two gossip rounds of a hollow sidecar, in milliseconds.
const GOSSIP_INTERVAL_MS: u64 = 1000;
/// The factor on the latency objectives and deadlines of the sidecars' settings.
const TIME_SCALE: f64 = 8.0;
/// The start of the range of ports from which this process uses one for all its hollow sidecars.
const FIRST_PORT: u16 = 20_000;
/// The number of ports in that range.
const PORT_COUNT: u32 = 20_000;
/// The offset of the first hollow sidecar's address in 127.200.0.0/16.
const FIRST_ADDRESS: u32 = 257;

impl Cluster<'_> {
    /// Starts all hollow and real sidecars.
    pub fn start_sidecars(&mut self) -> Result<(), RunError> {
        for (zone, sidecars) in self.hollow_sidecars().into_iter().enumerate() {
            let group = Group {
                sidecars,
                control_servers: self.control_servers_of(zone),
                servers_per_service: self.sidecars_per_service(),
                seed: self.plan.seed ^ (zone as u64) << 32,
            };
            self.zones.push(Zone { group, process: None, status: SharedStatus::default() });
            self.start_zone(zone)?;
        }
        (0..self.plan.real_sidecar_count()).try_for_each(|n| self.start_real_sidecar(n))
    }

    fn sidecars_per_service(&self) -> usize {
        (self.plan.sidecar_count() / self.plan.service_count()).max(1)
    }

    /// Returns the hollow sidecars by zone. Sidecars of the same service gossip with each other.
    fn hollow_sidecars(&self) -> Vec<Vec<HollowSidecar>> {
        let (zone_count, service_count) = (self.plan.zone_count(), self.plan.service_count());
        let mut zones: Vec<Vec<HollowSidecar>> = vec![Vec::new(); zone_count];
        for service in 0..service_count {
            let members: Vec<usize> =
                (service..self.plan.sidecar_count()).step_by(service_count).collect();
            let peers: Vec<SocketAddr> = members.iter().map(|n| hollow_address(*n)).collect();
            for (number, n) in members.iter().enumerate() {
                let zone = (n / service_count + service) % zone_count;
                let name = format!("s{n}");
                let config = self.hollow_configuration(&name, number, zone, &peers);
                let zone_name = format!("z{zone}");
                zones[zone].push(HollowSidecar { name, zone: zone_name, service, config });
            }
        }
        zones
    }

    /// Returns the configuration of the hollow sidecar with index `number` in `peers`.
    fn hollow_configuration(
        &self,
        name: &str,
        number: usize,
        zone: usize,
        peers: &[SocketAddr],
    ) -> Value {
        let mut config = self.base_configuration(name, peers[number]);
        config["settings"]["me"] = json!(number);
        config["settings"]["instances"] = json!(peers.len());
        config["settings"]["zone"] = json!(zone);
        config["settings"]["limits"]["mayTell"] = json!(true);
        config["tier"] = json!({"turn_ms": GOSSIP_INTERVAL_MS});
        config["peer_listen"] = json!(peers[number].to_string());
        config["peers"] = peers.iter().map(ToString::to_string).collect();
        config
    }

    /// Returns the configuration of a sidecar without the distributed documents.
    fn base_configuration(&self, name: &str, listen: SocketAddr) -> Value {
        let mut settings = settings(&classes(TIME_SCALE));
        settings["zones"] = (0..self.plan.zone_count()).map(|zone| format!("z{zone}")).collect();
        settings["zone"] = json!(0);
        settings["me"] = json!(0);
        settings["instances"] = json!(1);
        json!({
            "name": name, "listen": listen.to_string(), "discovery": self.registry.at.to_string(),
            "seed": "00000000000000a7", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "settings": settings,
        })
    }

    /// Starts the process of a zone's hollow sidecars.
    pub(super) fn start_zone(&mut self, zone: usize) -> Result<(), RunError> {
        let log = self.folder.path().join(format!("z{zone}.log"));
        let mut command = guarded(&self.own_program)?;
        command.args(["scale", "hollow"]);
        let (mut process, output) = Process::start(command, &log)?;
        let group = serde_json::to_string(&self.zones[zone].group)?;
        let input = process.input.as_mut().ok_or(RunError::NoPipe)?;
        writeln!(input, "{group}")?;
        let status = SharedStatus::default();
        follow_status(output, status.clone());
        self.zones[zone].status = status;
        self.zones[zone].process = Some(process);
        Ok(())
    }

    fn start_real_sidecar(&mut self, n: usize) -> Result<(), RunError> {
        let listen = ReservedPort::new(unique_loopback_address())?.address;
        let name = format!("real-{n}");
        let folder = self.folder.path();
        let base = folder.join(format!("{name}-base.json"));
        let config = folder.join(format!("{name}.json"));
        let base_configuration = self.base_configuration(&name, listen).to_string();
        std::fs::write(&base, &base_configuration)?;
        std::fs::write(&config, &base_configuration)?;

        let mut command = guarded(&built("lb-sidecar", false)?)?;
        command.env("LB_CONFIG", &config).stdin(Stdio::null());
        let (sidecar, _) = Process::start(command, &folder.join(format!("{name}.log")))?;

        let mut command = guarded(&self.config_program)?;
        command.args(self.host_arguments(n, &name, &base, &config));
        let (host, _) = Process::start(command, &folder.join(format!("{name}-host.log")))?;
        self.real_sidecars.push(RealSidecar { sidecar, host });
        Ok(())
    }

    /// Returns the arguments of the host agent of a real sidecar.
    fn host_arguments(&self, n: usize, name: &str, base: &Path, config: &Path) -> Vec<String> {
        let zone = n % self.plan.zone_count();
        let mut arguments = vec![
            "host".to_owned(),
            format!("--name={name}"),
            format!("--zone=z{zone}"),
            format!("--service=service-{}", n % self.plan.service_count()),
        ];
        let servers = self.control_servers_of(zone).into_iter();
        arguments.extend(servers.map(|(name, address)| format!("--control={name}={address}")));
        arguments.push("alone".to_owned());
        arguments.push(format!("--base={}", base.display()));
        arguments.push(format!("--config={}", config.display()));
        arguments
    }
}

/// Returns the address of a hollow sidecar. Each one has its own IP address, by which its peers identify it, and all
/// share a port that depends on the id of this process.
fn hollow_address(n: usize) -> SocketAddr {
    let port = FIRST_PORT + (std::process::id() % PORT_COUNT) as u16;
    let n = n as u32 + FIRST_ADDRESS;
    SocketAddr::from(([127, 200, (n >> 8) as u8, (n & 255) as u8], port))
}

/// Reads the status lines of a process of hollow sidecars until its output ends, and stores the last one in `status`.
fn follow_status(output: ChildStdout, status: SharedStatus) {
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if let Ok(reported) = serde_json::from_str::<GroupStatus>(&line) {
                *status.lock() = reported;
            }
        }
    });
}
