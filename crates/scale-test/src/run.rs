//! Plays a plan: control machines and an origin are real processes, hollow sidecars share one process a zone, real
//! sidecars with their hosts stand among them. Measures what a change takes to be in force, and what all cost.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use config_distribution::net::http::HttpClient;
use fakes::program::{Folder, built};
use fakes::registry::{Entry, Registry};
use fakes::scripted::Server;
use fakes::world::{classes, settings};
use fault_injection::links::{ActiveFault, Impairment, Links, Node};
use fault_injection::network::Network;
use fault_injection::processes::{ReservedPort, unique_loopback_address};
use fault_injection::relay::Relay;
use local_cluster::{Host, signal_process};
use rustix::process::{Resource, Rlimit, Signal, getrlimit, setrlimit};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::task::LocalSet;

use crate::hollow::{Crowd, Sidecar, Told};
use crate::plan::{Fault, Plan, What};

/// How long all may take to start, and a change to be in force at all before the run goes on without.
const STARTS: Duration = Duration::from_secs(120);
/// How long costs are taken before anything is changed.
const QUIET: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(20);
/// Between two notes of a hollow sidecar to its tier.
const TURN_MS: u64 = 1000;

/// What a role's processes cost.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// Share of a core while nothing is changed: the mean of its processes, and the most.
    pub cpu_quiet: f64,
    /// The same of the one that takes most.
    pub cpu_quiet_most: f64,
    /// Share of a core while changes and faults go on.
    pub cpu_changing: f64,
    /// The same of the one that takes most.
    pub cpu_changing_most: f64,
    /// Resident, in KiB, of the one that has most.
    pub rss_kb_most: u64,
    /// The mean.
    pub rss_kb: u64,
}

/// A change, and how long after it was published, or after a cut was healed, it was in force at all.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    /// Its number.
    pub generation: u64,
    /// Published so long after the first was in force, in seconds.
    pub at_s: f64,
    /// In force at all after so many seconds; none: not within the run.
    pub took_s: Option<f64>,
    /// What went on then.
    pub during: String,
}

/// What came of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Hollow sidecars, and real ones.
    pub sidecars: usize,
    /// Real ones.
    pub real: usize,
    /// Seconds from the start of the sidecars until the first change was in force at all.
    pub start_s: f64,
    /// All changes.
    pub changes: Vec<Change>,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
    /// Costs by role; of hollow ones for each sidecar.
    pub costs: BTreeMap<String, Cost>,
    /// What did not hold.
    pub not_held: Vec<String>,
}

struct Process {
    child: Child,
    input: Option<ChildStdin>,
}

impl Process {
    fn start(
        program: &Path,
        arguments: &[String],
        log: &Path,
    ) -> Result<(Process, std::process::ChildStdout), String> {
        let log = std::fs::File::options().create(true).append(true).open(log).map_err(text)?;
        // They end with this process, whatever becomes of it.
        let mut command =
            Command::new(built("lb-process-guard", false).map_err(|e| e.to_string())?);
        command.arg(std::process::id().to_string()).arg(program).args(arguments);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log);
        command.env_remove("NOTIFY_SOCKET").env_remove("LB_LISTEN").env_remove("LB_NAME");
        Process::of(command)
    }

    fn of(mut command: Command) -> Result<(Process, std::process::ChildStdout), String> {
        let mut child = command.spawn().map_err(text)?;
        let out = child.stdout.take().ok_or("no pipe")?;
        Ok((Process { input: child.stdin.take(), child }, out))
    }

    fn cost(&self) -> (u64, f64) {
        Host::costs(self.child.id()).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.input.take());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

fn ask(at: SocketAddr, path: &str, body: Option<&Value>) -> Result<Value, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let body = body.map(|b| b.to_string().into_bytes());
    LocalSet::new().block_on(&runtime.map_err(text)?, async {
        HttpClient::new(at).fetch_json(path, body, Duration::from_secs(8)).await.map_err(text)
    })
}

type Latest = Arc<Mutex<Told>>;
/// By role, of each process: resident, in KiB, and processor time used, in seconds.
type Costs = BTreeMap<String, Vec<(u64, f64)>>;
/// When, what all had cost by then, and the bytes that had passed over loopback.
type Reading = (Instant, Costs, u64);

struct Zone {
    crowd: Crowd,
    process: Option<Process>,
    told: Latest,
}

