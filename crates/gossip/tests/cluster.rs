//! Tests of clusters on a virtual clock, with and without faults.

mod common;

use common::{SECOND, SimulatedCluster, relative_error};
use gossip::{LinkCounts, MemberCounts, MemberState, Message, Payload, TenantQuotas};

const ROUND_INTERVAL: u64 = 100_000;
const QUOTA: f64 = 600.0;
/// Time after which a link without messages is down, in seconds: S in the invariant of the design note.
const LINK_TIMEOUT_S: f64 = 4.0;

/// Starts a cluster with a total demand of `demand_in_quotas` times the quota, which differs widely between members.
fn started_cluster(size: u32, demand_in_quotas: f64, seed: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(size, &[QUOTA], ROUND_INTERVAL, seed);
    set_demand(&mut cluster, demand_in_quotas);
    cluster.start_all();
    cluster
}

fn set_demand(cluster: &mut SimulatedCluster, demand_in_quotas: f64) {
    let total: f64 = (1..=cluster.demand.len()).map(|n| 1.0 / n as f64).sum();
    for (n, demand) in cluster.demand.iter_mut().enumerate() {
        demand[0] = demand_in_quotas * QUOTA / (n + 1) as f64 / total;
    }
}

/// Runs the cluster for some seconds. Returns the requests admitted meanwhile, divided by the quota.
fn admitted_in(cluster: &mut SimulatedCluster, seconds: u64) -> f64 {
    let before = cluster.admitted[0];
    cluster.run_until(cluster.now + seconds * SECOND);
    (cluster.admitted[0] - before) as f64 / QUOTA
}

/// Returns the total capacity of all token buckets, divided by the quota.
fn bucket_capacity(cluster: &SimulatedCluster) -> f64 {
    (0.5_f64).max(3.0 * cluster.members.len() as f64 / QUOTA)
}

fn assert_estimates_are_accurate(cluster: &mut SimulatedCluster, members: f64, demand: f64) {
    let count = cluster.reachable_error(members).p95;
    let total = cluster.demand_error(demand).p95;
    assert!(count < 0.1 && total < 0.25, "{count} {total}");
}

#[test]
fn members_estimate_count_and_demand_and_use_the_quota() {
    for seed in 0..3 {
        let mut cluster = started_cluster(40, 2.0, seed);
        cluster.loss = 0.1;
        cluster.run_until(10 * SECOND);
        assert_estimates_are_accurate(&mut cluster, 40.0, 2.0 * QUOTA);
        let admitted = admitted_in(&mut cluster, 10) / 10.0;
        assert!((0.85..1.1).contains(&admitted), "{admitted}");
        set_demand(&mut cluster, 0.8);
        cluster.run_until(cluster.now + 5 * SECOND);
        let (requests, before) = (cluster.requests[0], cluster.admitted[0]);
        cluster.run_until(cluster.now + 10 * SECOND);
        let share = (cluster.admitted[0] - before) as f64 / (cluster.requests[0] - requests) as f64;
        assert!(
            share > 0.93,
            "requests of a tenant below its quota were rejected: {share} admitted"
        );
    }
}

#[test]
fn same_seed_gives_the_same_bytes() {
    let run = |seed| {
        let mut cluster = started_cluster(20, 2.0, seed);
        (cluster.loss, cluster.duplication) = (0.2, 0.1);
        cluster.run_until(8 * SECOND);
        (cluster.bytes, cluster.admitted.clone(), format!("{:?}", cluster.snapshots()))
    };
    assert_eq!(run(4), run(4));
    assert_ne!(run(4), run(5));
}

