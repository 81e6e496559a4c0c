//! A trait for the clock, tasks and sockets that network code uses, with an implementation for tokio.
//!
//! Code that is generic over [`Runtime`] runs unchanged on the real system ([`TokioRuntime`]) and on a
//! simulated one with its own clock and network. The implementation is selected at compile time, so it
//! adds no overhead at run time. Both use [`Instant`](std::time::Instant)s and
//! [`Duration`](std::time::Duration)s; a simulated clock adds virtual time to a real instant that is
//! read once at its start.

mod lingering_close;
mod process_memory;
mod runtime;
pub mod signals;
mod socket;
mod stream;
mod timeout;
mod tokio_runtime;

pub use lingering_close::lingering_close;
pub use process_memory::{ProcessMemory, UnknownMemory};
pub use runtime::{Runtime, TaskHandle};
pub use socket::{Listener, Tcp, Udp};
pub use stream::{Observer, Stream};
pub use timeout::{Elapsed, expiry, timeout, timeout_at};
pub use tokio_runtime::TokioRuntime;
