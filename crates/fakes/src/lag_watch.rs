//! How late the tasks of the fakes' runtime are: what the machine itself adds to every time that clients, discovery,
//! relays and servers take. It excuses nothing, and stands beside findings.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How often a task looks at the clock.
const INTERVAL: Duration = Duration::from_millis(5);

/// The longest time by which a task was late, and when.
#[derive(Clone, Copy, Debug, Default)]
pub struct LongestLag {
    /// How late it was.
    pub lag: Duration,
    /// When it went on, since the Unix epoch.
    pub at: Duration,
}

impl fmt::Display for LongestLag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (lag_ms, at_s) = (self.lag.as_millis(), self.at.as_secs_f64());
        write!(f, "tasks of this program were up to {lag_ms} ms late, at {at_s:.3} (Unix time)")
    }
}

/// Watches from its start to its end.
pub struct LagWatch {
    longest: Arc<Mutex<LongestLag>>,
    task: JoinHandle<()>,
}

impl LagWatch {
    /// Starts watching the runtime of clients, relays and servers.
    pub fn start() -> LagWatch {
        let longest = Arc::<Mutex<LongestLag>>::default();
        let task = crate::runtime().spawn(watch(longest.clone()));
        LagWatch { longest, task }
    }

    /// The longest lag so far.
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
