//! Signs of a desync on a reused connection, and results of sync checks.

use std::fmt::{self, Display, Formatter};

/// The sign that a response may not answer the last request on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesyncSign {
    /// Bytes arrived before the request was written in full, or after the response.
    OutOfTurn,
    /// The response began earlier than the server can have produced it.
    TooSoon,
    /// The body equals that of an earlier response on the connection.
    RepeatedBody,
}

impl DesyncSign {
    /// All signs, in the order in which they are reported.
    pub const ALL: [DesyncSign; 3] =
        [DesyncSign::OutOfTurn, DesyncSign::TooSoon, DesyncSign::RepeatedBody];

    /// Returns the name used in logs and statistics.
    pub fn name(self) -> &'static str {
        match self {
            DesyncSign::OutOfTurn => "out_of_turn",
            DesyncSign::TooSoon => "too_soon",
            DesyncSign::RepeatedBody => "repeated_body",
        }
    }
}

impl Display for DesyncSign {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The result of a sync check: whether a response answers the last request on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncState {
    /// The response answers the last request.
    InSync,
    /// Other bytes arrived before the response to the probe.
    OutOfSync,
    /// There was no response to the probe, or no probe could be sent.
    Unknown,
}

impl SyncState {
    /// All states, in the order in which they are reported.
    pub const ALL: [SyncState; 3] = [SyncState::InSync, SyncState::OutOfSync, SyncState::Unknown];

    /// Returns the name used in logs and statistics.
    pub fn name(self) -> &'static str {
        match self {
            SyncState::InSync => "in_sync",
            SyncState::OutOfSync => "out_of_sync",
            SyncState::Unknown => "unknown",
        }
    }
}
