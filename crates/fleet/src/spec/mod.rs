//! `fleet.toml`: the desired state of a fleet. It is read and checked as a whole, and turned into one
//! configuration per instance.

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

/// The most instances of one host.
const MAX_INSTANCES: usize = 2000;
/// The deadline, in microseconds, of requests whose class names none.
const DEFAULT_DEADLINE_US: u64 = 3_000_000;
/// The platform lets an instance take so much longer to drain than its longest deadline.
const DRAIN_GRACE: Duration = Duration::from_millis(1500);

/// The desired state, checked and complete: it means the same however the files that it was read
/// from change later. Part of the stored state: the stored names are those of version 0.2.0.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Spec {
    /// The program of the instances.
    pub program: PathBuf,
    /// The templates of the instances.
    pub templates: Vec<Template>,
    #[serde(rename = "rules")]
    policy: FleetPolicy,
}

/// Instances that differ in number and address alone.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Template {
    /// The first part of the instances' names.
    pub name: String,
    /// How many instances there are.
    pub count: usize,
    /// Where they listen, in order; with a port of 0 the system chooses one for each.
    pub listen: Vec<SocketAddr>,
    discovery: SocketAddr,
    #[serde(rename = "first")]
    first_number: u32,
    memory_mb: u64,
    sockets: u64,
    settings: Value,
}

impl Template {
    /// How many instances there are addresses for.
    pub fn max_count(&self) -> usize {
        if self.has_any_port() { MAX_INSTANCES } else { self.listen.len() }
    }

    fn has_any_port(&self) -> bool {
        self.listen.iter().any(|address| address.port() == 0)
    }

    /// The longest deadline of the classes in the settings.
    fn longest_deadline(&self) -> Option<Duration> {
        let classes = self.settings["classes"].as_array()?;
        let deadlines = classes.iter().filter_map(|class| class["deadline"].as_u64());
        deadlines.max().map(Duration::from_micros)
    }
}

impl Spec {
    /// Reads and checks a file. Paths in it are relative to its folder.
    ///
    /// # Errors
    ///
    /// When it cannot be read, or what it says cannot be used.
    pub fn read(path: &Path) -> Result<Spec, SpecError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SpecError::Read { path: path.to_owned(), source })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        validation::validate(&text, folder)
            .map_err(|source| SpecError::Invalid { path: path.to_owned(), source })
    }

    /// How the fleet is run.
    pub fn policy(&self) -> FleetPolicy {
        FleetPolicy { drain_timeout: self.drain_timeout(), ..self.policy.clone() }
    }

    /// How long an instance may take to complete the requests that it has.
    fn drain_timeout(&self) -> Duration {
        let longest = self.templates.iter().filter_map(Template::longest_deadline).max();
        longest.unwrap_or(Duration::from_micros(DEFAULT_DEADLINE_US)) + DRAIN_GRACE
    }

    /// The names of all slots. `count_overrides` replace the counts of their templates.
    pub fn slots(&self, count_overrides: &BTreeMap<String, usize>) -> BTreeSet<String> {
        let slots_of = |template: &Template| {
            let count = count_overrides.get(&template.name).copied().unwrap_or(template.count);
            let name = template.name.clone();
            (0..count.min(template.max_count())).map(move |n| format!("{name}-{n}"))
        };
        self.templates.iter().flat_map(slots_of).collect()
    }

    /// A slot's template, and its number there.
    fn template_of(&self, slot: &str) -> Option<(&Template, usize)> {
        let (name, number) = slot.rsplit_once('-')?;
        let number = number.parse().ok()?;
        let template = self.templates.iter().find(|template| template.name == name)?;
        (number < template.max_count()).then_some((template, number))
    }

    /// Whether this can configure a slot.
    pub fn has_slot(&self, slot: &str) -> bool {
        self.template_of(slot).is_some()
    }

    /// Where a slot is to listen, if this can configure it.
    pub fn listen(&self, slot: &str) -> Option<SocketAddr> {
        let (template, number) = self.template_of(slot)?;
        let index = if template.has_any_port() { 0 } else { number };
        template.listen.get(index).copied()
    }

    /// The configuration of a slot that listens at `address`, if this can configure it. `seed` is
    /// for what the instance draws at random.
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
