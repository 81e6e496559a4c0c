//! One member's state machine: gossip rounds, received messages, local events, leases.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config::{Config, ConfigError, TenantQuotas};
use crate::layout::{ATTEMPTS, FAILED, LINKS_UP, Layout, REJECTED, RETRIES};
use crate::leases::{Demand, RETRY_SHARE, TokenBucket, quota_lease, retry_allowance};
use crate::link::{Link, LinkState, LocalState, Values};
use crate::membership::{MemberRecord, MemberState, MembershipTable};
use crate::message::{
    DecodeError, FIXED_VALUES, MAX_CLASSES, MAX_TENANTS, MAX_VALUES, Message, Payload,
};
use crate::rate_window::RateWindow;
use crate::snapshot::{LinkCounts, MessageCounts, RetryBudget, Snapshot, TenantSnapshot};
use crate::topology::neighbors;
use crate::{MAX_MEMBERS, Micros};

/// The shortest round that can be configured.
const MIN_ROUND_INTERVAL: Micros = 1_000;
/// A link is silent after this many rounds. On each link an exchange is initiated every eight rounds at the latest.
const LINK_TIMEOUT_ROUNDS: Micros = 40;
/// One of this many rounds goes to a silent link: its neighbor may be back.
const SILENT_LINK_ROUNDS: u64 = 4;
/// The time constant, in rounds, of the running mean of estimates.
///
/// Local events enter this member's own estimate at once, and take some exchanges to spread; without the mean, a busy
/// member would believe that all others are as busy. The price: a sudden change is known later.
const SMOOTHING_ROUNDS: f64 = 3.0;
/// How long an initiator waits for its answer before it begins another exchange: a message takes 39 ms at the most,
/// each way.
const ANSWER_TIMEOUT: Micros = 80_000;
/// Member records in a message where there are few updates.
const USUAL_RECORDS: usize = 6;
/// Retries may be saved up for this many seconds.
const MAX_SAVED_RETRY_SECONDS: f64 = 0.5;
/// Saved retries that are always allowed: one failure among many successes is retried.
const MIN_SAVED_RETRIES: f64 = 1.0;
/// The beginning of 2025 in Unix time, from which incarnations are counted.
const INCARNATION_EPOCH_MS: u64 = 1_735_689_600_000;
/// Incarnations count eighths of a second.
const INCARNATION_TICK_MS: u64 = 125;

/// Something that happened at this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An attempt was sent.
    Attempt,
    /// The attempt was a retry.
    Retry,
    /// A request was rejected.
    Rejected,
    /// A request failed.
    Failed,
    /// An attempt failed that a retry might mend.
    RetryableFailure,
}

/// A message to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The number of the member that it is for.
    pub receiver: u32,
    /// The datagram.
    pub data: Vec<u8>,
}

/// An exchange that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct PendingExchange {
    peer: u32,
    expires_at: Micros,
}

/// One member of the cluster.
#[derive(Debug)]
pub struct Node {
    config: Config,
    rng: Pcg64Mcg,
    /// The incarnation of this process on its links: rises with every start, as far as any neighbor remembers.
    link_incarnation: u32,
    members: MembershipTable,
    links: Vec<Link>,
    rates: RateWindow,
    /// This member's own values.
    local: Values,
    /// The running mean of estimates just after exchanges.
    smoothed: Values,
    /// When the last exchange was; `None` while no link is up.
    smoothed_at: Option<Micros>,
    /// The lease of each tenant.
    leases: Vec<TokenBucket>,
    retry_budget: RetryBudget,
    /// When the next round is due, unless an answer is waited for until later.
    next_round_at: Micros,
    round_count: u64,
    pending: Option<PendingExchange>,
    messages: MessageCounts,
}

