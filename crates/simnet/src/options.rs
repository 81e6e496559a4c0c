//! Options of a world.

use std::ops::Range;
use std::time::Duration;

/// The default Unix time at the start of a world.
const DEFAULT_UNIX_START: Duration = Duration::from_secs(1_700_000_000);

/// Options of a world. The seed is separate.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whether ready tasks run in random order instead of first in, first out.
    pub shuffle_ready_tasks: bool,
    /// Whether events of the same instant happen in random order.
    pub shuffle_simultaneous_events: bool,
    /// The range of the delay of timers, as caused by rounding and busy machines.
    pub timer_lag: Range<Duration>,
    /// The time since the Unix epoch at the start of the world.
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
