//! What the body of a response contains does not decide where the response ends, whether it is whole or whose it is.
//! A sound one comes byte for byte, in each way to say where it ends.

use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use fakes::contents::*;

use crate::net::*;
use crate::paced_responses::{ALL_CLASSES, Framing, milliseconds, request};
use crate::scripted_responses::*;

/// The number of bytes of a body that are buffered before the rest is streamed.
const STREAM_WINDOW: usize = 64 << 10;
/// The head of a response that ends with its connection.
const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\n";
/// A response that is not passed on completely by this time after that of its client is lost, with the tolerance for
/// sockets.
const LOST_AFTER: Duration = Duration::from_millis(550);

/// Returns an exchange for each class and each way to say where a response ends.
fn in_every_framing(name: &str, body: &[u8]) -> Vec<Exchange> {
    let framings = |class| Framing::ALL.map(|framing| Exchange::new(name, class, framing, body));
    ALL_CLASSES.into_iter().flat_map(framings).collect()
}

/// Returns an exchange for each class.
fn in_every_class(name: &str, steps: &[Step], body: &[u8]) -> Vec<Exchange> {
    ALL_CLASSES.map(|class| Exchange::of(name, class, steps, body)).into()
}

/// Guards against a response that is failed or cut off because pieces of protocols stand in its body.
#[test]
fn response_with_pieces_of_protocols_in_its_body_is_served_whole() {
    let lengths = [0, 1, 200, 3_000, 40_000, STREAM_WINDOW, STREAM_WINDOW + 1, 100_000, 300_000];
    let exchanges: Vec<_> = lengths
        .into_iter()
        .flat_map(|length| (0..3).map(move |number| (length, number)))
        .flat_map(|(length, number)| {
            let name = format!("{length}-{number}");
            in_every_framing(&name, &body_of(Direction::Response, &name, length))
        })
        .collect();
    assert_served_whole(&exchanges);
}

/// Guards against the same for one piece at the places at which reads, buffers and the body end.
#[test]
fn response_with_one_piece_at_any_place_is_served_whole() {
    const LENGTH: usize = 100_000;
    let places = |piece: &[u8]| [0, 1, STREAM_WINDOW - piece.len() / 2, LENGTH - piece.len()];
    let exchanges: Vec<_> = PIECES
        .into_iter()
        .enumerate()
        .flat_map(|(number, piece)| places(piece).map(|place| (number, piece, place)))
        .flat_map(|(number, piece, place)| {
            let body = body_with(LENGTH, piece, place, number as u64);
            in_every_framing(&format!("piece-{number}-at-{place}"), &body)
        })
        .collect();
    assert_served_whole(&exchanges);
}

/// Guards against a body that is nothing but one piece.
#[test]
fn response_whose_body_is_a_piece_is_served_whole() {
    let exchanges: Vec<_> = PIECES
        .into_iter()
        .enumerate()
        .flat_map(|(number, piece)| in_every_framing(&format!("only-{number}"), piece))
        .collect();
    assert_served_whole(&exchanges);
}

/// Guards against a piece that is seen only if it comes in one read, or only if it does not.
#[test]
fn response_whose_pieces_come_in_two_reads_is_served_whole() {
    let text = |framing: Framing| {
        let end = String::from_utf8_lossy(framing.end()).into_owned();
        [
            framing.head(WHOLE_RESPONSE.len()).as_bytes(),
            &framing.piece_of(WHOLE_RESPONSE),
            end.as_bytes(),
        ]
        .concat()
    };
    let mut exchanges = Vec::new();
    for framing in Framing::ALL {
        let text = text(framing);
        for split in 1..text.len() {
            let (first, rest) = text.split_at(split);
            let mut steps = vec![write(first), pause(2), write(rest)];
            steps.extend((framing == Framing::Close).then_some(Step::Close));
            let name = format!("split-{framing:?}-{split}");
            exchanges.push(Exchange::of(&name, "order", &steps, WHOLE_RESPONSE));
        }
    }
    assert_served_whole(&exchanges);
}

