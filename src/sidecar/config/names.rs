//! Names used in protocols in place of the numbers that the balancer uses.

use std::collections::HashMap;

use serde_json::Value;

use super::endpoints::Endpoint;
use super::error::ConfigError;
use crate::api::{LoadReport, ServerEntry};
use crate::settings::{RetrySafety, Settings};

/// Largest plausible value in a load report. Reports contain request counts, fractions and milliseconds, all of which
/// are far smaller.
const MAX_REPORTED: f32 = 1e6;
/// The zone and the machine type of a server whose names the settings lack.
const UNKNOWN_ZONE: u8 = u8::MAX;
const UNKNOWN_KIND: u16 = u16::MAX;
/// Column names of load reports in the settings, and the names that servers may use instead.
const COLUMN_ALIASES: [(&str, &str); 6] = [
    ("rif", "inflight"),
    ("q", "queue"),
    ("busy", "util"),
    ("lat_ms", "latency_ms"),
    ("rate", "qps"),
    ("fail_rate", "eps"),
];

/// The properties of a request class that its protocol needs.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// The index of the class in the settings.
    pub index: usize,
    /// Whether requests may be retried, which determines their HTTP method.
    pub retry_safety: RetrySafety,
    /// Whether a response that has begun may take longer than the client's timeout.
    pub streams_response: bool,
}

/// Names of the classes, tenants, zones, machine types and report columns in the settings.
#[derive(Default)]
pub struct ProtocolNames {
    /// Classes by the first path segment of requests.
    pub classes: HashMap<String, RequestClass>,
    /// Indices of tenants by the value of `X-Account`.
    pub tenants: HashMap<String, usize>,
    zones: Vec<String>,
    kinds: Vec<String>,
    columns: Vec<String>,
}

impl ProtocolNames {
    /// Collects the names in the settings. `raw` contains those that `settings` does not keep.
    ///
    /// # Errors
    ///
    /// When a name is missing or a duplicate.
    pub fn new(settings: &Settings, raw: &Value) -> Result<ProtocolNames, ConfigError> {
        let mut names = ProtocolNames {
            zones: settings.zones.clone(),
            kinds: name_list(raw, "kinds", |kind| kind)?,
            columns: settings.load_reporting.columns.clone(),
            ..ProtocolNames::default()
        };
        for (index, class) in settings.classes.iter().enumerate() {
            let request_class = RequestClass {
                index,
                retry_safety: class.retry_safety,
                streams_response: class.streaming,
            };
            if names.classes.insert(class.name.clone(), request_class).is_some() {
                return Err(ConfigError::DuplicateName { list: "classes", index });
            }
        }
        let tenants = name_list(raw, "tenants", |tenant| &tenant["name"])?;
        for (index, name) in tenants.into_iter().enumerate() {
            if names.tenants.insert(name, index).is_some() {
                return Err(ConfigError::DuplicateName { list: "tenants", index });
            }
        }
        Ok(names)
    }

    /// The names of the tenants, in the order of the settings.
    pub fn tenant_names(&self) -> Vec<String> {
        let mut tenants: Vec<_> = self.tenants.iter().collect();
        tenants.sort_unstable_by_key(|(_, index)| **index);
        tenants.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Converts an endpoint for the balancer. A zone or machine type that the settings lack differs from all others.
    pub fn server_entry<S: AsRef<str>>(&self, endpoint: &Endpoint<S>) -> ServerEntry {
        let position = |names: &[String], name: &Option<S>| {
            let name = name.as_ref().map_or("", AsRef::as_ref);
            names.iter().position(|n| n == name)
        };
        let zone = position(&self.zones, &endpoint.zone).and_then(|n| n.try_into().ok());
        let kind = position(&self.kinds, &endpoint.kind).and_then(|n| n.try_into().ok());
        ServerEntry {
            id: endpoint.id(),
            zone: zone.unwrap_or(UNKNOWN_ZONE),
            kind: kind.unwrap_or(UNKNOWN_KIND),
            cell: endpoint.cell,
            health: endpoint.health.into(),
            weight: endpoint.weight,
            started_at: endpoint.started_unix_ms.saturating_mul(1000),
        }
    }

    /// Parses a load report (`inflight=7,queue=2,util=0.61`) into the column order of the settings. The result is
    /// empty if a column is missing or has an implausible value.
    ///
    /// Servers use the field names of the protocol or those of the settings (`rif=7,q=2`). If only one set of names
    /// were accepted, reports with the other would be dropped silently, and the balancer would not know the queues.
    pub fn load_report(&self, text: &str) -> LoadReport {
        let values: Option<_> = self.columns.iter().map(|column| field(text, column)).collect();
        values.map(LoadReport).unwrap_or_default()
    }
}

/// A field of a load report, found by its column name or the alias of that.
fn field(text: &str, column: &str) -> Option<f32> {
    let alias = COLUMN_ALIASES.iter().find(|(name, _)| *name == column);
    let alias = alias.map_or(column, |(_, alias)| alias);
    let mut fields = text.split(',').filter_map(|field| field.split_once('='));
    let is_named = |name: &str| name == column || name == alias;
    let (_, value) = fields.find(|(name, _)| is_named(name.trim()))?;
    // An implausible value would distort the averages that include it.
    value.trim().parse::<f32>().ok().filter(|value| (0.0..=MAX_REPORTED).contains(value))
}

/// The names in a list of the settings. The list may be absent.
fn name_list(
    settings: &Value,
    list: &'static str,
    name_of: fn(&Value) -> &Value,
) -> Result<Vec<String>, ConfigError> {
    let Some(entries) = settings.get(list).and_then(Value::as_array) else {
        return Ok(Vec::new());
    };
    let names: Option<_> = entries.iter().map(|e| name_of(e).as_str().map(str::to_owned)).collect();
    names.ok_or(ConfigError::MissingName { list })
}
