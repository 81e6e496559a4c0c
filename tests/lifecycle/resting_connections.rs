//! Idle client connections that time out, and requests that arrive at that moment.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::ops::RangeInclusive;
use std::thread;
use std::time::{Duration, Instant};

use fakes::faulty_calls::{FaultRates, environment};

use crate::net::*;
use crate::support::*;

const CONNECTIONS: usize = 60;
/// Descriptor limit, high enough that no connection is evicted.
const SOCKETS: usize = 512;
/// Idle time after which the sidecar closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after a check of a connection from which on a request may cross its close.
const CROSSING_TIME: Duration = Duration::from_millis(1);
/// Maximum number of attempts, of which one has to begin its hold-up in time.
const MAX_ATTEMPTS: usize = 8;

fn start(server: &Server) -> Sidecar {
    Sidecar::start_with(discovery(&[server]), |config| {
        config["limits"]["sockets"] = SOCKETS.into();
    })
}

/// Connects all clients at nearly the same time.
fn connect_all(sidecar: &Sidecar) -> Vec<TcpStream> {
    (0..CONNECTIONS).map(|_| sidecar.connect()).collect()
}

/// Sends one request on each connection and reads the responses.
fn use_once(clients: &mut [TcpStream]) {
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(get_request(&format!("first-{n}")).as_bytes()).expect("sent");
    }
    for (n, client) in clients.iter().enumerate() {
        let answer = first_answer(client.try_clone().expect("a second handle"));
        assert!(answer.ends_with(&format!("first-{n}")), "{answer:?}");
    }
}

/// Whether the client can see that its connection has been closed.
fn has_ended(client: &TcpStream) -> bool {
    client.set_nonblocking(true).expect("set");
    let ended = !client.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    client.set_nonblocking(false).expect("set");
    ended
}

/// The time range in which connections time out.
type TimeoutRange = RangeInclusive<Instant>;

/// The time range in which connections time out that become idle during `use_connections`, and its result.
fn timeout_range<T>(use_connections: impl FnOnce() -> T) -> (TimeoutRange, T) {
    let first = Instant::now() + IDLE_TIMEOUT;
    let result = use_connections();
    (first..=Instant::now() + IDLE_TIMEOUT, result)
}

/// Holds the sidecar up around `timeouts`, runs `meanwhile` during the hold-up, and lets the sidecar continue.
fn during_hold_up<T>(
    sidecar: &Sidecar,
    timeouts: TimeoutRange,
    meanwhile: impl FnOnce() -> T,
) -> T {
    thread::sleep((*timeouts.start() - HOLD_UP / 2).saturating_duration_since(Instant::now()));
    let hold_up = HoldUp::begin(sidecar);
    let result = meanwhile();
    thread::sleep((*timeouts.end() + HOLD_UP / 2).saturating_duration_since(Instant::now()));
    drop(hold_up);
    result
}

/// Repeats `attempt` until its hold-up begins before the sidecar's timeouts, and returns its result. On a busy machine
/// some hold-ups begin too late, and their attempts prove nothing.
fn retry_until_in_time<T>(attempt: impl Fn() -> Option<T>) -> T {
    (0..MAX_ATTEMPTS).find_map(|_| attempt()).expect("a hold-up that begins in time")
}

/// Holds the sidecar up while all connections time out, sends a request on each of them meanwhile, and returns the
/// requests without a response; `None` if the hold-up began too late.
fn unanswered_after_hold_up(
    sidecar: &Sidecar,
    clients: Vec<TcpStream>,
    timeouts: TimeoutRange,
) -> Option<Vec<String>> {
    let mut sent = during_hold_up(sidecar, timeouts, || {
        let in_time = !clients.iter().any(has_ended);
        in_time.then(|| clients.into_iter().enumerate().map(send_second).collect::<Vec<_>>())
    })?;
    sent.retain(|(id, client)| {
        !first_answer(client.try_clone().expect("a second handle")).ends_with(id)
    });
    Some(sent.into_iter().map(|(id, _)| id).collect())
}

/// Sends a second request on a connection, and returns its id and the connection.
fn send_second((n, mut client): (usize, TcpStream)) -> (String, TcpStream) {
    let id = format!("second-{n}");
    client.write_all(get_request(&id).as_bytes()).expect("sent");
    (id, client)
}

#[test]
fn request_sent_as_its_idle_connection_times_out_is_answered() {
    let echo = Server::echo();
    let sidecar = start(&echo);
    let unanswered = retry_until_in_time(|| {
        let mut clients = connect_all(&sidecar);
        let (timeouts, ()) = timeout_range(|| use_once(&mut clients));
        unanswered_after_hold_up(&sidecar, clients, timeouts)
    });
    assert_eq!(unanswered, Vec::<String>::new(), "{}", sidecar.log());
}

