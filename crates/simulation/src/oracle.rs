//! The rules, held against what passes on the wire and what clients and servers see. Nothing here
//! asks the sidecar about anything.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write as _;
use std::time::Duration;

use fakes::account::Repeat;
use rustc_hash::FxHashMap;
use simnet::{ConnectionId, HostId, Tap, TapEvent};

use crate::model::warmth;
use crate::wire::{Messages, Part};

/// A time limit of the rules is so much longer on sockets.
const SOCKETS: Duration = Duration::from_millis(50);

/// What comes so long after a sidecar was told to end may be lost with it.
const LAST_TAKEN: Duration = Duration::from_millis(700);
/// How soon a request is answered that is given up, once nothing is out for it any more.
const AT_ONCE: Duration = Duration::from_millis(100);
/// So long before a request's time is up it may be given up for that.
const TIME_UP: Duration = Duration::from_millis(10);
/// How long past its time an answer that does not go on may hold its request.
const STALLED: Duration = Duration::from_millis(100);
/// How much longer an attempt without an answer may be out than its server was told.
const WAITED: Duration = Duration::from_millis(100);
/// What is longer is passed on as it comes, and its pieces may be further apart.
const KEPT: u64 = 64 << 10;
/// Clients that are sent away have no connection from before that any more after so long.
const AWAY: Duration = Duration::from_millis(1600);
/// An agent that has spoken for so long can have been asked by every sidecar.
const ASKED_AGAIN: Duration = Duration::from_millis(300);
/// So long after its start every sidecar counts as told of a server.
const TOLD: Duration = Duration::from_secs(8);
/// What chance may add to the work that a cold server gets.
const CHANCE: (f64, Duration) = (1.1, Duration::from_millis(100));
/// How long the end of a client's connection may take to be seen.
const LEAVING: Duration = Duration::from_millis(10);

/// A class, as the rules need it.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Its name.
    pub name: &'static str,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// The work of one, in the mean.
    pub work: Duration,
}

/// The rule on cold servers: the work that all sidecars send to one within any `window`.
#[derive(Clone, Debug)]
pub struct ColdRule {
    /// So many times what it can do at that moment in that time.
    pub multiple: f64,
    /// How long.
    pub window: Duration,
    /// Requests that a server works on at once.
    pub cores: usize,
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// By class.
    pub classes: Vec<ClassRule>,
    /// How long servers drop repeats of a key.
    pub window: Duration,
    /// How long past its time an answer still counts.
    pub slack: Duration,
    /// Sends to a server that is told to be leaving or gone end within.
    pub drain: Duration,
    /// Descriptors that a sidecar may hold.
    pub sockets: usize,
    /// The pieces of a short answer are no further apart than this.
    pub gap: Duration,
    /// How much a cold server may get.
    pub cold: ColdRule,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which rule, in a word.
    pub rule: &'static str,
    /// When.
    pub at: Duration,
    /// What happened.
    pub what: String,
    /// The request's own story.
    pub story: String,
}

/// A role of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The clients of a sidecar.
    Clients(usize),
    /// A sidecar.
    Sidecar(usize),
    /// A log server, by its place, and its zone.
    Server(usize, usize),
    /// Discovery.
    Discovery,
}

#[derive(Debug)]
struct Attempt {
    server: usize,
    zone: usize,
    conn: ConnectionId,
    first: Duration,
    whole: Option<Duration>,
    /// How long the server was told that it is waited for.
    left: Duration,
    /// The status that the sidecar read, and whether it says that the request never ran.
    answered: Option<(u16, bool)>,
    /// When the connection was over, or the answer whole.
    over: Option<Duration>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.whole.is_some() && !self.answered.is_some_and(|(_, never)| never)
    }
}

#[derive(Debug)]
struct Asked {
    class: usize,
    sidecar: usize,
    left: Duration,
    /// When its last byte was written.
    sent: Option<Duration>,
    /// When the sidecar had read its last byte.
    taken: Option<Duration>,
    /// The final answer's status, and when its last byte was written.
    answer: Option<(u16, Duration)>,
    attempts: Vec<Attempt>,
    /// When an answer that is too long to be kept began.
    begun: Option<Duration>,
    /// The client has left, or whoever held it was killed: nothing is owed any more.
    excused: Option<Duration>,
    /// When the client let go of its connection.
    left_at: Option<Duration>,
    /// How long the sidecar may take it to have waited to be accepted.
    reckoned: Duration,
    ran: Vec<usize>,
    over: bool,
}

