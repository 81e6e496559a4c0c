//! One member's part in the tier.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::leases::{Demand, Lease, REPEATED, lease, repeats};
use crate::links::{Hearing, Link, Values};
use crate::members::{Members, Presence, Record};
use crate::note::{Carries, MOST_CLASSES, MOST_CLUBS, MOST_VALUES, Note, PLAIN, Refused};
use crate::rates::Rates;
use crate::rings::neighbours;
use crate::{MOST_MEMBERS, Micros};

/// A link is silent after so many turns. On each link somebody asks every eight turns at the most.
const SILENT: Micros = 40;
/// Every so manyth turn is a silent link's: somebody may be there again.
const SELDOM: u64 = 4;
/// Estimates are a running mean over so many turns.
///
/// Danger: what is counted here goes into this member's own estimate at once, and takes some exchanges to spread;
/// taken as it is, a busy member would believe that all the others are as busy. Harmful to whoever needs to know
/// of a sudden change within less.
const MEAN: f64 = 3.0;
/// Who asked waits so long for its answer before it asks anybody else: a note takes 39 ms at the most, each way.
const ANSWERED: Micros = 80_000;
/// Records in a note where little is new: they are for members, not for size.
const RECORDS: usize = 6;
/// Repeats may be saved up for so many seconds, and one always: one failure among many good requests is repeated.
const SAVED: f64 = 0.5;

/// The places of the values.
const LINKS: usize = 0;
const ATTEMPTS: usize = 1;
const REPEATS: usize = 2;
const REFUSED: usize = 3;
const FAILED: usize = 4;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its number.
    pub me: u32,
    /// The tier's stated size; every number is below it.
    pub size: u32,
    /// When it started, by its own clock, in milliseconds of Unix time.
    pub start_ms: u64,
    /// Between two of its notes.
    pub turn: Micros,
    /// Clubs: their names' hash, and their quotas, a second.
    pub clubs: (u16, Vec<f64>),
    /// How many classes of requests there are.
    pub classes: usize,
    /// For what is drawn.
    pub seed: u64,
}

/// Something that happens at this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happened {
    /// An attempt goes out.
    Attempt,
    /// It is a repeat of an earlier one.
    Repeat,
    /// A request is refused.
    Refused,
    /// A request has failed.
    Failed,
    /// An attempt has failed that a repeat might mend.
    Broke,
}

/// What a member may repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// For each request that comes, so many repeats.
    pub share: f64,
    /// So many may be saved up.
    pub saved: f64,
}

/// What a member knows of a club.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClubView {
    /// Requests a second at all that share what they know.
    pub asked: f64,
    /// Of them here.
    pub own: f64,
    /// The quota, a second.
    pub quota: f64,
    /// The part of it that may be spent here, a second.
    pub lease: f64,
    /// Spent of it, and asked beyond it, since the start.
    pub spent: (u64, u64),
}

/// What a member knows of the tier.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Its own incarnation.
    pub incarnation: u32,
    /// Members with which it shares what they know, itself among them, by any way.
    pub reach: f64,
    /// Members that the table has as there, and as gone.
    pub members: (usize, usize),
    /// Links that are up, and all.
    pub links: (usize, usize),
    /// The age of what was last heard, over any link.
    pub age: Option<Micros>,
    /// At all that share what they know, a second.
    pub attempts: f64,
    /// Of them repeats.
    pub repeats: f64,
    /// Requests refused.
    pub refused: f64,
    /// Requests failed.
    pub failed: f64,
    /// Attempts that failed and might be mended by a repeat.
    pub broke: f64,
    /// What this member may repeat.
    pub budget: Budget,
    /// Requests by class.
    pub classes: Vec<f64>,
    /// By club.
    pub clubs: Vec<ClubView>,
    /// Notes sent, taken in, passed over as spoilt or short, and passed over as old.
    pub notes: [u64; 4],
}

/// One member's part.
#[derive(Debug)]
pub struct Tier {
    config: Config,
    rng: Pcg64Mcg,
    /// Which start of this member it is, to its links: rises with every start, as far as anyone remembers.
    life: u32,
    members: Members,
    links: Vec<Link>,
    rates: Rates,
    own: Values,
    /// Estimates just after exchanges, as a running mean, and when the last was.
    mean: Values,
    mean_at: Option<Micros>,
    leases: Vec<Lease>,
    budget: Budget,
    /// The next turn, unless an answer is waited for until later.
    due: Micros,
    turns: u64,
    /// Whom it has asked, and until when it waits for the answer.
    asking: Option<(u32, Micros)>,
    notes: [u64; 4],
}

