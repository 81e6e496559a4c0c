//! Operation by hand: calls on the operators' listener, servers taken out, clients sent away, and a
//! process replaced while it serves.

mod common;
#[path = "common/net.rs"]
mod net;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use net::{Folder, PATIENCE, Server, Sidecar, discovery, look, until};
use serde_json::Value;
use socket2::SockRef;

/// The name under which stand-in discovery lists a server.
fn name(server: &Server) -> String {
    format!("s-{}", server.at.port())
}

/// Says `text` to the operators' listener and returns all that it answers.
fn say(admin: SocketAddr, text: &str) -> String {
    let mut socket = TcpStream::connect(admin).expect("connected");
    socket.set_read_timeout(Some(PATIENCE)).expect("a time");
    socket.write_all(text.as_bytes()).expect("written");
    let mut all = String::new();
    let _ = socket.read_to_string(&mut all);
    all
}

fn operated(config: &mut Value) {
    config["admin_addr"] = "127.0.0.1:0".into();
    config["limits"]["sockets"] = 128.into();
}

fn figure(stat: &str, name: &str) -> u64 {
    let line = stat.lines().find_map(|l| l.strip_prefix(&format!("sidecar.{name}=")));
    line.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name} in {stat}"))
}

fn asked(sidecar: &Sidecar, ids: std::ops::Range<usize>, round: &str) {
    for n in ids {
        let answer = sidecar.exchange(&look(&format!("{round}-{n}")));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

#[test]
fn figures_tell_what_peers_saw_and_silent_callers_keep_nobody_out() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), operated);
    let admin = sidecar.admin();
    let silent: Vec<_> = (0..20).map(|_| TcpStream::connect(admin).expect("connected")).collect();
    asked(&sidecar, 0..7, "a");
    assert_eq!(say(admin, "ready\n"), "done\n");
    let stat = say(admin, "show-stat\r\n");
    assert!(stat.ends_with("\nend\n"), "{stat}");
    assert_eq!((figure(&stat, "ok.look"), figure(&stat, "tries")), (7, 7));
    assert_eq!((figure(&stat, "active"), figure(&stat, "shed.look")), (0, 0));
    assert_eq!((figure(&stat, "pool_size"), figure(&stat, "pool_ejected")), (1, 0));
    for bad in ["disable-server nobody\n", "enable-server nobody\n", "rady\n", "\n"] {
        assert!(say(admin, bad).starts_with("error: "), "{bad:?}");
    }
    let long = "x".repeat(5000) + "\n";
    assert!(say(admin, &long).starts_with("error: "));
    // Half a call is none.
    let mut half = TcpStream::connect(admin).expect("connected");
    half.write_all(format!("disable-server {}", name(&server)).as_bytes()).expect("written");
    half.shutdown(std::net::Shutdown::Write).expect("ended");
    let mut told = String::new();
    half.read_to_string(&mut told).expect("an answer");
    assert!(told.starts_with("error: "), "{told}");
    assert_eq!(figure(&say(admin, "show-stat\n"), "pool_ejected"), 0);
    drop(silent);
}

#[test]
fn a_server_taken_out_gets_nothing_until_it_is_put_back_whatever_discovery_lists() {
    let (out, server, third) = (Server::echo(), Server::echo(), Server::echo());
    let sidecar = Sidecar::start_with(discovery(&[&out, &server]), operated);
    let admin = sidecar.admin();
    for _ in 0..2 {
        assert_eq!(say(admin, &format!("disable-server {}\n", name(&out))), "done\n");
    }
    assert_eq!(figure(&say(admin, "show-stat\n"), "pool_ejected"), 1);
    asked(&sidecar, 0..20, "a");
    assert_eq!(out.seen().len(), 0);
    // A new list, from another discovery, lists it as active.
    let other = discovery(&[&out, &server, &third]);
    sidecar.replace_config(&sidecar.config_with_discovery(&other));
    sidecar.signal("HUP");
    until("the new list is here", || figure(&say(admin, "show-stat\n"), "pool_size") == 3);
    asked(&sidecar, 0..20, "b");
    assert_eq!(out.seen().len(), 0);
    assert_eq!(server.seen().len() + third.seen().len(), 40);
    assert_eq!(say(admin, &format!("enable-server {}\n", name(&out))), "done\n");
    asked(&sidecar, 0..40, "c");
    assert!(!out.seen().is_empty());
}

