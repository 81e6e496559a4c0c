//! Clients of one sidecar: most of them honest, some leaving early, bringing requests in pieces, using
//! ids that are open, or sending what is no request.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fakes::account::{Class, Repeat};
use fakes::wire::Reader;
use rand::Rng;
use rand::rngs::SmallRng;
use runtime::{Runtime, Stream, Tcp, timeout_at};
use simnet::{SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;

use crate::model::{LONG, PIECE, now};
use crate::oracle::{Oracle, status_name};

/// A connection at rest is used again for so long.
const KEPT: Duration = Duration::from_millis(1900);

/// How long the rest of a long answer may take.
const SLOWEST: Duration = Duration::from_secs(12);

/// How many of the clients are how.
#[derive(Clone, Copy, Debug)]
pub struct Manners {
    pub leave: f64,
    pub trickle: f64,
    pub reuse: f64,
    pub garbage: f64,
    /// Of requests with a body, those whose body is too long to be kept.
    pub long: f64,
    /// How many times as many requests come.
    pub times: f64,
}

impl Default for Manners {
    fn default() -> Manners {
        Manners { leave: 0.0, trickle: 0.0, reuse: 0.0, garbage: 0.0, long: 0.0, times: 1.0 }
    }
}

type Conn = (Reader<Stream<SimTcp, ()>>, Rc<SimTcp>);

/// All clients of a sidecar.
pub struct Clients {
    pub sidecar: usize,
    pub target: SocketAddr,
    pub classes: Rc<[Class]>,
    pub tenants: Vec<String>,
    pub manners: Cell<Manners>,
    pub rate: f64,
    pub rng: RefCell<SmallRng>,
    pub oracle: Rc<RefCell<Oracle>>,
    pub idle: RefCell<Vec<(Conn, Instant)>>,
    /// Ids that are open.
    pub open: RefCell<Vec<u64>>,
    pub start: Instant,
}

const NO_REQUESTS: [&str; 9] = [
    "\x16\x03\x01\x02\x00\x01\x00\x01\x7c\x03\x03\r\n\r\n",
    "GET /call-lookup/1 HTTP/1.1\r\nX-Correlation-Id: a\r\n\r\n",
    "GET /nowhere HTTP/1.1\r\nX-Correlation-Id: b\r\nX-Time-Left-Ms: 500\r\n\r\n",
    "POST /qsl-order/1 HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
    "POST /qsl-order/1 HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\nabc",
    "POST /qsl-order/1 HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
    "GET /call-lookup/1 HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left-Ms: soon\r\n\r\n",
    "GET /call-lookup/1 HTTP/1.1\r\nX-Corr",
    "DELETE / HTTP/1.1\r\n\r\n",
];

impl Clients {
    fn draw<T>(&self, draw: impl FnOnce(&mut SmallRng) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// Brings requests until `end`: to be spawned on the clients' machine.
    pub async fn run(self: Rc<Clients>, end: Instant) {
        let mut next = SimRuntime::now();
        loop {
            let manners = self.manners.get();
            let gap: f64 = self.draw(|rng| -rng.random::<f64>().max(1e-9).ln());
            next += Duration::from_secs_f64(gap / (self.rate * manners.times));
            if next >= end {
                break;
            }
            SimRuntime::sleep_until(next).await;
            let (garbage, reuse) = self.draw(|rng| {
                (rng.random::<f64>() < manners.garbage, rng.random::<f64>() < manners.reuse)
            });
            if garbage {
                SimRuntime::spawn(self.clone().garbage());
            } else if reuse && !self.open.borrow().is_empty() {
                SimRuntime::spawn(self.clone().reuse());
            }
            SimRuntime::spawn(self.clone().ask());
        }
        SimRuntime::sleep(Duration::from_secs(5)).await;
        self.idle.borrow_mut().clear();
    }

    fn class(&self) -> usize {
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        let mut at = self.draw(|rng| rng.random_range(0.0..all));
        for (n, class) in self.classes.iter().enumerate() {
            if at < class.share {
                return n;
            }
            at -= class.share;
        }
        0
    }

    fn text(&self, class: &Class, id: u64, left: Duration) -> Vec<u8> {
        let (method, more) = match class.repeat {
            Repeat::Safe => ("GET", String::new()),
            Repeat::Keyed => ("POST", format!("Idempotency-Key: {id:032x}\r\n")),
            Repeat::Unsafe => ("POST", String::new()),
        };
        let long = self.manners.get().long;
        let long = long > 0.0 && self.draw(|rng| rng.random::<f64>() < long);
        let (length, body) = match (class.repeat, long) {
            (Repeat::Safe, _) => (String::new(), Vec::new()),
            (_, false) => ("Content-Length: 4\r\n".to_owned(), b"four".to_vec()),
            (_, true) => {
                let (n, chunked) =
                    self.draw(|rng| (rng.random_range(LONG..2 * LONG), rng.random::<bool>()));
                let body = vec![b'l'; n];
                match chunked {
                    false => (format!("Content-Length: {n}\r\n"), body),
                    true => {
                        let body = fakes::wire::chunked(&body, PIECE);
                        ("Transfer-Encoding: chunked\r\n".to_owned(), body)
                    }
                }
            }
        };
        let tenant = self.draw(|rng| rng.random_range(0..self.tenants.len()));
        let head = format!(
            "{method} /{}/1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id:016x}\r\n\
             X-Account: {}\r\nX-Time-Left-Ms: {}\r\n{more}{length}\r\n",
            class.name,
            self.tenants[tenant],
            left.as_millis()
        );
        [head.into_bytes(), body].concat()
    }

    async fn connection(&self) -> Option<Conn> {
        let kept = loop {
            let kept = self.idle.borrow_mut().pop();
            match kept {
                Some((conn, since))
                    if SimRuntime::elapsed_since(since) < KEPT && conn.1.is_idle() =>
                {
                    break Some(conn);
                }
                Some(_) => {}
                None => break None,
            }
        };
        if let Some(conn) = kept {
            return Some(conn);
        }
        let socket = Rc::new(SimRuntime::connect(self.target).await.ok()?);
        Some((Reader::new(Stream::new(socket.clone(), Rc::new(()))), socket))
    }

    async fn ask(self: Rc<Clients>) {
        let class = self.class();
        let again = self.once(class).await;
        if let Some(pause) = again {
            SimRuntime::sleep(pause).await;
            self.once(class).await;
        }
    }

    /// One request; a pause, if it was refused and will come again.
    async fn once(&self, class: usize) -> Option<Duration> {
        let manners = self.manners.get();
        let of = &self.classes[class];
        let (id, left, leaves, trickles) = self.draw(|rng| {
            let share = if rng.random_bool(0.2) { rng.random_range(0.1..1.0) } else { 1.0 };
            (
                rng.random::<u64>() | 1,
                Duration::from_millis(of.deadline.mul_f64(share).as_millis() as u64),
                rng.random::<f64>() < manners.leave,
                rng.random::<f64>() < manners.trickle,
            )
        });
        let Some((mut reader, socket)) = self.connection().await else {
            self.oracle.borrow_mut().count("connections refused");
            return None;
        };
        let text = self.text(of, id, left);
        let (conn, length) = (socket.id(), text.len() as u64);
        let at = now(self.start);
        self.oracle.borrow_mut().sends(at, conn, id, class, self.sidecar, left, length);
        self.open.borrow_mut().push(id);
        let again = self.exchange(&mut reader, &socket, id, &text, left, (leaves, trickles)).await;
        self.open.borrow_mut().retain(|open| *open != id);
        match again {
            Ended::Kept(pause) => {
                self.idle.borrow_mut().push(((reader, socket), SimRuntime::now()));
                pause
            }
            Ended::Over(pause) => pause,
        }
    }

    async fn exchange(
        &self,
        reader: &mut Reader<Stream<SimTcp, ()>>,
        socket: &SimTcp,
        id: u64,
        text: &[u8],
        left: Duration,
        (leaves, trickles): (bool, bool),
    ) -> Ended {
        let pieces: Vec<&[u8]> = match trickles {
            true if text.len() >= LONG => text.chunks(PIECE).collect(),
            true => text.chunks(self.draw(|rng| rng.random_range(20..80))).collect(),
            false => vec![text],
        };
        for (n, piece) in pieces.into_iter().enumerate() {
            if n > 0 {
                let pause = self.draw(|rng| rng.random_range(1..30));
                SimRuntime::sleep(Duration::from_millis(pause)).await;
            }
            if reader.get_mut().write_all(piece).await.is_err() {
                self.oracle.borrow_mut().ended(now(self.start), id);
                return Ended::Over(None);
            }
        }
        let patience = if leaves {
            left.mul_f64(self.draw(|rng| rng.random::<f64>().powi(3)))
        } else {
            let due = self.oracle.borrow().due(id);
            due.map_or(left, |due| due.saturating_sub(now(self.start))) + Duration::from_millis(2)
        };
        let mut answer =
            timeout_at::<SimRuntime, _>(SimRuntime::now() + patience, reader.next()).await;
        // One that is too long to be kept, and has begun in time, may come as slowly as it does.
        if answer.is_err() && !leaves && reader.begun() && self.oracle.borrow().begun(id) {
            answer = timeout_at::<SimRuntime, _>(SimRuntime::now() + SLOWEST, reader.next()).await;
        }
        let now = now(self.start);
        let mut oracle = self.oracle.borrow_mut();
        let message = match answer {
            Ok(Ok(Some(message))) => message,
            Ok(_) => {
                oracle.ended(now, id);
                return Ended::Over(None);
            }
            Err(_) if leaves => {
                oracle.left(now, id);
                if self.draw(|rng| rng.random()) {
                    socket.reset_on_close();
                }
                return Ended::Over(None);
            }
            Err(_) => {
                oracle.late(now, id);
                return Ended::Over(None);
            }
        };
        let status = message.status().unwrap_or(0);
        let own = format!("{id:016x}");
        let right =
            !message.body.is_empty() && message.body.chunks(16).all(|c| c == own.as_bytes());
        oracle.got(now, id, status, right);
        let refused = matches!(status, 429 | 503) && self.draw(|rng| rng.random_bool(0.5));
        let after = message.header("retry-after").and_then(|v| v.parse::<f64>().ok());
        let after = after.filter(|s| (0.0..60.0).contains(s)).unwrap_or(0.05);
        let pause = refused.then(|| Duration::from_secs_f64(after));
        if message.keeps() && !reader.begun() { Ended::Kept(pause) } else { Ended::Over(pause) }
    }

    /// A request under the id of one that is open.
    async fn reuse(self: Rc<Clients>) {
        let id = {
            // Of those alone that the sidecar has taken: else it is not known which comes first.
            let oracle = self.oracle.borrow();
            let open: Vec<u64> =
                self.open.borrow().iter().copied().filter(|id| oracle.taken(*id)).collect();
            if open.is_empty() {
                return;
            }
            open[self.draw(|rng| rng.random_range(0..open.len()))]
        };
        let class = &self.classes[self.class()];
        let text = self.text(class, id, Duration::from_millis(700));
        let Ok(socket) = SimRuntime::connect(self.target).await else { return };
        let mut reader = Reader::new(Stream::new(Rc::new(socket), Rc::new(())));
        if reader.get_mut().write_all(&text).await.is_err() {
            return;
        }
        let end = SimRuntime::now() + Duration::from_secs(2);
        if let Ok(Ok(Some(message))) = timeout_at::<SimRuntime, _>(end, reader.next()).await {
            let conflict = message.status() == Some(409);
            let what = if conflict { "ids that are open refused" } else { "ids reused later" };
            let mut oracle = self.oracle.borrow_mut();
            oracle.count(what);
            oracle.count(status_name(message.status().unwrap_or(0)));
        }
    }

    async fn garbage(self: Rc<Clients>) {
        let text = NO_REQUESTS[self.draw(|rng| rng.random_range(0..NO_REQUESTS.len()))];
        let Ok(socket) = SimRuntime::connect(self.target).await else { return };
        let mut reader = Reader::new(Stream::new(Rc::new(socket), Rc::new(())));
        if reader.get_mut().write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let end = SimRuntime::now() + Duration::from_secs(4);
        let answer = timeout_at::<SimRuntime, _>(end, reader.next()).await;
        let mut oracle = self.oracle.borrow_mut();
        oracle.count(match &answer {
            Ok(Ok(Some(_))) => "garbage answered",
            Ok(_) => "garbage closed",
            Err(_) => "garbage held",
        });
        if let Ok(Ok(Some(message))) = answer {
            oracle.count(status_name(message.status().unwrap_or(0)));
        }
    }
}

/// How an exchange ended; a pause, if it was refused and will come again.
enum Ended {
    /// The connection is good for more.
    Kept(Option<Duration>),
    /// It is not.
    Over(Option<Duration>),
}
