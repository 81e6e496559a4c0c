//! Progress of a change: reports of the control servers on their hosts, and the origin's aggregation of them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Generation;

/// Maximum number of lagging hosts that one control server lists in its report.
pub const MAX_LAGGING_HOSTS: usize = 32;
/// Maximum number of lagging hosts that the origin lists in its status.
const MAX_LAGGING_HOSTS_IN_TOTAL: usize = 256;
/// Maximum number of hosts that the origin tracks by name.
pub const MAX_HOSTS: usize = 100_000;
/// Time without a report after which a control server, and with it its hosts, counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(6);

/// Counts of the hosts of a zone by their progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ZoneProgress {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of hosts that have applied all committed documents that they subscribe to.
    #[serde(rename = "in_force")]
    pub applied: usize,
    /// Number of lagging hosts that could not apply a configuration.
    #[serde(rename = "declined")]
    pub failed: usize,
    /// Number of lagging hosts that have sent no request for a while.
    pub silent: usize,
    /// The lowest generation that is applied on a lagging host; `None` if no host lags.
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
    /// The host's name.
    pub host: String,
    /// The host's zone.
    pub zone: String,
    /// The generation that the host has applied.
    #[serde(rename = "in_force")]
    pub applied: Generation,
    /// The reason for the lag, for operators.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A host that has been added at a control server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct HostArrival {
    /// The host's name.
    pub host: String,
    /// The host's zone.
    pub zone: String,
    /// Time since the host's last request or response. Sent in milliseconds.
    #[serde(rename = "silent_ms", with = "whole_milliseconds")]
    pub silent_for: Duration,
}

impl HostArrival {
    /// The value of `silent_for` for a host that the control server does not know any more.
    pub const UNKNOWN: Duration = Duration::from_millis(u64::MAX);
}

/// Serialization of a duration as a whole number of milliseconds.
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

/// A control server's report on its hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ProgressReport {
    /// The control server's name.
    #[serde(rename = "member")]
    pub server: String,
    /// The last change that the server knows to be committed.
    pub committed: Generation,
    /// Counts by zone.
    pub zones: BTreeMap<String, ZoneProgress>,
    /// Lagging hosts, at most [`MAX_LAGGING_HOSTS`].
    #[serde(rename = "behind")]
    pub lagging: Vec<LaggingHost>,
    /// Hosts that were added since the last report.
    pub arrived: Vec<HostArrival>,
    /// Hosts that were removed since the last report because they were silent.
    pub forgotten: Vec<String>,
}

/// The origin's response to a report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ReportResponse {
    /// Hosts that have sent a more recent request to another control server.
    #[serde(rename = "elsewhere")]
    pub moved: Vec<String>,
}

/// Progress aggregated over all control servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct TotalProgress {
    /// Counts by zone.
    pub zones: BTreeMap<String, ZoneProgress>,
    /// Counts over all zones.
    pub all: ZoneProgress,
    /// Number of hosts of unreachable control servers. Their applied generation is unknown.
    #[serde(rename = "not_reached")]
    pub unreachable_hosts: usize,
    /// Names of the unreachable control servers.
    #[serde(rename = "silent_machines")]
    pub unreachable_servers: Vec<String>,
    /// The last change that every reachable control server knows to be committed.
    pub committed: Generation,
    /// Lagging hosts, up to a maximum number.
    #[serde(rename = "behind")]
    pub lagging: Vec<LaggingHost>,
}

impl TotalProgress {
    /// Returns whether a change is applied on every host that subscribes to it.
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
    /// Hosts that have moved to other servers since the last report, for the response to the next one.
    moved: Vec<String>,
}

/// The control server to which a host sent its last request.
struct HostLocation {
    server: String,
    zone: String,
    last_seen: Duration,
}

/// Aggregates the reports of the control servers.
#[derive(Default)]
pub struct ProgressAggregator {
    servers: BTreeMap<String, ServerEntry>,
    hosts: BTreeMap<String, HostLocation>,
}

impl ProgressAggregator {
    /// Records a report. Returns the reporting server's hosts that have sent a more recent request to another server.
    pub fn record(&mut self, report: ProgressReport, now: Duration) -> Vec<String> {
        let server = report.server.clone();
        for host in &report.forgotten {
            if self.is_at(host, &server) {
                self.hosts.remove(host);
            }
        }
        let mut served_elsewhere = Vec::new();
        for arrival in &report.arrived {
            if !self.record_arrival(arrival, &server, now) {
                served_elsewhere.push(arrival.host.clone());
            }
        }
        let moved = self.servers.remove(&server).map_or_else(Vec::new, |entry| entry.moved);
        // A host that has returned to this server in the meantime has not moved.
        let is_elsewhere = |host: &String| !self.is_at(host, &server);
        let moved = moved.into_iter().filter(is_elsewhere).chain(served_elsewhere).collect();
        self.servers.insert(server, ServerEntry { report, received_at: now, moved: Vec::new() });
        moved
    }

    /// Returns whether a host sent its last request to this server.
    fn is_at(&self, host: &str, server: &str) -> bool {
        self.hosts.get(host).is_some_and(|location| location.server == server)
    }

    /// Records a host's arrival. Returns false if the host has sent a more recent request to another server.
    fn record_arrival(&mut self, arrival: &HostArrival, server: &str, now: Duration) -> bool {
        let HostArrival { host, zone, silent_for } = arrival;
        let known = self.hosts.get(host);
        if known.is_none() && self.hosts.len() >= MAX_HOSTS {
            return true;
        }
        let last_seen = now.saturating_sub(*silent_for);
        // After a restart of the origin, control servers report all of their hosts, including outdated entries.
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

    /// Returns the progress over `servers`, the names of all control servers that should report.
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
