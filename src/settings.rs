//! The settings an instance gets at its start, as JSON.
//!
//! Unknown keys are skipped. What the balancer relies on is checked in [`Settings::from_json`].
//! All times are in microseconds. The keys of the JSON text are the names of the platform; where a
//! field has another name here, its key stands in its `serde` attribute.

use serde::Deserialize;
use thiserror::Error;

use crate::api::Micros;

/// The number of values that a load report can carry.
const MAX_REPORT_COLUMNS: usize = 4;
/// How long before servers forget a request its last repeat is sent: for so long a process may be held up between
/// a look at its clock and the write.
const REPEAT_MARGIN: Micros = 150_000;
/// The margin takes at most this part of a window.
const REPEAT_MARGIN_DIVISOR: Micros = 4;

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON, or a value has the wrong type.
    #[error("settings: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A value is out of range.
    #[error("settings: {key}: {expected} expected")]
    OutOfRange {
        /// The key of the value, as a path.
        key: String,
        /// What is allowed.
        expected: &'static str,
    },
}

/// Whether a request may be sent again once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum RetrySafety {
    /// It may be sent again at any time.
    #[serde(rename = "idempotent")]
    Idempotent,
    /// It carries an idempotency key: the servers of its [`DedupScope`] discard repeats of it.
    #[serde(rename = "deduplicated")]
    IdempotencyKey,
    /// It must not run twice.
    #[serde(rename = "at_most_once")]
    NonIdempotent,
}

/// The servers that discard repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum DedupScope {
    /// All servers.
    #[default]
    All,
    /// The servers of the zone that the request was first sent to.
    Zone,
    /// The servers of the cell that the request was first sent to.
    Cell,
}

/// How servers deliver load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ReportDelivery {
    /// With each answer and each health check.
    #[serde(rename = "piggyback")]
    InBand,
    /// With health checks only.
    #[serde(rename = "pull")]
    OutOfBand,
    /// Not at all.
    #[serde(rename = "silent")]
    Disabled,
}

/// How changes of the endpoint list reach an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
pub enum DiscoveryMode {
    /// Discovery pushes them.
    #[default]
    #[serde(rename = "pushed")]
    Push,
    /// The instance has to watch or poll.
    #[serde(rename = "on_request")]
    OnRequest,
}

/// What the weights of an endpoint list mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum WeightKind {
    /// Nothing: they are all 1.
    #[default]
    #[serde(rename = "silent")]
    Unspecified,
    /// The registered size of the server.
    Nominal,
    /// About the size of the server.
    #[serde(rename = "rough")]
    Approximate,
    /// The size divided by the recent load of each core; it changes from list to list.
    Live,
}

/// What the priority weight of a class is counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum PriorityBasis {
    /// Each request counts the same.
    #[default]
    Request,
    /// Each request counts by its work.
    Work,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Class {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// Answers within this time have their full value.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// How long a client waits, over all its attempts.
    pub deadline: Micros,
    /// Whether its requests may be retried once they may have run.
    #[serde(rename = "repeat")]
    pub retry_safety: RetrySafety,
    /// Which servers discard repeats.
    #[serde(default)]
    pub dedup_scope: DedupScope,
    /// How long they do so, from the first attempt that may have run.
    #[serde(default, rename = "window")]
    pub dedup_window: Micros,
    /// The priority of a request beside those of other classes; 0 or more.
    #[serde(default = "one", rename = "credit")]
    pub priority_weight: f64,
    /// The share of its value that an answer keeps after the latency objective; 0 to 1.
    #[serde(default, rename = "lateWorth")]
    pub late_weight: f64,
    /// The latency objective grows by this many times the work of the request.
    #[serde(default, rename = "aimStretch")]
    pub objective_stretch: f64,
    /// Answers are streams.
    #[serde(default)]
    pub streaming: bool,
}

/// The weights of the parts of the service's result.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Goal {
    /// The result of the entire day.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// The result of the worst class.
    pub worst_class: f64,
    /// The result of the worst tenant, within its quota.
    pub worst_tenant: f64,
    /// The result of the worst ten seconds.
    pub worst_window: f64,
}

