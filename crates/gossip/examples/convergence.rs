//! Measures clusters on a virtual clock: `convergence SIZE ROUND_MS SEEDS`. How right the counts are two seconds after
//! the demand has doubled, what is spent of a quota while a third of the members is partitioned off, how long healing
//! takes, and bytes.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{S, World};

const QUOTA: f64 = 2000.0;
const DEMAND: f64 = 3000.0;
const LOSS: f64 = 0.1;
/// A few members have most of the demand.
const ZIPF_EXPONENT: f64 = 0.7;
/// Names of the figures, in the order of [`Figures`].
const NAMES: [&str; 11] = [
    "s until 19 of 20 have the count within 5 % after all began at once",
    "bytes a second and member",
    "error of a total 2 s after it doubled, 19 of 20 within",
    "the same, the most",
    "19 of 20 within, 4 s after",
    "spent of the quota, 1.5 times asked",
    "the same while a third is cut off, over 20 s",
    "error of the majority's count then, 19 of 20 within",
    "s until 19 of 20 have count (10 %) and total (15 %) after healing",
    "s until the first has a dead one as gone",
    "s until all have",
];

type Figures = [f64; NAMES.len()];

fn argument(n: usize, default: u64) -> u64 {
    std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(default)
}

/// A cluster under measurement.
struct Measurement {
    world: World,
    size: usize,
    weights: Vec<f64>,
}

impl Measurement {
    fn new(size: u64, round_ms: u64, seed: u64) -> Measurement {
        let mut world = World::new(size as u32, &[QUOTA], round_ms * 1000, seed);
        world.loss = LOSS;
        let weights: Vec<f64> =
            (0..size).map(|n| 1.0 / (1.0 + n as f64).powf(ZIPF_EXPONENT)).collect();
        let total: f64 = weights.iter().sum();
        let weights = weights.into_iter().map(|weight| weight / total).collect();
        Measurement { world, size: size as usize, weights }
    }

    fn set_demand(&mut self, demand: f64) {
        for (member, weight) in self.world.demand.iter_mut().zip(&self.weights) {
            member[0] = demand * weight;
        }
    }

    fn run_for(&mut self, seconds: u64) {
        let until = self.world.now + seconds * S;
        self.world.run_until(until);
    }

    /// Seconds until a condition holds, looked at four times a second for so many looks; NaN if it never does.
    fn seconds_until(&mut self, looks: u64, mut condition: impl FnMut(&mut World) -> bool) -> f64 {
        let began = self.world.now;
        for look in 1..looks {
            self.world.run_until(began + look * S / 4);
            if condition(&mut self.world) {
                return look as f64 / 4.0;
            }
        }
        f64::NAN
    }

    /// What is admitted within 20 s, as a share of the quota.
    fn admitted_share(&mut self) -> f64 {
        let before = self.world.admitted[0];
        self.run_for(20);
        (self.world.admitted[0] - before) as f64 / 20.0 / QUOTA
    }

    fn run(mut self) -> Figures {
        let size = self.size as f64;
        self.set_demand(DEMAND / 2.0);
        self.world.start_all();
        let began = self.seconds_until(200, |w| w.reachable_error(size).p95 < 0.05);
        self.world.run_until(self.world.now.max(20 * S));
        let bytes_before = self.world.bytes;
        self.run_for(10);
        let bytes_per_s = (self.world.bytes - bytes_before) as f64 / 10.0 / size;
        self.set_demand(DEMAND);
        self.run_for(2);
        let error = self.world.demand_error(DEMAND);
        self.run_for(2);
        let later = self.world.demand_error(DEMAND).p95;
        let healthy = self.admitted_share();
        let minority = self.size / 3;
        self.world.partition[..minority].fill(1);
        let partitioned = self.admitted_share();
        let majority_error = self.majority_error(minority);
        self.world.partition.fill(0);
        let healed = self.seconds_until(400, |w| {
            w.reachable_error(size).p95 < 0.1 && w.demand_error(DEMAND).p95 < 0.15
        });
        let (first, all) = self.detection_times(minority);
        [
            began,
            bytes_per_s,
            error.p95,
            error.max,
            later,
            healthy,
            partitioned,
            majority_error,
            healed,
            first,
            all,
        ]
    }

    fn majority_error(&mut self, minority: usize) -> f64 {
        let snapshots = self.world.snapshots();
        let counts = snapshots[minority..].iter().map(|s| s.reachable_members);
        common::relative_error(counts, (self.size - minority) as f64).p95
    }

    /// Kills one member once there are no updates any more. Seconds until the first of the others has it as dead,
    /// and until all have.
    fn detection_times(&mut self, victim: usize) -> (f64, f64) {
        self.run_for(60);
        self.world.kill(victim);
        let mut first = f64::NAN;
        let mut looks = 0;
        let all = self.seconds_until(1000, |world| {
            looks += 1;
            let alive = world.alive();
            let informed = alive.iter().filter(|n| has_as_dead(world, **n, victim)).count();
            if informed > 0 && first.is_nan() {
                first = f64::from(looks) / 4.0;
            }
            informed == alive.len()
        });
        (first, all)
    }
}

fn has_as_dead(world: &World, member: usize, victim: usize) -> bool {
    let node = world.members[member].as_ref().expect("the member is there");
    node.members(u64::MAX)[victim].0.state == gossip::MemberState::Dead
}

fn main() {
    let (size, round_ms, seeds) = (argument(1, 300), argument(2, 100), argument(3, 3));
    println!("{size} members, a turn of {round_ms} ms, 10 % loss; mean of {seeds} seeds");
    let mut means: Figures = [0.0; NAMES.len()];
    for seed in 0..seeds {
        let figures = Measurement::new(size, round_ms, seed).run();
        for (mean, figure) in means.iter_mut().zip(figures) {
            *mean += figure / seeds as f64;
        }
    }
    for (name, mean) in NAMES.iter().zip(means) {
        println!("{mean:10.3}  {name}");
    }
}
