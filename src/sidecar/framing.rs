//! Where messages begin and end in the bytes that a peer sends. hyper parses the messages; this
//! looks on from beneath and finds what hyper puts right or passes over in silence.
//!
//! Danger: this guards against every peer that leaves it open where a message ends: a request with
//! both lengths that hides another one, requests sent before their turn, heads and bodies without
//! end, noise or a second copy behind an answer. It does harm if it sees an end where hyper sees
//! none, so it is stricter than hyper throughout: what it lets pass, hyper reads the same way.

use std::fmt;

use hyper::StatusCode;

/// The longest head. hyper's buffer holds as much.
pub const LONGEST_HEAD: usize = 16 << 10;
/// What is kept of a line: enough for the headers that say how long a body is.
const LINE: usize = 128;
/// So many interim (1xx) answers may come ahead of the final one.
const MOST_INTERIM: u32 = 16;

/// Which way the messages go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Requests.
    Requests,
    /// Answers, each to a request that may have a body in return.
    Answers,
}

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The head has no end.
    LongHead,
    /// The body is longer than bodies are.
    LongBody,
    /// The length is no number, or there are several.
    BadLength,
    /// A length is given, and chunks as well.
    TwoLengths,
    /// More came before this message had been dealt with.
    OutOfTurn,
    /// Interim answers without end.
    Interim,
}

impl Fault {
    /// The status that tells a client.
    pub fn status(self) -> StatusCode {
        match self {
            Fault::LongHead => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Fault::LongBody => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::LongHead => "a head that is too long",
            Fault::LongBody => "a body that is too long",
            Fault::BadLength => "a length that cannot be read",
            Fault::TwoLengths => "a length and chunks",
            Fault::OutOfTurn => "more than one message at a time",
            Fault::Interim => "too many interim answers",
        })
    }
}

impl std::error::Error for Fault {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing of the next message has come.
    Before,
    Head,
    /// So much of the body is missing.
    Body(u64),
    /// In a body of chunks (RFC 9112, section 7.1).
    Chunks(Chunk),
    /// The end shows in the body itself, which hyper reads: nothing may follow this message.
    Open,
    Whole,
}

/// What comes next of a body of chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    /// Digits of a size, so many of them so far.
    Size(u64, u8),
    /// An extension, up to the end of its line.
    Extension(u64),
    /// The end of the line that gave the size.
    SizeEnd(u64),
    /// So much of the chunk is missing.
    Data(u64),
    /// The carriage return and the line feed behind it.
    DataCr,
    DataLf,
    /// Behind the last chunk: the first byte of a line; inside one; the end of an empty one.
    LineStart,
    Line,
    End,
}

/// More digits than the size of any body has.
const MOST_DIGITS: u8 = 8;

/// Follows the messages of one peer.
#[derive(Debug)]
pub struct Framing {
    side: Side,
    longest: usize,
    state: State,
    head: usize,
    interim: u32,
    line: Vec<u8>,
    first_line: bool,
    status: u16,
    length: Option<u64>,
    chunked: bool,
    /// The body is chunks and nothing else, as far as the head tells.
    plain: bool,
    /// Bytes of chunks so far.
    sum: u64,
}

impl Framing {
    /// Before the first message. Bodies may be `longest` bytes long.
    pub fn new(side: Side, longest: usize) -> Framing {
        Framing {
            side,
            longest,
            state: State::Before,
            head: 0,
            interim: 0,
            line: Vec::new(),
            first_line: true,
            status: 0,
            length: None,
            chunked: false,
            plain: false,
            sum: 0,
        }
    }

    /// This message has been dealt with; the next may come.
    pub fn next(&mut self) {
        self.interim = 0;
        self.begin();
    }

    fn begin(&mut self) {
        self.state = State::Before;
        self.head = 0;
        self.line.clear();
        self.first_line = true;
        self.length = None;
        self.chunked = false;
        self.plain = false;
        self.sum = 0;
    }

    /// Whether something of a message has come.
    pub fn begun(&self) -> bool {
        self.state != State::Before
    }

    /// Whether all of the message has come, as far as its head tells.
    pub fn whole(&self) -> bool {
        self.state == State::Whole
    }

    /// Whether the head tells how the body ends.
    pub fn tells_end(&self) -> bool {
        self.length.is_some() || self.chunked
    }

