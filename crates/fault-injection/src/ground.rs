//! Everything that is there during a trial: discovery, log servers, the relays between them, the sidecars'
//! processes and their clients. It carries out what a plan says, and looks at how things stand.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fakes::account::{Account, OfTenant, Report};
use fakes::clients::{Load, drive};
use fakes::logserver::{Fault, Keys, LogServer, Spec};
use fakes::program::{Folder, built};
use fakes::registry::{Entry, Registry};
use fakes::world::{IDLE, WINDOW, ZONES, classes, settings};
use rustix::process::{Resource, Rlimit, Signal, getrlimit, setrlimit};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::expectations::{Sample, Totals};
use crate::links::{Links, Part};
use crate::network::Network;
use crate::notes::Notes;
use crate::processes::{Process, Reserved, Starter, own_address};
use crate::relay::Relay;
use crate::scenario::{Action, Scenario, Server};

/// How long a sidecar may take to tell its figures.
const TELLS: Duration = Duration::from_secs(2);
/// How long one may take to start.
const STARTS: Duration = Duration::from_secs(60);
/// The longest answer of an operators' listener.
const LONGEST: u64 = 64 << 10;

/// The programs.
pub struct Programs {
    /// The sidecar.
    pub sidecar: PathBuf,
    /// `lb-process-guard`.
    pub guard: PathBuf,
}

impl Programs {
    /// Those of this workspace, built where they are older than their sources.
    ///
    /// # Errors
    ///
    /// When they cannot be built, or are not there.
    pub fn built(progress: bool) -> Result<Programs, String> {
        let sidecar = built("lb-sidecar", progress)?;
        Ok(Programs { sidecar, guard: built("lb-process-guard", progress)? })
    }
}

struct Sidecar {
    process: Process,
    listen: SocketAddr,
    admin: SocketAddr,
    config: Value,
    /// Its share of what is asked.
    weight: f64,
    /// Whether it should be there.
    wanted: bool,
    clients: Option<watch::Sender<bool>>,
    registry: Registry,
}

struct LogServerSlot {
    zone: usize,
    server: LogServer,
    spec: Spec,
    /// As each sidecar's discovery tells of it.
    entries: Vec<Entry>,
}

/// A trial's ground. All of it ends with the handle.
pub struct Ground {
    /// The links.
    pub network: Network,
    /// What became of every request.
    pub account: Arc<Account>,
    scenario: Scenario,
    programs: Programs,
    starter: Starter,
    sidecars: Vec<Sidecar>,
    servers: Vec<LogServerSlot>,
    notes: Notes,
    _calls: Vec<Relay>,
    driving: Vec<JoinHandle<()>>,
    /// How many times as much each tenant asks as at the beginning, and everyone.
    times: (Vec<f64>, f64),
    rounds: u64,
    crashed: u64,
    /// Told of crashes, and of what could not be carried out.
    troubles: Vec<String>,
    folder: Folder,
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// As many descriptors as the system grants.
fn more_descriptors() {
    let Rlimit { maximum, .. } = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: maximum, maximum });
}

