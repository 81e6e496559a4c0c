//! A link to a neighbor and the flow over it, by the flow updating algorithm (Jesus, Baquero, Almeida, 2009). One end
//! initiates an exchange by sending its estimate. The other end owns the flow: if the initiator has the latest version,
//! the owner updates the flow, and it always replies with the current one immediately. The initiator adopts that flow.
//!
//! If an end sent the same estimate to several neighbors before it received any of their updates, all of them would
//! shift its estimate, and the estimates would oscillate with growing amplitude. An exchange is therefore short, and an
//! end that waits for an answer initiates no other exchange.

use crate::Micros;
use crate::message::{MAX_VALUES, Message, Payload};
use crate::topology::owns_flow;

/// Values by their positions in a message.
pub type Values = [f64; MAX_VALUES];

/// Values with a larger magnitude are not averaged.
///
/// Otherwise a single member that reports a rate wrong by a factor of a million would dominate all others. The
/// drawback: the demand of a sidecar with more requests per second than this is not included.
pub const MAX_ESTIMATE: f64 = 1e5;

/// Number of unanswered exchanges on a link that are repeated before the other links have had their turn.
const MAX_FAST_RETRIES: u32 = 2;

/// The directions in which a link works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Nothing was received within the timeout.
    Silent,
    /// Messages are received, but the other end does not acknowledge any, or its values have another schema.
    OneWay,
    /// Both ends receive each other's messages.
    TwoWay,
}

/// The state of the local member that a link needs to send or receive a message.
#[derive(Clone, Copy, Debug)]
pub struct LocalState<'a> {
    /// Incarnation of the local member on its links.
    pub incarnation: u32,
    /// Schema of its values.
    pub schema: u16,
    /// Its estimate of the mean over all members.
    pub estimate: &'a Values,
}

/// The local end of a link.
#[derive(Clone, Debug)]
pub struct Link {
    peer: u32,
    /// Whether this end updates the flow.
    owns_flow: bool,
    /// Incarnation of the neighbor; 0 if unknown.
    peer_incarnation: u32,
    /// Last sequence number sent.
    last_sent: u32,
    /// Last sequence number received.
    last_received: u32,
    /// Last sequence number sent that the neighbor has acknowledged.
    last_acknowledged: u32,
    received_at: Option<Micros>,
    /// Time at which a new acknowledgement was last received.
    acknowledged_at: Option<Micros>,
    sent_at: Option<Micros>,
    /// Number of messages sent since the last one was received.
    unanswered: u32,
    /// Whether both ends have the same schema, so that their values have the same meaning.
    same_schema: bool,
    /// Flow from this end to the other one.
    flow: Values,
    /// Version of the flow; at the end that does not own it, the adopted version, or 0 for none.
    flow_version: u32,
    up: bool,
}

impl Link {
    /// Creates a link to a neighbor from which nothing has been received yet.
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

    /// Returns the neighbor's number.
    pub fn peer(&self) -> u32 {
        self.peer
    }

    /// Returns the flow from this end to the other one; it is zero while the link is down.
    pub fn flow(&self) -> &Values {
        &self.flow
    }

    /// Returns whether values are exchanged over the link.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Returns the neighbor's incarnation; 0 if nothing was ever received from it.
    pub fn peer_incarnation(&self) -> u32 {
        self.peer_incarnation
    }

    /// Returns whether this end initiates the exchanges.
    pub fn is_initiator(&self) -> bool {
        !self.owns_flow
    }

    /// Returns when a message was last received; `None` if none ever was.
    pub fn received_at(&self) -> Option<Micros> {
        self.received_at
    }

    /// Returns when a message was last sent; `None` if none ever was.
    pub fn sent_at(&self) -> Option<Micros> {
        self.sent_at
    }

    /// Returns the directions in which the link works; messages older than `timeout` do not count.
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

    /// Updates whether the link is up. The flow is reset when the link goes down.
    pub fn refresh(&mut self, now: Micros, timeout: Micros) {
        let up = self.state(now, timeout) == LinkState::TwoWay;
        if self.up && !up {
            self.reset_flow();
        }
        self.up = up;
    }

    /// Resets the flow to zero. Its version then differs from that at the other end, so no values are exchanged until
    /// the initiator has adopted the owner's flow again.
    pub fn reset_flow(&mut self) {
        self.flow = [0.0; MAX_VALUES];
        self.flow_version = if self.owns_flow { next_flow_version(self.flow_version) } else { 0 };
    }

    /// Returns the time by which links are ordered for exchanges: the one with the earliest time is next.
    ///
    /// If the link on which nothing was received for the longest time were always next, a dead neighbor would take
    /// every round until it counts as silent, and by then so would all others. A lost exchange is therefore repeated
    /// soon, but only [`MAX_FAST_RETRIES`] times. The drawback: sums converge more slowly if more than half of all
    /// messages are lost.
    pub fn exchange_order(&self) -> Option<Micros> {
        // A message received outside of an exchange does not postpone the next exchange.
        let is_retried = (1..=MAX_FAST_RETRIES).contains(&self.unanswered);
        if is_retried { self.received_at } else { self.sent_at }
    }

    /// Returns the next message on this link, with `value_count` values and without member records.
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

    /// Handles a received message. Returns false if it was ignored because its sequence number or incarnation is
    /// outdated.
    ///
    /// Replayed messages and messages that were delayed for long are otherwise indistinguishable from new ones.
    /// Sequence numbers increase within an incarnation, and incarnations only increase.
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
        // The acknowledged message belongs to an earlier incarnation of this member, or was never sent.
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
            // Add half of the difference, if the other end has adopted the latest version of the flow.
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

/// Returns the version after this one. It is never 0, which stands for no version.
fn next_flow_version(version: u32) -> u32 {
    version.wrapping_add(1).max(1)
}

#[cfg(test)]
mod tests;
