//! `tier`: what sidecars know of their tier, each by its own operators' listener, and where they differ.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use serde_json::{Value, json};

/// How long a sidecar may take, and the longest answer.
const PATIENCE: Duration = Duration::from_secs(3);
const LONGEST: u64 = 1 << 20;

#[derive(Args)]
pub struct Arguments {
    /// Operators' listeners of sidecars (`admin_addr`).
    #[arg(required = true)]
    at: Vec<SocketAddr>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// List every member, also where all views agree.
    #[arg(long)]
    members: bool,
}

/// What one sidecar knows.
struct View {
    at: SocketAddr,
    /// Its figures, without `sidecar.tier.`.
    figures: BTreeMap<String, f64>,
    /// Members: how they are, their incarnation, and for how long, in milliseconds.
    members: BTreeMap<u32, (String, u64, u64)>,
}

pub fn run(arguments: &Arguments) -> ExitCode {
    let mut views = Vec::new();
    let mut missing = false;
    for &at in &arguments.at {
        match view(at) {
            Ok(view) => views.push(view),
            Err(why) => {
                eprintln!("lbctl: {at}: {why}");
                missing = true;
            }
        }
    }
    if arguments.json {
        println!("{}", json(&views));
    } else if !views.is_empty() {
        table(&views);
        members(&views, arguments.members || views.len() == 1);
    }
    if missing { ExitCode::from(2) } else { ExitCode::SUCCESS }
}

fn ask(at: SocketAddr, call: &str) -> Result<String, String> {
    let told = |e: std::io::Error| e.to_string();
    let mut socket = TcpStream::connect_timeout(&at, PATIENCE).map_err(told)?;
    socket.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    socket.write_all(call.as_bytes()).map_err(told)?;
    let mut answer = String::new();
    socket.take(LONGEST).read_to_string(&mut answer).map_err(told)?;
    match answer.strip_prefix("error: ") {
        Some(why) => Err(why.trim().to_owned()),
        None => Ok(answer),
    }
}

fn view(at: SocketAddr) -> Result<View, String> {
    let figure = |line: &str| {
        let (name, value) = line.strip_prefix("sidecar.tier.")?.split_once('=')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    let member = |line: &str| {
        let (who, rest) = line.strip_prefix("member.")?.split_once('=')?;
        let mut words = rest.split(',');
        let (presence, incarnation, since) = (words.next()?, words.next()?, words.next()?);
        let known = (presence.to_owned(), incarnation.parse().ok()?, since.parse().ok()?);
        Some((who.parse().ok()?, known))
    };
    let members = ask(at, "show-tier\n")?.lines().filter_map(member).collect();
    let figures = ask(at, "show-stat\n")?.lines().filter_map(figure).collect();
    Ok(View { at, figures, members })
}

fn json(views: &[View]) -> Value {
    let of = |view: &View| {
        let members: BTreeMap<String, Value> = view
            .members
            .iter()
            .map(|(who, (presence, incarnation, since))| {
                let known =
                    json!({"presence": presence, "incarnation": incarnation, "since_ms": since});
                (who.to_string(), known)
            })
            .collect();
        json!({"at": view.at.to_string(), "figures": view.figures, "members": members})
    };
    json!({"views": views.iter().map(of).collect::<Vec<_>>(), "differ": differing(views)})
}

/// Members whom not all views have alike.
fn differing(views: &[View]) -> BTreeSet<u32> {
    let all: BTreeSet<u32> = views.iter().flat_map(|v| v.members.keys().copied()).collect();
    let presence = |view: &View, who: &u32| view.members.get(who).map(|m| m.0.clone());
    let differs =
        |who: &u32| views.windows(2).any(|w| presence(&w[0], who) != presence(&w[1], who));
    all.into_iter().filter(differs).collect()
}

fn table(views: &[View]) {
    let names: BTreeSet<&String> = views.iter().flat_map(|v| v.figures.keys()).collect();
    print!("{:44}", "");
    views.iter().for_each(|v| print!(" {:>22}", v.at.to_string()));
    println!(" {:>10}", if views.len() > 1 { "apart" } else { "" });
    for name in names {
        print!("{name:44}");
        let values: Vec<Option<f64>> = views.iter().map(|v| v.figures.get(name).copied()).collect();
        for value in &values {
            print!(" {:>22}", value.map_or_else(|| "-".to_owned(), |v| format!("{v}")));
        }
        let told: Vec<f64> = values.iter().flatten().copied().collect();
        let most = told.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let least = told.iter().copied().fold(f64::INFINITY, f64::min);
        // Of what each counts for itself the difference says nothing.
        let shared = ["reach", "members", "gone", "asked_per_s", "quota_per_s"];
        if views.len() > 1 && shared.iter().any(|s| name.starts_with(s)) && most > 0.0 {
            print!(" {:>9.1}%", 100.0 * (most - least) / most);
        }
        println!();
    }
}

fn members(views: &[View], all: bool) {
    let differ = differing(views);
    let listed: BTreeSet<u32> = if all {
        views.iter().flat_map(|v| v.members.keys().copied()).collect()
    } else {
        differ.clone()
    };
    if views.len() > 1 {
        println!("\nmembers whom not all have alike: {}", differ.len());
    }
    for who in listed {
        print!("member {who:<37}");
        for view in views {
            let known = view.members.get(&who);
            let text = known.map_or_else(
                || "-".to_owned(),
                |(presence, _, since)| format!("{presence} {:.1} s", *since as f64 / 1000.0),
            );
            print!(" {text:>22}");
        }
        println!();
    }
}
