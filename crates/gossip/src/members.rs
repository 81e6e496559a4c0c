//! Who of the tier is there, as far as is known: SWIM's table (Das, Gupta, Motivala, 2002). What a neighbour
//! notices goes round as rumours; only a member itself takes back that it is suspected, by a higher incarnation.
//! A few records in turn go with every note, so that every table becomes right in the end.

use std::collections::VecDeque;

use crate::Micros;

/// A member that is suspected and does not take it back within this is gone.
const SUSPECTED: Micros = 4_000_000;
/// Incarnations further ahead of this member's clock are passed over.
///
/// Danger: a false one from the far future could never be outdone by the member that it is about. Harmful only
/// where clocks are more than an hour apart.
const AHEAD: u32 = 3600 * 8;

/// So often a rumour is told: once to each neighbour, in turn, and a few more.
///
/// Danger: with three times the tier's logarithm, as where each note goes to anybody, four hundred members that come
/// back together are told for minutes in a tier of a thousand, and nobody knows who is there meanwhile. Harmful
/// where most notes are lost: what has not come round then has to wait for its turn among all records.
const OFTEN: u8 = 10;

/// How a member is. What comes later outdoes what comes before, at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Presence {
    /// Never heard of.
    Unknown = 0,
    /// There.
    Alive = 1,
    /// Silent for somebody.
    Suspect = 2,
    /// Not there any more.
    Gone = 3,
}

impl Presence {
    /// The presence of this number.
    pub fn of(n: u8) -> Option<Presence> {
        [Presence::Unknown, Presence::Alive, Presence::Suspect, Presence::Gone]
            .get(usize::from(n))
            .copied()
    }
}

/// What is said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its number.
    pub who: u16,
    /// Since which start: eighths of a second since 2025, or more than that.
    pub incarnation: u32,
    /// How it is.
    pub presence: Presence,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    incarnation: u32,
    presence: Presence,
    /// Since when it is so, here.
    since: Micros,
    /// Every way to it leads over members that are gone. Nobody else is told so.
    apart: bool,
}

/// The table.
#[derive(Clone, Debug)]
pub struct Members {
    me: u32,
    table: Vec<Known>,
    /// This member's own start, by its own clock, and when that was.
    start: (u32, Micros),
    /// Members about whom something is new, and how often it is still to be told.
    rumours: VecDeque<(u16, u8)>,
    next: usize,
    /// Somebody is gone, or there, since it was last seen who can still be heard.
    changed: bool,
    /// Who could hear each of them.
    beside: Vec<Vec<u32>>,
}

impl Members {
    /// A table in which `me` alone is there.
    pub fn new(me: u32, beside: Vec<Vec<u32>>, incarnation: u32, now: Micros) -> Members {
        let unknown =
            Known { incarnation: 0, presence: Presence::Unknown, since: now, apart: false };
        let mut table = vec![unknown; beside.len()];
        table[me as usize] = Known { incarnation, presence: Presence::Alive, ..unknown };
        let mut members = Members {
            me,
            table,
            start: (incarnation, now),
            rumours: VecDeque::new(),
            next: 0,
            changed: false,
            beside,
        };
        members.spread(me);
        members
    }

    /// This member's incarnation.
    pub fn incarnation(&self) -> u32 {
        self.table[self.me as usize].incarnation
    }

    /// What is known of a member.
    pub fn record(&self, who: u32) -> Option<Record> {
        let known = self.table.get(who as usize)?;
        let who = u16::try_from(who).ok()?;
        Some(Record { who, incarnation: known.incarnation, presence: known.presence })
    }

    /// Since when a member is as it is, as far as is known here.
    pub fn since(&self, who: u32) -> Option<Micros> {
        self.table.get(who as usize).map(|k| k.since)
    }

    /// The same as operators are to see it: who cannot be heard from here any more is gone, too.
    pub fn seen(&self, who: u32) -> Option<Record> {
        let apart = self.table.get(who as usize)?.apart;
        let record = self.record(who)?;
        Some(Record { presence: if apart { Presence::Gone } else { record.presence }, ..record })
    }

    /// Members by presence: alive or suspected, and gone.
    pub fn counts(&self) -> (usize, usize) {
        let known = self.table.iter().filter(|k| k.presence != Presence::Unknown);
        let there = known.clone().filter(|k| !k.apart && k.presence != Presence::Gone).count();
        (there, known.count() - there)
    }

    /// Whether an incarnation is of a time that can be.
    pub fn may_be(&self, incarnation: u32, now: Micros) -> bool {
        let since_start = (now.saturating_sub(self.start.1) / 125_000) as u32;
        incarnation <= self.start.0.saturating_add(since_start).saturating_add(AHEAD)
    }

    /// This member's incarnation is that from now on, or what it was if that is higher.
    pub fn rise(&mut self, incarnation: u32, now: Micros) {
        let known = &mut self.table[self.me as usize];
        if incarnation > known.incarnation {
            (known.incarnation, known.since) = (incarnation, now);
            self.spread(self.me);
        }
    }

