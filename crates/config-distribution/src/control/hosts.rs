//! Registry of the hosts of one control server, with the generation that each has applied.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use crate::Generation;
use crate::documents::{Interest, is_valid_name};
use crate::progress::{HostArrival, LaggingHost, MAX_LAGGING_HOSTS, ProgressReport, ZoneProgress};
use crate::replica::Replica;
use crate::watch::{ApplyFailure, MAX_SERVICES, Rejected, WatchRequest};

/// Time without a request after which a host counts as silent. Long polls last a fraction of it.
const SILENT_AFTER: Duration = Duration::from_secs(6);
/// Time without a request after which a host is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(15 * 60);
/// Maximum number of arrivals, and of removed hosts, in one report.
const MAX_REPORTED_CHANGES: usize = 1000;
/// Maximum length of the stored reason of a failure, in characters.
const MAX_REASON_CHARS: usize = 200;

/// The state of one host.
#[derive(Clone, Debug)]
struct HostEntry {
    interest: Interest,
    applied: Generation,
    failure: Option<ApplyFailure>,
    last_seen: Duration,
    /// The generation that was sent since the host's last request; `None` if no documents were sent.
    sent: Option<Generation>,
    /// Time at which the origin reported that another control server serves the host; `None` if it has not moved.
    moved_at: Option<Duration>,
}

impl HostEntry {
    /// Returns the time since the host's last request or response.
    fn silent_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_seen)
    }

    fn lag_cause(&self, now: Duration) -> LagCause<'_> {
        match (&self.failure, self.sent) {
            (Some(failure), _) => LagCause::Failed(failure),
            _ if self.silent_for(now) > SILENT_AFTER => LagCause::Silent,
            (None, Some(generation)) => LagCause::Unconfirmed(generation),
            (None, None) => LagCause::NotSent,
        }
    }
}

/// The reason why a host is not up to date. Progress reports contain its text for operators.
enum LagCause<'a> {
    Failed(&'a ApplyFailure),
    Silent,
    Unconfirmed(Generation),
    NotSent,
}

impl fmt::Display for LagCause<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LagCause::Failed(ApplyFailure { generation, reason }) => {
                write!(f, "declined {generation}: {reason}")
            }
            LagCause::Silent => f.write_str("silent"),
            LagCause::Unconfirmed(generation) => write!(f, "was told {generation}"),
            LagCause::NotSent => f.write_str("not told yet"),
        }
    }
}

/// The hosts of one control server, by name.
pub(super) struct HostRegistry {
    max_hosts: usize,
    hosts: BTreeMap<String, HostEntry>,
    /// Hosts that were added since the last report.
    arrived: BTreeSet<String>,
    /// Hosts that were removed since the last report.
    forgotten: BTreeSet<String>,
}

impl HostRegistry {
    pub(super) fn new(max_hosts: usize) -> HostRegistry {
        HostRegistry {
            max_hosts,
            hosts: BTreeMap::new(),
            arrived: BTreeSet::new(),
            forgotten: BTreeSet::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Checks the parts of a request that do not depend on the state of this server.
    pub(super) fn validate(request: &WatchRequest) -> Result<(), Rejected> {
        if !is_valid_name(&request.host) {
            return Err(Rejected::InvalidHost { host: request.host.clone() });
        }
        if request.interest.services.len() > MAX_SERVICES {
            return Err(Rejected::TooManyServices);
        }
        Ok(())
    }

    /// Registers the host of a valid request, or updates its entry.
    pub(super) fn register(
        &mut self,
        request: &WatchRequest,
        now: Duration,
    ) -> Result<(), Rejected> {
        if !self.hosts.contains_key(&request.host) {
            self.ensure_capacity(now)?;
            self.arrived.insert(request.host.clone());
            self.forgotten.remove(&request.host);
        }
        // A request that was sent before the host moved may be read late, e.g. after this process was stopped for a
        // while. A host has returned only if it still sends requests after `SILENT_AFTER`.
        let moved_at = self.hosts.get(&request.host).and_then(|host| host.moved_at);
        let has_returned = moved_at.is_some_and(|at| now.saturating_sub(at) > SILENT_AFTER);
        if has_returned {
            self.arrived.insert(request.host.clone());
        }
        let entry = HostEntry {
            interest: request.interest.clone(),
            applied: request.applied,
            failure: request.failure.as_ref().map(sanitize),
            last_seen: now,
            sent: None,
            moved_at: moved_at.filter(|_| !has_returned),
        };
        self.hosts.insert(request.host.clone(), entry);
        Ok(())
    }

    /// Removes silent hosts if the maximum number of hosts is reached.
    fn ensure_capacity(&mut self, now: Duration) -> Result<(), Rejected> {
        if self.hosts.len() >= self.max_hosts {
            self.remove_silent(SILENT_AFTER, now);
        }
        if self.hosts.len() >= self.max_hosts {
            return Err(Rejected::Full { hosts: self.hosts.len() });
        }
        Ok(())
    }

    /// Removes the hosts that have been silent for longer than `limit`.
    fn remove_silent(&mut self, limit: Duration, now: Duration) {
        let silent: Vec<String> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.silent_for(now) > limit)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.hosts.remove(&name);
            self.arrived.remove(&name);
            self.forgotten.insert(name);
        }
        // The set is bounded because no report empties it while no origin is followed.
        while self.forgotten.len() > self.max_hosts {
            self.forgotten.pop_first();
        }
    }

