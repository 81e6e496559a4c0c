//! The demonstration: everything at once, on loopback, in half a minute.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Args;
use fakes::clients::Load;
use fakes::world::{World, classes};
use fleet::control::Request;
use local_cluster::{Host, Plan};

use crate::table;

/// What the demonstration is to be like.
#[derive(Args)]
pub struct Arguments {
    /// How long load is driven.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Sidecars.
    #[arg(long, default_value_t = 9)]
    instances: usize,
    /// Requests a second at each.
    #[arg(long, default_value_t = 15.0)]
    rate: f64,
    /// The account in JSON at the end, and nothing else on standard output.
    #[arg(long)]
    json: bool,
    /// Where the programs' logs go.
    #[arg(long, default_value = "/dev/null")]
    log: PathBuf,
}

/// How much longer than on a quiet machine requests may take before they count as late.
const SCALE: f64 = 3.0;

type Act = fn(&mut Host) -> Result<(), String>;

/// Plays it. Status 0 only if no rule was broken and no connection refused.
pub fn run(arguments: &Arguments) -> ExitCode {
    match play(arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("lbctl: {e}");
            ExitCode::from(2)
        }
    }
}

fn play(arguments: &Arguments) -> Result<bool, String> {
    let say = |text: &str| {
        if !arguments.json {
            println!("{text}");
        }
    };
    say("building what is missing, then starting discovery, log servers and sidecars ...");
    let plan = Plan {
        instances: arguments.instances.clamp(3, 300),
        classes: classes(SCALE),
        rollout: "watch_s = 1.0\nleast_requests = 5\nshare = 0.34".to_owned(),
        log: Some(arguments.log.clone()),
        progress: true,
        ..Plan::default()
    };
    let mut host = Host::start(plan)?;
    host.wait(Duration::from_secs(60))?;
    let load = Load {
        rate: arguments.rate.clamp(0.1, 1000.0),
        tenants: World::tenants(),
        slack: Duration::from_secs(2),
        ..Load::default()
    };
    let began = Instant::now();
    let whole = Duration::from_secs(arguments.seconds.clamp(5, 3600));
    let driving = host.drive(&load);
    let file = &host.file().display().to_string();
    say(&format!("{} sidecars serve, as {file} says", host.instances().len()));

    let acts: [(&str, Act); 6] = [
        ("one log server drains, and discovery says so", |host| {
            let (server, _) = host.world.servers.first().ok_or("no server")?;
            host.world.registry.mark(server.name(), "leaving");
            Ok(())
        }),
        ("reload: new deadlines, taken over live", |host| {
            host.change(|s| s["classes"][0]["aim"] = 500_000.into())?;
            host.ask(&Request::Reload).map(drop)
        }),
        ("a sidecar is killed with SIGKILL", |host| {
            host.instances().first().map(|i| host.kill(i)).ok_or_else(|| "no instance".to_owned())
        }),
        ("reload: another shape, by successors on the same listeners", |host| {
            host.change(|s| s["goal"]["whole"] = 0.44.into())?;
            host.ask(&Request::Reload).map(drop)
        }),
        ("the daemon is killed with SIGKILL, and started again", |host| {
            host.kill_daemon();
            host.start_daemon()
        }),
        ("a broken desired is refused", |host| {
            host.change(|s| s["classes"][0]["deadline"] = 0.into())?;
            match host.ask(&Request::Reload) {
                Err(_) => Ok(()),
                Ok(_) => Err("the broken desired was taken".to_owned()),
            }
        }),
    ];
    let pause = whole / (acts.len() as u32 + 1);
    for (n, (what, act)) in acts.into_iter().enumerate() {
        let next = pause * (n as u32 + 1);
        std::thread::sleep(next.saturating_sub(began.elapsed()));
        // One thing at a time: a reload while another runs is refused.
        host.wait(Duration::from_secs(60))?;
        say(&format!("\n{:>5.1} s: {what}", began.elapsed().as_secs_f64()));
        act(&mut host)?;
        if !arguments.json {
            table::account(&host.account().report());
        }
    }
    std::thread::sleep(whole.saturating_sub(began.elapsed()));
    host.wait(Duration::from_secs(60))?;
    driving.stop();
    let report = host.account().report();
    if arguments.json {
        println!("{}", serde_json::to_string(&report).map_err(|e| e.to_string())?);
    } else {
        println!("\nthe account, after {:.1} s", began.elapsed().as_secs_f64());
        table::account(&report);
        println!();
        table::servers(&report);
        println!();
        table::status(&host.status());
        println!();
        table::rules(&report);
    }
    let sound = report.broken() == 0 && report.refused_connections == 0 && report.served() > 0;
    say(if sound { "no rule was broken" } else { "A RULE WAS BROKEN" });
    Ok(sound)
}
