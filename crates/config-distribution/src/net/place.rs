//! Where a host puts documents in force: a sidecar that runs alone, or a fleet's daemon.

use std::collections::BTreeMap;
use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use fleet::control::{Request, ask};
use instance_status::InstanceStatus;
use rustix::process::{Pid, Signal, kill_process};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout};

use super::http::Caller;
use crate::Generation;
use crate::documents::{Document, Interest, merged};
use crate::host::Put;

/// How long a sidecar may take to take a configuration over, or to check one.
const TAKES_OVER: Duration = Duration::from_secs(5);
/// The same of a fleet: canaries are watched, and successors take the others' places.
const ROLLS_OUT: Duration = Duration::from_secs(120);
const LOOK: Duration = Duration::from_millis(20);
const ASKS: Duration = Duration::from_millis(500);

/// What is in force somewhere.
pub trait Place {
    /// What is in force, as far as it is known: never less than it is.
    fn in_force(&mut self) -> impl Future<Output = (Generation, Vec<Document>)>;
    /// Puts all documents that concern this place in force. What cannot be changes nothing.
    fn put(&mut self, generation: Generation, documents: &[Document]) -> impl Future<Output = Put>;
}

/// What was put in force last, on disk beside it.
#[derive(Default, Deserialize, Serialize)]
struct Mark {
    generation: Generation,
    documents: Vec<Document>,
}

fn read_mark(path: &Path) -> Mark {
    // One that cannot be read is none: all is told anew, and what runs says how new it is.
    fs::read(path).ok().and_then(|text| serde_json::from_slice(&text).ok()).unwrap_or_default()
}

fn keep_mark(path: &Path, generation: Generation, documents: &[Document]) -> Result<(), String> {
    let mark = Mark { generation, documents: documents.to_vec() };
    let text = serde_json::to_vec(&mark).map_err(|e| e.to_string())?;
    fleet::replace(path, &text).map_err(|e| format!("{}: {e}", path.display()))
}

