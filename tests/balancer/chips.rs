//! Tests of confidence chips and capacity estimates.

use lb_sidecar::api::*;

use crate::common::*;

/// Sends requests one after the other, each answered after 20 ms, until the first capacity estimate exists. As queues
/// are empty, the estimate is the minimum of four.
fn with_capacity(seed: u64) -> BalancerHarness {
    let mut b = BalancerHarness::new(settings(|_| {}), seed, &[server(0), server(2)]);
    for _ in 0..3200 {
        b.exchange(0, 0.0);
    }
    b
}

/// Sends one request and answers it after 20 ms with a reported queue that depends on the server.
fn exchange_with_queue(b: &mut BalancerHarness, queue: impl Fn(ServerId) -> f32) -> ServerId {
    let (id, out) = b.request(0);
    let to = sent(&out).expect("sent");
    b.now += 20 * MS;
    b.answer(id, 0, to, Outcome::Success, queue(to));
    to
}

#[test]
fn report_above_capacity_removes_chips_until_reset_interval() {
    let mut b = with_capacity(1);
    let busy = |s: ServerId| if s == ServerId(0) { 50.0 } else { 0.0 };
    while exchange_with_queue(&mut b, busy) != ServerId(0) {}
    // The reset interval is the longest deadline: 1.5 s in these settings.
    let removed_at = b.now;
    let mut to_busy = 0;
    while b.now < removed_at + 1400 * MS {
        to_busy += u32::from(exchange_with_queue(&mut b, busy) == ServerId(0));
    }
    assert_eq!(to_busy, 0, "a server without chips got attempts while another held chips");
    b.now = removed_at + 1600 * MS;
    let mut tries = 0;
    while exchange_with_queue(&mut b, busy) != ServerId(0) {
        tries += 1;
        assert!(tries < 50, "the server is not tried again after the reset interval");
    }
}

#[test]
fn over_quota_request_is_sent_only_while_a_server_holds_chips() {
    let mut b = with_capacity(1);
    b.over_quota = true;
    let (_, out) = b.request(0);
    assert!(sent(&out).is_some(), "servers hold chips");
    // Both servers report queues above their capacity, so none holds chips.
    b.over_quota = false;
    let mut used = std::collections::BTreeSet::new();
    while used.len() < 2 {
        used.insert(exchange_with_queue(&mut b, |_| 50.0));
    }
    b.over_quota = true;
    for _ in 0..20 {
        let (_, out) = b.request(0);
        assert!(rejected(&out), "{out:?}");
    }
    b.over_quota = false;
    let (_, out) = b.request(0);
    assert!(sent(&out).is_some(), "a request within the quota is sent without chips");
}

#[test]
fn no_report_is_above_capacity_before_the_first_estimate() {
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &[server(0), server(2)]);
    let busy = |s: ServerId| if s == ServerId(0) { 50.0 } else { 0.0 };
    let to_busy = (0..100).filter(|_| exchange_with_queue(&mut b, busy) == ServerId(0)).count();
    assert!(to_busy > 0, "a server without a capacity estimate lost its chips");
}

/// Algorithm 1 of the paper: a reported queue above 0.8 x capacity mints no chips, an empty queue always does.
#[test]
fn server_without_chips_is_used_only_when_no_other_has_any() {
    for seed in 0..10 {
        let mut b = with_capacity(seed);
        // Server 0 reports a queue between 0.8 x 4 and 4: it gets no new chips but keeps those that it has. Server 2
        // still gets new ones.
        let queue = |s: ServerId| if s == ServerId(0) { 3.6 } else { 0.0 };
        let end = b.now + 1400 * MS;
        let mut sends = 0;
        let mut rounds = 0;
        while b.now < end {
            rounds += 1;
            // A server can hold at most 16 chips, so it gets at most 16 attempts.
            sends += u32::from(exchange_with_queue(&mut b, queue) == ServerId(0));
        }
        assert!(sends <= 16, "{sends} of {rounds} attempts with at most 16 chips");
    }
}
