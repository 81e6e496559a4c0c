//! Fake clients. They send requests at random times, independently of each other, each with a deadline and retries,
//! on reused connections.

mod idle;

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout_at};

pub use self::idle::REST_TIME;
use self::idle::hold_silent_connections;
use crate::account::{Account, AttemptId, Class, Idempotency, Outcome};
use crate::contents::{Direction, body_of, is_body_of, request_length};
use crate::wire::{Message, Reader};

/// The maximum number of times an attempt is sent, if connections are closed before the request is read.
const MAX_SENDS: usize = 2;
/// The time after the last byte of a request within which an end of its connection is a crossing: the transit time
/// on loopback, and an allowance for a busy machine. If the connection ends later, the request is lost.
const CROSSING_TIME: Duration = Duration::from_millis(20);
/// The pause before the first retry without Retry-After, in milliseconds; it doubles with each retry.
const FIRST_BACKOFF_MS: u64 = 50;
/// The longest Retry-After that is respected, in seconds. Longer ones are ignored.
const MAX_RETRY_AFTER_S: f64 = 60.0;
/// A client that leaves early does so after a share of its deadline that is a uniform random number to this power:
/// half of them leave within an eighth of the deadline, while most requests are in progress.
const LEAVE_SHARE_EXPONENT: i32 = 3;

/// The load on one sidecar.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests per second.
    pub rate: f64,
    /// Retries after the first attempt.
    pub retries: u16,
    /// The time after the deadline within which a response still counts: an allowance for the machine's own delays.
    pub slack: Duration,
    /// The share of the operations whose client gives up at a random time and closes its connection.
    pub leave_share: f64,
    /// The number of connections that are held open without a request, each for a random time up to 1.5 s.
    pub silent_connections: usize,
    /// The number of connections whose client pauses after each response, for about the idle timeout of a sidecar.
    pub resting_connections: usize,
    /// The time for which an idle connection is kept open.
    pub idle_timeout: Duration,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The tenants' shares of the requests. If empty, they are equal.
    pub shares: Vec<f64>,
    /// The seed of all random choices.
    pub seed: u64,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 5.0,
            retries: 2,
            slack: Duration::from_millis(500),
            leave_share: 0.0,
            silent_connections: 0,
            resting_connections: 0,
            idle_timeout: Duration::from_millis(2000),
            tenants: Vec::new(),
            shares: Vec::new(),
            seed: 1,
        }
    }
}

impl Load {
    /// Draws the index of a tenant. `None` without tenants.
    fn draw_tenant(&self, rng: &mut SmallRng) -> Option<usize> {
        let last = self.tenants.len().checked_sub(1)?;
        if self.shares.is_empty() {
            return Some(rng.random_range(0..=last));
        }
        Some(draw_by_share(self.shares.iter().copied(), rng).min(last))
    }
}

/// The clients of one sidecar.
struct Client {
    target: SocketAddr,
    account: Arc<Account>,
    load: Load,
    idle_connections: Mutex<Vec<IdleConnection>>,
}

struct IdleConnection {
    reader: Reader<TcpStream>,
    since: Instant,
}

/// An operation in progress.
struct Operation {
    class: Class,
    tenant: Option<usize>,
    idempotency_key: u64,
    deadline: Instant,
    /// The time at which its client gives up early. `None` if it waits for the deadline.
    leaves_at: Option<Instant>,
}

/// The result of sending a request and waiting for its response.
enum Exchange {
    Answered(Message, Reader<TcpStream>),
    /// The connection was refused.
    Refused,
    /// The connection ended before any part of a response.
    Closed {
        /// Whether the connection had served a request before.
        reused: bool,
        /// The time since the last byte of the request was written. `None` if not all of it was.
        after: Option<Duration>,
    },
    /// The connection ended within a response.
    Truncated,
    TimedOut,
}

/// Sends load to the sidecar at `target` until `stop` is true, and then waits for the requests in progress.
pub async fn drive(
    target: SocketAddr,
    account: Arc<Account>,
    load: Load,
    mut stop: watch::Receiver<bool>,
) {
    let mut rng = SmallRng::seed_from_u64(load.seed ^ u64::from(target.port()) << 20);
    let client = Arc::new(Client { target, account, load, idle_connections: Mutex::default() });
    let mut silent = JoinSet::new();
    for _ in 0..client.load.silent_connections {
        silent.spawn(hold_silent_connections(target, rng.random()));
    }
    let mut resting = JoinSet::new();
    for _ in 0..client.load.resting_connections {
        resting.spawn(client.clone().rest_between_requests(rng.random(), stop.clone()));
    }
    let mut open = JoinSet::new();
    let mut next = tokio::time::Instant::now();
    loop {
        // Exponential times between arrivals make a Poisson process.
        next += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / client.load.rate);
        tokio::select! {
            biased;
            _ = stop.wait_for(|stopped| *stopped) => break,
            () = sleep_until(next) => {}
        }
        let (class, tenant) = (client.draw_class(&mut rng), client.load.draw_tenant(&mut rng));
        let leaves = rng.random_bool(client.load.leave_share.clamp(0.0, 1.0));
        let leave_share = leaves.then(|| rng.random::<f64>().powi(LEAVE_SHARE_EXPONENT));
        open.spawn(client.clone().run_operation(class, tenant, rng.random(), leave_share));
        while open.try_join_next().is_some() {}
    }
    while open.join_next().await.is_some() {}
    while resting.join_next().await.is_some() {}
}

