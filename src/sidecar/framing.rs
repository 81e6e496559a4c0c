//! HTTP/1.1 message framing: finds where messages begin and end in the bytes that a peer sends.
//!
//! hyper parses the messages. This module follows the same bytes and detects what hyper silently
//! repairs or ignores. It protects against ambiguous message boundaries: request smuggling by means
//! of two lengths, pipelined requests, heads and bodies without end, and stray bytes or a second
//! response after a response. Seeing an end where hyper sees none would do harm, so the rules are stricter
//! than those of hyper: what is accepted here, hyper reads the same way.

use std::fmt::{self, Display, Formatter};

use hyper::StatusCode;

/// The maximum length of a head in bytes, also set as the size of hyper's buffer.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The number of bytes of a line that are kept, enough for the headers that define the length of the body.
const MAX_KEPT_LINE_BYTES: usize = 128;
/// The number of bytes of a response's head that a copy behind the response has to repeat.
const MAX_COMPARED_BYTES: usize = 256;
/// The header with which a server states that it rejected a request without processing it.
pub const UNPROCESSED_HEADER: &str = "x-unprocessed";
/// The maximum number of interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// The maximum number of digits of a chunk size, more than the size of any accepted chunk needs.
const MAX_CHUNK_SIZE_DIGITS: u8 = 8;
/// Numbers with more digits than this are treated as `u64::MAX`.
const MAX_NUMBER_DIGITS: usize = 18;

/// The kind of messages that a peer sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests.
    Request,
    /// Responses to requests whose method allows a response body.
    Response,
}

/// An error in the framing of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[error("message head too long")]
    HeadTooLong,
    /// The body is longer than the limit.
    #[error("message body too long")]
    BodyTooLong,
    /// The content length is not a number, or is given more than once.
    #[error("invalid or repeated content length")]
    InvalidLength,
    /// Both a content length and chunked encoding are given.
    #[error("both a content length and a transfer encoding")]
    ConflictingLengths,
    /// Further bytes were received before this message had been handled.
    #[error("unexpected bytes after a message")]
    UnexpectedData,
    /// There are more interim responses than the limit.
    #[error("too many interim responses")]
    TooManyInterimResponses,
}

impl FramingError {
    /// Returns the status of the response to a client that made this error.
    pub fn status(self) -> StatusCode {
        match self {
            FramingError::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            FramingError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// How the head of a message says where its body ends (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// After this number of bytes.
    Length(u64),
    /// With the last chunk, or by another transfer encoding.
    TransferEncoding,
    /// With its connection.
    Connection,
}

impl Display for BodyEnd {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyEnd::Length(_) => "length",
            BodyEnd::TransferEncoding => "transfer_encoding",
            BodyEnd::Connection => "connection",
        })
    }
}

/// What the bytes behind a complete message are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrailingBytes {
    /// They repeat this number of bytes from the beginning of the message.
    Copy(usize),
    /// Anything else: unrelated bytes, or the rest of a body whose length is given too short.
    Other,
}

/// The statement in the head of a response about whether the request was processed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unprocessed {
    /// No statement.
    #[default]
    Unsaid,
    /// The request was not processed.
    Promised,
    /// The header occurs more than once, or has a value that the protocol does not define.
    Contradictory,
}

/// The position within a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No byte of the next message has been received.
    BeforeHead,
    Head,
    /// In a body of which this number of bytes is missing.
    Body(u64),
    /// In a chunked body (RFC 9112, section 7.1).
    Chunked(ChunkState),
    /// The end of the body is not tracked and left to hyper. No message may follow this one.
    EndUnknown,
    Complete,
}

/// The element that comes next in a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    /// A digit of the chunk size, or the character after its last digit.
    Size { size: u64, digits: u8 },
    /// A chunk extension, up to the end of its line.
    Extension { size: u64 },
    /// The line feed after a chunk size.
    SizeLf { size: u64 },
    /// Chunk data of which `missing` bytes are still to come.
    Data { missing: u64 },
    /// The carriage return after the chunk data.
    DataCr,
    /// The line feed after the chunk data.
    DataLf,
    /// The first byte of a line after the last chunk.
    TrailerStart,
    /// The rest of a trailer line.
    Trailer,
    /// The line feed of the empty line that ends the body.
    EndLf,
}

