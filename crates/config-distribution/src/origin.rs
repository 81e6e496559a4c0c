//! The decisions of an origin: it leads once a quorum of the control servers has promised to follow its epoch, takes
//! over the newest replica among them, and orders the changes from then on. It stores nothing: the members have all.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::documents::{DocumentBody, DocumentKey, MAX_DOCUMENTS, MAX_TOTAL_BYTES};
use crate::replica::{Replica, Update, Version};
use crate::replication::{LogRequest, LogResponse};
use crate::{Epoch, Generation, quorum};

/// A member that has sent no request for so long is absent.
const ABSENT_AFTER: Duration = Duration::from_secs(8);
/// An origin that a minority of the members has left for a later epoch begins a new epoch after so long.
const CHALLENGE_TIMEOUT: Duration = Duration::from_secs(3);
/// The most changes that may wait to be committed; further ones are rejected.
const MAX_UNCOMMITTED: Generation = 1024;
/// Where an epoch's own bits begin: below lie the origin's number and its start's.
const EPOCH_SHIFT: u32 = 32;
/// Where the origin's number lies in an epoch.
const ORIGIN_SHIFT: u32 = 24;

/// The last request of a member.
#[derive(Clone, Debug)]
struct Member {
    request: LogRequest,
    received_at: Duration,
}

/// The state of an origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not know yet what a quorum of the members has promised.
    Listening,
    /// It has asked for promises of its epoch.
    Gathering,
    /// It takes over the replica of this member, the newest one.
    TakingOver(String),
    /// It orders changes.
    Leading,
    /// A quorum follows another origin, in this later epoch.
    Superseded(Epoch),
}

impl fmt::Display for Phase {
    /// The form that operators' calls and messages have.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Phase::Listening => f.write_str("Listening"),
            Phase::Gathering => f.write_str("Gathering"),
            Phase::TakingOver(member) => write!(f, "TakingOver({member:?})"),
            Phase::Leading => f.write_str("Leading"),
            Phase::Superseded(epoch) => write!(f, "Superseded({epoch})"),
        }
    }
}

/// Why a change is not ordered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// A quorum follows another origin.
    #[error("another origin is followed, in epoch {epoch}")]
    Superseded {
        /// That origin's epoch.
        epoch: Epoch,
    },
    /// The origin does not lead yet.
    #[error("most of the members have not promised to follow yet ({phase})")]
    NotLeading {
        /// The origin's state.
        phase: Phase,
    },
    /// Too many changes wait to be committed.
    #[error("{waiting} changes wait for most of the members to have them")]
    TooManyUncommitted {
        /// How many that are.
        waiting: Generation,
    },
    /// The document to be withdrawn does not exist.
    #[error("{key}: there is none")]
    NoSuchDocument {
        /// The document's key.
        key: DocumentKey,
    },
    /// All bodies together would be larger than [`MAX_TOTAL_BYTES`].
    #[error("{key}: {bytes} bytes in all, {MAX_TOTAL_BYTES} at most expected")]
    TooManyBytes {
        /// The document's key.
        key: DocumentKey,
        /// The size that they would have.
        bytes: usize,
    },
    /// There would be more than [`MAX_DOCUMENTS`] documents.
    #[error("{key}: {MAX_DOCUMENTS} documents at most expected")]
    TooManyDocuments {
        /// The document's key.
        key: DocumentKey,
    },
}

impl PublishError {
    /// Whether the same change may be accepted later, or by another origin.
    pub fn is_retryable(&self) -> bool {
        matches!(
            self,
            PublishError::Superseded { .. }
                | PublishError::NotLeading { .. }
                | PublishError::TooManyUncommitted { .. }
        )
    }
}

/// A request from a control server that is not a member.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{member:?} is none of the members")]
pub struct NotAMember {
    /// The name that it gave.
    pub member: String,
}

/// An origin.
pub struct Origin {
    /// The last bits of all its epochs.
    epoch_suffix: Epoch,
    members: BTreeMap<String, Option<Member>>,
    epoch: Epoch,
    phase: Phase,
    /// The version of the member that is taken over, as its request had it.
    takeover_version: Version,
    /// Since when a minority of the members has promised a later epoch.
    challenged_since: Option<Duration>,
    replica: Replica,
}

impl Origin {
    /// The origin with this number, for members with these names. `start_id` differs at each start.
    ///
    /// No two starts share an epoch: a delayed request could otherwise make a restarted origin take an epoch that it
    /// has led before, and two changes would have one version.
    pub fn new(number: u8, start_id: u32, members: impl IntoIterator<Item = String>) -> Origin {
        let start_bits = Epoch::from(start_id & ((1 << ORIGIN_SHIFT) - 1));
        Origin {
            epoch_suffix: Epoch::from(number) << ORIGIN_SHIFT | start_bits,
            members: members.into_iter().map(|name| (name, None)).collect(),
            epoch: 0,
            phase: Phase::Listening,
            takeover_version: Version::default(),
            challenged_since: None,
            replica: Replica::default(),
        }
    }

