//! The figures of the rules: those of a scenario, and constants.

use std::time::Duration;

use fakes::account::Idempotency;

/// What every time limit of the rules is extended by on sockets.
pub(super) const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);

/// What a class of requests is like, as far as the rules need it.
#[derive(Clone, Debug)]
pub struct ClassProfile {
    /// The name of the class.
    pub name: &'static str,
    /// Whether its requests may be repeated.
    pub repeat: Idempotency,
    /// The mean work of one request at a server of full speed.
    pub mean_work: Duration,
}

/// The rule on slow start: how much work all sidecars together may send to a cold server.
#[derive(Clone, Debug)]
pub struct SlowStartLimits {
    /// How many times the server's capacity of the moment may be sent.
    pub multiple: f64,
    /// The time over which it is summed.
    pub window: Duration,
    /// How many requests a server executes at once.
    pub concurrency: usize,
}

/// The figures of the rules that depend on the scenario.
#[derive(Clone, Debug)]
pub struct Limits {
    /// By class.
    pub classes: Vec<ClassProfile>,
    /// How long servers remember an idempotency key.
    pub idempotency_window: Duration,
    /// How long after its deadline a response still counts.
    pub answer_slack: Duration,
    /// How long after it was asked to terminate a sidecar may be killed, and what it has not answered be lost.
    pub earliest_kill: Duration,
    /// How long a sidecar's process may be held up at a time.
    pub longest_hold_up: Duration,
    /// How soon a server that is reported as draining or gone gets no new requests.
    pub drain_grace: Duration,
    /// How many descriptors a sidecar may hold.
    pub sockets: usize,
    /// The longest time between two parts of a short response.
    pub max_response_gap: Duration,
    /// How much work a cold server may get.
    pub slow_start: SlowStartLimits,
}
