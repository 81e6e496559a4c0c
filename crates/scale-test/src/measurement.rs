//! Publishes changes, injects faults, and measures propagation times and costs.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use local_cluster::Usage;

use crate::cluster::{Cluster, POLL_INTERVAL, UsageByRole};
use crate::error::RunError;
use crate::plan::{Fault, FaultKind};
use crate::report::{Change, Cost, Report, failures};

/// The time over which costs without changes or faults are measured, before the first change.
const QUIET_PERIOD: Duration = Duration::from_secs(5);
/// The time after the end of the run within which open changes may still propagate.
const PROPAGATION_GRACE: Duration = Duration::from_secs(20);
/// The time within which an origin must accept a change.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(30);
const MICROS_PER_S: f64 = 1e6;

/// The resource usage of all processes at some time.
struct Reading {
    at: Instant,
    usage: UsageByRole,
    /// The bytes received on the loopback interface so far.
    loopback_bytes: u64,
}

impl Reading {
    fn take(cluster: &Cluster<'_>) -> Reading {
        Reading { at: Instant::now(), usage: cluster.usage(), loopback_bytes: loopback_bytes() }
    }
}

/// The interval between two readings.
struct Span<'a> {
    from: &'a Reading,
    to: &'a Reading,
}

impl Span<'_> {
    fn seconds(&self) -> f64 {
        (self.to.at - self.from.at).as_secs_f64()
    }

    fn loopback_bytes_per_s(&self) -> f64 {
        (self.to.loopback_bytes - self.from.loopback_bytes) as f64 / self.seconds()
    }

    /// Returns the mean and the maximum share of a core of the processes of a role. Restarted processes are left out.
    fn cpu_shares(&self, role: &str) -> (f64, f64) {
        let pairs = self.from.usage[role].iter().zip(&self.to.usage[role]);
        let shares = pairs.map(|(from, to)| (to.cpu_s - from.cpu_s) / self.seconds());
        // A process that was restarted has a smaller processor time than before.
        let shares: Vec<f64> = shares.filter(|share| *share >= 0.0).collect();
        let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
        (mean, shares.into_iter().fold(0.0, f64::max))
    }
}

/// The beginning or the end of a fault.
struct FaultEvent {
    at_s: f64,
    fault: Fault,
    begins: bool,
}

/// A published change.
struct PublishedChange {
    change: Change,
    /// The start of its propagation time, in microseconds of Unix time: its publication, or the end of the last
    /// partition.
    since_us: u64,
}

/// The state of a running measurement.
struct Measurement<'c, 'p> {
    cluster: &'c mut Cluster<'p>,
    started: Instant,
    /// The remaining events, ordered by time.
    events: VecDeque<FaultEvent>,
    active_faults: Vec<Fault>,
    changes: Vec<PublishedChange>,
    next_change: Duration,
}

/// Publishes the changes and injects the faults of the plan, and measures them. `on_progress` is called with lines that
/// describe the progress.
pub(crate) fn measure(
    cluster: &mut Cluster<'_>,
    on_progress: &mut impl FnMut(&str),
) -> Result<Report, RunError> {
    let before = Reading::take(cluster);
    std::thread::sleep(QUIET_PERIOD);
    let quiet = Reading::take(cluster);
    let changes = Measurement::new(cluster).run(on_progress)?;
    let after = Reading::take(cluster);
    let quiet_span = Span { from: &before, to: &quiet };
    let changing_span = Span { from: &quiet, to: &after };
    report(cluster, changes, &quiet_span, &changing_span)
}

impl<'c, 'p> Measurement<'c, 'p> {
    fn new(cluster: &'c mut Cluster<'p>) -> Measurement<'c, 'p> {
        let events = fault_events(cluster.plan.faults());
        Measurement {
            cluster,
            started: Instant::now(),
            events,
            active_faults: Vec::new(),
            changes: Vec::new(),
            next_change: Duration::ZERO,
        }
    }

