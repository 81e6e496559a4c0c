//! The links between the nodes of a run, and the impairments of their traffic.
//!
//! This module does no I/O. Callers pass in the time.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[cfg(test)]
mod tests;

/// A node of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Node {
    /// A sidecar, by its number.
    Sidecar(u16),
    /// A log server, by its number.
    Server(u16),
    /// Service discovery.
    Discovery,
}

/// The impairment of one direction of a link. The terms are those of tc-netem(8).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// Whether nothing passes.
    pub cut: bool,
    /// Added latency.
    pub delay: Duration,
    /// The upper bound of the random latency on top of `delay`, drawn uniformly.
    pub jitter: Duration,
    /// The share of packets that are lost, from 0 to 1.
    pub loss: f64,
    /// The share of datagrams that arrive twice, from 0 to 1.
    pub duplicate: f64,
    /// The share of datagrams that arrive after later ones, from 0 to 1.
    pub reorder: f64,
    /// The share of datagrams in which one byte is changed, from 0 to 1.
    pub corrupt: f64,
    /// Bandwidth in bytes per second; 0 is unlimited.
    pub rate: u64,
}

/// The longest delay of a link that counts as slight.
const SLIGHT_DELAY: Duration = Duration::from_millis(50);
/// The delay of a reordered datagram, on top of delay and jitter.
pub const REORDER_DELAY: Duration = Duration::from_millis(30);
/// The longest time that a datagram queues on a link with limited bandwidth. Datagrams that would queue for longer are
/// dropped.
pub const MAX_QUEUE_DELAY: Duration = Duration::from_millis(500);
/// The delay of a connection's data by the retransmission of a lost packet.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

impl Impairment {
    /// Returns the impairment of a link on which nothing passes.
    pub fn cut() -> Impairment {
        Impairment { cut: true, ..Impairment::default() }
    }

    /// Returns whether data arrives without loss or a limit on bandwidth, and with a delay of at most 50 ms.
    pub fn is_slight(&self) -> bool {
        let passes = !self.cut && self.loss == 0.0 && self.rate == 0;
        passes && self.delay + self.jitter <= SLIGHT_DELAY
    }

    /// Returns the impairment of two links in series.
    #[must_use]
    pub fn and(self, other: Impairment) -> Impairment {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Impairment {
            cut: self.cut || other.cut,
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            loss: either(self.loss, other.loss),
            duplicate: either(self.duplicate, other.duplicate),
            reorder: either(self.reorder, other.reorder),
            corrupt: either(self.corrupt, other.corrupt),
            rate: match (self.rate, other.rate) {
                (0, rate) | (rate, 0) => rate,
                (a, b) => a.min(b),
            },
        }
    }
}

/// An impairment that a fault causes on the links between two sets of nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveFault {
    /// The number of the fault that causes it.
    pub fault: usize,
    /// The senders.
    pub from: BTreeSet<Node>,
    /// The receivers.
    pub to: BTreeSet<Node>,
    /// Whether it applies to the opposite direction as well.
    pub both_directions: bool,
    /// The impairment.
    pub impairment: Impairment,
}

impl ActiveFault {
    fn affects(&self, from: Node, to: Node) -> bool {
        self.from.contains(&from) && self.to.contains(&to)
            || self.both_directions && self.from.contains(&to) && self.to.contains(&from)
    }
}

/// The current state of all links.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Links {
    /// The impairment of every link without faults.
    baseline: Impairment,
    active: Vec<ActiveFault>,
    unreachable: BTreeSet<Node>,
}

impl Links {
    /// Creates links that all have this impairment.
    pub fn with_baseline(baseline: Impairment) -> Links {
        Links { baseline, ..Links::default() }
    }

    /// Adds a fault.
    pub fn inject(&mut self, fault: ActiveFault) {
        self.active.push(fault);
    }

    /// Removes the impairments of the fault with this number.
    pub fn clear(&mut self, fault: usize) {
        self.active.retain(|active| active.fault != fault);
    }

    /// Refuses all connections to a node, as if nothing listened at its address.
    pub fn take_down(&mut self, node: Node) {
        self.unreachable.insert(node);
    }

    /// Stops refusing connections to a node.
    pub fn bring_up(&mut self, node: Node) {
        self.unreachable.remove(&node);
    }

