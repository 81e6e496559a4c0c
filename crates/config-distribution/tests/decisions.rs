//! The decisions alone: origins and control machines under drawn losses, deaths and lost disks, and each rule of the
//! host's and the tally's.

use std::collections::BTreeMap;

use config_distribution::control::{Control, HostCall, Kept, Told, TurnedAway};
use config_distribution::documents::{Body, Document, Interest, Key, LONGEST_BODY, merged};
use config_distribution::host::{Host, Put, SPREAD, Step};
use config_distribution::origin::{Answer, Call, Origin, Phase, Refused};
use config_distribution::replica::Replica;
use config_distribution::tally::{Arrival, Summary, Tally, Zone};
use config_distribution::{Generation, Millis};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

fn key(text: &str) -> Key {
    Key::parse(text).expect("a key")
}

fn body(n: u64) -> Option<Body> {
    Some(Body::new(&json!({"n": n}).to_string()).expect("sound"))
}

fn interest(services: &[&str], zone: &str) -> Interest {
    Interest { services: services.iter().map(|s| (*s).to_owned()).collect(), zone: zone.to_owned() }
}

/// Members and origins whose calls and answers are lost, late, or of a process that has died since.
struct Play {
    rng: Pcg64Mcg,
    members: Vec<Control>,
    /// What each member has on disk.
    disks: Vec<Option<Kept>>,
    origins: Vec<Origin>,
    /// Calls on their way to an origin, and answers on their way to a member, with that member's life.
    calls: Vec<(usize, usize, u64, Call)>,
    answers: Vec<(usize, u64, Answer)>,
    lives: Vec<u64>,
    next: u64,
    now: Millis,
    /// What was ever committed anywhere, by its generation, as keys and texts.
    committed: BTreeMap<Generation, Vec<(String, Generation, String)>>,
    /// The newest that a desk was told to be committed.
    told: Generation,
    /// What each member had committed last in its life; a lost disk begins anew.
    seen: Vec<Generation>,
    /// Over all that was sent and ordered, with its time.
    sum: Sum,
}

const MEMBERS: usize = 5;

fn name(n: usize) -> String {
    format!("m{n}")
}

impl Play {
    fn new(seed: u64) -> Play {
        let member = |n| Control::new(name(n), Some(Kept::default()), 0, MEMBERS, 10);
        Play {
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: (0..MEMBERS).map(member).collect(),
            disks: vec![Some(Kept::default()); MEMBERS],
            origins: (0..2).map(|n| Origin::new(n, 0, (0..MEMBERS).map(name))).collect(),
            calls: Vec::new(),
            answers: Vec::new(),
            lives: vec![0; MEMBERS],
            next: 0,
            now: 0,
            committed: BTreeMap::new(),
            told: 0,
            seen: vec![0; MEMBERS],
            sum: Sum::default(),
        }
    }

    fn below(&mut self, n: usize) -> usize {
        (self.rng.next_u64() % n as u64) as usize
    }

    fn origin(&mut self, n: usize) {
        let taking = match self.origins[n].phase() {
            Phase::TakingOver(member) => member.clone(),
            _ => return,
        };
        let of = (0..MEMBERS).find(|m| name(*m) == taking).expect("a member");
        if self.below(4) == 0 {
            self.origins[n].not_taken_over(&taking);
        } else {
            let update = self.members[of].update(Replica::default().at());
            self.origins[n].take_over(&taking, update);
        }
    }

