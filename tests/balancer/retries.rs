//! Tests of retries, idempotency and final answers.

use lb_sidecar::api::*;

use crate::common::*;

#[test]
fn rejected_attempt_is_retried_elsewhere_at_once() {
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &[server(0), server(2)]);
    for class in 0..3 {
        let (id, out) = b.request(class);
        let first = sent(&out).expect("sent");
        let again = b.answer(id, 0, first, Outcome::Rejected, 0.0);
        let second = sent(&again).expect("a rejected attempt never ran and is retried");
        assert_ne!(first, second);
        b.answer(id, 1, second, Outcome::Success, 0.0);
        b.now += 3 * S;
    }
}

#[test]
fn non_idempotent_request_that_may_have_run_fails() {
    for outcome in [Outcome::ErrorResponse, Outcome::ConnectionReset, Outcome::TimedOut] {
        let mut b = BalancerHarness::new(settings(|_| {}), 1, &[server(0), server(2)]);
        let (id, out) = b.request(2);
        let to = sent(&out).expect("sent");
        let out = b.answer(id, 0, to, outcome, 0.0);
        assert!(sent(&out).is_none() && !rejected(&out) && failed(&out));
    }
}

#[test]
fn idempotency_key_request_is_retried_within_dedup_scope_only() {
    for seed in 0..20 {
        let servers: Vec<_> = (0..8).map(server).collect();
        let mut b = BalancerHarness::new(settings(|_| {}), seed, &servers);
        let (id, out) = b.request(1);
        let first = sent(&out).expect("sent");
        let out = b.answer(id, 0, first, Outcome::ConnectionReset, 0.0);
        match sent(&out) {
            Some(second) => assert_eq!(first.0 % 2, second.0 % 2, "another zone"),
            None => assert!(failed(&out), "not all servers deduplicate: no rejection"),
        }
    }
}

#[test]
fn idempotency_key_request_is_not_retried_after_dedup_window() {
    let servers: Vec<_> = (0..8).map(server).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 3, &servers);
    let (id, out) = b.request(1);
    let first = sent(&out).expect("sent");
    b.now += 701 * MS;
    let out = b.answer(id, 0, first, Outcome::ConnectionReset, 0.0);
    assert!(sent(&out).is_none() && failed(&out));
}

/// A retry sent just before the end of the window may reach its server after it, as the process may be held up before
/// the write.
#[test]
fn idempotency_key_request_is_not_retried_shortly_before_the_end_of_its_dedup_window() {
    let servers: Vec<_> = (0..8).map(server).collect();
    for (after, is_retried) in [(500 * MS, true), (600 * MS, false), (695 * MS, false)] {
        let mut b = BalancerHarness::new(settings(|_| {}), 3, &servers);
        let (id, out) = b.request(1);
        let first = sent(&out).expect("sent");
        b.now += after;
        let out = b.answer(id, 0, first, Outcome::ConnectionReset, 0.0);
        assert_eq!(sent(&out).is_some(), is_retried, "{} ms after the first attempt", after / MS);
        assert!(is_retried || failed(&out));
    }
}

/// Guards against a request without a final answer: its attempt is cancelled just as the stream begins, and a stream
/// has no deadline that would end the request.
#[test]
fn cancelled_stream_still_gets_a_final_answer() {
    let mut b = BalancerHarness::new(
        settings(|s| s["classes"][2]["streaming"] = true.into()),
        1,
        &[server(0)],
    );
    let (id, out) = b.request(2);
    let to = sent(&out).expect("sent");
    b.handle_event(Event::FirstByte { id, attempt: 0 });
    b.now += 4 * MS;
    let out = b.answer(id, 0, to, Outcome::Cancelled, 0.0);
    assert_eq!(out, vec![Action::Fail { id, reason: EndReason::AttemptsFailed }]);
}

#[test]
fn attempt_that_reached_no_server_is_retried_whatever_the_budget() {
    let servers: Vec<_> = (0..6).map(|n| server(2 * n)).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &servers);
    for _ in 0..8 {
        let (id, out) = b.request(2);
        let unreachable = sent(&out).expect("sent");
        let out = b.answer(id, 0, unreachable, Outcome::ConnectFailed, 0.0);
        let second = sent(&out).expect("the attempt never ran, and other servers are available");
        b.answer(id, 1, second, Outcome::Success, 0.0);
    }
}

/// Retries after failures are limited by this sidecar's part of the tier's retry budget, which changes with the needs
/// of the other sidecars.
#[test]
fn failures_are_retried_within_the_share_of_the_retry_budget() {
    let servers: Vec<_> = (0..4).map(server).collect();
    let count_retries = |part: Option<(f64, f64)>| {
        let mut b = BalancerHarness::new(settings(|_| {}), 3, &servers);
        if let Some((per_request, max_saved)) = part {
            b.balancer.set_retry_budget(per_request, max_saved);
        }
        let mut retries = 0;
        for _ in 0..200 {
            let (id, out) = b.request(0);
            let first = sent(&out).expect("a server");
            b.now += 20 * MS;
            let out = b.answer(id, 0, first, Outcome::ConnectionReset, 0.0);
            if let Some(second) = sent(&out) {
                retries += 1;
                b.answer(id, 1, second, Outcome::Success, 0.0);
            }
        }
        retries
    };
    let by_default = count_retries(None);
    assert!((18..=21).contains(&by_default), "{by_default}");
    let more = count_retries(Some((0.5, 5.0)));
    assert!((95..=101).contains(&more), "{more}");
    assert_eq!(count_retries(Some((0.0, 1.0))), 1, "the saved retry can still be used");
}
