//! The layer between hyper and a socket. It sees every byte that goes either way, so that what
//! hyper does not tell can be known: whether a request's last byte was written, how far along a
//! client is, and when all that was to be written has been.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is told of a socket's traffic, and may hold writing up.
pub trait Observer {
    /// These bytes came in; none: the peer sends no more. An error ends the connection, and hyper
    /// never sees the bytes.
    fn on_read(&self, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }
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
pub struct Stream<O> {
    socket: Rc<TcpStream>,
    observer: Rc<O>,
}

impl<O> Stream<O> {
    /// Puts `observer` over `socket`.
    pub fn new(socket: Rc<TcpStream>, observer: Rc<O>) -> Stream<O> {
        Stream { socket, observer }
    }
}

impl<O: Observer> AsyncRead for Stream<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            let before = buf.filled().len();
            match self.socket.try_read_buf(buf) {
                Ok(_) => return Poll::Ready(self.observer.on_read(&buf.filled()[before..])),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl<O: Observer> AsyncWrite for Stream<O> {
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
            finish_writing(&self.socket);
        }
        Poll::Ready(Ok(()))
    }
}

/// Ends the sending side; a peer that is gone already needs no telling.
pub fn finish_writing(socket: &TcpStream) {
    let _ = SockRef::from(socket).shutdown(std::net::Shutdown::Write);
}

/// Whether a connection at rest is still silent: not ended, not reset, nothing unasked on it.
pub fn at_rest(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(socket).peek(&mut byte),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
