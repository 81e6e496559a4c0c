//! The links between all parts as everybody sees them, and where each part is.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::links::{Links, Part};

/// The links between all parts, where each part is, and since when they are there. Clones are the same links.
#[derive(Clone)]
pub struct Network(Arc<Inner>);

struct Inner {
    links: watch::Sender<Links>,
    at: Mutex<HashMap<Part, SocketAddr>>,
    seed: u64,
    began: Instant,
}

impl Network {
    /// Links on which `links` lies; what they draw is drawn from `seed`.
    pub fn new(links: Links, seed: u64) -> Network {
        let (at, began) = (Mutex::default(), Instant::now());
        Network(Arc::new(Inner { links: watch::Sender::new(links), at, seed, began }))
    }

    /// Looks at them.
    pub fn links<T>(&self, look: impl FnOnce(&Links) -> T) -> T {
        look(&self.0.links.borrow())
    }

    /// Changes them.
    pub fn change(&self, change: impl FnOnce(&mut Links)) {
        self.0.links.send_modify(change);
    }

    /// Tells of changes.
    pub fn changes(&self) -> watch::Receiver<Links> {
        self.0.links.subscribe()
    }

    /// Waits until they are so.
    pub async fn until(&self, so: impl Fn(&Links) -> bool) {
        // The sender lives as long as this.
        let _ = self.changes().wait_for(|links| so(links)).await;
    }

    /// Where a part is.
    pub fn at(&self, part: Part) -> Option<SocketAddr> {
        self.0.at.lock().unwrap_or_else(PoisonError::into_inner).get(&part).copied()
    }

    /// A part is there from now on.
    pub fn place(&self, part: Part, at: SocketAddr) {
        self.0.at.lock().unwrap_or_else(PoisonError::into_inner).insert(part, at);
    }

    /// What draws are drawn from.
    pub fn seed(&self) -> u64 {
        self.0.seed
    }

    /// The time since they were there.
    pub fn elapsed(&self) -> Duration {
        self.0.began.elapsed()
    }
}
