//! Discovery that is silent, slow, wrong, moved or restarted.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fakes::scripted::serve;
use serde_json::json;

use crate::net::*;
use crate::support::*;

/// A discovery agent under the test's control: its script gets the number and the path of each call,
/// and returns whether the connection stays open.
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
        let list = calls.clone();
        serve(listener, move |head, socket| {
            let path = head.split(' ').nth(1).unwrap_or_default();
            let n = {
                let mut list = list.lock().expect("no panic");
                list.push((Instant::now(), path.to_owned()));
                list.len()
            };
            script(n, path, socket)
        });
        Agent { at, calls }
    }

    fn calls(&self) -> Vec<(Instant, String)> {
        self.calls.lock().expect("no panic").clone()
    }

    /// Has the sidecar use this agent from now on.
    fn becomes_discovery_of(&self, sidecar: &Sidecar) {
        let mut config = sidecar.config().clone();
        config["discovery"] = json!(self.at.to_string());
        apply_config(sidecar, &config);
    }
}

/// Responds with an endpoint list, or with what changed in it.
fn write_list(socket: &mut TcpStream, seq: u64, complete: bool, hosts: &[Entry]) -> bool {
    let body = json!({"seq": seq, "whole": complete, "hosts": hosts}).to_string();
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    socket.write_all(text.as_bytes()).is_ok()
}

/// What an agent knows counts from the moment in which it responds again, and it may never respond to
/// calls that were made while it was silent.
#[test]
fn silent_agent_is_polled_again_well_within_the_stop_sending_time() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), |config| {
        config["settings"]["rules"]["stopSendingWithin"] = 200_000.into();
    });
    let silent = Agent::start(|_, _, _| true);
    silent.becomes_discovery_of(&sidecar);
    until("it is polled often", || silent.calls().len() >= 8);
    let calls = silent.calls();
    // A quarter of the stop-sending time each; one call after the other would take 0.8 s each.
    let took = calls[7].0 - calls[0].0;
    assert!(took < Duration::from_secs(4), "eight calls took {took:?}");
    assert!(
        sidecar.exchange(&look("a")).ends_with("\r\n\r\na"),
        "the known servers are still used"
    );
}

#[test]
fn slow_agent_response_is_used_although_it_is_polled_again() {
    let (old, new) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start_with(discovery(&[&old]), |config| {
        config["settings"]["rules"]["stopSendingWithin"] = 200_000.into();
    });
    let at = new.at;
    let slow = Agent::start(move |_, path, socket| {
        thread::sleep(Duration::from_millis(300));
        let complete = !path.contains("from=");
        let hosts = [Entry::new(at, "a")];
        write_list(socket, 7, complete, if complete { &hosts } else { &[] })
    });
    slow.becomes_discovery_of(&sidecar);
    sidecar.wait_until_reaches(&new);
}

/// A list that cannot be used counts as a failed call.
#[test]
fn unusable_list_leaves_known_servers_in_place() {
    let (old, new) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start(discovery(&[&old]));
    let at = new.at;
    let faulty = Agent::start(move |n, _, socket| {
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
            None => return write_list(socket, 9, true, &[Entry::new(at, "a")]),
        };
        socket.write_all(text.as_bytes()).is_ok()
    });
    faulty.becomes_discovery_of(&sidecar);
    let mut n = 0;
    while faulty.calls().len() < 29 {
        n += 1;
        let id = format!("look{n}");
        assert!(sidecar.exchange(&look(&id)).ends_with(&format!("\r\n\r\n{id}")));
        assert!(n < 20_000, "it is no longer polled: {:?}", faulty.calls().len());
    }
    sidecar.wait_until_reaches(&new);
}

/// Discovery is polled. Found by reading: the silence was detected half a second before what was missed
/// counts as known, and the balancer's backoff was still to come.
#[test]
fn silent_watch_is_reopened_at_once() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), |config| {
        config["settings"]["discovery"] = "on_request".into();
        config["settings"]["rules"]["mustAskIn"] = 100_000_000.into();
        // With this seed the first watch is opened soon, and the backoff after a failure is long.
        config["seed"] = "00000000000014f8".into();
    });
    let at = server.at;
    let agent = Agent::start(move |n, _, socket| match n {
        1 => write_list(socket, 1, true, &[Entry::new(at, "a")]),
        2 => write_list(socket, 1, false, &[]),
        _ => true,
    });
    agent.becomes_discovery_of(&sidecar);
    until("it watches", || agent.calls().len() >= 3);
    until("it opens another watch", || agent.calls().len() >= 4);
    let calls = agent.calls();
    let took = calls[3].0 - calls[2].0;
    assert!(took < Duration::from_secs(12), "{took:?}: {calls:?}");
}

