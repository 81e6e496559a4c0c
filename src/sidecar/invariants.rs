//! Checks of the protocol's rules at the moment of an action: sending an attempt, repeating it, or rejecting its
//! request.
//!
//! The code next to the sockets calls these checks with facts that it gathers itself, independently of the balancer,
//! which has made the same decision before. An error on either side shows as a disagreement: it is counted as a
//! [`Violation`], and the action is not taken. An attempt that may no longer be sent because the situation has changed
//! since the balancer's decision is not an error: it is counted as a [`SendRefusal`].

use std::fmt::{self, Display, Formatter};
use std::time::Instant;

use crate::settings::RetrySafety;

/// A violation of a protocol rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A client's connection was closed before the response to a request that had been read.
    UnansweredClose,
    /// An attempt was about to start for a request that has its final response.
    AttemptAfterEnd,
    /// An attempt was about to repeat a request that may have been executed and must not be repeated.
    UnsafeRepeat,
    /// A request that may have been executed and must not be repeated was about to be rejected.
    UnsafeRejection,
    /// An attempt was about to start at a server that does not accept new requests.
    UnreadyServer,
    /// An attempt that may have been executed was about to be reported as not executed.
    UnprovenRejection,
}

impl Violation {
    /// All violations, in the order in which they are reported.
    pub const ALL: [Violation; 6] = [
        Violation::UnansweredClose,
        Violation::AttemptAfterEnd,
        Violation::UnsafeRepeat,
        Violation::UnsafeRejection,
        Violation::UnreadyServer,
        Violation::UnprovenRejection,
    ];

    /// Returns the name used in logs and statistics.
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

/// Facts about an attempt that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts {
    /// Whether the request has its final response, or its client has disconnected.
    pub finished: bool,
    /// Whether the server accepts new requests according to the endpoint list.
    pub server_ready: bool,
    /// The current time.
    pub now: Instant,
    /// The end of the idempotency window of the earlier attempts, or `None` if there is none to observe.
    pub start_by: Option<Instant>,
}

/// The reason why an attempt is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// Nobody waits for the response any more.
    #[error("the request is finished")]
    Finished,
    /// The server drains or is no longer listed.
    #[error("the server accepts no new requests")]
    ServerNotReady,
    /// The server may have forgotten the request that the attempt repeats.
    #[error("the idempotency window of an earlier attempt is over")]
    WindowOver,
    /// As many copies of the request as the settings allow were sent, some of them within one attempt.
    #[error("the request was sent as often as the settings allow")]
    CopiesUsed,
}

impl SendRefusal {
    /// All reasons, in the order in which they are reported.
    pub const ALL: [SendRefusal; 4] = [
        SendRefusal::Finished,
        SendRefusal::ServerNotReady,
        SendRefusal::WindowOver,
        SendRefusal::CopiesUsed,
    ];

    /// Returns the name used in statistics.
    pub fn name(self) -> &'static str {
        match self {
            SendRefusal::Finished => "finished",
            SendRefusal::ServerNotReady => "server_not_ready",
            SendRefusal::WindowOver => "window_over",
            SendRefusal::CopiesUsed => "copies_used",
        }
    }
}

/// Checks whether an attempt may be sent now.
///
/// This is called each time before bytes of a request could reach a server: when its connection is established, when
/// it is sent again, and before a byte that was held back is released. Between two of these moments the client may
/// disconnect, an endpoint list may arrive, or an idempotency window may end.
///
/// # Errors
///
/// Returns the reason why the attempt may not be sent.
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

/// Checks whether a further copy of a request may be sent after `copies`, each of which was sent or is being sent.
///
/// # Errors
///
/// Returns the reason why it may not be sent.
pub fn may_send_copy(copies: usize, max_copies: usize) -> Result<(), SendRefusal> {
    if copies < max_copies { Ok(()) } else { Err(SendRefusal::CopiesUsed) }
}

/// Returns whether a request may be sent again. `may_have_run`: whether an earlier attempt may have been executed.
pub fn may_repeat(retry_safety: RetrySafety, may_have_run: bool) -> bool {
    retry_safety != RetrySafety::NonIdempotent || !may_have_run
}

/// Returns whether a request may be rejected, which tells the client to send it again.
///
/// `any_server_deduplicates` is set if every server that can get the repeat recognizes its idempotency key.
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
