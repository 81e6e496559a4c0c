//! A host's decisions: which control machine it calls and when, and what it puts in force. It never puts in force
//! what is older than what is in force.

use std::collections::BTreeMap;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::control::{HostCall, Told};
use crate::documents::{Document, Interest, Key};
use crate::{Generation, Millis};

/// How long a control machine may hold a call, and how long it may then take to answer.
///
/// Danger: one that is stopped keeps its connections open and says nothing, and a change waits meanwhile. Both, the
/// spread and a call have to fit into the time within which a change is to be in force. Shorter costs calls: one a
/// hold and host.
pub const HOLD: Millis = 2_500;
pub const PATIENCE: Millis = 1_000;
/// Over so long those that have lost one machine together go to others.
pub const SPREAD: Millis = 1_500;
/// Where no machine answers: the pauses, from the first to the longest.
const FIRST_PAUSE: Millis = 250;
const LONGEST_PAUSE: Millis = 2_000;
/// A machine that failed is not the first choice again for so long.
const SHUNNED: Millis = 5_000;
/// What could not be put in force is tried again after so long.
const PUT_AGAIN: Millis = 2_000;
/// One that is not at its first choice tries it again after so long, and up to twice that.
const HOME_AGAIN: Millis = 20_000;

/// What a host does next.
#[derive(Clone, Debug)]
pub enum Step {
    /// It calls this machine, by its place in the list.
    Call(usize),
    /// It waits until then.
    Wait(Millis),
    /// It tries once more to put in force what it could not.
    Put(Generation, Vec<Document>),
}

/// What came of putting something in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Put {
    /// It is in force.
    Done,
    /// It was declined, and would be again.
    Declined(String),
    /// It could not be done now.
    Later(String),
}

/// A host.
pub struct Host {
    name: String,
    interest: Interest,
    /// The machines' places, the first choice first, and until when each is shunned.
    order: Vec<(usize, Millis)>,
    /// The one that has answered last, by its place in the order.
    at: Option<usize>,
    not_before: Millis,
    failures: u32,
    home_again: Millis,
    from: Generation,
    in_force: Generation,
    declined: Option<(Generation, String)>,
    /// When what could not be put in force is tried again.
    put_again: Option<Millis>,
    documents: BTreeMap<Key, Document>,
    rng: Pcg64Mcg,
}