struct Ground<'a> {
    plan: &'a Plan,
    folder: Folder,
    program: PathBuf,
    own: PathBuf,
    network: Network,
    _relays: Vec<Relay>,
    origin_at: Vec<SocketAddr>,
    found_at: Vec<Vec<SocketAddr>>,
    control_at: Vec<SocketAddr>,
    origins: Vec<Option<Process>>,
    controls: Vec<Option<Process>>,
    zones: Vec<Zone>,
    /// The sidecar's process, and its host's.
    real: Vec<(Process, Process)>,
    _kept: (Registry, Server),
}

/// Plays a plan. `own` is the program that serves `scale hollow`; `tell` is told how far it is.
///
/// # Errors
///
/// What could not be done; a run that did not hold is no error.
pub fn play(plan: &Plan, own: &Path, mut tell: impl FnMut(&str)) -> Result<Report, String> {
    let memory = std::fs::read_to_string("/proc/meminfo").map_err(text)?;
    let total = memory.lines().find_map(|l| l.strip_prefix("MemTotal:"));
    let total = total.and_then(|t| t.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0);
    let takes = plan.fits(total)?;
    let (sidecars, real) = (plan.sidecars(), plan.real());
    tell(&format!(
        "{sidecars} hollow sidecars in {} processes, {real} real ones, {} control machines: up to {} MB",
        plan.zones(),
        plan.controls(),
        takes >> 10
    ));
    let limit = getrlimit(Resource::Nofile).maximum;
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit, maximum: limit });
    let mut ground = Ground::start(plan, own)?;
    let mut n = 0;
    let first = ground.publish(&mut n, STARTS)?;
    let began = Instant::now();
    ground.start_sidecars()?;
    let mut told = 0;
    while ground.reached(first).0 < sidecars {
        if began.elapsed() > STARTS {
            let (at, _) = ground.reached(first);
            return Err(format!(
                "only {at} of {sidecars} have the first change; logs: {}",
                ground.folder.path().display()
            ));
        }
        let (at, _) = ground.reached(first);
        if at / 500 > told {
            told = at / 500;
            tell(&format!("{at} have the first change"));
        }
        std::thread::sleep(LOOK);
    }
    let start_s = began.elapsed().as_secs_f64();
    tell(&format!("all have the first change after {start_s:.1} s"));
    let report = ground.measure(&mut n, &mut tell)?;
    Ok(Report { start_s, ..report })
}

