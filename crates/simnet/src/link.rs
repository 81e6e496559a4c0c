//! The properties of the network path from one host to another.

use std::ops::Range;
use std::time::Duration;

/// The network path from one host to another, in one direction.
///
/// Probabilities are from 0 to 1.
#[derive(Clone, Debug)]
pub struct Link {
    /// The latency of a segment, drawn uniformly.
    pub latency: Range<Duration>,
    /// What each byte of a segment adds to its latency.
    pub per_byte: Duration,
    /// How many bytes may be written before the peer has read them.
    pub window: usize,
    /// The probability that a read or a write transfers only some of the bytes.
    pub partial_io: f64,
    /// The probability that a segment arrives only after a retransmission.
    pub segment_loss: f64,
    /// The probability that a reset overtakes the bytes in flight, which are lost then.
    pub reset_overtakes: f64,
    /// Nothing passes. What was sent arrives once the partition has ended.
    pub partitioned: bool,
    /// The probability that a new connection is refused although its address is listened on.
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
