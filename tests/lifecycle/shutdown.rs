//! Tests of the graceful shutdown after SIGTERM.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use fakes::wire::header;
use socket2::{Domain, Socket, Type};

use crate::net::*;
use crate::support::*;

#[test]
fn shorter_deadlines_after_a_reload_do_not_cut_admitted_requests() {
    let blocked = BlockedServer::new();
    let mut sidecar = Sidecar::start(discovery(&[&blocked.server]));
    let open = blocked.receives_order(&sidecar, "open");
    let mut config = sidecar.config().clone();
    (0..3).for_each(|class| set_times(&mut config, class, 50, 100));
    apply_config(&sidecar, &config);
    begin_shutdown(&sidecar);
    // Longer than a shutdown takes with the new deadlines.
    thread::sleep(Duration::from_millis(1500));
    blocked.release();
    let answer = first_answer(open);
    assert!(answer.ends_with("\r\n\r\nopen"), "{answer:?}");
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn reload_during_shutdown_still_moves_discovery() {
    let (blocked, new) = (BlockedServer::new(), Server::echo());
    let mut sidecar = Sidecar::start(discovery(&[&blocked.server]));
    let open = blocked.receives_order(&sidecar, "open");
    begin_shutdown(&sidecar);
    let moved = discovery(&[&new]);
    sidecar.replace_config(&sidecar.config_with_discovery(&moved));
    sidecar.signal("HUP");
    sidecar.wait_until_reaches(&new);
    blocked.release();
    assert!(first_answer(open).ends_with("\r\n\r\nopen"));
    assert!(sidecar.wait_for_exit().success());
}

/// Clients can still connect and send requests during a shutdown. This request arrives so late that its own deadline is
/// later than the exit of the process.
#[test]
fn late_request_is_answered_before_the_process_exits() {
    let blocked = BlockedServer::new();
    let mut sidecar = Sidecar::start_with(discovery(&[&blocked.server]), |config| {
        (0..3).for_each(|class| set_times(config, class, 4000, 4000));
    });
    let first = blocked.receives_order(&sidecar, "first");
    begin_shutdown(&sidecar);
    // The requests admitted so far have a deadline of 4 s, and the process exits 0.7 s after that.
    thread::sleep(Duration::from_millis(900));
    let late = blocked.receives_order(&sidecar, "late");
    // The server gets the remaining time of the process: 4.7 s minus the 0.9 s that have passed.
    let heads = blocked.server.heads();
    let time_left = header(heads.last().expect("the head of the late request"), "x-time-left-ms");
    let time_left: u64 = time_left.and_then(|t| t.parse().ok()).expect("a number of milliseconds");
    assert!(time_left <= 3800, "{time_left} ms");
    assert!(first_answer(first).starts_with("HTTP/1.1 502"));
    let answer = first_answer(late);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer:?}");
    assert!(sidecar.wait_for_exit().success());
}

/// The time of an upload runs from its last byte, which arrives late here.
#[test]
fn upload_completed_late_is_answered_before_the_process_exits() {
    let blocked = BlockedServer::new();
    let mut sidecar = Sidecar::start_with(discovery(&[&blocked.server]), |config| {
        (0..3).for_each(|class| set_times(config, class, 4000, 4000));
    });
    let length = 200_000;
    let mut long = sidecar.connect();
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: long\r\nX-Time-Left-Ms: 20000\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    long.write_all((head + &"x".repeat(length - 1)).as_bytes()).expect("sent");
    begin_shutdown(&sidecar);
    thread::sleep(Duration::from_millis(1500));
    long.write_all(b"x").expect("sent");
    assert_eq!(blocked.next_request(), "long");
    let answer = first_answer(long);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer:?}");
    assert!(sidecar.wait_for_exit().success());
}

/// The response is in the send buffer of the system, and the client has not read all of it. If the process exited then,
/// the rest would be lost as soon as the client sends more input.
#[test]
fn response_being_sent_outlives_the_process() {
    let long = "x".repeat(200_000);
    let body = long.clone();
    let blocked = BlockedServer::with(move |_| answer(&body));
    let mut sidecar = Sidecar::start(discovery(&[&blocked.server]));
    // The client has a small receive buffer, so nearly all of the response stays in the sidecar's send buffer.
    let small = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    small.set_recv_buffer_size(4096).expect("set");
    small.connect(&sidecar.at.into()).expect("connected");
    let mut open = TcpStream::from(small);
    open.set_read_timeout(Some(PATIENCE)).expect("a read timeout");
    open.write_all(order_request("open").as_bytes()).expect("sent");
    assert_eq!(blocked.next_request(), "open");
    begin_shutdown(&sidecar);
    // After this time a process without requests in progress exits at once.
    thread::sleep(Duration::from_millis(800));
    blocked.release();
    open.peek(&mut [0]).expect("the response begins");
    thread::sleep(Duration::from_millis(100));
    open.write_all(b"more").expect("sent");
    let answer = read_to_end(open);
    assert!(answer.ends_with(&format!("\r\n\r\n{long}")), "{} bytes", answer.len());
    assert!(sidecar.wait_for_exit().success());
}

