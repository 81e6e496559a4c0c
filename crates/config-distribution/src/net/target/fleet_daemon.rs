//! The daemon of a fleet as a target. It rolls out new settings to its instances.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use fleet::control::{Request, send_request};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{AppliedMarker, ApplyError, ConfigTarget, read_json, write_file};
use crate::Generation;
use crate::documents::{Interest, merge_documents};
use crate::host::{ApplyOutcome, ConfigSnapshot};

/// Maximum time for a rollout, in which canaries are observed and all instances are replaced.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval at which the daemon's status is polled during a rollout.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Key of a sidecar's configuration whose value a fleet reads from its settings files.
const SETTINGS_KEY: &str = "settings";
/// Text in the daemon's history that marks a rollout as rolled back.
const ROLLBACK_TEXT: &str = "goes back";

/// The settings files of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// The file with the host's base settings.
    pub base: PathBuf,
    /// The settings file that `fleet.toml` names.
    pub file: PathBuf,
}

/// The daemon of a fleet on this host.
pub struct FleetDaemon {
    /// The directory of the daemon's state.
    pub state_dir: PathBuf,
    /// The settings files by service.
    pub settings: BTreeMap<String, ServiceSettings>,
    /// The host's zone.
    pub zone: String,
}

/// A settings file with its new content.
struct NewSettings {
    path: PathBuf,
    text: Vec<u8>,
}

/// The daemon's status, as far as it concerns rollouts.
#[derive(Deserialize)]
struct DaemonStatus {
    target: Generation,
    base: Generation,
    checking: bool,
}

impl DaemonStatus {
    fn is_rolling_out(&self) -> bool {
        self.target != self.base || self.checking
    }
}

impl FleetDaemon {
    fn marker(&self) -> AppliedMarker {
        AppliedMarker { path: self.state_dir.join("in-force.json") }
    }

    async fn ask(&self, request: Request) -> Result<Value, ApplyError> {
        let state_dir = self.state_dir.clone();
        let response =
            tokio::task::spawn_blocking(move || send_request(&state_dir, &request)).await?;
        Ok(response?)
    }

    async fn status(&self) -> Result<DaemonStatus, ApplyError> {
        let status = self.ask(Request::Status).await?;
        serde_json::from_value(status).map_err(ApplyError::DaemonStatus)
    }

    /// Builds the settings files by merging the documents into the host's base settings.
    fn new_settings(&self, config: &ConfigSnapshot) -> Result<Vec<NewSettings>, ApplyError> {
        let mut files = Vec::new();
        for (service, paths) in &self.settings {
            let interest = Interest { services: [service.clone()].into(), zone: self.zone.clone() };
            let documents = config.documents.iter().filter(|d| interest.matches(&d.key));
            let base = json!({SETTINGS_KEY: read_json(&paths.base)?});
            let merged = merge_documents(&base, documents);
            let mut keys = merged.as_object().into_iter().flat_map(|merged| merged.keys());
            if let Some(key) = keys.find(|key| *key != SETTINGS_KEY) {
                return Err(ApplyError::NotDistributed { key: key.clone() });
            }
            let text = merged[SETTINGS_KEY].to_string().into_bytes();
            files.push(NewSettings { path: paths.file.clone(), text });
        }
        Ok(files)
    }

    async fn try_apply(&self, config: &ConfigSnapshot) -> Result<(), ApplyError> {
        if self.status().await?.is_rolling_out() {
            return Err(ApplyError::RolloutInProgress);
        }
        let mut previous = Vec::new();
        for NewSettings { path, text } in self.new_settings(config)? {
            previous.push((path.clone(), fs::read(&path).ok()));
            write_file(&path, &text)?;
        }
        let rolled_out = self.roll_out().await;
        if rolled_out.is_err() {
            // The previous settings are restored, so that a restarted daemon uses them, too.
            for (path, text) in previous {
                if let Some(text) = text {
                    write_file(&path, &text)?;
                }
            }
        }
        rolled_out
    }

    /// Makes the daemon reload its settings files, and waits until all instances use them or the rollout is rolled
    /// back.
    async fn roll_out(&self) -> Result<(), ApplyError> {
        // The daemon checks the files before it responds. If it rejects them now, it would do so again.
        let reloaded = self.ask(Request::Reload).await;
        let reloaded = reloaded.map_err(|error| ApplyError::Rejected(error.to_string()))?;
        let wanted = reloaded["generation"].as_u64();
        let deadline = Instant::now() + ROLLOUT_TIMEOUT;
        loop {
            sleep(POLL_INTERVAL).await;
            if Instant::now() > deadline {
                return Err(ApplyError::RolloutTimeout);
            }
            let Ok(status) = self.status().await else { continue };
            if status.is_rolling_out() {
                continue;
            }
            if Some(status.target) == wanted {
                return Ok(());
            }
            return Err(ApplyError::Rejected(self.rollback_reason().await));
        }
    }

    /// Returns the reason for the last rollback from the daemon's history.
    async fn rollback_reason(&self) -> String {
        let history = self.ask(Request::History).await.unwrap_or_default();
        let entries = history.as_array().map_or(&[][..], Vec::as_slice);
        let rollback = entries.iter().rev().find(|e| e.to_string().contains(ROLLBACK_TEXT));
        let reason = rollback.and_then(|entry| entry["what"].as_str());
        reason.unwrap_or("it went back").to_owned()
    }
}

impl ConfigTarget for FleetDaemon {
    async fn applied(&mut self) -> ConfigSnapshot {
        self.marker().read()
    }

    async fn apply(&mut self, config: &ConfigSnapshot) -> ApplyOutcome {
        let applied = match self.try_apply(config).await {
            Ok(()) => self.marker().write(config),
            failed => failed,
        };
        applied.into()
    }
}
