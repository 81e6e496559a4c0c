//! Tests of outlier ejection and the panic threshold.

use lb_sidecar::api::*;

use crate::common::*;

#[test]
fn hung_server_gets_one_trial_at_a_time() {
    let mut b = BalancerHarness::new(settings(|_| {}), 5, &[server(0), server(2), server(4)]);
    let hung = ServerId(0);
    let (mut lost, mut open) = (0, Vec::new());
    for _ in 0..400 {
        let (id, out) = b.request(0);
        let Some(to) = sent(&out) else { continue };
        if to == hung {
            lost += 1;
            open.push((id, b.now));
        } else {
            b.now += 10 * MS;
            b.answer(id, 0, to, Outcome::Success, 0.0);
        }
        while open.first().is_some_and(|&(_, at)| b.now >= at + S) {
            let (id, _) = open.remove(0);
            b.answer(id, 0, hung, Outcome::TimedOut, 0.0);
        }
    }
    assert!(lost <= 6, "{lost} of 400 requests went to the hung server");
}

/// Guards against a server that stays marked as silent after the cancellation of its only attempt. With little traffic,
/// sidecars would run out of servers one after the other.
#[test]
fn cancelled_attempt_does_not_mark_server_silent() {
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &[server(0)]);
    let (id, out) = b.request(0);
    let to = sent(&out).expect("sent");
    b.handle_event(Event::ClientDisconnected { id });
    b.now += 5 * MS;
    b.answer(id, 0, to, Outcome::Cancelled, 0.0);
    b.now += 10 * S;
    assert_eq!(b.exchange(0, 0.0), Some(to));
}

#[test]
fn single_failure_does_not_eject_a_server() {
    for outcome in [Outcome::ConnectionReset, Outcome::ErrorResponse] {
        let mut b = BalancerHarness::new(settings(|_| {}), 1, &[server(0), server(2)]);
        for _ in 0..20 {
            b.exchange(0, 0.0);
        }
        let (id, out) = b.request(2);
        let failing = sent(&out).expect("sent");
        b.now += 20 * MS;
        b.answer(id, 0, failing, outcome, 0.0);
        let again = (0..20).filter(|_| b.exchange(0, 0.0) == Some(failing)).count();
        assert!(again > 0, "{outcome:?}: ejected after one failure");
    }
}

#[test]
fn consecutive_failures_eject_a_server_until_a_trial() {
    let servers: Vec<_> = (0..4).map(|n| server(2 * n)).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &servers);
    let failing = ServerId(0);
    let mut sends = 0;
    for _ in 0..200 {
        let (id, out) = b.request(2);
        let to = sent(&out).expect("the others are available");
        sends += usize::from(to == failing);
        b.now += 5 * MS;
        let outcome = if to == failing { Outcome::ConnectionReset } else { Outcome::Success };
        b.answer(id, 0, to, outcome, 0.0);
    }
    assert!((3..10).contains(&sends), "{sends} of 200 requests went to the failing server");
}

#[test]
fn panic_threshold_keeps_servers_when_all_fail() {
    let servers: Vec<_> = (0..4).map(|n| server(2 * n)).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &servers);
    for n in 0..400 {
        let (id, out) = b.request(2);
        let to = sent(&out).unwrap_or_else(|| panic!("request {n} found no server"));
        b.now += 5 * MS;
        // Three of four attempts fail, at any server.
        let outcome = if n % 4 == 0 { Outcome::Success } else { Outcome::ConnectionReset };
        b.answer(id, 0, to, outcome, 0.0);
    }
}

/// Upper limit of the time until a server is used again after its first ejection. The ejection time is a quarter or a
/// half of the longest deadline of 1.5 s, varied by a quarter; the rest is for the requests until one selects the
/// server.
const MAX_FIRST_EJECTION_TIME: Micros = 2 * S;

/// Sends requests that all succeed, with pauses of 5 ms, until one goes to `server`. Returns the elapsed time.
fn time_until_used(b: &mut BalancerHarness, server: ServerId) -> Micros {
    let from = b.now;
    while b.exchange(0, 0.0) != Some(server) {
        assert!(b.now - from < 60 * S, "{server:?} is never used again");
        b.now += 5 * MS;
    }
    b.now - from
}

#[test]
fn simultaneous_failures_delay_the_next_trial_no_more_than_one() {
    let servers: Vec<_> = (0..4).map(|n| server(2 * n)).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &servers);
    let crashed = ServerId(0);
    let sent_to: Vec<_> = (0..160).map(|_| b.request(2)).collect();
    b.now += 5 * MS;
    let mut failures = 0;
    for (id, out) in sent_to {
        let Some(to) = sent(&out) else { continue };
        failures += usize::from(to == crashed);
        let outcome = if to == crashed { Outcome::ConnectionReset } else { Outcome::Success };
        b.answer(id, 0, to, outcome, 0.0);
    }
    assert!(failures >= 20, "{failures} were in flight to the server");
    let elapsed = time_until_used(&mut b, crashed);
    assert!(
        elapsed < MAX_FIRST_EJECTION_TIME,
        "the crashed server is used again only after {} ms",
        elapsed / MS
    );
}

/// Guards against counting failures while ejection is ignored as failed trials: the failures of half a second kept a
/// server ejected for another 8 s (simulation seed 8033072).
#[test]
fn failures_while_ejection_is_ignored_are_no_failed_trials() {
    let servers: Vec<_> = (0..3).map(|n| server(2 * n)).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &servers);
    for _ in 0..100 {
        let (id, out) = b.request(2);
        let Some(to) = sent(&out) else { continue };
        b.now += 4 * MS;
        b.answer(id, 0, to, Outcome::ConnectionReset, 0.0);
    }
    for recovered in servers.iter().map(|entry| entry.id) {
        let elapsed = time_until_used(&mut b, recovered);
        assert!(
            elapsed < MAX_FIRST_EJECTION_TIME,
            "{recovered:?} is used again after {} ms",
            elapsed / MS
        );
    }
}

/// The ejection time has an upper limit, however many trials have failed.
#[test]
fn server_that_failed_for_long_is_tried_within_eight_longest_deadlines_of_its_recovery() {
    let servers: Vec<_> = (0..4).map(|n| server(2 * n)).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &servers);
    let failing = ServerId(0);
    for _ in 0..24_000 {
        let (id, out) = b.request(2);
        b.now += 5 * MS;
        let Some(to) = sent(&out) else { continue };
        let outcome = if to == failing { Outcome::ConnectionReset } else { Outcome::Success };
        b.answer(id, 0, to, outcome, 0.0);
    }
    // The longest deadline is 1.5 s, and the ejection time varies by up to a quarter.
    let bound = 8 * 1500 * MS * 5 / 4;
    let elapsed = time_until_used(&mut b, failing);
    assert!(elapsed < bound, "the failing server is used again only after {} ms", elapsed / MS);
}
