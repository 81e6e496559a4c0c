//! The client-facing side of the sidecar: an HTTP/1.1 server.
//!
//! A request is admitted once it is complete, or, with a long body, once the first bytes of the body have been
//! received. It gets exactly one response. Requests on one connection are served one after another.
//!
//! - `accept`: accepts connections within the connection budget and evicts idle ones;
//! - `connection`: the state of one connection, its timeouts, and when it may be closed;
//! - `phase`: the phases of a connection and the order of eviction;
//! - `clocks`: when clients wrote their input, and how long responses waited for servers;
//! - `service`: the task of a connection, from its first request to its close;
//! - `request`: validates requests, reads their bodies and forwards them;
//! - `response`: builds responses and streams their bodies.

mod accept;
mod clocks;
mod connection;
mod phase;
mod request;
mod response;
mod service;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use instance_status::InstanceStatus;
use runtime::Runtime;
use tokio::sync::Notify;

use self::accept::Accepting;
use self::connection::ClientConnection;
use self::phase::Phase;
use self::response::DateCache;
use super::budget::SocketBudget;
use super::driver::Driver;
use super::events::CloseReason;
use super::live::LiveConfig;
use super::memory::MessageMemory;
use super::request_ids::RequestIds;
use super::status::{Status, VERSION};

/// Time that clients, or the load balancer in front of them, need to notice that this instance is drained and to
/// connect elsewhere.
pub const DRAIN_PROPAGATION_DELAY: Duration = Duration::from_millis(400);
/// Time after a failed accept during which descriptors are reported as exhausted.
const DESCRIPTOR_SHORTAGE_TIME: Duration = Duration::from_secs(2);

/// The connections that [`Ingress::close_idle`] closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseScope {
    /// Connections on which no part of a request has been received.
    Idle,
    /// These, and connections on which an incomplete request has been received.
    IdleAndReceiving,
}

/// The client connections, and the state that decides whether more are accepted.
pub struct Ingress<P: Runtime> {
    driver: Rc<Driver<P>>,
    name: String,
    live: Rc<LiveConfig>,
    status: Rc<Status>,
    socket_budget: Rc<SocketBudget>,
    message_memory: Rc<MessageMemory>,
    request_ids: RequestIds<P>,
    /// Open connections by number, which is the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection<P>>>>,
    accept_count: Cell<u64>,
    accepting: Cell<Accepting>,
    accepting_changed: Notify,
    /// Start of the time in which connections may have waited in the listener's queue for a descriptor or a
    /// permit; `None` if the queue was empty when last checked.
    backlog_since: Cell<Option<Instant>>,
    /// Notified when a connection has ended and returned its descriptor and its permit.
    connection_ended: Notify,
    last_accepted: Cell<Instant>,
    last_accept_failure: Cell<Option<Instant>>,
    /// The time by which requests have to be answered in a graceful shutdown; `None` before it.
    shutdown_deadline: Cell<Option<Instant>>,
    /// When operators drained this instance; `None` while it is not drained.
    drained_since: Cell<Option<Instant>>,
    drained_changed: Notify,
    discovery_attempted: Cell<bool>,
    date: DateCache,
}

impl<P: Runtime> Ingress<P> {
    /// Creates an ingress without connections.
    pub fn new(
        driver: Rc<Driver<P>>,
        name: String,
        live: Rc<LiveConfig>,
        status: Rc<Status>,
        socket_budget: Rc<SocketBudget>,
        message_memory: Rc<MessageMemory>,
        request_ids: RequestIds<P>,
    ) -> Rc<Ingress<P>> {
        Rc::new(Ingress {
            driver,
            name,
            live,
            status,
            socket_budget,
            message_memory,
            request_ids,
            connections: RefCell::default(),
            accept_count: Cell::new(0),
            accepting: Cell::default(),
            accepting_changed: Notify::new(),
            backlog_since: Cell::new(None),
            connection_ended: Notify::new(),
            last_accepted: Cell::new(P::now()),
            last_accept_failure: Cell::new(None),
            shutdown_deadline: Cell::new(None),
            drained_since: Cell::new(None),
            drained_changed: Notify::new(),
            discovery_attempted: Cell::new(false),
            date: DateCache::default(),
        })
    }

    /// Records that the first call of discovery has completed or failed, so that the endpoint list is as recent
    /// as it can be.
    pub fn discovery_attempted(&self) {
        self.discovery_attempted.set(true);
        self.status.changed.notify_one();
    }

    /// Starts a graceful shutdown: from now on each response closes its connection, and has to be available by
    /// `deadline`.
    pub fn begin_shutdown(&self, deadline: Instant) {
        self.shutdown_deadline.set(Some(deadline));
        self.status.changed.notify_one();
    }

    /// Starts or ends draining by operators.
    pub fn set_drained(&self, drained: bool) {
        if drained != self.drained_since.get().is_some() {
            self.drained_since.set(drained.then(P::now));
            self.drained_changed.notify_one();
            self.status.changed.notify_one();
        }
    }

    /// The time since operators drained this instance; `None` while it is not drained.
    pub fn drained_for(&self) -> Option<Duration> {
        self.drained_since.get().map(P::elapsed_since)
    }

    /// Completes when operators start or end draining. Supports one caller at a time.
    pub async fn drained_changed(&self) {
        self.drained_changed.notified().await;
    }

    /// Whether requests can be served: discovery has been attempted, and endpoints are known.
    pub fn can_serve(&self) -> bool {
        self.discovery_attempted.get() && self.driver.has_endpoints()
    }

    /// Whether clients should connect: requests can be served, and operators have not drained this instance.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && self.drained_since.get().is_none()
    }

    /// The state of the sidecar as reported to its supervisor and on `/health/version`.
    pub fn state(&self) -> InstanceStatus {
        let shortage = |at| P::elapsed_since(at) < DESCRIPTOR_SHORTAGE_TIME;
        InstanceStatus {
            name: self.name.clone(),
            pid: std::process::id(),
            version: VERSION.into(),
            generation: self.live.generation(),
            rejected_config: self.status.rejected_config(),
            ready: self.is_ready(),
            draining: self.shutdown_deadline.get().is_some(),
            client_connections: self.connection_count(),
            in_flight_requests: self.requests_in_progress(),
            out_of_descriptors: self.last_accept_failure.get().is_some_and(shortage),
            counts: self.status.request_counts(),
        }
    }

    /// The time at which the last connection was accepted.
    pub fn last_accepted(&self) -> Instant {
        self.last_accepted.get()
    }

    /// The number of open client connections.
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// The number of requests in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.connections.borrow().values().filter(|c| c.phase().is_busy()).count()
    }

    /// Fails all requests that have no response yet.
    pub fn fail_open_requests(&self) {
        self.driver.fail_open_requests();
    }

    /// Closes the connections on which no request is in progress or likely to arrive.
    pub fn close_idle(&self, scope: CloseScope) {
        for connection in self.connections.borrow().values() {
            let closes = match connection.phase() {
                Phase::Idle => !connection.may_be_sending(),
                Phase::ReceivingRequest => scope == CloseScope::IdleAndReceiving,
                _ => false,
            };
            if closes {
                connection.request_close(CloseReason::Draining);
            }
        }
    }

    /// Closes the connections that have been idle long enough for eviction.
    pub fn close_evictable(&self) {
        let connections = self.connections.borrow();
        for connection in connections.values().filter(|c| c.evictable_idle_time().is_some()) {
            connection.request_close(CloseReason::Draining);
        }
    }
}
