//! The settings that an instance gets at its start, as JSON.
//!
//! Unknown keys are ignored. [`Settings::from_json`] checks the values that the balancer relies on. All times are in
//! microseconds. The JSON keys are defined by the platform; the `serde` attributes give the key of a field with another
//! name.

use serde::Deserialize;
use thiserror::Error;

use crate::api::Micros;

/// Maximum number of values in a load report.
const MAX_REPORT_COLUMNS: usize = 4;
/// Time before the end of a deduplication window at which retries cease, in microseconds. A process may be held up for
/// this long between reading its clock and writing the retry.
const RETRY_WINDOW_MARGIN: Micros = 150_000;
/// Limits the margin to this fraction (1 / n) of the deduplication window.
const RETRY_WINDOW_MARGIN_DIVISOR: Micros = 4;

/// The reason for which settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON, or a value has the wrong type.
    #[error("invalid settings: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A value is out of range.
    #[error("invalid settings: {key}: expected {expected}")]
    OutOfRange {
        /// The path of the key.
        key: String,
        /// The allowed values.
        expected: &'static str,
    },
}

/// Whether a request that may have run may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum RetrySafety {
    /// It may be retried at any time.
    #[serde(rename = "idempotent")]
    Idempotent,
    /// It carries an idempotency key, by which the servers of its [`DedupScope`] discard duplicates.
    #[serde(rename = "deduplicated")]
    IdempotencyKey,
    /// It must not run twice, so it is never retried once it may have run.
    #[serde(rename = "at_most_once")]
    NonIdempotent,
}

/// The servers that discard duplicates of a request with an idempotency key.
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
    /// With each response and each health check.
    #[serde(rename = "piggyback")]
    InBand,
    /// With health checks only.
    #[serde(rename = "pull")]
    OutOfBand,
    /// Not at all.
    #[serde(rename = "silent")]
    Disabled,
}

/// How an instance gets changes of the endpoint list.
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

/// The meaning of the weights in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum WeightKind {
    /// They have no meaning and are all 1.
    #[default]
    #[serde(rename = "silent")]
    Unspecified,
    /// The registered capacity of the server.
    Nominal,
    /// The approximate capacity of the server.
    #[serde(rename = "rough")]
    Approximate,
    /// The capacity divided by the recent load of each core; it changes from list to list.
    Live,
}

/// The unit that the priority weight of a class applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum PriorityBasis {
    /// A request.
    #[default]
    Request,
    /// A unit of work.
    Work,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Class {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// The latency objective: responses within this time have their full value.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// The time for which a client waits for the response, over all attempts of the request.
    pub deadline: Micros,
    /// Whether its requests may be retried once they may have run.
    #[serde(rename = "repeat")]
    pub retry_safety: RetrySafety,
    /// The servers that discard duplicates.
    #[serde(default)]
    pub dedup_scope: DedupScope,
    /// The time for which they do so, from the first attempt that may have run.
    #[serde(default, rename = "window")]
    pub dedup_window: Micros,
    /// The priority relative to other classes; 0 or more.
    #[serde(default = "one", rename = "credit")]
    pub priority_weight: f64,
    /// The share of its value that a response keeps after the latency objective; 0 to 1.
    #[serde(default, rename = "lateWorth")]
    pub late_weight: f64,
    /// The multiple of the work of a request by which its latency objective is extended.
    #[serde(default, rename = "aimStretch")]
    pub objective_stretch: f64,
    /// Whether responses are streamed.
    #[serde(default)]
    pub streaming: bool,
}

/// The weights of the components of the service's score.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Goal {
    /// The score over the entire day.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// The score of the worst class.
    pub worst_class: f64,
    /// The score of the worst tenant within its quota.
    pub worst_tenant: f64,
    /// The score of the worst ten seconds.
    pub worst_window: f64,
}

/// The actions that the site permits, and their limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Whether attempts may be cancelled.
    #[serde(rename = "cancel")]
    pub may_cancel: bool,
    /// The time after which idle connections are closed.
    #[serde(rename = "connIdle")]
    pub connection_idle_timeout: Micros,
    /// The timeout for establishing a connection.
    pub connect_timeout: Micros,
    /// The maximum number of attempts per request; 1 or more.
    pub max_attempts: usize,
    /// The longest Retry-After that clients respect.
    pub max_retry_after: Micros,
    /// Whether a request may have two attempts in flight (hedging).
    #[serde(rename = "mayDuplicate")]
    pub may_hedge: bool,
    /// Whether sidecars may send each other messages.
    #[serde(rename = "mayTell")]
    pub may_message_peers: bool,
    /// Whether health checks may be sent.
    #[serde(rename = "probing")]
    pub may_health_check: bool,
    /// Whether rejections carry a Retry-After.
    pub retry_after: bool,
    /// The maximum number of concurrent attempts on a connection.
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

/// The points deducted from the service's score. Each price is multiplied by the rate or share of what it applies to.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Prices {
    /// Open connections, per hundred servers.
    pub connection: f64,
    /// Cross-zone attempts.
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
    /// Server work without a response to a client.
    #[serde(rename = "waste")]
    pub wasted_work: f64,
}

/// The load reports of servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Report")]
pub struct LoadReporting {
    /// The names of the values in a report; four at most.
    #[serde(default)]
    pub columns: Vec<String>,
    /// How the reports are delivered.
    #[serde(rename = "how")]
    pub delivery: ReportDelivery,
}

