//! How soon a hung instance is replaced on a host without a free processor, and whether a sound one
//! is ever taken for hung there.
//!
//! `cargo run --release -p local-cluster --example hang_of -- INSTANCES SECONDS`: every few seconds one
//! instance is stopped by SIGSTOP while twice as many threads as there are processors turn in
//! circles, and 2 requests a second come to each instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fakes::clients::Load;
use fakes::world::{World, classes};
use fleet::control::Request;
use local_cluster::{Host, Plan, signal_process};
use rustix::process::Signal;

const EVERY: Duration = Duration::from_secs(10);

fn main() -> Result<(), String> {
    let mut given = std::env::args().skip(1);
    let mut number = |or: u64| given.next().and_then(|a| a.parse().ok()).unwrap_or(or);
    let (instances, seconds) = (number(200) as usize, number(600));
    let plan = Plan {
        instances,
        servers: 3,
        classes: classes(10.0),
        log: Some(std::env::temp_dir().join("hang_of.log")),
        ..Plan::default()
    };
    let host = Host::start(plan)?;
    host.wait(Duration::from_secs(60))?;
    let load = Load { rate: 2.0, tenants: World::tenants(), ..Load::default() };
    let driving = host.drive(&load);
    let over = Arc::new(AtomicBool::new(false));
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    let busy: Vec<_> = (0..cores * 2)
        .map(|_| {
            let over = over.clone();
            std::thread::spawn(move || while !over.load(Ordering::Relaxed) {})
        })
        .collect();
    println!(
        "{instances} instances, {} busy threads on {cores} processors, {seconds} s",
        busy.len()
    );
    let began = Instant::now();
    let (mut took, mut replaced, mut next) = (Vec::new(), 0, 7);
    let mut before = host.pids();
    while began.elapsed() < Duration::from_secs(seconds) {
        let turn = Instant::now();
        next = (next * 31 + 17) % instances;
        let Some((slot, pid)) = before.iter().nth(next).map(|(s, p)| (s.clone(), *p)) else {
            continue;
        };
        if let Some(at) = host.instances().iter().find(|i| i.slot == slot).and_then(|i| i.listen) {
            host.account().expect_kill(at);
        }
        let stopped = Instant::now();
        signal_process(pid, Signal::STOP);
        loop {
            let now = host.instances().into_iter().find(|i| i.slot == slot);
            if now.is_some_and(|i| i.state == "serving" && i.pid != Some(pid)) {
                break;
            }
            if stopped.elapsed() > Duration::from_secs(30) {
                return Err(format!("{slot} was never replaced"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        took.push(stopped.elapsed());
        replaced += 1;
        std::thread::sleep(EVERY.saturating_sub(turn.elapsed()));
        let after = host.pids();
        let others = changed(&before, &after).filter(|s| **s != slot).count();
        if others > 0 {
            println!("{others} others were replaced as well");
        }
        before = after;
    }
    over.store(true, Ordering::Relaxed);
    for thread in busy {
        let _ = thread.join();
    }
    driving.stop();
    took.sort_unstable();
    let history = host.ask(&Request::History)?;
    let notes = history.as_array().cloned().unwrap_or_default();
    let killed = notes.iter().filter(|n| n.to_string().contains("fell silent")).count();
    let report = host.account().report();
    println!("{replaced} stopped, {killed} killed as hung (of the last {} notes)", notes.len());
    let at = |q: f64| took[((took.len() - 1) as f64 * q) as usize].as_secs_f64();
    println!("replaced after: median {:.2} s, longest {:.2} s", at(0.5), at(1.0));
    println!("asked {}, broken rules {}", report.requested(), report.violations());
    Ok(())
}

fn changed<'a>(
    before: &'a BTreeMap<String, u32>,
    after: &'a BTreeMap<String, u32>,
) -> impl Iterator<Item = &'a String> {
    before.iter().filter(|(slot, pid)| after.get(*slot) != Some(pid)).map(|(slot, _)| slot)
}