    /// Takes in what has come.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        let mut bytes = bytes;
        while let Some((&b, rest)) = bytes.split_first() {
            match self.state {
                // Blank lines ahead of a head are passed over, as hyper does.
                State::Before if matches!(b, b'\r' | b'\n') => self.count()?,
                State::Before | State::Head => {
                    self.state = State::Head;
                    self.count()?;
                    match b {
                        b'\n' => self.line_end()?,
                        _ if self.line.len() < LINE => self.line.push(b),
                        _ => {}
                    }
                }
                State::Body(left) => {
                    let n = left.min(bytes.len() as u64);
                    self.state = if n == left { State::Whole } else { State::Body(left - n) };
                    bytes = &bytes[n as usize..];
                    continue;
                }
                State::Chunks(Chunk::Data(left)) => {
                    let n = left.min(bytes.len() as u64);
                    let next = if n == left { Chunk::DataCr } else { Chunk::Data(left - n) };
                    self.state = State::Chunks(next);
                    bytes = &bytes[n as usize..];
                    continue;
                }
                State::Chunks(chunk) => self.state = self.chunk(chunk, b)?,
                State::Open => return Ok(()),
                State::Whole => return Err(Fault::OutOfTurn),
            }
            bytes = rest;
        }
        Ok(())
    }

    /// The state behind one byte between the data of chunks.
    ///
    /// Danger: an end seen where hyper sees none would let the next message pass for part of this one.
    /// What is not written exactly as the standard has it leaves the end to hyper.
    fn chunk(&mut self, chunk: Chunk, b: u8) -> Result<State, Fault> {
        let next = match (chunk, b) {
            (Chunk::Size(size, n), _) if b.is_ascii_hexdigit() && n < MOST_DIGITS => {
                let digit = char::from(b).to_digit(16).unwrap_or_default();
                Chunk::Size(16 * size + u64::from(digit), n + 1)
            }
            (Chunk::Size(size, 1..), b'\r') | (Chunk::Extension(size), b'\r') => {
                Chunk::SizeEnd(size)
            }
            (Chunk::Size(size, 1..), b';') => Chunk::Extension(size),
            (Chunk::Extension(size), _) if b != b'\n' => {
                self.count()?;
                Chunk::Extension(size)
            }
            (Chunk::SizeEnd(0), b'\n') => Chunk::LineStart,
            (Chunk::SizeEnd(size), b'\n') => {
                self.sum += size;
                if self.sum > self.longest as u64 {
                    return Err(Fault::LongBody);
                }
                Chunk::Data(size)
            }
            (Chunk::DataCr, b'\r') => Chunk::DataLf,
            (Chunk::DataLf, b'\n') => Chunk::Size(0, 0),
            (Chunk::LineStart, b'\r') => Chunk::End,
            (Chunk::LineStart | Chunk::Line, b) if b != b'\n' || chunk == Chunk::Line => {
                self.count()?;
                if b == b'\n' { Chunk::LineStart } else { Chunk::Line }
            }
            (Chunk::End, b'\n') => return Ok(State::Whole),
            _ => return Ok(State::Open),
        };
        Ok(State::Chunks(next))
    }

    fn count(&mut self) -> Result<(), Fault> {
        self.head += 1;
        if self.head > LONGEST_HEAD { Err(Fault::LongHead) } else { Ok(()) }
    }

    fn line_end(&mut self) -> Result<(), Fault> {
        if self.line.last() == Some(&b'\r') {
            self.line.pop();
        }
        if std::mem::take(&mut self.first_line) {
            let status = self.line.split(|&b| b == b' ').nth(1).unwrap_or_default();
            self.status = number(status).and_then(|n| n.try_into().ok()).unwrap_or_default();
        } else if self.line.is_empty() {
            return self.head_end();
        } else if let Some(colon) = self.line.iter().position(|&b| b == b':') {
            let (name, value) = self.line.split_at(colon);
            let name = name.trim_ascii();
            if name.eq_ignore_ascii_case(b"content-length") {
                let length = number(value[1..].trim_ascii()).ok_or(Fault::BadLength)?;
                if self.length.replace(length).is_some() {
                    return Err(Fault::BadLength);
                }
            }
            if name.eq_ignore_ascii_case(b"transfer-encoding") {
                let chunks = value[1..].trim_ascii().eq_ignore_ascii_case(b"chunked");
                self.plain = chunks && !self.chunked;
                self.chunked = true;
            }
        }
        self.line.clear();
        Ok(())
    }

    fn head_end(&mut self) -> Result<(), Fault> {
        if self.side == Side::Answers && (100..200).contains(&self.status) {
            self.interim += 1;
            self.begin();
            return if self.interim > MOST_INTERIM { Err(Fault::Interim) } else { Ok(()) };
        }
        let bare = self.side == Side::Requests || matches!(self.status, 204 | 304);
        self.state = match self.length {
            Some(_) if self.chunked => return Err(Fault::TwoLengths),
            Some(n) if n > self.longest as u64 => return Err(Fault::LongBody),
            Some(0) => State::Whole,
            Some(n) => State::Body(n),
            None if self.chunked && self.plain => {
                self.head = 0;
                State::Chunks(Chunk::Size(0, 0))
            }
            None if self.chunked || !bare => State::Open,
            None => State::Whole,
        };
        Ok(())
    }
}

