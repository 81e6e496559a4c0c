//! Tests of the membership table.

use std::collections::BTreeSet;

use super::*;
use crate::topology::neighbors;

fn record(member: u16, incarnation: u32, state: MemberState) -> MemberRecord {
    MemberRecord { member, incarnation, state }
}

#[test]
fn higher_incarnation_or_worse_state_at_the_same_incarnation_supersedes() {
    let mut table = MembershipTable::new(0, neighbors(4), 100, 0);
    let entry = |t: &MembershipTable| t.record(1).map(|r| (r.incarnation, r.state));
    for (received, expected) in [
        (record(1, 50, MemberState::Alive), (50, MemberState::Alive)),
        (record(1, 50, MemberState::Suspect), (50, MemberState::Suspect)),
        (record(1, 50, MemberState::Alive), (50, MemberState::Suspect)),
        (record(1, 51, MemberState::Alive), (51, MemberState::Alive)),
        (record(1, 50, MemberState::Dead), (51, MemberState::Alive)),
        (record(1, 51, MemberState::Dead), (51, MemberState::Dead)),
        (record(1, 100 + MAX_INCARNATION_AHEAD + 1, MemberState::Alive), (51, MemberState::Dead)),
        (record(1, 100 + MAX_INCARNATION_AHEAD, MemberState::Unknown), (51, MemberState::Dead)),
    ] {
        table.apply(received, 0);
        assert_eq!(entry(&table), Some(expected), "{received:?}");
    }
    assert!(!table.apply(record(9, 1, MemberState::Alive), 0), "no member has this number");
    assert_eq!(table.counts(), MemberCounts { alive: 1, dead: 1 });
}

#[test]
fn member_refutes_suspicion_and_supersedes_its_own_old_messages() {
    let mut table = MembershipTable::new(2, neighbors(4), 100, 0);
    assert!(!table.apply(record(2, 99, MemberState::Dead), 0), "an earlier incarnation");
    assert!(table.apply(record(2, 100, MemberState::Suspect), 0));
    assert_eq!(table.incarnation(), 101);
    // The clock of this member was ahead at an earlier start.
    assert!(table.apply(record(2, 3000, MemberState::Alive), 0));
    assert_eq!(table.incarnation(), 3001);
}

#[test]
fn silent_member_is_suspected_then_declared_dead_and_updates_are_sent_a_limited_number_of_times() {
    let mut table = MembershipTable::new(0, neighbors(300), 100, 0);
    table.apply(record(7, 100, MemberState::Alive), 0);
    table.suspect(7, 1_000_000);
    table.advance(4_900_000);
    assert_eq!(table.record(7).map(|r| r.state), Some(MemberState::Suspect));
    let sent = table.records_for(7, 3, 3);
    assert_eq!(sent[0].member, 7, "the first record is the one that the receiver may refute");
    table.advance(5_000_000);
    assert_eq!(table.record(7).map(|r| r.state), Some(MemberState::Dead));
    // Only two members are known: there are no more updates after a while, and records are sent in round-robin order.
    let count = (0..200).filter(|_| table.records_for(9, 1, 1)[0].member == 7).count();
    assert!((10..=110).contains(&count), "{count}");
    assert!(table.updates.is_empty());
}

#[test]
fn member_behind_dead_members_counts_as_dead_locally_and_this_is_not_sent() {
    let neighbors = neighbors(40);
    let mut table = MembershipTable::new(0, neighbors.clone(), 100, 0);
    (1..40).for_each(|member| _ = table.apply(record(member, 100, MemberState::Alive), 0));
    let isolated = (1..40).find(|m| !neighbors[0].contains(m)).expect("not all are neighbors");
    for member in &neighbors[isolated as usize] {
        table.apply(record(*member as u16, 100, MemberState::Dead), 1);
    }
    table.advance(2);
    let dead = neighbors[isolated as usize].len() + 1;
    assert_eq!(table.counts(), MemberCounts { alive: 40 - dead, dead });
    assert_eq!(table.effective_record(isolated).map(|r| r.state), Some(MemberState::Dead));
    assert_eq!(table.record(isolated).map(|r| r.state), Some(MemberState::Alive));
    let sent = (0..400).flat_map(|_| table.records_for(0, 6, 20));
    let mut about_isolated = sent.filter(|r| u32::from(r.member) == isolated);
    assert!(about_isolated.all(|r| r.state == MemberState::Alive));
    // Once one of its neighbors is back, so is the member, without a message of its own.
    let neighbor = neighbors[isolated as usize][0] as u16;
    table.apply(record(neighbor, 101, MemberState::Alive), 3);
    table.advance(4);
    assert_eq!(table.effective_record(isolated).map(|r| r.state), Some(MemberState::Alive));
}

#[test]
fn messages_are_full_while_there_are_updates_and_short_otherwise() {
    let mut table = MembershipTable::new(0, neighbors(300), 100, 0);
    (1..=100).for_each(|member| _ = table.apply(record(member, 100, MemberState::Alive), 0));
    let sent: BTreeSet<u16> =
        (0..5).flat_map(|_| table.records_for(9, 6, 27)).map(|r| r.member).collect();
    assert!(sent.len() > 100, "five messages contain all hundred updates: {}", sent.len());
    let lengths = (0..200).map(|_| table.records_for(9, 6, 27).len()).collect::<Vec<_>>();
    assert!(lengths[..30].iter().all(|n| *n == 27) && lengths[100..].iter().all(|n| *n == 6));
}
