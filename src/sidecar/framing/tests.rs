//! Tests of message framing. Requests are fed as a whole and again byte by byte.

use super::*;

const MAX_BODY: usize = 64 << 10;

fn requests(text: &str) -> Result<Framing, FramingError> {
    let mut complete = Framing::new(MessageKind::Request, MAX_BODY);
    let result = complete.feed(text.as_bytes());
    let mut piecemeal = Framing::new(MessageKind::Request, MAX_BODY);
    let one_by_one = text.as_bytes().chunks(1).try_for_each(|b| piecemeal.feed(b));
    assert_eq!(result, one_by_one, "{text:?}");
    result.map(|()| complete)
}

#[test]
fn message_ends_as_its_head_declares() {
    assert!(requests("GET / HTTP/1.1\r\nA: b\r\n\r\n").is_ok_and(|framing| framing.is_complete()));
    assert!(
        requests("POST / HTTP/1.1\nContent-Length: 3\n\nabc")
            .is_ok_and(|framing| framing.is_complete())
    );
    assert!(
        requests("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab")
            .is_ok_and(|framing| !framing.is_complete())
    );
    assert!(
        requests("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc")
            .is_ok_and(|framing| !framing.is_complete())
    );
}

#[test]
fn chunked_body_ends_per_standard_or_is_left_to_hyper() {
    let with = |body: &str| {
        requests(&format!("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n{body}"))
    };
    for complete in [
        "0\r\n\r\n",
        "3\r\nabc\r\n0\r\n\r\n",
        "0a;name=value\r\n0123456789\r\n1\r\n\n\r\n000\r\nTrailer: a\r\nB: c\r\n\r\n",
    ] {
        assert!(with(complete).is_ok_and(|framing| framing.is_complete()), "{complete:?}");
        assert_eq!(
            with(&format!("{complete}G")).err(),
            Some(FramingError::UnexpectedData),
            "{complete:?}"
        );
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
        assert!(with(open).is_ok_and(|framing| !framing.is_complete()), "{open:?}");
        assert!(with(&more).is_ok_and(|framing| !framing.is_complete()), "{more:?}");
    }
    assert!(with("3\r\nabc\r\n0\r\n").is_ok_and(|framing| !framing.is_complete()));
    assert_eq!(with("ffffffff\r\n").err(), Some(FramingError::BodyTooLong));
    assert_eq!(with(&format!("1;{}", "x".repeat(20_000))).err(), Some(FramingError::HeadTooLong));
    assert_eq!(
        with(&format!("0\r\n{}", "A: b\r\n".repeat(4000))).err(),
        Some(FramingError::HeadTooLong)
    );
    let twice = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert!(requests(twice).is_ok_and(|framing| !framing.is_complete()));
}

#[test]
fn ambiguous_message_length_is_an_error() {
    let with = |headers: &str| requests(&format!("POST / HTTP/1.1\r\n{headers}\r\n\r\n")).err();
    let both = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "transfer-encoding: chunked\r\ncontent-length: 3",
    ];
    for headers in both {
        assert_eq!(with(headers), Some(FramingError::ConflictingLengths));
    }
    for length in ["-1", "+1", "1, 1", "x", "", "0x10", "1\r\nContent-Length: 1"] {
        assert_eq!(with(&format!("Content-Length: {length}")), Some(FramingError::InvalidLength));
    }
    for length in ["65537", "99999999999999999999999"] {
        assert_eq!(with(&format!("Content-Length: {length}")), Some(FramingError::BodyTooLong));
    }
    assert_eq!(with(&"A: b\r\n".repeat(4000)), Some(FramingError::HeadTooLong));
    assert_eq!(
        requests("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n").err(),
        Some(FramingError::UnexpectedData)
    );
}