/// A number in digits alone. One of over 18 digits is longer than anything.
fn number(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    if digits.len() > 18 {
        return Some(u64::MAX);
    }
    Some(digits.iter().fold(0, |n, d| 10 * n + u64::from(d - b'0')))
}

#[cfg(test)]
mod tests {
    use super::*;

    const LONGEST_BODY: usize = 64 << 10;

    fn requests(text: &str) -> Result<Framing, Fault> {
        let mut whole = Framing::new(Side::Requests, LONGEST_BODY);
        let result = whole.feed(text.as_bytes());
        // The same byte by byte.
        let mut piecemeal = Framing::new(Side::Requests, LONGEST_BODY);
        let one_by_one = text.as_bytes().chunks(1).try_for_each(|b| piecemeal.feed(b));
        assert_eq!(result, one_by_one, "{text:?}");
        result.map(|()| whole)
    }

    #[test]
    fn a_message_ends_where_its_head_says() {
        assert!(requests("GET / HTTP/1.1\r\nA: b\r\n\r\n").is_ok_and(|f| f.whole()));
        assert!(requests("POST / HTTP/1.1\nContent-Length: 3\n\nabc").is_ok_and(|f| f.whole()));
        assert!(
            requests("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab").is_ok_and(|f| !f.whole())
        );
        assert!(
            requests("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc")
                .is_ok_and(|f| !f.whole())
        );
    }

    #[test]
    fn chunks_end_where_the_standard_says_and_else_are_left_to_hyper() {
        let with = |body: &str| {
            requests(&format!("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n{body}"))
        };
        for whole in [
            "0\r\n\r\n",
            "3\r\nabc\r\n0\r\n\r\n",
            "0a;name=value\r\n0123456789\r\n1\r\n\n\r\n000\r\nTrailer: a\r\nB: c\r\n\r\n",
        ] {
            assert!(with(whole).is_ok_and(|f| f.whole()), "{whole:?}");
            assert_eq!(with(&format!("{whole}G")).err(), Some(Fault::OutOfTurn), "{whole:?}");
        }
        for open in [
            "3\r\nabcd\n0\r\n\r\n",
            "3\nabc\n0\n\n",
            " 3\r\nabc\r\n0\r\n\r\n",
            "\r\n",
            "0x3\r\nabc\r\n0\r\n\r\n",
            "000000003\r\nabc\r\n0\r\n\r\n",
            "0\r\n\n\r\n",
        ] {
            let more = format!("{open}GET / HTTP/1.1\r\n\r\n");
            assert!(with(open).is_ok_and(|f| !f.whole()), "{open:?}");
            assert!(with(&more).is_ok_and(|f| !f.whole()), "{more:?}");
        }
        assert!(with("3\r\nabc\r\n0\r\n").is_ok_and(|f| !f.whole()));
        assert_eq!(with("ffffffff\r\n").err(), Some(Fault::LongBody));
        assert_eq!(with(&format!("1;{}", "x".repeat(20_000))).err(), Some(Fault::LongHead));
        assert_eq!(with(&format!("0\r\n{}", "A: b\r\n".repeat(4000))).err(), Some(Fault::LongHead));
        let twice = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        assert!(requests(twice).is_ok_and(|f| !f.whole()));
    }

    #[test]
    fn what_leaves_the_end_open_to_doubt_is_a_fault() {
        let with = |headers: &str| requests(&format!("POST / HTTP/1.1\r\n{headers}\r\n\r\n")).err();
        let both = [
            "Content-Length: 3\r\nTransfer-Encoding: chunked",
            "transfer-encoding: chunked\r\ncontent-length: 3",
        ];
        for headers in both {
            assert_eq!(with(headers), Some(Fault::TwoLengths));
        }
        for length in ["-1", "+1", "1, 1", "x", "", "0x10", "1\r\nContent-Length: 1"] {
            assert_eq!(with(&format!("Content-Length: {length}")), Some(Fault::BadLength));
        }
        for length in ["65537", "99999999999999999999999"] {
            assert_eq!(with(&format!("Content-Length: {length}")), Some(Fault::LongBody));
        }
        assert_eq!(with(&"A: b\r\n".repeat(4000)), Some(Fault::LongHead));
        assert_eq!(
            requests("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n").err(),
            Some(Fault::OutOfTurn)
        );
    }

    #[test]
    fn interim_answers_are_no_answer() {
        let mut f = Framing::new(Side::Answers, LONGEST_BODY);
        for _ in 0..3 {
            assert_eq!(f.feed(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), Ok(()));
            assert!(!f.begun());
        }
        assert_eq!(f.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), Ok(()));
        assert!(f.whole());
        assert_eq!(f.feed(b"HTTP/1.1 200 OK\r\n"), Err(Fault::OutOfTurn));
        f.next();
        let endless = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(40);
        assert_eq!(f.feed(&endless), Err(Fault::Interim));
    }
}