    /// Whoever was just heard is there, whatever is said of it.
    ///
    /// Danger: one that speaks and is deaf cannot take back what it does not hear; somebody beside it, who misses
    /// some notes, would have it gone for all. Harmful to nobody: a member that begins anew is known by more.
    pub fn vouch(&mut self, who: u32, now: Micros) {
        if let Some(known) = self.record(who).filter(|r| r.presence > Presence::Alive) {
            let incarnation = known.incarnation + 1;
            self.take(Record { incarnation, presence: Presence::Alive, ..known }, now);
        }
    }

    /// Takes a record in. True: it was about this member, and it has outdone it.
    pub fn take(&mut self, record: Record, now: Micros) -> bool {
        let Some(known) = self.table.get(usize::from(record.who)).copied() else { return false };
        if record.presence == Presence::Unknown || !self.may_be(record.incarnation, now) {
            return false;
        }
        if u32::from(record.who) == self.me {
            let outdone = record.incarnation > known.incarnation
                || record.incarnation == known.incarnation && record.presence > Presence::Alive;
            if outdone {
                self.rise(record.incarnation + 1, now);
            }
            return outdone;
        }
        if (record.incarnation, record.presence) > (known.incarnation, known.presence) {
            let Record { incarnation, presence, .. } = record;
            self.table[usize::from(record.who)] =
                Known { incarnation, presence, since: now, apart: known.apart };
            self.changed |= (presence == Presence::Gone) != (known.presence == Presence::Gone);
            self.spread(record.who.into());
        }
        false
    }

    /// A neighbour is silent.
    pub fn suspect(&mut self, who: u32, now: Micros) {
        if let Some(record) = self.record(who).filter(|r| r.presence == Presence::Alive) {
            self.take(Record { presence: Presence::Suspect, ..record }, now);
        }
    }

    /// Who was suspected for long is gone, and so is whoever cannot be heard from here any more.
    pub fn pass(&mut self, now: Micros) {
        for who in 0..self.table.len() {
            let known = &mut self.table[who];
            if known.presence == Presence::Suspect && now.saturating_sub(known.since) >= SUSPECTED {
                (known.presence, known.since) = (Presence::Gone, now);
                self.spread(who as u32);
                self.changed = true;
            }
        }
        if std::mem::take(&mut self.changed) {
            self.part();
        }
    }

    /// Whoever is only linked to members that are gone is gone as well, as far as can be seen from here.
    ///
    /// Danger: where most of a tier dies at once, some die with all their neighbours, or beside one that lives but
    /// is alone, and nobody would miss them. Harmful to who lives alone among the dead: it counts as gone, and the
    /// others to it, until one of its neighbours is back. It is worked out and not told: told, it would be held
    /// against members that are back before their neighbours, who outdo it, and are found apart again, for ever.
    fn part(&mut self) {
        let mut met = vec![false; self.table.len()];
        met[self.me as usize] = true;
        let mut edge = vec![self.me];
        while let Some(at) = edge.pop() {
            for &next in &self.beside[at as usize] {
                let there = self.table[next as usize].presence != Presence::Gone;
                if there && !std::mem::replace(&mut met[next as usize], true) {
                    edge.push(next);
                }
            }
        }
        for (known, met) in self.table.iter_mut().zip(met) {
            known.apart = !met && known.presence != Presence::Unknown;
        }
    }

    fn spread(&mut self, who: u32) {
        let Ok(who) = u16::try_from(who) else { return };
        self.rumours.retain(|(about, _)| *about != who);
        self.rumours.push_front((who, OFTEN));
    }

