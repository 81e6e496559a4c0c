//! The origin's decisions: it is followed once most of the members have promised it an epoch, takes over what is
//! newest among them, and orders the changes from then on. What it knows of its own is lost with it: members have all.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::documents::{Body, Key, MOST_BYTES, MOST_DOCUMENTS};
use crate::replica::{Replica, Update, Version};
use crate::{Epoch, Generation, Millis};

/// A member that has not called for so long is not there.
const SILENT: Millis = 8_000;
/// An origin that a few members have left for a later epoch waits so long for more of them to do so.
const CHALLENGED: Millis = 3_000;
/// Changes that may wait to be committed; more are refused.
const MOST_WAITING: usize = 1024;

/// What a member tells with a call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Call {
    /// Its name.
    pub member: String,
    /// The highest epoch that it has promised to follow.
    pub promised: Epoch,
    /// What it has on disk.
    pub at: Version,
    /// How far it knows that to be committed.
    pub committed: Generation,
    /// It has lost its disk, and may have promised and accepted what it does not know.
    pub recovering: bool,
    /// Which of its disks this is told from: it rises with each that is lost.
    pub life: u64,
    /// Lives of other members, as far as they have told it.
    pub lives: BTreeMap<String, u64>,
}

/// What a member is told.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Answer {
    /// The epoch that it is to promise; 0: none yet.
    pub epoch: Epoch,
    /// Changes, once the origin leads.
    pub update: Option<Update>,
}

#[derive(Clone, Debug)]
struct Member {
    call: Call,
    heard: Millis,
}

/// How far an origin is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has not heard what most of the members have promised.
    Listening,
    /// It has asked for promises of its epoch.
    Gathering,
    /// It takes over the replica of this member, the newest.
    TakingOver(String),
    /// It orders changes.
    Leading,
    /// Another origin has a later epoch.
    Superseded(Epoch),
}

/// Why a change is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It does not lead; trying elsewhere or later may help.
    NotLeading(String),
    /// It can never be taken.
    Unfit(String),
}

/// An origin.
pub struct Origin {
    /// The last bits of its epochs.
    mark: Epoch,
    members: BTreeMap<String, Option<Member>>,
    epoch: Epoch,
    phase: Phase,
    /// What the member has that is taken over, as it told.
    wanted: Version,
    /// Since when a few of the members have promised a later epoch.
    challenged: Option<Millis>,
    replica: Replica,
}

impl Origin {
    /// The origin of this number, for members of these names. `life` differs at each start.
    ///
    /// Danger: an old call may be heard late, and an origin that was started anew take a round for free that it has led
    /// in before: then two changes would have one version. No two starts have the same epochs.
    pub fn new(number: u8, life: u32, members: impl IntoIterator<Item = String>) -> Origin {
        Origin {
            mark: Epoch::from(number) << 24 | Epoch::from(life & 0xff_ffff),
            members: members.into_iter().map(|name| (name, None)).collect(),
            epoch: 0,
            phase: Phase::Listening,
            wanted: Version::default(),
            challenged: None,
            replica: Replica::default(),
        }
    }

    /// How far it is.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Its epoch; 0: none yet.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// What it has.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Its members, and whether each was heard lately.
    pub fn members(&self, now: Millis) -> impl Iterator<Item = (&String, Option<&Call>)> {
        self.members.iter().map(move |(name, m)| {
            (name, m.as_ref().filter(|m| now.saturating_sub(m.heard) < SILENT).map(|m| &m.call))
        })
    }