/// Tracks the boundaries of the messages that one peer sends.
#[derive(Debug)]
pub struct Framing {
    kind: MessageKind,
    /// The maximum length of a body in bytes.
    max_body: usize,
    state: State,
    /// Number of bytes in the head so far, or in the extensions and trailers of a chunked body.
    head_bytes: usize,
    interim_responses: u32,
    line: Vec<u8>,
    is_first_line: bool,
    status: u16,
    content_length: Option<u64>,
    has_transfer_encoding: bool,
    /// Whether the only transfer encoding is a single `chunked`.
    is_only_chunked: bool,
    unprocessed: Unprocessed,
    /// The sum of the chunk sizes so far.
    chunk_bytes: u64,
    /// The first bytes of the head of a response, up to [`MAX_COMPARED_BYTES`].
    head_start: Vec<u8>,
    /// The bytes that followed the message, or `None` if none have.
    trailing: Option<TrailingBytes>,
}

impl Framing {
    /// Creates the state before the first message. Bodies may have up to `max_body` bytes.
    pub fn new(kind: MessageKind, max_body: usize) -> Framing {
        Framing {
            kind,
            max_body,
            state: State::BeforeHead,
            head_bytes: 0,
            interim_responses: 0,
            line: Vec::new(),
            is_first_line: true,
            status: 0,
            content_length: None,
            has_transfer_encoding: false,
            is_only_chunked: false,
            unprocessed: Unprocessed::Unsaid,
            chunk_bytes: 0,
            head_start: Vec::new(),
            trailing: None,
        }
    }

    /// Marks the present message as handled, so that the next one may follow.
    pub fn start_next(&mut self) {
        self.interim_responses = 0;
        self.reset();
    }

    fn reset(&mut self) {
        self.state = State::BeforeHead;
        self.head_bytes = 0;
        self.line.clear();
        self.is_first_line = true;
        self.content_length = None;
        self.has_transfer_encoding = false;
        self.is_only_chunked = false;
        self.unprocessed = Unprocessed::Unsaid;
        self.chunk_bytes = 0;
        self.head_start.clear();
        self.trailing = None;
    }

    /// Returns whether a byte of the present message has been received.
    pub fn has_started(&self) -> bool {
        self.state != State::BeforeHead
    }

    /// Returns whether the message has been received up to the end given by its head.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Returns the number of bytes that the message still lacks, or `None` if its head does not tell.
    pub fn missing_bytes(&self) -> Option<u64> {
        match self.state {
            State::Body(missing) => Some(missing),
            State::Complete => Some(0),
            _ => None,
        }
    }

    /// Returns the status of a response, or `None` before its head has been received.
    pub fn status(&self) -> Option<u16> {
        let has_head = !matches!(self.state, State::BeforeHead | State::Head);
        has_head.then_some(self.status)
    }

    /// Returns the statement in the head of a response about whether the request was processed.
    pub fn unprocessed(&self) -> Unprocessed {
        self.unprocessed
    }

    /// Returns where the body of a response ends according to its head, which has been received.
    pub fn body_end(&self) -> BodyEnd {
        match self.content_length {
            Some(length) => BodyEnd::Length(length),
            None if self.has_transfer_encoding => BodyEnd::TransferEncoding,
            None => BodyEnd::Connection,
        }
    }

    /// Returns whether bytes that followed the message may be a part of it: its length may be given too short. The end of
    /// a chunked body is explicit.
    ///
    /// Only a copy of the message itself is taken for another message (RFC 9112, section 6.3, allows to determine whether
    /// the bytes belong to the body). Anything else may be the rest of the body, whatever it begins with.
    pub fn may_be_cut_short(&self) -> bool {
        let is_copy = match self.trailing {
            None => return false,
            Some(TrailingBytes::Copy(length)) => length == self.head_start.len(),
            Some(TrailingBytes::Other) => false,
        };
        self.content_length.is_some() && !is_copy
    }

    /// Returns whether bytes followed the message.
    pub fn is_followed(&self) -> bool {
        self.trailing.is_some()
    }

