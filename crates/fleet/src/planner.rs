//! What to do next. Facts and time go in, actions come out; nothing here does I/O or reads a clock.
//!
//! Every look compares the facts as they are with the desired state and names the next steps, so a step that
//! failed, an answer that was lost and a daemon that died are one case: the facts still differ.
//! What is remembered between looks is what the facts cannot tell: which orders each process was given and
//! when, how often a slot failed, and how far a rollout is. All of it may be lost at any time.
//!
//! Words: a *slot* is one instance by name; at most one process serves it, but for the moments of a
//! handover. A *generation* numbers what the instances are to run: configuration and program.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::stall::Stall;

/// Numbers what the instances are to run.
pub type Generation = u64;

/// One process, by a number that is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcId(pub u64);

/// Requests by their final answer, since a process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// All of them.
    pub all: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that were refused.
    pub refused: u64,
}

impl Counts {
    fn since(self, before: Counts) -> Counts {
        Counts {
            all: self.all.saturating_sub(before.all),
            failed: self.failed.saturating_sub(before.failed),
            refused: self.refused.saturating_sub(before.refused),
        }
    }

    fn add(&mut self, more: Counts) {
        self.all += more.all;
        self.failed += more.failed;
        self.refused += more.refused;
    }

    fn share(self, part: u64) -> f64 {
        part as f64 / self.all.max(1) as f64
    }
}

/// One process as it is.
#[derive(Clone, Debug)]
pub struct Proc {
    /// Its number.
    pub id: ProcId,
    /// Whose it is.
    pub slot: String,
    /// What it runs, by its own report; before the first, what it was started with.
    pub generation: Generation,
    /// The program that it runs.
    pub program: u64,
    /// When it was started, or found.
    pub started: Duration,
    /// When it last reported; when it was started, before that.
    pub last_report: Duration,
    /// It reports that it serves.
    pub ready: bool,
    /// It reports that it only answers what it has.
    pub leaving: bool,
    /// The generation that it reports not to take over live.
    pub declined: Option<Generation>,
    /// It was found, not started, and has not reported: what it runs is not known yet.
    pub found: bool,
    /// The operator wants another in its place.
    pub unwanted: bool,
    /// What it answered.
    pub counts: Counts,
    /// It is silent, and the system's figures show that it hangs.
    pub stall: Option<Stall>,
}

/// What is desired.
#[derive(Clone, Debug, Default)]
pub struct Desired {
    /// The slots that are to be served.
    pub slots: BTreeSet<String>,
    /// Of them those that only the target can configure.
    pub new: BTreeSet<String>,
    /// Slots beside them that the base has and the target has not.
    pub old: BTreeSet<String>,
    /// What all are to run.
    pub target: Generation,
    /// What is known to be good; the same as the target if there is nothing to rollout.
    pub base: Generation,
    /// The target's program.
    pub program: u64,
    /// The base's program.
    pub base_program: u64,
    /// Slots that cannot be started now, for a reason outside of them.
    pub blocked: BTreeSet<String>,
    /// Everything is to end.
    pub stopping: bool,
    /// At once.
    pub hurry: bool,
}

/// How the fleet is run.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Rules {
    /// The share of the slots that may be in a move at once.
    pub share: f64,
    /// How many go ahead of the others.
    pub canaries: usize,
    /// How long they are watched.
    pub watch: Duration,
    /// By how much the share of failures may exceed that of the rest.
    pub margin: f64,
    /// By how much the share of refusals may exceed that of the rest.
    pub refusal_margin: f64,
    /// Requests that canaries and rest need each, to be compared.
    pub least_requests: u64,
    /// How long a process may take to be ready.
    pub ready_within: Duration,
    /// How long a live reload may take to be reported.
    pub reload_within: Duration,
    /// How long a process may take to end when ordered.
    pub drain_within: Duration,
    /// A process that reports nothing for so long is hung.
    pub silent_after: Duration,
    /// One that reports nothing for so long, and of which the system shows that it hangs, is hung.
    pub hung_after: Duration,
    /// The pause after a second failure in a row; it doubles with each. After a first there is none.
    pub first_pause: Duration,
    /// The longest pause.
    pub longest_pause: Duration,
    /// So many failures in a row, and a slot is held: tried at the longest pause alone.
    pub hold_after: u32,
    /// Having been up for so long, a process has not failed at its start.
    pub stable_after: Duration,
    /// Processes that may be starting at once.
    pub starting_at_once: usize,
}