#[test]
fn partitions_together_use_no_more_than_the_quota_and_heal() {
    for (seed, cut) in [(1, 20), (2, 13), (3, 30)] {
        let mut cluster = started_cluster(40, 5.0, seed);
        cluster.run_until(10 * SECOND);
        cluster.partition[..cut].fill(1);
        let minority = cut.min(40 - cut) as f64 / 40.0;
        // The invariant from the start of the partition on, when members still hold their previous leases.
        let admitted = admitted_in(&mut cluster, 20);
        let bound = 20.0 * (1.0 + minority) + LINK_TIMEOUT_S + bucket_capacity(&cluster);
        assert!(admitted <= bound * 1.05, "{admitted} of {bound}");
        let later = admitted_in(&mut cluster, 10) / 10.0;
        let max_later = if cut == 20 { 1.0 } else { 1.0 + minority };
        assert!(later <= max_later * 1.1, "{later} of {max_later}");
        // The larger side estimates its count correctly. On the smaller side, some members are also disconnected from
        // one another, but no member estimates more members than there are.
        let sides = [(0..cut, cut), (cut..40, 40 - cut)];
        for (side, truth) in sides {
            let counts: Vec<f64> =
                side.map(|n| cluster.snapshot(n).reachable_members / truth as f64).collect();
            assert!(counts.iter().all(|r| *r < 1.25), "{counts:?}");
            assert!(truth <= 20 || counts.iter().all(|r| *r > 0.8), "{counts:?}");
        }
        cluster.partition.fill(0);
        cluster.run_until(cluster.now + 6 * SECOND);
        assert_estimates_are_accurate(&mut cluster, 40.0, 5.0 * QUOTA);
        let healed = admitted_in(&mut cluster, 10) / 10.0;
        assert!((0.85..1.1).contains(&healed), "{healed}");
    }
}

#[test]
fn members_without_incoming_or_outgoing_messages_have_an_equal_part_and_others_go_on() {
    for loses_incoming in [true, false] {
        let mut cluster = started_cluster(40, 5.0, 6);
        cluster.run_until(10 * SECOND);
        for n in (0..40).step_by(4) {
            (cluster.drops_incoming[n], cluster.drops_outgoing[n]) =
                (loses_incoming, !loses_incoming);
        }
        let admitted = admitted_in(&mut cluster, 20);
        let bound = 20.0 * 1.25 + LINK_TIMEOUT_S + bucket_capacity(&cluster);
        assert!(admitted <= bound * 1.05, "{admitted} of {bound}");
        for n in [0, 4, 8] {
            let snapshot = cluster.snapshot(n);
            assert_eq!((snapshot.links.up, snapshot.reachable_members), (0, 1.0), "{n}");
            assert_eq!(snapshot.tenants[0].lease_per_s, QUOTA / 40.0);
        }
        let members = cluster.snapshot(1).members;
        let expected = if loses_incoming { (40, 0) } else { (30, 10) };
        assert_eq!((members.alive, members.dead), expected, "members that send are alive");
        let counts = [1, 2, 3, 5, 6].map(|n| cluster.snapshot(n).reachable_members);
        let error = relative_error(counts.into_iter(), 30.0).p95;
        assert!(error < 0.15, "{error}");
        (cluster.drops_incoming, cluster.drops_outgoing) = (vec![false; 40], vec![false; 40]);
        cluster.run_until(cluster.now + 6 * SECOND);
        assert_estimates_are_accurate(&mut cluster, 40.0, 5.0 * QUOTA);
    }
}

#[test]
fn all_links_come_up_and_dead_neighbors_do_not_disturb_the_others() {
    let mut cluster = SimulatedCluster::new(12, &[24.0], ROUND_INTERVAL, 1);
    cluster.start_all();
    cluster.run_until(9 * SECOND);
    let all_up = LinkCounts { up: 11, total: 11 };
    assert!(cluster.snapshots().iter().all(|s| s.links == all_up));
    for n in [2, 5, 8, 11] {
        cluster.kill(n);
    }
    // Rounds spent on dead neighbors do not delay the exchanges between the others.
    for quarter in 0..40 {
        cluster.run_until(9 * SECOND + quarter * SECOND / 4);
        let counts: Vec<f64> = cluster.snapshots().iter().map(|s| s.reachable_members).collect();
        assert!(
            counts.iter().all(|r| *r > 7.5),
            "after {quarter} quarters of a second: {counts:?}"
        );
    }
    let some_up = LinkCounts { up: 7, total: 11 };
    assert!(cluster.snapshots().iter().all(|s| s.links == some_up && s.reachable_members < 8.5));
}