/// One connection, by who opened it.
enum Wire {
    Client {
        /// Bytes that the client wrote, and that the sidecar read.
        written: u64,
        read: u64,
        down: Messages,
        status: u16,
        /// When it came up.
        opened: Option<Duration>,
        /// How long its first request may be taken to have waited before.
        reckoned: Duration,
        /// The request that is open, and where it ends.
        open: Option<(u64, u64)>,
    },
    Server {
        sidecar: usize,
        server: usize,
        zone: usize,
        up: Messages,
        down: Messages,
        first: Duration,
        /// A request has begun whose head is not whole: nobody sees whose it is.
        in_head: bool,
        /// The request on it and its attempt's place.
        current: Option<(u64, usize)>,
        status: (u16, bool),
        /// When something of an answer last came that is not whole and short enough to be kept.
        heard: Option<Duration>,
        long: bool,
    },
}

/// What waits to be accepted by a sidecar.
#[derive(Debug, Default)]
struct Backlog {
    waiting: BTreeSet<ConnectionId>,
    /// When accepting last left nothing there: what is accepted may have waited since then, for all that
    /// the sidecar knows.
    emptied: Duration,
}

/// A server that has started during the run.
#[derive(Debug)]
struct Cold {
    at: Duration,
    /// Sidecars that were told.
    told: BTreeSet<usize>,
    /// What was sent lately: when, how much work, and by a sidecar that was told.
    sent: VecDeque<(Duration, Duration, bool)>,
}

/// Counts for the coverage.
pub type Counts = BTreeMap<&'static str, u64>;

/// Sees everything, remembers what it needs.
pub struct Oracle {
    rules: Rules,
    roles: Vec<Role>,
    conns: FxHashMap<ConnectionId, Wire>,
    asked: BTreeMap<u64, Asked>,
    /// When a sidecar was told that a server is to get nothing new: by sidecar and server.
    barred: FxHashMap<(usize, usize), Duration>,
    /// The same of what counts as told, since the sidecar's own agent has it.
    counted: FxHashMap<(usize, usize), Duration>,
    /// When operators took a server out at a sidecar.
    held_out: FxHashMap<(usize, usize), Duration>,
    /// Since when a sidecar's clients are sent away.
    away: FxHashMap<usize, Duration>,
    /// Servers that have started.
    cold: BTreeMap<usize, Cold>,
    /// When sidecars were told to end.
    terminated: FxHashMap<usize, Duration>,
    /// The connections that sidecars have asked for and that are not up, and when the last one ended.
    asking: FxHashMap<ConnectionId, usize>,
    /// By sidecar.
    backlogs: FxHashMap<usize, Backlog>,
    asked_until: FxHashMap<usize, Duration>,
    /// Until when sidecars count as short of descriptors.
    short: FxHashMap<usize, Duration>,
    /// What happened, if that is wanted.
    log: Option<Vec<(Duration, String)>>,
    /// The first rule that was broken.
    pub violation: Option<Violation>,
    /// How often each outcome was met.
    pub counts: Counts,
}

impl Oracle {
    /// An oracle that has seen nothing.
    pub fn new(rules: Rules, traced: bool) -> Oracle {
        Oracle {
            rules,
            roles: Vec::new(),
            conns: FxHashMap::default(),
            asked: BTreeMap::new(),
            barred: FxHashMap::default(),
            counted: FxHashMap::default(),
            held_out: FxHashMap::default(),
            away: FxHashMap::default(),
            cold: BTreeMap::new(),
            terminated: FxHashMap::default(),
            asking: FxHashMap::default(),
            backlogs: FxHashMap::default(),
            asked_until: FxHashMap::default(),
            short: FxHashMap::default(),
            log: traced.then(Vec::new),
            violation: None,
            counts: Counts::new(),
        }
    }

    /// The next machine has this role.
    pub fn role(&mut self, host: HostId, role: Role, hosts: usize) {
        self.roles.resize(hosts.max(self.roles.len()), Role::Discovery);
        if let Some(place) = self.roles.get_mut(host.index()) {
            *place = role;
        }
    }

    fn role_of(&self, host: HostId) -> Role {
        self.roles.get(host.index()).copied().unwrap_or(Role::Discovery)
    }

    /// What happened so far, a line each.
    pub fn timeline(&self) -> String {
        let mut text = String::new();
        for (at, what) in self.log.iter().flatten() {
            let _ = writeln!(text, "{:>12.6} s  {what}", at.as_secs_f64());
        }
        text
    }

    /// Notes something for the timeline.
    pub fn note(&mut self, now: Duration, what: impl FnOnce() -> String) {
        if let Some(log) = &mut self.log {
            log.push((now, what()));
        }
    }

