//! Runs clusters on a virtual clock under faults from seeds: `fault_seeds FROM TO [SIZE] [THREADS]`. Without a size it
//! is drawn, 8 to 1,000, evenly by its logarithm. Each cluster is healthy for 8 s, faulty for 8 s (partitioned, deaf,
//! mute, or killed and restarted, all with loss, duplication, garbage and clocks apart) and healthy for 10 s, or 20 s
//! with 1,000 members.
//! Checked: the invariants on a tenant's quota and on retries over all of it, and that all members know the cluster
//! again at the end. Status 1: something did not hold.

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

/// Runs all seeds, and prints what does not hold.
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
    println!("{} seeds, {violated} broken", outcomes.len());
    println!(
        "most spent of the bound on a quota {:.3}, on repeats {:.3}",
        max(|o| o.admitted),
        max(|o| o.retried)
    );
    println!("records of members falsely gone: {falsely_dead}");
    println!("most bytes a second and member: {:.0}", max(|o| o.bytes_per_s));
    println!("s until healed: median {:?}, 99 of 100 {:?}", percentile(0.5), percentile(0.99));
    if violated == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
