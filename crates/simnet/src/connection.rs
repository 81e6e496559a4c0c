//! The state of a TCP connection with two endpoints, each with a queue of the segments in flight to it.

use std::collections::VecDeque;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::task::Waker;
use std::time::Duration;

use crate::HostId;

/// Identifies a connection of a world. Both ends have the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub(crate) u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// The end that opens the connection.
    Client,
    /// The end that accepts the connection.
    Server,
}

impl Endpoint {
    pub(crate) fn peer(self) -> Endpoint {
        match self {
            Endpoint::Client => Endpoint::Server,
            Endpoint::Server => Endpoint::Client,
        }
    }

    pub(crate) fn index(self) -> usize {
        match self {
            Endpoint::Client => 0,
            Endpoint::Server => 1,
        }
    }
}

/// A segment that one endpoint sends to the other.
pub(crate) enum Segment {
    Data(Vec<u8>),
    Fin,
    Reset,
}

impl Segment {
    /// Returns the data of the segment; empty for FIN and RST.
    pub(crate) fn data(&self) -> &[u8] {
        match self {
            Segment::Data(bytes) => bytes,
            Segment::Fin | Segment::Reset => &[],
        }
    }
}

/// The state of one end of a connection.
pub(crate) struct EndpointState {
    pub(crate) host: HostId,
    pub(crate) address: SocketAddr,
    /// Whether a process or the backlog of a listener holds this end.
    pub(crate) owned: bool,
    /// Whether the sending direction is shut down.
    pub(crate) write_shutdown: bool,
    /// Bytes that have arrived and were not read yet.
    pub(crate) receive_buffer: VecDeque<u8>,
    pub(crate) fin_received: bool,
    pub(crate) error: Option<ErrorKind>,
    /// Segments in flight to this end, with their arrival times.
    pub(crate) in_flight: VecDeque<(Duration, Segment)>,
    /// The number of bytes that this end has sent and its peer has not read.
    pub(crate) unread_by_peer: usize,
    /// The arrival time of the last segment that this end sent.
    pub(crate) last_arrival: Duration,
    pub(crate) read_waker: Option<Waker>,
    pub(crate) write_waker: Option<Waker>,
    /// Whether this end became readable while its host was held up, and the event loop has not reported it yet.
    pub(crate) unreported: bool,
    pub(crate) reset_on_close: bool,
    /// Whether everything that this end sends is dropped.
    pub(crate) blackholed: bool,
}

impl EndpointState {
    pub(crate) fn new(host: HostId, address: SocketAddr) -> EndpointState {
        EndpointState {
            host,
            address,
            owned: false,
            write_shutdown: false,
            receive_buffer: VecDeque::new(),
            fin_received: false,
            error: None,
            in_flight: VecDeque::new(),
            unread_by_peer: 0,
            last_arrival: Duration::ZERO,
            read_waker: None,
            write_waker: None,
            unreported: false,
            reset_on_close: false,
            blackholed: false,
        }
    }

    /// Applies the arrival of data, FIN or RST. Wakes the reader if `reported`, which is whether the event loop of the
    /// host reports input now.
    pub(crate) fn input_arrives(&mut self, reported: bool, arrival: impl FnOnce(&mut Self)) {
        let was_readable = self.is_readable();
        arrival(self);
        if reported {
            self.wake_reader();
        } else if !was_readable {
            self.unreported = true;
        }
    }

    /// Returns whether this end is readable and the event loop has reported it.
    pub(crate) fn is_reported_readable(&self) -> bool {
        self.is_readable() && !self.unreported
    }

    /// Reports the changes of a hold-up to the tasks: wakes the reader if this end is readable, and the writer.
    pub(crate) fn report(&mut self) {
        self.unreported = false;
        if self.is_readable() {
            self.wake_reader();
        }
        self.wake_writer();
    }

    /// Returns whether unread bytes have arrived.
    pub(crate) fn has_unread(&self) -> bool {
        !self.receive_buffer.is_empty()
    }

    /// Returns whether a read would complete at once, with bytes, the end of the stream or an error.
    pub(crate) fn is_readable(&self) -> bool {
        !self.receive_buffer.is_empty() || self.fin_received || self.error.is_some()
    }

    pub(crate) fn wake_reader(&mut self) {
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
    }

    pub(crate) fn wake_writer(&mut self) {
        if let Some(waker) = self.write_waker.take() {
            waker.wake();
        }
    }

    /// Wakes the reader, then the writer.
    pub(crate) fn wake_all(&mut self) {
        self.wake_reader();
        self.wake_writer();
    }
}

/// The state of the handshake as the client knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Handshake {
    Pending,
    Accepted,
    Refused,
}

/// The state of a connection.
pub(crate) struct Connection {
    endpoints: [EndpointState; 2],
    pub(crate) handshake: Handshake,
    /// The waker of the task that opens the connection.
    pub(crate) connect_waker: Option<Waker>,
}

impl Connection {
    /// Creates a connection that is being opened. Only its client end is owned.
    pub(crate) fn opening(mut client: EndpointState, server: EndpointState) -> Connection {
        client.owned = true;
        let endpoints = [client, server];
        Connection { endpoints, handshake: Handshake::Pending, connect_waker: None }
    }

    pub(crate) fn endpoint(&self, endpoint: Endpoint) -> &EndpointState {
        &self.endpoints[endpoint.index()]
    }

    pub(crate) fn endpoint_mut(&mut self, endpoint: Endpoint) -> &mut EndpointState {
        &mut self.endpoints[endpoint.index()]
    }

    pub(crate) fn endpoints_mut(&mut self) -> &mut [EndpointState; 2] {
        &mut self.endpoints
    }

    /// Returns the hosts of an endpoint and of its peer.
    pub(crate) fn hosts(&self, endpoint: Endpoint) -> (HostId, HostId) {
        (self.endpoint(endpoint).host, self.endpoint(endpoint.peer()).host)
    }

    pub(crate) fn is_between(&self, a: HostId, b: HostId) -> bool {
        let hosts = self.hosts(Endpoint::Client);
        hosts == (a, b) || hosts == (b, a)
    }

    /// Returns whether neither end is owned and nothing is in flight.
    pub(crate) fn is_finished(&self) -> bool {
        self.endpoints.iter().all(|endpoint| !endpoint.owned && endpoint.in_flight.is_empty())
    }
}
