//! Definitions that the simulated world and the oracle share: the clock, request ids, the slow start of servers, and
//! the size of long bodies.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::{Duration, Instant};

use runtime::Runtime;
use simnet::SimRuntime;

/// The smallest size of a long body, in bytes. Sidecars stream bodies of this size in both directions.
pub const LONG_BODY: usize = 66 << 10;
/// The size of the chunks of a long body, and of the pieces in which a slow client writes one, in bytes.
pub const CHUNK_SIZE: usize = 16 << 10;
/// The speed of a server at its start, as a fraction of its full speed.
const INITIAL_SPEED: f64 = 0.16;
/// The time after its start at which a server has its full speed.
const SLOW_START_DURATION: Duration = Duration::from_secs(23);

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

/// Returns the virtual time since the start of the world.
pub fn now(start: Instant) -> Duration {
    SimRuntime::elapsed_since(start)
}

/// Returns the speed of a server at this time after its start, as a fraction of its full speed.
pub fn slow_start_speed(age: Duration) -> f64 {
    let progress = (age.as_secs_f64() / SLOW_START_DURATION.as_secs_f64()).min(1.0);
    INITIAL_SPEED + (1.0 - INITIAL_SPEED) * progress
}
