//! The hosts of one control server, and which of them are up to date.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use crate::Generation;
use crate::documents::{Interest, is_valid_name};
use crate::progress::{HostArrival, LaggingHost, MAX_LAGGING_HOSTS, ProgressReport, ZoneProgress};
use crate::replica::Replica;
use crate::watch::{ApplyFailure, MAX_SERVICES, Rejected, WatchRequest};

/// A host without a request for so long is silent. Long polls are a fraction of that.
const SILENT_AFTER: Duration = Duration::from_secs(6);
/// A host that was silent for so long is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(15 * 60);
/// The most arrivals, and the most departures, in one report.
const MAX_REPORTED_CHANGES: usize = 1000;
/// The longest stored reason of a failure, in characters.
const MAX_REASON_CHARS: usize = 200;

/// One host.
#[derive(Clone, Debug)]
struct HostEntry {
    interest: Interest,
    applied: Generation,
    failure: Option<ApplyFailure>,
    last_seen: Duration,
    /// What was sent since its last request.
    sent: Option<Generation>,
    /// Since when another control server is known to serve it.
    moved_at: Option<Duration>,
}

impl HostEntry {
    /// How long the host has been silent.
    fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_seen)
    }

    fn lag_cause(&self, now: Duration) -> LagCause<'_> {
        match (&self.failure, self.sent) {
            (Some(failure), _) => LagCause::Failed(failure),
            _ if self.silence(now) > SILENT_AFTER => LagCause::Silent,
            (None, Some(generation)) => LagCause::Unconfirmed(generation),
            (None, None) => LagCause::NotSent,
        }
    }
}

/// Why a host is not up to date. Operators read the text.
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

/// The hosts of one control server.
pub(super) struct HostRegistry {
    max_hosts: usize,
    hosts: BTreeMap<String, HostEntry>,
    /// Hosts that are new since the last report.
    arrived: BTreeSet<String>,
    /// Hosts that were forgotten since the last report.
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

    /// Checks what does not depend on the state of this server.
    pub(super) fn validate(request: &WatchRequest) -> Result<(), Rejected> {
        if !is_valid_name(&request.host) {
            return Err(Rejected::InvalidHost { host: request.host.clone() });
        }
        if request.interest.services.len() > MAX_SERVICES {
            return Err(Rejected::TooManyServices);
        }
        Ok(())
    }

    /// Takes in a valid request.
    pub(super) fn register(
        &mut self,
        request: &WatchRequest,
        now: Duration,
    ) -> Result<(), Rejected> {
        if !self.hosts.contains_key(&request.host) {
            self.make_room(now)?;
            self.arrived.insert(request.host.clone());
            self.forgotten.remove(&request.host);
        }
        // A request that was sent before the host moved may be read late, as by a server that was stopped. Only a host
        // that goes on sending requests here has come back.
        let moved_at = self.hosts.get(&request.host).and_then(|host| host.moved_at);
        let is_back = moved_at.is_some_and(|at| now.saturating_sub(at) > SILENT_AFTER);
        if is_back {
            self.arrived.insert(request.host.clone());
        }
        let entry = HostEntry {
            interest: request.interest.clone(),
            applied: request.applied,
            failure: request.failure.as_ref().map(printable),
            last_seen: now,
            sent: None,
            moved_at: moved_at.filter(|_| !is_back),
        };
        self.hosts.insert(request.host.clone(), entry);
        Ok(())
    }

    /// Forgets silent hosts if there is no room for another one.
    fn make_room(&mut self, now: Duration) -> Result<(), Rejected> {
        if self.hosts.len() >= self.max_hosts {
            self.forget_silent(SILENT_AFTER, now);
        }
        if self.hosts.len() >= self.max_hosts {
            return Err(Rejected::Full { hosts: self.hosts.len() });
        }
        Ok(())
    }

    /// Forgets the hosts that have been silent for longer than `limit`.
    fn forget_silent(&mut self, limit: Duration, now: Duration) {
        let silent: Vec<String> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.silence(now) > limit)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            self.hosts.remove(&name);
            self.arrived.remove(&name);
            self.forgotten.insert(name);
        }
        // Bounded, since without an origin no report takes them out.
        while self.forgotten.len() > self.max_hosts {
            self.forgotten.pop_first();
        }
    }

    /// Records that a host was answered, and which generation it was sent, if any.
    pub(super) fn record_response(&mut self, name: &str, sent: Option<Generation>, now: Duration) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.last_seen = now;
            host.sent = sent;
        }
    }

    /// Marks hosts that another control server has heard from more recently.
    pub(super) fn mark_moved(&mut self, names: &[String], now: Duration) {
        for name in names {
            if let Some(host) = self.hosts.get_mut(name) {
                host.moved_at = Some(now);
                self.arrived.remove(name);
            }
        }
    }

    /// Makes all hosts arrivals of the next reports.
    pub(super) fn announce_all(&mut self) {
        self.arrived.extend(self.hosts.keys().cloned());
    }

    /// Summarizes the hosts for the origin.
    pub(super) fn report(
        &mut self,
        server: &str,
        replica: &Replica,
        now: Duration,
    ) -> ProgressReport {
        self.forget_silent(FORGOTTEN_AFTER, now);
        self.hosts
            .retain(|_, host| host.moved_at.is_none() || host.silence(now) <= SILENT_AFTER / 2);
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

    /// Counts by zone, and some of the hosts that are not up to date.
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
        let silent_for = entry.map_or(HostArrival::UNKNOWN, |entry| entry.silence(now));
        let zone = entry.map_or_else(String::new, |entry| entry.interest.zone.clone());
        HostArrival { host, zone, silent_for }
    }
}

/// The failure without control characters, and not longer than what is stored.
fn printable(failure: &ApplyFailure) -> ApplyFailure {
    let characters = failure.reason.chars().filter(|c| !c.is_control());
    ApplyFailure {
        generation: failure.generation,
        reason: characters.take(MAX_REASON_CHARS).collect(),
    }
}

/// Removes and returns the first names of a set.
fn take_first(names: &mut BTreeSet<String>, limit: usize) -> Vec<String> {
    let taken: Vec<String> = names.iter().take(limit).cloned().collect();
    taken.iter().for_each(|name| _ = names.remove(name));
    taken
}
