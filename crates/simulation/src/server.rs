//! Log servers: cores, a waiting room, cold starts, load reports, keys, and everything that may go
//! wrong with a request there. Beside the network code it shares keys and messages with the stand-ins.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fakes::account::Class;
use fakes::logserver::Keys;
use fakes::wire::{Message, Reader};
use fakes::world::{IDLE, WINDOW};
use rand::Rng;
use rand::rngs::SmallRng;
use runtime::{Listener, Runtime, Stream, Tcp};
use simnet::{HostId, SimListener, SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;

use crate::model::{LONG, PIECE, now, warmth};
use crate::oracle::Oracle;

/// Requests that may wait; more are turned away unseen.
const ROOM: usize = 40;

/// The shares of a server's requests that meet a fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub hang: f64,
    pub error: f64,
    pub reset_before: f64,
    pub reset_after: f64,
    pub reset_within: f64,
    pub spoilt: f64,
    pub half: f64,
    pub wrong_length: f64,
    pub surplus: f64,
    pub close_after: f64,
    pub late: f64,
    pub late_by: Duration,
    pub reset_late: f64,
    pub reset_late_by: Duration,
    /// The share of answers that are too long to be kept.
    pub long: f64,
    pub turn_away: f64,
    /// How many times as long work takes, less one.
    pub slower: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Fine,
    Hang,
    Error,
    ResetBefore,
    ResetAfter,
    ResetWithin,
    Spoilt,
    Half,
    WrongLength,
    Surplus,
    CloseAfter,
    Late,
    ResetLate,
    Long,
    TurnAway,
}

/// One server's place: whoever runs there, now and later.
pub struct Server {
    pub place: usize,
    pub zone: usize,
    pub host: HostId,
    pub at: SocketAddr,
    /// Requests in work at once.
    pub cores: usize,
    /// How often somebody new has run here: part of the name.
    pub life: Cell<u32>,
    /// As which life it last started.
    pub ran_as: Cell<u32>,
    pub draining: Cell<bool>,
    pub down: Cell<bool>,
    pub faults: Cell<Faults>,
    pub started: Cell<Option<Duration>>,
    classes: Rc<[Class]>,
    free: RefCell<Rc<Semaphore>>,
    waiting: Cell<usize>,
    running: Cell<usize>,
    keys: Rc<Keys>,
    rng: RefCell<SmallRng>,
    oracle: Rc<RefCell<Oracle>>,
}

