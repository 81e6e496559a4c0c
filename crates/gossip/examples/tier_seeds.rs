//! Plays tiers on a virtual clock under faults from seeds: `tier_seeds FROM TO [SIZE] [THREADS]`. Without a size it is
//! drawn, 8 to 1,000, small ones as often as large ones by their logarithms. Each is whole for 8 s, broken for 8 s
//! (cut in two, deaf, mute, killed and back, all with loss, doubling, garbage and clocks apart) and whole for 10 s, or
//! 20 s with 1,000 members.
//! Checked: the invariants on a club's quota and on repeats over all of it, and that all know the tier again at the
//! end. Status 1: something did not hold.

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/common/seeded.rs"]
mod seeded;

use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use seeded::{Played, play};

fn main() -> ExitCode {
    let argument = |n: usize| std::env::args().nth(n).and_then(|a| a.parse::<u64>().ok());
    let (from, to) = (argument(1).unwrap_or(0), argument(2).unwrap_or(100));
    let size = argument(3).filter(|n| (2..=4096).contains(n)).map(|n| n as u32);
    let threads = argument(4).unwrap_or(2);
    let (next, all) = (AtomicU64::new(from), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, 64) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    let played = play(seed, size);
                    for what in &played.broken {
                        println!("seed {seed}: {what}");
                    }
                    all.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(played);
                }
            });
        }
    });
    let all = all.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    let broken = all.iter().filter(|p| !p.broken.is_empty()).count();
    let most = |of: fn(&Played) -> f64| all.iter().map(of).fold(0.0, f64::max);
    let mut healed: Vec<f64> = all.iter().map(|p| p.healed).filter(|h| !h.is_nan()).collect();
    healed.sort_by(f64::total_cmp);
    let at = |share: f64| healed.get((healed.len() as f64 * share) as usize).copied();
    println!("{} seeds, {broken} broken", all.len());
    println!(
        "most spent of the bound on a quota {:.3}, on repeats {:.3}",
        most(|p| p.spent),
        most(|p| p.repeated)
    );
    println!("records of members falsely gone: {}", all.iter().map(|p| p.falsely).sum::<usize>());
    println!("most bytes a second and member: {:.0}", most(|p| p.bytes));
    println!("s until healed: median {:?}, 99 of 100 {:?}", at(0.5), at(0.99));
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
