//! Where HTTP/1.1 messages begin and end in the bytes that a peer sends. hyper parses the messages;
//! this watches the same bytes and finds what hyper repairs or ignores without a word.
//!
//! It guards against every peer that leaves it open where a message ends: requests with two lengths
//! that hide another request, requests sent before their turn, heads and bodies without end, noise
//! or a second response behind a response. It does harm if it sees an end where hyper sees none, so
//! it is stricter than hyper throughout: what it accepts, hyper reads the same way.

use hyper::StatusCode;

/// The longest head, in bytes. hyper's buffer holds as much.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// How much of a line is kept: enough for the headers that tell how long a body is.
const MAX_KEPT_LINE_BYTES: usize = 128;
/// The header with which a server tells that it rejected a request without processing it.
pub const UNPROCESSED_HEADER: &str = "x-unprocessed";
/// How many interim (1xx) responses may precede the final one.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// More digits than the size of any chunk has.
const MAX_CHUNK_SIZE_DIGITS: u8 = 8;
/// Numbers with more digits than this are taken for the largest there is.
const MAX_NUMBER_DIGITS: usize = 18;

/// What kind of messages a peer sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests.
    Request,
    /// Responses, each to a request whose response may have a body.
    Response,
}

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[error("a head that is too long")]
    HeadTooLong,
    /// The body is longer than bodies may be.
    #[error("a body that is too long")]
    BodyTooLong,
    /// The length is not a number, or there are several.
    #[error("a length that cannot be read")]
    InvalidLength,
    /// Both a length and chunked encoding are given.
    #[error("a length and chunks")]
    ConflictingLengths,
    /// More was received before this message had been dealt with.
    #[error("more than one message at a time")]
    UnexpectedData,
    /// More interim responses than are accepted.
    #[error("too many interim answers")]
    TooManyInterimResponses,
}

impl FramingError {
    /// The status of the response that tells a client.
    pub fn status(self) -> StatusCode {
        match self {
            FramingError::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            FramingError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// What the head of a response says of whether the request was processed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unprocessed {
    /// Nothing.
    #[default]
    Unsaid,
    /// That it was not.
    Promised,
    /// Several things, or something that the protocol does not have.
    Contradictory,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing of the next message has been received.
    BeforeHead,
    Head,
    /// In a body of which so many bytes are missing.
    Body(u64),
    /// In a chunked body (RFC 9112, section 7.1).
    Chunked(ChunkState),
    /// Only hyper sees where the body ends: nothing may follow this message.
    EndUnknown,
    Complete,
}

/// What comes next in a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    /// Digits of a size.
    Size { size: u64, digits: u8 },
    /// An extension, up to the end of its line.
    Extension { size: u64 },
    /// The line feed behind a size.
    SizeLf { size: u64 },
    /// Data of which so many bytes are missing.
    Data { missing: u64 },
    /// The carriage return behind the data.
    DataCr,
    /// The line feed behind the data.
    DataLf,
    /// The first byte of a line behind the last chunk.
    TrailerStart,
    /// The rest of such a line.
    Trailer,
    /// The line feed of the empty line that ends the body.
    EndLf,
}

/// Follows the messages of one peer.
#[derive(Debug)]
pub struct Framing {
    kind: MessageKind,
    /// In bytes.
    max_body: usize,
    state: State,
    /// Bytes of the head, or of the chunked body's extensions and trailers.
    head_bytes: usize,
    interim_responses: u32,
    line: Vec<u8>,
    is_first_line: bool,
    status: u16,
    content_length: Option<u64>,
    is_chunked: bool,
    /// The body is chunked and nothing else, as far as the head tells.
    is_only_chunked: bool,
    unprocessed: Unprocessed,
    /// The sum of the sizes of the chunks so far.
    chunk_bytes: u64,
}

impl Framing {
    /// Before the first message. Bodies may have up to `max_body` bytes.
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
            is_chunked: false,
            is_only_chunked: false,
            unprocessed: Unprocessed::Unsaid,
            chunk_bytes: 0,
        }
    }

    /// This message has been dealt with; the next one may follow.
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
        self.is_chunked = false;
        self.is_only_chunked = false;
        self.unprocessed = Unprocessed::Unsaid;
        self.chunk_bytes = 0;
    }

    /// Whether some of a message has been received.
    pub fn has_started(&self) -> bool {
        self.state != State::BeforeHead
    }

    /// Whether all of the message has been received, as far as its head tells.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// The status of a response; none before its head has been received.
    pub fn status(&self) -> Option<u16> {
        let has_head = !matches!(self.state, State::BeforeHead | State::Head);
        has_head.then_some(self.status)
    }

    /// What the head of a response says of whether the request was processed.
    pub fn unprocessed(&self) -> Unprocessed {
        self.unprocessed
    }

    /// Whether the head tells how the body ends.
    pub fn has_explicit_end(&self) -> bool {
        self.content_length.is_some() || self.is_chunked
    }

    /// Takes in received bytes.
    ///
    /// # Errors
    ///
    /// What is wrong with the message; nothing of this peer can be used from then on.
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
                State::Complete => return Err(FramingError::UnexpectedData),
            }
            bytes = rest;
        }
        Ok(())
    }

    fn feed_head(&mut self, byte: u8) -> Result<(), FramingError> {
        self.state = State::Head;
        self.count_head_byte()?;
        match byte {
            b'\n' => self.end_line()?,
            _ if self.line.len() < MAX_KEPT_LINE_BYTES => self.line.push(byte),
            _ => {}
        }
        Ok(())
    }

    /// The state behind one byte between the data of chunks.
    ///
    /// An end seen where hyper sees none would let the next message pass for part of this one. What
    /// is not written exactly as the standard has it leaves the end to hyper.
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

    /// Takes from a header line what it tells of the body's length and of processing.
    fn read_header(&mut self) -> Result<(), FramingError> {
        let is_continuation = matches!(self.line.first(), Some(b' ' | b'\t'));
        if is_continuation && self.unprocessed == Unprocessed::Promised {
            // It may belong to the header that made the promise.
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
            self.is_only_chunked = chunked && !self.is_chunked;
            self.is_chunked = true;
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
            Some(_) if self.is_chunked => return Err(FramingError::ConflictingLengths),
            Some(length) if length > self.max_body as u64 => return Err(FramingError::BodyTooLong),
            Some(0) => State::Complete,
            Some(length) => State::Body(length),
            None if self.is_chunked && self.is_only_chunked => {
                self.head_bytes = 0;
                State::Chunked(ChunkState::Size { size: 0, digits: 0 })
            }
            None if self.is_chunked || !has_no_body => State::EndUnknown,
            None => State::Complete,
        };
        Ok(())
    }
}

/// A number of digits alone.
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
