//! Active health checks.

use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use runtime::{Runtime, timeout};

use super::request::AttemptLimits;
use super::send::send_request;
use super::{Endpoint, Upstream, UpstreamRequest};
use crate::api::{LoadReport, Outcome};
use crate::sidecar::body::STREAM_WINDOW_BYTES;
use crate::sidecar::memory::MessageSize;

/// The path at which servers report their load.
const LOAD_PATH: &str = "/stats";
/// The liveness path of servers that do not report their load.
const LIVENESS_PATH: &str = "/health/live";
/// The timeout of a health check in addition to the connect timeout.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The kind of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckKind {
    /// Checks only that the server responds.
    Liveness,
    /// Checks that the server responds, and reads its load report.
    LoadReport,
}

impl HealthCheckKind {
    fn path(self) -> &'static str {
        match self {
            HealthCheckKind::Liveness => LIVENESS_PATH,
            HealthCheckKind::LoadReport => LOAD_PATH,
        }
    }
}

/// The result of a health check.
pub struct HealthCheckResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The load report, empty if the response contains none.
    pub report: LoadReport,
}

impl HealthCheckResult {
    /// Creates the result of a health check without a response.
    pub fn without_response(outcome: Outcome) -> HealthCheckResult {
        HealthCheckResult { outcome, report: LoadReport::default() }
    }
}

impl<P: Runtime> Upstream<P> {
    /// Checks the health of a server on a new connection.
    pub async fn check_health(
        &self,
        endpoint: Endpoint,
        kind: HealthCheckKind,
    ) -> HealthCheckResult {
        let limit = self.live.timeouts().connect + RESPONSE_TIMEOUT;
        let check = timeout::<P, _>(limit, self.exchange_health_check(endpoint, kind));
        match check.await {
            Ok(Ok(result)) => result,
            Ok(Err(outcome)) => HealthCheckResult::without_response(outcome),
            Err(_) => HealthCheckResult::without_response(Outcome::TimedOut),
        }
    }

    /// Makes the request of a health check. Without a response, the error is its outcome.
    async fn exchange_health_check(
        &self,
        endpoint: Endpoint,
        kind: HealthCheckKind,
    ) -> Result<HealthCheckResult, Outcome> {
        let mut connection = self.connect(endpoint).await.ok_or(Outcome::ConnectFailed)?;
        let request = UpstreamRequest::internal(kind.path());
        let limits = AttemptLimits::unlimited(P::now() + self.live.timeouts().connect);
        let response = send_request(&mut connection, &request, &limits).await;
        let (head, body) = response.map(Response::into_parts).ok_or(Outcome::ConnectionReset)?;
        let size = MessageSize { head_excess: 0, body: STREAM_WINDOW_BYTES };
        let _reservation = self.message_memory.responses.reserve(size).await;
        let body = read_report(body).await.ok_or(Outcome::ConnectionReset)?;
        let outcome =
            if head.status == StatusCode::OK { Outcome::Success } else { Outcome::ErrorResponse };
        let text = String::from_utf8_lossy(&body);
        Ok(HealthCheckResult { outcome, report: self.live.names().load_report(&text) })
    }
}

/// Reads a body of at most [`STREAM_WINDOW_BYTES`]. Returns `None` if it is longer or does not arrive completely.
///
/// The bytes are copied, as each piece would otherwise keep the whole buffer that it was read into.
async fn read_report(body: Incoming) -> Option<Vec<u8>> {
    let mut body = Limited::new(body, STREAM_WINDOW_BYTES);
    let mut report = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            report.extend_from_slice(&data);
        }
    }
    Some(report)
}