impl Default for Rules {
    fn default() -> Rules {
        let s = Duration::from_secs;
        Rules {
            share: 0.1,
            canaries: 1,
            watch: s(5),
            margin: 0.05,
            refusal_margin: 0.25,
            least_requests: 20,
            ready_within: s(10),
            reload_within: s(2),
            drain_within: s(5),
            silent_after: s(5),
            hung_after: Duration::from_millis(900),
            first_pause: Duration::from_millis(200),
            longest_pause: s(30),
            hold_after: 6,
            stable_after: s(10),
            starting_at_once: 20,
        }
    }
}

/// What a note is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum About {
    /// All of it.
    Fleet,
    /// One instance.
    Slot(String),
    /// One generation.
    Generation(Generation),
}

/// One step.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a process of a slot.
    Start {
        /// Whose.
        slot: String,
        /// What it is to run.
        generation: Generation,
    },
    /// Give a process the configuration of a generation.
    Reload {
        /// Which.
        proc: ProcId,
        /// What it is to run.
        generation: Generation,
    },
    /// Its successor has the listener: it is to end when it has answered what it has.
    HandOver {
        /// Which.
        proc: ProcId,
    },
    /// It is to end, and nobody takes its place.
    Stop {
        /// Which.
        proc: ProcId,
    },
    /// It is to end now.
    Kill {
        /// Which.
        proc: ProcId,
    },
    /// All run the target: from now on it is the base.
    Settled {
        /// The target.
        generation: Generation,
    },
    /// The target is not good: the base is the target again.
    RollBack {
        /// The target.
        generation: Generation,
        /// Why.
        why: String,
    },
    /// For the operators.
    Note {
        /// To what.
        about: About,
        /// What happened.
        text: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    Reload(Generation),
    HandOver,
    Stop,
    Kill,
}

#[derive(Clone, Debug)]
struct Issued {
    order: Order,
    first: Duration,
    last: Duration,
}

#[derive(Clone, Debug)]
struct Seen {
    slot: String,
    generation: Generation,
    ready_since: Option<Duration>,
}

/// What is remembered of a slot.
#[derive(Clone, Debug, Default)]
struct Slot {
    failures: u32,
    not_before: Duration,
    last_failure: Option<String>,
}

#[derive(Clone, Debug)]
struct Rollout {
    target: Generation,
    base: Generation,
    since: Duration,
    canaries: BTreeSet<String>,
    /// All canaries are ready on the target since then, and what each process had answered then.
    watching: Option<(Duration, BTreeMap<ProcId, Counts>)>,
    waves: bool,
    /// Processes of the target that ended by themselves.
    crashed: usize,
    why: Option<String>,
    /// Slots that failed already before: they say nothing of the target.
    troubled: BTreeSet<String>,
}

/// How a slot is, for those who ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// It has failed too often and is tried rarely.
    Held,
    /// It waits to be started again.
    Waiting,
    /// Nothing is wrong with it.
    Fine,
}

/// How far a rollout is, for those who ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// What it leads to.
    pub target: Generation,
    /// The slots that went ahead.
    pub canaries: Vec<String>,
    /// The others follow.
    pub waves: bool,
}

/// Decides the next steps.
#[derive(Clone, Debug)]
pub struct Planner {
    rules: Rules,
    rng: SmallRng,
    slots: BTreeMap<String, Slot>,
    issued: BTreeMap<ProcId, Issued>,
    seen: BTreeMap<ProcId, Seen>,
    rollout: Option<Rollout>,
    /// The last look, and since when there was no long pause between two.
    last: Duration,
    awake: Duration,
}

/// Between two times that the same is said to a process that does not act on it.
const SAY_AGAIN: Duration = Duration::from_secs(1);
/// A canary with too few requests to be judged is watched for so many times as long.
const LONGER: u32 = 4;
/// In a hurry, what has not ended by then is killed.
const HURRY: Duration = Duration::from_millis(500);

