//! System calls that fail as their manual pages allow, through a library that is loaded into the program.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use fakes::faulty_calls::{FaultRates, environment};
use fakes::wire::read_message;

use crate::net::*;
use crate::support::*;

fn start(discovery: Registry, rates: FaultRates, clock: Option<&Path>) -> Sidecar {
    let mut command = program(None);
    command.envs(environment(rates, clock).expect("a C compiler"));
    Sidecar::start_command(command, "127.0.0.1:0".to_owned(), discovery, |config| {
        config["admin_addr"] = "127.0.0.1:0".into();
    })
}

/// A figure of the operators' call `show-events`.
fn event_count(sidecar: &Sidecar, name: &str) -> u64 {
    let mut socket = TcpStream::connect(sidecar.admin()).expect("connected");
    socket.set_read_timeout(Some(PATIENCE)).expect("a time");
    socket.write_all(b"show-events\n").expect("written");
    let mut all = String::new();
    let _ = socket.read_to_string(&mut all);
    let line = all.lines().find_map(|line| line.strip_prefix(&format!("events.{name}=")));
    line.and_then(|count| count.parse().ok()).unwrap_or_else(|| panic!("no {name} in {all:?}"))
}

/// Sends so many requests one after the other, each on the connection of the one before; those that got
/// no answer. A connection that is closed between two requests is replaced.
fn unanswered(sidecar: &Sidecar, requests: usize, request: impl Fn(&str) -> String) -> Vec<String> {
    let mut unanswered = Vec::new();
    let mut client: Option<BufReader<TcpStream>> = None;
    for n in 0..requests {
        let id = format!("request-{n}");
        let mut reader = client.take().unwrap_or_else(|| BufReader::new(sidecar.connect()));
        let sent = reader.get_mut().write_all(request(&id).as_bytes());
        let answer = sent.ok().and_then(|()| read_message(&mut reader));
        match answer {
            Some((head, body)) => {
                assert!(head.starts_with("HTTP/1.1 200"), "{head}");
                assert_eq!(body, id.as_bytes());
                client = Some(reader);
            }
            None => unanswered.push(id),
        }
    }
    unanswered
}

/// A call that a signal interrupts has done nothing, and is to be made again.
#[test]
fn interrupted_calls_lose_no_request() {
    let echo = Server::echo();
    let rates = FaultRates { seed: 1, interrupted: 100, ..FaultRates::default() };
    let sidecar = start(discovery(&[&echo]), rates, None);
    assert_eq!(unanswered(&sidecar, 300, look), Vec::<String>::new());
}

/// A client that aborted its connection takes nothing that idle ones could give back.
#[test]
fn aborted_connections_evict_nobody() {
    let echo = Server::echo();
    let rates = FaultRates { seed: 2, aborted: 300, ..FaultRates::default() };
    let sidecar = start(discovery(&[&echo]), rates, None);
    let mut idle = sidecar.connect();
    idle.write_all(look("first").as_bytes()).expect("sent");
    assert!(first_answer(idle.try_clone().expect("a second handle")).ends_with("first"));
    for n in 0..40 {
        let answer = sidecar.exchange(&look(&format!("other{n}")));
        assert!(answer.ends_with(&format!("other{n}")), "{answer:?}");
    }
    std::thread::sleep(Duration::from_millis(50));
    idle.write_all(look("second").as_bytes()).expect("sent");
    assert!(first_answer(idle).ends_with("second"));
    assert_eq!(event_count(&sidecar, "closed.evicted"), 0);
}

/// A signal is told to the event loop through a pipe, and calls on that are interrupted as well.
#[test]
fn signals_are_not_lost_to_interrupted_calls() {
    let echo = Server::echo();
    let rates = FaultRates { seed: 3, interrupted: 300, ..FaultRates::default() };
    let mut sidecar = start(discovery(&[&echo]), rates, None);
    for _ in 0..10 {
        apply_config(&sidecar, &sidecar.config().clone());
    }
    sidecar.signal("TERM");
    let status = sidecar.wait_for_exit();
    assert!(status.success(), "{status}: {}", sidecar.log());
}