    /// Returns whether connections to a node are refused.
    pub fn is_down(&self, node: Node) -> bool {
        self.unreachable.contains(&node)
    }

    /// Returns the impairment of the link from one node to another.
    pub fn impairment(&self, from: Node, to: Node) -> Impairment {
        let affecting = self.active.iter().filter(|active| active.affects(from, to));
        affecting.fold(self.baseline, |sum, active| sum.and(active.impairment))
    }

    /// Returns whether no connection can be established between two nodes because a direction is cut.
    pub fn is_partitioned(&self, a: Node, b: Node) -> bool {
        self.impairment(a, b).cut || self.impairment(b, a).cut
    }
}

/// One byte of a datagram that arrives changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Corruption {
    /// The byte's offset in the datagram.
    pub offset: usize,
    /// The value that the byte is XORed with.
    pub mask: u8,
}

/// The arrival of one datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The time from sending to arrival.
    pub delay: Duration,
    /// The byte that is changed, if any.
    pub corruption: Option<Corruption>,
}

/// Draws whether, when and how often each packet arrives in one direction of a link. The same seed and nodes give the
/// same draws.
pub struct LinkSampler {
    rng: SmallRng,
    /// The time at which the last byte sent so far has left, on the clock of the callers' `now`.
    busy_until: Duration,
}

impl LinkSampler {
    /// Creates a sampler for the direction from one node to another.
    pub fn new(seed: u64, from: Node, to: Node) -> LinkSampler {
        let number = |node| match node {
            Node::Sidecar(n) => u64::from(n),
            Node::Server(n) => 1 << 16 | u64::from(n),
            Node::Discovery => 1 << 17,
        };
        let seed = seed ^ number(from) << 40 ^ number(to) << 20;
        LinkSampler { rng: SmallRng::seed_from_u64(seed), busy_until: Duration::ZERO }
    }

    /// Draws the deliveries of a datagram of `bytes` bytes that is sent at `now`: none, one or two.
    pub fn datagram(
        &mut self,
        impairment: &Impairment,
        now: Duration,
        bytes: usize,
    ) -> Vec<Delivery> {
        // All values are drawn each time, so that the draws for a datagram do not depend on the loss of earlier ones.
        let [loss, duplicate, reorder, corrupt]: [f64; 4] = self.rng.random();
        let offset = self.rng.random_range(0..bytes.max(1));
        let mask = self.rng.random_range(1..=u8::MAX);
        let jitters: [f64; 2] = self.rng.random();
        let queued = self.queue_delay(impairment.rate, now, bytes, MAX_QUEUE_DELAY);
        if impairment.cut || loss < impairment.loss || queued > MAX_QUEUE_DELAY {
            return Vec::new();
        }
        let corrupted = corrupt < impairment.corrupt && bytes > 0;
        let corruption = corrupted.then_some(Corruption { offset, mask });
        let reordered = if reorder < impairment.reorder { REORDER_DELAY } else { Duration::ZERO };
        let copies = if duplicate < impairment.duplicate { 2 } else { 1 };
        let delay = |jitter: &f64| {
            queued + impairment.delay + impairment.jitter.mul_f64(*jitter) + reordered
        };
        jitters[..copies].iter().map(|j| Delivery { delay: delay(j), corruption }).collect()
    }

    /// Draws the delay of a segment of a connection that is sent at `now`. A lost segment is retransmitted.
    pub fn segment_delay(
        &mut self,
        impairment: &Impairment,
        now: Duration,
        bytes: usize,
    ) -> Duration {
        let [loss, jitter]: [f64; 2] = self.rng.random();
        let retransmission =
            if loss < impairment.loss { RETRANSMISSION_DELAY } else { Duration::ZERO };
        let queued = self.queue_delay(impairment.rate, now, bytes, Duration::MAX);
        queued + impairment.delay + impairment.jitter.mul_f64(jitter) + retransmission
    }

    /// Returns the queueing and transmission time of data that is sent at `now`. Data that would take longer than
    /// `limit` uses no bandwidth.
    fn queue_delay(&mut self, rate: u64, now: Duration, bytes: usize, limit: Duration) -> Duration {
        if rate == 0 {
            return Duration::ZERO;
        }
        let transmission = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let sent = self.busy_until.max(now) + transmission;
        if sent - now <= limit {
            self.busy_until = sent;
        }
        sent - now
    }
}
