//! HTTP endpoints of a control server.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use serde::Serialize;
use tokio::time::{Instant, timeout_at};

use super::Node;
use crate::control::Persistence;
use crate::documents::{Interest, is_valid_name};
use crate::net::endpoints::{DOCUMENTS, LOG, PROMISED, STATUS};
use crate::net::http::{ApiRequest, ApiResponse};
use crate::replica::Version;
use crate::watch::{ApplyFailure, LongPoll, Rejected, WatchRequest};
use crate::{Epoch, Generation, MAX_HOLD};

/// The status of a control server, for operators.
#[derive(Serialize)]
struct ControlStatus {
    /// `None` while the server recovers.
    #[serde(rename = "promised")]
    promised_epoch: Option<Epoch>,
    #[serde(rename = "at")]
    version: Version,
    committed: Generation,
    hosts: usize,
    /// The address and the epoch of the followed origin; `None` if none is followed yet.
    followed: Option<(String, Epoch)>,
}

impl Node {
    /// Handles a request of a host, an origin, a peer or an operator.
    pub(super) async fn handle(self: Rc<Node>, request: ApiRequest) -> ApiResponse {
        let result = match request.path.as_str() {
            DOCUMENTS => self.watch(&request).await,
            LOG => self.log(&request),
            PROMISED => self.promise(&request),
            STATUS => Ok(self.status()),
            _ => Err(ApiResponse::error(StatusCode::NOT_FOUND, "no such path")),
        };
        // The response may depend on a change that is not on disk yet.
        match self.ensure_stored() {
            Ok(()) => result.unwrap_or_else(|response| response),
            Err(error) => ApiResponse::error(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    fn promise(&self, request: &ApiRequest) -> Result<ApiResponse, ApiResponse> {
        let unavailable =
            |reason: &str| ApiResponse::error(StatusCode::SERVICE_UNAVAILABLE, reason);
        let member = request.parameter("member");
        let incarnation = request.number("life")?;
        let recorded = self.server.borrow_mut().record_peer_incarnation(member, incarnation);
        let (promise, persistence) = recorded.ok_or_else(|| unavailable("not known here"))?;
        if persistence == Persistence::Required {
            let stored = self.store_state();
            stored.map_err(|error| unavailable(&error.to_string()))?;
        }
        Ok(ApiResponse::json(&promise))
    }

    fn log(&self, request: &ApiRequest) -> Result<ApiResponse, ApiResponse> {
        let version =
            Version { epoch: request.number("epoch")?, generation: request.number("from")? };
        Ok(ApiResponse::json(&self.server.borrow().update_since(version)))
    }

    fn status(&self) -> ApiResponse {
        let server = self.server.borrow();
        let followed = self.followed.get();
        ApiResponse::json(&ControlStatus {
            promised_epoch: server.promised_epoch(),
            version: server.replica().version(),
            committed: server.committed(),
            hosts: server.host_count(),
            followed: followed.map(|origin| (origin.address.to_string(), origin.epoch)),
        })
    }

    async fn watch(&self, request: &ApiRequest) -> Result<ApiResponse, ApiResponse> {
        let watch = watch_request(request)?;
        let hold = Duration::from_millis(request.number("hold_ms")?).min(MAX_HOLD);
        let deadline = Instant::now() + hold;
        self.server.borrow_mut().register(&watch, self.clock.now()).map_err(rejection)?;
        let respond = |long_poll: LongPoll| {
            let response = self.server.borrow_mut().respond(&watch, long_poll, self.clock.now());
            response.map(|response| ApiResponse::json(&response))
        };
        let mut committed = self.committed.subscribe();
        loop {
            committed.borrow_and_update();
            if let Some(response) = respond(LongPoll::Waiting) {
                return Ok(response);
            }
            if timeout_at(deadline, committed.changed()).await.is_err() {
                let no_response = || ApiResponse::error(StatusCode::SERVICE_UNAVAILABLE, "nothing");
                return respond(LongPoll::Expired).ok_or_else(no_response);
            }
        }
    }
}

fn rejection(rejected: Rejected) -> ApiResponse {
    let status = match rejected.is_retryable() {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::BAD_REQUEST,
    };
    ApiResponse::error(status, &rejected.to_string())
}

/// Parses a watch request from the query parameters.
fn watch_request(request: &ApiRequest) -> Result<WatchRequest, ApiResponse> {
    let interest = Interest {
        services: request.parameters("service").map(str::to_owned).collect(),
        zone: request.parameter("zone").to_owned(),
    };
    let are_names_valid =
        is_valid_name(&interest.zone) && interest.services.iter().all(|s| is_valid_name(s));
    if !are_names_valid {
        let reason = "zone, service: names expected";
        return Err(ApiResponse::error(StatusCode::BAD_REQUEST, reason));
    }
    let failed = request.number("declined")?;
    let failure = (failed > 0)
        .then(|| ApplyFailure { generation: failed, reason: request.parameter("why").to_owned() });
    Ok(WatchRequest {
        host: request.parameter("host").to_owned(),
        interest,
        since: request.number("from")?,
        applied: request.number("in_force")?,
        failure,
    })
}
