//! The links of a run and the addresses of its nodes, shared by all parts of the testbed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::drain_watch::DrainWatch;
use crate::links::{Links, Node};

/// A handle to the links between all nodes and to the nodes' addresses. Clones share the same state.
#[derive(Clone)]
pub struct Network(Arc<Inner>);

struct Inner {
    links: watch::Sender<Links>,
    addresses: Mutex<HashMap<Node, SocketAddr>>,
    drain_watch: OnceLock<DrainWatch>,
    seed: u64,
    started: Instant,
}

impl Network {
    /// Creates a network with these links. `seed` determines the random choices for its traffic.
    pub fn new(links: Links, seed: u64) -> Network {
        Network(Arc::new(Inner {
            links: watch::Sender::new(links),
            addresses: Mutex::default(),
            drain_watch: OnceLock::new(),
            seed,
            started: Instant::now(),
        }))
    }

    /// Calls `read` with the current links.
    pub fn links<T>(&self, read: impl FnOnce(&Links) -> T) -> T {
        read(&self.0.links.borrow())
    }

    /// Changes the links, and notifies all subscribers.
    pub fn update(&self, change: impl FnOnce(&mut Links)) {
        self.0.links.send_modify(change);
    }

    /// Returns a receiver of the links that is notified of every update.
    pub fn subscribe(&self) -> watch::Receiver<Links> {
        self.0.links.subscribe()
    }

    /// Waits until the links satisfy `condition`.
    pub async fn wait_until(&self, condition: impl Fn(&Links) -> bool) {
        // `wait_for` cannot fail: the sender lives as long as `self`.
        let _ = self.subscribe().wait_for(|links| condition(links)).await;
    }

    /// Returns the address of a node, or `None` if it is not known yet.
    pub fn address(&self, node: Node) -> Option<SocketAddr> {
        self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner).get(&node).copied()
    }

    /// Sets the address of a node.
    pub fn set_address(&self, node: Node, address: SocketAddr) {
        self.0.addresses.lock().unwrap_or_else(PoisonError::into_inner).insert(node, address);
    }

    /// Sets the watch of the data that sidecars send to servers. Later calls have no effect.
    pub fn watch_drains(&self, watch: DrainWatch) {
        let _ = self.0.drain_watch.set(watch);
    }

    /// Returns the watch of the data that sidecars send to servers, if there is one.
    pub fn drain_watch(&self) -> Option<&DrainWatch> {
        self.0.drain_watch.get()
    }

    /// Returns the seed of the random choices for the traffic.
    pub fn seed(&self) -> u64 {
        self.0.seed
    }

    /// Returns the time since the network was created.
    pub fn elapsed(&self) -> Duration {
        self.0.started.elapsed()
    }
}
