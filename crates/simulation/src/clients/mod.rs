//! Clients of one sidecar. Most behave well; some leave early, write their requests slowly, use the ids of open
//! requests, or send malformed requests.

mod exchange;
mod misbehaviour;
mod resting;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fakes::account::{Class, Idempotency};
use fakes::contents::{self, Direction};
use fakes::wire::Reader;
use rand::Rng;
use rand::rngs::SmallRng;
use runtime::{Runtime, Stream, Tcp};
use simnet::{SimRuntime, SimTcp};

use crate::model::{CHUNK_SIZE, LONG_BODY, RequestId};
use crate::oracle::Oracle;

/// The time for which an idle connection may be used again.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1900);
/// The time after the last request at which idle connections are closed.
const CLOSE_IDLE_AFTER: Duration = Duration::from_secs(5);

/// The length of a short body in bytes.
const SHORT_BODY: usize = 4;

/// The behaviour of clients: probabilities, and the load.
#[derive(Clone, Copy, Debug)]
pub struct ClientBehaviour {
    /// The probability that a client leaves before its response.
    pub leave: f64,
    /// The probability that a client writes its request slowly, piece by piece.
    pub slow_request: f64,
    /// The probability that a client also sends a request with the id of an open one.
    pub duplicate_id: f64,
    /// The probability that a client also sends a malformed request.
    pub malformed: f64,
    /// The probability that a request with a body has one that is too long to be buffered.
    pub long_body: f64,
    /// The factor by which the rate of requests is multiplied.
    pub load_factor: f64,
}

impl Default for ClientBehaviour {
    fn default() -> ClientBehaviour {
        ClientBehaviour {
            leave: 0.0,
            slow_request: 0.0,
            duplicate_id: 0.0,
            malformed: 0.0,
            long_body: 0.0,
            load_factor: 1.0,
        }
    }
}

/// A connection to the sidecar.
struct Connection {
    reader: Reader<Stream<SimTcp, ()>>,
    socket: Rc<SimTcp>,
}

/// A connection that waits for its next request.
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// The clients of a sidecar.
pub struct Clients {
    sidecar: usize,
    target: SocketAddr,
    classes: Rc<[Class]>,
    tenants: Vec<String>,
    behaviour: Cell<ClientBehaviour>,
    /// Requests per second.
    rate: f64,
    /// The number of clients that rest between their requests.
    resting: usize,
    /// The time for which an idle connection may be used again.
    idle_timeout: Duration,
    rng: RefCell<SmallRng>,
    oracle: Rc<RefCell<Oracle>>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Requests that have no response yet.
    open: RefCell<Vec<RequestId>>,
    /// The start of the world.
    start: Instant,
}

/// The properties of the clients of a sidecar, and what they are connected to.
pub struct ClientsSpec {
    /// The index of the sidecar.
    pub sidecar: usize,
    /// The address that the sidecar listens on.
    pub target: SocketAddr,
    /// The classes of requests, with their shares of the load.
    pub classes: Rc<[Class]>,
    /// The tenants that requests are sent for.
    pub tenants: Vec<String>,
    /// Requests per second, beside those of resting clients.
    pub rate: f64,
    /// The number of clients that rest between their requests, for about the time after which a sidecar closes an
    /// idle connection.
    pub resting: usize,
    /// The source of their random numbers.
    pub rng: SmallRng,
    /// The oracle, which is notified of requests and responses.
    pub oracle: Rc<RefCell<Oracle>>,
    /// The start of the world.
    pub start: Instant,
}

impl Clients {
    /// Creates clients that send nothing yet.
    pub fn new(spec: ClientsSpec) -> Clients {
        Clients {
            sidecar: spec.sidecar,
            target: spec.target,
            classes: spec.classes,
            tenants: spec.tenants,
            behaviour: Cell::default(),
            rate: spec.rate,
            resting: spec.resting,
            idle_timeout: IDLE_TIMEOUT,
            rng: RefCell::new(spec.rng),
            oracle: spec.oracle,
            idle: RefCell::default(),
            open: RefCell::default(),
            start: spec.start,
        }
    }

    /// Sets how the clients behave from now on.
    pub fn set_behaviour(&self, behaviour: ClientBehaviour) {
        self.behaviour.set(behaviour);
    }

