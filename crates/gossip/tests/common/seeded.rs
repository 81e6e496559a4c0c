//! One seeded run: a cluster that is healthy, hit by a fault that is drawn, and healthy again.

#![allow(dead_code, reason = "each user needs a part of it")]

use rand_core::RngCore;

use crate::common::{S, World};

/// S and B of the design note's invariant, in seconds.
const SILENT_S: f64 = 4.0;
/// What estimates may be wrong by.
const ESTIMATE_TOLERANCE: f64 = 1.1;
/// Retries of all requests, with what the design note's invariant allows beyond a tenth.
const RETRY_SHARE: f64 = 0.11;
const ROUND_INTERVAL: u64 = 100_000;
/// How long the cluster is healthy at first, and how long the fault lasts.
const HEALTHY_S: u64 = 8;
const FAULT_S: u64 = 8;
/// All clocks are within a minute of the true time.
const CLOCK_SPREAD_MS: f64 = 120_000.0;

/// The outcome of one seed.
pub struct Outcome {
    /// What did not hold.
    pub violations: Vec<String>,
    /// Requests within leases, as a share of the bound on the quota.
    pub admitted: f64,
    /// Retries, as a share of the bound on retries.
    pub retried: f64,
    /// Members that were declared dead, in all tables together, before there was any fault.
    pub falsely_dead: usize,
    /// Bytes per second and member while there was no fault.
    pub bytes_per_s: f64,
    /// Seconds after the fault until 19 of 20 members have the count within a tenth.
    pub healed_after_s: f64,
    /// A hash of all messages as they were sent, with their times on the virtual clock, and of the last snapshots.
    pub hash: u64,
}

/// The faults that are drawn, each for a share of all members.
#[derive(Clone, Copy)]
enum Fault {
    Partition,
    Deaf,
    Mute,
    Killed,
}

/// What a run is made of, in the order in which it is drawn.
struct Scenario {
    size: u32,
    quota: f64,
    demand: f64,
    world: World,
}

impl Scenario {
    /// Draws a scenario; the size is drawn unless it is given.
    fn draw(seed: u64, size: Option<u32>) -> Scenario {
        let mut draws = World::new(2, &[1.0], ROUND_INTERVAL, seed);
        let drawn_size = (8.0 * 125.0_f64.powf(draws.draw())).round() as u32;
        let size = size.unwrap_or(drawn_size);
        let quota = f64::from(size) * (1.0 + 3.0 * draws.draw());
        // Demand is up to five times the quota, and a few members have most of it.
        let demand = quota * (0.5 + 4.5 * draws.draw());
        let zipf_exponent = draws.draw();
        let mut world = World::new(size, &[quota], ROUND_INTERVAL, seed ^ 0x5eed);
        let weights: Vec<f64> = (1..=size).map(|n| f64::from(n).powf(-zipf_exponent)).collect();
        let total: f64 = weights.iter().sum();
        for (member, weight) in world.demand.iter_mut().zip(&weights) {
            member[0] = demand * weight / total;
        }
        world.loss = 0.2 * world.draw();
        world.duplication = 0.2 * world.draw();
        for member in 0..size as usize {
            world.clock_ahead_ms[member] = ((world.draw() - 0.5) * CLOCK_SPREAD_MS) as i64;
        }
        let failure_share = world.draw();
        world.failure_share.fill(if failure_share < 0.5 { failure_share } else { 0.0 });
        Scenario { size, quota, demand, world }
    }

    /// Draws a fault and the members that it hits, and injects it.
    fn inject_fault(&mut self) -> (Fault, Vec<usize>) {
        let world = &mut self.world;
        let share = 0.05 + 0.45 * world.draw();
        let hit: Vec<usize> = (0..self.size as usize).filter(|_| world.draw() < share).collect();
        let fault = match world.rng.next_u64() % 4 {
            0 => Fault::Partition,
            1 => Fault::Deaf,
            2 => Fault::Mute,
            _ => Fault::Killed,
        };
        for member in &hit {
            match fault {
                Fault::Partition => world.partition[*member] = 1,
                Fault::Deaf => world.deaf[*member] = true,
                Fault::Mute => world.mute[*member] = true,
                Fault::Killed => world.kill(*member),
            }
        }
        (fault, hit)
    }

