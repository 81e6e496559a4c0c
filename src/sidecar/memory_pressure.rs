//! Decides how much memory may be in use until it is measured next, and what is closed if too much is in use. Without I/O.
//!
//! What was counted says how much memory is needed, and not how much the process has: allocators keep free pages, and
//! blocks share pages. What was measured says nothing of memory that is about to be used. So the larger of the two is
//! taken for what is in use, and whatever is not used yet may together grow by no more than what is left of the limit.

use super::memory::MessageAllowance;

/// Memory that is left for what grows between two measurements and is not counted, in bytes.
const RESERVED_BYTES: usize = 2 << 20;
/// Memory of the process without connections, bodies and servers, in bytes: its program, its allocator, and tables of
/// requests and timers under load.
const PROCESS_BYTES: usize = 7 << 20;
/// Memory of a client's connection in bytes: hyper's buffers, the connection's state and its task.
const CLIENT_CONNECTION_BYTES: usize = 22 << 10;
/// Memory of a connection to a server in bytes: hyper's buffers and its queue of requests, with the request in progress.
const SERVER_CONNECTION_BYTES: usize = 40 << 10;
/// Memory of a listed server in bytes.
const LISTED_SERVER_BYTES: usize = 1 << 10;
/// Memory that a block takes is larger than the block, by the block's size divided by this.
const BLOCK_OVERHEAD_DIVISOR: usize = 8;
/// The free memory, in bytes, below which free pages are returned to the system.
const RELEASE_THRESHOLD_BYTES: usize = 2 << 20;
/// The minimum number of connections of each side that may be in use.
const MIN_CONNECTIONS: usize = 4;
/// The minimum number of bytes that the messages of each direction may take: a message with the longest head and body.
const MIN_MESSAGE_BYTES: usize = 256 << 10;

/// What may come to be in use wherever there is memory for all of it.
const SMALLEST_GROWTH: Allowance = Allowance {
    clients: MIN_CONNECTIONS,
    servers: MIN_CONNECTIONS,
    messages: MessageAllowance { requests: MIN_MESSAGE_BYTES, responses: MIN_MESSAGE_BYTES },
};

/// What takes memory in the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Resident memory in bytes.
    pub resident: usize,
    /// The number of client connections.
    pub clients: usize,
    /// The number of connections to servers.
    pub servers: usize,
    /// The number of servers in the endpoint list.
    pub listed_servers: usize,
    /// The bytes reserved for requests and for responses.
    pub messages: MessageAllowance,
}

/// What may be in use until the next measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// The number of client connections.
    pub clients: usize,
    /// The number of connections to servers.
    pub servers: usize,
    /// The bytes reserved for requests and for responses.
    pub messages: MessageAllowance,
}

impl MemoryUse {
    /// Returns the memory that is needed for what is counted, in bytes.
    pub fn counted(&self) -> usize {
        PROCESS_BYTES + self.listed_servers * LISTED_SERVER_BYTES + self.in_use().bytes()
    }

    /// Returns by how many bytes the resident memory exceeds what may be resident with this limit.
    pub fn resident_excess(&self, limit: usize) -> usize {
        self.resident.saturating_sub(limit.saturating_sub(RESERVED_BYTES))
    }

    /// Returns whether free pages are to be returned to the system, with this limit.
    pub fn is_near_limit(&self, limit: usize) -> bool {
        let threshold = limit.saturating_sub(RESERVED_BYTES + RELEASE_THRESHOLD_BYTES);
        self.resident > threshold
    }

