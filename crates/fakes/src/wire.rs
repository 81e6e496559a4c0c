//! A minimal HTTP/1.1 implementation (RFC 9112) for fake clients and servers: messages with a Content-Length or
//! chunked.

use std::io::{self, BufRead, Read};

use tokio::io::{AsyncRead, AsyncReadExt};

#[cfg(test)]
mod tests;

/// The maximum length of a head, and of a body, in bytes.
const MAX_BYTES: usize = 1 << 20;
/// The maximum length in bytes of a chunked body that is read from a blocking socket.
const MAX_READ_BODY_BYTES: usize = 64 << 20;
/// The maximum length of a chunk size line, in bytes.
const MAX_CHUNK_SIZE_BYTES: usize = 32;

/// Reads the head and the body of one message from a blocking socket. Returns `None` if the connection ended or timed
/// out.
pub fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    loop {
        let line_start = head.len();
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
        if head[line_start..].trim().is_empty() {
            break;
        }
    }
    let is_chunked = header(&head, "transfer-encoding").is_some_and(|value| value == "chunked");
    let body = if is_chunked {
        read_chunks(reader)?
    } else {
        let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        body
    };
    Some((head, body))
}

/// Reads a chunked body without trailers. Returns `None` if it is invalid, ends early, or is too long.
fn read_chunks(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.by_ref().take(MAX_CHUNK_SIZE_BYTES as u64).read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.strip_suffix("\r\n")?.trim(), 16).ok()?;
        if body.len() + size > MAX_READ_BODY_BYTES {
            return None;
        }
        let begin = body.len();
        body.resize(begin + size, 0);
        reader.read_exact(&mut body[begin..]).ok()?;
        let mut end = [0; 2];
        reader.read_exact(&mut end).ok()?;
        if end != *b"\r\n" {
            return None;
        }
        if size == 0 {
            return Some(body);
        }
    }
}

/// Returns the value of a header in a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    let headers = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let mut matching = headers.filter(|(header, _)| header.eq_ignore_ascii_case(name));
    matching.next().map(|(_, value)| value.trim().to_owned())
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The start line and the headers.
    pub head: String,
    /// The body, decoded.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the status of a response.
    pub fn status(&self) -> Option<u16> {
        self.head.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }

    /// Returns the path of a request without its query.
    pub fn path(&self) -> &str {
        let target = self.head.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter in the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.head.split(' ').nth(1)?.split_once('?')?.1;
        query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|p| p.1)
    }

    /// Returns whether the sender keeps the connection open after this message.
    pub fn keeps_connection(&self) -> bool {
        !self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Reads the messages of a connection.
pub struct Reader<R> {
    connection: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Creates a reader of this connection.
    pub fn new(connection: R) -> Reader<R> {
        Reader { connection, buffer: Vec::new() }
    }

    /// Returns whether a part of the next message has arrived.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the connection.
    pub fn get_ref(&self) -> &R {
        &self.connection
    }

    /// Returns the connection for writing.
    pub fn get_mut(&mut self) -> &mut R {
        &mut self.connection
    }

    /// Reads the next message. Returns `None` if the connection ended between two messages. Cancel safe.
    ///
    /// # Errors
    ///
    /// When the connection breaks, ends within a message, or carries an invalid message.
    pub async fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = parse(&self.buffer)? {
                self.buffer.drain(..length);
                return Ok(Some(message));
            }
            if self.connection.read_buf(&mut self.buffer).await? == 0 {
                let partial = self.has_partial_message();
                return if partial { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(None) };
            }
        }
    }
}

/// Parses the first message in a buffer. Returns it with its encoded length, or `None` if it is incomplete.
fn parse(buffer: &[u8]) -> io::Result<Option<(Message, usize)>> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) else {
        return if buffer.len() > MAX_BYTES { Err(invalid()) } else { Ok(None) };
    };
    let head = std::str::from_utf8(&buffer[..end]).map_err(|_| invalid())?;
    if header(head, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        let Some((body, length)) = decode_chunked(&buffer[end..])? else { return Ok(None) };
        return Ok(Some((Message { head: head.to_owned(), body }, end + length)));
    }
    let length = match header(head, "content-length") {
        Some(text) => text.parse::<usize>().ok().filter(|n| *n <= MAX_BYTES).ok_or_else(invalid)?,
        None => 0,
    };
    let Some(body) = buffer.get(end..end + length) else { return Ok(None) };
    Ok(Some((Message { head: head.to_owned(), body: body.to_vec() }, end + length)))
}

/// Decodes a chunked body without trailers (RFC 9112, section 7.1). Returns it with its encoded length, or `None` if it
/// is incomplete.
fn decode_chunked(mut bytes: &[u8]) -> io::Result<Option<(Vec<u8>, usize)>> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let total = bytes.len();
    let mut body = Vec::new();
    loop {
        let Some(line) = bytes.windows(2).position(|w| w == b"\r\n") else {
            return if bytes.len() > MAX_CHUNK_SIZE_BYTES { Err(invalid()) } else { Ok(None) };
        };
        let size = std::str::from_utf8(&bytes[..line]).map_err(|_| invalid())?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid())?;
        if size > MAX_BYTES || body.len() + size > MAX_BYTES {
            return Err(invalid());
        }
        bytes = &bytes[line + 2..];
        let Some((data, end)) = bytes.split_at_checked(size).filter(|(_, end)| end.len() >= 2)
        else {
            return Ok(None);
        };
        if !end.starts_with(b"\r\n") {
            return Err(invalid());
        }
        body.extend_from_slice(data);
        bytes = &end[2..];
        if size == 0 {
            return Ok(Some((body, total - bytes.len())));
        }
    }
}

/// Encodes a body in chunks of `size` bytes.
pub fn encode_chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut encoded = Vec::with_capacity(body.len() + body.len() / size.max(1) * 12 + 16);
    for chunk in body.chunks(size.max(1)) {
        encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.extend_from_slice(b"0\r\n\r\n");
    encoded
}
