//! Finds the boundaries and the heads of HTTP/1.1 messages in a byte stream.
//!
//! Follows RFC 9112, and shares no code with the parser that the sidecar uses.

use crate::wire::header;

#[cfg(test)]
mod tests;

/// A part of a message that was found.
#[derive(Debug, PartialEq, Eq)]
pub enum MessagePart<'a> {
    /// The first byte.
    FirstByte,
    /// The complete head, as text.
    Head(&'a str),
    /// The last byte.
    LastByte,
}

/// Finds the messages in the byte stream of one direction of a connection.
#[derive(Debug, Default)]
pub struct MessageFramer {
    /// The bytes of an incomplete head.
    head: Vec<u8>,
    body: BodyState,
    /// The number of bytes of the body or chunk that are still to come.
    remaining: u64,
}

/// The position of the next byte in a body.
#[derive(Debug, Default, PartialEq, Eq)]
enum BodyState {
    /// Not in a body.
    #[default]
    None,
    /// In a body with a `Content-Length`.
    Sized,
    /// In a body that ends with its connection.
    UntilEnd,
    /// In the line with the size of a chunk.
    ChunkSize { size: u64 },
    /// In the extension of a chunk of this size, up to the end of its line.
    ChunkExtension { size: u64 },
    /// In the data of a chunk.
    ChunkData,
    /// In the line break after the data of a chunk.
    ChunkEnd,
    /// In the lines after the last chunk, of which the current one has `length` bytes so far. An empty line ends the body.
    Trailer { length: usize },
}

impl BodyState {
    /// Returns the position behind the line with the size of a chunk.
    fn after_size_line(size: u64) -> BodyState {
        if size == 0 { BodyState::Trailer { length: 0 } } else { BodyState::ChunkData }
    }
}

/// The longest head, in bytes. Longer input is not a message and is dropped.
const MAX_HEAD_BYTES: usize = 64 << 10;

impl MessageFramer {
    /// Processes bytes and reports each part of a message that they complete.
    pub fn feed(&mut self, mut bytes: &[u8], mut report: impl FnMut(MessagePart<'_>)) {
        while !bytes.is_empty() {
            if self.body != BodyState::None {
                bytes = self.skip_body(bytes);
                if self.body == BodyState::None {
                    report(MessagePart::LastByte);
                }
                continue;
            }
            if self.head.is_empty() {
                report(MessagePart::FirstByte);
            }
            // The end of the head may span two calls.
            let from = self.head.len().saturating_sub(3);
            let before = self.head.len();
            self.head.extend_from_slice(bytes);
            let end = self.head[from..].windows(4).position(|w| w == b"\r\n\r\n");
            let Some(end) = end.map(|at| from + at + 4) else {
                if self.head.len() > MAX_HEAD_BYTES {
                    self.head.clear();
                }
                return;
            };
            bytes = &bytes[end - before..];
            self.head.truncate(end);
            let head = String::from_utf8_lossy(&std::mem::take(&mut self.head)).into_owned();
            report(MessagePart::Head(&head));
            if head.starts_with("HTTP/1.1 1") {
                continue;
            }
            let length = header(&head, "content-length").and_then(|v| v.parse().ok());
            self.remaining = length.unwrap_or(0);
            let chunked = header(&head, "transfer-encoding");
            let is_response = head.starts_with("HTTP/1.");
            self.body = match chunked.is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
                true => BodyState::ChunkSize { size: 0 },
                false if self.remaining > 0 => BodyState::Sized,
                false if is_response && length.is_none() => BodyState::UntilEnd,
                false => BodyState::None,
            };
            if self.body == BodyState::None {
                report(MessagePart::LastByte);
            }
        }
    }

    /// Whether a message has begun and is incomplete.
    pub fn is_inside_message(&self) -> bool {
        self.body != BodyState::None || !self.head.is_empty()
    }

    /// Processes the end of the byte stream. Returns whether it is the end of a message.
    pub fn end(&mut self) -> bool {
        std::mem::take(&mut self.body) == BodyState::UntilEnd
    }

    /// Skips bytes of a body, and returns the bytes after them.
    fn skip_body<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        if self.body == BodyState::UntilEnd {
            return &[];
        }
        if matches!(self.body, BodyState::Sized | BodyState::ChunkData) {
            let n = self.remaining.min(bytes.len() as u64);
            self.remaining -= n;
            if self.remaining == 0 {
                let sized = self.body == BodyState::Sized;
                self.body = if sized { BodyState::None } else { BodyState::ChunkEnd };
            }
            return &bytes[n as usize..];
        }
        let byte = bytes[0];
        match &mut self.body {
            BodyState::ChunkSize { size } => match (byte, char::from(byte).to_digit(16)) {
                (_, Some(digit)) => *size = size.saturating_mul(16) + u64::from(digit),
                (b';', _) => self.body = BodyState::ChunkExtension { size: *size },
                (b'\n', _) => {
                    (self.remaining, self.body) = (*size, BodyState::after_size_line(*size))
                }
                _ => {}
            },
            BodyState::ChunkExtension { size } if byte == b'\n' => {
                (self.remaining, self.body) = (*size, BodyState::after_size_line(*size));
            }
            BodyState::ChunkEnd if byte == b'\n' => self.body = BodyState::ChunkSize { size: 0 },
            BodyState::Trailer { length: 0 } if byte == b'\n' => self.body = BodyState::None,
            BodyState::Trailer { length } => match byte {
                b'\n' => *length = 0,
                b'\r' => {}
                _ => *length += 1,
            },
            _ => {}
        }
        &bytes[1..]
    }
}
