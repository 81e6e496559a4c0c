//! `config`: changes of configuration, published at the origin, and where they are in force.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use config_distribution::documents::{DocumentBody, DocumentKey, InvalidBody, InvalidKey};
use config_distribution::net::http::{CallError, HttpClient, request_target};
use config_distribution::net::operator_api::{PublishRequest, PublishResponse};
use config_distribution::progress::{TotalProgress, ZoneProgress};
use serde_json::Value;
use tokio::task::LocalSet;

/// How long an origin may take to answer.
const PATIENCE: Duration = Duration::from_secs(8);
const LOOK: Duration = Duration::from_millis(100);

#[derive(Args)]
pub struct Arguments {
    /// The origins, whichever leads.
    #[arg(long, required = true, global = false, value_delimiter = ',')]
    origin: Vec<SocketAddr>,
    /// Answer in JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Publish a document. Status 1: refused, or not in force within the time.
    Publish {
        /// SERVICE, SERVICE@ZONE, or * for all.
        key: String,
        /// A JSON object: the part of the sidecars' configuration that it sets.
        file: PathBuf,
        /// Wait until it is in force at all that it concerns, as in 7s.
        #[arg(long, value_parser = span)]
        within: Option<Duration>,
    },
    /// Withdraw a document.
    Withdraw {
        /// Its key.
        key: String,
        /// Wait until that is in force at all that it concerns.
        #[arg(long, value_parser = span)]
        within: Option<Duration>,
    },
    /// How far all are, by zone, and who is behind.
    Status,
    /// Wait until a change is in force at all that it concerns. Status 1: it is not within the time.
    Wait {
        /// Its generation.
        generation: u64,
        /// At the most so long.
        #[arg(long, value_parser = span, default_value = "7s")]
        within: Duration,
    },
    /// The documents, or one of them.
    Show {
        /// Its key.
        key: Option<String>,
    },
}

/// `7s`, `500ms` or `7`, in seconds.
fn span(text: &str) -> Result<Duration, String> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s').unwrap_or(text), 1.0),
    };
    let seconds = number.parse::<f64>().ok().map(|n| n * unit);
    let seconds = seconds.filter(|s| (0.0..=86_400.0).contains(s));
    seconds
        .map(Duration::from_secs_f64)
        .ok_or_else(|| format!("a time as in 7s expected, not {text:?}"))
}

/// What went wrong, and the status that tells it.
type Wrong = (u8, String);

pub fn run(arguments: &Arguments) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = match runtime {
        Ok(runtime) => {
            LocalSet::new().block_on(&runtime, Desk::new(arguments).run(&arguments.what))
        }
        Err(why) => Err((2, why.to_string())),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err((status, why)) => {
            eprintln!("lbctl: {why}");
            ExitCode::from(status)
        }
    }
}

struct Desk<'a> {
    origins: &'a [SocketAddr],
    json: bool,
}

