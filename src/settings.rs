//! The settings that an instance gets at its start, as JSON. Unknown keys are skipped; what the
//! decisions need is checked here, so that they can rely on it.

use serde::Deserialize;

use crate::api::Micros;

/// Whether a request may be sent again once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum Repeat {
    #[serde(rename = "idempotent")]
    Safe,
    #[serde(rename = "deduplicated")]
    Keyed,
    #[serde(rename = "at_most_once")]
    Unsafe,
}

/// The servers that discard repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ReportHow {
    #[serde(rename = "piggyback")]
    Answers,
    #[serde(rename = "pull")]
    Probes,
    #[serde(rename = "silent")]
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
pub enum Discovery {
    #[default]
    #[serde(rename = "pushed")]
    Pushed,
    #[serde(rename = "on_request")]
    Asked,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum PowerMeans {
    #[default]
    Silent,
    Nominal,
    Rough,
    Live,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum WorthBy {
    #[default]
    Request,
    Work,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Class {
    #[serde(default)]
    pub name: String,
    pub aim: Micros,
    pub deadline: Micros,
    pub repeat: Repeat,
    #[serde(default)]
    pub dedup_scope: Scope,
    #[serde(default)]
    pub window: Micros,
    #[serde(default = "one")]
    pub credit: f64,
    #[serde(default)]
    pub late_worth: f64,
    #[serde(default)]
    pub aim_stretch: f64,
    #[serde(default)]
    pub streaming: bool,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Goal {
    pub whole: f64,
    pub worst_class: f64,
    pub worst_tenant: f64,
    pub worst_window: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    pub cancel: bool,
    pub conn_idle: Micros,
    pub connect_timeout: Micros,
    pub max_attempts: usize,
    pub max_retry_after: Micros,
    pub may_duplicate: bool,
    pub may_tell: bool,
    pub probing: bool,
    pub retry_after: bool,
    pub streams_per_conn: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            cancel: false,
            conn_idle: 0,
            connect_timeout: 0,
            max_attempts: 1,
            max_retry_after: 0,
            may_duplicate: false,
            may_tell: false,
            probing: false,
            retry_after: false,
            streams_per_conn: 1,
        }
    }
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Prices {
    pub connection: f64,
    pub cross_zone: f64,
    pub handshake: f64,
    pub late_fail: f64,
    pub peer: f64,
    pub probe: f64,
    pub waste: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    #[serde(default)]
    pub columns: Vec<String>,
    pub how: ReportHow,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rules {
    pub answer_slack: Micros,
    pub cold: Micros,
    pub cold_share: f64,
    pub fall_multiple: f64,
    #[serde(default)]
    pub must_ask_in: Micros,
    pub stop_sending_within: Micros,
    pub tip_after: Micros,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    #[serde(default)]
    pub quota_per_s: f64,
    #[serde(default)]
    pub share: f64,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Clients {
    pub marks_retry: bool,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct FamilyInfo {
    pub warm_keys: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    pub classes: Vec<Class>,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub family_info: FamilyInfo,
    #[serde(default)]
    pub goal: Goal,
    pub instances: u32,
    #[serde(default)]
    pub limits: Limits,
    pub me: u32,
    #[serde(default = "one")]
    pub over_share_worth: f64,
    #[serde(default)]
    pub prices: Prices,
    pub report: Report,
    pub rules: Rules,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    #[serde(default)]
    pub tick: Micros,
    #[serde(default)]
    pub weight_kind: PowerMeans,
    #[serde(default)]
    pub worth_by: WorthBy,
    #[serde(default)]
    pub zone: u8,
    #[serde(default)]
    pub zones: Vec<String>,
}

fn one() -> f64 {
    1.0
}

impl Settings {
    /// Reads and checks the settings. The error names the key and what was expected.
    pub fn from_json(text: &[u8]) -> Result<Settings, String> {
        let mut s: Settings = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
        s.check()?;
        s.limits.max_attempts = s.limits.max_attempts.max(1);
        Ok(s)
    }

    fn check(&self) -> Result<(), String> {
        let need = |ok: bool, what: &str| {
            if ok { Ok(()) } else { Err(format!("settings: {what}")) }
        };
        need(!self.classes.is_empty(), "classes: at least one expected")?;
        for (i, c) in self.classes.iter().enumerate() {
            let key = |k: &str, want: &str| format!("classes[{i}].{k}: {want} expected");
            need(c.aim > 0, &key("aim", "a time above 0"))?;
            need(c.deadline > 0, &key("deadline", "a time above 0"))?;
            need(c.credit >= 0.0, &key("credit", "a worth of 0 or more"))?;
            need((0.0..=1.0).contains(&c.late_worth), &key("lateWorth", "a share from 0 to 1"))?;
        }
        need(self.instances > 0, "instances: 1 or more expected")?;
        need(self.me < self.instances, "me: a number below instances expected")?;
        need(self.report.columns.len() <= 4, "report.columns: four names at most expected")?;
        need(
            self.zones.is_empty() || (self.zone as usize) < self.zones.len(),
            "zone: a position within zones expected",
        )?;
        need(
            self.rules.cold_share > 0.0 && self.rules.cold_share <= 1.0,
            "rules.coldShare: a share above 0, up to 1 expected",
        )?;
        need(self.rules.fall_multiple > 0.0, "rules.fallMultiple: a figure above 0 expected")?;
        for (i, t) in self.tenants.iter().enumerate() {
            need(
                t.quota_per_s >= 0.0 && t.share >= 0.0,
                &format!("tenants[{i}]: quotaPerS and share of 0 or more expected"),
            )?;
        }
        Ok(())
    }

    /// The position of a column of the load report.
    pub fn column(&self, name: &str) -> Option<usize> {
        self.report.columns.iter().position(|c| c == name)
    }
}
