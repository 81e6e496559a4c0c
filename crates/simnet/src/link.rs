//! Links: the network paths between hosts.

use std::ops::Range;
use std::time::Duration;

/// The properties of the network path from one host to another, in one direction.
///
/// Probabilities are from 0 to 1.
#[derive(Clone, Debug)]
pub struct Link {
    /// The range of the latency of a segment, drawn uniformly.
    pub latency: Range<Duration>,
    /// The additional latency for each byte of a segment.
    pub per_byte: Duration,
    /// The maximum number of written bytes that the peer has not read.
    pub window: usize,
    /// The probability that a read or a write transfers only part of the bytes.
    pub partial_io: f64,
    /// The probability that a segment or datagram arrives late by the timeout of a retransmission.
    pub segment_loss: f64,
    /// The probability that a reset overtakes the bytes in flight, which are then lost.
    pub reset_overtakes: f64,
    /// Whether the path is partitioned. Segments in flight arrive after the partition has ended; datagrams are lost.
    pub partitioned: bool,
    /// The probability that a new connection is refused although a listener is bound to its address.
    pub syn_refused: f64,
    /// The probability that a new connection is never established.
    pub syn_dropped: f64,
    /// The probability that a datagram is lost.
    pub datagram_loss: f64,
    /// The probability that a datagram arrives twice.
    pub datagram_duplication: f64,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            latency: Duration::from_micros(50)..Duration::from_micros(150),
            per_byte: Duration::from_nanos(1),
            window: 256 << 10,
            partial_io: 0.0,
            segment_loss: 0.0,
            reset_overtakes: 0.0,
            partitioned: false,
            syn_refused: 0.0,
            syn_dropped: 0.0,
            datagram_loss: 0.0,
            datagram_duplication: 0.0,
        }
    }
}
