//! Origins and control machines as processes of the program, hosts of this process, and faults between them.
#![allow(dead_code, reason = "each user needs a part of it")]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
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

/// A process of the program. It ends with its handle.
pub struct Program {
    child: Child,
}

impl Program {
    pub fn start(arguments: &[String], log: &std::path::Path) -> Program {
        let program = built("lb-config", false).expect("the program");
        let log = std::fs::File::options().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn().expect("it starts");
        let mut line = String::new();
        if arguments[0] != "host" {
            let out = child.stdout.take().expect("a pipe");
            BufReader::new(out).read_line(&mut line).expect("an address");
            assert!(line.trim().parse::<SocketAddr>().is_ok(), "{arguments:?}: {line:?}");
        }
        Program { child }
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("an id");
        kill_process(pid, signal).expect("it is there");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// All machines set aside for control, some of them behind relays that can be cut.
pub struct Mesh {
    pub folder: Folder,
    pub origins: BTreeMap<u8, Program>,
    pub controls: Vec<Option<Program>>,
    network: Network,
    _relays: Vec<Relay>,
    /// Where each origin is, and where each control machine finds it.
    origin_at: Vec<SocketAddr>,
    found_at: Vec<Vec<SocketAddr>>,
    control_at: Vec<SocketAddr>,
}

impl Mesh {
    /// So many control machines, all new, and origin 0.
    pub fn start(controls: usize) -> Mesh {
        let ip = unique_loopback_address();
        let reserved: Vec<_> =
            (0..controls + 3).map(|_| ReservedPort::new(ip).expect("a free port")).collect();
        let at: Vec<SocketAddr> = reserved.iter().map(|r| r.address).collect();
        let (origin_at, control_at) = (at[..3].to_vec(), at[3..].to_vec());
        drop(reserved);
        let network = Network::new(Links::default(), 1);
        let mut relays = Vec::new();
        let mut found_at = Vec::new();
        for n in 0..controls {
            let of: Vec<_> = origin_at
                .iter()
                .map(|at| {
                    let (from, to) = (Node::Sidecar(n as u16), Node::Discovery);
                    let relay = Relay::start_to(network.clone(), from, to, *at);
                    let relay = fakes::runtime().block_on(relay).expect("a free port");
                    let at = relay.address;
                    relays.push(relay);
                    at
                })
                .collect();
            found_at.push(of);
        }
        let mut mesh = Mesh {
            folder: Folder::new("mesh"),
            origins: BTreeMap::new(),
            controls: (0..controls).map(|_| None).collect(),
            network,
            _relays: relays,
            origin_at,
            found_at,
            control_at,
        };
        (0..controls).for_each(|n| mesh.control(n, true));
        mesh.origin(0);
        mesh
    }

    pub fn origin(&mut self, number: u8) {
        let mut arguments = vec![
            "origin".to_owned(),
            format!("--listen={}", self.origin_at[usize::from(number)]),
            format!("--number={number}"),
        ];
        arguments.extend(self.members(None).iter().map(|m| format!("--member={m}")));
        let log = self.folder.path().join(format!("origin-{number}.log"));
        self.origins.insert(number, Program::start(&arguments, &log));
    }

    pub fn control(&mut self, n: usize, new: bool) {
        let mut arguments = vec![
            "control".to_owned(),
            format!("--listen={}", self.control_at[n]),
            format!("--name=c{n}"),
            format!("--state={}", self.state(n).display()),
        ];
        arguments.extend(self.found_at[n].iter().map(|at| format!("--origin={at}")));
        arguments.extend(self.members(Some(n)).iter().map(|m| format!("--other={m}")));
        if new {
            arguments.push("--new".to_owned());
        }
        let log = self.folder.path().join(format!("control-{n}.log"));
        self.controls[n] = Some(Program::start(&arguments, &log));
    }

    pub fn state(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("c{n}"))
    }

    /// The members, as arguments have them.
    pub fn members(&self, but: Option<usize>) -> Vec<String> {
        let all = self.control_at.iter().enumerate().filter(|(n, _)| Some(*n) != but);
        all.map(|(n, at)| format!("c{n}={at}")).collect()
    }

    /// Parts these control machines from all origins, or no longer.
    pub fn cut(&self, of: &[usize], cut: bool) {
        self.network.update(|links| {
            links.clear(0);
            if cut {
                links.inject(ActiveFault {
                    fault: 0,
                    from: of.iter().map(|n| Node::Sidecar(*n as u16)).collect(),
                    to: [Node::Discovery].into(),
                    both_directions: true,
                    impairment: Impairment::cut(),
                });
            }
        });
    }

    /// Where an origin is.
    pub fn origin_at(&self, number: u8) -> SocketAddr {
        self.origin_at[usize::from(number)]
    }

    /// Asks an origin.
    pub fn ask(&self, origin: u8, path: &str, body: Option<Value>) -> Result<Value, CallError> {
        ask(self.origin_at[usize::from(origin)], path, body)
    }

    /// Asks a control machine.
    pub fn ask_control(&self, n: usize, path: &str) -> Result<Value, CallError> {
        ask(self.control_at[n], path, None)
    }

    /// Publishes until it is taken and committed.
    pub fn publish(&self, origin: u8, key: &str, body: &Value) -> Generation {
        let mut generation = None;
        until(&format!("{key} is committed"), || {
            let asked = Some(json!({"key": key, "body": body}));
            let published = self.ask(origin, "/config/publish", asked);
            if let Err(CallError::Rejected { status: 400 | 413, reason }) = &published {
                panic!("{reason}");
            }
            generation = published.ok().and_then(|p| p["generation"].as_u64());
            generation.is_some()
        });
        generation.expect("published")
    }

    pub fn total(&self, origin: u8) -> TotalProgress {
        let status = self.ask(origin, "/config/status", None).unwrap_or_default();
        serde_json::from_value(status["total"].clone()).unwrap_or_default()
    }

    /// Waits until a change is in force at so many hosts; how long that took.
    pub fn in_force(&self, origin: u8, generation: Generation, hosts: usize) -> Duration {
        let began = Instant::now();
        let mut last = TotalProgress::default();
        until(&format!("{generation} is in force at {hosts}"), || {
            last = self.total(origin);
            last.is_applied_everywhere(generation)
                && last.all.hosts == hosts
                && last.all.applied == hosts
        });
        began.elapsed()
    }

    /// Starts hosts of this process that call these control machines.
    pub fn hosts(&self, names: &[String], machines: &[usize]) -> Hosts {
        let machines: Vec<_> = machines
            .iter()
            .map(|n| NamedAddress { name: format!("c{n}"), address: self.control_at[*n] })
            .collect();
        Hosts::start(names, machines)
    }
}

pub fn ask(at: SocketAddr, path: &str, body: Option<Value>) -> Result<Value, CallError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let body = body.map(|b| b.to_string().into_bytes());
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        HttpClient::new(at).fetch_json(path, body, Duration::from_secs(8)).await
    })
}

