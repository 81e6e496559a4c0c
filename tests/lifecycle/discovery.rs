//! Discovery services that do not respond, respond slowly or wrongly, move or restart.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fakes::scripted::serve;
use serde_json::json;

use crate::net::*;
use crate::support::*;

/// A scripted discovery agent. The script gets the number and the path of each call, and returns whether the connection
/// stays open.
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

    /// Reconfigures the sidecar to use this agent.
    fn set_as_discovery_of(&self, sidecar: &Sidecar) {
        let mut config = sidecar.config().clone();
        config["discovery"] = json!(self.at.to_string());
        apply_config(sidecar, &config);
    }
}

/// Responds with a complete endpoint list, or with changes to it.
fn write_list(socket: &mut TcpStream, seq: u64, complete: bool, hosts: &[Entry]) -> bool {
    let body = json!({"seq": seq, "whole": complete, "hosts": hosts}).to_string();
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    socket.write_all(text.as_bytes()).is_ok()
}

/// The sidecar is expected to know an agent's list as soon as the agent responds again, and the agent may never respond
/// to calls that were made while it was silent.
#[test]
fn silent_agent_is_called_again_well_within_the_stop_sending_time() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), |config| {
        config["settings"]["rules"]["stopSendingWithin"] = 200_000.into();
    });
    let silent = Agent::start(|_, _, _| true);
    silent.set_as_discovery_of(&sidecar);
    until("the agent is called often", || silent.calls().len() >= 8);
    let calls = silent.calls();
    // The calls are about an eighth of the stop-sending time apart; sequential calls would take 2 s each, the timeout
    // of a response head.
    let took = calls[7].0 - calls[0].0;
    assert!(took < Duration::from_secs(4), "eight calls took {took:?}");
    assert!(
        sidecar.exchange(&get_request("a")).ends_with("\r\n\r\na"),
        "the known servers are still used"
    );
}

#[test]
fn slow_agent_response_is_used_although_the_agent_is_called_again() {
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
    slow.set_as_discovery_of(&sidecar);
    sidecar.wait_until_reaches(&new);
}

/// A response that is not a valid list counts as a failed call.
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
    faulty.set_as_discovery_of(&sidecar);
    let mut n = 0;
    while faulty.calls().len() < 29 {
        n += 1;
        let id = format!("look{n}");
        assert!(sidecar.exchange(&get_request(&id)).ends_with(&format!("\r\n\r\n{id}")));
        assert!(n < 20_000, "the agent is no longer called: {:?}", faulty.calls().len());
    }
    sidecar.wait_until_reaches(&new);
}

/// With polled discovery, a silent watch has to be reopened without backoff. A sidecar that detects the silence half a
/// second before it is expected to know the missed changes, and then waits for the balancer's backoff, is too late.
#[test]
fn silent_watch_is_reopened_without_backoff() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), |config| {
        config["settings"]["discovery"] = "on_request".into();
        config["settings"]["rules"]["mustAskIn"] = 100_000_000.into();
        // With this seed the first watch is opened soon and the backoff after a failure is long.
        config["seed"] = "00000000000014f8".into();
    });
    let at = server.at;
    let agent = Agent::start(move |n, _, socket| match n {
        1 => write_list(socket, 1, true, &[Entry::new(at, "a")]),
        2 => write_list(socket, 1, false, &[]),
        _ => true,
    });
    agent.set_as_discovery_of(&sidecar);
    until("the sidecar watches", || agent.calls().len() >= 3);
    until("the sidecar opens another watch", || agent.calls().len() >= 4);
    let calls = agent.calls();
    let took = calls[3].0 - calls[2].0;
    assert!(took < Duration::from_secs(12), "{took:?}: {calls:?}");
}

/// Starts a sidecar that polls its lists.
fn polling_sidecar(registry: Registry) -> Sidecar {
    Sidecar::start_with(registry, |config| {
        config["settings"]["discovery"] = "on_request".into();
    })
}

/// Polled discovery that takes two seconds to answer. If each late call were cancelled after 1.5 s for the next one, no
/// answer would ever arrive and changes would never become known.
#[test]
fn slow_service_response_is_used_although_the_service_is_called_again() {
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
    service.set_as_discovery_of(&sidecar);
    until("the sidecar watches", || service.calls().len() >= 2);
    let watched = service.calls()[1].0;
    sidecar.wait_until_reaches(&new);
    let took = watched.elapsed();
    // The watch is held for 2 s, and its response takes another 2 s.
    assert!(took < Duration::from_secs(6), "the change was known after {took:?}");
}