/// The incarnation of a process that started at this time; 1 at the least.
fn incarnation_at(unix_ms: u64) -> u32 {
    let ticks = unix_ms.saturating_sub(INCARNATION_EPOCH_MS) / INCARNATION_TICK_MS;
    u32::try_from(ticks).unwrap_or(u32::MAX / 2).max(1)
}

/// Full buckets with the leases of a member without a live link.
fn isolated_leases(config: &Config, now: Micros) -> Vec<TokenBucket> {
    let size = f64::from(config.cluster_size);
    let quotas = config.quotas.per_second.iter();
    quotas.map(|quota| TokenBucket::new(quota / size, now)).collect()
}

impl Node {
    /// A member that has received nothing yet. Tenants and classes beyond [`MAX_TENANTS`] and [`MAX_CLASSES`] are
    /// not shared.
    ///
    /// # Errors
    ///
    /// The part of the configuration that is out of range.
    pub fn new(mut config: Config, now: Micros) -> Result<Node, ConfigError> {
        if config.cluster_size > MAX_MEMBERS || config.local_id >= config.cluster_size {
            return Err(ConfigError::MemberNumber);
        }
        if config.round_interval < MIN_ROUND_INTERVAL {
            return Err(ConfigError::RoundInterval);
        }
        config.quotas.per_second.truncate(MAX_TENANTS);
        config.class_count = config.class_count.min(MAX_CLASSES);
        let incarnation = incarnation_at(config.started_unix_ms);
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed ^ u64::from(config.local_id) << 32);
        let neighbors = neighbors(config.cluster_size);
        let peers = neighbors[config.local_id as usize].iter();
        Ok(Node {
            links: peers.map(|peer| Link::new(config.local_id, *peer)).collect(),
            members: MembershipTable::new(config.local_id, neighbors, incarnation, now),
            link_incarnation: incarnation,
            rates: RateWindow::new(MAX_VALUES, now),
            local: [0.0; MAX_VALUES],
            smoothed: [0.0; MAX_VALUES],
            smoothed_at: None,
            leases: isolated_leases(&config, now),
            retry_budget: RetryBudget { per_request: RETRY_SHARE, max_saved: MIN_SAVED_RETRIES },
            // All members may start at once: their first rounds are spread over one interval.
            next_round_at: now + rng.next_u64() % config.round_interval,
            round_count: rng.next_u64() % SILENT_LINK_ROUNDS,
            pending: None,
            messages: MessageCounts::default(),
            rng,
            config,
        })
    }

    /// Puts other quotas in force, possibly of other tenants.
    pub fn reconfigure(&mut self, quotas: TenantQuotas, now: Micros) {
        let previous = std::mem::replace(&mut self.config.quotas, quotas);
        self.config.quotas.per_second.truncate(MAX_TENANTS);
        let quotas = &self.config.quotas;
        if previous.schema != quotas.schema || previous.per_second.len() != quotas.per_second.len()
        {
            self.rates = RateWindow::new(MAX_VALUES, now);
            self.links.iter_mut().for_each(Link::reset_flow);
            self.leases = isolated_leases(&self.config, now);
            // What was known of other tenants does not hold for these.
            self.smoothed[FIXED_VALUES..].fill(0.0);
            self.smoothed_at = None;
        }
        self.refresh(now);
    }

    /// When [`Node::poll`] is to be called next, unless a message is received before.
    pub fn next_deadline(&self) -> Micros {
        self.pending
            .map_or(self.next_round_at, |pending| self.next_round_at.max(pending.expires_at))
    }

    /// Runs a gossip round if one is due, and returns the message to be sent.
    pub fn poll(&mut self, now: Micros) -> Option<Outgoing> {
        if now < self.next_deadline() {
            return None;
        }
        self.pending = None;
        // From nine tenths to eleven: no two members stay synchronized.
        let interval = self.config.round_interval;
        self.next_round_at = now + interval * 9 / 10 + self.rng.next_u64() % (interval / 5).max(1);
        self.round_count += 1;
        self.refresh(now);
        self.members.advance(now);
        self.suspect_silent_neighbors(now);
        let (index, initiates) = self.select_link(now)?;
        let receiver = self.links[index].peer();
        if initiates {
            let expires_at = now + ANSWER_TIMEOUT;
            self.pending = Some(PendingExchange { peer: receiver, expires_at });
        }
        Some(Outgoing { receiver, data: self.write_message(index, now) })
    }

    fn suspect_silent_neighbors(&mut self, now: Micros) {
        let timeout = self.link_timeout();
        for link in &self.links {
            // A neighbor from which nothing was ever received is not missed.
            if link.peer_incarnation() != 0 && link.state(now, timeout) == LinkState::Silent {
                self.members.suspect(link.peer(), now);
            }
        }
    }

    /// The link of this round, and whether an exchange is initiated on it. Links on which this end initiates come in
    /// turn, now and then a silent one. A member that receives nothing sends on all of its links.
    fn select_link(&self, now: Micros) -> Option<(usize, bool)> {
        let timeout = self.link_timeout();
        let is_silent = |n: &usize| self.links[*n].state(now, timeout) == LinkState::Silent;
        let indices = || 0..self.links.len();
        let exchange = indices()
            .filter(|n| self.links[*n].is_initiator() && !is_silent(n))
            .min_by_key(|n| self.links[*n].exchange_order());
        let silent = indices().filter(is_silent).min_by_key(|n| self.links[*n].sent_at());
        let prefers_silent = self.round_count.is_multiple_of(SILENT_LINK_ROUNDS);
        let index = if prefers_silent { silent.or(exchange) } else { exchange.or(silent) }?;
        Some((index, Some(index) == exchange))
    }

    fn write_message(&mut self, index: usize, now: Micros) -> Vec<u8> {
        let (estimate, value_count) = (self.estimate(), self.layout().value_count());
        let local = LocalState {
            incarnation: self.link_incarnation,
            schema: self.config.quotas.schema,
            estimate: &estimate,
        };
        let link = &mut self.links[index];
        let mut message = link.next_message(local, value_count, now);
        let capacity = Message::record_capacity(value_count);
        message.records = self.members.records_for(link.peer(), USUAL_RECORDS, capacity);
        self.messages.sent += 1;
        message.encode()
    }

    /// Takes a datagram from a peer in. What is returned is the answer to that peer.
    pub fn receive(&mut self, from: u32, data: &[u8], now: Micros) -> Option<Vec<u8>> {
        let message = match Message::decode(data) {
            Ok(message) => message,
            Err(DecodeError::ForeignProtocol) => return None,
            Err(DecodeError::Truncated | DecodeError::Corrupt) => {
                self.messages.corrupt += 1;
                return None;
            }
        };
        let accepted = self.links.iter().position(|link| link.peer() == from);
        let accepted = accepted.filter(|index| self.accept(*index, &message, now));
        let Some(index) = accepted else {
            self.messages.stale += 1;
            return None;
        };
        self.messages.received += 1;
        self.members.confirm_alive(from, now);
        for record in &message.records {
            self.members.apply(*record, now);
        }
        let timeout = self.link_timeout();
        self.links[index].refresh(now, timeout);
        if self.pending.is_some_and(|pending| pending.peer == from) {
            self.pending = None;
        }
        if self.links[index].is_up() {
            self.update_smoothed(now);
        }
        // Only an initiator's message is answered, so no answer leads to another.
        let is_request = message.payload == Payload::Estimate && !self.links[index].is_initiator();
        is_request.then(|| self.write_message(index, now))
    }

    /// Whether a message on a link is neither old nor implausible; its values are exchanged then.
    fn accept(&mut self, index: usize, message: &Message, now: Micros) -> bool {
        let estimate = self.estimate();
        let peer = self.links[index].peer();
        // An incarnation from the far future would shut out the true ones after it: the table ignores it.
        let sender = MemberRecord {
            member: peer as u16,
            incarnation: message.incarnation,
            state: MemberState::Alive,
        };
        self.members.apply(sender, now);
        let known_incarnation = self.members.record(peer).map_or(0, |record| record.incarnation);
        // A member whose clock is behind what it was at an earlier start would be ignored by all.
        let remembered = message.receiver_incarnation;
        if remembered > self.link_incarnation && self.members.is_plausible(remembered, now) {
            self.link_incarnation = remembered + 1;
            self.members.refute(self.link_incarnation, now);
            self.links.iter_mut().for_each(Link::reset_flow);
        }
        let local = LocalState {
            incarnation: self.link_incarnation,
            schema: self.config.quotas.schema,
            estimate: &estimate,
        };
        known_incarnation >= message.incarnation && self.links[index].receive(message, local, now)
    }

    fn layout(&self) -> Layout {
        Layout {
            tenant_count: self.config.quotas.per_second.len(),
            class_count: self.config.class_count,
        }
    }

    /// Counts a request of a class and a tenant. Returns whether it is within what may be spent here of the tenant's
    /// quota, which is always so for a tenant that is not shared.
    pub fn try_admit(&mut self, class: usize, tenant: usize, now: Micros) -> bool {
        let layout = self.layout();
        if class < layout.class_count {
            self.rates.record(layout.class(class), now);
        }
        let Some(lease) = self.leases.get_mut(tenant) else { return true };
        self.rates.record(layout.tenant(tenant), now);
        lease.try_acquire(now)
    }

    /// Counts an event at this member.
    pub fn record(&mut self, event: Event, now: Micros) {
        let position = match event {
            Event::Attempt => ATTEMPTS,
            Event::Retry => RETRIES,
            Event::Rejected => REJECTED,
            Event::Failed => FAILED,
            Event::RetryableFailure => self.layout().retryable_failures(),
        };
        self.rates.record(position, now);
    }

    /// How many retries this member may send, as of its last round.
    pub fn retry_budget(&self) -> RetryBudget {
        self.retry_budget
    }

    fn demand(&self, values: &Values) -> Demand {
        let layout = self.layout();
        let requests = values[layout.classes()].iter().sum();
        Demand { requests, failed: values[layout.retryable_failures()] }
    }

    /// Takes the estimate after an exchange into the running mean.
    fn update_smoothed(&mut self, now: Micros) {
        let estimate = self.estimate();
        let weight = match self.smoothed_at {
            None => 1.0,
            Some(at) => {
                let elapsed = now.saturating_sub(at) as f64 / self.config.round_interval as f64;
                1.0 - (-elapsed / SMOOTHING_ROUNDS).exp()
            }
        };
        for (smoothed, value) in self.smoothed.iter_mut().zip(&estimate) {
            *smoothed += weight * (value - *smoothed);
        }
        self.smoothed_at = Some(now);
    }

    /// After this time without a message a link is silent. A member that waits for answers has its rounds no sooner
    /// than these arrive.
    fn link_timeout(&self) -> Micros {
        LINK_TIMEOUT_ROUNDS * self.config.round_interval.max(ANSWER_TIMEOUT / 2)
    }

    /// Brings links, this member's own values, leases and the retry budget up to date.
    fn refresh(&mut self, now: Micros) {
        let timeout = self.link_timeout();
        self.links.iter_mut().for_each(|link| link.refresh(now, timeout));
        self.rates.advance(now);
        for (position, value) in self.local.iter_mut().enumerate().skip(1) {
            *value = self.rates.per_second(position);
        }
        let links_up = self.links_up();
        self.local[LINKS_UP] = links_up as f64 / self.links.len().max(1) as f64;
        if links_up == 0 {
            (self.smoothed, self.smoothed_at) = (self.local, None);
        }
        self.refresh_leases(now);
        self.refresh_retry_budget();
    }

    fn refresh_leases(&mut self, now: Micros) {
        let (layout, reachable) = (self.layout(), self.reachable_members());
        let size = f64::from(self.config.cluster_size);
        let quotas = self.config.quotas.per_second.iter();
        for (n, (quota, lease)) in quotas.zip(&mut self.leases).enumerate() {
            let position = layout.tenant(n);
            let total = reachable * self.smoothed[position];
            let rate = quota_lease(*quota, self.local[position], total, reachable, size);
            lease.set_rate(rate, now);
        }
    }

    fn refresh_retry_budget(&mut self) {
        let reachable = self.reachable_members();
        let (local, mean) = (self.demand(&self.local), self.demand(&self.smoothed));
        let total = Demand { requests: reachable * mean.requests, failed: reachable * mean.failed };
        let allowance = retry_allowance(local, total, reachable);
        // At a member without recent requests the next request is its first.
        let per_request =
            if local.requests > 0.0 { (allowance / local.requests).min(1.0) } else { RETRY_SHARE };
        let max_saved = (allowance * MAX_SAVED_RETRY_SECONDS).max(MIN_SAVED_RETRIES);
        self.retry_budget = RetryBudget { per_request, max_saved };
    }

    /// This member's estimate of the mean over all members that exchange values.
    fn estimate(&self) -> Values {
        let mut estimate = self.local;
        for link in self.links.iter().filter(|link| link.is_up()) {
            for (value, flow) in estimate.iter_mut().zip(link.flow()) {
                *value -= flow;
            }
        }
        estimate
    }

    fn links_up(&self) -> usize {
        self.links.iter().filter(|link| link.is_up()).count()
    }

    /// The estimated number of members that exchange values, this one among them.
    fn reachable_members(&self) -> f64 {
        if self.links_up() == 0 {
            return 1.0;
        }
        let size = f64::from(self.config.cluster_size);
        (1.0 + (size - 1.0) * self.smoothed[LINKS_UP]).clamp(1.0, size)
    }

    /// What is known at `now`.
    pub fn snapshot(&mut self, now: Micros) -> Snapshot {
        self.refresh(now);
        let (layout, reachable) = (self.layout(), self.reachable_members());
        let sum = |position: usize| (reachable * self.smoothed[position]).max(0.0);
        let tenants = self.config.quotas.per_second.iter().zip(&self.leases).enumerate();
        let tenant = |(n, (quota, lease)): (usize, (&f64, &TokenBucket))| TenantSnapshot {
            demand_per_s: sum(layout.tenant(n)),
            local_demand_per_s: self.local[layout.tenant(n)],
            quota_per_s: *quota,
            lease_per_s: lease.rate_per_s(),
            within_lease: lease.granted(),
            beyond_lease: lease.denied(),
        };
        let last_received = self.links.iter().filter_map(Link::received_at).max();
        Snapshot {
            incarnation: self.members.incarnation(),
            reachable_members: reachable,
            members: self.members.counts(),
            links: LinkCounts { up: self.links_up(), total: self.links.len() },
            last_received_age: last_received.map(|at| now.saturating_sub(at)),
            attempts_per_s: sum(ATTEMPTS),
            retries_per_s: sum(RETRIES),
            rejected_per_s: sum(REJECTED),
            failed_per_s: sum(FAILED),
            retryable_failures_per_s: sum(layout.retryable_failures()),
            retry_budget: self.retry_budget,
            class_demand_per_s: layout.classes().map(sum).collect(),
            tenants: tenants.map(tenant).collect(),
            messages: self.messages,
        }
    }

    /// What is known of every member, and how long each has been in its state.
    pub fn members(&self, now: Micros) -> Vec<(MemberRecord, Micros)> {
        let member = |id| {
            let since = self.members.state_since(id)?;
            Some((self.members.effective_record(id)?, now.saturating_sub(since)))
        };
        (0..self.config.cluster_size).filter_map(member).collect()
    }
}
