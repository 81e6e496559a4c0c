//! What speaks against a response on a used connection, and what a check of its connection found.

use std::fmt::{self, Display, Formatter};

/// Why a response may answer another request than the last one on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesyncSign {
    /// Bytes arrived before the request was written in full, or behind the response.
    OutOfTurn,
    /// It began sooner than the server can have made it.
    TooSoon,
    /// Its body is that of an earlier response on the connection.
    RepeatedBody,
}

impl DesyncSign {
    /// All of them, in the order in which they are reported.
    pub const ALL: [DesyncSign; 3] =
        [DesyncSign::OutOfTurn, DesyncSign::TooSoon, DesyncSign::RepeatedBody];

    /// The name in logs and statistics.
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

/// Whether a response answers the last request on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncState {
    /// It does.
    InSync,
    /// Something else came before the answer to a further message.
    OutOfSync,
    /// There was no answer to a further message, or none could be sent.
    Unknown,
}

impl SyncState {
    /// All of them, in the order in which they are reported.
    pub const ALL: [SyncState; 3] = [SyncState::InSync, SyncState::OutOfSync, SyncState::Unknown];

    /// The name in logs and statistics.
    pub fn name(self) -> &'static str {
        match self {
            SyncState::InSync => "in_sync",
            SyncState::OutOfSync => "out_of_sync",
            SyncState::Unknown => "unknown",
        }
    }
}
