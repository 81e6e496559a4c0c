//! Keeps the process within its memory limit: measures the resident memory, and adjusts what connections and messages may
//! take. [`super::memory_pressure`] decides how.
//!
//! If too much memory is resident, this gives way, in this order: free pages of the allocator, idle connections to
//! servers, idle connections of clients, new connections, and bodies, which wait unread. It all returns as memory becomes
//! free.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use runtime::{ProcessMemory, Runtime};
use tokio::sync::Notify;

use super::adjustable_semaphore::ShortageHook;
use super::budget::SocketBudget;
use super::ingress::Ingress;
use super::memory::{MessageAllowance, MessageMemory};
use super::memory_pressure::{
    Allowance, MemoryUse, client_connections_for, server_connections_for,
};
use super::memory_status::MemorySnapshot;
use super::status::Status;
use super::upstream::Upstream;

/// The interval between two measurements while little memory is resident.
const CALM_INTERVAL: Duration = Duration::from_secs(1);
/// The interval while more than half of the limit is resident.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between two measurements while too much memory is resident, or something waits for memory.
const SHORTAGE_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum time between two measurements.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
/// The minimum time between two returns of free pages to the system, each of which takes processor time, as does taking
/// the pages anew.
const MIN_RELEASE_INTERVAL: Duration = Duration::from_millis(40);
/// The time without excess after which a shortage is over.
const SHORTAGE_END: Duration = Duration::from_secs(5);

/// What a sidecar holds in memory, and the memory that it may take.
pub struct MonitoredMemory<P: Runtime> {
    /// The memory of the process.
    pub process: Rc<dyn ProcessMemory>,
    /// Told when something asks for memory that is not available.
    pub shortage: Rc<ShortageHook>,
    /// The budget of connections.
    pub socket_budget: Rc<SocketBudget>,
    /// The budget of messages.
    pub message_memory: Rc<MessageMemory>,
    /// The client connections.
    pub ingress: Rc<Ingress<P>>,
    /// The connections to servers.
    pub upstream: Rc<Upstream<P>>,
    /// Records what is measured.
    pub status: Rc<Status>,
}

/// Keeps the process within its memory limit.
pub struct MemoryMonitor<P: Runtime> {
    monitored: MonitoredMemory<P>,
    measured_at: Cell<Instant>,
    released_at: Cell<Option<Instant>>,
    /// When too much memory was last resident; `None` if there is no shortage.
    last_excess: Cell<Option<Instant>>,
    /// Notified when something waits for memory.
    waiting: Notify,
}

impl<P: Runtime> MemoryMonitor<P> {
    /// Starts to measure and adjust. Returns `None` if the memory of the process cannot be determined: its parts are then
    /// bounded by what is counted alone.
    pub fn start(monitored: MonitoredMemory<P>) -> Option<Rc<MemoryMonitor<P>>> {
        monitored.process.resident_bytes()?;
        let monitor = Rc::new(MemoryMonitor {
            monitored,
            measured_at: Cell::new(P::now()),
            released_at: Cell::new(None),
            last_excess: Cell::new(None),
            waiting: Notify::new(),
        });
        monitor.adjust();
        let weak = Rc::downgrade(&monitor);
        monitor.monitored.shortage.set(move || {
            if let Some(monitor) = weak.upgrade() {
                monitor.handle_shortage();
            }
        });
        P::spawn(monitor.clone().run());
        Some(monitor)
    }

    /// Measures and adjusts at intervals; never returns.
    async fn run(self: Rc<MemoryMonitor<P>>) {
        loop {
            tokio::select! {
                biased;
                () = P::sleep(self.interval()) => {}
                () = self.waiting.notified() => P::sleep(SHORTAGE_INTERVAL).await,
            }
            self.adjust();
        }
    }

    /// Returns the time until the next measurement if nothing waits for memory.
    fn interval(&self) -> Duration {
        let MemorySnapshot { resident, limit, .. } = self.monitored.status.memory.snapshot();
        if self.last_excess.get().is_some() {
            SHORTAGE_INTERVAL
        } else if resident > limit / 2 {
            BUSY_INTERVAL
        } else {
            CALM_INTERVAL
        }
    }