/// Eighths of a second since 2025, from milliseconds of Unix time; 1 at the least.
fn incarnation(unix_ms: u64) -> u32 {
    u32::try_from(unix_ms.saturating_sub(1_735_689_600_000) / 125).unwrap_or(u32::MAX / 2).max(1)
}

impl Tier {
    /// A member that has heard nothing yet.
    ///
    /// # Errors
    ///
    /// What was expected instead.
    pub fn new(mut config: Config, now: Micros) -> Result<Tier, String> {
        if config.size > MOST_MEMBERS || config.me >= config.size {
            return Err(format!(
                "a number below the tier's size, {MOST_MEMBERS} at most, expected"
            ));
        }
        if config.turn < 1_000 {
            return Err("a turn of a millisecond or more expected".to_owned());
        }
        config.clubs.1.truncate(MOST_CLUBS);
        config.classes = config.classes.min(MOST_CLASSES);
        let life = incarnation(config.start_ms);
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed ^ u64::from(config.me) << 32);
        let beside = neighbours(config.size);
        let alone = |quota: &f64| Lease::new(quota / f64::from(config.size), now);
        Ok(Tier {
            links: beside[config.me as usize]
                .iter()
                .map(|peer| Link::new(config.me, *peer))
                .collect(),
            members: Members::new(config.me, beside, life, now),
            life,
            rates: Rates::new(MOST_VALUES, now),
            own: [0.0; MOST_VALUES],
            mean: [0.0; MOST_VALUES],
            mean_at: None,
            leases: config.clubs.1.iter().map(alone).collect(),
            budget: Budget { share: REPEATED, saved: 1.0 },
            // All start at once: their first turns are spread over one.
            due: now + rng.next_u64() % config.turn,
            turns: rng.next_u64() % SELDOM,
            asking: None,
            notes: [0; 4],
            rng,
            config,
        })
    }

    /// Other quotas from now on, and other clubs.
    pub fn reconfigure(&mut self, clubs: (u16, Vec<f64>), now: Micros) {
        let before = std::mem::replace(&mut self.config.clubs, clubs);
        self.config.clubs.1.truncate(MOST_CLUBS);
        if before.0 != self.config.clubs.0 || before.1.len() != self.config.clubs.1.len() {
            self.rates = Rates::new(MOST_VALUES, now);
            self.links.iter_mut().for_each(Link::forget);
            let size = f64::from(self.config.size);
            let alone = |quota: &f64| Lease::new(quota / size, now);
            self.leases = self.config.clubs.1.iter().map(alone).collect();
            // What was known of other clubs says nothing of these.
            self.mean[PLAIN..].fill(0.0);
            self.mean_at = None;
        }
        self.take_stock(now);
    }

    /// When something is to be done next, unless an answer comes before.
    pub fn due(&self) -> Micros {
        self.asking.map_or(self.due, |(_, until)| self.due.max(until))
    }

    /// Does what is due: whom to tell, and what.
    pub fn turn(&mut self, now: Micros) -> Option<(u32, Vec<u8>)> {
        if now < self.due() {
            return None;
        }
        self.asking = None;
        // From nine tenths to eleven: nobody stays in step with anybody.
        let turn = self.config.turn;
        self.due = now + turn * 9 / 10 + self.rng.next_u64() % (turn / 5).max(1);
        self.turns += 1;
        self.take_stock(now);
        self.members.pass(now);
        let silent = self.silent();
        for link in &self.links {
            // Who was never heard of is not missed.
            if link.incarnation() != 0 && link.hearing(now, silent) == Hearing::Silent {
                self.members.suspect(link.peer, now);
            }
        }
        // One after the other; now and then one that is silent. Who hears nobody speaks to all.
        let all = || 0..self.links.len();
        let quiet = |n: &usize| self.links[*n].hearing(now, silent) == Hearing::Silent;
        let asked = all().filter(|n| self.links[*n].asks() && !quiet(n));
        let asked = asked.min_by_key(|n| self.links[*n].turn());
        let quiet = all().filter(quiet).min_by_key(|n| self.links[*n].told_at());
        let seldom = self.turns.is_multiple_of(SELDOM);
        let peer = if seldom { quiet.or(asked) } else { asked.or(quiet) }?;
        let to = self.links[peer].peer;
        if Some(peer) == asked {
            self.asking = Some((to, now + ANSWERED));
        }
        Some((to, self.write(peer, now)))
    }

    fn write(&mut self, n: usize, now: Micros) -> Vec<u8> {
        let (estimate, values) = (self.estimate(), self.class(self.config.classes));
        let link = &mut self.links[n];
        let mut note = link.write(self.life, self.config.clubs.0, values, &estimate, now);
        note.records = self.members.records(link.peer, RECORDS, Note::room(values));
        self.notes[0] += 1;
        note.bytes()
    }

    /// Takes in what has come from a peer. What comes out is for that peer.
    pub fn hear(&mut self, from: u32, data: &[u8], now: Micros) -> Option<Vec<u8>> {
        let note = match Note::read(data) {
            Ok(note) => note,
            Err(Refused::Foreign) => return None,
            Err(Refused::Short | Refused::Spoilt) => {
                self.notes[2] += 1;
                return None;
            }
        };
        let estimate = self.estimate();
        let shape = self.config.clubs.0;
        let Some(n) = self.links.iter().position(|l| l.peer == from) else {
            self.notes[3] += 1;
            return None;
        };
        // Danger: an incarnation from the far future would shut out the true ones after it.
        let here =
            Record { who: from as u16, incarnation: note.incarnation, presence: Presence::Alive };
        self.members.take(here, now);
        let known = self.members.record(from).map_or(0, |r| r.incarnation);
        // Danger: a member whose clock is behind what it was at an earlier start would never be heard.
        if note.to > self.life && self.members.may_be(note.to, now) {
            self.life = note.to + 1;
            self.members.rise(self.life, now);
            self.links.iter_mut().for_each(Link::forget);
        }
        if known < note.incarnation || !self.links[n].read(&note, self.life, shape, &estimate, now)
        {
            self.notes[3] += 1;
            return None;
        }
        self.notes[1] += 1;
        self.members.vouch(from, now);
        for record in &note.records {
            self.members.take(*record, now);
        }
        let silent = self.silent();
        self.links[n].pass(now, silent);
        if self.asking.is_some_and(|(asked, _)| asked == from) {
            self.asking = None;
        }
        if self.links[n].is_up() {
            self.exchanged(now);
        }
        // Only what asks is answered, so no answer brings forth another.
        (note.carries == Carries::Estimate && !self.links[n].asks()).then(|| self.write(n, now))
    }

    /// Where in the values the failed attempts stand, and behind them each class.
    fn broke(&self) -> usize {
        PLAIN + self.config.clubs.1.len()
    }

    fn class(&self, n: usize) -> usize {
        self.broke() + 1 + n
    }

    /// A request of a class and of a club's comes in here. False: it is beyond what may be spent of the club's quota. Of a club
    /// that is not shared, all may be.
    pub fn asked(&mut self, class: usize, club: usize, now: Micros) -> bool {
        if class < self.config.classes {
            self.rates.one(self.class(class), now);
        }
        if club >= self.leases.len() {
            return true;
        }
        self.rates.one(PLAIN + club, now);
        self.leases[club].spend(now)
    }

    /// Something happens here.
    pub fn happened(&mut self, what: Happened, now: Micros) {
        let place = match what {
            Happened::Attempt => ATTEMPTS,
            Happened::Repeat => REPEATS,
            Happened::Refused => REFUSED,
            Happened::Failed => FAILED,
            Happened::Broke => self.broke(),
        };
        self.rates.one(place, now);
    }

    /// What this member may repeat, as it stood at its last turn.
    pub fn budget(&self) -> Budget {
        self.budget
    }

    fn demand(&self, of: &Values) -> Demand {
        let requests = of[self.class(0)..self.class(self.config.classes)].iter().sum();
        Demand { requests, failed: of[self.broke()] }
    }

    /// Takes the estimate as it is after an exchange into the mean.
    fn exchanged(&mut self, now: Micros) {
        let estimate = self.estimate();
        let part = match self.mean_at {
            None => 1.0,
            Some(at) => {
                let turns = now.saturating_sub(at) as f64 / self.config.turn as f64;
                1.0 - (-turns / MEAN).exp()
            }
        };
        for (mean, value) in self.mean.iter_mut().zip(&estimate) {
            *mean += part * (value - *mean);
        }
        self.mean_at = Some(now);
    }

    /// After so long a link is silent. Whoever waits for answers has its turns no sooner than these come.
    fn silent(&self) -> Micros {
        SILENT * self.config.turn.max(ANSWERED / 2)
    }

    /// Own values, links and leases as they are now.
    fn take_stock(&mut self, now: Micros) {
        let silent = self.silent();
        self.links.iter_mut().for_each(|link| link.pass(now, silent));
        self.rates.pass(now);
        for (place, value) in self.own.iter_mut().enumerate().skip(1) {
            *value = self.rates.per_s(place);
        }
        let up = self.links.iter().filter(|l| l.is_up()).count();
        self.own[LINKS] = up as f64 / self.links.len().max(1) as f64;
        if up == 0 {
            (self.mean, self.mean_at) = (self.own, None);
        }
        let (estimate, reach) = (self.mean, self.reach());
        let size = f64::from(self.config.size);
        for (n, (quota, held)) in self.config.clubs.1.iter().zip(&mut self.leases).enumerate() {
            let total = reach * estimate[PLAIN + n];
            held.set(lease(*quota, self.own[PLAIN + n], total, reach, size), now);
        }
        let (own, mean) = (self.demand(&self.own), self.demand(&estimate));
        let all = Demand { requests: reach * mean.requests, failed: reach * mean.failed };
        let may = repeats(own, all, reach);
        // Of one that was asked nothing lately, whatever comes next is its first.
        let share = if own.requests > 0.0 { (may / own.requests).min(1.0) } else { REPEATED };
        self.budget = Budget { share, saved: (may * SAVED).max(1.0) };
    }

    /// The mean over all that share what they know.
    fn estimate(&self) -> Values {
        let mut estimate = self.own;
        for link in self.links.iter().filter(|l| l.is_up()) {
            for (value, flow) in estimate.iter_mut().zip(link.flow()) {
                *value -= flow;
            }
        }
        estimate
    }

    /// How many share what they know.
    fn reach(&self) -> f64 {
        if !self.links.iter().any(Link::is_up) {
            return 1.0;
        }
        let size = f64::from(self.config.size);
        (1.0 + (size - 1.0) * self.mean[LINKS]).clamp(1.0, size)
    }

    /// What is known now.
    pub fn view(&mut self, now: Micros) -> View {
        self.take_stock(now);
        let (estimate, reach) = (self.mean, self.reach());
        let all = |place: usize| (reach * estimate[place]).max(0.0);
        let club = |(n, (quota, lease)): (usize, (&f64, &Lease))| ClubView {
            asked: all(PLAIN + n),
            own: self.own[PLAIN + n],
            quota: *quota,
            lease: lease.per_s(),
            spent: lease.spent(),
        };
        View {
            incarnation: self.members.incarnation(),
            reach,
            members: self.members.counts(),
            links: (self.links.iter().filter(|l| l.is_up()).count(), self.links.len()),
            age: self
                .links
                .iter()
                .filter_map(Link::heard_at)
                .max()
                .map(|at| now.saturating_sub(at)),
            attempts: all(ATTEMPTS),
            repeats: all(REPEATS),
            refused: all(REFUSED),
            failed: all(FAILED),
            broke: all(self.broke()),
            budget: self.budget,
            classes: (0..self.config.classes).map(|n| all(self.class(n))).collect(),
            clubs: self.config.clubs.1.iter().zip(&self.leases).enumerate().map(club).collect(),
            notes: self.notes,
        }
    }

    /// What is known of every member: how it is, and for how long.
    pub fn members(&self, now: Micros) -> Vec<(Record, Micros)> {
        let of = |who| {
            let since = self.members.since(who)?;
            Some((self.members.seen(who)?, now.saturating_sub(since)))
        };
        (0..self.config.size).filter_map(of).collect()
    }
}
