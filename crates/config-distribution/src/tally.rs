//! In how many places a change is in force: what control machines have added up of their hosts, added up.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Generation, Millis};

/// Hosts that are named as behind, of one control machine, and in all.
pub const MOST_BEHIND: usize = 32;
const MOST_NAMED: usize = 256;
/// The most hosts that are known by name.
pub const MOST_HOSTS: usize = 100_000;
/// A control machine that has not told for so long is not reached, and neither are its hosts.
const SILENT: Millis = 6_000;

/// How far the hosts of a zone are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Zone {
    /// All of them.
    pub hosts: usize,
    /// Where all that concerns them is in force.
    pub in_force: usize,
    /// That have declined what they were told.
    pub declined: usize,
    /// That are behind and do not call.
    pub silent: usize,
    /// The oldest that is in force at one that is behind.
    pub lowest: Option<Generation>,
}

/// A host that is behind.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Behind {
    /// Its name.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// What is in force there.
    pub in_force: Generation,
    /// Why, as far as is known.
    pub why: String,
}

/// A host that calls a machine for the first time.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Arrival {
    /// Its name.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// It called last so long ago.
    pub silent_ms: Millis,
}

/// How far the hosts of one control machine are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Summary {
    /// The machine's name.
    pub member: String,
    /// The last change that is committed, as it knows.
    pub committed: Generation,
    /// By zone.
    pub zones: BTreeMap<String, Zone>,
    /// Some of those that are behind.
    pub behind: Vec<Behind>,
    /// Hosts that are there for the first time.
    pub arrived: Vec<Arrival>,
    /// Hosts that have been silent for so long that they are none any more.
    pub forgotten: Vec<String>,
}

struct Machine {
    summary: Summary,
    heard: Millis,
    /// Hosts that others have by now, to be told to it.
    elsewhere: Vec<String>,
}

/// The totals.
#[derive(Default)]
pub struct Tally {
    machines: BTreeMap<String, Machine>,
    /// Whose each host is, in which zone, and when it last called as far as was told.
    hosts: BTreeMap<String, (String, String, Millis)>,
}

/// How far all are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Total {
    /// By zone.
    pub zones: BTreeMap<String, Zone>,
    /// Over all zones.
    pub all: Zone,
    /// Hosts whose control machine is not reached: they may be anywhere.
    pub not_reached: usize,
    /// Control machines that are not reached.
    pub silent_machines: Vec<String>,
    /// The oldest change that is the last one committed at a machine that is reached.
    pub committed: Generation,
    /// Some of those that are behind.
    pub behind: Vec<Behind>,
}

impl Total {
    /// Whether a change is in force at all that it concerns.
    pub fn in_force(&self, generation: Generation) -> bool {
        let reached = self.all.lowest.is_none_or(|lowest| lowest >= generation);
        self.committed >= generation && self.not_reached == 0 && reached
    }
}

impl Tally {
    /// Takes in a machine's summary; the hosts that others have by now.
    pub fn take(&mut self, summary: Summary, now: Millis) -> Vec<String> {
        let member = summary.member.clone();
        for host in &summary.forgotten {
            if self.hosts.get(host).is_some_and(|(of, _, _)| *of == member) {
                self.hosts.remove(host);
            }
        }
        let mut not_here = Vec::new();
        for Arrival { host, zone, silent_ms } in &summary.arrived {
            if self.hosts.len() >= MOST_HOSTS && !self.hosts.contains_key(host) {
                continue;
            }
            let heard = now.saturating_sub(*silent_ms);
            // Danger: an origin that has just begun is told of all rows there are, old ones too. Whoever heard the host
            // last has it.
            if self.hosts.get(host).is_some_and(|(of, _, at)| *of != member && *at > heard) {
                not_here.push(host.clone());
                continue;
            }
            let before = self.hosts.insert(host.clone(), (member.clone(), zone.clone(), heard));
            let before = before.filter(|(of, _, _)| *of != member);
            if let Some(machine) = before.and_then(|(of, _, _)| self.machines.get_mut(&of))
                && machine.elsewhere.len() < MOST_HOSTS
            {
                machine.elsewhere.push(host.clone());
            }
        }
        let elsewhere = self.machines.remove(&member).map_or_else(Vec::new, |m| m.elsewhere);
        // Hosts that have come back here are here.
        let elsewhere = elsewhere
            .into_iter()
            .filter(|host| self.hosts.get(host).is_none_or(|(of, _, _)| *of != member))
            .chain(not_here)
            .collect();
        self.machines.insert(member, Machine { summary, heard: now, elsewhere: Vec::new() });
        elsewhere
    }

    /// How far all are, `machines` being the names of all that should tell.
    pub fn total<'a>(&self, machines: impl Iterator<Item = &'a String>, now: Millis) -> Total {
        let mut total = Total { committed: Generation::MAX, ..Total::default() };
        let mut reached = BTreeMap::new();
        for name in machines {
            match self.machines.get(name).filter(|m| now.saturating_sub(m.heard) <= SILENT) {
                Some(machine) => drop(reached.insert(name, machine)),
                None => total.silent_machines.push(name.clone()),
            }
        }
        for (host, (of, zone, _)) in &self.hosts {
            if reached.contains_key(of) {
                continue;
            }
            total.not_reached += 1;
            total.zones.entry(zone.clone()).or_default().hosts += 1;
            total.all.hosts += 1;
            if total.behind.len() < MOST_NAMED {
                let why = format!("{of} is not reached");
                let (host, zone) = (host.clone(), zone.clone());
                total.behind.push(Behind { host, zone, in_force: 0, why });
            }
        }
        for machine in reached.into_values() {
            total.committed = total.committed.min(machine.summary.committed);
            for (name, zone) in &machine.summary.zones {
                add(total.zones.entry(name.clone()).or_default(), zone);
                add(&mut total.all, zone);
            }
            let room = MOST_NAMED.saturating_sub(total.behind.len());
            total.behind.extend(machine.summary.behind.iter().take(room).cloned());
        }
        if total.committed == Generation::MAX {
            total.committed = 0;
        }
        total
    }
}

fn add(sum: &mut Zone, zone: &Zone) {
    sum.hosts += zone.hosts;
    sum.in_force += zone.in_force;
    sum.declined += zone.declined;
    sum.silent += zone.silent;
    sum.lowest = match (sum.lowest, zone.lowest) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    };
}
