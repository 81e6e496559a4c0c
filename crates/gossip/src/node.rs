//! The state machine of one member: gossip rounds, received messages, local events and leases.

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

/// Minimum configurable round interval.
const MIN_ROUND_INTERVAL: Micros = 1_000;
/// A link counts as silent after this many rounds without a message. An exchange is initiated on each link at least
/// every eight rounds.
const LINK_TIMEOUT_ROUNDS: Micros = 40;
/// One out of this many rounds is spent on a silent link, since its neighbor may be back.
const SILENT_LINK_ROUNDS: u64 = 4;
/// Time constant, in rounds, of the exponential moving average of estimates.
///
/// Local events change this member's own estimate immediately, but take some exchanges to spread. Without the average,
/// a busy member would assume that all others are as busy. The drawback: a sudden change becomes known later.
const SMOOTHING_ROUNDS: f64 = 3.0;
/// Time for which an initiator waits for an answer before it starts another exchange. A message takes at most 39 ms in
/// each direction.
const ANSWER_TIMEOUT: Micros = 80_000;
/// Number of member records in a message while there are few updates.
const BASE_RECORDS: usize = 6;
/// Unused retries are saved for up to this many seconds of the allowance.
const MAX_SAVED_RETRY_SECONDS: f64 = 0.5;
/// Minimum number of retries that may be saved, so that a single failure among many successes can be retried.
const MIN_SAVED_RETRIES: f64 = 1.0;
/// Origin of incarnations: the beginning of 2025, in milliseconds of Unix time.
const INCARNATION_EPOCH_MS: u64 = 1_735_689_600_000;
/// Incarnations count eighths of a second; this is the length of one unit, in milliseconds.
const INCARNATION_TICK_MS: u64 = 125;

/// A local event at this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An attempt was sent.
    Attempt,
    /// The attempt that was sent is a retry; counted in addition to [`Event::Attempt`].
    Retry,
    /// A request was rejected.
    Rejected,
    /// A request failed.
    Failed,
    /// An attempt failed in a way that a retry might fix.
    RetryableFailure,
}

/// A message to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Number of the member that the message is for.
    pub receiver: u32,
    /// Encoded message.
    pub data: Vec<u8>,
}

/// An exchange that waits for an answer.
#[derive(Clone, Copy, Debug)]
struct PendingExchange {
    peer: u32,
    expires_at: Micros,
}

/// The state machine of one member.
#[derive(Debug)]
pub struct Node {
    config: Config,
    rng: Pcg64Mcg,
    /// Incarnation of this process on its links. It increases with every start, as far as any neighbor remembers the
    /// previous one.
    link_incarnation: u32,
    members: MembershipTable,
    links: Vec<Link>,
    rates: RateWindow,
    /// Local values of this member.
    local: Values,
    /// Moving average of the estimates after exchanges.
    smoothed: Values,
    /// Time of the last exchange; `None` while no link is up.
    smoothed_at: Option<Micros>,
    /// Lease of each tenant.
    leases: Vec<TokenBucket>,
    retry_budget: RetryBudget,
    /// Time of the next round, unless the pending exchange expires later.
    next_round_at: Micros,
    round_count: u64,
    pending: Option<PendingExchange>,
    messages: MessageCounts,
}

/// Returns the incarnation of a process that started at this time; at least 1.
fn incarnation_at(unix_ms: u64) -> u32 {
    let ticks = unix_ms.saturating_sub(INCARNATION_EPOCH_MS) / INCARNATION_TICK_MS;
    u32::try_from(ticks).unwrap_or(u32::MAX / 2).max(1)
}

/// Returns full buckets with the leases of a member without a live link.
fn isolated_leases(config: &Config, now: Micros) -> Vec<TokenBucket> {
    let size = f64::from(config.cluster_size);
    let quotas = config.quotas.per_second.iter();
    quotas.map(|quota| TokenBucket::new(quota / size, now)).collect()
}

