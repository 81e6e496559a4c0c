//! The membership table: the states of all members as known to this one. It follows SWIM (Das, Gupta, Motivala, 2002).
//! Observations of neighbors are disseminated as updates, and a member refutes a suspicion about itself with a higher
//! incarnation. Every message also carries a few records in round-robin order, so that all tables converge eventually.

use std::collections::VecDeque;

use crate::Micros;

/// A suspected member that does not refute the suspicion within this time is declared dead.
const SUSPICION_TIMEOUT: Micros = 4_000_000;
/// Incarnations count eighths of a second; this is the length of one unit.
const INCARNATION_TICK: Micros = 125_000;
/// Incarnations that are further ahead of this member's clock than this are ignored: one hour.
///
/// A member could never supersede a forged incarnation of itself from the far future. The drawback: members whose
/// clocks differ by more than an hour do not recognize each other.
const MAX_INCARNATION_AHEAD: u32 = 3600 * 8;

/// Number of times an update is sent: once to each neighbor and a few more.
///
/// With three times the logarithm of the cluster size, as in protocols that send each message to a random member, the
/// updates about 400 members that return at the same time would take minutes in a cluster of 1,000, and the tables
/// would be wrong meanwhile. The drawback: if most messages are lost, updates that have not been disseminated by then
/// have to wait for their turn in the round-robin order of all records.
const UPDATE_TRANSMISSIONS: u8 = 10;

/// The state of a member. At the same incarnation a later state supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum MemberState {
    /// Nothing was ever received about the member.
    Unknown = 0,
    /// The member is running.
    Alive = 1,
    /// A neighbor has not received anything from the member within the link timeout.
    Suspect = 2,
    /// The member did not refute a suspicion in time.
    Dead = 3,
}

impl MemberState {
    /// Returns the state with this code in a message; `None` for codes of later versions.
    pub fn from_code(code: u8) -> Option<MemberState> {
        [MemberState::Unknown, MemberState::Alive, MemberState::Suspect, MemberState::Dead]
            .get(usize::from(code))
            .copied()
    }
}

/// A statement about a member, as sent in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Number of the member.
    pub member: u16,
    /// Incarnation of the member: its start time in eighths of a second since the beginning of 2025, or a later value.
    pub incarnation: u32,
    /// State of the member.
    pub state: MemberState,
}

/// Number of known members by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Members that are alive or suspected, and reachable from this one.
    pub alive: usize,
    /// Members that are dead or not reachable from this one.
    pub dead: usize,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: u32,
    state: MemberState,
    /// Time at which this table set the state.
    state_since: Micros,
    /// Whether every path to the member leads over dead members. Computed locally and never sent.
    unreachable: bool,
}

/// The table of all members.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    local_id: u32,
    entries: Vec<Entry>,
    /// Incarnation with which this member started, and the time of the start, both by its own clock.
    start: (u32, Micros),
    /// Members whose records have changed, and the number of times each update is still to be sent.
    updates: VecDeque<(u16, u8)>,
    /// Member whose record was sent last in round-robin order.
    cursor: usize,
    /// Whether a member has died or returned since reachability was last computed.
    reachability_outdated: bool,
    /// Neighbors of each member.
    neighbors: Vec<Vec<u32>>,
}

impl MembershipTable {
    /// Creates a table in which only `local_id` is alive. `neighbors` lists the neighbors of every member.
    ///
    /// # Panics
    ///
    /// Panics if `local_id` is not an index of `neighbors`.
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

    /// Returns this member's incarnation.
    pub fn incarnation(&self) -> u32 {
        self.entries[self.local_id as usize].incarnation
    }

    /// Returns what was received about a member; `None` for numbers outside the cluster.
    pub fn record(&self, member: u32) -> Option<MemberRecord> {
        let entry = self.entries.get(member as usize)?;
        let member = u16::try_from(member).ok()?;
        Some(MemberRecord { member, incarnation: entry.incarnation, state: entry.state })
    }

    /// Returns when this table set the current state of a member; `None` for numbers outside the cluster.
    pub fn state_since(&self, member: u32) -> Option<Micros> {
        self.entries.get(member as usize).map(|entry| entry.state_since)
    }

    /// Returns the record as operators see it: a member that is unreachable from this one counts as dead.
    pub fn effective_record(&self, member: u32) -> Option<MemberRecord> {
        let unreachable = self.entries.get(member as usize)?.unreachable;
        let record = self.record(member)?;
        let state = if unreachable { MemberState::Dead } else { record.state };
        Some(MemberRecord { state, ..record })
    }

