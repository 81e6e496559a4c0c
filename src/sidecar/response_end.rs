//! Decides what has to prove that a response has ended where its length says.
//!
//! A length can be too short, and the rest of the body can follow at any later time. Nothing within the response shows
//! that. What proves the end is what follows it: the end of the connection, or the response to a further message. The
//! latter costs its server work and the client a round trip, so it is required only where something speaks against the
//! length.

/// How a response has arrived whose head announces the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LengthFacts {
    /// The announced length in bytes.
    pub length: u64,
    /// Whether there was nothing to read for a while between its first and its last byte, or there is more to read now.
    pub in_pieces: bool,
    /// Whether a server has recently announced a length that was too short, and has sent the rest later.
    pub lengths_doubted: bool,
    /// Whether the head says that the server closes the connection after the response.
    pub closes_connection: bool,
}

impl LengthFacts {
    /// Returns the proof that is still missing, or `None` if the length is believed.
    ///
    /// A server that has written the head and the whole body at once has written all that it has to say. If it writes in
    /// pieces, the next one may be missing.
    pub fn missing_proof(self) -> Option<EndProof> {
        if self.closes_connection {
            return Some(EndProof::Close);
        }
        let is_suspect = self.in_pieces || self.length == 0 || self.lengths_doubted;
        is_suspect.then_some(EndProof::NextResponse)
    }
}

/// What proves that a response has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndProof {
    /// The end of its connection.
    Close,
    /// The response to a further message on its connection.
    NextResponse,
}

/// The result of a check of whether a response has ended where its length says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndState {
    /// The response is whole.
    Whole,
    /// Bytes followed that may belong to it.
    Surplus,
    /// Nothing followed in time.
    Unknown,
}

impl EndState {
    /// All states, in the order in which they are reported.
    pub const ALL: [EndState; 3] = [EndState::Whole, EndState::Surplus, EndState::Unknown];

    /// Returns the name used in logs and statistics.
    pub fn name(self) -> &'static str {
        match self {
            EndState::Whole => "whole",
            EndState::Surplus => "surplus",
            EndState::Unknown => "unknown",
        }
    }
}

#[cfg(test)]
mod tests;
