//! Limits that follow from the configured sockets and memory: connections, bytes of bodies, servers
//! of an endpoint list and members of a tier.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use runtime::Runtime;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Descriptors that are neither a client's nor a server's: standard streams, the event queue and
/// what wakes it, signals, the listener, discovery (as many as it has calls in flight), peers, and
/// the configuration when it is reloaded.
const RESERVED_DESCRIPTORS: usize = 36;
/// The smallest limit for connections to either side.
const MIN_CONNECTIONS_PER_SIDE: usize = 4;
/// Up to this part of the client connections, idle ones are not evicted.
const EVICTION_THRESHOLD_DIVISOR: usize = 3;
/// The part of the memory that bodies of requests and responses may take together.
const BODY_MEMORY_DIVISOR: usize = 3;
/// The part of the memory that the servers of the endpoint list may take.
const SERVER_MEMORY_DIVISOR: usize = 4;
/// The part of the memory that the members of the tier may take.
const MEMBER_MEMORY_DIVISOR: usize = 16;
/// What one server takes at most: its entry while a list is read, and its state in the driver and
/// in the balancer. Measured with 4,800 servers: 0.6 kB, and 0.8 kB at the peak (docs/CAPACITY.md).
const BYTES_PER_SERVER: usize = 1 << 10;
/// What a server's entry takes in the text of a list at most, on average.
const LIST_BYTES_PER_SERVER: usize = 256;
/// What a member of the tier takes: its record, and its neighbors.
const BYTES_PER_MEMBER: usize = 256;
/// How much is taken back at once of a budget that has shrunk.
const RECLAIM_STEP: usize = 64 << 10;

/// The budget of descriptors, by what they are for.
pub struct SocketBudget {
    /// Connections of clients.
    pub clients: Arc<Semaphore>,
    /// Connections to servers.
    pub servers: Arc<Semaphore>,
    eviction_threshold: Cell<usize>,
    limit: Cell<usize>,
}

/// A connection's share of the budget, returned when dropped.
pub type SocketPermit = OwnedSemaphorePermit;

impl SocketBudget {
    /// Shares out `limit` descriptors. A client has one request in progress at a time, and a
    /// request one attempt, so with the same limit for servers and clients no request waits long
    /// for a connection.
    pub fn new(limit: usize) -> SocketBudget {
        let per_side = connections_per_side(limit);
        SocketBudget {
            clients: Arc::new(Semaphore::new(per_side)),
            servers: Arc::new(Semaphore::new(per_side)),
            eviction_threshold: Cell::new(per_side / EVICTION_THRESHOLD_DIVISOR),
            limit: Cell::new(limit),
        }
    }

    /// With more client connections than this, idle ones are evicted.
    pub fn eviction_threshold(&self) -> usize {
        self.eviction_threshold.get()
    }

    /// Shares out another limit from now on. Permits that are in use stay so; fewer are reissued.
    pub fn resize<P: Runtime>(&self, limit: usize) {
        let old = connections_per_side(self.limit.replace(limit));
        let new = connections_per_side(limit);
        self.eviction_threshold.set(new / EVICTION_THRESHOLD_DIVISOR);
        resize::<P>(&self.clients, old, new);
        resize::<P>(&self.servers, old, new);
    }
}

/// How many servers a process may know that may use `memory` bytes.
pub fn max_servers(memory: usize) -> usize {
    memory / SERVER_MEMORY_DIVISOR / BYTES_PER_SERVER
}

/// How long, in bytes, the text of a list of so many servers may be.
pub fn max_list_bytes(servers: usize) -> usize {
    servers * LIST_BYTES_PER_SERVER
}

/// How many members a tier may have if a process takes part that may use `memory` bytes.
pub fn max_members(memory: usize) -> usize {
    (memory / MEMBER_MEMORY_DIVISOR / BYTES_PER_MEMBER).min(gossip::MAX_MEMBERS as usize)
}

fn connections_per_side(limit: usize) -> usize {
    (limit.saturating_sub(RESERVED_DESCRIPTORS) / 2).max(MIN_CONNECTIONS_PER_SIDE)
}

fn body_bytes(memory: usize) -> usize {
    (memory / BODY_MEMORY_DIVISOR).min(Semaphore::MAX_PERMITS)
}

/// Makes a budget of `old` one of `new`. What is lent out beyond it is not reissued.
fn resize<P: Runtime>(budget: &Arc<Semaphore>, old: usize, new: usize) {
    budget.add_permits(new.saturating_sub(old));
    let mut surplus = old.saturating_sub(new);
    surplus -= budget.forget_permits(surplus);
    if surplus > 0 {
        let budget = budget.clone();
        // Ends when all that was lent out has been returned once.
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

/// The memory that bodies may take together. What a body may need in all is reserved before its
/// first byte is read, so bodies never wait for each other half way.
#[derive(Clone)]
pub struct BodyBudget {
    bytes: Arc<Semaphore>,
    /// What the process may use, in bytes.
    memory: Rc<Cell<usize>>,
}

/// What is reserved for one body; returned when dropped.
pub type Reservation = Option<OwnedSemaphorePermit>;

impl BodyBudget {
    /// A budget for a process that may use `memory` bytes.
    pub fn new(memory: usize) -> BodyBudget {
        let bytes = Arc::new(Semaphore::new(body_bytes(memory)));
        BodyBudget { bytes, memory: Rc::new(Cell::new(memory)) }
    }

    /// The budget of a process that may use `memory` bytes from now on.
    pub fn resize<P: Runtime>(&self, memory: usize) {
        let old = self.memory.replace(memory);
        resize::<P>(&self.bytes, body_bytes(old), body_bytes(memory));
    }

    /// Reserves `bytes`, as soon as they are available.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.bytes.clone().acquire_many_owned(bytes).await.ok()
    }

    /// Reserves `bytes`, if they are available now.
    pub fn try_reserve(&self, bytes: usize) -> Reservation {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.bytes.clone().try_acquire_many_owned(bytes).ok()
    }
}