impl Planner {
    /// A planner that remembers nothing. `seed` is for the jitter of pauses.
    pub fn new(rules: Rules, seed: u64) -> Planner {
        Planner {
            rules,
            rng: SmallRng::seed_from_u64(seed),
            slots: BTreeMap::new(),
            issued: BTreeMap::new(),
            seen: BTreeMap::new(),
            rollout: None,
            last: Duration::ZERO,
            awake: Duration::ZERO,
        }
    }

    /// From now on the fleet is run by these rules.
    pub fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// A start that did not come to a process.
    pub fn start_failed(&mut self, now: Duration, slot: &str, generation: Generation, why: &str) {
        self.failed(now, slot, generation, why.to_owned());
    }

    /// Forgets a slot's failures: the operator says to try again.
    pub fn reset_failures(&mut self, slot: &str) {
        self.slots.remove(slot);
    }

    /// How a slot is, and why it last failed.
    pub fn slot(&self, now: Duration, slot: &str) -> (SlotState, u32, Option<&str>) {
        let Some(s) = self.slots.get(slot) else { return (SlotState::Fine, 0, None) };
        let state = if s.failures >= self.rules.hold_after {
            SlotState::Held
        } else if s.not_before > now {
            SlotState::Waiting
        } else {
            SlotState::Fine
        };
        (state, s.failures, s.last_failure.as_deref())
    }

    /// How far a rollout is.
    pub fn progress(&self) -> Option<Progress> {
        self.rollout.as_ref().map(|r| Progress {
            target: r.target,
            canaries: r.canaries.iter().cloned().collect(),
            waves: r.waves,
        })
    }

    /// How many slots may be in a move at once.
    fn limit(&self, desired: &Desired) -> usize {
        ((desired.slots.len() as f64 * self.rules.share).ceil() as usize).max(1)
    }

    /// The next steps. They are to be carried out in order, before the next look.
    pub fn reconcile(&mut self, now: Duration, desired: &Desired, procs: &[Proc]) -> Vec<Action> {
        // Danger: a daemon that was stopped for a while, or whose clock jumped, has heard of nobody
        // meanwhile. Silence counts from where it looks again; else it would kill all at once.
        if now.saturating_sub(self.last) > self.rules.silent_after / 2 {
            self.awake = now;
        }
        self.last = now;
        let mut out = Vec::new();
        self.notice(now, desired, procs, &mut out);
        if desired.stopping {
            self.rollout = None;
            for p in procs {
                let patience = if desired.hurry { HURRY } else { self.rules.drain_within };
                let over = |t: &Issued| {
                    matches!(t.order, Order::Stop | Order::Kill)
                        && now.saturating_sub(t.first) >= patience
                };
                let over = self.issued.get(&p.id).is_some_and(over);
                let order = if over { Order::Kill } else { Order::Stop };
                self.issue(now, p, order, &mut out);
            }
            return out;
        }
        if let Some(why) = self.advance_rollout(now, desired, procs, &mut out) {
            self.rollout = None;
            out.push(Action::RollBack { generation: desired.target, why });
            return out;
        }
        if desired.target == desired.base || self.rollout.is_some() {
            self.slots_on(now, desired, procs, &mut out);
        }
        out
    }

    /// Whether a process was found and may yet report what it runs.
    fn unheard(&self, now: Duration, p: &Proc) -> bool {
        p.found && now.saturating_sub(p.started) <= self.rules.ready_within
    }

    // ---- What has changed ----

