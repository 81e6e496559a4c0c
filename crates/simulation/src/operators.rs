//! Simulated operators, who send orders to the admin listeners of sidecars, revoke them, and make malformed calls.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use runtime::{Runtime, Stream, timeout};
use simnet::{SimRuntime, SimTcp};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::model::now;
use crate::oracle::{Oracle, Rule};

/// The time within which a caller is answered, or its connection closed. It covers a time without descriptors at the
/// sidecar.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// The number of malformed calls that are made at once, which is more than a sidecar accepts.
const MALFORMED_CALLS: usize = 12;
/// The response to an order that was executed.
const DONE: &str = "done\n";
/// An order whose response has several lines, the last of which is `end`.
const SHOW_STAT: &[u8] = b"show-stat\n";

/// The admin listener of a sidecar.
#[derive(Clone, Copy, Debug)]
pub struct AdminTarget {
    /// The index of the sidecar.
    pub sidecar: usize,
    /// The address of its admin listener.
    pub address: SocketAddr,
}

/// The operators of all sidecars.
pub struct Operators {
    start: Instant,
    oracle: Rc<RefCell<Oracle>>,
    rng: RefCell<SmallRng>,
}

/// Sends a line and reads the response until the connection is closed; `None` if that fails.
async fn call(address: SocketAddr, line: &[u8]) -> Option<String> {
    let socket = SimRuntime::connect(address).await.ok()?;
    let mut stream: Stream<SimTcp, ()> = Stream::new(Rc::new(socket), Rc::new(()));
    stream.write_all(line).await.ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok()?;
    String::from_utf8(response).ok()
}

impl Operators {
    /// Creates operators that have given no orders. `start` is the start of the world.
    pub fn new(start: Instant, oracle: Rc<RefCell<Oracle>>, rng: SmallRng) -> Operators {
        Operators { start, oracle, rng: RefCell::new(rng) }
    }

    /// Disables a server, by its index and name, at a sidecar, and enables it after `duration`.
    pub async fn disable_server(
        self: Rc<Operators>,
        target: AdminTarget,
        server: usize,
        name: String,
        duration: Duration,
    ) {
        let report = |disabled| {
            let mut oracle = self.oracle.borrow_mut();
            oracle.set_server_disabled(now(self.start), target.sidecar, server, disabled);
        };
        let disable = format!("disable-server {name}\n");
        if call(target.address, disable.as_bytes()).await.as_deref() == Some(DONE) {
            report(true);
        }
        SimRuntime::sleep(duration).await;
        report(false);
        let enable = format!("enable-server {name}\n");
        let _ = call(target.address, enable.as_bytes()).await;
        // Another order to disable the server may have been executed in between.
        report(false);
    }

    /// Drains a sidecar's clients, and ends the drain after `duration`.
    pub async fn drain_clients(self: Rc<Operators>, target: AdminTarget, duration: Duration) {
        let report = |drained| {
            let mut oracle = self.oracle.borrow_mut();
            oracle.set_clients_drained(now(self.start), target.sidecar, drained);
        };
        if call(target.address, b"drain\n").await.as_deref() == Some(DONE) {
            report(true);
        }
        SimRuntime::sleep(duration).await;
        report(false);
        let _ = call(target.address, b"resume\n").await;
        report(false);
    }

    /// Makes many calls at once that send nothing, an incomplete line, invalid bytes, or a line that is too long.
    pub async fn make_malformed_calls(self: Rc<Operators>, target: AdminTarget) {
        for _ in 0..MALFORMED_CALLS {
            SimRuntime::spawn(self.clone().make_malformed_call(target.address));
            let pause_ms = self.rng.borrow_mut().random_range(0..20);
            SimRuntime::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn make_malformed_call(self: Rc<Operators>, address: SocketAddr) {
        let too_long = [b'a'; 700];
        let lines: [&[u8]; 6] = [b"", b"disable-serv", b"\xff\xfe\n", &too_long, SHOW_STAT, b"\n"];
        let line = lines[self.rng.borrow_mut().random_range(0..lines.len())];
        let response = timeout::<SimRuntime, _>(CALL_TIMEOUT, call(address, line)).await;
        let now = now(self.start);
        let mut oracle = self.oracle.borrow_mut();
        match response {
            Ok(Some(text)) if line == SHOW_STAT && !text.ends_with("end\n") => {
                oracle.count("admin calls closed");
            }
            Ok(Some(text)) if text.is_empty() => oracle.count("admin calls closed"),
            Ok(Some(_)) => oracle.count("admin calls answered"),
            Ok(None) => oracle.count("admin calls reset"),
            Err(_) => {
                let message = format!("a caller has waited for {CALL_TIMEOUT:?}");
                oracle.violate(now, Rule::Caller, message);
            }
        }
    }
}