/// What the site permits.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Attempts may be cancelled.
    #[serde(rename = "cancel")]
    pub may_cancel: bool,
    /// Idle connections are closed after this time.
    #[serde(rename = "connIdle")]
    pub connection_idle_timeout: Micros,
    /// How long a connection may take to be established.
    pub connect_timeout: Micros,
    /// The most attempts of one request; 1 or more.
    pub max_attempts: usize,
    /// The longest Retry-After that a client follows.
    pub max_retry_after: Micros,
    /// A request may have two attempts in flight (hedging).
    #[serde(rename = "mayDuplicate")]
    pub may_hedge: bool,
    /// Sidecars may send each other messages.
    #[serde(rename = "mayTell")]
    pub may_message_peers: bool,
    /// Health checks may be sent.
    #[serde(rename = "probing")]
    pub may_health_check: bool,
    /// Clients are given a Retry-After.
    pub retry_after: bool,
    /// How many attempts a connection carries at once.
    #[serde(rename = "streamsPerConn")]
    pub streams_per_connection: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            may_cancel: false,
            connection_idle_timeout: 0,
            connect_timeout: 0,
            max_attempts: 1,
            max_retry_after: 0,
            may_hedge: false,
            may_message_peers: false,
            may_health_check: false,
            retry_after: false,
            streams_per_connection: 1,
        }
    }
}

/// What is taken off the service's result, in points, times the rate or share of each.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Prices {
    /// Open connections, per hundred servers.
    pub connection: f64,
    /// Attempts that cross zones.
    pub cross_zone: f64,
    /// New connections.
    pub handshake: f64,
    /// Requests that fail after their latency objective.
    #[serde(rename = "lateFail")]
    pub late_failure: f64,
    /// Messages between sidecars.
    #[serde(rename = "peer")]
    pub peer_message: f64,
    /// Health checks.
    #[serde(rename = "probe")]
    pub health_check: f64,
    /// Server work that no client got an answer of.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
}

/// The load reports of the servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Report")]
pub struct LoadReporting {
    /// The names of a report's values, four at most.
    #[serde(default)]
    pub columns: Vec<String>,
    /// How reports are delivered.
    #[serde(rename = "how")]
    pub delivery: ReportDelivery,
}

/// The figures of the four rules that an instance must observe.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rules {
    /// How long after a client's deadline its final answer still counts.
    pub answer_slack: Micros,
    /// How long after its start a server is warm at the latest.
    #[serde(rename = "cold")]
    pub slow_start_window: Micros,
    /// The share of its full capacity that a server has at its start; above 0, up to 1.
    #[serde(rename = "coldShare")]
    pub initial_capacity_share: f64,
    /// How many times its present capacity makes a server that is warming up fail; above 0.
    #[serde(rename = "fallMultiple")]
    pub overload_factor: f64,
    /// How long an instance may go without a poll and still count as not yet notified.
    #[serde(default, rename = "mustAskIn")]
    pub max_poll_interval: Micros,
    /// How soon sends to a server must cease once it drains or is removed.
    #[serde(rename = "stopSendingWithin")]
    pub drain_deadline: Micros,
    /// How long such an overload has to last.
    #[serde(rename = "tipAfter")]
    pub overload_duration: Micros,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    /// Its quota in requests per second, over all sidecars together; 0 or more.
    #[serde(default)]
    pub quota_per_s: f64,
    /// Its share of the service; 0 or more.
    #[serde(default, rename = "share")]
    pub service_share: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default, expecting = "struct Clients")]
pub struct ClientBehavior {
    /// They mark their retries.
    #[serde(rename = "marksRetry")]
    pub marks_retries: bool,
}

/// Facts about this kind of service.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default, expecting = "struct FamilyInfo")]
pub struct ServiceTraits {
    /// A server that lately served a key serves it again with less work.
    #[serde(rename = "warmKeys")]
    pub key_affinity: bool,
}

