//! The state of the network: hosts, links, connections, listeners and UDP sockets.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::task::Waker;

use rustc_hash::FxHashMap;

use crate::connection::{Connection, ConnectionId, Endpoint, EndpointState};
use crate::host::{EventLoop, Host, HostId};
use crate::link::Link;

/// Counters of network events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NetworkStats {
    /// Connections that were established.
    pub connections_established: u64,
    /// Connections that were refused.
    pub connections_refused: u64,
    /// SYNs that were dropped in transit or by an unreachable host. Those that a full backlog drops do not count.
    pub syns_dropped: u64,
    /// Resets that were sent by an end or injected at both ends.
    pub resets: u64,
    /// Bytes that were written to connections.
    pub bytes_written: u64,
    /// Reads and writes that transferred only part of the bytes.
    pub partial_io: u64,
    /// Segments and datagrams that were delayed by a retransmission.
    pub segments_lost: u64,
    /// Resets that overtook bytes in flight.
    pub resets_reordered: u64,
    /// Bytes that were sent into blackholed connections. Those in flight when the blackhole began do not count.
    pub bytes_blackholed: u64,
    /// Datagrams that were lost.
    pub datagrams_lost: u64,
}

/// The state of a listening socket.
pub(crate) struct ListenerState {
    pub(crate) host: HostId,
    /// Established connections that have not been accepted yet.
    pub(crate) backlog: VecDeque<ConnectionId>,
    pub(crate) backlog_limit: usize,
    pub(crate) accept_waker: Option<Waker>,
    /// Whether the listener became readable while the host was held up, and the event loop has not reported it yet.
    pub(crate) unreported: bool,
}

/// The state of a UDP socket.
pub(crate) struct UdpState {
    pub(crate) host: HostId,
    /// Unread datagrams, with their senders.
    pub(crate) queue: VecDeque<(SocketAddr, Vec<u8>)>,
    pub(crate) read_waker: Option<Waker>,
}

/// The state of the network.
#[derive(Default)]
pub(crate) struct Network {
    pub(crate) hosts: Vec<Host>,
    /// The number of hosts that are held up. Kept as a counter, because it is read before each step.
    held_up_hosts: usize,
    pub(crate) connections: FxHashMap<ConnectionId, Connection>,
    last_connection: u64,
    pub(crate) listeners: FxHashMap<SocketAddr, ListenerState>,
    pub(crate) udp_sockets: FxHashMap<SocketAddr, UdpState>,
    links: FxHashMap<(HostId, HostId), Link>,
    default_link: Link,
    pub(crate) stats: NetworkStats,
}

impl Network {
    pub(crate) fn add_host(&mut self, ip: IpAddr) -> HostId {
        self.hosts.push(Host::new(ip));
        HostId(self.hosts.len() - 1)
    }

    pub(crate) fn host_mut(&mut self, host: HostId) -> &mut Host {
        &mut self.hosts[host.0]
    }

    pub(crate) fn host_with_ip(&self, ip: IpAddr) -> Option<HostId> {
        self.hosts.iter().position(|host| host.ip == ip).map(HostId)
    }

    pub(crate) fn is_any_host_held_up(&self) -> bool {
        self.held_up_hosts > 0
    }

    /// Sets the state of a host's event loop, and updates the number of hosts that are held up.
    pub(crate) fn set_event_loop(&mut self, host: HostId, event_loop: EventLoop) {
        let host = self.host_mut(host);
        let was_held_up = host.is_held_up();
        host.event_loop = event_loop;
        let is_held_up = host.is_held_up();
        self.held_up_hosts += usize::from(is_held_up);
        self.held_up_hosts -= usize::from(was_held_up);
    }

    /// Wakes the tasks of a host for all input that has arrived.
    pub(crate) fn report_input(&mut self, host: HostId) {
        for listener in self.listeners.values_mut().filter(|listener| listener.host == host) {
            listener.unreported = false;
            wake(listener.accept_waker.take());
        }
        for socket in self.udp_sockets.values_mut().filter(|socket| socket.host == host) {
            wake(socket.read_waker.take());
        }
        let mut ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            if connection.hosts(Endpoint::Client).0 == host {
                wake(connection.connect_waker.take());
            }
            let endpoints = connection.endpoints_mut().iter_mut();
            endpoints.filter(|endpoint| endpoint.host == host).for_each(EndpointState::report);
        }
    }

    pub(crate) fn link(&self, from: HostId, to: HostId) -> &Link {
        self.links.get(&(from, to)).unwrap_or(&self.default_link)
    }

    pub(crate) fn link_mut(&mut self, from: HostId, to: HostId) -> &mut Link {
        let default_link = &self.default_link;
        self.links.entry((from, to)).or_insert_with(|| default_link.clone())
    }

    pub(crate) fn add_connection(&mut self, connection: Connection) -> ConnectionId {
        self.last_connection += 1;
        let id = ConnectionId(self.last_connection);
        self.connections.insert(id, connection);
        id
    }

    /// Removes a connection if neither end is owned and nothing is in flight.
    pub(crate) fn remove_if_finished(&mut self, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(Connection::is_finished) {
            self.connections.remove(&id);
        }
    }

    /// Closes the listeners and the UDP sockets of a host.
    pub(crate) fn close_listeners(&mut self, host: HostId) {
        self.listeners.retain(|_, listener| listener.host != host);
        self.udp_sockets.retain(|_, socket| socket.host != host);
    }

    /// Returns the connections between two hosts, oldest first.
    pub(crate) fn connections_between(&self, a: HostId, b: HostId) -> Vec<ConnectionId> {
        let between = self.connections.iter().filter(|(_, connection)| connection.is_between(a, b));
        let mut ids: Vec<ConnectionId> = between.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Drops everything that is or will be in flight on the existing connections between two hosts. Returns
    /// the number of these connections.
    pub(crate) fn blackhole_connections(&mut self, a: HostId, b: HostId) -> usize {
        let ids = self.connections_between(a, b);
        for id in &ids {
            let Some(connection) = self.connections.get_mut(id) else { continue };
            for endpoint in connection.endpoints_mut() {
                endpoint.blackholed = true;
                endpoint.in_flight.clear();
            }
        }
        ids.len()
    }
}

fn wake(waker: Option<Waker>) {
    if let Some(waker) = waker {
        waker.wake();
    }
}