fn read(path: &Path) -> Result<Value, String> {
    let text = fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn write(path: &Path, text: &[u8]) -> Result<(), String> {
    fleet::replace(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// A sidecar that runs alone, and takes a new configuration over at SIGHUP.
pub struct Alone {
    /// The host's own part of the configuration.
    pub base: PathBuf,
    /// The file that `LB_CONFIG` names.
    pub config: PathBuf,
    /// The sidecar's program, to check what no process would be told of.
    pub program: Option<PathBuf>,
}

impl Alone {
    fn mark(&self) -> PathBuf {
        self.config.with_extension("in-force")
    }

    /// What the sidecar tells of itself, if there is one.
    async fn state(&self, at: SocketAddr) -> Option<InstanceStatus> {
        Caller::new(at).json("/health/version", None, ASKS).await.ok()
    }

    async fn check(&self, path: &Path) -> Result<(), String> {
        let Some(program) = &self.program else { return Ok(()) };
        let mut command = Command::new(program);
        command.arg("check").arg(path).env_clear().kill_on_drop(true);
        let output = timeout(TAKES_OVER, command.output()).await;
        let output = output.map_err(|_| "not checked in time".to_owned())?;
        let output = output.map_err(|e| format!("{}: {e}", program.display()))?;
        if output.status.success() {
            return Ok(());
        }
        let why = String::from_utf8_lossy(&output.stderr);
        Err(why.lines().last().unwrap_or("not sound").to_owned())
    }

    /// Danger: whoever answers on the sidecar's address could name any process to be sent a signal. This one has to
    /// have the very file as its configuration.
    fn hang_up(&self, pid: u32) -> Result<(), String> {
        let environment = fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
        let named = environment.split(|b| *b == 0).filter_map(|v| v.strip_prefix(b"LB_CONFIG="));
        let same = |path: &[u8]| {
            let path = String::from_utf8_lossy(path).into_owned();
            fs::canonicalize(path).ok() == fs::canonicalize(&self.config).ok()
        };
        if !named.into_iter().any(same) {
            return Err(format!("process {pid} has another configuration"));
        }
        let pid = i32::try_from(pid).ok().and_then(Pid::from_raw).ok_or("no process")?;
        kill_process(pid, Signal::HUP).map_err(|e| e.to_string())
    }

    async fn try_put(&self, generation: Generation, documents: &[Document]) -> Result<(), Put> {
        let base = read(&self.base).map_err(Put::Later)?;
        let before = fs::read(&self.config).ok();
        let mut config = merged(&base, documents.iter());
        // What is the host's own stays its own, and what numbers the whole is not of a document.
        for key in ["name", "listen", "seed"] {
            if let Some(own) = base.get(key) {
                config[key] = own.clone();
            }
        }
        config["generation"] = json!(generation);
        let candidate = self.config.with_extension("candidate");
        write(&candidate, config.to_string().as_bytes()).map_err(Put::Later)?;
        let checked = self.check(&candidate).await;
        let _ = fs::remove_file(&candidate);
        checked.map_err(Put::Declined)?;
        write(&self.config, config.to_string().as_bytes()).map_err(Put::Later)?;
        let listen = config["listen"].as_str().and_then(|at| at.parse().ok());
        let listen = listen.ok_or_else(|| Put::Later("listen: an address expected".to_owned()))?;
        // One that does not run reads it when it starts.
        let Some(state) = self.state(listen).await else { return Ok(()) };
        self.hang_up(state.pid).map_err(Put::Later)?;
        let end = Instant::now() + TAKES_OVER;
        let why = loop {
            sleep(LOOK).await;
            let Some(state) = self.state(listen).await else { return Ok(()) };
            if state.generation == generation {
                return Ok(());
            }
            // 0: it could not be read as far as its number.
            let ours = |d: &instance_status::RejectedConfig| {
                d.generation == generation || d.generation == 0
            };
            if let Some(declined) = state.rejected_config.filter(ours) {
                break declined.reason;
            }
            if Instant::now() > end {
                return Err(Put::Later("not taken over in time".to_owned()));
            }
        };
        // What was in force stays, also over the next start.
        if let Some(before) = before {
            write(&self.config, &before).map_err(Put::Later)?;
            let _ = self.hang_up(state.pid);
        }
        Err(Put::Declined(why))
    }
}

impl Place for Alone {
    async fn in_force(&mut self) -> (Generation, Vec<Document>) {
        let Mark { generation, documents } = read_mark(&self.mark());
        // Where the disk was lost, what runs says how new it is.
        let listen = read(&self.base).ok().and_then(|b| b["listen"].as_str()?.parse().ok());
        let runs = match listen {
            Some(at) => self.state(at).await.map_or(0, |state| state.generation),
            None => 0,
        };
        if runs > generation { (runs, Vec::new()) } else { (generation, documents) }
    }

    async fn put(&mut self, generation: Generation, documents: &[Document]) -> Put {
        match self.try_put(generation, documents).await {
            Ok(()) => match keep_mark(&self.mark(), generation, documents) {
                Ok(()) => Put::Done,
                Err(why) => Put::Later(why),
            },
            Err(put) => put,
        }
    }
}

/// A fleet of one host: the daemon puts new settings in force by the ways it has.
pub struct Fleet {
    /// Where the daemon's state lies.
    pub state: PathBuf,
    /// Of each service, the settings that are the host's own, and the file that `fleet.toml` names.
    pub settings: BTreeMap<String, (PathBuf, PathBuf)>,
    /// The host's zone, for documents that concern it.
    pub zone: String,
}

impl Fleet {
    fn mark(&self) -> PathBuf {
        self.state.join("in-force.json")
    }

    async fn ask(&self, request: Request) -> Result<Value, String> {
        let folder = self.state.clone();
        let asked = tokio::task::spawn_blocking(move || ask(&folder, &request)).await;
        asked.map_err(|e| e.to_string())?
    }

    fn files(&self, documents: &[Document]) -> Result<Vec<(PathBuf, Vec<u8>)>, Put> {
        let mut files = Vec::new();
        for (service, (base, path)) in &self.settings {
            let interest = Interest { services: [service.clone()].into(), zone: self.zone.clone() };
            let of = documents.iter().filter(|d| interest.has(&d.key));
            let whole = merged(&json!({"settings": read(base).map_err(Put::Later)?}), of);
            let other = whole.as_object().and_then(|w| w.keys().find(|k| *k != "settings"));
            if let Some(key) = other {
                let why = format!("{key}: of a fleet, only settings are distributed");
                return Err(Put::Declined(why));
            }
            files.push((path.clone(), whole["settings"].to_string().into_bytes()));
        }
        Ok(files)
    }

    async fn try_put(&self, documents: &[Document]) -> Result<(), Put> {
        let status = self.ask(Request::Status).await.map_err(Put::Later)?;
        if status["target"] != status["base"] || status["checking"] == true {
            return Err(Put::Later("another rollout runs".to_owned()));
        }
        let mut before = Vec::new();
        for (path, text) in self.files(documents)? {
            before.push((path.clone(), fs::read(&path).ok()));
            write(&path, &text).map_err(Put::Later)?;
        }
        let done = self.roll_out().await;
        if done.is_err() {
            // What was in force stays, also over the daemon's next start.
            for (path, text) in before {
                if let Some(text) = text {
                    write(&path, &text).map_err(Put::Later)?;
                }
            }
        }
        done
    }

    /// Has the daemon read its files, and waits until all instances run what they say, or it has gone back.
    async fn roll_out(&self) -> Result<(), Put> {
        let asked = self.ask(Request::Reload).await.map_err(Put::Declined)?;
        let wanted = asked["generation"].as_u64();
        let end = Instant::now() + ROLLS_OUT;
        loop {
            sleep(5 * LOOK).await;
            if Instant::now() > end {
                return Err(Put::Later("the rollout did not end in time".to_owned()));
            }
            let Ok(status) = self.ask(Request::Status).await else { continue };
            if status["target"] != status["base"] || status["checking"] == true {
                continue;
            }
            if status["target"].as_u64() == wanted {
                return Ok(());
            }
            let history = self.ask(Request::History).await.unwrap_or_default();
            let all = history.as_array().cloned().unwrap_or_default();
            let back = all.iter().rev().find(|h| h.to_string().contains("goes back"));
            let why = back.and_then(|h| h["what"].as_str()).unwrap_or("it went back");
            return Err(Put::Declined(why.to_owned()));
        }
    }
}

impl Place for Fleet {
    async fn in_force(&mut self) -> (Generation, Vec<Document>) {
        let Mark { generation, documents } = read_mark(&self.mark());
        (generation, documents)
    }

    async fn put(&mut self, generation: Generation, documents: &[Document]) -> Put {
        match self.try_put(documents).await {
            Ok(()) => match keep_mark(&self.mark(), generation, documents) {
                Ok(()) => Put::Done,
                Err(why) => Put::Later(why),
            },
            Err(put) => put,
        }
    }
}
