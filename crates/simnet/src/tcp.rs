//! The sockets of simulated TCP connections.

use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::task::{Context, Poll};

use rand::Rng;
use runtime::Tcp;
use tokio::io::ReadBuf;

use crate::connection::{Connection, ConnectionId, Endpoint, EndpointState, Handshake, Segment};
use crate::host::{HostFailure, HostId};
use crate::network_event::NetworkEvent;
use crate::state::{WorldState, current, draw_bool, try_current};
use crate::tap::TapEvent;

/// Opens a connection from the host of the running task.
///
/// # Errors
///
/// Fails if no host has the address, if the host refuses the connection, or if the host of the running task
/// has reached its limit on open sockets.
pub(crate) async fn connect(to: SocketAddr) -> io::Result<SimTcp> {
    let socket = start_connecting(to)?;
    if !poll_fn(|cx| poll_connected(socket.connection, cx)).await {
        return Err(ErrorKind::ConnectionRefused.into());
    }
    let world = current();
    let hosts = {
        let state = world.state.borrow();
        state.network.connections.get(&socket.connection).map(|c| c.hosts(Endpoint::Client))
    };
    if let Some((from, to_host)) = hosts {
        let connection = socket.connection;
        world.notify_tap(&TapEvent::Connected { connection, from, to: to_host, address: to });
    }
    Ok(socket)
}

/// Sends a SYN. Dropping the socket closes the connection, even before it is established.
fn start_connecting(to: SocketAddr) -> io::Result<SimTcp> {
    let world = current();
    let (connection, by) = {
        let mut state = world.state.borrow_mut();
        let from = state.current_host;
        let Some(target) = state.network.host_with_ip(to.ip()) else {
            return Err(ErrorKind::HostUnreachable.into());
        };
        let host = state.network.host_mut(from);
        host.open_socket()?;
        let client = EndpointState::new(from, host.next_local_address());
        let server = EndpointState::new(target, to);
        let connection = state.network.add_connection(Connection::opening(client, server));
        let latency = state.draw_latency(from, target, 0);
        state.schedule_network(latency, NetworkEvent::Syn { connection, attempt: 0 });
        (connection, from)
    };
    world.notify_tap(&TapEvent::Connecting { connection, by });
    Ok(SimTcp::new(connection, Endpoint::Client))
}

/// Waits for the answer to a SYN. Returns whether the connection was accepted.
fn poll_connected(id: ConnectionId, cx: &mut Context<'_>) -> Poll<bool> {
    let world = current();
    let mut state = world.state.borrow_mut();
    let network = &mut state.network;
    let Some(connection) = network.connections.get_mut(&id) else {
        return Poll::Ready(false);
    };
    let (client, _) = connection.hosts(Endpoint::Client);
    match connection.handshake {
        Handshake::Accepted if network.hosts[client.0].reports_input() => Poll::Ready(true),
        Handshake::Refused if network.hosts[client.0].reports_input() => Poll::Ready(false),
        _ => {
            connection.connect_waker = Some(cx.waker().clone());
            Poll::Pending
        }
    }
}

/// A socket: one end of a connection. Dropping it closes that end.
#[derive(Debug)]
pub struct SimTcp {
    connection: ConnectionId,
    endpoint: Endpoint,
}

/// The accepted part of a write.
struct Written {
    /// The number of accepted bytes.
    length: usize,
    from: HostId,
    to: HostId,
}

impl SimTcp {
    pub(crate) fn new(connection: ConnectionId, endpoint: Endpoint) -> SimTcp {
        SimTcp { connection, endpoint }
    }

    /// Returns the id of the connection.
    pub fn id(&self) -> ConnectionId {
        self.connection
    }

    /// Calls `change` with the state of the world and of this connection. Returns `None` if the connection no
    /// longer exists.
    fn with_connection<T>(
        &self,
        change: impl FnOnce(&mut WorldState, &mut Connection) -> T,
    ) -> Option<T> {
        let world = current();
        let mut state = world.state.borrow_mut();
        // The connection is removed from the map in the meantime, so that both can be borrowed mutably.
        let mut connection = state.network.connections.remove(&self.connection)?;
        let value = change(&mut state, &mut connection);
        state.network.connections.insert(self.connection, connection);
        Some(value)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let written = self
            .with_connection(|state, connection| self.reserve_window(state, connection, bytes))
            .unwrap_or_else(|| Err(ErrorKind::ConnectionReset.into()))?;
        let bytes = &bytes[..written.length];
        if !bytes.is_empty() {
            let world = current();
            let segment = Segment::Data(bytes.to_vec());
            world.state.borrow_mut().send(self.connection, self.endpoint, segment);
            let (connection, from, to) = (self.connection, written.from, written.to);
            world.notify_tap(&TapEvent::Sent { connection, from, to, bytes });
        }
        Ok(written.length)
    }

