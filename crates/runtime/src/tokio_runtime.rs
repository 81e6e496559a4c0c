//! The implementation of [`Runtime`] with tokio.

use std::future::Future;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::io::Errno;
use socket2::SockRef;
use tokio::io::{Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::AbortHandle;

use crate::{Listener, Runtime, TaskHandle, Tcp, Udp};

/// The number of iterations of the event loop after which input has reached the task that waits for it: the head and
/// body of a response pass from the task of the connection to the task that waits for the response.
const DELIVERY_ITERATIONS: usize = 3;

/// The real system, accessed through tokio. Tasks are spawned on the current [`tokio::task::LocalSet`].
pub enum TokioRuntime {}

impl Runtime for TokioRuntime {
    type Sleep = tokio::time::Sleep;
    type TaskHandle = AbortHandle;
    type Tcp = TcpStream;
    type Listener = TcpListener;
    type Udp = UdpSocket;

    fn now() -> Instant {
        Instant::now()
    }

    fn unix_time() -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }

    fn sleep_until(deadline: Instant) -> tokio::time::Sleep {
        tokio::time::sleep_until(deadline.into())
    }

    async fn deliver_events() {
        for _ in 0..DELIVERY_ITERATIONS {
            // Resumes after the event loop has polled the sockets.
            tokio::task::yield_now().await;
        }
    }

    fn spawn(task: impl Future<Output = ()> + 'static) -> AbortHandle {
        tokio::task::spawn_local(task).abort_handle()
    }

    async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
        loop {
            match TcpStream::connect(to).await {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                connected => return connected,
            }
        }
    }
}

impl TaskHandle for AbortHandle {
    fn abort(&self) {
        AbortHandle::abort(self);
    }
}

impl Tcp for TcpStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        TcpStream::poll_read_ready(self, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        TcpStream::poll_write_ready(self, cx)
    }

    fn try_read_buf(&self, mut buf: &mut ReadBuf<'_>) -> io::Result<usize> {
        retry_interrupted(|| TcpStream::try_read_buf(self, &mut buf)).map_err(map_no_buffers)
    }

    fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
        retry_interrupted(|| TcpStream::try_write(self, buf)).map_err(map_no_buffers)
    }

    fn try_write_vectored(&self, bufs: &[IoSlice<'_>]) -> io::Result<usize> {
        retry_interrupted(|| TcpStream::try_write_vectored(self, bufs)).map_err(map_no_buffers)
    }

    fn set_nodelay(&self) -> io::Result<()> {
        TcpStream::set_nodelay(self, true)
    }

    fn shutdown_write(&self) {
        let _ = SockRef::from(self).shutdown(std::net::Shutdown::Write);
    }

    fn reset_on_close(&self) {
        let _ = SockRef::from(self).set_linger(Some(Duration::ZERO));
    }

    fn is_idle(&self) -> bool {
        matches!(peek(self), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    fn has_unread(&self) -> bool {
        peek(self).is_ok_and(|bytes| bytes > 0)
    }

    fn unread_bytes(&self) -> Option<u64> {
        rustix::io::ioctl_fionread(self).ok()
    }

    fn peer_closed(&self) -> bool {
        let ready = pin!(self.ready(Interest::READABLE));
        let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
        if matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed()) {
            return true;
        }
        // Peeking also finds an end of the stream that the event loop has not reported yet, unless unread bytes
        // precede it.
        match peek(self) {
            Ok(n) => n == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// Peeks at the receive buffer. Returns 1 if it holds any bytes, and 0 at the end of the stream.
fn peek(socket: &TcpStream) -> io::Result<usize> {
    let mut byte = [MaybeUninit::uninit()];
    retry_interrupted(|| SockRef::from(socket).peek(&mut byte))
}

/// Maps ENOBUFS to [`ErrorKind::OutOfMemory`], so that a lack of buffers and a lack of memory have the same kind.
fn map_no_buffers(error: io::Error) -> io::Error {
    let is_without_buffers = error.raw_os_error() == Some(Errno::NOBUFS.raw_os_error());
    if is_without_buffers { ErrorKind::OutOfMemory.into() } else { error }
}

/// Repeats a system call for as long as it fails with EINTR. An interrupted call has had no effect.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

impl Listener for TcpListener {
    type Tcp = TcpStream;

    async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        loop {
            match TcpListener::accept(self).await {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                accepted => return accepted,
            }
        }
    }

    fn try_accept(&self) -> io::Result<TcpStream> {
        let (socket, _) = retry_interrupted(|| SockRef::from(self).accept())?;
        socket.set_nonblocking(true)?;
        TcpStream::from_std(socket.into())
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        TcpListener::local_addr(self)
    }
}

impl Udp for UdpSocket {
    async fn recv_from(&self, buf: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        loop {
            match UdpSocket::recv_from(self, buf).await {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                received => return received,
            }
        }
    }

    fn try_send_to(&self, data: &[u8], to: SocketAddr) -> io::Result<usize> {
        retry_interrupted(|| UdpSocket::try_send_to(self, data, to))
    }
}
