//! Simulated log servers, with limited concurrency, a bounded queue, slow start, load reports, idempotency keys and
//! faults.

mod faults;
mod rejections;
mod second_answers;
mod slow_response;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fakes::account::Class;
use fakes::contents::{Direction, body_of, is_body_of};
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
use self::second_answers::PendingSecondAnswer;
use self::slow_response::{AfterResponse, SlowResponse};
use crate::model::{CHUNK_SIZE, LONG_BODY, RequestId, now, slow_start_speed};
use crate::oracle::Oracle;

pub use self::faults::ServerFaults;

/// The number of requests that may wait; further ones are rejected unprocessed.
const QUEUE_LIMIT: usize = 40;
/// The number of connections that may wait to be accepted.
const BACKLOG: usize = 128;
/// The time for which a server that does not answer keeps the connection open.
const HANG_TIME: Duration = Duration::from_secs(8);
/// The number of bytes that a response with the wrong length lacks.
const MISSING_BYTES: usize = 3;
/// The bytes of a malformed response.
const MALFORMED_RESPONSE: &[u8] = b"\x01\x02noise\r\n\r\n";

/// The properties of a server, and what it is connected to.
pub struct ServerSpec {
    /// Its index among all servers.
    pub index: usize,
    /// The index of its zone.
    pub zone: usize,
    /// The host that it runs on.
    pub host: HostId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The number of requests that it executes at once.
    pub concurrency: usize,
    /// The classes of requests that it accepts.
    pub classes: Rc<[Class]>,
    /// The idempotency keys that the servers of its zone remember.
    pub keys: Rc<RecentKeys>,
    /// The source of its random numbers.
    pub rng: RefCell<SmallRng>,
    /// The oracle, which is notified of executions.
    pub oracle: Rc<RefCell<Oracle>>,
}

/// A log server. Its host and address stay the same over all its incarnations.
pub struct Server {
    spec: ServerSpec,
    /// The number of the current incarnation, from 0. It is part of the name.
    incarnation: Cell<u32>,
    /// The incarnation that was last started.
    started_incarnation: Cell<u32>,
    draining: Cell<bool>,
    down: Cell<bool>,
    faults: Cell<ServerFaults>,
    /// When it was last started; `None` if it has run since before the start of the world.
    started_at: Cell<Option<Duration>>,
    executors: RefCell<Rc<Semaphore>>,
    queued: Cell<usize>,
    executing: Cell<usize>,
}

