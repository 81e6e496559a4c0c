//! In how many places a change is applied: reports of the control servers, and the origin's sum over them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Generation;

/// The most lagging hosts that one control server names.
pub const MAX_LAGGING_HOSTS: usize = 32;
/// The most lagging hosts that the origin names.
const MAX_LAGGING_HOSTS_IN_TOTAL: usize = 256;
/// The most hosts that the origin knows by name.
pub const MAX_HOSTS: usize = 100_000;
/// A control server that has not reported for so long is unreachable, and so are its hosts.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(6);

/// How many hosts of a zone are up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ZoneProgress {
    /// All hosts.
    pub hosts: usize,
    /// Hosts that have applied everything that they subscribe to.
    #[serde(rename = "in_force")]
    pub applied: usize,
    /// Hosts that could not apply what they were sent.
    #[serde(rename = "declined")]
    pub failed: usize,
    /// Hosts that lag and send no requests.
    pub silent: usize,
    /// The oldest generation that is applied on a lagging host.
    pub lowest: Option<Generation>,
}

impl ZoneProgress {
    fn add(&mut self, other: &ZoneProgress) {
        self.hosts += other.hosts;
        self.applied += other.applied;
        self.failed += other.failed;
        self.silent += other.silent;
        self.lowest = match (self.lowest, other.lowest) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
    }
}

/// A host that is not up to date.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LaggingHost {
    /// Its name.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// The generation that is applied there.
    #[serde(rename = "in_force")]
    pub applied: Generation,
    /// The reason as far as it is known, for the operator.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A host that is new at a control server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct HostArrival {
    /// Its name.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// How long ago its last request was. Sent in milliseconds.
    #[serde(rename = "silent_ms", with = "whole_milliseconds")]
    pub silent_for: Duration,
}

impl HostArrival {
    /// The silence of a host of which nothing is known.
    pub const UNKNOWN: Duration = Duration::from_millis(u64::MAX);
}

/// A span as a number of milliseconds.
mod whole_milliseconds {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}

/// What a control server reports of its hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ProgressReport {
    /// The control server's name.
    #[serde(rename = "member")]
    pub server: String,
    /// The last change that it knows to be committed.
    pub committed: Generation,
    /// Counts by zone.
    pub zones: BTreeMap<String, ZoneProgress>,
    /// Some of the lagging hosts.
    #[serde(rename = "behind")]
    pub lagging: Vec<LaggingHost>,
    /// Hosts that are new there.
    pub arrived: Vec<HostArrival>,
    /// Hosts that were silent for too long.
    pub forgotten: Vec<String>,
}

/// What the origin answers to a report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ReportResponse {
    /// Hosts that another control server has heard from more recently.
    #[serde(rename = "elsewhere")]
    pub moved: Vec<String>,
}

/// Progress over all control servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct TotalProgress {
    /// Counts by zone.
    pub zones: BTreeMap<String, ZoneProgress>,
    /// Counts over all zones.
    pub all: ZoneProgress,
    /// Hosts of unreachable control servers. They may have applied anything.
    #[serde(rename = "not_reached")]
    pub unreachable_hosts: usize,
    /// Control servers that are unreachable.
    #[serde(rename = "silent_machines")]
    pub unreachable_servers: Vec<String>,
    /// The last change that every reachable control server knows to be committed.
    pub committed: Generation,
    /// Some of the lagging hosts.
    #[serde(rename = "behind")]
    pub lagging: Vec<LaggingHost>,
}

impl TotalProgress {
    /// Whether a change is applied on every host that subscribes to it.
    pub fn is_applied_everywhere(&self, generation: Generation) -> bool {
        let is_applied = self.all.lowest.is_none_or(|lowest| lowest >= generation);
        self.committed >= generation && self.unreachable_hosts == 0 && is_applied
    }

    fn add_unreachable_host(&mut self, host: &str, location: &HostLocation) {
        self.unreachable_hosts += 1;
        self.zones.entry(location.zone.clone()).or_default().hosts += 1;
        self.all.hosts += 1;
        if self.lagging.len() < MAX_LAGGING_HOSTS_IN_TOTAL {
            self.lagging.push(LaggingHost {
                host: host.to_owned(),
                zone: location.zone.clone(),
                applied: 0,
                reason: format!("{} is not reached", location.server),
            });
        }
    }