#[test]
fn most_members_die_at_once_and_return_with_other_clocks() {
    let mut cluster = started_cluster(40, 2.0, 7);
    cluster.run_until(10 * SECOND);
    for n in 0..28 {
        cluster.kill(n);
    }
    cluster.run_until(cluster.now + 12 * SECOND);
    let counts = (28..37).map(|n| cluster.snapshot(n).reachable_members);
    let error = relative_error(counts, 11.0).p95;
    assert!(error < 0.25, "{error}");
    let members = cluster.node(35).members(0);
    let is_dead = |n: usize| members[n].0.state == MemberState::Dead;
    assert!((0..28).all(is_dead), "members that were killed are not all known as dead");
    // Member 37 is alive, but all of its neighbors are dead.
    assert!((28..40).all(|n| (members[n].0.state == MemberState::Alive) == (n != 37)));
    let isolated = MemberCounts { alive: 1, dead: 39 };
    assert_eq!(cluster.snapshot(37).members, isolated, "an isolated member receives nothing");
    for n in 0..28 {
        // Clocks are ahead or behind by up to a minute, so some members return with a lower incarnation than before.
        cluster.clock_ahead_ms[n] = (n as i64 - 14) * 4300;
        cluster.start(n);
    }
    cluster.run_until(cluster.now + 15 * SECOND);
    assert_estimates_are_accurate(&mut cluster, 40.0, 2.0 * QUOTA);
    for n in [0, 1, 20, 39] {
        let all = cluster.node(n).members(0);
        assert!(all.iter().all(|(r, _)| r.state == MemberState::Alive), "{n}: {all:?}");
    }
}

#[test]
fn loss_and_duplication_have_little_effect() {
    let mut cluster = started_cluster(40, 2.0, 8);
    (cluster.loss, cluster.duplication) = (0.3, 0.2);
    cluster.run_until(15 * SECOND);
    assert_estimates_are_accurate(&mut cluster, 40.0, 2.0 * QUOTA);
    let admitted = admitted_in(&mut cluster, 10) / 10.0;
    assert!((0.8..1.15).contains(&admitted), "{admitted}");
    let down: usize = cluster.snapshots().iter().map(|s| s.links.total - s.links.up).sum();
    assert!(down <= 16, "{down} of 320 ends are down without a fault");
    let all_alive = MemberCounts { alive: 40, dead: 0 };
    assert!(
        cluster.snapshots().iter().all(|s| s.members == all_alive),
        "members were declared dead without a fault"
    );
}

#[test]
fn rounds_shorter_than_the_message_delay_do_not_make_sums_oscillate() {
    let mut cluster = SimulatedCluster::new(40, &[QUOTA], 4_000, 13);
    set_demand(&mut cluster, 2.0);
    cluster.start_all();
    cluster.run_until(8 * SECOND);
    let mut max_error: f64 = 0.0;
    for step in 0..20 {
        cluster.run_until(8 * SECOND + step * SECOND / 5);
        max_error = max_error.max(cluster.demand_error(2.0 * QUOTA).p95);
    }
    assert!(max_error < 0.4, "{max_error}");
}

#[test]
fn sums_do_not_drift_over_an_hour() {
    let mut cluster = SimulatedCluster::new(12, &[100.0], 500_000, 9);
    cluster.demand.iter_mut().for_each(|demand| demand[0] = 10.0);
    cluster.loss = 0.1;
    cluster.start_all();
    let mut last = 0.0;
    for minute in 1..=60 {
        cluster.run_until(minute * 60 * SECOND);
        let sum: f64 = cluster.snapshots().iter().map(|s| s.tenants[0].demand_per_s).sum();
        let mean = sum / 12.0;
        assert!((85.0..140.0).contains(&mean), "{mean} after {minute} minutes");
        last = mean;
    }
    cluster.demand.iter_mut().for_each(|demand| demand[0] = 0.0);
    cluster.run_until(cluster.now + 20 * SECOND);
    let demand = cluster.snapshots().into_iter().map(|s| 1.0 + s.tenants[0].demand_per_s);
    let rest = relative_error(demand, 1.0).p95;
    assert!(rest < 2.0 && last > 0.0, "the previous demand has not faded: {rest}");
}

/// Returns a well-formed message with invalid values and an incarnation from the past or the far future.
fn implausible_message(round: u64) -> Message {
    Message {
        incarnation: [1, u32::MAX - 1][(round % 2) as usize],
        receiver_incarnation: 1,
        sequence: 1,
        acknowledged: u32::MAX,
        flow_version: 9,
        schema: 7,
        payload: Payload::Flow,
        values: vec![f32::NAN, 1e30, -1e30, 1e9, 0.0, 1e9],
        records: Vec::new(),
    }
}

