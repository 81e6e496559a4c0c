//! What became of every request: what each client was told, and what each server ran. Lost, doubled
//! and late ones are counted here, by one who sees both sides.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Whether a request may be sent again once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Always.
    Safe,
    /// Within its group of servers and its window.
    Keyed,
    /// Never.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The first part of its paths.
    pub name: &'static str,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// Its share of all requests.
    pub share: f64,
    /// Mean work at a server.
    pub work: Duration,
    /// Wanted within.
    pub aim: Duration,
    /// Given up after.
    pub deadline: Duration,
}

/// A client's desired state, over all its tries, and one of those tries. Both stand in the id on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Try {
    /// The desired state.
    pub ask: u64,
    /// The try, from 0.
    pub n: u16,
}

impl Try {
    /// The id on the wire.
    pub fn id(self) -> String {
        format!("{:012x}{:04x}", self.ask, self.n)
    }

    /// The try that has this id.
    pub fn of(id: &str) -> Option<Try> {
        if id.len() != 16 || !id.is_ascii() {
            return None;
        }
        let (ask, n) = id.split_at(12);
        Some(Try { ask: u64::from_str_radix(ask, 16).ok()?, n: u16::from_str_radix(n, 16).ok()? })
    }
}

/// What a client was told of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200 with the body made for it.
    Served,
    /// 429 or 503: trying again is harmless.
    Refused,
    /// Any other answer.
    Failed,
    /// Nothing within its time and the slack.
    Late,
    /// The connection ended with no whole answer, and the request had been taken.
    Lost,
    /// 200 with something else.
    Wrong,
}

#[derive(Default)]
struct Tried {
    outcome: Option<(Outcome, Instant)>,
    seen: u16,
    ran: u16,
}

struct Ask {
    class: usize,
    /// Whose, where clients say so.
    tenant: Option<usize>,
    tries: Vec<Tried>,
    /// Served within its class's aim, from its first try on.
    in_time: bool,
}

/// A break of a rule, or something near one, in words.
const EXAMPLES: usize = 20;

#[derive(Default)]
struct Inner {
    asks: HashMap<u64, Ask>,
    next: u64,
    /// Microseconds, by class.
    took: Vec<Histogram<u64>>,
    servers: BTreeMap<String, Server>,
    kills: Vec<(SocketAddr, Instant)>,
    /// Processes that were stopped where they were, and until when.
    stalls: Vec<(SocketAddr, Instant, Option<Instant>)>,
    late_by_stall: u64,
    lost: u64,
    lost_by_kill: u64,
    crossed: u64,
    unread: u64,
    refused_connections: u64,
    after_the_end: u64,
    strangers: u64,
    examples: Vec<String>,
}

/// What one server did.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Server {
    /// Requests that came.
    pub seen: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Requests turned away unseen.
    pub turned_away: u64,
    /// Repeats of a key that were dropped.
    pub dropped: u64,
}

/// What a server did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Did {
    /// It came.
    Saw,
    /// It ran.
    Ran,
    /// It was turned away and never ran.
    TurnedAway,
    /// Its key had just run: dropped.
    Dropped,
}

/// The account.
pub struct Account {
    classes: Vec<Class>,
    inner: Mutex<Inner>,
}

/// How long a killed process's connections may take to show it.
const KILL_SHOWS: Duration = Duration::from_secs(3);
/// What a stopped process held may be late for so long after it goes on: the longest deadline, stretched.
const STALL_SHOWS: Duration = Duration::from_secs(5);
/// What was on its way to a server when the client had its answer may still come for so long.
const ON_ITS_WAY: Duration = Duration::from_millis(500);

impl Account {
    /// An empty one.
    pub fn new(classes: Vec<Class>) -> Account {
        let took = vec![times(); classes.len()];
        Account { classes, inner: Mutex::new(Inner { took, ..Inner::default() }) }
    }

