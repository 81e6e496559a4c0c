//! Runs an origin: it handles the log requests and progress reports of its members, and the requests of operators.

mod operators;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::Clock;
use super::endpoints::{DOCUMENTS, LOG, PROGRESS, PUBLISH, STATUS};
use super::http::{ApiRequest, ApiResponse, HttpClient, serve};
use crate::MAX_HOLD;
use crate::origin::{Origin, Phase};
use crate::progress::{ProgressAggregator, ProgressReport, ReportResponse};
use crate::replica::{Update, Version};
use crate::replication::{LogRequest, LogResponse};

/// Maximum number of connections, of members and operators together.
const MAX_CONNECTIONS: usize = 512;
/// Maximum time for a member to send its replica.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Configuration of an origin.
#[derive(Clone, Debug)]
pub struct Config {
    /// The origin's number, unique among the origins.
    pub number: u8,
    /// A number that has to differ at each start.
    pub start_id: u32,
    /// The addresses of the control servers, by name.
    pub members: BTreeMap<String, SocketAddr>,
}

/// The state that the tasks of an origin share.
struct Node {
    origin: RefCell<Origin>,
    progress: RefCell<ProgressAggregator>,
    members: BTreeMap<String, SocketAddr>,
    clock: Clock,
    /// Notified when the state has changed in a way that a held request may wait for.
    changed: watch::Sender<()>,
}

/// Runs an origin on `listener`. Never returns.
pub async fn run(listener: TcpListener, config: Config) {
    let Config { number, start_id, members } = config;
    let node = Rc::new(Node {
        origin: RefCell::new(Origin::new(number, start_id, members.keys().cloned())),
        progress: RefCell::default(),
        members,
        clock: Clock::default(),
        changed: watch::Sender::new(()),
    });
    tokio::task::spawn_local(node.clone().take_over_replicas());
    serve(listener, MAX_CONNECTIONS, move |request| node.clone().handle(request)).await;
}

fn bad_request(reason: &str) -> ApiResponse {
    ApiResponse::error(StatusCode::BAD_REQUEST, reason)
}

impl Node {
    async fn handle(self: Rc<Node>, request: ApiRequest) -> ApiResponse {
        let result = match request.path.as_str() {
            LOG => self.log(&request).await,
            PROGRESS => self.report(&request),
            PUBLISH => self.publish(&request).await,
            STATUS => Ok(self.status()),
            DOCUMENTS => self.documents(&request),
            _ => Err(ApiResponse::error(StatusCode::NOT_FOUND, "no such path")),
        };
        result.unwrap_or_else(|response| response)
    }

    fn phase(&self) -> Phase {
        self.origin.borrow().phase().clone()
    }

    async fn log(&self, request: &ApiRequest) -> Result<ApiResponse, ApiResponse> {
        let log_request = log_request(request)?;
        let hold = Duration::from_millis(request.number("hold_ms")?).min(MAX_HOLD);
        let deadline = Instant::now() + hold;
        let mut changed = self.changed.subscribe();
        let phase_before = self.phase();
        let received = self.origin.borrow_mut().receive(log_request.clone(), self.clock.now());
        received.map_err(|e| ApiResponse::error(StatusCode::FORBIDDEN, &e.to_string()))?;
        let phase = self.phase();
        if phase != phase_before {
            let epoch = self.origin.borrow().epoch();
            tracing::info!(epoch, %phase, "origin changed phase");
        }
        self.changed.send_replace(());
        loop {
            changed.borrow_and_update();
            let response = self.origin.borrow().respond(&log_request);
            if let Some(response) = response {
                return Ok(ApiResponse::json(&response));
            }
            if timeout_at(deadline, changed.changed()).await.is_err() {
                let epoch = self.origin.borrow().epoch();
                return Ok(ApiResponse::json(&LogResponse { epoch, update: None }));
            }
        }
    }

    /// Takes over the replica of a member whenever the origin's phase requires it. Never returns.
    async fn take_over_replicas(self: Rc<Node>) {
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if let Phase::TakingOver(member) = self.phase() {
                self.take_over(&member).await;
            } else if changed.changed().await.is_err() {
                return;
            }
        }
    }

    async fn take_over(&self, member: &str) {
        let update = match self.members.get(member) {
            Some(address) => {
                let mut client = HttpClient::new(*address);
                client.fetch_json::<Update>(LOG, None, TAKEOVER_TIMEOUT).await.ok()
            }
            None => None,
        };
        let mut origin = self.origin.borrow_mut();
        match update {
            Some(update) => origin.take_over(member, update),
            None => origin.takeover_failed(member),
        }
        let (epoch, phase) = (origin.epoch(), origin.phase());
        tracing::info!(%member, epoch, %phase, "replica takeover finished");
        drop(origin);
        self.changed.send_replace(());
    }

    fn report(&self, request: &ApiRequest) -> Result<ApiResponse, ApiResponse> {
        let report: ProgressReport = serde_json::from_slice(&request.body)
            .map_err(|error| bad_request(&format!("a summary expected: {error}")))?;
        if !self.members.contains_key(&report.server) {
            return Err(ApiResponse::error(StatusCode::FORBIDDEN, "none of the members"));
        }
        let moved = self.progress.borrow_mut().record(report, self.clock.now());
        Ok(ApiResponse::json(&ReportResponse { moved }))
    }
}

/// Parses a log request from the query parameters.
fn log_request(request: &ApiRequest) -> Result<LogRequest, ApiResponse> {
    let version = Version { epoch: request.number("epoch")?, generation: request.number("from")? };
    let peer_incarnations = serde_json::from_str(request.parameter("lives"))
        .map_err(|error| bad_request(&format!("lives: {error}")))?;
    Ok(LogRequest {
        member: request.parameter("member").to_owned(),
        promised_epoch: request.number("promised")?,
        version,
        committed: request.number("committed")?,
        recovering: request.parameter("recovering") == "true",
        incarnation: request.number("life")?,
        peer_incarnations,
    })
}
