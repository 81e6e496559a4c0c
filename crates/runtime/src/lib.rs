//! What network code takes from the system: a clock, tasks and sockets, behind one trait.
//!
//! Code that is generic over [`Platform`] runs unchanged on the real system ([`Tokio`]) and on a
//! simulated one with a clock and a network of its own. The choice is made at compile time, so the
//! real program pays nothing for it. Times are [`Instant`]s and [`Duration`]s in both; a simulated
//! clock counts from an instant that it took once.

mod stream;
mod system;

use std::fmt;
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::ReadBuf;

pub use stream::{Observer, Stream, linger};
pub use system::Tokio;

/// The system as network code sees it.
pub trait Platform: 'static {
    /// Done at a given time.
    type Sleep: Future<Output = ()>;
    /// A task under way.
    type Task: Task;
    /// A connection.
    type Tcp: Tcp;
    /// Where connections come in.
    type Listener: Listener<Tcp = Self::Tcp>;
    /// Where datagrams come in.
    type Udp: Udp;

    /// The time, which never steps back.
    fn now() -> Instant;
    /// The time of day, since 1970.
    fn unix() -> Duration;
    /// Done at that time, or at once if it has passed.
    fn sleep_until(at: Instant) -> Self::Sleep;
    /// Runs a task on this thread beside the others. It goes on when its handle is dropped.
    fn spawn(task: impl Future<Output = ()> + 'static) -> Self::Task;
    /// Connects.
    fn connect(to: SocketAddr) -> impl Future<Output = io::Result<Self::Tcp>>;

    /// Done after that time.
    fn sleep(time: Duration) -> Self::Sleep {
        Self::sleep_until(Self::now() + time)
    }
    /// How long ago that was.
    fn since(then: Instant) -> Duration {
        Self::now().saturating_duration_since(then)
    }
}

/// A task under way.
pub trait Task: 'static {
    /// Ends it, at the latest when its turn comes; what it holds is dropped.
    fn abort(&self);
}

/// A connection of bytes. Sockets never block: what cannot be done now is
/// [`io::ErrorKind::WouldBlock`].
pub trait Tcp: 'static {
    /// Whether something can be read: bytes, the end or an error.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Whether something can be written.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads what is there, at the end of `buf`.
    ///
    /// # Errors
    ///
    /// As the system has it.
    fn try_read_buf(&self, buf: &mut ReadBuf<'_>) -> io::Result<usize>;
    /// Reads what is there.
    ///
    /// # Errors
    ///
    /// As the system has it.
    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        self.try_read_buf(&mut ReadBuf::new(buf))
    }
    /// Writes what there is room for.
    ///
    /// # Errors
    ///
    /// As the system has it.
    fn try_write(&self, buf: &[u8]) -> io::Result<usize>;
    /// The same from several places.
    ///
    /// # Errors
    ///
    /// As the system has it.
    fn try_write_vectored(&self, bufs: &[IoSlice<'_>]) -> io::Result<usize>;
    /// Small writes leave at once.
    ///
    /// # Errors
    ///
    /// When the connection is of no use any more.
    fn set_nodelay(&self) -> io::Result<()>;
    /// Ends the sending side. A peer that is gone already needs no telling.
    fn finish_writing(&self);
    /// From now on closing it resets it.
    fn reset_on_close(&self);
    /// Whether it is silent: not ended, not reset, and nothing to be read.
    fn at_rest(&self) -> bool;
    /// Whether the peer is known to send no more, whatever of it waits to be read first.
    fn ended(&self) -> bool;
}

/// Where connections come in.
pub trait Listener: 'static {
    /// What comes in.
    type Tcp;
    /// The next connection. May be dropped and called again: none is lost.
    fn accept(&self) -> impl Future<Output = io::Result<(Self::Tcp, SocketAddr)>>;
    /// Where it listens.
    ///
    /// # Errors
    ///
    /// As the system has it.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// Where datagrams come in.
pub trait Udp: 'static {
    /// The next datagram; what does not fit is cut off.
    fn recv_from(&self, buf: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
    /// Sends one, or drops it.
    ///
    /// # Errors
    ///
    /// As the system has it.
    fn try_send_to(&self, data: &[u8], to: SocketAddr) -> io::Result<usize>;
}

/// A time that has run out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the time has run out")
    }
}

impl std::error::Error for Elapsed {}

/// What `future` comes to by then.
///
/// # Errors
///
/// When it has come to nothing by then.
pub async fn timeout_at<P: Platform, F: Future>(
    at: Instant,
    future: F,
) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        value = future => Ok(value),
        () = P::sleep_until(at) => Err(Elapsed),
    }
}

/// What `future` comes to within that time.
///
/// # Errors
///
/// When it has come to nothing by then.
pub async fn timeout<P: Platform, F: Future>(
    time: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    timeout_at::<P, F>(P::now() + time, future).await
}

/// Gives the other tasks their turn.
pub async fn yield_now() {
    let mut yielded = false;
    std::future::poll_fn(|cx| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
