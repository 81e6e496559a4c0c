//! What can be wrong with discovery beside an outage.

use std::time::Duration;

/// How discovery misbehaves. The default is not at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegistryFaults {
    /// Calls are not answered, not even later.
    pub silent: bool,
    /// No connection is accepted; they wait in the backlog.
    pub accepts_nothing: bool,
    /// How long after it is accepted a connection is first read.
    pub first_read_delay: Duration,
    /// How long each answer is on its way.
    pub answer_delay: Duration,
    /// How long the second half of each answer comes after the first.
    pub pause_within_answer: Duration,
}
