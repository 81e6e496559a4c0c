//! Whether a connection may be closed, its rank for eviction, and the input that a close leaves unanswered.

use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, Tcp};

use super::ClientConnection;
use crate::sidecar::events::CloseReason;
use crate::sidecar::ingress::phase::{EvictionClass, EvictionRank, Phase};

/// Minimum idle time after a response before a connection may be evicted. An active client sends its next request
/// sooner, or opens another connection, which does not affect the servers.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(100);
/// The same for a connection without any request so far, which is longer because its first request would be lost.
const MIN_UNUSED_BEFORE_EVICTION: Duration = Duration::from_secs(1);
/// The same while the connection budget is exhausted and new connections wait in the listener's queue.
const MIN_UNUSED_IN_SHORTAGE: Duration = Duration::from_millis(20);

/// Client input that has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::sidecar::ingress) enum Unanswered {
    /// Unread input in the socket that arrived before the connection was shut down.
    Unread,
    /// Unread input in the socket that arrived after the connection was shut down, which the client could see.
    AfterEnd,
    /// A request of which a part was read.
    PartlyRead,
    /// A request that was read completely.
    Read,
}

impl Unanswered {
    /// The name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Unanswered::Unread => "unread",
            Unanswered::AfterEnd => "after_end",
            Unanswered::PartlyRead => "partly_read",
            Unanswered::Read => "read",
        }
    }
}

impl<P: Runtime> ClientConnection<P> {
    /// The input that would stay unanswered if the connection ended now; `None` if there is none or the client has
    /// disconnected.
    pub fn unanswered(&self) -> Option<Unanswered> {
        let request = match self.phase.get() {
            Phase::Lingering | Phase::Responding => None,
            Phase::AwaitingResponse => Some(Unanswered::Read),
            Phase::ReceivingRequest | Phase::AwaitingMemory | Phase::StreamingRequest => {
                Some(Unanswered::PartlyRead)
            }
            Phase::Idle if self.has_no_unread_input() => None,
            Phase::Idle if self.ended_without_input.get() => Some(Unanswered::AfterEnd),
            Phase::Idle => Some(Unanswered::Unread),
        };
        request.filter(|_| !self.is_disconnected())
    }

    /// Decides whether the connection may be closed now, and shuts it down if it is idle. Every close is decided
    /// here.
    ///
    /// A close is requested earlier, or while the connection's task is not running, so a request may have arrived
    /// since. An idle connection is shut down right after its socket is checked for input: whatever arrives later was
    /// sent on a closed connection.
    pub fn try_close(&self, reason: CloseReason) -> bool {
        match self.phase.get() {
            Phase::Lingering => true,
            Phase::Idle => self.shut_down_if_no_input(),
            Phase::ReceivingRequest => {
                let may_reject = !self.closes_only_idle.get() && self.has_no_unread_input();
                reason == CloseReason::TimedOut || may_reject
            }
            _ => matches!(reason, CloseReason::TimedOut | CloseReason::BodyFailed),
        }
    }

    /// Shuts the connection down, unless input is waiting. Returns whether it was shut down.
    fn shut_down_if_no_input(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else { return true };
        let ends = socket.is_idle() || socket.peer_closed();
        if ends {
            socket.shutdown_write();
            self.ended_without_input.set(socket.is_idle());
        }
        ends
    }

    /// The rank in the order of eviction; `None` while a request is in progress, or while the first request on a
    /// new connection may be on its way.
    pub fn eviction_rank(&self) -> Option<EvictionRank> {
        let is_new = self.unused.get() && self.time_in_phase() < MIN_UNUSED_IN_SHORTAGE;
        let class = match self.phase.get() {
            Phase::AwaitingMemory => return None,
            phase if phase.is_busy() => return None,
            Phase::Lingering => EvictionClass::Lingering,
            Phase::Idle if is_new => return None,
            Phase::Idle => EvictionClass::Idle,
            _ => EvictionClass::ReceivingRequest,
        };
        Some(EvictionRank { class, since: self.last_progress.get() })
    }

    /// Whether the client of an idle connection may be sending a request: it has connected just now, or its input is
    /// still unread.
    ///
    /// Closing a connection while a request is on its way loses the request, and the client has to retry. A client
    /// that has not yet had a response on the connection cannot know whether a retry is safe.
    pub fn may_be_sending(&self) -> bool {
        let idle = P::elapsed_since(self.last_progress.get());
        let just_connected = self.unused.get() && idle < MIN_IDLE_BEFORE_EVICTION;
        self.phase.get() == Phase::Idle && (just_connected || !self.has_no_unread_input())
    }

    /// Whether all input of the client has been read or is being discarded.
    ///
    /// Nothing has been read yet from a connection that was accepted just now, although a complete request may be
    /// there, which counts as admitted. If many clients keep sending at the same time, no connection can be evicted
    /// until one of them times out.
    pub fn has_no_unread_input(&self) -> bool {
        let unread = |socket: Rc<P::Tcp>| !socket.is_idle() && !socket.peer_closed();
        self.phase.get() == Phase::Lingering || !self.socket.upgrade().is_some_and(unread)
    }

    /// Whether the connection has carried no request yet, and its client may still be about to send one.
    pub fn is_new(&self) -> bool {
        self.unused.get() && self.time_in_phase() < MIN_UNUSED_BEFORE_EVICTION
    }

    /// The idle time of the connection, if it is long enough for eviction.
    pub fn evictable_idle_time(&self) -> Option<Duration> {
        let min_idle_time =
            if self.unused.get() { MIN_UNUSED_BEFORE_EVICTION } else { MIN_IDLE_BEFORE_EVICTION };
        let idle = P::elapsed_since(self.last_progress.get());
        (self.phase.get() == Phase::Idle && idle >= min_idle_time).then_some(idle)
    }
}
