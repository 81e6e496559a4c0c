//! What a list of servers changed, as the log tells it.

use std::net::SocketAddr;

use crate::api::{Health, ListKind};

/// The most servers of one kind that are named in a line of the log.
const MAX_NAMED: usize = 16;

/// Servers to which the same happened: how many, and the addresses of the first.
#[derive(Debug, Default)]
pub(super) struct ChangedServers {
    count: usize,
    addresses: Vec<SocketAddr>,
}

impl ChangedServers {
    fn push(&mut self, address: SocketAddr) {
        self.count += 1;
        if self.addresses.len() < MAX_NAMED {
            self.addresses.push(address);
        }
    }
}

/// The changes that one list made.
#[derive(Debug, Default)]
pub(super) struct EndpointChanges {
    added: ChangedServers,
    draining: ChangedServers,
    ready: ChangedServers,
    removed: ChangedServers,
}

impl EndpointChanges {
    /// Notes a listed server, and what its health was before, if it was listed.
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

    /// Notes a server that is not listed any more.
    pub(super) fn record_removed(&mut self, address: SocketAddr) {
        self.removed.push(address);
    }

    /// Logs the changes, if there are any.
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
