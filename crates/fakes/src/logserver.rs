//! Fake log servers on real sockets, with cores, a queue, slow start, load reports, draining, deduplication by
//! idempotency key, and faults. A core sleeps for the service time instead of computing, so that many servers fit on
//! one machine.

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

mod broken_rejection;
mod planned_response;
mod second_answers;

use self::broken_rejection::BrokenRejection;
use self::planned_response::PlannedResponse;
use self::second_answers::SecondAnswers;
use crate::account::{Account, DrawnResponse, ServerEvent};
use crate::contents::{Direction, is_body_of};
use crate::scripted::NOT_FOUND;
use crate::second_answer::SecondAnswer;
use crate::wire::{Message, Reader};

/// The number of idempotency keys above which expired ones are removed.
const MAX_KEYS: usize = 10_000;
const BAD_REQUEST: &str = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
const SERVER_ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const GARBAGE: &str = "\u{1}\u{2}noise\r\n\r\n";
/// The share of rejections among the responses that are sent twice.
const REPEATED_REJECTION_SHARE: f64 = 0.3;
/// The number of bytes that a truncated response lacks.
const TRUNCATED_BYTES: usize = 4;

/// The idempotency keys that the servers of one zone have executed recently.
#[derive(Default)]
pub struct RecentKeys(Mutex<HashMap<String, Instant>>);

