//! Fakes of the peers of a sidecar (log servers, discovery, clients) on loopback sockets, and an account of every
//! request.
//!
//! They implement the specification of the protocol without any code of the sidecar, so that they do not share its
//! misinterpretations. They are for tests and tools: the system chooses the ports, waits are for events with
//! generous deadlines, and random choices depend on a seed.

pub mod account;
pub mod body_plan;
pub mod clients;
pub mod contents;
pub mod faulty_calls;
pub mod framing;
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

/// The default timeout for anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The number of threads of the shared runtime.
const RUNTIME_THREADS: usize = 2;

/// Waits until `condition` holds. `what` describes the condition.
///
/// # Panics
///
/// When it does not hold within [`PATIENCE`].
pub fn until(what: &str, condition: impl FnMut() -> bool) {
    until_in(PATIENCE, what, condition);
}

/// Like [`until`], with another timeout.
///
/// # Panics
///
/// When the condition does not hold within the timeout.
pub fn until_in(timeout: Duration, what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the shared runtime of fakes that are started outside of a tokio runtime.
///
/// # Panics
///
/// When its threads cannot be started.
pub fn runtime() -> &'static tokio::runtime::Handle {
    static RUNTIME: OnceLock<tokio::runtime::Runtime> = OnceLock::new();
    let runtime = RUNTIME.get_or_init(|| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(RUNTIME_THREADS).enable_all().build().expect("threads for the fakes")
    });
    runtime.handle()
}
