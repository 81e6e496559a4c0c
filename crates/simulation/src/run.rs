//! One run: the world of a scenario is built, its faults begin and end, and the rules are checked after
//! every step and at the end.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fakes::account::Class;
use fakes::logserver::Keys;
use fakes::registry::{Book, Entry};
use fakes::world::{WINDOW, World as Deployment, ZONES, classes, settings};
use lb_sidecar::sidecar::{self, Control, Sockets, config::Config};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use simnet::{
    HostFailure, HostId, Link, NetworkStats, Options, SimListener, SimRuntime, SimUdp, World,
};
use tokio::sync::{Notify, mpsc};

use crate::client::{Clients, Manners};
use crate::discovery::{Discovery, Mode};
use crate::operators::Operators;
use crate::oracle::{ClassRule, ColdRule, Counts, Eye, Oracle, Role, Rules, Violation};
use crate::scenario::{FAULTS_END_MS, Fault, Kind, LOAD_END_MS, Scenario};
use crate::server::{Faults, Server};

/// Clients begin by then.
const LOAD_BEGINS: Duration = Duration::from_millis(800);
/// What a sidecar holds at rest is measured just before.
const BASELINE: Duration = Duration::from_millis(790);
/// Service is whole again so long after the last fault.
const RECOVERY: Duration = Duration::from_millis(5000);
/// The share of requests that are served by then.
const WHOLE: f64 = 0.95;
/// So few may fail all the same: a request on a connection that a fault left dead, and what is shed
/// because it is late.
const FEW: u64 = 6;
/// After the load all is let go within.
const LET_GO: Duration = Duration::from_secs(16);
/// A sidecar that was told to end has ended within the longest deadline and so much.
const PLANNED_END: Duration = Duration::from_millis(700);
/// Where operators call a sidecar.
const OPERATORS_PORT: u16 = 9800;
/// Least room on the way to a server where bodies are long: byte by byte they would take minutes.
const LONG_WINDOW: usize = 4096;
/// Between two looks at what the scenario says.
const SLICE: Duration = Duration::from_millis(50);

/// What a run came to.
pub struct Outcome {
    /// The first rule that was broken.
    pub violation: Option<Violation>,
    /// Over everything that happened.
    pub hash: u64,
    /// How much happened.
    pub steps: u64,
    /// Virtual time.
    pub lasted: Duration,
    /// Requests, attempts and how they ended.
    pub counts: Counts,
    /// What passed on the network.
    pub network: NetworkStats,
    /// The timeline, if it was wanted.
    pub timeline: String,
    /// Requests in the last seconds, and how many of them were served.
    pub recovered: (u64, u64),
}

struct Sidecar {
    n: usize,
    host: HostId,
    at: SocketAddr,
    /// Told to end.
    stop: Rc<Notify>,
    reload: mpsc::Sender<()>,
    config: Rc<RefCell<String>>,
    /// The configuration that it was started with.
    first: String,
    ended: Rc<Cell<bool>>,
    up: bool,
    /// When it was told to end.
    stopped: Option<Duration>,
    starts: u64,
    back_at: Option<Duration>,
}

struct Play<'a> {
    scenario: &'a Scenario,
    world: World,
    start: Instant,
    oracle: Rc<RefCell<Oracle>>,
    classes: Rc<[Class]>,
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    sidecars: Vec<Sidecar>,
    clients: Vec<(HostId, Rc<Clients>)>,
    operators: Option<(HostId, Rc<Operators>)>,
    discovery_host: HostId,
    rng: SmallRng,
    baseline: (usize, usize),
}

fn address(third: u8, n: usize, port: u16) -> SocketAddr {
    SocketAddr::new(ip(third, n), port)
}

fn ip(third: u8, n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, third, n as u8 + 1))
}

/// Plays a scenario; `traced`: with a timeline.
pub fn play(scenario: &Scenario, traced: bool) -> Outcome {
    let mut play = Play::new(scenario, traced);
    play.run();
    play.outcome()
}

