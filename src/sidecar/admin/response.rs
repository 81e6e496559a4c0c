//! The responses to admin commands and their text format. This module does no I/O.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use gossip::{MemberRecord, MemberState};
use thiserror::Error;

use super::command::ParseError;
use super::connection::ReadError;
use super::state_file::StateFileError;
use super::statistics::Statistics;
use crate::sidecar::discovery_status::DiscoverySnapshot;
use crate::sidecar::events::EventCount;
use crate::sidecar::memory_status::MemorySnapshot;

/// Error returned when a command was not executed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// No command was received.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The line is not a command.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The admin state was not changed.
    #[error(transparent)]
    State(#[from] StateFileError),
    /// The sidecar is drained.
    #[error("drained")]
    Drained,
    /// No endpoint list with servers has been received yet.
    #[error("no server is known yet")]
    NoServers,
    /// The sidecar does not take part in a tier.
    #[error("no part in the tier")]
    NoTier,
}

/// The response to a command.
#[derive(Debug)]
pub enum Response {
    /// The command was executed, or the answer is yes.
    Done,
    /// The command was not executed.
    Error(CommandError),
    /// Counters and gauges.
    Statistics(Box<Statistics>),
    /// Counters of rare events.
    Events(Vec<EventCount>),
    /// The current endpoint list and the calls of discovery.
    Discovery(DiscoverySnapshot),
    /// The memory of the process.
    Memory(MemorySnapshot),
    /// The members of the tier, each with the time since its last change of state.
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
            Response::Memory(snapshot) => writeln!(f, "{snapshot}end"),
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
