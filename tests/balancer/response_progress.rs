//! Tests of responses that have begun: pauses, the deadline, and what they tell about the load.

use lb_sidecar::api::*;

use crate::common::*;

const LOOK: usize = 0;
const KEEP: usize = 1;
const ORDER: usize = 2;

/// A request whose first attempt has been sent to a server.
struct Begun {
    id: RequestId,
    server: ServerId,
    /// The token of the timer of its deadline.
    deadline: u32,
}

/// A balancer with four servers of one zone, whose limits allow or forbid second attempts beside the first.
fn balancer(may_hedge: bool) -> BalancerHarness {
    let settings = settings(|json| json["limits"]["mayDuplicate"] = may_hedge.into());
    let servers: Vec<_> = (0..4).map(|n| server(2 * n)).collect();
    BalancerHarness::new(settings, 1, &servers)
}

/// Sends a request, whose response begins.
fn begin(b: &mut BalancerHarness, class: usize) -> Begun {
    let (id, out) = b.request(class);
    let server = sent(&out).expect("sent");
    let deadline = out.iter().filter_map(|action| match action {
        Action::SetTimer { delay, token } => Some((*delay, *token)),
        _ => None,
    });
    let (_, deadline) = deadline.max().expect("a deadline");
    progress(b, id, 0, ResponseProgress::Begun);
    Begun { id, server, deadline }
}

fn progress(
    b: &mut BalancerHarness,
    id: RequestId,
    attempt: usize,
    progress: ResponseProgress,
) -> Vec<Action> {
    b.handle_event(Event::ResponseProgress { id, attempt, progress })
}

