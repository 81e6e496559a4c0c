//! `lbctl config`: publishes configuration changes at the origin, and shows where they are in force.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use config_distribution::documents::{DocumentBody, DocumentKey, InvalidBody};
use config_distribution::net::http::{CallError, HttpClient, request_target};
use config_distribution::net::operator_api::{PublishRequest, PublishResponse};
use config_distribution::progress::{TotalProgress, ZoneProgress};
use serde_json::Value;
use tokio::task::LocalSet;

use crate::outcome::{STATUS_ERROR, STATUS_FAILED, print_error};

/// The time within which an origin must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// The time between two status requests to the origin.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The HTTP status of a change that the origin accepted but could not replicate to a majority of the control servers in
/// time.
const GATEWAY_TIMEOUT: u16 = 504;
/// The maximum duration on the command line, in seconds.
const MAX_TIMEOUT_S: f64 = 86_400.0;

/// The arguments of `config`.
#[derive(Args)]
pub struct Arguments {
    /// The addresses of the origins. Requests go to the leading one.
    #[arg(long, required = true, global = false, value_delimiter = ',')]
    origin: Vec<SocketAddr>,
    /// Print answers as JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Publish a document. Exit status 1: refused, or not in force in time.
    Publish {
        /// SERVICE, SERVICE@ZONE, or * for all services.
        key: String,
        /// A file with a JSON object, which is the part of the sidecars' configuration to set.
        file: PathBuf,
        /// Wait until the change is in force at all affected hosts, for at most this time, such as 7s.
        #[arg(long, value_parser = parse_duration)]
        within: Option<Duration>,
    },
    /// Withdraw a document.
    Withdraw {
        /// The key of the document.
        key: String,
        /// Wait until the change is in force at all affected hosts, for at most this time, such as 7s.
        #[arg(long, value_parser = parse_duration)]
        within: Option<Duration>,
    },
    /// Show the progress of changes by zone, and the lagging hosts.
    Status,
    /// Wait until a change is in force at all affected hosts. Exit status 1: not in force in time.
    Wait {
        /// The generation of the change.
        generation: u64,
        /// The maximum time to wait.
        #[arg(long, value_parser = parse_duration, default_value = "7s")]
        within: Duration,
    },
    /// Show all documents, or one of them.
    Show {
        /// The key of the document.
        key: Option<String>,
    },
}

/// The error of an invalid duration.
#[derive(Debug, thiserror::Error)]
#[error("must be a duration such as 7s, not {0:?}")]
struct DurationError(String);

/// Parses a duration such as `7s`, `500ms` or `7`. The default unit is seconds.
fn parse_duration(text: &str) -> Result<Duration, DurationError> {
    let (number, unit_s) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s').unwrap_or(text), 1.0),
    };
    let seconds = number.parse::<f64>().ok().map(|number| number * unit_s);
    let seconds = seconds.filter(|seconds| (0.0..=MAX_TIMEOUT_S).contains(seconds));
    seconds.map(Duration::from_secs_f64).ok_or_else(|| DurationError(text.to_owned()))
}

/// An error of `lbctl config`.
#[derive(Debug, thiserror::Error)]
enum ConfigError {
    #[error(transparent)]
    Runtime(#[from] io::Error),
    #[error("{0}")]
    Key(String),
    #[error("no origin answers: {0}")]
    NoOrigin(String),
    #[error("refused: {}: {reason}", path.display())]
    Document { path: PathBuf, reason: String },
    #[error("refused: {0}")]
    Rejected(String),
    /// The origin answered with an error.
    #[error("{0}")]
    Origin(String),
    #[error("{origin}: {reason}; the change may have been accepted, publish it again")]
    Unconfirmed { origin: SocketAddr, reason: String },
    #[error(
        "generation {generation} is not in force everywhere after {:.1} s: \
         all changes are in force at {in_force} of {hosts} hosts, {unreachable} hosts are unreachable",
        timeout.as_secs_f64()
    )]
    NotInForce {
        generation: u64,
        timeout: Duration,
        in_force: usize,
        hosts: usize,
        unreachable: usize,
    },
}

impl ConfigError {
    fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            ConfigError::Runtime(_) | ConfigError::Key(_) | ConfigError::NoOrigin(_) => {
                STATUS_ERROR
            }
            _ => STATUS_FAILED,
        })
    }
}

/// Runs the command.
pub fn run(arguments: &Arguments) -> ExitCode {
    match execute(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            error.exit_code()
        }
    }
}

fn execute(arguments: &Arguments) -> Result<(), ConfigError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let client = Client { origins: &arguments.origin, json: arguments.json };
    LocalSet::new().block_on(&runtime, client.run(&arguments.command))
}

/// A client of the origins.
struct Client<'a> {
    origins: &'a [SocketAddr],
    /// Whether to print answers as JSON.
    json: bool,
}