    /// Counts something for the coverage.
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// A rule is broken.
    pub fn broken(&mut self, now: Duration, rule: &'static str, id: Option<u64>, what: String) {
        if self.violation.is_some() {
            return;
        }
        let mut story = String::new();
        if let Some((id, asked)) = id.and_then(|id| Some((id, self.asked.get(&id)?))) {
            let class = &self.rules.classes[asked.class];
            let _ = writeln!(
                story,
                "{id:016x}: {} ({:?}), {:?} to wait, at sidecar {}; sent {:?}, taken {:?}, answer {:?}",
                class.name,
                class.repeat,
                asked.left,
                asked.sidecar,
                asked.sent,
                asked.taken,
                asked.answer
            );
            for (n, a) in asked.attempts.iter().enumerate() {
                let _ = writeln!(
                    story,
                    "  attempt {n} at server {} (zone {}) on connection {}: first byte {:?}, whole {:?}, answered {:?}",
                    a.server, a.zone, a.conn, a.first, a.whole, a.answered
                );
            }
            let _ = writeln!(story, "  ran at {:?}", asked.ran);
        }
        self.note(now, || format!("BROKEN {rule}: {what}"));
        self.violation = Some(Violation { rule, at: now, what, story });
    }

    // ---- What clients tell ----

    /// A client is about to write a request of `length` bytes.
    #[allow(clippy::too_many_arguments)]
    pub fn sends(
        &mut self,
        now: Duration,
        conn: ConnectionId,
        id: u64,
        class: usize,
        sidecar: usize,
        left: Duration,
        length: u64,
    ) {
        let wire = self.conns.entry(conn).or_insert_with(client_wire);
        let mut from = None;
        if let Wire::Client { written, open, opened, .. } = wire {
            *open = Some((id, *written + length));
            from = *opened;
        }
        self.count("requests");
        let away = self.away.get(&sidecar).copied();
        if let Some((away, from)) = away.zip(from)
            && from < away
            && now > away + AWAY
        {
            let what = format!("sent away since {away:?}, a client still has its connection");
            self.broken(now, "away", None, what);
        }
        self.asked.insert(
            id,
            Asked {
                class,
                sidecar,
                left,
                sent: None,
                taken: None,
                answer: None,
                attempts: Vec::new(),
                begun: None,
                excused: None,
                left_at: None,
                reckoned: Duration::ZERO,
                ran: Vec::new(),
                over: false,
            },
        );
    }

    /// A client has left, on purpose: nothing is owed to it any more, nor to be sent for it.
    pub fn left(&mut self, now: Duration, id: u64) {
        self.note(now, || format!("the client of {id:016x} leaves"));
        self.count("clients that left");
        if let Some(asked) = self.asked.get_mut(&id) {
            asked.excused.get_or_insert(now);
            asked.left_at = Some(now);
            asked.over = true;
        }
    }

    /// A sidecar was killed: what it held is lost, and nothing more is owed for it.
    pub fn killed(&mut self, now: Duration, sidecar: usize) {
        self.note(now, || format!("sidecar {sidecar} is killed"));
        for asked in self.asked.values_mut().filter(|a| a.sidecar == sidecar && !a.over) {
            if asked.answer.is_none() {
                asked.excused.get_or_insert(now);
            }
        }
    }

    /// A sidecar is told to end. What comes to it much later it need not answer.
    pub fn terminated(&mut self, now: Duration, sidecar: usize) {
        self.note(now, || format!("sidecar {sidecar} is told to end"));
        self.terminated.insert(sidecar, now);
    }

    /// A sidecar has no descriptors left, until further notice: what waits to be accepted waits.
    pub fn short(&mut self, now: Duration, sidecar: usize, short: bool) {
        let until = if short { Duration::MAX } else { now + Duration::from_secs(1) };
        if short || self.short.contains_key(&sidecar) {
            self.short.insert(sidecar, until);
        }
    }

    /// A sidecar starts anew: it was told nothing yet.
    pub fn starts(&mut self, now: Duration, sidecar: usize) {
        self.note(now, || format!("sidecar {sidecar} starts"));
        self.terminated.remove(&sidecar);
        self.barred.retain(|(s, _), _| *s != sidecar);
        self.counted.retain(|(s, _), _| *s != sidecar);
        self.held_out.retain(|(s, _), _| *s != sidecar);
        self.backlogs.remove(&sidecar);
        self.away.remove(&sidecar);
        for cold in self.cold.values_mut() {
            cold.told.remove(&sidecar);
        }
    }

    /// Operators of a sidecar have taken a server out, or are about to put it back.
    pub fn holds_out(&mut self, now: Duration, sidecar: usize, server: usize, out: bool) {
        self.note(now, || format!("server {server} is out at sidecar {sidecar}: {out}"));
        if out {
            self.held_out.entry((sidecar, server)).or_insert(now);
            self.count("servers taken out");
        } else {
            self.held_out.remove(&(sidecar, server));
        }
    }

    /// Operators of a sidecar have sent its clients away, or are about to call them back.
    pub fn sends_away(&mut self, now: Duration, sidecar: usize, away: bool) {
        self.note(now, || format!("clients of sidecar {sidecar} are sent away: {away}"));
        if away {
            self.away.entry(sidecar).or_insert(now);
            self.count("clients sent away");
        } else {
            self.away.remove(&sidecar);
        }
    }

