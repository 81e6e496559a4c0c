//! The decisions of a host: which control server it watches and when, and what it applies. It never applies a
//! configuration that is older than the applied one.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::Generation;
use crate::documents::{Document, DocumentKey, Interest};
use crate::watch::{ApplyFailure, WatchRequest, WatchResponse};

/// How long a control server may hold a watch request.
///
/// A server that is stopped keeps its connections open and says nothing, and a change waits meanwhile. The hold, the
/// response timeout, the jitter and one more request have to fit into the time within which a change is to be
/// applied. A shorter hold costs requests: one for each hold and host.
pub const WATCH_HOLD: Duration = Duration::from_millis(2_500);
/// How long a response may take after the hold.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The jitter over which hosts that have lost one server together reconnect to others.
pub const RECONNECT_JITTER: Duration = Duration::from_millis(1_500);
/// The backoff after the first failure. It doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The most doublings of the backoff, so that the shift cannot overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// A server that failed is avoided for so long.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(5);
/// A configuration that could not be applied for a passing reason is retried after so long.
const REAPPLY_DELAY: Duration = Duration::from_secs(2);
/// A host that is not at its preferred server tries it again after so long, and up to twice that.
const PREFERRED_RETRY_INTERVAL: Duration = Duration::from_secs(20);

/// All documents for one host, as of one generation.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ConfigSnapshot {
    /// The generation.
    pub generation: Generation,
    /// The documents.
    pub documents: Vec<Document>,
}

/// What a host does next.
#[derive(Clone, Debug)]
pub enum HostAction {
    /// Watch this control server, by its index in the list.
    Watch {
        /// The index.
        server: usize,
    },
    /// Wait.
    Wait {
        /// Until then.
        until: Duration,
    },
    /// Retry to apply a configuration.
    Apply(ConfigSnapshot),
}

/// The outcome of applying a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is applied.
    Applied,
    /// It was rejected for this reason, and would be again.
    Rejected(String),
    /// It could not be applied now, for this reason. It is retried.
    Retry(String),
}

/// How far a watch request came that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// The server had answered on this connection before.
    ConnectionLost,
    /// The server could not be reached, or has not answered yet.
    Unreachable,
}

/// A control server that a host may watch.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    /// The index in the list of servers.
    server: usize,
    /// It failed, and is avoided until then.
    avoided_until: Duration,
}

/// A host.
pub struct Host {
    name: String,
    interest: Interest,
    /// The servers, the preferred one first.
    candidates: Vec<Candidate>,
    /// The server that is watched, by its position among the candidates.
    current: Option<usize>,
    next_watch_at: Duration,
    failures: u32,
    /// When the preferred server is tried again, if another one is watched.
    retry_preferred_at: Option<Duration>,
    /// The generation that was received last.
    received: Generation,
    applied: Generation,
    failure: Option<ApplyFailure>,
    /// When the configuration is applied again that could not be applied.
    reapply_at: Option<Duration>,
    documents: BTreeMap<DocumentKey, Document>,
    rng: Pcg64Mcg,
}

/// A hash that is the same on all machines and in all versions: FNV-1a with the finalizer of SplitMix64.
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

/// A random time below `limit`, in whole milliseconds.
fn random_below(rng: &mut Pcg64Mcg, limit: Duration) -> Duration {
    let limit = (limit.as_millis() as u64).max(1);
    Duration::from_millis(rng.next_u64() % limit)
}

impl Host {
    /// A host that knows these control servers by name. `applied` is what is applied, as far as it is known.
    ///
    /// The order of preference comes from rendezvous hashing (Thaler, Ravishankar, 1998): each server is preferred by
    /// its share of the hosts, and when it is lost these spread evenly over the others.
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
        // Hosts that start together are spread, too.
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
            // The stored documents may not be all that it subscribes to now, if it calls other services since.
            received: 0,
            applied: applied.generation,
            failure: None,
            reapply_at: None,
            documents: documents.map(|document| (document.key.clone(), document)).collect(),
            rng,
        }
    }

    /// A random time below `limit`.
    fn jitter(&mut self, limit: Duration) -> Duration {
        random_below(&mut self.rng, limit)
    }

    /// The applied generation.
    pub fn applied(&self) -> Generation {
        self.applied
    }

    /// The control server that is watched, by its index in the list.
    pub fn server(&self) -> Option<usize> {
        self.current.map(|current| self.candidates[current].server)
    }

    /// All documents that it has received for its interest.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    fn snapshot(&self) -> ConfigSnapshot {
        let documents = self.documents.values().cloned().collect();
        ConfigSnapshot { generation: self.received, documents }
    }

    /// What to do next.
    pub fn next_action(&mut self, now: Duration) -> HostAction {
        if self.reapply_at.is_some_and(|at| at <= now) {
            return HostAction::Apply(self.snapshot());
        }
        if now < self.next_watch_at {
            return HostAction::Wait { until: self.next_watch_at };
        }
        let is_retry_due = self.retry_preferred_at.is_none_or(|at| now >= at);
        if self.is_away() && is_retry_due {
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

    /// Whether it watches another server than the preferred one.
    fn is_away(&self) -> bool {
        self.current.is_some_and(|current| current > 0)
    }

    fn schedule_preferred_retry(&mut self, now: Duration) {
        let jitter = self.jitter(PREFERRED_RETRY_INTERVAL);
        self.retry_preferred_at = Some(now + PREFERRED_RETRY_INTERVAL + jitter);
    }

    /// The request that it sends next.
    pub fn watch_request(&self) -> WatchRequest {
        WatchRequest {
            host: self.name.clone(),
            interest: self.interest.clone(),
            since: self.received,
            applied: self.applied,
            failure: self.failure.clone(),
        }
    }

    /// Takes in that a watch request failed.
    pub fn watch_failed(&mut self, failure: WatchFailure, now: Duration) {
        let Some(current) = self.current.take() else { return };
        let longest = MAX_BACKOFF * self.candidates.len() as u32 / 2;
        self.candidates[current].avoided_until = now + AVOID_AFTER_FAILURE.min(longest);
        // If all servers fail, none is avoided: otherwise nobody would be watched when they are back.
        if self.candidates.iter().all(|candidate| candidate.avoided_until > now) {
            self.candidates.iter_mut().for_each(|candidate| candidate.avoided_until = now);
        }
        self.schedule_preferred_retry(now);
        // Hundreds of hosts lose one server at the same time. A long delay would hold up the change that is just being
        // distributed.
        let max_delay = match failure {
            WatchFailure::ConnectionLost => RECONNECT_JITTER,
            WatchFailure::Unreachable => self.backoff(),
        };
        self.failures += 1;
        self.next_watch_at = now + self.jitter(max_delay);
    }

    /// The longest delay after the present number of failures.
    fn backoff(&self) -> Duration {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF)
    }

    /// Takes in a response. Returns the configuration that is to be applied now, if there is a new one.
    pub fn receive(&mut self, response: WatchResponse, now: Duration) -> Option<ConfigSnapshot> {
        self.failures = 0;
        if self.is_away() && self.retry_preferred_at.is_none() {
            self.schedule_preferred_retry(now);
        }
        if response.generation < self.received.max(self.applied) {
            // The server lags. It is watched on, since what it learns comes from there.
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

    /// Takes in the outcome of applying a configuration.
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

/// Whether two sets hold the same revisions of the same documents.
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
