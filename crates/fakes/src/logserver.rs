//! Log servers over real sockets: cores, a waiting room, cold starts, load reports, drains, keys
//! that drop repeats, and faults by script. Work is time spent on a core, not computing, so that
//! many of them fit on one machine.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::account::{Account, Did};
use crate::wire::{Message, Reader};

/// The keys that the servers of one zone have lately run.
#[derive(Default)]
pub struct Keys(Mutex<HashMap<String, Instant>>);

impl Keys {
    /// Whether `key` is new: not run within `window`. It counts as run from now on.
    pub fn fresh(&self, key: &str, window: Duration, now: Instant) -> bool {
        let mut keys = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if keys.len() > 10_000 {
            keys.retain(|_, at| now.duration_since(*at) < window);
        }
        match keys.get(key) {
            Some(at) if now.duration_since(*at) < window => false,
            _ => {
                keys.insert(key.to_owned(), now);
                true
            }
        }
    }
}

/// What a server is like.
#[derive(Clone)]
pub struct Spec {
    /// Its name.
    pub name: String,
    /// Requests in work at once.
    pub cores: usize,
    /// Requests that may wait; more are turned away unseen.
    pub room: usize,
    /// Connections that it holds; on more, requests are turned away.
    pub connections: usize,
    /// The share of its speed that it starts with.
    pub cold_share: f64,
    /// Warm after; zero: from the start.
    pub warm_after: Duration,
    /// The keys of its zone.
    pub keys: Arc<Keys>,
    /// How long they are kept.
    pub window: Duration,
    /// The longest that it keeps a connection at rest.
    pub idle: Duration,
    /// For what is drawn.
    pub seed: u64,
}

/// What may go wrong with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// 500 after it has run.
    Error,
    /// The connection is reset before it runs.
    ResetBefore,
    /// The connection is reset after it has run.
    ResetAfter,
    /// It runs, and no answer comes.
    Hang,
    /// It runs, and noise is the answer.
    Spoilt,
    /// Its answer stops half way.
    Half,
}

/// How a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Up,
    Draining,
    Gone,
}

/// Shares of the requests that meet a fault; the rest are answered.
type Script = Vec<(f64, Fault)>;

struct Shared {
    spec: Spec,
    account: Arc<Account>,
    started: Instant,
    cores: Semaphore,
    waiting: AtomicUsize,
    running: AtomicUsize,
    connections: AtomicUsize,
    faults: Mutex<Script>,
    slow: Mutex<f64>,
    rng: Mutex<StdRng>,
}

/// A log server. It goes with its handle.
pub struct LogServer {
    /// Where it listens.
    pub at: SocketAddr,
    shared: Arc<Shared>,
    mode: watch::Sender<Mode>,
}

impl LogServer {
    /// Starts one on the present runtime.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start(spec: Spec, account: Arc<Account>) -> io::Result<LogServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let shared = Arc::new(Shared {
            cores: Semaphore::new(spec.cores),
            account,
            started: Instant::now(),
            waiting: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            faults: Mutex::default(),
            slow: Mutex::new(1.0),
            rng: Mutex::new(StdRng::seed_from_u64(spec.seed)),
            spec,
        });
        let (mode, seen) = watch::channel(Mode::Up);
        tokio::spawn(accept(listener, shared.clone(), seen));
        Ok(LogServer { at, shared, mode })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.shared.spec.name
    }

    /// From now on it turns away all that is new.
    pub fn drain(&self) {
        self.mode.send_replace(Mode::Draining);
    }

    /// It dies: its connections are reset, and new ones are refused.
    pub fn kill(&self) {
        self.mode.send_replace(Mode::Gone);
    }

    /// From now on each share of the requests meets its fault.
    pub fn faults(&self, script: Script) {
        *self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = script;
    }

    /// From now on work takes so many times as long.
    pub fn slow(&self, times: f64) {
        *self.shared.slow.lock().unwrap_or_else(PoisonError::into_inner) = times;
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut mode: watch::Receiver<Mode>) {
    loop {
        let socket = tokio::select! {
            biased;
            _ = mode.wait_for(|m| *m == Mode::Gone) => return,
            socket = listener.accept() => socket,
        };
        if let Ok((socket, _)) = socket {
            tokio::spawn(connection(socket, shared.clone(), mode.clone()));
        }
    }
}

struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicUsize) -> (Counted<'a>, usize) {
        let before = count.fetch_add(1, Ordering::Relaxed);
        (Counted(count), before)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connection(socket: TcpStream, shared: Arc<Shared>, mut mode: watch::Receiver<Mode>) {
    let _ = socket.set_nodelay(true);
    let (_held, before) = Counted::new(&shared.connections);
    let full = before >= shared.spec.connections;
    let mut reader = Reader::new(socket);
    let mut gone = mode.clone();
    let serving = async {
        loop {
            let next = tokio::time::timeout(shared.spec.idle, reader.next()).await;
            let Ok(Ok(Some(message))) = next else { return true };
            let draining = *mode.borrow_and_update() == Mode::Draining;
            match shared.serve(&message, draining || full).await {
                Reply::Whole(text) => {
                    if reader.get_mut().write_all(text.as_bytes()).await.is_err() {
                        return true;
                    }
                }
                Reply::Reset => return false,
                Reply::Silence => std::future::pending().await,
            }
        }
    };
    let orderly = tokio::select! {
        biased;
        _ = gone.wait_for(|m| *m == Mode::Gone) => false,
        orderly = serving => orderly,
    };
    if !orderly {
        let _ = SockRef::from(reader.get_ref()).set_linger(Some(Duration::ZERO));
    }
}

enum Reply {
    Whole(String),
    Reset,
    Silence,
}

impl Shared {
    async fn serve(&self, message: &Message, unwilling: bool) -> Reply {
        let (id, name) = (message.header("x-correlation-id"), &self.spec.name);
        let Some(id) = id else {
            return Reply::Whole("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned());
        };
        self.account.did(name, &id, Did::Saw);
        let first = message.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.account.classes().iter().find(|c| c.name == first);
        let Some(class) = class else {
            return Reply::Whole(
                "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_owned(),
            );
        };
        if unwilling || self.waiting.load(Ordering::Relaxed) >= self.spec.room {
            return self.turn_away(&id);
        }
        if let Some(key) = message.header("idempotency-key")
            && !self.spec.keys.fresh(&key, self.spec.window, Instant::now())
        {
            self.account.did(name, &id, Did::Dropped);
            return Reply::Whole(self.answer(&id));
        }
        let (fault, work) = self.draw(class.work);
        if fault == Some(Fault::ResetBefore) {
            return Reply::Reset;
        }
        let running = {
            let (_waits, _) = Counted::new(&self.waiting);
            self.cores.acquire().await
        };
        let Ok(core) = running else { return Reply::Reset };
        self.account.did(name, &id, Did::Ran);
        {
            let (_runs, _) = Counted::new(&self.running);
            tokio::time::sleep(work.div_f64(self.speed())).await;
        }
        drop(core);
        match fault {
            None => Reply::Whole(self.answer(&id)),
            Some(Fault::Error) => Reply::Whole(
                "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".to_owned(),
            ),
            Some(Fault::ResetBefore | Fault::ResetAfter) => Reply::Reset,
            Some(Fault::Hang) => Reply::Silence,
            Some(Fault::Spoilt) => Reply::Whole("\u{1}\u{2}noise\r\n\r\n".to_owned()),
            Some(Fault::Half) => {
                let whole = self.answer(&id);
                Reply::Whole(whole[..whole.len() - 4].to_owned())
            }
        }
    }

    fn turn_away(&self, id: &str) -> Reply {
        self.account.did(&self.spec.name, id, Did::TurnedAway);
        let head = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0";
        Reply::Whole(format!("{head}\r\nX-Backend-Load: {}\r\n\r\n", self.load()))
    }

    fn answer(&self, id: &str) -> String {
        let load = self.load();
        let length = id.len();
        format!("HTTP/1.1 200 OK\r\nX-Backend-Load: {load}\r\nContent-Length: {length}\r\n\r\n{id}")
    }

    fn load(&self) -> String {
        let (waiting, running) =
            (self.waiting.load(Ordering::Relaxed), self.running.load(Ordering::Relaxed));
        let util = running as f64 / self.spec.cores as f64;
        format!("inflight={},queue={waiting},util={util:.2}", waiting + running)
    }

    /// A fault, if one is to be met, and the work: from a half to one and a half of its mean.
    fn draw(&self, mean: Duration) -> (Option<Fault>, Duration) {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let mut at: f64 = rng.random();
        let work = mean.mul_f64(rng.random_range(0.5..1.5));
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        for (share, fault) in faults.iter() {
            if at < *share {
                return (Some(*fault), work);
            }
            at -= share;
        }
        (None, work)
    }

    fn speed(&self) -> f64 {
        let slow = *self.slow.lock().unwrap_or_else(PoisonError::into_inner);
        let (cold, warm_after) = (self.spec.cold_share, self.spec.warm_after);
        if warm_after.is_zero() {
            return 1.0 / slow;
        }
        let warm = (self.started.elapsed().as_secs_f64() / warm_after.as_secs_f64()).min(1.0);
        (cold + (1.0 - cold) * warm) / slow
    }
}
