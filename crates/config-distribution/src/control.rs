//! A control machine's decisions: whom it follows, what it answers hosts, and how far its hosts are.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::documents::{Document, Interest, is_name};
use crate::origin::{Answer, Call};
use crate::replica::{Replica, Update};
use crate::tally::{Arrival, Behind, MOST_BEHIND, Summary, Zone};
use crate::{Epoch, Generation, Millis};

/// The most services that one host calls.
pub const MOST_SERVICES: usize = 64;
/// A host that has not called for so long is silent; its calls are held for a part of that.
const SILENT: Millis = 6_000;
/// One that was silent for so long is no host any more.
const FORGOTTEN: Millis = 15 * 60_000;
/// Hosts that arrived or were forgotten, told in one summary.
const MOST_NEWS: usize = 1000;
/// The longest reason that is kept.
const LONGEST_WHY: usize = 200;

/// What must be on disk before anything that follows from it is told to anybody.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Kept {
    /// The highest epoch that was promised.
    pub promised: Epoch,
    /// Which of its disks this is.
    pub life: u64,
    /// The same of other members that have lost theirs.
    pub lives: BTreeMap<String, u64>,
    /// All documents.
    pub replica: Replica,
}

/// What a host tells with a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostCall {
    /// Its name.
    pub host: String,
    /// What concerns it.
    pub interest: Interest,
    /// What it was told last.
    pub from: Generation,
    /// What is in force there.
    pub in_force: Generation,
    /// What it was told and has not put in force, and why.
    pub declined: Option<(Generation, String)>,
}

/// What a host is told: the watch's answer of the protocol page, of documents.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Told {
    /// The version up to which it is told.
    pub seq: Generation,
    /// Whether these are all that concern it.
    pub whole: bool,
    /// The documents.
    pub documents: Vec<Document>,
}

/// Why a host's call is turned away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TurnedAway {
    /// Another control machine may serve it.
    Elsewhere(String),
    /// The call cannot be understood.
    Unfit(String),
}

#[derive(Clone, Debug)]
struct Row {
    interest: Interest,
    in_force: Generation,
    declined: Option<(Generation, String)>,
    heard: Millis,
    /// It was told this, and has not called since.
    told: Option<Generation>,
    /// Since when it is said to be another machine's.
    elsewhere: Option<Millis>,
}

/// What a member that has lost its disk has learned again.
#[derive(Debug, Default)]
struct Recovering {
    /// What others have promised, who know of its new life.
    others: BTreeMap<String, Epoch>,
    /// So high an origin's epoch has to be to bring it up to date: most of the others were asked.
    least: Option<Epoch>,
}

/// A control machine.
pub struct Control {
    name: String,
    kept: Kept,
    /// It has lost its disk, and asks the other members what they have promised.
    recovering: Option<Recovering>,
    /// How many members there are, itself among them.
    members: usize,
    most_hosts: usize,
    hosts: BTreeMap<String, Row>,
    /// Hosts that are here for the first time, or not any more, since the last summary.
    arrived: BTreeSet<String>,
    forgotten: BTreeSet<String>,
}

impl Control {
    /// One of so many members, with what it has on disk. What it has lost it asks the others for; `life` numbers its
    /// disks then, as far as is known.
    pub fn new(
        name: String,
        kept: Option<Kept>,
        life: u64,
        members: usize,
        most_hosts: usize,
    ) -> Control {
        Control {
            name,
            recovering: kept.is_none().then(Recovering::default),
            kept: kept.unwrap_or(Kept { life, ..Kept::default() }),
            members,
            most_hosts,
            hosts: BTreeMap::new(),
            arrived: BTreeSet::new(),
            forgotten: BTreeSet::new(),
        }
    }

    /// What must be on disk.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// What it has.
    pub fn replica(&self) -> &Replica {
        &self.kept.replica
    }

    /// The highest epoch that it has promised; none: it does not know.
    pub fn promised(&self) -> Option<Epoch> {
        self.recovering.is_none().then_some(self.kept.promised)
    }

    /// Its life.
    pub fn life(&self) -> u64 {
        self.kept.life
    }

    /// All members' lives that are known here, its own among them.
    pub fn lives(&self) -> BTreeMap<String, u64> {
        let own = (self.name.clone(), self.kept.life);
        self.kept.lives.clone().into_iter().chain([own]).collect()
    }

    /// Another member that has lost its disk tells its new life. What is promised here, and which life is known of it;
    /// the flag says whether something has to be on disk before that is answered.
    pub fn other_life(&mut self, member: &str, life: u64) -> Option<(Epoch, u64, bool)> {
        let promised = self.promised()?;
        let known = self.kept.lives.get(member).copied().unwrap_or(0);
        if life > known && is_name(member) && self.kept.lives.len() < self.members {
            self.kept.lives.insert(member.to_owned(), life);
            return Some((promised, life, true));
        }
        Some((promised, known.max(life), false))
    }

