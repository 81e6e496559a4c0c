//! Documents: fragments of sidecar configuration, keyed by the service and zone that they apply to.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;

use crate::Generation;

/// Maximum size of the body of one document, in bytes.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// Maximum number of documents in a replica, including tombstones.
pub const MAX_DOCUMENTS: usize = 4096;
/// Maximum total size of all bodies in a replica, in bytes.
pub const MAX_TOTAL_BYTES: usize = 32 << 20;
/// Maximum length of the name of a service, a zone or a host, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;
/// The service part of a key for documents that apply to every service.
pub const ANY_SERVICE: &str = "*";

/// Returns whether `name` is valid for a service, a zone, a host or a control server: not empty, at most
/// [`MAX_NAME_LENGTH`] bytes, and only ASCII letters, digits, `.`, `_` and `-`.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(is_allowed)
}

/// The scope of a document: one service or all services, in one zone or in all zones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
pub struct DocumentKey {
    /// The service's name, or [`ANY_SERVICE`].
    pub service: String,
    /// The zone's name; `None` for all zones.
    pub zone: Option<String>,
}

/// The error for a text that is not a document key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("SERVICE, SERVICE@ZONE or {ANY_SERVICE} expected, not {text:?}")]
pub struct InvalidKey {
    /// The text.
    pub text: String,
}

impl FromStr for DocumentKey {
    type Err = InvalidKey;

    /// Parses `service` or `service@zone`.
    fn from_str(text: &str) -> Result<DocumentKey, InvalidKey> {
        let (service, zone) = match text.split_once('@') {
            Some((service, zone)) => (service, Some(zone)),
            None => (text, None),
        };
        let is_valid_service = service == ANY_SERVICE || is_valid_name(service);
        if !is_valid_service || zone.is_some_and(|zone| !is_valid_name(zone)) {
            return Err(InvalidKey { text: text.to_owned() });
        }
        Ok(DocumentKey { service: service.to_owned(), zone: zone.map(str::to_owned) })
    }
}

impl fmt::Display for DocumentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.zone {
            Some(zone) => write!(f, "{}@{zone}", self.service),
            None => write!(f, "{}", self.service),
        }
    }
}

/// The documents that a host subscribes to, given by its services and its zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Interest {
    /// The services that the host's sidecars call.
    pub services: BTreeSet<String>,
    /// The host's zone.
    pub zone: String,
}

impl Interest {
    /// Returns whether a document with this key applies to the host.
    pub fn matches(&self, key: &DocumentKey) -> bool {
        (key.service == ANY_SERVICE || self.services.contains(&key.service))
            && key.zone.as_ref().is_none_or(|zone| *zone == self.zone)
    }
}

/// The latest revision of a document.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Document {
    /// The scope of the document.
    pub key: DocumentKey,
    /// The change that wrote this revision.
    pub generation: Generation,
    /// The content; `None` for a tombstone, which marks a withdrawn document.
    pub body: Option<DocumentBody>,
}

impl Document {
    /// Returns whether the document was withdrawn.
    pub fn is_tombstone(&self) -> bool {
        self.body.is_none()
    }

    /// Returns the size of the body in bytes; 0 for a tombstone.
    pub fn body_bytes(&self) -> usize {
        self.body.as_ref().map_or(0, |body| body.text().len())
    }
}

/// The text of a JSON object. It is distributed byte for byte as it was published.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
pub struct DocumentBody(Box<RawValue>);

/// The error for a text that is not a valid body of a document.
#[derive(Debug, thiserror::Error)]
pub enum InvalidBody {
    /// The text is larger than [`MAX_BODY_BYTES`].
    #[error("{bytes} bytes, {MAX_BODY_BYTES} at most expected")]
    TooLarge {
        /// The size of the text, in bytes.
        bytes: usize,
    },
    /// The text is not valid JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The text is JSON, but not an object.
    #[error("a JSON object expected")]
    NotAnObject,
}

impl FromStr for DocumentBody {
    type Err = InvalidBody;

    fn from_str(text: &str) -> Result<DocumentBody, InvalidBody> {
        if text.len() > MAX_BODY_BYTES {
            return Err(InvalidBody::TooLarge { bytes: text.len() });
        }
        let raw: Box<RawValue> = serde_json::from_str(text).map_err(InvalidBody::NotJson)?;
        let body = DocumentBody(raw);
        if body.value().is_object() { Ok(body) } else { Err(InvalidBody::NotAnObject) }
    }
}

impl DocumentBody {
    /// Returns the text.
    pub fn text(&self) -> &str {
        self.0.get()
    }

    /// Parses the text.
    pub fn value(&self) -> Value {
        // The syntax was checked when the raw value was parsed.
        serde_json::from_str(self.text()).unwrap_or_default()
    }
}

/// Applies documents to a base configuration as merge patches (RFC 7396), the most general first: all services, all
/// services in the zone, one service, one service in the zone.
pub fn merge_documents<'a>(base: &Value, documents: impl Iterator<Item = &'a Document>) -> Value {
    let mut ordered: Vec<&Document> = documents.collect();
    ordered.sort_by_key(|d| (d.key.service != ANY_SERVICE, d.key.zone.is_some(), &d.key));
    let mut config = base.clone();
    for body in ordered.iter().filter_map(|document| document.body.as_ref()) {
        apply_merge_patch(&mut config, &body.value());
    }
    config
}

/// Applies one merge patch (RFC 7396).
fn apply_merge_patch(target: &mut Value, patch: &Value) {
    match (target, patch) {
        (Value::Object(target), Value::Object(patch)) => {
            for (key, value) in patch {
                if value.is_null() {
                    target.remove(key);
                } else {
                    apply_merge_patch(target.entry(key).or_insert(Value::Null), value);
                }
            }
        }
        (target, patch) => *target = patch.clone(),
    }
}
