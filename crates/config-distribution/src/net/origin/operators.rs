//! HTTP endpoints of an origin for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::{Instant, timeout_at};

use super::{Node, bad_request};
use crate::Generation;
use crate::documents::{Document, DocumentKey, InvalidBody, InvalidKey};
use crate::net::http::{ApiRequest, ApiResponse};
use crate::net::operator_api::{
    DocumentSummary, MemberStatus, OriginStatus, PublishRequest, PublishResponse,
};
use crate::origin::PublishError;
use crate::replication::LogRequest;

/// Maximum time for a change to be committed before the operator gets an error.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

impl Node {
    /// Orders a change, and responds once it is committed.
    pub(super) async fn publish(&self, request: &ApiRequest) -> Result<ApiResponse, ApiResponse> {
        let change: PublishRequest = serde_json::from_slice(&request.body)
            .map_err(|error| bad_request(&format!("key and body expected: {error}")))?;
        let key = parse_key(&change.key)?;
        // Parsing checks the size of the body. Its JSON syntax was already checked when the request was parsed.
        let body = change.body.map(|body| body.text().parse()).transpose();
        let body = body.map_err(|error: InvalidBody| bad_request(&format!("{key}: {error}")))?;
        let published = self.origin.borrow_mut().publish(key.clone(), body);
        let generation = published.map_err(publish_error)?;
        tracing::info!(%key, generation, "change ordered");
        self.changed.send_replace(());
        self.wait_until_committed(generation).await
    }

    async fn wait_until_committed(
        &self,
        generation: Generation,
    ) -> Result<ApiResponse, ApiResponse> {
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if self.is_committed(generation) {
                return Ok(ApiResponse::json(&PublishResponse { generation }));
            }
            if timeout_at(deadline, changed.changed()).await.is_err() {
                let reason = format!(
                    "change {generation} is not with most of the control machines yet, and may still come to be"
                );
                return Err(ApiResponse::error(StatusCode::GATEWAY_TIMEOUT, &reason));
            }
        }
    }

    /// Returns whether a change of the current epoch is committed. After the epoch, the same number may denote another
    /// change.
    fn is_committed(&self, generation: Generation) -> bool {
        let origin = self.origin.borrow();
        origin.is_leading() && origin.replica().committed() >= generation
    }

    /// Returns the status of the origin.
    pub(super) fn status(&self) -> ApiResponse {
        let (origin, now) = (self.origin.borrow(), self.clock.now());
        let members: BTreeMap<String, Option<MemberStatus>> = origin
            .members(now)
            .map(|(name, request)| (name.clone(), request.map(member_status)))
            .collect();
        ApiResponse::json(&OriginStatus {
            epoch: origin.epoch(),
            leading: origin.is_leading(),
            phase: origin.phase().to_string(),
            generation: origin.replica().version().generation,
            committed: origin.replica().committed(),
            body_bytes: origin.replica().body_bytes(),
            members,
            total: self.progress.borrow().total(self.members.keys(), now),
        })
    }

    /// Returns a list of all documents, or the document whose key is given.
    pub(super) fn documents(&self, request: &ApiRequest) -> Result<ApiResponse, ApiResponse> {
        let origin = self.origin.borrow();
        let key = request.parameter("key");
        if key.is_empty() {
            let documents = origin.replica().latest_documents();
            let listing: Vec<DocumentSummary> =
                documents.filter(|document| !document.is_tombstone()).map(summary).collect();
            return Ok(ApiResponse::json(&listing));
        }
        let key = parse_key(key)?;
        match origin.replica().latest_document(&key) {
            Some(document) => Ok(ApiResponse::json(document)),
            None => {
                let reason = format!("{key}: there is none");
                Err(ApiResponse::error(StatusCode::NOT_FOUND, &reason))
            }
        }
    }
}

fn parse_key(text: &str) -> Result<DocumentKey, ApiResponse> {
    text.parse().map_err(|error: InvalidKey| bad_request(&error.to_string()))
}

fn publish_error(error: PublishError) -> ApiResponse {
    let status = match error.is_retryable() {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::BAD_REQUEST,
    };
    ApiResponse::error(status, &error.to_string())
}

fn member_status(request: &LogRequest) -> MemberStatus {
    MemberStatus {
        promised_epoch: request.promised_epoch,
        generation: request.version.generation,
        committed: request.committed,
        recovering: request.recovering,
    }
}

fn summary(document: &Document) -> DocumentSummary {
    DocumentSummary {
        key: document.key.to_string(),
        generation: document.generation,
        body_bytes: document.body_bytes(),
    }
}
