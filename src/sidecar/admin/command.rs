//! The admin commands and their parser. This module does no I/O.

use thiserror::Error;

/// An admin command. Log lines contain the names of the variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Asks whether clients may connect.
    Ready,
    /// Reports counters and gauges of the sidecar.
    ShowStat,
    /// Reports counters of rare events.
    ShowEvents,
    /// Reports the current endpoint list and the calls of discovery.
    ShowDiscovery,
    /// Reports the memory of the process.
    ShowMemory,
    /// Reports the membership table of the tier.
    ShowTier,
    /// Disables a server: it gets no new requests until it is enabled again.
    DisableServer(String),
    /// Enables a server that was disabled.
    EnableServer(String),
    /// Drains the sidecar: clients are asked to connect elsewhere until it is resumed.
    Drain,
    /// Ends draining.
    Resume,
}

/// Error returned when a line is not a command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The line is empty.
    #[error("a call expected")]
    Empty,
    /// No command has this name.
    #[error("no such call")]
    UnknownCommand,
    /// The name of a server is missing.
    #[error("{command}: the name of a server expected")]
    MissingServer {
        /// The command's name.
        command: String,
    },
    /// The line has more words than the command takes.
    #[error("{command}: more words than expected")]
    TrailingWords {
        /// The command's name.
        command: String,
    },
}

impl Command {
    /// Parses a line.
    ///
    /// # Errors
    ///
    /// When the line is not a command.
    pub fn parse(line: &str) -> Result<Command, ParseError> {
        let mut words = line.split_ascii_whitespace();
        let name = words.next().ok_or(ParseError::Empty)?;
        let server = |word: Option<&str>| match word {
            Some(server) => Ok(server.to_owned()),
            None => Err(ParseError::MissingServer { command: name.to_owned() }),
        };
        let command = match name {
            "ready" => Command::Ready,
            "show-stat" => Command::ShowStat,
            "show-events" => Command::ShowEvents,
            "show-discovery" => Command::ShowDiscovery,
            "show-memory" => Command::ShowMemory,
            "show-tier" => Command::ShowTier,
            "disable-server" => Command::DisableServer(server(words.next())?),
            "enable-server" => Command::EnableServer(server(words.next())?),
            "drain" => Command::Drain,
            "resume" => Command::Resume,
            _ => return Err(ParseError::UnknownCommand),
        };
        match words.next() {
            None => Ok(command),
            Some(_) => Err(ParseError::TrailingWords { command: name.to_owned() }),
        }
    }
}

#[cfg(test)]
mod tests;
