//! What can be wrong with a scenario file.

use std::ops::Range;

use crate::expectations::UnknownMetric;

/// An error in a scenario file, with its place.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A problem at a line.
    #[error("line {line}: {problem}")]
    AtLine {
        /// The line, from 1.
        line: usize,
        /// What is wrong there.
        problem: Problem,
    },
    /// The file has more faults than are allowed.
    #[error("fault: {limit} at most expected")]
    TooManyFaults {
        /// The greatest number.
        limit: usize,
    },
}

/// What is wrong at a place in the file.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// It is no TOML, or no scenario.
    #[error("{0}")]
    Syntax(String),
    /// A number is out of its range.
    #[error("{key}: from {min} to {max} expected, not {value}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The least value.
        min: f64,
        /// The greatest value.
        max: f64,
        /// The value in the file.
        value: f64,
    },
    /// The run would be larger than can be recorded.
    #[error("seconds: {limit_s:.0} at most expected with so many and so much")]
    TooLong {
        /// The longest duration, in seconds.
        limit_s: f64,
    },
    /// A word selects no node.
    #[error(
        "{key}: {word:?} names nobody (sidecars, s3, s0..4, servers, \
         a zone, a server, discovery, a group, any of them *share)"
    )]
    UnknownNodes {
        /// The key.
        key: String,
        /// The word.
        word: String,
    },
    /// The value must select or be something else.
    #[error("{key}: {expected} expected")]
    Expected {
        /// The key.
        key: String,
        /// What is expected there.
        expected: &'static str,
    },
    /// A key that this kind of fault needs is missing.
    #[error("{key}: expected with this kind of fault")]
    Missing {
        /// The key, or several.
        key: &'static str,
    },
    /// A tenant that is not in `load.tenants`.
    #[error("tenant: {name:?} is none of load.tenants")]
    UnknownTenant {
        /// The name.
        name: String,
    },
    /// A metric that does not exist.
    #[error("{key}: {source}")]
    UnknownMetric {
        /// The key.
        key: &'static str,
        /// The cause.
        source: UnknownMetric,
    },
    /// A value that JSON cannot express.
    #[error("{key}: {source}")]
    Json {
        /// The key.
        key: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// An expectation without a bound.
    #[error("least, most or near: one of them expected")]
    NoBound,
    /// An expectation with half of a comparison.
    #[error("near, within: both or neither expected")]
    IncompleteReference,
    /// A problem inside of a table.
    #[error("{table}.{problem}")]
    In {
        /// The table's key.
        table: String,
        /// The problem with a key of the table.
        problem: Box<Problem>,
    },
}

impl Problem {
    /// The same problem, seen from outside of the table that has the key.
    pub(super) fn within(self, table: impl Into<String>) -> Problem {
        Problem::In { table: table.into(), problem: Box::new(self) }
    }

    /// The error at a place of the file.
    pub(super) fn at(self, text: &str, place: &Range<usize>) -> ScenarioError {
        ScenarioError::AtLine { line: line_number(text, place), problem: self }
    }
}

/// The line of a place in the text, from 1.
pub(super) fn line_number(text: &str, place: &Range<usize>) -> usize {
    1 + text.bytes().take(place.start).filter(|&byte| byte == b'\n').count()
}

/// The value, if it is in its range.
pub(super) fn in_range(value: f64, key: &str, min: f64, max: f64) -> Result<f64, Problem> {
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(Problem::OutOfRange { key: key.to_owned(), min, max, value })
}