/// The parameters of the four rules that an instance must observe.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rules {
    /// The time after a client's deadline within which its final answer still counts.
    pub answer_slack: Micros,
    /// The time after its start by which a server has warmed up at the latest.
    #[serde(rename = "cold")]
    pub slow_start_window: Micros,
    /// The share of its full capacity that a server has at its start; above 0 and up to 1.
    #[serde(rename = "coldShare")]
    pub initial_capacity_share: f64,
    /// The multiple of its current capacity at which a server in slow start fails from overload; above 0.
    #[serde(rename = "fallMultiple")]
    pub overload_factor: f64,
    /// The time since its last poll after which an instance counts as notified of a change that it has not fetched.
    #[serde(default, rename = "mustAskIn")]
    pub max_poll_interval: Micros,
    /// The time within which an instance must stop sending to a server that drains or is removed.
    #[serde(rename = "stopSendingWithin")]
    pub drain_deadline: Micros,
    /// The duration of an overload by [`Rules::overload_factor`] after which a server in slow start fails.
    #[serde(rename = "tipAfter")]
    pub overload_duration: Micros,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    /// Its quota in requests per second, for all sidecars together; 0 or more.
    #[serde(default)]
    pub quota_per_s: f64,
    /// Its share of the service; 0 or more.
    #[serde(default, rename = "share")]
    pub service_share: f64,
}

/// The behavior of clients.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default, expecting = "struct Clients")]
pub struct ClientBehavior {
    /// Whether they mark their retries.
    #[serde(rename = "marksRetry")]
    pub marks_retries: bool,
}

/// Properties of this kind of service.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default, expecting = "struct FamilyInfo")]
pub struct ServiceTraits {
    /// Whether a server that recently served an affinity key serves it again with less work.
    #[serde(rename = "warmKeys")]
    pub key_affinity: bool,
}

/// The settings of one instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// The behavior of clients.
    #[serde(default)]
    pub clients: ClientBehavior,
    /// How this instance gets changes of the endpoint list.
    #[serde(default)]
    pub discovery: DiscoveryMode,
    /// Properties of this kind of service.
    #[serde(default, rename = "familyInfo")]
    pub service_traits: ServiceTraits,
    /// The weights of the components of the service's score.
    #[serde(default)]
    pub goal: Goal,
    /// The number of instances in this tier; 1 or more.
    pub instances: u32,
    /// The actions that the site permits, and their limits.
    #[serde(default)]
    pub limits: Limits,
    /// The number of this instance, from 0.
    #[serde(rename = "me")]
    pub instance: u32,
    /// The value of a request over its tenant's quota, relative to one within the quota.
    #[serde(default = "one", rename = "overShareWorth")]
    pub over_quota_weight: f64,
    /// The points deducted from the service's score.
    #[serde(default)]
    pub prices: Prices,
    /// The load reports of servers.
    #[serde(rename = "report")]
    pub load_reporting: LoadReporting,
    /// The parameters of the four rules.
    pub rules: Rules,
    /// The tenants; may be empty.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// The shortest time between two batches of events.
    #[serde(default)]
    pub tick: Micros,
    /// The meaning of the weights in an endpoint list.
    #[serde(default)]
    pub weight_kind: WeightKind,
    /// The unit that the priority weights of classes apply to.
    #[serde(default, rename = "worthBy")]
    pub priority_basis: PriorityBasis,
    /// The index of this instance's zone in `zones`.
    #[serde(default)]
    pub zone: u8,
    /// The names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
}

fn one() -> f64 {
    1.0
}

/// Returns [`SettingsError::OutOfRange`] unless `valid` holds.
fn require(
    valid: bool,
    key: impl FnOnce() -> String,
    expected: &'static str,
) -> Result<(), SettingsError> {
    if valid { Ok(()) } else { Err(SettingsError::OutOfRange { key: key(), expected }) }
}

impl Class {
    /// Returns the time after the first attempt that may have run within which a retry may be sent.
    pub fn retry_window(&self) -> Micros {
        let margin = RETRY_WINDOW_MARGIN.min(self.dedup_window / RETRY_WINDOW_MARGIN_DIVISOR);
        self.dedup_window - margin
    }

    fn check(&self, index: usize) -> Result<(), SettingsError> {
        let path = |key: &'static str| move || format!("classes[{index}].{key}");
        require(self.latency_objective > 0, path("aim"), "a time above 0")?;
        require(self.deadline > 0, path("deadline"), "a time above 0")?;
        require(self.priority_weight >= 0.0, path("credit"), "a number of 0 or more")?;
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
            "a share above 0 and up to 1",
        )?;
        require(self.overload_factor > 0.0, || "rules.fallMultiple".to_owned(), "a number above 0")
    }
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON of the expected form, or if a value is out of range; the error then names its
    /// key and the allowed values.
    pub fn from_json(text: &[u8]) -> Result<Settings, SettingsError> {
        let mut settings: Settings = serde_json::from_slice(text)?;
        settings.check()?;
        settings.limits.max_attempts = settings.limits.max_attempts.max(1);
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let key = |name: &'static str| move || name.to_owned();
        require(!self.classes.is_empty(), key("classes"), "at least one class")?;
        for (index, class) in self.classes.iter().enumerate() {
            class.check(index)?;
        }
        require(self.instances > 0, key("instances"), "a number of 1 or more")?;
        require(self.instance < self.instances, key("me"), "a number below instances")?;
        let columns = self.load_reporting.columns.len();
        require(columns <= MAX_REPORT_COLUMNS, key("report.columns"), "at most four names")?;
        let zone_is_listed = self.zones.is_empty() || usize::from(self.zone) < self.zones.len();
        require(zone_is_listed, key("zone"), "an index into zones")?;
        self.rules.check()?;
        for (index, tenant) in self.tenants.iter().enumerate() {
            tenant.check(index)?;
        }
        Ok(())
    }

    /// Returns the index of a column of the load report; `None` if reports do not have it.
    pub fn column(&self, name: &str) -> Option<usize> {
        self.load_reporting.columns.iter().position(|column| column == name)
    }
}
