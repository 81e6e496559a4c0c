//! Connections that wait: to be accepted by a sidecar, and to be established by one.

use std::collections::BTreeSet;
use std::time::Duration;

use rustc_hash::FxHashMap;
use simnet::ConnectionId;

/// The connections that wait to be accepted by a sidecar.
#[derive(Debug, Default)]
struct Backlog {
    waiting: BTreeSet<ConnectionId>,
    /// When accepting last left nothing there. For all that the sidecar knows, what it accepts may have
    /// waited since then.
    emptied_at: Duration,
}

/// The connections that wait to be accepted, by sidecar.
#[derive(Debug, Default)]
pub(super) struct Backlogs {
    by_sidecar: FxHashMap<usize, Backlog>,
}

impl Backlogs {
    /// A client's connection was established.
    pub(super) fn push(&mut self, sidecar: usize, connection: ConnectionId) {
        self.by_sidecar.entry(sidecar).or_default().waiting.insert(connection);
    }

    /// A sidecar has accepted a connection. Returns how long it may assume that the connection waited.
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

    /// A client has closed a connection.
    pub(super) fn remove(&mut self, connection: ConnectionId) {
        for backlog in self.by_sidecar.values_mut() {
            backlog.waiting.remove(&connection);
        }
    }

    pub(super) fn forget_sidecar(&mut self, sidecar: usize) {
        self.by_sidecar.remove(&sidecar);
    }
}

/// The connections that sidecars are opening.
#[derive(Debug, Default)]
pub(super) struct PendingConnects {
    /// The sidecar, by connection.
    pending: FxHashMap<ConnectionId, usize>,
    /// When a sidecar last finished opening one, with or without success.
    last_finished: FxHashMap<usize, Duration>,
}

impl PendingConnects {
    pub(super) fn start(&mut self, sidecar: usize, connection: ConnectionId) {
        self.pending.insert(connection, sidecar);
    }

    pub(super) fn finish(&mut self, now: Duration, connection: ConnectionId) {
        if let Some(sidecar) = self.pending.remove(&connection) {
            self.last_finished.insert(sidecar, now);
        }
    }

    /// Whether a sidecar is opening a connection.
    pub(super) fn is_connecting(&self, sidecar: usize) -> bool {
        self.pending.values().any(|by| *by == sidecar)
    }

    pub(super) fn last_finished(&self, sidecar: usize) -> Duration {
        self.last_finished.get(&sidecar).copied().unwrap_or_default()
    }
}
