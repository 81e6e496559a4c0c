//! A link to a neighbour, and what has flowed over it: flow updating (Jesus, Baquero, Almeida, 2009). One of its
//! two ends asks, by telling its estimate; the other changes the flow, if the one that asks has the last change,
//! and answers with it at once; who asked takes it over.
//!
//! Danger: an end that tells several neighbours the same estimate before any of their changes has come back is
//! moved by all of them, and the estimates of all swing ever further. So an exchange is short, and an end that
//! waits for an answer begins no other.

use crate::Micros;
use crate::note::{Carries, MOST_VALUES, Note};
use crate::rings::changes;

/// Values, in the order of the note's.
pub type Values = [f64; MOST_VALUES];

/// Estimates beyond this are not averaged.
///
/// Danger: one member that counts wrong by a factor of a million would drown all others. Harmful where a single
/// sidecar does more than this a second.
pub const MOST: f64 = 1e5;

/// So often an exchange is tried before all others have had their turn.
const TRIES: u32 = 2;

/// How a link is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hearing {
    /// Nothing has come lately.
    Silent,
    /// Something comes, and the other end does not hear, or means something else by its values.
    Half,
    /// Both ends hear.
    Both,
}

/// One end of a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// The neighbour.
    pub peer: u32,
    /// Whether this end changes the flow.
    changes: bool,
    /// The neighbour's incarnation; 0: not known.
    incarnation: u32,
    /// The last number that went out, the last that came, and the last of ours that had arrived there.
    sent: u32,
    heard: u32,
    echoed: u32,
    /// When it last came, and when a new echo last came.
    heard_at: Option<Micros>,
    echoed_at: Option<Micros>,
    /// When something last went out, and how much has since anything came.
    told_at: Option<Micros>,
    missed: u32,
    /// The values mean the same at both ends.
    alike: bool,
    /// What has flowed from here to there, and its version; at the other end, the version taken over; 0: none.
    flow: Values,
    version: u32,
    up: bool,
}

impl Link {
    /// One to a neighbour that was never heard.
    pub fn new(me: u32, peer: u32) -> Link {
        let changes = changes(me, peer);
        Link {
            peer,
            changes,
            incarnation: 0,
            sent: 0,
            heard: 0,
            echoed: 0,
            heard_at: None,
            echoed_at: None,
            told_at: None,
            missed: 0,
            alike: false,
            flow: [0.0; MOST_VALUES],
            version: u32::from(changes),
            up: false,
        }
    }

    /// What has flowed from here to there, while the link is up.
    pub fn flow(&self) -> &Values {
        &self.flow
    }

    /// Whether values are shared over it.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// The neighbour's incarnation, if it was ever heard.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Whether this end asks on it.
    pub fn asks(&self) -> bool {
        !self.changes
    }

    /// When the neighbour was last heard.
    pub fn heard_at(&self) -> Option<Micros> {
        self.heard_at
    }

    /// How it is, where what is older than `silent` does not count.
    pub fn hearing(&self, now: Micros, silent: Micros) -> Hearing {
        let fresh = |at: Option<Micros>| at.is_some_and(|at| now.saturating_sub(at) < silent);
        match (fresh(self.heard_at), fresh(self.echoed_at) && self.alike) {
            (false, _) => Hearing::Silent,
            (true, false) => Hearing::Half,
            (true, true) => Hearing::Both,
        }
    }

    /// Sees whether it is still up. One that is not forgets its flow.
    pub fn pass(&mut self, now: Micros, silent: Micros) {
        let up = self.hearing(now, silent) == Hearing::Both;
        if self.up && !up {
            self.forget();
        }
        self.up = up;
    }

    /// Both ends begin anew.
    pub fn forget(&mut self) {
        self.flow = [0.0; MOST_VALUES];
        self.version = if self.changes { self.version.wrapping_add(1).max(1) } else { 0 };
    }

