//! Closes a connection without a reset, which would discard bytes that the peer has not read yet.

use std::io;
use std::task::Poll;
use std::time::Duration;

use crate::{Runtime, Tcp, timeout};

/// The size of the buffer that input is discarded into, in bytes.
const DISCARD_BUFFER_SIZE: usize = 4096;

/// Shuts down the sending direction, then reads and discards input until the peer closes, `time_limit` has
/// passed or `byte_limit` bytes have been read. The caller closes the socket afterwards.
///
/// Closing a socket with unread input (the next request, or the rest of a request that was answered
/// early) resets the connection, and the reset discards what the peer has not read yet.
pub async fn lingering_close<R: Runtime>(socket: &R::Tcp, time_limit: Duration, byte_limit: usize) {
    socket.shutdown_write();
    let _ = timeout::<R, _>(time_limit, discard_input(socket, byte_limit)).await;
}

async fn discard_input<T: Tcp>(socket: &T, byte_limit: usize) {
    // On the heap: in the future itself, every connection would take this space from its start.
    let mut buf = vec![0; DISCARD_BUFFER_SIZE];
    let mut remaining = byte_limit;
    loop {
        match socket.try_read(&mut buf) {
            Ok(0) => return,
            Ok(n) if n >= remaining => return,
            Ok(n) => {
                remaining -= n;
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
}

/// Yields to the other ready tasks once.
async fn yield_now() {
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
