//! The endpoint table: the servers listed by discovery, and those drained by operators.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use runtime::Runtime;
use rustc_hash::{FxHashMap, FxHashSet};

use super::Driver;
use super::endpoint_changes::EndpointChanges;
use crate::api::{Event, Health, ListKind, ServerEntry, ServerId};
use crate::sidecar::config::{Endpoint, EndpointList, ProtocolNames};

/// A server listed by discovery.
pub(super) struct KnownServer {
    pub(super) address: SocketAddr,
    entry: ServerEntry,
    /// Whether the server accepts new requests at this address, as reported to the balancer. Shared with attempts in
    /// flight.
    pub(super) ready: Rc<Cell<bool>>,
}

/// Numbers of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Number of servers listed by discovery.
    pub listed: usize,
    /// Number of listed servers that are drained by operators or ejected as outliers.
    pub ejected: usize,
}

/// The listed servers, and operators' drains.
#[derive(Default)]
pub(super) struct EndpointTable {
    servers: FxHashMap<ServerId, KnownServer>,
    /// Servers drained by operators, independently of discovery.
    drained_by_operator: FxHashSet<ServerId>,
    /// Whether any server was ever listed.
    ever_listed: bool,
    /// Number of servers of the last list that were ignored for lack of room.
    ignored: usize,
}

impl EndpointTable {
    /// Returns the server, if it is listed.
    pub(super) fn get(&self, server: ServerId) -> Option<&KnownServer> {
        self.servers.get(&server)
    }

    /// Returns the address of the server, if it is listed.
    pub(super) fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|known| known.address)
    }

    /// Returns the entry to report to the balancer, with operators' drains applied. Updates the readiness seen by
    /// attempts in flight.
    fn effective_entry(&self, mut entry: ServerEntry) -> ServerEntry {
        if entry.health == Health::Ready && self.drained_by_operator.contains(&entry.id) {
            entry.health = Health::Draining;
        }
        if let Some(known) = self.servers.get(&entry.id) {
            known.ready.set(entry.health == Health::Ready);
        }
        entry
    }

    /// Applies a list, up to a total of `max_servers` servers: known ones first, then those that accept new requests.
    ///
    /// Returns the ignored servers and the changes. Calls `close_idle` for each server whose idle connections must not
    /// be used any more.
    fn apply<S: AsRef<str>>(
        &mut self,
        kind: ListKind,
        list: &EndpointList<S>,
        names: &ProtocolNames,
        max_servers: usize,
        close_idle: impl Fn(ServerId),
    ) -> (FxHashSet<ServerId>, EndpointChanges) {
        let mut previous = match kind {
            ListKind::Delta => FxHashMap::default(),
            _ => std::mem::take(&mut self.servers),
        };
        // Servers without room so far. Later entries of the list may remove others and make room.
        let mut deferred: Vec<(ServerId, &Endpoint<S>)> = Vec::new();
        let mut changes = EndpointChanges::default();
        for endpoint in &list.endpoints {
            let server = endpoint.id();
            let old_address = match endpoint.address.filter(|_| endpoint.is_listed()) {
                Some(_) if self.has_no_room(&previous, server, max_servers) => {
                    deferred.push((server, endpoint));
                    continue;
                }
                Some(address) => {
                    let entry = names.server_entry(endpoint);
                    self.insert(address, entry, &mut previous, &mut changes)
                }
                None => {
                    deferred.retain(|(deferred, _)| *deferred != server);
                    self.remove(server, &mut changes)
                }
            };
            let moved = old_address.is_some_and(|address| Some(address) != endpoint.address);
            if moved || !endpoint.is_active() {
                close_idle(server);
            }
        }
        for (&server, gone) in &previous {
            gone.ready.set(false);
            changes.record_removed(gone.address);
            close_idle(server);
        }
        self.ever_listed |= !list.endpoints.is_empty();
        let ignored = self.insert_deferred(deferred, names, max_servers, &mut changes);
        (ignored, changes)
    }

    /// Adds servers as long as there is room. Returns those that were ignored.
    fn insert_deferred<S: AsRef<str>>(
        &mut self,
        deferred: Vec<(ServerId, &Endpoint<S>)>,
        names: &ProtocolNames,
        max_servers: usize,
        changes: &mut EndpointChanges,
    ) -> FxHashSet<ServerId> {
        let mut ignored = FxHashSet::default();
        let mut no_previous = FxHashMap::default();
        let (active, others): (Vec<_>, Vec<_>) =
            deferred.into_iter().partition(|(_, endpoint)| endpoint.is_active());
        for (server, endpoint) in active.into_iter().chain(others) {
            let Some(address) = endpoint.address else { continue };
            if self.has_no_room(&no_previous, server, max_servers) {
                ignored.insert(server);
                continue;
            }
            let entry = names.server_entry(endpoint);
            self.insert(address, entry, &mut no_previous, changes);
        }
        ignored
    }

    /// Returns whether `server` is unknown and would exceed `max_servers`.
    ///
    /// A known server always has room, as it must stay known while it is used. Servers beyond the limit have never been
    /// used.
    fn has_no_room(
        &self,
        previous: &FxHashMap<ServerId, KnownServer>,
        server: ServerId,
        max_servers: usize,
    ) -> bool {
        self.servers.len() + previous.len() >= max_servers
            && !self.servers.contains_key(&server)
            && !previous.contains_key(&server)
    }

    /// Adds or replaces a server. Returns its previous address, if it was known.
    fn insert(
        &mut self,
        address: SocketAddr,
        entry: ServerEntry,
        previous: &mut FxHashMap<ServerId, KnownServer>,
        changes: &mut EndpointChanges,
    ) -> Option<SocketAddr> {
        let server = entry.id;
        let old = self.servers.remove(&server).or_else(|| previous.remove(&server));
        changes.record_listed(address, old.as_ref().map(|old| old.entry.health), entry.health);
        // Attempts that wait for a connection to a previous address must not be sent there, as it may belong to
        // another server by now.
        let ready = match &old {
            Some(old) if old.address == address => old.ready.clone(),
            Some(old) => {
                old.ready.set(false);
                Rc::default()
            }
            None => Rc::default(),
        };
        self.servers.insert(server, KnownServer { address, entry, ready });
        old.map(|old| old.address)
    }

    /// Removes a server. Returns its previous address, if it was known.
    fn remove(&mut self, server: ServerId, changes: &mut EndpointChanges) -> Option<SocketAddr> {
        let old = self.servers.remove(&server)?;
        old.ready.set(false);
        changes.record_removed(old.address);
        Some(old.address)
    }

    /// Replaces the set of servers drained by operators. Returns the entries to report to the balancer for the listed
    /// servers that this affects.
    fn set_drained_by_operator(&mut self, drained: FxHashSet<ServerId>) -> Vec<ServerEntry> {
        let before = std::mem::replace(&mut self.drained_by_operator, drained);
        let changed = before.symmetric_difference(&self.drained_by_operator);
        let listed = changed.filter_map(|server| self.servers.get(server));
        listed.map(|known| self.effective_entry(known.entry.clone())).collect()
    }
}

