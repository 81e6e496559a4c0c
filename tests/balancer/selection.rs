//! Selection: subset, locality, affinity and slow servers.

use lb_sidecar::api::*;

use crate::common::*;

/// Found with slow servers that still answer: they kept most of their share, and made it late.
#[test]
fn server_slower_than_its_peers_is_passed_over() {
    let servers: Vec<_> = (0..4).map(server).collect();
    let mut b = Bench::new(settings(|_| {}), 4, &servers);
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
    assert!(to_slow < 20, "{to_slow} of 200 sends to the slow one of four");
}

/// Found where open connections cost: four or more of each sidecar's stayed open, and servers
/// outside of its subset kept one each after a single retry.
#[test]
fn priced_connections_are_few_and_closed_when_idle() {
    let servers: Vec<_> = (0..30).map(server).collect();
    let dear = settings(|s| {
        s["instances"] = 600.into();
        s["prices"] = serde_json::json!({"connection": 0.075});
    });
    let mut b = Bench::new(dear, 5, &servers);
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
    // 0.05 x 100 x 30 servers / (0.075 x 600 instances) = 3.3
    assert!(kept.len() <= 3, "{kept:?}");
}

/// Found where servers are warm for keys they met lately: a key wandered over the whole fleet.
/// Most sidecars send it to one server; a hot one, met again at once, goes anywhere.
#[test]
fn affinity_key_goes_to_its_owner_unless_it_is_hot() {
    let servers: Vec<_> = (0..16).map(server).collect();
    let most_at_one = |warm: bool, times: u64| {
        let mut met = std::collections::BTreeMap::new();
        for me in 0..60 {
            let mine = settings(|s| {
                s["instances"] = 60.into();
                s["me"] = me.into();
                s["familyInfo"] = serde_json::json!({"warmKeys": warm});
            });
            let mut b = Bench::new(mine, me, &servers);
            for _ in 0..times {
                let (id, out) = b.request_for(77);
                let to = sent(&out).expect("sent");
                b.now += S;
                b.answer(id, 0, to, Outcome::Success, 0.0);
                *met.entry(to).or_insert(0_u64) += 1;
            }
        }
        *met.values().max().expect("some were sent") as f64 / (60 * times) as f64
    };
    assert!(most_at_one(true, 1) > 0.9, "{}", most_at_one(true, 1));
    assert!(most_at_one(false, 1) < 0.3, "{}", most_at_one(false, 1));
    assert!(most_at_one(true, 40) < 0.3, "{}", most_at_one(true, 40));
}

/// Found with five zones: each far server had a low weight, but all of them together were drawn
/// for a third of the picks, and won the ties of idle days.
#[test]
fn light_traffic_stays_in_the_local_zone() {
    let servers: Vec<_> =
        (0..40).map(|n| ServerEntry { zone: u8::from(n >= 8), ..server(n) }).collect();
    let priced = settings(|s| s["prices"] = serde_json::json!({"crossZone": 0.08}));
    let mut b = Bench::new(priced, 6, &servers);
    let mut far = 0;
    for _ in 0..1000 {
        let to = b.round(0, 0.0).expect("sent");
        far += u32::from(to.0 >= 8);
    }
    assert!(far < 60, "{far} of 1000 crossed");
}
