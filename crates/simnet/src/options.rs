//! Settings of a world.

use std::ops::Range;
use std::time::Duration;

/// The time of day at which a world starts unless its options say otherwise.
const DEFAULT_UNIX_START: Duration = Duration::from_secs(1_700_000_000);

/// Settings of a world, beside its seed.
#[derive(Clone, Debug)]
pub struct Options {
    /// Ready tasks run in random order, not first come, first served.
    pub shuffle_ready_tasks: bool,
    /// Events of the same instant happen in random order.
    pub shuffle_simultaneous_events: bool,
    /// How late a timer fires: what rounding and a busy machine do.
    pub timer_lag: Range<Duration>,
    /// The time since the Unix epoch when the world starts.
    pub unix_start: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            shuffle_ready_tasks: false,
            shuffle_simultaneous_events: false,
            timer_lag: Duration::ZERO..Duration::from_nanos(1),
            unix_start: DEFAULT_UNIX_START,
        }
    }
}
