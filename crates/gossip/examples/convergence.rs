//! Measures clusters on a virtual clock: `convergence SIZE ROUND_MS SEEDS`. Prints the convergence time, the errors of
//! the estimates after the demand has doubled, the requests admitted while a third of the members is partitioned off,
//! the time to recover from that, the time to detect a dead member, and the bytes received.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{SECOND, SimulatedCluster};

const QUOTA: f64 = 2000.0;
const DEMAND: f64 = 3000.0;
const LOSS: f64 = 0.1;
/// Exponent of the Zipf distribution of the demand: a few members have most of it.
const ZIPF_EXPONENT: f64 = 0.7;
/// Descriptions of the measured values, in the order of [`Figures`].
const NAMES: [&str; 11] = [
    "seconds from a simultaneous start until the count error at the 95th percentile is below 5 %",
    "bytes per second and member",
    "error of the total demand 2 s after it doubled, 95th percentile",
    "error of the total demand 2 s after it doubled, maximum",
    "error of the total demand 4 s after it doubled, 95th percentile",
    "share of the quota admitted at a demand of 1.5 times the quota",
    "share of the quota admitted during a 20 s partition of a third",
    "error of the majority's count during the partition, 95th percentile",
    "seconds after the partition until the errors of count (10 %) and total (15 %) are small, 95th percentile",
    "seconds until the first member detects a dead one",
    "seconds until all members detect a dead one",
];

type Figures = [f64; NAMES.len()];

fn argument(n: usize, default: u64) -> u64 {
    std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(default)
}

/// A cluster under measurement.
struct Measurement {
    cluster: SimulatedCluster,
    size: usize,
    weights: Vec<f64>,
}

impl Measurement {
    fn new(size: u64, round_ms: u64, seed: u64) -> Measurement {
        let mut cluster = SimulatedCluster::new(size as u32, &[QUOTA], round_ms * 1000, seed);
        cluster.loss = LOSS;
        let weights: Vec<f64> =
            (0..size).map(|n| 1.0 / (1.0 + n as f64).powf(ZIPF_EXPONENT)).collect();
        let total: f64 = weights.iter().sum();
        let weights = weights.into_iter().map(|weight| weight / total).collect();
        Measurement { cluster, size: size as usize, weights }
    }

    fn set_demand(&mut self, demand: f64) {
        for (member, weight) in self.cluster.demand.iter_mut().zip(&self.weights) {
            member[0] = demand * weight;
        }
    }

    fn run_for(&mut self, seconds: u64) {
        let until = self.cluster.now + seconds * SECOND;
        self.cluster.run_until(until);
    }

    /// Checks a condition four times per second, fewer than `check_limit` times. Returns the seconds until it holds, or
    /// NaN if it never does.
    fn seconds_until(
        &mut self,
        check_limit: u64,
        mut condition: impl FnMut(&mut SimulatedCluster) -> bool,
    ) -> f64 {
        let started_at = self.cluster.now;
        for check in 1..check_limit {
            self.cluster.run_until(started_at + check * SECOND / 4);
            if condition(&mut self.cluster) {
                return check as f64 / 4.0;
            }
        }
        f64::NAN
    }

    /// Runs the cluster for 20 s and returns the admitted requests as a share of the quota.
    fn admitted_share(&mut self) -> f64 {
        let before = self.cluster.admitted[0];
        self.run_for(20);
        (self.cluster.admitted[0] - before) as f64 / 20.0 / QUOTA
    }

    fn run(mut self) -> Figures {
        let size = self.size as f64;
        self.set_demand(DEMAND / 2.0);
        self.cluster.start_all();
        let converged = self.seconds_until(200, |cluster| cluster.reachable_error(size).p95 < 0.05);
        self.cluster.run_until(self.cluster.now.max(20 * SECOND));
        let bytes_before = self.cluster.bytes;
        self.run_for(10);
        let bytes_per_s = (self.cluster.bytes - bytes_before) as f64 / 10.0 / size;
        self.set_demand(DEMAND);
        self.run_for(2);
        let error = self.cluster.demand_error(DEMAND);
        self.run_for(2);
        let later = self.cluster.demand_error(DEMAND).p95;
        let healthy = self.admitted_share();
        let minority = self.size / 3;
        self.cluster.partition[..minority].fill(1);
        let partitioned = self.admitted_share();
        let majority_error = self.majority_error(minority);
        self.cluster.partition.fill(0);
        let recovered = self.seconds_until(400, |cluster| {
            cluster.reachable_error(size).p95 < 0.1 && cluster.demand_error(DEMAND).p95 < 0.15
        });
        let (first, all) = self.detection_times(minority);
        [
            converged,
            bytes_per_s,
            error.p95,
            error.max,
            later,
            healthy,
            partitioned,
            majority_error,
            recovered,
            first,
            all,
        ]
    }

    fn majority_error(&mut self, minority: usize) -> f64 {
        let snapshots = self.cluster.snapshots();
        let counts = snapshots[minority..].iter().map(|s| s.reachable_members);
        common::relative_error(counts, (self.size - minority) as f64).p95
    }

    /// Kills one member after all updates have been disseminated. Returns the seconds until the first of the others
    /// knows it as dead, and until all do.
    fn detection_times(&mut self, victim: usize) -> (f64, f64) {
        self.run_for(60);
        self.cluster.kill(victim);
        let mut first = f64::NAN;
        let mut checks = 0;
        let all = self.seconds_until(1000, |cluster| {
            checks += 1;
            let alive = cluster.alive();
            let informed = alive.iter().filter(|n| knows_as_dead(cluster, **n, victim)).count();
            if informed > 0 && first.is_nan() {
                first = f64::from(checks) / 4.0;
            }
            informed == alive.len()
        });
        (first, all)
    }
}

fn knows_as_dead(cluster: &SimulatedCluster, member: usize, victim: usize) -> bool {
    let node = cluster.members[member].as_ref().expect("the member is running");
    node.members(u64::MAX)[victim].0.state == gossip::MemberState::Dead
}

fn main() {
    let (size, round_ms, seeds) = (argument(1, 300), argument(2, 100), argument(3, 3));
    println!("{size} members, round interval {round_ms} ms, 10 % loss; mean of {seeds} seeds");
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
