//! Client connections that rest until the sidecar ends them, and requests that arrive just then.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::ops::RangeInclusive;
use std::thread;
use std::time::{Duration, Instant};

use fakes::faulty_calls::{FaultRates, environment};

use crate::net::*;
use crate::support::*;

const CONNECTIONS: usize = 60;
/// Enough descriptors that no connection is evicted.
const SOCKETS: usize = 512;
/// How long a connection rests before the sidecar ends it.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// A request that is sent so long after a look at its connection may cross the end of that.
const CROSSING_TIME: Duration = Duration::from_millis(1);
/// The most plays of which one has to begin its hold-up in time.
const MOST_PLAYS: usize = 8;

fn start(server: &Server) -> Sidecar {
    Sidecar::start_with(discovery(&[server]), |config| {
        config["limits"]["sockets"] = SOCKETS.into();
    })
}

/// Clients that have connected at nearly the same time.
fn connect_all(sidecar: &Sidecar) -> Vec<TcpStream> {
    (0..CONNECTIONS).map(|_| sidecar.connect()).collect()
}

/// Has one request served on each connection.
fn use_once(clients: &mut [TcpStream]) {
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(look(&format!("first-{n}")).as_bytes()).expect("sent");
    }
    for (n, client) in clients.iter().enumerate() {
        let answer = first_answer(client.try_clone().expect("a second handle"));
        assert!(answer.ends_with(&format!("first-{n}")), "{answer:?}");
    }
}

/// Whether a client can see that its connection has ended.
fn has_ended(client: &TcpStream) -> bool {
    client.set_nonblocking(true).expect("set");
    let ended = !client.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    client.set_nonblocking(false).expect("set");
    ended
}

/// When the time of some connections runs out: of the first, and of the last.
type Due = RangeInclusive<Instant>;

/// When the time of connections runs out whose rest begins while `use_connections` runs, and what that returns.
fn due_after<T>(use_connections: impl FnOnce() -> T) -> (Due, T) {
    let first = Instant::now() + IDLE_TIMEOUT;
    let used = use_connections();
    (first..=Instant::now() + IDLE_TIMEOUT, used)
}

/// Runs `meanwhile` while the sidecar is held up around `due`, and lets it go on afterwards.
fn during_hold_up<T>(sidecar: &Sidecar, due: Due, meanwhile: impl FnOnce() -> T) -> T {
    thread::sleep((*due.start() - HOLD_UP / 2).saturating_duration_since(Instant::now()));
    let hold_up = HoldUp::begin(sidecar);
    let done = meanwhile();
    thread::sleep((*due.end() + HOLD_UP / 2).saturating_duration_since(Instant::now()));
    drop(hold_up);
    done
}

/// What a play shows whose hold-up began before the sidecar's timeouts: on a busy machine some begin too late, and
/// show nothing.
fn played_in_time<T>(play: impl Fn() -> Option<T>) -> T {
    (0..MOST_PLAYS).find_map(|_| play()).expect("a hold-up that begins in time")
}

/// Holds the sidecar up while the time of all connections runs out, has each of them send a request
/// meanwhile, and returns those requests that got no answer; none if the hold-up began too late.
fn unanswered_after_hold_up(
    sidecar: &Sidecar,
    clients: Vec<TcpStream>,
    due: Due,
) -> Option<Vec<String>> {
    let mut sent = during_hold_up(sidecar, due, || {
        let in_time = !clients.iter().any(has_ended);
        in_time.then(|| clients.into_iter().enumerate().map(send_second).collect::<Vec<_>>())
    })?;
    sent.retain(|(id, client)| {
        !first_answer(client.try_clone().expect("a second handle")).ends_with(id)
    });
    Some(sent.into_iter().map(|(id, _)| id).collect())
}

/// Sends a request on a connection; its id, and the connection.
fn send_second((n, mut client): (usize, TcpStream)) -> (String, TcpStream) {
    let id = format!("second-{n}");
    client.write_all(look(&id).as_bytes()).expect("sent");
    (id, client)
}

#[test]
fn request_sent_as_its_idle_connection_times_out_is_answered() {
    let echo = Server::echo();
    let sidecar = start(&echo);
    let unanswered = played_in_time(|| {
        let mut clients = connect_all(&sidecar);
        let (due, ()) = due_after(|| use_once(&mut clients));
        unanswered_after_hold_up(&sidecar, clients, due)
    });
    assert_eq!(unanswered, Vec::<String>::new(), "{}", sidecar.log());
}

#[test]
fn first_request_sent_as_its_connection_times_out_is_answered() {
    let echo = Server::echo();
    let sidecar = start(&echo);
    let unanswered = played_in_time(|| {
        let (due, clients) = due_after(|| connect_all(&sidecar));
        unanswered_after_hold_up(&sidecar, clients, due)
    });
    assert_eq!(unanswered, Vec::<String>::new(), "{}", sidecar.log());
}

