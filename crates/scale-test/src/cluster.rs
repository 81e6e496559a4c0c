//! The processes of a scale test: origins, control servers, hollow and real sidecars.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fakes::program::{Folder, built};
use fakes::registry::{Entry, Registry};
use fakes::scripted::Server;
use fault_injection::links::{Links, Node};
use fault_injection::network::Network;
use fault_injection::processes::{ReservedPort, unique_loopback_address};
use fault_injection::relay::Relay;
use local_cluster::Usage;

use crate::error::RunError;
use crate::hollow::{Group, GroupStatus};
use crate::plan::Plan;
use crate::process::{Process, guarded};

mod faults;
mod origin;
mod sidecars;

/// The time between two checks of the state of the run.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The number of origins of a run: the first one and its replacement.
const ORIGIN_COUNT: usize = 2;

/// The resource usage of all processes so far, by role. An entry of role `hollow` is the mean usage per sidecar of one
/// process.
pub(crate) type UsageByRole = BTreeMap<String, Vec<Usage>>;

/// The running processes of a scale test, which end when it is dropped.
pub(crate) struct Cluster<'a> {
    /// The plan of the run.
    pub plan: &'a Plan,
    folder: Folder,
    config_program: PathBuf,
    own_program: PathBuf,
    network: Network,
    _relays: Vec<Relay>,
    origin_addresses: Vec<SocketAddr>,
    /// For each control server, the addresses of its relays to the origins.
    relay_addresses: Vec<Vec<SocketAddr>>,
    control_addresses: Vec<SocketAddr>,
    origins: Vec<Option<Process>>,
    control_servers: Vec<Option<Process>>,
    zones: Vec<Zone>,
    real_sidecars: Vec<RealSidecar>,
    /// The discovery of the real sidecars.
    registry: Registry,
    _server: Server,
    /// The number of changes that were published, including attempts that failed.
    published: u64,
}

/// The hollow sidecars of a zone, with their process.
struct Zone {
    group: Group,
    process: Option<Process>,
    status: SharedStatus,
}

/// The last status reported by a process of hollow sidecars.
#[derive(Clone, Default)]
struct SharedStatus(Arc<Mutex<GroupStatus>>);

impl SharedStatus {
    fn lock(&self) -> MutexGuard<'_, GroupStatus> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A real sidecar and its host agent.
struct RealSidecar {
    sidecar: Process,
    host: Process,
}

/// The propagation of a change.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Propagation {
    /// The number of hollow sidecars where the change is in force.
    pub sidecar_count: usize,
    /// The time at which the last of them applied the change, in microseconds of Unix time.
    pub last_us: u64,
}