    /// The classes.
    pub fn classes(&self) -> &[Class] {
        &self.classes
    }

    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A new desired state of a class.
    pub fn ask(&self, class: usize) -> u64 {
        self.ask_of(class, None)
    }

    /// The same of a tenant's.
    pub fn ask_of(&self, class: usize, tenant: Option<usize>) -> u64 {
        let mut inner = self.inner();
        inner.next += 1;
        let ask = inner.next;
        inner.asks.insert(ask, Ask { class, tenant, tries: Vec::new(), in_time: false });
        ask
    }

    /// Its next try.
    pub fn next_try(&self, ask: u64) -> Try {
        let mut inner = self.inner();
        let tries = inner.asks.get_mut(&ask).map(|a| &mut a.tries);
        let n = tries.map_or(0, |tries| {
            tries.push(Tried::default());
            tries.len() - 1
        });
        Try { ask, n: n as u16 }
    }

    /// What a client at `target` was told.
    pub fn answered(&self, of: Try, outcome: Outcome, target: SocketAddr) {
        let now = Instant::now();
        let mut inner = self.inner();
        if outcome == Outcome::Lost {
            if inner.killed(target, now) {
                inner.lost_by_kill += 1;
            } else {
                inner.lost += 1;
                inner.example(format!("{} at {target}: ended without an answer", of.id()));
            }
        }
        let outcome = match outcome {
            Outcome::Late if inner.stalled(target, now) => {
                inner.late_by_stall += 1;
                Outcome::Failed
            }
            outcome => outcome,
        };
        if matches!(outcome, Outcome::Late | Outcome::Wrong) {
            inner.example(format!("{} at {target}: {outcome:?}", of.id()));
        }
        if let Some(tried) = inner.tried(of) {
            tried.outcome = Some((outcome, now));
        }
    }

    /// A desired state was served, so long after it was first asked.
    pub fn served(&self, ask: u64, took: Duration) {
        let us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let mut inner = self.inner();
        let Some(asked) = inner.asks.get_mut(&ask) else { return };
        let class = asked.class;
        asked.in_time = took <= self.classes[class].aim;
        inner.took[class].saturating_record(us);
    }

    /// A connection to a sidecar was refused.
    pub fn refused_connection(&self, target: SocketAddr) {
        let mut inner = self.inner();
        inner.refused_connections += 1;
        inner.example(format!("a connection to {target} was refused"));
    }

    /// A new connection to a sidecar came up and ended, and nothing of its request went any further.
    pub fn unread(&self, target: SocketAddr) {
        let mut inner = self.inner();
        inner.unread += 1;
        inner.example(format!("a connection to {target} came up and ended unread"));
    }

    /// A connection ended just as a request was written, which nobody has read.
    pub fn crossed(&self) {
        self.inner().crossed += 1;
    }

    /// The process at `target` is about to be killed: what it holds may be lost.
    pub fn kill(&self, target: SocketAddr) {
        self.inner().kills.push((target, Instant::now()));
    }

    /// The process at `target` is about to be stopped where it is, or goes on: what it holds may be late.
    pub fn stall(&self, target: SocketAddr, stopped: bool) {
        let mut inner = self.inner();
        let open =
            inner.stalls.iter_mut().rev().find(|(at, _, end)| *at == target && end.is_none());
        match open {
            Some((_, _, end)) if !stopped => *end = Some(Instant::now()),
            None if stopped => inner.stalls.push((target, Instant::now(), None)),
            _ => {}
        }
    }

    /// Whether the process at `target` was killed just now.
    pub fn was_killed(&self, target: SocketAddr) -> bool {
        self.inner().killed(target, Instant::now())
    }

    /// Whether any server has seen this try.
    pub fn was_seen(&self, of: Try) -> bool {
        self.inner().tried(of).is_some_and(|t| t.seen > 0)
    }

