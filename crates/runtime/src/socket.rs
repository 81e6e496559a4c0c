//! Traits for the sockets of a [`Runtime`](crate::Runtime).

use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::task::{Context, Poll};

use tokio::io::ReadBuf;

/// A TCP connection.
///
/// Reads and writes never block: an operation that cannot be done now fails with [`io::ErrorKind::WouldBlock`], and
/// one for which the system lacks buffers or memory fails with [`io::ErrorKind::OutOfMemory`]. Both have no effect and
/// can be retried later. An operation that a signal interrupts is retried internally and never fails with
/// [`io::ErrorKind::Interrupted`].
pub trait Tcp: 'static {
    /// Waits until the socket is readable: it has bytes, the end of the stream or an error.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Waits until the socket is writable.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Appends available bytes to `buf` and returns their number, or 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`], or the system's error.
    fn try_read_buf(&self, buf: &mut ReadBuf<'_>) -> io::Result<usize>;
    /// Reads available bytes into `buf` and returns their number, or 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`], or the system's error.
    fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        self.try_read_buf(&mut ReadBuf::new(buf))
    }
    /// Writes as many bytes as the send buffer has space for and returns their number.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`], or the system's error.
    fn try_write(&self, buf: &[u8]) -> io::Result<usize>;
    /// Like [`try_write`](Tcp::try_write), but writes from several buffers.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`], or the system's error.
    fn try_write_vectored(&self, bufs: &[IoSlice<'_>]) -> io::Result<usize>;
    /// Sets `TCP_NODELAY`, so that small writes are sent at once.
    ///
    /// # Errors
    ///
    /// The system's error, which means that the connection is no longer usable.
    fn set_nodelay(&self) -> io::Result<()>;
    /// Shuts down the sending direction. Has no effect if the connection is already closed.
    fn shutdown_write(&self);
    /// Configures the socket so that closing it resets the connection.
    fn reset_on_close(&self);
    /// Returns whether the connection is open and has nothing to read: no bytes, no end of the stream, no error.
    fn is_idle(&self) -> bool;
    /// Returns whether unread bytes have arrived. Queries the system rather than the readiness of the event loop.
    fn has_unread(&self) -> bool;
    /// Returns the number of unread bytes that have arrived, or `None` if the system does not tell it.
    fn unread_bytes(&self) -> Option<u64>;
    /// Returns whether the peer is known to send nothing more, even if some of its bytes are still unread.
    fn peer_closed(&self) -> bool;
}

/// A listening TCP socket.
pub trait Listener: 'static {
    /// The type of accepted connections.
    type Tcp;
    /// Accepts the next connection and returns it with the peer's address. Cancel safe: dropping the future loses no
    /// connection.
    fn accept(&self) -> impl Future<Output = io::Result<(Self::Tcp, SocketAddr)>>;
    /// Accepts a connection from the backlog. Queries the system rather than the readiness of the event loop.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if the backlog is empty, or the system's error.
    fn try_accept(&self) -> io::Result<Self::Tcp>;
    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// The system's error.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// A bound UDP socket.
pub trait Udp: 'static {
    /// Receives a datagram and returns its length and sender. Bytes that do not fit into `buf` are discarded.
    fn recv_from(&self, buf: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
    /// Sends a datagram and returns its length. The datagram may be dropped without an error.
    ///
    /// # Errors
    ///
    /// The system's error.
    fn try_send_to(&self, data: &[u8], to: SocketAddr) -> io::Result<usize>;
}