/// Guards against an end of the connection that is taken for the end of a response only at some times.
#[test]
fn response_without_a_length_is_whole_whenever_its_connection_ends() {
    let mut exchanges = Vec::new();
    for length in [200, 40_000, 100_000] {
        let body = body_of(Direction::Response, "fin", length);
        for delay in [0, 1, 30, 500] {
            let steps = [write([NO_LENGTH.as_bytes(), &body].concat()), pause(delay), Step::Close];
            exchanges.extend(in_every_class(&format!("fin-{length}-{delay}"), &steps, &body));
        }
    }
    assert_served_whole(&exchanges);
}

/// Guards against a valid head that is read in another way than by its fields.
#[test]
fn response_with_an_unusual_valid_head_is_served_whole() {
    let body = body_of(Direction::Response, "heads", 500);
    let long_value = "HTTP/1.1 503 X-Unprocessed: 1 Content-Length: 3 ".repeat(40);
    let with_length = [
        "HTTP/1.1 103 Early Hints\r\nX-Unprocessed: 1\r\nContent-Length: 3\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n".to_owned(),
        "HTTP/1.0 200 OK\r\nContent-Length: 500\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\ncontent-length:500\r\n\r\n".to_owned(),
        "HTTP/1.1 200 \r\nContent-Length: \t500 \t\r\nX-Empty:\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nX-Note: {long_value}\r\nContent-Length: 500\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nX-Content-Length: 3\r\nContent-Length-X: 3\r\nContent-Length: 500\r\n\r\n".to_owned(),
        "HTTP/1.1 200 Content-Length: 3\r\nContent-Length: 500\r\nX-Unprocessed: 1\r\n\r\n".to_owned(),
    ];
    let without_length = [
        "HTTP/1.0 200 OK\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned(),
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nX-Note: {long_value}\r\n\r\n"),
    ];
    let chunked = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nX-Note: {long_value}\r\nTransfer-Encoding: chunked\r\n\r\n"),
    ];
    let chunks = [
        [b"1f4\r\n".as_slice(), &body, b"\r\n0\r\n\r\n"].concat(),
        [b"1F4;a=\"HTTP/1.1 200 OK\"\r\n".as_slice(), &body, b"\r\n0;b\r\n\r\n"].concat(),
        [
            b"001f4\r\n".as_slice(),
            &body,
            b"\r\n00\r\nX-Note: HTTP/1.1 503 Content-Length: 1\r\n\r\n",
        ]
        .concat(),
    ];
    let mut exchanges = Vec::new();
    for (number, head) in with_length.iter().enumerate() {
        let steps = [write(head), write(&body)];
        exchanges.extend(in_every_class(&format!("length-{number}"), &steps, &body));
    }
    for (number, head) in without_length.iter().enumerate() {
        let steps = [write(head), write(&body), Step::Close];
        exchanges.extend(in_every_class(&format!("close-{number}"), &steps, &body));
    }
    for (number, head) in chunked.iter().enumerate() {
        for (encoding, text) in chunks.iter().enumerate() {
            let steps = [write(head), write(text)];
            exchanges.extend(in_every_class(
                &format!("chunked-{number}-{encoding}"),
                &steps,
                &body,
            ));
        }
    }
    assert_served_whole(&exchanges);
}

/// Guards against a client of HTTP/1.0 that gets other bytes, or chunks.
#[test]
fn response_with_pieces_of_protocols_reaches_a_client_of_http_1_0() {
    let exchanges: Vec<_> = [3_000, 100_000]
        .into_iter()
        .flat_map(|length| {
            let body = body_of(Direction::Response, "old", length);
            in_every_framing(&format!("old-{length}"), &body)
        })
        .collect();
    let play = Play::start(&exchanges, |_| {});
    for exchange in &exchanges {
        let request = request(exchange.class, &exchange.id(), milliseconds(2_000));
        let mut client = play.sidecar.connect();
        client.write_all(request.replace("HTTP/1.1", "HTTP/1.0").as_bytes()).expect("sent");
        let mut received = Vec::new();
        client.read_to_end(&mut received).expect("a response that ends by a FIN");
        let head_end = received.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
        assert!(received.starts_with(b"HTTP/1.0 200"), "{}", exchange.name);
        assert!(received[head_end..] == exchange.body, "{}", exchange.name);
    }
}

