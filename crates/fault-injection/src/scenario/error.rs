//! Errors of scenario files.

use std::ops::Range;

use crate::expectations::UnknownMetric;

/// An error in a scenario file, with its position.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A problem at a line.
    #[error("line {line}: {problem}")]
    AtLine {
        /// The line, from 1.
        line: usize,
        /// The problem.
        problem: Problem,
    },
    /// The file has more faults than are allowed.
    #[error("fault: at most {limit} faults are allowed")]
    TooManyFaults {
        /// The maximum number of faults.
        limit: usize,
    },
}

/// A problem at one position of the file.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// The file is not valid TOML, or not a scenario.
    #[error("{0}")]
    Syntax(String),
    /// A number is out of its range.
    #[error("{key}: from {min} to {max} expected, not {value}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
        /// The value in the file.
        value: f64,
    },
    /// The run would be larger than can be recorded.
    #[error("seconds: {limit_s:.0} at most expected with this number of sidecars and this load")]
    TooLong {
        /// The longest duration, in seconds.
        limit_s: f64,
    },
    /// A selector selects no node.
    #[error(
        "{key}: {word:?} selects no node (expected sidecars, s3, s0..4, servers, \
         a zone, a server, discovery, a group, or any of them with *share)"
    )]
    UnknownNodes {
        /// The key.
        key: String,
        /// The selector.
        word: String,
    },
    /// The value has another type, or selects other nodes, than expected.
    #[error("{key}: {expected} expected")]
    Expected {
        /// The key.
        key: String,
        /// A description of the expected value.
        expected: &'static str,
    },
    /// A key that this kind of fault needs is missing.
    #[error("{key}: expected for this kind of fault")]
    Missing {
        /// The missing key or keys.
        key: &'static str,
    },
    /// The tenant is not in `load.tenants`.
    #[error("tenant: {name:?} is not in load.tenants")]
    UnknownTenant {
        /// The name.
        name: String,
    },
    /// The metric does not exist.
    #[error("{key}: {source}")]
    UnknownMetric {
        /// The key.
        key: &'static str,
        /// The cause.
        source: UnknownMetric,
    },
    /// JSON cannot express the value.
    #[error("{key}: {source}")]
    Json {
        /// The key.
        key: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// The expectation has no bound.
    #[error("least, most or near: one of them expected")]
    NoBound,
    /// The expectation has only one of the keys of a comparison.
    #[error("near, within: both or neither expected")]
    IncompleteReference,
    /// A problem inside a table.
    #[error("{table}.{problem}")]
    In {
        /// The table's key.
        table: String,
        /// The problem with a key of the table.
        problem: Box<Problem>,
    },
}

impl Problem {
    /// Adds the key of the enclosing table to the problem.
    pub(super) fn within(self, table: impl Into<String>) -> Problem {
        Problem::In { table: table.into(), problem: Box::new(self) }
    }

    /// Returns the problem as an error at a position of the file.
    pub(super) fn at(self, text: &str, place: &Range<usize>) -> ScenarioError {
        ScenarioError::AtLine { line: line_number(text, place), problem: self }
    }
}

/// Returns the line of a position in the text, from 1.
pub(super) fn line_number(text: &str, place: &Range<usize>) -> usize {
    1 + text.bytes().take(place.start).filter(|&byte| byte == b'\n').count()
}

/// Returns the value if it is within the range, or a problem otherwise.
pub(super) fn in_range(value: f64, key: &str, min: f64, max: f64) -> Result<f64, Problem> {
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(Problem::OutOfRange { key: key.to_owned(), min, max, value })
}