    /// What a server did with a request that has this id.
    pub fn did(&self, server: &str, id: &str, did: Did) {
        let now = Instant::now();
        let mut inner = self.inner();
        if !inner.servers.contains_key(server) {
            inner.servers.insert(server.to_owned(), Server::default());
        }
        let counts = inner.servers.get_mut(server);
        if let Some(c) = counts {
            match did {
                Did::Saw => c.seen += 1,
                Did::Ran => c.ran += 1,
                Did::TurnedAway => c.turned_away += 1,
                Did::Dropped => c.dropped += 1,
            }
        }
        let Some(of) = Try::of(id) else {
            inner.strangers += 1;
            return;
        };
        let Some(tried) = inner.tried(of) else {
            inner.strangers += 1;
            return;
        };
        match did {
            Did::Saw => {
                tried.seen += 1;
                let late = tried.outcome.is_some_and(|(_, at)| now > at + ON_ITS_WAY);
                if late {
                    inner.after_the_end += 1;
                    inner.example(format!("{id} came to {server} after its final answer"));
                }
            }
            Did::Ran => tried.ran += 1,
            Did::TurnedAway | Did::Dropped => {}
        }
    }

    /// Times of what was served since the last call, by class; the report goes on without them.
    pub fn lap(&self) -> Vec<OfClass> {
        let mut inner = self.inner();
        let mut laps = Vec::new();
        for (class, took) in self.classes.iter().zip(&mut inner.took) {
            laps.push(OfClass { served: took.len(), ..timed(class, took) });
            took.reset();
        }
        laps
    }

    /// The account as it stands. Complete once all that was asked is over.
    pub fn report(&self) -> Report {
        let mut inner = self.inner();
        let mut report = Report {
            classes: Vec::new(),
            servers: inner.servers.clone(),
            lost: inner.lost,
            lost_by_kill: inner.lost_by_kill,
            late_by_stall: inner.late_by_stall,
            crossed: inner.crossed,
            unread: inner.unread,
            refused_connections: inner.refused_connections,
            after_the_end: inner.after_the_end,
            strangers: inner.strangers,
            ..Report::default()
        };
        let mut examples = std::mem::take(&mut inner.examples);
        for (at, class) in self.classes.iter().enumerate() {
            report.classes.push(timed(class, &inner.took[at]));
        }
        for (id, ask) in &inner.asks {
            report.tries += ask.tries.len() as u64;
            let of = &mut report.classes[ask.class];
            of.asked += 1;
            let last = ask.tries.iter().rev().find_map(|t| t.outcome.map(|(outcome, _)| outcome));
            match last {
                None => of.open += 1,
                Some(Outcome::Served) => of.served += 1,
                Some(Outcome::Refused) => of.refused += 1,
                Some(Outcome::Failed) => of.failed += 1,
                Some(Outcome::Late) => of.late += 1,
                Some(Outcome::Lost) => of.lost += 1,
                Some(Outcome::Wrong) => report.wrong += 1,
            }
            if let Some(tenant) = ask.tenant {
                if report.tenants.len() <= tenant {
                    report.tenants.resize(tenant + 1, OfTenant::default());
                }
                let of = &mut report.tenants[tenant];
                of.asked += 1;
                of.in_time += u64::from(ask.in_time);
                match last {
                    None => {}
                    Some(Outcome::Served) => of.served += 1,
                    Some(Outcome::Refused) => of.refused += 1,
                    Some(_) => of.failed += 1,
                }
            }
            report.late += u64::from(last == Some(Outcome::Late));
            let repeat = self.classes[ask.class].repeat;
            let runs: u64 = ask.tries.iter().map(|t| u64::from(t.ran)).sum();
            if repeat != Repeat::Safe && runs > 1 {
                examples.push(format!("{id:012x} of {} ran {runs} times", of.name));
                match repeat {
                    Repeat::Unsafe => report.doubled_orders += 1,
                    _ => report.doubled_uploads += 1,
                }
            }
            let refused_but_ran = ask
                .tries
                .iter()
                .any(|t| t.ran > 0 && matches!(t.outcome, Some((Outcome::Refused, _))));
            if repeat != Repeat::Safe && refused_but_ran {
                examples.push(format!("{id:012x} of {} was refused, and ran", of.name));
                report.refused_but_ran += 1;
            }
        }
        examples.truncate(EXAMPLES);
        inner.examples.clone_from(&examples);
        report.examples = examples;
        report
    }
}

