//! The format of a scenario file. Keys keep the names of earlier versions so that old files can still be read; some
//! have an alias.

use std::collections::BTreeMap;

use serde::Deserialize;
use toml::Spanned;

/// The maximum number of sidecars.
pub const MAX_SIDECARS: u16 = 400;
/// The maximum number of log servers in a zone.
pub(super) const MAX_SERVERS_PER_ZONE: u16 = 22;
/// The maximum length of a run, in seconds.
pub(super) const MAX_DURATION_S: f64 = 3600.0;
/// The maximum number of faults.
pub(super) const MAX_FAULTS: usize = 256;
/// The maximum number of requests per second, over all clients.
pub(super) const MAX_REQUESTS_PER_S: f64 = 20_000.0;
/// The maximum number of requests of a run: the account keeps each of them.
pub(super) const MAX_REQUESTS: f64 = 4e6;
/// The maximum product of the length of a run in seconds and its number of sidecars: each sample takes some 6 kB per
/// sidecar.
pub(super) const MAX_SIDECAR_SECONDS: f64 = 40_000.0;

/// A scenario file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ScenarioFile {
    pub name: String,
    #[serde(default = "default_seed")]
    pub seed: u64,
    #[serde(rename = "seconds")]
    pub duration_s: Spanned<f64>,
    #[serde(rename = "tier")]
    pub nodes: NodesTable,
    pub load: LoadTable,
    #[serde(default)]
    pub groups: BTreeMap<String, Spanned<Vec<String>>>,
    #[serde(alias = "ways")]
    pub links: Option<Spanned<ImpairmentTable>>,
    #[serde(default)]
    pub configure: Vec<Spanned<ConfigureTable>>,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<FaultTable>>,
    #[serde(default, rename = "expect", alias = "hold")]
    pub expectations: Vec<Spanned<ExpectationTable>>,
}

fn default_seed() -> u64 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct NodesTable {
    pub sidecars: Spanned<u16>,
    pub servers: Spanned<u16>,
    pub cores: Option<Spanned<usize>>,
    #[serde(rename = "stretch")]
    pub time_scale: Option<Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LoadTable {
    #[serde(rename = "per_s")]
    pub requests_per_s: Spanned<f64>,
    #[serde(default, rename = "uneven")]
    pub zipf_exponent: f64,
    #[serde(default, rename = "retries")]
    pub client_retries: u16,
    #[serde(default, alias = "clubs")]
    pub tenants: BTreeMap<String, Spanned<TenantTable>>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TenantTable {
    pub share: f64,
    pub quota_per_s: f64,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct ImpairmentTable {
    pub cut: bool,
    pub delay_ms: f64,
    pub jitter_ms: f64,
    pub loss: f64,
    #[serde(rename = "twice")]
    pub duplicate: f64,
    #[serde(rename = "late")]
    pub reorder: f64,
    #[serde(rename = "spoilt")]
    pub corrupt: f64,
    pub bytes_per_s: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ConfigureTable {
    #[serde(rename = "of")]
    pub sidecars: Vec<String>,
    #[serde(rename = "set")]
    pub patch: toml::Value,
}

/// The kinds of faults.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum FaultKind {
    #[serde(alias = "way")]
    Link,
    Kill,
    #[serde(rename = "end")]
    Terminate,
    #[serde(rename = "stop")]
    Pause,
    #[serde(rename = "starve")]
    Throttle,
    Server,
    Discovery,
    Load,
    Configure,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultTable {
    #[serde(rename = "what")]
    pub kind: FaultKind,
    pub at_s: f64,
    #[serde(rename = "for_s")]
    pub duration_s: Option<f64>,
    #[serde(default)]
    pub spread_s: f64,
    #[serde(default, rename = "of")]
    pub nodes: Vec<String>,
    #[serde(default)]
    pub from: Vec<String>,
    #[serde(default)]
    pub to: Vec<String>,
    #[serde(default, rename = "both")]
    pub both_directions: bool,
    #[serde(alias = "way")]
    pub link: Option<ImpairmentTable>,
    #[serde(default, rename = "empty")]
    pub discard_state: bool,
    pub share: Option<f64>,
    #[serde(rename = "times")]
    pub factor: Option<f64>,
    #[serde(alias = "club")]
    pub tenant: Option<String>,
    #[serde(rename = "how")]
    pub server_fault: Option<ServerFault>,
    #[serde(rename = "set")]
    pub patch: Option<toml::Value>,
}

/// The kinds of server faults.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ServerFault {
    #[serde(rename = "drains")]
    Draining,
    Dead,
    Slow,
    Errors,
    Hangs,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ExpectationTable {
    #[serde(rename = "figure")]
    pub metric: String,
    #[serde(alias = "club")]
    pub tenant: Option<String>,
    #[serde(default, rename = "of")]
    pub sidecars: Vec<String>,
    pub from_s: Option<f64>,
    pub to_s: Option<f64>,
    #[serde(rename = "least")]
    pub min: Option<f64>,
    #[serde(rename = "most")]
    pub max: Option<f64>,
    #[serde(rename = "near")]
    pub reference: Option<String>,
    #[serde(rename = "within")]
    pub tolerance: Option<f64>,
}
