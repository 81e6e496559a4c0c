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
/// The longest body of a request.
pub const LONGEST_BODY: usize = 64 << 10;
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
    /// The end shows in the body itself, which hyper reads: nothing may follow this message.
    Open,
    Whole,
}

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
    }

    /// Whether something of a message has come.
    pub fn begun(&self) -> bool {
        self.state != State::Before
    }

    /// Whether all of the message has come, as far as its head tells.
    pub fn whole(&self) -> bool {
        self.state == State::Whole
    }

    /// Whether only the body itself tells where it ends.
    pub fn open(&self) -> bool {
        self.state == State::Open
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
                State::Open => return Ok(()),
                State::Whole => return Err(Fault::OutOfTurn),
            }
            bytes = rest;
        }
        Ok(())
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
            self.chunked |= name.eq_ignore_ascii_case(b"transfer-encoding");
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
                .is_ok_and(|f| f.open())
        );
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