impl Ground {
    /// Starts everything but the clients, and waits until every sidecar can serve.
    ///
    /// # Errors
    ///
    /// The first thing that could not be done.
    pub fn start(scenario: Scenario, programs: Programs) -> Result<Ground, String> {
        more_descriptors();
        let network = Network::new(Links::over(scenario.ground), scenario.seed);
        let account = Arc::new(Account::new(classes(scenario.stretch)));
        let folder = Folder::new("trial");
        let ip = own_address();
        let sidecars = usize::from(scenario.sidecars);
        let mut reserved = Vec::new();
        for _ in 0..3 * sidecars {
            reserved.push(Reserved::new(ip).map_err(text)?);
        }
        let address = |n: usize, what: usize| reserved[3 * n + what].at;
        let runtime = fakes::runtime();
        let ends = (0..sidecars).map(|n| address(n, 2)).collect();
        let notes = runtime.block_on(Notes::start(network.clone(), ends)).map_err(text)?;
        let mut servers = Vec::new();
        for (z, zone) in ZONES.into_iter().enumerate() {
            let keys = Arc::new(Keys::default());
            for n in 0..scenario.servers {
                let spec = Spec {
                    name: format!("{zone}-{n}"),
                    cores: scenario.cores,
                    room: 8 * scenario.cores,
                    connections: 80 * scenario.cores,
                    cold_share: 0.16,
                    warm_after: Duration::ZERO,
                    keys: keys.clone(),
                    window: WINDOW,
                    idle: IDLE,
                    seed: scenario.seed ^ (z as u64) << 32 ^ u64::from(n),
                };
                let started = LogServer::start(spec.clone(), account.clone());
                let server = runtime.block_on(started).map_err(text)?;
                network.place(Part::Server(servers.len() as u16), server.at);
                servers.push(LogServerSlot { zone: z, server, spec, entries: Vec::new() });
            }
        }
        let mut calls = Vec::new();
        let mut slots = Vec::new();
        let all_weight: f64 = (0..sidecars).map(|n| weight(n, scenario.load.uneven)).sum();
        for n in 0..sidecars {
            let me = Part::Sidecar(n as u16);
            let mut list = Vec::new();
            for (s, slot) in servers.iter_mut().enumerate() {
                let way = Relay::start(network.clone(), me, Part::Server(s as u16));
                let way = runtime.block_on(way).map_err(text)?;
                let entry = Entry::new(way.at, ZONES[slot.zone]);
                slot.entries.push(Entry { host: slot.spec.name.clone(), ..entry });
                list.push(slot.entries[n].clone());
                calls.push(way);
            }
            // Every sidecar has a discovery of its own, since every list has its own addresses.
            let registry = runtime.block_on(Registry::open(list)).map_err(text)?;
            let way = Relay::start_to(network.clone(), me, Part::Discovery, registry.at);
            let way = runtime.block_on(way).map_err(text)?;
            let config = configuration(&scenario, n, &address, way.at, &notes);
            calls.push(way);
            let own = folder.path().join(format!("s{n}"));
            std::fs::create_dir_all(&own).map_err(text)?;
            slots.push(Sidecar {
                process: Process::new(own),
                listen: address(n, 0),
                admin: address(n, 1),
                config,
                weight: weight(n, scenario.load.uneven) / all_weight,
                wanted: true,
                clients: None,
                registry,
            });
        }
        // From here on the ports belong to whoever takes them; nobody else knows this address.
        drop(reserved);
        let mut ground = Ground {
            network,
            account,
            starter: Starter::new(programs.guard.clone()),
            programs,
            sidecars: slots,
            servers,
            notes,
            _calls: calls,
            driving: Vec::new(),
            times: (vec![1.0; scenario.load.tenants.len()], 1.0),
            rounds: 0,
            crashed: 0,
            troubles: Vec::new(),
            scenario,
            folder,
        };
        for n in 0..sidecars {
            ground.launch(n, false)?;
        }
        for n in 0..sidecars {
            ground.wait_ready(n)?;
        }
        Ok(ground)
    }

    fn launch(&mut self, n: usize, empty: bool) -> Result<(), String> {
        let sidecar = &mut self.sidecars[n];
        std::fs::write(sidecar.process.configuration(), sidecar.config.to_string())
            .map_err(text)?;
        let started = sidecar.process.start(&self.starter, &self.programs.sidecar, empty);
        started.map_err(|e| format!("s{n}: {e}"))?;
        sidecar.wanted = true;
        Ok(())
    }

