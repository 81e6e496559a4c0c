//! Errors of malformed frames.

use std::io;

use thiserror::Error;

/// The problem with a malformed frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireProblem {
    /// The input ends within the length field of a frame.
    #[error("input ends within the length field")]
    TruncatedLength,
    /// The length is smaller than a header.
    #[error("frame length {0} is smaller than the header")]
    LengthBelowHeader(usize),
    /// The input ends before the announced length.
    #[error("frame length is {0}, but input ends")]
    TruncatedFrame(usize),
    /// The frame is shorter than its header.
    #[error("frame ends within its header")]
    TruncatedHeader,
    /// The length in the header is not that of the frame.
    #[error("header announces {announced} bytes, but frame has {actual}")]
    WrongLength {
        /// The length in the header.
        announced: u32,
        /// The actual length.
        actual: usize,
    },
    /// There are more records than fit.
    #[error("{0} records do not fit in the frame")]
    TooManyRecords(usize),
    /// A record refers to bytes outside the tail.
    #[error("bytes at offset {0} are outside the tail")]
    OutsideTail(usize),
    /// The kind of an endpoint list is unknown.
    #[error("unknown kind {0} of endpoint list")]
    UnknownListKind(u8),
    /// The outcome of an attempt is unknown.
    #[error("unknown outcome {0} of an attempt")]
    UnknownOutcome(u8),
    /// A load report has too many values.
    #[error("load report has too many values: {0}")]
    ReportTooLong(usize),
    /// The state of a listed server is unknown.
    #[error("unknown server state {0} in an endpoint list")]
    UnknownHealth(u8),
    /// The number of an endpoint list is too large.
    #[error("endpoint list number {0} is above 15")]
    ListNumberTooLarge(u32),
    /// An update refers to an endpoint list that was not defined.
    #[error("endpoint list number {0} is not defined")]
    UndefinedList(u32),
    /// An event precedes the selection of an instance.
    #[error("event before the selection of an instance")]
    NoInstance,
}

/// A malformed frame.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("malformed frame: {problem} at byte {at}")]
pub struct WireError {
    /// The problem.
    pub problem: WireProblem,
    /// The offset of the problem from the start of the frame, in bytes.
    pub at: usize,
}

impl WireError {
    /// Creates an error for a problem at an offset of the frame.
    pub fn new(problem: WireProblem, at: usize) -> WireError {
        WireError { problem, at }
    }
}

impl From<WireError> for io::Error {
    fn from(error: WireError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}
