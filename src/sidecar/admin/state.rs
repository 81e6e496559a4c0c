//! The administrative state: what operators have ordered and not revoked. No I/O here.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::command::Command;

/// How many servers can be disabled at once: more than the longest endpoint list holds.
const MAX_DISABLED_SERVERS: usize = 4096;

/// The administrative state. It holds until it is changed, also across a replacement of the process. Its stored form
/// is read by earlier and later versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default)]
pub struct AdminState {
    /// The names of the servers that get no new requests.
    #[serde(rename = "out")]
    pub disabled_servers: BTreeSet<String>,
    /// Clients are asked to leave.
    pub drained: bool,
    /// The identity of the process that last became ready to serve.
    #[serde(rename = "serving")]
    pub serving_process: Option<u64>,
}

/// Why a command does not change the state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// No endpoint list has a server with this name.
    #[error("no server {name:?} is known")]
    UnknownServer {
        /// The name in the command.
        name: String,
    },
    /// The limit of disabled servers is reached.
    #[error("{MAX_DISABLED_SERVERS} servers are out already")]
    TooManyDisabled,
}

impl AdminState {
    /// Applies a command; one that is given twice has no further effect. Commands that only ask have none.
    ///
    /// # Errors
    ///
    /// When the command names an unknown server, or too many servers are disabled.
    pub fn apply(
        &mut self,
        command: &Command,
        is_listed: impl Fn(&str) -> bool,
    ) -> Result<(), ChangeError> {
        match command {
            Command::Ready
            | Command::ShowStat
            | Command::ShowEvents
            | Command::ShowDiscovery
            | Command::ShowTier => Ok(()),
            Command::Drain => {
                self.drained = true;
                Ok(())
            }
            Command::Resume => {
                self.drained = false;
                Ok(())
            }
            Command::DisableServer(name) => self.disable(name, is_listed),
            Command::EnableServer(name) => self.enable(name, is_listed),
        }
    }

    fn disable(&mut self, name: &str, is_listed: impl Fn(&str) -> bool) -> Result<(), ChangeError> {
        if self.disabled_servers.contains(name) {
            return Ok(());
        }
        if !is_listed(name) {
            return Err(ChangeError::UnknownServer { name: name.to_owned() });
        }
        if self.disabled_servers.len() >= MAX_DISABLED_SERVERS {
            return Err(ChangeError::TooManyDisabled);
        }
        self.disabled_servers.insert(name.to_owned());
        Ok(())
    }

    /// A disabled server can be enabled while it is not listed: it may come back under its name.
    fn enable(&mut self, name: &str, is_listed: impl Fn(&str) -> bool) -> Result<(), ChangeError> {
        if !self.disabled_servers.remove(name) && !is_listed(name) {
            return Err(ChangeError::UnknownServer { name: name.to_owned() });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
