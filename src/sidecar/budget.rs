//! What the sidecar may hold: sockets for clients and servers, bytes of bodies, servers of a list and members of
//! a tier.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use runtime::Platform;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Descriptors that are neither a client's nor a server's: standard streams, the event queue and
/// what wakes it, signals, the listener, discovery (two while it moves), peers, and the
/// configuration when it is read again.
const RESERVE: usize = 24;
/// The part of the clients' places that may rest undisturbed.
const CALM: usize = 3;
/// The share of the memory that bodies of requests and answers may take together.
const BODIES: usize = 3;
/// The share of the memory that the servers of the list may take, and that the members of the tier may.
const LISTED: usize = 4;
const MEMBERS: usize = 16;
/// What one server takes at the most: its entry while a list is read, and its places in the driver, the module and
/// what is handed over between them. Measured at 4,800: 0.6 kB, and 0.8 kB at the peak (docs/CAPACITY.md).
const SERVER: usize = 1 << 10;
/// What a server's entry takes in a list's text at the most, on the mean of all.
const ENTRY: usize = 256;
/// What a member of the tier takes: its record, and who is beside it.
const MEMBER: usize = 256;
/// What is taken back at once of a budget that has shrunk.
const PART: usize = 64 << 10;

/// The sockets, by what they are for.
pub struct Sockets {
    /// Connections of clients.
    pub clients: Arc<Semaphore>,
    /// Connections to servers.
    pub servers: Arc<Semaphore>,
    many_clients: Cell<usize>,
    limit: Cell<usize>,
}

/// A socket's place in the budget, given back when dropped.
pub type Place = OwnedSemaphorePermit;

impl Sockets {
    /// Shares out `limit` descriptors. A client has one request out at a time, and a request one
    /// attempt, so with as many places for servers as for clients no request waits for one for
    /// long.
    pub fn new(limit: usize) -> Sockets {
        let each = each(limit);
        Sockets {
            clients: Arc::new(Semaphore::new(each)),
            servers: Arc::new(Semaphore::new(each)),
            many_clients: Cell::new(each / CALM),
            limit: Cell::new(limit),
        }
    }

    /// From so many clients on, those that rest are let go sooner.
    pub fn many_clients(&self) -> usize {
        self.many_clients.get()
    }

    /// Shares out another limit from now on. Places that are taken stay taken; fewer come back.
    pub fn resize<P: Platform>(&self, limit: usize) {
        let (old, new) = (each(self.limit.replace(limit)), each(limit));
        self.many_clients.set(new / CALM);
        resize::<P>(&self.clients, old, new);
        resize::<P>(&self.servers, old, new);
    }
}

/// How many servers a process may know that may use `memory` bytes.
pub fn most_servers(memory: usize) -> usize {
    memory / LISTED / SERVER
}

/// How long, in bytes, the text of a list of so many servers may be.
pub fn longest_list(servers: usize) -> usize {
    servers * ENTRY
}

/// How many members a tier may have in which a process takes part that may use `memory` bytes.
pub fn most_members(memory: usize) -> usize {
    (memory / MEMBERS / MEMBER).min(gossip::MOST_MEMBERS as usize)
}

fn each(limit: usize) -> usize {
    (limit.saturating_sub(RESERVE) / 2).max(4)
}

fn bodies(memory: usize) -> usize {
    (memory / BODIES).min(Semaphore::MAX_PERMITS)
}

/// Makes a budget of `old` one of `new`. What is lent out beyond it is not given back to it.
fn resize<P: Platform>(budget: &Arc<Semaphore>, old: usize, new: usize) {
    budget.add_permits(new.saturating_sub(old));
    let mut surplus = old.saturating_sub(new);
    surplus -= budget.forget_permits(surplus);
    if surplus > 0 {
        let budget = budget.clone();
        // Ends when all that was lent out has come back once.
        P::spawn(async move {
            while surplus > 0 {
                let part = surplus.min(PART);
                match budget.acquire_many(part as u32).await {
                    Ok(places) => places.forget(),
                    Err(_) => return,
                }
                surplus -= part;
            }
        });
    }
}

/// The bytes that bodies may take together. What a body may need in all is taken before the first
/// byte of it is read, so bodies never wait for each other half way.
#[derive(Clone)]
pub struct Bytes(Arc<Semaphore>, Rc<Cell<usize>>);

/// What one body has taken of the budget; given back when dropped.
pub type Room = Option<OwnedSemaphorePermit>;

impl Bytes {
    /// A budget for a process that may use `memory` bytes.
    pub fn new(memory: usize) -> Bytes {
        Bytes(Arc::new(Semaphore::new(bodies(memory))), Rc::new(Cell::new(memory)))
    }

    /// The budget of a process that may use `memory` bytes from now on.
    pub fn resize<P: Platform>(&self, memory: usize) {
        resize::<P>(&self.0, bodies(self.1.replace(memory)), bodies(memory));
    }

    /// Room for `n` bytes, when it is to be had.
    pub async fn room(&self, n: usize) -> Room {
        let n = u32::try_from(n).unwrap_or(u32::MAX);
        self.0.clone().acquire_many_owned(n).await.ok()
    }

    /// Room for `n` bytes, if it is to be had now.
    pub fn room_now(&self, n: usize) -> Room {
        let n = u32::try_from(n).unwrap_or(u32::MAX);
        self.0.clone().try_acquire_many_owned(n).ok()
    }
}