#[test]
fn late_connection_is_not_closed_before_its_first_request() {
    let (blocked, echo) = (BlockedServer::new(), Server::echo());
    let mut sidecar = Sidecar::start(discovery(&[&blocked.server]));
    let open = blocked.receives_order(&sidecar, "open");
    let moved = discovery(&[&echo]);
    sidecar.replace_config(&sidecar.config_with_discovery(&moved));
    sidecar.signal("HUP");
    sidecar.wait_until_reaches(&echo);
    begin_shutdown(&sidecar);
    thread::sleep(Duration::from_millis(800));
    let mut n = 0;
    // Repeated because the machine may be slow and a shutdown closes idle connections every 10 ms.
    until("a connection that sends its request after a while gets a response", || {
        n += 1;
        let mut late = sidecar.connect();
        thread::sleep(Duration::from_millis(30));
        let sent = late.write_all(get_request(&format!("late{n}")).as_bytes());
        sent.is_ok() && first_answer(late).ends_with(&format!("\r\n\r\nlate{n}"))
    });
    blocked.release();
    assert!(first_answer(open).ends_with("\r\n\r\nopen"));
    assert!(sidecar.wait_for_exit().success());
}

/// A request that is incomplete at the signal is either answered once it is complete, or its connection is closed and
/// no server has received it.
#[test]
fn partial_request_at_shutdown_is_answered_or_never_sent() {
    let blocked = BlockedServer::new();
    let mut sidecar = Sidecar::start(discovery(&[&blocked.server]));
    let complete = order_request("half");
    let (first, second) = complete.split_at(complete.len() - 1);
    let mut client = sidecar.connect();
    client.write_all(first.as_bytes()).expect("sent");
    sidecar.signal("TERM");
    // Fails on a very slow machine, where the connection has been closed already.
    let _ = client.write_all(second.as_bytes());
    client.set_nonblocking(true).expect("set");
    let mut sent = false;
    until("the request is sent to a server, or its connection is closed", || {
        sent = blocked.received.try_recv().is_ok();
        sent || !client.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    });
    client.set_nonblocking(false).expect("set");
    if sent {
        // After this time a process without requests in progress exits at once.
        thread::sleep(Duration::from_millis(800));
    }
    blocked.release();
    let answer = read_to_end(client);
    assert!(sidecar.wait_for_exit().success());
    assert_eq!(answer.ends_with("\r\n\r\nhalf"), sent, "{answer:?}");
    assert_eq!(blocked.server.seen().is_empty(), !sent);
}

/// The client of a partial request may be sending the rest when its connection is closed, so it must get a response.
#[test]
fn partial_request_is_rejected_when_the_shutdown_waits_no_longer() {
    let echo = Server::echo();
    let mut sidecar = Sidecar::start(discovery(&[&echo]));
    let mut client = sidecar.connect();
    client.write_all(&order_request("half").as_bytes()[..40]).expect("sent");
    begin_shutdown(&sidecar);
    let answer = read_to_end(client);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(sidecar.wait_for_exit().success());
}

/// Time from the signal after which incomplete requests are no longer admitted.
const ADMISSION_PERIOD: Duration = Duration::from_millis(650);

/// The system queues connections for a process that is held up. Requests sent on them have to be served.
#[test]
fn request_in_the_listeners_queue_as_the_process_exits_is_answered() {
    for round in 0..5 {
        let echo = Server::echo();
        let mut sidecar = Sidecar::start(discovery(&[&echo]));
        let signal = Instant::now();
        sidecar.signal("TERM");
        thread::sleep(
            (signal + ADMISSION_PERIOD - HOLD_UP / 2).saturating_duration_since(Instant::now()),
        );
        let hold_up = HoldUp::begin(&sidecar);
        let mut clients: Vec<TcpStream> = (0..8).map(|_| sidecar.connect()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.write_all(get_request(&format!("late-{n}")).as_bytes()).expect("sent");
        }
        thread::sleep(HOLD_UP);
        drop(hold_up);
        for (n, client) in clients.into_iter().enumerate() {
            let answer = read_to_end(client);
            assert!(answer.ends_with(&format!("late-{n}")), "round {round}, {n}: {answer:?}");
        }
        assert!(sidecar.wait_for_exit().success());
    }
}