    /// A server has started, cold; `anew`: as another one than before.
    pub fn server_starts(&mut self, now: Duration, server: usize, anew: bool) {
        self.note(now, || format!("server {server} starts"));
        if anew {
            self.held_out.retain(|(_, s), _| *s != server);
        }
        let cold = Cold { at: now, told: BTreeSet::new(), sent: VecDeque::new() };
        self.cold.insert(server, cold);
    }

    /// A client has its answer.
    pub fn got(&mut self, now: Duration, id: u64, status: u16, right: bool) {
        self.note(now, || format!("{id:016x} is answered {status}"));
        self.count(status_name(status));
        if status == 200 && !right {
            self.broken(now, "answer", Some(id), "served with what was made for another".into());
        }
        if let Some(asked) = self.asked.get_mut(&id) {
            asked.over = true;
        }
    }

    /// A client's connection ended without an answer.
    pub fn ended(&mut self, now: Duration, id: u64) {
        let Some(asked) = self.asked.get_mut(&id) else { return };
        asked.over = true;
        if asked.excused.is_some() {
            return self.count("excused");
        }
        let after = self.terminated.get(&asked.sidecar).map(|at| *at + LAST_TAKEN);
        if after.is_some_and(|after| asked.sent.is_none_or(|sent| sent > after)) {
            return self.count("lost after a planned end");
        }
        let held = asked.taken.is_some() || (!asked.attempts.is_empty() && asked.sent.is_some());
        let whole = asked.attempts.iter().any(|a| a.answered.is_some_and(|(s, _)| s == 200));
        if asked.begun.is_some() && asked.answer.is_none() && !whole {
            self.count("long answers cut");
        } else if held && asked.answer.is_none() {
            self.broken(
                now,
                "lost",
                Some(id),
                "taken, and the connection ended without an answer".into(),
            );
        } else {
            self.count("closed unread");
        }
    }

    /// A client's time, and the slack, are over.
    pub fn late(&mut self, now: Duration, id: u64) {
        if self.due(id).is_none_or(|due| now < due) {
            self.count("not taken in time");
            return self.left(now, id);
        }
        let Some(asked) = self.asked.get_mut(&id) else { return };
        asked.over = true;
        if asked.excused.is_none() && asked.answer.is_none() && asked.taken.is_some() {
            self.broken(now, "late", Some(id), "no answer in time".into());
        } else {
            self.count("not taken in time");
        }
    }

    /// By when the answer to a request must be written, once it is sent.
    pub fn due(&self, id: u64) -> Option<Duration> {
        let asked = self.asked.get(&id)?;
        let short = self
            .short
            .get(&asked.sidecar)
            .is_some_and(|until| asked.sent.is_some_and(|at| at < *until));
        // Without descriptors a connection waits unaccepted, and nobody knows of its request.
        let from = if short { asked.taken? } else { asked.sent? };
        Some(from + asked.left + self.rules.slack + SOCKETS)
    }

    /// Whether an answer that is too long to be kept has begun in time.
    pub fn begun(&self, id: u64) -> bool {
        let begun = self.asked.get(&id).and_then(|a| a.begun);
        begun.is_some_and(|at| self.due(id).is_none_or(|due| at <= due))
    }

    /// Whether a sidecar has taken a request.
    pub fn taken(&self, id: u64) -> bool {
        self.asked.get(&id).is_some_and(|a| a.taken.is_some())
    }

    // ---- What servers and discovery tell ----

    /// A server has run a request.
    pub fn ran(&mut self, now: Duration, id: u64, server: usize) {
        self.note(now, || format!("{id:016x} runs at server {server}"));
        let Some(asked) = self.asked.get_mut(&id) else {
            return self.broken(
                now,
                "stranger",
                None,
                format!("{id:016x} runs, and nobody asked for it"),
            );
        };
        asked.ran.push(server);
        let repeat = self.rules.classes[asked.class].repeat;
        let runs = asked.ran.len();
        // A keyed one that was repeated by the rules may still come too late to be dropped; its rules
        // are held against the sends.
        if repeat == Repeat::Unsafe && runs > 1 {
            self.broken(now, "twice", Some(id), format!("ran {runs} times"));
        }
    }

    /// Discovery has written to a sidecar that a server is to get nothing new, or that it may.
    pub fn told(&mut self, now: Duration, sidecar: usize, server: usize, barred: bool) {
        if barred {
            self.barred.entry((sidecar, server)).or_insert(now);
        } else {
            if let Some(cold) = self.cold.get_mut(&server) {
                cold.told.insert(sidecar);
            }
            self.barred.remove(&(sidecar, server));
            self.counted.remove(&(sidecar, server));
        }
    }

    /// A sidecar's own agent has it of a server whether it is to get nothing new.
    pub fn counts(&mut self, now: Duration, sidecar: usize, server: usize, barred: bool) {
        if barred {
            self.counted.entry((sidecar, server)).or_insert(now);
        } else {
            self.told(now, sidecar, server, false);
        }
    }

