//! A tier on a virtual clock: every member is the real one, notes take their time and get lost, clocks differ.

#![allow(dead_code, reason = "each user needs a part of it")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use gossip::{Config, Happened, Micros, Tier, View};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A second.
pub const S: Micros = 1_000_000;
const UNIX_MS: u64 = 1_790_000_000_000;
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Turn(usize, u64),
    Ask(usize, usize, u64),
    Arrive(usize, usize, Vec<u8>),
}

/// A tier.
pub struct World {
    pub now: Micros,
    pub members: Vec<Option<Tier>>,
    /// What each asks of each club, a second.
    pub asks: Vec<Vec<f64>>,
    /// Notes pass within a group alone.
    pub group: Vec<u8>,
    /// Who hears nothing, and who is not heard.
    pub deaf: Vec<bool>,
    pub mute: Vec<bool>,
    pub loss: f64,
    pub twice: f64,
    /// Spent within leases, by club.
    pub spent: Vec<u64>,
    pub asked: Vec<u64>,
    /// By member, the share of its attempts that break; how many broke, and how many of these were repeated.
    pub breaks: Vec<f64>,
    pub broke: Vec<u64>,
    pub repeated: Vec<u64>,
    /// By member, the repeats that it has saved up.
    saved: Vec<f64>,
    pub bytes: u64,
    /// By member, how far its clock is ahead, in milliseconds.
    pub ahead: Vec<i64>,
    config: Config,
    lives: Vec<u64>,
    /// The number of each member's next turn among all that is queued: earlier ones are put off.
    turns: Vec<u64>,
    queue: BinaryHeap<Reverse<(Micros, u64, What)>>,
    next: u64,
    /// A hash of what was sent so far, and when (FNV-1a).
    trace: u64,
    pub rng: Pcg64Mcg,
}

impl World {
    /// So many members, not started. Asks are none.
    pub fn new(size: u32, quotas: &[f64], turn: Micros, seed: u64) -> World {
        let n = size as usize;
        let config = Config {
            me: 0,
            size,
            start_ms: 0,
            turn,
            clubs: (7, quotas.to_vec()),
            classes: 2,
            seed,
        };
        World {
            now: 0,
            members: (0..n).map(|_| None).collect(),
            asks: vec![vec![0.0; quotas.len()]; n],
            group: vec![0; n],
            deaf: vec![false; n],
            mute: vec![false; n],
            loss: 0.0,
            twice: 0.0,
            spent: vec![0; quotas.len()],
            asked: vec![0; quotas.len()],
            breaks: vec![0.0; n],
            broke: vec![0; n],
            repeated: vec![0; n],
            saved: vec![0.0; n],
            bytes: 0,
            ahead: vec![0; n],
            config,
            lives: vec![0; n],
            turns: vec![0; n],
            queue: BinaryHeap::new(),
            next: 0,
            trace: FNV_BASIS,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    pub fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A member's own clock.
    fn clock(&self, n: usize) -> Micros {
        (60 * S + self.now).saturating_add_signed(self.ahead[n] * 1000)
    }

    pub fn start(&mut self, n: usize) {
        let start_ms = (UNIX_MS + self.now / 1000).saturating_add_signed(self.ahead[n]);
        let config =
            Config { me: n as u32, start_ms, seed: self.rng.next_u64(), ..self.config.clone() };
        let tier = Tier::new(config, self.clock(n)).expect("sound");
        self.members[n] = Some(tier);
        self.lives[n] += 1;
        self.turn_later(n);
        for club in 0..self.asks[n].len() {
            self.ask_later(n, club);
        }
    }

    pub fn start_all(&mut self) {
        (0..self.members.len()).for_each(|n| self.start(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.members[n] = None;
        self.lives[n] += 1;
    }

    fn push(&mut self, at: Micros, what: What) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, what)));
    }

    fn turn_later(&mut self, n: usize) {
        let clock = self.clock(n);
        let due = self.members[n].as_ref().map_or(clock, Tier::due);
        self.turns[n] = self.next + 1;
        self.push(self.now + due.saturating_sub(clock), What::Turn(n, self.lives[n]));
    }

    fn ask_later(&mut self, n: usize, club: usize) {
        // Who asks nothing now is looked at again.
        let rate = self.asks[n][club];
        let pause = if rate > 0.0 { (-self.draw().max(1e-12).ln() / rate).min(1.0) } else { 0.05 };
        let at = self.now + (pause * S as f64) as Micros;
        let asks = rate > 0.0 && pause < 1.0;
        self.push(at, What::Ask(n, if asks { club } else { club + 1000 }, self.lives[n]));
    }

