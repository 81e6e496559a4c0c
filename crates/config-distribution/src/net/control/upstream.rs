//! Requests of a control server to origins, for changes and with progress reports, and to its peers, for their
//! promises.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand_core::RngCore;
use tokio::time::{Instant, sleep};

use super::{FollowedOrigin, Node};
use crate::Epoch;
use crate::control::Persistence;
use crate::net::endpoints::{PROGRESS, log_target, promise_target};
use crate::net::http::HttpClient;
use crate::net::store::StoreError;
use crate::progress::{ProgressReport, ReportResponse};
use crate::replication::{LogResponse, PromiseResponse};

/// Maximum time for which an origin may hold a request.
const LOG_HOLD: Duration = Duration::from_millis(2000);
/// Maximum time for an origin's response after the hold has ended.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum delay after a request that failed, or whose origin is not followed. The minimum is half of it.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval of progress reports while they change.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of progress reports that are equal to the last one.
const UNCHANGED_REPORT_INTERVAL: Duration = Duration::from_millis(2000);
/// Maximum time for a peer's response with its promise.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(1000);

impl Node {
    /// Waits for a random time of up to `RETRY_DELAY`, and at least half of it.
    async fn wait_before_retry(&self) {
        let limit = RETRY_DELAY.as_millis() as u64 / 2;
        let jitter = self.rng.borrow_mut().next_u64() % limit;
        sleep(RETRY_DELAY / 2 + Duration::from_millis(jitter)).await;
    }

    /// Requests changes from one origin. Never returns.
    pub(super) async fn follow(&self, origin: SocketAddr) {
        let mut client = HttpClient::new(origin);
        let timeout = LOG_HOLD + RESPONSE_TIMEOUT;
        loop {
            // The request acknowledges the changes that this server has, so they have to be on disk.
            self.wait_until_stored().await;
            let target = log_target(&self.server.borrow().log_request(), LOG_HOLD);
            let response: LogResponse = match client.fetch_json(&target, None, timeout).await {
                Ok(response) => response,
                Err(error) => {
                    tracing::debug!(%origin, %error, "request to origin failed");
                    self.wait_before_retry().await;
                    continue;
                }
            };
            let epoch = response.epoch;
            // Another origin may have sent changes meanwhile, which have to be stored first.
            self.wait_until_stored().await;
            let persistence = match self.apply(response) {
                Ok(persistence) => persistence,
                Err(error) => {
                    tracing::error!(%error, "failed to store state, trying again");
                    continue;
                }
            };
            let promised_epoch = self.server.borrow().state().promised_epoch;
            if epoch == promised_epoch && epoch > 0 {
                self.set_followed(origin, epoch);
            } else if persistence == Persistence::Unchanged {
                // An origin that is not followed responds at once.
                self.wait_before_retry().await;
            }
        }
    }

    /// Waits until the state is on disk.
    async fn wait_until_stored(&self) {
        while let Err(error) = self.ensure_stored() {
            tracing::debug!(%error, "retry to store state failed");
            self.wait_before_retry().await;
        }
    }

    /// Applies an origin's response, and stores the state before a message is sent that depends on it.
    fn apply(&self, response: LogResponse) -> Result<Persistence, StoreError> {
        let epoch = response.epoch;
        let committed_before = self.server.borrow().committed();
        let persistence = self.server.borrow_mut().apply(response);
        // The changes of a recovering member count as stored only once it may vote again.
        let is_recovering = self.server.borrow().promised_epoch().is_none();
        if persistence == Persistence::Required && !is_recovering {
            self.store_state()?;
        }
        let committed = self.server.borrow().committed();
        if committed != committed_before {
            tracing::info!(committed, epoch, "changes committed");
            self.committed.send_replace(());
        }
        Ok(persistence)
    }

    fn set_followed(&self, address: SocketAddr, epoch: Epoch) {
        let origin = FollowedOrigin { address, epoch };
        if self.followed.get() != Some(origin) {
            tracing::info!(origin = %address, epoch, "following origin");
            self.followed.set(Some(origin));
            self.server.borrow_mut().report_all_hosts();
        }
    }

    /// Reports the hosts' progress to the origin that is followed. Never returns.
    pub(super) async fn report_progress(self: Rc<Node>) {
        let mut client: Option<(SocketAddr, HttpClient)> = None;
        let mut last_report: Option<(ProgressReport, Instant)> = None;
        loop {
            sleep(REPORT_INTERVAL).await;
            let Some(FollowedOrigin { address, .. }) = self.followed.get() else { continue };
            if self.ensure_stored().is_err() {
                continue;
            }
            let report = self.server.borrow_mut().report_progress(self.clock.now());
            let is_due = last_report.as_ref().is_none_or(|(last, sent_at)| {
                *last != report || sent_at.elapsed() >= UNCHANGED_REPORT_INTERVAL
            });
            if !is_due {
                continue;
            }
            if client.as_ref().is_none_or(|(origin, _)| *origin != address) {
                client = Some((address, HttpClient::new(address)));
            }
            let Some((_, client)) = &mut client else { continue };
            last_report = match self.send_report(client, &report).await {
                true => Some((report, Instant::now())),
                false => None,
            };
        }
    }

    /// Sends a report. Returns whether the origin has accepted it.
    async fn send_report(&self, client: &mut HttpClient, report: &ProgressReport) -> bool {
        let body = serde_json::to_vec(report).unwrap_or_default();
        let response =
            client.fetch_json::<ReportResponse>(PROGRESS, Some(body), RESPONSE_TIMEOUT).await;
        match response {
            Ok(ReportResponse { moved }) => {
                self.server.borrow_mut().mark_moved(&moved, self.clock.now());
                true
            }
            Err(error) => {
                tracing::debug!(%error, "failed to report progress");
                self.server.borrow_mut().report_all_hosts();
                false
            }
        }
    }

    /// Requests the promises of the peers while this server recovers.
    pub(super) async fn recover(self: Rc<Node>, name: String, peers: BTreeMap<String, SocketAddr>) {
        while self.server.borrow().promised_epoch().is_none() {
            for (peer, address) in &peers {
                let incarnation = self.server.borrow().incarnation();
                let target = promise_target(&name, incarnation);
                let mut client = HttpClient::new(*address);
                let response =
                    client.fetch_json::<PromiseResponse>(&target, None, PROMISE_TIMEOUT).await;
                let Ok(promise) = response else { continue };
                let PromiseResponse { promised_epoch, incarnation, .. } = promise;
                tracing::info!(%peer, promised_epoch, incarnation, "received promise from peer");
                self.server.borrow_mut().record_promise(peer, &promise);
            }
            self.wait_before_retry().await;
        }
    }
}