    /// Learns of processes that are new, ready or gone.
    fn notice(&mut self, now: Duration, desired: &Desired, procs: &[Proc], out: &mut Vec<Action>) {
        let here: BTreeMap<ProcId, &Proc> = procs.iter().map(|p| (p.id, p)).collect();
        let gone: Vec<ProcId> =
            self.seen.keys().filter(|id| !here.contains_key(id)).copied().collect();
        for id in gone {
            let issued = self.issued.remove(&id);
            let Some(seen) = self.seen.remove(&id) else { continue };
            let by_us = issued.is_some_and(|t| !matches!(t.order, Order::Reload(_)));
            if !by_us && !desired.stopping {
                let up = seen.ready_since.map(|t| now.saturating_sub(t));
                if up.is_some_and(|up| up >= self.rules.stable_after) {
                    self.slots.remove(&seen.slot);
                }
                let why = match up {
                    Some(up) => format!("ended {:.1} s after it was ready", up.as_secs_f64()),
                    None => "ended before it was ready".to_owned(),
                };
                out.push(Action::Note { about: About::Slot(seen.slot.clone()), text: why.clone() });
                self.failed(now, &seen.slot, seen.generation, why);
            }
        }
        for p in procs {
            let seen = self.seen.entry(p.id).or_insert_with(|| Seen {
                slot: p.slot.clone(),
                generation: p.generation,
                ready_since: None,
            });
            seen.generation = p.generation;
            let done = |t: &Issued| t.order == Order::Reload(p.generation);
            if self.issued.get(&p.id).is_some_and(done) {
                self.issued.remove(&p.id);
            }
            if p.ready {
                let since = *seen.ready_since.get_or_insert(now);
                if now.saturating_sub(since) >= self.rules.stable_after {
                    self.slots.remove(&p.slot);
                }
            }
        }
        self.slots.retain(|slot, _| desired.slots.contains(slot) || desired.old.contains(slot));
    }

    /// Counts a failure of a slot, and against the rollout if it is of its target.
    fn failed(&mut self, now: Duration, slot: &str, generation: Generation, why: String) {
        let jitter = self.rng.random_range(0.5..1.0);
        let of = self.slots.entry(slot.to_owned()).or_default();
        of.failures = of.failures.saturating_add(1);
        // One that has served for long and ended once is most likely no loop: its clients wait.
        let doubled = match of.failures {
            1 => Duration::ZERO,
            n => self.rules.first_pause.saturating_mul(1 << (n - 2).min(20)),
        };
        let held = of.failures >= self.rules.hold_after;
        let pause = if held { self.rules.longest_pause } else { doubled };
        of.not_before = now + pause.min(self.rules.longest_pause).mul_f64(jitter);
        let counts = |r: &&mut Rollout| r.target == generation && !r.troubled.contains(slot);
        if let Some(rollout) = self.rollout.as_mut().filter(counts) {
            rollout.crashed += 1;
            rollout.why = Some(format!("{slot}: {why}"));
        }
        of.last_failure = Some(why);
    }

    // ---- Rolls ----