/// The settings of one instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// How clients behave.
    #[serde(default)]
    pub clients: ClientBehavior,
    /// How changes of the endpoint list reach this instance.
    #[serde(default)]
    pub discovery: DiscoveryMode,
    /// Facts about this kind of service.
    #[serde(default, rename = "familyInfo")]
    pub service_traits: ServiceTraits,
    /// The weights of the parts of the service's result.
    #[serde(default)]
    pub goal: Goal,
    /// The number of instances in this tier; 1 or more.
    pub instances: u32,
    /// What the site permits.
    #[serde(default)]
    pub limits: Limits,
    /// The number of this instance, from 0.
    #[serde(rename = "me")]
    pub instance: u32,
    /// The value of a request over its tenant's quota, beside one within it.
    #[serde(default = "one", rename = "overShareWorth")]
    pub over_quota_weight: f64,
    /// What is taken off the service's result.
    #[serde(default)]
    pub prices: Prices,
    /// The load reports of the servers.
    #[serde(rename = "report")]
    pub load_reporting: LoadReporting,
    /// The figures of the four rules.
    pub rules: Rules,
    /// The tenants; a service may have none.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// The shortest time between two batches of events.
    #[serde(default)]
    pub tick: Micros,
    /// What the weights of an endpoint list mean.
    #[serde(default)]
    pub weight_kind: WeightKind,
    /// What the priority weight of a class is counted by.
    #[serde(default, rename = "worthBy")]
    pub priority_basis: PriorityBasis,
    /// The position of this instance's zone in `zones`.
    #[serde(default)]
    pub zone: u8,
    /// The names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
}

fn one() -> f64 {
    1.0
}

/// Fails with the key and what is expected of it unless `valid` holds.
fn require(
    valid: bool,
    key: impl FnOnce() -> String,
    expected: &'static str,
) -> Result<(), SettingsError> {
    if valid { Ok(()) } else { Err(SettingsError::OutOfRange { key: key(), expected }) }
}

impl Class {
    /// How long after the first attempt that may have run a repeat may be sent.
    pub fn retry_window(&self) -> Micros {
        let margin = REPEAT_MARGIN.min(self.dedup_window / REPEAT_MARGIN_DIVISOR);
        self.dedup_window - margin
    }

    fn check(&self, index: usize) -> Result<(), SettingsError> {
        let path = |key: &'static str| move || format!("classes[{index}].{key}");
        require(self.latency_objective > 0, path("aim"), "a time above 0")?;
        require(self.deadline > 0, path("deadline"), "a time above 0")?;
        require(self.priority_weight >= 0.0, path("credit"), "a worth of 0 or more")?;
        let late_weight_is_share = (0.0..=1.0).contains(&self.late_weight);
        require(late_weight_is_share, path("lateWorth"), "a share from 0 to 1")
    }
}

impl Tenant {
    fn check(&self, index: usize) -> Result<(), SettingsError> {
        require(
            self.quota_per_s >= 0.0 && self.service_share >= 0.0,
            || format!("tenants[{index}]"),
            "quotaPerS and share of 0 or more",
        )
    }
}

impl Rules {
    fn check(&self) -> Result<(), SettingsError> {
        require(
            self.initial_capacity_share > 0.0 && self.initial_capacity_share <= 1.0,
            || "rules.coldShare".to_owned(),
            "a share above 0, up to 1",
        )?;
        require(self.overload_factor > 0.0, || "rules.fallMultiple".to_owned(), "a figure above 0")
    }
}

impl Settings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// The text is not JSON of the expected form, or a value is out of range; the error names its
    /// key and what is expected.
    pub fn from_json(text: &[u8]) -> Result<Settings, SettingsError> {
        let mut settings: Settings = serde_json::from_slice(text)?;
        settings.check()?;
        settings.limits.max_attempts = settings.limits.max_attempts.max(1);
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let key = |name: &'static str| move || name.to_owned();
        require(!self.classes.is_empty(), key("classes"), "at least one")?;
        for (index, class) in self.classes.iter().enumerate() {
            class.check(index)?;
        }
        require(self.instances > 0, key("instances"), "1 or more")?;
        require(self.instance < self.instances, key("me"), "a number below instances")?;
        let columns = self.load_reporting.columns.len();
        require(columns <= MAX_REPORT_COLUMNS, key("report.columns"), "four names at most")?;
        let zone_is_listed = self.zones.is_empty() || usize::from(self.zone) < self.zones.len();
        require(zone_is_listed, key("zone"), "a position within zones")?;
        self.rules.check()?;
        for (index, tenant) in self.tenants.iter().enumerate() {
            tenant.check(index)?;
        }
        Ok(())
    }

    /// The position of a column of the load report.
    pub fn column(&self, name: &str) -> Option<usize> {
        self.load_reporting.columns.iter().position(|column| column == name)
    }
}
