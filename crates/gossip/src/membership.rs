//! The membership table: which members are there, as far as is known here. It follows SWIM (Das, Gupta, Motivala,
//! 2002). What a neighbor observes is disseminated as updates; only a member itself refutes a suspicion, by a higher
//! incarnation. Every message also carries a few records in turn, so that every table converges in the end.

use std::collections::VecDeque;

use crate::Micros;

/// A suspected member that does not refute the suspicion within this time is declared dead.
const SUSPICION_TIMEOUT: Micros = 4_000_000;
/// Incarnations count eighths of a second; this is the length of one.
const INCARNATION_TICK: Micros = 125_000;
/// Incarnations further ahead of this member's clock are ignored: one hour.
///
/// A forged incarnation from the far future could never be superseded by the member that it is about. The price: no
/// membership between clocks that differ by more than an hour.
const MAX_INCARNATION_AHEAD: u32 = 3600 * 8;

/// How often an update is sent: once to each neighbor, in turn, and a few more.
///
/// With three times the logarithm of the cluster's size, as where each message goes to a random member, the updates
/// of four hundred members that come back together would take minutes in a cluster of a thousand, and nobody would
/// know who is there meanwhile. The price: where most messages are lost, what has not been disseminated by then has
/// to wait for its turn among all records.
const UPDATE_TRANSMISSIONS: u8 = 10;

/// The state of a member. At the same incarnation a later state supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum MemberState {
    /// Nothing was ever received about it.
    Unknown = 0,
    /// It is there.
    Alive = 1,
    /// A neighbor has not received anything from it lately.
    Suspect = 2,
    /// It did not refute the suspicion in time.
    Dead = 3,
}

impl MemberState {
    /// The state with this code in a message; `None` for codes of later versions.
    pub fn from_code(code: u8) -> Option<MemberState> {
        [MemberState::Unknown, MemberState::Alive, MemberState::Suspect, MemberState::Dead]
            .get(usize::from(code))
            .copied()
    }
}

/// What is said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its number.
    pub member: u16,
    /// Its incarnation: the time of its start in eighths of a second since 2025, or more than that.
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
}

/// How many members are in which state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Alive or suspected, and reachable from here.
    pub alive: usize,
    /// Dead, or not reachable from here.
    pub dead: usize,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: u32,
    state: MemberState,
    /// When it was set to this state here.
    state_since: Micros,
    /// Every path to it leads over dead members. This is local knowledge, which is not sent.
    unreachable: bool,
}

/// The table of all members.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    local_id: u32,
    entries: Vec<Entry>,
    /// The incarnation that this member started with, by its own clock, and when that was.
    start: (u32, Micros),
    /// Members with news, and how often each is still to be sent.
    updates: VecDeque<(u16, u8)>,
    /// The member whose record was sent last in turn.
    cursor: usize,
    /// A member has died or come back since reachability was last computed.
    reachability_outdated: bool,
    /// The neighbors of each member.
    neighbors: Vec<Vec<u32>>,
}

impl MembershipTable {
    /// A table in which `local_id` alone is there. `neighbors` has those of every member.
    ///
    /// # Panics
    ///
    /// When `local_id` is not a position in `neighbors`.
    pub fn new(
        local_id: u32,
        neighbors: Vec<Vec<u32>>,
        incarnation: u32,
        now: Micros,
    ) -> MembershipTable {
        let unknown = Entry {
            incarnation: 0,
            state: MemberState::Unknown,
            state_since: now,
            unreachable: false,
        };
        let mut entries = vec![unknown; neighbors.len()];
        entries[local_id as usize] = Entry { incarnation, state: MemberState::Alive, ..unknown };
        let mut table = MembershipTable {
            local_id,
            entries,
            start: (incarnation, now),
            updates: VecDeque::new(),
            cursor: 0,
            reachability_outdated: false,
            neighbors,
        };
        table.enqueue_update(local_id);
        table
    }

    /// This member's incarnation.
    pub fn incarnation(&self) -> u32 {
        self.entries[self.local_id as usize].incarnation
    }

