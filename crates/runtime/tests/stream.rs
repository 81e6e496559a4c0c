//! Writes on sockets on which something has arrived that the protocol library has not seen.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Observer, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// How long something that is not to arrive is waited for.
const SILENCE: Duration = Duration::from_millis(100);

struct Silence {
    is_required: bool,
}

impl Observer for Silence {
    fn requires_idle_socket(&self) -> bool {
        self.is_required
    }
}

/// Writes to a socket whose peer has sent something that nobody has read. Returns the result, and what the peer got.
async fn write_after_unread_bytes(is_required: bool) -> (io::Result<()>, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let at = listener.local_addr().expect("an address");
    let socket = Rc::new(TcpStream::connect(at).await.expect("connected"));
    let (mut peer, _) = listener.accept().await.expect("accepted");
    peer.write_all(b"early").await.expect("sent");
    socket.readable().await.expect("it arrives");
    let mut stream = Stream::new(socket, Rc::new(Silence { is_required }));
    let written = stream.write_all(b"request").await;
    let mut received = vec![0; 16];
    let read = timeout(SILENCE, peer.read(&mut received)).await;
    received.truncate(read.map_or(0, |read| read.expect("the connection is open")));
    (written, received)
}

#[tokio::test]
async fn request_is_not_written_once_something_has_arrived() {
    let (written, received) = write_after_unread_bytes(true).await;
    assert_eq!(written.expect_err("refused").kind(), io::ErrorKind::InvalidData);
    assert_eq!(received, b"");
}

#[tokio::test]
async fn rest_of_a_request_is_written_whatever_has_arrived() {
    let (written, received) = write_after_unread_bytes(false).await;
    written.expect("written");
    assert_eq!(received, b"request");
}
