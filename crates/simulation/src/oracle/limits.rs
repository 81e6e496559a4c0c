//! The limits that the rules check against: those that depend on the scenario, and constants.

use std::time::Duration;

use fakes::account::Idempotency;

/// The tolerance of every time limit on what passes on sockets.
pub(super) const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);

/// The properties of a class of requests that the rules need.
#[derive(Clone, Debug)]
pub struct ClassProfile {
    /// The name of the class.
    pub name: &'static str,
    /// Whether its requests may be repeated.
    pub repeat: Idempotency,
    /// The mean execution time of one request at a server at full speed.
    pub mean_work: Duration,
}

/// The limits of the rule `cold`: the work that all sidecars together may send to a server in slow start.
#[derive(Clone, Debug)]
pub struct SlowStartLimits {
    /// The work that may be sent, as a multiple of the server's current capacity.
    pub multiple: f64,
    /// The time over which the work is summed.
    pub window: Duration,
    /// The number of requests that a server executes at once.
    pub concurrency: usize,
}

/// The limits of the rules that depend on the scenario.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The properties of each class.
    pub classes: Vec<ClassProfile>,
    /// The time for which servers remember an idempotency key.
    pub idempotency_window: Duration,
    /// The time after its deadline within which a response still counts as in time.
    pub response_slack: Duration,
    /// The time after a request to terminate from which on a sidecar may be killed, and its open requests lost.
    pub earliest_kill: Duration,
    /// The longest hold-up of a sidecar's process.
    pub longest_hold_up: Duration,
    /// The time after which a server that was reported as draining or gone gets no new requests.
    pub drain_grace: Duration,
    /// The number of descriptors that a sidecar may hold.
    pub sockets: usize,
    /// The longest time between two parts of a short response.
    pub max_response_gap: Duration,
    /// The work that a server in slow start may get.
    pub slow_start: SlowStartLimits,
}