impl Node {
    /// Creates a member that has not received any message yet. The demand of tenants and classes beyond [`MAX_TENANTS`]
    /// and [`MAX_CLASSES`] is not shared.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the configuration is out of range.
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
            // All members may start at the same time, so their first rounds are spread over one interval.
            next_round_at: now + rng.next_u64() % config.round_interval,
            round_count: rng.next_u64() % SILENT_LINK_ROUNDS,
            pending: None,
            messages: MessageCounts::default(),
            rng,
            config,
        })
    }

    /// Replaces the quotas, possibly by those of other tenants.
    pub fn reconfigure(&mut self, quotas: TenantQuotas, now: Micros) {
        let previous = std::mem::replace(&mut self.config.quotas, quotas);
        self.config.quotas.per_second.truncate(MAX_TENANTS);
        let quotas = &self.config.quotas;
        if previous.schema != quotas.schema || previous.per_second.len() != quotas.per_second.len()
        {
            self.rates = RateWindow::new(MAX_VALUES, now);
            self.links.iter_mut().for_each(Link::reset_flow);
            self.leases = isolated_leases(&self.config, now);
            // Averages for the previous tenants are not valid for the new ones.
            self.smoothed[FIXED_VALUES..].fill(0.0);
            self.smoothed_at = None;
        }
        self.refresh(now);
    }

    /// Returns when [`Node::poll`] is to be called next, unless a message is received before that.
    pub fn next_deadline(&self) -> Micros {
        self.pending
            .map_or(self.next_round_at, |pending| self.next_round_at.max(pending.expires_at))
    }

    /// Runs a gossip round if one is due, and returns the message to send; `None` if there is none.
    pub fn poll(&mut self, now: Micros) -> Option<Outgoing> {
        if now < self.next_deadline() {
            return None;
        }
        self.pending = None;
        // Rounds are randomized to 0.9 to 1.1 intervals, so that members do not stay synchronized.
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
        Some(Outgoing { receiver, data: self.build_message(index, now) })
    }

    fn suspect_silent_neighbors(&mut self, now: Micros) {
        let timeout = self.link_timeout();
        for link in &self.links {
            // A neighbor from which nothing was ever received is not suspected.
            if link.peer_incarnation() != 0 && link.state(now, timeout) == LinkState::Silent {
                self.members.suspect(link.peer(), now);
            }
        }
    }

    /// Returns the link of this round, and whether an exchange is initiated on it. Links on which this end initiates
    /// are selected in turn, and every [`SILENT_LINK_ROUNDS`] rounds a silent link is. A member that receives nothing
    /// sends on all of its links in turn.
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

    fn build_message(&mut self, index: usize, now: Micros) -> Vec<u8> {
        let (estimate, value_count) = (self.estimate(), self.layout().value_count());
        let local = LocalState {
            incarnation: self.link_incarnation,
            schema: self.config.quotas.schema,
            estimate: &estimate,
        };
        let link = &mut self.links[index];
        let mut message = link.next_message(local, value_count, now);
        let capacity = Message::record_capacity(value_count);
        message.records = self.members.records_for(link.peer(), BASE_RECORDS, capacity);
        self.messages.sent += 1;
        message.encode()
    }

    /// Handles a datagram from a peer, and returns the answer to that peer if there is one.
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
        // Only an initiator's message is answered, so that answers do not cause further answers.
        let is_request = message.payload == Payload::Estimate && !self.links[index].is_initiator();
        is_request.then(|| self.build_message(index, now))
    }

    /// Returns whether a message on a link is neither outdated nor implausible. If so, its values are exchanged.
    fn accept(&mut self, index: usize, message: &Message, now: Micros) -> bool {
        let estimate = self.estimate();
        let peer = self.links[index].peer();
        // The table ignores an incarnation from the far future, which no valid incarnation could supersede.
        let sender = MemberRecord {
            member: peer as u16,
            incarnation: message.incarnation,
            state: MemberState::Alive,
        };
        self.members.apply(sender, now);
        let known_incarnation = self.members.record(peer).map_or(0, |record| record.incarnation);
        // If the clock of this member is behind its state at an earlier start, all others would ignore its messages, so
        // it adopts a higher incarnation than the one that the neighbor remembers.
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

    /// Counts a request of a class and a tenant. Returns whether it is within this member's lease of the tenant's
    /// quota; always true for a tenant whose demand is not shared.
    pub fn try_admit(&mut self, class: usize, tenant: usize, now: Micros) -> bool {
        let layout = self.layout();
        if class < layout.class_count {
            self.rates.record(layout.class(class), now);
        }
        let Some(lease) = self.leases.get_mut(tenant) else { return true };
        self.rates.record(layout.tenant(tenant), now);
        lease.try_acquire(now)
    }

    /// Counts a local event.
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

    /// Returns the limits of the retries that this member may send, as of its last round.
    pub fn retry_budget(&self) -> RetryBudget {
        self.retry_budget
    }

    fn demand(&self, values: &Values) -> Demand {
        let layout = self.layout();
        let requests = values[layout.classes()].iter().sum();
        Demand { requests, failed: values[layout.retryable_failures()] }
    }

    /// Adds the estimate after an exchange to the moving average.
    fn update_smoothed(&mut self, now: Micros) {
        let estimate = self.estimate();
        let weight = match self.smoothed_at {
            None => 1.0,
            Some(at) => {
                let elapsed = now.saturating_sub(at) as f64 / self.config.round_interval as f64;
                1.0 - libm::exp(-elapsed / SMOOTHING_ROUNDS)
            }
        };
        for (smoothed, value) in self.smoothed.iter_mut().zip(&estimate) {
            *smoothed += weight * (value - *smoothed);
        }
        self.smoothed_at = Some(now);
    }

    /// Returns the time without a message after which a link counts as silent. With short round intervals, the time
    /// that answers take limits the rounds, since a member waits for an answer before its next round.
    fn link_timeout(&self) -> Micros {
        LINK_TIMEOUT_ROUNDS * self.config.round_interval.max(ANSWER_TIMEOUT / 2)
    }

    /// Updates the links, the local values, the leases and the retry budget.
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
        // A member without recent requests has no rate to divide by, so the next request gets the plain share.
        let per_request =
            if local.requests > 0.0 { (allowance / local.requests).min(1.0) } else { RETRY_SHARE };
        let max_saved = (allowance * MAX_SAVED_RETRY_SECONDS).max(MIN_SAVED_RETRIES);
        self.retry_budget = RetryBudget { per_request, max_saved };
    }

    /// Returns this member's estimate of the mean over all members that exchange values.
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

    /// Returns the estimated number of members that exchange values, this one included.
    fn reachable_members(&self) -> f64 {
        if self.links_up() == 0 {
            return 1.0;
        }
        let size = f64::from(self.config.cluster_size);
        (1.0 + (size - 1.0) * self.smoothed[LINKS_UP]).clamp(1.0, size)
    }

    /// Returns this member's view of the cluster as of `now`.
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

    /// Returns the record of every member and the time for which it has been in its state.
    pub fn members(&self, now: Micros) -> Vec<(MemberRecord, Micros)> {
        let member = |id| {
            let since = self.members.state_since(id)?;
            Some((self.members.effective_record(id)?, now.saturating_sub(since)))
        };
        (0..self.config.cluster_size).filter_map(member).collect()
    }
}
