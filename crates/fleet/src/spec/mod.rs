//! The desired state of a fleet, which `fleet.toml` specifies. The file is read and validated as a whole,
//! and yields one configuration per instance.

mod error;
mod file;
mod validation;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::planner::{FleetPolicy, Generation};

pub use error::{InvalidSpec, KeyProblem, SpecError};

/// The largest number of instances on one host.
const MAX_INSTANCES: usize = 2000;
/// The deadline, in microseconds, of requests whose class has none.
const DEFAULT_DEADLINE_US: u64 = 3_000_000;
/// The time that a draining instance gets beyond the longest deadline of its requests. The platform grants the same.
const DRAIN_GRACE: Duration = Duration::from_millis(1500);

/// A validated desired state. It is self-contained: later changes of the files that it was read from do
/// not affect it. It is part of the stored state; the serialized names are those of version 0.2.0.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Spec {
    /// The path of the program that the instances run.
    pub program: PathBuf,
    /// The templates of the instances.
    pub templates: Vec<Template>,
    #[serde(rename = "rules")]
    policy: FleetPolicy,
}

/// A group of instances that differ only in their number and address.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Template {
    /// The prefix of the names of the instances.
    pub name: String,
    /// The number of instances.
    pub count: usize,
    /// The addresses of the listeners, in the order of the instances. A port of 0 lets the system choose
    /// a port for each instance.
    pub listen: Vec<SocketAddr>,
    discovery: SocketAddr,
    /// The number of the first instance in its tier (`me` in its settings).
    #[serde(rename = "first")]
    first_number: u32,
    memory_mb: u64,
    sockets: u64,
    settings: Value,
}

impl Template {
    /// Returns the number of instances for which there are addresses.
    pub fn max_count(&self) -> usize {
        if self.has_ephemeral_port() { MAX_INSTANCES } else { self.listen.len() }
    }

    fn has_ephemeral_port(&self) -> bool {
        self.listen.iter().any(|address| address.port() == 0)
    }

    /// Returns the longest deadline of the classes in the settings.
    fn longest_deadline(&self) -> Option<Duration> {
        let classes = self.settings["classes"].as_array()?;
        let deadlines = classes.iter().filter_map(|class| class["deadline"].as_u64());
        deadlines.max().map(Duration::from_micros)
    }
}

impl Spec {
    /// Reads and validates a file. Paths in it are relative to its directory.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Spec, SpecError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SpecError::Read { path: path.to_owned(), source })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        validation::validate(&text, folder)
            .map_err(|source| SpecError::Invalid { path: path.to_owned(), source })
    }

    /// Returns the limits and timeouts of the fleet.
    pub fn policy(&self) -> FleetPolicy {
        FleetPolicy { drain_timeout: self.drain_timeout(), ..self.policy.clone() }
    }

    /// Returns the time within which an instance must complete its requests when it drains.
    fn drain_timeout(&self) -> Duration {
        let longest = self.templates.iter().filter_map(Template::longest_deadline).max();
        longest.unwrap_or(Duration::from_micros(DEFAULT_DEADLINE_US)) + DRAIN_GRACE
    }

    /// Returns the names of all slots. `count_overrides` has numbers of instances by template, which
    /// replace those of the templates.
    pub fn slots(&self, count_overrides: &BTreeMap<String, usize>) -> BTreeSet<String> {
        let slots_of = |template: &Template| {
            let count = count_overrides.get(&template.name).copied().unwrap_or(template.count);
            let name = template.name.clone();
            (0..count.min(template.max_count())).map(move |n| format!("{name}-{n}"))
        };
        self.templates.iter().flat_map(slots_of).collect()
    }

    /// Returns the template of a slot and the number of the slot in it.
    fn template_of(&self, slot: &str) -> Option<(&Template, usize)> {
        let (name, number) = slot.rsplit_once('-')?;
        let number = number.parse().ok()?;
        let template = self.templates.iter().find(|template| template.name == name)?;
        (number < template.max_count()).then_some((template, number))
    }

    /// Whether this desired state has a configuration for a slot.
    pub fn has_slot(&self, slot: &str) -> bool {
        self.template_of(slot).is_some()
    }

    /// Returns the address on which a slot should listen, or `None` if there is no such slot.
    pub fn listen(&self, slot: &str) -> Option<SocketAddr> {
        let (template, number) = self.template_of(slot)?;
        let index = if template.has_ephemeral_port() { 0 } else { number };
        template.listen.get(index).copied()
    }

    /// Returns the configuration of a slot that listens at `address`, or `None` if there is no such slot.
    /// `seed` seeds the random numbers of the instance.
    pub fn configuration(
        &self,
        slot: &str,
        generation: Generation,
        address: SocketAddr,
        seed: u64,
    ) -> Option<Value> {
        let (template, number) = self.template_of(slot)?;
        let mut settings = template.settings.clone();
        settings["me"] = json!(u64::from(template.first_number) + number as u64);
        Some(json!({
            "name": slot,
            "generation": generation,
            "listen": address.to_string(),
            "discovery": template.discovery.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": template.memory_mb, "sockets": template.sockets},
            "settings": settings,
        }))
    }
}