#[test]
fn garbage_replays_and_wrong_values_have_little_effect_and_cause_no_panic() {
    let mut cluster = started_cluster(40, 0.5, 10);
    cluster.run_until(10 * SECOND);
    for round in 0..200_u64 {
        for to in 0..40 {
            let from = (to * 7 + round as usize) % 40;
            let mut data = vec![0; (cluster.uniform() * 256.0) as usize];
            data.iter_mut().for_each(|b| *b = (cluster.uniform() * 256.0) as u8);
            if round % 2 == 0 && !data.is_empty() {
                data[0] = 0xb7;
            }
            cluster.inject_message(from, to, data);
            cluster.inject_message(from, to, implausible_message(round).encode());
        }
        cluster.run_until(cluster.now + SECOND / 100);
    }
    cluster.run_until(cluster.now + 5 * SECOND);
    assert_estimates_are_accurate(&mut cluster, 40.0, 0.5 * QUOTA);
    let ignored = |s: &gossip::Snapshot| s.messages.corrupt + s.messages.stale;
    assert!(
        cluster.snapshots().iter().all(|s| ignored(s) > 100),
        "ignored messages were not counted"
    );
    // One member reports a million times its true demand: the others keep their part of the equally divided share.
    cluster.demand[39][0] = 0.0;
    for n in 0..200_000 {
        let clock = 60 * SECOND + cluster.now + n / 2;
        cluster.node(39).try_admit(0, 0, clock);
    }
    cluster.run_until(cluster.now + 4 * SECOND);
    let min_lease = 0.05 * QUOTA / 40.0;
    assert!(cluster.snapshots().iter().take(39).all(|s| s.tenants[0].lease_per_s >= min_lease));
    cluster.run_until(cluster.now + 10 * SECOND);
    assert_estimates_are_accurate(&mut cluster, 40.0, 0.5 * QUOTA);
}

#[test]
fn new_demand_has_its_equal_part_immediately_and_the_unused_quota_soon() {
    let mut cluster = SimulatedCluster::new(40, &[QUOTA], ROUND_INTERVAL, 11);
    cluster.start_all();
    cluster.run_until(10 * SECOND);
    cluster.demand[17][0] = 0.8 * QUOTA;
    let started_at = cluster.now;
    let first = admitted_in(&mut cluster, 3);
    // Until the other members know the new demand, it has at least the equal part of one member.
    assert!(first >= 3.0 / 40.0, "{first}");
    cluster.run_until(started_at + 8 * SECOND);
    let later = admitted_in(&mut cluster, 5) / 5.0;
    assert!(later > 0.7, "the quota that others do not use was not leased to it: {later}");
    // The demand moves to another member, and the lease follows within 8 s.
    (cluster.demand[17][0], cluster.demand[3][0]) = (0.0, 0.8 * QUOTA);
    cluster.run_until(cluster.now + 8 * SECOND);
    let moved = admitted_in(&mut cluster, 5) / 5.0;
    assert!(moved > 0.7, "{moved}");
}

fn reconfigure(
    cluster: &mut SimulatedCluster,
    members: std::ops::Range<usize>,
    quotas: &TenantQuotas,
) {
    for n in members {
        let clock = 60 * SECOND + cluster.now;
        cluster.node(n).reconfigure(quotas.clone(), clock);
    }
}

#[test]
fn temporarily_different_quotas_and_other_tenants_do_no_harm() {
    let mut cluster = started_cluster(40, 3.0, 12);
    cluster.run_until(10 * SECOND);
    let doubled = TenantQuotas { schema: 7, per_second: vec![2.0 * QUOTA] };
    reconfigure(&mut cluster, 0..20, &doubled);
    cluster.run_until(cluster.now + 3 * SECOND);
    let admitted = admitted_in(&mut cluster, 10) / 10.0;
    assert!((0.9..2.2).contains(&admitted), "not between the old and the new quota: {admitted}");
    assert_estimates_are_accurate(&mut cluster, 40.0, 3.0 * QUOTA);
    // The demand of tenants with other names is not added.
    let other_tenants = TenantQuotas { schema: 8, per_second: vec![1.0, 2.0] };
    reconfigure(&mut cluster, 20..40, &other_tenants);
    cluster.run_until(cluster.now + 10 * SECOND);
    let snapshots = cluster.snapshots();
    assert!(
        snapshots[..20].iter().all(|s| s.reachable_members < 25.0 && s.tenants.len() == 1),
        "members exchanged values with members of another schema"
    );
    let has_others = |s: &gossip::Snapshot| s.tenants.len() == 2 && s.tenants[1].demand_per_s < 1.0;
    assert!(snapshots[20..].iter().all(has_others));
    let all_alive = MemberCounts { alive: 40, dead: 0 };
    assert!(
        snapshots.iter().all(|s| s.members == all_alive),
        "members of another schema are not all alive"
    );
}

