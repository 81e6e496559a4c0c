//! State machine of a control server: it follows an origin, answers watch requests of hosts, and tracks which of them
//! are up to date. It does no I/O.

mod hosts;
mod recovery;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::documents::is_valid_name;
use crate::progress::ProgressReport;
use crate::replica::{Replica, Selection, Update, Version};
use crate::replication::{LogRequest, LogResponse, PromiseResponse};
use crate::watch::{LongPoll, Rejected, WatchRequest, WatchResponse};
use crate::{Epoch, Generation, Incarnation, quorum};

use hosts::HostRegistry;
use recovery::Recovery;

/// The persistent state of a control server. It is on disk before any message that depends on it is sent.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PersistentState {
    /// The highest epoch that this server has promised to follow.
    #[serde(rename = "promised")]
    pub promised_epoch: Epoch,
    /// This server's incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The incarnations of other members that have lost their disks, by name.
    #[serde(rename = "lives")]
    pub peer_incarnations: BTreeMap<String, Incarnation>,
    /// The replica of all documents.
    pub replica: Replica,
}

/// Whether the state has to be written to disk before a response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The state has changed and has to be persisted first.
    Required,
    /// The state has not changed.
    Unchanged,
}

/// Settings of a control server.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The server's name among the members.
    pub name: String,
    /// The number of members, this server included.
    pub members: usize,
    /// The maximum number of hosts that the server accepts.
    pub max_hosts: usize,
}

/// The state machine of a control server.
pub struct ControlServer {
    name: String,
    members: usize,
    state: PersistentState,
    /// `Some` while the server recovers from the loss of its disk and collects the promises of the other members.
    recovery: Option<Recovery>,
    hosts: HostRegistry,
}

impl ControlServer {
    /// Creates a control server from the state that is on disk. With `None`, the server starts in recovery: it collects
    /// the promises of its peers, and `incarnation` becomes the number of its new disk.
    pub fn new(
        settings: ControlSettings,
        state: Option<PersistentState>,
        incarnation: Incarnation,
    ) -> ControlServer {
        let recovery = state.is_none().then(Recovery::default);
        let state =
            state.unwrap_or_else(|| PersistentState { incarnation, ..PersistentState::default() });
        ControlServer {
            name: settings.name,
            members: settings.members,
            state,
            recovery,
            hosts: HostRegistry::new(settings.max_hosts),
        }
    }

    /// Returns the state that has to be on disk.
    pub fn state(&self) -> &PersistentState {
        &self.state
    }

    /// Returns the replica.
    pub fn replica(&self) -> &Replica {
        &self.state.replica
    }

    /// Returns the highest promised epoch, or `None` while the server recovers and does not know it.
    pub fn promised_epoch(&self) -> Option<Epoch> {
        self.recovery.is_none().then_some(self.state.promised_epoch)
    }

