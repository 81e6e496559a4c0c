//! Tests of endpoint lists and polls of discovery.

use lb_sidecar::api::*;

use crate::common::*;

#[test]
fn draining_or_removed_server_gets_no_attempts() {
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &[server(0), server(1)]);
    b.update_endpoints(ListKind::Delta, &[with_health(0, Health::Draining)]);
    for _ in 0..50 {
        assert_eq!(b.exchange(0, 0.0), Some(ServerId(1)));
    }
    b.update_endpoints(ListKind::Complete, &[server(2)]);
    for _ in 0..50 {
        assert_eq!(b.exchange(0, 0.0), Some(ServerId(2)));
    }
}

#[test]
fn request_is_rejected_when_no_server_is_listed() {
    let mut b = BalancerHarness::new(settings(|_| {}), 1, &[]);
    for class in 0..3 {
        let (_, out) = b.request(class);
        assert!(rejected(&out));
    }
}

/// A sidecar whose watch has failed subscribes again, but not immediately.
#[test]
fn failed_watch_is_retried_after_a_delay() {
    for seed in 0..20 {
        let polling = settings(|s| s["discovery"] = "on_request".into());
        let mut b = BalancerHarness::new(polling, seed, &[server(0)]);
        let out = b.update_endpoints(ListKind::Failed, &[]);
        let Some(Action::SetTimer { delay, token }) = out.first() else {
            panic!("no timer: {out:?}");
        };
        assert!((S / 4..=10 * S).contains(delay), "{delay}");
        b.now += delay;
        let out = b.handle_event(Event::Timer { token: *token });
        assert!(out.contains(&Action::Subscribe));
    }
}

/// Returns the delay, in microseconds, and the token of the timer that is set.
fn timer(out: &[Action]) -> (Micros, u32) {
    let timer = out.iter().find_map(|a| match a {
        Action::SetTimer { delay, token } => Some((*delay, *token)),
        _ => None,
    });
    timer.unwrap_or_else(|| panic!("no timer: {out:?}"))
}

/// Guards against delays that depend only on `mustAskIn`. An instance counts as notified of a change 6 s after it
/// could have fetched it, even if discovery recovers just after a call has failed and the next call fails, too. A
/// call without a response takes 2 s.
#[test]
fn backoff_leaves_time_for_a_third_call_before_the_notification_deadline() {
    for must_ask_in in [10, 30, 60, 300] {
        for seed in 0..200 {
            let polling = settings(|s| {
                s["discovery"] = "on_request".into();
                s["rules"]["mustAskIn"] = (must_ask_in * S).into();
            });
            let mut b = BalancerHarness::new(polling, seed, &[server(0)]);
            // Discovery has been down for a while.
            (0..20).for_each(|_| drop(b.update_endpoints(ListKind::Failed, &[])));
            let (first, _) = timer(&b.update_endpoints(ListKind::Failed, &[]));
            let (second, _) = timer(&b.update_endpoints(ListKind::Failed, &[]));
            let third_call = first + 2 * S + second;
            assert!(
                third_call <= NOTIFICATION_DEADLINE - S / 2,
                "mustAskIn {must_ask_in} s: after {third_call} us"
            );
        }
    }
}

/// A sidecar that starts with a cached list is not ready before its first call to discovery.
#[test]
fn new_sidecar_polls_soon_whatever_the_max_poll_interval() {
    for must_ask_in in [10, 30, 60, 300] {
        let polling = |s: &mut serde_json::Value| {
            s["discovery"] = "on_request".into();
            s["rules"]["mustAskIn"] = (must_ask_in * S).into();
        };
        for seed in 0..200 {
            let mut b = BalancerHarness::new(settings(polling), seed, &[server(0)]);
            let (first, _) = timer(&b.update_endpoints(ListKind::Cached, &[server(0)]));
            assert!(
                first <= NOTIFICATION_DEADLINE / 2,
                "mustAskIn {must_ask_in} s: after {first} us"
            );
        }
    }
}

/// Three hundred sidecars call one discovery service, which handles calls one at a time and refuses those that would
/// wait for more than 2 s. A sidecar gives up after 1.5 s, but its call is still handled. After its recovery,
/// discovery can handle one call of each sidecar within 3 s.
#[test]
fn three_hundred_sidecars_are_notified_in_time_once_discovery_recovers() {
    const CALL_TIMEOUT: Micros = 1_500 * MS;
    let (sidecars, all_calls) = (300, 3 * S);
    let cost = all_calls / sidecars;
    for must_ask_in in [10, 30, 60] {
        let polling = |s: &mut serde_json::Value| {
            s["discovery"] = "on_request".into();
            s["rules"]["mustAskIn"] = (must_ask_in * S).into();
        };
        let mut all: Vec<_> = (0..sidecars)
            .map(|n| BalancerHarness::new(settings(polling), n, &[server(0)]))
            .collect();
        // Calls fail until discovery has recovered. Each sidecar backs off by its own failures.
        let recovery = START + 20 * S;
        let mut calls = std::collections::BTreeSet::new();
        for (n, b) in all.iter_mut().enumerate() {
            let (wait, _) = timer(&b.update_endpoints(ListKind::Failed, &[]));
            calls.insert((b.now + wait, n));
        }
        let (mut idle_at, mut last_notified, mut calls_after_recovery) = (recovery, recovery, 0);
        while let Some((at, n)) = calls.pop_first() {
            calls_after_recovery += u64::from(at >= recovery);
            let handled_at = idle_at.max(at);
            let is_refused = at < recovery || handled_at + cost - at > 2 * S;
            if !is_refused {
                idle_at = handled_at + cost;
                if idle_at - at <= CALL_TIMEOUT {
                    last_notified = last_notified.max(idle_at);
                    continue;
                }
            }
            all[n].now = if is_refused { at } else { at + CALL_TIMEOUT };
            let (wait, _) = timer(&all[n].update_endpoints(ListKind::Failed, &[]));
            calls.insert((all[n].now + wait, n));
        }
        let took = last_notified - recovery;
        println!(
            "mustAskIn {must_ask_in} s: all are notified after {took} us, {calls_after_recovery} calls"
        );
        assert!(
            took <= NOTIFICATION_DEADLINE,
            "mustAskIn {must_ask_in} s: the last is notified after {took} us"
        );
    }
}
