//! What clients take for lost.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use fakes::account::{Account, Class, Idempotency, Report};
use fakes::clients::{Load, drive};
use fakes::scripted::{Server, answer};
use tokio::sync::watch;

/// Plays clients of idempotent requests against `script` for a second.
fn play(script: impl Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static) -> Report {
    let server = Server::start(script);
    let class = Class {
        name: "look",
        idempotency: Idempotency::Idempotent,
        share: 1.0,
        service_time: Duration::from_millis(1),
        latency_objective: Duration::from_millis(100),
        deadline: Duration::from_millis(600),
    };
    let account = Arc::new(Account::new(vec![class]));
    let (stop, stopped) = watch::channel(false);
    let load = Load { rate: 50.0, retries: 0, ..Load::default() };
    let driven = fakes::runtime().spawn(drive(server.at, account.clone(), load, stopped));
    thread::sleep(Duration::from_secs(1));
    stop.send_replace(true);
    fakes::runtime().block_on(driven).expect("no panic");
    account.report()
}

/// Answers the first request of a connection, and ends it under the second after `pause`.
fn close_under_second(pause: Duration) -> impl Fn(&str, &mut TcpStream) -> bool {
    let served = Mutex::new(BTreeSet::new());
    move |id, socket| {
        let client = socket.peer_addr().expect("connected");
        if served.lock().expect("no panic").insert(client) {
            return socket.write_all(answer(id).as_bytes()).is_ok();
        }
        thread::sleep(pause);
        false
    }
}

#[test]
fn request_whose_connection_ends_long_after_it_was_written_is_lost() {
    let report = play(close_under_second(Duration::from_millis(110)));
    assert!(report.lost > 0, "{report:?}");
    assert_eq!(report.close_races, 0, "{report:?}");
}

#[test]
fn request_that_crosses_the_end_of_its_connection_is_sent_again() {
    let report = play(close_under_second(Duration::ZERO));
    assert!(report.close_races > 0, "{report:?}");
    assert_eq!(report.violations(), 0, "{report:?}");
}
