//! The layer between a protocol library and a socket.
//!
//! It sees every byte in both directions, and so knows what hyper does not report: whether the last
//! byte of a request was written, how far a client has come with its request, and when everything that
//! was to be written has been written.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::Tcp;

/// Is notified of a socket's traffic, and may hold back writes.
///
/// Every method has a default that observes nothing.
pub trait Observer {
    /// These bytes were read; none at the end of the stream.
    ///
    /// # Errors
    ///
    /// An error ends the connection, and the protocol library never sees the bytes.
    fn on_read(&self, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }
    /// Everything that has arrived was read; the protocol library waits for more.
    fn on_read_pending(&self) {}
    /// How many of these bytes may be written now. While it is pending nothing is written.
    fn poll_write_allowance(&self, bytes: &[u8], _cx: &mut Context<'_>) -> Poll<usize> {
        Poll::Ready(bytes.len())
    }
    /// Whether [`poll_write_allowance`](Observer::poll_write_allowance) has to be asked before vectored
    /// writes.
    fn limits_writes(&self) -> bool {
        false
    }
    /// Whether nothing must have arrived, and the peer not have closed, when the next bytes are written.
    fn requires_idle_socket(&self) -> bool {
        false
    }
    /// These bytes were accepted by the system.
    fn on_write(&self, _bytes: &[u8]) {}
    /// The protocol library has nothing left to write.
    fn on_flush(&self) {}
    /// Whether the protocol library may shut down the sending direction; `false` if the owner of the
    /// socket still has something to send.
    fn may_shutdown(&self) -> bool {
        true
    }
}

/// A socket whose traffic is reported to an [`Observer`].
///
/// The socket is shared: its owner can inspect it while the protocol library uses it.
pub struct Stream<S, O> {
    socket: Rc<S>,
    observer: Rc<O>,
}

impl<S, O> Stream<S, O> {
    /// Reports the traffic of `socket` to `observer`.
    pub fn new(socket: Rc<S>, observer: Rc<O>) -> Stream<S, O> {
        Stream { socket, observer }
    }
}

impl<S: Tcp, O: Observer> Stream<S, O> {
    /// Asks the system itself, just before a write: what has arrived may not have been told yet.
    fn check_silence(&self) -> io::Result<()> {
        if self.observer.requires_idle_socket() && !self.socket.is_idle() {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "something arrived before anything was written",
            ));
        }
        Ok(())
    }
}

impl<S: Tcp, O: Observer> AsyncRead for Stream<S, O> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match self.socket.poll_read_ready(cx) {
                Poll::Ready(ready) => ready?,
                Poll::Pending => {
                    self.observer.on_read_pending();
                    return Poll::Pending;
                }
            }
            let before = buf.filled().len();
            match self.socket.try_read_buf(buf) {
                Ok(_) => return Poll::Ready(self.observer.on_read(&buf.filled()[before..])),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) if e.kind() == io::ErrorKind::OutOfMemory => return next_turn(cx),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

/// Has the task polled again in the event loop's next turn.
fn next_turn<T>(cx: &Context<'_>) -> Poll<T> {
    cx.waker().wake_by_ref();
    Poll::Pending
}

impl<S: Tcp, O: Observer> AsyncWrite for Stream<S, O> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let allowed = ready!(self.observer.poll_write_allowance(buf, cx));
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            self.check_silence()?;
            match self.socket.try_write(&buf[..allowed]) {
                Ok(n) => {
                    self.observer.on_write(&buf[..n]);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) if e.kind() == io::ErrorKind::OutOfMemory => return next_turn(cx),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.observer.limits_writes() {
            let first = bufs.iter().find(|b| !b.is_empty()).map_or(&[][..], |b| &**b);
            return self.poll_write(cx, first);
        }
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            self.check_silence()?;
            match self.socket.try_write_vectored(bufs) {
                Ok(n) => {
                    let mut remaining = n;
                    for buf in bufs {
                        let written = remaining.min(buf.len());
                        self.observer.on_write(&buf[..written]);
                        remaining -= written;
                    }
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) if e.kind() == io::ErrorKind::OutOfMemory => return next_turn(cx),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.observer.on_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.observer.may_shutdown() {
            self.socket.shutdown_write();
        }
        Poll::Ready(Ok(()))
    }
}

/// Observes nothing.
impl Observer for () {}
