//! Fakes of everything that a sidecar talks to (log servers, discovery, clients) on loopback sockets, and the account
//! of what became of every request.
//!
//! They are written from the description of the protocol alone and use none of the sidecar's code, so that they do
//! not share its misreadings. They are for tests and tools: ports are chosen by the system, waiting is for events
//! with deadlines far beyond what any machine needs, and random choices depend on a seed.

pub mod account;
pub mod clients;
pub mod faulty_calls;
pub mod lag_watch;
pub mod logserver;
pub mod program;
pub mod registry;
pub mod scripted;
pub mod second_answer;
pub mod wire;
pub mod world;

use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The time within which everything that a test waits for must happen.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The threads of the shared runtime.
const RUNTIME_THREADS: usize = 2;

/// Waits until `condition` holds. `what` describes it.
///
/// # Panics
///
/// When it does not hold within [`PATIENCE`].
pub fn until(what: &str, condition: impl FnMut() -> bool) {
    until_in(PATIENCE, what, condition);
}

/// The same with another timeout.
///
/// # Panics
///
/// When the condition does not hold within the timeout.
pub fn until_in(timeout: Duration, what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < deadline, "in vain: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The runtime of fakes that are started from a plain thread.
///
/// # Panics
///
/// When the system refuses its threads.
pub fn runtime() -> &'static tokio::runtime::Handle {
    static RUNTIME: OnceLock<tokio::runtime::Runtime> = OnceLock::new();
    let runtime = RUNTIME.get_or_init(|| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(RUNTIME_THREADS).enable_all().build().expect("threads for the fakes")
    });
    runtime.handle()
}
