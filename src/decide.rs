//! The decisions, all of them: which server a request goes to, when it is tried again, copied,
//! refused or given up, and what a server's answers say about that server.
//!
//! The ordinary path is the chip mechanism of the README: answers mint confidence chips, a
//! send spends one, and of two random servers that qualify the less used one gets the request.
//! Every send passes `send`, every refusal or failure passes `end`; the four rules hold there.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::api::*;
use crate::settings::*;

/// Algorithm 1 of the paper measures a queue against this share of the capacity.
const CAPACITY_SHARE: f64 = 0.8;
/// The paper's span for the average of reported queues, and how long no capacity is known.
const CAPACITY_SPAN: Micros = 30_000_000;
/// Chips a server can hold here: enough for a burst, few enough that a wipe costs little to regain.
const MAX_CHIPS: u32 = 16;
/// Draws for each of the two picks. With half of the servers out, one in 250 picks finds none.
const REDRAWS: usize = 8;
/// Sends that a request refused as full may cost in all, if the settings allow as many.
const FULL_TRIES: usize = 4;
/// Repeats after failures, as a share of requests: a tenth, as is usual.
const RETRY_SHARE: f64 = 0.1;
/// Repeats that may be saved up; a few, so that one sick server does not spend a minute's worth.
const RETRY_SAVED: f64 = 5.0;
/// The weight of one more answer in a running mean: what a quiet sidecar hears in some seconds.
const FEW: f64 = 0.15;
/// A report is half forgotten after this many of the longest aims.
const REPORT_FADES: f64 = 2.0;
/// The least number of servers in a sidecar's subset: two sick ones must leave a choice, and the
/// load that subsets lay on servers must even out.
const SUBSET: usize = 5;
/// What the open connections of all subsets may cost, in points of the result.
const CONNECTIONS_COST: f64 = 0.05;
/// Points of each server on the ring: their number evens out the keys.
const RING_POINTS: f64 = 16.0;
/// With fewer servers than this in its own zone, a sidecar puts keys on servers of all zones.
const RING_LEAST: usize = 3;
/// Keys of so many last requests are remembered, to tell the hot ones.
const KEYS_MET: usize = 64;
/// The least draw weight of far servers: some are kept known, for when they are needed.
const FAR_LEAST: f64 = 0.05;
/// How much more load at home than away (a logarithm) a point of the crossing's price is worth:
/// at a few points, home may be a fifth more loaded.
const CROSSING_WORTH: f64 = 4.0;
/// Requests a second from which on the share that crosses moves no faster.
const STEADY_RATE: f64 = 5.0;
/// How far a point of the price lowers far servers' first chance of a draw, before loads are known.
const CROSSING_SHY: f64 = 80.0;
/// Seconds over which a sidecar's own rate is taken.
const RATE_SPAN: f64 = 10.0;
/// Failures in a row, by weight, that put a server out. Danger: answers get lost and connections
/// break everywhere and on every server now and then; one failure is no news of a server, and put
/// out for it a whole fleet stands idle in turn while the rest drowns.
const PUT_OUT: u32 = 5;
/// Failures in a row after which trials are no rarer still (each one doubles the pause).
const MAX_DOUBLINGS: u32 = 5;
/// The lateness at which the class that earns most for its work begins to be shed, how much sooner
/// one is that earns an e-th of it, the least lateness to shed at, and how much more sheds all.
const SHED_LAST: f64 = 0.3;
const SHED_SPREAD: f64 = 0.15;
const SHED_FROM: f64 = 0.06;
const SHED_BAND: f64 = 0.1;
/// Servers whose lateness is kept in view: enough that a third of them is no chance.
const SIGHTS: usize = 16;
/// The answer time, in aims, that is taken for granted of what has not come by its aim.
const LATE_AT_AIM: f64 = 1.5;
/// Up to here a server may look slow by chance: a dozen answers with a spread of once their mean.
const CHANCE_SLOW: f64 = 1.6;
/// Answer times count as so many times the usual at most: one heavy request is no sick server.
const MOST_SLOW: f64 = 4.0;
/// The weight of one more attempt in the share that fails at a server: some dozen tell.
const FAULT_NEWS: f64 = 0.07;
/// How much likelier to fail than at sound servers an attempt may look by chance, and how often a
/// server is passed over for each point beyond: by requests that a failure may end, by others.
const CHANCE_FAULTS: f64 = 0.06;
const SHY_UNSAFE: f64 = 8.0;
const SHY_SAFE: f64 = 2.0;
/// However often attempts fail, or come too late, so many are let through, to see when it is over.
const LEAST_TRIED: f64 = 0.05;
/// The weight of one more answer time of a server: a quiet sidecar hears of one in seconds only.
const SLOW_NEWS: f64 = 0.3;
/// Requests count as so many times as heavy as the usual at most: hints are rough.
const MOST_HEAVY: f64 = 6.0;
/// Servers in time that are taken for granted beside those in view.
const DOUBT: f64 = 1.5;
/// A lateness that no answer renews fades over this many of the longest aims.
const LATENESS_FADES: f64 = 4.0;

/// Danger: with less time left than this share of what its class usually takes, a request is work for nobody.
const HOPELESS: f64 = 0.8;
/// When a client that is refused should come back, in longest aims, give or take half of it: what
/// is late now has been answered or given up by then, and not all come back together.
const BACK_AFTER: f64 = 1.0;

type Slot = usize;

/// What a sidecar knows of one server.
#[derive(Debug, Default)]
struct Server {
    id: ServerId,
    zone: u8,
    cell: u16,
    health: Health,
    power: f64,
    started: Micros,
    chips: u32,
    in_flight: u32,
    /// The paper's RcvTime: the last answer, or the last trial without a chip. None: no answer yet.
    received: Option<Micros>,
    /// When the latest of the sends that were answered went out.
    answered: Micros,
    /// When the oldest send that nothing has been heard since went out.
    silent_since: Option<Micros>,
    failures: u32,
    shunned_until: Micros,
    /// The last report's load and when it came.
    load: f64,
    reported: Micros,
    /// Answer times here, relative to the usual ones of their classes.
    slowness: f64,
    /// The share of attempts here that failed and may have run.
    faults: f64,
    /// How loaded its answers show it to be, when one last did, and its draw weight, while it lies
    /// across a priced crossing. None: no answer yet.
    far_load: f64,
    spilled: Micros,
    far_share: Option<f64>,
    average: Average,
    /// It is of this sidecar's subset.
    kept: bool,
}

