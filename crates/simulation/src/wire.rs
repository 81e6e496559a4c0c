//! HTTP/1.1 as it passes, byte by byte: where messages begin and end, and their heads. Written from
//! RFC 9112; the sidecar's own reading of it is not used.

/// What of a message has passed.
#[derive(Debug, PartialEq, Eq)]
pub enum Part<'a> {
    /// Its first byte.
    First,
    /// Its head is whole.
    Head(&'a str),
    /// Its last byte.
    Last,
}

/// Follows the messages in one direction of a connection.
#[derive(Debug, Default)]
pub struct Messages {
    head: Vec<u8>,
    body: Body,
    left: u64,
}

/// Where in a body the next byte is.
#[derive(Debug, Default, PartialEq, Eq)]
enum Body {
    #[default]
    None,
    /// In one of a known length.
    Whole,
    /// In a chunk's size.
    Size { size: u64 },
    /// In a chunk.
    Chunk,
    /// In the line's end behind a chunk.
    Behind,
    /// In the empty line behind the last chunk: that many of its bytes are to come.
    Last { left: u8 },
}

/// A head may be so long; what is longer is no message.
const LONGEST: usize = 64 << 10;

impl Messages {
    /// Takes in bytes and tells what has passed with them.
    pub fn feed(&mut self, mut bytes: &[u8], mut tell: impl FnMut(Part<'_>)) {
        while !bytes.is_empty() {
            if self.body != Body::None {
                bytes = self.pass(bytes);
                if self.body == Body::None {
                    tell(Part::Last);
                }
                continue;
            }
            if self.head.is_empty() {
                tell(Part::First);
            }
            // The end of the head may lie across two pieces.
            let from = self.head.len().saturating_sub(3);
            let before = self.head.len();
            self.head.extend_from_slice(bytes);
            let end = self.head[from..].windows(4).position(|w| w == b"\r\n\r\n");
            let Some(end) = end.map(|at| from + at + 4) else {
                if self.head.len() > LONGEST {
                    self.head.clear();
                }
                return;
            };
            bytes = &bytes[end - before..];
            self.head.truncate(end);
            let head = String::from_utf8_lossy(&std::mem::take(&mut self.head)).into_owned();
            tell(Part::Head(&head));
            if head.starts_with("HTTP/1.1 1") {
                continue;
            }
            self.left = fakes::wire::header(&head, "content-length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            let chunked = fakes::wire::header(&head, "transfer-encoding");
            self.body = match chunked.is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
                true => Body::Size { size: 0 },
                false if self.left > 0 => Body::Whole,
                false => Body::None,
            };
            if self.body == Body::None {
                tell(Part::Last);
            }
        }
    }

    /// Whether part of a message has passed, and not all of it.
    pub fn within(&self) -> bool {
        self.body != Body::None || !self.head.is_empty()
    }

    /// Passes some of a body, and returns what is behind that.
    fn pass<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        if matches!(self.body, Body::Whole | Body::Chunk) {
            let n = self.left.min(bytes.len() as u64);
            self.left -= n;
            if self.left == 0 {
                let whole = self.body == Body::Whole;
                self.body = if whole { Body::None } else { Body::Behind };
            }
            return &bytes[n as usize..];
        }
        let byte = bytes[0];
        match &mut self.body {
            Body::Size { size } => match (byte, char::from(byte).to_digit(16)) {
                (_, Some(digit)) => *size = size.saturating_mul(16) + u64::from(digit),
                (b'\n', _) if *size == 0 => self.body = Body::Last { left: 2 },
                (b'\n', _) => (self.left, self.body) = (*size, Body::Chunk),
                _ => {}
            },
            Body::Behind if byte == b'\n' => self.body = Body::Size { size: 0 },
            Body::Last { left: 1 } => self.body = Body::None,
            Body::Last { left } => *left -= 1,
            _ => {}
        }
        &bytes[1..]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_followed_wherever_they_part() {
        let chunks = "3\r\nabc\r\n11\r\n0123456789abcdefg\r\n0\r\n\r\n";
        let text = format!(
            "GET /a HTTP/1.1\r\nX: 1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc\
             POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}GET /d HTTP/1.1\r\n\r\n"
        );
        let text = text.as_bytes();
        for cut in 1..text.len() {
            let mut messages = Messages::default();
            let mut seen = Vec::new();
            for piece in [&text[..cut], &text[cut..]] {
                messages.feed(piece, |part| {
                    seen.push(match part {
                        Part::First => "first".to_owned(),
                        Part::Head(head) => head.lines().next().unwrap_or_default().to_owned(),
                        Part::Last => "last".to_owned(),
                    });
                });
            }
            let whole = ["/a", "/b", "/c", "/d"].map(|path| {
                let method = if matches!(path, "/a" | "/d") { "GET" } else { "POST" };
                ["first".to_owned(), format!("{method} {path} HTTP/1.1"), "last".to_owned()]
            });
            assert_eq!(seen, whole.concat(), "cut at {cut}");
            assert!(!messages.within());
        }
    }
}
