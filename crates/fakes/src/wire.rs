//! Just enough HTTP/1.1 to stand in for clients and servers (RFC 9112): messages with a length or in
//! chunks.

use std::io::{self, BufRead};

use tokio::io::{AsyncRead, AsyncReadExt};

/// The longest head, and the longest body, that a stand-in takes in.
const LONGEST: usize = 1 << 20;

/// One message's head and body, from a blocking socket. None: the connection ended, or was silent
/// for too long.
pub fn message(from: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    loop {
        let before = head.len();
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
        if head[before..].trim().is_empty() {
            break;
        }
    }
    let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// A header's value.
pub fn header(head: &str, name: &str) -> Option<String> {
    let pairs = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let value = pairs.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next();
    value.map(str::to_owned)
}

/// One message: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Head, with the first line.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// The status, if this is an answer.
    pub fn status(&self) -> Option<u16> {
        self.head.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }

    /// The path of a request, without its query.
    pub fn path(&self) -> &str {
        let target = self.head.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// A parameter of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.head.split(' ').nth(1)?.split_once('?')?.1;
        query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|p| p.1)
    }

    /// Whether the sender keeps the connection.
    pub fn keeps(&self) -> bool {
        !self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// The messages that come on a connection.
pub struct Reader<R> {
    from: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Reads messages from `from`.
    pub fn new(from: R) -> Reader<R> {
        Reader { from, buffer: Vec::new() }
    }

    /// Whether part of a message has come.
    pub fn begun(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The connection itself.
    pub fn get_ref(&self) -> &R {
        &self.from
    }

    /// The connection itself, to write on.
    pub fn get_mut(&mut self) -> &mut R {
        &mut self.from
    }

    /// The next message; none if the connection ended between two. May be dropped and called
    /// again: nothing that came is lost.
    ///
    /// # Errors
    ///
    /// When the connection breaks, ends within a message, or sends what is no message.
    pub async fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = parse(&self.buffer)? {
                self.buffer.drain(..length);
                return Ok(Some(message));
            }
            if self.from.read_buf(&mut self.buffer).await? == 0 {
                let begun = self.begun();
                return if begun { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(None) };
            }
        }
    }
}

fn parse(buffer: &[u8]) -> io::Result<Option<(Message, usize)>> {
    let bad = || io::Error::from(io::ErrorKind::InvalidData);
    let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) else {
        return if buffer.len() > LONGEST { Err(bad()) } else { Ok(None) };
    };
    let head = std::str::from_utf8(&buffer[..end]).map_err(|_| bad())?;
    if header(head, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        let Some((body, length)) = unchunked(&buffer[end..])? else { return Ok(None) };
        return Ok(Some((Message { head: head.to_owned(), body }, end + length)));
    }
    let length = match header(head, "content-length") {
        Some(text) => text.parse::<usize>().ok().filter(|n| *n <= LONGEST).ok_or_else(bad)?,
        None => 0,
    };
    let Some(body) = buffer.get(end..end + length) else { return Ok(None) };
    Ok(Some((Message { head: head.to_owned(), body: body.to_vec() }, end + length)))
}

/// A body in chunks without trailers (RFC 9112, section 7.1), and how many bytes it took; none: more of
/// it is to come.
fn unchunked(mut bytes: &[u8]) -> io::Result<Option<(Vec<u8>, usize)>> {
    let bad = || io::Error::from(io::ErrorKind::InvalidData);
    let all = bytes.len();
    let mut body = Vec::new();
    loop {
        let Some(line) = bytes.windows(2).position(|w| w == b"\r\n") else {
            return if bytes.len() > 32 { Err(bad()) } else { Ok(None) };
        };
        let size = std::str::from_utf8(&bytes[..line]).map_err(|_| bad())?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| bad())?;
        if size > LONGEST || body.len() + size > LONGEST {
            return Err(bad());
        }
        bytes = &bytes[line + 2..];
        let Some((data, end)) = bytes.split_at_checked(size).filter(|(_, end)| end.len() >= 2)
        else {
            return Ok(None);
        };
        if !end.starts_with(b"\r\n") {
            return Err(bad());
        }
        body.extend_from_slice(data);
        bytes = &end[2..];
        if size == 0 {
            return Ok(Some((body, all - bytes.len())));
        }
    }
}

/// A body in chunks of `size` bytes, as it is written.
pub fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut text = Vec::with_capacity(body.len() + body.len() / size.max(1) * 12 + 16);
    for piece in body.chunks(size.max(1)) {
        text.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        text.extend_from_slice(piece);
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"0\r\n\r\n");
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn messages_come_whole_whatever_the_pieces() {
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
                let first = reader.next().await.expect("sound").expect("there");
                assert_eq!((first.path(), first.query("x")), ("/a/1", Some("2")));
                assert_eq!(first.body, b"abc");
                assert!(reader.next().await.expect("sound").expect("there").body.is_empty());
                assert!(reader.next().await.expect("a clean end").is_none());
            };
            tokio::join!(sending, reading);
        }
    }

    #[tokio::test]
    async fn chunks_come_whole_and_their_message_ends_with_the_last() {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let body: Vec<u8> = (0..50u8).collect();
        let text = [&head[..], &chunked(&body, 7), b"HTTP/1.1 204 No\r\n\r\n"].concat();
        let mut reader = Reader::new(&text[..]);
        assert_eq!(reader.next().await.expect("sound").expect("there").body, body);
        assert_eq!(reader.next().await.expect("sound").expect("there").status(), Some(204));
        for cut in [head.len() + 1, head.len() + 9, text.len() - 22] {
            assert!(Reader::new(&text[..cut]).next().await.is_err(), "cut at {cut}");
        }
        let bad = [&head[..], b"zz\r\n"].concat();
        assert!(Reader::new(&bad[..]).next().await.is_err());
    }

    #[tokio::test]
    async fn an_end_within_a_message_is_an_error() {
        let mut reader = Reader::new(&b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc"[..]);
        assert!(reader.next().await.is_err());
        let mut reader = Reader::new(&b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabc"[..]);
        assert!(reader.next().await.is_err());
    }
}