/// Polled discovery that restarts after its first list, and from then on answers every watch with changes up to a lower
/// version. The new process does not know the sidecar's version, so only its complete list has the current servers. The
/// sidecar must fetch that list instead of opening the same watch again and again.
#[test]
fn changes_up_to_a_lower_version_are_followed_by_a_fetch_of_the_complete_list() {
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
    service.set_as_discovery_of(&sidecar);
    until("the sidecar watches", || service.calls().len() >= 2);
    let watched = service.calls()[1].0;
    sidecar.wait_until_reaches(&new);
    let took = watched.elapsed();
    assert!(took < Duration::from_secs(6), "the change was known after {took:?}");
    let calls = service.calls();
    assert!(!calls[2].1.contains("from="), "the complete list is not fetched: {calls:?}");
}

/// Sends 50 orders, and checks that all of them are served and none by `server`.
fn assert_gets_no_new_requests(sidecar: &Sidecar, server: &Server) {
    let before = server.seen().len();
    for n in 0..50 {
        let id = format!("order{n}");
        assert!(sidecar.exchange(&order_request(&id)).ends_with(&format!("\r\n\r\n{id}")));
    }
    assert_eq!(server.seen().len(), before, "the server received new requests");
}

/// Polled discovery with a long `mustAskIn`. If the backoff depended on that alone, a drain could remain unknown for
/// half a minute after discovery announced it.
#[test]
fn drain_is_followed_soon_after_discovery_recovers_even_if_must_ask_in_is_long() {
    let (old, new) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start_with(discovery(&[&old]), |config| {
        config["settings"]["discovery"] = "on_request".into();
        config["settings"]["rules"]["mustAskIn"] = 60_000_000.into();
    });
    let (draining, active) =
        (Entry { health: "leaving", ..Entry::new(old.at, "a") }, Entry::new(new.at, "a"));
    let first = Entry::new(old.at, "a");
    // The agent fails the second to the sixth call and recovers just after that.
    let agent = Agent::start(move |n, path, socket| match n {
        1 => write_list(socket, 1, true, std::slice::from_ref(&first)),
        2..=6 => false,
        7 => write_list(socket, 2, true, &[draining.clone(), active.clone()]),
        _ => {
            thread::sleep(Duration::from_millis(if path.contains("hold_ms") { 200 } else { 0 }));
            write_list(socket, 2, false, &[])
        }
    });
    agent.set_as_discovery_of(&sidecar);
    until("the sidecar calls a seventh time", || agent.calls().len() >= 7);
    let calls = agent.calls();
    // The sixth call fails just before discovery recovers. Even if the seventh failed as well, the eighth would be in
    // time.
    let took = calls[6].0 - calls[4].0;
    assert!(took < Duration::from_secs(6), "two backoffs and two calls took {took:?}");
    sidecar.wait_until_reaches(&new);
    assert_gets_no_new_requests(&sidecar, &old);
}

/// A server that is missing from a complete list gets no new requests even if it still responds: its idle connections
/// are not used.
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
    agent.set_as_discovery_of(&sidecar);
    sidecar.wait_until_reaches(&new);
    assert_gets_no_new_requests(&sidecar, &old);
}

/// The address of polled discovery changes a second time while the call to the first new address is unanswered.
#[test]
fn discovery_move_does_not_wait_for_a_pending_call() {
    let server = Server::echo();
    let sidecar = polling_sidecar(discovery(&[&server]));
    let (silent, next) = (Agent::start(|_, _, _| true), Agent::start(|_, _, _| true));
    silent.set_as_discovery_of(&sidecar);
    until("the sidecar calls the first address", || !silent.calls().is_empty());
    let called = silent.calls()[0].0;
    next.set_as_discovery_of(&sidecar);
    until("the sidecar calls the next address", || !next.calls().is_empty());
    let took = next.calls()[0].0 - called;
    assert!(took < Duration::from_millis(2500), "{took:?}");
}

/// An agent that announces a draining server and, after the grace period, sends its first answer again on the same
/// connection. In that answer the server is still active.
struct DuplicatingAgent {
    entries: [Entry; 2],
    state: Mutex<DuplicatingState>,
}

