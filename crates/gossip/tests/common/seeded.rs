//! One seeded run: a cluster that is healthy, then has a random fault, and is healthy again.

#![allow(dead_code, reason = "each test and example uses only a part")]

use rand_core::RngCore;

use crate::common::{SECOND, SimulatedCluster};

/// Time after which a link without messages is down, in seconds: S and B in the invariant of the design note.
const LINK_TIMEOUT_S: f64 = 4.0;
/// Factor by which estimates may exceed the true value.
const ESTIMATE_TOLERANCE: f64 = 1.1;
/// Maximum share of requests that are retried: a tenth, and what the invariant of the design note allows beyond it.
const RETRY_SHARE: f64 = 0.11;
/// Time between two gossip rounds, in microseconds.
const ROUND_INTERVAL: u64 = 100_000;
/// Duration of the healthy period at the start, and of the fault, in seconds.
const HEALTHY_S: u64 = 8;
const FAULT_S: u64 = 8;
/// Range over which clocks are spread, in milliseconds: all are within a minute of the true time.
const CLOCK_SPREAD_MS: f64 = 120_000.0;

/// The outcome of one seed.
pub struct Outcome {
    /// Invariants that were violated.
    pub violations: Vec<String>,
    /// Requests within leases, as a share of the maximum that the quota allows.
    pub admitted: f64,
    /// Retries, as a share of the allowed maximum.
    pub retried: f64,
    /// Records of members declared dead before there was a fault, in all tables together.
    pub falsely_dead: usize,
    /// Bytes per second and member before the fault.
    pub bytes_per_s: f64,
    /// Seconds after the fault until the error of the member count is below a tenth at 95 % of the members.
    pub healed_after_s: f64,
    /// Hash of all sent messages, of their times on the virtual clock, and of the last snapshots.
    pub hash: u64,
}

/// The possible faults, each of which affects a random share of the members.
#[derive(Clone, Copy)]
enum Fault {
    Partition,
    IncomingLoss,
    OutgoingLoss,
    Killed,
}

/// The random parameters of a run, in the order in which they are drawn, and its cluster.
struct Scenario {
    size: u32,
    quota: f64,
    demand: f64,
    cluster: SimulatedCluster,
}

impl Scenario {
    /// Draws a scenario. The cluster size is drawn as well if it is `None`.
    fn draw(seed: u64, size: Option<u32>) -> Scenario {
        let mut parameters = SimulatedCluster::new(2, &[1.0], ROUND_INTERVAL, seed);
        let drawn_size = (8.0 * 125.0_f64.powf(parameters.uniform())).round() as u32;
        let size = size.unwrap_or(drawn_size);
        let quota = f64::from(size) * (1.0 + 3.0 * parameters.uniform());
        // The demand is up to five times the quota, and a few members have most of it.
        let demand = quota * (0.5 + 4.5 * parameters.uniform());
        let zipf_exponent = parameters.uniform();
        let mut cluster = SimulatedCluster::new(size, &[quota], ROUND_INTERVAL, seed ^ 0x5eed);
        let weights: Vec<f64> = (1..=size).map(|n| f64::from(n).powf(-zipf_exponent)).collect();
        let total: f64 = weights.iter().sum();
        for (member, weight) in cluster.demand.iter_mut().zip(&weights) {
            member[0] = demand * weight / total;
        }
        cluster.loss = 0.2 * cluster.uniform();
        cluster.duplication = 0.2 * cluster.uniform();
        for member in 0..size as usize {
            cluster.clock_ahead_ms[member] = ((cluster.uniform() - 0.5) * CLOCK_SPREAD_MS) as i64;
        }
        let failure_share = cluster.uniform();
        cluster.failure_share.fill(if failure_share < 0.5 { failure_share } else { 0.0 });
        Scenario { size, quota, demand, cluster }
    }

    /// Draws a fault and the members that it affects, and injects it.
    fn inject_fault(&mut self) -> (Fault, Vec<usize>) {
        let cluster = &mut self.cluster;
        let share = 0.05 + 0.45 * cluster.uniform();
        let affected: Vec<usize> =
            (0..self.size as usize).filter(|_| cluster.uniform() < share).collect();
        let fault = match cluster.rng.next_u64() % 4 {
            0 => Fault::Partition,
            1 => Fault::IncomingLoss,
            2 => Fault::OutgoingLoss,
            _ => Fault::Killed,
        };
        for member in &affected {
            match fault {
                Fault::Partition => cluster.partition[*member] = 1,
                Fault::IncomingLoss => cluster.drops_incoming[*member] = true,
                Fault::OutgoingLoss => cluster.drops_outgoing[*member] = true,
                Fault::Killed => cluster.kill(*member),
            }
        }
        (fault, affected)
    }

