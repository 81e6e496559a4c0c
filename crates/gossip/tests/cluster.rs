//! Clusters on a virtual clock, and the faults that hit them.

mod common;

use common::{S, World, relative_error};
use gossip::{LinkCounts, MemberCounts, MemberState, Message, Payload, TenantQuotas};

const ROUND_INTERVAL: u64 = 100_000;
const QUOTA: f64 = 600.0;
/// S of the design note's invariant, in seconds.
const SILENT_S: f64 = 4.0;

/// A started cluster in which some members have much more demand than others, so many times the quota in all.
fn started_cluster(size: u32, demand_in_quotas: f64, seed: u64) -> World {
    let mut world = World::new(size, &[QUOTA], ROUND_INTERVAL, seed);
    set_demand(&mut world, demand_in_quotas);
    world.start_all();
    world
}

fn set_demand(world: &mut World, demand_in_quotas: f64) {
    let total: f64 = (1..=world.demand.len()).map(|n| 1.0 / n as f64).sum();
    for (n, demand) in world.demand.iter_mut().enumerate() {
        demand[0] = demand_in_quotas * QUOTA / (n + 1) as f64 / total;
    }
}

/// Requests admitted within so many seconds, in quotas.
fn admitted_in(world: &mut World, seconds: u64) -> f64 {
    let before = world.admitted[0];
    world.run_until(world.now + seconds * S);
    (world.admitted[0] - before) as f64 / QUOTA
}

/// What buckets may grant at once, in quotas.
fn bucket_capacity(world: &World) -> f64 {
    (0.5_f64).max(3.0 * world.members.len() as f64 / QUOTA)
}

fn assert_counts_are_right(world: &mut World, members: f64, demand: f64) {
    let count = world.reachable_error(members).p95;
    let total = world.demand_error(demand).p95;
    assert!(count < 0.1 && total < 0.25, "{count} {total}");
}

#[test]
fn members_know_their_count_and_the_demand_and_spend_the_quota() {
    for seed in 0..3 {
        let mut world = started_cluster(40, 2.0, seed);
        world.loss = 0.1;
        world.run_until(10 * S);
        assert_counts_are_right(&mut world, 40.0, 2.0 * QUOTA);
        let admitted = admitted_in(&mut world, 10) / 10.0;
        assert!((0.85..1.1).contains(&admitted), "{admitted}");
        set_demand(&mut world, 0.8);
        world.run_until(world.now + 5 * S);
        let (requests, before) = (world.requests[0], world.admitted[0]);
        world.run_until(world.now + 10 * S);
        let share = (world.admitted[0] - before) as f64 / (world.requests[0] - requests) as f64;
        assert!(share > 0.93, "a tenant below its quota is hardly rejected for it: {share}");
    }
}

#[test]
fn same_seed_gives_the_same_bytes() {
    let run = |seed| {
        let mut world = started_cluster(20, 2.0, seed);
        (world.loss, world.duplication) = (0.2, 0.1);
        world.run_until(8 * S);
        (world.bytes, world.admitted.clone(), format!("{:?}", world.snapshots()))
    };
    assert_eq!(run(4), run(4));
    assert_ne!(run(4), run(5));
}

