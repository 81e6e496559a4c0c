//! A stream between a protocol library and a socket, which reports the traffic to an observer.
//!
//! The observer sees every byte in both directions, and so learns what hyper does not report: whether the
//! last byte of a request was written, how much of its request a client has sent, and when all pending
//! output has been written.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::Tcp;

/// The maximum number of bytes of a single read. hyper doubles its read buffer from 8 KiB on after each read that fills
/// it, and keeps the larger buffer for as long as the connection is open.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// Observes the traffic of a socket, and may delay its writes.
///
/// The default methods observe nothing and restrict nothing.
pub trait Observer {
    /// Called with the bytes of each read; `bytes` is empty at the end of the stream.
    ///
    /// # Errors
    ///
    /// An error ends the connection, and the protocol library does not receive the bytes.
    fn on_read(&self, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }
    /// Called when all input that has arrived was read and the protocol library waits for more.
    fn on_read_pending(&self) {}
    /// Returns how many of `bytes` may be written now. Nothing is written while this is pending.
    fn poll_write_allowance(&self, bytes: &[u8], _cx: &mut Context<'_>) -> Poll<usize> {
        Poll::Ready(bytes.len())
    }
    /// Returns whether [`poll_write_allowance`](Observer::poll_write_allowance) also applies to vectored
    /// writes, which are then done one buffer at a time.
    fn limits_writes(&self) -> bool {
        false
    }
    /// Returns whether the next write must fail if input has arrived or the peer has closed.
    fn requires_idle_socket(&self) -> bool {
        false
    }
    /// Called with the bytes that the system accepted for sending.
    fn on_write(&self, _bytes: &[u8]) {}
    /// Called when the protocol library has nothing left to write.
    fn on_flush(&self) {}
    /// Returns whether the protocol library may shut down the sending direction. `false` if the owner of
    /// the socket still has something to send.
    fn may_shutdown(&self) -> bool {
        true
    }
}

/// A socket whose traffic is reported to an [`Observer`].
///
/// The socket is shared, so that its owner can inspect it while the protocol library uses it.
pub struct Stream<S, O> {
    socket: Rc<S>,
    observer: Rc<O>,
}

impl<S, O> Stream<S, O> {
    /// Creates a stream that reports the traffic of `socket` to `observer`.
    pub fn new(socket: Rc<S>, observer: Rc<O>) -> Stream<S, O> {
        Stream { socket, observer }
    }
}

impl<S: Tcp, O: Observer> Stream<S, O> {
    /// Fails if the observer requires an idle socket and the socket is not idle. Queries the system, because the event
    /// loop may not have reported the latest input yet.
    fn check_idle(&self) -> io::Result<()> {
        if self.observer.requires_idle_socket() && !self.socket.is_idle() {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "input arrived before the write",
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
            match try_read_limited(&*self.socket, buf) {
                Ok(n) => {
                    let read = &buf.filled()[buf.filled().len() - n..];
                    return Poll::Ready(self.observer.on_read(read));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) if e.kind() == io::ErrorKind::OutOfMemory => return poll_again_later(cx),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

/// Appends at most [`MAX_READ_BYTES`] available bytes to `buf` and returns their number.
fn try_read_limited<S: Tcp>(socket: &S, buf: &mut ReadBuf<'_>) -> io::Result<usize> {
    let max = buf.remaining().min(MAX_READ_BYTES);
    let read = socket.try_read(buf.initialize_unfilled_to(max))?;
    buf.advance(read);
    Ok(read)
}

/// Returns `Pending` and schedules the task to be polled again in the next iteration of the event loop.
fn poll_again_later<T>(cx: &Context<'_>) -> Poll<T> {
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
            self.check_idle()?;
            match self.socket.try_write(&buf[..allowed]) {
                Ok(n) => {
                    self.observer.on_write(&buf[..n]);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) if e.kind() == io::ErrorKind::OutOfMemory => return poll_again_later(cx),
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
            self.check_idle()?;
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
                Err(e) if e.kind() == io::ErrorKind::OutOfMemory => return poll_again_later(cx),
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

/// An observer that ignores all traffic.
impl Observer for () {}