/// Guards against two responses as one body that are failed, split, or mixed up with the response to the next request.
#[test]
fn two_responses_as_one_body_go_to_their_own_client_and_no_other() {
    let copy = [NO_LENGTH.as_bytes(), b"first"].concat();
    let with_length = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    for (number, second) in [&copy[..], &with_length[..]].into_iter().enumerate() {
        let body = [b"first", second].concat();
        for delay in [0, 5, 40] {
            let steps = [write(&copy), pause(delay), write(second), Step::Close];
            let exchanges = in_every_class(&format!("two-{number}-{delay}"), &steps, &body);
            let play = Play::start_with_servers(1, &exchanges, |_| {});
            for exchange in &exchanges {
                assert_eq!(
                    play.failures(std::slice::from_ref(exchange), milliseconds(2_000)),
                    [""; 0]
                );
                let next = format!("next-{}", exchange.id());
                let answer = play.sidecar.exchange(&order_request(&next));
                assert!(answer.ends_with(&format!("\r\n\r\n{next}")), "{answer:?}");
                assert_eq!((play.runs(&exchange.id()), play.runs(&next)), (1, 1));
            }
        }
    }
}

/// Guards against two responses on a connection that stays open whose client takes them for a whole one, or waits for
/// ever.
#[test]
fn two_responses_without_an_end_are_ended_in_time_and_visibly() {
    let time_left = milliseconds(800);
    for first_length in [5, 40_000, 100_000] {
        let first = [NO_LENGTH.as_bytes(), &vec![b'f'; first_length]].concat();
        let steps = [write(&first), pause(20), write(&first), Step::Stop];
        let exchanges = in_every_class(&format!("open-{first_length}"), &steps, b"");
        let play = Play::start(&exchanges, |_| {});
        std::thread::scope(|scope| {
            for exchange in &exchanges {
                scope.spawn(|| {
                    let sent_at = Instant::now();
                    let received = play.send(exchange, time_left);
                    let time = sent_at.elapsed();
                    let is_visible = match &received {
                        Received::Cut => true,
                        Received::Whole(status, _) => status.starts_with("HTTP/1.1 50"),
                    };
                    assert!(is_visible, "{}: served as whole", exchange.name);
                    assert!(time <= time_left + LOST_AFTER, "{}: {time:?}", exchange.name);
                });
            }
        });
    }
}

/// Guards against a reset right behind the last byte that is taken for the end of a response without a length.
#[test]
fn response_without_a_length_that_is_reset_behind_its_last_byte_is_not_served_as_whole() {
    for length in [1, 3_000, 100_000] {
        let body = body_of(Direction::Response, "reset", length);
        for delay in [0, 1, 30] {
            let steps = [write([NO_LENGTH.as_bytes(), &body].concat()), pause(delay), Step::Reset];
            let exchanges = in_every_class(&format!("reset-{length}-{delay}"), &steps, &body);
            let play = Play::start(&exchanges, |_| {});
            for exchange in &exchanges {
                let received = play.send(exchange, milliseconds(2_000));
                let is_whole =
                    matches!(&received, Received::Whole(status, _) if status.contains("200"));
                assert!(!is_whole, "{}: served as whole", exchange.name);
            }
        }
    }
}