/// A new connection on which this was sent.
fn connect_and_send(sidecar: &Sidecar, text: &str) -> TcpStream {
    let mut client = sidecar.connect();
    client.write_all(text.as_bytes()).expect("sent");
    client
}

/// The answer to a request whose rest is sent in a hold-up as its time runs out; none if the hold-up began too late.
fn answer_of_rest(
    sidecar: &Sidecar,
    mut client: TcpStream,
    rest: &str,
    due: Due,
) -> Option<String> {
    during_hold_up(sidecar, due, || {
        let in_time = !has_ended(&client);
        in_time.then(|| client.write_all(rest.as_bytes()).expect("sent"))
    })?;
    Some(first_answer(client))
}

/// The request is complete before its time runs out, though the sidecar reads it later.
#[test]
fn request_completed_as_its_time_runs_out_is_served() {
    let echo = Server::echo();
    let sidecar = start(&echo);
    let complete = order("pieces");
    let (first, second) = complete.split_at(complete.len() - 1);
    let answer = played_in_time(|| {
        let (due, client) = due_after(|| connect_and_send(&sidecar, first));
        answer_of_rest(&sidecar, client, second, due)
    });
    assert!(answer.ends_with("\r\n\r\npieces"), "{answer:?}");
}

/// The same of a body that is sent on while it is received.
#[test]
fn upload_continued_as_its_time_runs_out_is_served() {
    let echo = Server::echo();
    let sidecar = start(&echo);
    let (length, rest) = (200_000, 1_000);
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nX-Correlation-Id: long\r\nX-Time-Left-Ms: 20000\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    let first = head + &"x".repeat(length - rest);
    let answer = played_in_time(|| {
        let (due, client) = due_after(|| connect_and_send(&sidecar, &first));
        answer_of_rest(&sidecar, client, &"x".repeat(rest), due)
    });
    assert!(answer.ends_with("\r\n\r\nlong"), "{answer:?} {}", sidecar.log());
}

/// Whoever has sent a part of a request may be sending the rest just then.
#[test]
fn partial_request_whose_connection_is_evicted_is_answered() {
    let echo = Server::echo();
    let sidecar = Sidecar::start(discovery(&[&echo]));
    let half = &order("half")[..40];
    // More than the sidecar has room for.
    let clients: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| {
            let mut client = sidecar.connect();
            // It may have been rejected by now.
            let _ = client.write_all(half.as_bytes());
            client
        })
        .collect();
    until("some are evicted", || clients.iter().filter(|client| has_ended(client)).count() >= 8);
    for client in clients.into_iter().filter(has_ended) {
        let answer = first_answer(client);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    }
}

/// What became of a request that is sent so long after its connection's time runs out; none if that had ended, or may
/// have ended just as the request was sent.
fn answer_at_the_end(sidecar: &Sidecar, n: usize, after: Duration) -> Option<String> {
    let mut client = sidecar.connect();
    client.write_all(look(&format!("first-{n}")).as_bytes()).expect("sent");
    let first = first_answer(client.try_clone().expect("a second handle"));
    assert!(first.ends_with(&format!("first-{n}")), "{first:?}");
    thread::sleep(IDLE_TIMEOUT + after);
    let looked_at = Instant::now();
    let is_sent = !has_ended(&client)
        && client.write_all(look(&format!("second-{n}")).as_bytes()).is_ok()
        && looked_at.elapsed() < CROSSING_TIME;
    is_sent.then(|| first_answer(client))
}

/// They arrive while the process is held up behind the events that it has taken, in the turn that ends their connection.
#[test]
fn requests_that_arrive_behind_the_last_events_before_a_close_are_answered() {
    /// By then, hold-ups and all, most connections have ended.
    const LONGEST_DELAY: Duration = Duration::from_millis(800);
    let server = Server::echo();
    let rates = FaultRates { seed: 1, wait: 300, ..FaultRates::default() };
    let mut command = program(None);
    command.envs(environment(rates, None).expect("a C compiler"));
    let listen = "127.0.0.1:0".to_owned();
    let sidecar = Sidecar::start_command(command, listen, discovery(&[&server]), |config| {
        config["limits"]["sockets"] = SOCKETS.into();
    });
    let answers: Vec<_> = thread::scope(|scope| {
        let play = |n: usize| {
            let after = LONGEST_DELAY * n as u32 / CONNECTIONS as u32;
            let sidecar = &sidecar;
            scope.spawn(move || (n, answer_at_the_end(sidecar, n, after)))
        };
        let plays: Vec<_> = (0..CONNECTIONS).map(play).collect();
        plays.into_iter().map(|play| play.join().expect("no panic")).collect()
    });
    let answered = answers.iter().filter(|(_, answer)| answer.is_some()).count();
    let is_lost = |n: &usize, answer: &Option<String>| {
        answer.as_ref().is_some_and(|answer| !answer.ends_with(&format!("second-{n}")))
    };
    let lost: Vec<_> = answers.iter().filter(|(n, answer)| is_lost(n, answer)).collect();
    assert!(lost.is_empty(), "of {answered}: {lost:?}");
}
