//! Clients: an open loop of requests at drawn times, each with its deadline and its tries, on
//! connections that are kept.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout_at};

use crate::account::{Account, Outcome, Repeat, Try};
use crate::wire::{Message, Reader};

/// What is asked for.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests a second at each sidecar.
    pub rate: f64,
    /// Tries beyond the first.
    pub retries: u16,
    /// How long past its deadline an answer still counts: what the machine itself may take.
    pub slack: Duration,
    /// Connections at rest are closed by the client after so long.
    pub idle: Duration,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Their shares of what is asked; none: equal ones.
    pub shares: Vec<f64>,
    /// For what is drawn.
    pub seed: u64,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 5.0,
            retries: 2,
            slack: Duration::from_millis(500),
            idle: Duration::from_millis(2000),
            tenants: Vec::new(),
            shares: Vec::new(),
            seed: 1,
        }
    }
}

/// The clients of one sidecar.
struct Client {
    target: SocketAddr,
    account: Arc<Account>,
    load: Load,
    idle: Mutex<Vec<(Reader<TcpStream>, Instant)>>,
}

/// How one try went.
enum Went {
    Answered(Message, Reader<TcpStream>),
    Refused,
    /// The connection ended before any of an answer came; whether it had been used before.
    Ended {
        used: bool,
    },
    /// It ended in the middle of an answer.
    Broken,
    Late,
}

/// Sends load to the sidecar at `target` until `stop` is true, then waits for what is open.
pub async fn drive(
    target: SocketAddr,
    account: Arc<Account>,
    load: Load,
    mut stop: watch::Receiver<bool>,
) {
    let mut rng = SmallRng::seed_from_u64(load.seed ^ u64::from(target.port()) << 20);
    let client = Arc::new(Client { target, account, load, idle: Mutex::default() });
    let mut open = JoinSet::new();
    let mut next = tokio::time::Instant::now();
    loop {
        // Times between arrivals are exponential: a Poisson process.
        next += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / client.load.rate);
        tokio::select! {
            biased;
            _ = stop.wait_for(|s| *s) => break,
            () = sleep_until(next) => {}
        }
        let class = draw(&client.account, &mut rng);
        let tenant = tenant(&client.load, &mut rng);
        open.spawn(client.clone().ask(class, tenant, rng.random()));
        while open.try_join_next().is_some() {}
    }
    while open.join_next().await.is_some() {}
}

