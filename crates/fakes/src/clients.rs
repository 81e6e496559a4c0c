//! Clients: requests at random times that do not wait for each other, each with a deadline and retries, on reused
//! connections.

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
use crate::wire::{Message, Reader};

/// How often an attempt is sent, if its first connection is closed before it is read.
const MAX_SENDS: usize = 2;
/// How long after its last byte was written the connection of a request may end because the two passed each
/// other: the way of a packet on this machine, and what a busy one may add. One that ends later has lost it.
const CROSSING_TIME: Duration = Duration::from_millis(20);
/// The pause before the first retry without Retry-After, in milliseconds; it doubles with each retry.
const FIRST_BACKOFF_MS: u64 = 50;
/// A longer Retry-After is ignored, in seconds.
const MAX_RETRY_AFTER_S: f64 = 60.0;
/// A client that leaves waits for the share of its deadline that is a random number to this power: half of them leave
/// within an eighth, while most requests are under way.
const PATIENCE_EXPONENT: i32 = 3;
/// The body of requests that have one.
const BODY: &str = "four";

/// The load on one sidecar.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests per second.
    pub rate: f64,
    /// Retries after the first attempt.
    pub retries: u16,
    /// How long after its deadline an answer still counts: the time that the machine itself may take.
    pub slack: Duration,
    /// The share of the operations whose client leaves at a random moment, with its connection.
    pub leave_share: f64,
    /// Connections that are held open without a request, each for a random time up to 1.5 s.
    pub silent_connections: usize,
    /// Connections whose client rests after each answer, for about as long as a sidecar keeps an idle one.
    pub resting_connections: usize,
    /// How long an idle connection is kept open.
    pub idle_timeout: Duration,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The tenants' shares of the requests; without any, they are equal.
    pub shares: Vec<f64>,
    /// The seed of everything that is drawn.
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
    /// The number of a random tenant, if there are any.
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

/// An operation under way.
struct Operation {
    class: Class,
    tenant: Option<usize>,
    idempotency_key: u64,
    deadline: Instant,
    /// When its client leaves, if it does not wait.
    leaves_at: Option<Instant>,
}

/// How one exchange of a request and an answer ended.
enum Exchange {
    Answered(Message, Reader<TcpStream>),
    /// The connection was refused.
    Refused,
    /// The connection ended before any part of an answer.
    Closed {
        /// Whether the connection had served a request before.
        reused: bool,
        /// How long after the last byte of the request was written; none if not all of it was.
        after: Option<Duration>,
    },
    /// The connection ended within an answer.
    Truncated,
    TimedOut,
}

/// Sends load to the sidecar at `target` until `stop` is true, and then waits for the open requests.
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
        // The times between arrivals are exponential: a Poisson process.
        next += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / client.load.rate);
        tokio::select! {
            biased;
            _ = stop.wait_for(|stopped| *stopped) => break,
            () = sleep_until(next) => {}
        }
        let (class, tenant) = (client.draw_class(&mut rng), client.load.draw_tenant(&mut rng));
        let leaves = rng.random_bool(client.load.leave_share.clamp(0.0, 1.0));
        let patience = leaves.then(|| rng.random::<f64>().powi(PATIENCE_EXPONENT));
        open.spawn(client.clone().run_operation(class, tenant, rng.random(), patience));
        while open.try_join_next().is_some() {}
    }
    while open.join_next().await.is_some() {}
    while resting.join_next().await.is_some() {}
}

/// What waits to be read on a connection, asked of the system itself: the event queue may not have told yet.
fn peek(socket: &TcpStream) -> io::Result<usize> {
    SockRef::from(socket).peek(&mut [MaybeUninit::uninit()])
}

