//! Retries, idempotency and final answers.

use lb_sidecar::api::*;

use crate::common::*;

#[test]
fn rejected_attempt_is_retried_elsewhere_at_once() {
    let mut b = Bench::new(settings(|_| {}), 1, &[server(0), server(2)]);
    for class in 0..3 {
        let (id, out) = b.request(class);
        let first = sent(&out).expect("sent");
        let again = b.answer(id, 0, first, Outcome::Rejected, 0.0);
        let second = sent(&again).expect("sent again, it never ran");
        assert_ne!(first, second);
        b.answer(id, 1, second, Outcome::Success, 0.0);
        b.now += 3 * S;
    }
}

#[test]
fn non_idempotent_request_that_may_have_run_fails() {
    for outcome in [Outcome::ErrorResponse, Outcome::ConnectionReset, Outcome::TimedOut] {
        let mut b = Bench::new(settings(|_| {}), 1, &[server(0), server(2)]);
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
        let mut b = Bench::new(settings(|_| {}), seed, &servers);
        let (id, out) = b.request(1);
        let first = sent(&out).expect("sent");
        let out = b.answer(id, 0, first, Outcome::ConnectionReset, 0.0);
        match sent(&out) {
            Some(second) => assert_eq!(first.0 % 2, second.0 % 2, "another zone"),
            None => assert!(failed(&out), "its group is not all: no refusal"),
        }
    }
}

#[test]
fn idempotency_key_request_is_not_retried_after_dedup_window() {
    let servers: Vec<_> = (0..8).map(server).collect();
    let mut b = Bench::new(settings(|_| {}), 3, &servers);
    let (id, out) = b.request(1);
    let first = sent(&out).expect("sent");
    b.now += 701 * MS;
    let out = b.answer(id, 0, first, Outcome::ConnectionReset, 0.0);
    assert!(sent(&out).is_none() && failed(&out));
}

/// Sent within the window, a repeat may come to its server after it: the process may be held up before it writes.
#[test]
fn idempotency_key_request_is_not_retried_shortly_before_the_end_of_its_dedup_window() {
    let servers: Vec<_> = (0..8).map(server).collect();
    for (after, is_retried) in [(500 * MS, true), (600 * MS, false), (695 * MS, false)] {
        let mut b = Bench::new(settings(|_| {}), 3, &servers);
        let (id, out) = b.request(1);
        let first = sent(&out).expect("sent");
        b.now += after;
        let out = b.answer(id, 0, first, Outcome::ConnectionReset, 0.0);
        assert_eq!(sent(&out).is_some(), is_retried, "{} ms after it", after / MS);
        assert!(is_retried || failed(&out));
    }
}

/// Found by the bench's drill: an attempt was called off at its aim in the instant in which its
/// stream began. A stream has no deadline, so the request never got its final answer.
#[test]
fn cancelled_stream_still_gets_a_final_answer() {
    let mut b =
        Bench::new(settings(|s| s["classes"][2]["streaming"] = true.into()), 1, &[server(0)]);
    let (id, out) = b.request(2);
    let to = sent(&out).expect("sent");
    b.event(Event::FirstByte { id, attempt: 0 });
    b.now += 4 * MS;
    let out = b.answer(id, 0, to, Outcome::Cancelled, 0.0);
    assert_eq!(out, vec![Action::Fail { id, reason: EndReason::AttemptsFailed }]);
}

#[test]
fn attempt_that_reached_no_server_is_retried_whatever_the_budget() {
    let servers: Vec<_> = (0..6).map(|n| server(2 * n)).collect();
    let mut b = Bench::new(settings(|_| {}), 1, &servers);
    for _ in 0..8 {
        let (id, out) = b.request(2);
        let dead = sent(&out).expect("sent");
        let out = b.answer(id, 0, dead, Outcome::ConnectFailed, 0.0);
        let second = sent(&out).expect("it never ran, and others are there");
        b.answer(id, 1, second, Outcome::Success, 0.0);
    }
}

/// Repeats after failures are this sidecar's part of a budget that others may need more, or less.
#[test]
fn failures_are_retried_within_the_share_of_the_retry_budget() {
    let servers: Vec<_> = (0..4).map(server).collect();
    let repeated = |part: Option<(f64, f64)>| {
        let mut b = Bench::new(settings(|_| {}), 3, &servers);
        if let Some((share, saved)) = part {
            b.balancer.set_retry_budget(share, saved);
        }
        let mut repeated = 0;
        for _ in 0..200 {
            let (id, out) = b.request(0);
            let first = sent(&out).expect("a server");
            b.now += 20 * MS;
            let out = b.answer(id, 0, first, Outcome::ConnectionReset, 0.0);
            if let Some(second) = sent(&out) {
                repeated += 1;
                b.answer(id, 1, second, Outcome::Success, 0.0);
            }
        }
        repeated
    };
    let usual = repeated(None);
    assert!((18..=21).contains(&usual), "{usual}");
    let more = repeated(Some((0.5, 5.0)));
    assert!((95..=101).contains(&more), "{more}");
    assert_eq!(repeated(Some((0.0, 1.0))), 1, "one failure among many is repeated all the same");
}
