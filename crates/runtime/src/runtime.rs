//! The [`Runtime`] trait, which provides the clock, tasks and outgoing connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::{Listener, Tcp, Udp};

/// The system interface of network code.
///
/// All tasks of a runtime run on one thread, so futures and sockets need not be [`Send`].
pub trait Runtime: 'static {
    /// A future that completes at a deadline.
    type Sleep: Future<Output = ()>;
    /// The handle of a spawned task.
    type TaskHandle: TaskHandle;
    /// A TCP connection.
    type Tcp: Tcp;
    /// A listening TCP socket.
    type Listener: Listener<Tcp = Self::Tcp>;
    /// A bound UDP socket.
    type Udp: Udp;

    /// Returns the current time of a monotonic clock.
    fn now() -> Instant;
    /// Returns the time since the Unix epoch.
    fn unix_time() -> Duration;
    /// Returns a future that completes at `deadline`, or at once if that has passed.
    fn sleep_until(deadline: Instant) -> Self::Sleep;
    /// Completes after the tasks that wait for sockets have been woken for all input that has arrived by
    /// now, and have run.
    ///
    /// A timer may fire before the event loop reports input that arrived earlier. Code that fails an
    /// operation at its deadline awaits this first and then checks for a result once more, as
    /// [`expiry`](crate::expiry) does.
    fn deliver_events() -> impl Future<Output = ()>;
    /// Spawns a task on the current thread. It keeps running when its handle is dropped.
    fn spawn(task: impl Future<Output = ()> + 'static) -> Self::TaskHandle;
    /// Opens a TCP connection.
    ///
    /// The future resolves to the system's error on failure, such as [`io::ErrorKind::ConnectionRefused`].
    fn connect(to: SocketAddr) -> impl Future<Output = io::Result<Self::Tcp>>;

    /// Returns a future that completes after `duration`.
    fn sleep(duration: Duration) -> Self::Sleep {
        Self::sleep_until(Self::now() + duration)
    }
    /// Returns the time that has passed since `earlier`, or zero if `earlier` is in the future.
    fn elapsed_since(earlier: Instant) -> Duration {
        Self::now().saturating_duration_since(earlier)
    }
}

/// The handle of a spawned task.
pub trait TaskHandle: 'static {
    /// Cancels the task. Its future is dropped when it would be polled next, or earlier.
    fn abort(&self);
}
