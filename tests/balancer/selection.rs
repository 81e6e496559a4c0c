//! Tests of server selection: subset, locality, affinity and slow servers.

use lb_sidecar::api::*;

use crate::common::*;

/// Guards against slow servers that still respond keeping most of their share of the requests, whose responses are
/// then late.
#[test]
fn server_slower_than_its_peers_is_passed_over() {
    let servers: Vec<_> = (0..4).map(server).collect();
    let mut b = BalancerHarness::new(settings(|_| {}), 4, &servers);
    let slow = ServerId(0);
    let mut to_slow = 0;
    for i in 0..400 {
        let (id, out) = b.request(0);
        let to = sent(&out).expect("sent");
        if i >= 200 {
            to_slow += u32::from(to == slow);
        }
        let latency = if to == slow { 90 * MS } else { 20 * MS };
        b.now += latency;
        b.answer_after(latency, id, to, 0.0);
    }
    assert!(to_slow < 20, "{to_slow} of 200 requests went to the slow one of four servers");
}

/// Guards against too many open connections where they have a price: four or more per sidecar, and one to each server
/// outside the subset after a single retry.
#[test]
fn priced_connections_are_few_and_closed_when_idle() {
    let servers: Vec<_> = (0..30).map(server).collect();
    let priced = settings(|s| {
        s["instances"] = 600.into();
        s["prices"] = serde_json::json!({"connection": 0.075});
    });
    let mut b = BalancerHarness::new(priced, 5, &servers);
    let mut kept = std::collections::BTreeSet::new();
    for _ in 0..100 {
        let (id, out) = b.request(0);
        let to = sent(&out).expect("sent");
        b.now += 20 * MS;
        let out = b.answer(id, 0, to, Outcome::Success, 0.0);
        if !out.contains(&Action::CloseIdleConnections { server: to }) {
            kept.insert(to.0);
        }
        b.now += 2 * S;
    }
    // The subset that the budget allows: 0.05 x 100 x 30 servers / (0.075 x 600 instances) = 3.3.
    assert!(kept.len() <= 3, "{kept:?}");
}

/// With key affinity, most sidecars send a key to the same server. A hot key, which recurs at once, goes to any server.
#[test]
fn affinity_key_goes_to_its_owner_unless_it_is_hot() {
    let servers: Vec<_> = (0..16).map(server).collect();
    let max_share = |key_affinity: bool, times: u64| {
        let mut counts = std::collections::BTreeMap::new();
        for me in 0..60 {
            let settings = settings(|s| {
                s["instances"] = 60.into();
                s["me"] = me.into();
                s["familyInfo"] = serde_json::json!({"warmKeys": key_affinity});
            });
            let mut b = BalancerHarness::new(settings, me, &servers);
            for _ in 0..times {
                let (id, out) = b.request_for(77);
                let to = sent(&out).expect("sent");
                b.now += S;
                b.answer(id, 0, to, Outcome::Success, 0.0);
                *counts.entry(to).or_insert(0_u64) += 1;
            }
        }
        *counts.values().max().expect("some were sent") as f64 / (60 * times) as f64
    };
    assert!(max_share(true, 1) > 0.9, "{}", max_share(true, 1));
    assert!(max_share(false, 1) < 0.3, "{}", max_share(false, 1));
    assert!(max_share(true, 40) < 0.3, "{}", max_share(true, 40));
}

/// Guards against cross-zone traffic without need: with several remote zones, many remote servers with a low weight
/// each together got a third of the picks, and won ties while all servers were idle.
#[test]
fn light_traffic_stays_in_the_local_zone() {
    let servers: Vec<_> =
        (0..40).map(|n| ServerEntry { zone: u8::from(n >= 8), ..server(n) }).collect();
    let priced = settings(|s| s["prices"] = serde_json::json!({"crossZone": 0.08}));
    let mut b = BalancerHarness::new(priced, 6, &servers);
    let mut remote = 0;
    for _ in 0..1000 {
        let to = b.exchange(0, 0.0).expect("sent");
        remote += u32::from(to.0 >= 8);
    }
    assert!(remote < 60, "{remote} of 1000 requests went to remote zones");
}
