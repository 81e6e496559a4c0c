//! Measures the scheduling delay of the fakes' runtime, which adds to every time that clients, discovery, relays and
//! servers measure. It is reported next to findings and does not invalidate them.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::task::JoinHandle;
use tokio::time::sleep;

/// The time between two measurements.
const INTERVAL: Duration = Duration::from_millis(5);

/// The longest scheduling delay of a task, and its time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LongestLag {
    /// The delay.
    pub lag: Duration,
    /// The time at which the task ran, since the Unix epoch.
    pub at: Duration,
}

impl fmt::Display for LongestLag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (lag_ms, at_s) = (self.lag.as_millis(), self.at.as_secs_f64());
        write!(f, "tasks of this program ran up to {lag_ms} ms late, at {at_s:.3} (Unix time)")
    }
}

/// Measures the scheduling delay from its start until it is dropped.
pub struct LagWatch {
    longest: Arc<Mutex<LongestLag>>,
    task: JoinHandle<()>,
}

impl LagWatch {
    /// Starts measuring the runtime of clients, relays and servers.
    pub fn start() -> LagWatch {
        let longest = Arc::<Mutex<LongestLag>>::default();
        let task = crate::runtime().spawn(watch(longest.clone()));
        LagWatch { longest, task }
    }

    /// Returns the longest delay so far.
    pub fn longest(&self) -> LongestLag {
        *self.longest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for LagWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn watch(longest: Arc<Mutex<LongestLag>>) {
    loop {
        let due = Instant::now() + INTERVAL;
        sleep(INTERVAL).await;
        let lag = Instant::now().saturating_duration_since(due);
        let mut longest = longest.lock().unwrap_or_else(PoisonError::into_inner);
        if lag > longest.lag {
            let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            *longest = LongestLag { lag, at };
        }
    }
}
