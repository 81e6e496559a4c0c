//! Stand-ins for all that a sidecar meets (log servers, discovery, clients) on loopback sockets,
//! and the account of what became of every request. Written from the protocol's description alone:
//! nothing here uses the sidecar's own code, so a misreading there is not shared here.
//!
//! For tests and tools. Ports are the system's choice; waiting is for events, with deadlines far
//! beyond what any machine needs; what is drawn is drawn from a seed.

pub mod account;
pub mod clients;
pub mod logserver;
pub mod program;
pub mod registry;
pub mod scripted;
pub mod wire;
pub mod world;

use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// What is waited for comes long before this, or the test has failed.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until `done` says so.
///
/// # Panics
///
/// When [`PATIENCE`] is over.
pub fn until(what: &str, done: impl FnMut() -> bool) {
    until_in(PATIENCE, what, done);
}

/// The same with a patience of its own.
///
/// # Panics
///
/// When `patience` is over.
pub fn until_in(patience: Duration, what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + patience;
    while !done() {
        assert!(Instant::now() < end, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The runtime on which stand-ins live that are started from a plain thread.
///
/// # Panics
///
/// When the system gives it no threads.
pub fn runtime() -> &'static tokio::runtime::Handle {
    static RUNTIME: OnceLock<tokio::runtime::Runtime> = OnceLock::new();
    let started = RUNTIME.get_or_init(|| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(2).enable_all().build().expect("threads for the stand-ins")
    });
    started.handle()
}