    fn add_report(&mut self, report: &ProgressReport) {
        for (name, zone) in &report.zones {
            self.zones.entry(name.clone()).or_default().add(zone);
            self.all.add(zone);
        }
        let room = MAX_LAGGING_HOSTS_IN_TOTAL.saturating_sub(self.lagging.len());
        self.lagging.extend(report.lagging.iter().take(room).cloned());
    }
}

/// The last report of one control server.
struct ServerEntry {
    report: ProgressReport,
    received_at: Duration,
    /// Hosts that have moved to other servers since, for the next answer.
    moved: Vec<String>,
}

/// Where a host sent its last request.
struct HostLocation {
    server: String,
    zone: String,
    last_seen: Duration,
}

/// Sums up the reports of the control servers.
#[derive(Default)]
pub struct ProgressAggregator {
    servers: BTreeMap<String, ServerEntry>,
    hosts: BTreeMap<String, HostLocation>,
}

impl ProgressAggregator {
    /// Takes in a report. Returns the hosts that other control servers have heard from more recently.
    pub fn record(&mut self, report: ProgressReport, now: Duration) -> Vec<String> {
        let server = report.server.clone();
        for host in &report.forgotten {
            if self.is_at(host, &server) {
                self.hosts.remove(host);
            }
        }
        let mut not_here = Vec::new();
        for arrival in &report.arrived {
            if !self.record_arrival(arrival, &server, now) {
                not_here.push(arrival.host.clone());
            }
        }
        let moved = self.servers.remove(&server).map_or_else(Vec::new, |entry| entry.moved);
        // A host that has come back since has not moved.
        let is_away = |host: &String| !self.is_at(host, &server);
        let moved = moved.into_iter().filter(is_away).chain(not_here).collect();
        self.servers.insert(server, ServerEntry { report, received_at: now, moved: Vec::new() });
        moved
    }

    /// Whether a host sent its last request to this server.
    fn is_at(&self, host: &str, server: &str) -> bool {
        self.hosts.get(host).is_some_and(|location| location.server == server)
    }

    /// Takes in a host's arrival. Returns false if another server has heard from the host more recently.
    fn record_arrival(&mut self, arrival: &HostArrival, server: &str, now: Duration) -> bool {
        let HostArrival { host, zone, silent_for } = arrival;
        let known = self.hosts.get(host);
        if known.is_none() && self.hosts.len() >= MAX_HOSTS {
            return true;
        }
        let last_seen = now.saturating_sub(*silent_for);
        // After a restart of the origin, control servers report all their entries, outdated ones included.
        if known.is_some_and(|known| known.server != server && known.last_seen > last_seen) {
            return false;
        }
        let location = HostLocation { server: server.to_owned(), zone: zone.clone(), last_seen };
        let previous = self.hosts.insert(host.clone(), location);
        if let Some(previous) = previous.filter(|previous| previous.server != server)
            && let Some(entry) = self.servers.get_mut(&previous.server)
            && entry.moved.len() < MAX_HOSTS
        {
            entry.moved.push(host.clone());
        }
        true
    }

    /// The sum over `servers`, which names all control servers that should report.
    pub fn total<'a>(
        &self,
        servers: impl Iterator<Item = &'a String>,
        now: Duration,
    ) -> TotalProgress {
        let mut total = TotalProgress::default();
        let mut reachable: BTreeMap<&String, &ProgressReport> = BTreeMap::new();
        for name in servers {
            match self.reachable_report(name, now) {
                Some(report) => _ = reachable.insert(name, report),
                None => total.unreachable_servers.push(name.clone()),
            }
        }
        for (host, location) in &self.hosts {
            if !reachable.contains_key(&location.server) {
                total.add_unreachable_host(host, location);
            }
        }
        total.committed = reachable.values().map(|report| report.committed).min().unwrap_or(0);
        reachable.into_values().for_each(|report| total.add_report(report));
        total
    }

    fn reachable_report(&self, server: &str, now: Duration) -> Option<&ProgressReport> {
        let entry = self.servers.get(server)?;
        let age = now.saturating_sub(entry.received_at);
        (age <= UNREACHABLE_AFTER).then_some(&entry.report)
    }
}