/// Clients keep connecting until the exit of a process that waits for a hung server.
#[test]
fn request_on_a_connection_made_as_the_process_ends_is_answered() {
    let blocked = BlockedServer::new();
    let mut sidecar = Sidecar::start_with(discovery(&[&blocked.server]), |config| {
        (0..3).for_each(|class| set_times(config, class, 1000, 1000));
        config["limits"]["sockets"] = 512.into();
    });
    let open = blocked.receives_order(&sidecar, "open");
    begin_shutdown(&sidecar);
    let connecting = |number: usize| {
        let at = sidecar.at;
        thread::spawn(move || {
            let mut unanswered = Vec::new();
            for n in 0.. {
                let Ok(mut client) = TcpStream::connect(at) else { break };
                client.set_read_timeout(Some(PATIENCE)).expect("a read timeout");
                let id = format!("{number}-{n}");
                // If writing fails, the connection was closed before the whole request was sent.
                if client.write_all(order_request(&id).as_bytes()).is_ok()
                    && read_to_end(client).is_empty()
                {
                    unanswered.push(id);
                }
            }
            unanswered
        })
    };
    let clients: Vec<_> = (0..16).map(connecting).collect();
    let unanswered: Vec<String> =
        clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect();
    assert_eq!(unanswered, Vec::<String>::new());
    assert!(first_answer(open).starts_with("HTTP/1.1 502"));
    assert!(sidecar.wait_for_exit().success());
}

/// The process is killed at the earliest allowed time, which is the longest deadline and 0.7 s after the signal, and is
/// held up before that.
#[test]
fn open_request_is_answered_though_the_process_is_held_up_before_it_is_killed() {
    let blocked = BlockedServer::new();
    let sidecar = Sidecar::start_with(discovery(&[&blocked.server]), |config| {
        (0..3).for_each(|class| set_times(config, class, 1000, 1000));
    });
    let first = blocked.receives_order(&sidecar, "first");
    let kill_at = Instant::now() + Duration::from_millis(1700);
    begin_shutdown(&sidecar);
    thread::sleep(Duration::from_millis(600));
    let late = blocked.receives_order(&sidecar, "late");
    thread::sleep((kill_at - Duration::from_millis(150)).saturating_duration_since(Instant::now()));
    sidecar.signal("STOP");
    thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    sidecar.signal("KILL");
    assert!(first_answer(first).starts_with("HTTP/1.1 502"));
    let answer = first_answer(late);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer:?}");
}

/// Returns the log of a process that is held up beyond its exit time while a request arrives; `None` if the machine was
/// too slow for that. The hold-up is longer than any that the process has to tolerate.
fn log_of_exit_during_hold_up() -> Option<String> {
    let blocked = BlockedServer::new();
    let mut sidecar = Sidecar::start_with(discovery(&[&blocked.server]), |config| {
        (0..3).for_each(|class| set_times(config, class, 1000, 1000));
    });
    let _open = blocked.receives_order(&sidecar, "open");
    let signal = Instant::now();
    sidecar.signal("TERM");
    let wait_until = |ms| {
        let at = signal + Duration::from_millis(ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    // The listener is closed 1.395 s after the signal, and the process exits 0.3 s later.
    wait_until(1300);
    let mut late = TcpStream::connect(sidecar.at).ok()?;
    late.set_read_timeout(Some(PATIENCE)).expect("a read timeout");
    wait_until(1330);
    let hold_up = HoldUp::begin(&sidecar);
    late.set_nonblocking(true).expect("set");
    late.peek(&mut [0]).err().filter(|e| e.kind() == ErrorKind::WouldBlock)?;
    late.set_nonblocking(false).expect("set");
    late.write_all(get_request("late").as_bytes()).expect("sent");
    wait_until(1750);
    drop(hold_up);
    assert!(sidecar.wait_for_exit().success());
    read_to_end(late).is_empty().then(|| sidecar.log())
}

#[test]
fn request_that_is_unanswered_as_its_process_exits_is_logged() {
    let log = (0..5).find_map(|_| log_of_exit_during_hold_up()).expect("an unanswered request");
    let has = |parts: &[&str]| log.lines().any(|line| parts.iter().all(|part| line.contains(part)));
    assert!(has(&["process exits before all client input is answered"]), "{log}");
    let reason = "\"reason\":\"draining\"";
    assert!(has(&["client connection closed with a request unanswered", reason]), "{log}");
}
