//! Connections to servers: a pool of idle ones, and the attempts and health checks made on them.
//!
//! Each attempt has exactly one [`AttemptResult`]. Which server an attempt goes to, and what follows
//! its result, is decided by the balancer.

mod attempt_result;
mod close_reason;
mod connection;
mod desync;
mod exchange;
mod health_check;
mod observer;
mod pool;
mod request;
mod response;
mod send;
mod sync_check;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use runtime::Runtime;
use rustc_hash::FxHashMap;

use super::budget::{BodyBudget, SocketBudget};
use super::live::LiveConfig;
use super::status::Status;
use crate::api::ServerId;
pub use attempt_result::{AttemptResult, UpstreamResponse};
use connection::Connection;
pub use connection::ConnectionUse;
use desync::ResponseHistory;
pub use health_check::{HealthCheckKind, HealthCheckResult};
pub use request::{AttemptLimits, RequestClient, UpstreamRequest};

/// A server, and the address to connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Where it accepts connections from this sidecar.
    pub address: SocketAddr,
}

/// All connections to servers.
pub struct Upstream<P: Runtime> {
    /// Idle connections of each server, the most recently used one last.
    idle: RefCell<FxHashMap<ServerId, Vec<Connection<P>>>>,
    /// What is known of the responses of each server.
    histories: RefCell<FxHashMap<ServerId, Rc<ResponseHistory>>>,
    /// How many connections were opened so far.
    opened: Cell<u64>,
    sockets: Rc<SocketBudget>,
    body_memory: BodyBudget,
    live: Rc<LiveConfig>,
    status: Rc<Status>,
}

impl<P: Runtime> Upstream<P> {
    /// Starts without connections, and spawns the task that closes expired idle ones.
    pub fn new(
        sockets: Rc<SocketBudget>,
        body_memory: BodyBudget,
        live: Rc<LiveConfig>,
        status: Rc<Status>,
    ) -> Rc<Upstream<P>> {
        let upstream = Rc::new(Upstream {
            idle: RefCell::default(),
            histories: RefCell::default(),
            opened: Cell::default(),
            sockets,
            body_memory,
            live,
            status,
        });
        P::spawn(upstream.clone().evict_expired());
        upstream
    }
}
