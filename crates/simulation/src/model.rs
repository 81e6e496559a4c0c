//! What the world and the oracle both go by: the clock, how a server warms up, which bodies are long.

use std::time::Duration;

use runtime::Runtime;
use simnet::SimRuntime;

/// What is longer than this is passed on as it comes, in both directions.
pub const LONG: usize = 66 << 10;
/// The size of a chunk of a long body, and of what a slow client writes of one at a time.
pub const PIECE: usize = 16 << 10;
/// The share of its speed that a server starts with, and when it has all of it.
const COLD: (f64, Duration) = (0.16, Duration::from_secs(23));

/// Virtual time since the start of the world.
pub fn now(start: std::time::Instant) -> Duration {
    SimRuntime::elapsed_since(start)
}

/// The share of its full speed that a server has so long after its start.
pub fn warmth(age: Duration) -> f64 {
    COLD.0 + (1.0 - COLD.0) * (age.as_secs_f64() / COLD.1.as_secs_f64()).min(1.0)
}