#[test]
fn partitions_together_spend_no_more_than_the_quota_and_heal() {
    for (seed, cut) in [(1, 20), (2, 13), (3, 30)] {
        let mut world = started_cluster(40, 5.0, seed);
        world.run_until(10 * S);
        world.partition[..cut].fill(1);
        let minority = cut.min(40 - cut) as f64 / 40.0;
        // The invariant over the whole of the partition, and beyond the leases held at its beginning.
        let admitted = admitted_in(&mut world, 20);
        let bound = 20.0 * (1.0 + minority) + SILENT_S + bucket_capacity(&world);
        assert!(admitted <= bound * 1.05, "{admitted} of {bound}");
        let later = admitted_in(&mut world, 10) / 10.0;
        let max_later = if cut == 20 { 1.0 } else { 1.0 + minority };
        assert!(later <= max_later * 1.1, "{later} of {max_later}");
        // The larger side knows its count; of the smaller some members are cut off from one another as well, and
        // no member believes in more than there are.
        let sides = [(0..cut, cut), (cut..40, 40 - cut)];
        for (side, truth) in sides {
            let counts: Vec<f64> =
                side.map(|n| world.snapshot(n).reachable_members / truth as f64).collect();
            assert!(counts.iter().all(|r| *r < 1.25), "{counts:?}");
            assert!(truth <= 20 || counts.iter().all(|r| *r > 0.8), "{counts:?}");
        }
        world.partition.fill(0);
        world.run_until(world.now + 6 * S);
        assert_counts_are_right(&mut world, 40.0, 5.0 * QUOTA);
        let healed = admitted_in(&mut world, 10) / 10.0;
        assert!((0.85..1.1).contains(&healed), "{healed}");
    }
}

#[test]
fn deaf_and_mute_members_have_their_part_and_the_others_go_on_without_them() {
    for deaf in [true, false] {
        let mut world = started_cluster(40, 5.0, 6);
        world.run_until(10 * S);
        for n in (0..40).step_by(4) {
            (world.deaf[n], world.mute[n]) = (deaf, !deaf);
        }
        let admitted = admitted_in(&mut world, 20);
        let bound = 20.0 * 1.25 + SILENT_S + bucket_capacity(&world);
        assert!(admitted <= bound * 1.05, "{admitted} of {bound}");
        for n in [0, 4, 8] {
            let snapshot = world.snapshot(n);
            assert_eq!((snapshot.links.up, snapshot.reachable_members), (0, 1.0), "{n}");
            assert_eq!(snapshot.tenants[0].lease_per_s, QUOTA / 40.0);
        }
        let members = world.snapshot(1).members;
        let expected = if deaf { (40, 0) } else { (30, 10) };
        assert_eq!((members.alive, members.dead), expected, "a member that sends is alive");
        let counts = [1, 2, 3, 5, 6].map(|n| world.snapshot(n).reachable_members);
        let error = relative_error(counts.into_iter(), 30.0).p95;
        assert!(error < 0.15, "{error}");
        (world.deaf, world.mute) = (vec![false; 40], vec![false; 40]);
        world.run_until(world.now + 6 * S);
        assert_counts_are_right(&mut world, 40.0, 5.0 * QUOTA);
    }
}

#[test]
fn all_links_come_up_and_dead_neighbors_do_not_disturb_the_others() {
    let mut world = World::new(12, &[24.0], ROUND_INTERVAL, 1);
    world.start_all();
    world.run_until(9 * S);
    let all_up = LinkCounts { up: 11, total: 11 };
    assert!(world.snapshots().iter().all(|s| s.links == all_up));
    for n in [2, 5, 8, 11] {
        world.kill(n);
    }
    // Their silence takes no rounds from the others.
    for quarter in 0..40 {
        world.run_until(9 * S + quarter * S / 4);
        let counts: Vec<f64> = world.snapshots().iter().map(|s| s.reachable_members).collect();
        assert!(
            counts.iter().all(|r| *r > 7.5),
            "after {quarter} quarters of a second: {counts:?}"
        );
    }
    let some_up = LinkCounts { up: 7, total: 11 };
    assert!(world.snapshots().iter().all(|s| s.links == some_up && s.reachable_members < 8.5));
}