pub fn names(what: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{what}-{n}")).collect()
}

/// What was put in force at one host, one after the other: the change, and `n` of its document `a`.
pub type Seen = Arc<Mutex<Vec<(Generation, u64)>>>;

struct Recorder {
    seen: Seen,
}

impl ConfigTarget for Recorder {
    async fn applied(&mut self) -> ConfigSnapshot {
        ConfigSnapshot::default()
    }

    async fn apply(&mut self, config: &ConfigSnapshot) -> ApplyOutcome {
        let of_a = config.documents.iter().find(|d| d.key.service == "a");
        let n = of_a.and_then(|d| d.body.as_ref()).and_then(|b| b.value()["n"].as_u64());
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.push((config.generation, n.unwrap_or(0)));
        ApplyOutcome::Applied
    }
}

/// Hosts that write down what they put in force. They end with the handle.
pub struct Hosts {
    pub seen: Vec<Seen>,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Hosts {
    fn start(names: &[String], servers: Vec<NamedAddress>) -> Hosts {
        let seen: Vec<Seen> = names.iter().map(|_| Seen::default()).collect();
        let (stop, mut stopped) = watch::channel(false);
        let (names, of) = (names.to_vec(), seen.clone());
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            LocalSet::new().block_on(&runtime.expect("a runtime"), async {
                for (n, (name, seen)) in names.into_iter().zip(of).enumerate() {
                    let interest =
                        Interest { services: ["a".to_owned()].into(), zone: "z".to_owned() };
                    let config =
                        Config { name, interest, servers: servers.clone(), seed: n as u64 };
                    tokio::task::spawn_local(host::run(config, Recorder { seen }));
                }
                let _ = stopped.wait_for(|s| *s).await;
            });
        });
        Hosts { seen, stop, thread: Some(thread) }
    }

    /// Waits until all have this as the newest; nobody ever went back.
    pub fn have(&self, n: u64) -> Duration {
        let began = Instant::now();
        let last =
            |seen: &Seen| seen.lock().unwrap_or_else(PoisonError::into_inner).last().copied();
        until(&format!("all have {n}"), || {
            self.seen.iter().all(|s| last(s).is_some_and(|(_, of)| of == n))
        });
        self.never_went_back();
        began.elapsed()
    }

    pub fn never_went_back(&self) {
        for seen in &self.seen {
            let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
            assert!(seen.windows(2).all(|w| w[0].0 < w[1].0 && w[0].1 <= w[1].1), "{seen:?}");
        }
    }

    pub fn puts(&self, n: usize) -> usize {
        self.seen[n].lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}
