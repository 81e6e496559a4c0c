//! Tests of the framing of messages.

use super::*;

#[test]
fn messages_are_framed_wherever_the_bytes_are_split() {
    let chunks = "3\r\nabc\r\n11;a=b0\r\n0123456789abcdefg\r\n0\r\nX: 0\r\n\r\n";
    let text = format!(
        "GET /a HTTP/1.1\r\nX: 1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc\
         POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}GET /d HTTP/1.1\r\n\r\n"
    );
    let text = text.as_bytes();
    for cut in 1..text.len() {
        let mut messages = MessageFramer::default();
        let mut seen = Vec::new();
        for piece in [&text[..cut], &text[cut..]] {
            messages.feed(piece, |part| {
                seen.push(match part {
                    MessagePart::FirstByte => "first".to_owned(),
                    MessagePart::Head(head) => head.lines().next().unwrap_or_default().to_owned(),
                    MessagePart::LastByte => "last".to_owned(),
                });
            });
        }
        let expected = ["/a", "/b", "/c", "/d"].map(|path| {
            let method = if matches!(path, "/a" | "/d") { "GET" } else { "POST" };
            ["first".to_owned(), format!("{method} {path} HTTP/1.1"), "last".to_owned()]
        });
        assert_eq!(seen, expected.concat(), "cut at {cut}");
        assert!(!messages.is_inside_message());
    }
}

#[test]
fn response_without_a_length_ends_with_its_connection() {
    let text = b"HTTP/1.1 200 OK\r\n\r\nabc\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n";
    for cut in 1..text.len() {
        let mut messages = MessageFramer::default();
        let mut ends = 0;
        for piece in [&text[..cut], &text[cut..]] {
            messages.feed(piece, |part| ends += usize::from(part == MessagePart::LastByte));
        }
        assert!(messages.is_inside_message() && ends == 0, "cut at {cut}");
        assert!(messages.end() && !messages.is_inside_message(), "cut at {cut}");
        assert!(!messages.end(), "cut at {cut}");
    }
}
