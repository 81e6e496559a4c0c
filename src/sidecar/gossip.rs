//! Connects the gossip state machine of the crate `gossip` to this sidecar: passes local events and received messages
//! to it, and sends its messages to the other sidecars of the tier.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gossip::{
    ConfigError, Event, MemberRecord, Message, Micros, Node, Outgoing, RetryBudget, Snapshot,
    TenantQuotas,
};
use runtime::Runtime;
use thiserror::Error;
use tokio::sync::Notify;

use super::config::Config;
use super::peers::Peers;

/// Maximum time between two checks of the next deadline, which a received message may bring forward.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The configuration error that keeps a sidecar from taking part in its tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("tier: {0}")]
pub struct MembershipError(#[from] ConfigError);

/// This sidecar as a member of its tier.
pub struct Membership<P: Runtime> {
    node: RefCell<Node>,
    started_at: Instant,
    peers: Rc<Peers<P>>,
    /// Notified after each received message, since the next deadline may have changed.
    received: Notify,
}

impl<P: Runtime> Membership<P> {
    /// Creates the membership for a configuration; `None` if gossip is not configured or the settings do not allow it.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is out of range.
    pub fn new(
        config: &Config,
        peers: Option<&Rc<Peers<P>>>,
    ) -> Result<Option<Rc<Membership<P>>>, MembershipError> {
        let Some(round_interval) = config.gossip_round_interval else { return Ok(None) };
        let Some(peers) = peers.filter(|_| config.settings.limits.may_message_peers) else {
            tracing::warn!("gossip disabled: settings.limits.mayTell or peer_listen is missing");
            return Ok(None);
        };
        let node = Node::new(
            gossip::Config {
                local_id: config.settings.instance,
                cluster_size: config.settings.instances,
                started_unix_ms: P::unix_time().as_millis() as u64,
                round_interval: round_interval.as_micros() as Micros,
                quotas: config.tenant_quotas(),
                class_count: config.settings.classes.len(),
                seed: config.seed,
            },
            0,
        )?;
        Ok(Some(Rc::new(Membership {
            node: RefCell::new(node),
            started_at: P::now(),
            peers: peers.clone(),
            received: Notify::new(),
        })))
    }

    fn now(&self) -> Micros {
        P::elapsed_since(self.started_at).as_micros() as Micros
    }

    /// Counts a request of a class and a tenant. Returns whether it is within this sidecar's lease of the tenant's
    /// quota.
    pub fn try_admit(&self, class: usize, tenant: usize) -> bool {
        self.node.borrow_mut().try_admit(class, tenant, self.now())
    }

    /// Returns the limits of the retries that this sidecar may send.
    pub fn retry_budget(&self) -> RetryBudget {
        self.node.borrow().retry_budget()
    }

    /// Counts a local event.
    pub fn record(&self, event: Event) {
        self.node.borrow_mut().record(event, self.now());
    }

    /// Replaces the tenants' quotas.
    pub fn reconfigure(&self, quotas: TenantQuotas) {
        self.node.borrow_mut().reconfigure(quotas, self.now());
    }

    /// Handles a received datagram. Returns false if it is not a gossip message.
    pub fn receive(&self, from: u32, data: &[u8]) -> bool {
        if !Message::has_magic(data) {
            return false;
        }
        let answer = self.node.borrow_mut().receive(from, data, self.now());
        if let Some(answer) = answer {
            self.peers.send(from, &answer);
        }
        self.received.notify_one();
        true
    }

    /// Sends messages when they are due. Never returns.
    pub async fn run(self: Rc<Membership<P>>) {
        loop {
            let outgoing = self.node.borrow_mut().poll(self.now());
            if let Some(Outgoing { receiver, data }) = outgoing {
                self.peers.send(receiver, &data);
            }
            let deadline = Duration::from_micros(self.node.borrow().next_deadline());
            let wake_at = (self.started_at + deadline).min(P::now() + MAX_SLEEP);
            if wake_at > P::now() {
                tokio::select! {
                    biased;
                    () = P::sleep_until(wake_at) => {}
                    () = self.received.notified() => {}
                }
            }
        }
    }

    /// Returns this sidecar's current view of its tier.
    pub fn snapshot(&self) -> Snapshot {
        self.node.borrow_mut().snapshot(self.now())
    }

    /// Returns the record of every member and the time for which it has been in its state.
    pub fn members(&self) -> Vec<(MemberRecord, Duration)> {
        let members = self.node.borrow().members(self.now());
        members.into_iter().map(|(record, age)| (record, Duration::from_micros(age))).collect()
    }
}