    /// Returns the server's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.state.incarnation
    }

    // ---- Peers ----

    /// Records the incarnation of a peer that has lost its disk, and returns this server's promise, or `None` while
    /// this server itself recovers.
    pub fn record_peer_incarnation(
        &mut self,
        member: &str,
        incarnation: Incarnation,
    ) -> Option<(PromiseResponse, Persistence)> {
        let promised_epoch = self.promised_epoch()?;
        let known = self.state.peer_incarnations.get(member).copied().unwrap_or(0);
        let has_capacity = self.state.peer_incarnations.len() < self.members;
        let is_new = incarnation > known && is_valid_name(member) && has_capacity;
        if is_new {
            self.state.peer_incarnations.insert(member.to_owned(), incarnation);
        }
        let response = PromiseResponse {
            promised_epoch,
            incarnation: known.max(incarnation),
            incarnations: self.incarnations(),
        };
        let persistence = if is_new { Persistence::Required } else { Persistence::Unchanged };
        Some((response, persistence))
    }

    /// Returns all incarnations that this server knows, its own included.
    fn incarnations(&self) -> BTreeMap<String, Incarnation> {
        let own = (self.name.clone(), self.state.incarnation);
        self.state.peer_incarnations.clone().into_iter().chain([own]).collect()
    }

    /// Processes the promise of another member while this server recovers.
    ///
    /// A member that has lost its disk no longer knows which promises and acknowledgements it has given. Any quorum of
    /// the other members shares at least one member with each quorum that this one was part of. That member reports
    /// what was promised, and from then on it knows that requests of older incarnations of this member are invalid.
    /// The recovering member votes again once the last origin that it can have followed, or a later one, has brought it
    /// up to date (Liskov, Cowling, 2012, section 4.3). This does not hold if a quorum has lost its disks: operators
    /// then have to decide which state is valid.
    pub fn record_promise(&mut self, member: &str, promise: &PromiseResponse) {
        let quorum = quorum(self.members);
        let Some(recovery) = &mut self.recovery else { return };
        if promise.incarnation > self.state.incarnation {
            self.state.incarnation = promise.incarnation + 1;
            recovery.restart();
            return;
        }
        // The incarnations of other members were lost with this server's disk.
        let others = promise.incarnations.iter().filter(|(other, _)| **other != self.name);
        for (other, incarnation) in others {
            let known = self.state.peer_incarnations.entry(other.clone()).or_default();
            *known = (*known).max(*incarnation);
        }
        if let Some(epoch) = recovery.record(member, promise.promised_epoch, quorum) {
            self.state.promised_epoch = self.state.promised_epoch.max(epoch);
        }
    }

    // ---- Origins ----

    /// Returns the next request to an origin.
    pub fn log_request(&self) -> LogRequest {
        // Changes received before the recovery knew the required epoch do not count, so a snapshot is requested. The
        // committed documents are kept meanwhile.
        let asks_for_snapshot = self.recovery.as_ref().is_some_and(Recovery::knows_epoch);
        let version =
            if asks_for_snapshot { Version::default() } else { self.state.replica.version() };
        LogRequest {
            member: self.name.clone(),
            promised_epoch: self.state.promised_epoch,
            version,
            committed: self.state.replica.committed(),
            recovering: self.recovery.is_some(),
            incarnation: self.state.incarnation,
            peer_incarnations: self.state.peer_incarnations.clone(),
        }
    }

    /// Applies an origin's response. If persistence is required, the state has to be on disk before the next request,
    /// unless this server still recovers.
    pub fn apply(&mut self, response: LogResponse) -> Persistence {
        if response.epoch < self.state.promised_epoch {
            return Persistence::Unchanged;
        }
        let before = std::mem::replace(&mut self.state.promised_epoch, response.epoch);
        let mut has_changed = before != response.epoch;
        if let Some(update) = response.update {
            let version = update.version;
            has_changed |= self.state.replica.apply(update);
            let is_recovered = self.state.replica.version() == version
                && self.recovery.as_ref().is_some_and(|r| r.is_complete_with(response.epoch));
            if is_recovered {
                self.recovery = None;
                has_changed = true;
            }
        }
        if has_changed { Persistence::Required } else { Persistence::Unchanged }
    }

    /// Returns the update for an origin that takes over this replica and is at `version`.
    pub fn update_since(&self, version: Version) -> Update {
        self.state.replica.update_since(version)
    }

    // ---- Hosts ----

    /// Registers a host by its watch request.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is not valid, or this server cannot serve the host now.
    pub fn register(&mut self, request: &WatchRequest, now: Duration) -> Result<(), Rejected> {
        HostRegistry::validate(request)?;
        if self.recovery.is_some() && self.state.replica.committed() == 0 {
            return Err(Rejected::Recovering);
        }
        self.hosts.register(request, now)
    }

    /// Returns the response to a registered request, or `None` if there is no change and the long poll goes on.
    pub fn respond(
        &mut self,
        request: &WatchRequest,
        long_poll: LongPoll,
        now: Duration,
    ) -> Option<WatchResponse> {
        let replica = &self.state.replica;
        let generation = replica.committed();
        // A host that is ahead of this replica is sent no documents and keeps its configuration.
        let selection = match request.since <= generation {
            true => replica.select(&request.interest, request.since),
            false => Selection::default(),
        };
        let Selection { is_snapshot, documents } = selection;
        if long_poll == LongPoll::Waiting && !is_snapshot && documents.is_empty() {
            return None;
        }
        let documents: Vec<_> = documents.into_iter().cloned().collect();
        let sent = (!documents.is_empty()).then_some(generation);
        self.hosts.record_response(&request.host, sent, now);
        Some(WatchResponse { generation, is_snapshot, documents })
    }

    /// Marks hosts that have sent a more recent request to another control server.
    pub fn mark_moved(&mut self, hosts: &[String], now: Duration) {
        self.hosts.mark_moved(hosts, now);
    }

    /// Builds the progress report for the followed origin. Each arrival and each removal of a host is reported once.
    pub fn report_progress(&mut self, now: Duration) -> ProgressReport {
        self.hosts.report(&self.name, &self.state.replica, now)
    }

    /// Makes the next reports list all hosts as arrivals again, because another origin is followed or a report was
    /// lost.
    pub fn report_all_hosts(&mut self) {
        self.hosts.mark_all_arrived();
    }

    /// Returns the number of registered hosts.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the last committed change.
    pub fn committed(&self) -> Generation {
        self.state.replica.committed()
    }
}