    /// The state.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Whether it orders changes.
    pub fn is_leading(&self) -> bool {
        self.phase == Phase::Leading
    }

    /// The present epoch; 0: none yet.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The members, with the last request of each one that is present.
    pub fn members(&self, now: Duration) -> impl Iterator<Item = (&String, Option<&LogRequest>)> {
        let is_present =
            move |member: &&Member| now.saturating_sub(member.received_at) < ABSENT_AFTER;
        self.members.iter().map(move |(name, member)| {
            (name, member.as_ref().filter(is_present).map(|member| &member.request))
        })
    }

    fn quorum(&self) -> usize {
        quorum(self.members.len())
    }

    /// The last requests of all members.
    fn requests(&self) -> impl Iterator<Item = &LogRequest> {
        self.members.values().flatten().map(|member| &member.request)
    }

    /// The last requests of the members that may vote.
    ///
    /// A request may be delayed while its sender loses its disk and forgets its promise. A member that has lost its disk
    /// tells a quorum its new incarnation before it votes again, so some other member that is counted here knows it.
    fn voters(&self) -> impl Iterator<Item = &LogRequest> {
        let is_outdated = move |request: &LogRequest| {
            self.requests().any(|other| {
                let known = other.peer_incarnations.get(&request.member);
                known.is_some_and(|known| *known > request.incarnation)
            })
        };
        self.requests().filter(move |request| !request.recovering && !is_outdated(request))
    }

    /// Takes in a member's request.
    ///
    /// # Errors
    ///
    /// The sender is not a member.
    pub fn receive(&mut self, request: LogRequest, now: Duration) -> Result<(), NotAMember> {
        let Some(member) = self.members.get_mut(&request.member) else {
            return Err(NotAMember { member: request.member });
        };
        if member.as_ref().is_some_and(|m| m.request.incarnation > request.incarnation) {
            return Ok(());
        }
        *member = Some(Member { request, received_at: now });
        if !matches!(self.phase, Phase::Listening | Phase::Superseded(_)) {
            self.check_superseded(now);
        }
        self.advance();
        Ok(())
    }

    /// Steps down where a quorum follows a later epoch.
    ///
    /// Two origins that both went on would take the members from each other again and again, so a superseded one orders
    /// nothing until it is restarted. Where only a minority has promised a later epoch, its origin is about to be
    /// followed or has died before it was: then this one begins another epoch after a while.
    fn check_superseded(&mut self, now: Duration) {
        let epoch = self.epoch;
        let challengers = self.voters().filter(|request| request.promised_epoch > epoch).count();
        if challengers >= self.quorum() {
            let latest = self.voters().map(|request| request.promised_epoch).max();
            self.phase = Phase::Superseded(latest.unwrap_or(epoch));
        } else if challengers == 0 {
            self.challenged_since = None;
        } else {
            let since = *self.challenged_since.get_or_insert(now);
            if now.saturating_sub(since) >= CHALLENGE_TIMEOUT {
                self.begin_epoch();
            }
        }
    }

    /// Begins an epoch above all that it knows of.
    fn begin_epoch(&mut self) {
        let promised = self.requests().map(|request| request.promised_epoch).max().unwrap_or(0);
        let round = promised.max(self.epoch) >> EPOCH_SHIFT;
        self.epoch = (round + 1) << EPOCH_SHIFT | self.epoch_suffix;
        self.phase = Phase::Gathering;
        self.challenged_since = None;
    }

    /// Takes the steps that the known requests allow.
    fn advance(&mut self) {
        if self.phase == Phase::Listening && self.voters().count() >= self.quorum() {
            self.begin_epoch();
        }
        if self.phase == Phase::Gathering {
            self.count_promises();
        }
        if self.phase == Phase::Leading {
            self.count_acknowledgements();
        }
    }

    /// Leads, or takes over a newer replica first, once a quorum has promised this epoch.
    fn count_promises(&mut self) {
        let followers: Vec<&LogRequest> =
            self.voters().filter(|request| request.promised_epoch == self.epoch).collect();
        if followers.len() < self.quorum() {
            return;
        }
        let newest = followers.iter().max_by_key(|request| request.version);
        match newest.filter(|request| request.version > self.replica.version()) {
            Some(request) => {
                let (member, version) = (request.member.clone(), request.version);
                self.phase = Phase::TakingOver(member);
                self.takeover_version = version;
            }
            None => self.lead(),
        }
    }