    fn step(&mut self, harsh: bool) {
        self.now += 10;
        match self.below(100) {
            // A member calls an origin.
            0..=39 => {
                let (m, o) = (self.below(MEMBERS), self.below(2));
                let call = self.members[m].call();
                self.sum.json(&(self.now, m, o, &call));
                self.calls.push((m, o, self.lives[m], call));
            }
            // One of the calls arrives, in any order; some never do.
            40..=69 if !self.calls.is_empty() => {
                let at = self.below(self.calls.len());
                let (m, o, life, call) = self.calls.swap_remove(at);
                if self.below(10) > 0 {
                    self.origins[o].hear(call.clone(), self.now).expect("a member");
                    if let Some(answer) = self.origins[o].answer(&call) {
                        self.sum.json(&(self.now, m, o, &answer));
                        self.answers.push((m, life, answer));
                    }
                }
            }
            70..=89 if !self.answers.is_empty() => {
                let at = self.below(self.answers.len());
                let (m, life, answer) = self.answers.swap_remove(at);
                if self.lives[m] == life && self.below(10) > 0 && self.members[m].take(answer) {
                    // What a member keeps that asks what it has lost counts once it may vote again.
                    if self.members[m].promised().is_some() {
                        self.disks[m] = Some(self.members[m].kept().clone());
                        self.sum.json(&(self.now, m, &self.disks[m]));
                    }
                }
            }
            90..=93 => {
                let (o, n) = (self.below(2), self.below(3));
                self.next += 1;
                let ordered = self.origins[o].publish(key(&format!("s{n}")), body(self.next));
                self.sum.json(&(self.now, o, outcome(ordered)));
            }
            94..=96 => (0..2).for_each(|o| self.origin(o)),
            // A member dies and comes back with its disk.
            97 if harsh => {
                let m = self.below(MEMBERS);
                self.lives[m] += 1;
                if self.disks[m].is_none() {
                    // It was still asking what it had lost.
                    self.seen[m] = 0;
                }
                let (disk, life) = (self.disks[m].clone(), self.lives[m]);
                self.members[m] = Control::new(name(m), disk, life, MEMBERS, 10);
            }
            // An origin is started anew.
            98 if harsh && self.below(4) == 0 => {
                let o = self.below(2);
                self.next += 1;
                self.origins[o] = Origin::new(o as u8, self.next as u32, (0..MEMBERS).map(name));
            }
            // A disk is lost, if no other is just now; its member asks the others.
            99 if harsh
                && self.below(8) == 0
                && self.members.iter().all(|m| m.promised().is_some()) =>
            {
                let m = self.below(MEMBERS);
                self.lives[m] += 1;
                self.disks[m] = None;
                self.seen[m] = 0;
                self.members[m] = Control::new(name(m), None, self.lives[m], MEMBERS, 10);
            }
            _ => {}
        }
        self.recover();
        self.look();
    }

    fn recover(&mut self) {
        let m = self.below(MEMBERS);
        let from = self.below(MEMBERS);
        if m == from || self.members[m].promised().is_some() {
            return;
        }
        let life = self.members[m].life();
        if let Some((promised, life, _)) = self.members[from].other_life(&name(m), life) {
            self.disks[from] = Some(self.members[from].kept().clone());
            let lives = self.members[from].lives();
            self.sum.json(&(self.now, m, from, promised, life, &lives));
            self.members[m].promised_elsewhere(&name(from), promised, life, &lives);
        }
    }

    /// What is committed is the same wherever it is, and never goes back.
    fn look(&mut self) {
        for (m, member) in self.members.iter().enumerate() {
            let replica = member.replica();
            let committed = replica.committed();
            assert!(committed >= self.seen[m], "{} goes back to {committed}", name(m));
            self.seen[m] = committed;
            let (_, all) = replica.told(&interest(&["s0", "s1", "s2"], "a"), 0);
            // Told with what is newer and not committed, a document may lack its last committed text for a moment.
            let pending = replica.at().generation > committed;
            let text = |d: &&Document| {
                let text = d.body.as_ref().map_or("", |b| b.text()).to_owned();
                (d.key.to_string(), d.generation, text)
            };
            let all: Vec<_> = all.iter().map(text).collect();
            if !pending {
                let known = self.committed.entry(committed).or_insert_with(|| all.clone());
                assert_eq!(*known, all, "{}: generation {committed} is two things", name(m));
            }
        }
        for origin in &self.origins {
            if *origin.phase() == Phase::Leading {
                self.told = self.told.max(origin.replica().committed());
            }
        }
    }
}

#[test]
fn what_is_committed_is_one_thing_everywhere_and_is_never_lost() {
    let seeds = std::env::var("DISTRIBUTION_SEEDS").ok().and_then(|n| n.parse().ok());
    let seeds = seeds.unwrap_or(60);
    let committed: u64 = (0..seeds).map(all_of_a_seed).sum();
    assert!(committed > seeds * 10, "hardly anything was committed: {committed}");
}

