//! Timeouts for futures.

use std::fmt;
use std::future::Future;
use std::time::{Duration, Instant};

use crate::Runtime;

/// The error of a future that did not complete before its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("deadline has elapsed")
    }
}

impl std::error::Error for Elapsed {}

/// Completes at `deadline`, after all events that had arrived by then were delivered.
///
/// Must be polled after the future that it limits. That future then sees all input that arrived before the
/// deadline, even if the process was held up or an iteration of the event loop took long.
pub async fn expiry<R: Runtime>(deadline: Instant) {
    R::sleep_until(deadline).await;
    R::deliver_events().await;
}

/// Runs `future` until `deadline` at the latest. Input that had arrived by the deadline is still processed.
///
/// # Errors
///
/// [`Elapsed`] if the future has not completed by then.
pub async fn timeout_at<R: Runtime, F: Future>(
    deadline: Instant,
    future: F,
) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        value = future => Ok(value),
        () = expiry::<R>(deadline) => Err(Elapsed),
    }
}

/// Runs `future` for `duration` at most.
///
/// # Errors
///
/// [`Elapsed`] if the future has not completed within that time.
pub async fn timeout<R: Runtime, F: Future>(
    duration: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    timeout_at::<R, F>(R::now() + duration, future).await
}