impl Inner {
    fn tried(&mut self, of: Try) -> Option<&mut Tried> {
        self.asks.get_mut(&of.ask)?.tries.get_mut(usize::from(of.n))
    }

    fn killed(&self, target: SocketAddr, now: Instant) -> bool {
        self.kills.iter().any(|(at, when)| *at == target && now.duration_since(*when) < KILL_SHOWS)
    }

    /// Whether a process was stopped while a request could have been with it.
    fn stalled(&self, target: SocketAddr, now: Instant) -> bool {
        let before = now.checked_sub(STALL_SHOWS).unwrap_or(now);
        let over = |end: &Option<Instant>| end.is_none_or(|end| end > before);
        self.stalls.iter().any(|(at, _, end)| *at == target && over(end))
    }

    fn example(&mut self, text: String) {
        if self.examples.len() < EXAMPLES {
            self.examples.push(text);
        }
    }
}

/// Three digits, from a microsecond to the longest that any request is waited for.
fn times() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 1_000_000_000, 3).expect("bounds and digits in range")
}

fn timed(class: &Class, took: &Histogram<u64>) -> OfClass {
    let ms = |us: u64| us as f64 / 1000.0;
    OfClass {
        name: class.name,
        p50_ms: ms(took.value_at_quantile(0.5)),
        p99_ms: ms(took.value_at_quantile(0.99)),
        max_ms: ms(took.max()),
        ..OfClass::default()
    }
}

/// Operations of one class by how they ended. Times are from the first try to the answer, of those that
/// were served.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OfClass {
    /// The class.
    pub name: &'static str,
    /// Operations.
    pub asked: u64,
    /// Those under way.
    pub open: u64,
    /// Served at last.
    pub served: u64,
    /// Refused at last.
    pub refused: u64,
    /// Failed at last.
    pub failed: u64,
    /// Without an answer in time.
    pub late: u64,
    /// Whose connection ended without one.
    pub lost: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

/// Operations of one tenant by how they ended.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct OfTenant {
    /// Operations.
    pub asked: u64,
    /// Served at last.
    pub served: u64,
    /// Of them within their classes' aims.
    pub in_time: u64,
    /// Refused at last.
    pub refused: u64,
    /// Failed at last, or ended without an answer.
    pub failed: u64,
}

/// The account in figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// By class.
    pub classes: Vec<OfClass>,
    /// By tenant, where clients say whose they are.
    pub tenants: Vec<OfTenant>,
    /// By server.
    pub servers: BTreeMap<String, Server>,
    /// Tries of clients.
    pub tries: u64,
    /// Taken, and ended without an answer.
    pub lost: u64,
    /// The same by a process that was killed on purpose.
    pub lost_by_kill: u64,
    /// No answer in time.
    pub late: u64,
    /// The same by a process that was stopped on purpose; those count as failed.
    pub late_by_stall: u64,
    /// Unsafe ones that ran more than once.
    pub doubled_orders: u64,
    /// Keyed ones that ran more than once.
    pub doubled_uploads: u64,
    /// Refused though an attempt had run.
    pub refused_but_ran: u64,
    /// Attempts that came to a server after the final answer.
    pub after_the_end: u64,
    /// 200 with another body.
    pub wrong: u64,
    /// Requests at servers that no client sent.
    pub strangers: u64,
    /// Connections to sidecars that were refused.
    pub refused_connections: u64,
    /// Connections to sidecars that came up and ended with nothing sent on: those requests failed.
    pub unread: u64,
    /// Requests that crossed the close of their connection and were sent once more.
    pub crossed: u64,
    /// Some of what is wrong, in words.
    pub examples: Vec<String>,
}