/// Returns the number of bytes that can be read from a socket, by a system call: tokio may not have processed the
/// readiness event yet.
fn peek(socket: &TcpStream) -> io::Result<usize> {
    SockRef::from(socket).peek(&mut [MaybeUninit::uninit()])
}

/// Returns whether a connection is open and has nothing to read.
fn is_idle(socket: &TcpStream) -> bool {
    matches!(peek(socket), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Returns whether a connection is known to have ended.
fn has_ended(socket: &TcpStream) -> bool {
    match peek(socket) {
        Ok(bytes) => bytes == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Draws an index with probability proportional to its share.
fn draw_by_share(shares: impl Iterator<Item = f64> + Clone, rng: &mut SmallRng) -> usize {
    let mut point = rng.random_range(0.0..shares.clone().sum::<f64>().max(f64::MIN_POSITIVE));
    for (n, share) in shares.enumerate() {
        if point < share {
            return n;
        }
        point -= share;
    }
    0
}

impl Client {
    fn draw_class(&self, rng: &mut SmallRng) -> usize {
        draw_by_share(self.account.classes().iter().map(|class| class.share), rng)
    }

    /// Runs an operation with its retries. With `leave_share`, the client gives up after that share of the deadline.
    async fn run_operation(
        self: Arc<Client>,
        class: usize,
        tenant: Option<usize>,
        idempotency_key: u64,
        leave_share: Option<f64>,
    ) {
        let number = self.account.begin_for_tenant(class, tenant);
        let class = self.account.classes()[class].clone();
        let started = Instant::now();
        let deadline = started + class.deadline;
        let leaves_at = leave_share.map(|share| started + class.deadline.mul_f64(share));
        let operation = Operation { class, tenant, idempotency_key, deadline, leaves_at };
        for n in 0..=self.load.retries {
            let id = self.account.next_attempt(number);
            let (outcome, retry_after) = self.attempt(id, &operation).await;
            self.account.record_outcome(id, outcome, self.target);
            if outcome == Outcome::Served {
                self.account.record_served(number, started.elapsed());
                return;
            }
            let may_retry = match outcome {
                Outcome::Rejected => true,
                Outcome::Failed => operation.class.idempotency == Idempotency::Idempotent,
                _ => false,
            };
            let pause = retry_after.unwrap_or(Duration::from_millis(FIRST_BACKOFF_MS << n));
            if !may_retry || n == self.load.retries || Instant::now() + pause >= deadline {
                return;
            }
            sleep(pause).await;
        }
    }

    /// Makes one attempt. Returns its outcome and the Retry-After of its response. The request is sent again only if
    /// its connection was closed before the request was read.
    async fn attempt(&self, id: AttemptId, operation: &Operation) -> (Outcome, Option<Duration>) {
        for sends in 0..MAX_SENDS {
            let request = self.request(id, operation);
            let limit = operation.deadline + self.load.slack;
            let limit = operation.leaves_at.map_or(limit, |leaves_at| leaves_at.min(limit));
            // A request that crossed the close of its connection is sent again on a new one.
            let kept = if sends == 0 { self.reuse_connection() } else { None };
            match self.exchange(kept, &request, limit).await {
                Exchange::Answered(message, reader) => return self.answered(id, &message, reader),
                Exchange::TimedOut if operation.leaves_at.is_some() => {
                    return (Outcome::Left, None);
                }
                Exchange::TimedOut => return (Outcome::TimedOut, None),
                Exchange::Truncated if self.account.has_drawn_response(id) => {
                    return (Outcome::Truncated, None);
                }
                Exchange::Truncated => return (Outcome::Lost, None),
                Exchange::Refused => {
                    self.account.record_refused_connection();
                    return (Outcome::Rejected, None);
                }
                Exchange::Closed { reused, after } => {
                    // The connection ended before the whole request was written, or the close and the request
                    // crossed in transit.
                    let crossed = after.is_none_or(|after| after < CROSSING_TIME);
                    // A killed process may have forwarded the request just before the kill.
                    let may_be_forwarded =
                        self.account.was_received(id) || self.account.was_killed(self.target);
                    if may_be_forwarded || !crossed {
                        self.account.note_connection_end(id, self.target, after);
                        return (Outcome::Lost, None);
                    }
                    // A new connection that was closed without forwarding anything is a failure.
                    if !reused {
                        self.account.record_unread_connection();
                        return (Outcome::Failed, None);
                    }
                    self.account.record_close_race();
                }
            }
        }
        (Outcome::Lost, None)
    }

    fn request(&self, id: AttemptId, operation: &Operation) -> Vec<u8> {
        let (method, key) = match operation.class.idempotency {
            Idempotency::Idempotent => ("GET", String::new()),
            Idempotency::Keyed => {
                ("POST", format!("Idempotency-Key: {:032x}\r\n", operation.idempotency_key))
            }
            Idempotency::NonIdempotent => ("POST", String::new()),
        };
        let tenant = operation.tenant.map(|n| format!("X-Account: {}\r\n", self.load.tenants[n]));
        let tenant = tenant.unwrap_or_default();
        let (class, id) = (operation.class.name, id.request_id());
        let (length, body) = match method {
            "GET" => (String::new(), Vec::new()),
            _ => {
                let body = body_of(Direction::Request, &id, request_length(&id));
                (format!("Content-Length: {}\r\n", body.len()), body)
            }
        };
        let left_ms = operation.deadline.saturating_duration_since(Instant::now()).as_millis();
        let head = format!(
            "{method} /{class}/1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n\
             X-Time-Left-Ms: {left_ms}\r\n{tenant}{key}{length}\r\n"
        );
        [head.into_bytes(), body].concat()
    }

    /// Returns the outcome that a response means, and its Retry-After. Keeps the connection if the response allows it.
    fn answered(
        &self,
        id: AttemptId,
        message: &Message,
        reader: Reader<TcpStream>,
    ) -> (Outcome, Option<Duration>) {
        let request_id = id.request_id();
        let is_drawn = is_body_of(Direction::Response, &request_id, &message.body);
        let is_own = message.body == request_id.as_bytes() || is_drawn;
        if message.status() == Some(200) && is_drawn {
            self.account.record_drawn_body(id);
        }
        let outcome = match message.status() {
            Some(200) if is_own => Outcome::Served,
            Some(200) => Outcome::WrongBody,
            Some(429 | 503) => Outcome::Rejected,
            _ => Outcome::Failed,
        };
        if message.keeps_connection() && !reader.has_partial_message() {
            self.idle().push(IdleConnection { reader, since: Instant::now() });
        }
        let retry_after_s = message.header("retry-after").and_then(|v| v.parse::<f64>().ok());
        let retry_after_s = retry_after_s.filter(|s| (0.0..MAX_RETRY_AFTER_S).contains(s));
        (outcome, retry_after_s.map(Duration::from_secs_f64))
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection that is still open.
    fn reuse_connection(&self) -> Option<Reader<TcpStream>> {
        let mut idle = self.idle();
        // Connections that the peer has closed are not reused.
        idle.retain(|connection| {
            let fresh = connection.since.elapsed() < self.load.idle_timeout;
            fresh && is_idle(connection.reader.get_ref())
        });
        idle.pop().map(|connection| connection.reader)
    }

    /// Sends a request on the idle connection `kept`, or else on a new one, and waits for the response until `limit`.
    async fn exchange(
        &self,
        kept: Option<Reader<TcpStream>>,
        request: &[u8],
        limit: Instant,
    ) -> Exchange {
        let reused = kept.is_some();
        let exchange = async {
            let mut reader = match kept {
                Some(reader) => reader,
                None => match TcpStream::connect(self.target).await {
                    Ok(socket) => {
                        let _ = socket.set_nodelay(true);
                        Reader::new(socket)
                    }
                    Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                        return Exchange::Refused;
                    }
                    Err(_) => return Exchange::Closed { reused: false, after: None },
                },
            };
            if reader.get_mut().write_all(request).await.is_err() {
                return Exchange::Closed { reused, after: None };
            }
            // On loopback, written data is in the peer's socket at once. If the end of the connection is visible
            // now, the peer closed it before the request arrived.
            if has_ended(reader.get_ref()) {
                return Exchange::Closed { reused, after: None };
            }
            let written = Instant::now();
            match reader.next().await {
                Ok(Some(message)) => Exchange::Answered(message, reader),
                // A partial response shows that the request was accepted.
                Err(_) if reader.has_partial_message() => Exchange::Truncated,
                Ok(None) | Err(_) => Exchange::Closed { reused, after: Some(written.elapsed()) },
            }
        };
        timeout_at(limit.into(), exchange).await.unwrap_or(Exchange::TimedOut)
    }
}