    /// What was received about a member; `None` for numbers outside the cluster.
    pub fn record(&self, member: u32) -> Option<MemberRecord> {
        let entry = self.entries.get(member as usize)?;
        let member = u16::try_from(member).ok()?;
        Some(MemberRecord { member, incarnation: entry.incarnation, state: entry.state })
    }

    /// When a member was set to its state here.
    pub fn state_since(&self, member: u32) -> Option<Micros> {
        self.entries.get(member as usize).map(|entry| entry.state_since)
    }

    /// The record as operators see it: a member that is unreachable from here counts as dead.
    pub fn effective_record(&self, member: u32) -> Option<MemberRecord> {
        let unreachable = self.entries.get(member as usize)?.unreachable;
        let record = self.record(member)?;
        let state = if unreachable { MemberState::Dead } else { record.state };
        Some(MemberRecord { state, ..record })
    }

    /// How many of the known members are there.
    pub fn counts(&self) -> MemberCounts {
        let known = self.entries.iter().filter(|entry| entry.state != MemberState::Unknown);
        let is_alive = |entry: &&Entry| !entry.unreachable && entry.state != MemberState::Dead;
        let alive = known.clone().filter(is_alive).count();
        MemberCounts { alive, dead: known.count() - alive }
    }

    /// Whether an incarnation is not too far ahead of this member's clock.
    pub fn is_plausible(&self, incarnation: u32, now: Micros) -> bool {
        let (start_incarnation, started_at) = self.start;
        let ticks = (now.saturating_sub(started_at) / INCARNATION_TICK) as u32;
        let present = start_incarnation.saturating_add(ticks);
        incarnation <= present.saturating_add(MAX_INCARNATION_AHEAD)
    }

    /// Raises this member's incarnation, which refutes what is said of it. A lower one is ignored.
    pub fn refute(&mut self, incarnation: u32, now: Micros) {
        let entry = &mut self.entries[self.local_id as usize];
        if incarnation > entry.incarnation {
            (entry.incarnation, entry.state_since) = (incarnation, now);
            self.enqueue_update(self.local_id);
        }
    }

    /// Notes that something was received from a member: it is alive, whatever is said of it.
    ///
    /// A member that sends but does not receive cannot refute a suspicion that it never sees; a neighbor that misses
    /// some of its messages would have it declared dead by all. That its incarnation is raised by others does no
    /// harm: a member that restarts supersedes it.
    pub fn confirm_alive(&mut self, member: u32, now: Micros) {
        if let Some(record) = self.record(member).filter(|r| r.state > MemberState::Alive) {
            let incarnation = record.incarnation + 1;
            self.apply(MemberRecord { incarnation, state: MemberState::Alive, ..record }, now);
        }
    }

    /// Takes a received record in. Returns true if it was about this member, which has refuted it.
    pub fn apply(&mut self, record: MemberRecord, now: Micros) -> bool {
        let Some(entry) = self.entries.get(usize::from(record.member)).copied() else {
            return false;
        };
        if record.state == MemberState::Unknown || !self.is_plausible(record.incarnation, now) {
            return false;
        }
        if u32::from(record.member) == self.local_id {
            return self.apply_to_local(record, entry.incarnation, now);
        }
        if (record.incarnation, record.state) > (entry.incarnation, entry.state) {
            let MemberRecord { incarnation, state, .. } = record;
            self.entries[usize::from(record.member)] =
                Entry { incarnation, state, state_since: now, unreachable: entry.unreachable };
            self.reachability_outdated |=
                (state == MemberState::Dead) != (entry.state == MemberState::Dead);
            self.enqueue_update(record.member.into());
        }
        false
    }

    fn apply_to_local(&mut self, record: MemberRecord, incarnation: u32, now: Micros) -> bool {
        let must_refute = record.incarnation > incarnation
            || record.incarnation == incarnation && record.state > MemberState::Alive;
        if must_refute {
            self.refute(record.incarnation + 1, now);
        }
        must_refute
    }

    /// Suspects a neighbor from which nothing was received lately.
    pub fn suspect(&mut self, member: u32, now: Micros) {
        if let Some(record) = self.record(member).filter(|r| r.state == MemberState::Alive) {
            self.apply(MemberRecord { state: MemberState::Suspect, ..record }, now);
        }
    }

