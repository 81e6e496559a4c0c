//! The clock, tasks and sockets that network code needs, behind one trait.
//!
//! Code that is generic over [`Runtime`] runs unchanged on the real system ([`TokioRuntime`]) and on a
//! simulated one with a clock and a network of its own. The choice is made at compile time, so the
//! real program pays nothing for it. Times are [`Instant`](std::time::Instant)s and
//! [`Duration`](std::time::Duration)s in both; a simulated clock counts from one real instant that was
//! read once.

mod lingering_close;
mod runtime;
pub mod signals;
mod socket;
mod stream;
mod timeout;
mod tokio_runtime;

pub use lingering_close::lingering_close;
pub use runtime::{Runtime, TaskHandle};
pub use socket::{Listener, Tcp, Udp};
pub use stream::{Observer, Stream};
pub use timeout::{Elapsed, expiry, timeout, timeout_at};
pub use tokio_runtime::TokioRuntime;