    /// Plays on until then.
    pub fn play(&mut self, until: Micros) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, number, what))) = self.queue.pop() else { break };
            self.now = at;
            match what {
                What::Turn(n, life) if self.lives[n] == life && self.turns[n] == number => {
                    let clock = self.clock(n);
                    let note = self.members[n].as_mut().and_then(|m| m.turn(clock));
                    if let Some((to, data)) = note {
                        self.send(n, to as usize, data);
                    }
                    self.turn_later(n);
                }
                What::Ask(n, club, life) if self.lives[n] == life => {
                    let clock = self.clock(n);
                    let breaks = self.breaks[n] > 0.0 && self.draw() < self.breaks[n];
                    if club < 1000
                        && let Some(member) = &mut self.members[n]
                    {
                        member.happened(Happened::Attempt, clock);
                        self.asked[club] += 1;
                        self.spent[club] += u64::from(member.asked(0, club, clock));
                        let budget = member.budget();
                        self.saved[n] = (self.saved[n] + budget.share).min(budget.saved);
                        if breaks {
                            member.happened(Happened::Broke, clock);
                            self.broke[n] += 1;
                            let again = self.saved[n] >= 1.0;
                            self.saved[n] -= f64::from(u8::from(again));
                            self.repeated[n] += u64::from(again);
                        }
                    }
                    self.ask_later(n, club % 1000);
                }
                What::Arrive(from, to, data) => {
                    let clock = self.clock(to);
                    if let Some(member) = &mut self.members[to] {
                        self.bytes += data.len() as u64;
                        if let Some(answer) = member.hear(from as u32, &data, clock) {
                            self.send(to, from, answer);
                        }
                        // Who has its answer may go on.
                        self.turn_later(to);
                    }
                }
                _ => {}
            }
        }
        self.now = until;
    }

    fn send(&mut self, from: usize, to: usize, data: Vec<u8>) {
        self.trace(&self.now.to_le_bytes());
        self.trace(&[from as u64, to as u64].map(u64::to_le_bytes).concat());
        self.trace(&data);
        let copies = 1 + usize::from(self.draw() < self.twice);
        for _ in 0..copies {
            let lost = self.draw() < self.loss;
            if lost || self.mute[from] || self.deaf[to] || self.group[from] != self.group[to] {
                continue;
            }
            // As the platform's notes: 1.1 to 39 ms.
            let delay = 1_100 + (self.draw() * 37_900.0) as Micros;
            self.push(self.now + delay, What::Arrive(from, to, data.clone()));
        }
    }

    fn trace(&mut self, data: &[u8]) {
        self.trace =
            data.iter().fold(self.trace, |h, b| (h ^ u64::from(*b)).wrapping_mul(FNV_PRIME));
    }

    /// The hash of all that was sent so far, of when, and of the figures of some views.
    pub fn hash(&mut self, views: &[View]) -> u64 {
        for view in views {
            for club in &view.clubs {
                for figure in [club.asked, club.own, club.lease] {
                    self.trace(&figure.to_bits().to_le_bytes());
                }
                self.trace(&club.spent.0.to_le_bytes());
                self.trace(&club.spent.1.to_le_bytes());
            }
            for figure in [view.reach, view.attempts, view.budget.share, view.budget.saved] {
                self.trace(&figure.to_bits().to_le_bytes());
            }
            self.trace(&(view.members.0 as u64).to_le_bytes());
            self.trace(&(view.links.0 as u64).to_le_bytes());
        }
        self.trace
    }

    /// A note of this world's, as if it came from there.
    pub fn forge(&mut self, from: usize, to: usize, data: Vec<u8>) {
        self.push(self.now, What::Arrive(from, to, data));
    }

    pub fn view(&mut self, n: usize) -> View {
        let clock = self.clock(n);
        self.members[n].as_mut().expect("it is there").view(clock)
    }

    pub fn alive(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|n| self.members[*n].is_some()).collect()
    }

    /// The views of all that are there.
    pub fn views(&mut self) -> Vec<View> {
        self.alive().into_iter().map(|n| self.view(n)).collect()
    }
}

/// How far some figures are from the true one, as shares of it: what 19 of 20 are within, and the most.
pub fn off(figures: impl Iterator<Item = f64>, truth: f64) -> (f64, f64) {
    let mut all: Vec<f64> =
        figures.map(|f| (f - truth).abs() / truth.max(f64::MIN_POSITIVE)).collect();
    all.sort_by(f64::total_cmp);
    let last = all.len().saturating_sub(1);
    (all.get(last * 19 / 20).copied().unwrap_or(0.0), all.last().copied().unwrap_or(0.0))
}