    fn draw<T>(&self, draw: impl FnOnce(&mut SmallRng) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// Sends requests until `end`. To be spawned on the clients' host.
    pub async fn run(self: Rc<Clients>, end: Instant) {
        for _ in 0..self.resting {
            SimRuntime::spawn(self.resting_client().rest_between_requests(end));
        }
        let mut next = SimRuntime::now();
        loop {
            let behaviour = self.behaviour.get();
            let gap: f64 = self.draw(|rng| -rng.random::<f64>().max(1e-9).ln());
            next += Duration::from_secs_f64(gap / (self.rate * behaviour.load_factor));
            if next >= end {
                break;
            }
            SimRuntime::sleep_until(next).await;
            let (malformed, duplicate) = self.draw(|rng| {
                let malformed = rng.random::<f64>() < behaviour.malformed;
                (malformed, rng.random::<f64>() < behaviour.duplicate_id)
            });
            if malformed {
                SimRuntime::spawn(self.clone().send_malformed_request());
            } else if duplicate && !self.open.borrow().is_empty() {
                SimRuntime::spawn(self.clone().send_duplicate_id());
            }
            SimRuntime::spawn(self.clone().send_request());
        }
        SimRuntime::sleep(CLOSE_IDLE_AFTER).await;
        self.idle.borrow_mut().clear();
    }

    /// Draws the class of a request.
    fn draw_class(&self) -> usize {
        let total: f64 = self.classes.iter().map(|class| class.share).sum();
        let mut remaining = self.draw(|rng| rng.random_range(0.0..total));
        for (index, class) in self.classes.iter().enumerate() {
            if remaining < class.share {
                return index;
            }
            remaining -= class.share;
        }
        0
    }

    /// Returns the bytes of a request.
    fn request_bytes(&self, class: &Class, id: RequestId, timeout: Duration) -> Vec<u8> {
        let (method, key) = match class.idempotency {
            Idempotency::Idempotent => ("GET", String::new()),
            Idempotency::Keyed => ("POST", format!("Idempotency-Key: {:032x}\r\n", id.0)),
            Idempotency::NonIdempotent => ("POST", String::new()),
        };
        let (length, body) = self.draw_body(class, id);
        let tenant = self.draw(|rng| rng.random_range(0..self.tenants.len()));
        let head = format!(
            "{method} /{}/1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n\
             X-Account: {}\r\nX-Time-Left-Ms: {}\r\n{key}{length}\r\n",
            class.name,
            self.tenants[tenant],
            timeout.as_millis()
        );
        [head.into_bytes(), body].concat()
    }

    /// Draws the body of a request. Returns the header line for its length, and its bytes.
    fn draw_body(&self, class: &Class, id: RequestId) -> (String, Vec<u8>) {
        let probability = self.behaviour.get().long_body;
        let long = probability > 0.0 && self.draw(|rng| rng.random::<f64>() < probability);
        if class.idempotency == Idempotency::Idempotent {
            return (String::new(), Vec::new());
        }
        let body_of = |length| contents::body_of(Direction::Request, &id.to_string(), length);
        if !long {
            return (format!("Content-Length: {SHORT_BODY}\r\n"), body_of(SHORT_BODY));
        }
        let (length, chunked) =
            self.draw(|rng| (rng.random_range(LONG_BODY..2 * LONG_BODY), rng.random::<bool>()));
        let body = body_of(length);
        if chunked {
            let chunks = fakes::wire::encode_chunked(&body, CHUNK_SIZE);
            return ("Transfer-Encoding: chunked\r\n".to_owned(), chunks);
        }
        (format!("Content-Length: {length}\r\n"), body)
    }

    /// Returns an idle connection or a new one; `None` if the sidecar does not accept a new one.
    async fn connection(&self) -> Option<Connection> {
        loop {
            let Some(idle) = self.idle.borrow_mut().pop() else { break };
            let fresh = SimRuntime::elapsed_since(idle.since) < self.idle_timeout;
            if fresh && idle.connection.socket.is_idle() {
                return Some(idle.connection);
            }
        }
        let socket = Rc::new(SimRuntime::connect(self.target).await.ok()?);
        let reader = Reader::new(Stream::new(socket.clone(), Rc::new(())));
        Some(Connection { reader, socket })
    }
}