/// Found among 5,000 seeds: 686, an origin that was started anew took a round in which its predecessor had led; 4859, an
/// origin took over what a member had left that had lost its disk since it called.
#[test]
fn seeds_that_failed_once_hold() {
    assert!(all_of_a_seed(686) > 0 && all_of_a_seed(4859) > 0);
}

/// Plays a seed to its end; the last change that a desk was told to be committed.
fn all_of_a_seed(seed: u64) -> Generation {
    played(seed).told
}

fn played(seed: u64) -> Play {
    println!("seed {seed}");
    let mut play = Play::new(seed);
    (0..3000).for_each(|_| play.step(true));
    // In the end one origin is started anew, nothing is lost any more, and it leads with all of it.
    play.calls.clear();
    play.answers.clear();
    play.origins[0] = Origin::new(0, u32::MAX, (0..MEMBERS).map(name));
    let told = play.told;
    for _ in 0..200 {
        play.now += 100;
        for m in 0..MEMBERS {
            (0..MEMBERS).for_each(|_| play.recover());
            let call = play.members[m].call();
            play.origins[0].hear(call.clone(), play.now).expect("a member");
            if let Some(answer) = play.origins[0].answer(&call) {
                play.members[m].take(answer);
            }
            let taking = matches!(play.origins[0].phase(), Phase::TakingOver(_));
            if taking {
                play.origin(0);
            }
        }
        play.look();
    }
    assert_eq!(*play.origins[0].phase(), Phase::Leading, "seed {seed}");
    assert!(play.origins[0].replica().committed() >= told, "seed {seed}: {told} is lost");
    play
}

// ---- The behaviour sums ----

/// FNV-1a over inputs and outputs as they are sent or stored, and their times.
#[derive(Clone, Copy)]
struct Sum(u64);

impl Default for Sum {
    fn default() -> Sum {
        Sum(0xcbf2_9ce4_8422_2325)
    }
}

