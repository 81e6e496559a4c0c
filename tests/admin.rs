//! Tests of the admin listener of the real program: statistics, disabled servers, draining, and the replacement of a
//! process while it serves. Also tests of bodies that are longer than the buffers.

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

use net::{Entry, Folder, PATIENCE, Server, Sidecar, discovery, get_request, until};
use serde_json::Value;
use socket2::SockRef;

/// The host name under which fake discovery lists a server.
fn name_of(server: &Server) -> String {
    format!("s-{}", server.at.port())
}

/// Sends `text` to the admin listener and returns the whole response.
fn call(admin: SocketAddr, text: &str) -> String {
    let mut socket = TcpStream::connect(admin).expect("connected");
    socket.set_read_timeout(Some(PATIENCE)).expect("a read timeout");
    socket.write_all(text.as_bytes()).expect("written");
    let mut all = String::new();
    let _ = socket.read_to_string(&mut all);
    all
}

/// Opens an admin listener and raises the socket limit, for its connections.
fn with_admin(config: &mut Value) {
    config["admin_addr"] = "127.0.0.1:0".into();
    config["limits"]["sockets"] = 128.into();
}

/// A value from a response to `show-stat`.
fn statistic(statistics: &str, name: &str) -> u64 {
    let line = statistics.lines().find_map(|l| l.strip_prefix(&format!("sidecar.{name}=")));
    line.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name} in {statistics}"))
}

/// Sends a request for each number and checks that it is served.
fn send_requests(sidecar: &Sidecar, numbers: std::ops::Range<usize>, round: &str) {
    for n in numbers {
        let answer = sidecar.exchange(&get_request(&format!("{round}-{n}")));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// A change of the endpoint list is logged, and `show-discovery` has the version of the current list.
#[test]
fn current_endpoint_list_and_its_changes_are_reported() {
    let (server, joining) = (Server::echo(), Server::echo());
    let registry = discovery(&[&server]);
    let sidecar = Sidecar::start_with(registry.clone(), with_admin);
    let admin = sidecar.admin();
    let version = || {
        let response = call(admin, "show-discovery\n");
        assert!(response.ends_with("\nend\n"), "{response}");
        assert!(response.contains("\ndiscovery.overdue=0\n"), "{response}");
        response.lines().find_map(|line| line.strip_prefix("discovery.version=").map(str::to_owned))
    };
    until("the first list is applied", || version().as_deref() == Some("1"));
    registry.update(Entry::new(joining.at, "a"));
    registry.set_health(&name_of(&server), "leaving");
    until("the last list is applied", || version().as_deref() == Some("3"));
    let log = sidecar.log();
    let changed = |field: &str, server: &Server| {
        let is_logged = |line: &&str| {
            line.contains("endpoint list changed")
                && line.contains(&format!("\"{field}\":\"[{}]\"", server.at))
        };
        assert!(log.lines().any(|line| is_logged(&line)), "{field} of {} in {log}", server.at);
    };
    changed("added_addresses", &joining);
    changed("draining_addresses", &server);
}

#[test]
fn statistics_count_requests_and_silent_callers_do_not_block_others() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), with_admin);
    let admin = sidecar.admin();
    let silent: Vec<_> = (0..20).map(|_| TcpStream::connect(admin).expect("connected")).collect();
    send_requests(&sidecar, 0..7, "a");
    assert_eq!(call(admin, "ready\n"), "done\n");
    let statistics = call(admin, "show-stat\r\n");
    assert!(statistics.ends_with("\nend\n"), "{statistics}");
    assert_eq!((statistic(&statistics, "ok.look"), statistic(&statistics, "tries")), (7, 7));
    assert_eq!((statistic(&statistics, "active"), statistic(&statistics, "shed.look")), (0, 0));
    assert_eq!(
        (statistic(&statistics, "pool_size"), statistic(&statistics, "pool_ejected")),
        (1, 0)
    );
    for invalid in ["disable-server nobody\n", "enable-server nobody\n", "rady\n", "\n"] {
        assert!(call(admin, invalid).starts_with("error: "), "{invalid:?}");
    }
    let long = "x".repeat(5000) + "\n";
    assert!(call(admin, &long).starts_with("error: "));
    // A command without its line end is not executed.
    let mut half = TcpStream::connect(admin).expect("connected");
    half.write_all(format!("disable-server {}", name_of(&server)).as_bytes()).expect("written");
    half.shutdown(std::net::Shutdown::Write).expect("ended");
    let mut response = String::new();
    half.read_to_string(&mut response).expect("a response");
    assert!(response.starts_with("error: "), "{response}");
    assert_eq!(statistic(&call(admin, "show-stat\n"), "pool_ejected"), 0);
    drop(silent);
}

