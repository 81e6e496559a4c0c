//! What the simulated world and the oracle share: the clock, request ids, how a server warms up, and
//! which bodies are long.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::{Duration, Instant};

use runtime::Runtime;
use simnet::SimRuntime;

/// The least length of a long body, in bytes. One that is longer than this is streamed in both
/// directions.
pub const LONG_BODY: usize = 66 << 10;
/// The size of a chunk of a long body, and of what a slow client writes of one at a time, in bytes.
pub const CHUNK_SIZE: usize = 16 << 10;
/// The fraction of its full speed that a server starts with.
const COLD_SPEED: f64 = 0.16;
/// How long after its start a server has its full speed.
const SLOW_START: Duration = Duration::from_secs(23);

/// The correlation id of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<RequestId, ParseIntError> {
        u64::from_str_radix(text, 16).map(RequestId)
    }
}

/// The virtual time since the start of the world.
pub fn now(start: Instant) -> Duration {
    SimRuntime::elapsed_since(start)
}

/// The fraction of its full speed that a server has at this time after its start.
pub fn slow_start_speed(age: Duration) -> f64 {
    let progress = (age.as_secs_f64() / SLOW_START.as_secs_f64()).min(1.0);
    COLD_SPEED + (1.0 - COLD_SPEED) * progress
}
