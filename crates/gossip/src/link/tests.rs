//! Tests of exchanges between the two ends of a link.

use super::*;

const TIMEOUT: Micros = 100;
const OWNER_INCARNATION: u32 = 5;
const INITIATOR_INCARNATION: u32 = 7;
const SCHEMA: u16 = 3;

/// The two ends of a link, each with the local value of its member.
struct Pair {
    owner: Link,
    initiator: Link,
    owner_value: f64,
    initiator_value: f64,
    now: Micros,
}

fn connected_pair() -> Pair {
    let (mut owner, mut initiator) = (Link::new(0, 1), Link::new(1, 0));
    if owner.is_initiator() {
        (owner, initiator) = (Link::new(1, 0), Link::new(0, 1));
    }
    let mut pair = Pair { owner, initiator, owner_value: 10.0, initiator_value: 2.0, now: 0 };
    pair.exchange();
    pair.exchange();
    pair
}

fn local(incarnation: u32, estimate: &Values) -> LocalState<'_> {
    LocalState { incarnation, schema: SCHEMA, estimate }
}

fn estimate(link: &Link, value: f64) -> Values {
    let mut all = [0.0; MAX_VALUES];
    all[0] = value - link.flow()[0];
    all
}

impl Pair {
    fn owner_estimate(&self) -> Values {
        estimate(&self.owner, self.owner_value)
    }

    fn initiator_estimate(&self) -> Values {
        estimate(&self.initiator, self.initiator_value)
    }

    fn initiate(&mut self) -> Message {
        self.now += 1;
        let estimate = self.initiator_estimate();
        self.initiator.next_message(local(INITIATOR_INCARNATION, &estimate), 1, self.now)
    }

    /// Lets the owner of the flow receive an estimate. Returns its answer if the message was accepted.
    fn answer(&mut self, request: &Message) -> Option<Message> {
        let estimate = self.owner_estimate();
        let accepted = self.owner.receive(request, local(OWNER_INCARNATION, &estimate), self.now);
        self.owner.refresh(self.now, TIMEOUT);
        let estimate = self.owner_estimate();
        accepted.then(|| self.owner.next_message(local(OWNER_INCARNATION, &estimate), 1, self.now))
    }

    fn finish(&mut self, answer: &Message) -> bool {
        let estimate = self.initiator_estimate();
        let state = local(INITIATOR_INCARNATION, &estimate);
        let accepted = self.initiator.receive(answer, state, self.now);
        self.initiator.refresh(self.now, TIMEOUT);
        accepted
    }

    fn exchange(&mut self) {
        let request = self.initiate();
        let answer = self.answer(&request).expect("the request is accepted");
        assert!(self.finish(&answer));
    }

    fn estimates(&self) -> [f64; 2] {
        [self.owner_estimate()[0], self.initiator_estimate()[0]]
    }
}

#[test]
fn exchange_brings_both_ends_to_their_mean_and_preserves_the_sum() {
    let mut pair = connected_pair();
    pair.exchange();
    assert_eq!(pair.estimates(), [6.0, 6.0]);
    pair.initiator_value = 4.0;
    pair.exchange();
    assert_eq!(pair.estimates(), [7.0, 7.0]);
}

#[test]
fn lost_and_duplicated_messages_do_not_change_the_flow_twice() {
    let mut pair = connected_pair();
    // The answer is lost and the same estimate is sent again: the flow changes once, not twice.
    let request = pair.initiate();
    assert!(pair.answer(&request).is_some());
    assert!(pair.answer(&request).is_none(), "a duplicate of the request");
    let retry = pair.initiate();
    let answer = pair.answer(&retry).expect("the request is accepted");
    assert!(pair.finish(&answer) && !pair.finish(&answer), "a duplicate of the answer");
    assert_eq!(pair.estimates(), [6.0, 6.0]);
}

#[test]
fn messages_of_an_earlier_incarnation_are_ignored_and_a_new_one_starts_without_flow() {
    let mut pair = connected_pair();
    pair.exchange();
    let old = pair.initiate();
    let restarted = Message {
        incarnation: INITIATOR_INCARNATION + 1,
        sequence: 1,
        receiver_incarnation: 0,
        acknowledged: 0,
        flow_version: 0,
        ..old.clone()
    };
    assert!(pair.answer(&restarted).is_some());
    assert_eq!(pair.owner.flow()[0], 0.0);
    assert!(pair.answer(&Message { sequence: 99, ..old }).is_none());
}

#[test]
fn silent_link_resets_its_flow() {
    let mut pair = connected_pair();
    pair.exchange();
    assert!(pair.owner.is_up() && pair.owner.flow()[0] != 0.0);
    pair.owner.refresh(pair.now + TIMEOUT, TIMEOUT);
    assert!(!pair.owner.is_up());
    assert_eq!(pair.estimates()[0], 10.0);
}

#[test]
fn invalid_values_are_not_averaged() {
    for invalid in [f32::NAN, f32::INFINITY, -1e9, 2e5] {
        let mut pair = connected_pair();
        pair.exchange();
        let request = Message { values: vec![invalid], ..pair.initiate() };
        assert!(pair.answer(&request).is_some());
        assert_eq!(pair.estimates()[0], 6.0, "{invalid}");
        let none = [0.0; MAX_VALUES];
        let state = local(OWNER_INCARNATION, &none);
        let answer = pair.owner.clone().next_message(state, 1, 9);
        assert!(pair.finish(&Message { values: vec![invalid], ..answer }));
        assert_eq!(pair.estimates()[1], 6.0, "{invalid}");
    }
}

#[test]
fn unanswered_exchange_is_repeated_soon_but_a_limited_number_of_times() {
    let mut pair = connected_pair();
    pair.exchange();
    let received_at = pair.initiator.received_at();
    for lost in 1..=2 {
        let request = pair.initiate();
        assert_eq!(pair.initiator.exchange_order(), received_at, "{lost} {request:?}");
    }
    pair.initiate();
    assert_eq!(pair.initiator.exchange_order(), Some(pair.now), "other links come first");
}
