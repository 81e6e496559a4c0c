//! Confidence chips and capacity.

use lb_sidecar::api::*;

use crate::common::*;

/// Rounds of 20 ms until a first capacity exists: the floor of four, as queues are empty.
fn with_capacity(seed: u64) -> Bench {
    let mut b = Bench::new(settings(|_| {}), seed, &[server(0), server(2)]);
    for _ in 0..3200 {
        b.round(0, 0.0);
    }
    b
}

/// Sends one request and answers it with a queue that depends on the server.
fn round_by(b: &mut Bench, queue: impl Fn(ServerId) -> f32) -> ServerId {
    let (id, out) = b.request(0);
    let to = sent(&out).expect("sent");
    b.now += 20 * MS;
    b.answer(id, 0, to, Outcome::Success, queue(to));
    to
}

#[test]
fn report_past_capacity_wipes_chips_until_reset_interval() {
    let mut b = with_capacity(1);
    let busy = |s: ServerId| if s == ServerId(0) { 50.0 } else { 0.0 };
    while round_by(&mut b, busy) != ServerId(0) {}
    // ResetInterval is the longest deadline, 1.5 s here.
    let wiped = b.now;
    let mut to_busy = 0;
    while b.now < wiped + 1400 * MS {
        to_busy += u32::from(round_by(&mut b, busy) == ServerId(0));
    }
    assert_eq!(to_busy, 0, "a wiped server got sends while another held chips");
    b.now = wiped + 1600 * MS;
    let mut tries = 0;
    while round_by(&mut b, busy) != ServerId(0) {
        tries += 1;
        assert!(tries < 50, "after ResetInterval the server is tried again");
    }
}

#[test]
fn over_quota_request_is_sent_only_while_a_server_holds_chips() {
    let mut b = with_capacity(1);
    b.over_quota = true;
    let (_, out) = b.request(0);
    assert!(sent(&out).is_some(), "there is room");
    // Both servers report more than they can take: nobody holds chips.
    b.over_quota = false;
    let mut met = std::collections::BTreeSet::new();
    while met.len() < 2 {
        met.insert(round_by(&mut b, |_| 50.0));
    }
    b.over_quota = true;
    for _ in 0..20 {
        let (_, out) = b.request(0);
        assert!(rejected(&out), "{out:?}");
    }
    b.over_quota = false;
    let (_, out) = b.request(0);
    assert!(sent(&out).is_some(), "what is within has its place all the same");
}

#[test]
fn no_report_is_past_capacity_before_the_first_estimate() {
    let mut b = Bench::new(settings(|_| {}), 1, &[server(0), server(2)]);
    let busy = |s: ServerId| if s == ServerId(0) { 50.0 } else { 0.0 };
    let to_busy = (0..100).filter(|_| round_by(&mut b, busy) == ServerId(0)).count();
    assert!(to_busy > 0, "it still holds chips");
}

/// Algorithm 1: a report past 0.8 x capacity mints nothing, one of an empty queue always mints.
/// Both servers report the same, so nothing but chips and chance tells them apart; with none
/// minted, sends go on only by the least bad choice, which never leaves a request unsent.
#[test]
fn server_without_chips_is_used_only_when_no_other_has_any() {
    for seed in 0..10 {
        let mut b = with_capacity(seed);
        // Past 0.8 x 4 but not past 4: no chip, no wipe. Server 2 goes on minting.
        let by = |s: ServerId| if s == ServerId(0) { 3.6 } else { 0.0 };
        let end = b.now + 1400 * MS;
        let mut late_sends = 0;
        let mut rounds = 0;
        while b.now < end {
            rounds += 1;
            // The 16 chips a server can hold are spent after 16 sends at most.
            late_sends += u32::from(round_by(&mut b, by) == ServerId(0));
        }
        assert!(late_sends <= 16, "{late_sends} of {rounds} sends for 16 chips at most");
    }
}