#[test]
fn most_members_die_at_once_and_come_back_with_other_clocks() {
    let mut world = started_cluster(40, 2.0, 7);
    world.run_until(10 * S);
    for n in 0..28 {
        world.kill(n);
    }
    world.run_until(world.now + 12 * S);
    let counts = (28..37).map(|n| world.snapshot(n).reachable_members);
    let error = relative_error(counts, 11.0).p95;
    assert!(error < 0.25, "{error}");
    let members = world.node(35).members(0);
    let is_dead = |n: usize| members[n].0.state == MemberState::Dead;
    assert!((0..28).all(is_dead), "all have them as dead");
    // 37 lives alone among dead neighbors.
    assert!((28..40).all(|n| (members[n].0.state == MemberState::Alive) == (n != 37)));
    let isolated = MemberCounts { alive: 1, dead: 39 };
    assert_eq!(world.snapshot(37).members, isolated, "it receives nothing");
    for n in 0..28 {
        // Ahead and behind, by up to a minute: some are older now than they were before.
        world.clock_ahead_ms[n] = (n as i64 - 14) * 4300;
        world.start(n);
    }
    world.run_until(world.now + 15 * S);
    assert_counts_are_right(&mut world, 40.0, 2.0 * QUOTA);
    for n in [0, 1, 20, 39] {
        let all = world.node(n).members(0);
        assert!(all.iter().all(|(r, _)| r.state == MemberState::Alive), "{n}: {all:?}");
    }
}

#[test]
fn loss_and_duplication_cost_little() {
    let mut world = started_cluster(40, 2.0, 8);
    (world.loss, world.duplication) = (0.3, 0.2);
    world.run_until(15 * S);
    assert_counts_are_right(&mut world, 40.0, 2.0 * QUOTA);
    let admitted = admitted_in(&mut world, 10) / 10.0;
    assert!((0.8..1.15).contains(&admitted), "{admitted}");
    let down: usize = world.snapshots().iter().map(|s| s.links.total - s.links.up).sum();
    assert!(down <= 16, "{down} of 320 ends are down without a fault");
    let all_alive = MemberCounts { alive: 40, dead: 0 };
    assert!(
        world.snapshots().iter().all(|s| s.members == all_alive),
        "no member is declared dead without a fault"
    );
}

#[test]
fn rounds_shorter_than_a_message_takes_do_not_make_sums_oscillate() {
    let mut world = World::new(40, &[QUOTA], 4_000, 13);
    set_demand(&mut world, 2.0);
    world.start_all();
    world.run_until(8 * S);
    let mut worst: f64 = 0.0;
    for step in 0..20 {
        world.run_until(8 * S + step * S / 5);
        worst = worst.max(world.demand_error(2.0 * QUOTA).p95);
    }
    assert!(worst < 0.4, "{worst}");
}

#[test]
fn sums_do_not_drift_over_an_hour() {
    let mut world = World::new(12, &[100.0], 500_000, 9);
    world.demand.iter_mut().for_each(|demand| demand[0] = 10.0);
    world.loss = 0.1;
    world.start_all();
    let mut last = 0.0;
    for minute in 1..=60 {
        world.run_until(minute * 60 * S);
        let sum: f64 = world.snapshots().iter().map(|s| s.tenants[0].demand_per_s).sum();
        let mean = sum / 12.0;
        assert!((85.0..140.0).contains(&mean), "{mean} after {minute} minutes");
        last = mean;
    }
    world.demand.iter_mut().for_each(|demand| demand[0] = 0.0);
    world.run_until(world.now + 20 * S);
    let demand = world.snapshots().into_iter().map(|s| 1.0 + s.tenants[0].demand_per_s);
    let rest = relative_error(demand, 1.0).p95;
    assert!(rest < 2.0 && last > 0.0, "earlier demand fades: {rest}");
}

