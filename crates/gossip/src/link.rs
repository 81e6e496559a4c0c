//! A link to a neighbor, and what has flowed over it: flow updating (Jesus, Baquero, Almeida, 2009). One of the two
//! ends initiates an exchange by sending its estimate. The other end owns the flow: it changes it, provided that the
//! initiator has the last version, and answers with it at once; the initiator takes it over.
//!
//! An end that sent the same estimate to several neighbors before any of their changes came back would be moved by
//! all of them, and the estimates of all would oscillate ever further. So an exchange is short, and an end that waits
//! for an answer begins no other.

use crate::Micros;
use crate::message::{MAX_VALUES, Message, Payload};
use crate::topology::owns_flow;

/// Values, in the order of the message's.
pub type Values = [f64; MAX_VALUES];

/// Estimates beyond this are not averaged.
///
/// One member that counts wrong by a factor of a million would dominate all others. The price: a single sidecar with
/// more than this many requests per second is not accounted for.
pub const MAX_ESTIMATE: f64 = 1e5;

/// How many unanswered exchanges are repeated before all other links have had their turn.
const MAX_FAST_RETRIES: u32 = 2;

/// Which directions of a link work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Nothing was received lately.
    Silent,
    /// Messages arrive, but the other end does not receive ours, or gives another meaning to the values.
    OneWay,
    /// Both ends receive.
    TwoWay,
}

/// What a member knows of itself when it sends or receives on a link.
#[derive(Clone, Copy, Debug)]
pub struct LocalState<'a> {
    /// Its incarnation as its links have it.
    pub incarnation: u32,
    /// The schema of its values.
    pub schema: u16,
    /// Its estimate of the mean.
    pub estimate: &'a Values,
}

/// One end of a link.
#[derive(Clone, Debug)]
pub struct Link {
    peer: u32,
    /// Whether this end changes the flow.
    owns_flow: bool,
    /// The neighbor's incarnation; 0: not known.
    peer_incarnation: u32,
    /// The last sequence number sent.
    last_sent: u32,
    /// The last sequence number received.
    last_received: u32,
    /// The last of our sequence numbers that is known to have arrived.
    last_acknowledged: u32,
    received_at: Option<Micros>,
    /// When a new acknowledgement was last received.
    acknowledged_at: Option<Micros>,
    sent_at: Option<Micros>,
    /// Messages sent since anything was received.
    unanswered: u32,
    /// The values mean the same at both ends.
    same_schema: bool,
    /// What has flowed from here to the other end.
    flow: Values,
    /// The flow's version; at the end that does not own it, the version taken over; 0: none.
    flow_version: u32,
    up: bool,
}

impl Link {
    /// A link to a neighbor from which nothing was ever received.
    pub fn new(local_id: u32, peer: u32) -> Link {
        let owns_flow = owns_flow(local_id, peer);
        Link {
            peer,
            owns_flow,
            peer_incarnation: 0,
            last_sent: 0,
            last_received: 0,
            last_acknowledged: 0,
            received_at: None,
            acknowledged_at: None,
            sent_at: None,
            unanswered: 0,
            same_schema: false,
            flow: [0.0; MAX_VALUES],
            flow_version: u32::from(owns_flow),
            up: false,
        }
    }

    /// The neighbor's number.
    pub fn peer(&self) -> u32 {
        self.peer
    }

    /// What has flowed from here to the other end while the link is up.
    pub fn flow(&self) -> &Values {
        &self.flow
    }

    /// Whether values are exchanged over it.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// The neighbor's incarnation; 0 if nothing was ever received from it.
    pub fn peer_incarnation(&self) -> u32 {
        self.peer_incarnation
    }

    /// Whether this end initiates the exchanges.
    pub fn is_initiator(&self) -> bool {
        !self.owns_flow
    }

    /// When something was last received.
    pub fn received_at(&self) -> Option<Micros> {
        self.received_at
    }

    /// When something was last sent.
    pub fn sent_at(&self) -> Option<Micros> {
        self.sent_at
    }

    /// Which directions work, where what is older than `timeout` does not count.
    pub fn state(&self, now: Micros, timeout: Micros) -> LinkState {
        let is_fresh = |at: Option<Micros>| at.is_some_and(|at| now.saturating_sub(at) < timeout);
        if !is_fresh(self.received_at) {
            LinkState::Silent
        } else if is_fresh(self.acknowledged_at) && self.same_schema {
            LinkState::TwoWay
        } else {
            LinkState::OneWay
        }
    }