    /// Determines how many of `bytes` are written now, and takes them from the window.
    fn reserve_window(
        &self,
        state: &mut WorldState,
        connection: &mut Connection,
        bytes: &[u8],
    ) -> io::Result<Written> {
        let (from, to) = connection.hosts(self.endpoint);
        let endpoint = connection.endpoint_mut(self.endpoint);
        if let Some(kind) = endpoint.error {
            return Err(kind.into());
        }
        if endpoint.write_shutdown {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let link = state.network.link(from, to);
        let (window, partial_io) = (link.window, link.partial_io);
        let fits = bytes.len().min(window.saturating_sub(endpoint.unread_by_peer));
        if fits == 0 && !bytes.is_empty() {
            return Err(ErrorKind::WouldBlock.into());
        }
        let length = draw_partial_length(state, partial_io, fits);
        endpoint.unread_by_peer += length;
        state.network.stats.bytes_written += length as u64;
        Ok(Written { length, from, to })
    }

    /// Moves bytes from the receive buffer to `buf`, and returns them to the peer's window.
    fn receive(
        &self,
        state: &mut WorldState,
        connection: &mut Connection,
        buf: &mut ReadBuf<'_>,
    ) -> io::Result<usize> {
        let (here, peer) = connection.hosts(self.endpoint);
        let partial_io = state.network.link(peer, here).partial_io;
        let endpoint = connection.endpoint_mut(self.endpoint);
        if endpoint.unreported {
            return Err(ErrorKind::WouldBlock.into());
        }
        if endpoint.receive_buffer.is_empty() {
            return match (endpoint.error, endpoint.fin_received) {
                (Some(kind), _) => Err(kind.into()),
                (None, true) => Ok(0),
                (None, false) => Err(ErrorKind::WouldBlock.into()),
            };
        }
        let available = endpoint.receive_buffer.len().min(buf.remaining());
        let length = draw_partial_length(state, partial_io, available);
        let (first, second) = endpoint.receive_buffer.as_slices();
        let from_first = length.min(first.len());
        buf.put_slice(&first[..from_first]);
        buf.put_slice(&second[..length - from_first]);
        endpoint.receive_buffer.drain(..length);
        let peer = connection.endpoint_mut(self.endpoint.peer());
        peer.unread_by_peer = peer.unread_by_peer.saturating_sub(length);
        peer.wake_writer();
        Ok(length)
    }
}

/// Draws how many of `length` bytes a read or write transfers.
fn draw_partial_length(state: &mut WorldState, probability: f64, length: usize) -> usize {
    if length > 1 && draw_bool(&mut state.rng, probability) {
        state.network.stats.partial_io += 1;
        return state.rng.random_range(1..length);
    }
    length
}

impl Tcp for SimTcp {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ready = self.with_connection(|_, connection| {
            let endpoint = connection.endpoint_mut(self.endpoint);
            let ready = endpoint.is_reported_readable();
            if !ready {
                endpoint.read_waker = Some(cx.waker().clone());
            }
            ready
        });
        if ready.unwrap_or(true) { Poll::Ready(Ok(())) } else { Poll::Pending }
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ready = self.with_connection(|state, connection| {
            let (from, to) = connection.hosts(self.endpoint);
            let window = state.network.link(from, to).window;
            let endpoint = connection.endpoint_mut(self.endpoint);
            let ready = endpoint.unread_by_peer < window
                || endpoint.error.is_some()
                || endpoint.write_shutdown;
            if !ready {
                endpoint.write_waker = Some(cx.waker().clone());
            }
            ready
        });
        if ready.unwrap_or(true) { Poll::Ready(Ok(())) } else { Poll::Pending }
    }

    fn try_read_buf(&self, buf: &mut ReadBuf<'_>) -> io::Result<usize> {
        let filled_before = buf.filled().len();
        let length = self
            .with_connection(|state, connection| self.receive(state, connection, buf))
            .unwrap_or_else(|| Err(ErrorKind::ConnectionReset.into()))?;
        let connection = self.connection;
        let world = current();
        let by = world.state.borrow().current_host;
        if length > 0 {
            let bytes = &buf.filled()[filled_before..];
            world.notify_tap(&TapEvent::Read { connection, by, bytes });
        } else if buf.remaining() > 0 {
            world.notify_tap(&TapEvent::EndRead { connection, by });
        }
        Ok(length)
    }

