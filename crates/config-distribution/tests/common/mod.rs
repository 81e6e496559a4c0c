//! A cluster of origins and control servers as processes, hosts in this process, and faults between them.
#![allow(dead_code, reason = "each test file needs a part of it")]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use config_distribution::Generation;
use config_distribution::documents::Interest;
use config_distribution::host::{ApplyOutcome, ConfigSnapshot};
use config_distribution::net::NamedAddress;
use config_distribution::net::host::{self, Config};
use config_distribution::net::http::{CallError, HttpClient};
use config_distribution::net::target::ConfigTarget;
use config_distribution::progress::TotalProgress;
use fakes::program::{Folder, built};
use fakes::until;
use fault_injection::links::{ActiveFault, Impairment, Links, Node};
use fault_injection::network::Network;
use fault_injection::processes::{ReservedPort, unique_loopback_address};
use fault_injection::relay::Relay;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::LocalSet;

/// A process of `lb-config`. It is killed when the handle is dropped.
pub struct Program {
    child: Child,
}

impl Program {
    pub fn start(arguments: &[String], log: &std::path::Path) -> Program {
        Program::start_with_env(arguments, log, &[])
    }

    /// Starts a process with additional environment variables.
    pub fn start_with_env(
        arguments: &[String],
        log: &std::path::Path,
        env: &[(&str, PathBuf)],
    ) -> Program {
        let program = built("lb-config", false).expect("the program");
        let log_path = log;
        let log = std::fs::File::options().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new(program);
        command.envs(env.iter().cloned());
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn().expect("lb-config starts");
        let mut line = String::new();
        if arguments[0] != "host" {
            let out = child.stdout.take().expect("a pipe");
            BufReader::new(out).read_line(&mut line).expect("an address");
            let log = std::fs::read_to_string(log_path).unwrap_or_default();
            assert!(line.trim().parse::<SocketAddr>().is_ok(), "{arguments:?}: {line:?}\n{log}");
        }
        Program { child }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a child of ours").is_some()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("an id");
        kill_process(pid, signal).expect("the process exists");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Origins and control servers as processes, with relays between them that can drop or delay traffic.
pub struct Cluster {
    pub folder: Folder,
    pub origins: BTreeMap<u8, Program>,
    /// The control servers; `None` for a server that is not running.
    pub servers: Vec<Option<Program>>,
    network: Network,
    _relays: Vec<Relay>,
    origin_addresses: Vec<SocketAddr>,
    /// For each control server, the addresses of the relays through which it reaches the origins.
    relay_addresses: Vec<Vec<SocketAddr>>,
    server_addresses: Vec<SocketAddr>,
}

/// Maximum number of origins of a cluster.
const MAX_ORIGINS: usize = 3;

impl Cluster {
    /// Starts new control servers, and origin 0.
    pub fn start(servers: usize) -> Cluster {
        let ip = unique_loopback_address();
        let reserved: Vec<_> = (0..servers + MAX_ORIGINS)
            .map(|_| ReservedPort::new(ip).expect("a free port"))
            .collect();
        let addresses: Vec<SocketAddr> = reserved.iter().map(|port| port.address).collect();
        let (origin_addresses, server_addresses) = addresses.split_at(MAX_ORIGINS);
        drop(reserved);
        let network = Network::new(Links::default(), 1);
        let relays: Vec<Vec<Relay>> =
            (0..servers).map(|n| start_relays(&network, n, origin_addresses)).collect();
        let relay_addresses =
            relays.iter().map(|of| of.iter().map(|r| r.address).collect()).collect();
        let mut cluster = Cluster {
            folder: Folder::new("cluster"),
            origins: BTreeMap::new(),
            servers: (0..servers).map(|_| None).collect(),
            network,
            _relays: relays.into_iter().flatten().collect(),
            origin_addresses: origin_addresses.to_vec(),
            relay_addresses,
            server_addresses: server_addresses.to_vec(),
        };
        (0..servers).for_each(|n| cluster.start_server(n, &["--new"]));
        cluster.start_origin(0);
        cluster
    }

    pub fn start_origin(&mut self, number: u8) {
        let mut arguments = vec![
            "origin".to_owned(),
            format!("--listen={}", self.origin_address(number)),
            format!("--number={number}"),
        ];
        let members = self.member_arguments(None);
        arguments.extend(members.iter().map(|member| format!("--member={member}")));
        let log = self.folder.path().join(format!("origin-{number}.log"));
        self.origins.insert(number, Program::start(&arguments, &log));
    }

    /// Restarts a control server with the state that is on its disk, if any.
    pub fn restart_server(&mut self, n: usize) {
        self.start_server(n, &[]);
    }

    fn start_server(&mut self, n: usize, options: &[&str]) {
        self.start_server_with_env(n, options, &[]);
    }

    /// Starts a control server with additional environment variables.
    pub fn start_server_with_env(&mut self, n: usize, options: &[&str], env: &[(&str, PathBuf)]) {
        let mut arguments = vec![
            "control".to_owned(),
            format!("--listen={}", self.server_addresses[n]),
            format!("--name=c{n}"),
            format!("--state={}", self.state_dir(n).display()),
        ];
        arguments.extend(self.relay_addresses[n].iter().map(|at| format!("--origin={at}")));
        let others = self.member_arguments(Some(n));
        arguments.extend(others.iter().map(|other| format!("--other={other}")));
        arguments.extend(options.iter().map(|option| (*option).to_owned()));
        let log = self.folder.path().join(format!("control-{n}.log"));
        self.servers[n] = Some(Program::start_with_env(&arguments, &log, env));
    }

    /// Returns the directory of a control server's state.
    pub fn state_dir(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("c{n}"))
    }

    /// Returns the names and addresses of all control servers except one, in the form of command-line arguments.
    pub fn member_arguments(&self, except: Option<usize>) -> Vec<String> {
        let members = self.server_addresses.iter().enumerate();
        let members = members.filter(|(n, _)| Some(*n) != except);
        members.map(|(n, address)| format!("c{n}={address}")).collect()
    }

    /// Cuts off these control servers, and no others, from all origins.
    pub fn partition(&self, servers: &[usize]) {
        self.impair(servers, Impairment::cut());
    }

    /// Delays all traffic between these control servers, and no others, and all origins in each direction.
    pub fn delay(&self, servers: &[usize], delay: Duration) {
        self.impair(servers, Impairment { delay, ..Impairment::default() });
    }

    fn impair(&self, servers: &[usize], impairment: Impairment) {
        self.network.update(|links| {
            links.clear(0);
            links.inject(ActiveFault {
                fault: 0,
                from: servers.iter().map(|n| Node::Sidecar(*n as u16)).collect(),
                to: [Node::Discovery].into(),
                both_directions: true,
                impairment,
            });
        });
    }

    /// Ends the partition, or the delay.
    pub fn heal(&self) {
        self.network.update(|links| links.clear(0));
    }

    pub fn origin_address(&self, number: u8) -> SocketAddr {
        self.origin_addresses[usize::from(number)]
    }

    /// Sends a request to an origin.
    pub fn request_origin(
        &self,
        number: u8,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value, CallError> {
        request(self.origin_address(number), path, body)
    }

    /// Sends a request to a control server.
    pub fn request_server(&self, n: usize, path: &str) -> Result<Value, CallError> {
        request(self.server_addresses[n], path, None)
    }

    /// Publishes until the change is accepted and committed.
    pub fn publish(&self, origin: u8, key: &str, body: &Value) -> Generation {
        let mut generation = None;
        until(&format!("{key} is committed"), || {
            let change = Some(json!({"key": key, "body": body}));
            let published = self.request_origin(origin, "/config/publish", change);
            if let Err(CallError::Rejected { status: 400 | 413, reason }) = &published {
                panic!("{reason}");
            }
            generation = published.ok().and_then(|p| p["generation"].as_u64());
            generation.is_some()
        });
        generation.expect("published")
    }

    /// Returns the progress of all hosts that an origin reports.
    pub fn progress(&self, origin: u8) -> TotalProgress {
        let status = self.request_origin(origin, "/config/status", None).unwrap_or_default();
        serde_json::from_value(status["total"].clone()).unwrap_or_default()
    }

    /// Waits until a change is applied on all hosts and their number is `hosts`. Returns the elapsed time.
    pub fn wait_until_applied(&self, origin: u8, generation: Generation, hosts: usize) -> Duration {
        let started_at = Instant::now();
        until(&format!("{generation} is applied on {hosts} hosts"), || {
            let total = self.progress(origin);
            total.is_applied_everywhere(generation)
                && total.all.hosts == hosts
                && total.all.applied == hosts
        });
        started_at.elapsed()
    }

    /// Starts hosts in this process that watch these control servers.
    pub fn start_hosts(&self, names: &[String], servers: &[usize]) -> Hosts {
        let server =
            |n: &usize| NamedAddress { name: format!("c{n}"), address: self.server_addresses[*n] };
        Hosts::start(names, servers.iter().map(server).collect())
    }
}

/// Starts the relays of one control server, one for each origin.
fn start_relays(network: &Network, server: usize, origins: &[SocketAddr]) -> Vec<Relay> {
    let start = |origin: &SocketAddr| {
        let (from, to) = (Node::Sidecar(server as u16), Node::Discovery);
        let relay = Relay::start_to(network.clone(), from, to, *origin);
        fakes::runtime().block_on(relay).expect("a free port")
    };
    origins.iter().map(start).collect()
}

/// Sends one request on a connection of its own.
pub fn request(address: SocketAddr, path: &str, body: Option<Value>) -> Result<Value, CallError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let body = body.map(|body| body.to_string().into_bytes());
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        HttpClient::new(address).fetch_json(path, body, Duration::from_secs(8)).await
    })
}