#[test]
fn disabled_server_gets_no_requests_until_it_is_enabled_whatever_discovery_lists() {
    let (disabled, server, third) = (Server::echo(), Server::echo(), Server::echo());
    let sidecar = Sidecar::start_with(discovery(&[&disabled, &server]), with_admin);
    let admin = sidecar.admin();
    for _ in 0..2 {
        assert_eq!(call(admin, &format!("disable-server {}\n", name_of(&disabled))), "done\n");
    }
    assert_eq!(statistic(&call(admin, "show-stat\n"), "pool_ejected"), 1);
    send_requests(&sidecar, 0..20, "a");
    assert_eq!(disabled.seen().len(), 0);
    // A new list, from another discovery, lists it as active.
    let other = discovery(&[&disabled, &server, &third]);
    sidecar.replace_config(&sidecar.config_with_discovery(&other));
    sidecar.signal("HUP");
    until("the new list is applied", || statistic(&call(admin, "show-stat\n"), "pool_size") == 3);
    send_requests(&sidecar, 0..20, "b");
    assert_eq!(disabled.seen().len(), 0);
    assert_eq!(server.seen().len() + third.seen().len(), 40);
    assert_eq!(call(admin, &format!("enable-server {}\n", name_of(&disabled))), "done\n");
    send_requests(&sidecar, 0..40, "c");
    assert!(!disabled.seen().is_empty());
}

#[test]
fn drained_sidecar_is_not_ready_and_closes_client_connections_until_it_is_resumed() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), with_admin);
    let admin = sidecar.admin();
    let mut idle = sidecar.connect();
    idle.write_all(get_request("a").as_bytes()).expect("written");
    let mut buf = [0; 1024];
    assert!(idle.read(&mut buf).expect("a response") > 0);
    assert_eq!(call(admin, "drain\n"), "done\n");
    let ready = || sidecar.exchange("GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(ready().starts_with("HTTP/1.1 503"));
    assert!(call(admin, "ready\n").starts_with("error: "));
    assert_eq!(
        idle.read(&mut buf).expect("the connection is closed"),
        0,
        "an idle client is closed"
    );
    let late = sidecar.exchange(&get_request("b"));
    assert!(late.starts_with("HTTP/1.1 200") && late.contains("close"), "{late}");
    assert_eq!(call(admin, "resume\n"), "done\n");
    assert!(ready().starts_with("HTTP/1.1 200"));
    assert!(!sidecar.exchange(&get_request("c")).contains("close"));
}

/// A command that runs the program with this listener as descriptor 5, as the platform passes it. `folder` is its
/// folder for temporary files, which contains the stored admin state.
fn program_with_passed_socket(listener: &TcpListener, folder: &Path) -> Command {
    let copy = OwnedFd::from(listener.try_clone().expect("a second handle"));
    let mut command = Command::new("sh");
    let program = env!("CARGO_BIN_EXE_lb-sidecar");
    command.args(["-c", "exec 5<&0 0</dev/null; exec \"$0\"", program]);
    command.env("LB_PASSED_SOCKET", "5").env("TMPDIR", folder).stdin(copy);
    command
}

