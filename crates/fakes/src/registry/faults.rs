//! Faults of discovery other than an outage.

use std::time::Duration;

/// The faults of discovery. The default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegistryFaults {
    /// Requests are never answered.
    pub silent: bool,
    /// Connections are not accepted and stay in the backlog.
    pub accepts_nothing: bool,
    /// The time from accepting a connection to its first read.
    pub first_read_delay: Duration,
    /// The delay of each answer.
    pub answer_delay: Duration,
    /// The pause between the halves of each answer.
    pub pause_within_answer: Duration,
}