    /// The agents speak no more. What they had for a moment only nobody can have asked for.
    pub fn agents_fall_silent(&mut self, now: Duration) {
        self.counted.retain(|_, at| now.saturating_sub(*at) >= ASKED_AGAIN);
    }

    // ---- The end ----

    /// Requests answered 200 among those sent in a span: how many, of how many.
    pub fn served_between(&self, from: Duration, to: Duration) -> (u64, u64) {
        let mut served = (0, 0);
        for asked in self.asked.values().filter(|a| a.excused.is_none()) {
            if asked.sent.is_some_and(|at| (from..to).contains(&at)) {
                served.1 += 1;
                served.0 += u64::from(asked.answer.is_some_and(|(status, _)| status == 200));
            }
        }
        served
    }

    /// Sidecars hold no more than they may.
    pub fn sockets(&mut self, now: Duration, sidecar: usize, held: usize) {
        if held > self.rules.sockets {
            let what = format!("sidecar {sidecar} holds {held} of {}", self.rules.sockets);
            self.broken(now, "sockets", None, what);
        }
    }

    // ---- What passes ----

    fn attempt(&mut self, now: Duration, conn: ConnectionId, head: &str) {
        let Some(Wire::Server { sidecar, server, zone, first, .. }) = self.conns.get(&conn) else {
            return;
        };
        let (sidecar, server, zone, first) = (*sidecar, *server, *zone, *first);
        let header = |name: &str| fakes::wire::header(head, name);
        let Some(id) = header("x-correlation-id").and_then(|v| u64::from_str_radix(&v, 16).ok())
        else {
            return;
        };
        self.note(now, || format!("{id:016x} goes to server {server} on connection {conn}"));
        self.count("attempts");
        let Some(asked) = self.asked.get_mut(&id) else {
            return self.broken(
                now,
                "stranger",
                None,
                format!("{id:016x} is sent, and nobody asked for it"),
            );
        };
        let n = asked.attempts.len();
        asked.attempts.push(Attempt {
            server,
            zone,
            conn,
            first,
            whole: None,
            left: Duration::ZERO,
            answered: None,
            over: None,
        });
        let left = header("x-time-left-ms").and_then(|v| v.parse().ok()).map(Duration::from_millis);
        asked.attempts[n].left = left.unwrap_or_default();
        let asked = &self.asked[&id];
        let mut wrong: Option<(&'static str, String)> = None;
        if asked.answer.is_some_and(|(_, at)| at < first) {
            wrong = Some(("after", "sent after its final answer".into()));
        }
        if asked.left_at.is_some_and(|at| at + LEAVING < first) {
            wrong = Some(("after", "sent though the client had left".into()));
        }
        let repeat = self.rules.classes[asked.class].repeat;
        if let Some(before) = asked.attempts[..n].iter().find(|a| a.may_have_run()) {
            let whole = before.whole.unwrap_or_default();
            match repeat {
                Repeat::Safe => {}
                Repeat::Unsafe => {
                    wrong = Some(("repeat", "sent again though an attempt may have run".into()));
                }
                Repeat::Keyed if before.zone != zone => {
                    wrong = Some(("group", "repeated in another zone".into()));
                }
                Repeat::Keyed if first > whole + self.rules.window + SOCKETS => {
                    wrong = Some(("window", "repeated after its window".into()));
                }
                Repeat::Keyed => {}
            }
        }
        match (left, asked.taken) {
            (None, _) => wrong = Some(("deadline", "sent without a deadline".into())),
            (Some(left), Some(taken)) => {
                // What a request waited before it was read the sidecar cannot know.
                let used = first.saturating_sub(taken);
                if left > asked.left.saturating_sub(used) + Duration::from_millis(1) {
                    let what =
                        format!("{left:?} to wait passed on, of {:?} after {used:?}", asked.left);
                    wrong = Some(("deadline", what));
                }
            }
            _ => {}
        }
        let barred =
            [&self.barred, &self.counted, &self.held_out].map(|m| m.get(&(sidecar, server)));
        if let Some(at) = barred.into_iter().flatten().min()
            && first > *at + self.rules.drain + SOCKETS
        {
            wrong = Some(("drain", format!("sent to server {server}, barred since {at:?}")));
        }
        if let Some(Wire::Server { current, .. }) = self.conns.get_mut(&conn) {
            *current = Some((id, n));
        }
        if let Some((rule, what)) = wrong {
            self.broken(now, rule, Some(id), what);
        }
    }

    /// An attempt's last byte was written.
    fn whole(&mut self, now: Duration, conn: ConnectionId) {
        let Some(Wire::Server { current: Some((id, n)), .. }) = self.conns.get(&conn) else {
            return;
        };
        let (id, n) = (*id, *n);
        let Some(asked) = self.asked.get_mut(&id) else { return };
        asked.attempts[n].whole = Some(now);
        let (server, sidecar, class) = (asked.attempts[n].server, asked.sidecar, asked.class);
        let others = asked.attempts.iter().enumerate();
        let another = others.filter(|(m, _)| *m != n).any(|(_, a)| a.may_have_run());
        let repeat = self.rules.classes[asked.class].repeat;
        let over = asked.answer.is_some_and(|(_, at)| at < now);
        if another && repeat == Repeat::Unsafe {
            self.broken(now, "repeat", Some(id), "two attempts may have run".into());
        } else if over {
            self.broken(
                now,
                "after",
                Some(id),
                "its last byte was sent after its final answer".into(),
            );
        }
        self.warming(now, server, sidecar, class);
    }

    /// Work has reached a server that may be cold: all sidecars together keep to its budget.
    fn warming(&mut self, now: Duration, server: usize, sidecar: usize, class: usize) {
        let Some(cold) = self.cold.get_mut(&server) else { return };
        let rule = &self.rules.cold;
        let age = now.saturating_sub(cold.at);
        let told = cold.told.contains(&sidecar) || age > TOLD;
        cold.sent.push_back((now, self.rules.classes[class].work, told));
        while cold.sent.front().is_some_and(|(at, _, _)| now - *at > rule.window) {
            cold.sent.pop_front();
        }
        let sum = |told: bool| -> Duration {
            cold.sent.iter().filter(|s| !told || s.2).map(|s| s.1).sum()
        };
        let (all, told) = (sum(false), sum(true));
        let can = rule.window.mul_f64(rule.cores as f64 * warmth(age));
        let most = can.mul_f64(rule.multiple * CHANCE.0) + CHANCE.1;
        let share = all.as_secs_f64() / most.as_secs_f64();
        self.count(match share {
            0.0..0.25 => "cold servers under a quarter of their budget",
            0.25..0.5 => "cold servers under half of their budget",
            _ => "cold servers over half of their budget",
        });
        if all > most && 3 * told >= 2 * all {
            let what =
                format!("{all:?} of work for server {server}, {age:?} old: {most:?} at most");
            self.broken(now, "cold", None, what);
        }
    }

    fn sent(&mut self, now: Duration, conn: ConnectionId, from: HostId, to: HostId, bytes: &[u8]) {
        match (self.role_of(from), self.role_of(to)) {
            (Role::Clients(_), Role::Sidecar(_)) => {
                let wire = self.conns.entry(conn).or_insert_with(client_wire);
                if let Wire::Client { written, open, .. } = wire {
                    let before = *written;
                    *written += bytes.len() as u64;
                    if let Some((id, end)) = *open
                        && before < end
                        && *written >= end
                        && let Some(asked) = self.asked.get_mut(&id)
                    {
                        asked.sent = Some(now);
                    }
                }
            }
            (Role::Sidecar(_), Role::Clients(_)) => {
                let Some(Wire::Client { down, status, open, .. }) = self.conns.get_mut(&conn)
                else {
                    return;
                };
                let mut answers = Vec::new();
                let mut begins = false;
                down.feed(bytes, |part| match part {
                    Part::First => {}
                    Part::Head(head) => {
                        *status = head.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
                        begins |= is_long(head);
                    }
                    Part::Last => answers.push(*status),
                });
                let of = open.as_ref().filter(|_| begins).map(|(id, _)| *id);
                if let Some(asked) = of.and_then(|id| self.asked.get_mut(&id)) {
                    asked.begun.get_or_insert(now);
                    self.count("long answers begun");
                }
                let Some(Wire::Client { open, .. }) = self.conns.get_mut(&conn) else { return };
                let mut ids = Vec::new();
                for status in answers {
                    ids.push((open.take(), status));
                }
                for (id, status) in ids {
                    match id {
                        Some((id, _)) => self.answered(now, id, status),
                        None => self.count("answers to nothing asked"),
                    }
                }
            }
            (Role::Sidecar(sidecar), Role::Server(server, zone)) => {
                let wire = self.conns.entry(conn).or_insert_with(|| Wire::Server {
                    sidecar,
                    server,
                    zone,
                    up: Messages::default(),
                    down: Messages::default(),
                    first: now,
                    in_head: false,
                    current: None,
                    status: (0, false),
                    heard: None,
                    long: false,
                });
                let Wire::Server { up, first, in_head, .. } = wire else { return };
                let mut parts = Vec::new();
                let mut messages = std::mem::take(up);
                messages.feed(bytes, |part| match part {
                    Part::First => (*first, *in_head) = (now, true),
                    Part::Head(head) => {
                        *in_head = false;
                        parts.push(Some(head.to_owned()));
                    }
                    Part::Last => parts.push(None),
                });
                *up = messages;
                for part in parts {
                    match part {
                        Some(head) => self.attempt(now, conn, &head),
                        None => self.whole(now, conn),
                    }
                }
            }
            _ => {}
        }
    }

    /// The last byte of a final answer was written.
    fn answered(&mut self, now: Duration, id: u64, status: u16) {
        let Some(asked) = self.asked.get_mut(&id) else { return };
        asked.answer = Some((status, now));
        let excused = asked.excused.is_some();
        // One that was not accepted before its time was up cannot be answered in time.
        let too_late = asked.taken.zip(asked.sent).is_some_and(|(t, s)| t > s + asked.left);
        let due = self.due(id);
        let in_time = excused || too_late || self.begun(id) || due.is_none_or(|due| now <= due);
        let Some(asked) = self.asked.get(&id) else { return };
        let refused = matches!(status, 429 | 503);
        let repeat = self.rules.classes[asked.class].repeat;
        let may_have_run = asked.attempts.iter().any(Attempt::may_have_run);
        // What it waited for: itself, every attempt's end, and connections, of which nobody sees for whom
        // they are. None: one of these is still out.
        let ends: Option<Vec<_>> = asked.attempts.iter().map(|a| a.over).collect();
        let begun = |wire: &Wire| matches!(wire, Wire::Server { sidecar, in_head: true, .. } if *sidecar == asked.sidecar);
        let asking = self.asking.values().any(|sidecar| *sidecar == asked.sidecar)
            || self.conns.values().any(begun);
        let waited = self.asked_until.get(&asked.sidecar).copied().unwrap_or_default();
        let ends = ends.filter(|_| !asking);
        let last = ends.and_then(|ends| ends.into_iter().chain([asked.taken?, waited]).max());
        let short = self.short.contains_key(&asked.sidecar);
        // At the end of its time it may be an attempt that ends of which no byte was ever written.
        let in_vain = |last: &Duration| {
            let time = asked.taken.unwrap_or_default() + asked.left;
            now > *last + AT_ONCE && now + TIME_UP + asked.reckoned < time
        };
        let held = last.filter(|last| status != 200 && !excused && !short && in_vain(last));
        if let Some(last) = held {
            let what = format!("given up, and answered only {:?} later", now - last);
            return self.broken(now, "held", Some(id), what);
        }
        if !in_time {
            self.broken(now, "late", Some(id), "answered too late".into());
        } else if refused && may_have_run && repeat != Repeat::Safe {
            self.broken(now, "refusal", Some(id), "refused though an attempt may have run".into());
        }
    }

    fn read(&mut self, now: Duration, conn: ConnectionId, by: HostId, bytes: &[u8]) {
        if !matches!(self.role_of(by), Role::Sidecar(_)) {
            return;
        }
        match self.conns.get_mut(&conn) {
            Some(Wire::Client { read, open, reckoned, .. }) => {
                *read += bytes.len() as u64;
                if let Some((id, end)) = *open
                    && *read >= end
                    && let Some(asked) = self.asked.get_mut(&id)
                    && asked.taken.is_none()
                {
                    asked.taken = Some(now);
                    asked.reckoned = std::mem::take(reckoned);
                }
            }
            Some(Wire::Server { down, status, current, heard, long, .. }) => {
                let mut over = Vec::new();
                let before = heard.take();
                down.feed(bytes, |part| match part {
                    Part::First => *long = false,
                    Part::Head(head) => {
                        *long = is_long(head);
                        let code = head.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
                        let never = matches!(code, 503 | 504)
                            && fakes::wire::header(head, "x-unprocessed").is_some_and(|v| v == "1");
                        *status = (code, never);
                    }
                    Part::Last => over.push(*status),
                });
                *heard = (down.within() && !*long).then_some(now);
                let current = *current;
                self.stalled(now, before, current);
                for status in over {
                    if let Some((id, n)) = current
                        && let Some(a) = self.asked.get_mut(&id).and_then(|a| a.attempts.get_mut(n))
                        && a.whole.is_some()
                    {
                        a.answered.get_or_insert(status);
                        a.over = Some(now);
                        self.count(match status {
                            (200, _) => "attempts served",
                            (_, true) => "attempts turned away",
                            _ => "attempts answered otherwise",
                        });
                    }
                }
            }
            None => {}
        }
    }

    /// An answer to an attempt goes on, or is given up, and nothing of it has come since `heard`.
    fn stalled(&mut self, now: Duration, heard: Option<Duration>, current: Option<(u64, usize)>) {
        let Some((heard, (id, n))) = heard.zip(current) else { return };
        let Some(asked) = self.asked.get(&id) else { return };
        let waits = asked.answer.is_none() && asked.excused.is_none() && !asked.over;
        let out = asked.attempts.get(n).is_some_and(|a| a.whole.is_some() && a.over.is_none());
        if waits && out && now > heard + self.rules.gap + STALLED {
            let what = format!("an answer has not gone on since {heard:?}, and was waited for");
            self.broken(now, "stalled", Some(id), what);
        }
    }

    /// A connection is up, or will not be.
    fn asked_for(&mut self, now: Duration, conn: ConnectionId) {
        if let Some(sidecar) = self.asking.remove(&conn) {
            self.asked_until.insert(sidecar, now);
        }
    }

    /// A sidecar has accepted a connection.
    fn accepted(&mut self, now: Duration, conn: ConnectionId, by: HostId) {
        let Role::Sidecar(sidecar) = self.role_of(by) else { return };
        let backlog = self.backlogs.entry(sidecar).or_default();
        backlog.waiting.remove(&conn);
        if let Some(Wire::Client { opened: Some(opened), reckoned, .. }) = self.conns.get_mut(&conn)
            && *opened < now
        {
            *reckoned = now - backlog.emptied;
        }
        if backlog.waiting.is_empty() {
            backlog.emptied = now;
        }
    }

    fn closed(&mut self, now: Duration, conn: ConnectionId, by: HostId, reset: bool) {
        match (self.conns.get(&conn), self.role_of(by)) {
            (Some(Wire::Server { current, heard, .. }), Role::Sidecar(_)) => {
                let (current, heard) = (*current, *heard);
                self.stalled(now, heard, current);
                if let Some((id, n)) = current
                    && let Some(a) = self.asked.get_mut(&id).and_then(|a| a.attempts.get_mut(n))
                    && a.over.is_none()
                {
                    a.over = Some(now);
                    let whole = a.whole.is_some();
                    let due = a.whole.map(|whole| whole + a.left + WAITED);
                    let left = a.left;
                    if heard.is_none() && due.is_some_and(|due| now > due) {
                        let what = format!("{left:?} to wait were passed on, and it is out still");
                        self.broken(now, "waits", Some(id), what);
                    }
                    self.note(now, || format!("{id:016x} is given up on connection {conn}"));
                    self.count(if whole {
                        "attempts given up whole"
                    } else {
                        "attempts given up in part"
                    });
                }
                self.conns.remove(&conn);
            }
            (Some(Wire::Client { .. }), Role::Clients(_)) => {
                self.conns.remove(&conn);
                self.backlogs.values_mut().for_each(|b| _ = b.waiting.remove(&conn));
            }
            (None, Role::Sidecar(_)) => self.asked_for(now, conn),
            (Some(Wire::Client { .. }), _) if reset => self.count("clients reset"),
            _ => {}
        }
    }
}

/// What answers with this status are counted as.
pub fn status_name(status: u16) -> &'static str {
    match status {
        200 => "answered 200",
        429 => "answered 429",
        503 => "answered 503",
        502 => "answered 502",
        409 => "answered 409",
        408 => "answered 408",
        _ => "answered otherwise",
    }
}