impl<'a> Desk<'a> {
    fn new(arguments: &'a Arguments) -> Desk<'a> {
        Desk { origins: &arguments.origin, json: arguments.json }
    }

    async fn run(&self, what: &What) -> Result<(), Wrong> {
        match what {
            What::Publish { key, file, within } => {
                let told = |why: String| (1, format!("refused: {}: {why}", file.display()));
                let text = std::fs::read_to_string(file).map_err(|e| told(e.to_string()))?;
                let body = text.parse().map_err(|error: InvalidBody| told(error.to_string()))?;
                self.publish(key, Some(body), *within).await
            }
            What::Withdraw { key, within } => self.publish(key, None, *within).await,
            What::Status => {
                let (at, status) = self.leading().await?;
                if self.json {
                    println!("{status}");
                } else {
                    print!("{}", table(at, &status));
                }
                Ok(())
            }
            What::Wait { generation, within } => self.wait(*generation, *within).await,
            What::Show { key } => {
                let (at, _) = self.leading().await?;
                let pairs = key.iter().map(|key| ("key", key.clone()));
                let (mut caller, path) =
                    (HttpClient::new(at), request_target("/config/documents", pairs));
                let documents = caller.fetch_json::<Value>(&path, None, PATIENCE).await;
                let documents = documents.map_err(|why| (1, why.to_string()))?;
                println!("{documents:#}");
                Ok(())
            }
        }
    }

    /// The origin that leads, and its status; without one, the first that answers.
    async fn leading(&self) -> Result<(SocketAddr, Value), Wrong> {
        let (mut first, mut whys) = (None, String::new());
        for at in self.origins {
            match HttpClient::new(*at).fetch_json::<Value>("/config/status", None, PATIENCE).await {
                Ok(status) if status["leading"] == true => return Ok((*at, status)),
                Ok(status) => first = first.or(Some((*at, status))),
                Err(why) => drop(write!(whys, "{at}: {why}; ")),
            }
        }
        first.ok_or((2, format!("no origin answers: {whys}")))
    }

    async fn publish(
        &self,
        key: &str,
        body: Option<DocumentBody>,
        within: Option<Duration>,
    ) -> Result<(), Wrong> {
        let key: DocumentKey = key.parse().map_err(|error: InvalidKey| (2, error.to_string()))?;
        let key = key.to_string();
        let began = Instant::now();
        let (at, _) = self.leading().await?;
        let wanted =
            serde_json::to_vec(&PublishRequest { key: key.clone(), body }).unwrap_or_default();
        let asked = HttpClient::new(at).fetch_json("/config/publish", Some(wanted), PATIENCE).await;
        let PublishResponse { generation } = asked.map_err(|error| match error {
            CallError::Rejected { status: 504, reason } => (1, reason),
            CallError::Rejected { reason, .. } => (1, format!("refused: {reason}")),
            // Danger: it may have been taken all the same. To publish the same once more changes nothing.
            error => (1, format!("{at}: {error}; it may have been taken, publish it again")),
        })?;
        if self.json {
            println!("{}", serde_json::json!({"key": key, "generation": generation}));
        } else {
            println!("{key} is generation {generation}, with most of the control machines");
        }
        match within {
            Some(within) => self.wait(generation, within.saturating_sub(began.elapsed())).await,
            None => Ok(()),
        }
    }

    async fn wait(&self, generation: u64, within: Duration) -> Result<(), Wrong> {
        let began = Instant::now();
        loop {
            let (at, status) = self.leading().await?;
            let total = total(&status);
            if status["leading"] == true && total.is_applied_everywhere(generation) {
                if !self.json {
                    let (n, s) = (total.all.hosts, began.elapsed().as_secs_f64());
                    println!("in force at all {n} hosts, after {s:.2} s");
                }
                return Ok(());
            }
            if began.elapsed() >= within {
                if !self.json {
                    print!("{}", table(at, &status));
                }
                let ZoneProgress { hosts, applied, .. } = total.all;
                let why = format!(
                    "generation {generation} is not in force everywhere after {:.1} s: all is in force at {applied} of {hosts} hosts, {} are not reached",
                    within.as_secs_f64(),
                    total.unreachable_hosts
                );
                return Err((1, why));
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}

fn total(status: &Value) -> TotalProgress {
    serde_json::from_value(status["total"].clone()).unwrap_or_default()
}

fn table(at: SocketAddr, status: &Value) -> String {
    let total = total(status);
    let mut text = String::new();
    let leads = if status["leading"] == true { "leads" } else { "DOES NOT LEAD" };
    let _ = writeln!(
        text,
        "origin {at} {leads}: {}, epoch {}; generation {}, committed {}",
        status["phase"].as_str().unwrap_or("?"),
        status["epoch"],
        status["generation"],
        status["committed"]
    );
    let _ = writeln!(
        text,
        "{:<24}{:>8}{:>10}{:>10}{:>8}",
        "zone", "hosts", "in force", "declined", "silent"
    );
    let all = BTreeMap::from([("all".to_owned(), total.all)]);
    for (name, zone) in total.zones.iter().chain(&all) {
        let ZoneProgress { hosts, applied, failed, silent, .. } = zone;
        let _ = writeln!(text, "{name:<24}{hosts:>8}{applied:>10}{failed:>10}{silent:>8}");
    }
    if !total.unreachable_servers.is_empty() {
        let _ = writeln!(text, "not reached: {}", total.unreachable_servers.join(", "));
    }
    for lagging in &total.lagging {
        let _ = writeln!(
            text,
            "behind: {} ({}) at {}: {}",
            lagging.host, lagging.zone, lagging.applied, lagging.reason
        );
    }
    text
}
