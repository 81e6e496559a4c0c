//! The hash of the network events of a run.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

/// The kinds of hashed events. The discriminants are part of the hash.
#[derive(Clone, Copy, Debug)]
#[repr(u8)]
pub(crate) enum TraceKind {
    /// Bytes arrive at an endpoint.
    Data = 1,
    /// The end of the stream arrives at an endpoint.
    Fin = 2,
    /// A reset arrives at an endpoint.
    Reset = 3,
    /// The answer to a SYN arrives at the client.
    SynAnswer = 4,
    /// A datagram arrives.
    Datagram = 5,
    /// A connection is reset at both ends by a fault.
    InjectedReset = 6,
}

/// Hashes and counts network events.
pub(crate) struct Trace {
    hash: Xxh3,
    event_count: u64,
}

impl Trace {
    pub(crate) fn new(seed: u64) -> Trace {
        Trace { hash: Xxh3::with_seed(seed), event_count: 0 }
    }

    /// Adds an event to the hash: its time since the start, its kind, the number of its subject (such as a
    /// connection and the endpoint), and its bytes.
    pub(crate) fn record(&mut self, now: Duration, kind: TraceKind, subject: u64, bytes: &[u8]) {
        self.event_count += 1;
        self.hash.update(&(now.as_nanos() as u64).to_le_bytes());
        self.hash.update(&[kind as u8]);
        self.hash.update(&subject.to_le_bytes());
        self.hash.update(bytes);
    }

    pub(crate) fn digest(&self) -> u64 {
        self.hash.digest()
    }

    pub(crate) fn event_count(&self) -> u64 {
        self.event_count
    }
}
