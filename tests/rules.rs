//! Random event sequences against a checker of rules 1 to 3 that knows nothing of the module's
//! insides: it keeps its own books of requests, attempts and lists.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use lb_sidecar::api::*;
use lb_sidecar::decide::Balancer;
use proptest::prelude::*;

const SLACK: Micros = 8 * MS;
const SERVERS: u64 = 6;
const CLASSES: [(&str, bool); 3] = [("safe", true), ("keyed", false), ("unsafe", false)];
const WINDOW: Micros = 700 * MS;

#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, left: Micros },
    Outcome { which: usize, how: u8, queue: f32 },
    Wait(Micros),
    Health { server: u64, health: u8, restart: bool },
    Whole { mask: u8 },
    Gone { which: usize },
    Failed,
}

#[derive(Debug)]
struct Sent {
    server: ServerId,
    zone: u8,
    at: Micros,
    out: bool,
    never_ran: bool,
    due: Micros,
}

#[derive(Debug)]
struct Book {
    class: usize,
    deadline: Micros,
    finals: usize,
    gone: bool,
    sent: Vec<Sent>,
}

struct World {
    balancer: Balancer,
    now: Micros,
    books: BTreeMap<RequestId, Book>,
    timers: BTreeSet<(Micros, u32)>,
    healthy: BTreeSet<ServerId>,
    may_duplicate: bool,
    max_attempts: usize,
}

