//! The layer between a protocol library and a socket. It sees every byte that goes either way, so that what
//! hyper does not tell can be known: whether a request's last byte was written, how far along a
//! client is, and when all that was to be written has been.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{Platform, Tcp, timeout, yield_now};

/// What is told of a socket's traffic, and may hold writing up.
pub trait Observer {
    /// These bytes came in; none: the peer sends no more. An error ends the connection, and hyper
    /// never sees the bytes.
    fn on_read(&self, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }
    /// All that has come was read; what comes next is read as soon as it is there.
    fn on_wait(&self) {}
    /// How many of these bytes may be written now.
    fn allow(&self, bytes: &[u8], _cx: &mut Context<'_>) -> Poll<usize> {
        Poll::Ready(bytes.len())
    }
    /// Whether `allow` has to be asked at all.
    fn holds(&self) -> bool {
        false
    }
    /// These bytes were taken by the system.
    fn on_write(&self, _bytes: &[u8]) {}
    /// Nothing is left to be written.
    fn on_flush(&self) {}
    /// Whether hyper may end the sending side, or has the owner something to say yet.
    fn may_end(&self) -> bool {
        true
    }
}

/// A socket under observation. The socket is shared: its owner can look at it while hyper uses it.
pub struct Stream<S, O> {
    socket: Rc<S>,
    observer: Rc<O>,
}

impl<S, O> Stream<S, O> {
    /// Puts `observer` over `socket`.
    pub fn new(socket: Rc<S>, observer: Rc<O>) -> Stream<S, O> {
        Stream { socket, observer }
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
                    self.observer.on_wait();
                    return Poll::Pending;
                }
            }
            let before = buf.filled().len();
            match self.socket.try_read_buf(buf) {
                Ok(_) => return Poll::Ready(self.observer.on_read(&buf.filled()[before..])),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl<S: Tcp, O: Observer> AsyncWrite for Stream<S, O> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let allowed = ready!(self.observer.allow(buf, cx));
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match self.socket.try_write(&buf[..allowed]) {
                Ok(n) => {
                    self.observer.on_write(&buf[..n]);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.observer.holds() {
            let first = bufs.iter().find(|b| !b.is_empty()).map_or(&[][..], |b| &**b);
            return self.poll_write(cx, first);
        }
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match self.socket.try_write_vectored(bufs) {
                Ok(n) => {
                    let mut rest = n;
                    for b in bufs {
                        let of_this = rest.min(b.len());
                        self.observer.on_write(&b[..of_this]);
                        rest -= of_this;
                    }
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
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
        if self.observer.may_end() {
            self.socket.finish_writing();
        }
        Poll::Ready(Ok(()))
    }
}

impl Observer for () {}

/// Reads on for a while, `most` bytes and `time` at most, and throws away what comes, after ending
/// the sending side.
///
/// Danger: closing a socket on which unread bytes wait (the next request, the rest of one that was
/// answered early) resets the connection, and the reset takes away what the peer has not read yet.
pub async fn linger<P: Platform>(socket: &P::Tcp, time: Duration, most: usize) {
    socket.finish_writing();
    let drained = async {
        let mut buf = [0; 4096];
        let mut left = most;
        loop {
            match socket.try_read(&mut buf) {
                Ok(0) => return,
                Ok(n) if n >= left => return,
                Ok(n) => {
                    left -= n;
                    yield_now().await;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if std::future::poll_fn(|cx| socket.poll_read_ready(cx)).await.is_err() {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    };
    let _ = timeout::<P, _>(time, drained).await;
}