/// Whether a connection is open and has nothing to read.
fn is_idle(socket: &TcpStream) -> bool {
    matches!(peek(socket), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Whether it can be seen that a connection has ended.
fn has_ended(socket: &TcpStream) -> bool {
    match peek(socket) {
        Ok(bytes) => bytes == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// The number of a random one of several, each with the probability of its share.
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

    async fn run_operation(
        self: Arc<Client>,
        class: usize,
        tenant: Option<usize>,
        idempotency_key: u64,
        patience: Option<f64>,
    ) {
        let number = self.account.begin_for_tenant(class, tenant);
        let class = self.account.classes()[class].clone();
        let started = Instant::now();
        let deadline = started + class.deadline;
        let leaves_at = patience.map(|share| started + class.deadline.mul_f64(share));
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

    /// One attempt, and the Retry-After of its answer. It is sent again only if its connection was closed before the
    /// request was read.
    async fn attempt(&self, id: AttemptId, operation: &Operation) -> (Outcome, Option<Duration>) {
        for sends in 0..MAX_SENDS {
            let request = self.request(id, operation);
            let limit = operation.deadline + self.load.slack;
            let limit = operation.leaves_at.map_or(limit, |leaves_at| leaves_at.min(limit));
            // What crossed the end of its connection is sent once more on a new one.
            let kept = if sends == 0 { self.reuse_connection() } else { None };
            match self.exchange(kept, request.as_bytes(), limit).await {
                Exchange::Answered(message, reader) => return self.answered(id, &message, reader),
                Exchange::TimedOut if operation.leaves_at.is_some() => {
                    return (Outcome::Left, None);
                }
                Exchange::TimedOut => return (Outcome::TimedOut, None),
                Exchange::Truncated => return (Outcome::Lost, None),
                Exchange::Refused => {
                    self.account.record_refused_connection();
                    return (Outcome::Rejected, None);
                }
                Exchange::Closed { reused, after } => {
                    // Otherwise it ended before all was written, or the two passed each other on their way.
                    let crossed = after.is_none_or(|after| after < CROSSING_TIME);
                    // A process that was killed may have forwarded it just before.
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

    fn request(&self, id: AttemptId, operation: &Operation) -> String {
        let (method, key) = match operation.class.idempotency {
            Idempotency::Idempotent => ("GET", String::new()),
            Idempotency::Keyed => {
                ("POST", format!("Idempotency-Key: {:032x}\r\n", operation.idempotency_key))
            }
            Idempotency::NonIdempotent => ("POST", String::new()),
        };
        let tenant = operation.tenant.map(|n| format!("X-Account: {}\r\n", self.load.tenants[n]));
        let tenant = tenant.unwrap_or_default();
        let (length, body) = if method == "GET" {
            (String::new(), "")
        } else {
            (format!("Content-Length: {}\r\n", BODY.len()), BODY)
        };
        let left_ms = operation.deadline.saturating_duration_since(Instant::now()).as_millis();
        let (class, id) = (operation.class.name, id.request_id());
        format!(
            "{method} /{class}/1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n\
             X-Time-Left-Ms: {left_ms}\r\n{tenant}{key}{length}\r\n{body}"
        )
    }

    /// The outcome of an answer, and its Retry-After. Keeps the connection if the answer allows that.
    fn answered(
        &self,
        id: AttemptId,
        message: &Message,
        reader: Reader<TcpStream>,
    ) -> (Outcome, Option<Duration>) {
        let outcome = match message.status() {
            Some(200) if message.body == id.request_id().as_bytes() => Outcome::Served,
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

    /// A kept connection that is still open.
    fn reuse_connection(&self) -> Option<Reader<TcpStream>> {
        let mut idle = self.idle();
        // A connection that its peer has closed is not written to.
        idle.retain(|connection| {
            let fresh = connection.since.elapsed() < self.load.idle_timeout;
            fresh && is_idle(connection.reader.get_ref())
        });
        idle.pop().map(|connection| connection.reader)
    }

    /// Sends a request on a kept connection or, without one, on a new one.
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
            // On this machine what was written before the end is in the peer's socket before it. An end that
            // can be seen now came first.
            if has_ended(reader.get_ref()) {
                return Exchange::Closed { reused, after: None };
            }
            let written = Instant::now();
            match reader.next().await {
                Ok(Some(message)) => Exchange::Answered(message, reader),
                // A partial answer shows that the request was accepted.
                Err(_) if reader.has_partial_message() => Exchange::Truncated,
                Ok(None) | Err(_) => Exchange::Closed { reused, after: Some(written.elapsed()) },
            }
        };
        timeout_at(limit.into(), exchange).await.unwrap_or(Exchange::TimedOut)
    }
}