    /// What another member has promised, and which life of this one it knows.
    ///
    /// Danger: a member that has lost its disk may have promised to an origin, and acknowledged to one, what it does not
    /// know. Of more than half of all members, asked beside it, one has its part in anything that it took part in:
    /// that one tells what was promised, or what comes after knows from it that an older word of this member is none.
    /// And what it had is with the last origin that it could have followed, so it votes again once that, or a later
    /// one, has brought it up to date (after Liskov, Cowling, 2012, 4.3). Harmful where as many have lost their
    /// disks: then operators have to say what counts.
    pub fn promised_elsewhere(
        &mut self,
        member: &str,
        promised: Epoch,
        life: u64,
        lives: &BTreeMap<String, u64>,
    ) {
        let most = self.members / 2 + 1;
        let Some(recovering) = &mut self.recovering else { return };
        if life > self.kept.life {
            self.kept.life = life + 1;
            recovering.others.clear();
            return;
        }
        // Danger: what it knew of others' lost disks is lost with its own.
        for (other, life) in lives.iter().filter(|(other, _)| **other != self.name) {
            let known = self.kept.lives.entry(other.clone()).or_default();
            *known = (*known).max(*life);
        }
        recovering.others.insert(member.to_owned(), promised);
        if recovering.others.len() >= most && recovering.least.is_none() {
            recovering.least = recovering.others.values().copied().max();
            self.kept.promised = self.kept.promised.max(recovering.least.unwrap_or(0));
        }
    }

    /// What it tells origins.
    pub fn call(&self) -> Call {
        // What it was told before it knew whom it may follow counts for nothing: it asks for all of it once more. What
        // is committed stays meanwhile.
        let anew = self.recovering.as_ref().is_some_and(|r| r.least.is_some());
        Call {
            member: self.name.clone(),
            promised: self.kept.promised,
            at: if anew { Default::default() } else { self.kept.replica.at() },
            committed: self.kept.replica.committed(),
            recovering: self.recovering.is_some(),
            life: self.kept.life,
            lives: self.kept.lives.clone(),
        }
    }

    /// Takes in what an origin says. True: something is new, and has to be on disk before the next call, unless
    /// this member still asks what it has lost.
    pub fn take(&mut self, answer: Answer) -> bool {
        if answer.epoch < self.kept.promised {
            return false;
        }
        let promised = std::mem::replace(&mut self.kept.promised, answer.epoch);
        let Some(update) = answer.update else { return promised != answer.epoch };
        let at = update.at;
        let news = self.kept.replica.take(update);
        let least = self.recovering.as_ref().and_then(|r| r.least);
        let up_to_date = least.is_some_and(|least| answer.epoch >= least && answer.epoch > 0)
            && self.kept.replica.at() == at;
        if up_to_date {
            self.recovering = None;
        }
        news || up_to_date || promised != answer.epoch
    }

    /// What another member, or an origin that takes over, is told.
    pub fn update(&self, from: crate::replica::Version) -> Update {
        self.kept.replica.update(from)
    }

    // ---- Hosts ----

    /// Takes in a host's call.
    ///
    /// # Errors
    ///
    /// Why it is turned away.
    pub fn hear(&mut self, call: &HostCall, now: Millis) -> Result<(), TurnedAway> {
        if !is_name(&call.host) {
            return Err(TurnedAway::Unfit(format!("host: a name expected, not {:?}", call.host)));
        }
        if call.interest.services.len() > MOST_SERVICES {
            return Err(TurnedAway::Unfit(format!("service: {MOST_SERVICES} at most expected")));
        }
        if self.recovering.is_some() && self.kept.replica.committed() == 0 {
            return Err(TurnedAway::Elsewhere("nothing is known here yet".to_owned()));
        }
        if !self.hosts.contains_key(&call.host) {
            if self.hosts.len() >= self.most_hosts {
                self.forget(now, Some(self.most_hosts));
            }
            if self.hosts.len() >= self.most_hosts {
                let why = format!("{} hosts are here, the most that may be", self.hosts.len());
                return Err(TurnedAway::Elsewhere(why));
            }
            self.arrived.insert(call.host.clone());
            self.forgotten.remove(&call.host);
        }
        let declined = call.declined.clone().map(|(generation, why)| {
            (generation, why.chars().filter(|c| !c.is_control()).take(LONGEST_WHY).collect())
        });
        // Danger: what was written here before its host went elsewhere may be read late, as by a machine that was
        // stopped. Only one that goes on calling has come back.
        let elsewhere = self.hosts.get(&call.host).and_then(|row| row.elsewhere);
        let is_back = elsewhere.is_some_and(|since| now.saturating_sub(since) > SILENT);
        if is_back {
            self.arrived.insert(call.host.clone());
        }
        let row = Row {
            interest: call.interest.clone(),
            in_force: call.in_force,
            declined,
            heard: now,
            told: None,
            elsewhere: elsewhere.filter(|_| !is_back),
        };
        self.hosts.insert(call.host.clone(), row);
        Ok(())
    }

