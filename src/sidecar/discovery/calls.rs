//! Discovery calls in flight and the order in which they were started.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use runtime::Runtime;

use super::client::{CallError, ListResponse};
use super::progress::Progress;

/// Sequence number of a call; a later call has a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId(u64);

/// Whether a call was started before or after the current list was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOrder {
    /// Started after the current list was applied: its response is at least as new as that list.
    AfterList,
    /// Started before the current list was applied: its response may be older than that list.
    BeforeList,
}

/// Assigns call numbers and records which calls were started before the current list was applied.
///
/// Start times cannot replace the numbers: two calls may be started at the same instant.
#[derive(Debug, Default)]
pub(super) struct CallNumbers {
    last: CallId,
    last_before_list: CallId,
}

impl CallNumbers {
    /// Returns the number of a call that is started now.
    pub(super) fn next(&mut self) -> CallId {
        self.last = CallId(self.last.0 + 1);
        self.last
    }

    /// Records that a list has just been applied.
    pub(super) fn list_applied(&mut self) {
        self.last_before_list = self.last;
    }

    /// Returns whether a call was started before or after the current list was applied.
    pub(super) fn order(&self, id: CallId) -> CallOrder {
        if id > self.last_before_list { CallOrder::AfterList } else { CallOrder::BeforeList }
    }
}

/// Result of a discovery call.
pub(super) type CallResult<P> = Result<ListResponse<P>, CallError>;

/// A call in flight and the progress of its response.
pub(super) struct ListCall<P: Runtime> {
    pub(super) progress: Progress,
    pub(super) result: Pin<Box<dyn Future<Output = CallResult<P>>>>,
}

/// The calls in flight, in the order in which they were started.
pub(super) struct CallsInFlight<P: Runtime> {
    calls: Vec<(CallId, ListCall<P>)>,
}

impl<P: Runtime> CallsInFlight<P> {
    /// Creates an empty set of calls.
    pub(super) fn new() -> CallsInFlight<P> {
        CallsInFlight { calls: Vec::new() }
    }

    /// Returns the number of calls in flight.
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Adds a call that is started now.
    pub(super) fn push(&mut self, id: CallId, call: ListCall<P>) {
        self.calls.push((id, call));
    }

    /// Cancels a call by dropping it.
    pub(super) fn remove(&mut self, id: CallId) {
        self.calls.retain(|(call, _)| *call != id);
    }

    /// Cancels the calls that were started before `id` and returns their number.
    pub(super) fn remove_before(&mut self, id: CallId) -> usize {
        let before = self.calls.len();
        self.calls.retain(|(call, _)| *call >= id);
        before - self.calls.len()
    }

    /// Returns the call that was started first.
    pub(super) fn oldest(&self) -> Option<CallId> {
        self.calls.first().map(|(id, _)| *id)
    }

    /// Returns when a part of a call's response last arrived; `None` before the response head.
    pub(super) fn last_progress(&self, id: CallId) -> Option<Instant> {
        let call = self.calls.iter().find(|(call, _)| *call == id);
        call.and_then(|(_, call)| call.progress.last())
    }

    /// Returns whether a part of a call's response has arrived within the last `span`.
    pub(super) fn is_receiving(&self, id: CallId, now: Instant, span: Duration) -> bool {
        self.last_progress(id).is_some_and(|last| now < last + span)
    }

    /// Returns the number of calls that received a part of their response within the last `span`.
    pub(super) fn receiving_count(&self, now: Instant, span: Duration) -> usize {
        self.calls.iter().filter(|(id, _)| self.is_receiving(*id, now, span)).count()
    }

    /// Waits for a call to complete. Never returns while no call is in flight.
    pub(super) async fn next(&mut self) -> (CallId, CallResult<P>) {
        poll_fn(|context| self.poll_next(context)).await
    }

    /// Polls the newest call first: if several calls have completed, it has the newest list.
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<(CallId, CallResult<P>)> {
        for index in (0..self.calls.len()).rev() {
            let (id, call) = &mut self.calls[index];
            if let Poll::Ready(result) = call.result.as_mut().poll(context) {
                let id = *id;
                drop(self.calls.remove(index));
                return Poll::Ready((id, result));
            }
        }
        Poll::Pending
    }
}