/// Increments a counter until it is dropped.
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
    /// Creates a server that does not run yet.
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

    /// Returns its index among all servers.
    pub fn index(&self) -> usize {
        self.spec.index
    }

    /// Returns the index of its zone.
    pub fn zone(&self) -> usize {
        self.spec.zone
    }

    /// Returns the host that it runs on.
    pub fn host(&self) -> HostId {
        self.spec.host
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.spec.address
    }

    /// Returns the name of its current incarnation.
    pub fn name(&self) -> String {
        format!("s-{}-{}", self.spec.index, self.incarnation.get())
    }

    /// Returns the index of the server with this name.
    pub fn index_of(name: &str) -> Option<usize> {
        name.strip_prefix("s-")?.split('-').next()?.parse().ok()
    }

    /// Returns when it was last started; `None` if it has run since before the start of the world.
    pub fn started_at(&self) -> Option<Duration> {
        self.started_at.get()
    }

    /// Whether it was killed and has not been started again.
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    /// Records that it was killed. Returns whether it was up before.
    pub fn mark_down(&self) -> bool {
        !self.down.replace(true)
    }

    /// Begins a new incarnation, which has another name.
    pub fn replace_incarnation(&self) {
        self.incarnation.set(self.incarnation.get() + 1);
    }

    /// Records that it is started. Returns whether this is another incarnation than the one started before.
    pub fn mark_started(&self, now: Duration) -> bool {
        self.started_at.set(Some(now));
        let incarnation = self.incarnation.get();
        self.started_incarnation.replace(incarnation) != incarnation
    }

    /// Sets whether it rejects new requests.
    pub fn set_draining(&self, draining: bool) {
        self.draining.set(draining);
    }

    /// Sets the faults that requests meet from now on.
    pub fn set_faults(&self, faults: ServerFaults) {
        self.faults.set(faults);
    }

    /// Serves until its host is killed. To be spawned on that host; `start` is the start of the world.
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
        let second_answer = PendingSecondAnswer::default();
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
                match self.send_broken_rejection(&message, &socket, &within_response, start).await {
                    AfterRejection::NextRequest => continue,
                    AfterRejection::Close => return,
                    AfterRejection::Reset => return socket.reset_on_close(),
                    AfterRejection::Hang => return SimRuntime::sleep(HANG_TIME).await,
                }
            }
            if fault == ResponseFault::Slow {
                let Some(response) = self.slow_response(&message, start).await else { return };
                match response.write(&mut reader).await {
                    AfterResponse::Open => continue,
                    AfterResponse::Close => return,
                }
            }
            let Some(response) = self.respond(&message, fault, start).await else {
                if fault == ResponseFault::Hang {
                    return SimRuntime::sleep(HANG_TIME).await;
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
                    second_answer.schedule(&response, &socket, &within_response, &self.spec.rng);
                }
                ResponseFault::ResetWithin => return socket.reset_on_close(),
                ResponseFault::CloseAfter => return,
                ResponseFault::Truncated | ResponseFault::WrongLength => {
                    return SimRuntime::sleep(HANG_TIME).await;
                }
                _ => {}
            }
        }
    }

    /// Sends a rejection that does not prove that the request was not executed.
    async fn send_broken_rejection(
        &self,
        message: &Message,
        socket: &Rc<SimTcp>,
        within_response: &Rc<Cell<bool>>,
        start: Instant,
    ) -> AfterRejection {
        let rejection = BrokenRejection::draw(&mut self.spec.rng.borrow_mut());
        let Ok((id, class)) = self.identify(message) else { return AfterRejection::Close };
        if rejection.is_executed() && self.execute(message, id, class, start).await.is_none() {
            return AfterRejection::Close;
        }
        rejection.send(socket, within_response, &self.spec.rng).await
    }

    /// Executes a request. Returns a response that is given piece by piece, or `None` if the request was not executed.
    async fn slow_response(&self, message: &Message, start: Instant) -> Option<SlowResponse> {
        let (id, class) = self.identify(message).ok()?;
        self.execute(message, id, class, start).await?;
        let load = self.load_report();
        let response = SlowResponse::draw(&id.to_string(), &load, &mut self.spec.rng.borrow_mut());
        self.spec.oracle.borrow_mut().response_planned(now(start), id, &response.plan);
        Some(response)
    }

    /// Returns the id and the class of a request, or the response to a request without them.
    fn identify(&self, message: &Message) -> Result<(RequestId, &Class), Vec<u8>> {
        let id = message.header("x-correlation-id").and_then(|value| value.parse().ok());
        let id = id.ok_or_else(|| empty_response("404 Not Found", ""))?;
        let name = message.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.spec.classes.iter().find(|class| class.name == name);
        Ok((id, class.ok_or_else(|| empty_response("400 Bad Request", ""))?))
    }

    /// Returns the response to a request; `None` if none is written.
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

    /// Executes a request, unless one with the same idempotency key was executed before. Returns `None` if it could
    /// not be executed.
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
        if !is_body_of(Direction::Request, &id.to_string(), &message.body) {
            self.spec.oracle.borrow_mut().request_changed(now(start), id);
        }
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
            // Noise, or a copy of the response, which could be taken for the response to the next request.
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

    /// Returns a response that is too long to be buffered, with a `Content-Length` or in chunks.
    fn long_response(&self, id: &str) -> Vec<u8> {
        let (repetitions, chunked) = {
            let mut rng = self.spec.rng.borrow_mut();
            (rng.random_range(LONG_BODY / 16..LONG_BODY / 8), rng.random::<bool>())
        };
        let body = body_of(Direction::Response, id, id.len() * repetitions);
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

    /// Returns the value of `X-Backend-Load`.
    fn load_report(&self) -> String {
        let (queued, executing) = (self.queued.get(), self.executing.get());
        let utilization = executing as f64 / self.spec.concurrency as f64;
        format!("inflight={},queue={queued},util={utilization:.2}", queued + executing)
    }

    /// Returns its current speed as a fraction of its full speed.
    fn speed(&self, now: Duration) -> f64 {
        self.started_at.get().map_or(1.0, |at| slow_start_speed(now.saturating_sub(at)))
    }
}

/// Returns a response without a body. `headers` are further lines of the head.
fn empty_response(status: &str, headers: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n").into_bytes()
}