#[test]
fn interim_responses_are_skipped_up_to_a_limit() {
    let mut framing = Framing::new(MessageKind::Response, MAX_BODY);
    for _ in 0..3 {
        assert_eq!(framing.feed(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), Ok(()));
        assert!(!framing.has_started());
    }
    assert_eq!(framing.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), Ok(()));
    assert!(framing.is_complete());
    assert_eq!(framing.feed(b"HTTP/1.1 200 OK\r\n"), Err(FramingError::UnexpectedData));
    framing.start_next();
    let endless = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(40);
    assert_eq!(framing.feed(&endless), Err(FramingError::TooManyInterimResponses));
}

#[test]
fn unprocessed_header_counts_only_if_it_occurs_once_with_value_1() {
    let long = format!("X-Unprocessed: 1{}0\r\n", " ".repeat(MAX_KEPT_LINE_BYTES));
    let heads = [
        ("", Unprocessed::Unsaid),
        ("X-Unprocessed: 1\r\n", Unprocessed::Promised),
        ("x-unprocessed:1\r\nServer: a\r\n", Unprocessed::Promised),
        ("X-Unprocessed: 0\r\n", Unprocessed::Contradictory),
        ("X-Unprocessed: 1\r\nX-Unprocessed: 0\r\n", Unprocessed::Contradictory),
        ("X-Unprocessed: 1\r\nX-Unprocessed: 1\r\n", Unprocessed::Contradictory),
        ("X-Unprocessed: 1\r\n 0\r\n", Unprocessed::Contradictory),
        (&long, Unprocessed::Contradictory),
    ];
    for (head, expected) in heads {
        let mut framing = Framing::new(MessageKind::Response, 100);
        let text = format!("HTTP/1.1 503 No\r\n{head}Content-Length: 2\r\n\r\n");
        framing.feed(text.as_bytes()).expect("a valid head");
        assert_eq!((framing.status(), framing.unprocessed()), (Some(503), expected), "{head:?}");
        framing.start_next();
        assert_eq!((framing.status(), framing.unprocessed()), (None, Unprocessed::Unsaid));
    }
}

#[test]
fn unprocessed_header_of_an_interim_response_does_not_count_for_the_final_one() {
    let mut framing = Framing::new(MessageKind::Response, 100);
    let interim = "HTTP/1.1 103 Early\r\nX-Unprocessed: 1\r\n\r\n";
    let last = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
    framing.feed(format!("{interim}{last}").as_bytes()).expect("valid heads");
    assert_eq!((framing.status(), framing.unprocessed()), (Some(503), Unprocessed::Unsaid));
}

#[test]
fn body_without_a_length_ends_with_its_connection_whatever_it_contains() {
    for body in ["", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "\r\n0\r\n\r\n"] {
        for piece in [1, 3, 1000] {
            let mut framing = Framing::new(MessageKind::Response, MAX_BODY);
            let text = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
            for bytes in text.as_bytes().chunks(piece) {
                assert_eq!(framing.feed(bytes), Ok(()), "{body:?}, {piece}");
            }
            assert_eq!(framing.body_end(), BodyEnd::Connection, "{body:?}, {piece}");
            assert!(!framing.is_complete() && !framing.may_be_cut_short(), "{body:?}, {piece}");
        }
    }
}

#[test]
fn only_a_copy_of_a_response_shows_that_its_length_is_not_too_short() {
    let response = "HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 2\r\n\r\nok";
    let behind = |bytes: &str, piece: usize| {
        let mut framing = Framing::new(MessageKind::Response, MAX_BODY);
        framing.feed(response.as_bytes()).expect("a valid response");
        for part in bytes.as_bytes().chunks(piece) {
            assert_eq!(framing.feed(part), Err(FramingError::UnexpectedData));
        }
        framing.may_be_cut_short()
    };
    let half = &response[..10];
    let other = response.replace("X: 1", "X: 2");
    for piece in [1, 7, 1000] {
        assert!(!behind("", piece));
        assert!(!behind(response, piece), "a copy");
        assert!(!behind(&response.repeat(2), piece), "two copies");
        for rest in [half, &other, "rest", "HTTP/1.1 200 OK\r\n\r\n"] {
            assert!(behind(rest, piece), "{rest:?}, {piece}");
        }
    }
}
