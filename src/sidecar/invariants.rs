//! What the protocol's rules allow at the moment of an action: sending an attempt, repeating it, rejecting
//! its request.
//!
//! [`may_send`] and [`may_reject`] are asked by the code next to the sockets, with what that code knows
//! itself. They repeat what the balancer has decided before, from an account of their own: an error in
//! the one shows as a disagreement with the other, is counted as a [`Violation`], and the action is not
//! taken.

use std::fmt::{self, Display, Formatter};
use std::time::Instant;

use crate::settings::RetrySafety;

/// A rule of the protocol that did not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A client's connection was closed while it waited for the response to a request that was read.
    UnansweredClose,
    /// An attempt was to start for a request that has its final answer.
    AttemptAfterEnd,
    /// An attempt was to repeat a request that may have been executed and must not be repeated.
    UnsafeRepeat,
    /// A request that may have been executed and must not be repeated was to be rejected.
    UnsafeRejection,
    /// An attempt was to start at a server that wants none.
    UnreadyServer,
    /// An attempt that may have been executed was to pass for one that was not.
    UnprovenRejection,
}

impl Violation {
    /// All of them, in the order in which they are reported.
    pub const ALL: [Violation; 6] = [
        Violation::UnansweredClose,
        Violation::AttemptAfterEnd,
        Violation::UnsafeRepeat,
        Violation::UnsafeRejection,
        Violation::UnreadyServer,
        Violation::UnprovenRejection,
    ];

    /// The name in logs and statistics.
    pub fn name(self) -> &'static str {
        match self {
            Violation::UnansweredClose => "unanswered_close",
            Violation::AttemptAfterEnd => "attempt_after_end",
            Violation::UnsafeRepeat => "unsafe_repeat",
            Violation::UnsafeRejection => "unsafe_rejection",
            Violation::UnreadyServer => "unready_server",
            Violation::UnprovenRejection => "unproven_rejection",
        }
    }
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What is known of an attempt at the moment at which it could be sent.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// The request has its final answer, or its client has left.
    pub finished: bool,
    /// Its server accepts new requests, as far as is known.
    pub server_ready: bool,
    /// The present time.
    pub now: Instant,
    /// Until when servers recognize what the attempt repeats; none if it repeats nothing.
    pub start_by: Option<Instant>,
}

/// Why an attempt is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// Nobody waits for its response.
    #[error("the request is finished")]
    Finished,
    /// Its server drains, or is no longer listed.
    #[error("the server accepts no new requests")]
    ServerNotReady,
    /// Its server may have forgotten what it repeats.
    #[error("the idempotency window of an earlier attempt is over")]
    WindowOver,
}

impl SendRefusal {
    /// All of them, in the order in which they are reported.
    pub const ALL: [SendRefusal; 3] =
        [SendRefusal::Finished, SendRefusal::ServerNotReady, SendRefusal::WindowOver];

    /// The name in statistics.
    pub fn name(self) -> &'static str {
        match self {
            SendRefusal::Finished => "finished",
            SendRefusal::ServerNotReady => "server_not_ready",
            SendRefusal::WindowOver => "window_over",
        }
    }
}

/// Whether an attempt may be sent now.
///
/// This is asked each time that bytes of a request could reach a server: when its connection is
/// established, when it is sent once more, and before a byte that was held back. Between two of these
/// moments the client may leave, a list may arrive, or a window may end.
///
/// # Errors
///
/// Why it may not.
pub fn may_send(facts: SendFacts) -> Result<(), SendRefusal> {
    if facts.finished {
        return Err(SendRefusal::Finished);
    }
    if !facts.server_ready {
        return Err(SendRefusal::ServerNotReady);
    }
    if facts.start_by.is_some_and(|start_by| facts.now > start_by) {
        return Err(SendRefusal::WindowOver);
    }
    Ok(())
}

/// Whether a request may be sent once more, where an earlier attempt may have been executed.
pub fn may_repeat(retry_safety: RetrySafety, may_have_run: bool) -> bool {
    retry_safety != RetrySafety::NonIdempotent || !may_have_run
}

/// Whether a client may be told to send a request again.
///
/// `any_server_deduplicates` says that whatever server gets the repeat recognizes its key.
pub fn may_reject(
    retry_safety: RetrySafety,
    any_server_deduplicates: bool,
    may_have_run: bool,
) -> bool {
    match retry_safety {
        _ if !may_have_run => true,
        RetrySafety::Idempotent => true,
        RetrySafety::IdempotencyKey => any_server_deduplicates,
        RetrySafety::NonIdempotent => false,
    }
}

#[cfg(test)]
mod tests;