fn client_wire() -> Wire {
    let down = Messages::default();
    let reckoned = Duration::ZERO;
    Wire::Client { written: 0, read: 0, down, status: 0, opened: None, reckoned, open: None }
}

/// Whether an answer is passed on as it comes, by its head.
fn is_long(head: &str) -> bool {
    let length = fakes::wire::header(head, "content-length").and_then(|v| v.parse().ok());
    length.map_or(!head.starts_with("HTTP/1.1 1"), |n: u64| n > KEPT)
}

/// The oracle as the network's tap.
pub struct Eye(pub std::rc::Rc<std::cell::RefCell<Oracle>>);

impl Tap for Eye {
    fn on_event(&mut self, now: Duration, event: &TapEvent<'_>) {
        let mut oracle = self.0.borrow_mut();
        match event {
            TapEvent::Sent { connection: conn, from, to, bytes } => {
                oracle.sent(now, *conn, *from, *to, bytes)
            }
            TapEvent::Read { connection: conn, by, bytes } => oracle.read(now, *conn, *by, bytes),
            TapEvent::Closed { connection: conn, by, reset } => {
                oracle.closed(now, *conn, *by, *reset)
            }
            TapEvent::Connecting { connection: conn, by } => {
                if let Role::Sidecar(sidecar) = oracle.role_of(*by) {
                    oracle.asking.insert(*conn, sidecar);
                }
            }
            TapEvent::Connected { connection: conn, from, to, .. } => {
                oracle.asked_for(now, *conn);
                oracle.count("connections");
                match (oracle.role_of(*from), oracle.role_of(*to)) {
                    (Role::Clients(_), to) => {
                        if let Role::Sidecar(sidecar) = to {
                            oracle.backlogs.entry(sidecar).or_default().waiting.insert(*conn);
                        }
                        let wire = oracle.conns.entry(*conn).or_insert_with(client_wire);
                        if let Wire::Client { opened, .. } = wire {
                            *opened = Some(now);
                        }
                    }
                    (Role::Sidecar(a), Role::Sidecar(b)) => {
                        let what = format!("sidecar {a} has called sidecar {b}");
                        oracle.broken(now, "loop", None, what);
                    }
                    _ => {}
                }
            }
            TapEvent::Accepted { connection: conn, by } => oracle.accepted(now, *conn, *by),
            TapEvent::WriteShutdown { .. } => {}
        }
    }
}