impl<'a> Cluster<'a> {
    /// Starts the control servers and the first origin.
    pub fn start(plan: &'a Plan, own_program: &Path) -> Result<Cluster<'a>, RunError> {
        let mut origin_addresses = free_addresses(plan.control_server_count() + ORIGIN_COUNT)?;
        let control_addresses = origin_addresses.split_off(ORIGIN_COUNT);
        let network = Network::new(Links::default(), plan.seed);
        let (mut relays, mut relay_addresses) = (Vec::new(), Vec::new());
        for n in 0..plan.control_server_count() {
            let to_origins = start_relays(&network, n, &origin_addresses)?;
            relay_addresses.push(to_origins.iter().map(|relay| relay.address).collect());
            relays.extend(to_origins);
        }
        let server = Server::echo();
        let registry = Registry::start(vec![Entry::new(server.at, "z0")]);
        let mut cluster = Cluster {
            plan,
            folder: Folder::new("scale"),
            config_program: built("lb-config", false)?,
            own_program: own_program.to_owned(),
            network,
            _relays: relays,
            origin_addresses,
            relay_addresses,
            control_addresses,
            origins: (0..ORIGIN_COUNT).map(|_| None).collect(),
            control_servers: (0..plan.control_server_count()).map(|_| None).collect(),
            zones: Vec::new(),
            real_sidecars: Vec::new(),
            registry,
            _server: server,
            published: 0,
        };
        for n in 0..plan.control_server_count() {
            cluster.start_control_server(n, ControlState::New)?;
        }
        cluster.start_origin(0)?;
        Ok(cluster)
    }

    /// Returns the directory of the logs of all processes.
    pub fn log_directory(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the propagation of a change.
    pub fn propagation(&self, generation: u64) -> Propagation {
        let mut sum = Propagation::default();
        for zone in &self.zones {
            if let Some((count, last_us)) = zone.status.lock().in_force.get(&generation) {
                sum.sidecar_count += count;
                sum.last_us = sum.last_us.max(*last_us);
            }
        }
        sum
    }

    /// Returns the sums of the counts of all hollow sidecars, without `in_force`.
    pub fn hollow_counts(&self) -> GroupStatus {
        let mut sum = GroupStatus::default();
        for zone in &self.zones {
            let status = zone.status.lock();
            sum.rejected += status.rejected;
            sum.regressions += status.regressions;
            sum.complete_memberships += status.complete_memberships;
            sum.endpoint_lists += status.endpoint_lists;
        }
        sum
    }

    /// Returns the resource usage of all processes so far.
    pub fn usage(&self) -> UsageByRole {
        let each = |processes: &[Option<Process>]| -> Vec<Usage> {
            processes.iter().flatten().map(Process::usage).collect()
        };
        BTreeMap::from([
            ("control".to_owned(), each(&self.control_servers)),
            ("origin".to_owned(), each(&self.origins)),
            ("hollow".to_owned(), self.zones.iter().filter_map(Zone::usage_per_sidecar).collect()),
            ("real".to_owned(), self.real_sidecars.iter().map(RealSidecar::usage).collect()),
        ])
    }

    fn start_control_server(&mut self, n: usize, state: ControlState) -> Result<(), RunError> {
        let directory = self.folder.path().join(format!("c{n}"));
        let mut arguments = vec![
            "control".to_owned(),
            format!("--listen={}", self.control_addresses[n]),
            format!("--name=c{n}"),
            format!("--state={}", directory.display()),
        ];
        arguments.extend(self.relay_addresses[n].iter().map(|at| format!("--origin={at}")));
        arguments.extend(self.members(Some(n)).map(|member| format!("--other={member}")));
        if state == ControlState::New {
            arguments.push("--new".to_owned());
        }
        self.control_servers[n] = Some(self.start_server(&arguments, &format!("c{n}.log"))?);
        Ok(())
    }

    fn start_origin(&mut self, n: usize) -> Result<(), RunError> {
        let mut arguments = vec![
            "origin".to_owned(),
            format!("--listen={}", self.origin_addresses[n]),
            format!("--number={n}"),
        ];
        arguments.extend(self.members(None).map(|member| format!("--member={member}")));
        self.origins[n] = Some(self.start_server(&arguments, "origin.log")?);
        Ok(())
    }

    /// Starts a process of `lb-config`, and waits until it prints its address.
    fn start_server(&self, arguments: &[String], log: &str) -> Result<Process, RunError> {
        let mut command = guarded(&self.config_program)?;
        command.args(arguments);
        let (process, output) = Process::start(command, &self.folder.path().join(log))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        match line.trim().parse::<SocketAddr>() {
            Ok(_) => Ok(process),
            Err(_) => Err(RunError::NotStarted { arguments: arguments.join(" ") }),
        }
    }

    /// Returns the control servers except one, in the form `NAME=ADDRESS` of command line arguments.
    fn members(&self, except: Option<usize>) -> impl Iterator<Item = String> {
        let all = self.control_addresses.iter().enumerate();
        let others = all.filter(move |(n, _)| Some(*n) != except);
        others.map(|(n, address)| format!("c{n}={address}"))
    }

    /// Returns the control servers in the region of a zone, which are those that the hosts of the zone use.
    fn control_servers_of(&self, zone: usize) -> Vec<(String, SocketAddr)> {
        let region = self.plan.region_of(zone);
        let all = self.control_addresses.iter().enumerate();
        let own = all.filter(|(n, _)| self.plan.region_of(*n) == region);
        own.map(|(n, address)| (format!("c{n}"), *address)).collect()
    }
}

/// The state with which a control server starts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ControlState {
    /// No state.
    New,
    /// The state that an earlier process has stored.
    Stored,
}

impl Zone {
    fn usage_per_sidecar(&self) -> Option<Usage> {
        let count = self.group.sidecars.len().max(1);
        let Usage { rss_kib, cpu_s } = self.process.as_ref()?.usage();
        Some(Usage { rss_kib: rss_kib / count as u64, cpu_s: cpu_s / count as f64 })
    }
}

impl RealSidecar {
    fn usage(&self) -> Usage {
        let (a, b) = (self.sidecar.usage(), self.host.usage());
        Usage { rss_kib: a.rss_kib + b.rss_kib, cpu_s: a.cpu_s + b.cpu_s }
    }
}

fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, RunError> {
    let ip = unique_loopback_address();
    let mut reserved = Vec::new();
    for _ in 0..count {
        reserved.push(ReservedPort::new(ip)?);
    }
    Ok(reserved.iter().map(|port| port.address).collect())
}

/// Starts a relay from a control server to each origin. On the network, the control server is the sidecar node of the
/// same number, and the origins are the discovery node.
fn start_relays(
    network: &Network,
    control_server: usize,
    origins: &[SocketAddr],
) -> Result<Vec<Relay>, RunError> {
    let (from, to) = (Node::Sidecar(control_server as u16), Node::Discovery);
    let start = |origin: &SocketAddr| {
        let relay = Relay::start_to(network.clone(), from, to, *origin);
        Ok(fakes::runtime().block_on(relay)?)
    };
    origins.iter().map(start).collect()
}