#[test]
fn successor_takes_over_listener_and_admin_state_without_a_refused_connection() {
    let (disabled, server) = (Server::echo(), Server::echo());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("bound");
    let state_folder = Folder::new("admin-state");
    let start = || {
        let command = program_with_passed_socket(&listener, state_folder.path());
        let discovery = discovery(&[&server, &disabled]);
        Sidecar::start_command(command, at.to_string(), discovery, with_admin)
    };
    let mut old = start();
    assert_eq!(call(old.admin(), &format!("disable-server {}\n", name_of(&disabled))), "done\n");
    let stop = Arc::new(AtomicBool::new(false));
    let load = {
        let stop = stop.clone();
        thread::spawn(move || {
            let mut served = 0;
            while !stop.load(Ordering::SeqCst) {
                let mut socket = TcpStream::connect(at).expect("never refused");
                socket.set_read_timeout(Some(PATIENCE)).expect("a read timeout");
                socket
                    .write_all(get_request(&format!("load-{served}")).as_bytes())
                    .expect("written");
                let answer = net::first_answer(socket);
                assert!(answer.starts_with("HTTP/1.1 200"), "request {served}: {answer:?}");
                served += 1;
                thread::sleep(Duration::from_millis(2));
            }
            served
        })
    };
    let new = start();
    until("the successor serves", || call(new.admin(), "ready\n") == "done\n");
    // The two processes share the admin state, so a server that was disabled at one is disabled at both.
    assert_eq!(statistic(&call(new.admin(), "show-stat\n"), "pool_ejected"), 1);
    old.signal("TERM");
    assert!(old.wait_for_exit().success());
    send_requests(&new, 0..20, "after");
    stop.store(true, Ordering::SeqCst);
    assert!(load.join().expect("no request was refused or lost") > 0);
    assert_eq!(disabled.seen().len(), 0, "the server stays disabled across the replacement");
    assert_eq!(call(new.admin(), &format!("enable-server {}\n", name_of(&disabled))), "done\n");
    send_requests(&new, 0..40, "back");
    assert!(!disabled.seen().is_empty());
}

/// Tests of bodies that are longer than the buffers.
mod large_bodies {
    use super::*;
    use net::{first_answer, order_request};

    /// The length of a long body, in bytes.
    const LONG: usize = 3 << 20;

    /// Sends the head of a request. The test sends the body.
    fn send_head(sidecar: &Sidecar, id: &str, framing: &str) -> TcpStream {
        let mut socket = sidecar.connect();
        let head = format!(
            "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: 20000\r\n{framing}\r\n\r\n"
        );
        socket.write_all(head.as_bytes()).expect("written");
        socket
    }

