//! Whether a connection is in step: whether the last response on it answers the last request.
//!
//! Responses come in the order of the requests. A message without an id, which servers answer with 404, is sent
//! behind the response in doubt. If its answer comes next, nothing else was still to come: the response answers
//! the last request. If another response comes next, some response has been delivered twice. The message is sent
//! only where a response is in doubt, and once on a connection, so that its answer can't be a copy of another.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use runtime::{Runtime, timeout};

use super::connection::Connection;
use super::request::AttemptLimits;
use super::send::send_request;
use super::{Upstream, UpstreamRequest};
use crate::api::ServerId;
use crate::settings::RetrySafety;

/// The path of the message. No request of a client comes without an id.
const MESSAGE_PATH: &str = "/health/in-step";
/// How long its answer is waited for. The client waits meanwhile, for an answer that may be a failure.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Whether a response answers the last request on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InStep {
    /// It does.
    Yes,
    /// Something else came before the answer to a further message.
    No,
    /// There was no answer to a further message, or none could be sent.
    Unknown,
}

impl InStep {
    /// All of them, in the order in which they are reported.
    pub const ALL: [InStep; 3] = [InStep::Yes, InStep::No, InStep::Unknown];

    /// The name in logs and statistics.
    pub fn name(self) -> &'static str {
        match self {
            InStep::Yes => "yes",
            InStep::No => "no",
            InStep::Unknown => "unknown",
        }
    }
}

impl<P: Runtime> Upstream<P> {
    /// Whether the last response on `connection` to `server` answers the last request. If so, the connection is
    /// kept for the next one.
    ///
    /// The server must still accept requests: a message is new to it as well.
    pub(super) async fn check_in_step(
        self: &Rc<Upstream<P>>,
        server: ServerId,
        mut connection: Connection<P>,
        limits: &AttemptLimits,
    ) -> InStep {
        let observer = connection.observer.clone();
        if !observer.is_clean() {
            return InStep::No;
        }
        if !observer.is_reusable() || connection.is_checked || !limits.server_ready.get() {
            return InStep::Unknown;
        }
        connection.is_checked = true;
        let limits = AttemptLimits::unlimited(limits.deadline);
        let exchange = async {
            connection.sender.ready().await.ok()?;
            send_request(&mut connection, &message(), &limits).await
        };
        let answer = timeout::<P, _>(ANSWER_TIMEOUT, exchange).await.ok().flatten();
        match answer {
            Some(answer) if answer.status() == StatusCode::NOT_FOUND && observer.is_clean() => {
                self.discard_body(server, connection, answer.into_body());
                InStep::Yes
            }
            Some(_) => {
                observer.record_stray();
                InStep::No
            }
            None if !observer.is_clean() => InStep::No,
            None => InStep::Unknown,
        }
    }
}

fn message() -> UpstreamRequest {
    UpstreamRequest {
        retry_safety: RetrySafety::Idempotent,
        method: Method::GET,
        target: hyper::Uri::from_static(MESSAGE_PATH),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        upload: None,
        reservation: None,
        finished: Cell::default(),
        client: None,
    }
}
