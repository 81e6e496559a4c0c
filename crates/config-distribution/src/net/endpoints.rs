//! Paths of the HTTP endpoints, and targets of requests to them.

use std::time::Duration;

use super::http::request_target;
use crate::Incarnation;
use crate::host::WATCH_HOLD;
use crate::replication::LogRequest;
use crate::watch::WatchRequest;

/// Path of the changes. Origins serve it to members, and control servers to an origin that takes over.
pub const LOG: &str = "/config/log";
/// Path for the progress reports of control servers to the origin.
pub const PROGRESS: &str = "/config/tally";
/// Path for publishing and withdrawing documents.
pub const PUBLISH: &str = "/config/publish";
/// Path of the status of an origin or a control server, for operators.
pub const STATUS: &str = "/config/status";
/// Path of the documents. Control servers serve it to hosts, and origins to operators.
pub const DOCUMENTS: &str = "/config/documents";
/// Path of a control server's promise, for peers that have lost their disks.
pub const PROMISED: &str = "/config/promised";

/// Returns the target of a control server's request to an origin, which may hold it for `hold`.
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

/// Returns the target of a host's watch request.
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

/// Returns the target of the request by which `member` asks a peer for its promise.
pub(super) fn promise_target(member: &str, incarnation: Incarnation) -> String {
    let parameters = [("member", member.to_owned()), ("life", incarnation.to_string())];
    request_target(PROMISED, parameters)
}
