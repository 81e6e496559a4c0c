//! What is still owed when something ends: the real program among scripted peers, forced by events.
//! `docs/design/endings.md` says which ending each test is of.

mod common;
#[path = "common/net.rs"]
mod net;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use net::*;
use serde_json::{Value, json};
use standins::wire::message;

fn take_over(sidecar: &Sidecar, config: &Value) {
    let told = || sidecar.log().matches("configuration in force").count();
    let before = told();
    sidecar.replace(&config.to_string());
    sidecar.signal("HUP");
    until("the configuration is in force", || told() > before);
}

// ---- Discovery ----

/// A discovery of the test's own: what it does to each call is in a script, which gets the call's number
/// and path, and tells whether the connection goes on.
struct Agent {
    at: SocketAddr,
    calls: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Agent {
    fn start(
        script: impl Fn(usize, &str, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let at = listener.local_addr().expect("an address");
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (script, list) = (Arc::new(script), calls.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (script, list) = (script.clone(), list.clone());
                thread::spawn(move || {
                    let mut write = socket.try_clone().expect("a second handle");
                    let mut read = BufReader::new(socket);
                    while let Some((head, _)) = message(&mut read) {
                        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
                        let n = {
                            let mut list = list.lock().expect("no panic");
                            list.push((Instant::now(), path.clone()));
                            list.len()
                        };
                        if !script(n, &path, &mut write) {
                            return;
                        }
                    }
                });
            }
        });
        Agent { at, calls }
    }

    fn calls(&self) -> Vec<(Instant, String)> {
        self.calls.lock().expect("no panic").clone()
    }

    /// Has the sidecar ask here from now on.
    fn takes_over(&self, sidecar: &Sidecar) {
        let mut config = sidecar.config().clone();
        config["discovery"] = json!(self.at.to_string());
        take_over(sidecar, &config);
    }
}

fn list(socket: &mut TcpStream, seq: u64, whole: bool, hosts: &[(SocketAddr, &str)]) -> bool {
    let hosts: Vec<_> = hosts
        .iter()
        .map(|(at, health)| {
            json!({"host": format!("s-{}", at.port()), "dial": at.to_string(), "site": "a",
                   "health": health, "share": 1.0, "born_ms": 0})
        })
        .collect();
    let body = json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string();
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    socket.write_all(text.as_bytes()).is_ok()
}

/// What an agent has counts as told from the moment in which it speaks again, and it may never answer
/// what it was asked while it was silent.
#[test]
fn a_silent_agent_is_asked_anew_well_within_the_time_to_stop_sending() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), |config| {
        config["settings"]["rules"]["stopSendingWithin"] = 200_000.into();
    });
    let silent = Agent::start(|_, _, _| true);
    silent.takes_over(&sidecar);
    until("it is asked often", || silent.calls().len() >= 8);
    let calls = silent.calls();
    // A quarter of the time to stop, each; one call after the other would take 0.8 s each.
    let took = calls[7].0 - calls[0].0;
    assert!(took < Duration::from_secs(4), "eight calls took {took:?}");
    assert!(sidecar.exchange(&look("a")).ends_with("\r\n\r\na"), "what was known is used on");
}

#[test]
fn an_agent_that_answers_slowly_is_heard_though_it_is_asked_anew() {
    let (old, new) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start_with(discovery(&[&old]), |config| {
        config["settings"]["rules"]["stopSendingWithin"] = 200_000.into();
    });
    let at = new.at;
    let slow = Agent::start(move |_, path, socket| {
        thread::sleep(Duration::from_millis(300));
        let whole = !path.contains("from=");
        let hosts = [(at, "active")];
        list(socket, 7, whole, if whole { &hosts } else { &[] })
    });
    slow.takes_over(&sidecar);
    let mut n = 0;
    until("its list is known", || {
        n += 1;
        sidecar.exchange(&look(&format!("look{n}")));
        !new.seen().is_empty()
    });
}

/// Lists that cannot be used count as failed calls.
#[test]
fn a_list_that_cannot_be_used_empties_nothing() {
    let (old, new) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start(discovery(&[&old]));
    let at = new.at;
    let spoilt = Agent::start(move |n, _, socket| {
        let bad = [
            "{\"seq\":9,\"whole\":true,\"hosts\":[{\"host\":\"s-1\",\"dial\":\"nowhere\",\"health\":\"active\"}]}",
            "{\"seq\":9,\"whole\":true,\"hosts\":[",
            "{\"seq\":9,\"whole\":true,\"hosts\":[{\"host\":\"s-1\",\"dial\":\"127.0.0.1:1\",\"health\":\"well\"}]}",
            "[]",
            "\u{0}\u{1}",
        ];
        let text = match bad.get(n - 1) {
            Some(body) => {
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            }
            None if n == bad.len() + 1 => {
                "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"seq\"".into()
            }
            None if n == bad.len() + 2 => "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".into(),
            None if n < 30 => return false,
            None => return list(socket, 9, true, &[(at, "active")]),
        };
        socket.write_all(text.as_bytes()).is_ok()
    });
    spoilt.takes_over(&sidecar);
    let mut n = 0;
    while spoilt.calls().len() < 29 {
        n += 1;
        let id = format!("look{n}");
        assert!(sidecar.exchange(&look(&id)).ends_with(&format!("\r\n\r\n{id}")));
        assert!(n < 20_000, "it is asked no more: {:?}", spoilt.calls().len());
    }
    until("the sound list is known", || {
        n += 1;
        sidecar.exchange(&look(&format!("look{n}")));
        !new.seen().is_empty()
    });
}

/// Lists are asked for. Found by reading: the silence showed half a second before what was missed counts
/// as told, and then the module's wait was still to come.
#[test]
fn a_watch_that_fell_silent_is_opened_anew_at_once() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), |config| {
        config["settings"]["discovery"] = "on_request".into();
        config["settings"]["rules"]["mustAskIn"] = 100_000_000.into();
        // Of this seed the first watch comes soon, and what the module waits after a failure is long.
        config["seed"] = "00000000000014f8".into();
    });
    let at = server.at;
    let agent = Agent::start(move |n, _, socket| match n {
        1 => list(socket, 1, true, &[(at, "active")]),
        2 => list(socket, 1, false, &[]),
        _ => true,
    });
    agent.takes_over(&sidecar);
    until("it watches", || agent.calls().len() >= 3);
    until("it opens another watch", || agent.calls().len() >= 4);
    let calls = agent.calls();
    let took = calls[3].0 - calls[2].0;
    assert!(took < Duration::from_secs(12), "{took:?}: {calls:?}");
}

/// Lists are asked for, and discovery moves a second time while the first move's call is unanswered.
#[test]
fn a_move_does_not_wait_for_a_call_to_the_old_address() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), |config| {
        config["settings"]["discovery"] = "on_request".into();
    });
    let (silent, next) = (Agent::start(|_, _, _| true), Agent::start(|_, _, _| true));
    silent.takes_over(&sidecar);
    until("it asks there", || !silent.calls().is_empty());
    let asked = silent.calls()[0].0;
    next.takes_over(&sidecar);
    until("it asks the next", || !next.calls().is_empty());
    let took = next.calls()[0].0 - asked;
    assert!(took < Duration::from_millis(2500), "{took:?}");
}