/// A sidecar that polls its lists.
fn polling_sidecar(registry: Registry) -> Sidecar {
    Sidecar::start_with(registry, |config| {
        config["settings"]["discovery"] = "on_request".into();
    })
}

/// Discovery is polled, and needs two seconds for an answer. Found by reading, after the same mistake with an agent: a call
/// was dropped after 1.5 s and followed by the next, so that no answer ever arrived, and changes were never known.
#[test]
fn slow_service_is_understood_although_it_is_called_again() {
    let (old, new) = (Server::echo(), Server::echo());
    let sidecar = polling_sidecar(discovery(&[&old]));
    let (first, changed) = (Entry::new(old.at, "a"), Entry::new(new.at, "a"));
    let service = Agent::start(move |n, path, socket| {
        if n == 1 {
            return write_list(socket, 1, true, std::slice::from_ref(&first));
        }
        let held = path.split_once("hold_ms=").and_then(|(_, ms)| ms.parse().ok()).unwrap_or(0);
        thread::sleep(Duration::from_millis(held + 2000));
        write_list(socket, 2, true, std::slice::from_ref(&changed))
    });
    service.becomes_discovery_of(&sidecar);
    until("it watches", || service.calls().len() >= 2);
    let watched = service.calls()[1].0;
    sidecar.wait_until_reaches(&new);
    let took = watched.elapsed();
    // The watch is held for 2 s, and late by as much.
    assert!(took < Duration::from_secs(6), "the change was known after {took:?}");
}

/// Discovery is polled, and after its first list answers every watch with changes up to a version before that. It is
/// another process by then, which knows nothing of that version: only its complete list tells what is there now. Found by
/// reading: the same watch was opened again and again.
#[test]
fn changes_up_to_an_older_version_are_followed_by_the_complete_list() {
    let (old, new) = (Server::echo(), Server::echo());
    let sidecar = polling_sidecar(discovery(&[&old]));
    let (first, changed) = (Entry::new(old.at, "a"), Entry::new(new.at, "a"));
    let service = Agent::start(move |n, path, socket| match n {
        1 => write_list(socket, 9, true, std::slice::from_ref(&first)),
        _ if path.contains("from=") => {
            thread::sleep(Duration::from_millis(100));
            write_list(socket, 3, false, &[])
        }
        _ => write_list(socket, 3, true, std::slice::from_ref(&changed)),
    });
    service.becomes_discovery_of(&sidecar);
    until("it watches", || service.calls().len() >= 2);
    let watched = service.calls()[1].0;
    sidecar.wait_until_reaches(&new);
    let took = watched.elapsed();
    assert!(took < Duration::from_secs(6), "the change was known after {took:?}");
    let calls = service.calls();
    assert!(!calls[2].1.contains("from="), "the complete list is asked for: {calls:?}");
}

/// Sends some orders, which are all served, and none of them by `server`.
fn assert_gets_nothing_new(sidecar: &Sidecar, server: &Server) {
    let before = server.seen().len();
    for n in 0..50 {
        let id = format!("order{n}");
        assert!(sidecar.exchange(&order(&id)).ends_with(&format!("\r\n\r\n{id}")));
    }
    assert_eq!(server.seen().len(), before, "the server gets new requests");
}