impl World {
    fn event(&mut self, event: Event<'_>) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in out {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => {
                assert!(self.healthy.contains(&server), "rule 3: {server:?}");
                let zone = (server.0 % 2) as u8;
                let may_duplicate = self.may_duplicate;
                let b = self.books.get_mut(&id).expect("a known request");
                assert!(b.finals == 0 && !b.gone, "rule 1: sent after the end");
                assert!(b.sent.len() < self.max_attempts);
                if !may_duplicate {
                    assert!(b.sent.iter().all(|s| !s.out), "two attempts out");
                }
                match CLASSES[b.class].0 {
                    "unsafe" => assert!(b.sent.iter().all(|s| s.never_ran), "rule 2"),
                    "keyed" => {
                        for s in b.sent.iter().filter(|s| !s.never_ran) {
                            assert_eq!(s.zone, zone, "rule 2: another group");
                            assert!(self.now - s.at <= WINDOW, "rule 2: window over");
                        }
                    }
                    _ => {}
                }
                let left = b.deadline - self.now;
                let wait = if timeout == 0 { left } else { timeout.min(left) };
                b.sent.push(Sent {
                    server,
                    zone,
                    at: self.now,
                    out: true,
                    never_ran: false,
                    due: self.now + wait,
                });
            }
            Action::Refuse { id, .. } => {
                let b = self.books.get_mut(&id).expect("a known request");
                let harmless = CLASSES[b.class].1 || b.sent.iter().all(|s| s.never_ran);
                assert!(harmless, "rule 2: refused what may have run");
                b.finals += 1;
            }
            Action::Fail { id } => self.books.get_mut(&id).expect("a known request").finals += 1,
            Action::Cancel { id, attempt } => {
                assert!(attempt < self.books[&id].sent.len(), "an attempt never made");
            }
            Action::Timer { delay, token } => {
                self.timers.insert((self.now + delay.max(1), token));
            }
            _ => {}
        }
    }

    fn outcome(&mut self, id: RequestId, attempt: usize, outcome: Outcome, queue: f32) {
        let b = self.books.get_mut(&id).expect("a known request");
        let s = &mut b.sent[attempt];
        s.out = false;
        s.never_ran = outcome.never_ran();
        let (server, latency) = (s.server, self.now - s.at);
        let served = outcome == Outcome::Served;
        if served && b.finals == 0 && !b.gone {
            b.finals = 1;
        }
        let finished = b.finals > 0 || b.gone;
        self.event(Event::Answer {
            id,
            attempt,
            server,
            outcome,
            latency,
            finished,
            report: report(queue),
        });
    }

    /// Moves the clock on, playing time-outs and timers as they fall due.
    fn advance(&mut self, to: Micros) {
        loop {
            let timer = self.timers.first().map(|&(at, _)| at);
            let timeout = self
                .books
                .iter()
                .flat_map(|(id, b)| {
                    let open = b.sent.iter().enumerate().filter(|(_, s)| s.out);
                    open.map(move |(n, s)| (s.due, *id, n))
                })
                .min();
            let next = timer.into_iter().chain(timeout.map(|t| t.0)).min();
            match next {
                Some(at) if at <= to => {
                    self.now = self.now.max(at);
                    match timeout {
                        Some((due, id, n)) if due == at => {
                            self.outcome(id, n, Outcome::TimedOut, 0.0);
                        }
                        _ => {
                            let (_, token) = self.timers.pop_first().expect("a timer is due");
                            self.event(Event::Timer { token });
                        }
                    }
                }
                _ => break,
            }
            self.ended_in_time();
        }
        self.now = to;
        self.ended_in_time();
    }

    fn ended_in_time(&self) {
        for (id, b) in &self.books {
            assert!(b.finals <= 1, "rule 1: {id:?} ended twice");
            let late = self.now > b.deadline + SLACK;
            assert!(!late || b.finals == 1 || b.gone, "rule 1: {id:?} lost");
        }
    }

    fn step(&mut self, n: u64, step: &Step) {
        match *step {
            Step::Request { class, left } => {
                let id = RequestId(n);
                self.books.insert(
                    id,
                    Book {
                        class,
                        deadline: self.now + left,
                        finals: 0,
                        gone: false,
                        sent: Vec::new(),
                    },
                );
                self.event(Event::Request(NewRequest {
                    id,
                    class,
                    tenant: 0,
                    key: n % 5,
                    left,
                    hint: None,
                    repeat: n.is_multiple_of(3),
                    beyond: n.is_multiple_of(5),
                }));
            }
            Step::Outcome { which, how, queue } => {
                let open: Vec<_> = self
                    .books
                    .iter()
                    .flat_map(|(id, b)| {
                        let out = b.sent.iter().enumerate().filter(|(_, s)| s.out);
                        out.map(move |(n, _)| (*id, n))
                    })
                    .collect();
                if open.is_empty() {
                    return;
                }
                let (id, attempt) = open[which % open.len()];
                let outcome = [
                    Outcome::Served,
                    Outcome::Error,
                    Outcome::Full,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Moot,
                ][usize::from(how) % 6];
                self.outcome(id, attempt, outcome, queue);
            }
            Step::Wait(t) => self.advance(self.now + t),
            Step::Health { server: s, health, restart } => {
                let health = [Health::Ready, Health::Draining, Health::Gone][usize::from(health)];
                let mut entry = with_health(s, health);
                if restart {
                    entry.started = self.now;
                }
                match health {
                    Health::Ready => self.healthy.insert(entry.id),
                    _ => self.healthy.remove(&entry.id),
                };
                self.event(Event::Servers { kind: ListKind::Changes, entries: &[entry] });
            }
            Step::Whole { mask } => {
                let entries: Vec<_> =
                    (0..SERVERS).filter(|s| mask & (1 << s) != 0).map(server).collect();
                self.healthy = entries.iter().map(|e| e.id).collect();
                self.event(Event::Servers { kind: ListKind::Whole, entries: &entries });
            }
            Step::Gone { which } => {
                let open: Vec<_> = self
                    .books
                    .iter()
                    .filter(|(_, b)| b.finals == 0 && !b.gone)
                    .map(|(id, _)| *id)
                    .collect();
                if let Some(&id) = open.get(which) {
                    self.books.get_mut(&id).expect("listed above").gone = true;
                    self.event(Event::ClientGone { id });
                }
            }
            Step::Failed => self.event(Event::Servers { kind: ListKind::Failed, entries: &[] }),
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..3usize, 0..1500u64).prop_map(|(class, ms)| Step::Request { class, left: ms * MS }),
        8 => (0..8usize, 0..12u8, prop_oneof![0f32..40.0, Just(f32::NAN), Just(-1.0)]).prop_map(
            |(which, how, queue)| Step::Outcome { which, how: how.saturating_sub(6), queue }
        ),
        4 => (1..300u64).prop_map(|ms| Step::Wait(ms * MS)),
        1 => (0..SERVERS, 0..3u8, any::<bool>())
            .prop_map(|(server, health, restart)| Step::Health { server, health, restart }),
        1 => any::<u8>().prop_map(|mask| Step::Whole { mask }),
        1 => (0..4usize).prop_map(|which| Step::Gone { which }),
        1 => Just(Step::Failed),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn rules_hold_on_any_sequence(
        steps in prop::collection::vec(step(), 1..250),
        seed in any::<u64>(),
        asked in any::<bool>(),
        may_duplicate in any::<bool>(),
        max_attempts in 1..6usize,
    ) {
        let settings = settings(|s| {
            s["discovery"] = if asked { "on_request" } else { "pushed" }.into();
            s["limits"]["mayDuplicate"] = may_duplicate.into();
            s["limits"]["maxAttempts"] = max_attempts.into();
        });
        let mut world = World {
            balancer: Balancer::new(settings, seed, START),
            now: START,
            books: BTreeMap::new(),
            timers: BTreeSet::new(),
            healthy: BTreeSet::new(),
            may_duplicate,
            max_attempts,
        };
        world.step(0, &Step::Whole { mask: 0b11_1111 });
        for (n, s) in steps.iter().enumerate() {
            world.step(n as u64 + 1, s);
        }
        world.advance(world.now + 4 * S);
        for (id, b) in &world.books {
            prop_assert!(b.finals == 1 || b.gone, "rule 1: {:?} lost", id);
        }
    }
}
