//! The transmission of segments and datagrams: sending, delay, loss and delivery.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use crate::connection::{ConnectionId, Endpoint, Handshake, Segment};
use crate::host::HostId;
use crate::network_event::NetworkEvent;
use crate::state::{WorldState, draw_bool, draw_duration};
use crate::trace::TraceKind;

/// The time after which a lost segment, or one held back by a partition, is sent again.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// The time after which an unanswered SYN is sent again. It doubles with each attempt.
const SYN_RETRY_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of doublings of the timeout of a SYN.
const MAX_SYN_TIMEOUT_DOUBLINGS: u32 = 5;
/// The maximum number of unread datagrams of a socket. Further ones are dropped.
const UDP_QUEUE_LIMIT: usize = 64;

impl WorldState {
    /// Draws the latency of a segment or datagram of `size` bytes from one host to another.
    pub(crate) fn draw_latency(&mut self, from: HostId, to: HostId, size: usize) -> Duration {
        let link = self.network.link(from, to);
        let segment_loss = link.segment_loss;
        let transmission = link.per_byte * size as u32;
        let mut latency = transmission + draw_duration(&mut self.rng, &link.latency);
        if draw_bool(&mut self.rng, segment_loss) {
            self.network.stats.segments_lost += 1;
            latency += RETRANSMISSION_TIMEOUT;
        }
        latency
    }

