//! Operators of the sidecars: orders that are given and called back, and callers who are no good.

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
use crate::oracle::Oracle;

/// A caller is answered, or let go, by then, even if the sidecar has no descriptors for a while.
const LET_GO: Duration = Duration::from_secs(12);
/// So many callers at once are no good: more than a sidecar takes.
const BAD_CALLS: usize = 12;

/// Whoever calls the sidecars' operators' listeners.
pub struct Operators {
    pub start: Instant,
    pub oracle: Rc<RefCell<Oracle>>,
    pub rng: RefCell<SmallRng>,
}

/// One line in, all that comes out; none: no answer that ends.
async fn call(at: SocketAddr, line: &[u8]) -> Option<String> {
    let mut stream: Stream<SimTcp, ()> =
        Stream::new(Rc::new(SimRuntime::connect(at).await.ok()?), Rc::new(()));
    stream.write_all(line).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    String::from_utf8(answer).ok()
}

impl Operators {
    /// Takes a server out at a sidecar, and puts it back after `lasts`.
    pub async fn take_out(
        self: Rc<Operators>,
        (sidecar, at): (usize, SocketAddr),
        (server, name): (usize, String),
        lasts: Duration,
    ) {
        let told = |out| self.oracle.borrow_mut().holds_out(now(self.start), sidecar, server, out);
        let done = call(at, format!("disable-server {name}\n").as_bytes()).await;
        if done.as_deref() == Some("done\n") {
            told(true);
        }
        SimRuntime::sleep(lasts).await;
        told(false);
        let _ = call(at, format!("enable-server {name}\n").as_bytes()).await;
        // Another order may have been carried out in between.
        told(false);
    }

    /// Sends a sidecar's clients away, and calls them back after `lasts`.
    pub async fn send_away(
        self: Rc<Operators>,
        (sidecar, at): (usize, SocketAddr),
        lasts: Duration,
    ) {
        let told = |away| self.oracle.borrow_mut().sends_away(now(self.start), sidecar, away);
        if call(at, b"drain\n").await.as_deref() == Some("done\n") {
            told(true);
        }
        SimRuntime::sleep(lasts).await;
        told(false);
        let _ = call(at, b"resume\n").await;
        told(false);
    }

    /// Many who call at once and say nothing, half a line, nonsense, or too much.
    pub async fn bad_calls(self: Rc<Operators>, at: SocketAddr) {
        for _ in 0..BAD_CALLS {
            SimRuntime::spawn(self.clone().bad_call(at));
            let pause = self.rng.borrow_mut().random_range(0..20);
            SimRuntime::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn bad_call(self: Rc<Operators>, at: SocketAddr) {
        let long = [b'a'; 700];
        let lines: [&[u8]; 6] = [b"", b"disable-serv", b"\xff\xfe\n", &long, b"show-stat\n", b"\n"];
        let line = lines[self.rng.borrow_mut().random_range(0..lines.len())];
        let answer = timeout::<SimRuntime, _>(LET_GO, call(at, line)).await;
        let now = now(self.start);
        let mut oracle = self.oracle.borrow_mut();
        match answer {
            Ok(Some(text)) if line == b"show-stat\n" && !text.ends_with("end\n") => {
                oracle.count("operators' calls closed");
            }
            Ok(Some(text)) if text.is_empty() => oracle.count("operators' calls closed"),
            Ok(Some(_)) => oracle.count("operators' calls answered"),
            Ok(None) => oracle.count("operators' calls reset"),
            Err(_) => {
                oracle.broken(now, "caller", None, format!("a caller is held for {LET_GO:?}"))
            }
        }
    }
}
