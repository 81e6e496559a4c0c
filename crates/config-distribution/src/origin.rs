//! State machine of an origin. An origin leads once a quorum of the control servers has promised to follow its epoch
//! and it has taken over the newest replica among them. It then orders all changes. It stores nothing itself: the
//! members hold the replicas.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::documents::{DocumentBody, DocumentKey, MAX_DOCUMENTS, MAX_TOTAL_BYTES};
use crate::replica::{Replica, Update, Version};
use crate::replication::{LogRequest, LogResponse};
use crate::{Epoch, Generation, quorum};

/// Time without a request after which a member counts as absent.
const ABSENT_AFTER: Duration = Duration::from_secs(8);
/// Time for which a minority of the members may promise a later epoch before this origin begins a new epoch itself.
const CHALLENGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of uncommitted changes; further changes are rejected.
const MAX_UNCOMMITTED: Generation = 1024;
/// Bit offset of the round in an epoch. The lower bits hold the origin's number and the id of its start.
const EPOCH_SHIFT: u32 = 32;
/// Bit offset of the origin's number in an epoch.
const ORIGIN_SHIFT: u32 = 24;

/// The last request of a member, with its time of arrival.
#[derive(Clone, Debug)]
struct Member {
    request: LogRequest,
    received_at: Duration,
}

/// The phase of an origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Fewer than a quorum of the members have reported their promises yet.
    Listening,
    /// The origin has asked the members to promise its epoch.
    Gathering,
    /// The origin takes over the replica of this member, which is the newest.
    TakingOver(String),
    /// The origin orders changes.
    Leading,
    /// A quorum of the members follows another origin in this later epoch.
    Superseded(Epoch),
}

impl fmt::Display for Phase {
    /// Formats the phase as it appears in status responses and error messages.
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

/// The reason why a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// A quorum of the members follows another origin.
    #[error("another origin is followed, in epoch {epoch}")]
    Superseded {
        /// The epoch of that origin.
        epoch: Epoch,
    },
    /// The origin does not lead yet.
    #[error("most of the members have not promised to follow yet ({phase})")]
    NotLeading {
        /// The origin's phase.
        phase: Phase,
    },
    /// Too many changes are not committed yet.
    #[error("{waiting} changes wait for most of the members to have them")]
    TooManyUncommitted {
        /// The number of uncommitted changes.
        waiting: Generation,
    },
    /// The change withdraws a document that does not exist.
    #[error("{key}: there is none")]
    NoSuchDocument {
        /// The document's key.
        key: DocumentKey,
    },
    /// The total size of all bodies would exceed [`MAX_TOTAL_BYTES`].
    #[error("{key}: {bytes} bytes in all, {MAX_TOTAL_BYTES} at most expected")]
    TooManyBytes {
        /// The document's key.
        key: DocumentKey,
        /// The resulting total size, in bytes.
        bytes: usize,
    },
    /// The number of documents would exceed [`MAX_DOCUMENTS`].
    #[error("{key}: {MAX_DOCUMENTS} documents at most expected")]
    TooManyDocuments {
        /// The document's key.
        key: DocumentKey,
    },
}

impl PublishError {
    /// Returns whether the same change may be accepted later, or by another origin.
    pub fn is_retryable(&self) -> bool {
        matches!(
            self,
            PublishError::Superseded { .. }
                | PublishError::NotLeading { .. }
                | PublishError::TooManyUncommitted { .. }
        )
    }
}

/// The error for a request from a control server that is not a member.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{member:?} is none of the members")]
pub struct NotAMember {
    /// The name in the request.
    pub member: String,
}

/// The state machine of an origin.
pub struct Origin {
    /// The lower bits of all epochs of this origin: its number and the id of its start.
    epoch_suffix: Epoch,
    members: BTreeMap<String, Option<Member>>,
    epoch: Epoch,
    phase: Phase,
    /// The version that the member in [`Phase::TakingOver`] has reported.
    takeover_version: Version,
    /// Time since which a minority of the members has promised a later epoch; `None` if none has.
    challenged_since: Option<Duration>,
    replica: Replica,
}

