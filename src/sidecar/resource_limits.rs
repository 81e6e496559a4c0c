//! Limits derived from the configured number of sockets and amount of memory: connections, bytes of bodies, servers in
//! an endpoint list and members of a tier.
//!
//! Connections and bodies are planned here by what they take in ordinary use. How many of them may be in use at a time
//! follows from the resident memory ([`super::memory_pressure`]), and is never more than planned.

/// Number of descriptors reserved for purposes other than connections of clients and to servers: standard streams, the
/// event queue and its waker, signals, the listener, discovery (one per call in flight), peers, the memory file, and the configuration
/// file during a reload.
const RESERVED_DESCRIPTORS: usize = 36;
/// The minimum of the connection limit of each side, clients and servers.
const MIN_CONNECTIONS_PER_SIDE: usize = 4;
/// The part of the memory limit that is left for fragmentation: the limit divided by this.
const FRAGMENTATION_DIVISOR: usize = 8;
/// Memory of the process without connections, bodies and servers, in bytes.
const PROCESS_BYTES: usize = 5 << 20;
/// Memory of a client connection in bytes: hyper's buffers, the connection's state and its task.
const CLIENT_CONNECTION_BYTES: usize = 18 << 10;
/// Memory of a connection to a server in bytes, with the request in progress on it.
const SERVER_CONNECTION_BYTES: usize = 32 << 10;
/// Memory of a client's connection and of one to a server together, in bytes.
const CONNECTION_PAIR_BYTES: usize = CLIENT_CONNECTION_BYTES + SERVER_CONNECTION_BYTES;
/// The number of heads that a client's connection and one to a server carry together.
const HEADS_PER_PAIR: usize = 2;
/// Connections may take this fraction of the memory that is left for connections and bodies.
const CONNECTION_FRACTION: Fraction = Fraction { numerator: 3, denominator: 4 };
/// Request bodies get this fraction of the memory of bodies. They are held for the whole request, response bodies only
/// while they are passed on.
const REQUEST_FRACTION: Fraction = Fraction { numerator: 3, denominator: 5 };
/// Upper limit of the memory of all bodies: the memory limit divided by this.
const MAX_BODY_DIVISOR: usize = 3;
/// Memory for each head beside the buffers of connections, in bytes, where no more is left.
const MIN_HEAD_ALLOWANCE: usize = 4 << 10;
/// Lower limit of the memory of all bodies: the memory limit divided by this.
const MIN_BODY_DIVISOR: usize = 16;
/// Maximum memory per server in bytes: its entry while a list is read, and its state in the driver and the balancer.
/// With 4,800 servers these take 0.6 kB per server, and 0.8 kB at the peak (docs/CAPACITY.md).
const BYTES_PER_SERVER: usize = 1 << 10;
/// The number of servers by which the memory reserved for them grows and shrinks.
const SERVER_STEP: usize = 512;
/// The servers of the endpoint list may use the memory limit divided by this.
const SERVER_MEMORY_DIVISOR: usize = 4;
/// The members of the tier may use the memory limit divided by this.
const MEMBER_MEMORY_DIVISOR: usize = 16;
/// Maximum average length of a server's entry in the text of a list, in bytes.
const LIST_BYTES_PER_SERVER: usize = 256;
/// Memory per member of the tier in bytes: its record and its neighbors.
const BYTES_PER_MEMBER: usize = 256;

/// A fraction of an amount of memory.
struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    fn of(&self, bytes: usize) -> usize {
        bytes / self.denominator * self.numerator
    }
}

/// The limits that the configuration sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// The memory that the process may use, in bytes.
    pub memory: usize,
    /// The number of descriptors that the process may open.
    pub sockets: usize,
}

impl ResourceLimits {
    /// Returns the memory for connections and bodies.
    fn traffic_bytes(self) -> usize {
        let reserved = self.memory / FRAGMENTATION_DIVISOR + PROCESS_BYTES;
        self.memory.saturating_sub(reserved)
    }

    /// Returns how many connections clients, and how many servers, may have: as many as there are descriptors for, and
    /// as fit into memory.
    pub fn connections_per_side(self) -> usize {
        let by_sockets = self.sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        let by_memory = CONNECTION_FRACTION.of(self.traffic_bytes()) / CONNECTION_PAIR_BYTES;
        by_sockets.min(by_memory).max(MIN_CONNECTIONS_PER_SIDE)
    }

    /// Returns how much memory messages may take beside this number of servers.
    pub fn message_limits(self, servers: usize) -> MessageLimits {
        let connections = self.connections_per_side();
        let servers = servers.next_multiple_of(SERVER_STEP) * BYTES_PER_SERVER;
        let used = connections * CONNECTION_PAIR_BYTES + servers;
        let left = self.traffic_bytes().saturating_sub(used);
        let bodies = left.clamp(self.memory / MIN_BODY_DIVISOR, self.memory / MAX_BODY_DIVISOR);
        let requests = REQUEST_FRACTION.of(bodies);
        let head_allowance = left.saturating_sub(bodies) / connections / HEADS_PER_PAIR;
        MessageLimits {
            requests,
            responses: bodies - requests,
            head_allowance: head_allowance.max(MIN_HEAD_ALLOWANCE),
        }
    }
}

/// The memory of messages, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageLimits {
    /// The memory of the bodies and long heads of all requests together.
    pub requests: usize,
    /// The memory of the bodies and long heads of all responses together.
    pub responses: usize,
    /// The memory that each head may take without being counted.
    pub head_allowance: usize,
}

/// Returns the maximum number of known servers for a process that may use `memory` bytes.
pub fn max_servers(memory: usize) -> usize {
    memory / SERVER_MEMORY_DIVISOR / BYTES_PER_SERVER
}

/// Returns the maximum length in bytes of the text of a list with this number of servers.
pub fn max_list_bytes(servers: usize) -> usize {
    servers * LIST_BYTES_PER_SERVER
}

/// Returns the maximum number of tier members for a process that may use `memory` bytes.
pub fn max_members(memory: usize) -> usize {
    (memory / MEMBER_MEMORY_DIVISOR / BYTES_PER_MEMBER).min(gossip::MAX_MEMBERS as usize)
}
