//! The figures of an account. The serialized names are part of the format of stored journals and must not change.

use std::collections::BTreeMap;

use serde::Serialize;

/// The operations of one class by outcome. Latencies are those of served operations, from the first attempt to the
/// response.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassReport {
    /// The name of the class.
    pub name: &'static str,
    /// All operations.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Operations without an outcome yet.
    pub open: u64,
    /// Operations that were served.
    pub served: u64,
    /// Operations whose last attempt was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Operations whose last attempt failed.
    pub failed: u64,
    /// Operations whose last attempt got no response in time.
    #[serde(rename = "late")]
    pub timed_out: u64,
    /// Operations whose connection ended without a response.
    pub lost: u64,
    /// The median latency in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// The longest latency in milliseconds.
    pub max_ms: f64,
}

/// The operations of one tenant by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TenantReport {
    /// All operations.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Operations that were served.
    pub served: u64,
    /// Operations that were served within the latency objective of their class.
    pub in_time: u64,
    /// Operations whose last attempt was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Operations whose last attempt failed or got no response.
    pub failed: u64,
}

/// The requests at one server by event.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServerReport {
    /// Requests that arrived.
    #[serde(rename = "seen")]
    pub received: u64,
    /// Requests that were executed.
    #[serde(rename = "ran")]
    pub executed: u64,
    /// Requests that were rejected without being executed.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Requests that were not executed, because their idempotency key had recently been executed.
    #[serde(rename = "dropped")]
    pub deduplicated: u64,
}

/// The figures of all requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The operations by class.
    pub classes: Vec<ClassReport>,
    /// The operations by tenant, if clients name theirs.
    pub tenants: Vec<TenantReport>,
    /// The requests by server.
    pub servers: BTreeMap<String, ServerReport>,
    /// Attempts that clients made.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Requests that were accepted, but whose connection ended without a response.
    pub lost: u64,
    /// Requests lost at a process that was killed deliberately.
    pub lost_by_kill: u64,
    /// Operations without a response in time.
    #[serde(rename = "late")]
    pub timed_out: u64,
    /// Requests that timed out at a process that was paused deliberately. They count as failed.
    #[serde(rename = "late_by_stall")]
    pub timed_out_by_pause: u64,
    /// Operations that are not idempotent and were executed more than once.
    #[serde(rename = "doubled_orders")]
    pub duplicated_non_idempotent: u64,
    /// Operations with an idempotency key that were executed more than once.
    #[serde(rename = "doubled_uploads")]
    pub duplicated_keyed: u64,
    /// Operations that were rejected although an attempt had been executed.
    #[serde(rename = "refused_but_ran")]
    pub rejected_but_executed: u64,
    /// Attempts that arrived at a server after the final response.
    #[serde(rename = "after_the_end")]
    pub after_answer: u64,
    /// Attempts that arrived at a server after their client had left.
    #[serde(skip_serializing_if = "is_zero")]
    pub after_leaving: u64,
    /// Attempts that stated a longer time left to a server than the client had.
    #[serde(skip_serializing_if = "is_zero")]
    pub excess_time_left: u64,
    /// Attempts that arrived at a server long after it was listed as draining.
    #[serde(skip_serializing_if = "is_zero")]
    pub sent_to_draining: u64,
    /// Responses with status 200 and an unexpected body.
    #[serde(rename = "wrong")]
    pub wrong_body: u64,
    /// Requests that arrived at servers with another body than their client sent.
    #[serde(skip_serializing_if = "is_zero")]
    pub changed_request: u64,
    /// Responses of which clients got a part and could tell, by any cause.
    #[serde(skip_serializing_if = "is_zero")]
    pub truncated: u64,
    /// Whole responses without a length that servers have given, and those of them that were passed on whole.
    #[serde(skip_serializing_if = "is_zero")]
    pub given_without_length: u64,
    /// See `given_without_length`.
    #[serde(skip_serializing_if = "is_zero")]
    pub served_without_length: u64,
    /// Whether connections break by faults of the run, after which no response can be finished.
    #[serde(skip)]
    pub connections_may_break: bool,
    /// Requests that arrived at servers but that no client sent.
    #[serde(rename = "strangers")]
    pub unknown: u64,
    /// Connections to sidecars that were refused.
    pub refused_connections: u64,
    /// New connections to sidecars that ended before their request was forwarded. These requests count as failed.
    #[serde(rename = "unread")]
    pub unread_connections: u64,
    /// Requests that were written while their connection was being closed, and were sent again.
    #[serde(rename = "crossed")]
    pub close_races: u64,
    /// Texts that describe some of the violations.
    pub examples: Vec<String>,
}

/// The smallest number of responses whose share is judged.
const MIN_JUDGED_RESPONSES: u64 = 20;

/// Returns whether a count is omitted from the JSON. Programs that read older journals do not know the field.
fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl Report {
    /// Returns the number of all operations.
    pub fn requested(&self) -> u64 {
        self.classes.iter().map(|class| class.requested).sum()
    }

    /// Returns the number of served operations.
    pub fn served(&self) -> u64 {
        self.classes.iter().map(|class| class.served).sum()
    }

    /// Returns the number of violations. Requests lost with a killed process are none, and refused connections are
    /// left to the caller.
    pub fn violations(&self) -> u64 {
        self.violation_counts().iter().map(|(_, count)| count).sum()
    }

    /// Returns the number of whole responses without a length that were not passed on, or zero if at least half were.
    fn withheld_without_length(&self) -> u64 {
        let (given, served) = (self.given_without_length, self.served_without_length);
        let is_enough = given < MIN_JUDGED_RESPONSES || 2 * served >= given;
        if is_enough { 0 } else { given - served }
    }

    /// Returns the numbers of violations by kind.
    pub fn violation_counts(&self) -> [(&'static str, u64); 13] {
        [
            ("lost", self.lost),
            ("timed out", self.timed_out),
            ("not idempotent, executed more than once", self.duplicated_non_idempotent),
            ("keyed, executed more than once", self.duplicated_keyed),
            ("rejected though executed", self.rejected_but_executed),
            ("arrived after the answer", self.after_answer),
            ("arrived after the client had left", self.after_leaving),
            ("told too long a time", self.excess_time_left),
            ("sent to a draining server", self.sent_to_draining),
            ("served with another body", self.wrong_body),
            ("received with another body", self.changed_request),
            ("without a length, not passed on", self.withheld_without_length()),
            ("sent by no client", self.unknown),
        ]
    }
}