/// Returns `count` names with a common prefix.
pub fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{prefix}-{n}")).collect()
}

/// The configurations that one host has applied, in order: the generation, and the value `n` of document `a`.
type AppliedLog = Arc<Mutex<Vec<(Generation, u64)>>>;

/// A target that records the applied configurations.
struct Recorder {
    log: AppliedLog,
}

impl ConfigTarget for Recorder {
    async fn applied(&mut self) -> ConfigSnapshot {
        ConfigSnapshot::default()
    }

    async fn apply(&mut self, config: &ConfigSnapshot) -> ApplyOutcome {
        let of_a = config.documents.iter().find(|d| d.key.service == "a");
        let n = of_a.and_then(|d| d.body.as_ref()).and_then(|b| b.value()["n"].as_u64());
        entries(&self.log).push((config.generation, n.unwrap_or(0)));
        ApplyOutcome::Applied
    }
}

/// Hosts that record the configurations that they apply. They end when the handle is dropped.
pub struct Hosts {
    logs: Vec<AppliedLog>,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Hosts {
    fn start(names: &[String], servers: Vec<NamedAddress>) -> Hosts {
        let logs: Vec<AppliedLog> = names.iter().map(|_| AppliedLog::default()).collect();
        let (stop, mut stopped) = watch::channel(false);
        let (names, host_logs) = (names.to_vec(), logs.clone());
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            LocalSet::new().block_on(&runtime.expect("a runtime"), async {
                for (n, (name, log)) in names.into_iter().zip(host_logs).enumerate() {
                    let interest =
                        Interest { services: ["a".to_owned()].into(), zone: "z".to_owned() };
                    let config =
                        Config { name, interest, servers: servers.clone(), seed: n as u64 };
                    tokio::task::spawn_local(host::run(config, Recorder { log }));
                }
                let _ = stopped.wait_for(|s| *s).await;
            });
        });
        Hosts { logs, stop, thread: Some(thread) }
    }

    /// Waits until the last configuration of every host contains this `n`, and returns the elapsed time. Asserts that
    /// no host has applied an older configuration after a newer one.
    pub fn wait_until_applied(&self, n: u64) -> Duration {
        let started_at = Instant::now();
        let last = |log: &AppliedLog| entries(log).last().map(|(_, n)| *n);
        until(&format!("all have {n}"), || self.logs.iter().all(|log| last(log) == Some(n)));
        self.assert_never_older();
        started_at.elapsed()
    }

    /// Asserts that no host has applied an older configuration after a newer one.
    pub fn assert_never_older(&self) {
        for log in &self.logs {
            let entries = entries(log);
            let is_ordered = entries.windows(2).all(|w| w[0].0 < w[1].0 && w[0].1 <= w[1].1);
            assert!(is_ordered, "{entries:?}");
        }
    }

    /// Returns the number of configurations that a host has applied.
    pub fn applied_count(&self, host: usize) -> usize {
        entries(&self.logs[host]).len()
    }
}

fn entries(log: &AppliedLog) -> MutexGuard<'_, Vec<(Generation, u64)>> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Drop for Hosts {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}
