//! The account in figures. The stored names are those of the JSON that earlier versions printed.

use std::collections::BTreeMap;

use serde::Serialize;

/// The operations of one class by how they ended. Latencies are from the first attempt to the answer, of the served
/// ones.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassReport {
    /// The name of the class.
    pub name: &'static str,
    /// All operations.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Operations without any answer yet.
    pub open: u64,
    /// Operations that were served.
    pub served: u64,
    /// Operations whose last attempt was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Operations whose last attempt failed.
    pub failed: u64,
    /// Operations whose last attempt got no answer in time.
    #[serde(rename = "late")]
    pub timed_out: u64,
    /// Operations whose connection ended without an answer.
    pub lost: u64,
    /// The median latency in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// The longest latency in milliseconds.
    pub max_ms: f64,
}

/// The operations of one tenant by how they ended.
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
    /// Operations whose last attempt failed or got no answer.
    pub failed: u64,
}

/// What one server did.
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
    /// Requests with an idempotency key that had just been executed.
    #[serde(rename = "dropped")]
    pub deduplicated: u64,
}

/// What became of all requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// By class.
    pub classes: Vec<ClassReport>,
    /// By tenant, where clients tell theirs.
    pub tenants: Vec<TenantReport>,
    /// By server.
    pub servers: BTreeMap<String, ServerReport>,
    /// Attempts of clients.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Requests that were accepted, and whose connection ended without an answer.
    pub lost: u64,
    /// The same at a process that was killed on purpose.
    pub lost_by_kill: u64,
    /// Operations without an answer in time.
    #[serde(rename = "late")]
    pub timed_out: u64,
    /// The same at a process that was paused on purpose. These count as failed.
    #[serde(rename = "late_by_stall")]
    pub timed_out_by_pause: u64,
    /// Operations that are not idempotent and were executed more than once.
    #[serde(rename = "doubled_orders")]
    pub duplicated_non_idempotent: u64,
    /// Operations with an idempotency key that were executed more than once.
    #[serde(rename = "doubled_uploads")]
    pub duplicated_keyed: u64,
    /// Operations that were rejected though an attempt had been executed.
    #[serde(rename = "refused_but_ran")]
    pub rejected_but_executed: u64,
    /// Attempts that arrived at a server after the final answer.
    #[serde(rename = "after_the_end")]
    pub after_answer: u64,
    /// Attempts that arrived at a server after their client had left.
    #[serde(skip_serializing_if = "is_zero")]
    pub after_leaving: u64,
    /// Attempts whose server was told that the client waits for longer than it does.
    #[serde(skip_serializing_if = "is_zero")]
    pub excess_time_left: u64,
    /// Attempts that arrived at a server long after it was listed as draining.
    #[serde(skip_serializing_if = "is_zero")]
    pub sent_to_draining: u64,
    /// Answers with status 200 and another body.
    #[serde(rename = "wrong")]
    pub wrong_body: u64,
    /// Requests at servers that no client has sent.
    #[serde(rename = "strangers")]
    pub unknown: u64,
    /// Connections to sidecars that were refused.
    pub refused_connections: u64,
    /// New connections to sidecars that ended with nothing forwarded. Their requests have failed.
    #[serde(rename = "unread")]
    pub unread_connections: u64,
    /// Requests that were written while their connection was being closed, and were sent once more.
    #[serde(rename = "crossed")]
    pub close_races: u64,
    /// Some of the violations, in words.
    pub examples: Vec<String>,
}

/// Whether a count is left out: readers of earlier journals do not know it.
fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl Report {
    /// All operations.
    pub fn requested(&self) -> u64 {
        self.classes.iter().map(|class| class.requested).sum()
    }

    /// All operations that were served.
    pub fn served(&self) -> u64 {
        self.classes.iter().map(|class| class.served).sum()
    }

    /// The number of rules that were broken. What is lost with a killed process is none, and refused connections count
    /// only where the caller counts them.
    pub fn violations(&self) -> u64 {
        self.violation_counts().iter().map(|(_, count)| count).sum()
    }

    /// The same by what was broken.
    pub fn violation_counts(&self) -> [(&'static str, u64); 11] {
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
            ("sent by no client", self.unknown),
        ]
    }
}