/// The average of reported queues over the paper's span.
#[derive(Debug, Default)]
struct Average {
    since: Micros,
    sum: f64,
    count: f64,
    last: Option<f64>,
}

impl Average {
    fn add(&mut self, now: Micros, queue: f64) {
        if self.count == 0.0 {
            self.since = now;
        }
        self.sum += queue;
        self.count += 1.0;
        if now - self.since >= CAPACITY_SPAN {
            self.last = Some(self.sum / self.count);
            (self.sum, self.count) = (0.0, 0.0);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Debug)]
struct Attempt {
    slot: Slot,
    server: ServerId,
    zone: u8,
    cell: u16,
    sent: Micros,
    fate: Fate,
}

#[derive(Debug)]
struct Request {
    class: usize,
    key: u64,
    /// How heavy it was announced to be, beside the usual one of its class.
    heavy: f64,
    /// More than its tenant's quota; it gets what room is left.
    beyond: bool,
    deadline: Micros,
    /// It has its final answer; only outcomes of attempts still out are awaited.
    ended: bool,
    /// A stream has begun: its time no longer runs, and nothing else may be sent.
    streaming: bool,
    attempts: SmallVec<[Attempt; 2]>,
}

impl Request {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.fate == Fate::Out).count()
    }
    fn untouched(&self) -> bool {
        self.attempts.iter().all(|a| a.fate == Fate::NeverRan)
    }
}

/// What is learned of a class.
#[derive(Clone, Debug, Default)]
struct Learned {
    /// Answer time when nothing waits: a low quantile of those seen.
    base: f64,
    /// The usual answer time.
    usual: f64,
    seen: bool,
    /// The usual hint of work.
    hint: f64,
}

#[derive(Clone, Copy, Debug)]
enum Alarm {
    Late(RequestId),
    Overdue(RequestId),
    Subscribe,
}

/// One sidecar's decisions. Same settings, seed and events: same actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    servers: Vec<Server>,
    by_id: FxHashMap<ServerId, Slot>,
    /// Slots of the servers that may be sent to, and the running sum of their draw weights.
    ready: Vec<Slot>,
    sums: Vec<f64>,
    /// The same for this sidecar's own subset of them.
    near: Vec<Slot>,
    near_sums: Vec<f64>,
    /// Points of the servers on a ring, for keys that warm them.
    ring: Vec<(u64, Slot)>,
    met: [u64; KEYS_MET],
    met_at: usize,
    weighed: Micros,
    /// What fails at the sound servers: the failing share that a third of them stay under.
    usual_faults: f64,
    ranked_at_rate: f64,
    /// The first and the least draw weight of servers across a priced crossing.
    far_first: f64,
    far_least: f64,
    /// How loaded answers show the servers of the sidecar's own zone to be.
    home_load: f64,
    /// Requests a second here, as a running mean.
    rate: f64,
    rate_at: Micros,
    requests: FxHashMap<RequestId, Request>,
    alarms: FxHashMap<u32, Alarm>,
    next_token: u32,
    learned: Vec<Learned>,
    /// How late each server's last answers were, and what this says of the fleet.
    sights: SmallVec<[(Slot, f64, Micros); SIGHTS]>,
    lateness: f64,
    late_at: Micros,
    /// Running mean of reported loads, each over its server's power.
    usual_load: f64,
    retry_budget: f64,
    /// What each request adds to it, and what may be saved up.
    retry_share: (f64, f64),
    subscribe_failures: u32,
    queue_column: Option<usize>,
    load_column: Option<usize>,
    held_column: Option<usize>,
    /// Running means of answer times and of what servers held besides.
    answer_mean: (f64, f64),
    longest_aim: f64,
    reset_interval: Micros,
    now: Micros,
}

