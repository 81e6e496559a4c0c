//! The commands of operators. No I/O here.

use thiserror::Error;

/// One command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Whether clients may connect.
    Ready,
    /// Counters and gauges of the sidecar.
    ShowStat,
    /// Counters of rare events.
    ShowEvents,
    /// The endpoint list in force, and the calls of discovery.
    ShowDiscovery,
    /// The membership table of the tier.
    ShowTier,
    /// Sends no new requests to a server until it is enabled again.
    DisableServer(String),
    /// Enables a server that was disabled.
    EnableServer(String),
    /// Asks clients to leave, until the sidecar is resumed.
    Drain,
    /// Accepts clients again.
    Resume,
}

/// Why a line is not a command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The line is empty.
    #[error("a call expected")]
    Empty,
    /// No command has this name.
    #[error("no such call")]
    UnknownCommand,
    /// The command needs the name of a server.
    #[error("{command}: the name of a server expected")]
    MissingServer {
        /// The command's name.
        command: String,
    },
    /// The command takes fewer words.
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
    /// What is wrong with the line.
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
