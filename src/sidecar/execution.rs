//! Decides from the bytes sent and received on an attempt's connections whether a server may have executed it.
//!
//! The facts come from the observer between hyper and the socket, independently of how the response is interpreted
//! above hyper.

use std::fmt::{self, Display, Formatter};

use super::framing::Unprocessed;

/// The statuses with which a server can reject a request unprocessed.
const REJECTION_STATUSES: [u16; 2] = [503, 504];

/// Facts about the response to a request, as seen on the socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseFacts {
    /// The status of the final response, or `None` before its head is complete.
    pub status: Option<u16>,
    /// Whether the head says that the request was not processed.
    pub unprocessed: Unprocessed,
    /// Whether the response arrived up to the end given by its head.
    pub complete: bool,
    /// Whether no bytes arrived before the request was written in full or after the response.
    pub in_turn: bool,
}

/// Facts about an attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionFacts {
    /// Number of copies of the request that were written in full, each on its own connection.
    pub copies_sent: u32,
    /// The response on the last connection.
    pub response: ResponseFacts,
    /// Whether no response to an earlier request can be outstanding on that connection.
    pub connection_settled: bool,
}

impl ExecutionFacts {
    /// The facts of an attempt of which nothing was sent.
    pub const NOT_SENT: ExecutionFacts = ExecutionFacts {
        copies_sent: 0,
        response: ResponseFacts {
            status: None,
            unprocessed: Unprocessed::Unsaid,
            complete: false,
            in_turn: true,
        },
        connection_settled: true,
    };

    /// Returns the proof that the attempt was not executed.
    ///
    /// # Errors
    ///
    /// Returns why the attempt may have been executed.
    pub fn never_ran(&self) -> Result<NonExecutionProof, ExecutionDoubt> {
        let ResponseFacts { status, unprocessed, complete, in_turn } = self.response;
        match self.copies_sent {
            0 => return Ok(NonExecutionProof::NotSent),
            1 => {}
            _ => return Err(ExecutionDoubt::EarlierCopy),
        }
        let status = status.ok_or(ExecutionDoubt::NoResponse)?;
        if !REJECTION_STATUSES.contains(&status) || unprocessed == Unprocessed::Unsaid {
            return Err(ExecutionDoubt::NotRejected);
        }
        if unprocessed != Unprocessed::Promised {
            return Err(ExecutionDoubt::Contradictory);
        }
        if !in_turn {
            return Err(ExecutionDoubt::OutOfTurn);
        }
        if !complete {
            return Err(ExecutionDoubt::Incomplete);
        }
        if !self.connection_settled {
            return Err(ExecutionDoubt::Unsettled);
        }
        Ok(NonExecutionProof::Rejected)
    }
}

/// The proof that an attempt was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NonExecutionProof {
    /// The last byte of the request was not written.
    NotSent,
    /// The server rejected the request unprocessed, in a complete response that belongs to no other request.
    Rejected,
}

/// The reason why an attempt may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionDoubt {
    /// No complete response head arrived.
    NoResponse,
    /// The response does not say that the request was not processed.
    NotRejected,
    /// The response states more than once whether the request was processed, or in a form that the protocol does not
    /// define.
    Contradictory,
    /// The response may be incomplete.
    Incomplete,
    /// Bytes arrived before the request was written in full, or after the response.
    OutOfTurn,
    /// Another copy of the request had been written in full before.
    EarlierCopy,
    /// The response may belong to an earlier request on the connection.
    Unsettled,
}

impl ExecutionDoubt {
    /// All reasons, in the order in which they are reported.
    pub const ALL: [ExecutionDoubt; 7] = [
        ExecutionDoubt::NoResponse,
        ExecutionDoubt::NotRejected,
        ExecutionDoubt::Contradictory,
        ExecutionDoubt::Incomplete,
        ExecutionDoubt::OutOfTurn,
        ExecutionDoubt::EarlierCopy,
        ExecutionDoubt::Unsettled,
    ];

    /// Returns the name used in logs and statistics.
    pub fn name(self) -> &'static str {
        match self {
            ExecutionDoubt::NoResponse => "no_response",
            ExecutionDoubt::NotRejected => "not_rejected",
            ExecutionDoubt::Contradictory => "contradictory",
            ExecutionDoubt::Incomplete => "incomplete",
            ExecutionDoubt::OutOfTurn => "out_of_turn",
            ExecutionDoubt::EarlierCopy => "earlier_copy",
            ExecutionDoubt::Unsettled => "unsettled",
        }
    }
}

impl Display for ExecutionDoubt {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

#[cfg(test)]
mod tests;