    /// Declares members dead whose suspicion has timed out, and finds those that are unreachable from here.
    pub fn advance(&mut self, now: Micros) {
        for member in 0..self.entries.len() {
            let entry = &mut self.entries[member];
            let suspected_for = now.saturating_sub(entry.state_since);
            if entry.state == MemberState::Suspect && suspected_for >= SUSPICION_TIMEOUT {
                (entry.state, entry.state_since) = (MemberState::Dead, now);
                self.enqueue_update(member as u32);
                self.reachability_outdated = true;
            }
        }
        if std::mem::take(&mut self.reachability_outdated) {
            self.update_reachability();
        }
    }

    /// Marks members that are connected to this one over dead members only.
    ///
    /// Where most of a cluster dies at once, some members die together with all of their neighbors, or next to one
    /// that lives but is isolated, and nobody would miss them. The price: a member that lives alone among dead ones
    /// counts as dead, and the others do to it, until one of its neighbors is back. The result is computed and not
    /// sent: if it were sent, it would be held against members that are back before their neighbors, which refute
    /// it, and are found unreachable again, without end.
    fn update_reachability(&mut self) {
        let mut visited = vec![false; self.entries.len()];
        visited[self.local_id as usize] = true;
        let mut frontier = vec![self.local_id];
        while let Some(member) = frontier.pop() {
            for &next in &self.neighbors[member as usize] {
                let is_dead = self.entries[next as usize].state == MemberState::Dead;
                if !is_dead && !std::mem::replace(&mut visited[next as usize], true) {
                    frontier.push(next);
                }
            }
        }
        for (entry, visited) in self.entries.iter_mut().zip(visited) {
            entry.unreachable = !visited && entry.state != MemberState::Unknown;
        }
    }

    fn enqueue_update(&mut self, member: u32) {
        let Ok(member) = u16::try_from(member) else { return };
        self.updates.retain(|(about, _)| *about != member);
        self.updates.push_front((member, UPDATE_TRANSMISSIONS));
    }

    /// Records for a message to `receiver`: what the receiver may have to refute, updates, and some records in turn.
    /// There are about `usual` of them where there are few updates, and never more than `capacity`.
    pub fn records_for(
        &mut self,
        receiver: u32,
        usual: usize,
        capacity: usize,
    ) -> Vec<MemberRecord> {
        let mut records: Vec<MemberRecord> = Vec::new();
        records.extend(self.record(receiver).filter(|r| r.state > MemberState::Alive));
        // Some places are for records in turn, however many updates there are.
        let usual = usual.min(capacity);
        let in_turn = usual / 2;
        let update_count = capacity.saturating_sub(records.len() + in_turn);
        self.take_updates(update_count, &mut records);
        let target = usual.max(records.len() + in_turn).min(capacity);
        self.take_in_turn(target, &mut records);
        records.truncate(capacity);
        records
    }

    /// Appends up to `count` updates, and counts them as sent once more.
    fn take_updates(&mut self, count: usize, records: &mut Vec<MemberRecord>) {
        let mut remaining = Vec::new();
        for _ in 0..self.updates.len().min(count) {
            let Some((member, transmissions)) = self.updates.pop_front() else { break };
            records.extend(self.record(member.into()));
            if transmissions > 1 {
                remaining.push((member, transmissions - 1));
            }
        }
        for (member, transmissions) in remaining {
            // What was sent least goes first: something new does not wait behind many others.
            let at = self.updates.partition_point(|(_, others)| *others >= transmissions);
            self.updates.insert(at, (member, transmissions));
        }
    }

    /// Appends records of known members in turn, until there are `target` of them.
    fn take_in_turn(&mut self, target: usize, records: &mut Vec<MemberRecord>) {
        for _ in 0..self.entries.len() {
            if records.len() >= target {
                break;
            }
            self.cursor = (self.cursor + 1) % self.entries.len();
            let record = self.record(self.cursor as u32);
            records.extend(record.filter(|r| r.state != MemberState::Unknown));
        }
    }
}

#[cfg(test)]
mod tests;
