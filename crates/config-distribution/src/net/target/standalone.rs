//! A standalone sidecar as a target. It reloads its configuration on SIGHUP.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use instance_status::InstanceStatus;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout};

use super::{AppliedMarker, ApplyError, ConfigTarget, read_json, write_file};
use crate::Generation;
use crate::documents::merge_documents;
use crate::host::{ApplyOutcome, ConfigSnapshot};
use crate::net::http::HttpClient;

/// Maximum time for the sidecar to reload a configuration, or to check one.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the sidecar's status is polled during a reload.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for the sidecar's response with its status.
const STATE_TIMEOUT: Duration = Duration::from_millis(500);
/// Path of the sidecar's endpoint that reports its process id and generation.
const STATE_PATH: &str = "/health/version";
/// Keys that keep the value of the host's own configuration and that documents cannot change.
const HOST_KEYS: [&str; 3] = ["name", "listen", "seed"];

/// A standalone sidecar.
pub struct Standalone {
    /// The file with the host's own part of the configuration.
    pub base: PathBuf,
    /// The file that the sidecar's `LB_CONFIG` names.
    pub config: PathBuf,
    /// The sidecar's program, which checks a configuration before it is applied.
    pub program: Option<PathBuf>,
}

impl Standalone {
    fn marker(&self) -> AppliedMarker {
        AppliedMarker { path: self.config.with_extension("in-force") }
    }

    /// Returns the sidecar's status, or `None` if it does not respond.
    async fn sidecar_state(&self, address: SocketAddr) -> Option<InstanceStatus> {
        HttpClient::new(address).fetch_json(STATE_PATH, None, STATE_TIMEOUT).await.ok()
    }

    /// Checks a configuration with the sidecar's program, if one is given.
    async fn check(&self, path: &Path) -> Result<(), ApplyError> {
        let Some(program) = &self.program else { return Ok(()) };
        let mut command = Command::new(program);
        command.arg("check").arg(path).env_clear().kill_on_drop(true);
        let output = timeout(RELOAD_TIMEOUT, command.output()).await;
        let output = output
            .map_err(|_| ApplyError::CheckTimeout)?
            .map_err(|source| ApplyError::CheckFailed { program: program.clone(), source })?;
        if output.status.success() {
            return Ok(());
        }
        let errors = String::from_utf8_lossy(&output.stderr);
        let reason = errors.lines().last().unwrap_or("not sound");
        Err(ApplyError::Rejected(reason.to_owned()))
    }

    /// Signals the sidecar to reload its configuration.
    ///
    /// The process that responds on the sidecar's address could report the id of any process. A process is therefore
    /// signalled only if its environment names this configuration file.
    fn signal_reload(&self, pid: u32) -> Result<(), ApplyError> {
        let environment = fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
        let is_own = environment
            .split(|byte| *byte == 0)
            .filter_map(|variable| variable.strip_prefix(b"LB_CONFIG="))
            .any(|path| self.is_config(path));
        if !is_own {
            return Err(ApplyError::ForeignProcess { pid });
        }
        let pid = i32::try_from(pid).ok().and_then(Pid::from_raw).ok_or(ApplyError::NoProcess)?;
        kill_process(pid, Signal::HUP).map_err(ApplyError::Signal)
    }

    /// Returns whether a path refers to the sidecar's configuration file.
    fn is_config(&self, path: &[u8]) -> bool {
        let path = String::from_utf8_lossy(path).into_owned();
        fs::canonicalize(path).ok() == fs::canonicalize(&self.config).ok()
    }

    /// Merges the documents into the host's own configuration.
    fn merged_config(&self, snapshot: &ConfigSnapshot) -> Result<Value, ApplyError> {
        let base = read_json(&self.base)?;
        let mut config = merge_documents(&base, snapshot.documents.iter());
        for key in HOST_KEYS {
            if let Some(own) = base.get(key) {
                config[key] = own.clone();
            }
        }
        config["generation"] = json!(snapshot.generation);
        Ok(config)
    }

    async fn try_apply(&self, snapshot: &ConfigSnapshot) -> Result<(), ApplyError> {
        let config = self.merged_config(snapshot)?;
        let text = config.to_string();
        let previous = fs::read(&self.config).ok();
        let candidate = self.config.with_extension("candidate");
        write_file(&candidate, text.as_bytes())?;
        let checked = self.check(&candidate).await;
        let _ = fs::remove_file(&candidate);
        checked?;
        write_file(&self.config, text.as_bytes())?;
        let address = listen_address(&config).ok_or(ApplyError::NoListenAddress)?;
        // A sidecar that is not running reads the file when it starts.
        let Some(state) = self.sidecar_state(address).await else { return Ok(()) };
        self.signal_reload(state.pid)?;
        let reloaded = self.wait_for_reload(address, snapshot.generation).await;
        if let Err(ApplyError::Rejected(_)) = &reloaded
            && let Some(previous) = previous
        {
            // The previous file is restored, so that a restarted sidecar uses it, too.
            write_file(&self.config, &previous)?;
            let _ = self.signal_reload(state.pid);
        }
        reloaded
    }

    /// Waits until the sidecar uses the configuration, has rejected it, or has stopped responding.
    async fn wait_for_reload(
        &self,
        address: SocketAddr,
        generation: Generation,
    ) -> Result<(), ApplyError> {
        let deadline = Instant::now() + RELOAD_TIMEOUT;
        loop {
            sleep(POLL_INTERVAL).await;
            let Some(state) = self.sidecar_state(address).await else { return Ok(()) };
            if state.generation == generation {
                return Ok(());
            }
            // A rejected configuration that could not be parsed is reported with generation 0.
            let is_expected =
                |generation_of: u64| generation_of == generation || generation_of == 0;
            if let Some(rejected) = state.rejected_config.filter(|d| is_expected(d.generation)) {
                return Err(ApplyError::Rejected(rejected.reason));
            }
            if Instant::now() > deadline {
                return Err(ApplyError::ReloadTimeout);
            }
        }
    }
}

/// Returns the address on which a sidecar with this configuration listens.
fn listen_address(config: &Value) -> Option<SocketAddr> {
    config["listen"].as_str()?.parse().ok()
}

impl ConfigTarget for Standalone {
    async fn applied(&mut self) -> ConfigSnapshot {
        let stored = self.marker().read();
        // If the marker was lost, the sidecar reports which generation it runs.
        let address = read_json(&self.base).ok().and_then(|base| listen_address(&base));
        let running = match address {
            Some(address) => self.sidecar_state(address).await.map_or(0, |s| s.generation),
            None => 0,
        };
        if running > stored.generation {
            return ConfigSnapshot { generation: running, documents: Vec::new() };
        }
        stored
    }

    async fn apply(&mut self, config: &ConfigSnapshot) -> ApplyOutcome {
        let applied = match self.try_apply(config).await {
            Ok(()) => self.marker().write(config),
            failed => failed,
        };
        applied.into()
    }
}
