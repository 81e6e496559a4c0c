//! Measures a fleet: its memory and processor time when idle and under load, the duration of full rollouts, and the
//! latencies that clients see during them.
//!
//! `cargo run --release -p local-cluster --example fleet_of -- INSTANCES REQUESTS_PER_S`, by default 200 and 5.

use std::time::{Duration, Instant};

use fakes::account::{ClassReport, Report};
use fakes::clients::Load;
use fakes::world::{World, classes};
use fleet::control::Request;
use local_cluster::{Host, Plan, process_usage};
use serde_json::Value;

/// The time over which processor time is measured.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(15);
/// The time that load runs before anything is measured.
const WARM_UP: Duration = Duration::from_secs(3);
/// The time within which the fleet must settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(300);

type Error = Box<dyn std::error::Error>;

fn main() -> Result<(), Error> {
    let mut arguments = std::env::args().skip(1);
    let instances = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(200);
    let rate = arguments.next().and_then(|n| n.parse().ok()).unwrap_or(5.0);
    let plan = Plan {
        instances,
        servers: 4,
        classes: classes(4.0),
        rollout: "share = 0.1\nwatch_s = 3.0".to_owned(),
        log: Some("/dev/null".into()),
        ..Plan::default()
    };
    let started = Instant::now();
    let mut host = Host::start(plan)?;
    host.wait_until_settled(SETTLE_TIMEOUT)?;
    println!("{instances} instances serve after {:.1} s", started.elapsed().as_secs_f64());
    print_costs(&mut host, "idle");

    let load =
        Load { rate, tenants: World::tenants(), slack: Duration::from_secs(5), ..Load::default() };
    let load = host.start_load(&load);
    std::thread::sleep(WARM_UP);
    host.account().take_latencies();
    print_costs(&mut host, &format!("at {rate} requests per second and instance"));
    let baseline = host.account().take_latencies();
    print_latencies("baseline", &baseline);

    measure_rollout(&host, &baseline, "full reload with successors", |settings| {
        settings["goal"]["whole"] = 0.44.into();
    })?;
    measure_rollout(&host, &baseline, "full reload, live", |settings| {
        settings["classes"][0]["aim"] = 590_000.into();
    })?;
    load.stop();
    print_report(&host.account().report())
}

/// Reloads with changed settings, and prints the duration of the rollout and the latencies during it.
fn measure_rollout(
    host: &Host,
    baseline: &[ClassReport],
    title: &str,
    change: impl FnOnce(&mut Value),
) -> Result<(), Error> {
    let started = Instant::now();
    host.change_settings(change)?;
    host.ask(&Request::Reload)?;
    host.wait_until_settled(SETTLE_TIMEOUT)?;
    println!("{title}: settled after {:.1} s", started.elapsed().as_secs_f64());
    let during = host.account().take_latencies();
    print_latencies("during rollout", &during);
    for (baseline, class) in baseline.iter().zip(&during) {
        let difference_ms = class.max_ms - baseline.p99_ms;
        println!("  {:12} max {difference_ms:+.1} ms against the baseline p99", class.name);
    }
    Ok(())
}

fn print_report(report: &Report) -> Result<(), Error> {
    println!(
        "{} requests, {} served; lost {}, timed out {}, duplicated {}, refused connections {}, close races {}",
        report.requested(),
        report.served(),
        report.lost,
        report.timed_out,
        report.duplicated_non_idempotent + report.duplicated_keyed,
        report.refused_connections,
        report.close_races
    );
    for example in &report.examples {
        println!("  {example}");
    }
    if report.violations() == 0 { Ok(()) } else { Err("a rule was violated".into()) }
}

/// Prints the memory and processor time of the daemon, and the means of those of the instances.
fn print_costs(host: &mut Host, phase: &str) {
    let pids: Vec<u32> = host.pids().into_values().collect();
    let daemon = host.daemon().map(|d| d.id()).unwrap_or_default();
    let usage = |pid: &u32| process_usage(*pid).unwrap_or_default();
    let before: f64 = pids.iter().map(|p| usage(p).cpu_s).sum();
    let daemon_before = usage(&daemon).cpu_s;
    std::thread::sleep(MEASUREMENT_PERIOD);
    let after: f64 = pids.iter().map(|p| usage(p).cpu_s).sum();
    let memory: u64 = pids.iter().map(|p| usage(p).rss_kib).sum();
    let each = pids.len().max(1) as f64;
    let percent = |cpu: f64| cpu / MEASUREMENT_PERIOD.as_secs_f64() * 100.0;
    let daemon_after = usage(&daemon);
    println!(
        "{phase}: instance {:.1} MB, {:.3} % of a core; daemon {:.1} MB, {:.2} % of a core",
        memory as f64 / each / 1024.0,
        percent(after - before) / each,
        daemon_after.rss_kib as f64 / 1024.0,
        percent(daemon_after.cpu_s - daemon_before)
    );
}

fn print_latencies(phase: &str, classes: &[ClassReport]) {
    for c in classes {
        println!(
            "  {:12} {phase}: {} served, p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
            c.name, c.served, c.p50_ms, c.p99_ms, c.max_ms
        );
    }
}
