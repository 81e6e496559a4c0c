//! What requests and lists of endpoints contain does not decide where they end: servers and the sidecar get them byte for
//! byte.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use fakes::contents::*;
use fakes::scripted::{NOT_FOUND, request_id};
use fakes::wire::{encode_chunked, read_message};
use serde_json::{Value, json};

use crate::net::*;
use crate::paced_responses::{Framing, usual_times};
use crate::support::{apply_config, start_raw};

/// The answer of a server that has received another body than the client has sent.
const CHANGED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nchanged";
/// The lengths of bodies, around those that are buffered and those that are streamed.
const LENGTHS: [usize; 7] = [0, 1, 3_000, 65_535, 65_537, 200_000, 900_000];

/// Serves a connection. A request is answered with its id if its body is the one that its client sends.
fn check_requests(socket: TcpStream) {
    let Ok(mut writer) = socket.try_clone() else { return };
    let mut reader = BufReader::new(socket);
    while let Some((head, body)) = read_message(&mut reader) {
        let id = request_id(&head);
        let text = match id.as_str() {
            "" => NOT_FOUND.to_owned(),
            id if is_body_of(Direction::Request, id, &body) => answer(id),
            _ => CHANGED.to_owned(),
        };
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// A sidecar in front of servers that check the bodies of requests.
fn checking_sidecar() -> Sidecar {
    let servers = (0..3).map(|_| start_raw(check_requests)).collect();
    Sidecar::start_with(Registry::start(servers), |config: &mut Value| {
        usual_times(config);
        config["limits"]["memory_mb"] = 64.into();
    })
}

/// A request of this class with the body that follows from its id, with a length or in chunks of this size.
fn upload(class: &str, id: &str, length: usize, chunk: Option<usize>) -> Vec<u8> {
    let body = body_of(Direction::Request, id, length);
    let request = if class == "order" { order_request(id) } else { keyed_request(id) };
    let (field, body) = match chunk {
        None => (format!("Content-Length: {length}"), body),
        Some(size) => ("Transfer-Encoding: chunked".to_owned(), encode_chunked(&body, size)),
    };
    let head = request.replace("Content-Length: 2\r\n\r\nab", &format!("{field}\r\n\r\n"));
    [head.as_bytes(), &body].concat()
}

/// Guards against an upload that ends, or is changed, where a piece of a protocol stands in it.
#[test]
fn request_with_pieces_of_protocols_in_its_body_reaches_its_server_unchanged() {
    let sidecar = &checking_sidecar();
    thread::scope(|scope| {
        for class in ["order", "keep"] {
            scope.spawn(move || {
                for (length, chunk) in
                    LENGTHS.into_iter().flat_map(|l| [None, Some(7), Some(16_000)].map(|c| (l, c)))
                {
                    if chunk == Some(7) && length > 65_537 {
                        continue;
                    }
                    for number in 0..2 {
                        let size = chunk.unwrap_or_default();
                        let id = format!("{class}-{length}-{size}-{number}");
                        let mut client = sidecar.connect();
                        client.write_all(&upload(class, &id, length, chunk)).expect("sent");
                        let answer = first_answer(client);
                        assert!(answer.ends_with(&format!("\r\n\r\n{id}")), "{id}: {answer:?}");
                    }
                }
            });
        }
    });
}

/// Guards against the same where a request comes in two reads, split at any place behind its head.
#[test]
fn request_whose_pieces_come_in_two_reads_reaches_its_server_unchanged() {
    let sidecar = checking_sidecar();
    for chunk in [None, Some(50)] {
        let length = 150;
        for split in (0..length).step_by(3) {
            let id = format!("split-{}-{split}", chunk.unwrap_or_default());
            let text = upload("order", &id, length, chunk);
            let head = text.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
            let (first, rest) = text.split_at(head + split);
            let mut client = sidecar.connect();
            client.set_nodelay(true).expect("set");
            client.write_all(first).expect("sent");
            thread::sleep(Duration::from_millis(2));
            client.write_all(rest).expect("sent");
            let answer = first_answer(client);
            assert!(answer.ends_with(&format!("\r\n\r\n{id}")), "{id}: {answer:?}");
        }
    }
}

/// Guards against an id, a key or a path that is read as more than itself.
#[test]
fn request_whose_fields_hold_pieces_of_protocols_reaches_its_server_unchanged() {
    let server = Server::echo();
    let sidecar = Sidecar::start(discovery(&[&server]));
    for text in
        ["HTTP/1.1 200 OK", "0", "Content-Length: 0", "a, close; b=\"c\"", "503 X-Unprocessed: 1"]
    {
        let path = "/keep/1?x=%0d%0a0%0d%0a%0d%0aHTTP/1.1%20200%20OK";
        let request = format!(
            "POST {path} HTTP/1.1\r\nX-Correlation-Id: {text}\r\nX-Time-Left-Ms: 20000\r\n\
             Idempotency-Key: {text}\r\nX-Note: Content-Length: 9\r\nContent-Length: 2\r\n\r\nab"
        );
        let answer = sidecar.exchange(&request);
        assert!(answer.ends_with(&format!("\r\n\r\n{text}")), "{text}: {answer:?}");
        let head = server.heads().pop().expect("a request");
        assert!(head.starts_with(&format!("POST {path} ")), "{head}");
        assert!(
            head.to_lowercase().contains(&format!("idempotency-key: {}\r\n", text.to_lowercase()))
        );
        let again = sidecar.exchange(&request);
        assert!(again.starts_with("HTTP/1.1 409"), "{text}: {again:?}");
    }
}

/// Guards against a list of endpoints whose names or further fields are read as framing.
#[test]
fn list_whose_fields_hold_pieces_of_protocols_is_used_in_every_framing() {
    for framing in Framing::ALL {
        let server = Server::echo();
        let mut host = serde_json::to_value(Entry::new(server.at, "a")).expect("JSON");
        let pieces: Vec<_> = PIECES.iter().map(|piece| String::from_utf8_lossy(piece)).collect();
        host["host"] = json!(format!("s-{}", pieces.concat()));
        host["note"] = json!({"seq": 99, "whole": false, "hosts": pieces});
        let list = json!({"note": pieces, "seq": 1, "whole": true, "hosts": [host]}).to_string();
        let agent = start_raw(move |mut socket| {
            let mut reader = BufReader::new(socket.try_clone().expect("a second handle"));
            let mut is_first = true;
            while read_message(&mut reader).is_some() {
                if !std::mem::take(&mut is_first) {
                    thread::sleep(Duration::from_millis(200));
                }
                let head = framing.head(list.len());
                let text =
                    [head.as_bytes(), &framing.piece_of(list.as_bytes()), framing.end()].concat();
                if socket.write_all(&text).is_err() || framing == Framing::Close {
                    return;
                }
            }
        });
        let sidecar = Sidecar::start(discovery(&[&Server::echo()]));
        let mut config = sidecar.config().clone();
        config["discovery"] = json!(agent.dial.to_string());
        apply_config(&sidecar, &config);
        sidecar.wait_until_reaches(&server);
    }
}