    fn try_write(&self, buf: &[u8]) -> io::Result<usize> {
        self.write(buf)
    }

    fn try_write_vectored(&self, bufs: &[IoSlice<'_>]) -> io::Result<usize> {
        let joined: Vec<u8> = bufs.iter().flat_map(|buf| buf.iter().copied()).collect();
        self.write(&joined)
    }

    fn set_nodelay(&self) -> io::Result<()> {
        Ok(())
    }

    fn shutdown_write(&self) {
        let shut_down_by = self.with_connection(|_, connection| {
            let endpoint = connection.endpoint_mut(self.endpoint);
            let first = !endpoint.write_shutdown && endpoint.error.is_none();
            endpoint.write_shutdown = true;
            first.then_some((endpoint.host, endpoint.receive_buffer.len()))
        });
        if let Some(Some((by, unread))) = shut_down_by {
            let world = current();
            world.state.borrow_mut().send(self.connection, self.endpoint, Segment::Fin);
            let connection = self.connection;
            world.notify_tap(&TapEvent::WriteShutdown { connection, by, unread });
        }
    }

    fn reset_on_close(&self) {
        self.with_connection(|_, connection| {
            connection.endpoint_mut(self.endpoint).reset_on_close = true;
        });
    }

    fn is_idle(&self) -> bool {
        let idle =
            self.with_connection(|_, connection| !connection.endpoint(self.endpoint).is_readable());
        idle.unwrap_or(false)
    }

    fn has_unread(&self) -> bool {
        let unread =
            self.with_connection(|_, connection| connection.endpoint(self.endpoint).has_unread());
        unread.unwrap_or(false)
    }

    fn unread_bytes(&self) -> Option<u64> {
        let unread = self.with_connection(|_, connection| {
            connection.endpoint(self.endpoint).receive_buffer.len() as u64
        });
        Some(unread.unwrap_or(0))
    }

    fn peer_closed(&self) -> bool {
        let closed = self.with_connection(|_, connection| {
            let endpoint = connection.endpoint(self.endpoint);
            endpoint.fin_received || endpoint.error.is_some()
        });
        closed.unwrap_or(true)
    }
}

/// The result of closing one end of a connection.
struct ClosedEndpoint {
    host: HostId,
    /// Whether the peer is sent a reset.
    reset: bool,
    /// The number of bytes that had arrived and were not read.
    unread: usize,
}

impl WorldState {
    fn close_endpoint(&mut self, id: ConnectionId, from: Endpoint) -> Option<ClosedEndpoint> {
        let connection = self.network.connections.get_mut(&id)?;
        let endpoint = connection.endpoint_mut(from);
        let host_id = endpoint.host;
        let host = &mut self.network.hosts[host_id.0];
        host.close_socket();
        endpoint.owned = false;
        let unread = endpoint.receive_buffer.len();
        let resets = unread > 0 || endpoint.reset_on_close;
        endpoint.receive_buffer.clear();
        let segment = match host.failure {
            Some(HostFailure::Unreachable) => {
                endpoint.blackholed = true;
                None
            }
            _ if endpoint.error.is_some() => None,
            Some(HostFailure::ProcessKilled) => Some(Segment::Reset),
            None if resets => Some(Segment::Reset),
            None if !endpoint.write_shutdown => Some(Segment::Fin),
            None => None,
        };
        let reset = matches!(segment, Some(Segment::Reset));
        if reset {
            endpoint.error = Some(ErrorKind::ConnectionReset);
            self.network.stats.resets += 1;
        }
        endpoint.write_shutdown = true;
        if let Some(segment) = segment {
            self.send(id, from, segment);
        }
        self.network.remove_if_finished(id);
        Some(ClosedEndpoint { host: host_id, reset, unread })
    }
}

impl Drop for SimTcp {
    fn drop(&mut self) {
        let Some(world) = try_current() else { return };
        let closed = world.state.borrow_mut().close_endpoint(self.connection, self.endpoint);
        if let Some(ClosedEndpoint { host, reset, unread }) = closed {
            let connection = self.connection;
            world.notify_tap(&TapEvent::Closed { connection, by: host, reset, unread });
        }
    }
}