    /// Starts a server that answers each request with the length of its body. Returns its address and the lengths of
    /// the bodies that it has received.
    fn body_length_server() -> (SocketAddr, Arc<std::sync::Mutex<Vec<usize>>>) {
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

    fn discovery_with(at: SocketAddr) -> net::Registry {
        net::Registry::start(vec![net::Entry::new(at, "a")])
    }

    #[test]
    fn long_body_is_streamed_to_one_server_and_memory_stays_small() {
        let (at, bodies) = body_length_server();
        let sidecar = Sidecar::start(discovery_with(at));
        for n in 0..4 {
            let mut socket =
                send_head(&sidecar, &format!("up-{n}"), &format!("Content-Length: {LONG}"));
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
    fn aborted_upload_is_not_executed_and_its_server_receives_nothing_more() {
        let (at, bodies) = body_length_server();
        let sidecar = Sidecar::start_with(discovery_with(at), with_admin);
        let mut socket = send_head(&sidecar, "cut", &format!("Content-Length: {LONG}"));
        socket.write_all(&[b'x'; 200 << 10]).expect("written");
        until("the request is in progress", || {
            statistic(&call(sidecar.admin(), "show-stat\n"), "active") == 1
        });
        drop(socket);
        until("the request is over", || {
            statistic(&call(sidecar.admin(), "show-stat\n"), "active") == 0
        });
        let answer = sidecar.exchange(&order_request("next"));
        assert!(answer.ends_with("\r\n\r\n2"), "{answer}");
        assert_eq!(
            *bodies.lock().expect("no panic"),
            [2],
            "the body of the aborted request was never complete at a server"
        );
    }

    #[test]
    fn server_that_closes_within_a_long_body_leads_to_a_harmless_rejection() {
        // In bytes; more than the system buffers between two sockets (a few megabytes each, see tcp(7)). A shorter
        // body may be sent completely before a slow server closes; then the request counts as possibly executed
        // and is not rejected.
        const BEYOND_SOCKET_BUFFERS: usize = 8 * LONG;
        let server = TcpListener::bind("127.0.0.1:0").expect("a port");
        SockRef::from(&server).set_recv_buffer_size(64 << 10).expect("set");
        let sidecar = Sidecar::start(discovery_with(server.local_addr().expect("bound")));
        let closing_server = thread::spawn(move || {
            let (mut socket, _) = server.accept().expect("a connection");
            let mut some = vec![0; 300 << 10];
            socket.read_exact(&mut some).expect("some of the body");
        });
        let mut socket =
            send_head(&sidecar, "lost", &format!("Content-Length: {BEYOND_SOCKET_BUFFERS}"));
        for _ in 0..BEYOND_SOCKET_BUFFERS / (64 << 10) {
            socket
                .write_all(&[b'x'; 64 << 10])
                .expect("the sidecar accepts the body, although the server does not read it");
        }
        let answer = first_answer(socket);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        closing_server.join().expect("no panic");
    }

    #[test]
    fn long_response_is_streamed_and_an_aborted_one_does_not_look_complete() {
        let release = Arc::new(AtomicBool::new(false));
        let released = release.clone();
        let server = Server::start(move |id, socket| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n");
            let half = [b'y'; LONG / 2];
            let _ = socket.write_all(head.as_bytes());
            let _ = socket.write_all(&half);
            if id == "broken" {
                return false;
            }
            until("the first half has arrived", || released.load(Ordering::SeqCst));
            socket.write_all(&half).is_ok()
        });
        let sidecar = Sidecar::start(discovery(&[&server]));
        let mut socket = sidecar.connect();
        socket.write_all(order_request("long").as_bytes()).expect("written");
        let mut first = vec![0; LONG / 4];
        socket
            .read_exact(&mut first)
            .expect("the first part arrives while the server holds back the rest");
        release.store(true, Ordering::SeqCst);
        let (first, all) = (first.len(), net::read_to_end(socket));
        assert!(first + all.len() > LONG && all.ends_with("yy"));
        let mut socket = sidecar.connect();
        socket.write_all(order_request("broken").as_bytes()).expect("written");
        assert!(
            net::read_to_end(socket).len() < LONG,
            "an aborted response is shorter than its content length"
        );
    }
}

/// Guards against operators who cannot see how close the process is to its memory limit.
#[test]
fn memory_of_the_process_and_what_it_allows_are_reported() {
    let server = Server::echo();
    let sidecar = Sidecar::start_with(discovery(&[&server]), with_admin);
    sidecar.wait_until_reaches(&server);
    let response = call(sidecar.admin(), "show-memory\n");
    let value = |name: &str| -> u64 {
        let line = response.lines().find_map(|l| l.strip_prefix(&format!("memory.{name}=")));
        line.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name} in {response}"))
    };
    assert_eq!(value("limit_kb"), 32 << 10);
    assert!((1000..=value("peak_kb")).contains(&value("resident_kb")), "{response}");
    assert!(value("allowed.client_connections") > 0, "{response}");
    assert!(value("allowed.requests_kb") > 0, "{response}");
    assert_eq!((value("shortages"), value("closed_connections")), (0, 0));
    assert!(response.ends_with("end\n"), "{response}");
}