#[test]
fn a_drained_sidecar_says_so_and_lets_its_clients_go_until_it_is_resumed() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), operated);
    let admin = sidecar.admin();
    let mut resting = sidecar.connect();
    resting.write_all(look("a").as_bytes()).expect("written");
    let mut buf = [0; 1024];
    assert!(resting.read(&mut buf).expect("an answer") > 0);
    assert_eq!(say(admin, "drain\n"), "done\n");
    let ready = || sidecar.exchange("GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(ready().starts_with("HTTP/1.1 503"));
    assert!(say(admin, "ready\n").starts_with("error: "));
    assert_eq!(resting.read(&mut buf).expect("an end"), 0, "a client at rest is let go");
    let late = sidecar.exchange(&look("b"));
    assert!(late.starts_with("HTTP/1.1 200") && late.contains("close"), "{late}");
    assert_eq!(say(admin, "resume\n"), "done\n");
    assert!(ready().starts_with("HTTP/1.1 200"));
    assert!(!sidecar.exchange(&look("c")).contains("close"));
}

/// The program with this listener as descriptor 5, as the platform passes it.
fn passed(listener: &TcpListener, folder: &Path) -> Command {
    let copy = OwnedFd::from(listener.try_clone().expect("a second handle"));
    let mut command = Command::new("sh");
    let program = env!("CARGO_BIN_EXE_lb-sidecar");
    command.args(["-c", "exec 5<&0 0</dev/null; exec \"$0\"", program]);
    command.env("LB_PASSED_SOCKET", "5").env("TMPDIR", folder).stdin(copy);
    command
}

#[test]
fn a_successor_takes_over_the_listener_and_the_orders_and_nobody_is_refused() {
    let (out, server) = (Server::echo(), Server::echo());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let kept = Folder::new("kept");
    let start = || {
        let command = passed(&listener, kept.path());
        let discovery = discovery(&[&server, &out]);
        Sidecar::start_command(command, at.to_string(), discovery, operated)
    };
    let mut old = start();
    assert_eq!(say(old.admin(), &format!("disable-server {}\n", name(&out))), "done\n");
    let stop = Arc::new(AtomicBool::new(false));
    let load = {
        let stop = stop.clone();
        thread::spawn(move || {
            let mut served = 0;
            while !stop.load(Ordering::SeqCst) {
                let mut socket = TcpStream::connect(at).expect("never refused");
                socket.set_read_timeout(Some(PATIENCE)).expect("a time");
                socket.write_all(look(&format!("load-{served}")).as_bytes()).expect("written");
                let answer = net::first_answer(socket);
                assert!(answer.starts_with("HTTP/1.1 200"), "request {served}: {answer:?}");
                served += 1;
                thread::sleep(Duration::from_millis(2));
            }
            served
        })
    };
    let new = start();
    until("the successor serves", || say(new.admin(), "ready\n") == "done\n");
    // An order that one of the two is given holds at both.
    assert_eq!(figure(&say(new.admin(), "show-stat\n"), "pool_ejected"), 1);
    old.signal("TERM");
    assert!(old.wait_for_exit().success());
    asked(&new, 0..20, "after");
    stop.store(true, Ordering::SeqCst);
    assert!(load.join().expect("no request was refused or lost") > 0);
    assert_eq!(out.seen().len(), 0, "the server stays out across the replacement");
    assert_eq!(say(new.admin(), &format!("enable-server {}\n", name(&out))), "done\n");
    asked(&new, 0..40, "back");
    assert!(!out.seen().is_empty());
}

/// A server over plain threads that answers each request with the length of the body it got, or, for
/// requests whose id says so, with a body of that length in pieces.
mod large {
    use super::*;
    use net::{first_answer, order};

    const LONG: usize = 3 << 20;

    /// An order with a body that is brought by `write`.
    fn begun(sidecar: &Sidecar, id: &str, framing: &str) -> TcpStream {
        let mut socket = sidecar.connect();
        let head = format!(
            "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n{framing}\r\n\r\n"
        );
        socket.write_all(head.as_bytes()).expect("written");
        socket
    }