    /// Returns what may be in use until the next measurement: no more than `maximum`, and no more than fits into `limit`
    /// bytes.
    pub fn allowance(&self, limit: usize, maximum: Allowance) -> Allowance {
        let usable = limit.saturating_sub(RESERVED_BYTES);
        let used = self.resident.max(self.counted());
        let growth = self.growth(usable.saturating_sub(used), maximum);
        // A count that is too high lets nothing grow, but takes nothing away either.
        let excess = self.resident_excess(limit);
        // Once messages take no more than their minimum, only fewer connections take less memory.
        let surplus = if self.messages_are_minimal() { client_connections_for(excess) } else { 0 };
        let connections =
            |allowed: usize, maximum: usize| allowed.max(MIN_CONNECTIONS).min(maximum);
        // Both directions give up half of the excess.
        let bytes = |allowed: usize, maximum: usize| {
            allowed.saturating_sub(excess / 2).max(MIN_MESSAGE_BYTES).min(maximum)
        };
        let (messages, most) = (self.messages, maximum.messages);
        Allowance {
            clients: connections(
                self.clients.saturating_sub(surplus) + growth.clients,
                maximum.clients,
            ),
            servers: connections(self.servers + growth.servers, maximum.servers),
            messages: MessageAllowance {
                requests: bytes(messages.requests + growth.messages.requests, most.requests),
                responses: bytes(messages.responses + growth.messages.responses, most.responses),
            },
        }
    }

    /// Returns by how much each part may grow towards `maximum` with this number of free bytes: each by a step, so that
    /// the next message or connection finds room, and by its share of the bytes that are left then.
    fn growth(&self, free: usize, maximum: Allowance) -> Allowance {
        let growth = maximum.less(self.in_use());
        let step = growth.at_most(SMALLEST_GROWTH);
        let Some(left) = free.checked_sub(step.bytes()) else { return Allowance::default() };
        let rest = growth.less(step);
        let share = Share { part: left, of: rest.bytes() };
        Allowance {
            clients: step.clients + share.of(rest.clients),
            servers: step.servers + share.of(rest.servers),
            messages: MessageAllowance {
                requests: step.messages.requests + share.of(rest.messages.requests),
                responses: step.messages.responses + share.of(rest.messages.responses),
            },
        }
    }

    /// Returns what is in use of that which can be limited.
    fn in_use(&self) -> Allowance {
        Allowance { clients: self.clients, servers: self.servers, messages: self.messages }
    }

    fn messages_are_minimal(&self) -> bool {
        self.messages.requests <= MIN_MESSAGE_BYTES && self.messages.responses <= MIN_MESSAGE_BYTES
    }
}

impl Allowance {
    /// Returns the bytes that all of this takes.
    fn bytes(&self) -> usize {
        self.clients * CLIENT_CONNECTION_BYTES
            + self.servers * SERVER_CONNECTION_BYTES
            + with_overhead(self.messages.requests + self.messages.responses)
    }

    fn less(self, other: Allowance) -> Allowance {
        self.combine(other, usize::saturating_sub)
    }

    fn at_most(self, other: Allowance) -> Allowance {
        self.combine(other, usize::min)
    }

    fn combine(self, other: Allowance, combine: impl Fn(usize, usize) -> usize) -> Allowance {
        let (messages, others) = (self.messages, other.messages);
        Allowance {
            clients: combine(self.clients, other.clients),
            servers: combine(self.servers, other.servers),
            messages: MessageAllowance {
                requests: combine(messages.requests, others.requests),
                responses: combine(messages.responses, others.responses),
            },
        }
    }
}

/// Returns how many idle connections to servers have to be closed to free this number of bytes.
pub fn server_connections_for(bytes: usize) -> usize {
    bytes.div_ceil(SERVER_CONNECTION_BYTES)
}

/// Returns how many idle client connections have to be closed to free this number of bytes.
pub fn client_connections_for(bytes: usize) -> usize {
    bytes.div_ceil(CLIENT_CONNECTION_BYTES)
}

/// Returns the bytes that blocks of `bytes` in total take.
fn with_overhead(bytes: usize) -> usize {
    bytes + bytes / BLOCK_OVERHEAD_DIVISOR
}

/// The part of the possible growth for which there is memory.
#[derive(Clone, Copy)]
struct Share {
    part: usize,
    of: usize,
}

impl Share {
    fn of(self, growth: usize) -> usize {
        if self.part >= self.of {
            return growth;
        }
        let share = growth as u128 * self.part as u128 / self.of as u128;
        usize::try_from(share).unwrap_or(growth)
    }
}