    /// Where the rollout is; a reason if its target is not good.
    fn advance_rollout(
        &mut self,
        now: Duration,
        desired: &Desired,
        procs: &[Proc],
        out: &mut Vec<Action>,
    ) -> Option<String> {
        if desired.target == desired.base {
            self.rollout = None;
            return None;
        }
        // Danger: of what was found, the generation is known only once it reports. Judged before,
        // all of it would seem to run what it was started with.
        if self.rollout.is_none() && procs.iter().any(|p| self.unheard(now, p)) {
            return None;
        }
        let same = |r: &Rollout| r.target == desired.target && r.base == desired.base;
        if !self.rollout.as_ref().is_some_and(same) {
            self.rollout = Some(Rollout {
                target: desired.target,
                base: desired.base,
                since: now,
                canaries: self.choose(desired, procs),
                watching: None,
                waves: false,
                crashed: 0,
                why: None,
                troubled: self.slots.keys().cloned().collect(),
            });
        }
        let (limit, rules) = (self.limit(desired), self.rules.clone());
        // The slots that serve the target.
        let at_target = |p: &&Proc| p.generation == desired.target && !p.unwanted && p.ready;
        let serving: BTreeSet<&str> = procs
            .iter()
            .filter(|p| at_target(p) && self.stands(p))
            .map(|p| p.slot.as_str())
            .collect();
        let serving = |slot: &str| serving.contains(slot);
        let lonely =
            procs.iter().filter(|p| self.stands(p)).all(|p| p.generation == desired.target);
        let ahead = |r: &Rollout| r.canaries.iter().all(|s| serving(s));
        let all_ahead = self.rollout.as_ref().is_some_and(ahead);
        let rollout = self.rollout.as_mut()?;
        let counts = |s: &&String| !desired.blocked.contains(*s) && !rollout.troubled.contains(*s);
        let open = desired.slots.iter().filter(counts).filter(|s| !serving(s)).count();
        let allowed = if rollout.waves { limit.max(2) } else { 0 };
        if rollout.crashed > allowed {
            return Some(rollout.why.clone().unwrap_or_default());
        }
        if rollout.waves {
            // Where every slot is out of order, nothing speaks for the target yet.
            let shown = desired.slots.is_empty() || desired.slots.iter().any(|s| serving(s));
            if open == 0 && lonely && shown {
                out.push(Action::Settled { generation: desired.target });
            }
            return None;
        }
        match &rollout.watching {
            _ if desired.slots.is_empty() => {
                rollout.waves = true;
            }
            _ if rollout.canaries.is_empty() => {
                // None can be started; another look will choose.
                self.rollout = None;
            }
            None if all_ahead => {
                let counts = procs.iter().map(|p| (p.id, p.counts)).collect();
                rollout.watching = Some((now, counts));
            }
            None => {
                let patience = rules.ready_within + rules.reload_within;
                if now.saturating_sub(rollout.since) > patience {
                    let names: Vec<_> = rollout.canaries.iter().map(String::as_str).collect();
                    return Some(format!("{}: not ready in time", names.join(", ")));
                }
            }
            Some((since, before)) => {
                let (mut ahead, mut rest) = (Counts::default(), Counts::default());
                for p in procs.iter().filter(|p| !p.leaving) {
                    let counts = p.counts.since(before.get(&p.id).copied().unwrap_or_default());
                    let is_canary =
                        rollout.canaries.contains(&p.slot) && p.generation == desired.target;
                    if is_canary { &mut ahead } else { &mut rest }.add(counts);
                }
                let comparable = ahead.all >= rules.least_requests
                    && (rest.all >= rules.least_requests
                        || rollout.canaries.len() >= desired.slots.len());
                // Danger: refusals are an overloaded canary's right, and one that has just started
                // refuses more than the rest; so their margin is wide. One that refuses everything
                // is as bad as one that fails everything.
                let kinds = [
                    ("failed", ahead.failed, rest.failed, rules.margin),
                    ("were refused", ahead.refused, rest.refused, rules.refusal_margin),
                ];
                let worse = kinds.iter().find(|(_, of_ahead, of_rest, margin)| {
                    ahead.share(*of_ahead) > rest.share(*of_rest) + margin
                });
                if let (true, Some((how, of_ahead, of_rest, _))) = (comparable, worse) {
                    return Some(format!(
                        "{of_ahead} of {} requests {how} at the canary, {of_rest} of {} elsewhere",
                        ahead.all, rest.all
                    ));
                }
                // Where requests come, but too few yet to tell, they are waited for a while longer.
                let few = !comparable && ahead.all > 0 && rules.least_requests > 0;
                let patience = if few { rules.watch * LONGER } else { rules.watch };
                if now.saturating_sub(*since) >= patience {
                    rollout.waves = true;
                    out.push(Action::Note {
                        about: About::Generation(desired.target),
                        text: format!(
                            "the canary holds ({} failed, {} refused of {}); the others follow",
                            ahead.failed, ahead.refused, ahead.all
                        ),
                    });
                }
            }
        }
        None
    }

    /// The slots that go ahead: those that are there already, then those that serve, then any.
    fn choose(&self, desired: &Desired, procs: &[Proc]) -> BTreeSet<String> {
        let rank = |slot: &String| {
            let of = || procs.iter().filter(|p| p.slot == *slot && self.stands(p));
            if of().any(|p| p.generation == desired.target) {
                0
            } else if of().any(|p| p.ready) {
                1
            } else {
                2
            }
        };
        let able = desired.slots.iter().filter(|s| !desired.blocked.contains(*s));
        let mut able: Vec<&String> = able.collect();
        able.sort_by_key(|s| rank(s));
        able.into_iter().take(self.rules.canaries.max(1)).cloned().collect()
    }

    // ---- Slots ----

    /// Whether a process is to go on serving as far as it was told.
    fn stands(&self, p: &Proc) -> bool {
        let issued = self.issued.get(&p.id);
        !p.leaving && issued.is_none_or(|t| matches!(t.order, Order::Reload(_)))
    }

