//! State machine of a host: it selects the control server to watch, schedules watch requests, and decides which
//! configuration to apply. It never applies a configuration that is older than the applied one.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::Generation;
use crate::documents::{Document, DocumentKey, Interest};
use crate::watch::{ApplyFailure, WatchRequest, WatchResponse};

/// Maximum time for which a control server may hold a watch request.
///
/// A server whose process is stopped keeps its connections open without responding, which delays a change. The hold,
/// the response timeout, the jitter and one more request have to fit into the time within which a change has to be
/// applied. A shorter hold costs more requests: each host sends one per hold.
pub const WATCH_HOLD: Duration = Duration::from_millis(2_500);
/// Maximum time for a response after the hold has ended.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Range of the random delay over which hosts reconnect to other servers after they have all lost the same one.
pub const RECONNECT_JITTER: Duration = Duration::from_millis(1_500);
/// Backoff after the first failure. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of times that the backoff doubles. It keeps the shift from overflowing.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Maximum time for which a server is avoided after a failure. It is shorter for hosts that know only few servers.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(5);
/// Delay after which a configuration is applied again if it failed for a temporary reason.
const REAPPLY_DELAY: Duration = Duration::from_secs(2);
/// Minimum time after which a host on a fallback server tries its preferred server again. Jitter adds up to the same
/// time.
const PREFERRED_RETRY_INTERVAL: Duration = Duration::from_secs(20);

/// All documents for one host, as of one generation.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ConfigSnapshot {
    /// The generation of the configuration.
    pub generation: Generation,
    /// The documents that match the host's interest.
    pub documents: Vec<Document>,
}

/// The next action of a host.
#[derive(Clone, Debug)]
pub enum HostAction {
    /// Send a watch request to a control server.
    Watch {
        /// The index in the list of servers.
        server: usize,
    },
    /// Wait before the next action.
    Wait {
        /// The time at which the wait ends.
        until: Duration,
    },
    /// Apply a configuration again that failed for a temporary reason.
    Apply(ConfigSnapshot),
}

/// The outcome of applying a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The configuration is applied.
    Applied,
    /// The configuration was rejected for this reason, and is not retried.
    Rejected(String),
    /// The configuration could not be applied for this temporary reason, and is retried.
    Retry(String),
}

/// The way in which a watch request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// The request failed on a connection on which the server had responded before.
    ConnectionLost,
    /// The server could not be reached, or has never responded on the connection.
    Unreachable,
}

/// A control server that a host may watch.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    /// The index in the list of servers.
    server: usize,
    /// Time until which the server is avoided after a failure.
    avoided_until: Duration,
}

/// The state machine of a host.
pub struct Host {
    name: String,
    interest: Interest,
    /// The servers in the order of preference, the preferred one first.
    candidates: Vec<Candidate>,
    /// Position in `candidates` of the server that is watched; `None` until one is selected.
    current: Option<usize>,
    next_watch_at: Duration,
    failures: u32,
    /// Time at which the preferred server is tried again; `None` if that is not scheduled.
    retry_preferred_at: Option<Duration>,
    /// The last received generation; 0 requests a snapshot.
    received: Generation,
    applied: Generation,
    failure: Option<ApplyFailure>,
    /// Time at which the last configuration is applied again; `None` if no retry is scheduled.
    reapply_at: Option<Duration>,
    documents: BTreeMap<DocumentKey, Document>,
    rng: Pcg64Mcg,
}

/// Computes a hash that is the same on all machines and in all versions: FNV-1a with the finalizer of SplitMix64.
fn stable_hash(parts: [&[u8]; 2]) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let bytes = parts.into_iter().flat_map(|part| part.iter().copied().chain([0]));
    let hash =
        bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    let hash = (hash ^ hash >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ hash >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ hash >> 31
}

/// Returns a random duration below `limit`, in whole milliseconds.
fn random_below(rng: &mut Pcg64Mcg, limit: Duration) -> Duration {
    let limit = (limit.as_millis() as u64).max(1);
    Duration::from_millis(rng.next_u64() % limit)
}