    fn run(mut self, on_progress: &mut impl FnMut(&str)) -> Result<Vec<Change>, RunError> {
        let duration = self.cluster.plan.duration();
        let deadline = duration + PROPAGATION_GRACE;
        loop {
            let now = self.started.elapsed();
            if self.events.front().is_some_and(|event| event.at_s <= now.as_secs_f64()) {
                if let Some(event) = self.events.pop_front() {
                    self.apply(event, on_progress)?;
                }
                continue;
            }
            if now >= self.next_change && now < duration {
                self.next_change += self.cluster.plan.change_interval();
                self.publish(now)?;
            }
            self.check_propagation();
            let complete = self.open_changes().next().is_none();
            let over = now >= duration && (complete || now >= deadline);
            if over && self.events.is_empty() {
                return Ok(self.changes.into_iter().map(|published| published.change).collect());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn apply(
        &mut self,
        event: FaultEvent,
        on_progress: &mut impl FnMut(&str),
    ) -> Result<(), RunError> {
        let FaultEvent { at_s, fault, begins } = event;
        let verb = if begins { "begins" } else { "ends" };
        on_progress(&format!("{at_s:.1} s: {:?} {} {verb}", fault.kind, fault.target));
        let same = |other: &Fault| other.kind == fault.kind && other.target == fault.target;
        self.active_faults.retain(|other| !same(other));
        if begins {
            self.cluster.begin(&fault)?;
            self.active_faults.push(fault);
        } else {
            self.cluster.end(&fault)?;
            if is_partition(fault.kind) {
                // The propagation of changes that the partition held up is measured from its end.
                let healed_us = unix_us();
                self.open_changes().for_each(|c| c.since_us = c.since_us.max(healed_us));
            }
        }
        Ok(())
    }

    fn publish(&mut self, now: Duration) -> Result<(), RunError> {
        let since_us = unix_us();
        let faults = self.active_faults.iter().map(|f| format!("{:?} {}", f.kind, f.target));
        let active_faults = faults.collect::<Vec<_>>().join(", ");
        let generation = self.cluster.publish(PUBLISH_TIMEOUT)?;
        let at_s = now.as_secs_f64();
        let change = Change { generation, at_s, propagation_s: None, active_faults };
        self.changes.push(PublishedChange { change, since_us });
        Ok(())
    }

    /// Returns the changes that are not in force everywhere yet.
    fn open_changes(&mut self) -> impl Iterator<Item = &mut PublishedChange> {
        self.changes.iter_mut().filter(|published| published.change.propagation_s.is_none())
    }

    fn check_propagation(&mut self) {
        let total = self.cluster.plan.sidecar_count();
        let cluster = &*self.cluster;
        let open = self.changes.iter_mut().filter(|c| c.change.propagation_s.is_none());
        for PublishedChange { change, since_us } in open {
            let propagation = cluster.propagation(change.generation);
            if propagation.sidecar_count >= total {
                let took_us = propagation.last_us.saturating_sub(*since_us);
                change.propagation_s = Some(took_us as f64 / MICROS_PER_S);
            }
        }
    }
}

/// Returns the beginnings and ends of faults, ordered by time.
fn fault_events<'a>(faults: impl Iterator<Item = &'a Fault>) -> VecDeque<FaultEvent> {
    let mut events = Vec::new();
    for fault in faults {
        events.push(FaultEvent { at_s: fault.at_s, fault: fault.clone(), begins: true });
        events.extend(fault.duration_s.map(|duration_s| FaultEvent {
            at_s: fault.at_s + duration_s,
            fault: fault.clone(),
            begins: false,
        }));
    }
    events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    events.into()
}

/// Returns whether a fault of this kind keeps changes from reaching all sidecars.
fn is_partition(kind: FaultKind) -> bool {
    matches!(kind, FaultKind::CutRegion | FaultKind::KillZone)
}

fn report(
    cluster: &Cluster<'_>,
    changes: Vec<Change>,
    quiet: &Span<'_>,
    changing: &Span<'_>,
) -> Result<Report, RunError> {
    let plan = cluster.plan;
    let costs = changing.to.usage.iter().map(|(role, usage)| {
        (role.clone(), cost(usage, quiet.cpu_shares(role), changing.cpu_shares(role)))
    });
    let costs = costs.collect();
    let metrics = metrics(cluster, &changes, quiet, changing)?;
    Ok(Report {
        sidecar_count: plan.sidecar_count(),
        real_sidecar_count: plan.real_sidecar_count(),
        start_s: 0.0,
        failures: failures(plan.expectations(), &metrics),
        changes,
        metrics,
        costs,
    })
}

/// Returns the cost of a role from its usage at the end, and its mean and maximum shares of a core.
fn cost(usage: &[Usage], quiet: (f64, f64), changing: (f64, f64)) -> Cost {
    let rss_kib: Vec<u64> = usage.iter().map(|usage| usage.rss_kib).collect();
    Cost {
        cpu_quiet: quiet.0,
        cpu_quiet_max: quiet.1,
        cpu_changing: changing.0,
        cpu_changing_max: changing.1,
        rss_kib_max: rss_kib.iter().copied().max().unwrap_or(0),
        rss_kib_mean: rss_kib.iter().sum::<u64>() / rss_kib.len().max(1) as u64,
    }
}

fn metrics(
    cluster: &Cluster<'_>,
    changes: &[Change],
    quiet: &Span<'_>,
    changing: &Span<'_>,
) -> Result<BTreeMap<String, f64>, RunError> {
    let calm = |c: &Change| c.active_faults.is_empty();
    let partitioned =
        |c: &Change| c.active_faults.contains("CutRegion") || c.active_faults.contains("KillZone");
    let counts = cluster.hollow_counts();
    let status = cluster.origin_status()?;
    let total = &status["total"]["all"];
    let plan = cluster.plan;
    let sidecars = (plan.sidecar_count() + plan.real_sidecar_count()).max(1) as f64;
    let metrics = [
        ("in_force_s", longest_propagation(changes, calm)),
        ("in_force_under_faults_s", longest_propagation(changes, |c| !calm(c) && !partitioned(c))),
        ("healed_s", longest_propagation(changes, partitioned)),
        ("changes", changes.len() as f64),
        ("went_back", counts.regressions as f64),
        ("declined", counts.rejected as f64),
        ("whole_tiers", counts.complete_memberships as f64),
        ("hosts", total["hosts"].as_f64().unwrap_or(0.0)),
        ("hosts_in_force", total["in_force"].as_f64().unwrap_or(0.0)),
        ("loopback_bytes_per_s_quiet", quiet.loopback_bytes_per_s() / sidecars),
        ("loopback_bytes_per_s_changing", changing.loopback_bytes_per_s() / sidecars),
    ];
    Ok(metrics.map(|(name, value)| (name.to_owned(), value)).into())
}

/// Returns the longest propagation time of the changes that `chosen` selects, in seconds. It is infinite if one of them
/// was not in force everywhere by the end of the run.
fn longest_propagation(changes: &[Change], chosen: impl Fn(&Change) -> bool) -> f64 {
    let chosen = changes.iter().filter(|change| chosen(change));
    chosen.map(|change| change.propagation_s.unwrap_or(f64::INFINITY)).fold(0.0, f64::max)
}

fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Returns the bytes received on the loopback interface so far, by all programs of this machine (proc_net_dev(5)).
fn loopback_bytes() -> u64 {
    let table = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