impl Client<'_> {
    async fn run(&self, command: &Command) -> Result<(), ConfigError> {
        match command {
            Command::Publish { key, file, within } => {
                self.publish(key, Some(read_document(file)?), *within).await
            }
            Command::Withdraw { key, within } => self.publish(key, None, *within).await,
            Command::Status => self.status().await,
            Command::Wait { generation, within } => self.wait(*generation, *within).await,
            Command::Show { key } => self.show(key.as_deref()).await,
        }
    }

    async fn status(&self) -> Result<(), ConfigError> {
        let (origin, status) = self.leader().await?;
        if self.json {
            println!("{status}");
        } else {
            print!("{}", status_table(origin, &status));
        }
        Ok(())
    }

    async fn show(&self, key: Option<&str>) -> Result<(), ConfigError> {
        let (origin, _) = self.leader().await?;
        let pairs = key.into_iter().map(|key| ("key", key.to_owned()));
        let path = request_target("/config/documents", pairs);
        let documents =
            HttpClient::new(origin).fetch_json::<Value>(&path, None, ANSWER_TIMEOUT).await;
        let documents = documents.map_err(|error| ConfigError::Origin(error.to_string()))?;
        println!("{documents:#}");
        Ok(())
    }

    /// Returns the leading origin and its status. If none leads, returns the first one that answers.
    async fn leader(&self) -> Result<(SocketAddr, Value), ConfigError> {
        let (mut first, mut errors) = (None, String::new());
        for &origin in self.origins {
            let mut client = HttpClient::new(origin);
            match client.fetch_json::<Value>("/config/status", None, ANSWER_TIMEOUT).await {
                Ok(status) if status["leading"] == true => return Ok((origin, status)),
                Ok(status) => first = first.or(Some((origin, status))),
                Err(error) => drop(write!(errors, "{origin}: {error}; ")),
            }
        }
        first.ok_or(ConfigError::NoOrigin(errors))
    }

    /// Publishes a document, or withdraws it if `body` is `None`. Waits for at most `within` until the change is in
    /// force.
    async fn publish(
        &self,
        key: &str,
        body: Option<DocumentBody>,
        within: Option<Duration>,
    ) -> Result<(), ConfigError> {
        let key =
            key.parse::<DocumentKey>().map_err(|error| ConfigError::Key(error.to_string()))?;
        let key = key.to_string();
        let started = Instant::now();
        let (origin, _) = self.leader().await?;
        let request =
            serde_json::to_vec(&PublishRequest { key: key.clone(), body }).unwrap_or_default();
        let mut client = HttpClient::new(origin);
        let answer = client.fetch_json("/config/publish", Some(request), ANSWER_TIMEOUT).await;
        let PublishResponse { generation } = answer.map_err(|error| match error {
            CallError::Rejected { status: GATEWAY_TIMEOUT, reason } => ConfigError::Origin(reason),
            CallError::Rejected { reason, .. } => ConfigError::Rejected(reason),
            // The origin may have accepted the change nevertheless. Publishing it again is harmless.
            error => ConfigError::Unconfirmed { origin, reason: error.to_string() },
        })?;
        if self.json {
            println!("{}", serde_json::json!({"key": key, "generation": generation}));
        } else {
            println!(
                "{key} is generation {generation}, stored by a majority of the control servers"
            );
        }
        match within {
            Some(within) => self.wait(generation, within.saturating_sub(started.elapsed())).await,
            None => Ok(()),
        }
    }

    /// Waits until a generation is in force at all affected hosts.
    async fn wait(&self, generation: u64, timeout: Duration) -> Result<(), ConfigError> {
        let started = Instant::now();
        loop {
            let (origin, status) = self.leader().await?;
            let total = total(&status);
            if status["leading"] == true && total.is_applied_everywhere(generation) {
                if !self.json {
                    let (hosts, seconds) = (total.all.hosts, started.elapsed().as_secs_f64());
                    println!("in force at all {hosts} hosts after {seconds:.2} s");
                }
                return Ok(());
            }
            if started.elapsed() >= timeout {
                if !self.json {
                    print!("{}", status_table(origin, &status));
                }
                return Err(ConfigError::NotInForce {
                    generation,
                    timeout,
                    in_force: total.all.applied,
                    hosts: total.all.hosts,
                    unreachable: total.unreachable_hosts,
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn read_document(path: &Path) -> Result<DocumentBody, ConfigError> {
    let error = |reason| ConfigError::Document { path: path.to_owned(), reason };
    let text = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
    text.parse().map_err(|e: InvalidBody| error(e.to_string()))
}

fn total(status: &Value) -> TotalProgress {
    serde_json::from_value(status["total"].clone()).unwrap_or_default()
}

fn status_table(origin: SocketAddr, status: &Value) -> String {
    let total = total(status);
    let mut text = String::new();
    let leads = if status["leading"] == true { "leads" } else { "DOES NOT LEAD" };
    let _ = writeln!(
        text,
        "origin {origin} {leads}: {}, epoch {}; generation {}, committed {}",
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
        let _ =
            writeln!(text, "unreachable control servers: {}", total.unreachable_servers.join(", "));
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