/// Discovery is polled, and `mustAskIn` is long. Found by reading: the backoff went by it alone, so a drain
/// that discovery had announced for half a minute was not known here.
#[test]
fn drain_is_followed_soon_after_discovery_recovers_whatever_must_ask_in_is() {
    let (old, new) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start_with(discovery(&[&old]), |config| {
        config["settings"]["discovery"] = "on_request".into();
        config["settings"]["rules"]["mustAskIn"] = 60_000_000.into();
    });
    let (draining, active) =
        (Entry { health: "leaving", ..Entry::new(old.at, "a") }, Entry::new(new.at, "a"));
    let first = Entry::new(old.at, "a");
    // Down from the second call on, and back just after the sixth.
    let agent = Agent::start(move |n, path, socket| match n {
        1 => write_list(socket, 1, true, std::slice::from_ref(&first)),
        2..=6 => false,
        7 => write_list(socket, 2, true, &[draining.clone(), active.clone()]),
        _ => {
            thread::sleep(Duration::from_millis(if path.contains("hold_ms") { 200 } else { 0 }));
            write_list(socket, 2, false, &[])
        }
    });
    agent.becomes_discovery_of(&sidecar);
    until("it polls a seventh time", || agent.calls().len() >= 7);
    let calls = agent.calls();
    // The sixth call fails as discovery recovers, and so might the seventh: then the eighth is in time.
    let took = calls[6].0 - calls[4].0;
    assert!(took < Duration::from_secs(6), "two backoffs and two calls took {took:?}");
    sidecar.wait_until_reaches(&new);
    assert_gets_nothing_new(&sidecar, &old);
}

/// A server that a complete list does not name is gone even if it still responds: idle connections to
/// it are not used.
#[test]
fn server_missing_from_a_complete_list_gets_no_requests() {
    let (old, new) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start(discovery(&[&old]));
    sidecar.wait_until_reaches(&old);
    let at = new.at;
    let agent = Agent::start(move |_, path, socket| {
        let hosts = [Entry::new(at, "a")];
        let complete = !path.contains("from=");
        thread::sleep(Duration::from_millis(if complete { 0 } else { 200 }));
        write_list(socket, 7, complete, if complete { &hosts } else { &[] })
    });
    agent.becomes_discovery_of(&sidecar);
    sidecar.wait_until_reaches(&new);
    assert_gets_nothing_new(&sidecar, &old);
}

/// Discovery is polled, and moves a second time while the call to its first new address is unanswered.
#[test]
fn discovery_move_does_not_wait_for_a_pending_call() {
    let server = Server::echo();
    let sidecar = polling_sidecar(discovery(&[&server]));
    let (silent, next) = (Agent::start(|_, _, _| true), Agent::start(|_, _, _| true));
    silent.becomes_discovery_of(&sidecar);
    until("it calls the first address", || !silent.calls().is_empty());
    let called = silent.calls()[0].0;
    next.becomes_discovery_of(&sidecar);
    until("it calls the next address", || !next.calls().is_empty());
    let took = next.calls()[0].0 - called;
    assert!(took < Duration::from_millis(2500), "{took:?}");
}

/// An agent that has told of a draining server, and after the grace period sends its first answer, in which the server
/// is active, a second time on the same connection.
struct CopyingAgent {
    entries: [Entry; 2],
    state: Mutex<CopyingState>,
}

#[derive(Default)]
struct CopyingState {
    /// The connection that carried the first answer.
    first_peer: Option<SocketAddr>,
    told_at: Option<Instant>,
    /// When the first answer was sent again.
    copied_at: Option<Instant>,
}

impl CopyingAgent {
    /// Beyond the grace period of 0.5 s.
    const COPY_DELAY: Duration = Duration::from_millis(700);
    /// How long it takes for an answer behind that.
    const ANSWER_TIME: Duration = Duration::from_millis(80);

    fn write(&self, path: &str, socket: &mut TcpStream) -> bool {
        let mut state = self.state.lock().expect("no panic");
        let peer = socket.peer_addr().ok();
        if state.first_peer.is_none() {
            state.first_peer = peer;
            return write_list(socket, 100, true, &self.entries);
        }
        let draining = Entry { health: "leaving", ..self.entries[0].clone() };
        let told_at = *state.told_at.get_or_insert_with(Instant::now);
        let is_due = told_at.elapsed() >= CopyingAgent::COPY_DELAY && state.copied_at.is_none();
        if is_due && state.first_peer == peer {
            state.copied_at = Some(Instant::now());
            return write_list(socket, 100, true, &self.entries);
        }
        let was_copied = state.copied_at.is_some();
        drop(state);
        if !path.contains("from=101") {
            if was_copied {
                thread::sleep(CopyingAgent::ANSWER_TIME);
            }
            return write_list(socket, 101, true, &[draining, self.entries[1].clone()]);
        }
        thread::sleep(Duration::from_millis(90));
        write_list(socket, 101, false, &[])
    }

    fn copied_at(&self) -> Option<Instant> {
        self.state.lock().expect("no panic").copied_at
    }
}