    /// When its turn is: the least comes first.
    ///
    /// Danger: if the one that was heard the longest ago were always next, a neighbour that has died would take
    /// every turn until it counts as silent, and by then all others would. So a lost exchange is tried again soon,
    /// but not for ever. Harmful where more than half of all notes are lost.
    pub fn turn(&self) -> Option<Micros> {
        // What comes unasked does not put off its turn.
        if (1..=TRIES).contains(&self.missed) { self.heard_at } else { self.told_at }
    }

    /// When something last went out.
    pub fn told_at(&self) -> Option<Micros> {
        self.told_at
    }

    /// The next note's link part. `estimate` is this member's.
    pub fn write(
        &mut self,
        mine: u32,
        shape: u16,
        values: usize,
        estimate: &Values,
        now: Micros,
    ) -> Note {
        self.sent = self.sent.wrapping_add(1);
        self.told_at = Some(now);
        self.missed += 1;
        let carries = if self.changes { Carries::Flow } else { Carries::Estimate };
        let from = if self.changes { &self.flow } else { estimate };
        Note {
            incarnation: mine,
            to: self.incarnation,
            number: self.sent,
            echo: self.heard,
            version: self.version,
            shape,
            carries,
            values: from[..values].iter().map(|v| *v as f32).collect(),
            records: Vec::new(),
        }
    }

    /// Takes a note in. False: it is old, or of an earlier life, and nothing of it counts.
    ///
    /// Danger: replays, and notes that were long under way, look like new ones. Numbers only rise within an
    /// incarnation, and incarnations only rise.
    pub fn read(
        &mut self,
        note: &Note,
        mine: u32,
        shape: u16,
        estimate: &Values,
        now: Micros,
    ) -> bool {
        if note.incarnation < self.incarnation || note.incarnation == 0 {
            return false;
        }
        if note.incarnation > self.incarnation {
            self.incarnation = note.incarnation;
            self.heard = 0;
            (self.echoed, self.echoed_at) = (0, None);
            self.forget();
        }
        if note.number <= self.heard {
            return false;
        }
        self.heard = note.number;
        self.heard_at = Some(now);
        self.missed = 0;
        self.alike = note.shape == shape;
        // What it says of our notes is of an earlier life of ours, or of no number that we have sent.
        if note.to != mine || note.echo > self.sent {
            return true;
        }
        if note.echo > self.echoed {
            self.echoed = note.echo;
            self.echoed_at = Some(now);
        }
        if self.up && self.alike {
            self.values(note, estimate);
        }
        true
    }

