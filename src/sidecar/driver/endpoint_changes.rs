//! Changes made by an endpoint list, for the log.

use std::net::SocketAddr;

use crate::api::{Health, ListKind};

/// The maximum number of addresses per kind of change in a log line.
const MAX_LOGGED_ADDRESSES: usize = 16;

/// Servers with the same kind of change: their number, and the addresses of the first [`MAX_LOGGED_ADDRESSES`].
#[derive(Debug, Default)]
pub(super) struct ChangedServers {
    count: usize,
    addresses: Vec<SocketAddr>,
}

impl ChangedServers {
    fn push(&mut self, address: SocketAddr) {
        self.count += 1;
        if self.addresses.len() < MAX_LOGGED_ADDRESSES {
            self.addresses.push(address);
        }
    }
}

/// The changes made by one list.
#[derive(Debug, Default)]
pub(super) struct EndpointChanges {
    added: ChangedServers,
    draining: ChangedServers,
    ready: ChangedServers,
    removed: ChangedServers,
}

impl EndpointChanges {
    /// Records a listed server. `before` is its previous health, or `None` if it was not listed.
    pub(super) fn record_listed(
        &mut self,
        address: SocketAddr,
        before: Option<Health>,
        now: Health,
    ) {
        match (before, now) {
            (None, _) => self.added.push(address),
            (Some(Health::Ready), Health::Draining) => self.draining.push(address),
            (Some(Health::Draining), Health::Ready) => self.ready.push(address),
            (Some(_), _) => {}
        }
    }

    /// Records a server that is no longer listed.
    pub(super) fn record_removed(&mut self, address: SocketAddr) {
        self.removed.push(address);
    }

    /// Logs the changes, if any.
    pub(super) fn log(&self, kind: ListKind, version: u64, listed: usize) {
        let EndpointChanges { added, draining, ready, removed } = self;
        if added.count + draining.count + ready.count + removed.count == 0 {
            return;
        }
        tracing::info!(
            version,
            ?kind,
            listed,
            added = added.count,
            draining = draining.count,
            ready = ready.count,
            removed = removed.count,
            added_addresses = ?added.addresses,
            draining_addresses = ?draining.addresses,
            ready_addresses = ?ready.addresses,
            removed_addresses = ?removed.addresses,
            "endpoint list changed"
        );
    }
}
