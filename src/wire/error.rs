//! What can be wrong with a frame, and where in it.

use std::io;

use thiserror::Error;

/// What is wrong with a frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireProblem {
    /// The input ends within the length of a frame.
    #[error("input ends within the length")]
    CutInLength,
    /// The length is too small for a header.
    #[error("length {0} is below a header's")]
    LengthBelowHeader(usize),
    /// The input ends before the announced length.
    #[error("{0} bytes announced, input ends")]
    CutInFrame(usize),
    /// The frame is shorter than its header.
    #[error("frame ends within its header")]
    CutInHeader,
    /// The length is not that of the frame.
    #[error("length {announced} for {actual} bytes")]
    WrongLength {
        /// The length in the header.
        announced: u32,
        /// The bytes at hand.
        actual: usize,
    },
    /// There are more records than fit.
    #[error("{0} records do not fit the frame")]
    TooManyRecords(usize),
    /// A record refers to bytes outside the tail.
    #[error("bytes from {0} on lie outside the tail")]
    OutsideTail(usize),
    /// The kind of an endpoint list is unknown.
    #[error("unknown kind of list {0}")]
    UnknownListKind(u8),
    /// The outcome of an attempt is unknown.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// A load report has too many values.
    #[error("load report of {0} values")]
    ReportTooLong(usize),
    /// The state of a listed server is unknown.
    #[error("unknown availability {0} in a list")]
    UnknownHealth(u8),
    /// The number of an endpoint list is too large.
    #[error("list number {0} is past 15")]
    ListNumberTooLarge(u32),
    /// An endpoint list is used that was never sent.
    #[error("list number {0} was never defined")]
    UndefinedList(u32),
    /// An event comes before the instance that it is for is named.
    #[error("an event before any instance is named")]
    NoInstance,
}

/// A malformed frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("malformed frame: {problem} at byte {at}")]
pub struct WireError {
    /// What is wrong with it.
    pub problem: WireProblem,
    /// Where, as an offset from the start of the frame.
    pub at: usize,
}

impl WireError {
    /// A problem at a byte of the frame.
    pub fn new(problem: WireProblem, at: usize) -> WireError {
        WireError { problem, at }
    }
}

impl From<WireError> for io::Error {
    fn from(error: WireError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}