/// Where something that is counted goes on.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn new(count: &'a Cell<usize>) -> Counted<'a> {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Server {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        place: usize,
        zone: usize,
        host: HostId,
        at: SocketAddr,
        cores: usize,
        classes: Rc<[Class]>,
        keys: Rc<Keys>,
        rng: SmallRng,
        oracle: Rc<RefCell<Oracle>>,
    ) -> Rc<Server> {
        Rc::new(Server {
            place,
            zone,
            host,
            at,
            cores,
            life: Cell::new(0),
            ran_as: Cell::new(0),
            draining: Cell::new(false),
            down: Cell::new(false),
            faults: Cell::default(),
            started: Cell::new(None),
            classes,
            free: RefCell::new(Rc::new(Semaphore::new(cores))),
            waiting: Cell::new(0),
            running: Cell::new(0),
            keys,
            rng: RefCell::new(rng),
            oracle,
        })
    }

    /// Its present name.
    pub fn name(&self) -> String {
        format!("s-{}-{}", self.place, self.life.get())
    }

    /// Its place, from a name.
    pub fn place_of(name: &str) -> Option<usize> {
        name.strip_prefix("s-")?.split('-').next()?.parse().ok()
    }

    /// Runs it: to be spawned on its machine.
    pub async fn run(self: Rc<Server>, start: std::time::Instant) {
        *self.free.borrow_mut() = Rc::new(Semaphore::new(self.cores));
        self.waiting.set(0);
        self.running.set(0);
        self.down.set(false);
        self.draining.set(false);
        let Ok(listener) = SimListener::bind(self.at, 128) else { return };
        loop {
            if let Ok((socket, _)) = listener.accept().await {
                SimRuntime::spawn(self.clone().connection(Rc::new(socket), start));
            }
        }
    }

    fn draw(&self) -> Fate {
        let f = self.faults.get();
        let mut at: f64 = self.rng.borrow_mut().random();
        let shares = [
            (f.turn_away, Fate::TurnAway),
            (f.hang, Fate::Hang),
            (f.error, Fate::Error),
            (f.reset_before, Fate::ResetBefore),
            (f.reset_after, Fate::ResetAfter),
            (f.reset_within, Fate::ResetWithin),
            (f.spoilt, Fate::Spoilt),
            (f.half, Fate::Half),
            (f.wrong_length, Fate::WrongLength),
            (f.surplus, Fate::Surplus),
            (f.close_after, Fate::CloseAfter),
            (f.late, Fate::Late),
            (f.reset_late, Fate::ResetLate),
            (f.long, Fate::Long),
        ];
        for (share, fate) in shares {
            if at < share {
                return fate;
            }
            at -= share;
        }
        Fate::Fine
    }

    async fn connection(self: Rc<Server>, socket: Rc<SimTcp>, start: std::time::Instant) {
        let mut reader = Reader::new(Stream::new(socket.clone(), Rc::new(())));
        loop {
            let next = runtime::timeout::<SimRuntime, _>(IDLE, reader.next()).await;
            let Ok(Ok(Some(message))) = next else { return };
            let fate = self.draw();
            let Some(answer) = self.serve(&message, fate, start).await else {
                // Silent for good, or reset.
                if fate == Fate::Hang {
                    SimRuntime::sleep(Duration::from_secs(8)).await;
                    return;
                }
                socket.reset_on_close();
                return;
            };
            let half = answer.len() / 2;
            let (text, then) = match fate {
                Fate::ResetWithin => (&answer[..half], Some(true)),
                Fate::Half => (&answer[..half], None),
                Fate::WrongLength => (&answer[..answer.len() - 3], None),
                Fate::CloseAfter => (&answer[..], Some(false)),
                _ => (&answer[..], Some(false)),
            };
            if reader.get_mut().write_all(text).await.is_err() {
                return;
            }
            match (fate, then) {
                (Fate::ResetWithin, _) => {
                    socket.reset_on_close();
                    return;
                }
                (Fate::CloseAfter, _) => return,
                (_, None) => {
                    SimRuntime::sleep(Duration::from_secs(8)).await;
                    return;
                }
                _ => {}
            }
        }
    }

    /// The answer, or none: nothing comes.
    async fn serve(
        &self,
        message: &Message,
        fate: Fate,
        start: std::time::Instant,
    ) -> Option<Vec<u8>> {
        let plain = |status: &str, more: &str| {
            Some(format!("HTTP/1.1 {status}\r\n{more}Content-Length: 0\r\n\r\n").into_bytes())
        };
        let id = message.header("x-correlation-id");
        let Some(id) = id.and_then(|v| u64::from_str_radix(&v, 16).ok()) else {
            return plain("404 Not Found", "");
        };
        let first = message.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.classes.iter().find(|c| c.name == first);
        let Some(class) = class else { return plain("400 Bad Request", "") };
        let away = fate == Fate::TurnAway || self.draining.get() || self.waiting.get() >= ROOM;
        if away {
            let more = format!("X-Unprocessed: 1\r\nX-Backend-Load: {}\r\n", self.load());
            return plain("503 Service Unavailable", &more);
        }
        if fate == Fate::ResetBefore {
            return None;
        }
        let free = self.free.borrow().clone();
        let core = {
            let _waits = Counted::new(&self.waiting);
            free.acquire().await.ok()?
        };
        let key = message.header("idempotency-key");
        let fresh = key.is_none_or(|key| self.keys.fresh(&key, WINDOW, SimRuntime::now()));
        if fresh {
            self.oracle.borrow_mut().ran(now(start), id, self.place);
            let _runs = Counted::new(&self.running);
            let drawn = self.rng.borrow_mut().random_range(0.5..1.5);
            let work = class.work.mul_f64(drawn * (1.0 + self.faults.get().slower));
            SimRuntime::sleep(work.div_f64(self.speed(now(start)))).await;
        }
        drop(core);
        let body = format!("{id:016x}");
        let good = format!(
            "HTTP/1.1 200 OK\r\nX-Backend-Load: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.load(),
            body.len()
        );
        match fate {
            Fate::Error => plain("500 Internal Server Error", ""),
            Fate::ResetAfter | Fate::Hang => None,
            Fate::ResetLate => {
                SimRuntime::sleep(self.faults.get().reset_late_by).await;
                None
            }
            Fate::Long => Some(self.long(&body)),
            Fate::Spoilt => Some(b"\x01\x02noise\r\n\r\n".to_vec()),
            // Noise, or the same answer once more: it would pass for the next one's.
            Fate::Surplus if id.is_multiple_of(3) => Some((good + "\u{1}\u{2}noise").into_bytes()),
            Fate::Surplus => Some((good.clone() + &good).into_bytes()),
            Fate::Late => {
                SimRuntime::sleep(self.faults.get().late_by).await;
                Some(good.into_bytes())
            }
            _ => Some(good.into_bytes()),
        }
    }

    /// An answer that is too long to be kept, with its length or in chunks.
    fn long(&self, body: &str) -> Vec<u8> {
        let (times, chunked) = {
            let mut rng = self.rng.borrow_mut();
            (rng.random_range(LONG / 16..LONG / 8), rng.random::<bool>())
        };
        let body = body.repeat(times).into_bytes();
        let (how, body) = match chunked {
            true => ("Transfer-Encoding: chunked".to_owned(), fakes::wire::chunked(&body, PIECE)),
            false => (format!("Content-Length: {}", body.len()), body),
        };
        let head = format!("HTTP/1.1 200 OK\r\nX-Backend-Load: {}\r\n{how}\r\n\r\n", self.load());
        [head.into_bytes(), body].concat()
    }

    fn load(&self) -> String {
        let (waiting, running) = (self.waiting.get(), self.running.get());
        let util = running as f64 / self.cores as f64;
        format!("inflight={},queue={waiting},util={util:.2}", waiting + running)
    }

    fn speed(&self, now: Duration) -> f64 {
        self.started.get().map_or(1.0, |started| warmth(now.saturating_sub(started)))
    }
}