#[derive(Default)]
struct DuplicatingState {
    /// Peer address of the connection that carried the first answer.
    first_peer: Option<SocketAddr>,
    /// Time at which the draining server was announced.
    announced_at: Option<Instant>,
    /// Time at which the first answer was sent again.
    duplicated_at: Option<Instant>,
}

impl DuplicatingAgent {
    /// Time from the announcement to the duplicate; longer than the grace period of 0.5 s.
    const DUPLICATE_DELAY: Duration = Duration::from_millis(700);
    /// Delay of each complete list after the duplicate.
    const ANSWER_TIME: Duration = Duration::from_millis(80);

    fn write(&self, path: &str, socket: &mut TcpStream) -> bool {
        let mut state = self.state.lock().expect("no panic");
        let peer = socket.peer_addr().ok();
        if state.first_peer.is_none() {
            state.first_peer = peer;
            return write_list(socket, 100, true, &self.entries);
        }
        let draining = Entry { health: "leaving", ..self.entries[0].clone() };
        let announced_at = *state.announced_at.get_or_insert_with(Instant::now);
        let is_due = announced_at.elapsed() >= DuplicatingAgent::DUPLICATE_DELAY
            && state.duplicated_at.is_none();
        if is_due && state.first_peer == peer {
            state.duplicated_at = Some(Instant::now());
            return write_list(socket, 100, true, &self.entries);
        }
        let was_duplicated = state.duplicated_at.is_some();
        drop(state);
        if !path.contains("from=101") {
            if was_duplicated {
                thread::sleep(DuplicatingAgent::ANSWER_TIME);
            }
            return write_list(socket, 101, true, &[draining, self.entries[1].clone()]);
        }
        thread::sleep(Duration::from_millis(90));
        write_list(socket, 101, false, &[])
    }

    fn duplicated_at(&self) -> Option<Instant> {
        self.state.lock().expect("no panic").duplicated_at
    }
}

#[test]
fn duplicate_of_an_older_list_does_not_reactivate_a_draining_server() {
    let (first, second) = (Server::echo(), Server::echo());
    let sidecar = Sidecar::start(discovery(&[&first]));
    let entries = [Entry::new(first.at, "a"), Entry::new(second.at, "a")];
    let duplicating = Arc::new(DuplicatingAgent { entries, state: Mutex::default() });
    let script = duplicating.clone();
    let agent = Agent::start(move |_, path, socket| script.write(path, socket));
    agent.set_as_discovery_of(&sidecar);
    let mut received = first.seen().len();
    for n in 0.. {
        sidecar.exchange(&get_request(&format!("look{n}")));
        match duplicating.duplicated_at() {
            None => received = first.seen().len(),
            Some(at) if at.elapsed() > Duration::from_millis(300) => break,
            Some(_) => {}
        }
        thread::sleep(Duration::from_millis(1));
    }
    // One request may have been sent between the two checks.
    let later = first.seen().len() - received;
    assert!(later <= 1, "{later} requests to a draining server");
}

/// An agent that sends each answer a second time 20 ms later, and holds watches for 90 ms.
#[test]
fn duplicates_of_the_current_list_delay_no_change() {
    const DUPLICATE_DELAY: Duration = Duration::from_millis(20);
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
        let duplicate = hosts.clone();
        thread::spawn(move || {
            thread::sleep(DUPLICATE_DELAY);
            write_list(&mut later, version, true, &duplicate)
        });
        write_list(socket, version, true, &hosts)
    });
    agent.set_as_discovery_of(&sidecar);
    sidecar.wait_until_reaches(&second);
    thread::sleep(Duration::from_millis(500));
    let changed = Instant::now();
    *changed_at.lock().expect("no panic") = Some(changed);
    let mut received = 0;
    for n in 0.. {
        sidecar.exchange(&get_request(&format!("look{n}")));
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

/// An agent restarts its version counter, and its new list happens to have the same version as the old one.
#[test]
fn agent_that_restarts_with_the_same_version_is_followed() {
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
    agent.set_as_discovery_of(&sidecar);
    sidecar.wait_until_reaches(&second);
    let requests = |name: &str| {
        (0..20).for_each(|n| drop(sidecar.exchange(&get_request(&format!("{name}{n}")))));
        first.seen().len()
    };
    let before = first.seen().len();
    assert!(requests("before") > before, "the server is used");
    *restarted.lock().expect("no panic") = true;
    thread::sleep(Duration::from_millis(550));
    let received = first.seen().len();
    requests("after");
    assert_eq!(first.seen().len(), received, "requests to a draining server");
}