/// Number of failed attempts and of retries, by member.
struct Retries {
    failures: Vec<f64>,
    retries: Vec<f64>,
}

/// Runs the cluster for some seconds. Returns the failed attempts and the retries meanwhile.
fn retries_in(cluster: &mut SimulatedCluster, seconds: u64) -> Retries {
    let (failures, retries) = (cluster.failures.clone(), cluster.retries.clone());
    cluster.run_until(cluster.now + seconds * SECOND);
    let increase = |now: &[u64], before: &[u64]| -> Vec<f64> {
        now.iter().zip(before).map(|(now, before)| (now - before) as f64).collect()
    };
    Retries {
        failures: increase(&cluster.failures, &failures),
        retries: increase(&cluster.retries, &retries),
    }
}

#[test]
fn retry_budget_goes_to_members_with_failures_and_is_shared_if_all_have_failures() {
    let mut cluster = started_cluster(40, 2.0, 8);
    cluster.loss = 0.1;
    cluster.run_until(8 * SECOND);
    // Half of the attempts of one member with less demand fail; the others need no retries.
    cluster.failure_share[10] = 0.5;
    cluster.run_until(cluster.now + 3 * SECOND);
    let Retries { failures, retries } = retries_in(&mut cluster, 10);
    assert!(retries[10] > 0.9 * failures[10], "{} of {}", retries[10], failures[10]);
    // While it loses all incoming messages, its retry budget is a tenth of its own requests.
    cluster.drops_incoming[10] = true;
    cluster.run_until(cluster.now + 6 * SECOND);
    let Retries { failures, retries } = retries_in(&mut cluster, 10);
    assert!(retries[10] < 0.3 * failures[10], "{} of {}", retries[10], failures[10]);
    cluster.drops_incoming[10] = false;
    // Half of all attempts fail, first in a healthy cluster, then in two partitions, then while a quarter of the
    // members lose all incoming messages.
    cluster.failure_share.fill(0.5);
    cluster.run_until(cluster.now + 6 * SECOND);
    for phase in 0..3 {
        match phase {
            1 => cluster.partition[..20].fill(1),
            2 => {
                cluster.partition.fill(0);
                cluster.drops_incoming[..10].fill(true);
            }
            _ => {}
        }
        let before = cluster.requests[0];
        let Retries { failures, retries } = retries_in(&mut cluster, 15);
        let requests = (cluster.requests[0] - before) as f64;
        let (failures, retries) = (failures.iter().sum::<f64>(), retries.iter().sum::<f64>());
        assert!(failures > 0.4 * requests);
        let saved = 40.0 + 0.5 * 0.1 * 2.0 * QUOTA;
        assert!(retries <= 1.15 * 0.1 * requests + saved, "{retries} of {requests}, {phase}");
        assert!(retries >= 0.8 * 0.1 * requests, "{retries} of {requests}, {phase}");
    }
}

#[test]
fn class_demand_is_summed_like_tenant_demand() {
    let mut cluster = started_cluster(40, 2.0, 9);
    cluster.run_until(10 * SECOND);
    let first_class = cluster.snapshots().into_iter().map(|s| s.class_demand_per_s[0]);
    let first = relative_error(first_class, 2.0 * QUOTA).p95;
    let second = cluster.snapshots().iter().map(|s| s.class_demand_per_s[1]).fold(0.0, f64::max);
    assert!(first < 0.25 && second < 1.0, "{first} {second}");
}

/// If the clock is stepped by an hour while a member is down, it starts with a much lower or higher incarnation.
#[test]
fn members_that_restart_with_clocks_an_hour_off_rejoin() {
    const HOUR_MS: i64 = 3_600_000;
    for step in [-HOUR_MS, HOUR_MS] {
        let mut cluster = started_cluster(20, 0.8, 5);
        cluster.run_until(10 * SECOND);
        for member in 0..5 {
            cluster.kill(member);
        }
        cluster.run_until(cluster.now + SECOND);
        for member in 0..5 {
            cluster.clock_ahead_ms[member] = step;
            cluster.start(member);
        }
        cluster.run_until(cluster.now + 10 * SECOND);
        let alive = cluster.snapshots().iter().all(|snapshot| snapshot.members.alive == 20);
        let up =
            cluster.snapshots().iter().all(|snapshot| snapshot.links.up == snapshot.links.total);
        assert!(alive && up, "not all alive with all links up after a step of {step} ms");
        assert_estimates_are_accurate(&mut cluster, 20.0, 0.8 * QUOTA);
    }
}
