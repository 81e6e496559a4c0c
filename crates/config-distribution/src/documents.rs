//! Documents: parts of the sidecars' configurations, by the service and the zone that they concern.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;

use crate::Generation;

/// The longest body of one document, in bytes.
pub const LONGEST_BODY: usize = 256 << 10;
/// The most documents, withdrawn ones among them, and the bytes of all their bodies.
pub const MOST_DOCUMENTS: usize = 4096;
pub const MOST_BYTES: usize = 32 << 20;
/// The longest name of a service, a zone or a host.
pub const LONGEST_NAME: usize = 64;
/// Every service.
pub const ALL: &str = "*";

/// What a document concerns: a service, or all, in one zone, or in all.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct Key {
    /// The service's name; `*` for all.
    pub service: String,
    /// The zone's name; none for all.
    pub zone: Option<String>,
}

/// Whether this can name a service, a zone or a host.
pub fn is_name(name: &str) -> bool {
    let sound = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    !name.is_empty() && name.len() <= LONGEST_NAME && name.chars().all(sound)
}

impl Key {
    /// `service` or `service@zone`.
    ///
    /// # Errors
    ///
    /// What was expected.
    pub fn parse(text: &str) -> Result<Key, String> {
        let (service, zone) = match text.split_once('@') {
            Some((service, zone)) => (service, Some(zone)),
            None => (text, None),
        };
        if (service != ALL && !is_name(service)) || zone.is_some_and(|zone| !is_name(zone)) {
            return Err(format!("SERVICE, SERVICE@ZONE or {ALL} expected, not {text:?}"));
        }
        Ok(Key { service: service.to_owned(), zone: zone.map(str::to_owned) })
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.zone {
            Some(zone) => write!(f, "{}@{zone}", self.service),
            None => write!(f, "{}", self.service),
        }
    }
}

/// What a host is concerned with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Interest {
    /// The services that its sidecars call.
    pub services: BTreeSet<String>,
    /// Its zone.
    pub zone: String,
}

impl Interest {
    /// Whether a document of this key concerns it.
    pub fn has(&self, key: &Key) -> bool {
        (key.service == ALL || self.services.contains(&key.service))
            && key.zone.as_ref().is_none_or(|zone| *zone == self.zone)
    }
}

/// A document as it was changed last.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Document {
    /// What it concerns.
    pub key: Key,
    /// The change that made it so.
    pub generation: Generation,
    /// What it says; none: it is withdrawn.
    pub body: Option<Body>,
}

/// The text of a JSON object. What is passed on is what was published, byte by byte.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Body(Box<RawValue>);

impl Body {
    /// Checks a text.
    ///
    /// # Errors
    ///
    /// What is wrong with it, with its size where this is too long.
    pub fn new(text: &str) -> Result<Body, String> {
        if text.len() > LONGEST_BODY {
            return Err(format!("{} bytes, {LONGEST_BODY} at most expected", text.len()));
        }
        let body: Box<RawValue> =
            serde_json::from_str(text).map_err(|why| format!("not JSON: {why}"))?;
        let body = Body(body);
        if body.value().is_object() { Ok(body) } else { Err("a JSON object expected".to_owned()) }
    }

    /// The text.
    pub fn text(&self) -> &str {
        self.0.get()
    }

    /// What it says.
    pub fn value(&self) -> Value {
        // Its syntax was checked when it was read.
        serde_json::from_str(self.text()).unwrap_or_default()
    }
}

/// Puts documents over a configuration, the general ones first (RFC 7396): for all services, for all in the zone, for
/// one service, for this in the zone.
pub fn merged<'a>(base: &Value, documents: impl Iterator<Item = &'a Document>) -> Value {
    let mut all: Vec<&Document> = documents.collect();
    all.sort_by_key(|d| (d.key.service != ALL, d.key.zone.is_some(), &d.key));
    let mut config = base.clone();
    for body in all.iter().filter_map(|d| d.body.as_ref()) {
        merge(&mut config, &body.value());
    }
    config
}

/// Puts what is set into a configuration, key by key (RFC 7396).
fn merge(config: &mut Value, set: &Value) {
    match (config, set) {
        (Value::Object(config), Value::Object(set)) => {
            for (key, value) in set {
                if value.is_null() {
                    config.remove(key);
                } else {
                    merge(config.entry(key).or_insert(Value::Null), value);
                }
            }
        }
        (config, set) => *config = set.clone(),
    }
}
