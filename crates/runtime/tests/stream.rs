//! Tests of writes to a socket that has input which the protocol library has not read.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Observer, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// The time after which bytes that have not arrived count as not sent.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

struct IdleRequirement {
    is_required: bool,
}

impl Observer for IdleRequirement {
    fn requires_idle_socket(&self) -> bool {
        self.is_required
    }
}

/// Writes to a socket with unread input. Returns the result of the write, and the bytes that the peer received.
async fn write_after_unread_bytes(is_required: bool) -> (io::Result<()>, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let socket = Rc::new(TcpStream::connect(address).await.expect("connected"));
    let (mut peer, _) = listener.accept().await.expect("accepted");
    peer.write_all(b"early").await.expect("sent");
    socket.readable().await.expect("the early bytes arrive");
    let mut stream = Stream::new(socket, Rc::new(IdleRequirement { is_required }));
    let written = stream.write_all(b"request").await;
    let mut received = vec![0; 16];
    let read = timeout(READ_TIMEOUT, peer.read(&mut received)).await;
    received.truncate(read.map_or(0, |read| read.expect("the connection is open")));
    (written, received)
}

#[tokio::test]
async fn request_is_not_written_once_input_has_arrived() {
    let (written, received) = write_after_unread_bytes(true).await;
    assert_eq!(written.expect_err("refused").kind(), io::ErrorKind::InvalidData);
    assert_eq!(received, b"");
}

#[tokio::test]
async fn rest_of_a_request_is_written_even_if_input_has_arrived() {
    let (written, received) = write_after_unread_bytes(false).await;
    written.expect("written");
    assert_eq!(received, b"request");
}