/// Guards against a response without a length on a used connection that is failed after it ran because it comes sooner
/// than others.
#[test]
fn quick_response_without_a_length_on_a_used_connection_is_served() {
    for length in [200, 20_000, 100_000] {
        let body = body_of(Direction::Response, "used", length);
        let exchanges: Vec<_> = (0..6)
            .map(|number| Exchange {
                name: format!("used-{length}-{number}"),
                class: "order",
                steps: vec![write(NO_LENGTH), write(&body), Step::Close],
                body: body.clone(),
            })
            .collect();
        let slow: Vec<_> = (0..exchanges.len())
            .map(|number| {
                Exchange::of(
                    &format!("slow-{length}-{number}"),
                    "order",
                    &[pause(15), write(answer("s"))],
                    b"s",
                )
            })
            .collect();
        let all = [exchanges.clone(), slow.clone()].concat();
        let play = Play::start_with_servers(1, &all, |_| {});
        for (slow, quick) in slow.iter().zip(&exchanges) {
            assert_eq!(play.failures(std::slice::from_ref(slow), milliseconds(2_000)), [""; 0]);
            std::thread::sleep(milliseconds(60));
            assert_eq!(play.failures(std::slice::from_ref(quick), milliseconds(2_000)), [""; 0]);
            assert_eq!(play.runs(&quick.id()), 1);
        }
    }
}

/// The same for a response with a length that is streamed.
#[test]
fn quick_long_response_on_a_used_connection_is_served() {
    let body = body_of(Direction::Response, "used", 100_000);
    for framing in [Framing::Length, Framing::Chunked] {
        let quick: Vec<_> = (0..6)
            .map(|number| {
                let exchange = Exchange::new(&format!("quick-{number}"), "order", framing, &body);
                Exchange { steps: exchange.steps[1..].to_vec(), ..exchange }
            })
            .collect();
        let slow: Vec<_> = (0..quick.len())
            .map(|number| {
                Exchange::of(
                    &format!("slow-{number}"),
                    "order",
                    &[pause(15), write(answer("s"))],
                    b"s",
                )
            })
            .collect();
        let play = Play::start_with_servers(1, &[quick.clone(), slow.clone()].concat(), |_| {});
        for (slow, quick) in slow.iter().zip(&quick) {
            assert_eq!(play.failures(std::slice::from_ref(slow), milliseconds(2_000)), [""; 0]);
            std::thread::sleep(milliseconds(60));
            assert_eq!(play.failures(std::slice::from_ref(quick), milliseconds(2_000)), [""; 0]);
            assert_eq!(play.runs(&quick.id()), 1);
        }
    }
}

/// Guards against a response that is cut or changed where many wait for memory at the same time.
#[test]
fn response_with_pieces_of_protocols_is_whole_or_refused_where_memory_is_short() {
    let exchanges: Vec<_> = (0..16)
        .flat_map(|number| {
            let name = format!("memory-{number}");
            in_every_framing(&name, &body_of(Direction::Response, &name, 150_000))
        })
        .collect();
    let play = &Play::start(&exchanges, |config| {
        config["limits"]["memory_mb"] = 16.into();
        config["limits"]["sockets"] = 512.into();
    });
    let whole = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for exchange in &exchanges {
            scope.spawn(|| match play.send(exchange, milliseconds(2_000)) {
                Received::Cut => panic!("{}: cut", exchange.name),
                Received::Whole(status, body) if status == "HTTP/1.1 200 OK" => {
                    assert!(body == exchange.body, "{}: another body", exchange.name);
                    whole.fetch_add(1, Ordering::Relaxed);
                }
                Received::Whole(status, _) => {
                    assert!(status.starts_with("HTTP/1.1 50"), "{}: {status}", exchange.name);
                }
            });
        }
    });
    assert!(whole.into_inner() > 0, "none is served");
}

/// Guards against the last response on a connection that is failed because its body equals an earlier one.
#[test]
fn last_response_with_an_equal_body_on_a_used_connection_is_served() {
    let first = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsame";
    let last = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nsame";
    let steps = [write(last), Step::Close];
    let exchanges = [
        Exchange::of("first", "order", &[write(first)], b"same"),
        Exchange::of("last", "order", &steps, b"same"),
    ];
    let play = Play::start_with_servers(1, &exchanges, |_| {});
    for exchange in &exchanges {
        assert_eq!(play.failures(std::slice::from_ref(exchange), milliseconds(2_000)), [""; 0]);
        std::thread::sleep(milliseconds(60));
        assert_eq!(play.runs(&exchange.id()), 1);
    }
}