    fn values(&mut self, note: &Note, estimate: &Values) {
        let sound = |v: &f32| v.is_finite() && f64::from(v.abs()) <= MOST;
        if !note.values.iter().all(sound) || note.values.len() > MOST_VALUES {
            return;
        }
        match (self.changes, note.carries) {
            // Half of the difference, once the other end has what it was last told.
            (true, Carries::Estimate) if note.version == self.version => {
                for (n, theirs) in note.values.iter().enumerate() {
                    let flow = self.flow[n] + (estimate[n] - f64::from(*theirs)) / 2.0;
                    self.flow[n] = flow.clamp(-MOST, MOST);
                }
                self.version = self.version.wrapping_add(1).max(1);
            }
            (false, Carries::Flow) => {
                for (n, theirs) in note.values.iter().enumerate() {
                    self.flow[n] = -f64::from(*theirs);
                }
                self.version = note.version;
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SILENT: Micros = 100;

    /// A link's two ends: the one that changes, and the one that asks, each with its own value.
    struct Pair {
        changes: Link,
        asks: Link,
        own: [f64; 2],
        now: Micros,
    }

    fn pair() -> Pair {
        let (mut a, mut b) = (Link::new(0, 1), Link::new(1, 0));
        if a.asks() {
            (a, b) = (Link::new(1, 0), Link::new(0, 1));
        }
        let mut pair = Pair { changes: a, asks: b, own: [10.0, 2.0], now: 0 };
        pair.exchange();
        pair.exchange();
        pair
    }

    impl Pair {
        fn estimate(&self, which: usize) -> Values {
            let link = if which == 0 { &self.changes } else { &self.asks };
            let mut all = [0.0; MOST_VALUES];
            all[0] = self.own[which] - link.flow()[0];
            all
        }

        fn ask(&mut self) -> Note {
            self.now += 1;
            let estimate = self.estimate(1);
            self.asks.write(7, 3, 1, &estimate, self.now)
        }

        /// The changing end takes a question in, and answers.
        fn answer(&mut self, question: &Note) -> Option<Note> {
            let taken = self.changes.read(question, 5, 3, &self.estimate(0), self.now);
            self.changes.pass(self.now, SILENT);
            let estimate = self.estimate(0);
            taken.then(|| self.changes.write(5, 3, 1, &estimate, self.now))
        }

        fn take(&mut self, answer: &Note) -> bool {
            let taken = self.asks.read(answer, 7, 3, &self.estimate(1), self.now);
            self.asks.pass(self.now, SILENT);
            taken
        }

        fn exchange(&mut self) {
            let question = self.ask();
            let answer = self.answer(&question).expect("it is taken");
            assert!(self.take(&answer));
        }

        fn both(&self) -> [f64; 2] {
            [self.estimate(0)[0], self.estimate(1)[0]]
        }
    }

    #[test]
    fn an_exchange_brings_both_ends_to_their_mean_and_its_sum_stays() {
        let mut pair = pair();
        pair.exchange();
        assert_eq!(pair.both(), [6.0, 6.0]);
        pair.own[1] = 4.0;
        pair.exchange();
        assert_eq!(pair.both(), [7.0, 7.0]);
    }

    #[test]
    fn what_is_lost_or_comes_twice_changes_nothing_twice() {
        let mut pair = pair();
        // The answer is lost, and the same is asked again: one change, not two.
        let question = pair.ask();
        assert!(pair.answer(&question).is_some());
        assert!(pair.answer(&question).is_none(), "a copy of the question");
        let again = pair.ask();
        let answer = pair.answer(&again).expect("it is taken");
        assert!(pair.take(&answer) && !pair.take(&answer), "and a copy of the answer");
        assert_eq!(pair.both(), [6.0, 6.0]);
    }

    #[test]
    fn notes_of_an_earlier_life_are_old_and_a_new_life_begins_with_no_flow() {
        let mut pair = pair();
        pair.exchange();
        let old = pair.ask();
        let newer = Note { incarnation: 8, number: 1, to: 0, echo: 0, version: 0, ..old.clone() };
        assert!(pair.answer(&newer).is_some());
        assert_eq!(pair.changes.flow()[0], 0.0);
        assert!(pair.answer(&Note { number: 99, ..old }).is_none());
    }

    #[test]
    fn a_silent_link_gives_back_what_flowed_over_it() {
        let mut pair = pair();
        pair.exchange();
        assert!(pair.changes.is_up() && pair.changes.flow()[0] != 0.0);
        pair.changes.pass(pair.now + SILENT, SILENT);
        assert!(!pair.changes.is_up());
        assert_eq!(pair.both()[0], 10.0);
    }

    #[test]
    fn values_that_cannot_be_are_not_averaged() {
        for wrong in [f32::NAN, f32::INFINITY, -1e9, 2e5] {
            let mut pair = pair();
            pair.exchange();
            let question = Note { values: vec![wrong], ..pair.ask() };
            assert!(pair.answer(&question).is_some());
            assert_eq!(pair.both()[0], 6.0, "{wrong}");
            let answer = Note {
                values: vec![wrong],
                ..pair.changes.clone().write(5, 3, 1, &[0.0; MOST_VALUES], 9)
            };
            assert!(pair.take(&answer));
            assert_eq!(pair.both()[1], 6.0, "{wrong}");
        }
    }

    #[test]
    fn a_neighbour_that_does_not_answer_is_asked_again_soon_but_not_for_ever() {
        let mut pair = pair();
        pair.exchange();
        let heard = pair.asks.heard_at();
        for lost in 1..=2 {
            let asked = pair.ask();
            assert_eq!(pair.asks.turn(), heard, "{lost} {asked:?}");
        }
        pair.ask();
        assert_eq!(pair.asks.turn(), Some(pair.now), "the others come first");
    }
}
