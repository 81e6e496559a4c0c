//! Connections to servers: the connection pool, and the attempts and health checks that use it.
//!
//! Each attempt produces exactly one [`AttemptResult`]. The balancer chooses the server of an attempt and decides
//! what follows its result.

mod attempt_result;
mod close_reason;
mod connection;
mod desync;
mod end_check;
mod exchange;
mod health_check;
mod memory_wait;
mod observer;
mod pool;
mod request;
mod request_end;
mod response;
mod response_arrival;
mod send;
mod streamed_rest;
mod sync_check;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use runtime::Runtime;
use rustc_hash::FxHashMap;

use super::budget::SocketBudget;
use super::live::LiveConfig;
use super::memory::MessageMemory;
use super::status::Status;
use crate::api::ServerId;
pub use attempt_result::{AttemptResult, ResponseHeadMemory, ResponseRest, UpstreamResponse};
use connection::Connection;
pub use connection::ConnectionUse;
use desync::{Quarantine, ResponseHistory};
pub use health_check::{HealthCheckKind, HealthCheckResult};
pub use memory_wait::MemoryWait;
pub use request::{AttemptLimits, RequestClient, UpstreamRequest};
pub use request_end::RequestEnd;
pub use response_arrival::ResponseArrival;

/// A server and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// The address at which the server accepts connections from this sidecar.
    pub address: SocketAddr,
}

/// The pool of connections to servers.
pub struct Upstream<P: Runtime> {
    /// Idle connections by server, in the order in which they were returned to the pool.
    idle: RefCell<FxHashMap<ServerId, Vec<Connection<P>>>>,
    /// Response history by server, used to detect desyncs.
    histories: RefCell<FxHashMap<ServerId, Rc<ResponseHistory>>>,
    /// In force, the lengths that servers announce need a proof.
    short_lengths: Rc<Quarantine>,
    /// Number of connections opened so far.
    opened: Cell<u64>,
    sockets: Rc<SocketBudget>,
    message_memory: Rc<MessageMemory>,
    live: Rc<LiveConfig>,
    status: Rc<Status>,
}

impl<P: Runtime> Upstream<P> {
    /// Creates an empty pool and spawns the task that closes expired idle connections.
    pub fn new(
        sockets: Rc<SocketBudget>,
        message_memory: Rc<MessageMemory>,
        live: Rc<LiveConfig>,
        status: Rc<Status>,
    ) -> Rc<Upstream<P>> {
        let upstream = Rc::new(Upstream {
            idle: RefCell::default(),
            histories: RefCell::default(),
            short_lengths: Rc::default(),
            opened: Cell::default(),
            sockets,
            message_memory,
            live,
            status,
        });
        P::spawn(upstream.clone().evict_expired());
        upstream
    }

    /// Leaves memory for this number of known servers.
    pub fn set_known_servers(&self, servers: usize) {
        self.message_memory.set_servers::<P>(servers);
    }
}
