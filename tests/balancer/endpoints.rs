//! Endpoint lists and polls of discovery.

use lb_sidecar::api::*;

use crate::common::*;

#[test]
fn draining_or_removed_server_gets_no_attempts() {
    let mut b = Bench::new(settings(|_| {}), 1, &[server(0), server(1)]);
    b.servers(ListKind::Delta, &[with_health(0, Health::Draining)]);
    for _ in 0..50 {
        assert_eq!(b.round(0, 0.0), Some(ServerId(1)));
    }
    b.servers(ListKind::Complete, &[server(2)]);
    for _ in 0..50 {
        assert_eq!(b.round(0, 0.0), Some(ServerId(2)));
    }
}

#[test]
fn request_is_rejected_when_no_server_is_listed() {
    let mut b = Bench::new(settings(|_| {}), 1, &[]);
    for class in 0..3 {
        let (_, out) = b.request(class);
        assert!(rejected(&out));
    }
}

/// Discovery: a sidecar that has lost its subscription asks again, and never in the same instant.
#[test]
fn failed_watch_is_retried_after_a_delay() {
    for seed in 0..20 {
        let asked = settings(|s| s["discovery"] = "on_request".into());
        let mut b = Bench::new(asked, seed, &[server(0)]);
        let out = b.servers(ListKind::Failed, &[]);
        let Some(Action::SetTimer { delay, token }) = out.first() else {
            panic!("no timer: {out:?}");
        };
        assert!((S / 4..=10 * S).contains(delay), "{delay}");
        b.now += delay;
        let again = b.event(Event::Timer { token: *token });
        assert!(again.contains(&Action::Subscribe));
    }
}

/// The timer that a failed call leaves, in microseconds, and its token.
fn waits(out: &[Action]) -> (Micros, u32) {
    let timer = out.iter().find_map(|a| match a {
        Action::SetTimer { delay, token } => Some((*delay, *token)),
        _ => None,
    });
    timer.unwrap_or_else(|| panic!("no timer: {out:?}"))
}

/// Found by reading: waits went by `mustAskIn`, up to half of it. What discovery has counts as told 6 s after it
/// could be reached, also where it came back just after a call had failed and the next one fails too. A call that
/// is not answered takes 2 s.
#[test]
fn backoff_leaves_time_for_a_third_call_before_the_notification_deadline() {
    for must_ask_in in [10, 30, 60, 300] {
        for seed in 0..200 {
            let asked = settings(|s| {
                s["discovery"] = "on_request".into();
                s["rules"]["mustAskIn"] = (must_ask_in * S).into();
            });
            let mut b = Bench::new(asked, seed, &[server(0)]);
            // Discovery has been down for a while.
            (0..20).for_each(|_| drop(b.servers(ListKind::Failed, &[])));
            let (first, _) = waits(&b.servers(ListKind::Failed, &[]));
            let (second, _) = waits(&b.servers(ListKind::Failed, &[]));
            let known = first + 2 * S + second;
            assert!(known <= NOTIFICATION_DEADLINE - S / 2, "{must_ask_in} s: after {known} us");
        }
    }
}

/// The same of a sidecar that starts with what it remembers: it is not ready before its first call.
#[test]
fn new_sidecar_polls_soon_whatever_the_max_poll_interval() {
    for must_ask_in in [10, 30, 60, 300] {
        let asked = |s: &mut serde_json::Value| {
            s["discovery"] = "on_request".into();
            s["rules"]["mustAskIn"] = (must_ask_in * S).into();
        };
        for seed in 0..200 {
            let mut b = Bench::new(settings(asked), seed, &[server(0)]);
            let (first, _) = waits(&b.servers(ListKind::Cached, &[server(0)]));
            assert!(first <= NOTIFICATION_DEADLINE / 2, "{must_ask_in} s: after {first} us");
        }
    }
}

/// Three hundred sidecars ask one discovery that works through calls in turn, and turns away what would wait for
/// over 2 s. Who has waited for 1.5 s gives up, and its call costs discovery all the same. Discovery comes back, and
/// can take one call of each within 3 s.
#[test]
fn three_hundred_sidecars_are_notified_in_time_once_discovery_recovers() {
    const PATIENCE: Micros = 1_500 * MS;
    let (sidecars, all_calls) = (300, 3 * S);
    let cost = all_calls / sidecars;
    for must_ask_in in [10, 30, 60] {
        let asked = |s: &mut serde_json::Value| {
            s["discovery"] = "on_request".into();
            s["rules"]["mustAskIn"] = (must_ask_in * S).into();
        };
        let mut all: Vec<_> =
            (0..sidecars).map(|n| Bench::new(settings(asked), n, &[server(0)])).collect();
        // Calls are refused until discovery is back: each sidecar by its own failures.
        let back = START + 20 * S;
        let mut calls = std::collections::BTreeSet::new();
        for (n, b) in all.iter_mut().enumerate() {
            let (wait, _) = waits(&b.servers(ListKind::Failed, &[]));
            calls.insert((b.now + wait, n));
        }
        let (mut free, mut last, mut asked_for) = (back, back, 0);
        while let Some((at, n)) = calls.pop_first() {
            asked_for += u64::from(at >= back);
            let begun = free.max(at);
            let turned_away = at < back || begun + cost - at > 2 * S;
            if !turned_away {
                free = begun + cost;
                if free - at <= PATIENCE {
                    last = last.max(free);
                    continue;
                }
            }
            all[n].now = if turned_away { at } else { at + PATIENCE };
            let (wait, _) = waits(&all[n].servers(ListKind::Failed, &[]));
            calls.insert((all[n].now + wait, n));
        }
        let took = last - back;
        println!("mustAskIn {must_ask_in} s: all know after {took} us, {asked_for} calls");
        assert!(
            took <= NOTIFICATION_DEADLINE,
            "mustAskIn {must_ask_in} s: the last knows after {took} us"
        );
    }
}