    /// Reads an order's body, and answers with its length.
    fn counting() -> (SocketAddr, Arc<std::sync::Mutex<Vec<usize>>>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("bound");
        let bodies = Arc::new(std::sync::Mutex::new(Vec::new()));
        let seen = bodies.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let seen = seen.clone();
                thread::spawn(move || {
                    let mut write = socket.try_clone().expect("a second handle");
                    let mut read = std::io::BufReader::new(socket);
                    while let Some((_, body)) = fakes::wire::read_message(&mut read) {
                        seen.lock().expect("no panic").push(body.len());
                        let text = body.len().to_string();
                        if write.write_all(net::answer(&text).as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        (at, bodies)
    }

    fn listed(at: SocketAddr) -> net::Registry {
        net::Registry::start(vec![net::Entry::new(at, "a")])
    }

    #[test]
    fn a_long_body_goes_to_one_server_as_it_comes_and_memory_stays_small() {
        let (at, bodies) = counting();
        let sidecar = Sidecar::start(listed(at));
        for n in 0..4 {
            let mut socket =
                begun(&sidecar, &format!("up-{n}"), &format!("Content-Length: {LONG}"));
            for _ in 0..LONG / (64 << 10) {
                socket.write_all(&[b'x'; 64 << 10]).expect("written");
            }
            let answer = first_answer(socket);
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            assert!(answer.ends_with(&LONG.to_string()), "{answer}");
        }
        assert_eq!(*bodies.lock().expect("no panic"), [LONG; 4]);
        let status = std::fs::read_to_string(format!("/proc/{}/status", sidecar.pid()));
        let peak = status.expect("readable").lines().find_map(|l| {
            let kb = l.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB")?;
            kb.parse::<usize>().ok()
        });
        assert!(peak.expect("a peak") < 24 << 10, "{peak:?} kB");
    }

    #[test]
    fn one_that_breaks_off_on_its_way_never_ran_and_its_server_is_told_nothing_more() {
        let (at, bodies) = counting();
        let sidecar = Sidecar::start_with(listed(at), operated);
        let mut socket = begun(&sidecar, "cut", &format!("Content-Length: {LONG}"));
        socket.write_all(&[b'x'; 200 << 10]).expect("written");
        until("it is taken up", || figure(&say(sidecar.admin(), "show-stat\n"), "active") == 1);
        drop(socket);
        until("it is over", || figure(&say(sidecar.admin(), "show-stat\n"), "active") == 0);
        let answer = sidecar.exchange(&order("next"));
        assert!(answer.ends_with("\r\n\r\n2"), "{answer}");
        assert_eq!(*bodies.lock().expect("no panic"), [2], "the cut one was never whole anywhere");
    }

    #[test]
    fn a_server_that_ends_in_the_middle_of_a_long_body_leaves_a_harmless_refusal() {
        // More than the system holds between two sockets (tcp(7): a few megabytes each): all of it would count as
        // sent otherwise, if the server is slow to end, and then it may have run.
        const LONGER: usize = 8 * LONG;
        let server = TcpListener::bind("127.0.0.1:0").expect("a port");
        SockRef::from(&server).set_recv_buffer_size(64 << 10).expect("set");
        let sidecar = Sidecar::start(listed(server.local_addr().expect("bound")));
        let reset = thread::spawn(move || {
            let (mut socket, _) = server.accept().expect("a connection");
            let mut some = vec![0; 300 << 10];
            socket.read_exact(&mut some).expect("some of the body");
        });
        let mut socket = begun(&sidecar, "lost", &format!("Content-Length: {LONGER}"));
        for _ in 0..LONGER / (64 << 10) {
            socket.write_all(&[b'x'; 64 << 10]).expect("taken in, though nobody wants it");
        }
        let answer = first_answer(socket);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        reset.join().expect("no panic");
    }

    #[test]
    fn a_long_answer_flows_before_it_is_whole_and_one_that_breaks_does_not_look_whole() {
        let gate = Arc::new(AtomicBool::new(false));
        let opened = gate.clone();
        let server = Server::start(move |id, socket| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n");
            let half = [b'y'; LONG / 2];
            let _ = socket.write_all(head.as_bytes());
            let _ = socket.write_all(&half);
            if id == "broken" {
                return false;
            }
            until("the first half has arrived", || opened.load(Ordering::SeqCst));
            socket.write_all(&half).is_ok()
        });
        let sidecar = Sidecar::start(discovery(&[&server]));
        let mut socket = sidecar.connect();
        socket.write_all(order("long").as_bytes()).expect("written");
        let mut first = vec![0; LONG / 4];
        socket.read_exact(&mut first).expect("a part, while the rest is held back");
        gate.store(true, Ordering::SeqCst);
        let (first, all) = (first.len(), net::read_to_end(socket));
        assert!(first + all.len() > LONG && all.ends_with("yy"));
        let mut socket = sidecar.connect();
        socket.write_all(order("broken").as_bytes()).expect("written");
        assert!(net::read_to_end(socket).len() < LONG, "what breaks off is shorter than announced");
    }
}
