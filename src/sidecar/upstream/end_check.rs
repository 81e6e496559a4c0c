//! The end check: whether a response has ended where its length says (see [`response_end`](crate::sidecar::response_end)).
//!
//! Either the server says that it closes the connection, and its end is awaited, or a probe is sent, a request without an
//! id, which servers answer with 404. If that is what comes next, nothing was missing.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use runtime::{Runtime, timeout_at};

use super::Upstream;
use super::close_reason::CloseReason;
use super::connection::Connection;
use super::sync_check::send_probe;
use crate::api::ServerId;
use crate::sidecar::response_end::{EndProof, EndState};

/// The maximum time to wait for the proof. The response is passed on without it then.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// The maximum time to wait for bytes behind a response whose server must not get a further message.
const MAX_QUIET_WAIT: Duration = Duration::from_millis(10);
/// The interval at which the socket is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The first bytes of the response to a probe.
const PROBE_RESPONSE_START: &[u8] = b"HTTP/1.1 404 ";

/// What an end check waits for, and until when.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndCheck {
    /// The server of the connection.
    pub(super) server: ServerId,
    /// What is awaited.
    pub(super) proof: EndProof,
    /// Whether the server accepts new requests.
    pub(super) is_server_ready: bool,
    /// The time by which the response has to be passed on, or `None` if the caller sees to that.
    pub(super) due: Option<Instant>,
}

impl EndCheck {
    /// Returns the end of a wait that begins at `now` and takes `wait` at most.
    fn wait_until(&self, now: Instant, wait: Duration) -> Instant {
        let latest = now + wait;
        self.due.map_or(latest, |due| due.min(latest))
    }
}

impl<P: Runtime> Upstream<P> {
    /// Checks whether the response that was last received on `connection` has ended. The connection is returned to the pool
    /// if that has been proved.
    pub(super) async fn check_end(
        self: Rc<Upstream<P>>,
        connection: Connection<P>,
        check: EndCheck,
    ) -> EndState {
        let state = match check.proof {
            EndProof::Close => await_end(&connection, check.wait_until(P::now(), MAX_WAIT)).await,
            EndProof::NextResponse if !check.is_server_ready => {
                await_end(&connection, check.wait_until(P::now(), MAX_QUIET_WAIT)).await
            }
            EndProof::NextResponse => return self.probe_end(connection, check).await,
        };
        connection.close(CloseReason::EndUnproven);
        state
    }

    /// Sends a probe behind a response and returns what its response tells of the end of the one before.
    async fn probe_end(
        self: Rc<Upstream<P>>,
        mut connection: Connection<P>,
        check: EndCheck,
    ) -> EndState {
        let observer = connection.observer.clone();
        let (requests, ended_head) = (observer.request_count(), observer.response_head_start());
        let due = check.wait_until(P::now(), MAX_WAIT);
        let probe = send_probe(&mut connection, due);
        let response = timeout_at::<P, _>(due, probe).await.ok().flatten();
        if let Some(response) = response
            && response.status() == StatusCode::NOT_FOUND
            && observer.is_clean()
        {
            self.discard_body(check.server, connection, response.into_body());
            return EndState::Whole;
        }
        // The probe may have failed because of bytes that have arrived.
        P::deliver_events().await;
        connection.read_behind_response();
        let is_probe_begun = observer.request_count() > requests;
        let state = match observer.response_head_start() {
            _ if !is_probe_begun => connection.known_end(),
            // The server has sent the response twice.
            next_head if next_head == ended_head => EndState::Whole,
            // The response to the probe has not come, or not in full.
            next_head if may_answer_probe(&next_head) => EndState::Unknown,
            _ => EndState::Surplus,
        };
        if state == EndState::Surplus {
            observer.record_short_length();
        }
        connection.close(CloseReason::EndUnproven);
        state
    }
}

/// Returns whether these can be the first bytes of the response to a probe.
fn may_answer_probe(head_start: &[u8]) -> bool {
    head_start.iter().zip(PROBE_RESPONSE_START).all(|(received, expected)| received == expected)
}

/// Waits until the server ends the connection or sends further bytes on it.
async fn await_end<P: Runtime>(connection: &Connection<P>, due: Instant) -> EndState {
    loop {
        let is_over = P::now() >= due;
        P::deliver_events().await;
        let is_closed = connection.read_behind_response();
        match connection.known_end() {
            EndState::Unknown if is_closed => return EndState::Whole,
            EndState::Unknown if !is_over => P::sleep(POLL_INTERVAL).await,
            state => return state,
        }
    }
}