    /// Runs the cluster for the duration of the fault, with garbage messages from random members.
    fn run_fault(&mut self) {
        let (cluster, size) = (&mut self.cluster, self.size as usize);
        for quarter in 0..4 * FAULT_S {
            let from = cluster.rng.next_u64() as usize % size;
            let to = cluster.rng.next_u64() as usize % size;
            let length = cluster.rng.next_u64() % 256;
            let garbage = (0..length).map(|_| cluster.rng.next_u64() as u8).collect();
            cluster.inject_message(from, to, garbage);
            cluster.run_until(HEALTHY_S * SECOND + (quarter + 1) * SECOND / 4);
        }
    }

    fn clear_fault(&mut self, fault: Fault, affected: &[usize]) {
        let cluster = &mut self.cluster;
        cluster.partition.fill(0);
        cluster.drops_incoming.fill(false);
        cluster.drops_outgoing.fill(false);
        if matches!(fault, Fault::Killed) {
            affected.iter().for_each(|member| cluster.start(*member));
        }
    }

    /// Runs the cluster for this many quarters of a second. Returns the seconds until the member count is accurate
    /// again.
    fn run_healed(&mut self, quarters: u64) -> f64 {
        let mut healed_after_s = f64::NAN;
        for quarter in 1..=quarters {
            self.cluster.run_until((HEALTHY_S + FAULT_S) * SECOND + quarter * SECOND / 4);
            let error = self.cluster.reachable_error(f64::from(self.size)).p95;
            if error < 0.1 && healed_after_s.is_nan() {
                healed_after_s = quarter as f64 / 4.0;
            }
        }
        healed_after_s
    }

    /// Returns the maximum number of requests that may be admitted during and after the fault.
    fn max_admitted(&self, fault: Fault, affected: usize, healed_s: f64) -> f64 {
        let affected_share = affected as f64 / f64::from(self.size);
        let bucket_s = 0.5_f64.max(3.0 * f64::from(self.size) / self.quota);
        // A restarted member has a full bucket.
        let restarted_s =
            if matches!(fault, Fault::Killed) { affected_share * bucket_s } else { 0.0 };
        let seconds = (FAULT_S as f64 + healed_s) * ESTIMATE_TOLERANCE;
        self.quota
            * (seconds + 8.0 * affected_share + 2.0 * LINK_TIMEOUT_S + bucket_s + restarted_s)
    }

    fn total_retries(&self) -> u64 {
        self.cluster.retries.iter().sum()
    }
}

/// Runs one seed. The cluster size is drawn if it is `None`.
pub fn run(seed: u64, size: Option<u32>) -> Outcome {
    let mut scenario = Scenario::draw(seed, size);
    let size = f64::from(scenario.size);
    scenario.cluster.start_all();
    scenario.cluster.run_until(HEALTHY_S * SECOND);
    let falsely_dead = scenario.cluster.snapshots().iter().map(|s| s.members.dead).sum();
    let bytes_per_s = scenario.cluster.bytes as f64 / HEALTHY_S as f64 / size;
    let (admitted_before, retries_before, requests_before) =
        (scenario.cluster.admitted[0], scenario.total_retries(), scenario.cluster.requests[0]);

    let (fault, affected) = scenario.inject_fault();
    scenario.run_fault();
    scenario.clear_fault(fault, &affected);
    let quarters = 40 + u64::from(scenario.size) / 25;
    let healed_after_s = scenario.run_healed(quarters);

    let max_admitted = scenario.max_admitted(fault, affected.len(), quarters as f64 / 4.0);
    let admitted = (scenario.cluster.admitted[0] - admitted_before) as f64 / max_admitted;
    let requests = (scenario.cluster.requests[0] - requests_before) as f64;
    let max_saved = size + 0.5 * 0.1 * scenario.demand;
    let retries = (scenario.total_retries() - retries_before) as f64;
    let retried = retries / (RETRY_SHARE * ESTIMATE_TOLERANCE * requests + 2.0 * max_saved);
    let snapshots = scenario.cluster.snapshots();
    let known = snapshots.iter().map(|s| s.members.alive as f64 / size).sum::<f64>() / size;
    Outcome {
        violations: violations(admitted, retried, healed_after_s, known),
        admitted,
        retried,
        falsely_dead,
        bytes_per_s,
        healed_after_s,
        hash: scenario.cluster.hash(&snapshots),
    }
}

/// Returns the violated invariants. `known` is the mean share of members that are alive in the tables.
fn violations(admitted: f64, retried: f64, healed_after_s: f64, known: f64) -> Vec<String> {
    let checks = [
        (admitted <= 1.0, format!("admitted requests are {admitted:.3} of the maximum")),
        (retried <= 1.0, format!("retries are {retried:.3} of the maximum")),
        (
            healed_after_s <= 10.0,
            "the member count is not accurate 10 s after the fault".to_owned(),
        ),
        (known >= 0.95, format!("only {known:.3} of all members are alive in the tables")),
    ];
    checks.into_iter().filter(|(holds, _)| !holds).map(|(_, message)| message).collect()
}
