//! The budget of sockets.

use std::cell::Cell;
use std::sync::Arc;

use runtime::Runtime;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::resource_limits::ResourceLimits;

/// The number of permits withdrawn at a time from a budget that has shrunk.
const RECLAIM_STEP: usize = 64 << 10;
/// Idle client connections are evicted once the number of client connections exceeds their limit divided by this.
const EVICTION_THRESHOLD_DIVISOR: usize = 3;
/// The budget of sockets, with one semaphore for each side.
pub struct SocketBudget {
    /// Permits for connections of clients.
    pub clients: Arc<Semaphore>,
    /// Permits for connections to servers.
    pub servers: Arc<Semaphore>,
    eviction_threshold: Cell<usize>,
    per_side: Cell<usize>,
}

/// The permit for one connection, returned to the budget on drop.
pub type SocketPermit = OwnedSemaphorePermit;

impl SocketBudget {
    /// Divides the descriptors equally between clients and servers.
    ///
    /// A client has one request in progress at a time, and a request one attempt, so with equal limits no request
    /// waits long for a connection to a server.
    pub fn new(limits: ResourceLimits) -> SocketBudget {
        let per_side = limits.connections_per_side();
        SocketBudget {
            clients: Arc::new(Semaphore::new(per_side)),
            servers: Arc::new(Semaphore::new(per_side)),
            eviction_threshold: Cell::new(per_side / EVICTION_THRESHOLD_DIVISOR),
            per_side: Cell::new(per_side),
        }
    }

    /// Returns the number of client connections above which idle ones are evicted.
    pub fn eviction_threshold(&self) -> usize {
        self.eviction_threshold.get()
    }

    /// Applies new limits. Permits in use stay valid; surplus ones are withdrawn as they are returned.
    pub fn set_limits<P: Runtime>(&self, limits: ResourceLimits) {
        let new = limits.connections_per_side();
        let old = self.per_side.replace(new);
        self.eviction_threshold.set(new / EVICTION_THRESHOLD_DIVISOR);
        resize::<P>(&self.clients, old, new);
        resize::<P>(&self.servers, old, new);
    }
}

/// Changes the size of a budget from `old` to `new` permits. Surplus permits in use are withdrawn when returned.
pub(super) fn resize<P: Runtime>(budget: &Arc<Semaphore>, old: usize, new: usize) {
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
