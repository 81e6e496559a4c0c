//! Requests to the origins.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config_distribution::net::http::HttpClient;
use serde_json::{Value, json};
use tokio::task::LocalSet;

use super::{Cluster, POLL_INTERVAL};
use crate::error::RunError;

/// How long an origin may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// What a document takes in bytes beyond its `limits`.
const DOCUMENT_OVERHEAD_BYTES: usize = 24;
/// A setting that sidecars apply without a restart; every change sets it to a value of its own.
const FIRST_VALUE: u64 = 1_000_000;

impl Cluster<'_> {
    /// Publishes the next document, which concerns all services. Returns its generation.
    pub fn publish(&mut self, timeout: Duration) -> Result<u64, RunError> {
        self.published += 1;
        let mut limits = json!({"maxRetryAfter": FIRST_VALUE + self.published, "notes": ""});
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

    /// The status of the leading origin; null without one.
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

/// Sends a request to an origin. There is no answer if the origin does not answer or rejects it.
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