    /// Measures anew when something asks for memory that is not available: memory may have become free since.
    fn handle_shortage(&self) {
        if P::elapsed_since(self.measured_at.get()) >= MIN_INTERVAL {
            self.adjust();
        }
        self.waiting.notify_one();
    }

    /// Measures the memory of the process, frees memory if too much is resident, and adjusts what may be in use.
    pub fn adjust(&self) {
        let MonitoredMemory { socket_budget, message_memory, .. } = &self.monitored;
        self.measured_at.set(P::now());
        let limit = message_memory.limits().memory;
        let Some(mut used) = self.measure() else { return };
        if used.is_near_limit(limit) && self.release_free_pages() {
            used = self.measure().unwrap_or(used);
        }
        self.track_shortage(&used, limit);
        let excess = used.resident_excess(limit);
        if excess > 0 {
            self.close_idle_connections(excess);
        }
        let per_side = socket_budget.per_side();
        let maximum =
            Allowance { clients: per_side, servers: per_side, messages: message_memory.planned() };
        let allowance = used.allowance(limit, maximum);
        self.monitored.status.memory.record(used.resident, limit, allowance);
        socket_budget.clients.resize::<P>(allowance.clients);
        socket_budget.servers.resize::<P>(allowance.servers);
        message_memory.set_allowance::<P>(allowance.messages);
    }

    /// Returns what is in use, or `None` if the memory of the process cannot be determined at the moment.
    fn measure(&self) -> Option<MemoryUse> {
        let MonitoredMemory { process, socket_budget, message_memory, .. } = &self.monitored;
        Some(MemoryUse {
            resident: process.resident_bytes()?,
            clients: socket_budget.clients.in_use(),
            servers: socket_budget.servers.in_use(),
            listed_servers: message_memory.servers(),
            messages: MessageAllowance {
                requests: message_memory.requests.in_use(),
                responses: message_memory.responses.in_use(),
            },
        })
    }

    /// Returns free pages to the system, unless that was done just now. Returns whether it was done.
    fn release_free_pages(&self) -> bool {
        let released_at = self.released_at.get();
        if released_at.is_some_and(|at| P::elapsed_since(at) < MIN_RELEASE_INTERVAL) {
            return false;
        }
        self.released_at.set(Some(P::now()));
        self.monitored.process.release_free_pages();
        true
    }

    /// Closes idle connections that take `bytes` in total, those to servers first, as they can be opened again without a
    /// client that notices.
    fn close_idle_connections(&self, bytes: usize) {
        let MonitoredMemory { ingress, upstream, status, .. } = &self.monitored;
        let wanted = server_connections_for(bytes);
        let closed = upstream.close_longest_idle_connections(wanted);
        status.memory.record_closed(closed);
        if closed < wanted {
            let missing = bytes / wanted * (wanted - closed);
            status.memory.record_closed(ingress.evict_idle(client_connections_for(missing)));
        }
    }

    /// Logs the beginning and the end of a shortage.
    fn track_shortage(&self, used: &MemoryUse, limit: usize) {
        let status = &self.monitored.status;
        if used.resident_excess(limit) > 0 {
            if self.last_excess.replace(Some(P::now())).is_none() {
                status.memory.record_shortage();
                tracing::warn!(
                    resident_kb = used.resident >> 10,
                    limit_kb = limit >> 10,
                    clients = used.clients,
                    servers = used.servers,
                    request_kb = used.messages.requests >> 10,
                    response_kb = used.messages.responses >> 10,
                    "resident memory is close to the limit, closing idle connections"
                );
            }
        } else if self.last_excess.get().is_some_and(|at| P::elapsed_since(at) >= SHORTAGE_END) {
            self.last_excess.set(None);
            let closed_connections = status.memory.snapshot().closed_connections;
            tracing::info!(
                resident_kb = used.resident >> 10,
                limit_kb = limit >> 10,
                closed_connections,
                "resident memory is below the limit again"
            );
        }
    }
}
