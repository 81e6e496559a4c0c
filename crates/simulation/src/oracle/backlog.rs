//! Tracks connections that wait to be accepted by a sidecar, and those that a sidecar is establishing.

use std::collections::BTreeSet;
use std::time::Duration;

use rustc_hash::FxHashMap;
use simnet::ConnectionId;

/// The connections that wait to be accepted by one sidecar.
#[derive(Debug, Default)]
struct Backlog {
    waiting: BTreeSet<ConnectionId>,
    /// When an accept last left the backlog empty. The sidecar cannot see when a connection arrived, so it has to
    /// assume that one it accepts has waited since then.
    emptied_at: Duration,
}

/// The connections that wait to be accepted by each sidecar.
#[derive(Debug, Default)]
pub(super) struct Backlogs {
    by_sidecar: FxHashMap<usize, Backlog>,
}

impl Backlogs {
    /// Adds a client's connection that was established.
    pub(super) fn push(&mut self, sidecar: usize, connection: ConnectionId) {
        self.by_sidecar.entry(sidecar).or_default().waiting.insert(connection);
    }

    /// Removes a connection that a sidecar has accepted. Returns the longest time that it can have waited, as far as
    /// the sidecar knows.
    pub(super) fn accept(
        &mut self,
        now: Duration,
        sidecar: usize,
        connection: ConnectionId,
    ) -> Duration {
        let backlog = self.by_sidecar.entry(sidecar).or_default();
        backlog.waiting.remove(&connection);
        let assumed_wait = now - backlog.emptied_at;
        if backlog.waiting.is_empty() {
            backlog.emptied_at = now;
        }
        assumed_wait
    }

    /// Removes a connection that its client has closed.
    pub(super) fn remove(&mut self, connection: ConnectionId) {
        for backlog in self.by_sidecar.values_mut() {
            backlog.waiting.remove(&connection);
        }
    }

    /// Removes all connections to a sidecar.
    pub(super) fn forget_sidecar(&mut self, sidecar: usize) {
        self.by_sidecar.remove(&sidecar);
    }
}

/// The connections that sidecars are establishing.
#[derive(Debug, Default)]
pub(super) struct PendingConnects {
    /// The sidecar that establishes each connection.
    pending: FxHashMap<ConnectionId, usize>,
    /// When a connection attempt of each sidecar last finished, successfully or not.
    last_finished: FxHashMap<usize, Duration>,
}

impl PendingConnects {
    /// Adds a connection that a sidecar begins to establish.
    pub(super) fn start(&mut self, sidecar: usize, connection: ConnectionId) {
        self.pending.insert(connection, sidecar);
    }

    /// Removes a connection that is established, refused or given up.
    pub(super) fn finish(&mut self, now: Duration, connection: ConnectionId) {
        if let Some(sidecar) = self.pending.remove(&connection) {
            self.last_finished.insert(sidecar, now);
        }
    }

    /// Whether a sidecar is establishing a connection.
    pub(super) fn is_connecting(&self, sidecar: usize) -> bool {
        self.pending.values().any(|by| *by == sidecar)
    }

    /// When a connection attempt of a sidecar last finished; zero if none has.
    pub(super) fn last_finished(&self, sidecar: usize) -> Duration {
        self.last_finished.get(&sidecar).copied().unwrap_or_default()
    }
}