#[test]
fn first_request_sent_as_its_connection_times_out_is_answered() {
    let echo = Server::echo();
    let sidecar = start(&echo);
    let unanswered = retry_until_in_time(|| {
        let (timeouts, clients) = timeout_range(|| connect_all(&sidecar));
        unanswered_after_hold_up(&sidecar, clients, timeouts)
    });
    assert_eq!(unanswered, Vec::<String>::new(), "{}", sidecar.log());
}

/// Opens a connection and sends `text` on it.
fn connect_and_send(sidecar: &Sidecar, text: &str) -> TcpStream {
    let mut client = sidecar.connect();
    client.write_all(text.as_bytes()).expect("sent");
    client
}

/// Sends the rest of a request in a hold-up while its connection times out, and returns the response; `None` if the
/// hold-up began too late.
fn answer_to_rest(
    sidecar: &Sidecar,
    mut client: TcpStream,
    rest: &str,
    timeouts: TimeoutRange,
) -> Option<String> {
    during_hold_up(sidecar, timeouts, || {
        let in_time = !has_ended(&client);
        in_time.then(|| client.write_all(rest.as_bytes()).expect("sent"))
    })?;
    Some(first_answer(client))
}

/// The request is complete before the timeout, but the sidecar reads the rest of it later.
#[test]
fn request_completed_as_its_time_runs_out_is_served() {
    let echo = Server::echo();
    let sidecar = start(&echo);
    let complete = order_request("pieces");
    let (first, second) = complete.split_at(complete.len() - 1);
    let answer = retry_until_in_time(|| {
        let (timeouts, client) = timeout_range(|| connect_and_send(&sidecar, first));
        answer_to_rest(&sidecar, client, second, timeouts)
    });
    assert!(answer.ends_with("\r\n\r\npieces"), "{answer:?}");
}

/// The same for a long body that is streamed to the server.
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
    let answer = retry_until_in_time(|| {
        let (timeouts, client) = timeout_range(|| connect_and_send(&sidecar, &first));
        answer_to_rest(&sidecar, client, &"x".repeat(rest), timeouts)
    });
    assert!(answer.ends_with("\r\n\r\nlong"), "{answer:?} {}", sidecar.log());
}

/// The client of a partial request may be sending the rest when its connection is evicted, so it must get a response.
#[test]
fn partial_request_whose_connection_is_evicted_is_answered() {
    let echo = Server::echo();
    let sidecar = Sidecar::start(discovery(&[&echo]));
    let half = &order_request("half")[..40];
    // More connections than the connection budget allows.
    let clients: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| {
            let mut client = sidecar.connect();
            // The connection may have been evicted already.
            let _ = client.write_all(half.as_bytes());
            client
        })
        .collect();
    until("some connections are evicted", || {
        clients.iter().filter(|client| has_ended(client)).count() >= 8
    });
    for client in clients.into_iter().filter(has_ended) {
        let answer = first_answer(client);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    }
}

/// Sends a request on an idle connection `after` its timeout, and returns the response; `None` if the connection had
/// been closed, or may have been closed while the request was sent.
fn answer_after_idle_timeout(sidecar: &Sidecar, n: usize, after: Duration) -> Option<String> {
    let mut client = sidecar.connect();
    client.write_all(get_request(&format!("first-{n}")).as_bytes()).expect("sent");
    let first = first_answer(client.try_clone().expect("a second handle"));
    assert!(first.ends_with(&format!("first-{n}")), "{first:?}");
    thread::sleep(IDLE_TIMEOUT + after);
    let checked_at = Instant::now();
    let is_sent = !has_ended(&client)
        && client.write_all(get_request(&format!("second-{n}")).as_bytes()).is_ok()
        && checked_at.elapsed() < CROSSING_TIME;
    is_sent.then(|| first_answer(client))
}

/// The requests arrive while the process is held up after it has fetched its events, in the iteration of the event loop
/// that closes their connection.
#[test]
fn requests_that_arrive_after_the_last_events_before_a_close_are_answered() {
    /// Delay after which most connections have been closed despite hold-ups.
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
        let start = |n: usize| {
            let after = LONGEST_DELAY * n as u32 / CONNECTIONS as u32;
            let sidecar = &sidecar;
            scope.spawn(move || (n, answer_after_idle_timeout(sidecar, n, after)))
        };
        let threads: Vec<_> = (0..CONNECTIONS).map(start).collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    let answered = answers.iter().filter(|(_, answer)| answer.is_some()).count();
    let is_lost = |n: &usize, answer: &Option<String>| {
        answer.as_ref().is_some_and(|answer| !answer.ends_with(&format!("second-{n}")))
    };
    let lost: Vec<_> = answers.iter().filter(|(n, answer)| is_lost(n, answer)).collect();
    assert!(lost.is_empty(), "of {answered}: {lost:?}");
}
