//! The side of the sidecar that clients connect to.
//!
//! A request is admitted once it is complete (a long body: once its first bytes are here), and gets
//! exactly one response. Requests of one connection are served one after another.
//!
//! - `accept`: accepting connections within their budget, and evicting idle ones;
//! - `connection`: one connection as it is observed, its timeouts and when it may be closed;
//! - `phase`: what a connection is doing, and the order of eviction;
//! - `clocks`: when input arrived, and how long responses waited for servers;
//! - `service`: a connection's task, from the first request to its close;
//! - `request`: validation of requests, their bodies, and forwarding them;
//! - `response`: responses and their bodies.

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
use super::budget::{BodyBudget, SocketBudget};
use super::driver::Driver;
use super::events::CloseReason;
use super::live::LiveConfig;
use super::request_ids::RequestIds;
use super::status::{Status, VERSION};

/// How long it takes clients, or whoever directs them, to see that this instance is drained and to
/// connect elsewhere.
pub const DRAIN_PROPAGATION_DELAY: Duration = Duration::from_millis(400);
/// For how long after a failed accept descriptors are reported as exhausted.
const DESCRIPTOR_SHORTAGE_TIME: Duration = Duration::from_secs(2);

/// Which connections are closed when idle ones are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseScope {
    /// Those without any part of a request.
    Idle,
    /// Also those on which an incomplete request has been received.
    IdleAndReceiving,
}

/// The client-facing side of the sidecar: its connections, and whether it admits more.
pub struct Ingress<P: Runtime> {
    driver: Rc<Driver<P>>,
    name: String,
    live: Rc<LiveConfig>,
    status: Rc<Status>,
    socket_budget: Rc<SocketBudget>,
    body_budget: BodyBudget,
    request_ids: RequestIds<P>,
    /// By their numbers, so in the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection<P>>>>,
    accept_count: Cell<u64>,
    accepting: Cell<Accepting>,
    accepting_changed: Notify,
    /// Since when connections may wait in the listener's queue for a descriptor or a place, if they do.
    behind_since: Cell<Option<Instant>>,
    /// A connection has ended, and with it its descriptor and its place.
    place_freed: Notify,
    last_accepted: Cell<Instant>,
    last_accept_failure: Cell<Option<Instant>>,
    /// In a graceful shutdown: until when requests have to be answered.
    shutdown_deadline: Cell<Option<Instant>>,
    /// Since when operators have this instance drained, if they do.
    drained_since: Cell<Option<Instant>>,
    drained_changed: Notify,
    discovery_attempted: Cell<bool>,
    date: DateCache,
}

impl<P: Runtime> Ingress<P> {
    /// An ingress without connections.
    pub fn new(
        driver: Rc<Driver<P>>,
        name: String,
        live: Rc<LiveConfig>,
        status: Rc<Status>,
        socket_budget: Rc<SocketBudget>,
        body_budget: BodyBudget,
    ) -> Rc<Ingress<P>> {
        Rc::new(Ingress {
            driver,
            name,
            live,
            status,
            socket_budget,
            body_budget,
            request_ids: RequestIds::default(),
            connections: RefCell::default(),
            accept_count: Cell::new(0),
            accepting: Cell::default(),
            accepting_changed: Notify::new(),
            behind_since: Cell::new(None),
            place_freed: Notify::new(),
            last_accepted: Cell::new(P::now()),
            last_accept_failure: Cell::new(None),
            shutdown_deadline: Cell::new(None),
            drained_since: Cell::new(None),
            drained_changed: Notify::new(),
            discovery_attempted: Cell::new(false),
            date: DateCache::default(),
        })
    }

    /// Records that discovery has responded, or failed to: the endpoint list is as recent as it can
    /// be.
    pub fn discovery_attempted(&self) {
        self.discovery_attempted.set(true);
        self.status.changed.notify_one();
    }

    /// Starts a graceful shutdown: each response is the last on its connection, and has to be
    /// available by `deadline`.
    pub fn begin_shutdown(&self, deadline: Instant) {
        self.shutdown_deadline.set(Some(deadline));
        self.status.changed.notify_one();
    }

    /// Drains this instance for operators, or ends that.
    pub fn set_drained(&self, drained: bool) {
        if drained != self.drained_since.get().is_some() {
            self.drained_since.set(drained.then(P::now));
            self.drained_changed.notify_one();
            self.status.changed.notify_one();
        }
    }

    /// For how long operators have had this instance drained, if they have.
    pub fn drained_for(&self) -> Option<Duration> {
        self.drained_since.get().map(P::elapsed_since)
    }

    /// Completes when this instance is drained, or no longer is. For one caller at a time.
    pub async fn drained_changed(&self) {
        self.drained_changed.notified().await;
    }

    /// Whether requests can be served: discovery was attempted, and servers are known.
    pub fn can_serve(&self) -> bool {
        self.discovery_attempted.get() && self.driver.has_endpoints()
    }

    /// Whether clients are welcome: requests can be served, and operators do not drain this
    /// instance.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && self.drained_since.get().is_none()
    }

    /// The state of the sidecar, as it is reported.
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

    /// When the last connection was accepted.
    pub fn last_accepted(&self) -> Instant {
        self.last_accepted.get()
    }

    /// How many connections clients have.
    pub fn connection_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// How many requests are in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.connections.borrow().values().filter(|c| c.phase().is_busy()).count()
    }

    /// Fails all requests that have no response yet.
    pub fn fail_open_requests(&self) {
        self.driver.fail_open_requests();
    }

    /// Closes the connections on which no request is in progress or about to be received.
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

    /// Closes the connections that have been idle long enough to be evicted.
    pub fn close_evictable(&self) {
        let connections = self.connections.borrow();
        for connection in connections.values().filter(|c| c.evictable_idle_time().is_some()) {
            connection.request_close(CloseReason::Draining);
        }
    }
}
