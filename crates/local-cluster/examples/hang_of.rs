//! Measures the time until a hung instance is replaced on a host without free processors, and counts replacements of
//! healthy instances.
//!
//! `cargo run --release -p local-cluster --example hang_of -- INSTANCES SECONDS` pauses one instance (SIGSTOP) every
//! [`INTERVAL`], while busy threads, two per processor, run and each instance gets 2 requests per second.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fakes::clients::Load;
use fakes::world::{World, classes};
use fleet::control::Request;
use local_cluster::{Host, Plan, signal_process};
use rustix::process::Signal;

/// The time between two pauses of instances.
const INTERVAL: Duration = Duration::from_secs(10);
/// The time within which an instance must be replaced.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// The time within which all instances must serve.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

type Error = Box<dyn std::error::Error>;

fn main() -> Result<(), Error> {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default: u64| {
        arguments.next().and_then(|argument| argument.parse().ok()).unwrap_or(default)
    };
    let (instances, seconds) = (number(200) as usize, number(600));
    let plan = Plan {
        instances,
        servers: 3,
        classes: classes(10.0),
        log: Some(std::env::temp_dir().join("hang_of.log")),
        ..Plan::default()
    };
    let host = Host::start(plan)?;
    host.wait_until_settled(SETTLE_TIMEOUT)?;
    let load = host.start_load(&Load { rate: 2.0, tenants: World::tenants(), ..Load::default() });
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    let busy = BusyThreads::start(cores * 2);
    let threads = busy.threads.len();
    println!("{instances} instances, {threads} busy threads on {cores} processors, {seconds} s");
    let replacements = pause_instances(&host, instances, Duration::from_secs(seconds))?;
    busy.stop();
    load.stop();
    print_report(&host, replacements)
}

/// Threads that keep processors busy.
struct BusyThreads {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BusyThreads {
    fn start(count: usize) -> BusyThreads {
        let stopped = Arc::new(AtomicBool::new(false));
        let start = |_| {
            let stopped = stopped.clone();
            std::thread::spawn(move || while !stopped.load(Ordering::Relaxed) {})
        };
        let threads = (0..count).map(start).collect();
        BusyThreads { stopped, threads }
    }

    fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Pauses one instance after another. Returns the durations of the replacements.
fn pause_instances(
    host: &Host,
    instances: usize,
    duration: Duration,
) -> Result<Vec<Duration>, Error> {
    let started = Instant::now();
    let (mut replacements, mut next) = (Vec::new(), 7);
    let mut before = host.pids();
    while started.elapsed() < duration {
        let round = Instant::now();
        next = (next * 31 + 17) % instances;
        let Some((slot, pid)) = before.iter().nth(next).map(|(s, p)| (s.clone(), *p)) else {
            continue;
        };
        replacements.push(pause_until_replaced(host, &slot, pid)?);
        std::thread::sleep(INTERVAL.saturating_sub(round.elapsed()));
        let after = host.pids();
        let others = changed(&before, &after).filter(|changed| **changed != slot).count();
        if others > 0 {
            println!("{others} other instances were replaced as well");
        }
        before = after;
    }
    Ok(replacements)
}

/// Pauses the process of an instance, and waits until another process serves. Returns the time that takes.
fn pause_until_replaced(host: &Host, slot: &str, pid: u32) -> Result<Duration, Error> {
    let instance = || host.instances().into_iter().find(|instance| instance.slot == slot);
    if let Some(address) = instance().and_then(|instance| instance.listen) {
        host.account().expect_kill(address);
    }
    let paused = Instant::now();
    signal_process(pid, Signal::STOP);
    loop {
        if instance().is_some_and(|i| i.state == "serving" && i.pid != Some(pid)) {
            return Ok(paused.elapsed());
        }
        if paused.elapsed() > REPLACEMENT_TIMEOUT {
            return Err(format!("{slot} was not replaced in time").into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn print_report(host: &Host, mut replacements: Vec<Duration>) -> Result<(), Error> {
    replacements.sort_unstable();
    let history = host.ask(&Request::History)?;
    let entries = history.as_array().cloned().unwrap_or_default();
    let killed = entries.iter().filter(|entry| entry.to_string().contains("fell silent")).count();
    println!(
        "{} paused, {killed} killed as hung (among the last {} history entries)",
        replacements.len(),
        entries.len()
    );
    let quantile = |quantile: f64| {
        let index = ((replacements.len() - 1) as f64 * quantile) as usize;
        replacements[index].as_secs_f64()
    };
    println!("replaced after: median {:.2} s, longest {:.2} s", quantile(0.5), quantile(1.0));
    let report = host.account().report();
    println!("{} requests, {} violations", report.requested(), report.violations());
    Ok(())
}

/// Returns the names of the instances that have another process than before.
fn changed<'a>(
    before: &'a BTreeMap<String, u32>,
    after: &'a BTreeMap<String, u32>,
) -> impl Iterator<Item = &'a String> {
    before.iter().filter(|(slot, pid)| after.get(*slot) != Some(pid)).map(|(slot, _)| slot)
}
