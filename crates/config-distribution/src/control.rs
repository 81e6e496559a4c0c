//! The decisions of a control server: which origin it follows, what it answers to hosts, and which of its hosts are up
//! to date.

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

/// What a control server has on disk. It is written before anything that follows from it is sent to anybody.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PersistentState {
    /// The highest epoch that was promised.
    #[serde(rename = "promised")]
    pub promised_epoch: Epoch,
    /// The server's incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The incarnations of other members that have lost their disks.
    #[serde(rename = "lives")]
    pub peer_incarnations: BTreeMap<String, Incarnation>,
    /// All documents.
    pub replica: Replica,
}

/// Whether the state has to be on disk before an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The state has changed: persist it first.
    Required,
    /// The state is as it was.
    Unchanged,
}

/// What a control server is configured with.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Its name among the members.
    pub name: String,
    /// How many members there are, itself included.
    pub members: usize,
    /// The most hosts that it accepts.
    pub max_hosts: usize,
}

/// A control server.
pub struct ControlServer {
    name: String,
    members: usize,
    state: PersistentState,
    /// Present while the server has lost its disk, and asks the other members what they have promised.
    recovery: Option<Recovery>,
    hosts: HostRegistry,
}

impl ControlServer {
    /// A control server with the state that it has on disk. Without one it asks its peers for what it has lost, and
    /// takes `incarnation` as the number of its new disk.
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

    /// What has to be on disk.
    pub fn state(&self) -> &PersistentState {
        &self.state
    }

    /// The replica.
    pub fn replica(&self) -> &Replica {
        &self.state.replica
    }

    /// The highest epoch that was promised; `None` while that is not known.
    pub fn promised_epoch(&self) -> Option<Epoch> {
        self.recovery.is_none().then_some(self.state.promised_epoch)
    }

    /// The server's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.state.incarnation
    }

    // ---- Peers ----

    /// Records the incarnation of a peer that has lost its disk, and answers what is promised here. `None` while this
    /// server recovers itself.
    pub fn record_peer_incarnation(
        &mut self,
        member: &str,
        incarnation: Incarnation,
    ) -> Option<(PromiseResponse, Persistence)> {
        let promised_epoch = self.promised_epoch()?;
        let known = self.state.peer_incarnations.get(member).copied().unwrap_or(0);
        let has_room = self.state.peer_incarnations.len() < self.members;
        let is_new = incarnation > known && is_valid_name(member) && has_room;
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

    /// All incarnations that are known here, the own one included.
    fn incarnations(&self) -> BTreeMap<String, Incarnation> {
        let own = (self.name.clone(), self.state.incarnation);
        self.state.peer_incarnations.clone().into_iter().chain([own]).collect()
    }

    /// Takes in what another member has promised, while this server recovers.
    ///
    /// A member that has lost its disk may have promised, or acknowledged changes, to an origin without knowing it any
    /// more. Any quorum of the others contains one member that took part in whatever this one took part in: it tells
    /// what was promised, and from now on it knows that requests of older incarnations of this member are void. The
    /// member votes again once the last origin that it can have followed, or a later one, has brought it up to date
    /// (Liskov, Cowling, 2012, section 4.3). This does not hold when a quorum has lost its disks: then operators have
    /// to decide which state counts.
    pub fn record_promise(&mut self, member: &str, promise: &PromiseResponse) {
        let quorum = quorum(self.members);
        let Some(recovery) = &mut self.recovery else { return };
        if promise.incarnation > self.state.incarnation {
            self.state.incarnation = promise.incarnation + 1;
            recovery.restart();
            return;
        }
        // What was known of other members' lost disks was lost with the own one.
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

    /// The next request to an origin.
    pub fn log_request(&self) -> LogRequest {
        // Changes received before the recovery knew which epoch to follow do not count: all is asked for again. What
        // is committed stays meanwhile.
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

    /// Applies an origin's answer. Where persistence is required, the state has to be on disk before the next request,
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

    /// What another member, or an origin that takes over, needs that is at `version`.
    pub fn update_since(&self, version: Version) -> Update {
        self.state.replica.update_since(version)
    }

    // ---- Hosts ----

    /// Takes in a host's request.
    ///
    /// # Errors
    ///
    /// The request is not valid, or this server cannot serve the host now.
    pub fn register(&mut self, request: &WatchRequest, now: Duration) -> Result<(), Rejected> {
        HostRegistry::validate(request)?;
        if self.recovery.is_some() && self.state.replica.committed() == 0 {
            return Err(Rejected::Recovering);
        }
        self.hosts.register(request, now)
    }

    /// The answer to a registered request; `None`: nothing is new, and the host waits.
    pub fn respond(
        &mut self,
        request: &WatchRequest,
        long_poll: LongPoll,
        now: Duration,
    ) -> Option<WatchResponse> {
        let replica = &self.state.replica;
        let generation = replica.committed();
        // A host that is newer than this replica is sent nothing, and keeps what it has.
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

    /// Marks hosts that another control server has heard from more recently.
    pub fn mark_moved(&mut self, hosts: &[String], now: Duration) {
        self.hosts.mark_moved(hosts, now);
    }

    /// Summarizes which hosts are up to date, for the origin that is followed. Arrivals and departures are reported
    /// once.
    pub fn report_progress(&mut self, now: Duration) -> ProgressReport {
        self.hosts.report(&self.name, &self.state.replica, now)
    }

    /// Reports all hosts as arrivals once more: another origin is followed, or the last report was lost.
    pub fn report_all_hosts(&mut self) {
        self.hosts.announce_all();
    }

    /// How many hosts there are.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// The last committed change.
    pub fn committed(&self) -> Generation {
        self.state.replica.committed()
    }
}
