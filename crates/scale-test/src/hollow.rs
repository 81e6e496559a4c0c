//! A process of hollow sidecars. It is told who they are on standard input, and tells on standard output in how many
//! of them each change is in force. It ends with its standard input.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixDatagram;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use config_distribution::Generation;
use config_distribution::documents::{Interest, merge_documents};
use config_distribution::host::{ApplyOutcome, ConfigSnapshot};
use config_distribution::net::host;
use config_distribution::net::target::ConfigTarget;
use fakes::registry::{Entry, Registry};
use instance_status::{InstanceStatus, RequestCounts};
use lb_sidecar::api::ListKind;
use lb_sidecar::settings::Discovery as How;
use lb_sidecar::sidecar::config::{Config, List, Part};
use lb_sidecar::sidecar::discovery::{Discovery, DiscoveryRequest, EndpointListener};
use lb_sidecar::sidecar::peers::{Inbox, Peers};
use lb_sidecar::sidecar::tier::Shared;
use runtime::TokioRuntime;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::LocalSet;

/// Between two lines of what is in force.
const TELL: Duration = Duration::from_millis(100);
/// Between two reports of a sidecar, as it makes them.
const REPORT: Duration = Duration::from_millis(500);

/// A hollow sidecar.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Sidecar {
    /// Its name, and its host's.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The service that it calls, by its number.
    pub service: usize,
    /// Its configuration without what is distributed; discovery is this process's agent.
    pub config: Value,
}

/// Who is in a process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Crowd {
    /// The sidecars.
    pub sidecars: Vec<Sidecar>,
    /// The control machines of their region.
    pub machines: Vec<(String, SocketAddr)>,
    /// Servers of each service, and so lines of each list.
    pub servers: usize,
    /// For what is drawn.
    pub seed: u64,
}

/// What a process tells: of each change, in how many it, or a later one, is in force, and since when the last of them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Told {
    /// By generation: how many, and when, in microseconds of Unix time.
    pub in_force: BTreeMap<Generation, (usize, u64)>,
    /// Declined.
    pub declined: u64,
    /// Lists that were taken in.
    pub lists: u64,
    /// Sidecars that know of all others of their tier.
    pub whole_tiers: usize,
    /// Somewhere something older was put in force than what was.
    pub went_back: u64,
}

#[derive(Default)]
struct Tallies {
    told: RefCell<Told>,
    lists: Cell<u64>,
}

struct Hollow {
    base: Value,
    counts: Rc<Tallies>,
    /// What is in force here, and all that it went through.
    at: Generation,
    status: Rc<Notify>,
}

impl ConfigTarget for Hollow {
    async fn applied(&mut self) -> ConfigSnapshot {
        ConfigSnapshot::default()
    }

    async fn apply(&mut self, config: &ConfigSnapshot) -> ApplyOutcome {
        let ConfigSnapshot { generation, documents } = config;
        let text = merge_documents(&self.base, documents.iter()).to_string();
        let mut told = self.counts.told.borrow_mut();
        // The project's own check, as a sidecar makes it at SIGHUP.
        if let Err(why) = Config::parse(text.as_bytes()) {
            told.declined += 1;
            return ApplyOutcome::Rejected(why);
        }
        told.went_back += u64::from(*generation < self.at);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        // What is newer stands for what it follows: only documents' own generations are counted.
        let newest = documents.iter().map(|d| d.generation).max().unwrap_or(0);
        for of in self.at + 1..=newest {
            let entry = told.in_force.entry(of).or_default();
            *entry = (entry.0 + 1, now.as_micros() as u64);
        }
        while told.in_force.len() > 512 {
            told.in_force.pop_first();
        }
        self.at = self.at.max(newest);
        self.status.notify_one();
        ApplyOutcome::Applied
    }
}

struct Lists(Rc<Tallies>);

impl EndpointListener for Lists {
    fn on_list(&self, _kind: ListKind, _list: &List<Part<'_>>) {
        self.0.lists.set(self.0.lists.get() + 1);
    }

    fn max_servers(&self) -> usize {
        8192
    }

    fn on_list_too_long(&self) {}

    fn on_failure(&self) {}
}

struct Notes(Rc<Shared<TokioRuntime>>);

impl Inbox for Notes {
    fn note(&self, from: u32, data: &[u8]) {
        self.0.hear(from, data);
    }
}

/// Runs the process until its standard input ends.
///
/// # Errors
///
/// What could not be done.
pub fn run() -> Result<(), String> {
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line).map_err(|e| e.to_string())?;
    let crowd: Crowd = serde_json::from_str(&line).map_err(|e| format!("a crowd expected: {e}"))?;
    let (ended, mut end) = watch::channel(false);
    std::thread::spawn(move || {
        let _ = std::io::stdin().lock().read_line(&mut String::new());
        ended.send_replace(true);
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        let counts = Rc::new(Tallies::default());
        let tiers = begin(crowd, &counts).await?;
        let out = std::io::stdout();
        while !*end.borrow_and_update() {
            tokio::time::sleep(TELL).await;
            let whole = |t: &&Rc<Shared<TokioRuntime>>| {
                let view = t.view();
                view.members.0 as f64 >= view.reach.round().max(2.0)
            };
            let mut told = counts.told.borrow().clone();
            told.lists = counts.lists.get();
            told.whole_tiers = tiers.iter().filter(whole).count();
            let line = serde_json::to_string(&told).unwrap_or_default();
            if writeln!(out.lock(), "{line}").is_err() {
                return Ok(());
            }
        }
        Ok(())
    })
}