    /// Commits what a quorum has on disk.
    ///
    /// Only changes of this epoch are counted: one of an earlier epoch may be on a quorum of the members and still be
    /// superseded (Ongaro, Ousterhout, 2014, section 5.4.2).
    fn count_acknowledgements(&mut self) {
        let epoch = self.epoch;
        let mut acknowledged: Vec<Generation> = self
            .voters()
            .filter(|request| request.promised_epoch == epoch && request.version.epoch == epoch)
            .map(|request| request.version.generation)
            .collect();
        acknowledged.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(generation) = acknowledged.get(self.quorum() - 1) {
            self.replica.commit(*generation);
        }
    }

    fn lead(&mut self) {
        self.phase = Phase::Leading;
        self.replica.begin_epoch(self.epoch);
    }

    /// Whether the replica of this member is being taken over.
    fn is_taking_over(&self, member: &str) -> bool {
        matches!(&self.phase, Phase::TakingOver(name) if name == member)
    }

    /// Takes over the replica that [`Phase::TakingOver`] asks for.
    pub fn take_over(&mut self, member: &str, update: Update) {
        if !self.is_taking_over(member) {
            return;
        }
        // The member may have lost its disk since its request, and may have sent another as one that recovers.
        if update.version < self.takeover_version {
            return self.takeover_failed(member);
        }
        self.replica = Replica::default();
        self.replica.apply(update);
        self.lead();
    }

    /// Gives up to take over a replica: another member may be as new, or this one sends another request.
    pub fn takeover_failed(&mut self, member: &str) {
        if self.is_taking_over(member) {
            self.members.insert(member.to_owned(), None);
            self.phase = Phase::Gathering;
            self.advance();
        }
    }

    /// The answer to a member's request; `None`: nothing is new, and the member waits.
    pub fn respond(&self, request: &LogRequest) -> Option<LogResponse> {
        let without_update = LogResponse { epoch: self.epoch, update: None };
        match self.phase {
            Phase::Listening => None,
            Phase::Superseded(_) => Some(without_update),
            Phase::Gathering | Phase::TakingOver(_) => {
                (request.promised_epoch < self.epoch).then_some(without_update)
            }
            Phase::Leading => {
                let is_behind = request.version != self.replica.version()
                    || request.committed != self.replica.committed()
                    || request.promised_epoch < self.epoch;
                is_behind.then(|| LogResponse {
                    epoch: self.epoch,
                    update: Some(self.replica.update_since(request.version)),
                })
            }
        }
    }

    /// Orders a change of a document; `None` withdraws it. Returns the change's number, which is that of an earlier
    /// change if the document already is as wanted.
    ///
    /// # Errors
    ///
    /// The origin does not lead, or the change is not valid.
    pub fn publish(
        &mut self,
        key: DocumentKey,
        body: Option<DocumentBody>,
    ) -> Result<Generation, PublishError> {
        match &self.phase {
            Phase::Leading => {}
            Phase::Superseded(epoch) => {
                return Err(PublishError::Superseded { epoch: *epoch });
            }
            phase => return Err(PublishError::NotLeading { phase: phase.clone() }),
        }
        if let Some(generation) = self.published_as(&key, body.as_ref()) {
            return Ok(generation);
        }
        self.check_limits(&key, body.as_ref())?;
        self.replica.append(self.epoch, key, body);
        Ok(self.replica.version().generation)
    }

    /// The change that made a document what it is wanted to be.
    fn published_as(&self, key: &DocumentKey, body: Option<&DocumentBody>) -> Option<Generation> {
        let current = self.replica.latest_document(key)?;
        let is_same = current.body.as_ref().map(DocumentBody::text) == body.map(DocumentBody::text);
        is_same.then_some(current.generation)
    }

    fn check_limits(
        &self,
        key: &DocumentKey,
        body: Option<&DocumentBody>,
    ) -> Result<(), PublishError> {
        let current = self.replica.latest_document(key);
        if current.is_none() && body.is_none() {
            return Err(PublishError::NoSuchDocument { key: key.clone() });
        }
        let bytes_before = current.map_or(0, |document| document.body_bytes());
        let bytes_after = body.map_or(0, |body| body.text().len());
        let bytes = self.replica.body_bytes() - bytes_before + bytes_after;
        if bytes > MAX_TOTAL_BYTES {
            return Err(PublishError::TooManyBytes { key: key.clone(), bytes });
        }
        if current.is_none() && self.replica.latest_documents().count() >= MAX_DOCUMENTS {
            return Err(PublishError::TooManyDocuments { key: key.clone() });
        }
        let waiting = self.replica.version().generation - self.replica.committed();
        if waiting > MAX_UNCOMMITTED {
            return Err(PublishError::TooManyUncommitted { waiting });
        }
        Ok(())
    }
}
