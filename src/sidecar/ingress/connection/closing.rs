//! Whether a connection may be closed, which is spared longest, and what a close leaves unanswered.

use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, Tcp};

use super::ClientConnection;
use crate::sidecar::events::CloseReason;
use crate::sidecar::ingress::phase::{EvictionClass, EvictionRank, Phase};

/// With many connections, one that has been idle for this long after its last response may be
/// closed: an active client sends its next request sooner, or opens another connection, which costs
/// the servers nothing.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(100);
/// The same for a connection without any request so far: its first request would be lost with it.
const MIN_UNUSED_BEFORE_EVICTION: Duration = Duration::from_secs(1);
/// The same while no place is left: those that connect wait in the listener's queue meanwhile.
const MIN_UNUSED_IN_SHORTAGE: Duration = Duration::from_millis(20);

/// Input of a client that has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::sidecar::ingress) enum Unanswered {
    /// It waits in the socket, and came before the connection was ended for its client.
    Unread,
    /// It waits in the socket, and came after the connection was ended for its client, which could see that.
    AfterEnd,
    /// Part of a request was read.
    PartlyRead,
    /// A request was read.
    Read,
}

impl Unanswered {
    /// The name in logs.
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
    /// What a client that has not left would miss if its connection ended now, if anything.
    pub fn unanswered(&self) -> Option<Unanswered> {
        let request = match self.phase.get() {
            Phase::Lingering | Phase::Responding => None,
            Phase::AwaitingResponse => Some(Unanswered::Read),
            Phase::ReceivingRequest | Phase::StreamingRequest => Some(Unanswered::PartlyRead),
            Phase::Idle if self.has_no_unread_input() => None,
            Phase::Idle if self.ended_without_input.get() => Some(Unanswered::AfterEnd),
            Phase::Idle => Some(Unanswered::Unread),
        };
        request.filter(|_| !self.is_gone())
    }

    /// Decides whether the connection may be closed now, and ends it for its client if it is idle. The one
    /// place that decides so.
    ///
    /// Whoever wants it closed has decided that earlier, or while its own task did not run. Until now a
    /// request may have arrived. An idle connection is ended for its client right behind the look at its
    /// socket: what arrives later was sent to a connection that is closed.
    pub fn try_close(&self, reason: CloseReason) -> bool {
        match self.phase.get() {
            Phase::Lingering => true,
            Phase::Idle => self.end_if_no_input(),
            Phase::ReceivingRequest => {
                reason == CloseReason::TimedOut || self.has_no_unread_input()
            }
            _ => matches!(reason, CloseReason::TimedOut | CloseReason::BodyFailed),
        }
    }

    /// Ends the connection for its client, unless input waits. True: it has ended.
    fn end_if_no_input(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else { return true };
        let ends = socket.is_idle() || socket.peer_closed();
        if ends {
            socket.shutdown_write();
            self.ended_without_input.set(socket.is_idle());
        }
        ends
    }

    /// The place in the order of eviction; none while a request is in progress or, on a new connection,
    /// about to be sent.
    pub fn eviction_rank(&self) -> Option<EvictionRank> {
        let is_new = self.unused.get() && self.time_in_phase() < MIN_UNUSED_IN_SHORTAGE;
        let class = match self.phase.get() {
            phase if phase.is_busy() => return None,
            Phase::Lingering => EvictionClass::Lingering,
            Phase::Idle if is_new => return None,
            Phase::Idle => EvictionClass::Idle,
            _ => EvictionClass::ReceivingRequest,
        };
        Some(EvictionRank { class, since: self.last_progress.get() })
    }

    /// Whether an idle client may be sending a request: it has connected just now, or input waits
    /// to be read.
    ///
    /// A connection that is closed under a request loses it, and the client has to retry. One that
    /// never had a response does not even know that it may.
    pub fn may_be_sending(&self) -> bool {
        let idle = P::elapsed_since(self.last_progress.get());
        let just_connected = self.unused.get() && idle < MIN_IDLE_BEFORE_EVICTION;
        self.phase.get() == Phase::Idle && (just_connected || !self.has_no_unread_input())
    }

    /// Whether all that the client has sent was read, or is discarded.
    ///
    /// Of a connection that was accepted just now nothing is read yet, though a complete request
    /// may be there, which counts as taken on. In a crowd of clients that all send on, no connection
    /// can be evicted until one runs into its timeout.
    pub fn has_no_unread_input(&self) -> bool {
        let unread = |socket: Rc<P::Tcp>| !socket.is_idle() && !socket.peer_closed();
        self.phase.get() == Phase::Lingering || !self.socket.upgrade().is_some_and(unread)
    }

    /// How long the connection has been idle, if that is long enough for it to be evicted.
    pub fn evictable_idle_time(&self) -> Option<Duration> {
        let least =
            if self.unused.get() { MIN_UNUSED_BEFORE_EVICTION } else { MIN_IDLE_BEFORE_EVICTION };
        let idle = P::elapsed_since(self.last_progress.get());
        (self.phase.get() == Phase::Idle && idle >= least).then_some(idle)
    }
}