async fn begin(
    crowd: Crowd,
    counts: &Rc<Tallies>,
) -> Result<Vec<Rc<Shared<TokioRuntime>>>, String> {
    let mut agents: BTreeMap<usize, Registry> = BTreeMap::new();
    let mut tiers = Vec::new();
    let keeper = keeper()?;
    for (n, sidecar) in crowd.sidecars.into_iter().enumerate() {
        let agent = match agents.get(&sidecar.service) {
            Some(agent) => agent.at,
            None => {
                let entry = |n: usize| {
                    let at = SocketAddr::from(([127, 0, 0, 1], 10_000 + n as u16));
                    Entry { host: format!("{}-{n}", sidecar.service), ..Entry::new(at, "z0") }
                };
                let agent = Registry::open((0..crowd.servers).map(entry).collect()).await;
                let agent = agent.map_err(|e| format!("an agent: {e}"))?;
                let at = agent.at;
                agents.insert(sidecar.service, agent);
                at
            }
        };
        let mut base = sidecar.config;
        base["discovery"] = agent.to_string().into();
        let config = Config::parse(base.to_string().as_bytes())
            .map_err(|why| format!("{}: {why}", sidecar.name))?;
        // Watches, as a sidecar has them.
        let (moves, at) = watch::channel(agent);
        let (calls, called) = mpsc::unbounded_channel::<DiscoveryRequest>();
        let grace = Duration::from_micros(config.settings.rules.stop_sending_within);
        let discovery =
            Discovery::<TokioRuntime>::new(at, How::Pushed, grace, 0, Rc::new(Notify::new()));
        let lists = Lists(counts.clone());
        tokio::task::spawn_local(async move {
            // They end with the process.
            let _kept = (moves, calls);
            discovery.run(lists, called).await;
        });
        // Its part in the tier, and notes.
        if let Some(at) = config.peer_listen {
            let socket = UdpSocket::bind(at).await.map_err(|e| format!("{at}: {e}"))?;
            let peers = Peers::<TokioRuntime>::new(socket, config.peers.clone(), None);
            if let Some(tier) = Shared::<TokioRuntime>::new(&config, Some(&peers))? {
                tokio::task::spawn_local(peers.listen(Notes(tier.clone())));
                tokio::task::spawn_local(tier.clone().run());
                tiers.push(tier);
            }
        }
        // Configurations, and reports of them.
        let status = Rc::new(Notify::new());
        let service = format!("service-{}", sidecar.service);
        let interest = Interest { services: [service].into(), zone: sidecar.zone };
        let place = Hollow { base, counts: counts.clone(), at: 0, status: status.clone() };
        let of_host = host::Config {
            name: sidecar.name.clone(),
            interest,
            servers: crowd.machines.iter().cloned().map(Into::into).collect(),
            seed: crowd.seed ^ n as u64,
        };
        tokio::task::spawn_local(host::run(of_host, place));
        tokio::task::spawn_local(report(sidecar.name, keeper.clone(), status));
    }
    tokio::task::spawn_local(async move {
        let _kept = agents;
        std::future::pending::<()>().await;
    });
    Ok(tiers)
}

/// Where reports go: a socket of this process's own, which nobody reads for longer than it takes.
fn keeper() -> Result<Rc<(UnixDatagram, UnixDatagram)>, String> {
    let pair = UnixDatagram::pair().map_err(|e| e.to_string())?;
    pair.0.set_nonblocking(true).map_err(|e| e.to_string())?;
    pair.1.set_nonblocking(true).map_err(|e| e.to_string())?;
    Ok(Rc::new(pair))
}

async fn report(name: String, to: Rc<(UnixDatagram, UnixDatagram)>, changed: Rc<Notify>) {
    let mut state = InstanceStatus {
        name,
        pid: std::process::id(),
        version: "hollow".into(),
        generation: 0,
        rejected_config: None,
        ready: true,
        draining: false,
        client_connections: 0,
        in_flight_requests: 0,
        out_of_descriptors: false,
        counts: RequestCounts::default(),
    };
    let mut read = [0; instance_status::MAX_DATAGRAM_BYTES];
    loop {
        let _ = to.0.send(state.to_datagram().as_bytes());
        while to.1.recv(&mut read).is_ok() {}
        state.generation += 1;
        let _ = tokio::time::timeout(REPORT, changed.notified()).await;
    }
}
