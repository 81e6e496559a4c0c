//! Runs clusters on a virtual clock with faults drawn from seeds: `fault_seeds FROM TO [SIZE] [THREADS]`. Without SIZE,
//! the cluster size is drawn from 8 to 1,000, uniformly in its logarithm. Each cluster is healthy for 8 s, faulty for 8
//! s (members are partitioned, lose all incoming or all outgoing messages, or are killed and restarted, all with loss,
//! duplication, garbage messages and different clocks) and healthy for 10 s, or for up to 20 s with 1,000 members.
//!
//! Checks the invariants on a tenant's quota and on retries from the start of the fault, and that all members know the
//! cluster again at the end. The exit status is 1 if a check fails.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/seeded.rs"]
mod seeded;

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use seeded::Outcome;

const MAX_THREADS: u64 = 64;

struct Arguments {
    from: u64,
    to: u64,
    size: Option<u32>,
    threads: u64,
}

impl Arguments {
    fn from_env() -> Arguments {
        let number = |n: usize| std::env::args().nth(n).and_then(|a| a.parse::<u64>().ok());
        Arguments {
            from: number(1).unwrap_or(0),
            to: number(2).unwrap_or(100),
            size: number(3).filter(|n| (2..=4096).contains(n)).map(|n| n as u32),
            threads: number(4).unwrap_or(2).clamp(1, MAX_THREADS),
        }
    }
}

/// Runs all seeds and prints the violations.
fn run_all(arguments: &Arguments) -> Vec<Outcome> {
    let (next, outcomes) = (AtomicU64::new(arguments.from), Mutex::new(Vec::new()));
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= arguments.to {
                return;
            }
            let outcome = seeded::run(seed, arguments.size);
            for violation in &outcome.violations {
                println!("seed {seed}: {violation}");
            }
            outcomes.lock().unwrap_or_else(PoisonError::into_inner).push(outcome);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads {
            scope.spawn(work);
        }
    });
    outcomes.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn main() -> ExitCode {
    let outcomes = run_all(&Arguments::from_env());
    let violated = outcomes.iter().filter(|o| !o.violations.is_empty()).count();
    let max = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).fold(0.0, f64::max);
    let mut healed: Vec<f64> =
        outcomes.iter().map(|o| o.healed_after_s).filter(|s| !s.is_nan()).collect();
    healed.sort_by(f64::total_cmp);
    let percentile = |share: f64| healed.get((healed.len() as f64 * share) as usize).copied();
    let falsely_dead = outcomes.iter().map(|o| o.falsely_dead).sum::<usize>();
    println!("{} seeds, {violated} with violations", outcomes.len());
    println!(
        "highest share of the maximum: admitted requests {:.3}, retries {:.3}",
        max(|o| o.admitted),
        max(|o| o.retried)
    );
    println!("records of members falsely declared dead: {falsely_dead}");
    println!("maximum bytes per second and member: {:.0}", max(|o| o.bytes_per_s));
    println!(
        "seconds to recover: median {:?}, 99th percentile {:?}",
        percentile(0.5),
        percentile(0.99)
    );
    if violated == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
