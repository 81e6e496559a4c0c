//! `lbctl demo`: a host with its fleet on loopback under load, with a fault or a change every few seconds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Args;
use fakes::account::Report;
use fakes::clients::Load;
use fakes::world::{World, classes};
use fleet::control::Request;
use local_cluster::{Host, Plan};

use crate::outcome::{CommandError, Outcome, exit_code};
use crate::table;

/// The factor on latency objectives and deadlines, which leaves enough time on slow machines.
const TIME_SCALE: f64 = 3.0;
/// The time within which all instances must serve.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The time that clients wait beyond a deadline.
const CLIENT_SLACK: Duration = Duration::from_secs(2);
/// The `[rollout]` settings of the daemon.
const ROLLOUT: &str = "watch_s = 1.0\nleast_requests = 5\nshare = 0.34";

/// The arguments of `demo`.
#[derive(Args)]
pub struct Arguments {
    /// The duration of the load, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The number of sidecars.
    #[arg(long, default_value_t = 9)]
    instances: usize,
    /// Requests per second to each sidecar.
    #[arg(long, default_value_t = 15.0)]
    rate: f64,
    /// Print only the final report, as JSON.
    #[arg(long)]
    json: bool,
    /// The file for the logs of all programs.
    #[arg(long, default_value = "/dev/null")]
    log: PathBuf,
}

/// A step of the demonstration.
struct Step {
    title: &'static str,
    run: fn(&mut Host) -> Result<(), StepError>,
}

type StepError = Box<dyn std::error::Error + Send + Sync>;

/// The steps, in the order in which they run.
const STEPS: [Step; 6] = [
    Step { title: "a log server drains, and discovery reports it", run: drain_server },
    Step { title: "reload: a new latency objective, applied without a restart", run: reload_live },
    Step { title: "a sidecar is killed with SIGKILL", run: kill_sidecar },
    Step {
        title: "reload: a setting that needs a restart (goal.whole), applied by successors on the same listeners",
        run: reload_by_successors,
    },
    Step { title: "the daemon is killed with SIGKILL and restarted", run: restart_daemon },
    Step { title: "a reload with an invalid configuration is rejected", run: reload_invalid },
];

/// Runs the command. It passes if requests were served, no rule was violated and no connection was refused.
pub fn run(arguments: &Arguments) -> ExitCode {
    exit_code(run_demo(arguments))
}

fn run_demo(arguments: &Arguments) -> Result<Outcome, CommandError> {
    let print = |text: &str| {
        if !arguments.json {
            println!("{text}");
        }
    };
    print("building missing programs, then starting discovery, log servers and sidecars ...");
    let mut host = start_host(arguments)?;
    let started = Instant::now();
    let duration = Duration::from_secs(arguments.seconds.clamp(5, 3600));
    let load = host.start_load(&load(arguments));
    let file = host.spec_path().display().to_string();
    print(&format!("{} sidecars are serving; configuration: {file}", host.instances().len()));

    let pause = duration / (STEPS.len() as u32 + 1);
    for (n, step) in STEPS.iter().enumerate() {
        let due = pause * (n as u32 + 1);
        std::thread::sleep(due.saturating_sub(started.elapsed()));
        // The daemon rejects a reload during a rollout.
        wait_until_settled(&host)?;
        print(&format!("\n{:>5.1} s: {}", started.elapsed().as_secs_f64(), step.title));
        (step.run)(&mut host)?;
        if !arguments.json {
            table::account(&host.account().report());
        }
    }
    std::thread::sleep(duration.saturating_sub(started.elapsed()));
    wait_until_settled(&host)?;
    load.stop();
    let report = host.account().report();
    if arguments.json {
        println!("{}", serde_json::to_string(&report).map_err(StepError::from)?);
    } else {
        print_report(&host, &report, started.elapsed());
    }
    let passed = report.violations() == 0 && report.refused_connections == 0 && report.served() > 0;
    print(if passed { "passed" } else { "FAILED" });
    Ok(Outcome::of(passed))
}

fn start_host(arguments: &Arguments) -> Result<Host, CommandError> {
    let plan = Plan {
        instances: arguments.instances.clamp(3, 300),
        classes: classes(TIME_SCALE),
        rollout: ROLLOUT.to_owned(),
        log: Some(arguments.log.clone()),
        progress: true,
        ..Plan::default()
    };
    let host = Host::start(plan).map_err(StepError::from)?;
    wait_until_settled(&host)?;
    Ok(host)
}

fn load(arguments: &Arguments) -> Load {
    Load {
        rate: arguments.rate.clamp(0.1, 1000.0),
        tenants: World::tenants(),
        slack: CLIENT_SLACK,
        ..Load::default()
    }
}

fn wait_until_settled(host: &Host) -> Result<(), CommandError> {
    Ok(host.wait_until_settled(SETTLE_TIMEOUT).map_err(StepError::from)?)
}

fn drain_server(host: &mut Host) -> Result<(), StepError> {
    let (server, _) = host.world.servers.first().ok_or("no server")?;
    host.world.registry.set_health(server.name(), "leaving");
    Ok(())
}

fn reload_live(host: &mut Host) -> Result<(), StepError> {
    host.change_settings(|settings| settings["classes"][0]["aim"] = 500_000.into())?;
    host.ask(&Request::Reload)?;
    Ok(())
}

fn kill_sidecar(host: &mut Host) -> Result<(), StepError> {
    let instances = host.instances();
    host.kill_instance(instances.first().ok_or("no instance")?);
    Ok(())
}

fn reload_by_successors(host: &mut Host) -> Result<(), StepError> {
    host.change_settings(|settings| settings["goal"]["whole"] = 0.44.into())?;
    host.ask(&Request::Reload)?;
    Ok(())
}

fn restart_daemon(host: &mut Host) -> Result<(), StepError> {
    host.kill_daemon();
    host.start_daemon()?;
    Ok(())
}

fn reload_invalid(host: &mut Host) -> Result<(), StepError> {
    host.change_settings(|settings| settings["classes"][0]["deadline"] = 0.into())?;
    match host.ask(&Request::Reload) {
        Err(_) => Ok(()),
        Ok(_) => Err("an invalid configuration was accepted".into()),
    }
}

fn print_report(host: &Host, report: &Report, elapsed: Duration) {
    println!("\nreport after {:.1} s", elapsed.as_secs_f64());
    table::account(report);
    println!();
    table::servers(report);
    println!();
    table::status(&host.status());
    println!();
    table::rules(report);
}
