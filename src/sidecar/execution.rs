//! Whether a server can have executed an attempt, by the bytes that passed on its connections.
//!
//! The facts come from the observer beneath hyper, not from what was made of the response above it.

use std::fmt::{self, Display, Formatter};

use super::framing::Unprocessed;

/// The statuses with which a server may tell that it has not processed a request.
const REJECTION_STATUSES: [u16; 2] = [503, 504];

/// What arrived in response to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseFacts {
    /// The status of the final response; none before its head is whole.
    pub status: Option<u16>,
    /// What its head says of processing.
    pub unprocessed: Unprocessed,
    /// It has arrived up to the end that its head announces.
    pub complete: bool,
    /// Nothing arrived before the request was written in full, or behind the response.
    pub in_turn: bool,
}

/// What is known of an attempt when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionFacts {
    /// How many copies of the request were written in full, each on a connection of its own.
    pub copies_sent: u32,
    /// What arrived on the last connection.
    pub response: ResponseFacts,
    /// No response to an earlier request could still arrive on that connection.
    pub connection_settled: bool,
}

impl ExecutionFacts {
    /// Nothing was sent.
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

    /// Why the attempt cannot have been executed.
    ///
    /// # Errors
    ///
    /// Why it may have been.
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

/// Why an attempt cannot have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NonExecutionProof {
    /// Its last byte was not written.
    NotSent,
    /// Its server rejected it unprocessed, in a response that is whole and belongs to nothing else.
    Rejected,
}

/// Why an attempt may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionDoubt {
    /// No head of a response has arrived.
    NoResponse,
    /// The response does not say that the request was not processed.
    NotRejected,
    /// The response says more than one thing about that, or something else than the protocol has.
    Contradictory,
    /// The response may not be whole.
    Incomplete,
    /// Something arrived before the request was written in full, or behind the response.
    OutOfTurn,
    /// Another copy had been written in full before.
    EarlierCopy,
    /// The response may belong to the request before on its connection.
    Unsettled,
}

impl ExecutionDoubt {
    /// All of them, in the order in which they are reported.
    pub const ALL: [ExecutionDoubt; 7] = [
        ExecutionDoubt::NoResponse,
        ExecutionDoubt::NotRejected,
        ExecutionDoubt::Contradictory,
        ExecutionDoubt::Incomplete,
        ExecutionDoubt::OutOfTurn,
        ExecutionDoubt::EarlierCopy,
        ExecutionDoubt::Unsettled,
    ];

    /// The name in logs and statistics.
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
