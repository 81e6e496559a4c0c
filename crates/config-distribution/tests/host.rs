//! A host's selection of servers, its retries, and the configurations that it applies.

mod support;

use std::time::Duration;

use config_distribution::host::{
    ApplyOutcome, ConfigSnapshot, Host, HostAction, RECONNECT_JITTER, WatchFailure,
};
use config_distribution::watch::{ApplyFailure, WatchResponse};
use support::{document, interest, ms};

fn servers(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("c{n}")).collect()
}

fn host(n: usize, server_count: usize) -> Host {
    let servers = servers(server_count);
    Host::new(format!("h{n}"), interest(&["a"], "z"), &servers, ConfigSnapshot::default(), 7)
}

/// Returns the next server that the host watches from `now` on, and the time at which it does so.
fn next_watch(host: &mut Host, mut now: Duration) -> (usize, Duration) {
    loop {
        match host.next_action(now) {
            HostAction::Watch { server } => return (server, now),
            HostAction::Wait { until } => now = until,
            HostAction::Apply(_) => {
                panic!("the host has an update to apply, but a watch was expected")
            }
        }
    }
}

#[test]
fn hosts_of_lost_server_spread_over_other_servers_and_over_time() {
    let count = 1200;
    let (mut first, mut second) = (vec![0; 4], vec![0; 4]);
    let mut delays = Vec::new();
    for n in 0..count {
        let mut host = host(n, 4);
        let (server, now) = next_watch(&mut host, Duration::ZERO);
        first[server] += 1;
        assert!(now <= RECONNECT_JITTER);
        let response = WatchResponse { generation: 1, is_snapshot: true, documents: Vec::new() };
        assert!(host.receive(response, now).is_none());
        if server == 2 {
            host.watch_failed(WatchFailure::ConnectionLost, ms(10_000));
            let (server, now) = next_watch(&mut host, ms(10_000));
            second[server] += 1;
            delays.push(now - ms(10_000));
        }
    }
    let share = count / 4;
    assert!(first.iter().all(|n| (share * 8 / 10..=share * 12 / 10).contains(n)), "{first:?}");
    let share = first[2] / 3;
    let others = [second[0], second[1], second[3]];
    assert_eq!(second[2], 0);
    assert!(others.iter().all(|n| (share * 7 / 10..=share * 13 / 10).contains(n)), "{others:?}");
    delays.sort_unstable();
    let (quartile, longest) = (delays[delays.len() / 4], delays[delays.len() - 1]);
    assert!(quartile > RECONNECT_JITTER / 8 && longest <= RECONNECT_JITTER, "{delays:?}");
}

#[test]
fn unreachable_servers_are_retried_with_bounded_backoff_and_preferred_server_later() {
    let mut h = host(1, 3);
    let (preferred, mut now) = next_watch(&mut h, Duration::ZERO);
    let mut watched = vec![preferred];
    for _ in 0..30 {
        h.watch_failed(WatchFailure::Unreachable, now);
        let (server, at) = next_watch(&mut h, now);
        assert!(at - now <= ms(2_000), "{:?}", at - now);
        watched.push(server);
        now = at;
    }
    assert!((0..3).all(|n| watched.contains(&n)), "{watched:?}");
    // A host that is served by another server tries the preferred one again after a while.
    let mut h = host(1, 3);
    let (preferred, now) = next_watch(&mut h, Duration::ZERO);
    h.watch_failed(WatchFailure::Unreachable, now);
    let (other, mut now) = next_watch(&mut h, now);
    assert_ne!(other, preferred);
    let mut generation = 1;
    let returned_at = loop {
        generation += 1;
        h.receive(WatchResponse { generation, is_snapshot: false, documents: Vec::new() }, now);
        now += ms(2_500);
        let (server, at) = next_watch(&mut h, now);
        now = at;
        if server == preferred {
            break now;
        }
        assert!(now < ms(60_000), "the host never returns to its preferred server");
    };
    assert!(returned_at > ms(10_000), "not at once: {returned_at:?}");
}

#[test]
fn older_configuration_is_never_applied_and_rejected_one_not_again() {
    let mut h = host(1, 2);
    let (_, now) = next_watch(&mut h, Duration::ZERO);
    let response =
        |generation, is_snapshot, documents| WatchResponse { generation, is_snapshot, documents };
    let config = h.receive(response(5, true, vec![document("a", 5)]), now).expect("new");
    assert_eq!(config.generation, 5);
    h.record_outcome(5, ApplyOutcome::Applied, now);
    assert_eq!(h.watch_request().applied, 5);
    // Responses of a server that lags, or has lost its disk, are ignored.
    assert!(h.receive(response(3, true, vec![document("a", 3)]), now).is_none());
    assert!(h.receive(response(0, true, Vec::new()), now).is_none());
    assert_eq!((h.watch_request().applied, h.documents().count()), (5, 1));
    // A rejected configuration is reported in each request, and not applied again until there is another one.
    assert!(h.receive(response(6, false, vec![document("a", 6)]), now).is_some());
    h.record_outcome(6, ApplyOutcome::Rejected("classes[1].aim".into()), now);
    let failure = ApplyFailure { generation: 6, reason: "classes[1].aim".into() };
    assert_eq!(h.watch_request().failure, Some(failure));
    assert!(h.receive(response(7, false, Vec::new()), now).is_none());
    assert_eq!((h.watch_request().applied, h.watch_request().since), (5, 7));
    assert!(h.receive(response(8, false, vec![document("a", 8)]), now).is_some());
    h.record_outcome(8, ApplyOutcome::Retry("another rollout runs".into()), now);
    // A configuration that failed for a temporary reason is applied again without a new response.
    let action = h.next_action(now + ms(10_000));
    let is_retry = |config: &ConfigSnapshot| config.generation == 8 && config.documents.len() == 1;
    assert!(matches!(&action, HostAction::Apply(config) if is_retry(config)), "{action:?}");
    h.record_outcome(8, ApplyOutcome::Applied, now + ms(10_000));
    assert_eq!((h.watch_request().applied, h.watch_request().failure), (8, None));
    // A restarted host starts from the generation that its disk or its sidecar reports.
    let applied = ConfigSnapshot { generation: 9, documents: Vec::new() };
    let mut h = Host::new("h".into(), interest(&["a"], "z"), &servers(2), applied, 1);
    let (_, now) = next_watch(&mut h, Duration::ZERO);
    assert!(h.receive(response(8, true, vec![document("a", 8)]), now).is_none());
    assert!(h.receive(response(9, true, vec![document("a", 8)]), now).is_some());
}
