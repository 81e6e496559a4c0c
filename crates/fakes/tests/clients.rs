//! Tests of which requests the fake clients count as lost.

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

/// Runs clients that send idempotent requests to a server with `script` for a second, and returns the report.
fn run_clients(script: impl Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static) -> Report {
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

/// Returns a script that answers the first request of each connection, and closes the connection without an answer
/// `pause` after the second one.
fn close_on_second_request(pause: Duration) -> impl Fn(&str, &mut TcpStream) -> bool {
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
    let report = run_clients(close_on_second_request(Duration::from_millis(110)));
    assert!(report.lost > 0, "{report:?}");
    assert_eq!(report.close_races, 0, "{report:?}");
}

#[test]
fn request_that_crosses_the_end_of_its_connection_is_sent_again() {
    let report = run_clients(close_on_second_request(Duration::ZERO));
    assert!(report.close_races > 0, "{report:?}");
    assert_eq!(report.violations(), 0, "{report:?}");
}
