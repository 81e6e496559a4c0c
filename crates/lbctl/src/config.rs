//! `config`: changes of configuration, published at the origin, and where they are in force.

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

/// How long an origin may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// The time between two polls of the origin.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The HTTP status of a change that the origin took but did not get to most control servers in time.
const GATEWAY_TIMEOUT: u16 = 504;
/// The longest time that can be given on the command line, in seconds.
const MAX_TIMEOUT_S: f64 = 86_400.0;

/// The arguments of `config`.
#[derive(Args)]
pub struct Arguments {
    /// The origins, whichever leads.
    #[arg(long, required = true, global = false, value_delimiter = ',')]
    origin: Vec<SocketAddr>,
    /// Answer in JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Publish a document. Status 1: refused, or not in force within the time.
    Publish {
        /// SERVICE, SERVICE@ZONE, or * for all.
        key: String,
        /// A JSON object: the part of the sidecars' configuration that it sets.
        file: PathBuf,
        /// Wait until it is in force at all that it concerns, as in 7s.
        #[arg(long, value_parser = parse_duration)]
        within: Option<Duration>,
    },
    /// Withdraw a document.
    Withdraw {
        /// Its key.
        key: String,
        /// Wait until that is in force at all that it concerns.
        #[arg(long, value_parser = parse_duration)]
        within: Option<Duration>,
    },
    /// How far all are, by zone, and who is behind.
    Status,
    /// Wait until a change is in force at all that it concerns. Status 1: it is not within the time.
    Wait {
        /// Its generation.
        generation: u64,
        /// At the most so long.
        #[arg(long, value_parser = parse_duration, default_value = "7s")]
        within: Duration,
    },
    /// The documents, or one of them.
    Show {
        /// Its key.
        key: Option<String>,
    },
}

/// A text that is no duration.
#[derive(Debug, thiserror::Error)]
#[error("a time as in 7s expected, not {0:?}")]
struct DurationError(String);

/// Parses `7s`, `500ms` or `7`, which is in seconds.
fn parse_duration(text: &str) -> Result<Duration, DurationError> {
    let (number, unit_s) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s').unwrap_or(text), 1.0),
    };
    let seconds = number.parse::<f64>().ok().map(|number| number * unit_s);
    let seconds = seconds.filter(|seconds| (0.0..=MAX_TIMEOUT_S).contains(seconds));
    seconds.map(Duration::from_secs_f64).ok_or_else(|| DurationError(text.to_owned()))
}

/// Why a command has failed.
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
    /// The origin has answered with an error.
    #[error("{0}")]
    Origin(String),
    #[error("{origin}: {reason}; it may have been taken, publish it again")]
    Unconfirmed { origin: SocketAddr, reason: String },
    #[error(
        "generation {generation} is not in force everywhere after {:.1} s: \
         all is in force at {in_force} of {hosts} hosts, {not_reached} are not reached",
        timeout.as_secs_f64()
    )]
    NotInForce {
        generation: u64,
        timeout: Duration,
        in_force: usize,
        hosts: usize,
        not_reached: usize,
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
    match run_to_end(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            error.exit_code()
        }
    }
}

fn run_to_end(arguments: &Arguments) -> Result<(), ConfigError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let client = Client { origins: &arguments.origin, json: arguments.json };
    LocalSet::new().block_on(&runtime, client.run(&arguments.command))
}

/// A client of the origins.
struct Client<'a> {
    origins: &'a [SocketAddr],
    /// Whether answers are printed as JSON.
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

    /// The leading origin and its status; without one, the first that answers.
    async fn leader(&self) -> Result<(SocketAddr, Value), ConfigError> {
        let (mut first, mut errors) = (None, String::new());
        for &origin in self.origins {
            let mut caller = HttpClient::new(origin);
            match caller.fetch_json::<Value>("/config/status", None, ANSWER_TIMEOUT).await {
                Ok(status) if status["leading"] == true => return Ok((origin, status)),
                Ok(status) => first = first.or(Some((origin, status))),
                Err(error) => drop(write!(errors, "{origin}: {error}; ")),
            }
        }
        first.ok_or(ConfigError::NoOrigin(errors))
    }

    /// Publishes a document, or withdraws it if there is no body. Waits for it to be in force, if asked to.
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
        let mut caller = HttpClient::new(origin);
        let answer = caller.fetch_json("/config/publish", Some(request), ANSWER_TIMEOUT).await;
        let PublishResponse { generation } = answer.map_err(|error| match error {
            CallError::Rejected { status: GATEWAY_TIMEOUT, reason } => ConfigError::Origin(reason),
            CallError::Rejected { reason, .. } => ConfigError::Rejected(reason),
            // The origin may have taken the change all the same. Publishing it again does no harm.
            error => ConfigError::Unconfirmed { origin, reason: error.to_string() },
        })?;
        if self.json {
            println!("{}", serde_json::json!({"key": key, "generation": generation}));
        } else {
            println!("{key} is generation {generation}, with most of the control machines");
        }
        match within {
            Some(within) => self.wait(generation, within.saturating_sub(started.elapsed())).await,
            None => Ok(()),
        }
    }

    /// Waits until a generation is in force at all hosts.
    async fn wait(&self, generation: u64, timeout: Duration) -> Result<(), ConfigError> {
        let started = Instant::now();
        loop {
            let (origin, status) = self.leader().await?;
            let total = total(&status);
            if status["leading"] == true && total.is_applied_everywhere(generation) {
                if !self.json {
                    let (hosts, seconds) = (total.all.hosts, started.elapsed().as_secs_f64());
                    println!("in force at all {hosts} hosts, after {seconds:.2} s");
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
                    not_reached: total.unreachable_hosts,
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