    /// Sends a segment from an endpoint of a connection to its peer.
    pub(crate) fn send(&mut self, id: ConnectionId, from: Endpoint, segment: Segment) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let (sender, receiver) = connection.hosts(from);
        let size = segment.data().len();
        let latency = self.draw_latency(sender, receiver, size);
        let overtakes = matches!(segment, Segment::Reset) && {
            let probability = self.network.link(sender, receiver).reset_overtakes;
            draw_bool(&mut self.rng, probability)
        };
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        if connection.endpoint(from).blackholed {
            self.network.stats.bytes_blackholed += size as u64;
            return;
        }
        let to = from.peer();
        if overtakes && !connection.endpoint(to).in_flight.is_empty() {
            connection.endpoint_mut(to).in_flight.clear();
            connection.endpoint_mut(from).last_arrival = Duration::ZERO;
            self.network.stats.resets_reordered += 1;
        }
        let arrival = (self.now + latency).max(connection.endpoint(from).last_arrival);
        connection.endpoint_mut(from).last_arrival = arrival;
        connection.endpoint_mut(to).in_flight.push_back((arrival, segment));
        let delay = arrival - self.now;
        self.schedule_network(delay, NetworkEvent::SegmentsArrive { connection: id, to });
    }

    /// Processes an event of the network.
    pub(crate) fn deliver(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Syn { connection, attempt } => self.deliver_syn(connection, attempt),
            NetworkEvent::SynAnswer { connection, accepted } => {
                self.deliver_syn_answer(connection, accepted);
            }
            NetworkEvent::SegmentsArrive { connection, to } => {
                self.deliver_segments(connection, to);
            }
            NetworkEvent::Datagram { from, to, data } => self.deliver_datagram(from, to, data),
        }
    }

    fn deliver_syn(&mut self, id: ConnectionId, attempt: u32) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let (from, to) = connection.hosts(Endpoint::Client);
        let address = connection.endpoint(Endpoint::Server).address;
        let link = self.network.link(from, to);
        let (partitioned, syn_dropped) = (link.partitioned, link.syn_dropped);
        let syn_refused = link.syn_refused;
        let dropped = attempt == 0 && draw_bool(&mut self.rng, syn_dropped);
        if dropped || partitioned || !self.network.host_mut(to).reachable {
            self.network.stats.syns_dropped += 1;
            // A connection whose SYN is dropped by the link's probability is never established, as if the link
            // dropped all its retries, too.
            if !dropped {
                self.retry_syn(id, attempt);
            }
            return;
        }
        let refused = draw_bool(&mut self.rng, syn_refused);
        let listener = self.network.listeners.get_mut(&address).filter(|_| !refused);
        let accepted = match listener {
            Some(listener) if listener.backlog.len() >= listener.backlog_limit => {
                return self.retry_syn(id, attempt);
            }
            Some(listener) => {
                let reported = self.network.hosts[to.0].reports_input();
                listener.unreported |= !reported && listener.backlog.is_empty();
                listener.backlog.push_back(id);
                if reported && let Some(waker) = listener.accept_waker.take() {
                    waker.wake();
                }
                self.network.stats.connections_established += 1;
                true
            }
            None => {
                self.network.stats.connections_refused += 1;
                false
            }
        };
        if accepted && let Some(connection) = self.network.connections.get_mut(&id) {
            connection.endpoint_mut(Endpoint::Server).owned = true;
        }
        let latency = self.draw_latency(to, from, 0);
        self.schedule_network(latency, NetworkEvent::SynAnswer { connection: id, accepted });
    }

    fn retry_syn(&mut self, connection: ConnectionId, attempt: u32) {
        let timeout = SYN_RETRY_TIMEOUT * (1 << attempt.min(MAX_SYN_TIMEOUT_DOUBLINGS));
        self.schedule_network(timeout, NetworkEvent::Syn { connection, attempt: attempt + 1 });
    }

    fn deliver_syn_answer(&mut self, id: ConnectionId, accepted: bool) {
        let subject = id.0 << 1 | u64::from(accepted);
        self.trace.record(self.now, TraceKind::SynAnswer, subject, &[]);
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        connection.handshake = if accepted { Handshake::Accepted } else { Handshake::Refused };
        let (client, _) = connection.hosts(Endpoint::Client);
        if self.network.hosts[client.0].reports_input()
            && let Some(waker) = connection.connect_waker.take()
        {
            waker.wake();
        }
    }

    fn deliver_datagram(&mut self, from: SocketAddr, to: SocketAddr, data: Vec<u8>) {
        self.trace.record(self.now, TraceKind::Datagram, data.len() as u64, &[]);
        if let Some(socket) = self.network.udp_sockets.get_mut(&to)
            && socket.queue.len() < UDP_QUEUE_LIMIT
        {
            socket.queue.push_back((from, data));
            if self.network.hosts[socket.host.0].reports_input()
                && let Some(waker) = socket.read_waker.take()
            {
                waker.wake();
            }
        }
    }

    /// Delivers the segments that have arrived at an endpoint by now. During a partition, tries again after
    /// [`RETRANSMISSION_TIMEOUT`].
    fn deliver_segments(&mut self, id: ConnectionId, to: Endpoint) {
        let Some(connection) = self.network.connections.get(&id) else { return };
        let (receiver, sender) = connection.hosts(to);
        if self.network.link(sender, receiver).partitioned {
            let event = NetworkEvent::SegmentsArrive { connection: id, to };
            return self.schedule_network(RETRANSMISSION_TIMEOUT, event);
        }
        let reachable = self.network.host_mut(receiver).reachable;
        while let Some(segment) = self.take_arrived_segment(id, to) {
            let kind = match &segment {
                Segment::Data(_) => TraceKind::Data,
                Segment::Fin => TraceKind::Fin,
                Segment::Reset => TraceKind::Reset,
            };
            let subject = id.0 << 1 | to.index() as u64;
            self.trace.record(self.now, kind, subject, segment.data());
            if reachable {
                self.receive(id, to, segment);
            }
        }
        self.network.remove_if_finished(id);
    }

    fn take_arrived_segment(&mut self, id: ConnectionId, to: Endpoint) -> Option<Segment> {
        let now = self.now;
        let in_flight = &mut self.network.connections.get_mut(&id)?.endpoint_mut(to).in_flight;
        let arrived = in_flight.front().is_some_and(|(arrival, _)| *arrival <= now);
        if !arrived {
            return None;
        }
        in_flight.pop_front().map(|(_, segment)| segment)
    }

    fn receive(&mut self, id: ConnectionId, to: Endpoint, segment: Segment) {
        let Some(connection) = self.network.connections.get_mut(&id) else { return };
        let endpoint = connection.endpoint_mut(to);
        let reported = self.network.hosts[endpoint.host.0].reports_input();
        match segment {
            Segment::Data(_) if !endpoint.owned => {
                // No process owns this end, so the host answers with a reset.
                if !endpoint.blackholed && endpoint.error.is_none() {
                    endpoint.error = Some(ErrorKind::ConnectionReset);
                    self.network.stats.resets += 1;
                    self.send(id, to, Segment::Reset);
                }
            }
            Segment::Data(bytes) => {
                endpoint.input_arrives(reported, |endpoint| endpoint.receive_buffer.extend(bytes));
            }
            Segment::Fin => {
                endpoint.input_arrives(reported, |endpoint| endpoint.fin_received = true);
            }
            Segment::Reset => {
                let error = Some(ErrorKind::ConnectionReset);
                endpoint.input_arrives(reported, |endpoint| endpoint.error = error);
                if reported {
                    endpoint.wake_writer();
                }
            }
        }
    }

    /// Resets every `nth` connection between two hosts at both ends. Returns the number of resets.
    pub(crate) fn reset_connections(&mut self, a: HostId, b: HostId, nth: usize) -> usize {
        let ids = self.network.connections_between(a, b);
        let mut reset_count = 0;
        for id in ids.into_iter().step_by(nth.max(1)) {
            if let Some(connection) = self.network.connections.get_mut(&id) {
                for endpoint in connection.endpoints_mut() {
                    endpoint.error.get_or_insert(ErrorKind::ConnectionReset);
                    endpoint.in_flight.clear();
                    endpoint.wake_all();
                }
                self.network.stats.resets += 1;
                self.trace.record(self.now, TraceKind::InjectedReset, id.0, &[]);
                reset_count += 1;
            }
            self.network.remove_if_finished(id);
        }
        reset_count
    }
}
