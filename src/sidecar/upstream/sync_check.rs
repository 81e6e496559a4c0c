//! Whether a connection is synchronized: whether the last response on it answers the last request.
//!
//! Responses come in the order of the requests. A message without an id, which servers answer with 404, is sent
//! behind the response. If its answer comes next, nothing else was still to come: the response answers the last
//! request. If another response comes next, some response has been delivered twice. The message is sent only
//! where there is a sign of that or a rejection has to be proven, and once on a connection, so that its answer
//! cannot be a copy of another.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use runtime::{Runtime, timeout};

use super::connection::Connection;
use super::request::AttemptLimits;
use super::send::send_request;
use super::{Upstream, UpstreamRequest};
use crate::api::ServerId;
use crate::sidecar::sync_state::SyncState;

/// The path of the message. No request of a client comes without an id.
const MESSAGE_PATH: &str = "/health/sync";
/// How long its answer is waited for. The client waits meanwhile, for an answer that may be a failure.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

impl<P: Runtime> Upstream<P> {
    /// Whether the last response on `connection` to `server` answers the last request. If so, the connection is
    /// kept for the next one.
    ///
    /// The server must still accept requests: a message is new to it as well.
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
        let message = UpstreamRequest::own(MESSAGE_PATH);
        let limits = AttemptLimits::unlimited(limits.deadline);
        let exchange = async {
            connection.sender.ready().await.ok()?;
            send_request(&mut connection, &message, &limits).await
        };
        let answer = timeout::<P, _>(ANSWER_TIMEOUT, exchange).await.ok().flatten();
        match answer {
            Some(answer) if answer.status() == StatusCode::NOT_FOUND && observer.is_clean() => {
                self.discard_body(server, connection, answer.into_body());
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