/// A valid message from an earlier incarnation, or from the far future, with invalid values.
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
fn garbage_replays_and_false_figures_change_little_and_nothing_panics() {
    let mut world = started_cluster(40, 0.5, 10);
    world.run_until(10 * S);
    for round in 0..200_u64 {
        for to in 0..40 {
            let from = (to * 7 + round as usize) % 40;
            let mut data = vec![0; (world.draw() * 256.0) as usize];
            data.iter_mut().for_each(|b| *b = (world.draw() * 256.0) as u8);
            if round % 2 == 0 && !data.is_empty() {
                data[0] = 0xb7;
            }
            world.forge(from, to, data);
            world.forge(from, to, implausible_message(round).encode());
        }
        world.run_until(world.now + S / 100);
    }
    world.run_until(world.now + 5 * S);
    assert_counts_are_right(&mut world, 40.0, 0.5 * QUOTA);
    let ignored = |s: &gossip::Snapshot| s.messages.corrupt + s.messages.stale;
    assert!(world.snapshots().iter().all(|s| ignored(s) > 100), "they were counted");
    // One member reports a million times its true demand: no request is rejected that the equal part would serve.
    world.demand[39][0] = 0.0;
    for n in 0..200_000 {
        let clock = 60 * S + world.now + n / 2;
        world.node(39).try_admit(0, 0, clock);
    }
    world.run_until(world.now + 4 * S);
    let least = 0.05 * QUOTA / 40.0;
    assert!(world.snapshots().iter().take(39).all(|s| s.tenants[0].lease_per_s >= least));
    world.run_until(world.now + 10 * S);
    assert_counts_are_right(&mut world, 40.0, 0.5 * QUOTA);
}

#[test]
fn tenant_that_wakes_up_has_its_equal_part_at_once_and_the_rest_soon() {
    let mut world = World::new(40, &[QUOTA], ROUND_INTERVAL, 11);
    world.start_all();
    world.run_until(10 * S);
    world.demand[17][0] = 0.8 * QUOTA;
    let began = world.now;
    let first = admitted_in(&mut world, 3);
    // Until the others know of it, it has its equal part at the least.
    assert!(first >= 3.0 / 40.0, "{first}");
    world.run_until(began + 8 * S);
    let later = admitted_in(&mut world, 5) / 5.0;
    assert!(later > 0.7, "what the others leave flows to it: {later}");
    // The demand moves to another member, and the lease follows within a stated time.
    (world.demand[17][0], world.demand[3][0]) = (0.0, 0.8 * QUOTA);
    world.run_until(world.now + 8 * S);
    let moved = admitted_in(&mut world, 5) / 5.0;
    assert!(moved > 0.7, "{moved}");
}

fn reconfigure(world: &mut World, members: std::ops::Range<usize>, quotas: &TenantQuotas) {
    for n in members {
        let clock = 60 * S + world.now;
        world.node(n).reconfigure(quotas.clone(), clock);
    }
}

#[test]
fn different_quotas_for_a_while_and_other_tenants_do_no_harm() {
    let mut world = started_cluster(40, 3.0, 12);
    world.run_until(10 * S);
    let doubled = TenantQuotas { schema: 7, per_second: vec![2.0 * QUOTA] };
    reconfigure(&mut world, 0..20, &doubled);
    world.run_until(world.now + 3 * S);
    let admitted = admitted_in(&mut world, 10) / 10.0;
    assert!((0.9..2.2).contains(&admitted), "between the old and the new quota: {admitted}");
    assert_counts_are_right(&mut world, 40.0, 3.0 * QUOTA);
    // Tenants of other names are not added to these.
    let other_tenants = TenantQuotas { schema: 8, per_second: vec![1.0, 2.0] };
    reconfigure(&mut world, 20..40, &other_tenants);
    world.run_until(world.now + 10 * S);
    let snapshots = world.snapshots();
    assert!(
        snapshots[..20].iter().all(|s| s.reachable_members < 25.0 && s.tenants.len() == 1),
        "they exchange with members of the same schema"
    );
    let has_others = |s: &gossip::Snapshot| s.tenants.len() == 2 && s.tenants[1].demand_per_s < 1.0;
    assert!(snapshots[20..].iter().all(has_others));
    let all_alive = MemberCounts { alive: 40, dead: 0 };
    assert!(snapshots.iter().all(|s| s.members == all_alive), "but all are alive");
}

/// Failed attempts and retries, by member.
struct Retries {
    failures: Vec<f64>,
    retries: Vec<f64>,
}