impl<P: Runtime> Driver<P> {
    /// Applies an endpoint list and reports it to the balancer.
    ///
    /// Addresses are kept only for listed servers, as new servers may keep appearing. Idle connections to a server that
    /// gets no further requests are closed at once.
    pub fn update_endpoints<S: AsRef<str>>(
        self: &Rc<Driver<P>>,
        kind: ListKind,
        list: &EndpointList<S>,
    ) {
        let names = self.live.names();
        let max_servers = self.live.max_servers();
        let entries: Vec<_> = {
            let mut state = self.state.borrow_mut();
            let endpoints = &mut state.endpoints;
            let close_idle = |server| self.upstream.close_idle(server);
            let (ignored, changes) = endpoints.apply(kind, list, &names, max_servers, close_idle);
            changes.log(kind, list.version, endpoints.servers.len());
            self.upstream.set_known_servers(endpoints.servers.len());
            if !ignored.is_empty() {
                self.status.count_oversized_list();
                if endpoints.ignored != ignored.len() {
                    tracing::error!(
                        listed = list.endpoints.len(),
                        most = max_servers,
                        passed_over = ignored.len(),
                        "ignoring servers beyond the number that limits.memory_mb allows"
                    );
                }
            }
            endpoints.ignored = ignored.len();
            let taken = list.endpoints.iter().filter(|endpoint| !ignored.contains(&endpoint.id()));
            taken.map(|endpoint| endpoints.effective_entry(names.server_entry(endpoint))).collect()
        };
        self.handle_event(Event::EndpointUpdate { kind, entries: &entries });
    }

    /// Sets the servers drained by operators. All others are restored to the state that discovery lists.
    ///
    /// A drained server is reported to the balancer as draining, so the rules for draining servers apply, and idle
    /// connections to it are closed.
    pub fn set_drained_by_operator(self: &Rc<Driver<P>>, drained: impl Iterator<Item = ServerId>) {
        let drained = drained.collect();
        let entries = self.state.borrow_mut().endpoints.set_drained_by_operator(drained);
        for entry in entries.iter().filter(|entry| entry.health != Health::Ready) {
            self.upstream.close_idle(entry.id);
        }
        if !entries.is_empty() {
            self.handle_event(Event::EndpointUpdate { kind: ListKind::Delta, entries: &entries });
        }
    }

    /// Returns whether discovery lists this server.
    pub fn is_listed(&self, server: ServerId) -> bool {
        self.state.borrow().endpoints.servers.contains_key(&server)
    }

    /// Returns the number of listed servers, and of those among them that are drained by operators or ejected.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let state = self.state.borrow();
        let servers = &state.endpoints.servers;
        let ejected = servers.keys().filter(|&&server| {
            state.endpoints.drained_by_operator.contains(&server)
                || state.balancer.is_ejected(server)
        });
        EndpointCounts { listed: servers.len(), ejected: ejected.count() }
    }

    /// Returns whether any server was ever listed.
    pub fn has_endpoints(&self) -> bool {
        self.state.borrow().endpoints.ever_listed
    }
}