    /// What a slot is to run; none: nothing. An error: it is not touched yet.
    fn wanted(
        &self,
        desired: &Desired,
        slot: &str,
        at_target: bool,
    ) -> Result<Option<Generation>, ()> {
        let Some(rollout) = &self.rollout else {
            return Ok(desired.slots.contains(slot).then_some(desired.target));
        };
        let ahead = rollout.waves || at_target || rollout.canaries.contains(slot);
        match (desired.slots.contains(slot), ahead) {
            (true, true) => Ok(Some(desired.target)),
            (true, false) if desired.new.contains(slot) => Err(()),
            (true, false) => Ok(Some(desired.base)),
            (false, false) if desired.old.contains(slot) => Ok(Some(desired.base)),
            (false, _) => Ok(None),
        }
    }

    fn slots_on(
        &mut self,
        now: Duration,
        desired: &Desired,
        procs: &[Proc],
        out: &mut Vec<Action>,
    ) {
        let mut of: BTreeMap<&str, Vec<&Proc>> = BTreeMap::new();
        for slot in desired.slots.iter().chain(&desired.old) {
            of.entry(slot).or_default();
        }
        for p in procs {
            of.entry(&p.slot).or_default().push(p);
        }
        // What is under way already counts against what may be begun.
        let mut starting = 0;
        let mut moving = 0;
        for (slot, procs) in &of {
            let standing: Vec<_> = procs.iter().filter(|p| self.stands(p)).collect();
            starting += standing.iter().filter(|p| !p.ready).count();
            let reloading = |p: &&&Proc| {
                let issued = self.issued.get(&p.id);
                issued.is_some_and(|t| matches!(t.order, Order::Reload(_)))
            };
            let idle = !standing.iter().any(|p| p.ready);
            let wanted = desired.slots.contains(*slot) && !desired.blocked.contains(*slot);
            let moves = standing.len() > 1 || standing.iter().any(reloading);
            moving += usize::from(moves || (wanted && idle));
        }
        let mut room = Room {
            starts: self.rules.starting_at_once.saturating_sub(starting),
            moves: self.limit(desired).saturating_sub(moving),
        };
        for (slot, procs) in of {
            self.slot_on(now, desired, slot, &procs, &mut room, out);
        }
    }

    fn slot_on(
        &mut self,
        now: Duration,
        desired: &Desired,
        slot: &str,
        procs: &[&Proc],
        room: &mut Room,
        out: &mut Vec<Action>,
    ) {
        let leaving: Vec<&Proc> = procs.iter().filter(|p| !self.stands(p)).copied().collect();
        for p in leaving {
            self.see_out(now, p, out);
        }
        let mut standing: Vec<&Proc> = procs.iter().filter(|p| self.stands(p)).copied().collect();
        standing.retain(|p| {
            let silent = now.saturating_sub(p.last_report);
            let heard = p.last_report.max(self.awake);
            let why = match p.stall {
                Some(stall) if p.ready && silent > self.rules.hung_after => Some(match stall {
                    Stall::Stopped => "fell silent: it was stopped",
                    Stall::Asleep => "fell silent: it sleeps and is not woken",
                    Stall::Spinning => "fell silent: it goes in circles",
                }),
                _ if p.ready && now.saturating_sub(heard) > self.rules.silent_after => {
                    Some("fell silent")
                }
                _ if p.ready => None,
                _ => {
                    let since = p.started.max(self.awake);
                    let late = now.saturating_sub(since) > self.rules.ready_within;
                    late.then_some("was not ready in time")
                }
            };
            if let Some(why) = why {
                out.push(Action::Note {
                    about: About::Slot(slot.to_owned()),
                    text: format!("{why}; killed"),
                });
                self.failed(now, slot, p.generation, why.to_owned());
                self.issue(now, p, Order::Kill, out);
            }
            why.is_none()
        });
        if standing.iter().any(|p| self.unheard(now, p)) {
            return;
        }
        let at_target = standing.iter().any(|p| p.generation == desired.target && !p.unwanted);
        let wanted = match self.wanted(desired, slot, at_target) {
            Ok(Some(generation)) => generation,
            Ok(None) => {
                for p in standing {
                    self.issue(now, p, Order::Stop, out);
                }
                return;
            }
            Err(()) => return,
        };
        // The one to keep: of what is wanted before others, serving before starting, then the first.
        standing.sort_by_key(|p| (p.generation != wanted || p.unwanted, !p.ready, p.id));
        let Some((keep, others)) = standing.split_first() else {
            // Danger: one that was killed may be there yet, and two would serve one slot.
            let dying = procs
                .iter()
                .any(|p| self.issued.get(&p.id).is_some_and(|t| t.order == Order::Kill));
            let due = self.slots.get(slot).is_none_or(|s| s.not_before <= now);
            if due && !dying && room.starts > 0 && !desired.blocked.contains(slot) {
                room.starts -= 1;
                out.push(Action::Start { slot: slot.to_owned(), generation: wanted });
            }
            return;
        };
        let right = |p: &Proc| p.generation == wanted && !p.unwanted;
        if right(keep) {
            // A word that is of no concern any more, once it cannot be acted on.
            let over = |t: &Issued| now.saturating_sub(t.last) > self.rules.reload_within;
            if self.issued.get(&keep.id).is_some_and(over) {
                self.issued.remove(&keep.id);
            }
            for p in others {
                if keep.ready {
                    let order = if p.ready { Order::HandOver } else { Order::Kill };
                    self.issue(now, p, order, out);
                } else if right(p) {
                    self.issue(now, p, Order::Kill, out);
                }
            }
            return;
        }
        // None runs what is wanted. Of several that serve one is enough.
        for p in others {
            let order = if p.ready { Order::HandOver } else { Order::Kill };
            self.issue(now, p, order, out);
        }
        if !keep.ready {
            self.issue(now, keep, Order::Kill, out);
            return;
        }
        if !others.is_empty() {
            return;
        }
        self.move_on(now, desired, keep, wanted, room, out);
    }