impl Report {
    /// Operations in all.
    pub fn asked(&self) -> u64 {
        self.classes.iter().map(|c| c.asked).sum()
    }

    /// Operations served.
    pub fn served(&self) -> u64 {
        self.classes.iter().map(|c| c.served).sum()
    }

    /// Rules broken; what killed processes held may be lost, and connections may be refused by
    /// who asks for that.
    pub fn broken(&self) -> u64 {
        self.lost
            + self.late
            + self.doubled_orders
            + self.doubled_uploads
            + self.refused_but_ran
            + self.after_the_end
            + self.wrong
            + self.strangers
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn account() -> Account {
        let class = |name, repeat| Class {
            name,
            repeat,
            share: 1.0,
            work: Duration::from_millis(1),
            aim: Duration::from_millis(100),
            deadline: Duration::from_millis(500),
        };
        Account::new(vec![class("look", Repeat::Safe), class("order", Repeat::Unsafe)])
    }

    fn at() -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 1))
    }

    #[test]
    fn ids_come_back_from_the_wire() {
        let of = Try { ask: 0xabc, n: 7 };
        assert_eq!(Try::of(&of.id()), Some(of));
        for bad in ["", "xyz", "00000000000000zz", "éééééééé"] {
            assert_eq!(Try::of(bad), None);
        }
    }

    #[test]
    fn what_runs_twice_counts_only_where_it_must_not() {
        let account = account();
        for class in [0, 1] {
            let ask = account.ask(class);
            for _ in 0..2 {
                let of = account.next_try(ask);
                account.did("s", &of.id(), Did::Saw);
                account.did("s", &of.id(), Did::Ran);
                account.answered(of, Outcome::Failed, at());
            }
        }
        let report = account.report();
        assert_eq!((report.doubled_orders, report.doubled_uploads), (1, 0));
        assert_eq!(report.broken(), 1, "{:?}", report.examples);
    }

    #[test]
    fn each_breach_is_counted_and_a_kill_excuses_only_what_was_held() {
        let account = account();
        let tell = |outcome| {
            let of = account.next_try(account.ask(1));
            account.did("s", &of.id(), Did::Ran);
            account.answered(of, outcome, at());
        };
        tell(Outcome::Lost);
        tell(Outcome::Late);
        tell(Outcome::Wrong);
        tell(Outcome::Refused);
        account.did("s", "no id of ours", Did::Saw);
        account.kill(at());
        tell(Outcome::Lost);
        account.refused_connection(at());
        let r = account.report();
        assert_eq!((r.lost, r.lost_by_kill, r.late, r.wrong), (1, 1, 1, 1));
        assert_eq!((r.refused_but_ran, r.strangers, r.refused_connections), (1, 1, 1));
        assert_eq!(r.broken(), 5);
    }

    #[test]
    fn quantiles_are_of_what_was_served_to_three_digits() {
        let account = account();
        let mut exact: Vec<u64> = (0..5000).map(|n| 1 + n * n * 7 % 900_007).collect();
        for us in &exact {
            account.served(account.ask(0), Duration::from_micros(*us));
        }
        exact.sort_unstable();
        let of = &account.report().classes[0];
        for (q, ms) in [(0.5, of.p50_ms), (0.99, of.p99_ms), (1.0, of.max_ms)] {
            let at = (exact.len() as f64 * q).ceil() as usize - 1;
            let want = exact[at] as f64 / 1000.0;
            assert!((ms - want).abs() <= want / 1000.0, "{q}: {ms} ms, exactly {want} ms");
        }
        assert_eq!(account.report().classes[1].p99_ms, 0.0);
        assert_eq!((account.lap()[0].served, account.lap()[0].served), (5000, 0));
    }
}