impl<'a> Play<'a> {
    fn new(scenario: &'a Scenario, traced: bool) -> Play<'a> {
        let mut rng = SmallRng::seed_from_u64(scenario.seed);
        let options = Options {
            shuffle_ready_tasks: scenario.shuffle,
            shuffle_simultaneous_events: scenario.shuffle,
            timer_lag: Duration::ZERO
                ..Duration::from_micros(scenario.timer_lag_us) + Duration::from_nanos(1),
            ..Options::default()
        };
        let world = World::new(rng.random(), options);
        let start = world.instant();
        let classes: Rc<[Class]> = classes(1.0).into();
        let rules = Rules {
            classes: classes
                .iter()
                .map(|c| ClassRule { name: c.name, repeat: c.repeat, work: c.work })
                .collect(),
            window: WINDOW,
            slack: Duration::from_micros(8000),
            drain: Duration::from_millis(500),
            sockets: scenario.sockets,
            gap: classes.iter().map(|c| c.aim).min().unwrap_or_default(),
            cold: ColdRule { multiple: 4.0, window: Duration::from_secs(3), cores: scenario.cores },
        };
        let oracle = Rc::new(RefCell::new(Oracle::new(rules, traced)));
        world.set_tap(Eye(oracle.clone()));
        let operated = scenario.faults.iter().any(|f| f.kind.by_operators());
        let hosts = 2 + scenario.servers * ZONES.len() + 2 * scenario.sidecars;
        let role = |host, role| oracle.borrow_mut().role(host, role, hosts);

        let discovery_host = world.add_host(ip(4, 0));
        role(discovery_host, Role::Discovery);
        let mut servers = Vec::new();
        for (zone, _) in ZONES.iter().enumerate() {
            let keys = Rc::new(Keys::default());
            for _ in 0..scenario.servers {
                let place = servers.len();
                let host = world.add_host(ip(3, place));
                role(host, Role::Server(place, zone));
                servers.push(Server::new(
                    place,
                    zone,
                    host,
                    address(3, place, 3000),
                    scenario.cores,
                    classes.clone(),
                    keys.clone(),
                    SmallRng::seed_from_u64(rng.random()),
                    oracle.clone(),
                ));
            }
        }
        let book = Book::new(servers.iter().map(|s| entry(s, "active")).collect());
        let discovery = Rc::new(Discovery {
            book: RefCell::new(book),
            mode: Cell::default(),
            changed: Notify::new(),
            places: servers.len(),
            agents: if scenario.asked { 0 } else { scenario.sidecars },
            oracle: oracle.clone(),
        });
        let mut sidecars = Vec::new();
        let mut clients = Vec::new();
        for n in 0..scenario.sidecars {
            let host = world.add_host(ip(1, n));
            role(host, Role::Sidecar(n));
            world.set_socket_limit(host, scenario.sockets);
            let at = address(1, n, 3000);
            let (reload, _) = mpsc::channel(1);
            sidecars.push(Sidecar {
                n,
                host,
                at,
                stop: Rc::new(Notify::new()),
                reload,
                config: Rc::default(),
                first: String::new(),
                ended: Rc::default(),
                up: false,
                stopped: None,
                starts: 0,
                back_at: None,
            });
            let theirs = world.add_host(ip(2, n));
            role(theirs, Role::Clients(n));
            let loopback =
                |l: &mut Link| l.latency = Duration::from_micros(5)..Duration::from_micros(25);
            world.configure_link(host, theirs, loopback);
            world.configure_link(theirs, host, loopback);
            let of = Clients {
                sidecar: n,
                target: at,
                classes: classes.clone(),
                tenants: Deployment::tenants(),
                manners: Cell::default(),
                rate: scenario.rate,
                rng: RefCell::new(SmallRng::seed_from_u64(rng.random())),
                oracle: oracle.clone(),
                idle: RefCell::default(),
                open: RefCell::default(),
                start,
            };
            clients.push((theirs, Rc::new(of)));
        }
        let operators = operated.then(|| {
            let of = Operators {
                start,
                oracle: oracle.clone(),
                rng: RefCell::new(SmallRng::seed_from_u64(rng.random())),
            };
            (world.add_host(ip(5, 0)), Rc::new(of))
        });
        Play {
            scenario,
            world,
            start,
            oracle,
            classes,
            servers,
            discovery,
            sidecars,
            clients,
            operators,
            discovery_host,
            rng,
            baseline: (0, 0),
        }
    }

    fn now(&self) -> Duration {
        self.world.now()
    }

    fn over(&self) -> bool {
        self.oracle.borrow().violation.is_some()
    }

    fn configuration(&mut self, n: usize) -> String {
        let mut settings = settings(&self.classes);
        settings["me"] = json!(n);
        settings["instances"] = json!(self.scenario.sidecars);
        settings["zone"] = json!(n % ZONES.len());
        settings["discovery"] = json!(if self.scenario.asked { "on_request" } else { "pushed" });
        settings["limits"]["cancel"] = json!(self.scenario.cancel);
        settings["limits"]["connectTimeout"] = json!(self.scenario.connect_ms * 1000);
        settings["limits"]["mayTell"] = json!(self.scenario.sidecars > 1);
        let seed: u64 = self.rng.random();
        let mut config = json!({
            "name": format!("n{n}"),
            "listen": address(1, n, 3000).to_string(),
            "discovery": address(4, 0, 8500).to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": self.scenario.sockets},
            "settings": settings,
        });
        if self.scenario.known {
            let known = self.discovery.book.borrow().news(None).unwrap_or_default();
            config["known"] = serde_json::from_str(&known).unwrap_or_default();
        }
        if self.scenario.sidecars > 1 {
            let all = (0..self.scenario.sidecars).map(|n| address(1, n, 7946).to_string());
            config["peer_listen"] = json!(address(1, n, 7946).to_string());
            config["peers"] = json!(all.collect::<Vec<_>>());
            if self.scenario.tier {
                config["tier"] = json!({"turn_ms": 100});
            }
        }
        config.to_string()
    }

    fn start_sidecar(&mut self, n: usize) {
        let text = self.configuration(n);
        let peers = (self.scenario.sidecars > 1).then(|| address(1, n, 7946));
        let now = self.now();
        let s = &mut self.sidecars[n];
        s.config = Rc::new(RefCell::new(text.clone()));
        s.first.clone_from(&text);
        s.stop = Rc::new(Notify::new());
        s.ended = Rc::default();
        (s.up, s.stopped, s.back_at) = (true, None, None);
        s.starts += 1;
        let (again, reload) = mpsc::channel(1);
        s.reload = again;
        let (at, config, stop, ended) = (s.at, s.config.clone(), s.stop.clone(), s.ended.clone());
        let host = s.host;
        let operated = self.operators.as_ref().map(|_| address(1, n, OPERATORS_PORT));
        self.world.set_socket_limit(host, self.scenario.sockets);
        self.oracle.borrow_mut().starts(now, n);
        self.discovery.agents_tell(now, n..n + 1);
        self.world.spawn(host, async move {
            let parsed = Config::parse(text.as_bytes());
            let sockets = SimListener::bind(at, 4096).and_then(|listener| {
                let peers = peers.map(SimUdp::bind).transpose()?;
                let admin = operated.map(|at| SimListener::bind(at, 64)).transpose()?;
                Ok(Sockets::<SimRuntime> { listener, shared: false, peers, admin, record: None })
            });
            if let (Ok(parsed), Ok(sockets)) = (parsed, sockets) {
                let read = move || Config::parse(config.borrow().as_bytes());
                let control = Control {
                    stop: async move { stop.notified().await },
                    hand_over: std::future::pending(),
                    reload,
                    read,
                };
                let _ = sidecar::serve(parsed, sockets, control).await;
            }
            ended.set(true);
        });
    }

    fn run(&mut self) {
        let discovery = self.discovery.clone();
        let listener =
            self.world.run_on(self.discovery_host, || SimListener::bind(address(4, 0, 8500), 256));
        let Ok(listener) = listener else { return };
        self.world.spawn(self.discovery_host, discovery.run(listener, self.start));
        for server in self.servers.clone() {
            self.world.spawn(server.host, server.clone().run(self.start));
        }
        for n in 0..self.sidecars.len() {
            self.start_sidecar(n);
        }
        self.until(BASELINE);
        let first = &self.sidecars[0];
        self.baseline = (self.world.task_count(first.host), self.world.open_sockets(first.host));
        if self.scenario.asked {
            // The connection to discovery, which may come later.
            self.baseline = (self.baseline.0 + 1, self.baseline.1 + 1);
        }
        self.until(LOAD_BEGINS);
        for (host, clients) in self.clients.clone() {
            let end = self.start + Duration::from_millis(LOAD_END_MS);
            self.world.spawn(host, clients.run(end));
        }
        let mut marks: Vec<(u64, bool, usize)> = Vec::new();
        for (n, fault) in self.scenario.faults.iter().enumerate() {
            marks.push((fault.at_ms, true, n));
            marks.push((fault.at_ms + fault.for_ms, false, n));
        }
        marks.sort_unstable();
        let mut active = vec![false; self.scenario.faults.len()];
        for (at, begins, n) in marks {
            self.until(Duration::from_millis(at));
            if self.over() {
                return;
            }
            active[n] = begins;
            let fault = &self.scenario.faults[n];
            let now = self.now();
            self.oracle.borrow_mut().note(now, || {
                format!("{} {:?}", if begins { "begins:" } else { "ends:  " }, fault.kind)
            });
            self.moment(fault, begins);
            self.levels(&active);
        }
        self.until(Duration::from_millis(LOAD_END_MS));
        self.recovered();
        self.until(Duration::from_millis(LOAD_END_MS) + LET_GO);
        self.left_over();
        self.last_end();
    }

    /// Lets time pass; what the sidecars themselves come to is seen to between slices.
    fn until(&mut self, end: Duration) {
        while self.now() < end && !self.over() {
            let next = (self.now() + SLICE).min(end);
            let (oracle, world) = (&self.oracle, &self.world);
            let hosts: Vec<(usize, HostId)> = self.sidecars.iter().map(|s| (s.n, s.host)).collect();
            let checked = world.run_until(next, || {
                let mut oracle = oracle.borrow_mut();
                for (n, host) in &hosts {
                    oracle.sockets(world.now(), *n, world.open_sockets(*host));
                }
                if oracle.violation.is_some() { Err(()) } else { Ok(()) }
            });
            if checked.is_err() {
                return;
            }
            self.tend();
        }
    }

    /// Sidecars that ended are started anew; those that should have are found.
    fn tend(&mut self) {
        let now = self.now();
        let longest = self.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        for n in 0..self.sidecars.len() {
            let s = &self.sidecars[n];
            if s.up && s.ended.get() {
                if s.stopped.is_none() {
                    let what = format!("sidecar {n} ended by itself");
                    self.oracle.borrow_mut().broken(now, "crash", None, what);
                }
                let host = s.host;
                // What it had not answered is lost, and shows at its clients.
                self.world.kill(host, HostFailure::ProcessKilled);
                self.oracle.borrow_mut().count("planned ends");
                let s = &mut self.sidecars[n];
                (s.up, s.stopped) = (false, None);
                s.back_at = Some(now + Duration::from_millis(200));
            } else if s.stopped.is_some_and(|at| now > at + longest + PLANNED_END + SLICE) {
                let what = format!("sidecar {n} has not ended in time");
                self.oracle.borrow_mut().broken(now, "end", None, what);
            }
            if self.sidecars[n].back_at.is_some_and(|at| now >= at) {
                self.start_sidecar(n);
            }
        }
    }

    fn server(&self, n: usize) -> Rc<Server> {
        self.servers[n % self.servers.len()].clone()
    }

    /// What happens in a moment, at the beginning of a fault or at its end.
    fn moment(&mut self, fault: &Fault, begins: bool) {
        match &fault.kind {
            Kind::Restart { server, vanish } => {
                let s = self.server(*server);
                if begins && !s.down.replace(true) {
                    let how =
                        if *vanish { HostFailure::Unreachable } else { HostFailure::ProcessKilled };
                    self.world.kill(s.host, how);
                } else if !begins && s.down.get() {
                    self.start_server(&s);
                }
            }
            Kind::Replace { server } => {
                let s = self.server(*server);
                if begins && !s.down.replace(true) {
                    self.world.kill(s.host, HostFailure::ProcessKilled);
                    let gone = entry(&s, "left");
                    self.discovery.change(self.now(), |book| book.list(gone));
                    s.life.set(s.life.get() + 1);
                } else if !begins && s.down.get() {
                    self.start_server(&s);
                }
            }
            Kind::Drain { server } => {
                let s = self.server(*server);
                let entry = entry(&s, if begins { "leaving" } else { "active" });
                if begins {
                    self.discovery.change(self.now(), |book| book.list(entry));
                    s.draining.set(true);
                } else if !s.down.get() {
                    s.draining.set(false);
                    self.discovery.change(self.now(), |book| book.list(entry));
                }
            }
            Kind::Unlist { server } => {
                let s = self.server(*server);
                let entry = entry(&s, if begins { "left" } else { "active" });
                if begins || !s.down.get() {
                    self.discovery.change(self.now(), |book| book.list(entry));
                }
            }
            Kind::ResetAll { server, nth } if begins => {
                let s = self.server(*server);
                for sidecar in &self.sidecars {
                    self.world.reset_connections(sidecar.host, s.host, *nth);
                }
            }
            Kind::Silence { server } if begins => {
                let s = self.server(*server);
                for sidecar in &self.sidecars {
                    self.world.blackhole_connections(sidecar.host, s.host);
                }
            }
            Kind::DiscoveryJump if begins => {
                // An agent counts its own versions, and may begin anew. Those of a discovery that is
                // asked stand for one history; what it can lose is the changes between them.
                let asked = self.scenario.asked;
                self.discovery.change(self.now(), |book| match asked {
                    true => book.forget(),
                    false => *book = Book::new(book.servers().to_vec()),
                });
            }
            Kind::Reload { sidecar, sound } if begins => {
                let n = sidecar % self.sidecars.len();
                let s = &self.sidecars[n];
                let mut value: Value = serde_json::from_str(&s.first).unwrap_or_default();
                value["settings"]["classes"][0]["aim"] = json!(140_000);
                let text = value.to_string();
                let new = if *sound { &text[..] } else { &text[..text.len() / 2] };
                new.clone_into(&mut s.config.borrow_mut());
                let _ = s.reload.try_send(());
            }
            Kind::Term { sidecar } if begins => {
                let n = sidecar % self.sidecars.len();
                let now = self.now();
                let s = &mut self.sidecars[n];
                if s.up && s.stopped.is_none() {
                    s.stopped = Some(now);
                    s.stop.notify_one();
                    self.oracle.borrow_mut().terminated(now, n);
                }
            }
            Kind::Kill { sidecar } if begins => {
                let n = sidecar % self.sidecars.len();
                let now = self.now();
                if self.sidecars[n].up {
                    self.oracle.borrow_mut().killed(now, n);
                    self.world.kill(self.sidecars[n].host, HostFailure::ProcessKilled);
                    let s = &mut self.sidecars[n];
                    (s.up, s.stopped) = (false, None);
                    s.back_at = Some(now + Duration::from_millis(fault.for_ms.min(1000)));
                }
            }
            Kind::TakeOut { sidecar, server } if begins => {
                let s = self.server(*server);
                let lasts = Duration::from_millis(fault.for_ms);
                let server = (s.place, s.name());
                self.operate(*sidecar, |of, at| Box::pin(of.take_out(at, server, lasts)));
            }
            Kind::SendAway { sidecar } if begins => {
                let lasts = Duration::from_millis(fault.for_ms);
                self.operate(*sidecar, |of, at| Box::pin(of.send_away(at, lasts)));
            }
            Kind::BadCalls { sidecar } if begins => {
                self.operate(*sidecar, |of, (_, at)| Box::pin(of.bad_calls(at)));
            }
            _ => {}
        }
    }

    /// Lets operators do something at a sidecar.
    fn operate(
        &self,
        sidecar: usize,
        act: impl FnOnce(Rc<Operators>, (usize, SocketAddr)) -> Pin<Box<dyn Future<Output = ()>>>,
    ) {
        let n = sidecar % self.sidecars.len();
        if let Some((host, of)) = &self.operators {
            self.world.spawn(*host, act(of.clone(), (n, address(1, n, OPERATORS_PORT))));
        }
    }

    fn start_server(&mut self, s: &Rc<Server>) {
        self.world.revive(s.host);
        let now = self.now();
        let before = s.ran_as.replace(s.life.get());
        s.started.set(Some(now));
        self.oracle.borrow_mut().server_starts(now, s.place, before != s.life.get());
        self.world.spawn(s.host, s.clone().run(self.start));
        let entry = entry(s, "active");
        self.discovery.change(self.now(), |book| book.list(entry));
    }

    /// What lasts: every level is set anew from the faults that are active.
    fn levels(&mut self, active: &[bool]) {
        let faults: Vec<&Kind> = self
            .scenario
            .faults
            .iter()
            .zip(active)
            .filter(|(_, on)| **on)
            .map(|(f, _)| &f.kind)
            .collect();
        let mut of = vec![Faults::default(); self.servers.len()];
        let mut links = vec![(Link::default(), Link::default()); self.servers.len()];
        let mut manners = Manners::default();
        let mut mode = Mode::Up;
        let mut notes = 0.0;
        let mut short = vec![false; self.sidecars.len()];
        for kind in faults {
            let n = |server: &usize| server % self.servers.len();
            match kind {
                Kind::Slow { server, times } => of[n(server)].slower += times - 1.0,
                Kind::Hang { server, share } => of[n(server)].hang = *share,
                Kind::Error { server, share } => of[n(server)].error = *share,
                Kind::ResetBefore { server, share } => of[n(server)].reset_before = *share,
                Kind::ResetAfter { server, share } => of[n(server)].reset_after = *share,
                Kind::ResetWithin { server, share } => of[n(server)].reset_within = *share,
                Kind::Spoilt { server, share } => of[n(server)].spoilt = *share,
                Kind::Half { server, share } => of[n(server)].half = *share,
                Kind::WrongLength { server, share } => of[n(server)].wrong_length = *share,
                Kind::Surplus { server, share } => of[n(server)].surplus = *share,
                Kind::CloseAfter { server, share } => of[n(server)].close_after = *share,
                Kind::Late { server, share, late_ms } => {
                    of[n(server)].late = *share;
                    of[n(server)].late_by = Duration::from_millis(*late_ms);
                }
                Kind::TurnAway { server, share } => of[n(server)].turn_away = *share,
                Kind::Latency { server, more_us } => {
                    for link in both(&mut links[n(server)]) {
                        link.latency.start += Duration::from_micros(*more_us);
                        link.latency.end += Duration::from_nanos(more_us * 1500);
                    }
                }
                Kind::Loss { server, share } => {
                    both(&mut links[n(server)]).for_each(|link| link.segment_loss = *share);
                }
                Kind::Chop { server, share } => {
                    both(&mut links[n(server)]).for_each(|link| link.partial_io = *share);
                }
                Kind::Cut { server, there, back } => {
                    links[n(server)].0.partitioned |= there;
                    links[n(server)].1.partitioned |= back;
                }
                Kind::Refuse { server, share } => links[n(server)].0.syn_refused = *share,
                Kind::Ignore { server, share } => links[n(server)].0.syn_dropped = *share,
                Kind::Overtake { server, share } => links[n(server)].1.reset_overtakes = *share,
                Kind::Window { server, bytes } => links[n(server)].0.window = *bytes,
                Kind::DiscoveryDown => mode = Mode::Down,
                Kind::DiscoveryStill => mode = Mode::Still,
                Kind::DiscoveryHalf => mode = Mode::Half,
                Kind::Leave { share } => manners.leave = *share,
                Kind::Trickle { share } => manners.trickle = *share,
                Kind::ReuseId { share } => manners.reuse = *share,
                Kind::Garbage { share } => manners.garbage = *share,
                Kind::ResetLate { server, share, late_ms } => {
                    of[n(server)].reset_late = *share;
                    of[n(server)].reset_late_by = Duration::from_millis(*late_ms);
                }
                Kind::LongAnswers { server, share } => of[n(server)].long = *share,
                Kind::LongBodies { share } => manners.long = *share,
                Kind::Burst { times } => manners.times = *times,
                Kind::Descriptors { sidecar } => short[sidecar % self.sidecars.len()] = true,
                Kind::Notes { share } => notes = *share,
                _ => {}
            }
        }
        let long = self.scenario.faults.iter().any(|f| matches!(f.kind, Kind::LongBodies { .. }));
        for (there, _) in links.iter_mut().filter(|_| long) {
            there.window = there.window.max(LONG_WINDOW);
        }
        for (server, faults) in self.servers.iter().zip(of) {
            server.faults.set(faults);
        }
        for s in &self.sidecars {
            for (server, (there, back)) in self.servers.iter().zip(&links) {
                self.world.configure_link(s.host, server.host, |l| l.clone_from(there));
                self.world.configure_link(server.host, s.host, |l| l.clone_from(back));
            }
            for other in self.sidecars.iter().filter(|o| o.n != s.n) {
                self.world.configure_link(s.host, other.host, |l| {
                    (l.datagram_loss, l.datagram_duplication) = (notes, notes / 2.0);
                });
            }
            // One more than it has: what it closes it may open again.
            let limit = match short[s.n] {
                true => self.world.open_sockets(s.host) + 1,
                false => self.scenario.sockets,
            };
            self.world.set_socket_limit(s.host, limit);
            self.oracle.borrow_mut().short(self.world.now(), s.n, short[s.n]);
        }
        for (_, clients) in &self.clients {
            clients.manners.set(manners);
        }
        self.discovery.turn(self.world.now(), mode);
    }

    /// Some time after the last fault service is whole again.
    fn recovered(&mut self) {
        let (served, of) = self.span();
        let now = self.now();
        if of - served > FEW && (served as f64) < WHOLE * of as f64 {
            let what = format!("{served} of {of} served, seconds after the last fault");
            self.oracle.borrow_mut().broken(now, "recovery", None, what);
        }
    }

    fn span(&self) -> (u64, u64) {
        let from = Duration::from_millis(FAULTS_END_MS) + RECOVERY;
        let to = Duration::from_millis(LOAD_END_MS - 800);
        self.oracle.borrow().served_between(from, to)
    }

    /// With no load left a sidecar holds what it held before there was any.
    fn left_over(&mut self) {
        if self.over() {
            return;
        }
        let now = self.now();
        for s in &self.sidecars {
            let held = (self.world.task_count(s.host), self.world.open_sockets(s.host));
            if held.0 > self.baseline.0 || held.1 > self.baseline.1 {
                let what = format!(
                    "sidecar {} holds (tasks, sockets) {held:?} at rest, {:?} at first",
                    s.n, self.baseline
                );
                self.oracle.borrow_mut().broken(now, "left over", None, what);
                return;
            }
        }
    }

    /// Told to end, all end.
    fn last_end(&mut self) {
        if self.over() {
            return;
        }
        let now = self.now();
        for s in &mut self.sidecars {
            s.stopped = Some(now);
            s.stop.notify_one();
        }
        let _ = self.world.run_until(now + Duration::from_secs(3), || Ok::<(), ()>(()));
        if let Some(s) = self.sidecars.iter().find(|s| !s.ended.get()) {
            let what = format!("sidecar {} does not end", s.n);
            self.oracle.borrow_mut().broken(now, "end", None, what);
        }
    }

    fn outcome(self) -> Outcome {
        let recovered = self.span();
        let oracle = self.oracle.borrow();
        let mut counts = oracle.counts.clone();
        if let Some(violation) = &oracle.violation {
            counts.insert(violation.rule, 1);
        }
        Outcome {
            violation: oracle.violation.clone(),
            hash: self.world.hash(),
            steps: self.world.event_count(),
            lasted: self.world.now(),
            counts,
            network: self.world.stats(),
            timeline: oracle.timeline(),
            recovered,
        }
    }
}

fn both(links: &mut (Link, Link)) -> impl Iterator<Item = &mut Link> {
    [&mut links.0, &mut links.1].into_iter()
}

fn entry(server: &Server, health: &'static str) -> Entry {
    let born = server.started.get().map(|at| Options::default().unix_start + at);
    let born_ms = born.map_or(0, |born| born.as_millis() as u64);
    let mut entry = Entry::new(server.at, ZONES[server.zone]);
    entry.host = server.name();
    (entry.health, entry.born_ms) = (health, born_ms);
    entry
}
