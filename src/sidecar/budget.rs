//! The budget of sockets.

use std::cell::Cell;
use std::rc::Rc;

use runtime::Runtime;
use tokio::sync::OwnedSemaphorePermit;

use super::adjustable_semaphore::{AdjustableSemaphore, ShortageHook};
use super::resource_limits::ResourceLimits;

/// Idle client connections are evicted once the number of client connections exceeds their limit divided by this.
const EVICTION_THRESHOLD_DIVISOR: usize = 3;

/// The budget of sockets, with one semaphore for each side.
///
/// A client has one request in progress at a time, and a request one attempt, so with equal limits no request waits long
/// for a connection to a server.
pub struct SocketBudget {
    /// Permits for connections of clients.
    pub clients: AdjustableSemaphore,
    /// Permits for connections to servers.
    pub servers: AdjustableSemaphore,
    eviction_threshold: Cell<usize>,
    per_side: Cell<usize>,
}

/// The permit for one connection, returned to the budget on drop.
pub type SocketPermit = OwnedSemaphorePermit;

impl SocketBudget {
    /// Divides the descriptors equally between clients and servers. `shortage` is told when a permit is asked for and
    /// none is available.
    pub fn new(limits: ResourceLimits, shortage: &Rc<ShortageHook>) -> SocketBudget {
        let per_side = limits.connections_per_side();
        SocketBudget {
            clients: AdjustableSemaphore::new(per_side, shortage.clone()),
            servers: AdjustableSemaphore::new(per_side, shortage.clone()),
            eviction_threshold: Cell::new(per_side / EVICTION_THRESHOLD_DIVISOR),
            per_side: Cell::new(per_side),
        }
    }

    /// Returns the number of client connections above which idle ones are evicted.
    pub fn eviction_threshold(&self) -> usize {
        self.eviction_threshold.get()
    }

    /// Returns the maximum number of connections of each side.
    pub fn per_side(&self) -> usize {
        self.per_side.get()
    }

    /// Applies new limits. Permits in use stay valid; surplus ones are withdrawn as they are returned.
    pub fn set_limits<P: Runtime>(&self, limits: ResourceLimits) {
        let per_side = limits.connections_per_side();
        self.per_side.set(per_side);
        self.eviction_threshold.set(per_side / EVICTION_THRESHOLD_DIVISOR);
        self.clients.resize::<P>(per_side);
        self.servers.resize::<P>(per_side);
    }
}
