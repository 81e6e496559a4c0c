//! The admin state: the changes that operators have made and not reverted. This module does no I/O.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::command::Command;

/// Maximum number of disabled servers: as many as an endpoint list may have with the minimum memory limit. With more
/// memory, lists may be longer.
const MAX_DISABLED_SERVERS: usize = 4096;

/// The admin state. It stays in effect until it is changed, also across a replacement of the process. Earlier and later
/// versions read its stored form.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(default)]
pub struct AdminState {
    /// The names of the servers that get no new requests.
    #[serde(rename = "out")]
    pub disabled_servers: BTreeSet<String>,
    /// The sidecar is drained: clients are asked to connect elsewhere.
    pub drained: bool,
    /// The token of the process that announced last that it serves; `None` if none has.
    #[serde(rename = "serving")]
    pub serving_process: Option<u64>,
}

/// Error returned when a command cannot change the state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The endpoint list contains no server with this name.
    #[error("no server {name:?} is known")]
    UnknownServer {
        /// The name in the command.
        name: String,
    },
    /// The maximum number of servers is disabled already.
    #[error("{MAX_DISABLED_SERVERS} servers are out already")]
    TooManyDisabled,
}

impl AdminState {
    /// Applies a command. A repeated command has no further effect, and queries have no effect.
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
            | Command::ShowMemory
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

    /// A disabled server can be enabled even if it is not listed, because it may return with the same name.
    fn enable(&mut self, name: &str, is_listed: impl Fn(&str) -> bool) -> Result<(), ChangeError> {
        if !self.disabled_servers.remove(name) && !is_listed(name) {
            return Err(ChangeError::UnknownServer { name: name.to_owned() });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