impl Origin {
    /// Creates the origin with this number, for members with these names. `start_id` has to differ at each start.
    ///
    /// It is part of each epoch, so that no two starts share one. Otherwise a delayed request could make a restarted
    /// origin begin an epoch that it has led before, and two changes would have the same version.
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

    /// Returns the phase.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns whether the origin leads and orders changes.
    pub fn is_leading(&self) -> bool {
        self.phase == Phase::Leading
    }

    /// Returns the current epoch; 0 if there is none yet.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the members by name, with the last request of each; `None` for a member that is absent.
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

    /// Returns the last requests of all members.
    fn requests(&self) -> impl Iterator<Item = &LogRequest> {
        self.members.values().flatten().map(|member| &member.request)
    }

    /// Returns the last requests of the members that may vote.
    ///
    /// A request may be delayed while its sender loses its disk, and the promise with it. Requests of such an older
    /// incarnation do not count. A member that has lost its disk reports its new incarnation to a quorum before it
    /// votes again, so at least one other voter knows that incarnation.
    fn voters(&self) -> impl Iterator<Item = &LogRequest> {
        let is_outdated = move |request: &LogRequest| {
            self.requests().any(|other| {
                let known = other.peer_incarnations.get(&request.member);
                known.is_some_and(|known| *known > request.incarnation)
            })
        };
        self.requests().filter(move |request| !request.recovering && !is_outdated(request))
    }

    /// Processes a member's request.
    ///
    /// # Errors
    ///
    /// Returns an error if the sender is not a member.
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

    /// Steps down if a quorum has promised a later epoch.
    ///
    /// If both origins went on, they would take the members from each other repeatedly, so a superseded origin orders
    /// no changes until it is restarted. If only a minority has promised a later epoch, the other origin is either
    /// about to be followed or has failed before that. This origin then begins a new epoch after `CHALLENGE_TIMEOUT`.
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

    /// Begins an epoch that is higher than all known ones.
    fn begin_epoch(&mut self) {
        let promised = self.requests().map(|request| request.promised_epoch).max().unwrap_or(0);
        let round = promised.max(self.epoch) >> EPOCH_SHIFT;
        self.epoch = (round + 1) << EPOCH_SHIFT | self.epoch_suffix;
        self.phase = Phase::Gathering;
        self.challenged_since = None;
    }

    /// Advances the phase, and commits changes, as far as the received requests allow.
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

    /// Begins to lead, or to take over a newer replica first, once a quorum has promised this epoch.
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

    /// Commits the changes that a quorum has on disk.
    ///
    /// Only acknowledgements of this epoch count: a change of an earlier epoch may be on a quorum of the members and
    /// still be superseded (Ongaro, Ousterhout, 2014, section 5.4.2).
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

    /// Returns whether the replica of this member is being taken over.
    fn is_taking_over(&self, member: &str) -> bool {
        matches!(&self.phase, Phase::TakingOver(name) if name == member)
    }

    /// Replaces the replica by that of the member in [`Phase::TakingOver`], and begins to lead. Updates of other
    /// members are ignored.
    pub fn take_over(&mut self, member: &str, update: Update) {
        if !self.is_taking_over(member) {
            return;
        }
        // The member may have lost its disk since its request and be recovering, so that its replica is older now.
        if update.version < self.takeover_version {
            return self.takeover_failed(member);
        }
        self.replica = Replica::default();
        self.replica.apply(update);
        self.lead();
    }

    /// Abandons the takeover of a member's replica. It is retried with another member that is as new, or with the next
    /// request of this one.
    pub fn takeover_failed(&mut self, member: &str) {
        if self.is_taking_over(member) {
            self.members.insert(member.to_owned(), None);
            self.phase = Phase::Gathering;
            self.advance();
        }
    }

    /// Returns the response to a member's request, or `None` if there is no change and the long poll goes on.
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

    /// Orders a change of a document. A `body` of `None` withdraws it. Returns the change's number. If the document
    /// already has this body, no change is made and the number of the earlier change is returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the origin does not lead, or the change is not valid.
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

    /// Returns the change that gave the document this body, if its latest revision has it.
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
