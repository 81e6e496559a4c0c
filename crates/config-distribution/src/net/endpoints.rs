//! The paths of the HTTP endpoints, and the targets of requests to them.

use std::time::Duration;

use super::http::request_target;
use crate::Incarnation;
use crate::host::WATCH_HOLD;
use crate::replication::LogRequest;
use crate::watch::WatchRequest;

/// Changes: of an origin for its members, of a control server for origins.
pub const LOG: &str = "/config/log";
/// Progress reports of control servers to the origin.
pub const PROGRESS: &str = "/config/tally";
/// Changes ordered by operators.
pub const PUBLISH: &str = "/config/publish";
/// The state of an origin or a control server, for operators.
pub const STATUS: &str = "/config/status";
/// Documents: of a control server for hosts, of an origin for operators.
pub const DOCUMENTS: &str = "/config/documents";
/// Promises, for a control server that has lost its disk.
pub const PROMISED: &str = "/config/promised";

/// The target of a control server's request to an origin, which may hold it for `hold`.
pub(super) fn log_target(request: &LogRequest, hold: Duration) -> String {
    let incarnations = serde_json::to_string(&request.peer_incarnations).unwrap_or_default();
    let parameters = [
        ("member", request.member.clone()),
        ("promised", request.promised_epoch.to_string()),
        ("epoch", request.version.epoch.to_string()),
        ("from", request.version.generation.to_string()),
        ("committed", request.committed.to_string()),
        ("recovering", request.recovering.to_string()),
        ("life", request.incarnation.to_string()),
        ("lives", incarnations),
        ("hold_ms", hold.as_millis().to_string()),
    ];
    request_target(LOG, parameters)
}

/// The target of a host's watch request.
pub(super) fn watch_target(request: &WatchRequest) -> String {
    let mut parameters = vec![
        ("from", request.since.to_string()),
        ("hold_ms", WATCH_HOLD.as_millis().to_string()),
        ("host", request.host.clone()),
        ("zone", request.interest.zone.clone()),
        ("in_force", request.applied.to_string()),
    ];
    let services = request.interest.services.iter();
    parameters.extend(services.map(|service| ("service", service.clone())));
    if let Some(failure) = &request.failure {
        parameters.push(("declined", failure.generation.to_string()));
        parameters.push(("why", failure.reason.clone()));
    }
    request_target(DOCUMENTS, parameters)
}

/// The target of the request with which `member` asks a peer for its promise.
pub(super) fn promise_target(member: &str, incarnation: Incarnation) -> String {
    let parameters = [("member", member.to_owned()), ("life", incarnation.to_string())];
    request_target(PROMISED, parameters)
}
