//! Measures a fleet: what it costs at rest and at work, how long a full rollout takes, and what its
//! clients see of it. `cargo run --release -p local-cluster --example fleet_of -- 200 5`

use std::time::{Duration, Instant};

use fakes::account::ClassReport;
use fakes::clients::Load;
use fakes::world::{World, classes};
use fleet::control::Request;
use local_cluster::{Host, Plan};

const SPAN: Duration = Duration::from_secs(15);
const PATIENCE: Duration = Duration::from_secs(300);

fn main() -> Result<(), String> {
    let mut given = std::env::args().skip(1);
    let instances = given.next().and_then(|n| n.parse().ok()).unwrap_or(200);
    let rate = given.next().and_then(|n| n.parse().ok()).unwrap_or(5.0);
    let plan = Plan {
        instances,
        servers: 4,
        classes: classes(4.0),
        rollout: "share = 0.1\nwatch_s = 3.0".to_owned(),
        log: Some("/dev/null".into()),
        ..Plan::default()
    };
    let began = Instant::now();
    let mut host = Host::start(plan)?;
    host.wait(PATIENCE)?;
    println!("{instances} instances serve after {:.1} s", began.elapsed().as_secs_f64());
    costs(&mut host, "at rest");

    let load =
        Load { rate, tenants: World::tenants(), slack: Duration::from_secs(5), ..Load::default() };
    let driving = host.drive(&load);
    std::thread::sleep(Duration::from_secs(3));
    host.account().take_latencies();
    costs(&mut host, &format!("at {rate} requests a second each"));
    let usual = host.account().take_latencies();
    times("usual", &usual);

    let rollout = |what: &str, act: &dyn Fn(&Host) -> Result<(), String>| {
        let began = Instant::now();
        act(&host)?;
        host.wait(PATIENCE)?;
        let took = began.elapsed().as_secs_f64();
        let lap = host.account().take_latencies();
        println!("{what}: {took:.1} s");
        times("meanwhile", &lap);
        for (usual, lap) in usual.iter().zip(&lap) {
            println!(
                "  {:12} most {:+.1} ms against the usual p99",
                lap.name,
                lap.max_ms - usual.p99_ms
            );
        }
        Ok::<(), String>(())
    };
    rollout("full reload by successors", &|host| {
        host.change(|s| s["goal"]["whole"] = 0.44.into())?;
        host.ask(&Request::Reload).map(drop)
    })?;
    rollout("full reload, live", &|host| {
        host.change(|s| s["classes"][0]["aim"] = 590_000.into())?;
        host.ask(&Request::Reload).map(drop)
    })?;
    driving.stop();
    let report = host.account().report();
    println!(
        "{} asked, {} served; lost {}, late {}, doubled {}, refused connections {}, crossed {}",
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
    if report.violations() == 0 { Ok(()) } else { Err("a rule was broken".to_owned()) }
}

/// Memory and CPU over a span, of the daemon and of the mean instance.
fn costs(host: &mut Host, what: &str) {
    let pids: Vec<u32> = host.pids().into_values().collect();
    let daemon = host.daemon().map(|d| d.id()).unwrap_or_default();
    let of = |pid: &u32| Host::costs(*pid).unwrap_or_default();
    let before: f64 = pids.iter().map(|p| of(p).1).sum();
    let daemon_before = of(&daemon).1;
    std::thread::sleep(SPAN);
    let after: f64 = pids.iter().map(|p| of(p).1).sum();
    let memory: u64 = pids.iter().map(|p| of(p).0).sum();
    let each = pids.len().max(1) as f64;
    let percent = |cpu: f64| cpu / SPAN.as_secs_f64() * 100.0;
    let (daemon_memory, daemon_cpu) = of(&daemon);
    println!(
        "{what}: an instance {:.1} MB, {:.3} % of a core; the daemon {:.1} MB, {:.2} %",
        memory as f64 / each / 1024.0,
        percent(after - before) / each,
        daemon_memory as f64 / 1024.0,
        percent(daemon_cpu - daemon_before)
    );
}

fn times(what: &str, classes: &[ClassReport]) {
    for c in classes {
        println!(
            "  {:12} {what}: {} served, p50 {:.1} ms, p99 {:.1} ms, most {:.1} ms",
            c.name, c.served, c.p50_ms, c.p99_ms, c.max_ms
        );
    }
}