    /// Records a response to a host, and the generation that it contained, if any.
    pub(super) fn record_response(&mut self, name: &str, sent: Option<Generation>, now: Duration) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.last_seen = now;
            host.sent = sent;
        }
    }

    /// Marks hosts that have sent a more recent request to another control server.
    pub(super) fn mark_moved(&mut self, names: &[String], now: Duration) {
        for name in names {
            if let Some(host) = self.hosts.get_mut(name) {
                host.moved_at = Some(now);
                self.arrived.remove(name);
            }
        }
    }

    /// Makes the next reports list all hosts as arrivals.
    pub(super) fn mark_all_arrived(&mut self) {
        self.arrived.extend(self.hosts.keys().cloned());
    }

    /// Builds the progress report for the origin.
    pub(super) fn report(
        &mut self,
        server: &str,
        replica: &Replica,
        now: Duration,
    ) -> ProgressReport {
        self.remove_silent(REMOVE_AFTER, now);
        self.hosts
            .retain(|_, host| host.moved_at.is_none() || host.silent_for(now) <= SILENT_AFTER / 2);
        let (zones, lagging) = self.progress(replica, now);
        let arrived = take_first(&mut self.arrived, MAX_REPORTED_CHANGES);
        ProgressReport {
            server: server.to_owned(),
            committed: replica.committed(),
            zones,
            lagging,
            arrived: arrived.into_iter().map(|name| self.arrival(name, now)).collect(),
            forgotten: take_first(&mut self.forgotten, MAX_REPORTED_CHANGES),
        }
    }

    /// Returns the counts by zone, and up to `MAX_LAGGING_HOSTS` hosts that are not up to date.
    fn progress(
        &self,
        replica: &Replica,
        now: Duration,
    ) -> (BTreeMap<String, ZoneProgress>, Vec<LaggingHost>) {
        let mut zones: BTreeMap<&str, ZoneProgress> = BTreeMap::new();
        let mut lagging = Vec::new();
        for (name, host) in &self.hosts {
            let zone = zones.entry(&host.interest.zone).or_default();
            zone.hosts += 1;
            if !replica.has_newer(&host.interest, host.applied) {
                zone.applied += 1;
                continue;
            }
            zone.lowest = Some(zone.lowest.map_or(host.applied, |l| l.min(host.applied)));
            let cause = host.lag_cause(now);
            match cause {
                LagCause::Failed(_) => zone.failed += 1,
                LagCause::Silent => zone.silent += 1,
                LagCause::Unconfirmed(_) | LagCause::NotSent => {}
            }
            if lagging.len() < MAX_LAGGING_HOSTS {
                lagging.push(LaggingHost {
                    host: name.clone(),
                    zone: host.interest.zone.clone(),
                    applied: host.applied,
                    reason: cause.to_string(),
                });
            }
        }
        let zones = zones.into_iter().map(|(name, zone)| (name.to_owned(), zone)).collect();
        (zones, lagging)
    }

    fn arrival(&self, host: String, now: Duration) -> HostArrival {
        let entry = self.hosts.get(&host);
        let silent_for = entry.map_or(HostArrival::UNKNOWN, |entry| entry.silent_for(now));
        let zone = entry.map_or_else(String::new, |entry| entry.interest.zone.clone());
        HostArrival { host, zone, silent_for }
    }
}

/// Removes control characters from the reason of a failure, and truncates it to `MAX_REASON_CHARS`.
fn sanitize(failure: &ApplyFailure) -> ApplyFailure {
    let characters = failure.reason.chars().filter(|c| !c.is_control());
    ApplyFailure {
        generation: failure.generation,
        reason: characters.take(MAX_REASON_CHARS).collect(),
    }
}

/// Removes and returns the first `limit` names of a set.
fn take_first(names: &mut BTreeSet<String>, limit: usize) -> Vec<String> {
    let taken: Vec<String> = names.iter().take(limit).cloned().collect();
    taken.iter().for_each(|name| _ = names.remove(name));
    taken
}