    /// What a host is told that called so; none: nothing is new, and it waits. `last`: its wait is over.
    pub fn answer(&mut self, call: &HostCall, last: bool, now: Millis) -> Option<Told> {
        let replica = &self.kept.replica;
        let seq = replica.committed();
        let (whole, documents) = match call.from <= seq {
            true => replica.told(&call.interest, call.from),
            // Danger: what this host has is newer than what is known here. It is told nothing, and keeps it.
            false => (false, Vec::new()),
        };
        if !last && !whole && documents.is_empty() {
            return None;
        }
        let told = Told { seq, whole, documents: documents.into_iter().cloned().collect() };
        if let Some(row) = self.hosts.get_mut(&call.host) {
            row.heard = now;
            row.told = (!told.documents.is_empty()).then_some(seq);
        }
        Some(told)
    }

    /// Lets those go that were silent for long; with `room`, silent ones at all until there is some.
    fn forget(&mut self, now: Millis, room: Option<usize>) {
        let patience = if room.is_some() { SILENT } else { FORGOTTEN };
        let gone: Vec<_> = self
            .hosts
            .iter()
            .filter(|(_, row)| now.saturating_sub(row.heard) > patience)
            .map(|(host, _)| host.clone())
            .collect();
        for host in gone {
            self.hosts.remove(&host);
            self.arrived.remove(&host);
            self.forgotten.insert(host);
        }
        // Where no origin takes them, they do not add up for ever.
        while self.forgotten.len() > self.most_hosts {
            self.forgotten.pop_first();
        }
    }

    /// Hosts that are another machine's from now on.
    pub fn elsewhere(&mut self, hosts: &[String], now: Millis) {
        for host in hosts {
            if let Some(row) = self.hosts.get_mut(host) {
                row.elsewhere = Some(now);
                self.arrived.remove(host);
            }
        }
    }

    /// How far its hosts are, for the origin that is followed. What has changed is taken out, and told once.
    pub fn summary(&mut self, now: Millis) -> Summary {
        self.forget(now, None);
        let silent = |row: &Row| now.saturating_sub(row.heard) > SILENT / 2;
        self.hosts.retain(|_, row| row.elsewhere.is_none() || !silent(row));
        let replica = &self.kept.replica;
        let mut zones: BTreeMap<&str, Zone> = BTreeMap::new();
        let mut behind = Vec::new();
        for (host, row) in &self.hosts {
            let zone = zones.entry(&row.interest.zone).or_default();
            zone.hosts += 1;
            if !replica.lacks(&row.interest, row.in_force) {
                zone.in_force += 1;
                continue;
            }
            zone.lowest = Some(zone.lowest.map_or(row.in_force, |l| l.min(row.in_force)));
            let silent = now.saturating_sub(row.heard) > SILENT;
            let why = match (&row.declined, silent, row.told) {
                (Some((generation, why)), _, _) => {
                    zone.declined += 1;
                    format!("declined {generation}: {why}")
                }
                (None, true, _) => {
                    zone.silent += 1;
                    "silent".to_owned()
                }
                (None, false, Some(generation)) => format!("was told {generation}"),
                (None, false, None) => "not told yet".to_owned(),
            };
            if behind.len() < MOST_BEHIND {
                let zone = row.interest.zone.clone();
                behind.push(Behind { host: host.clone(), zone, in_force: row.in_force, why });
            }
        }
        let zones = zones.into_iter().map(|(name, zone)| (name.to_owned(), zone)).collect();
        let arrived: Vec<_> = self.arrived.iter().take(MOST_NEWS).cloned().collect();
        let forgotten: Vec<_> = self.forgotten.iter().take(MOST_NEWS).cloned().collect();
        arrived.iter().for_each(|host| _ = self.arrived.remove(host));
        forgotten.iter().for_each(|host| _ = self.forgotten.remove(host));
        let arrival = |host: String| {
            let row = self.hosts.get(&host);
            let silent_ms = row.map_or(Millis::MAX, |r| now.saturating_sub(r.heard));
            let zone = row.map_or_else(String::new, |r| r.interest.zone.clone());
            Arrival { host, zone, silent_ms }
        };
        Summary {
            member: self.name.clone(),
            committed: self.kept.replica.committed(),
            zones,
            behind,
            arrived: arrived.into_iter().map(arrival).collect(),
            forgotten,
        }
    }

    /// Tells all hosts anew with the next summaries: another origin is followed, or the last did not come.
    pub fn tell_all_anew(&mut self) {
        self.arrived.extend(self.hosts.keys().cloned());
    }

    /// How many hosts are here.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }
}
