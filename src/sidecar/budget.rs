//! Limits derived from the configured number of sockets and amount of memory: connections, bytes of bodies, servers
//! in an endpoint list and members of a tier.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use runtime::Runtime;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of descriptors reserved for purposes other than connections of clients and to servers: standard streams, the
/// event queue and its waker, signals, the listener, discovery (one per call in flight), peers, and the configuration
/// file during a reload.
const RESERVED_DESCRIPTORS: usize = 36;
/// The minimum of the connection limit of each side, clients and servers.
const MIN_CONNECTIONS_PER_SIDE: usize = 4;
/// Idle client connections are evicted once the number of client connections exceeds their limit divided by this.
const EVICTION_THRESHOLD_DIVISOR: usize = 3;
/// All request and response bodies together may use the memory limit divided by this.
const BODY_MEMORY_DIVISOR: usize = 3;
/// The servers of the endpoint list may use the memory limit divided by this.
const SERVER_MEMORY_DIVISOR: usize = 4;
/// The members of the tier may use the memory limit divided by this.
const MEMBER_MEMORY_DIVISOR: usize = 16;
/// Maximum memory per server in bytes: its entry while a list is read, and its state in the driver and the balancer.
/// With 4,800 servers these take 0.6 kB per server, and 0.8 kB at the peak (docs/CAPACITY.md).
const BYTES_PER_SERVER: usize = 1 << 10;
/// Maximum average length of a server's entry in the text of a list, in bytes.
const LIST_BYTES_PER_SERVER: usize = 256;
/// Memory per member of the tier in bytes: its record and its neighbors.
const BYTES_PER_MEMBER: usize = 256;
/// The number of permits withdrawn at a time from a budget that has shrunk.
const RECLAIM_STEP: usize = 64 << 10;

/// The budget of sockets, with one semaphore for each side.
pub struct SocketBudget {
    /// Permits for connections of clients.
    pub clients: Arc<Semaphore>,
    /// Permits for connections to servers.
    pub servers: Arc<Semaphore>,
    eviction_threshold: Cell<usize>,
    limit: Cell<usize>,
}

/// The permit for one connection, returned to the budget on drop.
pub type SocketPermit = OwnedSemaphorePermit;

impl SocketBudget {
    /// Divides `limit` descriptors equally between clients and servers.
    ///
    /// A client has one request in progress at a time, and a request one attempt, so with equal limits no request
    /// waits long for a connection to a server.
    pub fn new(limit: usize) -> SocketBudget {
        let per_side = connections_per_side(limit);
        SocketBudget {
            clients: Arc::new(Semaphore::new(per_side)),
            servers: Arc::new(Semaphore::new(per_side)),
            eviction_threshold: Cell::new(per_side / EVICTION_THRESHOLD_DIVISOR),
            limit: Cell::new(limit),
        }
    }

    /// Returns the number of client connections above which idle ones are evicted.
    pub fn eviction_threshold(&self) -> usize {
        self.eviction_threshold.get()
    }

    /// Changes the limit. Permits in use stay valid; surplus ones are withdrawn as they are returned.
    pub fn resize<P: Runtime>(&self, limit: usize) {
        let old = connections_per_side(self.limit.replace(limit));
        let new = connections_per_side(limit);
        self.eviction_threshold.set(new / EVICTION_THRESHOLD_DIVISOR);
        resize::<P>(&self.clients, old, new);
        resize::<P>(&self.servers, old, new);
    }
}

/// Returns the maximum number of known servers for a process that may use `memory` bytes.
pub fn max_servers(memory: usize) -> usize {
    memory / SERVER_MEMORY_DIVISOR / BYTES_PER_SERVER
}

/// Returns the maximum length in bytes of the text of a list with this number of servers.
pub fn max_list_bytes(servers: usize) -> usize {
    servers * LIST_BYTES_PER_SERVER
}

/// Returns the maximum number of tier members for a process that may use `memory` bytes.
pub fn max_members(memory: usize) -> usize {
    (memory / MEMBER_MEMORY_DIVISOR / BYTES_PER_MEMBER).min(gossip::MAX_MEMBERS as usize)
}

fn connections_per_side(limit: usize) -> usize {
    (limit.saturating_sub(RESERVED_DESCRIPTORS) / 2).max(MIN_CONNECTIONS_PER_SIDE)
}

fn body_bytes(memory: usize) -> usize {
    (memory / BODY_MEMORY_DIVISOR).min(Semaphore::MAX_PERMITS)
}

/// Changes the size of a budget from `old` to `new` permits. Surplus permits in use are withdrawn when returned.
fn resize<P: Runtime>(budget: &Arc<Semaphore>, old: usize, new: usize) {
    budget.add_permits(new.saturating_sub(old));
    let mut surplus = old.saturating_sub(new);
    surplus -= budget.forget_permits(surplus);
    if surplus > 0 {
        let budget = budget.clone();
        // Ends once all surplus permits have been returned.
        P::spawn(async move {
            while surplus > 0 {
                let step = surplus.min(RECLAIM_STEP);
                match budget.acquire_many(step as u32).await {
                    Ok(permits) => permits.forget(),
                    Err(_) => return,
                }
                surplus -= step;
            }
        });
    }
}

/// The memory budget of all bodies together.
///
/// The maximum that a body can need is reserved before its first byte is read, so partly read bodies never wait for
/// each other.
#[derive(Clone)]
pub struct BodyBudget {
    bytes: Arc<Semaphore>,
    /// The memory that the process may use, in bytes.
    memory: Rc<Cell<usize>>,
}

/// The memory reserved for one body, returned to the budget on drop; `None` if nothing is reserved.
pub type Reservation = Option<OwnedSemaphorePermit>;

impl BodyBudget {
    /// Creates the budget of a process that may use `memory` bytes.
    pub fn new(memory: usize) -> BodyBudget {
        let bytes = Arc::new(Semaphore::new(body_bytes(memory)));
        BodyBudget { bytes, memory: Rc::new(Cell::new(memory)) }
    }

    /// Changes the memory that the process may use to `memory` bytes.
    pub fn resize<P: Runtime>(&self, memory: usize) {
        let old = self.memory.replace(memory);
        resize::<P>(&self.bytes, body_bytes(old), body_bytes(memory));
    }

    /// Reserves `bytes`, waiting until they are available.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.bytes.clone().acquire_many_owned(bytes).await.ok()
    }

    /// Reserves `bytes` if they are available now, or returns `None`.
    pub fn try_reserve(&self, bytes: usize) -> Reservation {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.bytes.clone().try_acquire_many_owned(bytes).ok()
    }
}