impl RecentKeys {
    /// Returns whether a key was not executed within `window` before `now`, and if so records it as executed.
    pub fn insert_if_new(&self, key: &str, window: Duration, now: Instant) -> bool {
        let mut keys = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if keys.len() > MAX_KEYS {
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

/// The parameters of a server.
#[derive(Clone)]
pub struct ServerSpec {
    /// The server's name.
    pub name: String,
    /// The number of requests that it executes at the same time.
    pub cores: usize,
    /// The number of requests that may queue. More are rejected without being executed.
    pub queue_capacity: usize,
    /// The number of connections on which it accepts requests. On further ones it rejects them.
    pub max_connections: usize,
    /// The share of its full speed at start.
    pub cold_share: f64,
    /// The time until it reaches its full speed. Zero means from the start.
    pub warm_up: Duration,
    /// The idempotency keys of its zone.
    pub idempotency_keys: Arc<RecentKeys>,
    /// The time for which idempotency keys are remembered.
    pub deduplication_window: Duration,
    /// The time for which an idle connection is kept open.
    pub idle_timeout: Duration,
    /// The seed of all random choices.
    pub seed: u64,
}

/// A fault in the handling of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request is executed, and the response has status 500.
    Error,
    /// The connection is reset before the request is executed.
    ResetBefore,
    /// The connection is reset after the request was executed.
    ResetAfter,
    /// The request is executed and never answered.
    Hang,
    /// The request is executed, and the response is not HTTP.
    Garbage,
    /// The request is executed, and the response is incomplete.
    Truncated,
    /// The request is rejected with a malformed rejection, which does not prove that it was not executed; in most
    /// cases it was.
    BrokenRejection,
    /// The response or rejection is sent twice.
    SecondAnswer,
    /// The response is sound, and its body is drawn: of any length, in any framing, at once or piece by piece.
    DrawnBody,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Up,
    Draining,
    Dead,
}

/// The share of the requests with each fault. The rest are served normally.
type FaultShares = Vec<(f64, Fault)>;

struct Shared {
    spec: ServerSpec,
    account: Arc<Account>,
    started: Instant,
    cores: Semaphore,
    queued: AtomicUsize,
    executing: AtomicUsize,
    connections: AtomicUsize,
    faults: Mutex<FaultShares>,
    /// The factor on the time of all work.
    slowdown: Mutex<f64>,
    rng: Mutex<StdRng>,
}

/// A running log server. It stops when the handle is dropped.
pub struct LogServer {
    /// The address that it listens at.
    pub at: SocketAddr,
    shared: Arc<Shared>,
    mode: watch::Sender<Mode>,
}

impl LogServer {
    /// Starts a server on the current runtime.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start(spec: ServerSpec, account: Arc<Account>) -> io::Result<LogServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let shared = Arc::new(Shared {
            cores: Semaphore::new(spec.cores),
            account,
            started: Instant::now(),
            queued: AtomicUsize::new(0),
            executing: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            faults: Mutex::default(),
            slowdown: Mutex::new(1.0),
            rng: Mutex::new(StdRng::seed_from_u64(spec.seed)),
            spec,
        });
        let (mode, watched) = watch::channel(Mode::Up);
        tokio::spawn(accept(listener, shared.clone(), watched));
        Ok(LogServer { at, shared, mode })
    }

    /// Returns the server's name.
    pub fn name(&self) -> &str {
        &self.shared.spec.name
    }

    /// Rejects all new requests from now on.
    pub fn drain(&self) {
        self.mode.send_replace(Mode::Draining);
    }

    /// Kills the server: its connections are reset, and new ones are refused.
    pub fn kill(&self) {
        self.mode.send_replace(Mode::Dead);
    }

    /// Sets the share of the requests with each fault.
    pub fn set_faults(&self, faults: Vec<(f64, Fault)>) {
        *self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Multiplies all service times by this factor from now on.
    pub fn set_slowdown(&self, factor: f64) {
        *self.shared.slowdown.lock().unwrap_or_else(PoisonError::into_inner) = factor;
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut mode: watch::Receiver<Mode>) {
    loop {
        let socket = tokio::select! {
            biased;
            _ = mode.wait_for(|mode| *mode == Mode::Dead) => return,
            socket = listener.accept() => socket,
        };
        if let Ok((socket, _)) = socket {
            tokio::spawn(serve_connection(socket, shared.clone(), mode.clone()));
        }
    }
}

/// Increments a count for as long as it lives.
struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    /// Increments the count. Also returns its former value.
    fn new(count: &'a AtomicUsize) -> (CountGuard<'a>, usize) {
        let before = count.fetch_add(1, Ordering::Relaxed);
        (CountGuard(count), before)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(socket: TcpStream, shared: Arc<Shared>, mode: watch::Receiver<Mode>) {
    let _ = socket.set_nodelay(true);
    let (_guard, before) = CountGuard::new(&shared.connections);
    let overloaded = before >= shared.spec.max_connections;
    let mut reader = Reader::new(socket);
    let mut killed = mode.clone();
    let end = tokio::select! {
        biased;
        _ = killed.wait_for(|mode| *mode == Mode::Dead) => ConnectionEnd::Reset,
        end = serve_requests(&mut reader, &shared, mode, overloaded) => end,
    };
    if end == ConnectionEnd::Reset {
        let _ = SockRef::from(reader.get_ref()).set_linger(Some(Duration::ZERO));
    }
}

/// The way in which a server ends a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

async fn serve_requests(
    reader: &mut Reader<TcpStream>,
    shared: &Shared,
    mut mode: watch::Receiver<Mode>,
    overloaded: bool,
) -> ConnectionEnd {
    let mut second_answers = SecondAnswers::default();
    loop {
        let next = tokio::time::timeout(shared.spec.idle_timeout, reader.next()).await;
        let Ok(Ok(Some(message))) = next else { return ConnectionEnd::Closed };
        if let Some(text) = second_answers.take()
            && reader.get_mut().write_all(&text).await.is_err()
        {
            return ConnectionEnd::Closed;
        }
        let draining = *mode.borrow_and_update() == Mode::Draining;
        match shared.serve(&message, draining || overloaded).await {
            Reply::Answer(text) => {
                if reader.get_mut().write_all(text.as_bytes()).await.is_err() {
                    return ConnectionEnd::Closed;
                }
            }
            Reply::Twice(text, second) => {
                let planned = second_answers.plan(second, &text, reader.get_ref());
                if planned.is_err() || reader.get_mut().write_all(text.as_bytes()).await.is_err() {
                    return ConnectionEnd::Closed;
                }
            }
            Reply::Rejection(rejection) => {
                if let Some(end) = rejection.send(reader.get_mut()).await {
                    return end;
                }
            }
            Reply::Planned(response) => {
                let record = |state| shared.record(&response.id, ServerEvent::Response(state));
                record(DrawnResponse::Begun);
                if !response.write(reader.get_mut()).await {
                    record(DrawnResponse::Refused);
                    return ConnectionEnd::Closed;
                }
                let ends_connection = response.ends_connection;
                record(DrawnResponse::Given { ends_connection });
                if ends_connection {
                    return ConnectionEnd::Closed;
                }
            }
            Reply::Reset => return ConnectionEnd::Reset,
            Reply::Silence => std::future::pending().await,
        }
    }
}

enum Reply {
    Answer(String),
    Twice(String, SecondAnswer),
    Rejection(BrokenRejection),
    Planned(PlannedResponse),
    Reset,
    Silence,
}

impl Shared {
    /// Serves a request. With `reject`, rejects it without executing it.
    async fn serve(&self, message: &Message, reject: bool) -> Reply {
        let Some(id) = message.header("x-correlation-id") else {
            return Reply::Answer(NOT_FOUND.to_owned());
        };
        self.record(&id, ServerEvent::Received);
        self.check_arrival(&id, message);
        if !is_body_of(Direction::Request, &id, &message.body) {
            self.account.record_changed_request(&self.spec.name, &id);
        }
        let first = message.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.account.classes().iter().find(|class| class.name == first);
        let Some(class) = class else { return Reply::Answer(BAD_REQUEST.to_owned()) };
        if reject || self.queued.load(Ordering::Relaxed) >= self.spec.queue_capacity {
            return Reply::Answer(self.reject(&id));
        }
        if let Some(key) = message.header("idempotency-key")
            && !self.is_new_key(&key)
        {
            self.record(&id, ServerEvent::Deduplicated);
            return Reply::Answer(self.ok_answer(&id));
        }
        let (fault, work) = self.draw(class.service_time);
        if fault == Some(Fault::BrokenRejection) {
            return self.break_rejection(&id, work).await;
        }
        if fault == Some(Fault::SecondAnswer) {
            return self.answer_twice(&id, work).await;
        }
        if fault == Some(Fault::ResetBefore) || !self.execute(&id, work).await {
            return Reply::Reset;
        }
        self.reply(&id, fault)
    }

    fn record(&self, id: &str, event: ServerEvent) {
        self.account.record_server_event(&self.spec.name, id, event);
    }

    /// Checks the time left that a request states when it arrives.
    fn check_arrival(&self, id: &str, message: &Message) {
        let time_left = message.header("x-time-left-ms").and_then(|ms| ms.parse().ok());
        if let Some(time_left) = time_left.map(Duration::from_millis) {
            self.account.record_time_left(&self.spec.name, id, time_left);
        }
    }

    fn is_new_key(&self, key: &str) -> bool {
        let window = self.spec.deduplication_window;
        self.spec.idempotency_keys.insert_if_new(key, window, Instant::now())
    }

    /// Waits for a core and executes the request on it. Returns `false` if there is none.
    async fn execute(&self, id: &str, work: Duration) -> bool {
        let core = {
            let (_queued, _) = CountGuard::new(&self.queued);
            self.cores.acquire().await
        };
        let Ok(_core) = core else { return false };
        self.record(id, ServerEvent::Executed);
        let (_executing, _) = CountGuard::new(&self.executing);
        tokio::time::sleep(work.div_f64(self.speed())).await;
        true
    }

    /// Rejects a request with a malformed rejection.
    async fn break_rejection(&self, id: &str, work: Duration) -> Reply {
        let drawn = {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            BrokenRejection::draw(&mut rng)
        };
        if drawn.is_executed() && !self.execute(id, work).await {
            return Reply::Reset;
        }
        Reply::Rejection(drawn)
    }

    /// Serves or rejects a request, and plans a second copy of the response.
    async fn answer_twice(&self, id: &str, work: Duration) -> Reply {
        let (rejects, second) = {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            (rng.random_bool(REPEATED_REJECTION_SHARE), SecondAnswer::draw(&mut *rng))
        };
        if rejects {
            return Reply::Twice(self.reject(id), second);
        }
        if !self.execute(id, work).await {
            return Reply::Reset;
        }
        Reply::Twice(self.ok_answer(id), second)
    }

    /// Returns the reply to an executed request.
    fn reply(&self, id: &str, fault: Option<Fault>) -> Reply {
        match fault {
            None | Some(Fault::BrokenRejection | Fault::SecondAnswer) => {
                Reply::Answer(self.ok_answer(id))
            }
            Some(Fault::DrawnBody) => {
                let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
                Reply::Planned(PlannedResponse::draw(id, &self.load_report(), &mut rng))
            }
            Some(Fault::Error) => Reply::Answer(SERVER_ERROR.to_owned()),
            Some(Fault::ResetBefore | Fault::ResetAfter) => Reply::Reset,
            Some(Fault::Hang) => Reply::Silence,
            Some(Fault::Garbage) => Reply::Answer(GARBAGE.to_owned()),
            Some(Fault::Truncated) => {
                let answer = self.ok_answer(id);
                Reply::Answer(answer[..answer.len() - TRUNCATED_BYTES].to_owned())
            }
        }
    }

    fn reject(&self, id: &str) -> String {
        self.record(id, ServerEvent::Rejected);
        let head = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0";
        format!("{head}\r\nX-Backend-Load: {}\r\n\r\n", self.load_report())
    }

    fn ok_answer(&self, id: &str) -> String {
        let load = self.load_report();
        let length = id.len();
        format!("HTTP/1.1 200 OK\r\nX-Backend-Load: {load}\r\nContent-Length: {length}\r\n\r\n{id}")
    }

    fn load_report(&self) -> String {
        let queued = self.queued.load(Ordering::Relaxed);
        let executing = self.executing.load(Ordering::Relaxed);
        let utilization = executing as f64 / self.spec.cores as f64;
        format!("inflight={},queue={queued},util={utilization:.2}", queued + executing)
    }

    /// Draws the fault of a request, if any, and its service time: between 0.5 and 1.5 of the mean.
    fn draw(&self, mean: Duration) -> (Option<Fault>, Duration) {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let mut point: f64 = rng.random();
        let work = mean.mul_f64(rng.random_range(0.5..1.5));
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        for (share, fault) in faults.iter() {
            if point < *share {
                return (Some(*fault), work);
            }
            point -= share;
        }
        (None, work)
    }

    /// Returns the speed relative to that of a warm server without slowdown.
    fn speed(&self) -> f64 {
        let slowdown = *self.slowdown.lock().unwrap_or_else(PoisonError::into_inner);
        let (cold_share, warm_up) = (self.spec.cold_share, self.spec.warm_up);
        if warm_up.is_zero() {
            return 1.0 / slowdown;
        }
        let warm = (self.started.elapsed().as_secs_f64() / warm_up.as_secs_f64()).min(1.0);
        (cold_share + (1.0 - cold_share) * warm) / slowdown
    }
}
