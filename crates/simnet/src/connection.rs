//! The state of a TCP connection: two endpoints, each with a queue of segments in flight to it.

use std::collections::VecDeque;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::task::Waker;
use std::time::Duration;

use crate::HostId;

/// Identifies a connection of a world; the same at both ends.
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
    /// The end that opened it.
    Client,
    /// The end that accepts it.
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

/// What one endpoint sends to the other.
pub(crate) enum Segment {
    Data(Vec<u8>),
    Fin,
    Reset,
}

impl Segment {
    /// The bytes of data.
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
    /// Whether a process owns it, or a listener's backlog holds it.
    pub(crate) owned: bool,
    /// Whether the sending direction is shut down.
    pub(crate) write_shutdown: bool,
    /// What has arrived and was not read yet.
    pub(crate) receive_buffer: VecDeque<u8>,
    pub(crate) fin_received: bool,
    pub(crate) error: Option<ErrorKind>,
    /// What is on its way to this end, with the time of its arrival.
    pub(crate) in_flight: VecDeque<(Duration, Segment)>,
    /// How many bytes this end has sent that its peer has not read.
    pub(crate) unread_by_peer: usize,
    /// When the last segment that this end sent arrives.
    pub(crate) last_arrival: Duration,
    pub(crate) read_waker: Option<Waker>,
    pub(crate) write_waker: Option<Waker>,
    /// It became readable while its host was held up, and the event loop has not told its task.
    pub(crate) unreported: bool,
    pub(crate) reset_on_close: bool,
    /// Whether everything that this end sends is lost.
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

    /// Notes that input, an end or an error arrives, and tells the task if the host's event loop does.
    pub(crate) fn input_arrives(&mut self, reported: bool, arrival: impl FnOnce(&mut Self)) {
        let was_readable = self.is_readable();
        arrival(self);
        if reported {
            self.wake_reader();
        } else if !was_readable {
            self.unreported = true;
        }
    }

    /// Whether its task can read: the event loop has told it of something.
    pub(crate) fn is_reported_readable(&self) -> bool {
        self.is_readable() && !self.unreported
    }

    /// Tells the tasks of what has happened meanwhile.
    pub(crate) fn report(&mut self) {
        self.unreported = false;
        if self.is_readable() {
            self.wake_reader();
        }
        self.wake_writer();
    }

    /// Whether bytes have arrived that were not read.
    pub(crate) fn has_unread(&self) -> bool {
        !self.receive_buffer.is_empty()
    }

    /// Whether a read would return at once.
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

    /// Wakes whoever waits to read, then whoever waits to write.
    pub(crate) fn wake_all(&mut self) {
        self.wake_reader();
        self.wake_writer();
    }
}

/// How far the opening of a connection has come, as its client knows it.
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
    /// Wakes the task that opens the connection.
    pub(crate) connect_waker: Option<Waker>,
}

impl Connection {
    /// A connection that is being opened: its client end is owned by a process.
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

    /// The hosts of an endpoint and of its peer.
    pub(crate) fn hosts(&self, endpoint: Endpoint) -> (HostId, HostId) {
        (self.endpoint(endpoint).host, self.endpoint(endpoint.peer()).host)
    }

    pub(crate) fn is_between(&self, a: HostId, b: HostId) -> bool {
        let hosts = self.hosts(Endpoint::Client);
        hosts == (a, b) || hosts == (b, a)
    }

    /// Whether no process owns it and nothing is in flight.
    pub(crate) fn is_finished(&self) -> bool {
        self.endpoints.iter().all(|endpoint| !endpoint.owned && endpoint.in_flight.is_empty())
    }
}