    /// Updates whether the link is up. One that goes down resets its flow.
    pub fn refresh(&mut self, now: Micros, timeout: Micros) {
        let up = self.state(now, timeout) == LinkState::TwoWay;
        if self.up && !up {
            self.reset_flow();
        }
        self.up = up;
    }

    /// Begins with no flow again, at both ends.
    pub fn reset_flow(&mut self) {
        self.flow = [0.0; MAX_VALUES];
        self.flow_version = if self.owns_flow { next_flow_version(self.flow_version) } else { 0 };
    }

    /// What orders exchanges: the link with the least time is next.
    ///
    /// If the link on which nothing was received for the longest time were always next, a neighbor that has died
    /// would take every round until it counts as silent, and by then all others would. So a lost exchange is repeated
    /// soon, but not without end. The price: slower sums where more than half of all messages are lost.
    pub fn exchange_order(&self) -> Option<Micros> {
        // What is received unasked does not put off the next exchange.
        let is_retried = (1..=MAX_FAST_RETRIES).contains(&self.unanswered);
        if is_retried { self.received_at } else { self.sent_at }
    }

    /// The next message on this link, with `value_count` values and without member records.
    pub fn next_message(
        &mut self,
        local: LocalState<'_>,
        value_count: usize,
        now: Micros,
    ) -> Message {
        self.last_sent = self.last_sent.wrapping_add(1);
        self.sent_at = Some(now);
        self.unanswered += 1;
        let payload = if self.owns_flow { Payload::Flow } else { Payload::Estimate };
        let values = if self.owns_flow { &self.flow } else { local.estimate };
        Message {
            incarnation: local.incarnation,
            receiver_incarnation: self.peer_incarnation,
            sequence: self.last_sent,
            acknowledged: self.last_received,
            flow_version: self.flow_version,
            schema: local.schema,
            payload,
            values: values[..value_count].iter().map(|v| *v as f32).collect(),
            records: Vec::new(),
        }
    }

    /// Takes a message in. Returns false if it is old, or of an earlier incarnation, and was ignored.
    ///
    /// Replayed messages, and those that were delayed for long, look like new ones. Sequence numbers only rise within
    /// an incarnation, and incarnations only rise.
    pub fn receive(&mut self, message: &Message, local: LocalState<'_>, now: Micros) -> bool {
        if message.incarnation < self.peer_incarnation || message.incarnation == 0 {
            return false;
        }
        if message.incarnation > self.peer_incarnation {
            self.peer_incarnation = message.incarnation;
            self.last_received = 0;
            (self.last_acknowledged, self.acknowledged_at) = (0, None);
            self.reset_flow();
        }
        if message.sequence <= self.last_received {
            return false;
        }
        self.last_received = message.sequence;
        self.received_at = Some(now);
        self.unanswered = 0;
        self.same_schema = message.schema == local.schema;
        // What it acknowledges belongs to an earlier incarnation of ours, or was never sent.
        if message.receiver_incarnation != local.incarnation
            || message.acknowledged > self.last_sent
        {
            return true;
        }
        if message.acknowledged > self.last_acknowledged {
            self.last_acknowledged = message.acknowledged;
            self.acknowledged_at = Some(now);
        }
        if self.up && self.same_schema {
            self.exchange_values(message, local.estimate);
        }
        true
    }

    fn exchange_values(&mut self, message: &Message, estimate: &Values) {
        let is_valid = |v: &f32| v.is_finite() && f64::from(v.abs()) <= MAX_ESTIMATE;
        if !message.values.iter().all(is_valid) || message.values.len() > MAX_VALUES {
            return;
        }
        let theirs = message.values.iter().map(|v| f64::from(*v));
        match (self.owns_flow, message.payload) {
            // Half of the difference, once the other end has what was last sent to it.
            (true, Payload::Estimate) if message.flow_version == self.flow_version => {
                for ((flow, own), theirs) in self.flow.iter_mut().zip(estimate).zip(theirs) {
                    let changed = *flow + (own - theirs) / 2.0;
                    *flow = changed.clamp(-MAX_ESTIMATE, MAX_ESTIMATE);
                }
                self.flow_version = next_flow_version(self.flow_version);
            }
            (false, Payload::Flow) => {
                for (flow, theirs) in self.flow.iter_mut().zip(theirs) {
                    *flow = -theirs;
                }
                self.flow_version = message.flow_version;
            }
            _ => {}
        }
    }
}

/// The version after this one; 0 is not one.
fn next_flow_version(version: u32) -> u32 {
    version.wrapping_add(1).max(1)
}

#[cfg(test)]
mod tests;