    fn wait_ready(&self, n: usize) -> Result<(), String> {
        let sidecar = &self.sidecars[n];
        let end = Instant::now() + STARTS;
        let runtime = fakes::runtime();
        while !runtime.block_on(ready(sidecar.listen)) {
            if Instant::now() > end || sidecar.process.has_ended() {
                let log = std::fs::read_to_string(self.folder.path().join(format!("s{n}/log")));
                let log = log.unwrap_or_default();
                let last = log.lines().last().unwrap_or("nothing");
                return Err(format!("s{n} does not serve; the last it told: {last}"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Starts the clients of all sidecars that are there.
    pub fn drive(&mut self) {
        for n in 0..self.sidecars.len() {
            if self.sidecars[n].wanted {
                self.drive_one(n);
            }
        }
    }

    fn drive_one(&mut self, n: usize) {
        self.rest(n);
        let (tenants, all) = &self.times;
        let load = &self.scenario.load;
        let whole: f64 = load.tenants.iter().map(|c| c.share).sum();
        let of = |(tenant, times): (&crate::scenario::Tenant, &f64)| tenant.share * times / whole;
        let shares: Vec<f64> = load.tenants.iter().zip(tenants).map(of).collect();
        let sidecar = &mut self.sidecars[n];
        let rate = load.per_s * sidecar.weight * all * shares.iter().sum::<f64>();
        if rate < 1e-3 {
            return;
        }
        self.rounds += 1;
        let load = Load {
            rate,
            retries: load.retries,
            slack: Duration::from_millis(500).mul_f64(self.scenario.stretch),
            tenants: load.tenants.iter().map(|c| c.name.clone()).collect(),
            shares,
            seed: self.scenario.seed ^ (n as u64) << 40 ^ self.rounds << 50,
            ..Load::default()
        };
        let (stop, mut stopped) = watch::channel(false);
        let (at, account) = (sidecar.listen, self.account.clone());
        // Clients begin once their sidecar is there.
        let driven = async move {
            let there = async {
                while !ready(at).await {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            };
            let started = tokio::select! {
                started = tokio::time::timeout(STARTS, there) => started.is_ok(),
                _ = stopped.wait_for(|s| *s) => false,
            };
            if started {
                drive(at, account, load, stopped).await;
            }
        };
        sidecar.clients = Some(stop);
        self.driving.retain(|d| !d.is_finished());
        self.driving.push(fakes::runtime().spawn(driven));
    }

    /// Ends what the clients of a sidecar ask; what is open comes to its end.
    fn rest(&mut self, n: usize) {
        if let Some(stop) = self.sidecars[n].clients.take() {
            stop.send_replace(true);
        }
    }

    /// Carries out what happens in a plan.
    ///
    /// # Errors
    ///
    /// What could not be done.
    pub fn carry_out(&mut self, fault: usize, action: &Action) -> Result<(), String> {
        match action {
            Action::Lay { laid, .. } => self.network.change(|links| links.lay((**laid).clone())),
            Action::Lift => self.network.change(|links| links.lift(fault)),
            Action::Kill(of) => {
                for n in of.iter().map(|n| usize::from(*n)) {
                    self.account.kill(self.sidecars[n].listen);
                    self.rest(n);
                    self.sidecars[n].wanted = false;
                }
                of.iter().for_each(|n| self.sidecars[usize::from(*n)].process.kill());
            }
            Action::End(of) => {
                for n in of.iter().map(|n| usize::from(*n)) {
                    self.rest(n);
                    self.sidecars[n].wanted = false;
                    self.sidecars[n].process.signal(Signal::TERM);
                }
            }
            Action::Start { of, empty } => {
                for n in of.iter().map(|n| usize::from(*n)) {
                    // One that was told to end and has not is ended.
                    self.sidecars[n].process.kill();
                    self.launch(n, *empty)?;
                }
                of.iter().for_each(|n| self.drive_one(usize::from(*n)));
            }
            Action::Stop(of) | Action::Go(of) => {
                let stop = matches!(action, Action::Stop(_));
                for n in of.iter().map(|n| usize::from(*n)) {
                    let sidecar = &self.sidecars[n];
                    self.account.stall(sidecar.listen, stop);
                    sidecar.process.signal(if stop { Signal::STOP } else { Signal::CONT });
                }
            }
            Action::Starve(of, share) => {
                of.iter().for_each(|n| self.sidecars[usize::from(*n)].process.starve(*share));
            }
            Action::Feed(of) => {
                of.iter().for_each(|n| self.sidecars[usize::from(*n)].process.feed());
            }
            Action::Servers(of, how) => {
                for &n in of {
                    self.server(n, *how)?;
                }
            }
            Action::Discovery(down) => self.sidecars.iter().for_each(|s| s.registry.down(*down)),
            Action::Load(tenant, times) => {
                match tenant {
                    Some(tenant) => self.times.0[*tenant] = *times,
                    None => self.times.1 = *times,
                }
                self.drive();
            }
            Action::Configure(of, set) => {
                for n in of.iter().map(|n| usize::from(*n)) {
                    let sidecar = &mut self.sidecars[n];
                    merge(&mut sidecar.config, set);
                    let (to, new) = (sidecar.process.configuration(), sidecar.config.to_string());
                    let beside = to.with_extension("new");
                    std::fs::write(&beside, new).map_err(text)?;
                    std::fs::rename(&beside, to).map_err(text)?;
                    sidecar.process.signal(Signal::HUP);
                }
            }
        }
        Ok(())
    }

    fn server(&mut self, n: u16, how: Server) -> Result<(), String> {
        let part = Part::Server(n);
        let slot = &mut self.servers[usize::from(n)];
        let list = |slot: &LogServerSlot, sidecars: &[Sidecar], health, born_ms: u64| {
            for (entry, sidecar) in slot.entries.iter().zip(sidecars) {
                sidecar.registry.list(Entry { health, born_ms, ..entry.clone() });
            }
        };
        let revive = self.network.links(|links| links.is_dead(part)) || how == Server::Well;
        if how != Server::Dead && revive {
            slot.server.kill();
            let started = LogServer::start(slot.spec.clone(), self.account.clone());
            slot.server = fakes::runtime().block_on(started).map_err(text)?;
            self.network.place(part, slot.server.at);
            self.network.change(|links| links.dead(part, false));
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            list(slot, &self.sidecars, "active", now.as_millis() as u64);
        }
        match how {
            Server::Well => {}
            Server::Drains => {
                list(slot, &self.sidecars, "leaving", 0);
                slot.server.drain();
            }
            Server::Dead => {
                slot.server.kill();
                self.network.change(|links| links.dead(part, true));
            }
            Server::Slow(times) => slot.server.slow(times),
            Server::Errors(share) => slot.server.faults(vec![(share, Fault::Error)]),
            Server::Hangs(share) => slot.server.faults(vec![(share, Fault::Hang)]),
        }
        Ok(())
    }

    /// Looks how everything stands. The sidecars' own figures come later: one that hangs holds up nothing.
    pub fn look(&mut self) -> Look {
        for (n, sidecar) in self.sidecars.iter_mut().enumerate() {
            if sidecar.wanted && sidecar.process.has_ended() {
                sidecar.wanted = false;
                self.crashed += 1;
                self.troubles.push(format!("s{n} has ended by itself"));
            }
        }
        let ask = |s: &Sidecar| fakes::runtime().spawn(figures(s.wanted.then_some(s.admin)));
        let asked = self.sidecars.iter().map(ask).collect();
        let report = self.account.report();
        let totals = |t: &OfTenant| Totals {
            asked: t.asked,
            served: t.served,
            in_time: t.in_time,
            refused: t.refused,
            failed: t.failed,
        };
        let mut tenants: Vec<Totals> = report.tenants.iter().map(totals).collect();
        tenants.resize(self.scenario.load.tenants.len(), Totals::default());
        let all = tenants.iter().fold(Totals::default(), |a, b| Totals {
            asked: a.asked + b.asked,
            served: a.served + b.served,
            in_time: a.in_time + b.in_time,
            refused: a.refused + b.refused,
            failed: a.failed + b.failed,
        });
        let sample = Sample {
            at_s: self.network.elapsed().as_secs_f64(),
            all,
            tenants,
            broken: report.broken() + self.crashed,
            attempts: report.servers.values().map(|s| s.seen).sum(),
            tries: report.tries,
            notes: self.notes.passed(),
            own: Vec::new(),
        };
        Look { sample, asked }
    }

    /// Lets what is asked come to its end, and closes the account.
    pub fn finish(&mut self) -> Report {
        (0..self.sidecars.len()).for_each(|n| self.rest(n));
        fakes::runtime().block_on(async {
            for driven in self.driving.drain(..) {
                let _ = driven.await;
            }
        });
        self.account.report()
    }

    /// Crashes, in words.
    pub fn troubles(&self) -> &[String] {
        &self.troubles
    }
}

/// A look that waits for what sidecars tell of themselves.
pub struct Look {
    sample: Sample,
    asked: Vec<JoinHandle<Option<BTreeMap<String, f64>>>>,
}

impl Look {
    /// Whether all have told, or had their time.
    pub fn is_whole(&self) -> bool {
        self.asked.iter().all(JoinHandle::is_finished)
    }

    /// The look; it waits for what is still to be told.
    pub fn whole(self) -> Sample {
        let told = |asked: JoinHandle<_>| fakes::runtime().block_on(asked).ok().flatten();
        let own = self.asked.into_iter().map(told).collect();
        Sample { own, ..self.sample }
    }
}

fn weight(n: usize, uneven: f64) -> f64 {
    (n as f64 + 1.0).powf(-uneven)
}

fn configuration(
    scenario: &Scenario,
    n: usize,
    address: &impl Fn(usize, usize) -> SocketAddr,
    discovery: SocketAddr,
    notes: &Notes,
) -> Value {
    let mut settings = settings(&classes(scenario.stretch));
    settings["me"] = n.into();
    settings["instances"] = scenario.sidecars.into();
    settings["zone"] = (n % ZONES.len()).into();
    settings["limits"]["mayTell"] = true.into();
    let whole: f64 = scenario.load.tenants.iter().map(|c| c.share).sum();
    let tenants = scenario
        .load
        .tenants
        .iter()
        .map(|c| json!({"name": c.name, "quotaPerS": c.quota_per_s, "share": c.share / whole}));
    settings["tenants"] = tenants.collect();
    let mut config = json!({
        "name": format!("s{n}"),
        "listen": address(n, 0).to_string(),
        "admin_addr": address(n, 1).to_string(),
        "peer_listen": address(n, 2).to_string(),
        "peers": notes.peers,
        "peers_all": notes.all,
        "discovery": discovery.to_string(),
        "seed": format!("{:016x}", scenario.seed ^ (n as u64) << 32),
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "settings": settings,
    });
    for (of, set) in &scenario.configured {
        if of.contains(&(n as u16)) {
            merge(&mut config, set);
        }
    }
    config
}

/// Puts what is set into a configuration, key by key (RFC 7396).
fn merge(config: &mut Value, set: &Value) {
    match (config, set) {
        (Value::Object(config), Value::Object(set)) => {
            for (key, value) in set {
                merge(config.entry(key).or_insert(Value::Null), value);
            }
        }
        (config, set) => *config = set.clone(),
    }
}

async fn asked(at: SocketAddr, line: &str) -> io::Result<String> {
    let mut socket = TcpStream::connect(at).await?;
    socket.write_all(line.as_bytes()).await?;
    let mut answer = Vec::new();
    socket.take(LONGEST).read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

async fn ready(at: SocketAddr) -> bool {
    let call = "GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    let answer = tokio::time::timeout(TELLS, asked(at, call)).await;
    answer.is_ok_and(|a| a.is_ok_and(|a| a.starts_with("HTTP/1.1 200")))
}

/// A sidecar's own figures, as its operators' listener tells them.
async fn figures(at: Option<SocketAddr>) -> Option<BTreeMap<String, f64>> {
    let answer = tokio::time::timeout(TELLS, asked(at?, "show-stat\n")).await.ok()?.ok()?;
    let figure = |line: &str| {
        let (name, value) = line.strip_prefix("sidecar.")?.split_once('=')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    let all: BTreeMap<_, _> = answer.lines().filter_map(figure).collect();
    (!all.is_empty()).then_some(all)
}