impl Balancer {
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Balancer {
        let longest = |f: fn(&Class) -> Micros| settings.classes.iter().map(f).max().unwrap_or(1);
        let classes = settings.classes.len();
        let far_first = 1.0 / (1.0 + CROSSING_SHY * settings.prices.cross_zone.max(0.0));
        Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: Vec::new(),
            by_id: FxHashMap::default(),
            ready: Vec::new(),
            sums: Vec::new(),
            near: Vec::new(),
            near_sums: Vec::new(),
            ring: Vec::new(),
            met: [0; KEYS_MET],
            met_at: 0,
            weighed: now,
            usual_faults: 0.0,
            ranked_at_rate: 0.0,
            far_first,
            far_least: FAR_LEAST,
            home_load: 1.0,
            rate: 0.0,
            rate_at: now,
            requests: FxHashMap::default(),
            alarms: FxHashMap::default(),
            next_token: 0,
            learned: vec![Learned::default(); classes],
            sights: SmallVec::new(),
            lateness: 0.0,
            late_at: now,
            usual_load: 0.0,
            retry_budget: 1.0,
            retry_share: (RETRY_SHARE, RETRY_SAVED),
            subscribe_failures: 0,
            queue_column: settings.column("q"),
            load_column: settings.column("rif").or(settings.column("q")),
            held_column: settings.column("rif"),
            answer_mean: (0.0, 1.0),
            longest_aim: longest(|c| c.latency_objective) as f64,
            reset_interval: longest(|c| c.deadline),
            now,
            settings,
        }
    }

    /// Takes settings over that differ in limits and in the classes' figures alone. What was learned
    /// stays; requests under way keep the time they were given.
    pub fn reconfigure(&mut self, settings: Settings) {
        if settings.classes.len() == self.learned.len() {
            let longest = |f: fn(&Class) -> Micros| settings.classes.iter().map(f).max();
            self.longest_aim = longest(|c| c.latency_objective).unwrap_or(1) as f64;
            self.reset_interval = longest(|c| c.deadline).unwrap_or(1);
            self.settings = settings;
        }
    }

    /// Repeats a request may add to the budget from now on, and those saved up: this sidecar's part of the tier's.
    pub fn may_repeat(&mut self, share: f64, saved: f64) {
        self.retry_share = (share, saved);
    }

    /// Whether a server is put out for its failures, until its next trial.
    pub fn is_put_out(&self, id: ServerId) -> bool {
        self.by_id.get(&id).is_some_and(|&slot| self.servers[slot].shunned_until > self.now)
    }

    /// Takes one event and appends what to do about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::EndpointUpdate { kind, entries } => self.servers_changed(kind, entries, out),
            Event::Request(new) => self.request(new, out),
            Event::FirstByte { id, attempt } => self.first_byte(id, attempt, out),
            Event::AttemptEnded { id, attempt, server, outcome, latency, finished, report } => {
                self.heard(id, attempt, server, outcome, latency as f64, &report);
                // Danger: a connection opened once for want of a better server stays until it is
                // idle for long. It may cost, and thousands of them fill the servers' tables.
                let idle = self.by_id.get(&server).map(|&slot| &self.servers[slot]);
                if idle.is_some_and(|s| !s.kept && s.in_flight == 0) {
                    out.push(Action::CloseIdleConnections { server });
                }
                self.settle(id, attempt, outcome, finished, out);
            }
            Event::ClientDisconnected { id } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.ended = true;
                    self.call_off(id, out);
                }
            }
            Event::Timer { token } => self.timer(token, out),
            Event::HealthCheckEnded { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn servers_changed(&mut self, kind: ListKind, entries: &[ServerEntry], out: &mut Vec<Action>) {
        let asked = self.settings.discovery == DiscoveryMode::OnRequest;
        let interval = self.settings.rules.max_poll_interval;
        match kind {
            ListKind::Failed => {
                // Danger: thousands that lose discovery together would call it down together again. Each waits a
                // random, growing time, so short that after two calls that fail all is known in time.
                if asked {
                    let most = interval.min(NOTIFICATION_DEADLINE / 2) as f64 / 2.0;
                    let wait = most * f64::from(2 + self.subscribe_failures.min(1)) / 3.0;
                    self.subscribe_failures += 1;
                    let wait = (wait * (0.25 + 0.75 * self.uniform())) as Micros;
                    self.set_alarm(wait, Alarm::Subscribe, out);
                }
                return;
            }
            ListKind::Cached if asked => {
                let most = interval.min(NOTIFICATION_DEADLINE) as f64 / 2.0;
                let wait = (self.uniform() * most) as Micros;
                self.set_alarm(wait, Alarm::Subscribe, out);
            }
            _ => self.subscribe_failures = 0,
        }
        if kind != ListKind::Delta {
            let listed: rustc_hash::FxHashSet<ServerId> = entries.iter().map(|e| e.id).collect();
            for s in &mut self.servers {
                if !listed.contains(&s.id) {
                    s.health = Health::Removed;
                }
            }
        }
        for e in entries {
            self.list_entry(e);
        }
        self.choose_subset();
    }

    fn list_entry(&mut self, e: &ServerEntry) {
        let power = if e.weight.is_finite() && e.weight > 0.0 { f64::from(e.weight) } else { 1.0 };
        let slot = match self.by_id.get(&e.id) {
            Some(&slot) => slot,
            None if e.health == Health::Removed => return,
            None => {
                let fresh = Server::new(e);
                // A slot whose server is gone and owes no outcome is used again.
                let free = |s: &Server| s.health == Health::Removed && s.in_flight == 0;
                let slot = match self.servers.iter().position(free) {
                    Some(slot) => {
                        self.by_id.remove(&self.servers[slot].id);
                        self.sights.retain(|s| s.0 != slot);
                        self.servers[slot] = fresh;
                        slot
                    }
                    None => {
                        self.servers.push(fresh);
                        self.servers.len() - 1
                    }
                };
                self.by_id.insert(e.id, slot);
                slot
            }
        };
        let s = &mut self.servers[slot];
        if e.started_at > s.started {
            // A restart under the same id: what was known of the old process is void, and the
            // new one is cold. Attempts still out keep their count.
            let in_flight = s.in_flight;
            *s = Server::new(e);
            s.in_flight = in_flight;
        }
        (s.zone, s.cell, s.health, s.power) = (e.zone, e.cell, e.health, power);
    }

    /// The share of its full capacity that a server surely has by now.
    fn warmth(&self, s: &Server) -> f64 {
        let rules = &self.settings.rules;
        if s.started == 0 {
            return 1.0;
        }
        let age = self.now.saturating_sub(s.started) as f64;
        let grown = (age / (rules.slow_start_window.max(1) as f64)).min(1.0);
        rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * grown
    }

    fn listed(&self, s: &Server) -> f64 {
        match self.settings.weight_kind {
            WeightKind::Nominal | WeightKind::Approximate => s.power,
            WeightKind::Unspecified | WeightKind::Live => 1.0,
        }
    }

    fn weight(&self, s: &Server) -> f64 {
        // Danger: a cold server takes a few times its present capacity and no more. Drawn by
        // that capacity it gets its due even if all sidecars do the same.
        let crossing = if self.far(s) { s.far_share.unwrap_or(self.far_first) } else { 1.0 };
        self.listed(s) * self.warmth(s) * crossing
    }

    /// Whether sending there has a price that sending nearby has not.
    fn far(&self, s: &Server) -> bool {
        self.settings.prices.cross_zone > 0.0 && s.zone != self.settings.zone
    }

    /// Chooses this sidecar's subset. Danger: a quiet sidecar that sends to the whole fleet hears
    /// of a server once in a minute, and thousands of them fill the servers' connection tables.
    /// Each draws from a subset of its own, by rendezvous hashing, sized by what it can keep fresh.
    fn choose_subset(&mut self) {
        let me = mix(u64::from(self.settings.instance));
        let (servers, ready) = (&self.servers, &mut self.ready);
        ready.clear();
        ready.extend((0..servers.len()).filter(|&i| servers[i].health == Health::Ready));
        // Danger: with many zones even a low weight for each far server makes most draws far.
        let away = self.ready.iter().filter(|&&i| self.far(&self.servers[i])).count();
        let near = (self.ready.len() - away).max(1) as f64;
        self.far_least = FAR_LEAST * (near / away.max(1) as f64).min(1.0);
        let rank = |&slot: &Slot| {
            let s = &self.servers[slot];
            let share = if self.far(s) { self.far_first } else { 1.0 };
            let u = (mix(s.id.0 ^ me) >> 11) as f64 / (1u64 << 53) as f64;
            (-u.max(f64::MIN_POSITIVE).ln() / share, slot)
        };
        let mut ranked: Vec<(f64, Slot)> = self.ready.iter().map(rank).collect();
        self.ranked_at_rate = self.rate;
        let mut size = SUBSET;
        // Danger: each server of the subset is an open connection, and they can cost more than the
        // choice earns. The subset is cut to what a set price buys.
        if self.settings.prices.connection > 0.0 {
            let each = self.settings.prices.connection * f64::from(self.settings.instances);
            let most = CONNECTIONS_COST * 100.0 * ranked.len() as f64 / each.max(1e-9);
            size = size.min((most as usize).max(2));
        }
        // Danger: the few busy sidecars together on few servers push a cold one over.
        size = size.max((self.rate * self.reset_interval as f64 / 1e6) as usize);
        if size < ranked.len() {
            ranked.select_nth_unstable_by(size, |a, b| a.0.total_cmp(&b.0));
            ranked.truncate(size);
        }
        self.near.clear();
        self.near.extend(ranked.iter().map(|r| r.1));
        self.servers.iter_mut().for_each(|s| s.kept = false);
        for &slot in &self.near {
            self.servers[slot].kept = true;
        }
        let mut ring = std::mem::take(&mut self.ring);
        ring.clear();
        // Danger: kept apart by their keys, requests reach every server from every sidecar. Where
        // connections have a price the subset stays.
        let (prices, traits) = (&self.settings.prices, &self.settings.service_traits);
        if traits.key_affinity && prices.connection + prices.handshake <= 0.0 {
            let near = |i: &Slot| !self.far(&self.servers[*i]);
            let all = self.ready.iter().filter(|&i| near(i)).count() < RING_LEAST;
            let on_it: Vec<&Server> =
                self.ready.iter().filter(|&i| all || near(i)).map(|&i| &self.servers[i]).collect();
            let power = on_it.iter().map(|s| self.listed(s)).sum::<f64>() / on_it.len() as f64;
            for s in on_it {
                let points = (RING_POINTS * self.listed(s) / power).round().max(1.0) as u64;
                let slot = self.by_id[&s.id];
                ring.extend((1..=points).map(|n| (mix(s.id.0 ^ mix(n)), slot)));
            }
            ring.sort_unstable();
        }
        self.ring = ring;
        self.weigh();
    }

    /// The server that a key is at home with, the same at all sidecars of a zone. Danger: the home
    /// of a hot key would drown, and such a key is warm everywhere. One that this single sidecar
    /// met lately is hot.
    fn home(&self, key: u64) -> Option<Slot> {
        if key == 0 || self.ring.is_empty() || self.met.contains(&key) {
            return None;
        }
        let at = mix(!key);
        let i = self.ring.partition_point(|&(point, _)| point < at);
        Some(self.ring[i % self.ring.len()].1)
    }

    /// Sets the draw weights anew.
    fn weigh(&mut self) {
        self.weighed = self.now;
        let sums = |slots: &[Slot]| {
            let weights = slots.iter().map(|&slot| self.weight(&self.servers[slot]));
            let sums = weights.scan(0.0, |sum, w| {
                *sum += w;
                Some(*sum)
            });
            sums.collect::<Vec<f64>>()
        };
        (self.sums, self.near_sums) = (sums(&self.ready), sums(&self.near));
        let faults = |&i: &Slot| self.servers[i].faults;
        let mut faults: SmallVec<[f64; SIGHTS]> = self.near.iter().map(faults).collect();
        faults.sort_unstable_by(f64::total_cmp);
        self.usual_faults = faults.get(faults.len() / 3).copied().unwrap_or(0.0);
    }

    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A random server by weight, of this sidecar's subset or of all.
    fn draw(&mut self, of_all: bool) -> Slot {
        let u = self.uniform();
        let (slots, sums) = match of_all {
            true => (&self.ready, &self.sums),
            false => (&self.near, &self.near_sums),
        };
        let at = u * sums.last().copied().unwrap_or(0.0);
        let i = sums.partition_point(|&sum| sum <= at);
        slots[i.min(slots.len() - 1)]
    }

    /// Whether failures have put a server out, but for single, rarer and rarer trials.
    fn put_out(&self, s: &Server) -> bool {
        self.now < s.shunned_until || (s.failures >= PUT_OUT && s.in_flight > 0)
    }

    /// Danger: failures that come from elsewhere (a network that resets connections, answers that
    /// get lost) put server after server out, until the last ones drown or none is left. With half
    /// of the servers out, being out tells nothing about one. Harmful when half of them are dead:
    /// some attempts are then spent on these, which is why unreached ones are repeated freely.
    fn most_out(&self) -> bool {
        let out = self.ready.iter().filter(|&&i| self.put_out(&self.servers[i])).count();
        2 * out >= self.ready.len()
    }

    /// A server that gives no sign of life gets nothing more.
    fn healthy(&self, s: &Server, most_out: bool) -> bool {
        let patience = self.longest_aim as Micros;
        let silent = s.silent_since.is_some_and(|t| self.now - t > patience);
        !silent && (most_out || !self.put_out(s))
    }

    /// How often to pass a server over because more fails there than elsewhere. Danger: one that
    /// fails a part of its requests, and at once, has few in flight and draws ever more; its good
    /// answers between keep it from being put out. What a failure may end goes elsewhere first; what
    /// can be repeated takes what room is there. It covers errors, spoilt answers and broken
    /// connections, whatever makes them; time-outs come of load as well. Failures that the network spreads over all servers change nothing. Harmful where
    /// the sound servers have no room for the rest: they get late before the failures are over.
    fn shyness(&self, request: &Request, s: &Server) -> f64 {
        let each = match self.settings.classes[request.class].retry_safety {
            RetrySafety::Idempotent => SHY_SAFE,
            RetrySafety::IdempotencyKey | RetrySafety::NonIdempotent => SHY_UNSAFE,
        };
        let beyond = s.faults - self.usual_faults - CHANCE_FAULTS;
        (each * beyond).clamp(0.0, 1.0 - LEAST_TRIED)
    }

    fn qualifies(&self, s: &Server) -> bool {
        s.chips > 0 || s.received.is_none_or(|t| self.now - t > self.reset_interval)
    }

    /// Algorithm 3. None: there is no server to send to at all.
    fn pick(&mut self, request: &Request) -> Option<Slot> {
        if self.ready.is_empty() {
            return None;
        }
        if self.rate > 2.0 * self.ranked_at_rate.max(1.0) {
            self.choose_subset();
        } else if self.now - self.weighed > self.settings.rules.slow_start_window / 64 {
            self.weigh();
        }
        let mut best: Option<Slot> = None;
        let mut least_bad: Option<Slot> = None;
        let mut passed: Option<Slot> = None;
        let at_home = self.home(request.key);
        let most_out = self.most_out();
        for nth in 0..2 {
            for tries in 0..REDRAWS {
                // A subset without a healthy server is left for the whole fleet; a full one is not.
                let found = best.is_some() || least_bad.is_some();
                let drawn = self.draw(tries >= REDRAWS / 2 && !found);
                let home = at_home.filter(|_| tries == 0 && nth == 0);
                let slot = home.unwrap_or(drawn);
                // Danger: a cold server must not get all of the keys that are at home there.
                let warmth = self.warmth(&self.servers[slot]);
                if home.is_some() && warmth < 1.0 && self.uniform() > warmth {
                    continue;
                }
                let s = &self.servers[slot];
                // Danger: when most servers are chipless, redraws would pile onto the cold ones
                // that still qualify, and so would retries of what full ones refuse. A cold server can
                // only be met on the first draw of the first attempt.
                if (tries > 0 || !request.attempts.is_empty()) && self.warmth(s) < 1.0 {
                    continue;
                }
                let used = request.attempts.iter().any(|a| a.slot == slot);
                if used
                    || best == Some(slot)
                    || !self.allowed(request, s)
                    || !self.healthy(s, most_out)
                {
                    continue;
                }
                // Danger: a server that is slow but answers keeps its share and makes it late. The
                // slower it is beside its peers, the more often it is passed over.
                let slow = (s.slowness / CHANCE_SLOW).max(1.0);
                let taken = (1.0 - self.shyness(request, s)) / (slow * slow);
                if taken < 1.0 && self.uniform() > taken {
                    // Danger: where nearly all draws fall on such servers, a request would find none.
                    passed.get_or_insert(slot);
                    continue;
                }
                let s = &self.servers[slot];
                if self.qualifies(s) {
                    best = Some(best.map_or(slot, |other| self.less_used(other, slot)));
                    break;
                }
                least_bad = Some(least_bad.map_or(slot, |other| self.less_used(other, slot)));
            }
        }
        // Danger: where servers turn away what they have no room for, nothing is late, and what is beyond a
        // quota would take the others' places. Without a chip it is refused. Harmful where no server reports.
        if request.beyond {
            return best;
        }
        best.or(least_bad).or(passed).or_else(|| self.hardly_drawn(request, most_out))
    }

    /// Danger: with home out, nearly all draws fall on it, and requests are refused while far servers
    /// stand idle. Where no draw found a server, the less used of two of those left is taken. Cold ones
    /// are so where no warm one is left, and no oftener than brings them twice their due: else a fleet
    /// that lost the others would push them over. Last, what is safe to repeat is a trial, one at a
    /// time, at one that was put out.
    fn hardly_drawn(&mut self, request: &Request, most_out: bool) -> Option<Slot> {
        let us = [(); 3].map(|()| self.uniform());
        let safe = self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent;
        let room = |&i: &Slot| self.listed(&self.servers[i]) * self.warmth(&self.servers[i]);
        let sum = |of: &[Slot]| of.iter().map(room).sum::<f64>();
        let mut left: [Vec<Slot>; 3] = Default::default();
        for &slot in &self.ready {
            let s = &self.servers[slot];
            let rank = match (self.healthy(s, most_out), self.warmth(s) < 1.0) {
                (true, cold) => usize::from(cold),
                (false, false) if safe && s.in_flight == 0 => 2,
                _ => continue,
            };
            if self.allowed(request, s) && request.attempts.iter().all(|a| a.slot != slot) {
                left[rank].push(slot);
            }
        }
        if !request.attempts.is_empty() || us[2] * sum(&self.ready) > 2.0 * sum(&left[1]) {
            left[1].clear();
        }
        let left = left.iter().find(|l| !l.is_empty())?;
        let one = |u: f64| {
            let mut at = u * sum(left);
            let found = left.iter().find(|i| {
                at -= room(i);
                at < 0.0
            });
            *found.unwrap_or(&left[0])
        };
        Some(self.less_used(one(us[0]), one(us[1])))
    }

    /// The less used of two by our own count; what was last heard settles a tie.
    fn less_used(&self, a: Slot, b: Slot) -> Slot {
        let (x, y) = (&self.servers[a], &self.servers[b]);
        let used = |s: &Server| f64::from(s.in_flight) / (s.power * self.warmth(s));
        let (ux, uy) = (used(x), used(y));
        if ux != uy {
            return if ux < uy { a } else { b };
        }
        if self.cost(x) <= self.cost(y) { a } else { b }
    }

    /// What is known of a server beyond our own count: its last report, fading towards the usual
    /// one. Danger: an unknown server must look usual, or a new one would draw all or none.
    fn cost(&self, s: &Server) -> f64 {
        let age = self.now.saturating_sub(s.reported) as f64;
        let fresh = (-age / (REPORT_FADES * self.longest_aim)).exp();
        let load = s.load / (s.power * self.warmth(s));
        let crossing = if self.far(s) { self.settings.prices.cross_zone } else { 0.0 };
        let dearer = (CROSSING_WORTH * crossing).exp();
        (1.0 + fresh * load + (1.0 - fresh) * self.usual_load) * s.slowness * dearer
    }

    /// Rule 2: whether `s` may get (another) attempt of this request.
    fn allowed(&self, request: &Request, s: &Server) -> bool {
        let class = &self.settings.classes[request.class];
        let limits = &self.settings.limits;
        if request.ended
            || request.streaming
            || self.now >= request.deadline
            || request.attempts.len() >= limits.max_attempts
            || (request.out() > 0 && !limits.may_hedge)
        {
            return false;
        }
        match class.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => request.untouched(),
            RetrySafety::IdempotencyKey => {
                request.attempts.iter().filter(|a| a.fate != Fate::NeverRan).all(|a| {
                    self.now - a.sent < class.dedup_window
                        && match class.dedup_scope {
                            DedupScope::All => true,
                            DedupScope::Zone => a.zone == s.zone,
                            DedupScope::Cell => a.cell == s.cell,
                        }
                })
            }
        }
    }

    /// Rule 2: whether the client may be told that trying again is harmless.
    fn refusable(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        let safe = match class.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => false,
            RetrySafety::IdempotencyKey => class.dedup_scope == DedupScope::All,
        };
        safe || request.untouched()
    }

    /// The one gate of all sends.
    fn send(&mut self, id: RequestId, slot: Slot, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let s = &self.servers[slot];
        if s.health != Health::Ready || !self.allowed(request, s) {
            return false;
        }
        let now = self.now;
        let left = request.deadline - now;
        let s = &mut self.servers[slot];
        if s.chips > 0 {
            s.chips -= 1;
        } else if s.received.is_some() {
            s.received = Some(now);
        }
        s.in_flight += 1;
        s.silent_since.get_or_insert(now);
        let attempt =
            Attempt { slot, server: s.id, zone: s.zone, cell: s.cell, sent: now, fate: Fate::Out };
        out.push(Action::Send { id, server: s.id, timeout: left });
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(attempt);
        }
        true
    }

    /// The one gate of all refusals and failures.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.ended {
            return;
        }
        let harmless = self.refusable(request);
        out.push(if harmless {
            let advice = BACK_AFTER * self.longest_aim * (0.5 + self.uniform());
            let limits = &self.settings.limits;
            let most = if limits.retry_after { limits.max_retry_after } else { 0 };
            let retry_after = (advice as Micros).min(most);
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
        if let Some(request) = self.requests.get_mut(&id) {
            request.ended = true;
        }
        self.call_off(id, out);
    }

    /// After a request's end: calls off what is still out and forgets it when nothing is.
    fn call_off(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.out() == 0 {
            self.requests.remove(&id);
        } else if !request.streaming {
            self.cancel(id, None, out);
        }
    }

    fn cancel(&self, id: RequestId, but: Option<usize>, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|_| self.settings.limits.may_cancel) else {
            return;
        };
        let still_out = r.attempts.iter().enumerate().filter(|a| a.1.fate == Fate::Out);
        let others = still_out.map(|a| a.0).filter(|n| Some(*n) != but);
        out.extend(others.map(|attempt| Action::Cancel { id, attempt }));
    }

    fn request(&mut self, new: NewRequest, out: &mut Vec<Action>) {
        let id = new.id;
        let class = new.class.min(self.settings.classes.len() - 1);
        // Danger: one heavy request looks like a slow server or a full fleet. Half of an answer
        // time, about, grows with the work that was announced.
        let l = &mut self.learned[class];
        let heavy = new.work_hint.filter(|&h| h > 0).map_or(1.0, |hint| {
            let hint = hint as f64;
            l.hint = if l.hint > 0.0 { l.hint + FEW * (hint - l.hint) } else { hint };
            0.5 + 0.5 * (hint / l.hint).min(MOST_HEAVY)
        });
        self.requests.insert(
            id,
            Request {
                class,
                key: new.affinity_key,
                heavy,
                beyond: new.over_quota,
                deadline: self.now + new.time_left,
                ended: false,
                streaming: false,
                attempts: SmallVec::new(),
            },
        );
        let gap = (self.now.saturating_sub(self.rate_at) as f64 / 1e6).max(1e-3);
        self.rate_at = self.now;
        // A mean over some ten seconds, by the gaps between requests.
        let kept = (-gap / RATE_SPAN).exp();
        self.rate = self.rate * kept + (1.0 - kept) / gap;
        self.retry_budget = (self.retry_budget + self.retry_share.0).min(self.retry_share.1);
        let hopeless = (new.time_left as f64) < HOPELESS * heavy * self.learned[class].usual;
        let shed =
            if hopeless { 1.0 - LEAST_TRIED } else { self.shed_share(class, new.over_quota) };
        if self.uniform() < shed {
            return self.end(id, out);
        }
        if !self.try_send(id, out) {
            return self.end(id, out);
        }
        self.set_alarm(self.settings.classes[class].latency_objective, Alarm::Late(id), out);
        // Rule 1: whatever happens to its attempts, the request ends in time.
        self.set_alarm(new.time_left, Alarm::Overdue(id), out);
    }

    fn try_send(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        let slot = self.pick(&request);
        if request.attempts.is_empty() {
            self.met[self.met_at % KEYS_MET] = request.key;
            self.met_at += 1;
        }
        self.requests.insert(id, request);
        slot.is_some_and(|slot| self.send(id, slot, out))
    }

    /// How much a unit of a class's work is worth.
    fn density(&self, class: usize) -> f64 {
        let c = &self.settings.classes[class];
        match self.settings.priority_basis {
            PriorityBasis::Work => c.priority_weight,
            PriorityBasis::Request => c.priority_weight / self.learned[class].base.max(1.0),
        }
    }

    /// Load shedding: the share of a class to refuse at once. Danger: in overload work that
    /// earns little would make late what earns much. The less a class earns for its work beside the
    /// best, the sooner it is shed. Among equals an early refusal frees nothing for a better one.
    /// What a tenant asks beyond its quota earns what the settings say.
    fn shed_share(&self, class: usize, beyond: bool) -> f64 {
        let classes = 0..self.settings.classes.len();
        let most = classes.map(|i| self.density(i)).fold(0.0, f64::max);
        let worth = if beyond { self.settings.over_quota_weight } else { 1.0 };
        let below = (most / (worth * self.density(class)).max(1e-9)).ln().max(0.0);
        let start = (SHED_LAST - SHED_SPREAD * below).max(SHED_FROM);
        let idle = self.now.saturating_sub(self.late_at) as f64;
        let late = self.lateness * (-idle / (LATENESS_FADES * self.longest_aim)).exp();
        ((late - start) / SHED_BAND).clamp(0.0, 1.0)
    }

    fn first_byte(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.streaming = true;
        self.cancel(id, Some(attempt), out);
    }

    fn timer(&mut self, token: u32, out: &mut Vec<Action>) {
        match self.alarms.remove(&token) {
            Some(Alarm::Late(id)) => self.unanswered(id),
            Some(Alarm::Overdue(id)) => {
                let open = self.requests.get(&id).is_some_and(|r| !r.ended && !r.streaming);
                if open {
                    self.end(id, out);
                }
            }
            Some(Alarm::Subscribe) => out.push(Action::Subscribe),
            None => {}
        }
    }

    /// Danger: with few requests of its own, a sidecar that waits for late answers to come in
    /// learns of an overload when it is over. Not having come by the aim counts.
    fn unanswered(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.ended) else { return };
        let class = r.class;
        let aim = self.settings.classes[class].latency_objective;
        // Danger: a repeat that went out just now is not late because the first attempt failed; and
        // where the server has answered what was sent later, this one is lost or heavy. Taken for
        // an overload, broken connections would have most of the traffic shed before idle servers.
        let late = |a: &&Attempt| {
            let due = a.fate == Fate::Out && self.now - a.sent >= aim;
            due && self.servers[a.slot].answered <= a.sent
        };
        let slots: SmallVec<[Slot; 2]> = r.attempts.iter().filter(late).map(|a| a.slot).collect();
        for slot in slots {
            let s = &mut self.servers[slot];
            s.slowness += SLOW_NEWS * (MOST_SLOW - s.slowness);
            self.feel(slot, class, LATE_AT_AIM * aim as f64);
        }
    }

    /// One more attempt after a failure, within the retry budget.
    fn again(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let sent = self.retry_budget >= 1.0 && self.try_send(id, out);
        self.retry_budget -= f64::from(u8::from(sent));
        sent
    }

    fn set_alarm(&mut self, delay: Micros, alarm: Alarm, out: &mut Vec<Action>) {
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1);
        self.alarms.insert(token, alarm);
        out.push(Action::SetTimer { delay, token });
    }

    /// What an outcome means for the request.
    fn settle(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        finished: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(a) = request.attempts.get_mut(attempt) {
            a.fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        }
        request.ended |= finished || outcome == Outcome::Success;
        if request.ended {
            return self.call_off(id, out);
        }
        if request.out() > 0 {
            return;
        }
        // Danger: a stream has no deadline, so nothing else ends a request whose stream ended
        // unserved: called off, say, in the instant in which its first byte came.
        if request.streaming || self.now >= request.deadline {
            return self.end(id, out);
        }
        let sent = if outcome.never_ran() {
            request.attempts.len() < FULL_TRIES && self.try_send(id, out)
        } else {
            self.again(id, out)
        };
        if !sent {
            self.end(id, out);
        }
    }

    /// What an outcome tells of the server.
    fn heard(
        &mut self,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        latency: f64,
        report: &LoadReport,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = request.class;
        let Some(a) = request.attempts.get(attempt) else { return };
        if a.fate != Fate::Out || a.server != server {
            return;
        }
        let (slot, sent, refusals, heavy) = (a.slot, a.sent, request.attempts.len(), request.heavy);
        let now = self.now;
        let pause = self.reset_interval as f64 * (0.75 + 0.5 * self.uniform());
        let aim = self.settings.classes[class].latency_objective as f64;
        let s = &mut self.servers[slot];
        s.in_flight = s.in_flight.saturating_sub(1);
        if s.in_flight == 0 {
            // Danger: an attempt that was called off leaves no answer; a server with nothing out
            // must not count as silent for ever.
            s.silent_since = None;
        }
        if s.id != server {
            return;
        }
        match outcome {
            Outcome::NotSent | Outcome::Cancelled => return,
            Outcome::Success | Outcome::ErrorResponse | Outcome::Rejected => {
                s.silent_since = (s.in_flight > 0).then_some(now);
                s.received = Some(now);
                s.answered = s.answered.max(sent);
            }
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {}
        }
        if outcome == Outcome::Success || outcome == Outcome::ErrorResponse {
            self.report(slot, report);
        }
        let s = &mut self.servers[slot];
        match outcome {
            Outcome::Success => s.faults -= FAULT_NEWS * s.faults,
            Outcome::ErrorResponse | Outcome::ConnectionReset => {
                s.faults += FAULT_NEWS * (1.0 - s.faults);
                let loaded = MOST_SLOW * (1.0 + s.load / s.power);
                self.spill(slot, loaded);
            }
            _ => {}
        }
        let s = &mut self.servers[slot];
        match outcome {
            Outcome::Success => {
                s.failures = 0;
                s.shunned_until = 0;
                self.answer_time(slot, class, latency / heavy);
            }
            Outcome::Rejected => {
                self.wipe(slot);
                // Danger: where queues are short, servers refuse long before answers are late.
                // A refusal is news of the fleet only when the request found no place at all.
                if refusals >= FULL_TRIES {
                    self.feel(slot, class, aim);
                }
            }
            _ => self.failed(slot, pause, outcome, sent),
        }
    }

    /// Outlier ejection: once a server is put out, each failure in a row doubles the pause until the
    /// next single trial. One that cannot be reached counts twice, and one that says nothing at all is put
    /// out at once.
    fn failed(&mut self, slot: Slot, pause: f64, outcome: Outcome, sent: Micros) {
        let s = &mut self.servers[slot];
        // Others may have been answered while one was not.
        let dumb = outcome == Outcome::TimedOut && s.received.is_none_or(|t| t < sent);
        s.failures = match outcome {
            _ if dumb => PUT_OUT.max(s.failures.saturating_add(1)),
            Outcome::ConnectFailed if s.failures < PUT_OUT => s.failures + 2,
            _ => s.failures.saturating_add(1),
        };
        if let Some(more) = s.failures.checked_sub(PUT_OUT) {
            let doubled = f64::from(1u32 << more.min(MAX_DOUBLINGS));
            s.shunned_until = self.now + (pause * 0.25 * doubled) as Micros;
        }
    }

    fn wipe(&mut self, slot: Slot) {
        let s = &mut self.servers[slot];
        s.chips = 0;
        s.received = Some(self.now);
    }

    fn answer_time(&mut self, slot: Slot, class: usize, latency: f64) {
        let l = &mut self.learned[class];
        if !l.seen {
            (l.base, l.usual, l.seen) = (latency, latency, true);
        }
        // A low quantile by unequal steps: quick to fall, slow to rise.
        let step = if latency < l.base { 0.5 } else { 0.02 };
        l.base += step * (latency.min(2.0 * l.base) - l.base);
        let relative = (latency / l.usual.max(1.0)).min(MOST_SLOW);
        l.usual += FEW * (latency.min(4.0 * l.usual) - l.usual);
        let s = &mut self.servers[slot];
        s.slowness += SLOW_NEWS * (relative - s.slowness);
        let loaded = relative * (1.0 + s.load / s.power);
        self.spill(slot, loaded);
        if latency < self.settings.classes[class].latency_objective as f64 {
            // Danger: one heavy request looks like a long queue. What the report says of the
            // answer time to be expected counts as much as the answer time itself.
            let expected = match self.held_column {
                Some(_) => {
                    let held = 1.0 + self.servers[slot].load;
                    self.answer_mean.0 += FEW * (latency - self.answer_mean.0);
                    self.answer_mean.1 += FEW * (held - self.answer_mean.1);
                    held * self.answer_mean.0 / self.answer_mean.1
                }
                None => latency,
            };
            self.feel(slot, class, 0.5 * (latency + expected));
        }
    }

    /// Takes one more sight of how late answers are: 0 up to half of the aim, 1 at the aim.
    /// Danger: a few sick servers are no overload, and shedding for them refuses what the others
    /// could serve. Each server counts once, and the latest third does not count.
    fn feel(&mut self, slot: Slot, class: usize, latency: f64) {
        let aim = self.settings.classes[class].latency_objective as f64;
        let late = (2.0 * latency / aim - 1.0).clamp(0.0, 1.4);
        let memory = (LATENESS_FADES * self.longest_aim) as Micros;
        let now = self.now;
        self.sights.retain(|&mut (_, _, t)| now - t < 3 * memory);
        let known = self.sights.iter().position(|s| s.0 == slot);
        let oldest = (0..self.sights.len()).min_by_key(|&i| self.sights[i].2);
        match (known, oldest) {
            (Some(i), _) => self.sights[i] = (slot, 0.5 * (self.sights[i].1 + late), now),
            (None, Some(i)) if self.sights.len() == SIGHTS => self.sights[i] = (slot, late, now),
            _ => self.sights.push((slot, late, now)),
        }
        let mut seen: SmallVec<[(f64, f64); SIGHTS]> = self
            .sights
            .iter()
            .map(|s| (s.1, (-((now - s.2) as f64) / memory as f64).exp()))
            .collect();
        seen.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        seen.truncate(seen.len() - seen.len() / 3);
        // Danger: at a quiet sidecar one late answer of two is no news of the fleet.
        let weight: f64 = seen.iter().map(|s| s.1).sum::<f64>() + DOUBT;
        self.lateness = seen.iter().map(|s| s.0 * s.1).sum::<f64>() / weight;
        self.late_at = now;
    }

    /// Danger: the servers of a zone can be too few for its traffic, by themselves or because one of
    /// them is slow. How much of it crosses to a far server moves with how loaded answers show that
    /// one to be beside those at home, towards a slightly higher load at home. Each far server has
    /// a share of its own: together the idle ones would look as loaded as the home of another
    /// sidecar, and stay idle. It also covers far servers that are slow or cut off, and homes without
    /// a sidecar. Harmful where few answers come from a far server and these are heavy by chance.
    fn spill(&mut self, slot: Slot, loaded: f64) {
        // Danger: steps that a quiet sidecar needs would, at a busy one, throw all of the traffic
        // from side to side within a moment. So many answers a second move it as far as a few.
        if !self.far(&self.servers[slot]) {
            let pace = (STEADY_RATE / self.rate.max(1e-9)).clamp(0.1, 1.0);
            self.home_load += FEW * pace * (loaded - self.home_load);
            return;
        }
        let (first, least, now) = (self.far_first, self.far_least, self.now);
        let price = CROSSING_WORTH * self.settings.prices.cross_zone;
        let s = &mut self.servers[slot];
        let gap = now.saturating_sub(s.spilled) as f64 / 1e6;
        let pace = (STEADY_RATE * gap).min(1.0);
        s.spilled = now;
        s.far_load += FEW * pace.max(0.1) * (loaded - s.far_load);
        let pull = (self.home_load / s.far_load).ln() - price;
        let moved = s.far_share.unwrap_or(first) * (0.5 * pace * pull.clamp(-1.0, 1.0)).exp();
        s.far_share = Some(moved.clamp(least, 1.0));
    }

    /// Algorithm 1 here: mint from the reported queue, or wipe when it is past capacity.
    fn report(&mut self, slot: Slot, report: &LoadReport) {
        let value = |column: Option<usize>| {
            let v = column.and_then(|i| report.0.get(i)).copied()?;
            v.is_finite().then(|| f64::from(v.max(0.0)))
        };
        let (queue, load) = (value(self.queue_column), value(self.load_column));
        let draws = (self.uniform(), self.uniform());
        let now = self.now;
        if let Some(load) = load {
            let s = &mut self.servers[slot];
            (s.load, s.reported) = (load, now);
            self.usual_load += FEW * (load / s.power - self.usual_load);
        }
        let s = &mut self.servers[slot];
        let Some(queue) = queue else {
            // No queue reported: an answer in itself is the sign that another may follow.
            s.chips = (s.chips + 2).min(MAX_CHIPS);
            return;
        };
        s.average.add(now, queue);
        let share = match s.average.last {
            Some(capacity) => {
                let capacity = capacity.max(4.0);
                if queue > capacity {
                    return self.wipe(slot);
                }
                queue / (CAPACITY_SHARE * capacity)
            }
            None => 0.0,
        };
        // Danger: one chip spent and less than one minted on average would starve a server that
        // is hardly loaded; a second draw against twice the queue lets its chips grow back.
        let minted = u32::from(draws.0 >= share) + u32::from(draws.1 >= 2.0 * share);
        s.chips = (s.chips + minted).min(MAX_CHIPS);
    }
}

impl Server {
    fn new(e: &ServerEntry) -> Server {
        Server {
            id: e.id,
            zone: e.zone,
            cell: e.cell,
            health: e.health,
            started: e.started_at,
            power: 1.0,
            slowness: 1.0,
            far_load: 1.0,
            ..Server::default()
        }
    }
}

/// Spreads the bits of a number (the finalizer of splitmix64).
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
