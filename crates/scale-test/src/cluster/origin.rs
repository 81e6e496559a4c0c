//! Requests to the origins.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config_distribution::net::http::HttpClient;
use serde_json::{Value, json};
use tokio::task::LocalSet;

use super::{Cluster, POLL_INTERVAL};
use crate::error::RunError;

/// The time within which an origin must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// The number of bytes of a document apart from its `limits` object.
const DOCUMENT_OVERHEAD_BYTES: usize = 24;
/// The base value of `maxRetryAfter`, a setting that sidecars apply without a restart. Every change sets a different
/// value.
const BASE_VALUE: u64 = 1_000_000;

impl Cluster<'_> {
    /// Publishes the next document, which applies to all services. Tries the origins until one accepts it or `timeout`
    /// has passed. Returns the generation.
    pub fn publish(&mut self, timeout: Duration) -> Result<u64, RunError> {
        self.published += 1;
        let mut limits = json!({"maxRetryAfter": BASE_VALUE + self.published, "notes": ""});
        let overhead = limits.to_string().len() + DOCUMENT_OVERHEAD_BYTES;
        let padding = self.plan.document_bytes().saturating_sub(overhead);
        limits["notes"] = "x".repeat(padding).into();
        let document = json!({"key": "*", "body": {"settings": {"limits": limits}}});
        let deadline = Instant::now() + timeout;
        loop {
            for origin in &self.origin_addresses {
                if let Some(answer) = request(*origin, "/config/publish", Some(&document))? {
                    let generation = answer["generation"].as_u64();
                    let answer = answer.to_string();
                    return generation.ok_or(RunError::NoGeneration { answer });
                }
            }
            if Instant::now() > deadline {
                return Err(RunError::NoOrigin);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the status of the leading origin, or null if none leads.
    pub fn origin_status(&self) -> Result<Value, RunError> {
        for origin in &self.origin_addresses {
            match request(*origin, "/config/status", None)? {
                Some(status) if status["leading"] == true => return Ok(status),
                _ => {}
            }
        }
        Ok(Value::Null)
    }
}

/// Sends a request to an origin. Returns `None` if the origin does not answer or rejects the request.
fn request(
    origin: SocketAddr,
    path: &str,
    body: Option<&Value>,
) -> Result<Option<Value>, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let body = body.map(|body| body.to_string().into_bytes());
    Ok(LocalSet::new().block_on(&runtime, async {
        HttpClient::new(origin).fetch_json(path, body, ANSWER_TIMEOUT).await.ok()
    }))
}