impl Host {
    /// Creates a host with these control servers, given by name. `applied` is the applied configuration as far as it is
    /// known.
    ///
    /// The order of preference comes from rendezvous hashing (Thaler, Ravishankar, 1998): each server is preferred by
    /// an equal share of the hosts, and the hosts of a lost server spread evenly over the others.
    pub fn new(
        name: String,
        interest: Interest,
        servers: &[String],
        applied: ConfigSnapshot,
        seed: u64,
    ) -> Host {
        let weight = |server: &usize| stable_hash([name.as_bytes(), servers[*server].as_bytes()]);
        let mut order: Vec<usize> = (0..servers.len()).collect();
        order.sort_by_key(|server| std::cmp::Reverse(weight(server)));
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ stable_hash([name.as_bytes(), b""]));
        // The first requests of hosts that start together are spread, too.
        let next_watch_at = random_below(&mut rng, RECONNECT_JITTER);
        let candidate = |server| Candidate { server, avoided_until: Duration::ZERO };
        let documents = applied.documents.into_iter();
        Host {
            name,
            interest,
            candidates: order.into_iter().map(candidate).collect(),
            current: None,
            next_watch_at,
            failures: 0,
            retry_preferred_at: None,
            // The stored documents may be incomplete if the host's services have changed since, so a snapshot is
            // requested.
            received: 0,
            applied: applied.generation,
            failure: None,
            reapply_at: None,
            documents: documents.map(|document| (document.key.clone(), document)).collect(),
            rng,
        }
    }

    /// Returns a random duration below `limit`.
    fn jitter(&mut self, limit: Duration) -> Duration {
        random_below(&mut self.rng, limit)
    }

    /// Returns the applied generation.
    pub fn applied(&self) -> Generation {
        self.applied
    }

    /// Returns the index of the control server that is watched, in the list of servers.
    pub fn server(&self) -> Option<usize> {
        self.current.map(|current| self.candidates[current].server)
    }

    /// Returns all received documents.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    fn snapshot(&self) -> ConfigSnapshot {
        let documents = self.documents.values().cloned().collect();
        ConfigSnapshot { generation: self.received, documents }
    }

    /// Returns the next action.
    pub fn next_action(&mut self, now: Duration) -> HostAction {
        if self.reapply_at.is_some_and(|at| at <= now) {
            return HostAction::Apply(self.snapshot());
        }
        if now < self.next_watch_at {
            return HostAction::Wait { until: self.next_watch_at };
        }
        let is_retry_due = self.retry_preferred_at.is_none_or(|at| now >= at);
        if self.is_on_fallback_server() && is_retry_due {
            self.schedule_preferred_retry(now);
            self.current = None;
        }
        let available = || self.candidates.iter().position(|c| c.avoided_until <= now);
        match self.current.or_else(available) {
            Some(position) => {
                self.current = Some(position);
                HostAction::Watch { server: self.candidates[position].server }
            }
            None => {
                let soonest = self.candidates.iter().map(|c| c.avoided_until).min();
                HostAction::Wait { until: soonest.unwrap_or(now + AVOID_AFTER_FAILURE) }
            }
        }
    }

    /// Returns whether the host watches a server other than its preferred one.
    fn is_on_fallback_server(&self) -> bool {
        self.current.is_some_and(|current| current > 0)
    }

    fn schedule_preferred_retry(&mut self, now: Duration) {
        let jitter = self.jitter(PREFERRED_RETRY_INTERVAL);
        self.retry_preferred_at = Some(now + PREFERRED_RETRY_INTERVAL + jitter);
    }

    /// Returns the next watch request.
    pub fn watch_request(&self) -> WatchRequest {
        WatchRequest {
            host: self.name.clone(),
            interest: self.interest.clone(),
            since: self.received,
            applied: self.applied,
            failure: self.failure.clone(),
        }
    }

    /// Records that a watch request failed, and schedules the next one.
    pub fn watch_failed(&mut self, failure: WatchFailure, now: Duration) {
        let Some(current) = self.current.take() else { return };
        // The fewer servers there are, the sooner a failed one is tried again.
        let limit = MAX_BACKOFF * self.candidates.len() as u32 / 2;
        self.candidates[current].avoided_until = now + AVOID_AFTER_FAILURE.min(limit);
        // If all servers have failed, none is avoided, so that the first one to come back is found.
        if self.candidates.iter().all(|candidate| candidate.avoided_until > now) {
            self.candidates.iter_mut().for_each(|candidate| candidate.avoided_until = now);
        }
        self.schedule_preferred_retry(now);
        // Hundreds of hosts lose the same server at the same time, so the reconnects are spread. A long delay would
        // hold up the change that is being distributed.
        let max_delay = match failure {
            WatchFailure::ConnectionLost => RECONNECT_JITTER,
            WatchFailure::Unreachable => self.backoff(),
        };
        self.failures += 1;
        self.next_watch_at = now + self.jitter(max_delay);
    }

    /// Returns the maximum delay after the current number of consecutive failures.
    fn backoff(&self) -> Duration {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF)
    }

    /// Processes a response. Returns the configuration to apply, if there is a new one.
    pub fn receive(&mut self, response: WatchResponse, now: Duration) -> Option<ConfigSnapshot> {
        self.failures = 0;
        if self.is_on_fallback_server() && self.retry_preferred_at.is_none() {
            self.schedule_preferred_retry(now);
        }
        if response.generation < self.received.max(self.applied) {
            // The server lags. The host goes on watching it, and gets the newer changes once the server has them.
            self.next_watch_at = now + self.jitter(RECONNECT_JITTER);
            return None;
        }
        let known = if response.is_snapshot { BTreeMap::new() } else { self.documents.clone() };
        let received = response.documents.into_iter();
        let received = received.map(|document| (document.key.clone(), document));
        let documents: BTreeMap<_, _> = known.into_iter().chain(received).collect();
        self.received = response.generation;
        let is_unchanged = same_revisions(&documents, &self.documents);
        self.documents = documents;
        if !is_unchanged {
            return Some(self.snapshot());
        }
        // A configuration that was rejected would be rejected again.
        if self.failure.is_none() {
            self.applied = self.received;
        }
        None
    }

    /// Records the outcome of applying a configuration.
    pub fn record_outcome(&mut self, generation: Generation, outcome: ApplyOutcome, now: Duration) {
        (self.reapply_at, self.failure) = (None, None);
        match outcome {
            ApplyOutcome::Applied => self.applied = generation,
            ApplyOutcome::Rejected(reason) => {
                self.failure = Some(ApplyFailure { generation, reason });
            }
            ApplyOutcome::Retry(reason) => {
                self.failure = Some(ApplyFailure { generation, reason });
                self.reapply_at = Some(now + REAPPLY_DELAY);
            }
        }
    }
}

/// Returns whether two sets hold the same revisions of the same documents.
fn same_revisions(
    a: &BTreeMap<DocumentKey, Document>,
    b: &BTreeMap<DocumentKey, Document>,
) -> bool {
    let revision = |document: &Document| (document.generation, document.is_tombstone());
    a.len() == b.len()
        && a.iter().zip(b).all(|((key_a, document_a), (key_b, document_b))| {
            key_a == key_b && revision(document_a) == revision(document_b)
        })
}