    fn most(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Members that can vote.
    ///
    /// Danger: a call may be on its way for long, and its member lose its disk meanwhile, and forget what it has
    /// promised here. One that has lost its disk tells more than half of all its new life before it votes again, so
    /// whoever is counted here beside it knows.
    fn voters(&self) -> impl Iterator<Item = &Call> {
        let all = || self.members.values().flatten().map(|m| &m.call);
        let outlived =
            move |c: &Call| all().any(|o| o.lives.get(&c.member).is_some_and(|l| *l > c.life));
        all().filter(move |c| !c.recovering && !outlived(c))
    }

    /// Takes in a member's call.
    ///
    /// # Errors
    ///
    /// When it is none of the members.
    pub fn hear(&mut self, call: Call, now: Millis) -> Result<(), String> {
        let Some(member) = self.members.get_mut(&call.member) else {
            return Err(format!("{:?} is none of the members", call.member));
        };
        if member.as_ref().is_some_and(|m| m.call.life > call.life) {
            return Ok(());
        }
        *member = Some(Member { call, heard: now });
        if !matches!(self.phase, Phase::Listening | Phase::Superseded(_)) {
            self.outdone(now);
        }
        self.go_on();
        Ok(())
    }

    /// Danger: two origins that both go on would take the members from each other for ever. Who is outdone with most of
    /// them orders nothing more until it is started anew. Where only a few have promised a later epoch, its origin
    /// is on the point of being followed, or has died before it was: then this one begins another, a while later.
    fn outdone(&mut self, now: Millis) {
        let epoch = self.epoch;
        let above = self.voters().filter(|c| c.promised > epoch).count();
        if above >= self.most() {
            let latest = self.voters().map(|c| c.promised).max();
            self.phase = Phase::Superseded(latest.unwrap_or(epoch));
        } else if above == 0 {
            self.challenged = None;
        } else if now.saturating_sub(*self.challenged.get_or_insert(now)) >= CHALLENGED {
            self.begin();
        }
    }

    /// Begins an epoch above all that it has heard of.
    fn begin(&mut self) {
        let promised = self.members.values().flatten().map(|m| m.call.promised);
        let round = promised.max().unwrap_or(0).max(self.epoch) >> 32;
        self.epoch = (round + 1) << 32 | self.mark;
        self.phase = Phase::Gathering;
        self.challenged = None;
    }

    fn go_on(&mut self) {
        if self.phase == Phase::Listening && self.voters().count() >= self.most() {
            self.begin();
        }
        let epoch = self.epoch;
        if self.phase == Phase::Gathering {
            let promised: Vec<_> = self.voters().filter(|c| c.promised == epoch).collect();
            let newest = promised.iter().max_by_key(|c| c.at);
            match newest {
                _ if promised.len() < self.most() => {}
                Some(call) if call.at > self.replica.at() => {
                    let (member, at) = (call.member.clone(), call.at);
                    (self.phase, self.wanted) = (Phase::TakingOver(member), at);
                }
                _ => self.lead(),
            }
        }
        if self.phase == Phase::Leading {
            // What most have on disk is committed. Only what this epoch made is counted so: what an earlier one made
            // may be with most and still be outdone (Ongaro, Ousterhout, 2014, 5.4.2).
            let mut at: Vec<Generation> = self
                .voters()
                .filter(|c| c.promised == epoch && c.at.epoch == epoch)
                .map(|c| c.at.generation)
                .collect();
            at.sort_unstable_by(|a, b| b.cmp(a));
            if let Some(generation) = at.get(self.most() - 1) {
                self.replica.commit(*generation);
            }
        }
    }

    fn lead(&mut self) {
        self.phase = Phase::Leading;
        self.replica.change(self.epoch, None);
    }

    /// Takes over the replica that [`Phase::TakingOver`] names, as this member told it.
    pub fn take_over(&mut self, member: &str, update: Update) {
        if self.phase != Phase::TakingOver(member.to_owned()) {
            return;
        }
        // Danger: it may have lost since what it had when it called, and have called again as one that asks for it.
        if update.at < self.wanted {
            return self.not_taken_over(member);
        }
        self.replica = Replica::default();
        self.replica.take(update);
        self.lead();
    }

    /// It could not be had: another member may have as much, or it will call again.
    pub fn not_taken_over(&mut self, member: &str) {
        if self.phase == Phase::TakingOver(member.to_owned()) {
            self.members.insert(member.to_owned(), None);
            self.phase = Phase::Gathering;
            self.go_on();
        }
    }

    /// What a member is told that called so; none: nothing is new, and it waits.
    pub fn answer(&self, call: &Call) -> Option<Answer> {
        match self.phase {
            Phase::Listening => None,
            Phase::Superseded(_) => Some(Answer { epoch: self.epoch, update: None }),
            Phase::Gathering | Phase::TakingOver(_) => {
                (call.promised < self.epoch).then_some(Answer { epoch: self.epoch, update: None })
            }
            Phase::Leading => {
                let behind = call.at != self.replica.at()
                    || call.committed != self.replica.committed()
                    || call.promised < self.epoch;
                let update = behind.then(|| self.replica.update(call.at));
                update.map(|update| Answer { epoch: self.epoch, update: Some(update) })
            }
        }
    }

    /// Orders a change: a document's body, or that it is withdrawn. What it comes to be in force as; a change that
    /// changes nothing is the one that made it so.
    ///
    /// # Errors
    ///
    /// Why it is not taken.
    pub fn publish(&mut self, key: Key, body: Option<Body>) -> Result<Generation, Refused> {
        match &self.phase {
            Phase::Leading => {}
            Phase::Superseded(by) => {
                let why = format!("another origin is followed, in epoch {by}");
                return Err(Refused::NotLeading(why));
            }
            phase => {
                let why =
                    format!("most of the members have not promised to follow yet ({phase:?})");
                return Err(Refused::NotLeading(why));
            }
        }
        let text = |body: &Option<Body>| body.as_ref().map(|b| b.text().to_owned());
        let before = self.replica.document(&key);
        if let Some(same) = before.filter(|d| text(&d.body) == text(&body)) {
            return Ok(same.generation);
        }
        if before.is_none() && body.is_none() {
            return Err(Refused::Unfit(format!("{key}: there is none")));
        }
        let size = |body: &Option<Body>| body.as_ref().map_or(0, |b| b.text().len());
        let bytes = self.replica.bytes() - before.map_or(0, |d| size(&d.body)) + size(&body);
        if bytes > MOST_BYTES {
            let why = format!("{key}: {bytes} bytes in all, {MOST_BYTES} at most expected");
            return Err(Refused::Unfit(why));
        }
        if before.is_none() && self.replica.newest().count() >= MOST_DOCUMENTS {
            let why = format!("{key}: {MOST_DOCUMENTS} documents at most expected");
            return Err(Refused::Unfit(why));
        }
        let waiting = self.replica.at().generation - self.replica.committed();
        if waiting as usize > MOST_WAITING {
            let why = format!("{waiting} changes wait for most of the members to have them");
            return Err(Refused::NotLeading(why));
        }
        self.replica.change(self.epoch, Some((key, body)));
        Ok(self.replica.at().generation)
    }
}
