//! The [`Runtime`] trait: clock, tasks and outgoing connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::{Listener, Tcp, Udp};

/// The system as network code sees it.
///
/// All tasks of a runtime run on one thread, so nothing here has to be [`Send`].
pub trait Runtime: 'static {
    /// A future that completes at a given time.
    type Sleep: Future<Output = ()>;
    /// The handle of a spawned task.
    type TaskHandle: TaskHandle;
    /// A TCP connection.
    type Tcp: Tcp;
    /// A listening TCP socket.
    type Listener: Listener<Tcp = Self::Tcp>;
    /// A bound UDP socket.
    type Udp: Udp;

    /// The current time of a monotonic clock.
    fn now() -> Instant;
    /// The time since the Unix epoch.
    fn unix_time() -> Duration;
    /// Completes at `deadline`, or at once if that has passed.
    fn sleep_until(deadline: Instant) -> Self::Sleep;
    /// Completes once the tasks that wait for sockets have been told of what arrived there by now, and
    /// have run.
    ///
    /// A timer may be seen before input that arrived earlier: whoever gives something up because its time
    /// is over awaits this first, and then looks again. [`expiry`](crate::expiry) does so.
    fn deliver_events() -> impl Future<Output = ()>;
    /// Runs a task on the current thread, beside the others. It keeps running when its handle is dropped.
    fn spawn(task: impl Future<Output = ()> + 'static) -> Self::TaskHandle;
    /// Opens a TCP connection.
    ///
    /// The future fails with the system's error, such as [`io::ErrorKind::ConnectionRefused`].
    fn connect(to: SocketAddr) -> impl Future<Output = io::Result<Self::Tcp>>;

    /// Completes after `duration`.
    fn sleep(duration: Duration) -> Self::Sleep {
        Self::sleep_until(Self::now() + duration)
    }
    /// The time that has passed since `earlier`; zero if that lies in the future.
    fn elapsed_since(earlier: Instant) -> Duration {
        Self::now().saturating_duration_since(earlier)
    }
}

/// The handle of a spawned task.
pub trait TaskHandle: 'static {
    /// Cancels the task, at the latest when it is polled next. Everything it owns is dropped.
    fn abort(&self);
}