    /// Brings a slot whose process serves from what it runs to what it is to run.
    fn move_on(
        &mut self,
        now: Duration,
        desired: &Desired,
        p: &Proc,
        wanted: Generation,
        room: &mut Room,
        out: &mut Vec<Action>,
    ) {
        let issued = self.issued.get(&p.id).cloned();
        // Whatever it was told, it was counted as in a move.
        let counted = issued.is_some();
        let issued = issued.filter(|t| t.order == Order::Reload(wanted));
        let declined = p.declined == Some(wanted)
            || issued
                .as_ref()
                .is_some_and(|t| now.saturating_sub(t.first) > self.rules.reload_within);
        let program = if wanted == desired.target { desired.program } else { desired.base_program };
        let live = !p.unwanted && !declined && p.program == program;
        if live {
            if counted || room.moves > 0 {
                room.moves -= usize::from(!counted);
                self.issue(now, p, Order::Reload(wanted), out);
            }
            return;
        }
        let due = self.slots.get(&p.slot).is_none_or(|s| s.not_before <= now);
        let may = counted || room.moves > 0;
        if due && may && room.starts > 0 && !desired.blocked.contains(&p.slot) {
            room.moves -= usize::from(!counted);
            room.starts -= 1;
            out.push(Action::Start { slot: p.slot.clone(), generation: wanted });
        }
    }

    /// Follows a process on its way out.
    fn see_out(&mut self, now: Duration, p: &Proc, out: &mut Vec<Action>) {
        // Found leaving, told by a daemon before this one.
        let issued = self.issued.entry(p.id).or_insert(Issued {
            order: Order::HandOver,
            first: now,
            last: now,
        });
        let (order, first) = (issued.order, issued.first);
        if order == Order::Kill || now.saturating_sub(first) > self.rules.drain_within {
            self.issue(now, p, Order::Kill, out);
        } else if !p.leaving {
            self.issue(now, p, order, out);
        }
    }

    /// Says something to a process, not more often than is of use.
    fn issue(&mut self, now: Duration, p: &Proc, order: Order, out: &mut Vec<Action>) {
        match self.issued.get_mut(&p.id) {
            Some(t) if t.order == order => {
                if now.saturating_sub(t.last) < SAY_AGAIN {
                    return;
                }
                t.last = now;
            }
            Some(t) if t.order == Order::Kill => return,
            _ => {
                self.issued.insert(p.id, Issued { order, first: now, last: now });
            }
        }
        out.push(match order {
            Order::Reload(generation) => Action::Reload { proc: p.id, generation },
            Order::HandOver => Action::HandOver { proc: p.id },
            Order::Stop => Action::Stop { proc: p.id },
            Order::Kill => Action::Kill { proc: p.id },
        });
    }
}

/// What may be begun in one look.
struct Room {
    starts: usize,
    moves: usize,
}
