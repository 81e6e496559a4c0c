//! Checks the rules that sidecars have to keep, against what passes on the network and what clients and servers
//! see. The oracle does not depend on anything that the sidecars report.
//!
//! Sidecars, servers and classes are identified by their indices.

mod attempts;
mod backlog;
mod clients;
mod connection;
mod eligibility;
mod limits;
mod report;
mod request;
mod responses;
mod rule;
mod servers;
mod sidecars;
mod slow_start;
mod traffic;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use rustc_hash::FxHashMap;
use simnet::{ConnectionId, HostId};

use self::backlog::{Backlogs, PendingConnects};
use self::connection::{ClientConnection, TrackedConnection};
use self::eligibility::Eligibility;
use self::report::{Breach, Report};
use self::request::{Attempt, AttemptRef, Request};
use self::slow_start::SlowStart;
use crate::model::RequestId;

pub use self::clients::{SentRequest, Served};
pub use self::limits::{ClassProfile, Limits, SlowStartLimits};
pub use self::report::{Counts, Violation, status_label};
pub use self::rule::Rule;
pub use self::traffic::OracleTap;

/// The role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The clients of a sidecar.
    Clients {
        /// The sidecar.
        sidecar: usize,
    },
    /// A sidecar.
    Sidecar {
        /// Its index.
        index: usize,
    },
    /// A log server.
    Server {
        /// Its index.
        index: usize,
        /// The index of its zone.
        zone: usize,
    },
    /// Discovery, or anything else that the rules are not about.
    Other,
}

/// Observes a run and checks the rules.
pub struct Oracle {
    limits: Limits,
    /// The role of each host, by its index.
    roles: Vec<Role>,
    connections: FxHashMap<ConnectionId, TrackedConnection>,
    requests: BTreeMap<RequestId, Request>,
    eligibility: Eligibility,
    slow_start: SlowStart,
    /// When the clients of each drained sidecar were drained.
    drained_since: FxHashMap<usize, Duration>,
    /// When each sidecar last closed a connection to a server on which the head of a request was incomplete.
    last_cut_head: FxHashMap<usize, Duration>,
    /// When the network last reset connections.
    network_reset_at: Option<Duration>,
    /// The period of the last hold-up of each sidecar.
    last_hold_up: FxHashMap<usize, Range<Duration>>,
    /// When each terminating sidecar was asked to terminate.
    terminating_since: FxHashMap<usize, Duration>,
    pending_connects: PendingConnects,
    backlogs: Backlogs,
    /// The time until which a sidecar counts as short of descriptors.
    short_of_descriptors_until: FxHashMap<usize, Duration>,
    report: Report,
}

impl Oracle {
    /// Creates an oracle that has observed nothing yet.
    pub fn new(limits: Limits, with_timeline: bool) -> Oracle {
        Oracle {
            limits,
            roles: Vec::new(),
            connections: FxHashMap::default(),
            requests: BTreeMap::new(),
            eligibility: Eligibility::default(),
            slow_start: SlowStart::default(),
            drained_since: FxHashMap::default(),
            last_cut_head: FxHashMap::default(),
            network_reset_at: None,
            last_hold_up: FxHashMap::default(),
            terminating_since: FxHashMap::default(),
            pending_connects: PendingConnects::default(),
            backlogs: Backlogs::default(),
            short_of_descriptors_until: FxHashMap::default(),
            report: Report::new(with_timeline),
        }
    }

    /// Sets the role of a host.
    pub fn set_role(&mut self, host: HostId, role: Role) {
        if self.roles.len() <= host.index() {
            self.roles.resize(host.index() + 1, Role::Other);
        }
        self.roles[host.index()] = role;
    }

    fn role(&self, host: HostId) -> Role {
        self.roles.get(host.index()).copied().unwrap_or(Role::Other)
    }

    /// Returns everything that has happened, one line per event; empty if no timeline is recorded.
    pub fn timeline(&self) -> String {
        self.report.timeline_text()
    }

    /// Returns the first violation.
    pub fn violation(&self) -> Option<&Violation> {
        self.report.violation.as_ref()
    }

    /// Returns the number of times that each outcome occurred.
    pub fn counts(&self) -> &Counts {
        &self.report.counts
    }

    /// Adds a line to the timeline.
    pub fn note(&mut self, now: Duration, line: impl FnOnce() -> String) {
        self.report.note(now, line);
    }

    /// Counts an outcome.
    pub fn count(&mut self, label: &'static str) {
        self.report.count(label);
    }

    /// Reports a violation that does not concern a single request.
    pub fn violate(&mut self, now: Duration, rule: Rule, message: String) {
        self.report_breach(now, Breach { rule, message }, None);
    }

    /// Reports a violation, with the history of the request that it concerns. Only the first violation of a run
    /// counts.
    fn report_breach(&mut self, now: Duration, breach: Breach, request: Option<RequestId>) {
        if self.report.violation.is_some() {
            return;
        }
        let known = request.and_then(|id| Some((id, self.requests.get(&id)?)));
        let history = known.map(|(id, r)| r.history(id, &self.limits.classes[r.class]));
        let history = history.unwrap_or_default();
        let Breach { rule, message } = breach;
        self.report.note(now, || format!("BROKEN {rule}: {message}"));
        self.report.violation = Some(Violation { rule, at: now, message, history });
    }

    /// Returns the client connection with this id and tracks it from now on; `None` if it is a connection to a server.
    fn client_connection(&mut self, id: ConnectionId) -> Option<&mut ClientConnection> {
        let new = || TrackedConnection::Client(ClientConnection::default());
        match self.connections.entry(id).or_insert_with(new) {
            TrackedConnection::Client(client) => Some(client),
            TrackedConnection::Upstream(_) => None,
        }
    }

    fn attempt_mut(&mut self, attempt: AttemptRef) -> Option<&mut Attempt> {
        self.requests.get_mut(&attempt.request)?.attempts.get_mut(attempt.index)
    }
}