fn delivered(out: &[Action]) -> Option<usize> {
    out.iter().find_map(|action| match action {
        Action::Deliver { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn cancelled(out: &[Action]) -> Option<usize> {
    out.iter().find_map(|action| match action {
        Action::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

/// Lets the time of a request pass.
fn pass_deadline(b: &mut BalancerHarness, request: &Begun) -> Vec<Action> {
    b.now += S;
    b.handle_event(Event::Timer { token: request.deadline })
}

#[test]
fn response_that_has_begun_is_delivered_at_its_deadline() {
    for class in [LOOK, KEEP, ORDER] {
        let mut b = balancer(true);
        let request = begin(&mut b, class);
        let out = pass_deadline(&mut b, &request);
        assert_eq!(delivered(&out), Some(0), "{out:?}");
        assert!(!failed(&out) && !rejected(&out), "{out:?}");
        assert!(b.answer(request.id, 0, request.server, Outcome::Success, 0.0).is_empty());
    }
}

#[test]
fn request_without_a_response_ends_at_its_deadline() {
    let mut b = balancer(true);
    let (id, out) = b.request(ORDER);
    let server = sent(&out).expect("sent");
    let Some(Action::SetTimer { token, .. }) = out.last() else { panic!("{out:?}") };
    let request = Begun { id, server, deadline: *token };
    let out = pass_deadline(&mut b, &request);
    assert!(failed(&out) && delivered(&out).is_none(), "{out:?}");
}

#[test]
fn delivery_that_fails_ends_the_request() {
    for class in [LOOK, KEEP, ORDER] {
        let mut b = balancer(true);
        let request = begin(&mut b, class);
        pass_deadline(&mut b, &request);
        let out = b.answer(request.id, 0, request.server, Outcome::ConnectionReset, 0.0);
        assert!(sent(&out).is_none(), "{out:?}");
        assert_eq!((rejected(&out), failed(&out)), (class == LOOK, class != LOOK), "{out:?}");
    }
}

/// Guards against a request without an end, where the settings do not let attempts be cancelled.
#[test]
fn next_response_is_delivered_if_the_delivery_of_the_first_fails() {
    let settings = settings(|json| json["limits"]["cancel"] = false.into());
    let mut b = BalancerHarness::new(settings, 1, &[server(0), server(2), server(4)]);
    let request = begin(&mut b, LOOK);
    let out = progress(&mut b, request.id, 0, ResponseProgress::Paused);
    let second = sent(&out).expect("sent");
    progress(&mut b, request.id, 1, ResponseProgress::Begun);
    assert_eq!(delivered(&pass_deadline(&mut b, &request)), Some(1));
    let out = b.answer(request.id, 1, second, Outcome::ConnectionReset, 0.0);
    assert_eq!(delivered(&out), Some(0), "{out:?}");
    let out = b.answer(request.id, 0, request.server, Outcome::ConnectionReset, 0.0);
    assert!(rejected(&out), "{out:?}");
}

#[test]
fn response_that_pauses_is_kept_and_another_attempt_begins_beside_it() {
    for class in [LOOK, KEEP] {
        let mut b = balancer(true);
        let request = begin(&mut b, class);
        let out = progress(&mut b, request.id, 0, ResponseProgress::Paused);
        assert!(sent(&out).is_some() && cancelled(&out).is_none(), "{out:?}");
        let out = progress(&mut b, request.id, 1, ResponseProgress::Paused);
        assert!(sent(&out).is_none(), "a third attempt: {out:?}");
        let out = b.answer(request.id, 0, request.server, Outcome::Success, 0.0);
        assert_eq!(cancelled(&out), Some(1), "{out:?}");
    }
}

#[test]
fn response_that_pauses_is_waited_for_where_no_attempt_may_begin_beside_it() {
    for (class, may_hedge) in [(LOOK, false), (KEEP, false), (ORDER, true)] {
        let mut b = balancer(may_hedge);
        let request = begin(&mut b, class);
        let out = progress(&mut b, request.id, 0, ResponseProgress::Paused);
        assert!(out.is_empty(), "{class}: {out:?}");
        assert_eq!(delivered(&pass_deadline(&mut b, &request)), Some(0), "{class}");
    }
}

#[test]
fn failure_of_the_second_attempt_does_not_end_a_request_whose_first_response_pauses() {
    let mut b = balancer(true);
    let request = begin(&mut b, LOOK);
    let out = progress(&mut b, request.id, 0, ResponseProgress::Paused);
    let second = sent(&out).expect("sent");
    // The budget of retries is used up.
    let out = b.answer(request.id, 1, second, Outcome::ConnectionReset, 0.0);
    assert!(out.iter().all(|action| matches!(action, Action::CloseIdleConnections { .. })));
    let out = b.answer(request.id, 0, request.server, Outcome::Success, 0.0);
    assert!(!failed(&out) && !rejected(&out), "{out:?}");
}

#[test]
fn response_that_goes_on_is_delivered_before_one_that_pauses() {
    let mut b = balancer(true);
    let request = begin(&mut b, LOOK);
    progress(&mut b, request.id, 0, ResponseProgress::Paused);
    progress(&mut b, request.id, 1, ResponseProgress::Begun);
    let out = pass_deadline(&mut b, &request);
    assert_eq!((delivered(&out), cancelled(&out)), (Some(1), Some(0)), "{out:?}");
}

#[test]
fn response_that_has_gone_on_is_delivered_first() {
    let mut b = balancer(true);
    let request = begin(&mut b, LOOK);
    progress(&mut b, request.id, 0, ResponseProgress::Paused);
    progress(&mut b, request.id, 0, ResponseProgress::Resumed);
    progress(&mut b, request.id, 1, ResponseProgress::Begun);
    assert_eq!(delivered(&pass_deadline(&mut b, &request)), Some(0));
}

#[test]
fn keyed_request_whose_window_is_over_gets_no_attempt_beside_one_that_pauses() {
    let mut b = balancer(true);
    let request = begin(&mut b, KEEP);
    b.now += 701 * MS;
    let out = progress(&mut b, request.id, 0, ResponseProgress::Paused);
    assert!(sent(&out).is_none(), "{out:?}");
}
