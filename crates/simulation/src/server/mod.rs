//! Log servers: concurrency, a bounded queue, slow start, load reports, idempotency keys, and everything
//! that may go wrong with a request there.

mod faults;
mod rejections;
mod second_answers;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fakes::account::Class;
use fakes::logserver::RecentKeys;
use fakes::wire::{Message, Reader};
use fakes::world::{DEDUPLICATION_WINDOW, IDLE_TIMEOUT};
use rand::Rng;
use rand::rngs::SmallRng;
use runtime::{Listener, Runtime, Stream, Tcp, timeout};
use simnet::{HostId, SimListener, SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;

use self::faults::ResponseFault;
use self::rejections::{AfterRejection, BrokenRejection};
use self::second_answers::WaitingAnswer;
use crate::model::{CHUNK_SIZE, LONG_BODY, RequestId, now, slow_start_speed};
use crate::oracle::Oracle;

pub use self::faults::ServerFaults;

/// How many requests may wait; more are rejected unprocessed.
const QUEUE_LIMIT: usize = 40;
/// How many connections may wait to be accepted.
const BACKLOG: usize = 128;
/// How long a server that hangs keeps its connection open.
const HANG: Duration = Duration::from_secs(8);
/// How many bytes a response with the wrong length lacks.
const MISSING_BYTES: usize = 3;
/// What a malformed response consists of.
const MALFORMED_RESPONSE: &[u8] = b"\x01\x02noise\r\n\r\n";

/// What a server is made of.
pub struct ServerSpec {
    /// Its index among all servers.
    pub index: usize,
    /// The index of its zone.
    pub zone: usize,
    /// The host that it runs on.
    pub host: HostId,
    /// Where it listens.
    pub address: SocketAddr,
    /// How many requests it executes at once.
    pub concurrency: usize,
    /// The classes of requests that it knows.
    pub classes: Rc<[Class]>,
    /// The idempotency keys that the servers of its zone have seen.
    pub keys: Rc<RecentKeys>,
    /// For everything that is drawn.
    pub rng: RefCell<SmallRng>,
    /// Is notified of what is executed.
    pub oracle: Rc<RefCell<Oracle>>,
}

/// A log server: its place, and whoever runs there now and later.
pub struct Server {
    spec: ServerSpec,
    /// Counts those that have run here, from 0: part of the name.
    incarnation: Cell<u32>,
    /// The incarnation that was last started.
    started_incarnation: Cell<u32>,
    draining: Cell<bool>,
    down: Cell<bool>,
    faults: Cell<ServerFaults>,
    /// When it was last started; none if it runs since before the world's start.
    started_at: Cell<Option<Duration>>,
    executors: RefCell<Rc<Semaphore>>,
    queued: Cell<usize>,
    executing: Cell<usize>,
}

/// Counts something while it goes on.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>) -> CountGuard<'a> {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Server {
    /// A server that does not run yet.
    pub fn new(spec: ServerSpec) -> Rc<Server> {
        let executors = RefCell::new(Rc::new(Semaphore::new(spec.concurrency)));
        Rc::new(Server {
            spec,
            incarnation: Cell::new(0),
            started_incarnation: Cell::new(0),
            draining: Cell::new(false),
            down: Cell::new(false),
            faults: Cell::default(),
            started_at: Cell::new(None),
            executors,
            queued: Cell::new(0),
            executing: Cell::new(0),
        })
    }

    /// Its index among all servers.
    pub fn index(&self) -> usize {
        self.spec.index
    }

    /// The index of its zone.
    pub fn zone(&self) -> usize {
        self.spec.zone
    }

    /// The host that it runs on.
    pub fn host(&self) -> HostId {
        self.spec.host
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.spec.address
    }

    /// The name of its present incarnation.
    pub fn name(&self) -> String {
        format!("s-{}-{}", self.spec.index, self.incarnation.get())
    }

    /// The index of the server with this name.
    pub fn index_of(name: &str) -> Option<usize> {
        name.strip_prefix("s-")?.split('-').next()?.parse().ok()
    }

    /// When it was last started; none if it runs since before the world's start.
    pub fn started_at(&self) -> Option<Duration> {
        self.started_at.get()
    }

    /// Whether it was killed and not started again.
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    /// Notes that it was killed. Returns whether it was up until now.
    pub fn mark_down(&self) -> bool {
        !self.down.replace(true)
    }

    /// The next incarnation has another name.
    pub fn replace_incarnation(&self) {
        self.incarnation.set(self.incarnation.get() + 1);
    }

    /// Notes that it is started. Returns whether it is another incarnation than before.
    pub fn mark_started(&self, now: Duration) -> bool {
        self.started_at.set(Some(now));
        let incarnation = self.incarnation.get();
        self.started_incarnation.replace(incarnation) != incarnation
    }

    /// Rejects new requests from now on, or no longer.
    pub fn set_draining(&self, draining: bool) {
        self.draining.set(draining);
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: ServerFaults) {
        self.faults.set(faults);
    }

    /// Serves until its host is killed: to be spawned there. `start` is the start of the world.
    pub async fn run(self: Rc<Server>, start: Instant) {
        *self.executors.borrow_mut() = Rc::new(Semaphore::new(self.spec.concurrency));
        self.queued.set(0);
        self.executing.set(0);
        self.down.set(false);
        self.draining.set(false);
        let Ok(listener) = SimListener::bind(self.spec.address, BACKLOG) else { return };
        loop {
            if let Ok((socket, _)) = listener.accept().await {
                SimRuntime::spawn(self.clone().serve_connection(Rc::new(socket), start));
            }
        }
    }

    async fn serve_connection(self: Rc<Server>, socket: Rc<SimTcp>, start: Instant) {
        let mut reader = Reader::new(Stream::new(socket.clone(), Rc::new(())));
        let within_response = Rc::new(Cell::new(false));
        let second_answer = WaitingAnswer::default();
        loop {
            let next = timeout::<SimRuntime, _>(IDLE_TIMEOUT, reader.next()).await;
            let Ok(Ok(Some(message))) = next else { return };
            if let Some(answer) = second_answer.take()
                && reader.get_mut().write_all(&answer).await.is_err()
            {
                return;
            }
            let fault = self.faults.get().draw(&mut self.spec.rng.borrow_mut());
            if fault == ResponseFault::BrokenRejection {
                match self.break_rejection(&message, &socket, &within_response, start).await {
                    AfterRejection::NextRequest => continue,
                    AfterRejection::Close => return,
                    AfterRejection::Reset => return socket.reset_on_close(),
                    AfterRejection::Hang => return SimRuntime::sleep(HANG).await,
                }
            }
            let Some(response) = self.respond(&message, fault, start).await else {
                if fault == ResponseFault::Hang {
                    return SimRuntime::sleep(HANG).await;
                }
                return socket.reset_on_close();
            };
            let length = match fault {
                ResponseFault::ResetWithin | ResponseFault::Truncated => response.len() / 2,
                ResponseFault::WrongLength => response.len() - MISSING_BYTES,
                _ => response.len(),
            };
            within_response.set(length < response.len());
            if reader.get_mut().write_all(&response[..length]).await.is_err() {
                return;
            }
            match fault {
                ResponseFault::SecondAnswer | ResponseFault::SecondRejection => {
                    second_answer.plan(&response, &socket, &within_response, &self.spec.rng);
                }
                ResponseFault::ResetWithin => return socket.reset_on_close(),
                ResponseFault::CloseAfter => return,
                ResponseFault::Truncated | ResponseFault::WrongLength => {
                    return SimRuntime::sleep(HANG).await;
                }
                _ => {}
            }
        }
    }

    /// Rejects a request in a way that proves nothing.
    async fn break_rejection(
        &self,
        message: &Message,
        socket: &Rc<SimTcp>,
        within_response: &Rc<Cell<bool>>,
        start: Instant,
    ) -> AfterRejection {
        let form = BrokenRejection::draw(&mut self.spec.rng.borrow_mut());
        let Ok((id, class)) = self.identify(message) else { return AfterRejection::Close };
        if form.is_executed() && self.execute(message, id, class, start).await.is_none() {
            return AfterRejection::Close;
        }
        form.send(socket, within_response, &self.spec.rng).await
    }

    /// The id and the class of a request, or the response to one without.
    fn identify(&self, message: &Message) -> Result<(RequestId, &Class), Vec<u8>> {
        let id = message.header("x-correlation-id").and_then(|value| value.parse().ok());
        let id = id.ok_or_else(|| empty_response("404 Not Found", ""))?;
        let name = message.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.spec.classes.iter().find(|class| class.name == name);
        Ok((id, class.ok_or_else(|| empty_response("400 Bad Request", ""))?))
    }

    /// The response to a request; none if nothing is written.
    async fn respond(
        &self,
        message: &Message,
        fault: ResponseFault,
        start: Instant,
    ) -> Option<Vec<u8>> {
        let (id, class) = match self.identify(message) {
            Ok(identified) => identified,
            Err(response) => return Some(response),
        };
        let overloaded = self.queued.get() >= QUEUE_LIMIT;
        let rejects = matches!(fault, ResponseFault::Reject | ResponseFault::SecondRejection);
        if rejects || self.draining.get() || overloaded {
            let headers = format!("X-Unprocessed: 1\r\nX-Backend-Load: {}\r\n", self.load_report());
            return Some(empty_response("503 Service Unavailable", &headers));
        }
        if fault == ResponseFault::ResetBefore {
            return None;
        }
        self.execute(message, id, class, start).await?;
        self.response_after_execution(id, fault).await
    }

    /// Executes a request, unless it was executed already under its idempotency key.
    async fn execute(
        &self,
        message: &Message,
        id: RequestId,
        class: &Class,
        start: Instant,
    ) -> Option<()> {
        let executors = self.executors.borrow().clone();
        let _executor = {
            let _queued = CountGuard::new(&self.queued);
            executors.acquire().await.ok()?
        };
        let key = message.header("idempotency-key");
        let is_new = |key: String| {
            self.spec.keys.insert_if_new(&key, DEDUPLICATION_WINDOW, SimRuntime::now())
        };
        if key.is_none_or(is_new) {
            self.spec.oracle.borrow_mut().request_executed(now(start), id, self.spec.index);
            let _executing = CountGuard::new(&self.executing);
            let drawn = self.spec.rng.borrow_mut().random_range(0.5..1.5);
            let work = class.service_time.mul_f64(drawn * (1.0 + self.faults.get().slowdown));
            SimRuntime::sleep(work.div_f64(self.speed(now(start)))).await;
        }
        Some(())
    }

    async fn response_after_execution(
        &self,
        id: RequestId,
        fault: ResponseFault,
    ) -> Option<Vec<u8>> {
        let body = id.to_string();
        let good = format!(
            "HTTP/1.1 200 OK\r\nX-Backend-Load: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.load_report(),
            body.len()
        );
        match fault {
            ResponseFault::Error => Some(empty_response("500 Internal Server Error", "")),
            ResponseFault::ResetAfter | ResponseFault::Hang => None,
            ResponseFault::DelayedReset => {
                SimRuntime::sleep(self.faults.get().reset_delay).await;
                None
            }
            ResponseFault::Long => Some(self.long_response(&body)),
            ResponseFault::Malformed => Some(MALFORMED_RESPONSE.to_vec()),
            // Noise, or the same response once more: it would pass for the next request's.
            ResponseFault::Surplus if id.0.is_multiple_of(3) => {
                Some((good + "\u{1}\u{2}noise").into_bytes())
            }
            ResponseFault::Surplus => Some((good.clone() + &good).into_bytes()),
            ResponseFault::Delayed => {
                SimRuntime::sleep(self.faults.get().delay).await;
                Some(good.into_bytes())
            }
            _ => Some(good.into_bytes()),
        }
    }

    /// A response that is too long to be buffered, with its length or in chunks.
    fn long_response(&self, body: &str) -> Vec<u8> {
        let (repetitions, chunked) = {
            let mut rng = self.spec.rng.borrow_mut();
            (rng.random_range(LONG_BODY / 16..LONG_BODY / 8), rng.random::<bool>())
        };
        let body = body.repeat(repetitions).into_bytes();
        let (header, body) = if chunked {
            let chunks = fakes::wire::encode_chunked(&body, CHUNK_SIZE);
            ("Transfer-Encoding: chunked".to_owned(), chunks)
        } else {
            (format!("Content-Length: {}", body.len()), body)
        };
        let load = self.load_report();
        let head = format!("HTTP/1.1 200 OK\r\nX-Backend-Load: {load}\r\n{header}\r\n\r\n");
        [head.into_bytes(), body].concat()
    }

    /// The value of `X-Backend-Load`.
    fn load_report(&self) -> String {
        let (queued, executing) = (self.queued.get(), self.executing.get());
        let utilization = executing as f64 / self.spec.concurrency as f64;
        format!("inflight={},queue={queued},util={utilization:.2}", queued + executing)
    }

    /// The fraction of its full speed that it has.
    fn speed(&self, now: Duration) -> f64 {
        self.started_at.get().map_or(1.0, |at| slow_start_speed(now.saturating_sub(at)))
    }
}

/// A response without a body; `headers`: further lines of the head.
fn empty_response(status: &str, headers: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n").into_bytes()
}