    /// Runs on while the fault lasts, with garbage from random members.
    fn run_fault(&mut self) {
        let (world, size) = (&mut self.world, self.size as usize);
        for quarter in 0..4 * FAULT_S {
            let from = world.rng.next_u64() as usize % size;
            let to = world.rng.next_u64() as usize % size;
            let length = world.rng.next_u64() % 256;
            let garbage = (0..length).map(|_| world.rng.next_u64() as u8).collect();
            world.forge(from, to, garbage);
            world.run_until(HEALTHY_S * S + (quarter + 1) * S / 4);
        }
    }

    fn clear_fault(&mut self, fault: Fault, hit: &[usize]) {
        let world = &mut self.world;
        world.partition.fill(0);
        world.deaf.fill(false);
        world.mute.fill(false);
        if matches!(fault, Fault::Killed) {
            hit.iter().for_each(|member| world.start(*member));
        }
    }

    /// Runs on for this many quarters of a second. Returns the seconds until the count is right again.
    fn run_healed(&mut self, quarters: u64) -> f64 {
        let mut healed_after_s = f64::NAN;
        for quarter in 1..=quarters {
            self.world.run_until((HEALTHY_S + FAULT_S) * S + quarter * S / 4);
            let error = self.world.reachable_error(f64::from(self.size)).p95;
            if error < 0.1 && healed_after_s.is_nan() {
                healed_after_s = quarter as f64 / 4.0;
            }
        }
        healed_after_s
    }

    /// The most requests that may be admitted during and after the fault.
    fn admitted_bound(&self, fault: Fault, hit: usize, healed_s: f64) -> f64 {
        let hit_share = hit as f64 / f64::from(self.size);
        let bucket_s = 0.5_f64.max(3.0 * f64::from(self.size) / self.quota);
        // A member that starts again has a full bucket.
        let restarted_s = if matches!(fault, Fault::Killed) { hit_share * bucket_s } else { 0.0 };
        let seconds = (FAULT_S as f64 + healed_s) * ESTIMATE_TOLERANCE;
        self.quota * (seconds + 8.0 * hit_share + 2.0 * SILENT_S + bucket_s + restarted_s)
    }

    fn total_retries(&self) -> u64 {
        self.world.retries.iter().sum()
    }
}

/// Runs one seed; the size is drawn unless it is given.
pub fn run(seed: u64, size: Option<u32>) -> Outcome {
    let mut scenario = Scenario::draw(seed, size);
    let size = f64::from(scenario.size);
    scenario.world.start_all();
    scenario.world.run_until(HEALTHY_S * S);
    let falsely_dead = scenario.world.snapshots().iter().map(|s| s.members.dead).sum();
    let bytes_per_s = scenario.world.bytes as f64 / HEALTHY_S as f64 / size;
    let (admitted_before, retries_before, requests_before) =
        (scenario.world.admitted[0], scenario.total_retries(), scenario.world.requests[0]);

    let (fault, hit) = scenario.inject_fault();
    scenario.run_fault();
    scenario.clear_fault(fault, &hit);
    let quarters = 40 + u64::from(scenario.size) / 25;
    let healed_after_s = scenario.run_healed(quarters);

    let bound = scenario.admitted_bound(fault, hit.len(), quarters as f64 / 4.0);
    let admitted = (scenario.world.admitted[0] - admitted_before) as f64 / bound;
    let requests = (scenario.world.requests[0] - requests_before) as f64;
    let max_saved = size + 0.5 * 0.1 * scenario.demand;
    let retries = (scenario.total_retries() - retries_before) as f64;
    let retried = retries / (RETRY_SHARE * ESTIMATE_TOLERANCE * requests + 2.0 * max_saved);
    let snapshots = scenario.world.snapshots();
    let known = snapshots.iter().map(|s| s.members.alive as f64 / size).sum::<f64>() / size;
    Outcome {
        violations: violations(admitted, retried, healed_after_s, known),
        admitted,
        retried,
        falsely_dead,
        bytes_per_s,
        healed_after_s,
        hash: scenario.world.hash(&snapshots),
    }
}

/// What does not hold of the invariants. `known` is the share of members that tables have as alive.
fn violations(admitted: f64, retried: f64, healed_after_s: f64, known: f64) -> Vec<String> {
    let checks = [
        (admitted <= 1.0, format!("{admitted:.3} of the bound on the quota were spent")),
        (retried <= 1.0, format!("{retried:.3} of the bound on retries")),
        (healed_after_s <= 10.0, "the count is not right 10 s after healing".to_owned()),
        (known >= 0.95, format!("{known:.3} of all members are in tables as alive")),
    ];
    checks.into_iter().filter(|(holds, _)| !holds).map(|(_, what)| what).collect()
}