impl Ground<'_> {
    fn start<'a>(plan: &'a Plan, own: &Path) -> Result<Ground<'a>, String> {
        let ip = unique_loopback_address();
        let mut reserved = Vec::new();
        for _ in 0..plan.controls() + 2 {
            reserved.push(ReservedPort::new(ip).map_err(text)?);
        }
        let at: Vec<SocketAddr> = reserved.iter().map(|r| r.address).collect();
        let (origin_at, control_at) = (at[..2].to_vec(), at[2..].to_vec());
        drop(reserved);
        let network = Network::new(Links::default(), plan.seed);
        let (mut relays, mut found_at) = (Vec::new(), Vec::new());
        for n in 0..plan.controls() {
            let mut found = Vec::new();
            for at in &origin_at {
                let (from, to) = (Node::Sidecar(n as u16), Node::Discovery);
                let relay = Relay::start_to(network.clone(), from, to, *at);
                let relay = fakes::runtime().block_on(relay).map_err(text)?;
                found.push(relay.address);
                relays.push(relay);
            }
            found_at.push(found);
        }
        let server = Server::echo();
        let registry = Registry::start(vec![Entry::new(server.at, "z0")]);
        let mut ground = Ground {
            plan,
            folder: Folder::new("scale"),
            program: built("lb-config", false).map_err(|e| e.to_string())?,
            own: own.to_owned(),
            network,
            _relays: relays,
            origin_at,
            found_at,
            control_at,
            origins: vec![None, None],
            controls: (0..plan.controls()).map(|_| None).collect(),
            zones: Vec::new(),
            real: Vec::new(),
            _kept: (registry, server),
        };
        for n in 0..plan.controls() {
            ground.start_control(n, true)?;
        }
        ground.start_origin(0)?;
        Ok(ground)
    }

    fn start_part(&self, arguments: Vec<String>, log: &str) -> Result<Process, String> {
        let (process, out) =
            Process::start(&self.program, &arguments, &self.folder.path().join(log))?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).map_err(text)?;
        match line.trim().parse::<SocketAddr>() {
            Ok(_) => Ok(process),
            Err(_) => Err(format!("{} did not start", arguments.join(" "))),
        }
    }

    fn members(&self, but: Option<usize>) -> impl Iterator<Item = String> {
        let all = self.control_at.iter().enumerate().filter(move |(n, _)| Some(*n) != but);
        all.map(|(n, at)| format!("c{n}={at}"))
    }

    fn start_control(&mut self, n: usize, new: bool) -> Result<(), String> {
        let state = self.folder.path().join(format!("c{n}"));
        let mut arguments = vec![
            "control".to_owned(),
            format!("--listen={}", self.control_at[n]),
            format!("--name=c{n}"),
            format!("--state={}", state.display()),
        ];
        arguments.extend(self.found_at[n].iter().map(|at| format!("--origin={at}")));
        arguments.extend(self.members(Some(n)).map(|m| format!("--other={m}")));
        if new {
            arguments.push("--new".to_owned());
        }
        self.controls[n] = Some(self.start_part(arguments, &format!("c{n}.log"))?);
        Ok(())
    }

    fn start_origin(&mut self, number: usize) -> Result<(), String> {
        let mut arguments = vec![
            "origin".to_owned(),
            format!("--listen={}", self.origin_at[number]),
            format!("--number={number}"),
        ];
        arguments.extend(self.members(None).map(|m| format!("--member={m}")));
        self.origins[number] = Some(self.start_part(arguments, "origin.log")?);
        Ok(())
    }

    /// The control machines that a zone's hosts call: those of its region.
    fn machines(&self, zone: usize) -> Vec<(String, SocketAddr)> {
        let region = self.plan.region(zone);
        let of = |n: &usize| self.plan.region(*n) == region;
        (0..self.control_at.len())
            .filter(of)
            .map(|n| (format!("c{n}"), self.control_at[n]))
            .collect()
    }

    /// A sidecar's configuration without what is distributed.
    fn base(&self, name: &str, listen: SocketAddr) -> Value {
        let mut own = settings(&classes(8.0));
        own["zones"] = (0..self.plan.zones()).map(|z| format!("z{z}")).collect();
        own["zone"] = json!(0);
        own["me"] = json!(0);
        own["instances"] = json!(1);
        json!({
            "name": name, "listen": listen.to_string(), "discovery": self._kept.0.at.to_string(),
            "seed": "00000000000000a7", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "settings": own,
        })
    }

    fn start_sidecars(&mut self) -> Result<(), String> {
        let (all, zones, services) =
            (self.plan.sidecars(), self.plan.zones(), self.plan.services());
        // Each has an address of its own, so that its tier finds it; this process's own part of them.
        let port = 20_000 + (std::process::id() % 20_000) as u16;
        let address = |n: usize| {
            let n = n as u32 + 257;
            SocketAddr::from(([127, 200, (n >> 8) as u8, (n & 255) as u8], port))
        };
        let mut crowds: Vec<Vec<Sidecar>> = vec![Vec::new(); zones];
        let mut tiers: Vec<Vec<usize>> = vec![Vec::new(); services];
        (0..all).for_each(|n| tiers[n % services].push(n));
        for (service, tier) in tiers.iter().enumerate() {
            let peers: Vec<_> = tier.iter().map(|n| address(*n).to_string()).collect();
            for (me, n) in tier.iter().enumerate() {
                let zone = (n / services + service) % zones;
                let name = format!("s{n}");
                let mut config = self.base(&name, address(*n));
                config["settings"]["me"] = json!(me);
                config["settings"]["instances"] = json!(tier.len());
                config["settings"]["zone"] = json!(zone);
                config["settings"]["limits"]["mayTell"] = json!(true);
                config["tier"] = json!({"turn_ms": TURN_MS});
                config["peer_listen"] = json!(address(*n).to_string());
                config["peers"] = json!(peers);
                let zone_name = format!("z{zone}");
                crowds[zone].push(Sidecar { name, zone: zone_name, service, config });
            }
        }
        for (zone, sidecars) in crowds.into_iter().enumerate() {
            let crowd = Crowd {
                sidecars,
                machines: self.machines(zone),
                servers: (all / services).max(1),
                seed: self.plan.seed ^ (zone as u64) << 32,
            };
            self.zones.push(Zone { crowd, process: None, told: Latest::default() });
            self.start_zone(zone)?;
        }
        for n in 0..self.plan.real() {
            self.start_real(n)?;
        }
        Ok(())
    }

    fn start_zone(&mut self, zone: usize) -> Result<(), String> {
        let log = self.folder.path().join(format!("z{zone}.log"));
        let arguments = ["scale".to_owned(), "hollow".to_owned()];
        let (mut process, out) = Process::start(&self.own, &arguments, &log)?;
        let line = serde_json::to_string(&self.zones[zone].crowd).map_err(text)?;
        let input = process.input.as_mut().ok_or("no pipe")?;
        writeln!(input, "{line}").map_err(text)?;
        let latest = Latest::default();
        let to = latest.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                if let Ok(told) = serde_json::from_str::<Told>(&line) {
                    *to.lock().unwrap_or_else(PoisonError::into_inner) = told;
                }
            }
        });
        self.zones[zone].told = latest;
        self.zones[zone].process = Some(process);
        Ok(())
    }

    fn start_real(&mut self, n: usize) -> Result<(), String> {
        let at = ReservedPort::new(unique_loopback_address()).map_err(text)?.address;
        let (zone, name) = (n % self.plan.zones(), format!("real-{n}"));
        let folder = self.folder.path();
        let (base, config) =
            (folder.join(format!("{name}-base.json")), folder.join(format!("{name}.json")));
        let own = self.base(&name, at).to_string();
        std::fs::write(&base, &own).map_err(text)?;
        std::fs::write(&config, &own).map_err(text)?;
        let mut command =
            Command::new(built("lb-process-guard", false).map_err(|e| e.to_string())?);
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).map_err(text)?;
        command
            .arg(std::process::id().to_string())
            .arg(built("lb-sidecar", false).map_err(|e| e.to_string())?);
        command.env("LB_CONFIG", &config).env_remove("LB_LISTEN").env_remove("LB_NAME");
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log);
        let (sidecar, _) = Process::of(command)?;
        let mut arguments = vec![
            "host".to_owned(),
            format!("--name={name}"),
            format!("--zone=z{zone}"),
            format!("--service=service-{}", n % self.plan.services()),
        ];
        arguments.extend(self.machines(zone).iter().map(|(m, at)| format!("--control={m}={at}")));
        arguments.push("alone".to_owned());
        arguments.push(format!("--base={}", base.display()));
        arguments.push(format!("--config={}", config.display()));
        let log = folder.join(format!("{name}-host.log"));
        let (host, _) = Process::start(&self.program, &arguments, &log)?;
        self.real.push((sidecar, host));
        Ok(())
    }

    /// Publishes the next document, of all services.
    fn publish(&self, n: &mut u64, patience: Duration) -> Result<u64, String> {
        *n += 1;
        // Where sidecars take it over live.
        let mut limits = json!({"maxRetryAfter": 1_000_000 + *n, "notes": ""});
        let room = self.plan.bytes().saturating_sub(limits.to_string().len() + 24);
        limits["notes"] = "x".repeat(room).into();
        let body = json!({"settings": {"limits": limits}});
        let wanted = json!({"key": "*", "body": body});
        let end = Instant::now() + patience;
        loop {
            for at in &self.origin_at {
                if let Ok(told) = ask(*at, "/config/publish", Some(&wanted)) {
                    return told["generation"].as_u64().ok_or_else(|| format!("no number: {told}"));
                }
            }
            if Instant::now() > end {
                return Err("no origin takes a change".to_owned());
            }
            std::thread::sleep(LOOK);
        }
    }

    /// At how many hollow sidecars a change is in force, and since when at the last of them.
    fn reached(&self, generation: u64) -> (usize, u64) {
        let mut sum = (0, 0);
        for zone in &self.zones {
            let told = zone.told.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some((count, at)) = told.in_force.get(&generation) {
                sum = (sum.0 + count, sum.1.max(*at));
            }
        }
        sum
    }

    fn costs(&self) -> Costs {
        let some =
            |all: &[Option<Process>]| all.iter().flatten().map(Process::cost).collect::<Vec<_>>();
        let each = |z: &Zone| {
            let n = z.crowd.sidecars.len().max(1);
            z.process.as_ref().map(|p| {
                let (rss, cpu) = p.cost();
                (rss / n as u64, cpu / n as f64)
            })
        };
        let real = self.real.iter().map(|(a, b)| {
            let (a, b) = (a.cost(), b.cost());
            (a.0 + b.0, a.1 + b.1)
        });
        BTreeMap::from([
            ("control".to_owned(), some(&self.controls)),
            ("origin".to_owned(), some(&self.origins)),
            ("hollow".to_owned(), self.zones.iter().filter_map(each).collect()),
            ("real".to_owned(), real.collect()),
        ])
    }

    fn carry_out(&mut self, fault: &Fault, begins: bool) -> Result<(), String> {
        let of = fault.of;
        match (fault.what, begins) {
            (What::KillControl, true) => self.controls[of] = None,
            (What::KillControl, false) => self.start_control(of, false)?,
            (What::StopControl, _) => {
                if let Some(process) = &self.controls[of] {
                    let signal = if begins { Signal::STOP } else { Signal::CONT };
                    signal_process(process.child.id(), signal);
                }
            }
            (What::CutRegion, _) => {
                let all = (0..self.control_at.len()).filter(|n| self.plan.region(*n) == of);
                let from = all.map(|n| Node::Sidecar(n as u16)).collect();
                self.network.update(|links| {
                    links.clear(of);
                    if begins {
                        links.inject(ActiveFault {
                            fault: of,
                            from,
                            to: [Node::Discovery].into(),
                            both_directions: true,
                            impairment: Impairment::cut(),
                        });
                    }
                });
            }
            (What::KillZone, true) => {
                self.zones[of].process = None;
                self.zones[of].told = Latest::default();
            }
            (What::KillZone, false) => self.start_zone(of)?,
            (What::ReplaceOrigin, true) => {
                self.origins[0] = None;
                self.start_origin(1)?;
            }
            (What::ReplaceOrigin, false) => {}
        }
        Ok(())
    }

    fn measure(&mut self, n: &mut u64, tell: &mut impl FnMut(&str)) -> Result<Report, String> {
        let plan = self.plan;
        let before = (Instant::now(), self.costs(), loopback());
        std::thread::sleep(QUIET);
        let quiet = (Instant::now(), self.costs(), loopback());
        let began = Instant::now();
        let mut events: Vec<(f64, Fault, bool)> = Vec::new();
        for fault in plan.faults() {
            events.push((fault.at_s, fault.clone(), true));
            events.extend(fault.for_s.map(|f| (fault.at_s + f, fault.clone(), false)));
        }
        events.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut events = events.into_iter().peekable();
        let mut changes: Vec<(Change, u64, u64)> = Vec::new();
        let mut going: Vec<Fault> = Vec::new();
        let mut next = Duration::ZERO;
        let deadline = plan.length() + Duration::from_secs(20);
        loop {
            let now = began.elapsed();
            if let Some((at, fault, begins)) = events.next_if(|e| e.0 <= now.as_secs_f64()) {
                tell(&format!(
                    "{at:.1} s: {:?} {} {}",
                    fault.what,
                    fault.of,
                    if begins { "begins" } else { "ends" }
                ));
                self.carry_out(&fault, begins)?;
                let same = |f: &Fault| f.what == fault.what && f.of == fault.of;
                going.retain(|f| !same(f));
                if begins {
                    going.push(fault);
                } else if matches!(fault.what, What::CutRegion | What::KillZone) {
                    // What could not come before counts from here on.
                    let healed = unix_us();
                    let open = changes.iter_mut().filter(|c| c.0.took_s.is_none());
                    open.for_each(|c| c.1 = c.1.max(healed));
                }
                continue;
            }
            if now >= next && now < plan.length() {
                next += plan.every();
                let at = unix_us();
                let during: Vec<_> =
                    going.iter().map(|f| format!("{:?} {}", f.what, f.of)).collect();
                let generation = self.publish(n, Duration::from_secs(30))?;
                let at_s = now.as_secs_f64();
                let change = Change { generation, at_s, took_s: None, during: during.join(", ") };
                changes.push((change, at, at));
            }
            for (change, from, _) in changes.iter_mut().filter(|c| c.0.took_s.is_none()) {
                let (count, last) = self.reached(change.generation);
                if count >= plan.sidecars() {
                    change.took_s = Some(last.saturating_sub(*from) as f64 / 1e6);
                }
            }
            let open = changes.iter().any(|c| c.0.took_s.is_none());
            if now >= plan.length() && (!open || now >= deadline) && events.peek().is_none() {
                break;
            }
            std::thread::sleep(LOOK);
        }
        let after = (Instant::now(), self.costs(), loopback());
        let changes: Vec<Change> = changes.into_iter().map(|c| c.0).collect();
        Ok(self.report(changes, [before, quiet, after]))
    }

    fn report(&self, changes: Vec<Change>, [before, quiet, after]: [Reading; 3]) -> Report {
        let (sidecars, real) = (self.plan.sidecars(), self.plan.real());
        let spans = [(&before, &quiet), (&quiet, &after)].map(|(a, b)| (b.0 - a.0).as_secs_f64());
        let mut costs = BTreeMap::new();
        for (role, last) in &after.1 {
            let share = |a: &BTreeMap<String, Vec<_>>, b: &BTreeMap<String, Vec<_>>, span: f64| {
                // Only of processes that were there all the time.
                let pairs = a[role].iter().zip(&b[role]);
                let all: Vec<f64> = pairs
                    .map(|(x, y): (&(u64, f64), &(u64, f64))| (y.1 - x.1) / span)
                    .filter(|s| *s >= 0.0)
                    .collect();
                let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
                (mean, all.into_iter().fold(0.0, f64::max))
            };
            let (cpu_quiet, cpu_quiet_most) = share(&before.1, &quiet.1, spans[0]);
            let (cpu_changing, cpu_changing_most) = share(&quiet.1, &after.1, spans[1]);
            let rss: Vec<u64> = last.iter().map(|c| c.0).collect();
            let cost = Cost {
                cpu_quiet,
                cpu_quiet_most,
                cpu_changing,
                cpu_changing_most,
                rss_kb_most: rss.iter().copied().max().unwrap_or(0),
                rss_kb: rss.iter().sum::<u64>() / rss.len().max(1) as u64,
            };
            costs.insert(role.clone(), cost);
        }
        let took = |so: &dyn Fn(&Change) -> bool| {
            let all = changes.iter().filter(|c| so(c)).map(|c| c.took_s.unwrap_or(f64::INFINITY));
            all.fold(0.0, f64::max)
        };
        let cut = |c: &Change| c.during.contains("Cut") || c.during.contains("KillZone");
        let mut told = Told::default();
        for zone in &self.zones {
            let of = zone.told.lock().unwrap_or_else(PoisonError::into_inner);
            told.declined += of.declined;
            told.went_back += of.went_back;
            told.whole_tiers += of.whole_tiers;
            told.lists += of.lists;
        }
        let status = self
            .origin_at
            .iter()
            .find_map(|at| ask(*at, "/config/status", None).ok().filter(|s| s["leading"] == true));
        let total = &status.unwrap_or_default()["total"];
        let all = total["all"]["hosts"].as_f64().unwrap_or(0.0);
        let per_sidecar =
            |bytes: u64, span: f64| bytes as f64 / span / (sidecars + real).max(1) as f64;
        let figures = BTreeMap::from([
            ("in_force_s".to_owned(), took(&|c| c.during.is_empty())),
            ("in_force_under_faults_s".to_owned(), took(&|c| !c.during.is_empty() && !cut(c))),
            ("healed_s".to_owned(), took(&cut)),
            ("changes".to_owned(), changes.len() as f64),
            ("went_back".to_owned(), told.went_back as f64),
            ("declined".to_owned(), told.declined as f64),
            ("whole_tiers".to_owned(), told.whole_tiers as f64),
            ("hosts".to_owned(), all),
            ("hosts_in_force".to_owned(), total["all"]["in_force"].as_f64().unwrap_or(0.0)),
            ("loopback_bytes_per_s_quiet".to_owned(), per_sidecar(quiet.2 - before.2, spans[0])),
            ("loopback_bytes_per_s_changing".to_owned(), per_sidecar(after.2 - quiet.2, spans[1])),
        ]);
        let mut not_held = Vec::new();
        for e in self.plan.expectations() {
            match figures.get(&e.figure) {
                None => not_held.push(format!("{}: no such figure", e.figure)),
                Some(f) if e.least.is_some_and(|l| *f < l) || e.most.is_some_and(|m| *f > m) => {
                    not_held
                        .push(format!("{}: {f}, {:?} to {:?} expected", e.figure, e.least, e.most));
                }
                Some(_) => {}
            }
        }
        Report { sidecars, real, start_s: 0.0, changes, figures, costs, not_held }
    }
}

/// Bytes that passed over loopback so far, of everybody on this machine (proc_net_dev).
fn loopback() -> u64 {
    let table = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table.lines().find_map(|l| l.trim().strip_prefix("lo:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
