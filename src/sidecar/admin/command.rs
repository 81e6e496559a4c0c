//! The commands of operators and the form of the responses. No I/O here.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use gossip::{MemberRecord, MemberState};
use thiserror::Error;

use super::connection::ReadError;
use super::state_file::StateFileError;
use super::statistics::Statistics;
use crate::sidecar::discovery_status::DiscoverySnapshot;
use crate::sidecar::events::EventCount;

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

/// Why a command was not carried out.
#[derive(Debug, Error)]
pub enum CommandError {
    /// No command was received.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The line is not a command.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The administrative state was not changed.
    #[error(transparent)]
    State(#[from] StateFileError),
    /// The sidecar is drained.
    #[error("drained")]
    Drained,
    /// No server is known.
    #[error("no server is known yet")]
    NoServers,
    /// The sidecar does not take part in a tier.
    #[error("no part in the tier")]
    NoTier,
}

/// The response to a command.
#[derive(Debug)]
pub enum Response {
    /// The command was carried out, or the question is answered with yes.
    Done,
    /// The command was not carried out.
    Error(CommandError),
    /// Counters and gauges.
    Statistics(Box<Statistics>),
    /// Counters of rare events.
    Events(Vec<EventCount>),
    /// The endpoint list in force, and the calls of discovery.
    Discovery(DiscoverySnapshot),
    /// The members of the tier, and how long each has been in its state.
    Members(Vec<(MemberRecord, Duration)>),
}

impl Display for Response {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Response::Done => writeln!(f, "done"),
            Response::Error(error) => {
                let line = error.to_string().replace(['\r', '\n'], " ");
                writeln!(f, "error: {line}")
            }
            Response::Statistics(statistics) => writeln!(f, "{statistics}end"),
            Response::Events(events) => {
                events.iter().try_for_each(|event| writeln!(f, "{event}"))?;
                writeln!(f, "end")
            }
            Response::Discovery(snapshot) => writeln!(f, "{snapshot}end"),
            Response::Members(members) => {
                members.iter().try_for_each(|(record, age)| write_member(f, record, *age))?;
                writeln!(f, "end")
            }
        }
    }
}

fn write_member(f: &mut Formatter<'_>, record: &MemberRecord, age: Duration) -> fmt::Result {
    let MemberRecord { member, incarnation, state } = record;
    let state = match state {
        MemberState::Unknown => "unknown",
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "gone",
    };
    writeln!(f, "member.{member}={state},{incarnation},{}", age.as_millis())
}

#[cfg(test)]
mod tests;