impl Sum {
    fn json(&mut self, what: &impl serde::Serialize) {
        let text = serde_json::to_vec(what).expect("it can be sent");
        for byte in text.into_iter().chain([0]) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

fn outcome(ordered: Result<Generation, Refused>) -> (u8, Generation, String) {
    match ordered {
        Ok(generation) => (0, generation, String::new()),
        Err(Refused::NotLeading(why)) => (1, 0, why),
        Err(Refused::Unfit(why)) => (2, 0, why),
    }
}

/// Hosts that call drawn machines of an origin that leads: calls and answers are lost, what is to be put in force is
/// done, declined or put off, and the machines' summaries are added up.
fn hosts_of_a_seed(seed: u64) -> Sum {
    const HOSTS: usize = 8;
    const MACHINES: usize = 3;
    let (mut rng, mut sum) = (Pcg64Mcg::seed_from_u64(seed), Sum::default());
    let mut below = |n: u64| rng.next_u64() % n;
    let (mut origin, _) = leading(MACHINES);
    let control = |n| Control::new(name(n), Some(Kept::default()), 0, MACHINES, HOSTS - 2);
    let mut all: Vec<_> = (0..MACHINES).map(control).collect();
    let machines: Vec<String> = (0..MACHINES).map(name).collect();
    let zones = ["z0", "z1"];
    let mut hosts: Vec<_> = (0..HOSTS)
        .map(|n| {
            let of = interest(if n % 3 == 0 { &["a", "b"] } else { &["a"] }, zones[n % 2]);
            Host::new(format!("h{n}"), of, &machines, (0, Vec::new()), seed)
        })
        .collect();
    let (mut tally, mut now) = (Tally::default(), 0);
    for step in 0..400_u64 {
        now += 50 + below(400);
        if below(8) == 0 {
            let of = ["*", "a", "b", "a@z0", "*@z1"][below(5) as usize];
            let body = if below(4) == 0 { None } else { body(step) };
            sum.json(&(now, outcome(origin.publish(key(of), body))));
        }
        if below(3) == 0 {
            carry(&mut origin, &mut all[..1 + (step % 3) as usize]);
        }
        let h = below(HOSTS as u64) as usize;
        let put = |draw| match draw {
            0 => Put::Declined("settings.zones: of another shape".to_owned()),
            1 => Put::Later("another rollout runs".to_owned()),
            _ => Put::Done,
        };
        match hosts[h].next(now) {
            Step::Wait(until) => sum.json(&(now, h, "wait", until)),
            Step::Put(generation, documents) => {
                sum.json(&(now, h, "put", generation, &documents));
                hosts[h].put(generation, put(below(6)), now);
            }
            Step::Call(machine) => {
                let call = hosts[h].call();
                let HostCall { host, interest, from, in_force, declined } = &call;
                let of = (host, &interest.services, &interest.zone);
                sum.json(&(now, machine, of, from, in_force, declined));
                let heard = all[machine].hear(&call, now);
                let answer = match heard {
                    Err(TurnedAway::Elsewhere(why) | TurnedAway::Unfit(why)) => {
                        sum.json(&(now, machine, why));
                        None
                    }
                    Ok(()) => all[machine].answer(&call, below(2) == 0, now),
                };
                match answer.filter(|_| below(10) > 0) {
                    None => hosts[h].failed(below(2) == 0, now),
                    Some(told) => {
                        sum.json(&(now, machine, &told));
                        if let Some((generation, documents)) = hosts[h].answered(told, now) {
                            sum.json(&(now, h, "put", generation, &documents));
                            hosts[h].put(generation, put(below(6)), now);
                        }
                    }
                }
            }
        }
        let m = below(MACHINES as u64) as usize;
        if below(4) == 0 {
            let summary = all[m].summary(now);
            sum.json(&(now, &summary));
            if below(8) == 0 {
                all[m].tell_all_anew();
            } else {
                let elsewhere = tally.take(summary, now);
                all[m].elsewhere(&elsewhere, now);
                sum.json(&(now, &elsewhere, tally.total(machines.iter(), now)));
            }
        }
    }
    sum
}

/// What the decisions do for given seeds, as one number: it changes where behaviour or the stored and sent form does.
#[test]
fn the_behaviour_of_these_seeds_is_what_it_was() {
    let mut sum = Sum::default();
    (0..8).for_each(|seed| sum.json(&played(seed).sum.0));
    (0..200).for_each(|seed| sum.json(&hosts_of_a_seed(seed).0));
    assert_eq!(format!("{:016x}", sum.0), "c9f9d867ea4e77ff");
}

#[test]
fn who_is_outdone_orders_nothing_more() {
    let mut play = Play::new(1);
    let settle = |play: &mut Play, o: usize| {
        for _ in 0..10 {
            for m in 0..MEMBERS {
                let call = play.members[m].call();
                play.origins[o].hear(call.clone(), 0).expect("a member");
                if let Some(answer) = play.origins[o].answer(&call) {
                    play.members[m].take(answer);
                }
                play.origin(o);
            }
        }
    };
    assert!(matches!(play.origins[0].publish(key("s0"), body(1)), Err(Refused::NotLeading(_))));
    settle(&mut play, 0);
    let first = play.origins[0].publish(key("s0"), body(1)).expect("it leads");
    assert_eq!(play.origins[0].publish(key("s0"), body(1)), Ok(first), "the same is no change");
    settle(&mut play, 0);
    assert!(play.origins[0].replica().committed() >= first);
    settle(&mut play, 1);
    // The first has not heard of it, and orders one more: nobody takes it.
    let late = play.origins[0].publish(key("s0"), body(2));
    assert!(late.is_ok(), "it does not know yet");
    settle(&mut play, 0);
    assert!(matches!(play.origins[0].phase(), Phase::Superseded(_)));
    assert!(matches!(play.origins[0].publish(key("s0"), body(3)), Err(Refused::NotLeading(_))));
    for member in &play.members {
        let (_, all) = member.replica().told(&interest(&["s0"], "a"), 0);
        assert_eq!(all[0].body.as_ref().expect("there").text(), r#"{"n":1}"#);
    }
}

fn leading(members: usize) -> (Origin, Vec<Control>) {
    let mut origin = Origin::new(0, 0, (0..members).map(name));
    let mut all: Vec<_> =
        (0..members).map(|n| Control::new(name(n), Some(Kept::default()), 0, members, 4)).collect();
    carry(&mut origin, &mut all);
    (origin, all)
}

fn carry(origin: &mut Origin, all: &mut [Control]) {
    for _ in 0..8 {
        for member in all.iter_mut() {
            let call = member.call();
            origin.hear(call.clone(), 0).expect("a member");
            if let Some(answer) = origin.answer(&call) {
                member.take(answer);
            }
        }
    }
}

fn call(host: &str, of: Interest, from: Generation) -> HostCall {
    HostCall { host: host.to_owned(), interest: of, from, in_force: from, declined: None }
}

#[test]
fn a_host_is_told_what_concerns_it_and_nothing_else() {
    let (mut origin, mut all) = leading(3);
    for text in ["*", "a", "a@z1", "a@z2", "b"] {
        origin.publish(key(text), body(1)).expect("it leads");
    }
    carry(&mut origin, &mut all);
    let control = &mut all[0];
    let first = call("h1", interest(&["a"], "z1"), 0);
    control.hear(&first, 0).expect("taken in");
    let told = control.answer(&first, false, 0).expect("at once");
    let keys: Vec<_> = told.documents.iter().map(|d| d.key.to_string()).collect();
    assert_eq!((told.whole, keys), (true, vec!["*".into(), "a".into(), "a@z1".to_owned()]));
    // Something else changes: it goes on waiting, and is told so at the end of its wait.
    let next = call("h1", interest(&["a"], "z1"), told.seq);
    origin.publish(key("b"), body(2)).expect("it leads");
    carry(&mut origin, &mut all);
    assert!(all[0].answer(&next, false, 0).is_none());
    origin.publish(key("a@z1"), None).expect("it is there");
    carry(&mut origin, &mut all);
    let told = all[0].answer(&next, false, 0).expect("a change");
    assert_eq!((told.whole, told.documents.len()), (false, 1));
    assert!(told.documents[0].body.is_none(), "withdrawn");
    // What a host has of another machine is newer: it is told nothing older.
    let ahead = call("h1", interest(&["a"], "z1"), told.seq + 9);
    assert!(all[0].answer(&ahead, false, 0).is_none());
    assert!(all[0].answer(&ahead, true, 0).expect("its wait is over").documents.is_empty());
    // Four hosts have room, and a fifth once one is silent.
    for n in 2..=4 {
        all[0].hear(&call(&format!("h{n}"), interest(&["a"], "z1"), 0), 0).expect("room");
    }
    let fifth = call("h5", interest(&["a"], "z1"), 0);
    assert!(matches!(all[0].hear(&fifth, 0), Err(TurnedAway::Elsewhere(_))));
    all[0].hear(&fifth, 60_000).expect("the others are silent");
    let strange = call("h 6", interest(&["a"], "z1"), 0);
    assert!(matches!(all[0].hear(&strange, 0), Err(TurnedAway::Unfit(_))));
}

#[test]
fn documents_lie_over_one_another_and_a_long_one_is_refused_with_its_size() {
    let document = |text: &str, value: serde_json::Value| Document {
        key: key(text),
        generation: 1,
        body: Some(Body::new(&value.to_string()).expect("sound")),
    };
    let all = [
        document("a@z", json!({"x": 4})),
        document("*", json!({"x": 1, "y": {"p": 1, "q": 1}})),
        document("a", json!({"x": 3, "y": {"p": null}})),
        document("*@z", json!({"x": 2})),
    ];
    let base = json!({"name": "n", "y": {"r": 0}});
    assert_eq!(merged(&base, all.iter()), json!({"name": "n", "x": 4, "y": {"q": 1, "r": 0}}));
    let long = format!("{{\"x\":\"{}\"}}", "x".repeat(LONGEST_BODY));
    let why = Body::new(&long).expect_err("too long");
    assert!(why.contains(&format!("{} bytes, {LONGEST_BODY} at most", long.len())), "{why}");
    for bad in ["", "{", "[]", "3", "{} {}"] {
        assert!(Body::new(bad).is_err(), "{bad:?}");
    }
}

// ---- The host ----

fn machines(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("c{n}")).collect()
}

fn host(n: usize, count: usize) -> Host {
    let of = (0, Vec::new());
    Host::new(format!("h{n}"), interest(&["a"], "z"), &machines(count), of, 7)
}

/// What it calls first from `now` on, and when.
fn calls(host: &mut Host, mut now: Millis) -> (usize, Millis) {
    loop {
        match host.next(now) {
            Step::Call(machine) => return (machine, now),
            Step::Wait(until) => now = until,
            Step::Put(..) => panic!("nothing is to be put in force"),
        }
    }
}

#[test]
fn hosts_that_lose_a_machine_are_spread_over_the_others_and_over_time() {
    let count = 1200;
    let (mut first, mut second) = (vec![0; 4], vec![0; 4]);
    let mut times = Vec::new();
    for n in 0..count {
        let mut h = host(n, 4);
        let (machine, at) = calls(&mut h, 0);
        first[machine] += 1;
        assert!(at <= SPREAD);
        let told = Told { seq: 1, whole: true, documents: Vec::new() };
        assert!(h.answered(told, at).is_none());
        if machine == 2 {
            h.failed(true, 10_000);
            let (machine, at) = calls(&mut h, 10_000);
            second[machine] += 1;
            times.push(at - 10_000);
        }
    }
    let share = count / 4;
    assert!(first.iter().all(|n| (share * 8 / 10..=share * 12 / 10).contains(n)), "{first:?}");
    let share = first[2] / 3;
    let others = [second[0], second[1], second[3]];
    assert_eq!(second[2], 0);
    assert!(others.iter().all(|n| (share * 7 / 10..=share * 13 / 10).contains(n)), "{others:?}");
    times.sort_unstable();
    assert!(times[times.len() / 4] > SPREAD / 8 && times[times.len() - 1] <= SPREAD, "{times:?}");
}

#[test]
fn where_no_machine_answers_it_asks_on_with_bounded_pauses_and_comes_home_later() {
    let mut h = host(1, 3);
    let (home, mut now) = calls(&mut h, 0);
    let mut asked = vec![home];
    for _ in 0..30 {
        h.failed(false, now);
        let (machine, at) = calls(&mut h, now);
        assert!(at - now <= 2_000, "{}", at - now);
        asked.push(machine);
        now = at;
    }
    assert!((0..3).all(|n| asked.contains(&n)), "{asked:?}");
    // Away from home it serves, and tries home again.
    let mut h = host(1, 3);
    let (home, now) = calls(&mut h, 0);
    h.failed(false, now);
    let (away, mut now) = calls(&mut h, now);
    assert_ne!(away, home);
    let mut seq = 1;
    let came_home = loop {
        seq += 1;
        let told = Told { seq, whole: false, documents: Vec::new() };
        h.answered(told, now);
        now += 2_500;
        let (machine, at) = calls(&mut h, now);
        now = at;
        if machine == home {
            break now;
        }
        assert!(now < 60_000, "it never comes home");
    };
    assert!(came_home > 10_000, "not at once: {came_home}");
}

#[test]
fn what_is_older_is_never_put_in_force_and_what_was_declined_not_again() {
    let document = |generation| Document { key: key("a"), generation, body: body(generation) };
    let mut h = host(1, 2);
    let (_, now) = calls(&mut h, 0);
    let told = |seq, whole, documents| Told { seq, whole, documents };
    let put = h.answered(told(5, true, vec![document(5)]), now).expect("new");
    assert_eq!(put.0, 5);
    h.put(5, Put::Done, now);
    assert_eq!(h.call().in_force, 5);
    // A machine that is behind, or has lost its disk.
    assert!(h.answered(told(3, true, vec![document(3)]), now).is_none());
    assert!(h.answered(told(0, true, Vec::new()), now).is_none());
    assert_eq!((h.call().in_force, h.documents().count()), (5, 1));
    // Declined: it is told with each call, and not tried again before something else comes.
    assert!(h.answered(told(6, false, vec![document(6)]), now).is_some());
    h.put(6, Put::Declined("classes[1].aim".into()), now);
    assert_eq!(h.call().declined, Some((6, "classes[1].aim".into())));
    assert!(h.answered(told(7, false, Vec::new()), now).is_none());
    assert_eq!((h.call().in_force, h.call().from), (5, 7));
    assert!(h.answered(told(8, false, vec![document(8)]), now).is_some());
    h.put(8, Put::Later("another rollout runs".into()), now);
    // Not done for a reason that passes: it is tried again by itself.
    assert!(matches!(h.next(now + 10_000), Step::Put(8, documents) if documents.len() == 1));
    h.put(8, Put::Done, now + 10_000);
    assert_eq!((h.call().in_force, h.call().declined), (8, None));
    // A host that was started anew keeps what its disk or its sidecar says.
    let mut h = Host::new("h".into(), interest(&["a"], "z"), &machines(2), (9, Vec::new()), 1);
    let (_, now) = calls(&mut h, 0);
    assert!(h.answered(told(8, true, vec![document(8)]), now).is_none());
    assert!(h.answered(told(9, true, vec![document(8)]), now).is_some());
}

// ---- The sums ----

fn summary(member: &str, hosts: &[&str], zone: Zone) -> Summary {
    let arrived =
        hosts.iter().map(|h| Arrival { host: (*h).to_owned(), zone: "z".to_owned(), silent_ms: 0 });
    Summary {
        member: member.to_owned(),
        committed: 9,
        zones: [("z".to_owned(), zone)].into(),
        arrived: arrived.collect(),
        ..Summary::default()
    }
}

#[test]
fn a_host_counts_once_wherever_it_is_and_as_not_reached_with_its_machine() {
    let machines = ["m0".to_owned(), "m1".to_owned()];
    let mut tally = Tally::default();
    let of = |hosts, in_force, lowest| Zone { hosts, in_force, lowest, ..Zone::default() };
    tally.take(summary("m0", &["a", "b"], of(2, 2, None)), 0);
    tally.take(summary("m1", &["c"], of(1, 0, Some(7))), 0);
    let total = tally.total(machines.iter(), 0);
    assert_eq!((total.all.hosts, total.all.in_force, total.not_reached), (3, 2, 0));
    assert!(total.in_force(7) && !total.in_force(8));
    // One goes to the other machine: the first is told, and no longer counts it.
    tally.take(summary("m1", &["b"], of(2, 2, None)), 100);
    let elsewhere = tally.take(summary("m0", &[], of(2, 2, None)), 200);
    assert_eq!(elsewhere, ["b"]);
    tally.take(summary("m0", &[], of(1, 1, None)), 300);
    let total = tally.total(machines.iter(), 300);
    assert_eq!((total.all.hosts, total.all.in_force), (3, 3));
    assert!(total.in_force(9) && !total.in_force(10));
    // A machine that says nothing: its hosts are named, and nothing is said to be in force.
    tally.take(summary("m1", &[], of(2, 2, None)), 20_000);
    let total = tally.total(machines.iter(), 20_000);
    assert_eq!((total.all.hosts, total.all.in_force, total.not_reached), (3, 2, 1));
    assert_eq!(total.silent_machines, ["m0"]);
    assert_eq!(total.behind[0].host, "a");
    assert!(!total.in_force(9));
}

/// Found in a scale run: an origin that had just begun was told of old rows after new ones, and took these hosts for
/// the wrong machine's; the desk counted 23 to 31 of 4,824 hosts twice.
#[test]
fn an_origin_that_has_just_begun_takes_a_host_for_whose_call_was_the_last() {
    let machines = ["m0".to_owned(), "m1".to_owned()];
    let mut tally = Tally::default();
    let of = |hosts, in_force, lowest| Zone { hosts, in_force, lowest, ..Zone::default() };
    assert!(tally.take(summary("m1", &["a"], of(1, 1, None)), 50_000).is_empty());
    let mut old = summary("m0", &["a", "b"], of(2, 1, Some(3)));
    old.arrived[0].silent_ms = 9_000;
    assert_eq!(tally.take(old, 50_100), ["a"]);
    // The right one is not told to let it go.
    assert!(tally.take(summary("m1", &[], of(1, 1, None)), 50_200).is_empty());
    tally.take(summary("m0", &[], of(1, 1, None)), 50_300);
    let total = tally.total(machines.iter(), 50_300);
    assert_eq!((total.all.hosts, total.all.in_force), (2, 2));
    assert!(total.in_force(9));
}
