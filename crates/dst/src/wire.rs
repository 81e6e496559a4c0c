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
    in_body: bool,
    left: u64,
}

/// A head may be so long; what is longer is no message.
const LONGEST: usize = 64 << 10;

impl Messages {
    /// Takes in bytes and tells what has passed with them.
    pub fn feed(&mut self, mut bytes: &[u8], mut tell: impl FnMut(Part<'_>)) {
        while !bytes.is_empty() {
            if self.in_body {
                let n = self.left.min(bytes.len() as u64);
                self.left -= n;
                bytes = &bytes[n as usize..];
                if self.left == 0 {
                    self.in_body = false;
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
            self.left = standins::wire::header(&head, "content-length")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            self.in_body = self.left > 0;
            if !self.in_body {
                tell(Part::Last);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_followed_wherever_they_part() {
        let text =
            b"GET /a HTTP/1.1\r\nX: 1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
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
            let whole = ["first", "GET /a HTTP/1.1", "last", "first", "POST /b HTTP/1.1", "last"];
            assert_eq!(seen, whole, "cut at {cut}");
        }
    }
}
