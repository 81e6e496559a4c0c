//! Time limits for futures.

use std::fmt;
use std::future::Future;
use std::time::{Duration, Instant};

use crate::Runtime;

/// The error of a future that did not complete within its time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the time has run out")
    }
}

impl std::error::Error for Elapsed {}

/// Completes at `deadline`, after everything that had arrived by then was delivered.
///
/// To be polled behind what it limits: that has then seen whatever came in time, also where the process
/// was held up or the event loop's turn was long.
pub async fn expiry<R: Runtime>(deadline: Instant) {
    R::sleep_until(deadline).await;
    R::deliver_events().await;
}

/// Runs `future` until `deadline` at the latest. What had arrived by then counts.
///
/// # Errors
///
/// [`Elapsed`] if it has not completed by then.
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
/// [`Elapsed`] if it has not completed within that time.
pub async fn timeout<R: Runtime, F: Future>(
    duration: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    timeout_at::<R, F>(R::now() + duration, future).await
}