    /// Returns the number of known members by state.
    pub fn counts(&self) -> MemberCounts {
        let known = self.entries.iter().filter(|entry| entry.state != MemberState::Unknown);
        let is_alive = |entry: &&Entry| !entry.unreachable && entry.state != MemberState::Dead;
        let alive = known.clone().filter(is_alive).count();
        MemberCounts { alive, dead: known.count() - alive }
    }

    /// Returns whether an incarnation is at most [`MAX_INCARNATION_AHEAD`] ahead of this member's clock.
    pub fn is_plausible(&self, incarnation: u32, now: Micros) -> bool {
        let (start_incarnation, started_at) = self.start;
        let ticks = (now.saturating_sub(started_at) / INCARNATION_TICK) as u32;
        let present = start_incarnation.saturating_add(ticks);
        incarnation <= present.saturating_add(MAX_INCARNATION_AHEAD)
    }

    /// Raises this member's incarnation, which refutes records about earlier ones. A lower incarnation is ignored.
    pub fn refute(&mut self, incarnation: u32, now: Micros) {
        let entry = &mut self.entries[self.local_id as usize];
        if incarnation > entry.incarnation {
            (entry.incarnation, entry.state_since) = (incarnation, now);
            self.enqueue_update(self.local_id);
        }
    }

    /// Records that a message was received from a member, which proves that it is alive.
    ///
    /// A member that sends but does not receive cannot refute a suspicion that it never sees, so a neighbor that misses
    /// some of its messages could make all members declare it dead. Raising its incarnation on its behalf is harmless:
    /// a member that restarts supersedes it.
    pub fn confirm_alive(&mut self, member: u32, now: Micros) {
        if let Some(record) = self.record(member).filter(|r| r.state > MemberState::Alive) {
            let incarnation = record.incarnation + 1;
            self.apply(MemberRecord { incarnation, state: MemberState::Alive, ..record }, now);
        }
    }

    /// Applies a received record. Returns true if it was about this member and had to be refuted.
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

    /// Suspects a neighbor from which nothing was received within the link timeout.
    pub fn suspect(&mut self, member: u32, now: Micros) {
        if let Some(record) = self.record(member).filter(|r| r.state == MemberState::Alive) {
            self.apply(MemberRecord { state: MemberState::Suspect, ..record }, now);
        }
    }

    /// Declares members dead whose suspicion has timed out, and updates which members are unreachable from this one.
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

    /// Marks members that are connected to this one only over dead members.
    ///
    /// If most of a cluster dies at the same time, some members die together with all of their neighbors, or only have
    /// live neighbors that are isolated themselves, so no connected member notices their death. The drawback: a live
    /// member with only dead neighbors counts as dead, and so do the others to it, until one of its neighbors is back.
    /// The result is not sent: members that return before their neighbors would refute it and be declared unreachable
    /// again, without end.
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

    /// Returns records for a message to `receiver`: a record that the receiver may have to refute, updates, and some
    /// records in round-robin order. There are about `base_count` of them while there are few updates, and at most
    /// `capacity`.
    pub fn records_for(
        &mut self,
        receiver: u32,
        base_count: usize,
        capacity: usize,
    ) -> Vec<MemberRecord> {
        let mut records: Vec<MemberRecord> = Vec::new();
        records.extend(self.record(receiver).filter(|r| r.state > MemberState::Alive));
        // Some space is reserved for records in round-robin order, regardless of the number of updates.
        let base_count = base_count.min(capacity);
        let round_robin_count = base_count / 2;
        let update_count = capacity.saturating_sub(records.len() + round_robin_count);
        self.append_updates(update_count, &mut records);
        let target = base_count.max(records.len() + round_robin_count).min(capacity);
        self.append_round_robin(target, &mut records);
        records.truncate(capacity);
        records
    }

    /// Appends up to `count` updates, and counts one transmission of each.
    fn append_updates(&mut self, count: usize, records: &mut Vec<MemberRecord>) {
        let mut remaining = Vec::new();
        for _ in 0..self.updates.len().min(count) {
            let Some((member, transmissions)) = self.updates.pop_front() else { break };
            records.extend(self.record(member.into()));
            if transmissions > 1 {
                remaining.push((member, transmissions - 1));
            }
        }
        for (member, transmissions) in remaining {
            // Updates with fewer transmissions are sent first, so that a new update does not wait behind many others.
            let at = self.updates.partition_point(|(_, others)| *others >= transmissions);
            self.updates.insert(at, (member, transmissions));
        }
    }

    /// Appends records of known members in round-robin order, until there are `target` records.
    fn append_round_robin(&mut self, target: usize, records: &mut Vec<MemberRecord>) {
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
