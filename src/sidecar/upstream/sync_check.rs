//! The sync check: whether the last response on a connection answers the last request.
//!
//! Responses arrive in the order of the requests. The check sends a probe, a request without an id, which servers
//! answer with 404. If that is the next response, no other was outstanding, and the last response answers the last
//! request. Any other response shows that the server has sent one twice. The check is made only after a sign of a
//! desync or to verify a rejection, and at most once per connection, so that the response to the probe cannot be a
//! copy of an earlier one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use runtime::{Runtime, timeout};

use super::connection::Connection;
use super::request::AttemptLimits;
use super::send::send_request;
use super::{Upstream, UpstreamRequest};
use crate::api::ServerId;
use crate::sidecar::sync_state::SyncState;

/// The path of the probe. Requests of clients always have an id.
const PROBE_PATH: &str = "/health/sync";
/// The timeout of a probe. It is short because the client waits meanwhile, and its request may still fail.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// Sends a probe and returns the head of its response, or `None` if the connection fails.
pub(super) async fn send_probe<P: Runtime>(
    connection: &mut Connection<P>,
    deadline: Instant,
) -> Option<Response<Incoming>> {
    let probe = UpstreamRequest::internal(PROBE_PATH);
    connection.sender.ready().await.ok()?;
    send_request(connection, &probe, &AttemptLimits::unlimited(deadline)).await
}

impl<P: Runtime> Upstream<P> {
    /// Checks whether the last response on `connection` to `server` answers the last request. If so, the connection
    /// is returned to the pool.
    ///
    /// The result is unknown if the server no longer accepts requests, as the probe is a new request to it too.
    pub(super) async fn check_sync(
        self: &Rc<Upstream<P>>,
        server: ServerId,
        mut connection: Connection<P>,
        limits: &AttemptLimits,
    ) -> SyncState {
        let observer = connection.observer.clone();
        if !observer.is_clean() {
            return SyncState::OutOfSync;
        }
        if !observer.is_reusable() || connection.is_sync_checked || !limits.server_ready.get() {
            return SyncState::Unknown;
        }
        connection.is_sync_checked = true;
        let probe = send_probe(&mut connection, limits.deadline);
        let response = timeout::<P, _>(PROBE_TIMEOUT, probe).await.ok().flatten();
        match response {
            Some(response) if response.status() == StatusCode::NOT_FOUND && observer.is_clean() => {
                self.discard_body(server, connection, response.into_body());
                SyncState::InSync
            }
            Some(_) => {
                observer.record_unexpected_bytes();
                SyncState::OutOfSync
            }
            None if !observer.is_clean() => SyncState::OutOfSync,
            None => SyncState::Unknown,
        }
    }
}
