//! Closing a connection without a reset that destroys bytes the peer has not read yet.

use std::io;
use std::task::Poll;
use std::time::Duration;

use crate::{Runtime, Tcp, timeout};

/// How much is read and discarded at once, in bytes.
const DISCARD_BUFFER: usize = 4096;

/// Shuts down the sending direction, then reads and discards what still arrives: for `time_limit` and
/// `byte_limit` bytes at most, or until the peer closes. The caller closes the socket afterwards.
///
/// Closing a socket on which unread bytes wait (the next request, the rest of one that was answered
/// early) resets the connection, and the reset discards what the peer has not read yet.
pub async fn lingering_close<R: Runtime>(socket: &R::Tcp, time_limit: Duration, byte_limit: usize) {
    socket.shutdown_write();
    let _ = timeout::<R, _>(time_limit, discard_input(socket, byte_limit)).await;
}

async fn discard_input<T: Tcp>(socket: &T, byte_limit: usize) {
    let mut buf = [0; DISCARD_BUFFER];
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

/// Lets the other tasks that are ready run before the current one goes on.
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
