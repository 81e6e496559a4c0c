//! Tests of reading and encoding HTTP messages.

use super::*;

#[tokio::test]
async fn messages_are_read_whatever_their_segments() {
    let text =
        b"POST /a/1?x=2 HTTP/1.1\r\nA: b\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n";
    for piece in 1..text.len() {
        let (mut far, near) = tokio::io::duplex(4096);
        let mut reader = Reader::new(near);
        let sending = async {
            for part in text.chunks(piece) {
                tokio::io::AsyncWriteExt::write_all(&mut far, part).await.expect("room");
                tokio::task::yield_now().await;
            }
            drop(far);
        };
        let reading = async {
            let first = reader.next().await.expect("valid HTTP").expect("a message");
            assert_eq!((first.path(), first.query("x")), ("/a/1", Some("2")));
            assert_eq!(first.body, b"abc");
            assert!(reader.next().await.expect("valid HTTP").expect("a message").body.is_empty());
            assert!(reader.next().await.expect("a clean end").is_none());
        };
        tokio::join!(sending, reading);
    }
}

#[tokio::test]
async fn chunked_message_ends_with_its_last_chunk() {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let body: Vec<u8> = (0..50u8).collect();
    let text = [&head[..], &encode_chunked(&body, 7), b"HTTP/1.1 204 No\r\n\r\n"].concat();
    let mut reader = Reader::new(&text[..]);
    assert_eq!(reader.next().await.expect("valid HTTP").expect("a message").body, body);
    assert_eq!(reader.next().await.expect("valid HTTP").expect("a message").status(), Some(204));
    for cut in [head.len() + 1, head.len() + 9, text.len() - 22] {
        assert!(Reader::new(&text[..cut]).next().await.is_err(), "cut at {cut}");
    }
    let bad = [&head[..], b"zz\r\n"].concat();
    assert!(Reader::new(&bad[..]).next().await.is_err());
}

#[tokio::test]
async fn end_within_a_message_is_an_error() {
    let mut reader = Reader::new(&b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc"[..]);
    assert!(reader.next().await.is_err());
    let mut reader = Reader::new(&b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabc"[..]);
    assert!(reader.next().await.is_err());
}