/// Whether nothing has come on a connection, not even its end.
fn at_rest(socket: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(socket.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

fn draw(account: &Account, rng: &mut SmallRng) -> usize {
    by_share(account.classes().iter().map(|c| c.share), rng)
}

fn tenant(load: &Load, rng: &mut SmallRng) -> Option<usize> {
    let last = load.tenants.len().checked_sub(1)?;
    if load.shares.is_empty() {
        return Some(rng.random_range(0..=last));
    }
    Some(by_share(load.shares.iter().copied(), rng).min(last))
}

/// One of several, each by its share of all.
fn by_share(shares: impl Iterator<Item = f64> + Clone, rng: &mut SmallRng) -> usize {
    let mut at = rng.random_range(0.0..shares.clone().sum::<f64>().max(f64::MIN_POSITIVE));
    for (n, share) in shares.enumerate() {
        if at < share {
            return n;
        }
        at -= share;
    }
    0
}

impl Client {
    async fn ask(self: Arc<Client>, class: usize, tenant: Option<usize>, key: u64) {
        let of = self.account.classes()[class].clone();
        let ask = self.account.ask_of(class, tenant);
        let began = Instant::now();
        let end = began + of.deadline;
        for n in 0..=self.load.retries {
            let this = self.account.next_try(ask);
            let (outcome, retry_after) =
                self.attempt(this, &of.repeat, of.name, tenant, key, end).await;
            self.account.answered(this, outcome, self.target);
            if outcome == Outcome::Served {
                self.account.served(ask, began.elapsed());
                return;
            }
            let again = match outcome {
                Outcome::Refused => true,
                Outcome::Failed => of.repeat == Repeat::Safe,
                _ => false,
            };
            let pause = retry_after.unwrap_or(Duration::from_millis(50 << n));
            if !again || n == self.load.retries || Instant::now() + pause >= end {
                return;
            }
            sleep(pause).await;
        }
    }

    /// One try, sent once more only if it crossed the close of its connection unread.
    async fn attempt(
        &self,
        this: Try,
        repeat: &Repeat,
        class: &str,
        tenant: Option<usize>,
        key: u64,
        end: Instant,
    ) -> (Outcome, Option<Duration>) {
        let text = |left: u128| {
            let (method, rest) = match repeat {
                Repeat::Safe => ("GET", String::new()),
                Repeat::Keyed => ("POST", format!("Idempotency-Key: {key:032x}\r\n")),
                Repeat::Unsafe => ("POST", String::new()),
            };
            let tenant = tenant
                .map_or_else(String::new, |n| format!("X-Account: {}\r\n", self.load.tenants[n]));
            let body = if *repeat == Repeat::Safe { "" } else { "four" };
            let length = if body.is_empty() {
                String::new()
            } else {
                format!("Content-Length: {}\r\n", body.len())
            };
            let id = this.id();
            format!(
                "{method} /{class}/1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n\
                 X-Time-Left-Ms: {left}\r\n{tenant}{rest}{length}\r\n{body}"
            )
        };
        for _ in 0..4 {
            let left = end.saturating_duration_since(Instant::now()).as_millis();
            match self.exchange(text(left).as_bytes(), end + self.load.slack).await {
                Went::Answered(message, reader) => return self.judge(this, &message, reader),
                Went::Late => return (Outcome::Late, None),
                Went::Broken => return (Outcome::Lost, None),
                Went::Refused => {
                    self.account.refused_connection(self.target);
                    return (Outcome::Refused, None);
                }
                Went::Ended { used } => {
                    // A process that was killed may have passed it on just before.
                    let held = self.account.was_seen(this) || self.account.was_killed(self.target);
                    if held {
                        return (Outcome::Lost, None);
                    }
                    // The first on a connection, and nothing was sent on for it: it has failed.
                    if !used {
                        self.account.unread(self.target);
                        return (Outcome::Failed, None);
                    }
                    self.account.crossed();
                }
            }
        }
        (Outcome::Lost, None)
    }

    fn judge(
        &self,
        this: Try,
        message: &Message,
        reader: Reader<TcpStream>,
    ) -> (Outcome, Option<Duration>) {
        let outcome = match message.status() {
            Some(200) if message.body == this.id().as_bytes() => Outcome::Served,
            Some(200) => Outcome::Wrong,
            Some(429 | 503) => Outcome::Refused,
            _ => Outcome::Failed,
        };
        if message.keeps() && !reader.begun() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.push((reader, Instant::now()));
        }
        let after = message.header("retry-after").and_then(|v| v.parse::<f64>().ok());
        (outcome, after.filter(|s| (0.0..60.0).contains(s)).map(Duration::from_secs_f64))
    }

    async fn exchange(&self, text: &[u8], end: Instant) -> Went {
        let kept = {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            // One that its peer has closed shows it: a client that looks does not write on it.
            idle.retain(|(r, since)| since.elapsed() < self.load.idle && at_rest(r.get_ref()));
            idle.pop()
        };
        let used = kept.is_some();
        let exchanged = async {
            let mut reader = match kept {
                Some((reader, _)) => reader,
                None => match TcpStream::connect(self.target).await {
                    Ok(socket) => {
                        let _ = socket.set_nodelay(true);
                        Reader::new(socket)
                    }
                    Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => return Went::Refused,
                    Err(_) => return Went::Ended { used: false },
                },
            };
            if reader.get_mut().write_all(text).await.is_err() {
                return Went::Ended { used };
            }
            match reader.next().await {
                Ok(Some(message)) => Went::Answered(message, reader),
                // Part of an answer tells that the request was taken.
                Err(_) if reader.begun() => Went::Broken,
                Ok(None) | Err(_) => Went::Ended { used },
            }
        };
        timeout_at(end.into(), exchanged).await.unwrap_or(Went::Late)
    }
}