    /// Records for a note to `to`: what it has to hear of itself, rumours, and some in turn; `few` where little is
    /// new, at most as many as have `room`.
    pub fn records(&mut self, to: u32, few: usize, room: usize) -> Vec<Record> {
        let mut all: Vec<Record> = Vec::new();
        let own = self.record(to).filter(|r| r.presence > Presence::Alive);
        all.extend(own);
        // Some places are for what comes in turn, however much is new.
        let (few, mut later) = (few.min(room), Vec::new());
        for _ in 0..self.rumours.len().min(room.saturating_sub(all.len() + few / 2)) {
            let Some((who, left)) = self.rumours.pop_front() else { break };
            all.extend(self.record(who.into()));
            if left > 1 {
                later.push((who, left - 1));
            }
        }
        for (who, left) in later {
            // What was told least goes first: something new does not wait behind a crowd.
            let at = self.rumours.partition_point(|(_, others)| *others >= left);
            self.rumours.insert(at, (who, left));
        }
        let upto = few.max(all.len() + few / 2).min(room);
        for _ in 0..self.table.len() {
            if all.len() >= upto {
                break;
            }
            self.next = (self.next + 1) % self.table.len();
            let record = self.record(self.next as u32);
            all.extend(record.filter(|r| r.presence != Presence::Unknown));
        }
        all.truncate(room);
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::rings::neighbours;

    fn say(who: u16, incarnation: u32, presence: Presence) -> Record {
        Record { who, incarnation, presence }
    }

    #[test]
    fn a_higher_incarnation_outdoes_all_and_at_the_same_the_worse_does() {
        let mut members = Members::new(0, neighbours(4), 100, 0);
        let is = |m: &Members| m.record(1).map(|r| (r.incarnation, r.presence));
        for (say, then) in [
            (say(1, 50, Presence::Alive), (50, Presence::Alive)),
            (say(1, 50, Presence::Suspect), (50, Presence::Suspect)),
            (say(1, 50, Presence::Alive), (50, Presence::Suspect)),
            (say(1, 51, Presence::Alive), (51, Presence::Alive)),
            (say(1, 50, Presence::Gone), (51, Presence::Alive)),
            (say(1, 51, Presence::Gone), (51, Presence::Gone)),
            (say(1, 100 + AHEAD + 1, Presence::Alive), (51, Presence::Gone)),
            (say(1, 100 + AHEAD, Presence::Unknown), (51, Presence::Gone)),
        ] {
            members.take(say, 0);
            assert_eq!(is(&members), Some(then), "{say:?}");
        }
        assert!(!members.take(say(9, 1, Presence::Alive), 0), "nobody has this number");
        assert_eq!(members.counts(), (1, 1));
    }

    #[test]
    fn a_member_takes_back_what_is_said_of_it_and_outdoes_its_own_old_notes() {
        let mut members = Members::new(2, neighbours(4), 100, 0);
        assert!(!members.take(say(2, 99, Presence::Gone), 0), "of an earlier life");
        assert!(members.take(say(2, 100, Presence::Suspect), 0));
        assert_eq!(members.incarnation(), 101);
        // Its clock was ahead when it started before.
        assert!(members.take(say(2, 3000, Presence::Alive), 0));
        assert_eq!(members.incarnation(), 3001);
    }

    #[test]
    fn who_is_silent_is_suspected_then_gone_and_told_so_as_often_as_it_takes() {
        let mut members = Members::new(0, neighbours(300), 100, 0);
        members.take(say(7, 100, Presence::Alive), 0);
        members.suspect(7, 1_000_000);
        members.pass(4_900_000);
        assert_eq!(members.record(7).map(|r| r.presence), Some(Presence::Suspect));
        let told = members.records(7, 3, 3);
        assert_eq!(told[0].who, 7, "it hears first what is said of itself");
        members.pass(5_000_000);
        assert_eq!(members.record(7).map(|r| r.presence), Some(Presence::Gone));
        // Nobody is known but two: rumours run out, and what is known goes round all the same.
        let often = (0..200).filter(|_| members.records(9, 1, 1)[0].who == 7).count();
        assert!((10..=110).contains(&often), "{often}");
        assert!(members.rumours.is_empty());
    }

    #[test]
    fn who_is_only_beside_the_gone_counts_as_gone_here_and_nobody_is_told() {
        let beside = neighbours(40);
        let mut members = Members::new(0, beside.clone(), 100, 0);
        (1..40).for_each(|who| _ = members.take(say(who, 100, Presence::Alive), 0));
        let apart = (1..40).find(|who| !beside[0].contains(who)).expect("not all are beside it");
        for who in &beside[apart as usize] {
            members.take(say(*who as u16, 100, Presence::Gone), 1);
        }
        members.pass(2);
        let near = beside[apart as usize].len();
        assert_eq!(members.counts(), (39 - near, near + 1));
        assert_eq!(members.seen(apart).map(|r| r.presence), Some(Presence::Gone));
        assert_eq!(members.record(apart).map(|r| r.presence), Some(Presence::Alive));
        let told = (0..400).flat_map(|_| members.records(0, 6, 20));
        assert!(told.filter(|r| u32::from(r.who) == apart).all(|r| r.presence == Presence::Alive));
        // One of its neighbours is back: so is it, without a word of its own.
        members.take(say(beside[apart as usize][0] as u16, 101, Presence::Alive), 3);
        members.pass(4);
        assert_eq!(members.seen(apart).map(|r| r.presence), Some(Presence::Alive));
    }

    #[test]
    fn notes_are_full_while_there_is_news_and_short_when_there_is_none() {
        let mut members = Members::new(0, neighbours(300), 100, 0);
        (1..=100).for_each(|who| _ = members.take(say(who, 100, Presence::Alive), 0));
        let told: std::collections::BTreeSet<u16> =
            (0..5).flat_map(|_| members.records(9, 6, 27)).map(|r| r.who).collect();
        assert!(told.len() > 100, "in five notes all of a hundred: {}", told.len());
        let notes = (0..200).map(|_| members.records(9, 6, 27).len()).collect::<Vec<_>>();
        assert!(notes[..30].iter().all(|n| *n == 27) && notes[100..].iter().all(|n| *n == 6));
    }
}