/// What fails and is retried within so many seconds.
fn retries_in(world: &mut World, seconds: u64) -> Retries {
    let (failures, retries) = (world.failures.clone(), world.retries.clone());
    world.run_until(world.now + seconds * S);
    let increase = |now: &[u64], before: &[u64]| -> Vec<f64> {
        now.iter().zip(before).map(|(now, before)| (now - before) as f64).collect()
    };
    Retries {
        failures: increase(&world.failures, &failures),
        retries: increase(&world.retries, &retries),
    }
}

#[test]
fn retry_budget_goes_to_members_with_failures_and_is_shared_by_all_in_a_storm() {
    let mut world = started_cluster(40, 2.0, 8);
    world.loss = 0.1;
    world.run_until(8 * S);
    // Half of the attempts of one of the quieter members fail: the others need no retries.
    world.failure_share[10] = 0.5;
    world.run_until(world.now + 3 * S);
    let Retries { failures, retries } = retries_in(&mut world, 10);
    assert!(retries[10] > 0.9 * failures[10], "{} of {}", retries[10], failures[10]);
    // Deaf, it has a tenth of its own requests.
    world.deaf[10] = true;
    world.run_until(world.now + 6 * S);
    let Retries { failures, retries } = retries_in(&mut world, 10);
    assert!(retries[10] < 0.3 * failures[10], "{} of {}", retries[10], failures[10]);
    world.deaf[10] = false;
    // A storm: half of all attempts fail, first in a healthy cluster, then in two partitions, then with a quarter deaf.
    world.failure_share.fill(0.5);
    world.run_until(world.now + 6 * S);
    for phase in 0..3 {
        match phase {
            1 => world.partition[..20].fill(1),
            2 => {
                world.partition.fill(0);
                world.deaf[..10].fill(true);
            }
            _ => {}
        }
        let before = world.requests[0];
        let Retries { failures, retries } = retries_in(&mut world, 15);
        let requests = (world.requests[0] - before) as f64;
        let (failures, retries) = (failures.iter().sum::<f64>(), retries.iter().sum::<f64>());
        assert!(failures > 0.4 * requests);
        let saved = 40.0 + 0.5 * 0.1 * 2.0 * QUOTA;
        assert!(retries <= 1.15 * 0.1 * requests + saved, "{retries} of {requests}, {phase}");
        assert!(retries >= 0.8 * 0.1 * requests, "{retries} of {requests}, {phase}");
    }
}

#[test]
fn class_demand_is_summed_like_tenant_demand() {
    let mut world = started_cluster(40, 2.0, 9);
    world.run_until(10 * S);
    let first_class = world.snapshots().into_iter().map(|s| s.class_demand_per_s[0]);
    let first = relative_error(first_class, 2.0 * QUOTA).p95;
    let second = world.snapshots().iter().map(|s| s.class_demand_per_s[1]).fold(0.0, f64::max);
    assert!(first < 0.25 && second < 1.0, "{first} {second}");
}

/// A clock may be stepped by an hour while a member is down; it then starts with a much lower or higher incarnation.
#[test]
fn members_that_restart_with_clocks_an_hour_off_rejoin() {
    const HOUR_MS: i64 = 3_600_000;
    for step in [-HOUR_MS, HOUR_MS] {
        let mut world = started_cluster(20, 0.8, 5);
        world.run_until(10 * S);
        for member in 0..5 {
            world.kill(member);
        }
        world.run_until(world.now + S);
        for member in 0..5 {
            world.clock_ahead_ms[member] = step;
            world.start(member);
        }
        world.run_until(world.now + 10 * S);
        let alive = world.snapshots().iter().all(|snapshot| snapshot.members.alive == 20);
        let up = world.snapshots().iter().all(|snapshot| snapshot.links.up == snapshot.links.total);
        assert!(alive && up, "after a step of {step} ms");
        assert_counts_are_right(&mut world, 20.0, 0.8 * QUOTA);
    }
}