#[test]
fn second_copy_of_an_older_list_does_not_bring_a_draining_server_back() {
    let (first, second) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start(discovery(&[&first]));
    let entries = [Entry::new(first.at, "a"), Entry::new(second.at, "a")];
    let copying = Arc::new(CopyingAgent { entries, state: Mutex::default() });
    let script = copying.clone();
    let agent = Agent::start(move |_, path, socket| script.write(path, socket));
    agent.becomes_discovery_of(&sidecar);
    let mut received = first.seen().len();
    for n in 0.. {
        sidecar.exchange(&look(&format!("look{n}")));
        match copying.copied_at() {
            None => received = first.seen().len(),
            Some(at) if at.elapsed() > Duration::from_millis(300) => break,
            Some(_) => {}
        }
        thread::sleep(Duration::from_millis(1));
    }
    // One may have been sent between the two looks.
    let later = first.seen().len() - received;
    assert!(later <= 1, "{later} requests to a draining server");
}

/// An agent that sends each answer a second time, 20 ms later, and holds watches for a while.
#[test]
fn second_copies_of_the_list_in_force_delay_no_change() {
    const COPY_DELAY: Duration = Duration::from_millis(20);
    const HOLD: Duration = Duration::from_millis(90);
    let (first, second) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start(discovery(&[&first]));
    let entries = [Entry::new(first.at, "a"), Entry::new(second.at, "a")];
    let changed_at = Arc::new(Mutex::new(None));
    let change = changed_at.clone();
    let agent = Agent::start(move |_, path, socket| {
        let is_changed = || change.lock().expect("no panic").is_some();
        let until = Instant::now() + HOLD;
        while path.contains("from=100") && !is_changed() && Instant::now() < until {
            thread::sleep(Duration::from_millis(2));
        }
        let (version, health) = if is_changed() { (101, "leaving") } else { (100, "active") };
        let first = Entry { health, ..entries[0].clone() };
        let (mut later, hosts) =
            (socket.try_clone().expect("a handle"), [first, entries[1].clone()]);
        let copy = hosts.clone();
        thread::spawn(move || {
            thread::sleep(COPY_DELAY);
            write_list(&mut later, version, true, &copy)
        });
        write_list(socket, version, true, &hosts)
    });
    agent.becomes_discovery_of(&sidecar);
    sidecar.wait_until_reaches(&second);
    thread::sleep(Duration::from_millis(500));
    let changed = Instant::now();
    *changed_at.lock().expect("no panic") = Some(changed);
    let mut received = 0;
    for n in 0.. {
        sidecar.exchange(&look(&format!("look{n}")));
        match changed.elapsed() {
            elapsed if elapsed <= Duration::from_millis(550) => received = first.seen().len(),
            elapsed if elapsed > Duration::from_millis(1500) => break,
            _ => {}
        }
        thread::sleep(Duration::from_millis(1));
    }
    let later = first.seen().len() - received;
    assert!(later <= 1, "{later} requests to a draining server");
}

/// The version of the new list is by chance that of the old one.
#[test]
fn agent_that_counts_anew_up_to_the_same_version_is_followed() {
    let (first, second) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start(discovery(&[&first]));
    let entries = [Entry::new(first.at, "a"), Entry::new(second.at, "a")];
    let restarted = Arc::new(Mutex::new(false));
    let is_restarted = restarted.clone();
    let agent = Agent::start(move |_, path, socket| {
        if path.contains("from=5") {
            thread::sleep(Duration::from_millis(50));
            return write_list(socket, 5, false, &[]);
        }
        let health = if *is_restarted.lock().expect("no panic") { "leaving" } else { "active" };
        let first = Entry { health, ..entries[0].clone() };
        write_list(socket, 5, true, &[first, entries[1].clone()])
    });
    agent.becomes_discovery_of(&sidecar);
    sidecar.wait_until_reaches(&second);
    let requests = |name: &str| {
        (0..20).for_each(|n| drop(sidecar.exchange(&look(&format!("{name}{n}")))));
        first.seen().len()
    };
    let before = first.seen().len();
    assert!(requests("before") > before, "it is used");
    *restarted.lock().expect("no panic") = true;
    thread::sleep(Duration::from_millis(550));
    let received = first.seen().len();
    requests("after");
    assert_eq!(first.seen().len(), received, "requests to a draining server");
}