/// The same number for the same bytes everywhere (FNV-1a, and the finalizer of SplitMix64).
fn mixed(parts: [&[u8]; 2]) -> u64 {
    let bytes = parts.into_iter().flat_map(|p| p.iter().copied().chain([0]));
    let n = bytes
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let n = (n ^ n >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ n >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ n >> 31
}

impl Host {
    /// A host that knows these machines by name. Which it prefers is drawn by hashing, so that each machine is the
    /// first choice of its share of the hosts, and when it is lost these go to all others alike (rendezvous hashing:
    /// Thaler, Ravishankar, 1998). `in_force` and `documents` are what is in force, as far as is known.
    pub fn new(
        name: String,
        interest: Interest,
        machines: &[String],
        (in_force, documents): (Generation, Vec<Document>),
        seed: u64,
    ) -> Host {
        let mut order: Vec<usize> = (0..machines.len()).collect();
        order.sort_by_key(|n| std::cmp::Reverse(mixed([name.as_bytes(), machines[*n].as_bytes()])));
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ mixed([name.as_bytes(), b""]));
        // All that start at once are spread, too.
        let not_before = rng.next_u64() % SPREAD;
        Host {
            name,
            interest,
            order: order.into_iter().map(|n| (n, 0)).collect(),
            at: None,
            not_before,
            failures: 0,
            home_again: 0,
            // What it has on disk is not all that concerns it now, if it calls other services since.
            from: 0,
            in_force,
            declined: None,
            put_again: None,
            documents: documents.into_iter().map(|d| (d.key.clone(), d)).collect(),
            rng,
        }
    }

    fn draw(&mut self, below: Millis) -> Millis {
        self.rng.next_u64() % below.max(1)
    }

    /// What is in force.
    pub fn in_force(&self) -> Generation {
        self.in_force
    }

    /// The machine that answers it, by its place in the list.
    pub fn machine(&self) -> Option<usize> {
        self.at.map(|at| self.order[at].0)
    }

    /// What to do next.
    pub fn next(&mut self, now: Millis) -> Step {
        if self.put_again.is_some_and(|at| at <= now) {
            return Step::Put(self.from, self.documents.values().cloned().collect());
        }
        if now < self.not_before {
            return Step::Wait(self.not_before);
        }
        if self.at.is_some_and(|at| at > 0) && now >= self.home_again {
            // Once more to those that it prefers.
            self.home_again = now + HOME_AGAIN + self.draw(HOME_AGAIN);
            self.at = None;
        }
        let at = self.at.or_else(|| self.order.iter().position(|(_, until)| *until <= now));
        match at {
            Some(at) => {
                self.at = Some(at);
                Step::Call(self.order[at].0)
            }
            None => Step::Wait(
                self.order.iter().map(|(_, until)| *until).min().unwrap_or(now + SHUNNED),
            ),
        }
    }

    /// The call that it makes.
    pub fn call(&self) -> HostCall {
        HostCall {
            host: self.name.clone(),
            interest: self.interest.clone(),
            from: self.from,
            in_force: self.in_force,
            declined: self.declined.clone(),
        }
    }

    /// A call failed. `served`: the machine had answered one on this connection before.
    pub fn failed(&mut self, served: bool, now: Millis) {
        let Some(at) = self.at.take() else { return };
        // Danger: if all machines fail, all would be shunned, and nobody would be asked when they are back.
        let shunned = now + SHUNNED.min(LONGEST_PAUSE * self.order.len() as Millis / 2);
        self.order[at].1 = shunned;
        if self.order.iter().all(|(_, until)| *until > now) {
            self.order.iter_mut().for_each(|(_, until)| *until = now);
        }
        self.home_again = now + HOME_AGAIN + self.draw(HOME_AGAIN);
        // Danger: hundreds lose one machine in the same moment. Harmful to the change that is on its way just then.
        let most = match (served, self.failures) {
            (true, _) => SPREAD,
            (false, n) => (FIRST_PAUSE << n.min(8)).min(LONGEST_PAUSE),
        };
        self.failures += 1;
        self.not_before = now + self.draw(most);
    }

    /// A machine has answered. What is to be put in force now, if anything: all documents that concern this host.
    pub fn answered(&mut self, told: Told, now: Millis) -> Option<(Generation, Vec<Document>)> {
        self.failures = 0;
        if self.at.is_some_and(|at| at > 0) && self.home_again == 0 {
            self.home_again = now + HOME_AGAIN + self.draw(HOME_AGAIN);
        }
        let from = self.from.max(self.in_force);
        if told.seq < from {
            // A machine that is behind. It is called on: what it learns comes from there.
            self.not_before = now + self.draw(SPREAD);
            return None;
        }
        let mut documents = if told.whole { BTreeMap::new() } else { self.documents.clone() };
        for document in told.documents {
            documents.insert(document.key.clone(), document);
        }
        self.from = told.seq;
        let same = documents.len() == self.documents.len()
            && documents.iter().zip(&self.documents).all(|((a, x), (b, y))| {
                a == b && (x.generation, x.body.is_some()) == (y.generation, y.body.is_some())
            });
        self.documents = documents;
        if same {
            // What was declined would be again.
            if self.declined.is_none() {
                self.in_force = told.seq;
            }
            return None;
        }
        Some((told.seq, self.documents.values().cloned().collect()))
    }

    /// What came of putting something in force.
    pub fn put(&mut self, generation: Generation, done: Put, now: Millis) {
        (self.put_again, self.declined) = (None, None);
        match done {
            Put::Done => self.in_force = generation,
            Put::Declined(why) => self.declined = Some((generation, why)),
            Put::Later(why) => {
                self.declined = Some((generation, why));
                self.put_again = Some(now + PUT_AGAIN);
            }
        }
    }

    /// All documents that concern it, as it was told last.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }
}
