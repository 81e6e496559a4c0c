//! `lbctl tier`: the gossip state of sidecars, read from their admin listeners, and the differences between them.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use serde_json::{Value, json};

use crate::outcome::{STATUS_ERROR, print_error};

/// The time within which a sidecar must connect and answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum length of an answer, in bytes. The rest is ignored.
const MAX_ANSWER_BYTES: u64 = 1 << 20;
/// The prefix of the metrics of the gossip group.
const METRIC_PREFIX: &str = "sidecar.tier.";
/// The name prefixes of the metrics on which all sidecars should agree. The other metrics count the activity of each
/// sidecar and are expected to differ.
const SHARED_METRICS: [&str; 5] = ["reach", "members", "gone", "asked_per_s", "quota_per_s"];

/// The arguments of `tier`.
#[derive(Args)]
pub struct Arguments {
    /// The admin listeners of the sidecars (`admin_addr`).
    #[arg(required = true)]
    at: Vec<SocketAddr>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// List all members, even those on which all sidecars agree.
    #[arg(long)]
    members: bool,
}

/// The gossip state of one sidecar.
struct View {
    address: SocketAddr,
    /// The metrics, by name without [`METRIC_PREFIX`].
    metrics: BTreeMap<String, f64>,
    /// The members by their number.
    members: BTreeMap<u32, Member>,
}

/// A sidecar's state of a member.
struct Member {
    /// The presence, such as `alive` or `suspect`.
    presence: String,
    incarnation: u64,
    /// The time since the presence last changed, in milliseconds.
    since_ms: u64,
}

/// The error of a view that could not be fetched.
#[derive(Debug, thiserror::Error)]
enum ViewError {
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The sidecar answered with an error.
    #[error("{0}")]
    Rejected(String),
}

/// Runs the command.
pub fn run(arguments: &Arguments) -> ExitCode {
    let mut views = Vec::new();
    for &address in &arguments.at {
        match View::fetch(address) {
            Ok(view) => views.push(view),
            Err(error) => print_error(&format_args!("{address}: {error}")),
        }
    }
    if arguments.json {
        println!("{}", to_json(&views));
    } else if !views.is_empty() {
        print_metrics(&views);
        print_members(&views, arguments.members || views.len() == 1);
    }
    let missing = views.len() < arguments.at.len();
    if missing { ExitCode::from(STATUS_ERROR) } else { ExitCode::SUCCESS }
}

impl View {
    fn fetch(address: SocketAddr) -> Result<View, ViewError> {
        let members = ask(address, "show-tier\n")?.lines().filter_map(parse_member).collect();
        let metrics = ask(address, "show-stat\n")?.lines().filter_map(parse_metric).collect();
        Ok(View { address, metrics, members })
    }

    fn presence(&self, member: u32) -> Option<&str> {
        self.members.get(&member).map(|member| member.presence.as_str())
    }

    fn to_json(&self) -> Value {
        let members = self.members.iter().map(|(number, member)| {
            let Member { presence, incarnation, since_ms } = member;
            let known =
                json!({"presence": presence, "incarnation": incarnation, "since_ms": since_ms});
            (number.to_string(), known)
        });
        let members: BTreeMap<String, Value> = members.collect();
        json!({"at": self.address.to_string(), "figures": self.metrics, "members": members})
    }
}

/// Parses a line such as `sidecar.tier.members=4`.
fn parse_metric(line: &str) -> Option<(String, f64)> {
    let (name, value) = line.strip_prefix(METRIC_PREFIX)?.split_once('=')?;
    Some((name.to_owned(), value.parse().ok()?))
}

/// Parses a line such as `member.3=alive,1,2500`.
fn parse_member(line: &str) -> Option<(u32, Member)> {
    let (number, rest) = line.strip_prefix("member.")?.split_once('=')?;
    let mut words = rest.split(',');
    let presence = words.next()?.to_owned();
    let incarnation = words.next()?.parse().ok()?;
    let since_ms = words.next()?.parse().ok()?;
    Some((number.parse().ok()?, Member { presence, incarnation, since_ms }))
}

/// Sends a request to an admin listener.
fn ask(address: SocketAddr, request: &str) -> Result<String, ViewError> {
    let mut socket = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
    socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    socket.write_all(request.as_bytes())?;
    let mut answer = String::new();
    socket.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
    match answer.strip_prefix("error: ") {
        Some(error) => Err(ViewError::Rejected(error.trim().to_owned())),
        None => Ok(answer),
    }
}

fn to_json(views: &[View]) -> Value {
    let all: Vec<Value> = views.iter().map(View::to_json).collect();
    json!({"views": all, "differ": differing_members(views)})
}

fn all_members(views: &[View]) -> BTreeSet<u32> {
    views.iter().flat_map(|view| view.members.keys().copied()).collect()
}

/// Returns the members whose presence differs between views.
fn differing_members(views: &[View]) -> BTreeSet<u32> {
    let differs = |member: &u32| {
        views.windows(2).any(|pair| pair[0].presence(*member) != pair[1].presence(*member))
    };
    all_members(views).into_iter().filter(differs).collect()
}

fn print_metrics(views: &[View]) {
    let names: BTreeSet<&String> = views.iter().flat_map(|view| view.metrics.keys()).collect();
    print!("{:44}", "");
    views.iter().for_each(|view| print!(" {:>22}", view.address.to_string()));
    println!(" {:>10}", if views.len() > 1 { "apart" } else { "" });
    for name in names {
        let values: Vec<Option<f64>> =
            views.iter().map(|view| view.metrics.get(name).copied()).collect();
        print_metric(name, &values);
    }
}

fn print_metric(name: &str, values: &[Option<f64>]) {
    print!("{name:44}");
    for value in values {
        print!(" {:>22}", value.map_or_else(|| "-".to_owned(), |value| format!("{value}")));
    }
    let known = || values.iter().flatten().copied();
    let max = known().fold(f64::NEG_INFINITY, f64::max);
    let min = known().fold(f64::INFINITY, f64::min);
    let shared = SHARED_METRICS.iter().any(|prefix| name.starts_with(prefix));
    if values.len() > 1 && shared && max > 0.0 {
        print!(" {:>9.1}%", 100.0 * (max - min) / max);
    }
    println!();
}

fn print_members(views: &[View], all: bool) {
    let differing = differing_members(views);
    if views.len() > 1 {
        println!("\nmembers whose presence differs between sidecars: {}", differing.len());
    }
    let listed = if all { all_members(views) } else { differing };
    for number in listed {
        print!("member {number:<37}");
        for view in views {
            let text = view.members.get(&number).map_or_else(
                || "-".to_owned(),
                |member| format!("{} {:.1} s", member.presence, member.since_ms as f64 / 1000.0),
            );
            print!(" {text:>22}");
        }
        println!();
    }
}