    /// Returns the first bytes of the head of a response.
    pub fn head_start(&self) -> &[u8] {
        &self.head_start
    }

    fn record_trailing(&mut self, bytes: &[u8]) {
        let repeated = match self.trailing {
            None => 0,
            Some(TrailingBytes::Copy(length)) => length,
            Some(TrailingBytes::Other) => return,
        };
        let expected = &self.head_start[repeated..];
        let compared = bytes.len().min(expected.len());
        let is_copy = bytes[..compared] == expected[..compared];
        self.trailing = Some(match is_copy {
            true => TrailingBytes::Copy(repeated + compared),
            false => TrailingBytes::Other,
        });
    }

    /// Processes received bytes.
    ///
    /// # Errors
    ///
    /// Fails if the framing is invalid. Nothing that the peer sends can be used from then on.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), FramingError> {
        let mut bytes = bytes;
        while let Some((&byte, rest)) = bytes.split_first() {
            match self.state {
                // Empty lines before a head are skipped, as hyper does.
                State::BeforeHead if matches!(byte, b'\r' | b'\n') => self.count_head_byte()?,
                State::BeforeHead | State::Head => self.feed_head(byte)?,
                State::Body(missing) => {
                    let taken = missing.min(bytes.len() as u64);
                    self.state = match missing - taken {
                        0 => State::Complete,
                        missing => State::Body(missing),
                    };
                    bytes = &bytes[taken as usize..];
                    continue;
                }
                State::Chunked(ChunkState::Data { missing }) => {
                    let taken = missing.min(bytes.len() as u64);
                    self.state = State::Chunked(match missing - taken {
                        0 => ChunkState::DataCr,
                        missing => ChunkState::Data { missing },
                    });
                    bytes = &bytes[taken as usize..];
                    continue;
                }
                State::Chunked(chunk) => self.state = self.feed_chunk(chunk, byte)?,
                State::EndUnknown => return Ok(()),
                State::Complete => {
                    self.record_trailing(bytes);
                    return Err(FramingError::UnexpectedData);
                }
            }
            bytes = rest;
        }
        Ok(())
    }

    fn feed_head(&mut self, byte: u8) -> Result<(), FramingError> {
        self.state = State::Head;
        self.count_head_byte()?;
        if self.kind == MessageKind::Response && self.head_start.len() < MAX_COMPARED_BYTES {
            self.head_start.push(byte);
        }
        match byte {
            b'\n' => self.end_line()?,
            _ if self.line.len() < MAX_KEPT_LINE_BYTES => self.line.push(byte),
            _ => {}
        }
        Ok(())
    }

    /// Processes one byte of a chunked body outside of chunk data, and returns the next state.
    ///
    /// If this saw an end where hyper sees none, hyper would read the next message as part of this one. A body that
    /// deviates from the standard therefore leaves the end to hyper.
    fn feed_chunk(&mut self, chunk: ChunkState, byte: u8) -> Result<State, FramingError> {
        use ChunkState::*;
        let next = match (chunk, byte) {
            (Size { size, digits }, _)
                if byte.is_ascii_hexdigit() && digits < MAX_CHUNK_SIZE_DIGITS =>
            {
                let digit = char::from(byte).to_digit(16).unwrap_or_default();
                Size { size: 16 * size + u64::from(digit), digits: digits + 1 }
            }
            (Size { size, digits: 1.. } | Extension { size }, b'\r') => SizeLf { size },
            (Size { size, digits: 1.. }, b';') => Extension { size },
            (Extension { size }, _) if byte != b'\n' => {
                self.count_head_byte()?;
                Extension { size }
            }
            (SizeLf { size: 0 }, b'\n') => TrailerStart,
            (SizeLf { size }, b'\n') => {
                self.count_chunk(size)?;
                Data { missing: size }
            }
            (DataCr, b'\r') => DataLf,
            (DataLf, b'\n') => Size { size: 0, digits: 0 },
            (TrailerStart, b'\r') => EndLf,
            (Trailer, b'\n') => {
                self.count_head_byte()?;
                TrailerStart
            }
            (Trailer, _) => {
                self.count_head_byte()?;
                Trailer
            }
            (TrailerStart, _) if byte != b'\n' => {
                self.count_head_byte()?;
                Trailer
            }
            (EndLf, b'\n') => return Ok(State::Complete),
            _ => return Ok(State::EndUnknown),
        };
        Ok(State::Chunked(next))
    }

    fn count_chunk(&mut self, size: u64) -> Result<(), FramingError> {
        self.chunk_bytes += size;
        let fits = self.chunk_bytes <= self.max_body as u64;
        if fits { Ok(()) } else { Err(FramingError::BodyTooLong) }
    }

    fn count_head_byte(&mut self) -> Result<(), FramingError> {
        self.head_bytes += 1;
        let fits = self.head_bytes <= MAX_HEAD_BYTES;
        if fits { Ok(()) } else { Err(FramingError::HeadTooLong) }
    }

    fn end_line(&mut self) -> Result<(), FramingError> {
        if self.line.last() == Some(&b'\r') {
            self.line.pop();
        }
        if std::mem::take(&mut self.is_first_line) {
            let status = self.line.split(|&b| b == b' ').nth(1).unwrap_or_default();
            let status = parse_number(status).and_then(|status| status.try_into().ok());
            self.status = status.unwrap_or_default();
        } else if self.line.is_empty() {
            return self.end_head();
        } else {
            self.read_header()?;
        }
        self.line.clear();
        Ok(())
    }

    /// Reads from a header line the length of the body and whether the request was processed.
    fn read_header(&mut self) -> Result<(), FramingError> {
        let is_continuation = matches!(self.line.first(), Some(b' ' | b'\t'));
        if is_continuation && self.unprocessed == Unprocessed::Promised {
            // The line may continue the value of the header [`UNPROCESSED_HEADER`].
            self.unprocessed = Unprocessed::Contradictory;
        }
        let Some(colon) = self.line.iter().position(|&b| b == b':') else { return Ok(()) };
        let (name, value) = self.line.split_at(colon);
        let (name, value) = (name.trim_ascii(), value[1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let length = parse_number(value).ok_or(FramingError::InvalidLength)?;
            if self.content_length.replace(length).is_some() {
                return Err(FramingError::InvalidLength);
            }
        }
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            let chunked = value.eq_ignore_ascii_case(b"chunked");
            self.is_only_chunked = chunked && !self.has_transfer_encoding;
            self.has_transfer_encoding = true;
        }
        if name.eq_ignore_ascii_case(UNPROCESSED_HEADER.as_bytes()) {
            let is_kept_whole = self.line.len() < MAX_KEPT_LINE_BYTES;
            let is_first = self.unprocessed == Unprocessed::Unsaid;
            self.unprocessed = match value {
                b"1" if is_first && is_kept_whole => Unprocessed::Promised,
                _ => Unprocessed::Contradictory,
            };
        }
        Ok(())
    }

    fn end_head(&mut self) -> Result<(), FramingError> {
        if self.kind == MessageKind::Response && (100..200).contains(&self.status) {
            self.interim_responses += 1;
            self.reset();
            let fits = self.interim_responses <= MAX_INTERIM_RESPONSES;
            return if fits { Ok(()) } else { Err(FramingError::TooManyInterimResponses) };
        }
        let has_no_body = self.kind == MessageKind::Request || matches!(self.status, 204 | 304);
        self.state = match self.content_length {
            Some(_) if self.has_transfer_encoding => return Err(FramingError::ConflictingLengths),
            Some(length) if length > self.max_body as u64 => return Err(FramingError::BodyTooLong),
            Some(0) => State::Complete,
            Some(length) => State::Body(length),
            None if self.has_transfer_encoding && self.is_only_chunked => {
                self.head_bytes = 0;
                State::Chunked(ChunkState::Size { size: 0, digits: 0 })
            }
            None if self.has_transfer_encoding || !has_no_body => State::EndUnknown,
            None => State::Complete,
        };
        Ok(())
    }
}

/// Parses a number that consists of decimal digits only.
fn parse_number(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    if digits.len() > MAX_NUMBER_DIGITS {
        return Some(u64::MAX);
    }
    Some(digits.iter().fold(0, |number, digit| 10 * number + u64::from(digit - b'0')))
}

#[cfg(test)]
mod tests;
